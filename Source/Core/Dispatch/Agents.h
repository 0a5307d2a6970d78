#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Random.h"
#include "Common/Units.h"

/// Request dispatch on an entry: selects the agent for each attempt, decides on retries and hedges,
/// and determines the outcome that the caller receives.
namespace Dispatch {

using Common::Duration;
using Common::Timestamp;

/// Data centre and region of an instance.
struct Location
{
  Common::DataCentreId mDataCentre;
  Common::RegionId mRegion;
};

/// Load and status of an agent, reported in its replies or by the cell owner.
struct AgentReport
{
  Common::InstanceId mInstance;
  Common::Incarnation mIncarnation;
  std::string mAddress;
  Location mLocation;
  /// Requests that the agent can run at the same time.
  std::int32_t mSlotsLimit = 0;
  std::int32_t mSlotsInUse = 0;
  std::int32_t mQueued = 0;
  /// Median latency of the agent's requests; 0 if it has none yet.
  Duration mLatency{ 0 };
  bool mSuspect = false;
  bool mLeaving = false;
  /// Age of the load figures when the report arrived.
  Duration mAge{ 0 };
};

/// The latest report of an agent, with this entry's own counts.
struct AgentView
{
  AgentReport mReport;
  Timestamp mReportedAt;
  /// Requests that this entry has in flight at the agent.
  std::int32_t mInFlight = 0;
  /// Requests that this entry sent after the report.
  std::int32_t mSentSinceReport = 0;
  /// Until this time other agents are preferred, because of a refusal or a failed call.
  Timestamp mAvoidUntil;
};

/// A bounded sample of the agents of one pool.
struct PoolView
{
  std::vector<AgentView> mAgents;
  /// Largest size of the sample.
  std::size_t mMaxAgents = 64;
};

/// Returns nullptr if the agent is not in the sample.
AgentView*
FindAgent(PoolView& aPool, const Common::InstanceId& aInstance);

/// Adds or updates an agent. If the sample is full, a new agent replaces one that is leaving or
/// suspect; otherwise it replaces a random one with probability mMaxAgents / aAgentsInPool, which
/// keeps the sample uniform. A report of an older incarnation is ignored; one of a newer
/// incarnation resets the requests in flight. Unknown agents that are leaving are not added.
void
ApplyReport(PoolView& aPool,
            AgentReport aReport,
            std::size_t aAgentsInPool,
            Timestamp aNow,
            Common::Random& aRandom);

/// Updates the load of a known agent from a reply of the same incarnation. Ignored if the known
/// report is more recent.
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

/// Counts a request as in flight at the agent; ignored for another incarnation than the known one.
void
CountSentRequest(PoolView& aPool,
                 const Common::InstanceId& aInstance,
                 Common::Incarnation aIncarnation);

/// Counts a request as no longer in flight, however its call ended.
void
CountEndedRequest(PoolView& aPool,
                  const Common::InstanceId& aInstance,
                  Common::Incarnation aIncarnation);

/// Prefers other agents until aUntil. An earlier call with a later time stays in force.
void
AvoidAgent(PoolView& aPool, const Common::InstanceId& aInstance, Timestamp aUntil);

/// How distance counts in the choice of an agent. The one-way delays by distance are those of the
/// fleet described in the design document.
struct AgentChoiceRules
{
  Duration mSameDataCentreDelay{ std::chrono::microseconds(200) };
  Duration mSameRegionDelay{ std::chrono::microseconds(1500) };
  Duration mOtherRegionDelay{ std::chrono::milliseconds(30) };
  /// The link between regions is slow and paid by volume. An agent in another region is chosen over
  /// a nearer candidate that can respond in the remaining time only if it is expected to respond
  /// more than this many times as fast.
  double mMinLinkSpeedup = 3;
  /// False while the link's budget for urgent requests is exhausted.
  bool mLinkAvailable = true;
};

struct AgentChoice
{
  Common::InstanceId mInstance;
  Common::Incarnation mIncarnation;
  std::string mAddress;
  /// True if the request crosses the link between regions.
  bool mCrossesLink = false;
  Duration mOneWayDelay{ 0 };
  /// Round trip plus the expected time at the agent.
  Duration mExpectedResponseTime{ 0 };
};

/// Samples two candidates at each distance (data centre, region, other regions) and returns the one
/// with the shortest expected response time. Agents in aExcluded and leaving agents are never
/// returned; suspect and avoided agents only if there is no other. aHere is the location of the
/// entry, aRemaining the time until the deadline. Returns nullopt if there is no candidate.
std::optional<AgentChoice>
ChooseAgent(const PoolView& aPool,
            const Location& aHere,
            const std::vector<Common::InstanceId>& aExcluded,
            Duration aRemaining,
            const AgentChoiceRules& aRules,
            Timestamp aNow,
            Common::Random& aRandom);

} // namespace Dispatch
