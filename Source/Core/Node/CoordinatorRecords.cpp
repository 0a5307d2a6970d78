#include "Node/Coordinator.h"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "Node/Convert.h"
#include "Node/Keys.h"
#include "Observability/Log.h"

namespace Node {

namespace {

using Observability::Level;
using Observability::Log;

/// Records in one transaction beside its condition; a few places are left for worker records.
constexpr std::size_t kJobsPerWrite = 16;
constexpr std::size_t kWorkersPerWrite = 6;
constexpr std::chrono::seconds kCollectionPeriod{ 10 };
/// What was learned in a shorter time is learned again soon.
constexpr std::chrono::seconds kModelPeriod{ 3 };
/// A record of a silent worker is erased this long after its leases ended. An erasure may take
/// effect seconds late, and must not meet a worker that has come back.
constexpr std::chrono::seconds kWorkerKept{ 30 };

} // namespace

void
Coordinator::flushSoon()
{
  if (!works() || mFlushing) {
    return;
  }
  const bool unrecorded = std::any_of(
    mState.mWorkers.begin(), mState.mWorkers.end(), [](const Scheduling::Worker& aWorker) {
      return (aWorker.mConnected && aWorker.mHasTaskList && !aWorker.mRecorded) ||
             (aWorker.mRecorded && aWorker.mGone);
    });
  if (mState.mDirtyJobs.empty() && !unrecorded) {
    // Ends that changed no record are as durable as they need to be.
    for (Scheduling::Worker& worker : mState.mWorkers) {
      worker.mLastAcknowledgedEnd = worker.mLastHandledEnd;
    }
    return;
  }
  const bool now = unrecorded || mFlushed != nullptr ||
                   std::any_of(mState.mDirtyJobs.begin(),
                               mState.mDirtyJobs.end(),
                               [](const Scheduling::Job* aJob) { return aJob->mWriteAtOnce; });
  if (mFlushArmedNow || (mFlushArmed && !now)) {
    return;
  }
  flushAfter(now ? mContext.mTimes.mFlushNow : mContext.mTimes.mFlush, now);
}

void
Coordinator::flushAfter(Duration aDelay, bool aNow)
{
  mFlushArmed = true;
  mFlushArmedNow = aNow;
  mFlushTimer.expires_after(aDelay);
  mFlushTimer.async_wait([this, round = mRound](boost::system::error_code aError) {
    if (!aError && round == mRound) {
      mFlushArmed = false;
      mFlushArmedNow = false;
      flush();
    }
  });
}

void
Coordinator::flush()
{
  if (mFlushing || !works() || !mElection.mayAct()) {
    return;
  }
  Store::Transaction transaction;
  transaction.mExpected = { mElection.fence(), { kRecordsKey, mRecordsVersion } };
  std::vector<Scheduling::Job*> dirty(mState.mDirtyJobs.begin(), mState.mDirtyJobs.end());
  std::stable_sort(
    dirty.begin(), dirty.end(), [](const Scheduling::Job* aLeft, const Scheduling::Job* aRight) {
      return aLeft->mWriteAtOnce > aRight->mWriteAtOnce;
    });
  const bool all = dirty.size() <= kJobsPerWrite;
  dirty.resize(std::min(dirty.size(), kJobsPerWrite));
  mFlushJobs.clear();
  for (Scheduling::Job* job : dirty) {
    transaction.mPuts.push_back({ ProgressKey(job->mSpec.mJob),
                                  Wire::Encode(ToRecord(Scheduling::ProgressOf(*job))),
                                  std::nullopt });
    mFlushJobs.emplace_back(job->mSpec.mJob, job->mState);
    job->mWriteAtOnce = false;
    mState.mDirtyJobs.erase(job);
  }
  std::vector<Scheduling::WorkerLifetime> recorded;
  for (const Scheduling::Worker& worker : mState.mWorkers) {
    if (worker.mConnected && worker.mHasTaskList && !worker.mRecorded &&
        recorded.size() < kWorkersPerWrite) {
      Wire::WorkerRecord record;
      record.view = ToWire(Scheduling::ViewOf(worker));
      record.instance = worker.mAgent.str();
      record.dataCentre = worker.mDataCentre.str();
      transaction.mPuts.push_back(
        { WorkerKey(worker.mLifetime), Wire::Encode(record), std::nullopt });
      recorded.push_back(worker.mLifetime);
    } else if (worker.mRecorded && worker.mGone && transaction.mErased.size() < kWorkersPerWrite) {
      // The next coordinator would wait for it.
      transaction.mErased.push_back(WorkerKey(worker.mLifetime));
      recorded.push_back(worker.mLifetime);
    }
  }
  mFlushEnds.clear();
  for (const Scheduling::Worker& worker : mState.mWorkers) {
    if (worker.mLastHandledEnd > worker.mLastAcknowledgedEnd) {
      mFlushEnds[worker.mLifetime] = worker.mLastHandledEnd;
    }
  }
  if (transaction.mPuts.empty() && transaction.mErased.empty()) {
    return;
  }
  if (mContext.now() >= mNextModel) {
    mNextModel = mContext.now() + kModelPeriod;
    transaction.mPuts.push_back({ kModelKey, Wire::Encode(LearnedRecord(mState)), std::nullopt });
  }
  transaction.mPuts.push_back({ kRecordsKey, std::to_string(mTerm.value()), std::nullopt });
  mFlushing = true;
  mFlushSent = mContext.now();
  mContext.mStore.write(transaction,
                        mContext.mTimes.mStoreCall,
                        [this, round = mRound, recorded, all](
                          const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
                          if (round == mRound) {
                            takeFlush(recorded, all, aResult);
                          }
                        });
}

void
Coordinator::markUnwritten()
{
  for (const auto& [id, state] : mFlushJobs) {
    const auto found = mState.mJobs.find(id);
    if (found != mState.mJobs.end()) {
      Scheduling::MarkDirty(mState, *found->second, Scheduling::HasEnded(state));
    }
  }
  mFlushJobs.clear();
}

void
Coordinator::takeFlush(const std::vector<Scheduling::WorkerLifetime>& aRecorded,
                       bool aAllWritten,
                       const tl::expected<Store::Version, Store::WriteFailure>& aResult)
{
  mFlushing = false;
  if (!aResult) {
    Log(Level::Warning,
        "coordinator",
        "records were not written",
        { { "jobs", std::to_string(mFlushJobs.size()) },
          { "error", std::to_string(static_cast<int>(aResult.error().mError)) } });
    markUnwritten();
    if (aResult.error().mError == Store::StoreError::Conflict &&
        !overtakenByOwnWrite(aResult.error())) {
      mElection.doubt();
      return;
    }
    flushAfter(mContext.mTimes.mStoreRetry, true);
    return;
  }
  mRecordsVersion = *aResult;
  mContext.mCounters.distribution("ibis_record_write_us")
    .record((mContext.now() - mFlushSent).count());
  const auto written = std::move(mFlushJobs);
  mFlushJobs.clear();
  for (const auto& [id, state] : written) {
    const auto found = mState.mJobs.find(id);
    if (found == mState.mJobs.end()) {
      continue;
    }
    Scheduling::Job& job = *found->second;
    job.mDurableState = state;
    if (Scheduling::HasEnded(state)) {
      mState.mOpenJobs.erase(&job);
      Log(Level::Info,
          "coordinator",
          "job ended",
          { { "job", id.str() },
            { "state", std::string(Scheduling::StateText(state)) },
            { "age_ms",
              std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(mContext.now() - job.mArrived)
                  .count()) } });
    }
  }
  for (const Scheduling::WorkerLifetime& life : aRecorded) {
    const auto found = mState.mWorkerIndex.find(life);
    if (found != mState.mWorkerIndex.end()) {
      Scheduling::Worker& worker = mState.mWorkers[found->second];
      worker.mRecorded = !worker.mGone;
    }
  }
  if (aAllWritten) {
    for (const auto& [life, number] : mFlushEnds) {
      Scheduling::Worker& worker = mState.mWorkers[mState.mWorkerIndex.at(life)];
      worker.mLastAcknowledgedEnd = std::max(worker.mLastAcknowledgedEnd, number);
      if (Peer* peer = peerOf(worker.mAgent)) {
        sendDirective(*peer, {});
      }
    }
  }
  if (mFlushed && mState.mDirtyJobs.empty()) {
    const auto flushed = std::move(mFlushed);
    mFlushed = nullptr;
    flushed();
    return;
  }
  planSoon();
  flushSoon();
}

