#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Tables/Tables.h"

namespace Admission {

using Common::Duration;
using Common::Timestamp;

/// A request that asks for a slot and a connection.
struct Request
{
  Common::RequestId mId;
  Common::RouteId mRoute;
  Tables::Urgency mUrgency = Tables::Urgency::Standard;
  Common::TeamId mTeam;
  Common::ClientId mClient;
  std::uint32_t mTeamWeight = 1;
  std::uint32_t mClientWeight = 1;
  /// Time by which the answer must be ready.
  Timestamp mDeadline;
};

struct QueuedRequest
{
  Request mRequest;
  Timestamp mArrived;
};

struct ClientFlow
{
  double mWeight = 1;
  /// Virtual time at which the next request of the flow may start.
  double mStartTag = 0;
  std::deque<QueuedRequest> mRequests;
};

struct TeamFlow
{
  double mWeight = 1;
  double mStartTag = 0;
  double mVirtualTime = 0;
  std::size_t mQueued = 0;
  std::map<Common::ClientId, ClientFlow> mClients;
};

/// Start-time fair queue of one urgency class: by team, and inside a team by client. Each flow gets
/// service time in proportion to its weight while it has requests waiting.
struct FairQueue
{
  double mVirtualTime = 0;
  std::size_t mQueued = 0;
  std::map<Common::TeamId, TeamFlow> mTeams;
};

void
Push(FairQueue& aQueue, QueuedRequest aItem);

/// The request that is next in fair order, without taking it; null if none waits.
const QueuedRequest*
PeekNext(const FairQueue& aQueue);

/// Takes the request that PeekNext names and charges its flow with aCost (service time in
/// microseconds). A cost of 0 takes it without charge, for a request that is refused.
std::optional<QueuedRequest>
PopNext(FairQueue& aQueue, double aCost);

/// Makes room for aNewcomer in a full queue: takes the newest request of the flow with the most
/// requests for its weight. Nothing if that flow is the newcomer's own or no longer than it.
std::optional<QueuedRequest>
EvictFor(FairQueue& aQueue, const Request& aNewcomer);

/// Takes every request for which aPredicate holds.
template<typename Predicate>
std::vector<QueuedRequest>
RemoveIf(FairQueue& aQueue, Predicate aPredicate)
{
  std::vector<QueuedRequest> taken;
  for (auto& [teamName, team] : aQueue.mTeams) {
    for (auto& [clientName, client] : team.mClients) {
      if (std::none_of(client.mRequests.begin(), client.mRequests.end(), aPredicate)) {
        continue;
      }
      std::deque<QueuedRequest> kept;
      for (auto& item : client.mRequests) {
        (aPredicate(item) ? taken.emplace_back() : kept.emplace_back()) = std::move(item);
      }
      team.mQueued -= client.mRequests.size() - kept.size();
      aQueue.mQueued -= client.mRequests.size() - kept.size();
      client.mRequests = std::move(kept);
    }
  }
  return taken;
}

/// Requests that are served before a new request of the given team and client, in fair order.
double
RequestsAhead(const FairQueue& aQueue, const Request& aRequest);

} // namespace Admission
