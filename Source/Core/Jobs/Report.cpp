#include "Jobs/Jobs.h"
#include "Jobs/Transitions.h"

#include <algorithm>

namespace Jobs {

namespace {

/// One report together with what the state knows of its task.
struct Case
{
  const TaskReport& mReport;
  TaskKey mKey;
  std::uint32_t mWorker = kNoWorker;
  std::uint32_t mAttempt = 0;
  Job* mJob = nullptr;
  std::uint32_t mSlot = kNoTask;
};

bool
IsRunning(TaskState aState)
{
  return aState == TaskState::Starting || aState == TaskState::Running;
}

TaskAction
Answer(const JobsState& aState, const Case& aCase, ActionKind aKind)
{
  TaskAction action;
  action.mKind = aKind;
  action.mWorker = aState.mWorkers[aCase.mWorker].mName;
  action.mTask = aCase.mReport.mTask;
  action.mAttempt = aCase.mReport.mAttempt;
  return action;
}

/// The report is about the run that the state takes to be in progress.
bool
IsCurrentRun(const JobsState& aState, const Case& aCase)
{
  if (aCase.mSlot == kNoTask) {
    return false;
  }
  const LiveTask& task = aState.mTasks[aCase.mSlot];
  return task.mState != LiveState::Waiting && task.mAttempt == aCase.mAttempt &&
         task.mWorker == aCase.mWorker;
}

/// The report tells of an attempt that the state has not heard of: after a takeover, or of an owner
/// whose starts were not rebuilt.
bool
IsNewer(const JobsState& aState, const Case& aCase)
{
  if (aCase.mSlot == kNoTask) {
    return true;
  }
  return aCase.mAttempt > aState.mTasks[aCase.mSlot].mAttempt;
}

void
StoreCheckpoint(JobsState& aState, std::uint32_t aSlot, const Case& aCase)
{
  if (aCase.mReport.mCheckpoint.empty()) {
    return;
  }
  aState.mCheckpoints[aSlot] = aCase.mReport.mCheckpoint;
  aState.mTasks[aSlot].mCheckpointAttempt = aCase.mAttempt;
}

/// Takes the attempt of the report for the newest one. An older run that the state believed in gets
/// a stop command.
void
Adopt(JobsState& aState, Case& aCase, const CurrentTime& aNow, std::vector<TaskAction>& aActions)
{
  if (aCase.mSlot == kNoTask) {
    aCase.mSlot = AddLive(aState, *aCase.mJob, aCase.mKey.mIndex, aNow);
  }
  LiveTask& task = aState.mTasks[aCase.mSlot];
  if (task.mState != LiveState::Waiting && task.mWorker != kNoWorker) {
    aActions.push_back(ActionFor(aState, ActionKind::Stop, task));
  }
  Occupy(aState, aCase.mSlot, aCase.mWorker, aCase.mReport.mAmounts, LiveState::Running, aNow);
  aState.mTasks[aCase.mSlot].mAttempt = aCase.mAttempt;
  aState.mTasks[aCase.mSlot].mSince = aNow.mMonotonic - aCase.mReport.mElapsed;
}

/// A report of an attempt that is over already may still bring its checkpoint, for example when the
/// worker was released before it was heard. It counts for the next start unless a later attempt has
/// made one.
void
TakeLateCheckpoint(JobsState& aState, const Case& aCase)
{
  if (aCase.mSlot == kNoTask || aCase.mReport.mCheckpoint.empty()) {
    return;
  }
  const std::uint32_t newest = aState.mTasks[aCase.mSlot].mCheckpointAttempt;
  const bool isNew =
    newest < aCase.mAttempt ||
    (newest == aCase.mAttempt && aState.mCheckpoints[aCase.mSlot] != aCase.mReport.mCheckpoint);
  if (isNew) {
    StoreCheckpoint(aState, aCase.mSlot, aCase);
    RecordAttempts(aState, aCase.mSlot, AttemptsOver(aState.mTasks[aCase.mSlot]));
  }
}

void
ApplyLateEnd(JobsState& aState, const Case& aCase, std::vector<TaskAction>& aActions)
{
  TakeLateCheckpoint(aState, aCase);
  if (IsDurable(aState, aCase.mKey)) {
    aActions.push_back(Answer(aState, aCase, ActionKind::Forget));
  }
}

void
ApplyRunning(JobsState& aState,
             Case& aCase,
             const CurrentTime& aNow,
             std::vector<TaskAction>& aActions)
{
  const bool aborted = aCase.mJob->mCancelled || aCase.mJob->mFailed;
  if (!IsCurrentRun(aState, aCase)) {
    if (!IsNewer(aState, aCase)) {
      TakeLateCheckpoint(aState, aCase);
      aActions.push_back(Answer(aState, aCase, ActionKind::Stop));
      return;
    }
    Adopt(aState, aCase, aNow, aActions);
    if (aborted) {
      aState.mTasks[aCase.mSlot].mState = LiveState::Stopping;
      aActions.push_back(Answer(aState, aCase, ActionKind::Stop));
    }
  }
  LiveTask& task = aState.mTasks[aCase.mSlot];
  task.mSeen = true;
  if (task.mState == LiveState::Starting) {
    task.mState = LiveState::Running;
    task.mSince = aNow.mMonotonic - aCase.mReport.mElapsed;
  }
  const bool isNewCheckpoint = !aCase.mReport.mCheckpoint.empty() &&
                               (task.mCheckpointAttempt != aCase.mAttempt ||
                                aState.mCheckpoints[aCase.mSlot] != aCase.mReport.mCheckpoint);
  if (isNewCheckpoint) {
    StoreCheckpoint(aState, aCase.mSlot, aCase);
    RecordAttempts(aState, aCase.mSlot, AttemptsOver(aState.mTasks[aCase.mSlot]));
  }
}

/// A finished task is finished whichever attempt did it; another run of it is stopped.
void
ApplyFinished(JobsState& aState,
              Case& aCase,
              const CurrentTime& aNow,
              std::vector<TaskAction>& aActions)
{
  if (aCase.mSlot != kNoTask && !IsCurrentRun(aState, aCase)) {
    const LiveTask& task = aState.mTasks[aCase.mSlot];
    if (task.mState != LiveState::Waiting && task.mWorker != kNoWorker) {
      aActions.push_back(ActionFor(aState, ActionKind::Stop, task));
    }
  }
  Job& job = *aCase.mJob;
  EndTask(aState, job, aCase.mKey.mIndex, ProgressKind::Finished, aCase.mAttempt, aNow);
  RecordUse(aState.mSizes,
            job.mSpec.mRoute,
            job.mSpec.mClient,
            { job.mSpec.mPerTask, job.mSpec.mRunTime },
            { aCase.mReport.mCoreMicros, aCase.mReport.mPeakMemory, aCase.mReport.mElapsed });
  NoteOutcome(aState, job, aCase.mWorker, true, aNow);
}

void
ApplyFailed(JobsState& aState,
            Case& aCase,
            const CurrentTime& aNow,
            std::vector<TaskAction>& aActions)
{
  LiveTask& task = aState.mTasks[aCase.mSlot];
  Job& job = *aCase.mJob;
  const bool aborted = job.mCancelled || job.mFailed;
  ++task.mFailures;
  task.mFailedOn = aCase.mWorker;
  // Noting the outcome may forgive the failure, if it shows that the worker is bad.
  const std::string blame = NoteOutcome(aState, job, aCase.mWorker, false, aNow);
  if (!aborted && task.mFailures >= job.mSpec.mMaxAttempts) {
    EndTask(aState, job, aCase.mKey.mIndex, ProgressKind::Failed, aCase.mAttempt, aNow);
  } else {
    AttemptOver(aState, aCase.mSlot, TaskState::Failed, aNow);
  }
  if (!blame.empty()) {
    AbortJob(aState, job, ProgressKind::JobFailed, blame, aNow, aActions);
  }
}

void
ApplyEnd(JobsState& aState, Case& aCase, const CurrentTime& aNow, std::vector<TaskAction>& aActions)
{
  if (!IsCurrentRun(aState, aCase)) {
    if (!IsNewer(aState, aCase)) {
      ApplyLateEnd(aState, aCase, aActions);
      return;
    }
    Adopt(aState, aCase, aNow, aActions);
  }
  StoreCheckpoint(aState, aCase.mSlot, aCase);
  if (aCase.mReport.mState == TaskState::Failed) {
    ApplyFailed(aState, aCase, aNow, aActions);
    return;
  }
  if (aCase.mReport.mState == TaskState::Evicted) {
    ++aCase.mJob->mEvictions;
  }
  AttemptOver(aState, aCase.mSlot, aCase.mReport.mState, aNow);
}

/// Tasks that the agent reported before and no longer knows have ended without a trace. After a
/// change of incarnation this holds for unconfirmed starts too.
void
ApplyAbsence(JobsState& aState,
             std::uint32_t aWorker,
             bool aRestarted,
             const std::vector<std::pair<TaskKey, std::uint32_t>>& aNamed,
             const CurrentTime& aNow)
{
  std::vector<std::uint32_t> gone;
  for (const std::uint32_t slot : aState.mWorkers[aWorker].mTasks) {
    const LiveTask& task = aState.mTasks[slot];
    const bool settled = task.mSeen || aRestarted;
    if (settled &&
        !std::binary_search(aNamed.begin(), aNamed.end(), std::pair(task.mKey, task.mAttempt))) {
      gone.push_back(slot);
    }
  }
  for (const std::uint32_t slot : gone) {
    AttemptOver(aState, slot, TaskState::Lost, aNow);
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
  Case item{ aReport, {}, kNoWorker, 0, nullptr, kNoTask };
  item.mWorker = WorkerNumber(aState, aWorker);
  item.mAttempt = static_cast<std::uint32_t>(aReport.mAttempt.value());
  const auto key = ParseTaskId(aState.mCell, aReport.mTask.str());
  item.mJob = key ? FindJob(aState, key->mJob) : nullptr;
  const bool running = IsRunning(aReport.mState);
  if (item.mJob == nullptr || key->mIndex >= item.mJob->mSpec.mTasks) {
    aActions.push_back(Answer(aState, item, running ? ActionKind::Stop : ActionKind::Forget));
    return;
  }
  item.mKey = *key;
  if (HasEnded(*item.mJob, key->mIndex)) {
    if (running) {
      aActions.push_back(Answer(aState, item, ActionKind::Stop));
    } else if (IsDurable(aState, *key)) {
      aActions.push_back(Answer(aState, item, ActionKind::Forget));
    }
    return;
  }
  item.mSlot = FindTask(aState, *key);
  if (running) {
    ApplyRunning(aState, item, aNow, aActions);
  } else if (aReport.mState == TaskState::Finished) {
    ApplyFinished(aState, item, aNow, aActions);
  } else {
    ApplyEnd(aState, item, aNow, aActions);
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
  const std::uint32_t number = WorkerNumber(aState, aInventory.mWorker);
  if (IsStaleInventory(aState, aInventory)) {
    return actions;
  }
  aState.mWorkers[number].mSequence = aInventory.mSequence;
  aState.mWorkers[number].mSilent = false;
  const bool restarted = aInventory.mIncarnation != aState.mWorkers[number].mIncarnation &&
                         aState.mWorkers[number].mIncarnation.value() != 0;
  if (!restarted || aInventory.mFull) {
    aState.mWorkers[number].mIncarnation = aInventory.mIncarnation;
  }
  std::vector<std::pair<TaskKey, std::uint32_t>> named;
  for (const TaskReport& report : aInventory.mReports) {
    ApplyReport(aState, aInventory.mWorker, report, aNow, actions);
    if (aInventory.mFull) {
      if (const auto key = ParseTaskId(aState.mCell, report.mTask.str())) {
        named.emplace_back(*key, static_cast<std::uint32_t>(report.mAttempt.value()));
      }
    }
  }
  if (aInventory.mFull) {
    std::sort(named.begin(), named.end());
    ApplyAbsence(aState, number, restarted, named, aNow);
  }
  return actions;
}

void
MarkSilent(JobsState& aState, const Common::WorkerId& aWorker, const CurrentTime& /*aNow*/)
{
  aState.mWorkers[WorkerNumber(aState, aWorker)].mSilent = true;
}

void
ReleaseWorker(JobsState& aState, const Common::WorkerId& aWorker, const CurrentTime& aNow)
{
  const std::vector<std::uint32_t> tasks = aState.mWorkers[WorkerNumber(aState, aWorker)].mTasks;
  for (const std::uint32_t slot : tasks) {
    AttemptOver(aState, slot, TaskState::Lost, aNow);
  }
}

} // namespace Jobs