bool
Coordinator::overtakenByOwnWrite(const Store::WriteFailure& aFailure)
{
  bool holdsKey = false;
  Store::Version records;
  for (const Store::Entry& entry : aFailure.mActual) {
    holdsKey =
      holdsKey || (entry.mKey == kCoordinatorKey && entry.mVersion == mElection.fence().mVersion);
    if (entry.mKey == kRecordsKey) {
      records = entry.mVersion;
    }
  }
  if (!holdsKey || records == mRecordsVersion) {
    return false;
  }
  Log(Level::Warning,
      "coordinator",
      "an earlier write took effect late; writing the records again",
      { { "expected", std::to_string(mRecordsVersion.value()) },
        { "actual", std::to_string(records.value()) } });
  mRecordsVersion = records;
  return true;
}

void
Coordinator::flushAll(std::function<void()> aDone)
{
  if (!works() || (mState.mDirtyJobs.empty() && !mFlushing)) {
    boost::asio::post(mContext.mIo, std::move(aDone));
    return;
  }
  mFlushed = std::move(aDone);
  flushSoon();
}

void
Coordinator::collectGarbage()
{
  const Timestamp now = mContext.now();
  if (now < mNextCollection) {
    return;
  }
  mNextCollection = now + kCollectionPeriod;
  // Records of lifetimes that ended keep the next coordinator waiting for nothing.
  Store::Transaction transaction;
  transaction.mExpected.push_back(mElection.fence());
  std::vector<Common::JobId> removed;
  const auto unixNow = mContext.mClock.unixNow();
  // A clock that jumped ahead by seconds must not shorten the time for which a state is shown.
  constexpr std::chrono::seconds kClockJump{ 60 };
  const auto kept =
    std::chrono::duration_cast<Common::UnixMillis>(mContext.mSettings.mRetention + kClockJump);
  constexpr std::size_t kErasedPerJob = 3;
  for (const auto& [id, job] : mState.mJobs) {
    if (Scheduling::HasEnded(job->mDurableState) && unixNow - job->mEndedAt > kept &&
        transaction.mErased.size() + kErasedPerJob < Store::Transaction::kMaxEntries) {
      transaction.mErased.push_back(SubmissionKey(id));
      transaction.mErased.push_back(CancelKey(id));
      transaction.mErased.push_back(ProgressKey(id));
      removed.push_back(id);
    }
  }
  std::vector<Scheduling::WorkerLifetime> dead;
  for (const Scheduling::Worker& worker : mState.mWorkers) {
    if (worker.mRecorded && !worker.mConnected && worker.mLeaseEnd + kWorkerKept < now &&
        worker.mTasks.empty() && transaction.mErased.size() + 1 < Store::Transaction::kMaxEntries) {
      transaction.mErased.push_back(WorkerKey(worker.mLifetime));
      dead.push_back(worker.mLifetime);
    }
  }
  if (transaction.mErased.empty()) {
    return;
  }
  for (const Scheduling::WorkerLifetime& life : dead) {
    // Not to be used again unless a new record is written.
    mState.mWorkers[mState.mWorkerIndex.at(life)].mRecorded = false;
  }
  mContext.mStore.write(transaction,
                        mContext.mTimes.mStoreCall,
                        [this, removed, round = mRound](
                          const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
                          if (round != mRound || !aResult) {
                            return;
                          }
                          for (const auto& id : removed) {
                            Scheduling::RemoveJob(mState, id);
                          }
                        });
}

} // namespace Node
