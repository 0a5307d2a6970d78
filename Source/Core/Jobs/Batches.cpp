#include "Jobs/Jobs.h"
#include "Jobs/Transitions.h"

#include <algorithm>

namespace Jobs {

namespace {

JobRecord
MakeJobRecord(const Job& aJob)
{
  return { aJob.mNumber, aJob.mSpec, aJob.mSubmitted };
}

/// Takes the records out of the counts of those that are not durable.
void
MarkProgressDurable(JobsState& aState, const std::vector<ProgressRecord>& aRecords)
{
  for (const ProgressRecord& record : aRecords) {
    const auto found = aState.mNonDurableByTask.find(record.mTask);
    if (found != aState.mNonDurableByTask.end() && --found->second == 0) {
      aState.mNonDurableByTask.erase(found);
    }
    if (Job* job = FindJob(aState, record.mTask.mJob)) {
      --job->mNonDurableRecords;
    }
  }
}

void
RemoveJob(JobsState& aState, Job& aJob)
{
  aState.mUnschedulableJobs.erase(aJob.mNumber.value());
  if (!aJob.mSpec.mKey.empty()) {
    const auto key = aState.mJobsByKey.find(ClientKey(aJob.mSpec));
    if (key != aState.mJobsByKey.end() && key->second == aJob.mNumber) {
      aState.mJobsByKey.erase(key);
    }
  }
  aState.mJobs.erase(aJob.mNumber.value());
}

/// Distributes records over segments of limited size.
class SegmentPacker
{
public:
  explicit SegmentPacker(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  void add(JobRecord aRecord)
  {
    reserve(MaxEncodedBytes(aRecord));
    mSegments.back().mJobs.push_back(std::move(aRecord));
  }

  void add(ProgressRecord aRecord)
  {
    // 32 bytes are an estimate for the integers of a progress record.
    reserve(32 + aRecord.mCheckpoint.size());
    mSegments.back().mProgress.push_back(std::move(aRecord));
  }

  std::vector<Segment> take() { return std::move(mSegments); }

private:
  /// Starts a new segment if the last one has no room for aBytes more.
  void reserve(std::size_t aBytes)
  {
    if (mSegments.empty() || mUsed + aBytes > mMaxBytes) {
      mSegments.emplace_back();
      mUsed = 0;
    }
    mUsed += aBytes;
  }

  std::size_t mMaxBytes;
  std::size_t mUsed = 0;
  std::vector<Segment> mSegments;
};

ProgressRecord
MakeJobEndRecord(const Job& aJob)
{
  ProgressRecord record;
  record.mKind = aJob.mFailed ? ProgressKind::JobFailed : ProgressKind::JobCancelled;
  record.mTask = { aJob.mNumber, kWholeJob };
  record.mCheckpoint = aJob.mDetail;
  return record;
}

void
AddTaskRecords(const JobsState& aState, const Job& aJob, SegmentPacker& aSegments)
{
  ProgressRecord record;
  if (aJob.mFirstAttempt > 1) {
    record.mKind = ProgressKind::FirstAttempt;
    record.mTask = { aJob.mNumber, kWholeJob };
    record.mAttempt = Common::Attempt(aJob.mFirstAttempt);
    aSegments.add(record);
  }
  for (std::uint32_t index = 0; index < aJob.mEndKinds.size(); ++index) {
    const auto kind = static_cast<ProgressKind>(aJob.mEndKinds[index]);
    if (aJob.mEndKinds[index] != 0 && kind != ProgressKind::Cancelled) {
      record.mKind = kind;
      record.mTask = { aJob.mNumber, index };
      aSegments.add(record);
    }
  }
  for (const std::uint32_t slot : aJob.mLiveSlots) {
    const LiveTask& task = aState.mTasks[slot];
    // The current attempt is not written, because its worker reports it.
    const std::uint32_t over = EndedAttempts(task);
    if (over == 0 && task.mCheckpointAttempt == 0) {
      continue;
    }
    record = {};
    record.mTask = task.mKey;
    record.mKind = ProgressKind::AttemptsEnded;
    record.mAttempt = Common::Attempt(over);
    record.mCheckpointAttempt = Common::Attempt(task.mCheckpointAttempt);
    if (task.mCheckpointAttempt != 0) {
      record.mCheckpoint = aState.mCheckpoints.at(slot);
    }
    aSegments.add(std::move(record));
  }
}

} // namespace

std::optional<WriteBatch>
TakeJobBatch(JobsState& aState, std::size_t aMaxBytes)
{
  WriteBatch batch;
  PendingBatch pending;
  std::size_t used = 0;
  std::size_t taken = 0;
  for (const JobNumber number : aState.mUnwrittenJobs) {
    const Job* job = FindJob(aState, number);
    JobRecord record = MakeJobRecord(*job);
    used += MaxEncodedBytes(record);
    if (taken > 0 && used > aMaxBytes) {
      break;
    }
    batch.mSegment.mJobs.push_back(std::move(record));
    pending.mJobs.push_back(number);
    ++taken;
  }
  if (taken == 0) {
    return std::nullopt;
  }
  aState.mUnwrittenJobs.erase(aState.mUnwrittenJobs.begin(),
                              aState.mUnwrittenJobs.begin() + static_cast<std::ptrdiff_t>(taken));
  batch.mId = aState.mNextBatch++;
  aState.mPendingBatches.emplace(batch.mId, std::move(pending));
  return batch;
}

std::optional<WriteBatch>
TakeProgressBatch(JobsState& aState, std::size_t aMaxRecords)
{
  const std::size_t count = std::min(aMaxRecords, aState.mUnwrittenProgress.size());
  if (count == 0) {
    return std::nullopt;
  }
  WriteBatch batch;
  batch.mId = aState.mNextBatch++;
  const auto end = aState.mUnwrittenProgress.begin() + static_cast<std::ptrdiff_t>(count);
  batch.mSegment.mProgress.assign(aState.mUnwrittenProgress.begin(), end);
  aState.mUnwrittenProgress.erase(aState.mUnwrittenProgress.begin(), end);
  aState.mPendingBatches[batch.mId].mProgress = batch.mSegment.mProgress;
  return batch;
}

std::vector<Common::JobId>
MarkBatchWritten(JobsState& aState, std::uint64_t aBatch, const CurrentTime& /*aNow*/)
{
  std::vector<Common::JobId> accepted;
  auto node = aState.mPendingBatches.extract(aBatch);
  if (node.empty()) {
    return accepted;
  }
  MarkProgressDurable(aState, node.mapped().mProgress);
  for (const JobNumber number : node.mapped().mJobs) {
    if (Job* job = FindJob(aState, number)) {
      job->mDurable = true;
      RefreshQueue(aState, *job);
      accepted.push_back(MakeJobId(aState.mCell, number));
    }
  }
  return accepted;
}

std::vector<Common::JobId>
MarkBatchFailed(JobsState& aState, std::uint64_t aBatch)
{
  std::vector<Common::JobId> refused;
  auto node = aState.mPendingBatches.extract(aBatch);
  if (node.empty()) {
    return refused;
  }
  std::vector<ProgressRecord>& progress = node.mapped().mProgress;
  aState.mUnwrittenProgress.insert(aState.mUnwrittenProgress.begin(),
                                   std::make_move_iterator(progress.begin()),
                                   std::make_move_iterator(progress.end()));
  for (const JobNumber number : node.mapped().mJobs) {
    if (Job* job = FindJob(aState, number)) {
      refused.push_back(MakeJobId(aState.mCell, number));
      RemoveJob(aState, *job);
    }
  }
  return refused;
}

std::size_t
UnwrittenProgressCount(const JobsState& aState)
{
  return aState.mUnwrittenProgress.size();
}

bool
IsProgressDurable(const JobsState& aState)
{
  return aState.mNonDurableByTask.empty();
}

std::vector<Segment>
MakeSnapshot(const JobsState& aState, std::size_t aMaxBytes)
{
  SegmentPacker packer(aMaxBytes);
  for (const auto& [number, job] : aState.mJobs) {
    if (!job.mDurable) {
      continue;
    }
    packer.add(MakeJobRecord(job));
    if (job.mCancelled || job.mFailed) {
      packer.add(MakeJobEndRecord(job));
    }
    AddTaskRecords(aState, job, packer);
  }
  return packer.take();
}

void
DropExpiredJobs(JobsState& aState, const CurrentTime& aNow)
{
  while (!aState.mEndedJobs.empty()) {
    Job* job = FindJob(aState, aState.mEndedJobs.front());
    if (job != nullptr) {
      // A job with records that are not durable is kept, because agents would be told to forget its
      // tasks.
      if (job->mNonDurableRecords > 0 ||
          job->mEndedAt + aState.mPolicy.mRetention > aNow.mMonotonic) {
        return;
      }
      RemoveJob(aState, *job);
    }
    aState.mEndedJobs.pop_front();
  }
}

} // namespace Jobs
