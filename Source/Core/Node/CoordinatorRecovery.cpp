#include "Node/Coordinator.h"

#include <algorithm>
#include <utility>

#include "Node/StoreKeys.h"
#include "Node/WireConversion.h"
#include "Observability/Log.h"

namespace Node {

namespace {

using Observability::Level;
using Observability::Log;

/// Formats a job's steps for the log as task count x milli-cores per task and flags, for example
/// "4x500m 8x1800m gang". The flags have the names of the fields of Wire::StepSpec.
std::string
DescribeSteps(const Scheduling::JobSpec& aSpec)
{
  std::string text;
  for (const Scheduling::StepSpec& step : aSpec.mSteps) {
    text += (text.empty() ? "" : " ") + std::to_string(step.mTaskCount) + 'x' +
            std::to_string(step.mNeed.mCores.value()) + 'm';
    text += step.mGang ? " gang" : "";
    text += step.mLongRunning ? " lasting" : "";
    text += step.mBestEffort ? " fills" : "";
    text += step.mLabel.empty() ? "" : " label=" + step.mLabel;
  }
  return text + (aSpec.mRepeats > 0 ? " repeats=" + std::to_string(aSpec.mRepeats) : "");
}

} // namespace

void
Coordinator::retryRead(const std::string& aKey, void (Coordinator::*aStep)())
{
  Log(Level::Warning,
      "coordinator",
      "failed to read records",
      { { "term", std::to_string(mTerm.value()) },
        { "key", aKey },
        { "in_term_ms", std::to_string(millisecondsInTerm()) } });
  mReadRetryTimer.expires_after(mContext.mTiming.mStoreRetryDelay);
  mReadRetryTimer.async_wait(
    [this, aStep, generation = mCallGeneration](boost::system::error_code aError) {
      if (!aError && generation == mCallGeneration) {
        (this->*aStep)();
      }
    });
}

std::int64_t
Coordinator::millisecondsInTerm() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(mContext.now() - mTermStart).count();
}

void
Coordinator::readRecordsVersion()
{
  // The version is read before the records, so that a late write of an earlier coordinator is
  // either refused by the store or makes this term's first flush fail with a conflict.
  mContext.mStore.read(
    kRecordsKey,
    mContext.mTiming.mStoreCallTimeout,
    [this, generation = mCallGeneration](const Store::Result<std::optional<Store::Entry>>& aEntry) {
      if (generation != mCallGeneration) {
        return;
      }
      if (!aEntry) {
        retryRead(kRecordsKey, &Coordinator::readRecordsVersion);
        return;
      }
      mRecordsVersion = *aEntry ? (*aEntry)->mVersion : Store::Version{ 0 };
      if (*aEntry) {
        // Earlier versions wrote only the term, which cannot be decoded.
        if (const auto stamp = Wire::Decode<Wire::RecordsStamp>((*aEntry)->mValue)) {
          mElection.noteEarlierMayAct(*stamp);
        }
      }
      readWorkers();
    });
}

Timestamp
Coordinator::leaseEndAfter(Timestamp aLastExtension) const
{
  return ownLeaseEnd(aLastExtension) + mContext.mTiming.mLeaseSafetyMargin;
}

Timestamp
Coordinator::recordedLeaseEnd() const
{
  // This one extends leases of agents that report during the recovery.
  return leaseEndAfter(std::max(mTermStart, mElection.othersActUntil()));
}

void
Coordinator::watchPredecessor()
{
  if (!mElection.awaitedPredecessor()) {
    return;
  }
  mPredecessorWatcher = std::make_unique<PrefixWatcher>(
    mContext,
    kEndedKey,
    mContext.mTiming.mWatchWait,
    PrefixWatcher::Events{
      [this](const std::vector<Store::Entry>& aEntries, Store::Version) {
        handleEndedKey(aEntries);
      },
      [this](const Store::WatchResult& aResult) { handleEndedKey(aResult.mChanged); } });
  mPredecessorWatcher->start();
}

void
Coordinator::handleEndedKey(const std::vector<Store::Entry>& aEntries)
{
  const auto predecessor = mElection.awaitedPredecessor();
  const bool hasEnded =
    predecessor && std::any_of(aEntries.begin(), aEntries.end(), [&](const Store::Entry& aEntry) {
      return aEntry.mKey == kEndedKey && aEntry.mValue == std::to_string(*predecessor);
    });
  if (!hasEnded) {
    return;
  }
  const auto now = mContext.steadyAndUnixNow();
  const Timestamp earlier = recordedLeaseEnd();
  mElection.notePredecessorEnded();
  const Timestamp leaseEnd = recordedLeaseEnd();
  mPredecessorWatcher.reset();
  if (leaseEnd >= earlier) {
    // This coordinator itself may have extended leases since.
    return;
  }
  Scheduling::LimitAwaitedLeases(mState, leaseEnd, now);
  const auto milliseconds = [](Duration aTime) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
  };
  Log(Level::Info,
      "coordinator",
      "the earlier coordinator's process has ended; recorded workers are awaited for less time",
      { { "term", std::to_string(mTerm.value()) },
        { "awaited", std::to_string(Scheduling::RecordedWorkersAwaited(mState, now).mCount) },
        { "awaited_ms", milliseconds(leaseEnd - now.mMonotonic) },
        { "saved_ms", milliseconds(earlier - leaseEnd) } });
  // A coordinator that replaces this one soon needs to know.
  mStampOutdated = true;
  scheduleFlush();
}

