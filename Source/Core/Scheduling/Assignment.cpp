#include "Scheduling/Schedule.h"

namespace Scheduling {

void
DetachFromWorker(SchedulerState& aState, const TaskRef& aRef)
{
  if (TaskAt(aRef).mWorker == kNoWorker) {
    return;
  }
  Task& task = OwnTaskAt(aRef);
  Worker& worker = aState.mWorkers[task.mWorker];
  worker.mTailRooms.reset();
  ++aState.mPlaceableChanges;
  aState.mTrials.erase(aRef);
  if (worker.mTasks.erase(aRef) > 0) {
    const StepSpec& step = StepSpecOf(aRef);
    worker.mUsed = worker.mUsed - ReservedBy(step);
    if (step.mLongRunning) {
      worker.mLongRunningReserved -= ReservedBy(step).mCores;
    }
    if (step.mBestEffort) {
      worker.mBestEffortCores -= step.mNeed.mCores;
    }
  }
  task.mWorker = kNoWorker;
}

void
SetWaiting(SchedulerState& aState, const TaskRef& aRef, const CurrentTime& aNow)
{
  const TaskPhase phase = TaskAt(aRef).mPhase;
  if (phase == TaskPhase::Waiting || phase == TaskPhase::Done) {
    return;
  }
  DetachFromWorker(aState, aRef);
  Step& step = StepAt(aRef);
  step.mTasks.setPhase(aRef.mIndex, TaskPhase::Waiting);
  Task& task = OwnTaskAt(aRef);
  task.mPhaseSince = aNow.mMonotonic;
  task.mListedByWorker = false;
  task.mPercent = Percent{ 0 };
  task.mMissingSince = Timestamp{};
  task.mMissingLists = 0;
  task.mStopAnswered = Timestamp{};
  ++step.mWaitingTasks;
  ++aState.mPlaceableChanges;
}

void
AssignToWorker(SchedulerState& aState,
               const TaskRef& aRef,
               WorkerNumber aWorker,
               TaskPhase aPhase,
               const CurrentTime& aNow)
{
  if (TaskAt(aRef).mPhase == TaskPhase::Waiting) {
    --StepAt(aRef).mWaitingTasks;
  }
  DetachFromWorker(aState, aRef);
  StepAt(aRef).mTasks.setPhase(aRef.mIndex, aPhase);
  Task& task = OwnTaskAt(aRef);
  task.mWorker = aWorker;
  task.mPhaseSince = aNow.mMonotonic;
  task.mProgressedAt = aNow.mMonotonic;
  task.mListedByWorker = false;
  task.mSpeed = Percent{ 100 };
  task.mOrderedSpeed = Percent{ 100 };
  task.mSpeedIsKnown = true;
  task.mPausedSince = Timestamp{};
  task.mMissingSince = Timestamp{};
  task.mMissingLists = 0;
  task.mStopAnswered = Timestamp{};
  Worker& worker = aState.mWorkers[aWorker];
  worker.mTasks.insert(aRef);
  worker.mTailRooms.reset();
  const StepSpec& step = StepSpecOf(aRef);
  worker.mUsed = worker.mUsed + ReservedBy(step);
  if (step.mLongRunning) {
    worker.mLongRunningReserved += ReservedBy(step).mCores;
  }
  if (step.mBestEffort) {
    worker.mBestEffortCores += step.mNeed.mCores;
  }
}

void
AddOrder(SchedulerState& aState, Order aOrder)
{
  aOrder.mNumber = aState.mNextOrder++;
  aState.mOutstandingOrders.emplace(aOrder.mNumber, aOrder);
  aState.mOrders.push_back(std::move(aOrder));
}

void
OrderStop(SchedulerState& aState,
          const WorkerLifetime& aLifetime,
          const TaskName& aTask,
          RunNumber aRun)
{
  Order order;
  order.mKind = OrderKind::Stop;
  order.mLifetime = aLifetime;
  order.mTask = aTask;
  order.mRun = aRun;
  AddOrder(aState, std::move(order));
}

} // namespace Scheduling
