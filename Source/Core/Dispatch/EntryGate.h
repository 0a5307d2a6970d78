#pragma once

#include "Admission/Admission.h"
#include "Dispatch/Agents.h"

namespace Dispatch {

/// How the limits of an entry's gate follow from the slots of a pool.
struct EntryGateRules
{
  /// Requests in flight per slot of the pool. Above 1, so that agents always have the next request
  /// queued; not far above, so that fair queueing takes place at the entry.
  double mInFlightPerSlot = 1.5;
  /// Lower bound of the limit on requests in flight, also for a pool without known agents.
  std::int64_t mMinInFlight = 16;
  /// Largest number of queued requests of each urgency class.
  std::size_t mMaxQueued = 4096;
};

/// Computes the limits of the Admission::Gate that an entry has in front of a pool. A request in
/// flight holds a slot of that gate from Send to its answer. aAgentsInPool is the number of agents
/// in the whole pool, of which aPool is a sample; aEntries is the number of entries that share it.
Admission::GateLimits
MakeEntryGateLimits(const PoolView& aPool,
                    std::size_t aAgentsInPool,
                    std::size_t aEntries,
                    const std::vector<Tables::MinShare>& aMinShares,
                    const EntryGateRules& aRules);

} // namespace Dispatch
