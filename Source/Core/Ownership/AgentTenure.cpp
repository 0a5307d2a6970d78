#include "Ownership/AgentTenure.h"

#include <algorithm>

namespace Ownership {

AgentClock
ToAgentClock(Timestamp aTime)
{
  return aTime.time_since_epoch().count();
}

bool
AcceptEpoch(AgentTenure& aAgent, Common::Epoch aEpoch)
{
  if (aEpoch < aAgent.mHighestEpoch) {
    return false;
  }
  if (aEpoch > aAgent.mHighestEpoch) {
    aAgent.mHighestEpoch = aEpoch;
    aAgent.mLastSequence = 0;
  }
  return true;
}

bool
ApplyHeartbeat(AgentTenure& aAgent,
               const HeartbeatGrant& aGrant,
               const OwnerSettings& aSettings,
               Timestamp aNow)
{
  if (aGrant.mTarget != aAgent.mIncarnation || !AcceptEpoch(aAgent, aGrant.mEpoch) ||
      aGrant.mSequence <= aAgent.mLastSequence) {
    return false;
  }
  aAgent.mLastSequence = aGrant.mSequence;
  if (aGrant.mBasis && aGrant.mTenure > Duration(0)) {
    // A basis after now is not from this clock.
    const Timestamp basis = std::min(Timestamp(Duration(*aGrant.mBasis)), aNow);
    const Timestamp ends = basis + std::min(aGrant.mTenure, aSettings.mTenure);
    aAgent.mEnds = std::max(aAgent.mEnds.value_or(ends), ends);
  }
  return true;
}

bool
TenureExpired(const AgentTenure& aAgent, Timestamp aNow)
{
  return !aAgent.mEnds || aNow >= *aAgent.mEnds;
}

std::optional<Duration>
PlatformLeaseFor(const AgentTenure& aAgent, const OwnerSettings& aSettings, Timestamp aNow)
{
  if (TenureExpired(aAgent, aNow)) {
    return std::nullopt;
  }
  return std::min(aSettings.mPlatformLease, *aAgent.mEnds - aNow);
}

} // namespace Ownership
