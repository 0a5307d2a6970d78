#include "Tables/Fleet.h"

#include <algorithm>

namespace Tables {

namespace {

struct Amount
{
  const char* mName;
  std::int64_t mValue;
};

/// The parts of aLimits under the names of their keys; memory in whole MiB.
std::vector<Amount>
AmountsOf(const PoolLimits& aLimits)
{
  using Common::kMib;
  return { { "slots", aLimits.mSlots.value() },
           { "connections", aLimits.mConnections.value() },
           { "milli_cores", aLimits.mResources.mCores.value() },
           { "memory_mib", aLimits.mResources.mMemory.value() / kMib },
           { "accelerators", aLimits.mResources.mAccelerators.value() } };
}

/// "10 slots, 8 there" for each amount that is exceeded.
std::string
Excess(const PoolLimits& aAsked, const PoolLimits& aThere)
{
  const std::vector<Amount> asked = AmountsOf(aAsked);
  const std::vector<Amount> there = AmountsOf(aThere);
  std::string text;
  for (std::size_t i = 0; i < asked.size(); ++i) {
    if (asked[i].mValue > there[i].mValue) {
      text += (text.empty() ? "" : ", ") + std::to_string(asked[i].mValue) + ' ' + asked[i].mName +
              " where it has " + std::to_string(there[i].mValue);
    }
  }
  return text;
}

PoolLimits
Sum(const PoolLimits& aLeft, const PoolLimits& aRight)
{
  return { aLeft.mSlots + aRight.mSlots,
           aLeft.mConnections + aRight.mConnections,
           aLeft.mResources + aRight.mResources };
}

/// What was found for one pool.
struct PoolState
{
  std::size_t mWorkers = 0;
  std::size_t mTooSmall = 0;
  std::string mExample;
  std::size_t mShared = 0;
  std::string mSharedExample;
};

void
CheckWorker(const TableSet& aTables, const FleetWorker& aWorker, std::vector<PoolState>& aStates)
{
  std::vector<std::size_t> pools;
  PoolLimits sum;
  bool singlyTooMuch = false;
  for (std::size_t i = 0; i < aTables.mPools.size(); ++i) {
    const Pool& pool = aTables.mPools[i];
    if (!BelongsToPool(aWorker, pool)) {
      continue;
    }
    pools.push_back(i);
    sum = Sum(sum, pool.mPerWorker);
    PoolState& state = aStates[i];
    ++state.mWorkers;
    const std::string excess = Excess(pool.mPerWorker, aWorker.mCapacity);
    if (!excess.empty()) {
      singlyTooMuch = true;
      if (++state.mTooSmall == 1) {
        state.mExample = '"' + aWorker.mWorker.str() + "\": " + excess;
      }
    }
  }
  if (singlyTooMuch || pools.size() < 2) {
    return;
  }
  const std::string excess = Excess(sum, aWorker.mCapacity);
  if (excess.empty()) {
    return;
  }
  // Reported once, at the last of the pools that share the worker.
  PoolState& state = aStates[pools.back()];
  if (++state.mShared == 1) {
    std::string names;
    for (const std::size_t pool : pools) {
      names += (names.empty() ? "\"" : ", \"") + aTables.mPools[pool].mName.str() + '"';
    }
    state.mSharedExample =
      names + " together ask of worker \"" + aWorker.mWorker.str() + "\" " + excess;
  }
}

} // namespace

bool
BelongsToPool(const FleetWorker& aWorker, const Pool& aPool)
{
  const auto& dataCentres = aPool.mDataCentres;
  return std::find(dataCentres.begin(), dataCentres.end(), aWorker.mDataCentre) !=
           dataCentres.end() &&
         std::all_of(aPool.mLabels.begin(), aPool.mLabels.end(), [&](const std::string& aLabel) {
           return std::find(aWorker.mLabels.begin(), aWorker.mLabels.end(), aLabel) !=
                  aWorker.mLabels.end();
         });
}

Common::Findings
CheckFleet(const TableSet& aTables,
           const std::vector<FleetWorker>& aWorkers,
           const std::string& aPoolsFile)
{
  std::vector<PoolState> states(aTables.mPools.size());
  for (const FleetWorker& worker : aWorkers) {
    CheckWorker(aTables, worker, states);
  }
  Common::Findings findings;
  for (std::size_t i = 0; i < states.size(); ++i) {
    const Pool& pool = aTables.mPools[i];
    const PoolState& state = states[i];
    const Common::Place place{ aPoolsFile, pool.mPosition.mLine, pool.mPosition.mColumn };
    const std::string what = "pool \"" + pool.mName.str() + '"';
    if (state.mWorkers == 0) {
      findings.warning(place, what + " has no worker with its labels in its data centres");
    }
    if (state.mTooSmall > 0) {
      findings.warning(place,
                       what + " asks for more than " + std::to_string(state.mTooSmall) +
                         " of its " + std::to_string(state.mWorkers) + " workers have; of worker " +
                         state.mExample);
    }
    if (state.mShared > 0) {
      findings.warning(place,
                       "pools " + state.mSharedExample + "; " + std::to_string(state.mShared) +
                         " workers are shared like this");
    }
  }
  return findings;
}

} // namespace Tables
