#include "Jobs/Jobs.h"
#include "Jobs/Transitions.h"

#include <algorithm>

namespace Jobs {

namespace {

JobRecord
RecordOf(const Job& aJob)
{
  return { aJob.mNumber, aJob.mSpec, aJob.mSubmitted };
}

void
SettleProgress(JobsState& aState, const std::vector<ProgressRecord>& aRecords)
{
  for (const ProgressRecord& record : aRecords) {
    const auto found = aState.mNotDurable.find(record.mTask);
    if (found != aState.mNotDurable.end() && --found->second == 0) {
      aState.mNotDurable.erase(found);
    }
    if (Job* job = FindJob(aState, record.mTask.mJob)) {
      --job->mUnsettled;
    }
  }
}

void
DropJob(JobsState& aState, Job& aJob)
{
  aState.mAside.erase(aJob.mNumber.value());
  if (!aJob.mSpec.mKey.empty()) {
    const auto key = aState.mKeys.find(KeyText(aJob.mSpec));
    if (key != aState.mKeys.end() && key->second == aJob.mNumber) {
      aState.mKeys.erase(key);
    }
  }
  aState.mJobs.erase(aJob.mNumber.value());
}

/// Collects records into segments of limited size.
class Packer
{
public:
  explicit Packer(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  void add(JobRecord aRecord)
  {
    room(MaxEncodedBytes(aRecord));
    mSegments.back().mJobs.push_back(std::move(aRecord));
  }

  void add(ProgressRecord aRecord)
  {
    room(32 + aRecord.mCheckpoint.size());
    mSegments.back().mProgress.push_back(std::move(aRecord));
  }

  std::vector<Segment> take() { return std::move(mSegments); }

private:
  void room(std::size_t aBytes)
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
JobEndRecord(const Job& aJob)
{
  ProgressRecord record;
  record.mKind = aJob.mFailed ? ProgressKind::JobFailed : ProgressKind::JobCancelled;
  record.mTask = { aJob.mNumber, kWholeJob };
  record.mCheckpoint = aJob.mDetail;
  return record;
}

void
AddTaskRecords(const JobsState& aState, const Job& aJob, Packer& aPacker)
{
  ProgressRecord record;
  if (aJob.mFirstAttempt > 1) {
    record.mKind = ProgressKind::FirstAttempt;
    record.mTask = { aJob.mNumber, kWholeJob };
    record.mAttempt = Common::Attempt(aJob.mFirstAttempt);
    aPacker.add(record);
  }
  for (std::uint32_t index = 0; index < aJob.mEnded.size(); ++index) {
    const auto kind = static_cast<ProgressKind>(aJob.mEnded[index]);
    if (aJob.mEnded[index] != 0 && kind != ProgressKind::Cancelled) {
      record.mKind = kind;
      record.mTask = { aJob.mNumber, index };
      aPacker.add(record);
    }
  }
  for (const std::uint32_t slot : aJob.mLive) {
    const LiveTask& task = aState.mTasks[slot];
    // The attempt in progress is not written: its worker reports it.
    const std::uint32_t over = AttemptsOver(task);
    if (over == 0 && task.mCheckpointAttempt == 0) {
      continue;
    }
    record = {};
    record.mTask = task.mKey;
    record.mKind = ProgressKind::AttemptOver;
    record.mAttempt = Common::Attempt(over);
    record.mCheckpointAttempt = Common::Attempt(task.mCheckpointAttempt);
    if (task.mCheckpointAttempt != 0) {
      record.mCheckpoint = aState.mCheckpoints.at(slot);
    }
    aPacker.add(std::move(record));
  }
}

} // namespace

std::optional<WriteBatch>
TakeJobBatch(JobsState& aState, std::size_t aMaxBytes)
{
  WriteBatch batch;
  OpenBatch open;
  std::size_t used = 0;
  std::size_t taken = 0;
  for (const JobNumber number : aState.mUnwrittenJobs) {
    const Job* job = FindJob(aState, number);
    JobRecord record = RecordOf(*job);
    used += MaxEncodedBytes(record);
    if (taken > 0 && used > aMaxBytes) {
      break;
    }
    batch.mSegment.mJobs.push_back(std::move(record));
    open.mJobs.push_back(number);
    ++taken;
  }
  if (taken == 0) {
    return std::nullopt;
  }
  aState.mUnwrittenJobs.erase(aState.mUnwrittenJobs.begin(),
                              aState.mUnwrittenJobs.begin() + static_cast<std::ptrdiff_t>(taken));
  batch.mId = aState.mNextBatch++;
  aState.mOpenBatches.emplace(batch.mId, std::move(open));
  return batch;
}

std::optional<WriteBatch>
TakeProgressBatch(JobsState& aState, std::size_t aMaxRecords)
{
  const std::size_t count = std::min(aMaxRecords, aState.mUnwritten.size());
  if (count == 0) {
    return std::nullopt;
  }
  WriteBatch batch;
  batch.mId = aState.mNextBatch++;
  const auto end = aState.mUnwritten.begin() + static_cast<std::ptrdiff_t>(count);
  batch.mSegment.mProgress.assign(aState.mUnwritten.begin(), end);
  aState.mUnwritten.erase(aState.mUnwritten.begin(), end);
  aState.mOpenBatches[batch.mId].mProgress = batch.mSegment.mProgress;
  return batch;
}

std::vector<Common::JobId>
MarkBatchWritten(JobsState& aState, std::uint64_t aBatch, const CurrentTime& /*aNow*/)
{
  std::vector<Common::JobId> accepted;
  auto node = aState.mOpenBatches.extract(aBatch);
  if (node.empty()) {
    return accepted;
  }
  SettleProgress(aState, node.mapped().mProgress);
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
  auto node = aState.mOpenBatches.extract(aBatch);
  if (node.empty()) {
    return refused;
  }
  std::vector<ProgressRecord>& progress = node.mapped().mProgress;
  aState.mUnwritten.insert(aState.mUnwritten.begin(),
                           std::make_move_iterator(progress.begin()),
                           std::make_move_iterator(progress.end()));
  for (const JobNumber number : node.mapped().mJobs) {
    if (Job* job = FindJob(aState, number)) {
      refused.push_back(MakeJobId(aState.mCell, number));
      DropJob(aState, *job);
    }
  }
  return refused;
}

std::size_t
UnwrittenProgressCount(const JobsState& aState)
{
  return aState.mUnwritten.size();
}

bool
IsProgressDurable(const JobsState& aState)
{
  return aState.mNotDurable.empty();
}

std::vector<Segment>
MakeSnapshot(const JobsState& aState, std::size_t aMaxBytes)
{
  Packer packer(aMaxBytes);
  for (const auto& [number, job] : aState.mJobs) {
    if (!job.mDurable) {
      continue;
    }
    packer.add(RecordOf(job));
    if (job.mCancelled || job.mFailed) {
      packer.add(JobEndRecord(job));
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
      // A job with unwritten ends stays, because agents would be told to forget its tasks.
      if (job->mUnsettled > 0 || job->mEndedAt + aState.mPolicy.mRetention > aNow.mMonotonic) {
        return;
      }
      DropJob(aState, *job);
    }
    aState.mEndedJobs.pop_front();
  }
}

} // namespace Jobs
