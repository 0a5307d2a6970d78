#include "Jobs/Jobs.h"
#include "Jobs/Transitions.h"

#include <algorithm>

namespace Jobs {

namespace {

void
AddJob(JobsState& aState, JobRecord aRecord)
{
  const auto [place, isNew] = aState.mJobs.try_emplace(aRecord.mNumber.value());
  if (!isNew) {
    return;
  }
  Job& job = place->second;
  job.mNumber = aRecord.mNumber;
  job.mSpec = std::move(aRecord.mSpec);
  job.mSubmitted = aRecord.mSubmitted;
  job.mDurable = true;
  job.mHeld = true;
  IndexJob(aState, job);
}

void
ApplyAttempt(JobsState& aState, Job& aJob, const ProgressRecord& aRecord, const Now& aNow)
{
  std::uint32_t slot = FindTask(aState, aRecord.mTask);
  if (slot == kNoTask) {
    slot = AddLive(aState, aJob, aRecord.mTask.mIndex, aNow);
    Occupy(aState, slot, kNoWorker, {}, LiveState::Uncertain, aNow);
  }
  LiveTask& task = aState.mTasks[slot];
  auto attempt = static_cast<std::uint32_t>(aRecord.mAttempt.value());
  if (aRecord.mKind == ProgressKind::Checkpoint) {
    // The attempt may still run, so only the ones before it are over.
    --attempt;
  }
  task.mAttempt = std::max(task.mAttempt, attempt);
  const auto checkpoint = static_cast<std::uint32_t>(aRecord.mCheckpointAttempt.value());
  if (checkpoint != 0 && checkpoint >= task.mCheckpointAttempt) {
    task.mCheckpointAttempt = checkpoint;
    aState.mCheckpoints[slot] = aRecord.mCheckpoint;
  }
}

void
ApplyProgress(JobsState& aState, const ProgressRecord& aRecord, const Now& aNow)
{
  Job* job = FindJob(aState, aRecord.mTask.mJob);
  if (job == nullptr) {
    return;
  }
  const std::uint32_t index = aRecord.mTask.mIndex;
  if (aRecord.mKind == ProgressKind::JobCancelled || aRecord.mKind == ProgressKind::JobFailed) {
    (aRecord.mKind == ProgressKind::JobFailed ? job->mFailed : job->mCancelled) = true;
    job->mDetail = aRecord.mCheckpoint;
    return;
  }
  if (aRecord.mKind == ProgressKind::FirstAttempt) {
    job->mFirstAttempt =
      std::max(job->mFirstAttempt, static_cast<std::uint32_t>(aRecord.mAttempt.value()));
    return;
  }
  if (index >= job->mSpec.mTasks || HasEnded(*job, index)) {
    return;
  }
  if (aRecord.mKind == ProgressKind::AttemptOver || aRecord.mKind == ProgressKind::Checkpoint) {
    ApplyAttempt(aState, *job, aRecord, aNow);
    return;
  }
  EndTask(aState, *job, index, aRecord.mKind, 0, aNow, false);
}

/// If a worker stayed silent, it may have run one attempt that nobody knows of. Its number is left
/// out, durably, so that a later owner does not use it either.
void
ReleaseTask(JobsState& aState, std::uint32_t aSlot, bool aAllHeard, const Now& aNow)
{
  LiveTask& task = aState.mTasks[aSlot];
  Job& job = *FindJob(aState, task.mKey.mJob);
  task.mAttempt = std::max(task.mAttempt, task.mCheckpointAttempt);
  if (!aAllHeard) {
    ++task.mAttempt;
    RecordAttempt(aState, aSlot, ProgressKind::AttemptOver);
  }
  Vacate(aState, aSlot, aNow);
  job.mAgain.push_back(task.mKey.mIndex);
}

/// One attempt of each task that nobody reported may have run on a silent worker.
void
EndUnreported(JobsState& aState, Job& aJob, const Now& aNow)
{
  for (std::uint32_t index = 0; index < aJob.mSpec.mTasks; ++index) {
    const std::uint32_t slot = FindTask(aState, { aJob.mNumber, index });
    const bool unreported = slot == kNoTask || aState.mTasks[slot].mState == LiveState::Uncertain;
    if (unreported && !HasEnded(aJob, index)) {
      EndTask(aState, aJob, index, ProgressKind::Unknown, 0, aNow);
    }
  }
}

void
ReleaseJob(JobsState& aState, Job& aJob, bool aAllHeard, const Now& aNow)
{
  aJob.mHeld = false;
  const bool aborted = aJob.mCancelled || aJob.mFailed;
  if (!aAllHeard && !aborted && aJob.mSpec.mRestart == Tables::RestartPolicy::Never) {
    EndUnreported(aState, aJob, aNow);
  }
  for (const std::uint32_t slot : aJob.mLive) {
    if (aState.mTasks[slot].mState == LiveState::Uncertain) {
      ReleaseTask(aState, slot, aAllHeard, aNow);
    }
  }
  if (!aAllHeard && !aborted && aJob.waiting() > 0) {
    ++aJob.mFirstAttempt;
    ProgressRecord record;
    record.mKind = ProgressKind::FirstAttempt;
    record.mTask = { aJob.mNumber, kWholeJob };
    record.mAttempt = Common::Attempt(aJob.mFirstAttempt);
    AddProgress(aState, std::move(record));
  }
  if (aborted) {
    EndWaiting(aState, aJob, aNow);
  }
  RefreshQueue(aState, aJob);
}

} // namespace

void
ReleaseHeld(JobsState& aState, bool aAllHeard, const Now& aNow)
{
  for (auto& [number, job] : aState.mJobs) {
    if (job.mHeld) {
      ReleaseJob(aState, job, aAllHeard, aNow);
    }
  }
}

tl::expected<JobsState, RebuildError>
Rebuild(JobsState aEmpty,
        const std::vector<std::string>& aValues,
        const std::vector<Inventory>& aHeard,
        const Now& aNow,
        std::vector<TaskAction>& aActions)
{
  JobsState state = std::move(aEmpty);
  std::vector<Segment> segments;
  for (std::size_t i = 0; i < aValues.size(); ++i) {
    auto segment = DecodeSegment(aValues[i]);
    if (!segment) {
      return tl::unexpected(RebuildError{
        i, "byte " + std::to_string(segment.error().mOffset) + ": " + segment.error().mText });
    }
    segments.push_back(std::move(*segment));
  }
  for (Segment& segment : segments) {
    for (JobRecord& record : segment.mJobs) {
      AddJob(state, std::move(record));
    }
  }
  for (const Segment& segment : segments) {
    for (const ProgressRecord& record : segment.mProgress) {
      ApplyProgress(state, record, aNow);
    }
  }
  for (const Inventory& heard : aHeard) {
    std::vector<TaskAction> actions = ApplyInventory(state, heard, aNow);
    std::move(actions.begin(), actions.end(), std::back_inserter(aActions));
  }
  return state;
}

} // namespace Jobs
