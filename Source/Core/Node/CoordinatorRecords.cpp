#include "Node/Coordinator.h"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "Node/StoreKeys.h"
#include "Node/WireConversion.h"
#include "Observability/Log.h"

namespace Node {

namespace {

using Observability::Level;
using Observability::Log;

/// Largest numbers of job and worker records in one transaction. A full transaction has
/// Store::Transaction::kMaxEntries entries (32): 16 job records, 6 new and 6 erased worker records,
/// the model, kRecordsKey and 2 preconditions.
constexpr std::size_t kMaxJobsPerWrite = 16;
constexpr std::size_t kMaxWorkersPerWrite = 6;
constexpr std::chrono::seconds kGarbageCollectionInterval{ 10 };
/// Shortest time between writes of the model; what was learned in a shorter time is soon relearned.
constexpr std::chrono::seconds kModelWriteInterval{ 3 };
/// The record of a lost worker is erased this long after its lease ended. An erasure may take
/// effect seconds late and must not remove the record of a worker that has reconnected.
constexpr std::chrono::seconds kWorkerRecordRetention{ 30 };

/// True if the worker's record may be in the store and is of no use any more.
bool
HasRecordOfEndedLifetime(const Scheduling::Worker& aWorker)
{
  return aWorker.mLifetimeEnded && (aWorker.mRecorded || aWorker.mMayBeRecorded);
}

} // namespace

void
Coordinator::scheduleFlush()
{
  if (!isWorking() || mFlushInProgress) {
    return;
  }
  const bool workerRecordsOutdated = std::any_of(
    mState.mWorkers.begin(), mState.mWorkers.end(), [](const Scheduling::Worker& aWorker) {
      return (aWorker.mConnected && aWorker.mHasTaskList && !aWorker.mRecorded) ||
             HasRecordOfEndedLifetime(aWorker);
    });
  if (mState.mDirtyJobs.empty() && !workerRecordsOutdated) {
    // No record has to be written, so all handled ends can be acknowledged.
    for (Scheduling::Worker& worker : mState.mWorkers) {
      worker.mLastAcknowledgedEnd = worker.mLastHandledEnd;
    }
    return;
  }
  const bool urgent = workerRecordsOutdated || mFlushAllDone != nullptr ||
                      std::any_of(mState.mDirtyJobs.begin(),
                                  mState.mDirtyJobs.end(),
                                  [](const Scheduling::Job* aJob) { return aJob->mWriteAtOnce; });
  if (mUrgentFlushScheduled || (mFlushScheduled && !urgent)) {
    return;
  }
  scheduleFlushAfter(urgent ? mContext.mTiming.mUrgentFlushDelay : mContext.mTiming.mFlushDelay,
                     urgent);
}

void
Coordinator::scheduleFlushAfter(Duration aDelay, bool aUrgent)
{
  mFlushScheduled = true;
  mUrgentFlushScheduled = aUrgent;
  mFlushTimer.expires_after(aDelay);
  mFlushTimer.async_wait([this, generation = mCallGeneration](boost::system::error_code aError) {
    if (!aError && generation == mCallGeneration) {
      mFlushScheduled = false;
      mUrgentFlushScheduled = false;
      flush();
    }
  });
}

void
Coordinator::flush()
{
  if (mFlushInProgress || !isWorking() || !mElection.mayAct()) {
    return;
  }
  Store::Transaction transaction;
  transaction.mExpected = { mElection.fencingCondition(), { kRecordsKey, mRecordsVersion } };
  std::vector<Scheduling::Job*> dirtyJobs(mState.mDirtyJobs.begin(), mState.mDirtyJobs.end());
  std::stable_sort(dirtyJobs.begin(),
                   dirtyJobs.end(),
                   [](const Scheduling::Job* aLeft, const Scheduling::Job* aRight) {
                     return aLeft->mWriteAtOnce > aRight->mWriteAtOnce;
                   });
  const bool includesAllJobs = dirtyJobs.size() <= kMaxJobsPerWrite;
  dirtyJobs.resize(std::min(dirtyJobs.size(), kMaxJobsPerWrite));
  mFlushJobs.clear();
  for (Scheduling::Job* job : dirtyJobs) {
    transaction.mPuts.push_back({ ProgressKey(job->mSpec.mJob),
                                  Wire::Encode(ToRecord(Scheduling::ProgressOf(*job))),
                                  std::nullopt });
    mFlushJobs.emplace_back(job->mSpec.mJob, job->mState);
    job->mWriteAtOnce = false;
    mState.mDirtyJobs.erase(job);
  }
  FlushedWorkers workers;
  for (Scheduling::Worker& worker : mState.mWorkers) {
    if (worker.mConnected && worker.mHasTaskList && !worker.mRecorded &&
        workers.mWritten.size() < kMaxWorkersPerWrite) {
      Wire::WorkerRecord record;
      record.view = ToWire(Scheduling::ViewOf(worker));
      record.instance = worker.mAgent.str();
      record.dataCentre = worker.mDataCentre.str();
      transaction.mPuts.push_back(
        { WorkerKey(worker.mLifetime), Wire::Encode(record), std::nullopt });
      workers.mWritten.push_back(worker.mLifetime);
      worker.mMayBeRecorded = true;
    } else if (HasRecordOfEndedLifetime(worker) && workers.mErased.size() < kMaxWorkersPerWrite) {
      // If the record stayed, the next coordinator would wait until the worker's lease ends.
      transaction.mErased.push_back(WorkerKey(worker.mLifetime));
      workers.mErased.push_back(worker.mLifetime);
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
  if (mContext.now() >= mNextModelWrite) {
    mNextModelWrite = mContext.now() + kModelWriteInterval;
    transaction.mPuts.push_back({ kModelKey, Wire::Encode(ToModelRecord(mState)), std::nullopt });
  }
  transaction.mPuts.push_back({ kRecordsKey, std::to_string(mTerm.value()), std::nullopt });
  for (const auto& put : transaction.mPuts) {
    countBytes("records", put.mKey.size() + put.mValue.size());
  }
  mFlushInProgress = true;
  mFlushStartedAt = mContext.now();
  mContext.mStore.write(transaction,
                        mContext.mTiming.mStoreCallTimeout,
                        [this, generation = mCallGeneration, workers, includesAllJobs](
                          const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
                          if (generation == mCallGeneration) {
                            handleFlushResult(workers, includesAllJobs, aResult);
                          }
                        });
}

void
Coordinator::markFlushJobsDirty()
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
Coordinator::handleFlushResult(const FlushedWorkers& aWorkers,
                               bool aIncludesAllJobs,
                               const tl::expected<Store::Version, Store::WriteFailure>& aResult)
{
  mFlushInProgress = false;
  if (!aResult) {
    Log(Level::Warning,
        "coordinator",
        "failed to write records",
        { { "jobs", std::to_string(mFlushJobs.size()) },
          { "error", std::to_string(static_cast<int>(aResult.error().mError)) } });
    markFlushJobsDirty();
    if (aResult.error().mError == Store::StoreError::Conflict &&
        !adoptVersionOfLateWrite(aResult.error())) {
      mElection.suspectKeyLost();
      return;
    }
    scheduleFlushAfter(mContext.mTiming.mStoreRetryDelay, true);
    return;
  }
  mRecordsVersion = *aResult;
  mContext.mCounters.distribution("ibis_record_write_us")
    .record((mContext.now() - mFlushStartedAt).count());
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
  // The record of a worker that ended meanwhile is in the store too, and is erased next.
  for (const Scheduling::WorkerLifetime& lifetime : aWorkers.mWritten) {
    mState.mWorkers[mState.mWorkerIndex.at(lifetime)].mRecorded = true;
  }
  for (const Scheduling::WorkerLifetime& lifetime : aWorkers.mErased) {
    Scheduling::Worker& worker = mState.mWorkers[mState.mWorkerIndex.at(lifetime)];
    worker.mRecorded = false;
    worker.mMayBeRecorded = false;
  }
  if (aIncludesAllJobs) {
    for (const auto& [lifetime, number] : mFlushEnds) {
      Scheduling::Worker& worker = mState.mWorkers[mState.mWorkerIndex.at(lifetime)];
      worker.mLastAcknowledgedEnd = std::max(worker.mLastAcknowledgedEnd, number);
      if (Peer* peer = findPeer(worker.mAgent)) {
        sendDirective(*peer, {});
      }
    }
  }
  if (mFlushAllDone && mState.mDirtyJobs.empty()) {
    const auto done = std::move(mFlushAllDone);
    mFlushAllDone = nullptr;
    done();
    return;
  }
  schedulePlacement();
  scheduleFlush();
}

bool
Coordinator::adoptVersionOfLateWrite(const Store::WriteFailure& aFailure)
{
  bool holdsKey = false;
  Store::Version recordsVersion;
  for (const Store::Entry& entry : aFailure.mActual) {
    holdsKey = holdsKey || (entry.mKey == kCoordinatorKey &&
                            entry.mVersion == mElection.fencingCondition().mVersion);
    if (entry.mKey == kRecordsKey) {
      recordsVersion = entry.mVersion;
    }
  }
  if (!holdsKey || recordsVersion == mRecordsVersion) {
    return false;
  }
  Log(Level::Warning,
      "coordinator",
      "an earlier write took effect late; writing the records again",
      { { "expected", std::to_string(mRecordsVersion.value()) },
        { "actual", std::to_string(recordsVersion.value()) } });
  mRecordsVersion = recordsVersion;
  return true;
}

void
Coordinator::flushAll(std::function<void()> aDone)
{
  if (!isWorking() || (mState.mDirtyJobs.empty() && !mFlushInProgress)) {
    boost::asio::post(mContext.mIo, std::move(aDone));
    return;
  }
  mFlushAllDone = std::move(aDone);
  scheduleFlush();
}

void
Coordinator::collectGarbage()
{
  const Timestamp now = mContext.now();
  if (now < mNextGarbageCollection) {
    return;
  }
  mNextGarbageCollection = now + kGarbageCollectionInterval;
  // Ended jobs are erased after their retention, and lost workers because the next coordinator
  // would wait for them in vain.
  Store::Transaction transaction;
  transaction.mExpected.push_back(mElection.fencingCondition());
  std::vector<Common::JobId> removedJobs;
  const auto unixNow = mContext.mClock.unixNow();
  // A wall clock that jumps ahead by some seconds must not shorten the retention of ended jobs.
  constexpr std::chrono::seconds kClockJumpAllowance{ 60 };
  const auto retention = std::chrono::duration_cast<Common::UnixMillis>(
    mContext.mSettings.mEndedJobRetention + kClockJumpAllowance);
  constexpr std::size_t kKeysPerJob = 3;
  for (const auto& [id, job] : mState.mJobs) {
    if (Scheduling::HasEnded(job->mDurableState) && unixNow - job->mEndedAt > retention &&
        transaction.mErased.size() + kKeysPerJob < Store::Transaction::kMaxEntries) {
      transaction.mErased.push_back(SubmissionKey(id));
      transaction.mErased.push_back(CancelKey(id));
      transaction.mErased.push_back(ProgressKey(id));
      removedJobs.push_back(id);
    }
  }
  std::vector<Scheduling::WorkerLifetime> lostWorkers;
  for (const Scheduling::Worker& worker : mState.mWorkers) {
    if (worker.mRecorded && !worker.mConnected && worker.mLeaseEnd + kWorkerRecordRetention < now &&
        worker.mTasks.empty() && transaction.mErased.size() + 1 < Store::Transaction::kMaxEntries) {
      transaction.mErased.push_back(WorkerKey(worker.mLifetime));
      lostWorkers.push_back(worker.mLifetime);
    }
  }
  if (transaction.mErased.empty()) {
    return;
  }
  for (const Scheduling::WorkerLifetime& lifetime : lostWorkers) {
    // If the worker reconnects, its record must be written again.
    mState.mWorkers[mState.mWorkerIndex.at(lifetime)].mRecorded = false;
  }
  mContext.mStore.write(transaction,
                        mContext.mTiming.mStoreCallTimeout,
                        [this, removedJobs, generation = mCallGeneration](
                          const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
                          if (generation != mCallGeneration || !aResult) {
                            return;
                          }
                          for (const auto& id : removedJobs) {
                            Scheduling::RemoveJob(mState, id);
                          }
                        });
}

} // namespace Node
