#include <catch2/catch.hpp>

#include <map>
#include <optional>

#include "Common/Base64.h"
#include "Net/HttpServer.h"
#include "Node/PrefixWatcher.h"
#include "UnitTests/Node/FakeStore.h"
#include "UnitTests/Platform/WorkerServer.h"
#include "UnitTests/Support/SilencingProxy.h"
#include "platform/Json.h"
#include "platform/StoreClient.h"
#include "platform/WorkerClient.h"

using namespace NodeTests;
using namespace PlatformTests;
using Scheduling::LifetimeStart;
using Scheduling::OrderResult;

namespace {

/// From the platform's rules: entries act by a changed configuration within this time.
constexpr std::chrono::milliseconds kConfigurationInForceWithin{ 3'000 };

void
RunUntil(boost::asio::io_context& aIo, const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + 30s;
  while (!aCondition() && std::chrono::steady_clock::now() < end) {
    aIo.restart();
    aIo.run_for(1ms);
  }
  REQUIRE(aCondition());
}

std::chrono::milliseconds
TimeSince(std::chrono::steady_clock::time_point aStart)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               aStart);
}

/// A store with one key. Watches wait for its next value, reads of other keys until they are
/// released.
class OneKeyStore
{
public:
  explicit OneKeyStore(boost::asio::io_context& aIo)
    : mServer(aIo,
              {},
              [this](const Net::HttpRequest& aRequest, const Net::Responder& aRespond) {
                const bool isWatch = aRequest.mTarget.starts_with("/-/kv-watch");
                const std::string after = "after=" + std::to_string(mRevision) + '&';
                if (isWatch && aRequest.mTarget.find(after) != std::string::npos) {
                  mWatches.push_back(aRespond);
                } else if (isWatch) {
                  aRespond(answer("events"));
                } else if (aRequest.mTarget.starts_with("/-/kv-range")) {
                  aRespond(answer("items"));
                } else {
                  mReads.push_back(aRespond);
                }
              })
    , mIsListening(mServer.listen("127.0.0.1:0").has_value())
  {
  }

  void put(const std::string& aValue)
  {
    mValue = aValue;
    ++mRevision;
    for (const Net::Responder& respond : std::exchange(mWatches, {})) {
      respond(answer("events"));
    }
  }

  Net::HttpResponse answer(const char* aList) const
  {
    const Platform::Json item = { { "key", "config" },
                                  { "value", Common::EncodeBase64(mValue) },
                                  { "revision", mRevision } };
    return { 200,
             Platform::Json{
               { "store_revision", mRevision }, { "has_more", false }, { aList, { item } } }
               .dump(),
             {} };
  }

  std::string mValue = "old";
  std::int64_t mRevision = 1;
  std::vector<Net::Responder> mWatches;
  std::vector<Net::Responder> mReads;
  Net::HttpServer mServer;
  bool mIsListening;
};

} // namespace

TEST_CASE(
  "An instance learns of a changed configuration while its channels to the store are silent",
  "[Platform]")
{
  // After the channels to the store had gone silent, entries served an old configuration for as
  // many timeouts as they had kept connections (case 5 of the review).
  boost::asio::io_context io;
  OneKeyStore server(io);
  REQUIRE(server.mIsListening);
  TestSupport::SilencingProxy proxy(io, Net::AddressText(server.mServer.address()));
  const auto store = Platform::MakeStoreClient(io, proxy.address());
  Common::SystemClock clock;
  const Settings settings;
  const TimingConstants timing;
  const Formats formats;
  Observability::Counters counters;
  Context context{ io, clock, settings, timing, formats, *store, counters };
  std::string seen;
  {
    PrefixWatcher watcher(
      context,
      "config",
      timing.mWatchWait,
      { [&](const std::vector<Store::Entry>& aEntries, Store::Version) {
         seen = aEntries.at(0).mValue;
       },
        [&](const Store::WatchResult& aChange) { seen = aChange.mChanged.at(0).mValue; } });

    // Many callers came at once.
    const std::size_t idle = GENERATE(1U, 24U, 64U);
    std::size_t answered = 0;
    for (std::size_t i = 0; i < idle; ++i) {
      store->read(
        "job", 20s, [&](const Store::Result<std::optional<Store::Entry>>&) { ++answered; });
    }
    RunUntil(io, [&] { return server.mReads.size() == idle; });
    for (const Net::Responder& respond : std::exchange(server.mReads, {})) {
      respond({ 404, "{}", {} });
    }
    RunUntil(io, [&] { return answered == idle; });

    SECTION("that was watched")
    {
      watcher.start();
      RunUntil(io, [&] { return seen == "old" && !server.mWatches.empty(); });
    }

    SECTION("that was about to be read")
    {
      // The first call goes over a silent connection.
      proxy.silenceOpenConnections();
      watcher.start();
    }
    proxy.silenceOpenConnections();
    server.put("new");
    const auto start = std::chrono::steady_clock::now();
    RunUntil(io, [&] { return seen == "new"; });
    INFO(idle << " idle channels: " << TimeSince(start).count() << " ms");
    CHECK(TimeSince(start) < kConfigurationInForceWithin);
  }
  io.restart();
  io.run_for(10ms);
}

