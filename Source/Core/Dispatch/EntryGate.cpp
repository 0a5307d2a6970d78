#include "Dispatch/EntryGate.h"

#include <algorithm>
#include <cmath>

namespace Dispatch {

Admission::GateLimits
MakeEntryGateLimits(const PoolView& aPool,
                    std::size_t aAgentsInPool,
                    std::size_t aEntries,
                    const std::vector<Tables::MinShare>& aMinShares,
                    const EntryGateRules& aRules)
{
  double slots = 0;
  for (const AgentView& agent : aPool.mAgents) {
    slots += agent.mReport.mLeaving ? 0 : std::max(0, agent.mReport.mSlotsLimit);
  }
  if (!aPool.mAgents.empty()) {
    const auto sample = static_cast<double>(aPool.mAgents.size());
    slots *= std::max(1.0, static_cast<double>(aAgentsInPool) / sample);
  }
  slots *= aRules.mInFlightPerSlot / static_cast<double>(std::max(aEntries, std::size_t{ 1 }));
  const std::int64_t inFlight =
    std::max(aRules.mMinInFlight, static_cast<std::int64_t>(std::ceil(slots)));
  Admission::GateLimits limits;
  limits.mSlots = Common::Slots(inFlight);
  limits.mConnections = Common::Connections(inFlight);
  limits.mMinShares = aMinShares;
  limits.mMaxQueued = aRules.mMaxQueued;
  // Makes the limit static: adaptive concurrency limits are left to the agents.
  limits.mLimitFloor = limits.mSlots;
  return limits;
}

} // namespace Dispatch
