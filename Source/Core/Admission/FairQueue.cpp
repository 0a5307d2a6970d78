#include "Admission/FairQueue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Admission {

namespace {

// A flow without waiting requests is kept only for its start tag. Above this number of flows all
// such flows are dropped, so that a steady stream of new clients cannot grow the maps without
// bound.
constexpr std::size_t kMaxIdleFlows = 1024;

double
WeightOf(std::uint32_t aWeight)
{
  return std::max<double>(1, aWeight);
}

template<typename Flows, typename QueuedOf>
auto
NextFlow(Flows& aFlows, QueuedOf aQueuedOf)
{
  auto best = aFlows.end();
  for (auto flow = aFlows.begin(); flow != aFlows.end(); ++flow) {
    if (aQueuedOf(flow->second) > 0 &&
        (best == aFlows.end() || flow->second.mStartTag < best->second.mStartTag)) {
      best = flow;
    }
  }
  return best;
}

std::size_t
QueuedOfTeam(const TeamFlow& aTeam)
{
  return aTeam.mQueued;
}

std::size_t
QueuedOfClient(const ClientFlow& aClient)
{
  return aClient.mRequests.size();
}

template<typename Flows, typename QueuedOf>
void
DropIdleFlows(Flows& aFlows, double aVirtualTime, QueuedOf aQueuedOf)
{
  const bool dropAll = aFlows.size() > kMaxIdleFlows;
  std::erase_if(aFlows, [&](const auto& aFlow) {
    return aQueuedOf(aFlow.second) == 0 && (dropAll || aFlow.second.mStartTag <= aVirtualTime);
  });
}

} // namespace

void
Push(FairQueue& aQueue, QueuedRequest aItem)
{
  const Request& request = aItem.mRequest;
  TeamFlow& team = aQueue.mTeams[request.mTeam];
  team.mWeight = WeightOf(request.mTeamWeight);
  if (team.mQueued == 0) {
    team.mStartTag = std::max(team.mStartTag, aQueue.mVirtualTime);
  }
  ClientFlow& client = team.mClients[request.mClient];
  client.mWeight = WeightOf(request.mClientWeight);
  if (client.mRequests.empty()) {
    client.mStartTag = std::max(client.mStartTag, team.mVirtualTime);
  }
  client.mRequests.push_back(std::move(aItem));
  ++team.mQueued;
  ++aQueue.mQueued;
}

const QueuedRequest*
PeekNext(const FairQueue& aQueue)
{
  const auto team = NextFlow(aQueue.mTeams, QueuedOfTeam);
  if (team == aQueue.mTeams.end()) {
    return nullptr;
  }
  const auto client = NextFlow(team->second.mClients, QueuedOfClient);
  return &client->second.mRequests.front();
}

std::optional<QueuedRequest>
PopNext(FairQueue& aQueue, double aCost)
{
  const auto found = NextFlow(aQueue.mTeams, QueuedOfTeam);
  if (found == aQueue.mTeams.end()) {
    return std::nullopt;
  }
  TeamFlow& team = found->second;
  ClientFlow& client = NextFlow(team.mClients, QueuedOfClient)->second;
  QueuedRequest item = std::move(client.mRequests.front());
  client.mRequests.pop_front();
  --team.mQueued;
  --aQueue.mQueued;
  if (aCost > 0) {
    aQueue.mVirtualTime = team.mStartTag;
    team.mVirtualTime = client.mStartTag;
    team.mStartTag += aCost / team.mWeight;
    client.mStartTag += aCost / client.mWeight;
  }
  DropIdleFlows(team.mClients, team.mVirtualTime, QueuedOfClient);
  DropIdleFlows(aQueue.mTeams, aQueue.mVirtualTime, QueuedOfTeam);
  return item;
}

std::optional<QueuedRequest>
EvictFor(FairQueue& aQueue, const Request& aNewcomer)
{
  const auto load = [](const auto& aFlow, std::size_t aQueued) {
    return static_cast<double>(aQueued) / aFlow.mWeight;
  };
  TeamFlow* longestTeam = nullptr;
  for (auto& [name, team] : aQueue.mTeams) {
    if (!longestTeam || load(team, team.mQueued) > load(*longestTeam, longestTeam->mQueued)) {
      longestTeam = &team;
    }
  }
  if (!longestTeam || longestTeam->mQueued == 0) {
    return std::nullopt;
  }
  const auto own = aQueue.mTeams.find(aNewcomer.mTeam);
  const bool sameTeam = own != aQueue.mTeams.end() && &own->second == longestTeam;
  const std::size_t ownQueued = own == aQueue.mTeams.end() ? 0 : own->second.mQueued;
  if (!sameTeam && static_cast<double>(ownQueued + 1) / WeightOf(aNewcomer.mTeamWeight) >
                     load(*longestTeam, longestTeam->mQueued)) {
    return std::nullopt;
  }
  ClientFlow* longest = nullptr;
  for (auto& [name, client] : longestTeam->mClients) {
    if (!longest ||
        load(client, client.mRequests.size()) > load(*longest, longest->mRequests.size())) {
      longest = &client;
    }
  }
  if (sameTeam) {
    const auto client = longestTeam->mClients.find(aNewcomer.mClient);
    const std::size_t clientQueued =
      client == longestTeam->mClients.end() ? 0 : client->second.mRequests.size();
    if (static_cast<double>(clientQueued + 1) / WeightOf(aNewcomer.mClientWeight) >
        load(*longest, longest->mRequests.size())) {
      return std::nullopt;
    }
  }
  QueuedRequest evicted = std::move(longest->mRequests.back());
  longest->mRequests.pop_back();
  --longestTeam->mQueued;
  --aQueue.mQueued;
  return evicted;
}

double
RequestsAhead(const FairQueue& aQueue, const Request& aRequest)
{
  double ownInTeam = 1;
  const auto own = aQueue.mTeams.find(aRequest.mTeam);
  if (own != aQueue.mTeams.end()) {
    const auto& clients = own->second.mClients;
    const auto client = clients.find(aRequest.mClient);
    const double rounds =
      (client == clients.end() ? 1 : static_cast<double>(client->second.mRequests.size() + 1)) /
      WeightOf(aRequest.mClientWeight);
    for (const auto& [name, flow] : clients) {
      ownInTeam += std::min(static_cast<double>(flow.mRequests.size()), rounds * flow.mWeight);
    }
  }
  const double rounds = ownInTeam / WeightOf(aRequest.mTeamWeight);
  double ahead = ownInTeam - 1;
  for (const auto& [name, team] : aQueue.mTeams) {
    if (own == aQueue.mTeams.end() || &team != &own->second) {
      ahead += std::min(static_cast<double>(team.mQueued), rounds * team.mWeight);
    }
  }
  return ahead;
}

} // namespace Admission
