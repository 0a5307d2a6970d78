#include "Jobs/Jobs.h"
#include "Jobs/Transitions.h"

#include <algorithm>

namespace Jobs {

namespace {

JobStatus
JobStatusOf(const Job& aJob)
{
  if (aJob.endedTasks() == aJob.mSpec.mTasks) {
    if (aJob.mCancelled) {
      return JobStatus::Cancelled;
    }
    const bool failed = aJob.mFailed || aJob.mFailedTasks > 0 || aJob.mUnknownTasks > 0;
    return failed ? JobStatus::Failed : JobStatus::Finished;
  }
  if (!aJob.mDurable) {
    return JobStatus::Accepting;
  }
  if (aJob.mCancelled || aJob.mFailed) {
    return JobStatus::Cancelling;
  }
  if (aJob.mUnschedulable) {
    return JobStatus::Unschedulable;
  }
  return aJob.mActiveTasks > 0 ? JobStatus::Running : JobStatus::Waiting;
}

JobSummary
Summarise(const JobsState& aState, const Job& aJob)
{
  JobSummary summary;
  summary.mJob = MakeJobId(aState.mCell, aJob.mNumber);
  summary.mStatus = JobStatusOf(aJob);
  summary.mTasks = aJob.mSpec.mTasks;
  summary.mFinished = aJob.mFinishedTasks;
  summary.mFailed = aJob.mFailedTasks;
  summary.mCancelled = aJob.mCancelledTasks;
  summary.mUnknown = aJob.mUnknownTasks;
  summary.mEvictions = aJob.mEvictions;
  summary.mDetail = aJob.mDetail;
  summary.mSubmitted = aJob.mSubmitted;
  for (const std::uint32_t slot : aJob.mLiveSlots) {
    const LiveTask& task = aState.mTasks[slot];
    if (task.mState == LiveTaskState::Waiting) {
      continue;
    }
    const bool silent = task.mWorker == kNoWorker || aState.mWorkers[task.mWorker].mSilent;
    ++(silent ? summary.mUncertain : summary.mRunning);
  }
  summary.mWaiting = aJob.startableTasks();
  summary.mUncertain += aJob.waitingTasks() - aJob.startableTasks();
  return summary;
}

} // namespace

std::optional<JobSummary>
ShowJob(const JobsState& aState, const Common::JobId& aJob)
{
  const auto number = ParseJobId(aState.mCell, aJob.str());
  const Job* job = number ? FindJob(aState, *number) : nullptr;
  if (job == nullptr) {
    return std::nullopt;
  }
  return Summarise(aState, *job);
}

std::vector<JobSummary>
ShowJobs(const JobsState& aState, std::size_t aLimit)
{
  std::vector<const Job*> jobs;
  jobs.reserve(aState.mJobs.size());
  for (const auto& [number, job] : aState.mJobs) {
    jobs.push_back(&job);
  }
  const auto count = static_cast<std::ptrdiff_t>(std::min(aLimit, jobs.size()));
  std::partial_sort(
    jobs.begin(), jobs.begin() + count, jobs.end(), [](const Job* aLeft, const Job* aRight) {
      return aLeft->mNumber > aRight->mNumber;
    });
  std::vector<JobSummary> summaries;
  for (auto job = jobs.begin(); job != jobs.begin() + count; ++job) {
    summaries.push_back(Summarise(aState, **job));
  }
  return summaries;
}

} // namespace Jobs
