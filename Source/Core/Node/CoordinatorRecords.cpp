#include "Node/Coordinator.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <boost/asio/post.hpp>

#include "Node/StoreKeys.h"
#include "Node/WireConversion.h"
#include "Observability/Log.h"

namespace Node {

namespace {

using Observability::Level;
using Observability::Log;

/// Largest numbers of written and of erased worker records in one transaction while job records
/// wait.
constexpr std::size_t kMaxWorkersPerWrite = 6;
/// Entries of each transaction beside those of jobs and workers: the model, kRecordsKey and 2
/// preconditions.
constexpr std::size_t kOtherEntriesPerWrite = 4;
/// Job records for which each transaction has room.
constexpr std::size_t kMinJobsPerWrite =
  Store::Transaction::kMaxEntries - kOtherEntriesPerWrite - 2 * kMaxWorkersPerWrite;
constexpr std::chrono::seconds kGarbageCollectionInterval{ 10 };
/// Fences are few, and none is left unless the store was silent.
constexpr std::chrono::seconds kMaxFenceCollectionInterval{ 20 };
/// Fences in one transaction, each of them erased and a precondition; one more entry is the
/// coordinator's own precondition.
constexpr std::size_t kMaxFencesPerWrite = (Store::Transaction::kMaxEntries - 1) / 2;
/// Shortest time between writes of the model; what was learned in a shorter time is soon relearned.
constexpr std::chrono::seconds kModelWriteInterval{ 3 };

/// True if the worker's record may be in the store and no run that it stands for is left.
bool
HasNeedlessRecord(const Scheduling::Worker& aWorker, Timestamp aNow)
{
  const bool isLost = !aWorker.mConnected && aWorker.mLeaseEnd <= aNow && aWorker.mTasks.empty();
  return (aWorker.mLifetimeEnded || isLost) && (aWorker.mRecorded || aWorker.mMayBeRecorded);
}

/// True if the worker's record has to be in the store before the worker gets a task.
bool
NeedsRecord(const Scheduling::Worker& aWorker)
{
  return aWorker.mConnected && aWorker.mHasTaskList && !aWorker.mRecorded;
}

/// True if the worker is back and its record may still say that the lease is not extended.
bool
HasNeedlessSuspension(const Scheduling::Worker& aWorker)
{
  return aWorker.mConnected && aWorker.mRecorded &&
         (aWorker.mSuspensionMayBeRecorded || aWorker.mSuspendedBefore);
}

} // namespace

bool
Coordinator::canSuspend(const Scheduling::Worker& aWorker) const
{
  const bool isRecorded = aWorker.mRecorded || aWorker.mMayBeRecorded;
  if (aWorker.mConnected || aWorker.mLifetimeEnded || aWorker.mSuspensionRecorded || !isRecorded) {
    return false;
  }
  // Earlier coordinators must not be able to extend the lease either: the worker has seen this
  // term, or the last one left the record so, or the time in which they may act is over.
  const Timestamp now = mContext.now();
  const bool isFenced = aWorker.mHasTaskList || aWorker.mSuspensionMayBeRecorded ||
                        aWorker.mSuspendedBefore || now >= mElection.othersActUntil();
  return isFenced && aWorker.mLeaseEnd > now && mElection.isLeaseValid();
}

bool
Coordinator::hasOutdatedRecord(const Scheduling::Worker& aWorker) const
{
  return NeedsRecord(aWorker) || HasNeedlessSuspension(aWorker) || canSuspend(aWorker);
}

bool
Coordinator::mayExtendLeases(const Common::InstanceId& aAgent) const
{
  return std::none_of(
    mState.mWorkers.begin(), mState.mWorkers.end(), [&aAgent](const Scheduling::Worker& aWorker) {
      return aWorker.mAgent == aAgent && aWorker.mSuspensionMayBeRecorded &&
             !aWorker.mLifetimeEnded;
    });
}

std::size_t
Coordinator::suspendedWorkers() const
{
  return static_cast<std::size_t>(std::count_if(
    mState.mWorkers.begin(), mState.mWorkers.end(), [](const Scheduling::Worker& aWorker) {
      return aWorker.mSuspensionMayBeRecorded || aWorker.mSuspendedBefore;
    }));
}

void
Coordinator::scheduleFlush()
{
  if (!isWorking() || mFlushInProgress) {
    return;
  }
  const Timestamp now = mContext.now();
  const bool workerRecordsOutdated = std::any_of(
    mState.mWorkers.begin(), mState.mWorkers.end(), [now](const Scheduling::Worker& aWorker) {
      return NeedsRecord(aWorker) || HasNeedlessSuspension(aWorker) ||
             HasNeedlessRecord(aWorker, now);
    });
  const auto suspensions = static_cast<std::size_t>(std::count_if(
    mState.mWorkers.begin(), mState.mWorkers.end(), [this](const Scheduling::Worker& aWorker) {
      return canSuspend(aWorker);
    }));
  if (mState.mDirtyJobs.empty() && !workerRecordsOutdated && suspensions == 0 && !mStampOutdated) {
    for (Scheduling::Worker& worker : mState.mWorkers) {
      Scheduling::AcknowledgeRecordedEnds(mState, worker);
    }
    return;
  }
  // A suspension can wait a moment, in which an agent that only lost its connection comes back.
  const bool urgent = workerRecordsOutdated || mStampOutdated ||
                      suspensions > kMaxWorkersPerWrite || mFlushAllDone != nullptr ||
                      mState.mDirtyJobs.size() > kMinJobsPerWrite ||
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
  FlushedWorkers workers;
  std::vector<Scheduling::Worker*> outdated;
  for (Scheduling::Worker& worker : mState.mWorkers) {
    if (hasOutdatedRecord(worker)) {
      outdated.push_back(&worker);
    } else if (HasNeedlessRecord(worker, mContext.now()) &&
               workers.mErased.size() < kMaxWorkersPerWrite) {
      // If the record stayed, the next coordinator would wait for the worker.
      transaction.mErased.push_back(WorkerKey(worker.mLifetime));
      workers.mErased.push_back(worker.mLifetime);
      // A worker that reports again gets no task before its record has been written again.
      worker.mRecorded = false;
      worker.mMayBeRecorded = true;
      worker.mSuspensionRecorded = false;
    }
  }
  // Workers that can get tasks come before those that are lost.
  std::stable_sort(outdated.begin(),
                   outdated.end(),
                   [](const Scheduling::Worker* aLeft, const Scheduling::Worker* aRight) {
                     return aLeft->mConnected && !aRight->mConnected;
                   });
  const std::size_t added = addWorkerRecords(transaction, workers, outdated, kMaxWorkersPerWrite);
  addChangedJobs(transaction);
  const std::size_t room = Store::Transaction::kMaxEntries - kOtherEntriesPerWrite -
                           transaction.mPuts.size() - transaction.mErased.size();
  addWorkerRecords(transaction, workers, std::span(outdated).subspan(added), room);
  if (transaction.mPuts.empty() && transaction.mErased.empty() && !mStampOutdated) {
    return;
  }
  if (mContext.now() >= mNextModelWrite) {
    mNextModelWrite = mContext.now() + kModelWriteInterval;
    transaction.mPuts.push_back({ kModelKey, Wire::Encode(ToModelRecord(mState)), std::nullopt });
  }
  Wire::RecordsStamp stamp;
  stamp.term = mTerm.value();
  stamp.earlierActMicros = mElection.othersMayStillAct().count();
  mStampOutdated = false;
  transaction.mPuts.push_back({ kRecordsKey, Wire::Encode(stamp), std::nullopt });
  for (const auto& put : transaction.mPuts) {
    countBytes("records", put.mKey.size() + put.mValue.size());
  }
  mContext.mCounters.distribution("ibis_record_write_jobs")
    .record(static_cast<std::int64_t>(mFlushJobs.size()));
  mFlushInProgress = true;
  mFlushStartedAt = mContext.now();
  mContext.mStore.write(transaction,
                        mContext.mTiming.mStoreCallTimeout,
                        [this, generation = mCallGeneration, workers](
                          const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
                          if (generation == mCallGeneration) {
                            handleFlushResult(workers, aResult);
                          }
                        });
}

std::size_t
Coordinator::addWorkerRecords(Store::Transaction& aTransaction,
                              FlushedWorkers& aFlushed,
                              std::span<Scheduling::Worker* const> aWorkers,
                              std::size_t aRoom)
{
  const std::size_t count = std::min(aWorkers.size(), aRoom);
  for (Scheduling::Worker* worker : aWorkers.first(count)) {
    Wire::WorkerRecord record;
    record.view = ToWire(Scheduling::ViewOf(*worker));
    record.instance = worker->mAgent.str();
    record.dataCentre = worker->mDataCentre.str();
    const bool isSuspended = !worker->mConnected;
    if (isSuspended) {
      record.__set_suspendedTerm(mTerm.value());
    }
    aTransaction.mPuts.push_back(
      { WorkerKey(worker->mLifetime), Wire::Encode(record), std::nullopt });
    aFlushed.mWritten.push_back({ worker->mLifetime, isSuspended });
    worker->mMayBeRecorded = true;
    worker->mSuspensionRecorded = false;
    worker->mSuspensionMayBeRecorded = worker->mSuspensionMayBeRecorded || isSuspended;
  }
  return count;
}

void
Coordinator::addChangedJobs(Store::Transaction& aTransaction)
{
  std::vector<Scheduling::Job*> jobs(mState.mDirtyJobs.begin(), mState.mDirtyJobs.end());
  // The oldest changes first, after the records that a caller waits for: a job that changes all the
  // time must not displace the others.
  std::sort(
    jobs.begin(), jobs.end(), [](const Scheduling::Job* aLeft, const Scheduling::Job* aRight) {
      return std::tuple(!aLeft->mWriteAtOnce, aLeft->mFirstUnwrittenChange) <
             std::tuple(!aRight->mWriteAtOnce, aRight->mFirstUnwrittenChange);
    });
  const std::size_t room = Store::Transaction::kMaxEntries - kOtherEntriesPerWrite -
                           aTransaction.mPuts.size() - aTransaction.mErased.size();
  jobs.resize(std::min(jobs.size(), room));
  mFlushJobs.clear();
  for (Scheduling::Job* job : jobs) {
    aTransaction.mPuts.push_back({ ProgressKey(job->mSpec.mJob),
                                   Wire::Encode(ToRecord(Scheduling::ProgressOf(*job))),
                                   std::nullopt });
    mFlushJobs.push_back({ job->mSpec.mJob, job->mState, job->mLastChange });
    job->mWriteAtOnce = false;
    mState.mDirtyJobs.erase(job);
  }
}

void
Coordinator::markFlushJobsDirty()
{
  for (const FlushedJob& flushed : mFlushJobs) {
    const auto found = mState.mJobs.find(flushed.mJob);
    if (found != mState.mJobs.end()) {
      Scheduling::MarkDirty(mState, *found->second, Scheduling::HasEnded(flushed.mState));
    }
  }
  mFlushJobs.clear();
}

void
Coordinator::acknowledgeEnds()
{
  for (Scheduling::Worker& worker : mState.mWorkers) {
    if (!Scheduling::AcknowledgeRecordedEnds(mState, worker)) {
      continue;
    }
    if (Peer* peer = findPeer(worker.mAgent)) {
      sendDirective(*peer, {});
    }
  }
}

void
Coordinator::handleFlushResult(const FlushedWorkers& aWorkers,
                               const tl::expected<Store::Version, Store::WriteFailure>& aResult)
{
  mFlushInProgress = false;
  if (!aResult) {
    Log(Level::Warning,
        "coordinator",
        "failed to write records",
        { { "jobs", std::to_string(mFlushJobs.size()) },
          { "error", std::to_string(static_cast<int>(aResult.error().mError)) } });
    mStampOutdated = true;
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
  for (const FlushedJob& flushed : written) {
    const auto found = mState.mJobs.find(flushed.mJob);
    if (found == mState.mJobs.end()) {
      continue;
    }
    Scheduling::Job& job = *found->second;
    job.mDurableState = flushed.mState;
    job.mDurableChange = flushed.mChange;
    if (Scheduling::HasEnded(flushed.mState)) {
      mState.mOpenJobs.erase(&job);
      Log(Level::Info,
          "coordinator",
          "job ended",
          { { "job", flushed.mJob.str() },
            { "state", std::string(Scheduling::StateText(flushed.mState)) },
            { "age_ms",
              std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(mContext.now() - job.mArrived)
                  .count()) } });
    }
  }
  handleWrittenWorkers(aWorkers);
  acknowledgeEnds();
  if (mFlushAllDone && mState.mDirtyJobs.empty()) {
    const auto done = std::move(mFlushAllDone);
    mFlushAllDone = nullptr;
    done();
    return;
  }
  schedulePlacement();
  scheduleFlush();
}

void
Coordinator::handleWrittenWorkers(const FlushedWorkers& aWorkers)
{
  // The record of a worker that ended meanwhile is in the store too, and is erased next.
  for (const WrittenWorker& written : aWorkers.mWritten) {
    Scheduling::Worker& worker = mState.mWorkers[mState.mWorkerIndex.at(written.mLifetime)];
    worker.mRecorded = true;
    worker.mSuspensionRecorded = written.mIsSuspended;
    worker.mSuspendedBefore = false;
    const bool wasSuspended = std::exchange(worker.mSuspensionMayBeRecorded, written.mIsSuspended);
    Peer* const peer = findPeer(worker.mAgent);
    if (wasSuspended && !written.mIsSuspended && peer != nullptr) {
      // The agent may extend leases again.
      sendDirective(*peer, {});
    }
  }
  for (const Scheduling::WorkerLifetime& lifetime : aWorkers.mErased) {
    Scheduling::Worker& worker = mState.mWorkers[mState.mWorkerIndex.at(lifetime)];
    worker.mMayBeRecorded = false;
    worker.mSuspensionMayBeRecorded = false;
    worker.mSuspendedBefore = false;
  }
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
  if (transaction.mErased.empty()) {
    return;
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
                            mRemovedJobs[id] = *aResult;
                          }
                        });
}

