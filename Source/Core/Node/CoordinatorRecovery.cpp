#include "Node/Coordinator.h"

#include "Node/Convert.h"
#include "Node/Keys.h"
#include "Observability/Log.h"

namespace Node {

namespace {

using Observability::Level;
using Observability::Log;

/// The steps of a job for logs, for instance "4x500m 8x1800m gang"; the size is that of one task.
std::string
ShapeText(const Scheduling::JobSpec& aSpec)
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
Coordinator::readLater(void (Coordinator::*aRead)())
{
  mReadTimer.expires_after(mContext.mTimes.mStoreRetry);
  mReadTimer.async_wait([this, aRead, round = mRound](boost::system::error_code aError) {
    if (!aError && round == mRound) {
      (this->*aRead)();
    }
  });
}

void
Coordinator::readRecordsVersion()
{
  // Before the records, so that a write which takes effect after them is refused or read again.
  mContext.mStore.read(
    kRecordsKey,
    mContext.mTimes.mStoreCall,
    [this, round = mRound](const Store::Result<std::optional<Store::Entry>>& aEntry) {
      if (round != mRound) {
        return;
      }
      if (!aEntry) {
        readLater(&Coordinator::readRecordsVersion);
        return;
      }
      mRecordsVersion = *aEntry ? (*aEntry)->mVersion : Store::Version{ 0 };
      readWorkers();
    });
}

void
Coordinator::readWorkers()
{
  mContext.mStore.readPage(
    kWorkerPrefix,
    "",
    mContext.mTimes.mStoreCall,
    [this, round = mRound](Store::Result<Store::Page> aPage) {
      if (round != mRound) {
        return;
      }
      if (!aPage) {
        readLater(&Coordinator::readWorkers);
        return;
      }
      // The coordinator before this one may have granted until its own key lapsed.
      const double drift = 1.0 + mContext.mTimes.mClockDrift;
      const Timestamp leaseEnd = mBegan + mContext.mTimes.mTerm + mContext.mTimes.mStoreSilence +
                                 std::chrono::duration_cast<Duration>(maxGrant() * drift) +
                                 mContext.mTimes.mTermMargin;
      for (const Store::Entry& entry : aPage->mEntries) {
        if (const auto record = Wire::Decode<Wire::WorkerRecord>(entry.mValue)) {
          Scheduling::AddRecordedWorker(
            mState,
            FromWire(record->view, Common::DataCentreId(record->dataCentre)),
            Common::InstanceId(record->instance),
            leaseEnd);
        }
      }
      readModel();
    });
}

void
Coordinator::readModel()
{
  mContext.mStore.read(
    kModelKey,
    mContext.mTimes.mStoreCall,
    [this, round = mRound](const Store::Result<std::optional<Store::Entry>>& aEntry) {
      if (round != mRound) {
        return;
      }
      // Without it everything is learned anew, so a failure is no reason to wait.
      if (aEntry && *aEntry) {
        if (const auto record = Wire::Decode<Wire::ModelRecord>((*aEntry)->mValue)) {
          TakeLearned(mState, *record);
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
    mReadAfter,
    mContext.mTimes.mStoreCall,
    [this, round = mRound](Store::Result<Store::Page> aPage) {
      if (round != mRound) {
        return;
      }
      if (!aPage) {
        readLater(&Coordinator::readProgress);
        return;
      }
      for (const Store::Entry& entry : aPage->mEntries) {
        mReadAfter = entry.mKey;
        if (const auto record = Wire::Decode<Wire::ProgressRecord>(entry.mValue)) {
          mRecovered[Common::JobId(entry.mKey.substr(kProgressPrefix.size()))] =
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
  mJobs = std::make_unique<Watcher>(
    mContext,
    kJobPrefix,
    mContext.mTimes.mWatch,
    Watcher::Events{ [this](const std::vector<Store::Entry>& aEntries, Store::Version) {
                      takeJobSnapshot(aEntries);
                    },
                     [this](const Store::WatchResult& aResult) {
                       for (const Store::Entry& entry : aResult.mChanged) {
                         takeJobEntry(entry, false);
                       }
                       planSoon();
                     } });
  mJobs->start();
}

void
Coordinator::takeJobSnapshot(const std::vector<Store::Entry>& aEntries)
{
  const bool first = mPhase == Phase::Reading;
  for (const Store::Entry& entry : aEntries) {
    takeJobEntry(entry, first);
  }
  if (first) {
    beginWork();
  }
  planSoon();
}

void
Coordinator::takeJobEntry(const Store::Entry& aEntry, bool aRecovered)
{
  const auto key = ParseJobKey(aEntry.mKey);
  if (!key) {
    Log(Level::Warning,
        "coordinator",
        "skipped an entry that is not a job's",
        { { "key", aEntry.mKey } });
    return;
  }
  const auto now = mContext.both();
  if (key->mKind == JobKeyKind::Cancel) {
    const auto found = mState.mJobs.find(key->mJob);
    if (found == mState.mJobs.end()) {
      mCancelledEarly.insert(key->mJob);
    } else if (!Scheduling::HasEnded(found->second->mState)) {
      Log(Level::Info, "coordinator", "job cancelled", { { "job", key->mJob.str() } });
      Scheduling::CancelJob(mState, *found->second, now);
    }
    return;
  }
  if (mState.mJobs.contains(key->mJob)) {
    return;
  }
  const auto record = Wire::Decode<Wire::JobRecord>(aEntry.mValue);
  if (!record || record->job != key->mJob.str()) {
    Log(Level::Warning,
        "coordinator",
        "skipped a job that cannot be read",
        { { "key", aEntry.mKey } });
    return;
  }
  Scheduling::JobSpec spec = FromRecord(*record);
  if (const auto problem = Scheduling::ValidateJob(spec)) {
    Log(Level::Warning,
        "coordinator",
        "skipped a job that is not valid",
        { { "job", record->job }, { "reason", *problem } });
    return;
  }
  const auto progress = mRecovered.find(key->mJob);
  Scheduling::Job& job =
    Scheduling::AddJob(mState,
                       std::move(spec),
                       progress == mRecovered.end() ? nullptr : &progress->second,
                       aRecovered,
                       now);
  // Recovered jobs are counted in one line; there may be thousands.
  Log(aRecovered ? Level::Debug : Level::Info,
      "coordinator",
      "job accepted",
      { { "job", record->job },
        { "queue", record->queue },
        { "steps", ShapeText(job.mSpec) },
        { "version", std::to_string(aEntry.mVersion.value()) } });
  if (mCancelledEarly.contains(key->mJob)) {
    Scheduling::CancelJob(mState, job, now);
  }
}

void
Coordinator::beginWork()
{
  mPhase = Phase::Working;
  mRecovered.clear();
  Log(Level::Info,
      "coordinator",
      "recovered",
      { { "term", std::to_string(mTerm.value()) },
        { "jobs", std::to_string(mState.mJobs.size()) },
        { "open", std::to_string(mState.mOpenJobs.size()) },
        { "workers", std::to_string(mState.mWorkers.size()) } });
  const auto early = std::move(mEarly);
  mEarly.clear();
  for (const auto& [agent, report] : early) {
    apply(report.mReport, report.mTaken);
  }
}

} // namespace Node
