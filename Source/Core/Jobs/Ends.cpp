#include "Jobs/Transitions.h"

namespace Jobs {

namespace {

void
RemoveLiveTask(JobsState& aState, Job& aJob, std::uint32_t aSlot)
{
  LiveTask& task = aState.mTasks[aSlot];
  SwapRemove(aState, aJob.mLiveSlots, task.mIndexInJob, &LiveTask::mIndexInJob);
  aState.mTaskIndex.erase(task.mKey);
  if (task.mCheckpointAttempt != 0) {
    aState.mCheckpoints.erase(aSlot);
  }
  task = LiveTask{};
  aState.mFreeSlots.push_back(aSlot);
}

void
CountTaskEnd(Job& aJob, ProgressKind aKind)
{
  switch (aKind) {
    case ProgressKind::Finished:
      ++aJob.mFinishedTasks;
      break;
    case ProgressKind::Failed:
      ++aJob.mFailedTasks;
      break;
    case ProgressKind::Unknown:
      ++aJob.mUnknownTasks;
      break;
    default:
      ++aJob.mCancelledTasks;
      break;
  }
}

/// Notes the end of the job if all of its tasks have ended.
void
RecordJobEnd(JobsState& aState, Job& aJob, const CurrentTime& aNow)
{
  if (aJob.endedTasks() == aJob.mSpec.mTasks) {
    aJob.mEndedAt = aNow.mMonotonic;
    aJob.mRestartIndexes = {};
    aJob.mLiveSlots = {};
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
  const std::uint32_t slot = FindTaskSlot(aState, { aJob.mNumber, aIndex });
  if (slot != kNoSlot) {
    DeactivateTask(aState, slot, aNow);
    RemoveLiveTask(aState, aJob, slot);
  }
  if (aJob.mEndKinds.empty()) {
    aJob.mEndKinds.resize(aJob.mSpec.mTasks);
  }
  aJob.mEndKinds[aIndex] = static_cast<std::uint8_t>(aKind);
  CountTaskEnd(aJob, aKind);
  if (aRecord) {
    ProgressRecord record;
    record.mKind = aKind;
    record.mTask = { aJob.mNumber, aIndex };
    record.mAttempt = Common::Attempt(aAttempt);
    AddProgressRecord(aState, std::move(record));
  }
  RefreshQueue(aState, aJob);
  RecordJobEnd(aState, aJob, aNow);
}

void
EndWaitingTasks(JobsState& aState, Job& aJob, const CurrentTime& aNow)
{
  if (aJob.mHeld) {
    return;
  }
  for (std::uint32_t index = 0; index < aJob.mSpec.mTasks && aJob.waitingTasks() > 0; ++index) {
    if (HasEnded(aJob, index)) {
      continue;
    }
    const std::uint32_t slot = FindTaskSlot(aState, { aJob.mNumber, index });
    if (slot == kNoSlot || aState.mTasks[slot].mState == LiveTaskState::Waiting) {
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
  if (aJob.mCancelled || aJob.mFailed || aJob.endedTasks() == aJob.mSpec.mTasks) {
    return;
  }
  (aKind == ProgressKind::JobFailed ? aJob.mFailed : aJob.mCancelled) = true;
  aJob.mDetail = aReason;
  aState.mUnschedulableJobs.erase(aJob.mNumber.value());
  ProgressRecord record;
  record.mKind = aKind;
  record.mTask = { aJob.mNumber, kWholeJob };
  record.mCheckpoint = aReason;
  AddProgressRecord(aState, std::move(record));
  RefreshQueue(aState, aJob);
  for (const std::uint32_t slot : aJob.mLiveSlots) {
    LiveTask& task = aState.mTasks[slot];
    if (task.mState != LiveTaskState::Waiting && task.mWorker != kNoWorker) {
      task.mState = LiveTaskState::Stopping;
      aActions.push_back(MakeAction(aState, ActionKind::Stop, task));
    }
  }
  EndWaitingTasks(aState, aJob, aNow);
}

std::uint32_t
EndedAttempts(const LiveTask& aTask)
{
  return aTask.mWorker == kNoWorker ? aTask.mAttempt : aTask.mAttempt - 1;
}

void
RecordEndedAttempts(JobsState& aState, std::uint32_t aSlot, std::uint32_t aLastEnded)
{
  const LiveTask& task = aState.mTasks[aSlot];
  ProgressRecord record;
  record.mKind = ProgressKind::AttemptsEnded;
  record.mTask = task.mKey;
  record.mAttempt = Common::Attempt(aLastEnded);
  record.mCheckpointAttempt = Common::Attempt(task.mCheckpointAttempt);
  if (task.mCheckpointAttempt != 0) {
    record.mCheckpoint = aState.mCheckpoints[aSlot];
    if (task.mCheckpointAttempt < aLastEnded) {
      record.mResumedBy = record.mAttempt;
    }
  }
  AddProgressRecord(aState, std::move(record));
}

void
AddProgressRecord(JobsState& aState, ProgressRecord aRecord)
{
  ++aState.mNonDurableByTask[aRecord.mTask];
  ++FindJob(aState, aRecord.mTask.mJob)->mNonDurableRecords;
  aState.mUnwrittenProgress.push_back(std::move(aRecord));
}

bool
IsTaskDurable(const JobsState& aState, const TaskKey& aKey)
{
  return !aState.mNonDurableByTask.contains(aKey) &&
         !aState.mNonDurableByTask.contains({ aKey.mJob, kWholeJob });
}

void
EndAttempt(JobsState& aState, std::uint32_t aSlot, TaskState aEndState, const CurrentTime& aNow)
{
  const LiveTask& task = aState.mTasks[aSlot];
  const TaskKey key = task.mKey;
  Job& job = *FindJob(aState, key.mJob);
  if (job.mCancelled || job.mFailed) {
    EndTask(aState, job, key.mIndex, ProgressKind::Cancelled, task.mAttempt, aNow, false);
    return;
  }
  if (job.mSpec.mRestart == Tables::RestartPolicy::Never && aEndState != TaskState::Refused) {
    // A lost attempt may have finished; one that failed, was stopped or was evicted has not.
    const auto kind = aEndState == TaskState::Lost ? ProgressKind::Unknown : ProgressKind::Failed;
    EndTask(aState, job, key.mIndex, kind, task.mAttempt, aNow);
    return;
  }
  RecordEndedAttempts(aState, aSlot, task.mAttempt);
  if (job.mHeld) {
    ActivateTask(aState, aSlot, kNoWorker, {}, LiveTaskState::Uncertain, aNow);
    return;
  }
  DeactivateTask(aState, aSlot, aNow);
  job.mRestartIndexes.push_back(key.mIndex);
  RefreshQueue(aState, job);
}

TaskAction
MakeAction(const JobsState& aState, ActionKind aKind, const LiveTask& aTask)
{
  TaskAction action;
  action.mKind = aKind;
  action.mWorker = aState.mWorkers[aTask.mWorker].mName;
  action.mTask = MakeTaskId(aState.mCell, aTask.mKey);
  action.mAttempt = Common::Attempt(aTask.mAttempt);
  return action;
}

} // namespace Jobs
