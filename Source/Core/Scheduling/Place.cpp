#include <algorithm>
#include <tuple>

#include "Scheduling/Schedule.h"

namespace Scheduling {

namespace {

/// Weight of the pressure that a best-effort task adds to long-running tasks, relative to the share
/// of the worker's cores that is left for best-effort tasks.
constexpr double kPressureWeight = 3.0;

/// Weights for a short task with reserved cores, relative to the share of cores that best-effort
/// tasks use.
constexpr double kReservedCoresWeight = 0.3;
constexpr double kBesideLongRunningWeight = 0.5;

/// Weight for each further task of a long-running step on one worker, so that the loss of a worker
/// ends few of them.
constexpr double kSameStepWeight = 0.3;
/// Weight of a worker without long-running tasks, which keeps them on few workers.
constexpr double kFirstLongRunningWeight = 1.5;
/// Weight of a worker on which a long-running task would use up the cores of a label. It is higher
/// than the two weights above, so that no kind of worker is filled up while another has capacity.
constexpr double kExhaustedLabelWeight = 3.0;
/// Share of the cores of the workers with one label that long-running tasks leave free while other
/// workers have capacity.
constexpr double kFreeLabelShare = 0.2;
/// Due occurrences of one job that are kept at a time without a task at work. Each placement round
/// replaces those that were started.
constexpr std::size_t kMaxIdleOccurrences = 128;
/// Weight of a quarantined worker. It is higher than all others together, so that such a worker is
/// used only while no other has capacity.
constexpr double kQuarantineWeight = 1000.0;

struct ReadyStep
{
  Job* mJob = nullptr;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  OrderKey mSortKey;
  /// Core-seconds of the occurrence.
  double mWork = 0;
  /// No task of the occurrence is placed on a worker.
  bool mJobIsIdle = false;
};

/// What all occurrences of a job have in common.
struct JobEstimate
{
  /// Expected run time of a task, by step.
  std::vector<Duration> mRunTimes;
  Duration mChain{ 0 };
  /// Core-seconds of one occurrence.
  double mWork = 0;
};

/// Expected core-seconds of aTasks tasks of the step.
double
WorkOf(const JobSpec& aSpec, std::uint32_t aStep, std::uint32_t aTasks, Duration aRunTime)
{
  return static_cast<double>(aTasks) *
         static_cast<double>(aSpec.mSteps[aStep].mNeed.mCores.value()) / 1000.0 *
         std::chrono::duration<double>(aRunTime).count();
}

JobEstimate
EstimateJob(const SchedulerState& aState, const Job& aJob)
{
  const JobSpec& spec = aJob.mSpec;
  JobEstimate estimate;
  for (std::uint32_t i = 0; i < spec.mSteps.size(); ++i) {
    estimate.mRunTimes.push_back(ExpectedRunTime(aState, aJob, i));
    estimate.mWork += WorkOf(spec, i, spec.mSteps[i].mTaskCount, estimate.mRunTimes[i]);
  }
  estimate.mChain =
    LongestChain(spec, [&](std::uint32_t aStep) { return estimate.mRunTimes[aStep]; });
  return estimate;
}

/// Expected core-seconds until the occurrence ends.
double
RemainingWork(const Job& aJob, const JobEstimate& aEstimate, const Occurrence& aOccurrence)
{
  double work = 0;
  for (std::uint32_t i = 0; i < aOccurrence.mSteps.size(); ++i) {
    const Step& step = aOccurrence.mSteps[i];
    work += WorkOf(aJob.mSpec, i, step.mTasks.size() - step.mDoneTasks, aEstimate.mRunTimes[i]);
  }
  return work;
}

/// Time at which the occurrence could first start.
Timestamp
DueTime(const Job& aJob, const Occurrence& aOccurrence, const CurrentTime& aNow)
{
  if (aJob.mSpec.mRepeats == 0) {
    return aJob.mArrived;
  }
  const Common::UnixMillis due = aJob.mSpec.mFirstRun + aJob.mSpec.mInterval * aOccurrence.mNumber;
  return aNow.mMonotonic - std::chrono::duration_cast<Duration>(aNow.mUnix - due);
}

OrderKey
SortKeyOf(const SchedulerState& aState,
          const Job& aJob,
          const JobEstimate& aEstimate,
          const QueueSpec& aQueue,
          const Occurrence& aOccurrence,
          const CurrentTime& aNow)
{
  OrderInput input;
  input.mPriority = aQueue.mPriority;
  input.mLongRunning = aJob.mSpec.mSteps.front().mLongRunning;
  input.mAge = aNow.mMonotonic - DueTime(aJob, aOccurrence, aNow);
  input.mObjective =
    std::chrono::duration_cast<Duration>(aEstimate.mChain * aQueue.mStretchFactor) + aQueue.mSlack;
  input.mRemainingChain = LongestChain(aJob.mSpec, [&](std::uint32_t aStep) {
    return aOccurrence.mSteps[aStep].mEnded ? Duration{ 0 } : aEstimate.mRunTimes[aStep];
  });
  input.mWork = aEstimate.mWork;
  input.mRemainingWork = RemainingWork(aJob, aEstimate, aOccurrence);
  const auto history = aState.mQueueHistory.find(aJob.mSpec.mQueue);
  if (history != aState.mQueueHistory.end()) {
    input.mMeanWork = MeanWork(history->second);
    input.mIsPromoted = history->second.mPromoted.contains(aJob.mSpec.mJob);
  }
  return OrderKeyOf(input, aState.mPolicy.mOrder);
}

bool
CanStart(const Job& aJob, const Occurrence& aOccurrence, std::uint32_t aStep)
{
  const Step& step = aOccurrence.mSteps[aStep];
  return step.mWaitingTasks > 0 && std::all_of(aJob.mSpec.mSteps[aStep].mDependencies.begin(),
                                               aJob.mSpec.mSteps[aStep].mDependencies.end(),
                                               [&](std::uint32_t aDependency) {
                                                 return aOccurrence.mSteps[aDependency].mEnded;
                                               });
}

bool
IsDue(const Job& aJob, std::uint32_t aOccurrence, const CurrentTime& aNow)
{
  const Common::UnixMillis elapsed = aNow.mUnix - aJob.mSpec.mFirstRun;
  if (aJob.mSpec.mRepeats == 0) {
    return true;
  }
  // The product of the interval and the number may overflow.
  return elapsed.count() >= 0 &&
         (aJob.mSpec.mInterval.count() == 0 || elapsed / aJob.mSpec.mInterval >= aOccurrence);
}

/// True if no task of the occurrence is placed on a worker.
bool
IsIdle(const Occurrence& aOccurrence)
{
  return std::none_of(aOccurrence.mSteps.begin(), aOccurrence.mSteps.end(), [](const Step& aStep) {
    return aStep.mWaitingTasks + aStep.mDoneTasks < aStep.mTasks.size();
  });
}

/// Drops the ended occurrences of a timetable, unless one of their tasks was ordered to stop so
/// recently that the order must not be repeated yet.
void
DropEndedOccurrences(const SchedulerState& aState, Job& aJob, const CurrentTime& aNow)
{
  if (aJob.mSpec.mRepeats == 0) {
    return;
  }
  std::erase_if(aJob.mOccurrences, [&](const auto& aEntry) {
    const Occurrence& occurrence = aEntry.second;
    return occurrence.hasEnded() &&
           std::all_of(occurrence.mSteps.begin(), occurrence.mSteps.end(), [&](const Step& aStep) {
             return std::all_of(
               aStep.mTasks.own().begin(), aStep.mTasks.own().end(), [&](const auto& aTask) {
                 return aNow.mMonotonic - aTask.second.mStopOrdered >=
                        aState.mPolicy.mStopRetryInterval;
               });
           });
  });
}

/// Creates the next occurrences that are due, as many as may wait.
void
OpenOccurrences(SchedulerState& aState, Job& aJob, const CurrentTime& aNow)
{
  DropEndedOccurrences(aState, aJob, aNow);
  auto idle = static_cast<std::size_t>(
    std::count_if(aJob.mOccurrences.begin(), aJob.mOccurrences.end(), [](const auto& aEntry) {
      return !aEntry.second.hasEnded() && IsIdle(aEntry.second);
    }));
  std::uint32_t& next = aJob.mNextOccurrence;
  while (idle < kMaxIdleOccurrences) {
    next = aJob.mEndedOccurrences.nextMissing(next);
    if (next >= aJob.mSpec.mRepeats || !IsDue(aJob, next, aNow)) {
      return;
    }
    if (!aJob.mOccurrences.contains(next)) {
      FindTask(aState, { aJob.mSpec.mJob, next, 0, 0 });
      ++idle;
    }
    ++next;
  }
}

/// Chooses the large jobs that come first from the next round on. aReady is in the order of the
/// jobs.
void
PromoteLargeJobs(SchedulerState& aState, const std::vector<ReadyStep>& aReady, Timestamp aNow)
{
  const double share = aState.mPolicy.mOrder.mLargeJobShare;
  if (share <= 0) {
    return;
  }
  std::map<QueueHistory*, LargeJobDebt> debts;
  for (auto& [queue, history] : aState.mQueueHistory) {
    debts[&history] = LargeJobDebtOf(history, share, aNow);
  }
  for (const ReadyStep& ready : aReady) {
    const JobSpec& spec = ready.mJob->mSpec;
    const auto history = aState.mQueueHistory.find(spec.mQueue);
    if (spec.mRepeats == 0 && history != aState.mQueueHistory.end()) {
      PromoteIfOwed(
        history->second, debts[&history->second], spec.mJob, ready.mWork, ready.mSortKey, aNow);
    }
  }
}

std::vector<ReadyStep>
ReadySteps(SchedulerState& aState, const CurrentTime& aNow)
{
  std::vector<ReadyStep> ready;
  const bool awaitsWorkers = AwaitsRecordedWorkers(aState, aNow);
  for (Job* job : aState.mOpenJobs) {
    if (HasEnded(job->mState) || (awaitsWorkers && job->mRecovered)) {
      continue;
    }
    const QueueSpec* const queue = FindQueue(aState, *job);
    if (queue == nullptr) {
      continue;
    }
    OpenOccurrences(aState, *job, aNow);
    std::optional<JobEstimate> estimate;
    for (const auto& [number, occurrence] : job->mOccurrences) {
      if (occurrence.hasEnded() || !IsDue(*job, number, aNow)) {
        continue;
      }
      std::optional<OrderKey> sortKey;
      const bool idle = IsIdle(occurrence);
      for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
        if (CanStart(*job, occurrence, s)) {
          if (!estimate) {
            estimate = EstimateJob(aState, *job);
          }
          if (!sortKey) {
            sortKey = SortKeyOf(aState, *job, *estimate, *queue, occurrence, aNow);
          }
          ready.push_back({ job, number, s, *sortKey, estimate->mWork, idle });
        }
      }
    }
  }
  std::sort(ready.begin(), ready.end(), [](const ReadyStep& aLeft, const ReadyStep& aRight) {
    if (aLeft.mSortKey != aRight.mSortKey) {
      return aLeft.mSortKey < aRight.mSortKey;
    }
    return std::tie(aLeft.mJob->mArrived, aLeft.mJob->mSpec.mJob, aLeft.mOccurrence, aLeft.mStep) <
           std::tie(
             aRight.mJob->mArrived, aRight.mJob->mSpec.mJob, aRight.mOccurrence, aRight.mStep);
  });
  PromoteLargeJobs(aState, ready, aNow.mMonotonic);
  return ready;
}

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

/// Millicores that best-effort tasks may still use on the worker.
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

/// True if the worker has cores left for the task and its long-running tasks stay within their
/// targets.
bool
BestEffortFits(const SchedulerState& aState, const Worker& aWorker, const StepSpec& aStep)
{
  const double cores = static_cast<double>(aStep.mNeed.mCores.value()) / 1000.0;
  return CoresLeftForBestEffort(aState, aWorker) >= aStep.mNeed.mCores.value() &&
         AddedPressureFits(aState, aWorker, aStep.mImage, cores);
}

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

/// True if the worker is quarantined, or was and still has to prove that it is sound with the probe
/// that it runs.
bool
IsQuarantined(const Worker& aWorker, const CurrentTime& aNow)
{
  const WorkerHealth& health = aWorker.mHealth;
  return aNow.mMonotonic < health.mQuarantinedUntil ||
         (health.mQuarantineTime > Duration{ 0 } && HasProbe(aWorker));
}

/// True if a long-running task without another worker may start on the quarantined worker. It loses
/// little by a failed start and has no limit of attempts, unlike other tasks.
bool
AllowsLongRunningProbe(const SchedulerState& aState, const Worker& aWorker, const CurrentTime& aNow)
{
  return aNow.mMonotonic - aWorker.mHealth.mLastStart >= aState.mPolicy.mProbeInterval;
}

/// True if the worker can run tasks of the step when it has free capacity.
bool
CanEverHost(const Worker& aWorker, const StepSpec& aStep, const QueueSpec& aQueue)
{
  const bool labelled = aStep.mLabel.empty() ||
                        std::find(aWorker.mLabels.begin(), aWorker.mLabels.end(), aStep.mLabel) !=
                          aWorker.mLabels.end();
  return aWorker.mConnected && aWorker.mHasTaskList && !aWorker.mLifetimeEnded &&
         !aWorker.mAwaitsHeartbeat && !aWorker.mLeaving && aWorker.mPool == aQueue.mPool &&
         labelled && Fits(ReservedBy(aStep), aWorker.mCapacity);
}

/// How long a best-effort job has had no running task.
enum class Starvation
{
  None,
  /// Long enough for a place beside tasks with room below their targets.
  Starved,
  /// Long enough for any place with the resources.
  Overdue,
};

/// True if the worker can run a task of the step now, apart from a quarantine.
bool
HasCapacityNow(const SchedulerState& aState,
               const Worker& aWorker,
               const ReadyStep& aReady,
               const QueueSpec& aQueue,
               Starvation aStarvation,
               const CurrentTime& aNow)
{
  const StepSpec& step = aReady.mJob->mSpec.mSteps[aReady.mStep];
  if (!CanEverHost(aWorker, step, aQueue) || !aWorker.mRecorded ||
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

/// True if the worker can run a task of the step now while no other worker can.
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

struct LabelCapacity
{
  std::int64_t mCapacity = 0;
  std::int64_t mUsed = 0;
};

/// Millicores of the workers with each label, apart from labels that name a rack.
std::map<std::string, LabelCapacity>
CapacityByLabel(const SchedulerState& aState)
{
  std::map<std::string, LabelCapacity> labelCapacities;
  for (const Worker& worker : aState.mWorkers) {
    if (!worker.mConnected || worker.mLeaving) {
      continue;
    }
    for (const std::string& label : worker.mLabels) {
      if (label != worker.mRack.str()) {
        labelCapacities[label].mCapacity += worker.mCapacity.mCores.value();
        labelCapacities[label].mUsed += worker.mUsed.mCores.value();
      }
    }
  }
  return labelCapacities;
}

/// True if the task would use up the free share of cores of a label that the step does not require.
/// Tasks that require the label could then not start for as long as the task runs.
bool
ExhaustsLabel(const std::map<std::string, LabelCapacity>& aLabelCapacities,
              const Worker& aWorker,
              const StepSpec& aStep)
{
  return std::any_of(
    aWorker.mLabels.begin(), aWorker.mLabels.end(), [&](const std::string& aLabel) {
      const auto capacity = aLabelCapacities.find(aLabel);
      if (capacity == aLabelCapacities.end() || aLabel == aStep.mLabel) {
        return false;
      }
      const auto left =
        capacity->second.mCapacity - capacity->second.mUsed - aStep.mNeed.mCores.value();
      return static_cast<double>(left) <
             kFreeLabelShare * static_cast<double>(capacity->second.mCapacity);
    });
}

/// Cost of placing the task on the worker; lower is better.
double
PlacementCost(const SchedulerState& aState,
              const std::map<std::string, LabelCapacity>& aLabelCapacities,
              const Worker& aWorker,
              const ReadyStep& aReady,
              const Task& aTask,
              WorkerNumber aNumber)
{
  const StepSpec& step = aReady.mJob->mSpec.mSteps[aReady.mStep];
  const auto capacity =
    static_cast<double>(std::max<std::int64_t>(aWorker.mCapacity.mCores.value(), 1));
  double cost = aTask.mAvoidedWorker == aNumber ? 100.0 : 0.0;
  if (!step.mDataRack.empty() && step.mDataRack != aWorker.mRack.str()) {
    cost += 10.0;
  }
  const double usedCores = static_cast<double>(aWorker.mUsed.mCores.value()) / capacity;
  if (step.mLongRunning) {
    // A worker without long-running tasks can run best-effort tasks of any image, so long-running
    // tasks are kept on few workers.
    cost +=
      kSameStepWeight * TasksOfStepOn(aWorker, aReady.mJob, aReady.mOccurrence, aReady.mStep) -
      usedCores + (aWorker.mLongRunningReserved.value() == 0 ? kFirstLongRunningWeight : 0.0);
    cost += ExhaustsLabel(aLabelCapacities, aWorker, step) ? kExhaustedLabelWeight : 0.0;
  } else if (step.mBestEffort) {
    const double cores = static_cast<double>(step.mNeed.mCores.value()) / 1000.0;
    cost += kPressureWeight * AddedPressure(aState, aWorker, step.mImage, cores) -
            static_cast<double>(CoresLeftForBestEffort(aState, aWorker)) / capacity;
  } else {
    // Only best-effort tasks interfere with long-running ones, so short tasks go beside
    // long-running tasks and leave the other workers to best-effort ones.
    cost += kReservedCoresWeight * usedCores +
            static_cast<double>(aWorker.mBestEffortCores.value()) / capacity -
            kBesideLongRunningWeight * static_cast<double>(aWorker.mLongRunningReserved.value()) /
              capacity;
  }
  return cost;
}

/// True if less than half of the cores of the pool's workers are reserved.
bool
IsHalfFree(const SchedulerState& aState, const Common::PoolId& aPool)
{
  Common::MilliCores capacity;
  Common::MilliCores used;
  for (const Worker& worker : aState.mWorkers) {
    if (worker.mConnected && !worker.mLeaving && worker.mPool == aPool) {
      capacity += worker.mCapacity.mCores;
      used += worker.mUsed.mCores;
    }
  }
  return used + used < capacity;
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

/// Reference to the first task of the step.
TaskRef
FirstTask(const ReadyStep& aReady)
{
  return { aReady.mJob, aReady.mOccurrence, aReady.mStep, 0 };
}

WorkerNumber
BestWorker(const SchedulerState& aState,
           const ReadyStep& aReady,
           const QueueSpec& aQueue,
           std::uint32_t aIndex,
           const std::string& aRack,
           const CurrentTime& aNow)
{
  const TaskRef ref{ aReady.mJob, aReady.mOccurrence, aReady.mStep, aIndex };
  const Task& task = TaskAt(ref);
  if (task.mCrashChange > aReady.mJob->mDurableChange) {
    return kNoWorker;
  }
  const bool isTrial = NeedsTrial(ref);
  if (isTrial && !AllowsTrial(aState, aQueue.mPool, ref, aNow)) {
    return kNoWorker;
  }
  const Starvation starvation = StarvationOf(aState, aReady, aQueue, task, aNow);
  // Only long-running tasks need the capacity by label, and there are few of them.
  const bool longRunning = aReady.mJob->mSpec.mSteps[aReady.mStep].mLongRunning;
  const std::map<std::string, LabelCapacity> labelCapacities =
    longRunning ? CapacityByLabel(aState) : std::map<std::string, LabelCapacity>{};
  WorkerNumber best = kNoWorker;
  double bestCost = 0;
  for (WorkerNumber number = 0; number < aState.mWorkers.size(); ++number) {
    const Worker& worker = aState.mWorkers[number];
    if ((!aRack.empty() && worker.mRack.str() != aRack) ||
        (aQueue.mAdvice && !HasTicket(StepAt(FirstTask(aReady)), number, aNow)) ||
        (isTrial && !CanHostTrial(aState, worker, ref, aNow))) {
      continue;
    }
    const bool lastResort = CanHostAsLastResort(aState, worker, aReady, aQueue, aNow);
    if (!lastResort && !CanHostNow(aState, worker, aReady, aQueue, starvation, aNow)) {
      continue;
    }
    const double cost =
      (lastResort ? kQuarantineWeight : 0.0) +
      (isTrial ? TrialCost(aState, worker, task, aNow)
               : PlacementCost(aState, labelCapacities, worker, aReady, task, number));
    if (best == kNoWorker || cost < bestCost) {
      best = number;
      bestCost = cost;
    }
  }
  return best;
}

/// Requests tickets if tasks of the step could start with one. aAhead says that the step is among
/// the next ones; tickets are then requested before there is capacity, so that freed capacity does
/// not wait for the answer. Denials are final, and grants last until they expire, so a request
/// names every worker that may ever run the step and has neither.
void
RequestTickets(SchedulerState& aState,
               const ReadyStep& aReady,
               const QueueSpec& aQueue,
               bool aAhead,
               const CurrentTime& aNow)
{
  const Step& step = StepAt(FirstTask(aReady));
  const std::uint32_t waiting = step.mTasks.nextWaiting(0);
  if (!aQueue.mAdvice || step.mAdviceRequested || waiting == step.mTasks.size()) {
    return;
  }
  const Task& task = step.mTasks.at(waiting);
  const StepSpec& spec = aReady.mJob->mSpec.mSteps[aReady.mStep];
  const Starvation starvation = StarvationOf(aState, aReady, aQueue, task, aNow);
  // Tickets that expire before the answer would arrive are requested again.
  const CurrentTime atAnswer{
    aNow.mMonotonic + aQueue.mAdvice->mDecisionTime + aState.mPolicy.mTicketMargin, aNow.mUnix
  };
  bool isNeeded = aAhead;
  std::vector<std::tuple<bool, double, WorkerNumber>> candidates;
  for (WorkerNumber number = 0; number < aState.mWorkers.size(); ++number) {
    const Worker& worker = aState.mWorkers[number];
    if (IsDenied(step, number) || HasTicket(step, number, atAnswer) ||
        !CanEverHost(worker, spec, aQueue)) {
      continue;
    }
    const bool canHostNow = CanHostNow(aState, worker, aReady, aQueue, starvation, aNow) ||
                            CanHostAsLastResort(aState, worker, aReady, aQueue, aNow);
    isNeeded = isNeeded || canHostNow;
    candidates.emplace_back(
      !canHostNow, PlacementCost(aState, {}, worker, aReady, task, number), number);
  }
  if (!isNeeded) {
    return;
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<WorkerNumber> workers;
  workers.reserve(candidates.size());
  for (const auto& [cannotHostNow, cost, number] : candidates) {
    workers.push_back(number);
  }
  RequestAdvice(
    aState, { aReady.mJob, aReady.mOccurrence, aReady.mStep, 0 }, *aQueue.mAdvice, workers, aNow);
}

void
OrderStart(SchedulerState& aState, const TaskRef& aRef, RunNumber aRun, const CurrentTime& aNow)
{
  Task& task = OwnTaskAt(aRef);
  task.mRun = aRun;
  task.mPhaseSince = aNow.mMonotonic;
  aState.mWorkers[task.mWorker].mHealth.mLastStart = aNow.mMonotonic;
  Order order;
  order.mIsTrial = NeedsTrial(aRef);
  if (order.mIsTrial) {
    aState.mTrials.insert(aRef);
    ++aState.mCounts.mTrials;
  }
  order.mKind = OrderKind::Start;
  order.mLifetime = aState.mWorkers[task.mWorker].mLifetime;
  order.mTask = NameOf(aRef);
  order.mRun = aRun;
  order.mCheckpoint = task.mCheckpoint;
  const Step& step = StepAt(aRef);
  if (const auto ticket = step.mTickets.find(task.mWorker); ticket != step.mTickets.end()) {
    order.mTicket = ticket->second.mText;
  }
  AddOrder(aState, std::move(order));
  ++aState.mCounts.mStarts;
}

bool
IsUsedUp(const StartBudget* aBudget)
{
  return aBudget != nullptr && aBudget->mBytesLeft <= 0;
}

/// To be called once the task has been assigned to a worker.
void
ChargeStart(const SchedulerState& aState, const TaskRef& aRef, StartBudget* aBudget)
{
  if (aBudget != nullptr) {
    const Worker& worker = aState.mWorkers[TaskAt(aRef).mWorker];
    aBudget->mBytesLeft -= aBudget->mBytesOf(*aRef.mJob, worker.mAgent);
  }
}

/// Logs that tasks of a long-running step wait because only quarantined workers have capacity.
void
LogWaitForQuarantined(SchedulerState& aState,
                      const ReadyStep& aReady,
                      const QueueSpec& aQueue,
                      const CurrentTime& aNow)
{
  Step& step = StepAt(FirstTask(aReady));
  if (!aReady.mJob->mSpec.mSteps[aReady.mStep].mLongRunning ||
      aNow.mMonotonic - step.mQuarantineLoggedAt < aState.mPolicy.mQuarantineLogInterval) {
    return;
  }
  std::size_t quarantined = 0;
  for (const Worker& worker : aState.mWorkers) {
    if (HasCapacityNow(aState, worker, aReady, aQueue, Starvation::None, aNow)) {
      if (!IsQuarantined(worker, aNow)) {
        return;
      }
      ++quarantined;
    }
  }
  if (quarantined == 0) {
    return;
  }
  step.mQuarantineLoggedAt = aNow.mMonotonic;
  aState.mLogEntries.push_back({ "long-running tasks wait, only quarantined workers have capacity",
                                 aReady.mJob->mSpec.mJob,
                                 std::to_string(aReady.mOccurrence) + '.' +
                                   std::to_string(aReady.mStep) + ' ' +
                                   std::to_string(step.mWaitingTasks) + " waiting, " +
                                   std::to_string(quarantined) + " quarantined workers" });
}

RunNumber
NextRun(const SchedulerState& aState, const Task& aTask)
{
  return std::max(aTask.mRun, aState.mRunBase) + RunNumber{ 1 };
}

/// Starts all tasks of a gang or none. Returns false if there is no room for them.
bool
PlaceGang(SchedulerState& aState,
          const ReadyStep& aReady,
          const QueueSpec& aQueue,
          StartBudget* aBudget,
          const CurrentTime& aNow)
{
  Step& step = StepAt(FirstTask(aReady));
  if (step.mWaitingTasks != step.mTasks.size()) {
    // Some tasks of the previous run have not ended.
    return true;
  }
  std::set<std::string> racks{ "" };
  if (aReady.mJob->mSpec.mSteps[aReady.mStep].mSameRack) {
    for (const Worker& worker : aState.mWorkers) {
      racks.insert(worker.mRack.str());
    }
    // The empty name stands for any rack. It comes last, because tasks on several racks take
    // longer.
    racks.erase("");
  }
  std::vector<std::string> rackChoices(racks.begin(), racks.end());
  if (rackChoices.empty() || !rackChoices.front().empty()) {
    rackChoices.emplace_back();
  }
  RunNumber run = aState.mRunBase;
  // The checkpoint of any task is valid for the whole gang, and all tasks must start from the same
  // one.
  std::string checkpoint;
  for (const auto& [index, task] : step.mTasks.own()) {
    run = std::max(run, task.mRun);
    if (checkpoint.empty()) {
      checkpoint = task.mCheckpoint;
    }
  }
  run = run + RunNumber{ 1 };
  for (const std::string& rack : rackChoices) {
    std::uint32_t placed = 0;
    for (; placed < step.mTasks.size(); ++placed) {
      const WorkerNumber worker = BestWorker(aState, aReady, aQueue, placed, rack, aNow);
      if (worker == kNoWorker) {
        break;
      }
      AssignToWorker(aState,
                     { aReady.mJob, aReady.mOccurrence, aReady.mStep, placed },
                     worker,
                     TaskPhase::Starting,
                     aNow);
    }
    if (placed == step.mTasks.size()) {
      for (std::uint32_t i = 0; i < placed; ++i) {
        const TaskRef ref{ aReady.mJob, aReady.mOccurrence, aReady.mStep, i };
        step.mTasks[i].mCheckpoint = checkpoint;
        ChargeStart(aState, ref, aBudget);
        OrderStart(aState, ref, run, aNow);
      }
      return true;
    }
    for (std::uint32_t i = 0; i < placed; ++i) {
      SetWaiting(aState, { aReady.mJob, aReady.mOccurrence, aReady.mStep, i }, aNow);
      step.mTasks.dropIfNew(i);
    }
  }
  return false;
}

/// True if a worker that has no room for a task of the step has none for those of the job's other
/// occurrences either.
bool
HasUniformNeeds(const ReadyStep& aReady, const QueueSpec& aQueue)
{
  const StepSpec& step = aReady.mJob->mSpec.mSteps[aReady.mStep];
  return step.mMaxPerWorker == 0 && !step.mBestEffort && !aQueue.mAdvice &&
         aReady.mJob->mSuspectTasks == 0;
}

} // namespace

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

Duration
ExpectedRunTime(const SchedulerState& aState, const Job& aJob, std::uint32_t aStep)
{
  const StepSpec& step = aJob.mSpec.mSteps[aStep];
  const auto found = aState.mRunTimes.find({ aJob.mSpec.mQueue, step.mImage });
  const double ratio = found == aState.mRunTimes.end() ? 1.0 : found->second.mRatio;
  return std::chrono::duration_cast<Duration>(step.mEstimatedRunTime * ratio);
}

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
      worker.mNeighboursChangedAt = task.mPhaseSince;
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
    worker.mNeighboursChangedAt = aNow.mMonotonic;
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

bool
PlaceTasks(SchedulerState& aState, const CurrentTime& aNow, StartBudget* aBudget)
{
  ExpireAdviceRequests(aState, aNow);
  std::vector<ReadyStep> steps = ReadySteps(aState, aNow);
  std::uint32_t requestedAhead = 0;
  std::set<std::pair<const Job*, std::uint32_t>> withoutRoom;
  for (ReadyStep& ready : steps) {
    if (IsUsedUp(aBudget)) {
      return false;
    }
    if (withoutRoom.contains({ ready.mJob, ready.mStep })) {
      continue;
    }
    const QueueSpec& queue = *FindQueue(aState, *ready.mJob);
    const auto noteNoRoom = [&] {
      if (HasUniformNeeds(ready, queue)) {
        withoutRoom.emplace(ready.mJob, ready.mStep);
      }
    };
    if (ready.mJob->mSpec.mSteps[ready.mStep].mGang) {
      if (!PlaceGang(aState, ready, queue, aBudget, aNow)) {
        noteNoRoom();
      }
      RequestTickets(
        aState, ready, queue, requestedAhead++ < aState.mPolicy.mStepsRequestedAhead, aNow);
      continue;
    }
    Step& step = StepAt(FirstTask(ready));
    std::string placed;
    for (std::uint32_t i = step.mTasks.nextWaiting(0); i < step.mTasks.size();
         i = step.mTasks.nextWaiting(i + 1)) {
      if (IsUsedUp(aBudget)) {
        break;
      }
      const TaskRef ref{ ready.mJob, ready.mOccurrence, ready.mStep, i };
      const WorkerNumber worker = BestWorker(aState, ready, queue, i, "", aNow);
      if (worker == kNoWorker) {
        if (NeedsTrial(ref) || step.mTasks.at(i).mCrashChange > ready.mJob->mDurableChange) {
          continue;
        }
        LogWaitForQuarantined(aState, ready, queue, aNow);
        // All tasks of a step have the same requirements.
        noteNoRoom();
        break;
      }
      const RunNumber run = NextRun(aState, step.mTasks.at(i));
      const StepSpec& spec = ready.mJob->mSpec.mSteps[ready.mStep];
      if (spec.mBestEffort && !BestEffortFits(aState, aState.mWorkers[worker], spec)) {
        aState.mWorkers[worker].mForcedPlacementAt = aNow.mMonotonic;
      }
      AssignToWorker(aState, ref, worker, TaskPhase::Starting, aNow);
      ChargeStart(aState, ref, aBudget);
      OrderStart(aState, ref, run, aNow);
      ready.mJobIsIdle = false;
      placed += (placed.empty() ? "" : " ") + std::to_string(i) + ':' +
                std::to_string(run.value()) + '@' + aState.mWorkers[worker].mLifetime.mWorker.str();
    }
    if (queue.mAdvice && step.mWaitingTasks > 0) {
      RequestTickets(
        aState, ready, queue, requestedAhead++ < aState.mPolicy.mStepsRequestedAhead, aNow);
    }
    if (!placed.empty()) {
      aState.mLogEntries.push_back(
        { "tasks started",
          ready.mJob->mSpec.mJob,
          std::to_string(ready.mOccurrence) + '.' + std::to_string(ready.mStep) + ' ' + placed });
    }
  }
  return !IsUsedUp(aBudget);
}

double
ExpectedWork(const SchedulerState& aState, const Job& aJob)
{
  return EstimateJob(aState, aJob).mWork;
}

} // namespace Scheduling
