#include "Jobs/Jobs.h"
#include "Jobs/Transitions.h"

#include <algorithm>

namespace Jobs {

namespace {

/// A report and what the state holds about its task.
struct ReportContext
{
  const TaskReport& mReport;
  TaskKey mKey;
  std::uint32_t mWorker = kNoWorker;
  std::uint32_t mAttempt = 0;
  Job* mJob = nullptr;
  std::uint32_t mSlot = kNoSlot;
};

bool
IsRunningState(TaskState aState)
{
  return aState == TaskState::Starting || aState == TaskState::Running;
}

TaskAction
MakeReply(const JobsState& aState, const ReportContext& aContext, ActionKind aKind)
{
  TaskAction action;
  action.mKind = aKind;
  action.mWorker = aState.mWorkers[aContext.mWorker].mName;
  action.mTask = aContext.mReport.mTask;
  action.mAttempt = aContext.mReport.mAttempt;
  return action;
}

/// True if the report is about the attempt that the state considers current.
bool
IsCurrentAttempt(const JobsState& aState, const ReportContext& aContext)
{
  if (aContext.mSlot == kNoSlot) {
    return false;
  }
  const LiveTask& task = aState.mTasks[aContext.mSlot];
  return task.mState != LiveTaskState::Waiting && task.mAttempt == aContext.mAttempt &&
         task.mWorker == aContext.mWorker;
}

/// True if the report is about an attempt that the state does not know, such as one that an earlier
/// owner started and that was not rebuilt.
bool
IsNewerAttempt(const JobsState& aState, const ReportContext& aContext)
{
  if (aContext.mSlot == kNoSlot) {
    return true;
  }
  return aContext.mAttempt > aState.mTasks[aContext.mSlot].mAttempt;
}

void
StoreCheckpoint(JobsState& aState, std::uint32_t aSlot, const ReportContext& aContext)
{
  if (aContext.mReport.mCheckpoint.empty()) {
    return;
  }
  aState.mCheckpoints[aSlot] = aContext.mReport.mCheckpoint;
  aState.mTasks[aSlot].mCheckpointAttempt = aContext.mAttempt;
}

/// Makes the attempt of the report the current one. An older attempt that the state considered
/// current gets a stop command.
void
AdoptAttempt(JobsState& aState,
             ReportContext& aContext,
             const CurrentTime& aNow,
             std::vector<TaskAction>& aActions)
{
  if (aContext.mSlot == kNoSlot) {
    aContext.mSlot = AddLiveTask(aState, *aContext.mJob, aContext.mKey.mIndex, aNow);
  }
  LiveTask& task = aState.mTasks[aContext.mSlot];
  if (task.mState != LiveTaskState::Waiting && task.mWorker != kNoWorker) {
    aActions.push_back(MakeAction(aState, ActionKind::Stop, task));
  }
  ActivateTask(aState,
               aContext.mSlot,
               aContext.mWorker,
               aContext.mReport.mAmounts,
               LiveTaskState::Running,
               aNow);
  aState.mTasks[aContext.mSlot].mAttempt = aContext.mAttempt;
  aState.mTasks[aContext.mSlot].mSince = aNow.mMonotonic - aContext.mReport.mElapsed;
}

/// Applies the checkpoint in a report of an attempt that is not the current one, for example when
/// the worker was released before it was heard. The next start uses the checkpoint unless a later
/// attempt has taken one.
void
ApplyLateCheckpoint(JobsState& aState, const ReportContext& aContext)
{
  if (aContext.mSlot == kNoSlot || aContext.mReport.mCheckpoint.empty()) {
    return;
  }
  const std::uint32_t newest = aState.mTasks[aContext.mSlot].mCheckpointAttempt;
  const bool isNew = newest < aContext.mAttempt ||
                     (newest == aContext.mAttempt &&
                      aState.mCheckpoints[aContext.mSlot] != aContext.mReport.mCheckpoint);
  if (isNew) {
    StoreCheckpoint(aState, aContext.mSlot, aContext);
    RecordEndedAttempts(aState, aContext.mSlot, EndedAttempts(aState.mTasks[aContext.mSlot]));
  }
}

void
ApplyLateAttemptEnd(JobsState& aState,
                    const ReportContext& aContext,
                    std::vector<TaskAction>& aActions)
{
  ApplyLateCheckpoint(aState, aContext);
  if (IsTaskDurable(aState, aContext.mKey)) {
    aActions.push_back(MakeReply(aState, aContext, ActionKind::Forget));
  }
}

void
ApplyRunning(JobsState& aState,
             ReportContext& aContext,
             const CurrentTime& aNow,
             std::vector<TaskAction>& aActions)
{
  const bool aborted = aContext.mJob->mCancelled || aContext.mJob->mFailed;
  if (!IsCurrentAttempt(aState, aContext)) {
    if (!IsNewerAttempt(aState, aContext)) {
      ApplyLateCheckpoint(aState, aContext);
      aActions.push_back(MakeReply(aState, aContext, ActionKind::Stop));
      return;
    }
    AdoptAttempt(aState, aContext, aNow, aActions);
    if (aborted) {
      aState.mTasks[aContext.mSlot].mState = LiveTaskState::Stopping;
      aActions.push_back(MakeReply(aState, aContext, ActionKind::Stop));
    }
  }
  LiveTask& task = aState.mTasks[aContext.mSlot];
  task.mReported = true;
  if (task.mState == LiveTaskState::Starting) {
    task.mState = LiveTaskState::Running;
    task.mSince = aNow.mMonotonic - aContext.mReport.mElapsed;
  }
  const bool isNewCheckpoint =
    !aContext.mReport.mCheckpoint.empty() &&
    (task.mCheckpointAttempt != aContext.mAttempt ||
     aState.mCheckpoints[aContext.mSlot] != aContext.mReport.mCheckpoint);
  if (isNewCheckpoint) {
    StoreCheckpoint(aState, aContext.mSlot, aContext);
    RecordEndedAttempts(aState, aContext.mSlot, EndedAttempts(aState.mTasks[aContext.mSlot]));
  }
}

/// Ends the task as finished, whichever attempt finished it, and stops another attempt that is
/// still running.
void
ApplyFinished(JobsState& aState,
              ReportContext& aContext,
              const CurrentTime& aNow,
              std::vector<TaskAction>& aActions)
{
  if (aContext.mSlot != kNoSlot && !IsCurrentAttempt(aState, aContext)) {
    const LiveTask& task = aState.mTasks[aContext.mSlot];
    if (task.mState != LiveTaskState::Waiting && task.mWorker != kNoWorker) {
      aActions.push_back(MakeAction(aState, ActionKind::Stop, task));
    }
  }
  Job& job = *aContext.mJob;
  EndTask(aState, job, aContext.mKey.mIndex, ProgressKind::Finished, aContext.mAttempt, aNow);
  RecordMeasuredUse(
    aState.mSizes,
    job.mSpec.mRoute,
    job.mSpec.mClient,
    { job.mSpec.mPerTask, job.mSpec.mRunTime },
    { aContext.mReport.mCoreMicros, aContext.mReport.mPeakMemory, aContext.mReport.mElapsed });
  RecordOutcome(aState, job, aContext.mWorker, true, aNow);
}

void
ApplyFailed(JobsState& aState,
            ReportContext& aContext,
            const CurrentTime& aNow,
            std::vector<TaskAction>& aActions)
{
  LiveTask& task = aState.mTasks[aContext.mSlot];
  Job& job = *aContext.mJob;
  const bool aborted = job.mCancelled || job.mFailed;
  ++task.mFailures;
  task.mLastFailedOn = aContext.mWorker;
  // RecordOutcome takes the failure back if it finds that the worker is bad.
  const std::string jobFailure = RecordOutcome(aState, job, aContext.mWorker, false, aNow);
  if (!aborted && task.mFailures >= job.mSpec.mMaxAttempts) {
    EndTask(aState, job, aContext.mKey.mIndex, ProgressKind::Failed, aContext.mAttempt, aNow);
  } else {
    EndAttempt(aState, aContext.mSlot, TaskState::Failed, aNow);
  }
  if (!jobFailure.empty()) {
    AbortJob(aState, job, ProgressKind::JobFailed, jobFailure, aNow, aActions);
  }
}

void
ApplyAttemptEnd(JobsState& aState,
                ReportContext& aContext,
                const CurrentTime& aNow,
                std::vector<TaskAction>& aActions)
{
  if (!IsCurrentAttempt(aState, aContext)) {
    if (!IsNewerAttempt(aState, aContext)) {
      ApplyLateAttemptEnd(aState, aContext, aActions);
      return;
    }
    AdoptAttempt(aState, aContext, aNow, aActions);
  }
  StoreCheckpoint(aState, aContext.mSlot, aContext);
  if (aContext.mReport.mState == TaskState::Failed) {
    ApplyFailed(aState, aContext, aNow, aActions);
    return;
  }
  if (aContext.mReport.mState == TaskState::Evicted) {
    ++aContext.mJob->mEvictions;
  }
  EndAttempt(aState, aContext.mSlot, aContext.mReport.mState, aNow);
}

/// Ends the attempts of tasks that the agent reported before and no longer lists; they ended
/// without a report. After a change of incarnation this includes unconfirmed starts.
void
EndMissingTasks(JobsState& aState,
                std::uint32_t aWorker,
                bool aRestarted,
                const std::vector<std::pair<TaskKey, std::uint32_t>>& aReported,
                const CurrentTime& aNow)
{
  std::vector<std::uint32_t> missing;
  for (const std::uint32_t slot : aState.mWorkers[aWorker].mTasks) {
    const LiveTask& task = aState.mTasks[slot];
    const bool isConfirmed = task.mReported || aRestarted;
    if (isConfirmed && !std::binary_search(
                         aReported.begin(), aReported.end(), std::pair(task.mKey, task.mAttempt))) {
      missing.push_back(slot);
    }
  }
  for (const std::uint32_t slot : missing) {
    EndAttempt(aState, slot, TaskState::Lost, aNow);
  }
}

} // namespace

void
ApplyReport(JobsState& aState,
            const Common::WorkerId& aWorker,
            const TaskReport& aReport,
            const CurrentTime& aNow,
            std::vector<TaskAction>& aActions)
{
  ReportContext context{ aReport, {}, kNoWorker, 0, nullptr, kNoSlot };
  context.mWorker = FindOrAddWorker(aState, aWorker);
  context.mAttempt = static_cast<std::uint32_t>(aReport.mAttempt.value());
  const auto key = ParseTaskId(aState.mCell, aReport.mTask.str());
  context.mJob = key ? FindJob(aState, key->mJob) : nullptr;
  const bool running = IsRunningState(aReport.mState);
  if (context.mJob == nullptr || key->mIndex >= context.mJob->mSpec.mTasks) {
    aActions.push_back(MakeReply(aState, context, running ? ActionKind::Stop : ActionKind::Forget));
    return;
  }
  context.mKey = *key;
  if (HasEnded(*context.mJob, key->mIndex)) {
    if (running) {
      aActions.push_back(MakeReply(aState, context, ActionKind::Stop));
    } else if (IsTaskDurable(aState, *key)) {
      aActions.push_back(MakeReply(aState, context, ActionKind::Forget));
    }
    return;
  }
  context.mSlot = FindTaskSlot(aState, *key);
  if (running) {
    ApplyRunning(aState, context, aNow, aActions);
  } else if (aReport.mState == TaskState::Finished) {
    ApplyFinished(aState, context, aNow, aActions);
  } else {
    ApplyAttemptEnd(aState, context, aNow, aActions);
  }
}

bool
IsStaleInventory(const JobsState& aState, const Inventory& aInventory)
{
  const auto found = aState.mWorkerIndex.find(aInventory.mWorker);
  if (found == aState.mWorkerIndex.end()) {
    return false;
  }
  const WorkerState& worker = aState.mWorkers[found->second];
  return aInventory.mIncarnation < worker.mIncarnation ||
         (aInventory.mIncarnation == worker.mIncarnation &&
          aInventory.mSequence < worker.mSequence);
}

std::vector<TaskAction>
ApplyInventory(JobsState& aState, const Inventory& aInventory, const CurrentTime& aNow)
{
  std::vector<TaskAction> actions;
  const std::uint32_t workerIndex = FindOrAddWorker(aState, aInventory.mWorker);
  if (IsStaleInventory(aState, aInventory)) {
    return actions;
  }
  aState.mWorkers[workerIndex].mSequence = aInventory.mSequence;
  aState.mWorkers[workerIndex].mSilent = false;
  const bool restarted = aInventory.mIncarnation != aState.mWorkers[workerIndex].mIncarnation &&
                         aState.mWorkers[workerIndex].mIncarnation.value() != 0;
  if (!restarted || aInventory.mFull) {
    aState.mWorkers[workerIndex].mIncarnation = aInventory.mIncarnation;
  }
  std::vector<std::pair<TaskKey, std::uint32_t>> reported;
  for (const TaskReport& report : aInventory.mReports) {
    ApplyReport(aState, aInventory.mWorker, report, aNow, actions);
    if (aInventory.mFull) {
      if (const auto key = ParseTaskId(aState.mCell, report.mTask.str())) {
        reported.emplace_back(*key, static_cast<std::uint32_t>(report.mAttempt.value()));
      }
    }
  }
  if (aInventory.mFull) {
    std::sort(reported.begin(), reported.end());
    EndMissingTasks(aState, workerIndex, restarted, reported, aNow);
  }
  return actions;
}

void
MarkSilent(JobsState& aState, const Common::WorkerId& aWorker, const CurrentTime& /*aNow*/)
{
  aState.mWorkers[FindOrAddWorker(aState, aWorker)].mSilent = true;
}

void
ReleaseWorker(JobsState& aState, const Common::WorkerId& aWorker, const CurrentTime& aNow)
{
  const std::vector<std::uint32_t> tasks = aState.mWorkers[FindOrAddWorker(aState, aWorker)].mTasks;
  for (const std::uint32_t slot : tasks) {
    EndAttempt(aState, slot, TaskState::Lost, aNow);
  }
}

} // namespace Jobs
