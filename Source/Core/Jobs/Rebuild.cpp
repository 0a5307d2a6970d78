#include "Jobs/Jobs.h"
#include "Jobs/Transitions.h"

#include <algorithm>

namespace Jobs {

namespace {

/// Upper bound of the attempts that one owner starts of a task before a record of them is written.
constexpr std::uint32_t kAttemptsPerEpoch = 100;

/// Highest attempt number that earlier owners may have used without a record. The bound grows with
/// the epoch: a fixed gap after the last known attempt gave the same numbers to two successive
/// owners whose records were not written.
std::uint32_t
MaxEarlierAttempt(const JobsState& aState)
{
  return static_cast<std::uint32_t>(aState.mEpoch.value()) * kAttemptsPerEpoch;
}

/// True if a later job has the same client and idempotency key. The earlier job then was never
/// acknowledged, because it reached the store after its owner was replaced, or it ended and its
/// retention expired. If the job in the state is the earlier one, it is removed.
bool
IsSuperseded(JobsState& aState, const JobRecord& aRecord)
{
  if (aRecord.mSpec.mKey.empty()) {
    return false;
  }
  const auto existing = aState.mJobsByKey.find(ClientKey(aRecord.mSpec));
  if (existing == aState.mJobsByKey.end()) {
    return false;
  }
  if (existing->second > aRecord.mNumber) {
    return true;
  }
  if (existing->second < aRecord.mNumber) {
    aState.mJobs.erase(existing->second.value());
  }
  return false;
}

void
AddJob(JobsState& aState, JobRecord aRecord)
{
  if (IsSuperseded(aState, aRecord)) {
    return;
  }
  const auto [entry, isNew] = aState.mJobs.try_emplace(aRecord.mNumber.value());
  if (!isNew) {
    return;
  }
  Job& job = entry->second;
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
  std::uint32_t slot = FindTaskSlot(aState, aRecord.mTask);
  if (slot == kNoSlot) {
    slot = AddLiveTask(aState, aJob, aRecord.mTask.mIndex, aNow);
    ActivateTask(aState, slot, kNoWorker, {}, LiveTaskState::Uncertain, aNow);
  }
  LiveTask& task = aState.mTasks[slot];
  task.mAttempt = std::max(task.mAttempt, static_cast<std::uint32_t>(aRecord.mAttempt.value()));
  const auto checkpointAttempt = static_cast<std::uint32_t>(aRecord.mCheckpointAttempt.value());
  if (checkpointAttempt != 0 && checkpointAttempt >= task.mCheckpointAttempt) {
    task.mCheckpointAttempt = checkpointAttempt;
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
  if (aRecord.mKind == ProgressKind::AttemptsEnded) {
    ApplyAttempt(aState, *job, aRecord, aNow);
    return;
  }
  EndTask(aState, *job, index, aRecord.mKind, 0, aNow, false);
}

/// Sets an uncertain task to waiting. If a worker stayed silent, it may have run attempts that no
/// agent reports. Their numbers are skipped, and this is recorded, so that no later owner uses them
/// either.
void
ReleaseHeldTask(JobsState& aState, std::uint32_t aSlot, bool aAllHeard, const CurrentTime& aNow)
{
  LiveTask& task = aState.mTasks[aSlot];
  Job& job = *FindJob(aState, task.mKey.mJob);
  task.mAttempt = std::max(task.mAttempt, task.mCheckpointAttempt);
  if (!aAllHeard) {
    task.mAttempt = std::max(task.mAttempt, MaxEarlierAttempt(aState));
    RecordEndedAttempts(aState, aSlot, task.mAttempt);
  }
  DeactivateTask(aState, aSlot, aNow);
  job.mRestartIndexes.push_back(task.mKey.mIndex);
}

/// Ends the tasks that no agent reported as unknown, because they may have run on a silent worker.
void
EndUnreportedTasks(JobsState& aState, Job& aJob, const CurrentTime& aNow)
{
  for (std::uint32_t index = 0; index < aJob.mSpec.mTasks; ++index) {
    const std::uint32_t slot = FindTaskSlot(aState, { aJob.mNumber, index });
    const bool unreported =
      slot == kNoSlot || aState.mTasks[slot].mState == LiveTaskState::Uncertain;
    if (unreported && !HasEnded(aJob, index)) {
      EndTask(aState, aJob, index, ProgressKind::Unknown, 0, aNow);
    }
  }
}

void
ReleaseHeldJob(JobsState& aState, Job& aJob, bool aAllHeard, const CurrentTime& aNow)
{
  aJob.mHeld = false;
  const bool aborted = aJob.mCancelled || aJob.mFailed;
  if (!aAllHeard && !aborted && aJob.mSpec.mRestart == Tables::RestartPolicy::Never) {
    EndUnreportedTasks(aState, aJob, aNow);
  }
  for (const std::uint32_t slot : aJob.mLiveSlots) {
    if (aState.mTasks[slot].mState == LiveTaskState::Uncertain) {
      ReleaseHeldTask(aState, slot, aAllHeard, aNow);
    }
  }
  if (!aAllHeard && !aborted && aJob.waitingTasks() > 0) {
    aJob.mFirstAttempt = std::max(aJob.mFirstAttempt, MaxEarlierAttempt(aState) + 1);
    ProgressRecord record;
    record.mKind = ProgressKind::FirstAttempt;
    record.mTask = { aJob.mNumber, kWholeJob };
    record.mAttempt = Common::Attempt(aJob.mFirstAttempt);
    AddProgressRecord(aState, std::move(record));
  }
  if (aborted) {
    EndWaitingTasks(aState, aJob, aNow);
  }
  RefreshQueue(aState, aJob);
}

} // namespace

void
ReleaseHeldJobs(JobsState& aState, bool aAllHeard, const CurrentTime& aNow)
{
  for (auto& [number, job] : aState.mJobs) {
    if (job.mHeld) {
      ReleaseHeldJob(aState, job, aAllHeard, aNow);
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
