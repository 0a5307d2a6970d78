#pragma once

#include <cstddef>
#include <unordered_map>

#include "Common/Ids.h"
#include "Common/Units.h"

namespace Admission {

/// Accounts for the cores, memory and accelerators of one worker, which requests and batch tasks
/// share. ReserveSlot and ReserveTask never let the sum of the reservations exceed the total.
struct WorkerLedger
{
  /// Capacity of the worker; zero while it is not known.
  Common::Resources mTotal;
  /// Resources of one request in progress.
  Common::Resources mPerSlot;
  /// Number of slots whose resources are kept free of tasks, so that requests can start at once.
  Common::Slots mReservedSlots;
  Common::Slots mSlotsInUse;
  /// Reservation of each task.
  std::unordered_map<Common::TaskId, Common::Resources> mTasks;
  /// Sum of mTasks.
  Common::Resources mReservedByTasks;
};

/// Resources that a new task may reserve; negative amounts if the worker is overcommitted.
Common::Resources
FreeForTasks(const WorkerLedger& aLedger);

/// Reserves aNeed for a task. Returns false if it does not fit, is negative, or the task already
/// holds a reservation.
bool
ReserveTask(WorkerLedger& aLedger, const Common::TaskId& aTask, const Common::Resources& aNeed);

/// Records a task that is already running, as after a restart of the agent, or replaces its
/// reservation. The task is counted even if it does not fit; nothing else starts until it does.
void
AdoptTask(WorkerLedger& aLedger, const Common::TaskId& aTask, const Common::Resources& aUse);

/// Frees the reservation of a task. Returns false if it holds none.
bool
ReleaseTask(WorkerLedger& aLedger, const Common::TaskId& aTask);

/// True if one more request fits beside the tasks and requests in progress. Always true while the
/// worker's capacity is not known.
bool
SlotFits(const WorkerLedger& aLedger);

/// Reserves the resources of one request. Returns false if it does not fit.
bool
ReserveSlot(WorkerLedger& aLedger);

/// Frees the resources of one request.
void
ReleaseSlot(WorkerLedger& aLedger);

} // namespace Admission
