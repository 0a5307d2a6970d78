#include <algorithm>

#include "Scheduling/Evacuation.h"
#include "Scheduling/Placement.h"

namespace Scheduling {

namespace {

/// True if a probe runs on the worker: after a quarantine it gets one task at a time, to test it.
/// Tasks that started before the quarantine ended are no probes, and a long-running task that is
/// already serving gives no further evidence.
bool
HasProbe(const Worker& aWorker)
{
  return std::any_of(aWorker.mTasks.begin(), aWorker.mTasks.end(), [&](const TaskRef& aRef) {
    const Task& task = TaskAt(aRef);
    const bool serving = StepSpecOf(aRef).mLongRunning && task.mPhase == TaskPhase::Running &&
                         task.mPercent >= kServingPercent;
    return task.mPhaseSince >= aWorker.mHealth.mQuarantinedUntil && !serving;
  });
}

/// True if a long-running task without another worker may start on the quarantined worker. It loses
/// little by a failed start and has no limit of attempts, unlike other tasks.
bool
AllowsLongRunningProbe(const SchedulerState& aState, const Worker& aWorker, const CurrentTime& aNow)
{
  return aNow.mMonotonic - aWorker.mHealth.mLastStart >= aState.mPolicy.mProbeInterval;
}

/// True if less than half of the cores of the pool's workers are reserved.
bool
IsHalfFree(const SchedulerState& aState, const Common::PoolId& aPool)
{
  Common::MilliCores capacity;
  Common::MilliCores used;
  for (const Worker& worker : aState.mWorkers) {
    if (worker.mConnected && !worker.mLeaving && worker.mPool == aPool &&
        !IsEvacuated(aState, worker)) {
      capacity += worker.mCapacity.mCores;
      used += worker.mUsed.mCores;
    }
  }
  return used + used < capacity;
}

} // namespace

std::uint32_t
TasksOfStepOn(const Worker& aWorker,
              const Job* aJob,
              std::uint32_t aOccurrence,
              std::uint32_t aStep)
{
  const auto from = aWorker.mTasks.lower_bound({ const_cast<Job*>(aJob), aOccurrence, aStep, 0 });
  const auto to =
    aWorker.mTasks.upper_bound({ const_cast<Job*>(aJob), aOccurrence, aStep, UINT32_MAX });
  return static_cast<std::uint32_t>(std::distance(from, to));
}

std::int64_t
CoresLeftForBestEffort(const SchedulerState& aState, const Worker& aWorker)
{
  const auto capacity = aWorker.mCapacity.mCores.value();
  const auto used = aWorker.mUsed.mCores.value();
  return capacity - used +
         static_cast<std::int64_t>(aState.mPolicy.mIdleReservedShare *
                                   static_cast<double>(aWorker.mLongRunningReserved.value())) -
         aWorker.mBestEffortCores.value();
}

bool
BestEffortFits(const SchedulerState& aState, const Worker& aWorker, const StepSpec& aStep)
{
  const double cores = static_cast<double>(aStep.mNeed.mCores.value()) / 1000.0;
  return CoresLeftForBestEffort(aState, aWorker) >= aStep.mNeed.mCores.value() &&
         AddedPressureFits(aState, aWorker, aStep.mImage, cores);
}

bool
IsQuarantined(const Worker& aWorker, const CurrentTime& aNow)
{
  const WorkerHealth& health = aWorker.mHealth;
  return aNow.mMonotonic < health.mQuarantinedUntil ||
         (health.mQuarantineTime > Duration{ 0 } && HasProbe(aWorker));
}

bool
CanEverHost(const SchedulerState& aState,
            const Worker& aWorker,
            const StepSpec& aStep,
            const QueueSpec& aQueue)
{
  const bool labelled = aStep.mLabel.empty() ||
                        std::find(aWorker.mLabels.begin(), aWorker.mLabels.end(), aStep.mLabel) !=
                          aWorker.mLabels.end();
  return aWorker.mConnected && aWorker.mHasTaskList && !aWorker.mLifetimeEnded &&
         !aWorker.mAwaitsHeartbeat && !aWorker.mLeaving && aWorker.mPool == aQueue.mPool &&
         labelled && Fits(ReservedBy(aStep), aWorker.mCapacity) && !IsEvacuated(aState, aWorker);
}

Starvation
StarvationOf(const SchedulerState& aState,
             const ReadyStep& aReady,
             const QueueSpec& aQueue,
             const Task& aTask,
             const CurrentTime& aNow)
{
  const Duration waited = aNow.mMonotonic - aTask.mPhaseSince;
  if (!aReady.mJobIsIdle || waited < aState.mPolicy.mStarvedAfter) {
    return Starvation::None;
  }
  const bool overdue = waited >= aState.mPolicy.mOverdueAfter && IsHalfFree(aState, aQueue.mPool);
  return overdue ? Starvation::Overdue : Starvation::Starved;
}

bool
HasCapacityNow(const SchedulerState& aState,
               const Worker& aWorker,
               const ReadyStep& aReady,
               const QueueSpec& aQueue,
               Starvation aStarvation,
               const CurrentTime& aNow)
{
  const StepSpec& step = aReady.mJob->mSpec.mSteps[aReady.mStep];
  if (!CanEverHost(aState, aWorker, step, aQueue) || !aWorker.mRecorded ||
      aWorker.mSuspensionMayBeRecorded || !aWorker.mResponding || aWorker.mHasUnknownRun ||
      aNow.mMonotonic < aWorker.mNoStartsUntil || aNow.mMonotonic >= aWorker.mLeaseEnd) {
    return false;
  }
  if (!Fits(ReservedBy(step), aWorker.mCapacity - aWorker.mUsed) ||
      HostsTrial(aState, aWorker, aNow)) {
    return false;
  }
  if (step.mBestEffort && aStarvation != Starvation::Overdue &&
      !BestEffortFits(aState, aWorker, step) &&
      !(aStarvation == Starvation::Starved && HasTailHeadroom(aState, aWorker, aNow))) {
    return false;
  }
  return step.mMaxPerWorker == 0 ||
         TasksOfStepOn(aWorker, aReady.mJob, aReady.mOccurrence, aReady.mStep) < step.mMaxPerWorker;
}

bool
CanHostNow(const SchedulerState& aState,
           const Worker& aWorker,
           const ReadyStep& aReady,
           const QueueSpec& aQueue,
           Starvation aStarvation,
           const CurrentTime& aNow)
{
  return !IsQuarantined(aWorker, aNow) &&
         HasCapacityNow(aState, aWorker, aReady, aQueue, aStarvation, aNow);
}

bool
CanHostAsLastResort(const SchedulerState& aState,
                    const Worker& aWorker,
                    const ReadyStep& aReady,
                    const QueueSpec& aQueue,
                    const CurrentTime& aNow)
{
  return aReady.mJob->mSpec.mSteps[aReady.mStep].mLongRunning && IsQuarantined(aWorker, aNow) &&
         AllowsLongRunningProbe(aState, aWorker, aNow) &&
         HasCapacityNow(aState, aWorker, aReady, aQueue, Starvation::None, aNow);
}

bool
HasUniformNeeds(const ReadyStep& aReady, const QueueSpec& aQueue)
{
  const StepSpec& step = aReady.mJob->mSpec.mSteps[aReady.mStep];
  return step.mMaxPerWorker == 0 && !step.mBestEffort && !aQueue.mAdvice &&
         aReady.mJob->mSuspectTasks == 0;
}

Common::Resources
ReservedBy(const StepSpec& aStep)
{
  Common::Resources need = aStep.mNeed;
  if (aStep.mBestEffort) {
    need.mCores = Common::MilliCores{ 0 };
  }
  return need;
}

bool
FitsOnAnotherWorker(const SchedulerState& aState, const TaskRef& aTask, const CurrentTime& aNow)
{
  const QueueSpec* const queue = FindQueue(aState, *aTask.mJob);
  if (queue == nullptr) {
    return false;
  }
  const ReadyStep ready{ aTask.mJob, aTask.mOccurrence, aTask.mStep, {}, 0.0, false };
  const WorkerNumber own = TaskAt(aTask).mWorker;
  for (WorkerNumber number = 0; number < aState.mWorkers.size(); ++number) {
    if (number != own &&
        CanHostNow(aState, aState.mWorkers[number], ready, *queue, Starvation::None, aNow)) {
      return true;
    }
  }
  return false;
}

} // namespace Scheduling
