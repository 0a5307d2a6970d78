#pragma once

#include "Admission/Admission.h"
#include "Dispatch/Agents.h"

namespace Dispatch {

struct EntryGateRules
{
  /// Requests in flight per slot of the pool's sample. Above 1, so that agents always have the next
  /// request waiting; not much above, so that fairness is decided here.
  double mInFlightPerSlot = 1.5;
  std::int64_t mMinInFlight = 16;
  std::size_t mMaxQueued = 4096;
};

/// The limits of an entry's queue in front of one pool. The entry uses an Admission::Gate for it:
/// an in-flight request holds a "slot" of the entry from Send to its answer. aEntries is the number
/// of entries that share the pool; aAgentsInPool counts all agents, of which the view is a sample.
Admission::GateLimits
MakeEntryGateLimits(const PoolView& aPool,
                    std::size_t aAgentsInPool,
                    std::size_t aEntries,
                    const std::vector<Tables::MinShare>& aMinShares,
                    const EntryGateRules& aRules);

} // namespace Dispatch
