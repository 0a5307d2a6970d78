#include "Admission/FairQueue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Admission {

namespace {

// Flows without waiting requests are kept only for their tags; beyond this many they are dropped,
// so that a stream of ever new clients cannot grow the maps.
constexpr std::size_t kMaxIdleFlows = 1024;

double
WeightOf(std::uint32_t aWeight)
{
  return std::max<double>(1, aWeight);
}

template<typename Flows, typename Waiting>
auto
NextFlow(Flows& aFlows, Waiting aWaiting)
{
  auto best = aFlows.end();
  for (auto flow = aFlows.begin(); flow != aFlows.end(); ++flow) {
    if (aWaiting(flow->second) > 0 &&
        (best == aFlows.end() || flow->second.mTag < best->second.mTag)) {
      best = flow;
    }
  }
  return best;
}

std::size_t
WaitingOfTeam(const TeamFlow& aTeam)
{
  return aTeam.mQueued;
}

std::size_t
WaitingOfClient(const ClientFlow& aClient)
{
  return aClient.mItems.size();
}

template<typename Flows, typename Waiting>
void
DropIdle(Flows& aFlows, double aVirtual, Waiting aWaiting)
{
  const bool dropAll = aFlows.size() > kMaxIdleFlows;
  std::erase_if(aFlows, [&](const auto& aFlow) {
    return aWaiting(aFlow.second) == 0 && (dropAll || aFlow.second.mTag <= aVirtual);
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
    team.mTag = std::max(team.mTag, aQueue.mVirtual);
  }
  ClientFlow& client = team.mClients[request.mClient];
  client.mWeight = WeightOf(request.mClientWeight);
  if (client.mItems.empty()) {
    client.mTag = std::max(client.mTag, team.mVirtual);
  }
  client.mItems.push_back(std::move(aItem));
  ++team.mQueued;
  ++aQueue.mQueued;
}

const QueuedRequest*
PeekNext(const FairQueue& aQueue)
{
  const auto team = NextFlow(aQueue.mTeams, WaitingOfTeam);
  if (team == aQueue.mTeams.end()) {
    return nullptr;
  }
  const auto client = NextFlow(team->second.mClients, WaitingOfClient);
  return &client->second.mItems.front();
}

std::optional<QueuedRequest>
PopNext(FairQueue& aQueue, double aCost)
{
  const auto teamAt = NextFlow(aQueue.mTeams, WaitingOfTeam);
  if (teamAt == aQueue.mTeams.end()) {
    return std::nullopt;
  }
  TeamFlow& team = teamAt->second;
  ClientFlow& client = NextFlow(team.mClients, WaitingOfClient)->second;
  QueuedRequest item = std::move(client.mItems.front());
  client.mItems.pop_front();
  --team.mQueued;
  --aQueue.mQueued;
  if (aCost > 0) {
    aQueue.mVirtual = team.mTag;
    team.mVirtual = client.mTag;
    team.mTag += aCost / team.mWeight;
    client.mTag += aCost / client.mWeight;
  }
  DropIdle(team.mClients, team.mVirtual, WaitingOfClient);
  DropIdle(aQueue.mTeams, aQueue.mVirtual, WaitingOfTeam);
  return item;
}

std::optional<QueuedRequest>
PushOut(FairQueue& aQueue, const Request& aNewcomer)
{
  const auto load = [](const auto& aFlow, std::size_t aWaiting) {
    return static_cast<double>(aWaiting) / aFlow.mWeight;
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
    if (!longest || load(client, client.mItems.size()) > load(*longest, longest->mItems.size())) {
      longest = &client;
    }
  }
  if (sameTeam) {
    const auto client = longestTeam->mClients.find(aNewcomer.mClient);
    const std::size_t mine =
      client == longestTeam->mClients.end() ? 0 : client->second.mItems.size();
    if (static_cast<double>(mine + 1) / WeightOf(aNewcomer.mClientWeight) >
        load(*longest, longest->mItems.size())) {
      return std::nullopt;
    }
  }
  QueuedRequest victim = std::move(longest->mItems.back());
  longest->mItems.pop_back();
  --longestTeam->mQueued;
  --aQueue.mQueued;
  return victim;
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
      (client == clients.end() ? 1 : static_cast<double>(client->second.mItems.size() + 1)) /
      WeightOf(aRequest.mClientWeight);
    for (const auto& [name, flow] : clients) {
      ownInTeam += std::min(static_cast<double>(flow.mItems.size()), rounds * flow.mWeight);
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
