#include <algorithm>

#include "Scheduling/Schedule.h"

namespace Scheduling {

namespace {

Occurrence
MakeOccurrence(const JobSpec& aSpec, std::uint32_t aNumber, const CurrentTime& aNow)
{
  Occurrence occurrence;
  occurrence.mNumber = aNumber;
  occurrence.mSteps.resize(aSpec.mSteps.size());
  const auto newTask = std::make_shared<Task>();
  newTask->mPhaseSince = aNow.mMonotonic;
  for (std::size_t i = 0; i < aSpec.mSteps.size(); ++i) {
    Step& step = occurrence.mSteps[i];
    step.mTasks = TaskTable(aSpec.mSteps[i].mTaskCount, newTask);
    step.mWaitingTasks = aSpec.mSteps[i].mTaskCount;
  }
  return occurrence;
}

void
MarkStepEnded(Occurrence& aOccurrence, Step& aStep)
{
  aStep.mDoneTasks = aStep.mTasks.size();
  aStep.mWaitingTasks = 0;
  aStep.mEnded = true;
  aStep.mTickets.clear();
  aStep.mTasks.finish();
  ++aOccurrence.mStepsEnded;
}

Occurrence&
FindOrMakeOccurrence(Job& aJob, std::uint32_t aNumber, const CurrentTime& aNow)
{
  const auto [entry, added] = aJob.mOccurrences.try_emplace(aNumber);
  Occurrence& occurrence = entry->second;
  if (added) {
    occurrence = MakeOccurrence(aJob.mSpec, aNumber, aNow);
    if (aJob.mEndedOccurrences.contains(aNumber)) {
      for (Step& step : occurrence.mSteps) {
        MarkStepEnded(occurrence, step);
      }
    }
  }
  return occurrence;
}

/// True if the job counts for the order of its queue's jobs.
bool
HasHistory(const Job& aJob)
{
  return aJob.mSpec.mRepeats == 0 && !aJob.mSpec.mSteps.front().mLongRunning;
}

void
NoteEndInHistory(SchedulerState& aState, const Job& aJob, const CurrentTime& aNow)
{
  if (HasHistory(aJob)) {
    NoteEnd(aState.mQueueHistory[aJob.mSpec.mQueue],
            aJob.mSpec.mJob,
            ExpectedWork(aState, aJob),
            aJob.mState == JobState::Completed,
            aNow.mMonotonic);
  }
}

void
DropDuplicates(std::vector<std::uint32_t>& aNumbers)
{
  std::sort(aNumbers.begin(), aNumbers.end());
  aNumbers.erase(std::unique(aNumbers.begin(), aNumbers.end()), aNumbers.end());
  aNumbers.shrink_to_fit();
}

/// Number of occurrences after which the job is completed.
std::uint32_t
OccurrenceCount(const JobSpec& aSpec)
{
  return std::max(aSpec.mRepeats, 1U);
}

void
RestoreTask(Job& aJob, Step& aStep, const TaskProgress& aProgress)
{
  if (aProgress.mIndex >= aStep.mTasks.size()) {
    return;
  }
  if (aStep.mTasks.at(aProgress.mIndex).mPhase == TaskPhase::Done) {
    return;
  }
  if (aProgress.mDone) {
    aStep.mTasks.setPhase(aProgress.mIndex, TaskPhase::Done);
    ++aStep.mDoneTasks;
    --aStep.mWaitingTasks;
    return;
  }
  Task& task = aStep.mTasks[aProgress.mIndex];
  task.mFailedRuns = aProgress.mFailedRuns;
  task.mCheckpoint = aProgress.mCheckpoint;
  task.mCrashes = aProgress.mCrashes;
  task.mClearedRun = aProgress.mClearedRun;
  aJob.mSuspectTasks += task.mCrashes.empty() ? 0 : 1;
}

void
Restore(Job& aJob, const Progress& aProgress, const CurrentTime& aNow)
{
  aJob.mState = aProgress.mState;
  aJob.mDurableState = aProgress.mState;
  aJob.mEndedAt = aProgress.mEndedAt;
  aJob.mStarted = aProgress.mState != JobState::Queued;
  const std::uint32_t last = OccurrenceCount(aJob.mSpec) - 1;
  for (const OccurrenceRange& range : aProgress.mEndedOccurrences) {
    aJob.mEndedOccurrences.add(OccurrenceRange{ range.mFirst, std::min(range.mLast, last) });
  }
  for (const StepProgress& record : aProgress.mSteps) {
    if (record.mStep >= aJob.mSpec.mSteps.size() ||
        aJob.mEndedOccurrences.contains(record.mOccurrence)) {
      continue;
    }
    Occurrence& occurrence = FindOrMakeOccurrence(aJob, record.mOccurrence, aNow);
    Step& step = occurrence.mSteps[record.mStep];
    for (const TaskProgress& task : record.mTasks) {
      RestoreTask(aJob, step, task);
    }
    if ((record.mDone || step.mDoneTasks == step.mTasks.size()) && !step.mEnded) {
      MarkStepEnded(occurrence, step);
    }
    if (occurrence.hasEnded()) {
      // Earlier versions recorded the steps of all ended occurrences.
      aJob.mEndedOccurrences.add(record.mOccurrence);
      aJob.mOccurrences.erase(record.mOccurrence);
    }
  }
}

} // namespace

std::string_view
StateText(JobState aState)
{
  switch (aState) {
    case JobState::Queued:
      return "queued";
    case JobState::Running:
      return "running";
    case JobState::Completed:
      return "completed";
    case JobState::Failed:
      return "failed";
    case JobState::Cancelled:
      break;
  }
  return "cancelled";
}

std::string_view
KindText(OrderKind aKind)
{
  switch (aKind) {
    case OrderKind::Start:
      return "start";
    case OrderKind::Stop:
      return "stop";
    case OrderKind::Throttle:
      break;
  }
  return "throttle";
}

std::string_view
ResultText(OrderResult aResult)
{
  switch (aResult) {
    case OrderResult::Done:
      return "done";
    case OrderResult::NoCapacity:
      return "no capacity";
    case OrderResult::StaleRun:
      return "stale run";
    case OrderResult::LeaseExpired:
      return "lease expired";
    case OrderResult::Fenced:
      return "fenced";
    case OrderResult::Unhealthy:
      return "unhealthy";
    case OrderResult::Invalid:
      return "invalid";
    case OrderResult::LifetimeEnded:
      return "lifetime ended";
    case OrderResult::NotSent:
      return "not sent";
    case OrderResult::TicketRejected:
      return "ticket rejected";
    case OrderResult::Unknown:
      break;
  }
  return "unknown";
}

OrderResult
ResultOfRepeatedStart(OrderResult aResult)
{
  switch (aResult) {
    case OrderResult::Done:
    // The run was started and has ended, or was stopped; the worker's lists say how.
    case OrderResult::StaleRun:
      return OrderResult::Done;
    case OrderResult::LifetimeEnded:
      return OrderResult::LifetimeEnded;
    default:
      return OrderResult::Unknown;
  }
}

std::string
DescribeRun(const TaskName& aTask, RunNumber aRun, const WorkerLifetime& aLifetime)
{
  return std::to_string(aTask.mOccurrence) + '.' + std::to_string(aTask.mStep) + ' ' +
         std::to_string(aTask.mIndex) + ':' + std::to_string(aRun.value()) + '@' +
         aLifetime.mWorker.str();
}

std::optional<std::string>
ValidateJob(const JobSpec& aSpec)
{
  if (aSpec.mSteps.empty()) {
    return "the job has no steps";
  }
  if (aSpec.mSteps.size() > kMaxSteps) {
    return "the job has more than " + std::to_string(kMaxSteps) + " steps";
  }
  if (aSpec.mPayload.size() > kMaxPayloadBytes) {
    return "the payload exceeds " + std::to_string(kMaxPayloadBytes) + " bytes";
  }
  std::uint64_t tasks = 0;
  for (std::size_t i = 0; i < aSpec.mSteps.size(); ++i) {
    const StepSpec& step = aSpec.mSteps[i];
    const std::string name = "step " + std::to_string(i);
    tasks += step.mTaskCount;
    if (step.mTaskCount == 0) {
      return name + " has no tasks";
    }
    if (step.mNeed.mCores.value() < 0 || step.mNeed.mMemory.value() < 0 ||
        step.mNeed.mAccelerators.value() < 0 || step.mEstimatedRunTime < Duration::zero()) {
      return name + " has a negative resource need or estimate";
    }
    for (const std::uint32_t dependency : step.mDependencies) {
      if (dependency >= i) {
        return name + " depends on step " + std::to_string(dependency) +
               ", which is not an earlier step";
      }
    }
  }
  if (tasks > kMaxTasksPerJob) {
    return "the job has more than " + std::to_string(kMaxTasksPerJob) + " tasks";
  }
  return std::nullopt;
}

Duration
LongestChain(const JobSpec& aSpec, const std::function<Duration(std::uint32_t)>& aTimeOf)
{
  std::vector<Duration> ends(aSpec.mSteps.size());
  Duration longest{ 0 };
  for (std::uint32_t i = 0; i < aSpec.mSteps.size(); ++i) {
    Duration start{ 0 };
    for (const std::uint32_t dependency : aSpec.mSteps[i].mDependencies) {
      start = std::max(start, ends[dependency]);
    }
    ends[i] = start + aTimeOf(i);
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

Job&
AddJob(SchedulerState& aState,
       JobSpec aSpec,
       const Progress* aProgress,
       bool aRecovered,
       const CurrentTime& aNow)
{
  auto& slot = aState.mJobs[aSpec.mJob];
  if (slot) {
    return *slot;
  }
  slot = std::make_unique<Job>();
  Job& job = *slot;
  job.mSpec = std::move(aSpec);
  for (StepSpec& step : job.mSpec.mSteps) {
    DropDuplicates(step.mDependencies);
  }
  // A recovered job arrived before this coordinator started, so its age is computed from the wall
  // clock.
  const auto age = std::clamp(
    aNow.mUnix - job.mSpec.mAccepted, Common::UnixMillis{ 0 }, Common::UnixMillis{ 600'000 });
  job.mArrived = aRecovered ? aNow.mMonotonic - age : aNow.mMonotonic;
  job.mRecovered = aRecovered;
  if (aProgress != nullptr) {
    Restore(job, *aProgress, aNow);
  }
  if (HasEnded(job.mState)) {
    return job;
  }
  aState.mOpenJobs.insert(&job);
  if (job.mSpec.mRepeats == 0) {
    FindOrMakeOccurrence(job, 0, aNow);
  }
  if (!aRecovered && HasHistory(job)) {
    NoteArrival(aState.mQueueHistory[job.mSpec.mQueue], ExpectedWork(aState, job), aNow.mMonotonic);
  }
  if (job.mEndedOccurrences.size() == OccurrenceCount(job.mSpec)) {
    job.mState = JobState::Completed;
    job.mEndedAt = aNow.mUnix;
    MarkDirty(aState, job, true);
  }
  return job;
}

void
FailJob(SchedulerState& aState, Job& aJob, std::string_view aReason, const CurrentTime& aNow)
{
  if (HasEnded(aJob.mState)) {
    return;
  }
  aJob.mState = JobState::Failed;
  aJob.mEndedAt = aNow.mUnix;
  NoteEndInHistory(aState, aJob, aNow);
  aState.mLogEntries.push_back(
    { "job failed: " + std::string(aReason), aJob.mSpec.mJob, std::string() });
  MarkDirty(aState, aJob, true);
  StopJobRuns(aState, aJob, aNow);
}

void
CancelJob(SchedulerState& aState, Job& aJob, const CurrentTime& aNow)
{
  if (HasEnded(aJob.mState)) {
    return;
  }
  aJob.mState = JobState::Cancelled;
  aJob.mEndedAt = aNow.mUnix;
  NoteEndInHistory(aState, aJob, aNow);
  MarkDirty(aState, aJob, true);
  StopJobRuns(aState, aJob, aNow);
}

void
RemoveJob(SchedulerState& aState, const Common::JobId& aJob)
{
  const auto found = aState.mJobs.find(aJob);
  if (found == aState.mJobs.end()) {
    return;
  }
  Job* const job = found->second.get();
  for (auto& [number, occurrence] : job->mOccurrences) {
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      for (const auto& [index, task] : occurrence.mSteps[s].mTasks.own()) {
        DetachFromWorker(aState, { job, number, s, index });
      }
    }
  }
  std::erase_if(aState.mOutstandingOrders,
                [&](const auto& aEntry) { return aEntry.second.mTask.mJob == aJob; });
  aState.mOpenJobs.erase(job);
  aState.mDirtyJobs.erase(job);
  aState.mJobs.erase(found);
}

void
StopJobRuns(SchedulerState& aState, Job& aJob, const CurrentTime& aNow)
{
  for (auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      for (auto& [index, task] : occurrence.mSteps[s].mTasks.own()) {
        if (task.mPhase == TaskPhase::Starting || task.mPhase == TaskPhase::Running) {
          task.mPhase = TaskPhase::Stopping;
          task.mStopOrdered = aNow.mMonotonic;
          const TaskRef ref{ &aJob, number, s, index };
          OrderStop(aState, aState.mWorkers[task.mWorker].mLifetime, NameOf(ref), task.mRun);
        }
      }
    }
  }
}

void
MarkDirty(SchedulerState& aState, Job& aJob, bool aWriteAtOnce)
{
  // The record of an ended job is final.
  if (HasEnded(aJob.mDurableState)) {
    return;
  }
  aJob.mWriteAtOnce = aJob.mWriteAtOnce || aWriteAtOnce;
  aJob.mLastChange = ++aState.mLastChange;
  if (aState.mDirtyJobs.insert(&aJob).second) {
    aJob.mFirstUnwrittenChange = aJob.mLastChange;
  }
}

void
MarkJobStarted(SchedulerState& aState, Job& aJob)
{
  aJob.mStarted = true;
  if (aJob.mState == JobState::Queued) {
    aJob.mState = JobState::Running;
    MarkDirty(aState, aJob, false);
  }
}

void
MarkTaskDone(SchedulerState& aState, const TaskRef& aRef, const CurrentTime& aNow)
{
  const TaskPhase phase = TaskAt(aRef).mPhase;
  if (phase == TaskPhase::Done) {
    return;
  }
  Job& job = *aRef.mJob;
  Occurrence& occurrence = job.mOccurrences.at(aRef.mOccurrence);
  Step& step = occurrence.mSteps[aRef.mStep];
  if (phase == TaskPhase::Waiting) {
    --step.mWaitingTasks;
  }
  DetachFromWorker(aState, aRef);
  ForgetCrashes(aState, aRef);
  step.mTasks.setPhase(aRef.mIndex, TaskPhase::Done);
  ++step.mDoneTasks;
  if (step.mDoneTasks == step.mTasks.size() && !step.mEnded) {
    MarkStepEnded(occurrence, step);
    if (occurrence.hasEnded()) {
      job.mEndedOccurrences.add(aRef.mOccurrence);
    }
  }
  const bool finished =
    !HasEnded(job.mState) && job.mEndedOccurrences.size() == OccurrenceCount(job.mSpec);
  if (finished) {
    job.mState = JobState::Completed;
    job.mEndedAt = aNow.mUnix;
    NoteEndInHistory(aState, job, aNow);
  }
  MarkDirty(aState, job, finished);
}

Progress
ProgressOf(const Job& aJob)
{
  Progress progress;
  progress.mState = aJob.mState;
  progress.mEndedAt = aJob.mEndedAt;
  if (HasEnded(aJob.mState)) {
    return progress;
  }
  progress.mEndedOccurrences = aJob.mEndedOccurrences.ranges();
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    if (occurrence.hasEnded()) {
      continue;
    }
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      const Step& step = occurrence.mSteps[s];
      if (step.mDoneTasks == 0 && step.mTasks.own().empty()) {
        continue;
      }
      StepProgress record{ .mOccurrence = number, .mStep = s, .mDone = step.mEnded, .mTasks = {} };
      for (std::uint32_t i = 0; i < step.mTasks.size() && !step.mEnded; ++i) {
        const Task& task = step.mTasks.at(i);
        const bool done = task.mPhase == TaskPhase::Done;
        if (done || !task.mFailedRuns.empty() || !task.mCheckpoint.empty() ||
            !task.mCrashes.empty() || task.mClearedRun.value() > 0) {
          record.mTasks.push_back(
            { i, done, task.mFailedRuns, task.mCheckpoint, task.mCrashes, task.mClearedRun });
        }
      }
      if (record.mDone || !record.mTasks.empty()) {
        progress.mSteps.push_back(std::move(record));
      }
    }
  }
  return progress;
}

std::int64_t
PendingJobs(const SchedulerState& aState, const Common::RouteId& aQueue)
{
  return std::count_if(aState.mOpenJobs.begin(), aState.mOpenJobs.end(), [&](const Job* aJob) {
    return aJob->mSpec.mQueue == aQueue && !aJob->mStarted && !HasEnded(aJob->mState);
  });
}

const QueueSpec*
FindQueue(const SchedulerState& aState, const Job& aJob)
{
  const auto known = aState.mQueues.find(aJob.mSpec.mQueue);
  if (known != aState.mQueues.end()) {
    return &known->second;
  }
  return aJob.mSpec.mAcceptedQueue ? &*aJob.mSpec.mAcceptedQueue : nullptr;
}

Step&
StepAt(const TaskRef& aRef)
{
  return aRef.mJob->mOccurrences.at(aRef.mOccurrence).mSteps[aRef.mStep];
}

const Task&
TaskAt(const TaskRef& aRef)
{
  return StepAt(aRef).mTasks.at(aRef.mIndex);
}

Task&
OwnTaskAt(const TaskRef& aRef)
{
  return StepAt(aRef).mTasks[aRef.mIndex];
}

const StepSpec&
StepSpecOf(const TaskRef& aRef)
{
  return aRef.mJob->mSpec.mSteps[aRef.mStep];
}

std::optional<TaskRef>
FindTask(SchedulerState& aState, const TaskName& aName)
{
  const auto found = aState.mJobs.find(aName.mJob);
  if (found == aState.mJobs.end()) {
    return std::nullopt;
  }
  Job& job = *found->second;
  if (aName.mStep >= job.mSpec.mSteps.size() ||
      aName.mIndex >= job.mSpec.mSteps[aName.mStep].mTaskCount ||
      aName.mOccurrence >= OccurrenceCount(job.mSpec)) {
    return std::nullopt;
  }
  // A worker may run an occurrence that has no record yet, because none of its tasks ended or
  // failed.
  FindOrMakeOccurrence(job, aName.mOccurrence, CurrentTime{});
  return TaskRef{ &job, aName.mOccurrence, aName.mStep, aName.mIndex };
}

TaskName
NameOf(const TaskRef& aRef)
{
  return { aRef.mJob->mSpec.mJob, aRef.mOccurrence, aRef.mStep, aRef.mIndex };
}

} // namespace Scheduling
