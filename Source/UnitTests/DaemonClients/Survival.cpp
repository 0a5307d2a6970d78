#include "UnitTests/DaemonClients/Survival.h"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>

#include <sys/resource.h>

#include <catch2/catch.hpp>

namespace DaemonClients {

namespace {

using namespace std::chrono_literals;

// Crowds that send slowly never finish; the others are done, or met a full buffer, by then.
constexpr auto kCrowdTime = 10s;
// Only ends a test whose process answers nobody any more.
constexpr auto kAnswerLimit = 30s;
constexpr auto kSample = 20ms;
// Keeps a process without bounds from taking the test machine's memory; it is far above the bound
// that is checked. The stacks of all threads count toward it.
constexpr rlim_t kAddressSpace = rlim_t(6) << 30;

/// The most descriptors that a process was seen to have open, sampled on a thread.
class DescriptorPeak
{
public:
  explicit DescriptorPeak(pid_t aPid)
    : mThread([this, aPid] { watch(aPid); })
  {
  }
  ~DescriptorPeak()
  {
    mStopping = true;
    mThread.join();
  }
  DescriptorPeak(const DescriptorPeak&) = delete;
  DescriptorPeak& operator=(const DescriptorPeak&) = delete;

  std::size_t value() const { return mPeak; }

private:
  void watch(pid_t aPid)
  {
    const std::filesystem::path folder = "/proc/" + std::to_string(aPid) + "/fd";
    while (!mStopping) {
      std::error_code error;
      std::size_t count = 0;
      for (std::filesystem::directory_iterator it(folder, error), end; !error && it != end;
           it.increment(error)) {
        ++count;
      }
      mPeak = std::max(mPeak.load(), count);
      std::this_thread::sleep_for(kSample);
    }
  }

  std::atomic<std::size_t> mPeak{ 0 };
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

/// Peak of resident memory in megabytes (10^6); 0 if the process has ended.
double
PeakMegabytes(pid_t aPid)
{
  std::ifstream status("/proc/" + std::to_string(aPid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmHWM:")) {
      return std::stod(line.substr(6)) * 1024 / 1e6;
    }
  }
  return 0;
}

Http::Request
OrdinaryRequest(Listener aListener)
{
  switch (aListener) {
    case Listener::Callers:
    case Listener::UnknownPath:
      return { "POST", "/urgent", { { "Ibisshed-Client", "shop" } }, "ordinary" };
    case Listener::Operators:
      return { "GET", "/ibisshed/v1/tables", {}, "" };
    case Listener::Agent:
      break;
  }
  return { "POST",
           "/ibisshed/v1/announce",
           {},
           R"({"endpoint":"probe","pool":"other","address":"127.0.0.1:1","slots":1,)"
           R"("connections":1})" };
}

// Repeated, since a refusal under load is allowed.
bool
IsAnswered(int aPort, const Http::Request& aRequest)
{
  const auto end = std::chrono::steady_clock::now() + kAnswerLimit;
  while (std::chrono::steady_clock::now() < end) {
    const auto answer = Send(aPort, aRequest);
    if (answer && answer->mStatus == 200) {
      return true;
    }
    std::this_thread::sleep_for(100ms);
  }
  return false;
}

} // namespace

void
RequireSurvival(Listener aListener, Plan aPlan)
{
  Fleet fleet;
  const bool atAgent = aListener == Listener::Agent;
  ProcessBench::Child& process = atAgent ? fleet.agent() : fleet.entry();
  const rlimit most{ kAddressSpace, kAddressSpace };
  REQUIRE(::prlimit(process.pid(), RLIMIT_AS, &most, nullptr) == 0);
  const int port = atAgent ? fleet.agentPort() : fleet.entryPort();
  const DescriptorPeak descriptors(process.pid());
  Crowd crowd(port, std::move(aPlan));
  crowd.waitUntilDone(kCrowdTime);

  const bool answered = IsAnswered(port, OrdinaryRequest(aListener));
  const bool ended = process.hasEnded();
  const double megabytes = ended ? 0 : PeakMegabytes(process.pid());
  CHECK_FALSE(ended);
  CHECK(megabytes < static_cast<double>(atAgent ? kAgentMemoryMb : kEntryMemoryMb));
  CHECK(descriptors.value() < kMaxConnections + kOtherDescriptors);
  CHECK(answered);
}

} // namespace DaemonClients
