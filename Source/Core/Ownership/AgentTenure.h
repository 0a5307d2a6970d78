#pragma once

#include <cstdint>
#include <optional>

#include "Common/Units.h"
#include "Ownership/Settings.h"

/// The agent's side: which owner it accepts, and how long it may renew its tasks' platform leases.
namespace Ownership {

/// Microseconds on an agent's monotonic clock. The owner only hands back what the agent sent.
using AgentClock = std::int64_t;

AgentClock
ToAgentClock(Timestamp aTime);

struct AgentTenure
{
  /// Of this process; it tells heartbeats for an earlier process of the same instance.
  Common::Incarnation mIncarnation;
  Common::Epoch mHighestEpoch;
  /// Highest number of a heartbeat of mHighestEpoch.
  std::int64_t mLastSequence = 0;
  std::optional<Timestamp> mEnds;
};

/// What a heartbeat says about ownership.
struct HeartbeatGrant
{
  Common::Epoch mEpoch;
  Common::Incarnation mTarget;
  /// Rises with each heartbeat of one owner to one agent, starting at 1.
  std::int64_t mSequence = 0;
  /// The agent's clock in its last answer that the owner has seen; empty before the first.
  std::optional<AgentClock> mBasis;
  /// Tenure from the basis on; 0 if the owner may not grant any.
  Duration mTenure{ 0 };
};

/// Remembers the highest epoch seen. False if aEpoch is lower: its owner was replaced.
bool
AcceptEpoch(AgentTenure& aAgent, Common::Epoch aEpoch);

/// Takes the heartbeat's grant. False if the heartbeat must be ignored with all its commands: its
/// epoch or number is not the newest, or it is meant for another incarnation.
bool
ApplyHeartbeat(AgentTenure& aAgent,
               const HeartbeatGrant& aGrant,
               const OwnerSettings& aSettings,
               Timestamp aNow);

/// Without tenure an agent starts nothing, and checkpoints and stops its batch tasks.
bool
TenureExpired(const AgentTenure& aAgent, Timestamp aNow);

/// Time to live with which a task may be started or its platform lease renewed now. It ends with
/// the tenure, so that a renewal that is sent late because the process was paused extends the lease
/// by no more than one mPlatformLease beyond the tenure. Empty without tenure.
std::optional<Duration>
PlatformLeaseFor(const AgentTenure& aAgent, const OwnerSettings& aSettings, Timestamp aNow);

} // namespace Ownership