bool
Coordinator::holdsSuspension(const Wire::WorkerRecord& aRecord) const
{
  // The last coordinator repeats the suspensions of the one before, unless it is of a version that
  // does not know them.
  return aRecord.__isset.suspendedTerm && aRecord.suspendedTerm == mTerm.value() - 1;
}

void
Coordinator::readWorkers()
{
  mContext.mStore.readPage(kWorkerPrefix,
                           mWorkerCursor,
                           mContext.mTiming.mStoreCallTimeout,
                           [this, generation = mCallGeneration](Store::Result<Store::Page> aPage) {
                             if (generation != mCallGeneration) {
                               return;
                             }
                             if (!aPage) {
                               retryRead(kWorkerPrefix, &Coordinator::readWorkers);
                               return;
                             }
                             // Earlier coordinators may have extended leases until they stopped to
                             // act.
                             const Timestamp leaseEnd = recordedLeaseEnd();
                             for (const Store::Entry& entry : aPage->mEntries) {
                               mWorkerCursor = entry.mKey;
                               if (const auto record =
                                     Wire::Decode<Wire::WorkerRecord>(entry.mValue)) {
                                 const bool isSuspended = holdsSuspension(*record);
                                 Scheduling::Worker& worker = Scheduling::AddRecordedWorker(
                                   mState,
                                   FromWire(record->view, Common::DataCentreId(record->dataCentre)),
                                   Common::InstanceId(record->instance),
                                   isSuspended ? leaseEndAfter(mTermStart) : leaseEnd);
                                 worker.mSuspendedBefore = isSuspended;
                               }
                             }
                             if (aPage->mMore && !aPage->mEntries.empty()) {
                               readWorkers();
                               return;
                             }
                             readModel();
                           });
}

void
Coordinator::readModel()
{
  mContext.mStore.read(
    kModelKey,
    mContext.mTiming.mStoreCallTimeout,
    [this, generation = mCallGeneration](const Store::Result<std::optional<Store::Entry>>& aEntry) {
      if (generation != mCallGeneration) {
        return;
      }
      // The model is optional: without it everything is learned anew, so a failed read is not
      // retried.
      if (aEntry && *aEntry) {
        if (const auto record = Wire::Decode<Wire::ModelRecord>((*aEntry)->mValue)) {
          RestoreModel(mState, *record);
        }
      }
      readProgress();
    });
}

void
Coordinator::readProgress()
{
  mContext.mStore.readPage(
    kProgressPrefix,
    mProgressCursor,
    mContext.mTiming.mStoreCallTimeout,
    [this, generation = mCallGeneration](Store::Result<Store::Page> aPage) {
      if (generation != mCallGeneration) {
        return;
      }
      if (!aPage) {
        retryRead(kProgressPrefix, &Coordinator::readProgress);
        return;
      }
      for (const Store::Entry& entry : aPage->mEntries) {
        mProgressCursor = entry.mKey;
        if (const auto record = Wire::Decode<Wire::ProgressRecord>(entry.mValue)) {
          mRecoveredProgress[Common::JobId(entry.mKey.substr(kProgressPrefix.size()))] =
            FromRecord(*record);
        }
      }
      if (aPage->mMore && !aPage->mEntries.empty()) {
        readProgress();
        return;
      }
      watchJobs();
    });
}

void
Coordinator::watchJobs()
{
  mJobWatcher = std::make_unique<PrefixWatcher>(
    mContext,
    kJobPrefix,
    mContext.mTiming.mWatchWait,
    PrefixWatcher::Events{ [this](const std::vector<Store::Entry>& aEntries, Store::Version aAt) {
                            handleJobSnapshot(aEntries, aAt);
                          },
                           [this](const Store::WatchResult& aResult) {
                             for (const Store::Entry& entry : aResult.mChanged) {
                               handleJobEntry(entry, false);
                             }
                             forgetRemovedJobs(aResult.mUpTo);
                             schedulePlacement();
                           } });
  mJobWatcher->start();
}

void
Coordinator::handleJobSnapshot(const std::vector<Store::Entry>& aEntries, Store::Version aAt)
{
  const bool first = mPhase == Phase::Recovering;
  if (first && !mElection.isLeaseValid()) {
    // The next coordinator may have started jobs that are newer than the progress read before.
    retryRead(kJobPrefix, &Coordinator::watchJobs);
    return;
  }
  for (const Store::Entry& entry : aEntries) {
    handleJobEntry(entry, first);
  }
  forgetRemovedJobs(aAt);
  if (first) {
    startWork();
  }
  schedulePlacement();
}

