#include "Dispatch/Agents.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Dispatch {

namespace {

// Older reports say little about the load; the entry's own count is used instead.
constexpr Duration kReportFreshFor = std::chrono::seconds(3);
// Assumed for an agent that has reported no latency.
constexpr Duration kDefaultLatency = std::chrono::milliseconds(5);
// Same data centre, same region, other region.
constexpr std::size_t kDistanceTiers = 3;

std::size_t
DistanceTier(const Location& aHere, const Location& aThere)
{
  if (aHere.mDataCentre == aThere.mDataCentre) {
    return 0;
  }
  return aHere.mRegion == aThere.mRegion ? 1 : 2;
}

Duration
OneWayDelay(const AgentChoiceRules& aRules, std::size_t aTier)
{
  const std::array delays{ aRules.mSameDataCentreDelay,
                           aRules.mSameRegionDelay,
                           aRules.mOtherRegionDelay };
  return delays[aTier];
}

double
EstimatedLoad(const AgentView& aAgent, Timestamp aNow)
{
  const AgentReport& report = aAgent.mReport;
  const auto inFlight = static_cast<double>(aAgent.mInFlight);
  if (aNow - aAgent.mReportedAt > kReportFreshFor) {
    return inFlight;
  }
  return std::max(
    inFlight, static_cast<double>(report.mSlotsInUse + report.mQueued + aAgent.mSentSinceReport));
}

Duration
ExpectedResponseTime(const AgentView& aAgent, Duration aDelay, Timestamp aNow)
{
  const double slots = std::max(1, aAgent.mReport.mSlotsLimit);
  const double load = EstimatedLoad(aAgent, aNow) + 1;
  const double latency = static_cast<double>(
    (aAgent.mReport.mLatency.count() > 0 ? aAgent.mReport.mLatency : kDefaultLatency).count());
  // With a free slot a request takes one service time; beyond that requests queue. The small second
  // term spreads requests over agents that all have free slots.
  const double serviceTimes = std::max(1.0, load / slots) + 0.1 * load / slots;
  return Duration(static_cast<std::int64_t>(latency * serviceTimes)) + 2 * aDelay;
}

struct Candidate
{
  const AgentView* mAgent = nullptr;
  Duration mExpectedResponseTime{ 0 };
};

Candidate
BetterOfTwo(const std::vector<const AgentView*>& aAgents,
            Duration aDelay,
            Timestamp aNow,
            Common::Random& aRandom)
{
  if (aAgents.empty()) {
    return {};
  }
  const std::size_t first = aRandom.below(aAgents.size());
  std::size_t second = first;
  if (aAgents.size() > 1) {
    second = aRandom.below(aAgents.size() - 1);
    second += second >= first ? 1 : 0;
  }
  const Candidate candidateA{ aAgents[first], ExpectedResponseTime(*aAgents[first], aDelay, aNow) };
  const Candidate candidateB{ aAgents[second],
                              ExpectedResponseTime(*aAgents[second], aDelay, aNow) };
  return candidateB.mExpectedResponseTime < candidateA.mExpectedResponseTime ? candidateB
                                                                             : candidateA;
}

using CandidatesByTier = std::array<std::vector<const AgentView*>, kDistanceTiers>;

CandidatesByTier
EligibleAgents(const PoolView& aPool,
               const Location& aHere,
               const std::vector<Common::InstanceId>& aExcluded,
               bool aDeprioritized,
               Timestamp aNow)
{
  CandidatesByTier tiers;
  for (const AgentView& agent : aPool.mAgents) {
    const AgentReport& report = agent.mReport;
    const bool excluded =
      std::find(aExcluded.begin(), aExcluded.end(), report.mInstance) != aExcluded.end();
    const bool deprioritized = report.mSuspect || aNow < agent.mAvoidUntil;
    if (!excluded && !report.mLeaving && deprioritized == aDeprioritized) {
      tiers[DistanceTier(aHere, report.mLocation)].push_back(&agent);
    }
  }
  return tiers;
}

std::optional<AgentChoice>
ChooseFromTiers(const CandidatesByTier& aTiers,
                Duration aRemaining,
                const AgentChoiceRules& aRules,
                Timestamp aNow,
                Common::Random& aRandom)
{
  Candidate best;
  std::size_t bestTier = 0;
  for (std::size_t tier = 0; tier < kDistanceTiers; ++tier) {
    const bool crossesLink = tier == kDistanceTiers - 1;
    const Candidate next = BetterOfTwo(aTiers[tier], OneWayDelay(aRules, tier), aNow, aRandom);
    if (!next.mAgent ||
        (crossesLink && (!aRules.mLinkAvailable || next.mExpectedResponseTime > aRemaining))) {
      continue;
    }
    const bool inTime = best.mAgent && best.mExpectedResponseTime <= aRemaining;
    const double requiredSpeedup = crossesLink && inTime ? aRules.mMinLinkSpeedup : 1;
    const bool better =
      !best.mAgent || static_cast<double>(next.mExpectedResponseTime.count()) * requiredSpeedup <
                        static_cast<double>(best.mExpectedResponseTime.count());
    if (better) {
      best = next;
      bestTier = tier;
    }
  }
  if (!best.mAgent) {
    return std::nullopt;
  }
  const AgentReport& report = best.mAgent->mReport;
  return AgentChoice{ report.mInstance,
                      report.mIncarnation,
                      report.mAddress,
                      bestTier == kDistanceTiers - 1,
                      OneWayDelay(aRules, bestTier),
                      best.mExpectedResponseTime };
}

} // namespace