TEST_CASE("Orders to a worker get through when the channels to it are silent", "[Platform]")
{
  // An order was given up after three attempts, each on another kept connection that was silent.
  boost::asio::io_context io;
  const TimingConstants timing;
  FakeWorker worker("w1");
  WorkerServer server(io, worker);
  REQUIRE(server.isListening());
  worker.restart("w1", LifetimeStart{ 1 });
  worker.mClockOrigin -= 20s;
  worker.mTaskTime = 60s;
  TestSupport::SilencingProxy proxy(io, server.address());
  const auto port =
    Platform::MakeWorkerClient(io, proxy.address(), { Common::WorkerId("w1"), LifetimeStart{ 1 } });
  const Common::Epoch term{ 1 };
  const auto poll = [&](std::chrono::milliseconds aTimeout) {
    std::optional<bool> isAnswered;
    port->poll(term,
               Scheduling::EndNumber{ 0 },
               std::nullopt,
               0ms,
               aTimeout,
               [&](const tl::expected<PollResult, PollError>& aResult) {
                 isAnswered = aResult.has_value();
               });
    RunUntil(io, [&] { return isAnswered.has_value(); });
    return *isAnswered;
  };
  REQUIRE(poll(600ms));

  // Many tasks start at one time.
  const std::size_t idle = GENERATE(1U, 24U, 64U);
  Scheduling::TaskName task;
  task.mJob = Common::JobId("00000000000b0001");
  std::size_t answered = 0;
  for (std::size_t i = 0; i < idle; ++i) {
    port->throttle(
      term, task, Scheduling::RunNumber{ 1 }, Scheduling::Percent{ 50 }, 5s, [&](OrderAnswer) {
        ++answered;
      });
  }
  RunUntil(io, [&] { return answered == idle; });
  REQUIRE(proxy.accepted() > idle);
  proxy.silenceOpenConnections();
  int unanswered = 0;
  const auto start = std::chrono::steady_clock::now();
  std::optional<OrderResult> result;
  const auto stop = [&] {
    result.reset();
    port->stop(term,
               task,
               Scheduling::RunNumber{ 1 },
               timing.mOrderCallTimeout,
               [&](const OrderAnswer& aAnswer) { result = aAnswer.mResult; });
    RunUntil(io, [&] { return result.has_value(); });
    return *result != OrderResult::Unknown;
  };

  SECTION("after one timeout")
  {
    while (!stop()) {
      ++unanswered;
    }
    INFO(idle << " idle channels: " << TimeSince(start).count() << " ms");
    CHECK(unanswered == 1);
    CHECK(TimeSince(start) < 2 * timing.mOrderCallTimeout);
  }

  SECTION("at once if a poll was not answered before")
  {
    REQUIRE_FALSE(poll(200ms));
    const auto stopped = std::chrono::steady_clock::now();
    REQUIRE(stop());
    INFO(idle << " idle channels: " << TimeSince(stopped).count() << " ms");
    CHECK(TimeSince(stopped) < timing.mOrderCallTimeout);
  }
  CHECK(*result != OrderResult::Unhealthy);
}
