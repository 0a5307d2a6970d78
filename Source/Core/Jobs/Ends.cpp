#include "Jobs/Transitions.h"

namespace Jobs {

namespace {

void
RemoveLive(JobsState& aState, Job& aJob, std::uint32_t aSlot)
{
  LiveTask& task = aState.mTasks[aSlot];
  LeaveList(aState, aJob.mLive, task.mPlaceInJob, &LiveTask::mPlaceInJob);
  aState.mTaskIndex.erase(task.mKey);
  if (task.mCheckpointAttempt != 0) {
    aState.mCheckpoints.erase(aSlot);
  }
  task = LiveTask{};
  aState.mFreeTasks.push_back(aSlot);
}

void
CountEnd(Job& aJob, ProgressKind aKind)
{
  switch (aKind) {
    case ProgressKind::Finished:
      ++aJob.mFinished;
      break;
    case ProgressKind::Failed:
      ++aJob.mFailedTasks;
      break;
    case ProgressKind::Unknown:
      ++aJob.mUnknown;
      break;
    default:
      ++aJob.mCancelledTasks;
      break;
  }
}

void
NoteJobEnd(JobsState& aState, Job& aJob, const CurrentTime& aNow)
{
  if (aJob.ended() == aJob.mSpec.mTasks) {
    aJob.mEndedAt = aNow.mMonotonic;
    aJob.mAgain = {};
    aJob.mLive = {};
    aState.mEndedJobs.push_back(aJob.mNumber);
  }
}

} // namespace

void
EndTask(JobsState& aState,
        Job& aJob,
        std::uint32_t aIndex,
        ProgressKind aKind,
        std::uint32_t aAttempt,
        const CurrentTime& aNow,
        bool aRecord)
{
  const std::uint32_t slot = FindTask(aState, { aJob.mNumber, aIndex });
  if (slot != kNoTask) {
    Vacate(aState, slot, aNow);
    RemoveLive(aState, aJob, slot);
  }
  if (aJob.mEnded.empty()) {
    aJob.mEnded.resize(aJob.mSpec.mTasks);
  }
  aJob.mEnded[aIndex] = static_cast<std::uint8_t>(aKind);
  CountEnd(aJob, aKind);
  if (aRecord) {
    ProgressRecord record;
    record.mKind = aKind;
    record.mTask = { aJob.mNumber, aIndex };
    record.mAttempt = Common::Attempt(aAttempt);
    AddProgress(aState, std::move(record));
  }
  RefreshQueue(aState, aJob);
  NoteJobEnd(aState, aJob, aNow);
}

void
EndWaiting(JobsState& aState, Job& aJob, const CurrentTime& aNow)
{
  if (aJob.mHeld) {
    return;
  }
  for (std::uint32_t index = 0; index < aJob.mSpec.mTasks && aJob.waiting() > 0; ++index) {
    if (HasEnded(aJob, index)) {
      continue;
    }
    const std::uint32_t slot = FindTask(aState, { aJob.mNumber, index });
    if (slot == kNoTask || aState.mTasks[slot].mState == LiveState::Waiting) {
      EndTask(aState, aJob, index, ProgressKind::Cancelled, 0, aNow, false);
    }
  }
}

void
AbortJob(JobsState& aState,
         Job& aJob,
         ProgressKind aKind,
         const std::string& aReason,
         const CurrentTime& aNow,
         std::vector<TaskAction>& aActions)
{
  if (aJob.mCancelled || aJob.mFailed || aJob.ended() == aJob.mSpec.mTasks) {
    return;
  }
  (aKind == ProgressKind::JobFailed ? aJob.mFailed : aJob.mCancelled) = true;
  aJob.mDetail = aReason;
  aState.mAside.erase(aJob.mNumber.value());
  ProgressRecord record;
  record.mKind = aKind;
  record.mTask = { aJob.mNumber, kWholeJob };
  record.mCheckpoint = aReason;
  AddProgress(aState, std::move(record));
  RefreshQueue(aState, aJob);
  for (const std::uint32_t slot : aJob.mLive) {
    LiveTask& task = aState.mTasks[slot];
    if (task.mState != LiveState::Waiting && task.mWorker != kNoWorker) {
      task.mState = LiveState::Stopping;
      aActions.push_back(ActionFor(aState, ActionKind::Stop, task));
    }
  }
  EndWaiting(aState, aJob, aNow);
}

std::uint32_t
AttemptsOver(const LiveTask& aTask)
{
  return aTask.mWorker == kNoWorker ? aTask.mAttempt : aTask.mAttempt - 1;
}

void
RecordAttempts(JobsState& aState, std::uint32_t aSlot, std::uint32_t aOver)
{
  const LiveTask& task = aState.mTasks[aSlot];
  ProgressRecord record;
  record.mKind = ProgressKind::AttemptOver;
  record.mTask = task.mKey;
  record.mAttempt = Common::Attempt(aOver);
  record.mCheckpointAttempt = Common::Attempt(task.mCheckpointAttempt);
  if (task.mCheckpointAttempt != 0) {
    record.mCheckpoint = aState.mCheckpoints[aSlot];
    if (task.mCheckpointAttempt < aOver) {
      record.mResumedBy = record.mAttempt;
    }
  }
  AddProgress(aState, std::move(record));
}

void
AddProgress(JobsState& aState, ProgressRecord aRecord)
{
  ++aState.mNotDurable[aRecord.mTask];
  ++FindJob(aState, aRecord.mTask.mJob)->mUnsettled;
  aState.mUnwritten.push_back(std::move(aRecord));
}

bool
IsDurable(const JobsState& aState, const TaskKey& aKey)
{
  return !aState.mNotDurable.contains(aKey) &&
         !aState.mNotDurable.contains({ aKey.mJob, kWholeJob });
}

void
AttemptOver(JobsState& aState, std::uint32_t aSlot, TaskState aHow, const CurrentTime& aNow)
{
  const LiveTask& task = aState.mTasks[aSlot];
  const TaskKey key = task.mKey;
  Job& job = *FindJob(aState, key.mJob);
  if (job.mCancelled || job.mFailed) {
    EndTask(aState, job, key.mIndex, ProgressKind::Cancelled, task.mAttempt, aNow, false);
    return;
  }
  if (job.mSpec.mRestart == Tables::RestartPolicy::Never && aHow != TaskState::Refused) {
    // A lost attempt may have finished; one that was stopped or evicted has not.
    const auto kind = aHow == TaskState::Lost ? ProgressKind::Unknown : ProgressKind::Failed;
    EndTask(aState, job, key.mIndex, kind, task.mAttempt, aNow);
    return;
  }
  RecordAttempts(aState, aSlot, task.mAttempt);
  if (job.mHeld) {
    Occupy(aState, aSlot, kNoWorker, {}, LiveState::Uncertain, aNow);
    return;
  }
  Vacate(aState, aSlot, aNow);
  job.mAgain.push_back(key.mIndex);
  RefreshQueue(aState, job);
}

TaskAction
ActionFor(const JobsState& aState, ActionKind aKind, const LiveTask& aTask)
{
  TaskAction action;
  action.mKind = aKind;
  action.mWorker = aState.mWorkers[aTask.mWorker].mName;
  action.mTask = MakeTaskId(aState.mCell, aTask.mKey);
  action.mAttempt = Common::Attempt(aTask.mAttempt);
  return action;
}

} // namespace Jobs
