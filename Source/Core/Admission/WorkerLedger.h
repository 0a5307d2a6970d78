#pragma once

#include <cstddef>
#include <unordered_map>

#include "Common/Ids.h"
#include "Common/Units.h"

namespace Admission {

/// Cores, memory and accelerators of one worker, used by requests and batch tasks together. Every
/// grant goes through ReserveSlot or ReserveTask, which never let the sum exceed the total.
struct WorkerLedger
{
  /// Zero while it is not known.
  Common::Resources mTotal;
  /// What one request in progress takes.
  Common::Resources mPerSlot;
  /// Slots whose resources tasks may not take, so that requests can start at once.
  Common::Slots mReservedSlots;
  Common::Slots mSlotsInUse;
  std::unordered_map<Common::TaskId, Common::Resources> mTasks;
  Common::Resources mReservedByTasks;
};

/// What a task may still take.
Common::Resources
FreeForTasks(const WorkerLedger& aLedger);

/// Grants aNeed to a task. False if it does not fit, is negative, or the task holds a grant
/// already.
bool
ReserveTask(WorkerLedger& aLedger, const Common::TaskId& aTask, const Common::Resources& aNeed);

/// Records a task that already runs, as after a restart of the agent. It is counted even if it does
/// not fit; nothing else starts until it does.
void
AdoptTask(WorkerLedger& aLedger, const Common::TaskId& aTask, const Common::Resources& aUse);

/// Gives back the grant of a task. False if it holds none.
bool
ReleaseTask(WorkerLedger& aLedger, const Common::TaskId& aTask);

/// True if one more request fits beside the tasks and requests in progress.
bool
SlotFits(const WorkerLedger& aLedger);

bool
ReserveSlot(WorkerLedger& aLedger);

void
ReleaseSlot(WorkerLedger& aLedger);

} // namespace Admission
