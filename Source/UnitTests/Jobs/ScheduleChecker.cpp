#include "UnitTests/Jobs/ScheduleChecker.h"

#include <algorithm>

using Jobs::TaskState;

bool
ScheduleChecker::isKnown(const Task& aTask, std::int64_t aAttempt, std::uint64_t aAt)
{
  const auto isBefore = [&](const std::map<std::int64_t, std::uint64_t>& aTimes) {
    const auto found = aTimes.find(aAttempt);
    return found != aTimes.end() && found->second < aAt;
  };
  return isBefore(aTask.mReportedEnds) || isBefore(aTask.mDurableEnds);
}

void
ScheduleChecker::checkResumedCheckpoint(const Task& aTask,
                                        const Jobs::TaskStart& aStart,
                                        std::uint64_t aSentAt)
{
  std::ptrdiff_t required = -1;
  std::ptrdiff_t used = -1;
  for (std::size_t i = 0; i < aTask.mCheckpoints.size(); ++i) {
    const SavedCheckpoint& saved = aTask.mCheckpoints[i];
    const auto durable = aTask.mDurableEnds.find(saved.mAttempt);
    if (saved.mReportedAt < aSentAt ||
        (!saved.mLost && durable != aTask.mDurableEnds.end() && durable->second < aSentAt)) {
      required = static_cast<std::ptrdiff_t>(i);
    }
    if (aTask.mCheckpoints[i].mName == aStart.mCheckpoint) {
      used = static_cast<std::ptrdiff_t>(i);
    }
  }
  if (!aStart.mCheckpoint.empty() && used < 0) {
    addViolation(aStart.mTask.str() +
                 " resumes from a checkpoint that no worker took: " + aStart.mCheckpoint);
  }
  if (used < required) {
    addViolation(aStart.mTask.str() + " resumes from \"" + aStart.mCheckpoint +
                 "\" and not from its last checkpoint");
  }
}

void
ScheduleChecker::started(const Jobs::TaskStart& aStart,
                         const std::string& aWorker,
                         std::uint64_t aSentAt)
{
  Task& task = mTasks[aStart.mTask.str()];
  const std::int64_t attempt = aStart.mAttempt.value();
  const std::string name = aStart.mTask.str() + " attempt " + std::to_string(attempt);
  if (!task.mRunning.empty()) {
    addViolation(name + " runs on two workers: " + task.mRunning.begin()->first + " and " +
                 aWorker);
  }
  if (!task.mAttempts.empty() && attempt <= task.mAttempts.rbegin()->first) {
    addViolation(name + " does not exceed attempt " +
                 std::to_string(task.mAttempts.rbegin()->first));
  }
  if (task.mFinishedBy != 0 && isKnown(task, task.mFinishedBy, aSentAt)) {
    addViolation(name + " starts after the task has finished");
  }
  if (!aStart.mMayRestart && task.mStarts > 0) {
    addViolation(name + " starts again although it may not restart");
  }
  checkResumedCheckpoint(task, aStart, aSentAt);
  ++task.mStarts;
  task.mRunning[aWorker] = attempt;
  task.mAttempts[attempt] = aWorker;
}

void
ScheduleChecker::checkpointed(const std::string& aTask,
                              std::int64_t aAttempt,
                              const std::string& aName,
                              const std::string& aWorker)
{
  mTasks[aTask].mCheckpoints.push_back({ aName, aAttempt, aWorker });
}

void
ScheduleChecker::ended(const std::string& aTask,
                       std::int64_t aAttempt,
                       TaskState aNewState,
                       const std::string& aWorker)
{
  Task& task = mTasks[aTask];
  const auto running = task.mRunning.find(aWorker);
  if (running != task.mRunning.end() && running->second == aAttempt) {
    task.mRunning.erase(running);
  }
  if (aNewState == TaskState::Finished) {
    task.mFinishedBy = aAttempt;
    task.mEverFinished = true;
  }
  if (aNewState == TaskState::Failed) {
    mJobs[aTask.substr(0, aTask.rfind('.'))].mFailedOnWorkers.insert(aWorker);
  }
}

void
ScheduleChecker::dropUnknownAttempts(Task& aTask) const
{
  const auto finished = aTask.mAttempts.find(aTask.mFinishedBy);
  if (finished != aTask.mAttempts.end() && finished->second.empty() &&
      !isKnown(aTask, aTask.mFinishedBy, mTime + 1)) {
    aTask.mFinishedBy = 0;
  }
  std::erase_if(aTask.mAttempts, [&](const auto& aAttempt) {
    return aAttempt.second.empty() && !isKnown(aTask, aAttempt.first, mTime + 1);
  });
}

