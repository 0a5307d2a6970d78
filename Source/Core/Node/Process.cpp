#include "Node/Process.h"

#include <csignal>
#include <ctime>
#include <iostream>
#include <optional>

#include <boost/asio/signal_set.hpp>

#include "Node/Agent.h"
#include "Node/ClientLimits.h"
#include "Node/Entry.h"
#include "Observability/Log.h"

namespace Node {

namespace {

using Observability::Level;
using Observability::Log;

/// Monotonic clock that also counts the time in which the machine is suspended. The steady clock
/// stops then, and a lease that has lapsed meanwhile would look valid.
class BootClock final : public Common::Clock
{
public:
  Timestamp now() const override
  {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Timestamp(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                          std::chrono::nanoseconds(time.tv_nsec)));
  }
  Common::UnixMillis unixNow() const override
  {
    return std::chrono::duration_cast<Common::UnixMillis>(
      std::chrono::system_clock::now().time_since_epoch());
  }
  bool waitUntil(std::unique_lock<std::mutex>& aLock,
                 std::condition_variable& aCondition,
                 Timestamp aDeadline) override
  {
    return aCondition.wait_for(aLock, aDeadline - now()) == std::cv_status::no_timeout;
  }
};

} // namespace

int
RunProcess(const Settings& aSettings, const Adapters& aAdapters)
{
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io(1);
  // Before anything listens: a signal during the start is a request to stop in order, too.
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  BootClock clock;
  const TimingConstants timing;
  Observability::Counters counters;
  const auto store = aAdapters.mMakeStore(io, aSettings.mStoreAddress);
  const auto budget = std::make_shared<Net::ReceiveBudget>(ClientBudgetBytes(aSettings));
  Context context{ io, clock, aSettings, timing, aAdapters.mFormats, *store, counters, budget };

  std::optional<Entry> entry;
  std::optional<Agent> agent;
  tl::expected<void, std::string> started;
  if (aSettings.mRunsEntry) {
    entry.emplace(context);
    started = entry->start();
  } else {
    agent.emplace(
      context,
      [&](const std::string& aAddress, const Scheduling::WorkerLifetime& aLifetime) {
        return aAdapters.mMakeWorkerPort(io, aAddress, aLifetime);
      },
      aSettings.mAdviceAddress.empty() ? nullptr
                                       : aAdapters.mMakeAdvicePort(io, aSettings.mAdviceAddress));
    started = agent->start();
  }
  if (!started) {
    Log(Level::Error, "process", started.error());
    return 1;
  }
  Log(Level::Info, "process", "started", { { "role", aSettings.mRunsEntry ? "entry" : "agent" } });

  std::optional<Net::HttpServer> metrics;
  metrics.emplace(
    io,
    MakeHttpLimits(aSettings, ShareConnections(aSettings).mMetrics),
    [&](const Net::HttpRequest&, const Net::Responder& aRespond) {
      counters.counter("ibis_log_lines_dropped")
        .set(static_cast<std::int64_t>(Observability::DroppedLines()));
      entry ? entry->countConnections() : agent->countConnections();
      SetConnections(counters, "metrics", metrics->connections());
      SetBudget(counters, *budget);
      aRespond({ 200, counters.text(), { { "Content-Type", "text/plain" } } });
    },
    ShareBudget(counters, budget, "metrics"));
  if (!aSettings.mMetricsAddress.empty()) {
    if (const auto listening = metrics->listen(aSettings.mMetricsAddress); !listening) {
      Log(Level::Warning, "process", "cannot serve metrics", { { "reason", listening.error() } });
    }
  }

  bool stopping = false;
  std::function<void()> awaitSignal = [&] {
    signals.async_wait([&](boost::system::error_code aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        // This process uses none of the settings that can be reloaded.
        Log(Level::Info, "process", "ignored a reload request: no setting in use can be reloaded");
        awaitSignal();
        return;
      }
      if (stopping) {
        // An agent waits for nothing but the orders that it has sent.
        if (entry) {
          entry->hurryStop();
        }
        awaitSignal();
        return;
      }
      stopping = true;
      Log(Level::Info, "process", "stopping");
      const auto done = [&io] { io.stop(); };
      entry ? entry->stop(done) : agent->stop(done);
      awaitSignal();
    });
  };
  awaitSignal();
  io.run();
  Log(Level::Info, "process", "stopped");
  return 0;
}

} // namespace Node