AgentView*
FindAgent(PoolView& aPool, const Common::InstanceId& aInstance)
{
  const auto found =
    std::find_if(aPool.mAgents.begin(), aPool.mAgents.end(), [&](const AgentView& aAgent) {
      return aAgent.mReport.mInstance == aInstance;
    });
  return found == aPool.mAgents.end() ? nullptr : &*found;
}

void
ApplyReport(PoolView& aPool,
            AgentReport aReport,
            std::size_t aAgentsInPool,
            Timestamp aNow,
            Common::Random& aRandom)
{
  const Timestamp reportedAt = aNow - aReport.mAge;
  if (AgentView* known = FindAgent(aPool, aReport.mInstance)) {
    if (aReport.mIncarnation < known->mReport.mIncarnation) {
      return;
    }
    if (aReport.mIncarnation > known->mReport.mIncarnation) {
      *known = AgentView{ std::move(aReport), reportedAt, 0, 0, Timestamp{} };
      return;
    }
    if (reportedAt >= known->mReportedAt) {
      known->mReport = std::move(aReport);
      known->mReportedAt = reportedAt;
      known->mSentSinceReport = 0;
    }
    return;
  }
  if (aReport.mLeaving) {
    return;
  }
  AgentView newAgent{ std::move(aReport), reportedAt, 0, 0, Timestamp{} };
  if (aPool.mAgents.size() < aPool.mMaxAgents) {
    aPool.mAgents.push_back(std::move(newAgent));
    return;
  }
  const auto replaceable =
    std::find_if(aPool.mAgents.begin(), aPool.mAgents.end(), [](const AgentView& aAgent) {
      return aAgent.mReport.mLeaving || aAgent.mReport.mSuspect;
    });
  if (replaceable != aPool.mAgents.end()) {
    *replaceable = std::move(newAgent);
  } else if (aRandom.below(std::max(aAgentsInPool, std::size_t{ 1 })) < aPool.mMaxAgents) {
    aPool.mAgents[aRandom.below(aPool.mAgents.size())] = std::move(newAgent);
  }
}

void
ApplyLoad(PoolView& aPool,
          const Common::InstanceId& aInstance,
          Common::Incarnation aIncarnation,
          std::int32_t aSlotsLimit,
          std::int32_t aSlotsInUse,
          std::int32_t aQueued,
          Duration aLatency,
          bool aLeaving,
          Timestamp aNow)
{
  AgentView* agent = FindAgent(aPool, aInstance);
  if (!agent || agent->mReport.mIncarnation != aIncarnation || aNow < agent->mReportedAt) {
    return;
  }
  AgentReport& report = agent->mReport;
  report.mSlotsLimit = aSlotsLimit;
  report.mSlotsInUse = aSlotsInUse;
  report.mQueued = aQueued;
  report.mLatency = aLatency;
  // Within one incarnation only a membership report can clear `leaving`.
  report.mLeaving = report.mLeaving || aLeaving;
  agent->mReportedAt = aNow;
  agent->mSentSinceReport = 0;
}

void
RemoveAgent(PoolView& aPool, const Common::InstanceId& aInstance)
{
  std::erase_if(aPool.mAgents,
                [&](const AgentView& aAgent) { return aAgent.mReport.mInstance == aInstance; });
}

void
CountSentRequest(PoolView& aPool,
                 const Common::InstanceId& aInstance,
                 Common::Incarnation aIncarnation)
{
  AgentView* agent = FindAgent(aPool, aInstance);
  if (agent && agent->mReport.mIncarnation == aIncarnation) {
    ++agent->mInFlight;
    ++agent->mSentSinceReport;
  }
}

void
CountEndedRequest(PoolView& aPool,
                  const Common::InstanceId& aInstance,
                  Common::Incarnation aIncarnation)
{
  AgentView* agent = FindAgent(aPool, aInstance);
  if (agent && agent->mReport.mIncarnation == aIncarnation && agent->mInFlight > 0) {
    --agent->mInFlight;
  }
}

void
AvoidAgent(PoolView& aPool, const Common::InstanceId& aInstance, Timestamp aUntil)
{
  if (AgentView* agent = FindAgent(aPool, aInstance)) {
    agent->mAvoidUntil = std::max(agent->mAvoidUntil, aUntil);
  }
}

std::optional<AgentChoice>
ChooseAgent(const PoolView& aPool,
            const Location& aHere,
            const std::vector<Common::InstanceId>& aExcluded,
            Duration aRemaining,
            const AgentChoiceRules& aRules,
            Timestamp aNow,
            Common::Random& aRandom)
{
  for (const bool deprioritized : { false, true }) {
    const CandidatesByTier tiers = EligibleAgents(aPool, aHere, aExcluded, deprioritized, aNow);
    if (auto choice = ChooseFromTiers(tiers, aRemaining, aRules, aNow, aRandom)) {
      return choice;
    }
  }
  return std::nullopt;
}

} // namespace Dispatch
