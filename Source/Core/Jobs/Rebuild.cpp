#include "Jobs/Jobs.h"
#include "Jobs/Transitions.h"

#include <algorithm>

namespace Jobs {

namespace {

/// More starts than one owner makes of a task before a record of them is written.
constexpr std::uint32_t kAttemptsPerEpoch = 100;

/// Attempts that earlier owners may have used without a trace. The bound rises with the epoch,
/// because a fixed gap after the last known attempt gave the same numbers to two owners in a row
/// whose records were not written.
std::uint32_t
UsedBefore(const JobsState& aState)
{
  return static_cast<std::uint32_t>(aState.mEpoch.value()) * kAttemptsPerEpoch;
}

/// True if a later job has the key of the record. The earlier one then reached the store after its
/// owner was replaced, so that it was never acknowledged, or it ended before its retention was
/// over.
bool
IsReplaced(JobsState& aState, const JobRecord& aRecord)
{
  if (aRecord.mSpec.mKey.empty()) {
    return false;
  }
  const auto known = aState.mKeys.find(KeyText(aRecord.mSpec));
  if (known == aState.mKeys.end()) {
    return false;
  }
  if (known->second > aRecord.mNumber) {
    return true;
  }
  if (known->second < aRecord.mNumber) {
    aState.mJobs.erase(known->second.value());
  }
  return false;
}

void
AddJob(JobsState& aState, JobRecord aRecord)
{
  if (IsReplaced(aState, aRecord)) {
    return;
  }
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
ApplyAttempt(JobsState& aState, Job& aJob, const ProgressRecord& aRecord, const CurrentTime& aNow)
{
  std::uint32_t slot = FindTask(aState, aRecord.mTask);
  if (slot == kNoTask) {
    slot = AddLive(aState, aJob, aRecord.mTask.mIndex, aNow);
    Occupy(aState, slot, kNoWorker, {}, LiveState::Uncertain, aNow);
  }
  LiveTask& task = aState.mTasks[slot];
  task.mAttempt = std::max(task.mAttempt, static_cast<std::uint32_t>(aRecord.mAttempt.value()));
  const auto checkpoint = static_cast<std::uint32_t>(aRecord.mCheckpointAttempt.value());
  if (checkpoint != 0 && checkpoint >= task.mCheckpointAttempt) {
    task.mCheckpointAttempt = checkpoint;
    aState.mCheckpoints[slot] = aRecord.mCheckpoint;
  }
}

void
ApplyProgress(JobsState& aState, const ProgressRecord& aRecord, const CurrentTime& aNow)
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
  if (aRecord.mKind == ProgressKind::AttemptOver) {
    ApplyAttempt(aState, *job, aRecord, aNow);
    return;
  }
  EndTask(aState, *job, index, aRecord.mKind, 0, aNow, false);
}

/// If a worker stayed silent, it may have run attempts that nobody knows of. Their numbers are left
/// out, durably, so that a later owner does not use them either.
void
ReleaseTask(JobsState& aState, std::uint32_t aSlot, bool aAllHeard, const CurrentTime& aNow)
{
  LiveTask& task = aState.mTasks[aSlot];
  Job& job = *FindJob(aState, task.mKey.mJob);
  task.mAttempt = std::max(task.mAttempt, task.mCheckpointAttempt);
  if (!aAllHeard) {
    task.mAttempt = std::max(task.mAttempt, UsedBefore(aState));
    RecordAttempts(aState, aSlot, task.mAttempt);
  }
  Vacate(aState, aSlot, aNow);
  job.mAgain.push_back(task.mKey.mIndex);
}

/// Tasks that nobody reported may have run on a silent worker.
void
EndUnreported(JobsState& aState, Job& aJob, const CurrentTime& aNow)
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
ReleaseJob(JobsState& aState, Job& aJob, bool aAllHeard, const CurrentTime& aNow)
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
    aJob.mFirstAttempt = std::max(aJob.mFirstAttempt, UsedBefore(aState) + 1);
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
ReleaseHeldJobs(JobsState& aState, bool aAllHeard, const CurrentTime& aNow)
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
        const CurrentTime& aNow,
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
