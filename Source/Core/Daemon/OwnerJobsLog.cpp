#include "Common/Hash.h"
#include "Daemon/OwnerJobs.h"
#include "Jobs/Records.h"
#include "Observability/Log.h"

namespace Daemon {

namespace {

using Observability::Level;
using Observability::Log;

// Segments of both logs after which they are replaced by a snapshot.
constexpr std::int64_t kCompactAfter = 200;
constexpr std::size_t kSnapshotPart = 512 << 10;
constexpr std::size_t kProgressRecords = 20'000;
constexpr std::chrono::milliseconds kStoreRetry{ 500 };

std::string
TextOf(Store::LogError aError)
{
  switch (aError) {
    case Store::LogError::Deposed:
      return "a later owner wrote to the log";
    case Store::LogError::Unavailable:
      return "the store is unavailable";
    case Store::LogError::Unknown:
      return "the store did not answer";
    case Store::LogError::TooLarge:
      return "a record is too large";
    case Store::LogError::Damaged:
      return "the log is damaged";
  }
  return "";
}

} // namespace

tl::expected<void, Store::LogError>
OwnerJobs::open()
{
  const std::string token = mRuntime.self().str() + '-' +
                            std::to_string(mRuntime.mIncarnation.value()) + '-' +
                            std::to_string(mEpoch);
  auto jobs = Store::OpenLog(*mRuntime.mStore, "jobs/" + mCell, Common::Epoch(mEpoch), token);
  if (!jobs) {
    return tl::unexpected(jobs.error());
  }
  auto progress =
    Store::OpenLog(*mRuntime.mStore, "progress/" + mCell, Common::Epoch(mEpoch), token);
  if (!progress) {
    return tl::unexpected(progress.error());
  }
  std::vector<std::string> values = std::move(jobs->mRecords);
  values.insert(values.end(), progress->mRecords.begin(), progress->mRecords.end());
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<Jobs::TaskAction> actions;
  auto rebuilt = Jobs::Rebuild(mState, values, {}, now(), actions);
  if (!rebuilt) {
    Log(
      Level::Error, "owner", "the job log cannot be read", { { "error", rebuilt.error().mText } });
    return tl::unexpected(Store::LogError::Damaged);
  }
  mState = std::move(*rebuilt);
  mJobLog = std::move(jobs->mWriter);
  mProgressLog = std::move(progress->mWriter);
  mSegments = jobs->mSegments + progress->mSegments;
  return {};
}

Common::Duration
OwnerJobs::write()
{
  // Submissions that come close together share a segment.
  std::this_thread::sleep_for(mRuntime.mSettings.mTimes.mSegmentWindow);
  bool fine = writeJobs();
  if (fine && mRuntime.mClock.now() >= mNextProgress) {
    mNextProgress = mRuntime.mClock.now() + mRuntime.mSettings.mTimes.mProgressWrite;
    fine = writeProgress();
  }
  if (fine && mSegments > kCompactAfter) {
    compact();
  }
  return fine ? mRuntime.mSettings.mTimes.mProgressWrite : Common::Duration(kStoreRetry);
}

bool
OwnerJobs::writeJobs()
{
  while (true) {
    if (!mOpenJobs) {
      const std::lock_guard<std::mutex> lock(mMutex);
      mOpenJobs = Jobs::TakeJobBatch(
        mState, static_cast<std::size_t>(mRuntime.mSettings.mLimits.mSegment.value()));
    }
    if (!mOpenJobs) {
      return true;
    }
    const auto written =
      Store::AppendSegment(*mRuntime.mStore, mJobLog, { Jobs::EncodeSegment(mOpenJobs->mSegment) });
    if (!written && written.error() == Store::LogError::Deposed) {
      mDeposed();
      return false;
    }
    if (!written && written.error() == Store::LogError::Unknown) {
      // Whether the records are there is settled by the next append of the same ones.
      return false;
    }
    std::vector<Common::JobId> settled;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      settled = written ? Jobs::MarkBatchWritten(mState, mOpenJobs->mId, now())
                        : Jobs::MarkBatchFailed(mState, mOpenJobs->mId);
      for (const Common::JobId& job : settled) {
        const auto waiting = mWaiting.find(job);
        if (waiting != mWaiting.end()) {
          *waiting->second = { true, written.has_value() };
          mWaiting.erase(waiting);
        }
      }
      mSettled.notify_all();
    }
    mOpenJobs.reset();
    if (!written) {
      Log(Level::Warning, "owner", "jobs refused", { { "error", TextOf(written.error()) } });
      return false;
    }
    ++mSegments;
    mPlanner->wake();
  }
}

bool
OwnerJobs::writeProgress()
{
  if (!mOpenProgress) {
    const std::lock_guard<std::mutex> lock(mMutex);
    mOpenProgress = Jobs::TakeProgressBatch(mState, kProgressRecords);
  }
  if (!mOpenProgress) {
    return true;
  }
  const auto written = Store::AppendSegment(
    *mRuntime.mStore, mProgressLog, { Jobs::EncodeSegment(mOpenProgress->mSegment) });
  if (!written) {
    if (written.error() == Store::LogError::Deposed) {
      mDeposed();
    }
    // The same records are appended again, which adds them only once.
    return false;
  }
  ++mSegments;
  const std::lock_guard<std::mutex> lock(mMutex);
  Jobs::MarkBatchWritten(mState, mOpenProgress->mId, now());
  mOpenProgress.reset();
  return true;
}

void
OwnerJobs::compact()
{
  std::vector<std::string> records;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const Jobs::Segment& segment : Jobs::MakeSnapshot(mState, kSnapshotPart)) {
      records.push_back(Jobs::EncodeSegment(segment));
    }
  }
  // The snapshot holds the progress, too, so the progress log may go once the snapshot is in force.
  const auto first = Store::CompactLog(*mRuntime.mStore, mJobLog, records);
  if (first && Store::CompactLog(*mRuntime.mStore, mProgressLog, {})) {
    mSegments = 0;
  }
}

} // namespace Daemon
