#include <algorithm>
#include <utility>

#include "Scheduling/ExpectedTime.h"

namespace Scheduling {

namespace {

WorkerNumber
FindOrAddWorker(SchedulerState& aState, const WorkerLifetime& aLifetime)
{
  const auto [entry, added] =
    aState.mWorkerIndex.try_emplace(aLifetime, static_cast<WorkerNumber>(aState.mWorkers.size()));
  if (added) {
    aState.mWorkers.emplace_back().mLifetime = aLifetime;
  }
  return entry->second;
}

void
CopyDescription(Worker& aWorker, const WorkerView& aView)
{
  aWorker.mAddress = aView.mAddress;
  aWorker.mPool = aView.mPool;
  aWorker.mDataCentre = aView.mDataCentre;
  aWorker.mRack = aView.mRack;
  aWorker.mLabels = aView.mLabels;
  aWorker.mCapacity = aView.mCapacity;
  aWorker.mAwaitsHeartbeat = aView.mAwaitsHeartbeat;
}

/// True if the worker may be able to run other tasks than before, going by its description.
bool
HasOtherDescription(const Worker& aWorker, const WorkerView& aView)
{
  return aWorker.mCapacity != aView.mCapacity || aWorker.mLabels != aView.mLabels ||
         aWorker.mPool != aView.mPool || aWorker.mAwaitsHeartbeat != aView.mAwaitsHeartbeat;
}

/// Releases the resources of the superseded runs for which aHasEnded holds.
template<typename Condition>
void
ReleaseSupersededRuns(SchedulerState& aState, Worker& aWorker, const Condition& aHasEnded)
{
  std::erase_if(aWorker.mSupersededRuns, [&](const SupersededRun& aRun) {
    const bool ended = aHasEnded(aRun);
    if (ended) {
      ++aState.mPlaceableChanges;
      aWorker.mUsed = aWorker.mUsed - aRun.mReserved;
    }
    return ended;
  });
}

/// Stops a run that is not, or no longer will be, the current run of its task.
void
StopSupersededRun(SchedulerState& aState,
                  WorkerNumber aWorker,
                  const TaskRef& aRef,
                  RunNumber aRun,
                  const CurrentTime& aNow)
{
  Worker& worker = aState.mWorkers[aWorker];
  const TaskName name = NameOf(aRef);
  const bool isKnown = std::any_of(
    worker.mSupersededRuns.begin(), worker.mSupersededRuns.end(), [&](const SupersededRun& aOther) {
      return aOther.mTask == name && aOther.mRun == aRun;
    });
  if (!isKnown) {
    const Common::Resources reserved = ReservedBy(StepSpecOf(aRef));
    worker.mSupersededRuns.push_back({ name, aRun, reserved, aNow.mMonotonic, {} });
    worker.mUsed = worker.mUsed + reserved;
  }
  OrderStop(aState, worker.mLifetime, name, aRun);
}

/// Returns all tasks on the worker to the phase Waiting, because their runs have ended.
void
LoseRuns(SchedulerState& aState,
         WorkerNumber aWorker,
         std::string_view aReason,
         const CurrentTime& aNow)
{
  Worker& worker = aState.mWorkers[aWorker];
  if (!worker.mTasks.empty()) {
    aState.mLogEntries.push_back({ "runs of a worker ended",
                                   {},
                                   worker.mLifetime.mWorker.str() + ": " + std::string(aReason) });
  }
  ReleaseSupersededRuns(aState, worker, [](const auto&) { return true; });
  const std::set<TaskRef> tasks = worker.mTasks;
  for (const TaskRef& ref : tasks) {
    ++aState.mCounts.mLostRuns;
    aState.mLogEntries.push_back({ "run lost with its worker",
                                   ref.mJob->mSpec.mJob,
                                   DescribeRun(NameOf(ref), TaskAt(ref).mRun, worker.mLifetime) +
                                     ": " + std::string(aReason) });
    SetWaiting(aState, ref, aNow);
  }
}

/// Stops runs that no list of the worker named on its next lifetime, which may carry out a start
/// that got no answer.
void
MoveUnlistedRuns(SchedulerState& aState,
                 WorkerNumber aWorker,
                 WorkerNumber aNextLifetime,
                 const CurrentTime& aNow)
{
  const std::set<TaskRef> tasks = aState.mWorkers[aWorker].mTasks;
  for (const TaskRef& ref : tasks) {
    Task& task = OwnTaskAt(ref);
    if (task.mListedByWorker) {
      continue;
    }
    AssignToWorker(aState, ref, aNextLifetime, TaskPhase::Stopping, aNow);
    task.mStopOrdered = aNow.mMonotonic;
    OrderStop(aState, aState.mWorkers[aNextLifetime].mLifetime, NameOf(ref), task.mRun);
  }
}

/// aNextLifetime is the next lifetime of the same worker; kNoWorker if it is not known.
void
EndLifetime(SchedulerState& aState,
            WorkerNumber aWorker,
            WorkerNumber aNextLifetime,
            std::string_view aReason,
            const CurrentTime& aNow)
{
  if (aNextLifetime != kNoWorker) {
    MoveUnlistedRuns(aState, aWorker, aNextLifetime, aNow);
  }
  LoseRuns(aState, aWorker, aReason, aNow);
  Worker& worker = aState.mWorkers[aWorker];
  worker.mLifetimeEnded = true;
  worker.mConnected = false;
  worker.mLeaseEnd = aNow.mMonotonic;
}

void
LearnRunTime(SchedulerState& aState, const TaskRef& aRef, const CurrentTime& aNow)
{
  const Task& task = TaskAt(aRef);
  const StepSpec& step = StepSpecOf(aRef);
  if (step.mLongRunning || step.mEstimatedRunTime <= Duration::zero() ||
      task.mSpeed.value() != 100 || !task.mCheckpoint.empty()) {
    return;
  }
  if (step.mImage.size() > kMaxLearnedNameBytes ||
      (aState.mRunTimes.size() >= kMaxLearnedImages &&
       !aState.mRunTimes.contains({ aRef.mJob->mSpec.mQueue, step.mImage }))) {
    return;
  }
  const Duration actual = aNow.mMonotonic - task.mPhaseSince;
  LearnSpeed(aState, aRef, actual);
  RunTimeEstimate& estimate = aState.mRunTimes[{ aRef.mJob->mSpec.mQueue, step.mImage }];
  const auto nearTime = static_cast<double>(actual.count()) / LocalityFactorOfRun(aState, aRef);
  const double ratio =
    std::clamp(nearTime / static_cast<double>(step.mEstimatedRunTime.count()), 0.2, 5.0);
  // The mean of the first samples, later an average over about the last twenty.
  constexpr std::uint32_t kMaxSamples = 20;
  estimate.mSamples = std::min(estimate.mSamples + 1, kMaxSamples);
  estimate.mRatio += (ratio - estimate.mRatio) / estimate.mSamples;
}

/// Marks all tasks of the gang done; they end together, so one end stands for all.
void
MarkGangDone(SchedulerState& aState, const TaskRef& aRef, const CurrentTime& aNow)
{
  const auto count = StepSpecOf(aRef).mTaskCount;
  for (std::uint32_t i = 0; i < count; ++i) {
    MarkTaskDone(aState, { aRef.mJob, aRef.mOccurrence, aRef.mStep, i }, aNow);
  }
}

/// Counts a failed run. Returns false if it was counted before.
bool
AddFailure(Task& aTask, RunNumber aRun)
{
  if (std::find(aTask.mFailedRuns.begin(), aTask.mFailedRuns.end(), aRun) !=
      aTask.mFailedRuns.end()) {
    return false;
  }
  aTask.mFailedRuns.push_back(aRun);
  return true;
}

/// Number of failed runs of the task, or of all tasks of its gang.
std::uint32_t
FailuresOf(const TaskRef& aRef)
{
  if (!StepSpecOf(aRef).mGang) {
    return static_cast<std::uint32_t>(TaskAt(aRef).mFailedRuns.size());
  }
  std::uint32_t failures = 0;
  for (const auto& [index, task] : StepAt(aRef).mTasks.own()) {
    failures += static_cast<std::uint32_t>(task.mFailedRuns.size());
  }
  return failures;
}

void
ApplyEnd(SchedulerState& aState,
         WorkerNumber aWorker,
         const EndedTask& aEnd,
         const CurrentTime& aNow)
{
  ReleaseSupersededRuns(aState, aState.mWorkers[aWorker], [&aEnd](const SupersededRun& aRun) {
    return aRun.mTask == aEnd.mTask && aRun.mRun == aEnd.mRun;
  });
  const auto ref = FindTask(aState, aEnd.mTask);
  if (!ref) {
    return;
  }
  Job& job = *ref->mJob;
  if (TaskAt(*ref).mPhase == TaskPhase::Done) {
    return;
  }
  Task& task = OwnTaskAt(*ref);
  const StepSpec& step = StepSpecOf(*ref);
  const bool isCurrentRun = task.mRun == aEnd.mRun && task.mWorker == aWorker;
  MarkJobStarted(aState, job);
  if (aEnd.mKind == EndKind::Done && !step.mLongRunning) {
    if (isCurrentRun) {
      LearnRunTime(aState, *ref, aNow);
    } else if (task.mWorker != kNoWorker) {
      StopSupersededRun(aState, task.mWorker, *ref, task.mRun, aNow);
    }
    RecordRunEnd(aState, aState.mWorkers[aWorker], job.mSpec.mJob, false, aNow);
    step.mGang ? MarkGangDone(aState, *ref, aNow) : MarkTaskDone(aState, *ref, aNow);
    return;
  }
  const bool failed = aEnd.mKind == EndKind::Failed;
  if (failed) {
    ++aState.mCounts.mFailedRuns;
    RecordRunEnd(aState, aState.mWorkers[aWorker], job.mSpec.mJob, true, aNow);
  }
  if (failed && !step.mLongRunning && !AddFailure(task, aEnd.mRun)) {
    // Counted before: the worker reported it again before it received the acknowledgement.
    task.mRun = std::max(task.mRun, aEnd.mRun);
    return;
  }
  if (failed) {
    aState.mLogEntries.push_back(
      { "run failed",
        job.mSpec.mJob,
        DescribeRun(aEnd.mTask, aEnd.mRun, aState.mWorkers[aWorker].mLifetime) });
  }
  const QueueSpec* const queue = FindQueue(aState, job);
  const bool attemptsExhausted =
    failed && !step.mLongRunning && queue != nullptr && FailuresOf(*ref) >= queue->mMaxAttempts;
  if (failed && !step.mLongRunning) {
    task.mAvoidedWorker = aWorker;
    MarkDirty(aState, job, false);
  }
  if (attemptsExhausted) {
    if (isCurrentRun) {
      SetWaiting(aState, *ref, aNow);
    }
    // A later run of the task may be active; it is stopped with the job.
    FailJob(aState, job, "a task has no attempts left", aNow);
    return;
  }
  if (!isCurrentRun && task.mPhase != TaskPhase::Waiting) {
    return;
  }
  if (!aEnd.mCheckpoint.empty()) {
    task.mCheckpoint = aEnd.mCheckpoint;
  }
  task.mRun = std::max(task.mRun, aEnd.mRun);
  if (isCurrentRun) {
    SetWaiting(aState, *ref, aNow);
  }
  // The end must be stored before it is acknowledged and the worker drops it. The job is marked
  // even if its record stays the same, so that the acknowledgement waits for a write.
  MarkDirty(aState, job, false);
}

/// Makes a run that the worker lists the current run of its task.
void
AdoptRun(SchedulerState& aState,
         WorkerNumber aWorker,
         const TaskRef& aRef,
         const RunningTask& aRunning,
         const CurrentTime& aNow)
{
  Task& task = OwnTaskAt(aRef);
  task.mRun = aRunning.mRun;
  AssignToWorker(aState, aRef, aWorker, TaskPhase::Running, aNow);
  task.mListedByWorker = true;
  task.mSpeedIsKnown = !StepSpecOf(aRef).mBestEffort;
}

/// Ends the quarantine of a worker on which a long-running task has been at work for long enough.
void
EndQuarantineOnProof(SchedulerState& aState,
                     Worker& aWorker,
                     const TaskRef& aRef,
                     const CurrentTime& aNow)
{
  const Task& task = TaskAt(aRef);
  WorkerHealth& health = aWorker.mHealth;
  if (health.mQuarantineTime == Duration{ 0 } || !StepSpecOf(aRef).mLongRunning ||
      task.mPercent < kServingPercent || task.mPhaseSince <= health.mLastFailure ||
      aNow.mMonotonic - task.mPhaseSince < aState.mPolicy.mProofTime) {
    return;
  }
  health.mQuarantineTime = Duration{ 0 };
  health.mQuarantinedUntil = aNow.mMonotonic;
  health.mRecentEnds.clear();
  ++aState.mPlaceableChanges;
  aState.mLogEntries.push_back({ "worker runs its tasks again; its quarantine ends",
                                 aRef.mJob->mSpec.mJob,
                                 aWorker.mLifetime.mWorker.str() });
}

void
ApplyRunning(SchedulerState& aState,
             WorkerNumber aWorker,
             const RunningTask& aRunning,
             const CurrentTime& aNow)
{
  const auto ref = FindTask(aState, aRunning.mTask);
  if (!ref) {
    // The submission of the job may not have reached this coordinator yet, so the run is left to
    // end with its lease.
    return;
  }
  const Task& before = TaskAt(*ref);
  const bool isCurrentRun = before.mWorker == aWorker && before.mRun == aRunning.mRun;
  if (HasEnded(ref->mJob->mState) || before.mPhase == TaskPhase::Done) {
    if (aNow.mMonotonic - before.mStopOrdered >= aState.mPolicy.mStopRetryInterval) {
      Task& task = OwnTaskAt(*ref);
      task.mStopOrdered = aNow.mMonotonic;
      isCurrentRun
        ? OrderStop(aState, aState.mWorkers[aWorker].mLifetime, aRunning.mTask, aRunning.mRun)
        : StopSupersededRun(aState, aWorker, *ref, aRunning.mRun, aNow);
    }
    return;
  }
  Task& task = OwnTaskAt(*ref);
  if (task.mPhase == TaskPhase::Waiting && aRunning.mRun >= task.mRun) {
    AdoptRun(aState, aWorker, *ref, aRunning, aNow);
  }
  if (task.mWorker != aWorker || task.mRun != aRunning.mRun) {
    // A run that was replaced while its worker was unreachable.
    StopSupersededRun(aState, aWorker, *ref, aRunning.mRun, aNow);
    return;
  }
  if (task.mPhase == TaskPhase::Starting) {
    task.mPhase = TaskPhase::Running;
  }
  MarkJobStarted(aState, *ref->mJob);
  if (!task.mListedByWorker || aRunning.mPercent > task.mPercent) {
    task.mProgressedAt = aNow.mMonotonic;
  }
  if (!aRunning.mIsFresh) {
    MarkHarmless(aState, *ref);
  }
  task.mListedByWorker = true;
  task.mMissingSince = Timestamp{};
  task.mMissingLists = 0;
  task.mPercent = aRunning.mPercent;
  task.mUsage = aRunning.mUsage;
  if (!aRunning.mCheckpoint.empty()) {
    task.mCheckpoint = aRunning.mCheckpoint;
  }
  EndQuarantineOnProof(aState, aState.mWorkers[aWorker], *ref, aNow);
}

std::set<std::pair<TaskName, RunNumber>>
RunningRuns(const WorkerView& aView)
{
  std::set<std::pair<TaskName, RunNumber>> runs;
  for (const RunningTask& running : aView.mRunning) {
    runs.emplace(running.mTask, running.mRun);
  }
  return runs;
}

/// The time in which nobody reported the worker's runs does not count as one without progress.
void
ResumeProgressChecks(const Worker& aWorker, const CurrentTime& aNow)
{
  for (const TaskRef& ref : aWorker.mTasks) {
    OwnTaskAt(ref).mProgressedAt = aNow.mMonotonic;
  }
}

/// A run that is not listed may have ended with an end that the worker does not list yet. It counts
/// neither as missing nor as standing still before the worker lists all its ends.
void
DeferChecksOfUnlistedRuns(SchedulerState& aState,
                          WorkerNumber aWorker,
                          const WorkerView& aView,
                          const CurrentTime& aNow)
{
  const auto running = RunningRuns(aView);
  for (const TaskRef& ref : aState.mWorkers[aWorker].mTasks) {
    Task& task = OwnTaskAt(ref);
    if (!running.contains({ NameOf(ref), task.mRun })) {
      task.mMissingSince = Timestamp{};
      task.mMissingLists = 0;
      task.mProgressedAt = aNow.mMonotonic;
    }
  }
}

/// Counts runs that are missing from the list, and completes stops of runs that are no longer
/// listed.
void
CheckUnlistedRuns(SchedulerState& aState,
                  WorkerNumber aWorker,
                  const WorkerView& aView,
                  const CurrentTime& aNow)
{
  const auto listed = RunningRuns(aView);
  ReleaseSupersededRuns(aState, aState.mWorkers[aWorker], [&](const SupersededRun& aRun) {
    // Before the stop is answered, the worker may still carry out the start.
    return !listed.contains({ aRun.mTask, aRun.mRun }) && aRun.mStopAnswered != Timestamp{} &&
           aNow.mMonotonic - aRun.mStopAnswered >= aState.mPolicy.mStopSettleTime;
  });
  const std::set<TaskRef> tasks = aState.mWorkers[aWorker].mTasks;
  for (const TaskRef& ref : tasks) {
    Task& task = OwnTaskAt(ref);
    if (listed.contains({ NameOf(ref), task.mRun })) {
      continue;
    }
    if (task.mPhase == TaskPhase::Running) {
      if (task.mMissingSince == Timestamp{}) {
        task.mMissingSince = aNow.mMonotonic;
      }
      ++task.mMissingLists;
    }
    if (task.mPhase == TaskPhase::Stopping && task.mStopAnswered != Timestamp{} &&
        aNow.mMonotonic - task.mStopAnswered >= aState.mPolicy.mStopSettleTime) {
      SetWaiting(aState, ref, aNow);
    }
  }
}

/// Holds the acknowledgement of the end back until the record of its job holds all changes so far.
void
AwaitRecord(const SchedulerState& aState,
            Worker& aWorker,
            const EndedTask& aEnd,
            const CurrentTime& aNow)
{
  const auto found = aState.mJobs.find(aEnd.mTask.mJob);
  if (found == aState.mJobs.end()) {
    return;
  }
  const Job& job = *found->second;
  if (job.mLastChange > job.mDurableChange) {
    aWorker.mUnrecordedEnds.push_back(
      { aEnd.mNumber, aEnd.mTask.mJob, job.mLastChange, aNow.mMonotonic });
  }
}

void
UpdateUnknownRuns(SchedulerState& aState, WorkerNumber aWorker, const WorkerView& aView)
{
  Worker& worker = aState.mWorkers[aWorker];
  const bool hadUnknownRun = std::exchange(
    worker.mHasUnknownRun,
    std::any_of(aView.mRunning.begin(), aView.mRunning.end(), [&](const RunningTask& aRunning) {
      return !FindTask(aState, aRunning.mTask);
    }));
  if (hadUnknownRun && !worker.mHasUnknownRun) {
    ++aState.mPlaceableChanges;
  }
}

/// Stops the runs that a worker lists although its lifetime counts as ended. Their tasks may have
/// been started again since.
void
StopRunsOfEndedLifetime(SchedulerState& aState, const WorkerView& aView)
{
  for (const RunningTask& running : aView.mRunning) {
    OrderStop(aState, aView.mLifetime, running.mTask, running.mRun);
  }
}

/// The agent of the lifetime; empty if the lifetime is not known.
Common::InstanceId
AgentOf(const SchedulerState& aState, const WorkerLifetime& aLifetime)
{
  const auto found = aState.mWorkerIndex.find(aLifetime);
  return found == aState.mWorkerIndex.end() ? Common::InstanceId()
                                            : aState.mWorkers[found->second].mAgent;
}

/// False if another agent drives the worker and the worker has not answered this one.
bool
MayDescribe(const SchedulerState& aState, const Common::InstanceId& aAgent, const WorkerView& aView)
{
  const Common::InstanceId agent = AgentOf(aState, aView.mLifetime);
  return agent.empty() || agent == aAgent || aView.mHasTaskList;
}

void
ApplyView(SchedulerState& aState,
          const Common::InstanceId& aAgent,
          const WorkerView& aView,
          Timestamp aLeaseEnd,
          const CurrentTime& aNow)
{
  if (!MayDescribe(aState, aAgent, aView)) {
    return;
  }
  const WorkerNumber number = FindOrAddWorker(aState, aView.mLifetime);
  // A newer lifetime of the agent's worker, or at the same address, ends the older ones.
  for (const auto& [lifetime, otherNumber] : aState.mWorkerIndex) {
    const Worker& other = aState.mWorkers[otherNumber];
    const bool sameWorker = lifetime.mWorker == aView.mLifetime.mWorker;
    const bool sameAddress = !aView.mAddress.empty() && other.mAddress == aView.mAddress;
    if (other.mAgent == aAgent && (sameWorker || sameAddress) &&
        lifetime.mStartedAt < aView.mLifetime.mStartedAt) {
      EndLifetime(
        aState, otherNumber, sameWorker ? number : kNoWorker, "the worker restarted", aNow);
    }
  }
  Worker& worker = aState.mWorkers[number];
  if (worker.mLifetimeEnded) {
    StopRunsOfEndedLifetime(aState, aView);
    return;
  }
  if (HasOtherDescription(worker, aView) || !worker.mConnected ||
      worker.mHasTaskList != aView.mHasTaskList || worker.mLeaving != aView.mLeaving ||
      worker.mResponding != aView.mResponding) {
    ++aState.mPlaceableChanges;
  }
  if (!worker.mConnected) {
    ResumeProgressChecks(worker, aNow);
  }
  worker.mAgent = aAgent;
  CopyDescription(worker, aView);
  worker.mColdUntil = aNow.mMonotonic + aView.mColdRemaining;
  if (aView.mLeaving && !worker.mLeaving) {
    aState.mLogEntries.push_back({ "worker is leaving", {}, worker.mLifetime.mWorker.str() });
  }
  worker.mLeaving = aView.mLeaving;
  worker.mResponding = aView.mResponding;
  worker.mConnected = true;
  if (!worker.mHasTaskList && !aView.mHasTaskList) {
    // Only the agent extends leases, and it no longer obeys an earlier coordinator.
    worker.mLeaseEnd = std::min(worker.mLeaseEnd, aNow.mMonotonic + aView.mLeaseRemaining);
  }
  if (aView.mResponding) {
    worker.mLeaseEnd = std::max(worker.mLeaseEnd, aLeaseEnd);
  }
  if (!aView.mHasTaskList) {
    return;
  }
  worker.mHasTaskList = true;
  for (const EndedTask& end : aView.mEnded) {
    if (end.mNumber > worker.mLastHandledEnd) {
      ApplyEnd(aState, number, end, aNow);
      worker.mLastHandledEnd = end.mNumber;
      AwaitRecord(aState, worker, end, aNow);
    }
  }
  for (const RunningTask& running : aView.mRunning) {
    ApplyRunning(aState, number, running, aNow);
  }
  UpdateUnknownRuns(aState, number, aView);
  if (aView.mTaskListNumber != aState.mWorkers[number].mTaskListNumber) {
    aState.mWorkers[number].mTaskListNumber = aView.mTaskListNumber;
    aView.mEndedListCut ? DeferChecksOfUnlistedRuns(aState, number, aView, aNow)
                        : CheckUnlistedRuns(aState, number, aView, aNow);
  }
  aState.mWorkers[number].mHasNewUsage = true;
  aState.mWorkers[number].mTailRooms.reset();
}

/// True if the worker's lease has ended and no coordinator can have extended it.
bool
HasLeaseExpired(const SchedulerState& aState, const Worker& aWorker, const CurrentTime& aNow)
{
  return aWorker.mLeaseEnd <= aNow.mMonotonic && aWorker.mLeaseEnd <= aState.mSoleUntil;
}

/// True while tasks of recovered jobs may run on the worker, which has not reported in this term.
bool
IsAwaited(const SchedulerState& aState, const Worker& aWorker, const CurrentTime& aNow)
{
  return aWorker.mRecorded && !aWorker.mHasTaskList && !aWorker.mLifetimeEnded &&
         !HasLeaseExpired(aState, aWorker, aNow);
}

/// Orders stops of the runs that are not confirmed, because the agent may send their starts as soon
/// as it has a lease again.
void
WithdrawStarts(SchedulerState& aState, WorkerNumber aWorker)
{
  const Worker& worker = aState.mWorkers[aWorker];
  for (const TaskRef& ref : worker.mTasks) {
    const Task& task = TaskAt(ref);
    if (task.mPhase == TaskPhase::Starting) {
      OrderStop(aState, worker.mLifetime, NameOf(ref), task.mRun);
    }
  }
}

void
RecordStopOfSupersededRun(SchedulerState& aState, const Order& aStop, const CurrentTime& aNow)
{
  const auto worker = aState.mWorkerIndex.find(aStop.mLifetime);
  if (worker == aState.mWorkerIndex.end()) {
    return;
  }
  for (SupersededRun& run : aState.mWorkers[worker->second].mSupersededRuns) {
    if (run.mTask == aStop.mTask && run.mRun == aStop.mRun && run.mStopAnswered == Timestamp{}) {
      run.mStopAnswered = aNow.mMonotonic;
    }
  }
}

/// Orders the unanswered stops of superseded runs again.
void
RepeatStopsOfSupersededRuns(SchedulerState& aState, Worker& aWorker, const CurrentTime& aNow)
{
  for (SupersededRun& run : aWorker.mSupersededRuns) {
    if (run.mStopAnswered == Timestamp{} &&
        aNow.mMonotonic - run.mStopOrdered >= aState.mPolicy.mStopRetryInterval) {
      run.mStopOrdered = aNow.mMonotonic;
      OrderStop(aState, aWorker.mLifetime, run.mTask, run.mRun);
    }
  }
}

/// Stops a run whose start is not repeated, because the worker's capacity has shrunk below what is
/// reserved on it. An earlier call may have started the run.
void
WithdrawStart(SchedulerState& aState, const Order& aStart)
{
  Task& task = OwnTaskAt(*FindTask(aState, aStart.mTask));
  task.mPhase = TaskPhase::Stopping;
  task.mStopOrdered = task.mPhaseSince;
  OrderStop(aState, aStart.mLifetime, aStart.mTask, aStart.mRun);
}

/// True if the run that the order starts is still wanted and neither confirmed nor being stopped.
bool
AwaitsStart(SchedulerState& aState, const Order& aOrder, WorkerNumber aWorker)
{
  const auto ref = FindTask(aState, aOrder.mTask);
  if (!ref) {
    return false;
  }
  const Task& task = TaskAt(*ref);
  return task.mPhase == TaskPhase::Starting && task.mWorker == aWorker && task.mRun == aOrder.mRun;
}

} // namespace

bool
AcknowledgeRecordedEnds(const SchedulerState& aState, Worker& aWorker)
{
  const auto isRecorded = [&aState](const UnrecordedEnd& aEnd) {
    const auto found = aState.mJobs.find(aEnd.mJob);
    return found == aState.mJobs.end() || found->second->mDurableChange >= aEnd.mChange;
  };
  auto& waiting = aWorker.mUnrecordedEnds;
  while (!waiting.empty() && isRecorded(waiting.front())) {
    waiting.pop_front();
  }
  const EndNumber upTo =
    waiting.empty() ? aWorker.mLastHandledEnd : EndNumber{ waiting.front().mNumber.value() - 1 };
  const bool advances = upTo > aWorker.mLastAcknowledgedEnd;
  aWorker.mLastAcknowledgedEnd = std::max(aWorker.mLastAcknowledgedEnd, upTo);
  return advances;
}

WorkerView
ViewOf(const Worker& aWorker)
{
  WorkerView view;
  view.mLifetime = aWorker.mLifetime;
  view.mAddress = aWorker.mAddress;
  view.mPool = aWorker.mPool;
  view.mDataCentre = aWorker.mDataCentre;
  view.mRack = aWorker.mRack;
  view.mLabels = aWorker.mLabels;
  view.mCapacity = aWorker.mCapacity;
  view.mAwaitsHeartbeat = aWorker.mAwaitsHeartbeat;
  view.mLeaving = aWorker.mLeaving;
  return view;
}

Worker&
AddRecordedWorker(SchedulerState& aState,
                  const WorkerView& aView,
                  const Common::InstanceId& aAgent,
                  Timestamp aLeaseEnd)
{
  Worker& worker = aState.mWorkers[FindOrAddWorker(aState, aView.mLifetime)];
  CopyDescription(worker, aView);
  worker.mAgent = aAgent;
  worker.mRecorded = true;
  worker.mLeaseEnd = std::max(worker.mLeaseEnd, aLeaseEnd);
  return worker;
}

void
ApplyReport(SchedulerState& aState,
            const Common::InstanceId& aAgent,
            std::span<const WorkerView> aViews,
            std::span<const EndedLifetime> aEndedLifetimes,
            Timestamp aLeaseEnd,
            const CurrentTime& aNow)
{
  for (const EndedLifetime& ended : aEndedLifetimes) {
    const WorkerLifetime& lifetime = ended.mLifetime;
    const Common::InstanceId agent = AgentOf(aState, lifetime);
    if (!agent.empty() && agent != aAgent) {
      // The agent has been told of a worker of another machine, which it cannot reach.
      continue;
    }
    const auto found = aState.mWorkerIndex.find(lifetime);
    if (found != aState.mWorkerIndex.end()) {
      const WorkerNumber number = found->second;
      const auto next = std::find_if(aViews.begin(), aViews.end(), [&](const WorkerView& aView) {
        return aView.mLifetime.mWorker == lifetime.mWorker &&
               aView.mLifetime.mStartedAt > lifetime.mStartedAt;
      });
      EndLifetime(aState,
                  number,
                  next == aViews.end() ? kNoWorker : FindOrAddWorker(aState, next->mLifetime),
                  "its lifetime ended",
                  aNow);
    }
    CountCrash(aState, aAgent, ended, aNow);
  }
  for (const WorkerView& view : aViews) {
    const bool hasEnded = std::any_of(
      aEndedLifetimes.begin(), aEndedLifetimes.end(), [&view](const EndedLifetime& aEnded) {
        return aEnded.mLifetime == view.mLifetime;
      });
    if (!hasEnded) {
      ApplyView(aState, aAgent, view, aLeaseEnd, aNow);
    }
  }
}

void
MarkAgentDisconnected(SchedulerState& aState, const Common::InstanceId& aAgent)
{
  for (Worker& worker : aState.mWorkers) {
    if (worker.mAgent == aAgent) {
      worker.mConnected = false;
    }
  }
}

std::vector<Order>
RepeatOrders(SchedulerState& aState, const Common::InstanceId& aAgent)
{
  std::vector<Order> orders;
  std::vector<Order> withdrawn;
  for (auto entry = aState.mOutstandingOrders.begin(); entry != aState.mOutstandingOrders.end();) {
    Order& order = entry->second;
    const auto worker = aState.mWorkerIndex.find(order.mLifetime);
    if (worker == aState.mWorkerIndex.end() || aState.mWorkers[worker->second].mAgent != aAgent) {
      ++entry;
    } else if (order.mKind == OrderKind::Start && !AwaitsStart(aState, order, worker->second)) {
      entry = aState.mOutstandingOrders.erase(entry);
    } else if (order.mKind == OrderKind::Start &&
               !Fits(aState.mWorkers[worker->second].mUsed,
                     aState.mWorkers[worker->second].mCapacity)) {
      withdrawn.push_back(order);
      entry = aState.mOutstandingOrders.erase(entry);
    } else {
      order.mRepeated = true;
      orders.push_back(order);
      ++entry;
    }
  }
  for (const Order& start : withdrawn) {
    WithdrawStart(aState, start);
  }
  std::sort(orders.begin(), orders.end(), [](const Order& aLeft, const Order& aRight) {
    return aLeft.mNumber < aRight.mNumber;
  });
  return orders;
}

void
ApplyOrderResult(SchedulerState& aState,
                 std::int64_t aOrder,
                 OrderResult aResult,
                 const CurrentTime& aNow)
{
  const auto found = aState.mOutstandingOrders.find(aOrder);
  if (found == aState.mOutstandingOrders.end()) {
    return;
  }
  const Order order = found->second;
  aState.mOutstandingOrders.erase(found);
  if (order.mKind == OrderKind::Stop && aResult == OrderResult::Done) {
    RecordStopOfSupersededRun(aState, order, aNow);
  }
  const auto ref = FindTask(aState, order.mTask);
  if (!ref) {
    return;
  }
  const auto worker = aState.mWorkerIndex.find(order.mLifetime);
  if (worker == aState.mWorkerIndex.end() || TaskAt(*ref).mWorker != worker->second ||
      TaskAt(*ref).mRun != order.mRun) {
    return;
  }
  Task& task = OwnTaskAt(*ref);
  Worker& host = aState.mWorkers[task.mWorker];
  if (order.mKind == OrderKind::Throttle) {
    if (aResult == OrderResult::Done) {
      task.mSpeed = order.mPercent;
      task.mSpeedIsKnown = true;
      host.mTailRooms.reset();
      task.mPausedSince = order.mPercent.value() == 0 ? aNow.mMonotonic : Timestamp{};
    } else {
      task.mOrderedSpeed = task.mSpeed;
      task.mSpeedIsKnown =
        task.mSpeedIsKnown && aResult != OrderResult::Unknown && !order.mRepeated;
    }
    return;
  }
  if (order.mKind == OrderKind::Stop) {
    // If the run existed, the worker lists its end. If its start never arrived, the worker refuses
    // it from now on, and CheckUnlistedRuns sees that no list names it. A run that was never listed
    // may still be started by the worker's next lifetime; MoveUnlistedRuns handles it once the
    // agent reports that lifetime.
    if (aResult == OrderResult::LifetimeEnded) {
      if (task.mListedByWorker) {
        SetWaiting(aState, *ref, aNow);
      }
    } else if (aResult == OrderResult::Done && task.mStopAnswered == Timestamp{}) {
      task.mStopAnswered = aNow.mMonotonic;
    }
    return;
  }
  if (aResult != OrderResult::Done) {
    aState.mLogEntries.push_back({ "start not confirmed",
                                   order.mTask.mJob,
                                   DescribeRun(order.mTask, order.mRun, order.mLifetime) + ": " +
                                     std::string(ResultText(aResult)) +
                                     (order.mRepeated ? ", repeated" : "") });
  }
  // The agent's present process may not know what an earlier one did with the order.
  switch (order.mRepeated ? ResultOfRepeatedStart(aResult) : aResult) {
    case OrderResult::Done:
      if (task.mPhase == TaskPhase::Starting) {
        task.mPhase = TaskPhase::Running;
      }
      MarkJobStarted(aState, *ref->mJob);
      return;
    case OrderResult::Unknown:
      if (task.mPhase == TaskPhase::Starting) {
        task.mPhase = TaskPhase::Stopping;
        task.mStopOrdered = aNow.mMonotonic;
        OrderStop(aState, order.mLifetime, order.mTask, order.mRun);
      }
      return;
    case OrderResult::NoCapacity:
      ++aState.mCounts.mCapacityRejections;
      host.mNoStartsUntil = aNow.mMonotonic + aState.mPolicy.mRefusedStartPause;
      break;
    case OrderResult::Unhealthy:
      host.mNoStartsUntil = aNow.mMonotonic + aState.mPolicy.mRefusedStartPause;
      RecordRunEnd(aState, host, order.mTask.mJob, true, aNow);
      break;
    case OrderResult::Invalid:
      // The task did not run, so this does not count as an attempt; another worker may accept it.
      aState.mLogEntries.push_back(
        { "worker rejected an order as invalid", order.mTask.mJob, order.mLifetime.mWorker.str() });
      task.mAvoidedWorker = task.mWorker;
      host.mNoStartsUntil = aNow.mMonotonic + aState.mPolicy.mRefusedStartPause;
      break;
    case OrderResult::TicketRejected:
      ++aState.mCounts.mTicketRejections;
      StepAt(*ref).mTickets.erase(task.mWorker);
      break;
    case OrderResult::NotSent:
    case OrderResult::LeaseExpired:
    case OrderResult::Fenced:
      host.mNoStartsUntil = aNow.mMonotonic + aState.mPolicy.mRefusedStartPause;
      break;
    case OrderResult::StaleRun:
    case OrderResult::LifetimeEnded:
      break;
  }
  SetWaiting(aState, *ref, aNow);
}

void
CheckTimeouts(SchedulerState& aState, const CurrentTime& aNow)
{
  for (WorkerNumber number = 0; number < aState.mWorkers.size(); ++number) {
    const Worker& worker = aState.mWorkers[number];
    if ((!worker.mTasks.empty() || !worker.mSupersededRuns.empty()) &&
        HasLeaseExpired(aState, worker, aNow)) {
      WithdrawStarts(aState, number);
      LoseRuns(aState, number, "its lease expired", aNow);
    }
    RepeatStopsOfSupersededRuns(aState, aState.mWorkers[number], aNow);
    const std::set<TaskRef> tasks = aState.mWorkers[number].mTasks;
    for (const TaskRef& ref : tasks) {
      Task& task = OwnTaskAt(ref);
      const WorkerLifetime& lifetime = aState.mWorkers[number].mLifetime;
      if (task.mPhase == TaskPhase::Stopping &&
          aNow.mMonotonic - task.mStopOrdered >= aState.mPolicy.mStopRetryInterval) {
        task.mStopOrdered = aNow.mMonotonic;
        OrderStop(aState, lifetime, NameOf(ref), task.mRun);
      }
      if (task.mPhase == TaskPhase::Starting &&
          aNow.mMonotonic - task.mPhaseSince >= aState.mPolicy.mStartTimeout) {
        task.mPhase = TaskPhase::Stopping;
        task.mStopOrdered = aNow.mMonotonic;
        OrderStop(aState, lifetime, NameOf(ref), task.mRun);
      }
      if (task.mPhase != TaskPhase::Running) {
        continue;
      }
      const bool missing = task.mMissingLists >= aState.mPolicy.mMinMissingLists &&
                           aNow.mMonotonic - task.mMissingSince >= aState.mPolicy.mMissingTime;
      // Best-effort tasks may make no progress while they are throttled. Long-running tasks and
      // gangs are not checked either.
      const StepSpec& step = StepSpecOf(ref);
      const Duration perPercent = ExpectedRunTime(aState, *ref.mJob, ref.mStep) / 100;
      const bool stalled =
        worker.mConnected && task.mListedByWorker && !step.mLongRunning && !step.mBestEffort &&
        !step.mGang &&
        aNow.mMonotonic - task.mProgressedAt >= aState.mPolicy.mStallTime + perPercent * 30;
      if (!missing && !stalled) {
        continue;
      }
      if (stalled) {
        ++aState.mCounts.mStalls;
        task.mAvoidedWorker = number;
        RecordRunEnd(aState, aState.mWorkers[number], ref.mJob->mSpec.mJob, true, aNow);
      }
      aState.mLogEntries.push_back({ missing ? "run is missing on its worker" : "run stands still",
                                     ref.mJob->mSpec.mJob,
                                     DescribeRun(NameOf(ref), task.mRun, lifetime) });
      task.mListedByWorker = task.mListedByWorker && !missing;
      task.mPhase = TaskPhase::Stopping;
      task.mStopOrdered = aNow.mMonotonic;
      OrderStop(aState, lifetime, NameOf(ref), task.mRun);
    }
  }
}

bool
AwaitsRecordedWorkers(const SchedulerState& aState, const CurrentTime& aNow)
{
  return std::any_of(aState.mWorkers.begin(), aState.mWorkers.end(), [&](const Worker& aWorker) {
    return IsAwaited(aState, aWorker, aNow);
  });
}

AwaitedWorkers
RecordedWorkersAwaited(const SchedulerState& aState, const CurrentTime& aNow)
{
  AwaitedWorkers awaited;
  for (const Worker& worker : aState.mWorkers) {
    if (IsAwaited(aState, worker, aNow)) {
      ++awaited.mCount;
      awaited.mLeaseEnd = std::max(awaited.mLeaseEnd, worker.mLeaseEnd);
    }
  }
  return awaited;
}

void
NoteExtendedLeases(SchedulerState& aState, const Common::InstanceId& aAgent, Timestamp aLeaseEnd)
{
  for (Worker& worker : aState.mWorkers) {
    if (worker.mAgent == aAgent && !worker.mLifetimeEnded) {
      worker.mLeaseEnd = std::max(worker.mLeaseEnd, aLeaseEnd);
    }
  }
}

void
LimitAwaitedLeases(SchedulerState& aState, Timestamp aLeaseEnd, const CurrentTime& aNow)
{
  for (Worker& worker : aState.mWorkers) {
    if (IsAwaited(aState, worker, aNow)) {
      worker.mLeaseEnd = std::min(worker.mLeaseEnd, aLeaseEnd);
    }
  }
}

void
RecordRunEnd(SchedulerState& aState,
             Worker& aWorker,
             const Common::JobId& aJob,
             bool aFailed,
             const CurrentTime& aNow)
{
  WorkerHealth& health = aWorker.mHealth;
  health.mRecentEnds.emplace_back(aJob, aFailed);
  if (health.mRecentEnds.size() > aState.mPolicy.mHealthWindow) {
    health.mRecentEnds.pop_front();
  }
  if (!aFailed) {
    if (aNow.mMonotonic >= health.mQuarantinedUntil) {
      health.mQuarantineTime = Duration{ 0 };
    }
    return;
  }
  health.mLastFailure = aNow.mMonotonic;
  std::set<Common::JobId> failedJobs;
  std::size_t failures = 0;
  for (const auto& [job, failed] : health.mRecentEnds) {
    failures += failed ? 1 : 0;
    if (failed) {
      failedJobs.insert(job);
    }
  }
  // A faulty task fails on every worker, while a faulty worker fails tasks of several jobs.
  constexpr std::size_t kMinJobs = 3;
  const bool failsSeveralJobs =
    failedJobs.size() >= kMinJobs && failures * 3 >= health.mRecentEnds.size() * 2;
  const bool failedProbe = health.mQuarantineTime > Duration{ 0 };
  if (aNow.mMonotonic < health.mQuarantinedUntil || (!failsSeveralJobs && !failedProbe)) {
    return;
  }
  health.mQuarantineTime = failedProbe
                             ? std::min(health.mQuarantineTime * 2, aState.mPolicy.mMaxQuarantine)
                             : aState.mPolicy.mMinQuarantine;
  health.mQuarantinedUntil = aNow.mMonotonic + health.mQuarantineTime;
  health.mRecentEnds.clear();
  ++aState.mCounts.mQuarantines;
  aState.mLogEntries.push_back(
    { "worker fails its tasks; it is quarantined", aJob, aWorker.mLifetime.mWorker.str() });
}

} // namespace Scheduling
