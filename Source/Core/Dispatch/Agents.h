#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Random.h"
#include "Common/Units.h"

/// Decides where a request goes and what its caller is told.
namespace Dispatch {

using Common::Duration;
using Common::Timestamp;

struct Location
{
  Common::DataCentreId mDataCentre;
  Common::RegionId mRegion;
};

/// What an agent says of itself, directly in replies or through the cell owner.
struct AgentReport
{
  Common::InstanceId mInstance;
  Common::Incarnation mIncarnation;
  std::string mAddress;
  Location mLocation;
  std::int32_t mSlotsLimit = 0;
  std::int32_t mSlotsInUse = 0;
  std::int32_t mQueued = 0;
  Duration mLatency{ 0 };
  bool mSuspect = false;
  bool mLeaving = false;
  /// How old the figures were when they arrived.
  Duration mAge{ 0 };
};

struct AgentView
{
  AgentReport mReport;
  Timestamp mReportedAt;
  /// Requests of this entry in progress at the agent, and those of them sent since the report.
  std::int32_t mInFlight = 0;
  std::int32_t mSentSinceReport = 0;
  /// After a refusal or a failed call other agents are tried first until this time.
  Timestamp mAvoidUntil;
};

/// A bounded sample of the agents of one pool.
struct PoolView
{
  std::vector<AgentView> mAgents;
  std::size_t mMaxAgents = 64;
};

/// The view of one agent; null if it is not in the sample.
AgentView*
FindAgent(PoolView& aPool, const Common::InstanceId& aInstance);

/// Adds or refreshes an agent. In a full sample it replaces one that is leaving or suspect, or else
/// a random one with a chance that keeps the sample uniform among the given number of agents. A
/// report of an older incarnation changes nothing; a newer one starts without requests in flight.
void
ApplyReport(PoolView& aPool,
            AgentReport aReport,
            std::size_t aAgentsInPool,
            Timestamp aNow,
            Common::Random& aRandom);

/// Refreshes the figures of a known agent from the load report of a reply.
void
ApplyLoad(PoolView& aPool,
          const Common::InstanceId& aInstance,
          Common::Incarnation aIncarnation,
          std::int32_t aSlotsLimit,
          std::int32_t aSlotsInUse,
          std::int32_t aQueued,
          Duration aLatency,
          bool aLeaving,
          Timestamp aNow);

void
RemoveAgent(PoolView& aPool, const Common::InstanceId& aInstance);

void
CountSentRequest(PoolView& aPool,
                 const Common::InstanceId& aInstance,
                 Common::Incarnation aIncarnation);

/// A call to the agent has ended, in whatever way.
void
CountEndedRequest(PoolView& aPool,
                  const Common::InstanceId& aInstance,
                  Common::Incarnation aIncarnation);

/// Prefers other agents until the given time.
void
AvoidAgent(PoolView& aPool, const Common::InstanceId& aInstance, Timestamp aUntil);

/// How a choice weighs distance. One-way delays come from the sizes of the design page.
struct AgentChoiceRules
{
  Duration mSameDataCentreDelay{ std::chrono::microseconds(200) };
  Duration mSameRegionDelay{ std::chrono::microseconds(1500) };
  Duration mOtherRegionDelay{ std::chrono::milliseconds(30) };
  /// The link between regions is slow and paid by volume: it is used only if the nearer candidate
  /// would take this many times longer, or cannot answer in time.
  double mMinLinkSpeedup = 3;
  /// False while the link's budget for urgent requests is spent.
  bool mLinkAvailable = true;
};

struct AgentChoice
{
  Common::InstanceId mInstance;
  Common::Incarnation mIncarnation;
  std::string mAddress;
  /// True if the request crosses the link between regions.
  bool mCrossesLink = false;
  /// One-way delay to the agent.
  Duration mOneWayDelay{ 0 };
  /// Expected time until the answer arrives.
  Duration mExpectedResponseTime{ 0 };
};

/// Samples two candidates in each place, nearest first, and returns the one that is expected to
/// answer first. Agents in aExcluded and leaving ones are never returned; suspect and avoided ones
/// only if there is no other. Nothing if no agent can be asked.
std::optional<AgentChoice>
ChooseAgent(const PoolView& aPool,
            const Location& aHere,
            const std::vector<Common::InstanceId>& aExcluded,
            Duration aRemaining,
            const AgentChoiceRules& aRules,
            Timestamp aNow,
            Common::Random& aRandom);

} // namespace Dispatch