void
Coordinator::collectFences()
{
  const Timestamp now = mContext.now();
  if (now < mNextFenceCollection) {
    return;
  }
  const Duration retention = mContext.mTiming.mFenceRetention;
  mNextFenceCollection = now + std::min<Duration>(retention, kMaxFenceCollectionInterval);
  Store::Transaction transaction;
  transaction.mExpected.push_back(mElection.fencingCondition());
  for (const auto& [key, fence] : mFences) {
    if (now - fence.mSeenAt >= retention && transaction.mErased.size() < kMaxFencesPerWrite) {
      // A fence that was renewed meanwhile stays.
      transaction.mExpected.push_back({ key, fence.mVersion });
      transaction.mErased.push_back(key);
    }
  }
  if (transaction.mErased.empty()) {
    return;
  }
  mContext.mStore.write(transaction,
                        mContext.mTiming.mStoreCallTimeout,
                        [this, keys = transaction.mErased, generation = mCallGeneration](
                          const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
                          if (generation == mCallGeneration) {
                            handleErasedFences(keys, aResult);
                          }
                        });
}

void
Coordinator::handleErasedFences(const std::vector<std::string>& aKeys,
                                const tl::expected<Store::Version, Store::WriteFailure>& aResult)
{
  if (!aResult && aResult.error().mError != Store::StoreError::Conflict) {
    return;
  }
  std::map<std::string, Store::Version> present;
  if (!aResult) {
    for (const Store::Entry& entry : aResult.error().mActual) {
      present[entry.mKey] = entry.mVersion;
    }
  }
  for (const std::string& key : aKeys) {
    const auto found = present.find(key);
    if (found == present.end()) {
      mFences.erase(key);
    } else if (found->second != mFences[key].mVersion) {
      mFences[key] = { found->second, mContext.now() };
    }
  }
}

} // namespace Node
