#include "UnitTests/Jobs/Checker.h"

#include <algorithm>

using Jobs::TaskState;

bool
Checker::isKnown(const Task& aTask, std::int64_t aAttempt, std::uint64_t aAt)
{
  const auto isBefore = [&](const std::map<std::int64_t, std::uint64_t>& aTimes) {
    const auto found = aTimes.find(aAttempt);
    return found != aTimes.end() && found->second < aAt;
  };
  return isBefore(aTask.mTold) || isBefore(aTask.mDurable);
}

void
Checker::checkCheckpoint(const Task& aTask, const Jobs::TaskStart& aStart, std::uint64_t aSent)
{
  std::ptrdiff_t required = -1;
  std::ptrdiff_t used = -1;
  for (std::size_t i = 0; i < aTask.mSaved.size(); ++i) {
    const Saved& saved = aTask.mSaved[i];
    const auto durable = aTask.mDurable.find(saved.mAttempt);
    if (saved.mToldAt < aSent ||
        (!saved.mLost && durable != aTask.mDurable.end() && durable->second < aSent)) {
      required = static_cast<std::ptrdiff_t>(i);
    }
    if (aTask.mSaved[i].mName == aStart.mCheckpoint) {
      used = static_cast<std::ptrdiff_t>(i);
    }
  }
  if (!aStart.mCheckpoint.empty() && used < 0) {
    fault(aStart.mTask.str() +
          " resumes from a checkpoint that no worker made: " + aStart.mCheckpoint);
  }
  if (used < required) {
    fault(aStart.mTask.str() + " resumes from \"" + aStart.mCheckpoint +
          "\" and not from its last checkpoint");
  }
}

void
Checker::started(const Jobs::TaskStart& aStart, const std::string& aWorker, std::uint64_t aSent)
{
  Task& task = mTasks[aStart.mTask.str()];
  const std::int64_t attempt = aStart.mAttempt.value();
  const std::string name = aStart.mTask.str() + " attempt " + std::to_string(attempt);
  if (!task.mRunning.empty()) {
    fault(name + " runs in two places: " + task.mRunning.begin()->first + " and " + aWorker);
  }
  if (!task.mAttempts.empty() && attempt <= task.mAttempts.rbegin()->first) {
    fault(name + " does not rise above " + std::to_string(task.mAttempts.rbegin()->first));
  }
  if (task.mFinishedBy != 0 && isKnown(task, task.mFinishedBy, aSent)) {
    fault(name + " starts after the task has finished");
  }
  if (!aStart.mMayRestart && task.mStarts > 0) {
    fault(name + " starts again although it may not restart");
  }
  checkCheckpoint(task, aStart, aSent);
  ++task.mStarts;
  task.mRunning[aWorker] = attempt;
  task.mAttempts[attempt] = aWorker;
}

void
Checker::checkpointed(const std::string& aTask,
                      std::int64_t aAttempt,
                      const std::string& aName,
                      const std::string& aWorker)
{
  mTasks[aTask].mSaved.push_back({ aName, aAttempt, aWorker });
}

void
Checker::ended(const std::string& aTask,
               std::int64_t aAttempt,
               TaskState aHow,
               const std::string& aWorker)
{
  Task& task = mTasks[aTask];
  const auto running = task.mRunning.find(aWorker);
  if (running != task.mRunning.end() && running->second == aAttempt) {
    task.mRunning.erase(running);
  }
  if (aHow == TaskState::Finished) {
    task.mFinishedBy = aAttempt;
    task.mEverFinished = true;
  }
  if (aHow == TaskState::Failed) {
    mJobs[aTask.substr(0, aTask.rfind('.'))].mFailedOn.insert(aWorker);
  }
}

void
Checker::dropUnknown(Task& aTask) const
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
Checker::died(const std::string& aWorker)
{
  for (auto& [name, task] : mTasks) {
    task.mRunning.erase(aWorker);
    for (Saved& saved : task.mSaved) {
      const bool told = saved.mToldAt != kNever || task.mDurable.contains(saved.mAttempt);
      saved.mLost = saved.mLost || (saved.mWorker == aWorker && !told);
    }
    for (auto& [attempt, worker] : task.mAttempts) {
      worker = worker == aWorker ? "" : worker;
    }
    dropUnknown(task);
  }
}

void
Checker::told(const Jobs::TaskReport& aReport)
{
  Task& task = mTasks[aReport.mTask.str()];
  for (Saved& saved : task.mSaved) {
    if (saved.mName == aReport.mCheckpoint) {
      saved.mToldAt = std::min(saved.mToldAt, mTime);
    }
  }
  if (aReport.mState != TaskState::Running && aReport.mState != TaskState::Starting) {
    task.mTold.try_emplace(aReport.mAttempt.value(), mTime);
  }
}

void
Checker::forgotten(const std::string& aTask, std::int64_t aAttempt)
{
  mTasks[aTask].mDurable.try_emplace(aAttempt, mTime);
}

void
Checker::ownerChanged()
{
  for (auto& [name, task] : mTasks) {
    task.mTold.clear();
    for (Saved& saved : task.mSaved) {
      saved.mToldAt = kNever;
    }
    dropUnknown(task);
  }
}

void
Checker::overAsked(const std::string& aWorker)
{
  fault(aWorker + " is asked for more than it has");
}

void
Checker::acknowledged(const std::string& aJob, const Jobs::JobSpec& aSpec)
{
  JobSeen& job = mJobs[aJob];
  job.mAcknowledged = true;
  job.mSpec = aSpec;
  if (aSpec.mKey.empty()) {
    return;
  }
  const auto [known, isNew] = mKeys.try_emplace({ aSpec.mClient.str(), aSpec.mKey.str() }, aJob);
  if (known->second != aJob) {
    fault("key " + aSpec.mKey.str() + " gave the jobs " + known->second + " and " + aJob);
  }
}

std::vector<std::string>
Checker::acknowledgedJobs() const
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
Checker::shown(const std::string& aJob, const Jobs::JobSummary* aSummary)
{
  const JobSeen& job = mJobs[aJob];
  if (aSummary == nullptr) {
    fault(aJob + " was accepted and is lost");
    return;
  }
  std::uint32_t finished = 0;
  for (std::uint32_t i = 0; i < job.mSpec.mTasks; ++i) {
    finished += mTasks[aJob + "." + std::to_string(i)].mEverFinished ? 1 : 0;
  }
  if (aSummary->mFinished > finished) {
    fault(aJob + " is shown with more finished tasks than workers have finished");
  }
  const bool mayFail =
    job.mSpec.mRestart == Tables::RestartPolicy::Never || job.mFailedOn.size() >= 3;
  const bool excused = job.mCancelled || (mayFail && aSummary->mStatus == Jobs::JobStatus::Failed);
  if (!excused && aSummary->mStatus != Jobs::JobStatus::Finished) {
    fault(aJob + " was accepted and has not finished: " +
          std::string(Jobs::StatusText(aSummary->mStatus)) + ", waiting " +
          std::to_string(aSummary->mWaiting) + ", running " + std::to_string(aSummary->mRunning) +
          ", uncertain " + std::to_string(aSummary->mUncertain) + ", unknown " +
          std::to_string(aSummary->mUnknown) + ", failed " + std::to_string(aSummary->mFailed));
  }
}