void
ScheduleChecker::workerLost(const std::string& aWorker)
{
  for (auto& [name, task] : mTasks) {
    task.mRunning.erase(aWorker);
    for (SavedCheckpoint& saved : task.mCheckpoints) {
      const bool wasReported =
        saved.mReportedAt != kNever || task.mDurableEnds.contains(saved.mAttempt);
      saved.mLost = saved.mLost || (saved.mWorker == aWorker && !wasReported);
    }
    for (auto& [attempt, worker] : task.mAttempts) {
      worker = worker == aWorker ? "" : worker;
    }
    dropUnknownAttempts(task);
  }
}

void
ScheduleChecker::reported(const Jobs::TaskReport& aReport)
{
  Task& task = mTasks[aReport.mTask.str()];
  for (SavedCheckpoint& saved : task.mCheckpoints) {
    if (saved.mName == aReport.mCheckpoint) {
      saved.mReportedAt = std::min(saved.mReportedAt, mTime);
    }
  }
  if (aReport.mState != TaskState::Running && aReport.mState != TaskState::Starting) {
    task.mReportedEnds.try_emplace(aReport.mAttempt.value(), mTime);
  }
}

void
ScheduleChecker::markedDurable(const std::string& aTask, std::int64_t aAttempt)
{
  mTasks[aTask].mDurableEnds.try_emplace(aAttempt, mTime);
}

void
ScheduleChecker::ownerChanged()
{
  for (auto& [name, task] : mTasks) {
    task.mReportedEnds.clear();
    for (SavedCheckpoint& saved : task.mCheckpoints) {
      saved.mReportedAt = kNever;
    }
    dropUnknownAttempts(task);
  }
}

void
ScheduleChecker::overcommitted(const std::string& aWorker)
{
  addViolation(aWorker + " gets more tasks than it has resources for");
}

void
ScheduleChecker::acknowledged(const std::string& aJob, const Jobs::JobSpec& aSpec)
{
  SubmittedJob& job = mJobs[aJob];
  job.mAcknowledged = true;
  job.mSpec = aSpec;
  if (aSpec.mKey.empty()) {
    return;
  }
  const auto [known, isNew] =
    mJobsByKey.try_emplace({ aSpec.mClient.str(), aSpec.mKey.str() }, aJob);
  if (known->second != aJob) {
    addViolation("key " + aSpec.mKey.str() + " gave the jobs " + known->second + " and " + aJob);
  }
}

std::vector<std::string>
ScheduleChecker::acknowledgedJobs() const
{
  std::vector<std::string> jobs;
  for (const auto& [name, job] : mJobs) {
    if (job.mAcknowledged) {
      jobs.push_back(name);
    }
  }
  return jobs;
}

void
ScheduleChecker::checkSummary(const std::string& aJob, const Jobs::JobSummary* aSummary)
{
  const SubmittedJob& job = mJobs[aJob];
  if (aSummary == nullptr) {
    addViolation(aJob + " was accepted and is lost");
    return;
  }
  std::uint32_t finished = 0;
  for (std::uint32_t i = 0; i < job.mSpec.mTasks; ++i) {
    finished += mTasks[aJob + "." + std::to_string(i)].mEverFinished ? 1 : 0;
  }
  if (aSummary->mFinished > finished) {
    addViolation(aJob + " is shown with more finished tasks than workers have finished");
  }
  const bool mayFail =
    job.mSpec.mRestart == Tables::RestartPolicy::Never || job.mFailedOnWorkers.size() >= 3;
  const bool excused = job.mCancelled || (mayFail && aSummary->mStatus == Jobs::JobStatus::Failed);
  if (!excused && aSummary->mStatus != Jobs::JobStatus::Finished) {
    addViolation(
      aJob + " was accepted and has not finished: " +
      std::string(Jobs::StatusText(aSummary->mStatus)) + ", waiting " +
      std::to_string(aSummary->mWaiting) + ", running " + std::to_string(aSummary->mRunning) +
      ", uncertain " + std::to_string(aSummary->mUncertain) + ", unknown " +
      std::to_string(aSummary->mUnknown) + ", failed " + std::to_string(aSummary->mFailed));
  }
}
