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

/// A request for a slot and a connection of an endpoint.
struct Request
{
  Common::RequestId mId;
  Common::RouteId mRoute;
  Tables::Urgency mUrgency = Tables::Urgency::Standard;
  Common::TeamId mTeam;
  Common::ClientId mClient;
  std::uint32_t mTeamWeight = 1;
  std::uint32_t mClientWeight = 1;
  /// Time by which the response must be complete.
  Timestamp mDeadline;
};

/// A waiting request and the time at which it entered the queue.
struct QueuedRequest
{
  Request mRequest;
  Timestamp mArrived;
};

/// Waiting requests of one client within its team, oldest first.
struct ClientFlow
{
  double mWeight = 1;
  /// Start tag of the flow's next request; the flow with the lowest tag is served next.
  double mStartTag = 0;
  std::deque<QueuedRequest> mRequests;
};

/// Waiting requests of one team, by client.
struct TeamFlow
{
  double mWeight = 1;
  /// As in ClientFlow, in the virtual time of the queue.
  double mStartTag = 0;
  /// Virtual time among the clients of the team: the start tag of the last one served.
  double mVirtualTime = 0;
  /// Waiting requests of all its clients.
  std::size_t mQueued = 0;
  std::map<Common::ClientId, ClientFlow> mClients;
};

/// Hierarchical start-time fair queue of one urgency class: by team, and within a team by client.
/// While flows have requests waiting, they get service time in proportion to their weights.
struct FairQueue
{
  /// Start tag of the team that was served last.
  double mVirtualTime = 0;
  /// Waiting requests of all teams.
  std::size_t mQueued = 0;
  std::map<Common::TeamId, TeamFlow> mTeams;
};

/// Appends a request to the flow of its client and updates the weights from it.
void
Push(FairQueue& aQueue, QueuedRequest aItem);

/// Returns the next request in fair order without removing it; null if none waits.
const QueuedRequest*
PeekNext(const FairQueue& aQueue);

/// Removes the request that PeekNext returns and charges its team and client with aCost, the
/// expected service time in microseconds. A cost of 0 charges nothing, for a request that is
/// refused. Returns nothing if no request waits.
std::optional<QueuedRequest>
PopNext(FairQueue& aQueue, double aCost);

/// Makes room for aNewcomer in a full queue: removes and returns the newest request of the flow
/// with the most waiting requests relative to its weight. Removes nothing if the newcomer would
/// make its own flow the longest.
std::optional<QueuedRequest>
EvictFor(FairQueue& aQueue, const Request& aNewcomer);

/// Removes and returns every request for which aPredicate holds.
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

/// Estimates how many waiting requests would be served before aRequest if it were pushed now.
double
RequestsAhead(const FairQueue& aQueue, const Request& aRequest);

} // namespace Admission