void
Coordinator::handleJobEntry(const Store::Entry& aEntry, bool aRecovered)
{
  countBytes("submissions", aEntry.mKey.size() + aEntry.mValue.size());
  const auto key = ParseJobKey(aEntry.mKey);
  if (!key) {
    Log(Level::Warning,
        "coordinator",
        "ignored an entry whose key is neither a submission nor a cancellation",
        { { "key", aEntry.mKey } });
    return;
  }
  if (key->mKind == JobKeyKind::Fence) {
    mFences[aEntry.mKey] = { aEntry.mVersion, mContext.now() };
    return;
  }
  const auto now = mContext.steadyAndUnixNow();
  if (key->mKind == JobKeyKind::Cancel) {
    const auto found = mState.mJobs.find(key->mJob);
    if (found == mState.mJobs.end()) {
      mCancelledBeforeSubmission.insert(key->mJob);
    } else if (!Scheduling::HasEnded(found->second->mState)) {
      Log(Level::Info, "coordinator", "job cancelled", { { "job", key->mJob.str() } });
      Scheduling::CancelJob(mState, *found->second, now);
    }
    return;
  }
  if (mState.mJobs.contains(key->mJob)) {
    return;
  }
  const auto removed = mRemovedJobs.find(key->mJob);
  if (removed != mRemovedJobs.end() && aEntry.mVersion < removed->second) {
    return;
  }
  if (!aRecovered && !mElection.isLeaseValid()) {
    mHeldSubmissions.push_back(aEntry);
    return;
  }
  const auto record = Wire::Decode<Wire::JobRecord>(aEntry.mValue);
  if (!record || record->job != key->mJob.str()) {
    Log(Level::Warning,
        "coordinator",
        "ignored a job that cannot be decoded",
        { { "key", aEntry.mKey } });
    return;
  }
  Scheduling::JobSpec spec = FromRecord(*record);
  if (const auto problem = Scheduling::ValidateJob(spec)) {
    Log(Level::Warning,
        "coordinator",
        "ignored an invalid job",
        { { "job", record->job }, { "reason", *problem } });
    return;
  }
  const auto progress = mRecoveredProgress.find(key->mJob);
  Scheduling::Job& job =
    Scheduling::AddJob(mState,
                       std::move(spec),
                       progress == mRecoveredProgress.end() ? nullptr : &progress->second,
                       aRecovered,
                       now);
  // Recovered jobs may be thousands; startWork() logs their number in one line.
  Log(aRecovered ? Level::Debug : Level::Info,
      "coordinator",
      "job accepted",
      { { "job", record->job },
        { "queue", record->queue },
        { "steps", DescribeSteps(job.mSpec) },
        { "version", std::to_string(aEntry.mVersion.value()) } });
  if (mCancelledBeforeSubmission.contains(key->mJob)) {
    Scheduling::CancelJob(mState, job, now);
  }
}

void
Coordinator::forgetRemovedJobs(Store::Version aUpTo)
{
  std::erase_if(mRemovedJobs, [aUpTo](const auto& aRemoved) { return aRemoved.second <= aUpTo; });
}

void
Coordinator::acceptHeldSubmissions()
{
  if (!mElection.isLeaseValid()) {
    return;
  }
  const auto submissions = std::exchange(mHeldSubmissions, {});
  for (const Store::Entry& entry : submissions) {
    handleJobEntry(entry, false);
  }
}

void
Coordinator::startWork()
{
  mPhase = Phase::Working;
  mRecoveredProgress.clear();
  // The last report of an agent may name fewer of its workers than the ones before.
  for (const auto& [agent, receivedAt] : std::exchange(mExtendedInRecovery, {})) {
    Scheduling::NoteExtendedLeases(mState, agent, ownLeaseEnd(receivedAt));
  }
  const auto early = std::move(mEarlyReports);
  mEarlyReports.clear();
  for (const auto& [agent, report] : early) {
    applyReport(report.mReport, report.mReceivedAt);
    if (findPeer(agent) == nullptr) {
      Scheduling::MarkAgentDisconnected(mState, agent);
    }
  }
  const auto withoutQueue =
    std::count_if(mState.mOpenJobs.begin(), mState.mOpenJobs.end(), [this](const auto* aJob) {
      return Scheduling::FindQueue(mState, *aJob) == nullptr;
    });
  const auto now = mContext.steadyAndUnixNow();
  const Scheduling::AwaitedWorkers awaited = Scheduling::RecordedWorkersAwaited(mState, now);
  const Duration awaitedTime =
    awaited.mCount == 0 ? Duration{ 0 } : Duration{ awaited.mLeaseEnd - now.mMonotonic };
  Log(Level::Info,
      "coordinator",
      "recovered",
      { { "term", std::to_string(mTerm.value()) },
        { "jobs", std::to_string(mState.mJobs.size()) },
        { "open", std::to_string(mState.mOpenJobs.size()) },
        { "without_queue", std::to_string(withoutQueue) },
        { "workers", std::to_string(mState.mWorkers.size()) },
        { "awaited", std::to_string(awaited.mCount) },
        { "awaited_ms",
          std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(awaitedTime).count()) },
        { "suspended", std::to_string(suspendedWorkers()) },
        { "in_term_ms", std::to_string(millisecondsInTerm()) } });
}

} // namespace Node
