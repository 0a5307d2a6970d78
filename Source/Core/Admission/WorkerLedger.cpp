#include "Admission/WorkerLedger.h"

#include <algorithm>

namespace Admission {

namespace {

Common::Resources
ResourcesForSlots(const WorkerLedger& aLedger, Common::Slots aSlots)
{
  const Common::Resources& perSlot = aLedger.mPerSlot;
  return { perSlot.mCores * aSlots.value(),
           perSlot.mMemory * aSlots.value(),
           perSlot.mAccelerators * aSlots.value() };
}

} // namespace

Common::Resources
FreeForTasks(const WorkerLedger& aLedger)
{
  const Common::Slots slots = std::max(aLedger.mReservedSlots, aLedger.mSlotsInUse);
  return aLedger.mTotal - aLedger.mReservedByTasks - ResourcesForSlots(aLedger, slots);
}

bool
ReserveTask(WorkerLedger& aLedger, const Common::TaskId& aTask, const Common::Resources& aNeed)
{
  if (!Common::Fits(Common::Resources{}, aNeed) || !Common::Fits(aNeed, FreeForTasks(aLedger)) ||
      aLedger.mTasks.contains(aTask)) {
    return false;
  }
  AdoptTask(aLedger, aTask, aNeed);
  return true;
}

void
AdoptTask(WorkerLedger& aLedger, const Common::TaskId& aTask, const Common::Resources& aUse)
{
  ReleaseTask(aLedger, aTask);
  aLedger.mTasks.emplace(aTask, aUse);
  aLedger.mReservedByTasks = aLedger.mReservedByTasks + aUse;
}

bool
ReleaseTask(WorkerLedger& aLedger, const Common::TaskId& aTask)
{
  const auto found = aLedger.mTasks.find(aTask);
  if (found == aLedger.mTasks.end()) {
    return false;
  }
  aLedger.mReservedByTasks = aLedger.mReservedByTasks - found->second;
  aLedger.mTasks.erase(found);
  return true;
}

bool
SlotFits(const WorkerLedger& aLedger)
{
  // Without a platform worker, or before the worker has reported its capacity, the agent starts no
  // tasks and only the slots limit its requests.
  if (aLedger.mTotal == Common::Resources{}) {
    return true;
  }
  const Common::Slots next = aLedger.mSlotsInUse + Common::Slots(1);
  return Common::Fits(ResourcesForSlots(aLedger, next) + aLedger.mReservedByTasks, aLedger.mTotal);
}

bool
ReserveSlot(WorkerLedger& aLedger)
{
  if (!SlotFits(aLedger)) {
    return false;
  }
  aLedger.mSlotsInUse += Common::Slots(1);
  return true;
}

void
ReleaseSlot(WorkerLedger& aLedger)
{
  if (aLedger.mSlotsInUse > Common::Slots(0)) {
    aLedger.mSlotsInUse -= Common::Slots(1);
  }
}

} // namespace Admission
