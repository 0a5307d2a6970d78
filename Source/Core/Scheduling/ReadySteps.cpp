#include <algorithm>
#include <optional>

#include "Scheduling/Placement.h"

namespace Scheduling {

namespace {

/// Due occurrences of one job that are kept at a time without a task at work. Each placement round
/// replaces those that were started.
constexpr std::size_t kMaxIdleOccurrences = 128;

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

} // namespace

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

TaskRef
FirstTask(const ReadyStep& aReady)
{
  return { aReady.mJob, aReady.mOccurrence, aReady.mStep, 0 };
}

Duration
ExpectedRunTime(const SchedulerState& aState, const Job& aJob, std::uint32_t aStep)
{
  const StepSpec& step = aJob.mSpec.mSteps[aStep];
  const auto found = aState.mRunTimes.find({ aJob.mSpec.mQueue, step.mImage });
  const double ratio = found == aState.mRunTimes.end() ? 1.0 : found->second.mRatio;
  return std::chrono::duration_cast<Duration>(step.mEstimatedRunTime * ratio);
}

double
ExpectedWork(const SchedulerState& aState, const Job& aJob)
{
  return EstimateJob(aState, aJob).mWork;
}

} // namespace Scheduling
