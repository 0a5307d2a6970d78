#include "Node/ClientLimits.h"

#include <algorithm>
#include <chrono>
#include <map>

#include "Observability/Log.h"

namespace Node {

namespace {

using Observability::Level;
using Observability::Log;

/// Part of the memory that clients may hold. The rest is for jobs, the connections to other
/// processes and what the allocator cannot reuse at once.
constexpr std::uint64_t kBudgetDivisor = 4;
/// Part of the memory that the system's buffers take if those of all connections are full.
constexpr std::uint64_t kKernelBufferDivisor = 2;
/// The system counts twice the size that is asked for, for each direction.
constexpr std::uint64_t kKernelBufferFactor = 2;
/// With smaller ones a body of 262,144 bytes takes more than a second over 60 ms.
constexpr std::uint64_t kMinKernelBuffer = 16'384;
/// Buffers beyond this size make no request faster.
constexpr std::uint64_t kMaxKernelBuffer = 65'536;
/// Descriptors that the machine needs for files.
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kMinSockets = 64;
/// Probes and scrapes use few connections, which the callers must not take from them.
constexpr std::size_t kMinSmallShare = 8;
/// Most unanswered requests of a small machine; ordinary ones are answered within milliseconds.
constexpr std::size_t kMinUnanswered = 32;
/// Refusals of one cause are logged once in this time.
constexpr std::chrono::seconds kLogInterval{ 1 };

} // namespace

std::uint64_t
ClientBudgetBytes(const Settings& aSettings)
{
  return aSettings.mMemoryLimit / kBudgetDivisor;
}

ConnectionShares
ShareConnections(const Settings& aSettings)
{
  const std::size_t sockets = aSettings.mMaxDescriptors > kFileDescriptors + kMinSockets
                                ? aSettings.mMaxDescriptors - kFileDescriptors
                                : kMinSockets;
  ConnectionShares shares;
  // An unanswered request may need a connection to the store. A sixteenth is left for the process's
  // other calls.
  shares.mClients = sockets * 5 / 8;
  shares.mUnanswered = std::max(kMinUnanswered, sockets / 8);
  shares.mPeers = sockets / 8;
  shares.mReadiness = std::max(kMinSmallShare, sockets / 32);
  shares.mMetrics = std::max(kMinSmallShare, sockets / 32);
  return shares;
}

int
KernelBufferBytes(const Settings& aSettings)
{
  const std::uint64_t ofConnection =
    aSettings.mMemoryLimit / kKernelBufferDivisor / ShareConnections(aSettings).mClients;
  return static_cast<int>(
    std::clamp(ofConnection / kKernelBufferFactor, kMinKernelBuffer, kMaxKernelBuffer));
}

Net::HttpLimits
MakeHttpLimits(const Settings& aSettings, std::size_t aConnections)
{
  Net::HttpLimits limits;
  limits.mConnections = aConnections;
  limits.mKernelBufferBytes = KernelBufferBytes(aSettings);
  return limits;
}

std::function<void(Net::RefusalCause)>
ReportRefusals(Observability::Counters& aCounters, std::string aListener)
{
  struct Unlogged
  {
    std::chrono::steady_clock::time_point mLoggedAt;
    std::int64_t mCount = 0;
  };
  return [&aCounters,
          listener = std::move(aListener),
          causes = std::map<Net::RefusalCause, Unlogged>()](Net::RefusalCause aCause) mutable {
    const std::string cause(Net::CauseText(aCause));
    aCounters.counter("ibis_http_refused", "listener=\"" + listener + "\",cause=\"" + cause + '"')
      .add();
    Unlogged& unlogged = causes[aCause];
    ++unlogged.mCount;
    const auto now = std::chrono::steady_clock::now();
    if (now - unlogged.mLoggedAt < kLogInterval) {
      return;
    }
    Log(Level::Warning,
        "process",
        "refused clients",
        { { "listener", listener },
          { "cause", cause },
          { "count", std::to_string(unlogged.mCount) } });
    unlogged = { now, 0 };
  };
}

Net::HttpSharing
ShareBudget(Observability::Counters& aCounters,
            std::shared_ptr<Net::ReceiveBudget> aBudget,
            std::string aListener)
{
  return { std::move(aBudget), ReportRefusals(aCounters, std::move(aListener)) };
}

void
SetConnections(Observability::Counters& aCounters,
               std::string_view aListener,
               std::size_t aConnections)
{
  aCounters.counter("ibis_http_connections", "listener=\"" + std::string(aListener) + '"')
    .set(static_cast<std::int64_t>(aConnections));
}

void
SetBudget(Observability::Counters& aCounters, const Net::ReceiveBudget& aBudget)
{
  aCounters.counter("ibis_http_budget_bytes").set(static_cast<std::int64_t>(aBudget.bytes()));
  aCounters.counter("ibis_http_budget_used_bytes")
    .set(static_cast<std::int64_t>(aBudget.usedBytes()));
}

} // namespace Node
