#include <algorithm>
#include <set>

#include "Scheduling/Schedule.h"

/// Tasks that may crash the workers that start them. A run is a suspect (CrashSuspect) while it is
/// fresh: its agent has not heard of the worker a little later than the start. A task with crashes
/// of suspect runs starts on trial; it is harmless once a run is not fresh any more.
namespace Scheduling {

namespace {

/// Fewest trials that may run in a pool at a time.
constexpr std::size_t kMinTrials = 2;
/// Weights of a trial on an instance whose worker crashed with a run of the task before, and of one
/// whose worker crashed with any run a short time ago, relative to a worker whose cores are all in
/// use.
constexpr double kSameInstanceWeight = 10.0;
constexpr double kRecentCrashWeight = 3.0;
/// Weight of the cores of long-running tasks, which callers miss at once.
constexpr double kLongRunningWeight = 2.0;

bool
CrashedLately(const SchedulerState& aState,
              const Common::InstanceId& aInstance,
              const CurrentTime& aNow)
{
  const auto crash = aState.mLastCrashes.find(aInstance);
  return crash != aState.mLastCrashes.end() &&
         aNow.mMonotonic - crash->second < aState.mPolicy.mRepeatedCrashTime;
}

std::string
DescribeSuspects(const EndedLifetime& aEnded)
{
  std::string text = aEnded.mLifetime.mWorker.str() + ':';
  for (const CrashSuspect& suspect : aEnded.mSuspects) {
    text += ' ' + suspect.mTask.mJob.str() + '.' +
            DescribeRun(suspect.mTask, suspect.mRun, aEnded.mLifetime);
  }
  return text;
}

void
AddCrash(SchedulerState& aState,
         const TaskRef& aRef,
         SuspectedCrash aCrash,
         const CurrentTime& aNow)
{
  Job& job = *aRef.mJob;
  const Task& before = TaskAt(aRef);
  const bool isKnown =
    std::any_of(before.mCrashes.begin(),
                before.mCrashes.end(),
                [&aCrash](const SuspectedCrash& aOther) { return aOther.mRun == aCrash.mRun; });
  if (isKnown || aCrash.mRun <= before.mClearedRun || before.mPhase == TaskPhase::Done ||
      HasEnded(job.mState)) {
    return;
  }
  Task& task = OwnTaskAt(aRef);
  job.mSuspectTasks += task.mCrashes.empty() ? 1 : 0;
  if (task.mPhase == TaskPhase::Waiting) {
    task.mRun = std::max(task.mRun, aCrash.mRun);
  }
  task.mCrashes.push_back(std::move(aCrash));
  MarkJobStarted(aState, job);
  MarkDirty(aState, job, true);
  task.mCrashChange = job.mLastChange;
  std::set<Common::InstanceId> conclusive;
  for (const SuspectedCrash& crash : task.mCrashes) {
    if (crash.mIsConclusive) {
      conclusive.insert(crash.mInstance);
    }
  }
  if (task.mCrashes.size() >= aState.mPolicy.mMaxCrashes ||
      conclusive.size() >= aState.mPolicy.mMaxConclusiveCrashes) {
    ++aState.mCounts.mJobsFailedForCrashes;
    FailJob(aState, job, "workers crash when they start one of its tasks", aNow);
  }
}

/// True if a task of the step has been at work for longer than a task that crashes its worker.
bool
HasHarmlessTask(const Step& aStep)
{
  const auto& tasks = aStep.mTasks.own();
  return aStep.mDoneTasks > 0 || std::any_of(tasks.begin(), tasks.end(), [](const auto& aEntry) {
           return aEntry.second.mIsHarmless;
         });
}

bool
HasSuspect(const Step& aStep)
{
  const auto& tasks = aStep.mTasks.own();
  return std::any_of(
    tasks.begin(), tasks.end(), [](const auto& aEntry) { return !aEntry.second.mCrashes.empty(); });
}

bool
HasWaitedLong(const SchedulerState& aState, const Task& aTask, const CurrentTime& aNow)
{
  return aNow.mMonotonic - aTask.mPhaseSince >= aState.mPolicy.mMaxTrialWait;
}

/// True if the trial of the task has neither ended nor taken too long.
bool
IsTrialOpen(const SchedulerState& aState, const TaskRef& aTrial, const CurrentTime& aNow)
{
  return aNow.mMonotonic - TaskAt(aTrial).mPhaseSince < aState.mPolicy.mMaxTrialLength;
}

} // namespace

void
CountCrash(SchedulerState& aState,
           const Common::InstanceId& aAgent,
           const EndedLifetime& aEnded,
           const CurrentTime& aNow)
{
  if (aEnded.mLeftByPlan || !aState.mCountedCrashes.insert(aEnded.mLifetime).second) {
    return;
  }
  ++aState.mCounts.mCrashes;
  aState.mLogEntries.push_back({ "worker crashed", {}, DescribeSuspects(aEnded) });
  const bool isConclusive =
    aEnded.mSuspects.size() == 1 && !aEnded.mMayBeLateStart && !CrashedLately(aState, aAgent, aNow);
  aState.mLastCrashes[aAgent] = aNow.mMonotonic;
  for (const CrashSuspect& suspect : aEnded.mSuspects) {
    if (const auto ref = FindTask(aState, suspect.mTask)) {
      AddCrash(aState, *ref, { suspect.mRun, aAgent, isConclusive }, aNow);
    }
  }
}

void
ForgetCrashes(SchedulerState& aState, const TaskRef& aRef)
{
  if (!TaskAt(aRef).mCrashes.empty()) {
    OwnTaskAt(aRef).mCrashes.clear();
    --aRef.mJob->mSuspectTasks;
    ++aState.mPlaceableChanges;
  }
}

void
MarkHarmless(SchedulerState& aState, const TaskRef& aRef)
{
  Task& task = OwnTaskAt(aRef);
  task.mIsHarmless = true;
  if (aState.mTrials.erase(aRef) > 0) {
    ++aState.mPlaceableChanges;
  }
  if (!task.mCrashes.empty()) {
    task.mClearedRun = task.mRun;
    ForgetCrashes(aState, aRef);
    MarkDirty(aState, *aRef.mJob, false);
  }
}

bool
NeedsTrial(const TaskRef& aRef)
{
  if (aRef.mJob->mSuspectTasks == 0) {
    return false;
  }
  const Task& task = TaskAt(aRef);
  const Step& step = StepAt(aRef);
  const bool isSuspect =
    task.mCrashes.size() > 1 || (!task.mCrashes.empty() && task.mCrashes.back().mIsConclusive);
  return isSuspect || (HasSuspect(step) && !HasHarmlessTask(step));
}

bool
HostsTrial(const SchedulerState& aState, const Worker& aWorker, const CurrentTime& aNow)
{
  return std::any_of(aState.mTrials.begin(), aState.mTrials.end(), [&](const TaskRef& aTrial) {
    return &aState.mWorkers[TaskAt(aTrial).mWorker] == &aWorker &&
           IsTrialOpen(aState, aTrial, aNow);
  });
}

bool
AllowsTrial(const SchedulerState& aState,
            const Common::PoolId& aPool,
            const TaskRef& aRef,
            const CurrentTime& aNow)
{
  if (StepSpecOf(aRef).mGang) {
    // Its members can only start together, however many they are.
    return true;
  }
  const Task& task = TaskAt(aRef);
  const bool mayBeChance =
    std::none_of(task.mCrashes.begin(), task.mCrashes.end(), [](const SuspectedCrash& aCrash) {
      return aCrash.mIsConclusive;
    });
  if (mayBeChance && !task.mCrashes.empty() && HasWaitedLong(aState, task, aNow)) {
    return true;
  }
  std::size_t trials = 0;
  for (const TaskRef& trial : aState.mTrials) {
    if (IsTrialOpen(aState, trial, aNow) && aState.mWorkers[TaskAt(trial).mWorker].mPool == aPool) {
      ++trials;
      if (trial.mJob == aRef.mJob) {
        return false;
      }
    }
  }
  const auto workers = static_cast<std::size_t>(
    std::count_if(aState.mWorkers.begin(), aState.mWorkers.end(), [&aPool](const Worker& aWorker) {
      return aWorker.mPool == aPool && aWorker.mConnected && !aWorker.mLifetimeEnded;
    }));
  return trials < std::max(kMinTrials, workers / aState.mPolicy.mWorkersPerTrial);
}

bool
CanHostTrial(const SchedulerState& aState,
             const Worker& aWorker,
             const TaskRef& aRef,
             const CurrentTime& aNow)
{
  const Policy& policy = aState.mPolicy;
  return HasWaitedLong(aState, TaskAt(aRef), aNow) ||
         std::none_of(aWorker.mTasks.begin(), aWorker.mTasks.end(), [&](const TaskRef& aOther) {
           return aNow.mMonotonic - TaskAt(aOther).mPhaseSince < policy.mTrialTime;
         });
}

double
TrialCost(const SchedulerState& aState,
          const Worker& aWorker,
          const Task& aTask,
          const CurrentTime& aNow)
{
  const auto capacity =
    static_cast<double>(std::max<std::int64_t>(aWorker.mCapacity.mCores.value(), 1));
  const bool crashedWithTask = std::any_of(
    aTask.mCrashes.begin(), aTask.mCrashes.end(), [&aWorker](const SuspectedCrash& aCrash) {
      return aCrash.mInstance == aWorker.mAgent;
    });
  return (crashedWithTask ? kSameInstanceWeight : 0.0) +
         (CrashedLately(aState, aWorker.mAgent, aNow) ? kRecentCrashWeight : 0.0) +
         static_cast<double>(aWorker.mUsed.mCores.value() + aWorker.mBestEffortCores.value()) /
           capacity +
         kLongRunningWeight * static_cast<double>(aWorker.mLongRunningReserved.value()) / capacity;
}

} // namespace Scheduling
