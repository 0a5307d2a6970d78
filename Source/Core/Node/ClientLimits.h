#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Net/HttpServer.h"
#include "Node/Settings.h"
#include "Observability/Counters.h"

/// Limits of a process for its clients. They are derived from the memory and the descriptors of its
/// machine, so that clients outside the operators' control cannot exhaust either.
namespace Node {

/// What each listener of a process accepts. Together with the connections for unanswered requests
/// it fits into the descriptors of the machine.
struct ConnectionShares
{
  /// Callers of an entry, the worker of an agent.
  std::size_t mClients = 0;
  /// Requests of callers that are read and not answered yet.
  std::size_t mUnanswered = 0;
  std::size_t mReadiness = 0;
  std::size_t mMetrics = 0;
  std::size_t mPeers = 0;
};

/// Bytes that all clients of the process may hold together.
std::uint64_t
ClientBudgetBytes(const Settings& aSettings);

ConnectionShares
ShareConnections(const Settings& aSettings);

/// Size of the system's buffers for one connection.
int
KernelBufferBytes(const Settings& aSettings);

/// Limits of a listener that has no others.
Net::HttpLimits
MakeHttpLimits(const Settings& aSettings, std::size_t aConnections);

/// Counts refusals by listener and cause and logs each cause at most once a second. The counters
/// outlive the returned function.
std::function<void(Net::RefusalCause)>
ReportRefusals(Observability::Counters& aCounters, std::string aListener);

Net::HttpSharing
ShareBudget(Observability::Counters& aCounters,
            std::shared_ptr<Net::ReceiveBudget> aBudget,
            std::string aListener);

void
SetConnections(Observability::Counters& aCounters,
               std::string_view aListener,
               std::size_t aConnections);
void
SetBudget(Observability::Counters& aCounters, const Net::ReceiveBudget& aBudget);

} // namespace Node
