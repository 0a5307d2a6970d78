#include <algorithm>

#include "Node/JobApi.h"
#include "Node/JobApiRequests.h"
#include "Node/StoreKeys.h"
#include "Node/WireConversion.h"
#include "Observability/Log.h"

namespace Node {

namespace {

using Kind = JobResponse::Kind;
using Observability::Level;
using Observability::Log;

/// A submission that the store rejects as unavailable is retried for this long.
constexpr std::chrono::milliseconds kRejectedRetryWindow{ 600 };
/// The settlement of a submission begins this long before the caller's deadline. A slow store
/// answers within 500 ms, and the latency between regions adds 60 ms.
constexpr std::chrono::milliseconds kSettlementTime{ 600 };
/// The fence is written again after this time without an answer, because the store may have begun
/// to answer meanwhile.
constexpr std::chrono::milliseconds kSettlementRepeat{ 200 };
/// Interval at which a submission of which nothing was written checks whether it can be written.
constexpr std::chrono::milliseconds kHoldCheckInterval{ 20 };
/// Least time between two probes of a silent store; each call of the store is priced.
constexpr std::chrono::milliseconds kProbeInterval{ 150 };
/// A probe without an answer for this long shows that the store is still silent.
constexpr std::chrono::milliseconds kProbeWait{ 250 };
/// The coordinator's process is taken to reach the store for this long after an answer through it.
constexpr std::chrono::milliseconds kRelayTrustTime{ 1'000 };

/// Version of the entry with the key; 0 if there is none.
Store::Version
VersionOf(const Store::WriteFailure& aFailure, const std::string& aKey)
{
  const auto found = std::find_if(aFailure.mActual.begin(),
                                  aFailure.mActual.end(),
                                  [&aKey](const auto& aEntry) { return aEntry.mKey == aKey; });
  return found == aFailure.mActual.end() ? Store::Version{ 0 } : found->mVersion;
}

} // namespace

void
JobApi::rejectInvalid(const Common::JobId& aJob,
                      const std::string& aReason,
                      const ResponseCallback& aRespond)
{
  Log(Level::Info,
      "entry",
      "submission answered",
      { { "job", aJob.str() }, { "answer", "invalid" }, { "detail", aReason } });
  aRespond(MakeResponse(Kind::Invalid, aReason));
}

void
JobApi::submit(const QueueRoute& aRoute,
               const Common::JobId& aJob,
               const JobRequest& aRequest,
               const std::shared_ptr<OpenRequest>& aOpen)
{
  const ResponseCallback respond = [this, aOpen](const JobResponse& aResponse) {
    answer(aOpen, aResponse);
  };
  auto spec = mContext.mFormats.mParseJob(aRequest.mBody);
  if (!spec) {
    rejectInvalid(aJob, spec.error(), respond);
    return;
  }
  spec->mJob = aJob;
  spec->mQueue = aRoute.mQueue.mName;
  spec->mAcceptedQueue = aRoute.mQueue;
  spec->mAccepted = mContext.mClock.unixNow();
  if (const auto problem = Scheduling::ValidateJob(*spec)) {
    rejectInvalid(aJob, *problem, respond);
    return;
  }
  if (!mStoreConnected && !mLink.isConnected()) {
    Log(Level::Info,
        "entry",
        "submission answered",
        { { "job", aJob.str() },
          { "queue", aRoute.mQueue.mName.str() },
          { "answer", std::string(ResponseKindText(Kind::Unavailable)) },
          { "tables", std::to_string(mTables->mRevision.value()) },
          { "detail", "the store does not answer this entry" } });
    respond(MakeUnavailable("the store does not answer"));
    return;
  }
  const auto submission = std::make_shared<Submission>(mContext);
  submission->mRecord = ToRecord(*spec);
  submission->mRecord.entry = mContext.mSettings.mInstance.str();
  submission->mJob = aJob;
  submission->mOpen = aOpen;
  aOpen->mSubmission = submission;
  submission->mDeadline = aOpen->mArrivalTime + aRequest.mTimeout - kResponseMargin;
  aOpen->mOnResponse = [this,
                        job = aJob,
                        queue = submission->mRecord.queue,
                        arrivalTime = aOpen->mArrivalTime,
                        onResponse = std::move(aOpen->mOnResponse)](const JobResponse& aResponse) {
    const auto took =
      std::chrono::duration_cast<std::chrono::milliseconds>(mContext.now() - arrivalTime);
    Log(Level::Info,
        "entry",
        "submission answered",
        { { "job", job.str() },
          { "queue", queue },
          { "answer", std::string(ResponseKindText(aResponse.mKind)) },
          { "tables", std::to_string(mTables->mRevision.value()) },
          { "took_ms", std::to_string(took.count()) },
          { "detail", aResponse.mDetail } });
    onResponse(aResponse);
  };
  // No coordinator is needed to accept a job: the next one finds it in the store.
  writeSubmission(submission);
}

void
JobApi::writeOrRelay(const std::shared_ptr<OpenRequest>& aOpen,
                     const Store::Transaction& aTransaction,
                     Way aWay,
                     Duration aTimeout,
                     const CoordinatorLink::WriteCallback& aDone)
{
  aOpen->mWriteInProgress = true;
  const auto finish =
    [this, aOpen, aDone](const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
      aOpen->mWriteInProgress = false;
      if (isOpen(aOpen)) {
        aDone(aResult);
      }
    };
  if (aWay == Way::Relay) {
    write(Way::Relay, aTransaction, aTimeout, finish);
    return;
  }
  write(Way::Store,
        aTransaction,
        aTimeout,
        [this, aTransaction, aTimeout, finish](
          const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
          if (aResult || aResult.error().mError != Store::StoreError::Unavailable) {
            finish(aResult);
            return;
          }
          write(Way::Relay, aTransaction, aTimeout, finish);
        });
}

void
JobApi::write(Way aWay,
              const Store::Transaction& aTransaction,
              Duration aTimeout,
              CoordinatorLink::WriteCallback aDone)
{
  const Timestamp sent = mContext.now();
  NoteCall(contactOf(aWay), sent);
  CoordinatorLink::WriteCallback done =
    [this, aWay, sent, done = std::move(aDone)](
      const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
      if (!aResult && aResult.error().mError == Store::StoreError::Unknown) {
        NoteTimeout(contactOf(aWay), sent);
      } else {
        NoteAnswer(contactOf(aWay), sent, mContext.now());
      }
      done(aResult);
    };
  if (aWay == Way::Relay) {
    mLink.write(aTransaction, aTimeout, std::move(done));
  } else {
    mContext.mStore.write(aTransaction, aTimeout, std::move(done));
  }
}

StoreContact&
JobApi::contactOf(Way aWay)
{
  return aWay == Way::Relay ? mRelayContact : mStoreContact;
}

bool
JobApi::canRelay() const
{
  // A coordinator in this process has the same connection to the store.
  return mLink.isConnected() && (!mStoreConnected || !mLink.isOwnProcess());
}

JobApi::Way
JobApi::chooseWay(const Submission& aSubmission) const
{
  if (!aSubmission.mOpen->mMayTakeEffect) {
    return chooseSafeWay();
  }
  // Repeating the write risks nothing more, so both ways are tried in turn.
  return aSubmission.mLastWay == Way::Store && canRelay() ? Way::Relay : Way::Store;
}

JobApi::Way
JobApi::chooseSafeWay() const
{
  const Timestamp now = mContext.now();
  if (mStoreConnected && StateOf(mStoreContact, now) == ContactState::Answers) {
    return Way::Store;
  }
  if (canRelay() && StateOf(mRelayContact, now) == ContactState::Answers &&
      now - mRelayContact.mLastAnswer < kRelayTrustTime) {
    return Way::Relay;
  }
  return Way::None;
}

bool
JobApi::isWorthWaiting(Submission& aSubmission)
{
  if (!mStoreConnected && !canRelay()) {
    return false;
  }
  const Timestamp now = mContext.now();
  const bool relays = canRelay();
  // The result of an open call will tell.
  const bool awaitsResult =
    (mStoreConnected && StateOf(mStoreContact, now) == ContactState::Suspected) ||
    (relays && StateOf(mRelayContact, now) == ContactState::Suspected);
  if (awaitsResult && !relays && mStoreContact.mTimeouts == 0) {
    return true;
  }
  if (!aSubmission.mProbeEnd) {
    if (now - mProbeSent >= kProbeInterval) {
      sendProbe();
    }
    aSubmission.mProbeEnd = mProbeSent + kProbeWait;
  }
  return awaitsResult || now < *aSubmission.mProbeEnd;
}

void
JobApi::sendProbe()
{
  mProbeSent = mContext.now();
  mContext.mCounters.counter("ibis_store_probes").add();
  // The key is one that the coordinator's process accepts to write.
  const std::string& instance = mContext.mSettings.mInstance.str();
  Store::Transaction transaction;
  transaction.mPuts = { { FenceKey(Common::JobId("probe-" + instance)), instance, std::nullopt } };
  const auto ignore = [](const tl::expected<Store::Version, Store::WriteFailure>&) {};
  if (mStoreConnected) {
    write(Way::Store, transaction, mContext.mTiming.mStoreCallTimeout, ignore);
  }
  if (canRelay()) {
    write(Way::Relay, transaction, mContext.mTiming.mStoreCallTimeout, ignore);
  }
}

Store::Transaction
JobApi::submissionWrite(const Submission& aSubmission) const
{
  Store::Transaction transaction;
  transaction.mExpected = { { SubmissionKey(aSubmission.mJob), Store::Version{ 0 } },
                            { CancelKey(aSubmission.mJob), Store::Version{ 0 } },
                            { FenceKey(aSubmission.mJob), aSubmission.mFence } };
  transaction.mPuts = {
    { SubmissionKey(aSubmission.mJob), Wire::Encode(aSubmission.mRecord), std::nullopt }
  };
  return transaction;
}

void
JobApi::writeSubmission(const std::shared_ptr<Submission>& aSubmission)
{
  if (!isOpen(aSubmission->mOpen) || aSubmission->mSettling) {
    return;
  }
  const Timestamp now = mContext.now();
  if (now >= aSubmission->mDeadline) {
    answer(aSubmission->mOpen,
           aSubmission->mOpen->mMayTakeEffect ? MakeResponse(Kind::Undecided)
                                              : MakeUnavailable("the store does not answer"));
    return;
  }
  const Way way = chooseWay(*aSubmission);
  if (way == Way::None) {
    // Nothing was written, so that the submission can be refused at any time.
    if (isWorthWaiting(*aSubmission)) {
      writeLater(aSubmission, kHoldCheckInterval);
    } else {
      answer(aSubmission->mOpen, MakeUnavailable("the store does not answer"));
    }
    return;
  }
  if (aSubmission->mLastWay == Way::None) {
    scheduleSettlement(aSubmission, aSubmission->mDeadline - kSettlementTime);
  }
  aSubmission->mLastWay = way;
  aSubmission->mLastSent = now;
  writeOrRelay(
    aSubmission->mOpen,
    submissionWrite(*aSubmission),
    way,
    std::min(mContext.mTiming.mStoreCallTimeout, aSubmission->mDeadline - now),
    [this, aSubmission](const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
      handleWriteResult(aSubmission, aResult);
    });
}

void
JobApi::handleWriteResult(const std::shared_ptr<Submission>& aSubmission,
                          const tl::expected<Store::Version, Store::WriteFailure>& aResult)
{
  if (aResult) {
    answer(aSubmission->mOpen, MakeResponse(Kind::Accepted));
    return;
  }
  const Store::WriteFailure& failure = aResult.error();
  switch (failure.mError) {
    case Store::StoreError::Conflict:
      handleConflict(aSubmission, failure);
      return;
    case Store::StoreError::TooLarge:
      answer(aSubmission->mOpen, MakeResponse(Kind::Invalid, "the job is too large for the store"));
      return;
    case Store::StoreError::Unknown:
      // The write is idempotent, so it is repeated until an answer tells whether it took effect. It
      // goes another way than before if there is one, which needs no delay.
      aSubmission->mOpen->mMayTakeEffect = true;
      writeLater(aSubmission,
                 chooseWay(*aSubmission) == aSubmission->mLastWay
                   ? mContext.mTiming.mStoreRetryDelay
                   : Duration{ 0 });
      return;
    case Store::StoreError::Unavailable:
    case Store::StoreError::LeaseLapsed:
      if (!aSubmission->mOpen->mMayTakeEffect &&
          (!mStoreConnected ||
           mContext.now() - aSubmission->mOpen->mArrivalTime >= kRejectedRetryWindow)) {
        answer(aSubmission->mOpen, MakeUnavailable("the store rejects calls"));
        return;
      }
      writeLater(aSubmission, mContext.mTiming.mStoreRetryDelay);
      return;
  }
}

void
JobApi::handleConflict(const std::shared_ptr<Submission>& aSubmission,
                       const Store::WriteFailure& aFailure)
{
  if (VersionOf(aFailure, SubmissionKey(aSubmission->mJob)).value() != 0) {
    // An earlier attempt of the caller or of this process was stored.
    answer(aSubmission->mOpen, MakeResponse(Kind::Accepted, "the job was already stored"));
    return;
  }
  if (VersionOf(aFailure, CancelKey(aSubmission->mJob)).value() != 0) {
    // A cancellation that arrived before the submission rejects it for good.
    answer(aSubmission->mOpen, MakeResponse(Kind::UnknownJob, "the job was cancelled"));
    return;
  }
  // An earlier attempt was refused. This one depends on the fence as it is now; so does the change
  // of the fence if this attempt is refused, too.
  const Store::Version fence = VersionOf(aFailure, FenceKey(aSubmission->mJob));
  const bool isNew = fence != aSubmission->mFence;
  aSubmission->mFence = fence;
  if (!aSubmission->mSettling) {
    writeLater(aSubmission, Duration{ 0 });
  } else if (isNew) {
    writeFence(aSubmission);
  }
}

void
JobApi::writeLater(const std::shared_ptr<Submission>& aSubmission, Duration aDelay)
{
  aSubmission->mTimer.expires_after(aDelay);
  aSubmission->mTimer.async_wait([this, aSubmission](boost::system::error_code aError) {
    if (!aError) {
      writeSubmission(aSubmission);
    }
  });
}

void
JobApi::scheduleSettlement(const std::shared_ptr<Submission>& aSubmission, Timestamp aTime)
{
  aSubmission->mSettlementTimer.expires_after(std::max(Duration{ 0 }, aTime - mContext.now()));
  // An answered request is not kept alive by its timer.
  aSubmission->mSettlementTimer.async_wait(
    [this, submission = std::weak_ptr(aSubmission)](boost::system::error_code aError) {
      const auto locked = submission.lock();
      if (!aError && locked && isOpen(locked->mOpen)) {
        settle(locked);
      }
    });
}

void
JobApi::settle(const std::shared_ptr<Submission>& aSubmission)
{
  const OpenRequest& open = *aSubmission->mOpen;
  const Timestamp now = mContext.now();
  if (now >= aSubmission->mDeadline) {
    answer(aSubmission->mOpen,
           open.mMayTakeEffect || open.mWriteInProgress
             ? MakeResponse(Kind::Undecided)
             : MakeUnavailable("the store does not answer"));
    return;
  }
  const bool overdue = open.mWriteInProgress && now - aSubmission->mLastSent >= kCallOverdue;
  if (open.mMayTakeEffect || overdue) {
    aSubmission->mSettling = true;
    writeFence(aSubmission);
  }
  scheduleSettlement(aSubmission, std::min(aSubmission->mDeadline, now + kSettlementRepeat));
}

void
JobApi::writeFence(const std::shared_ptr<Submission>& aSubmission)
{
  const Duration timeLeft = aSubmission->mDeadline - mContext.now();
  if (timeLeft <= Duration{ 0 }) {
    return;
  }
  Store::Transaction transaction;
  transaction.mExpected = { { SubmissionKey(aSubmission->mJob), Store::Version{ 0 } },
                            { FenceKey(aSubmission->mJob), aSubmission->mFence } };
  transaction.mPuts = {
    { FenceKey(aSubmission->mJob), mContext.mSettings.mInstance.str(), std::nullopt }
  };
  const auto done =
    [this, aSubmission](const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
      if (isOpen(aSubmission->mOpen)) {
        handleFenceResult(aSubmission, aResult);
      }
    };
  // The first answer settles the submission, whichever way it comes.
  write(Way::Store, transaction, timeLeft, done);
  if (canRelay()) {
    write(Way::Relay, transaction, timeLeft, done);
  }
}

void
JobApi::handleFenceResult(const std::shared_ptr<Submission>& aSubmission,
                          const tl::expected<Store::Version, Store::WriteFailure>& aResult)
{
  if (aResult) {
    mContext.mCounters.counter("ibis_submissions_fenced").add();
    answer(aSubmission->mOpen,
           MakeUnavailable("the store did not answer in time, and the submission was withdrawn"));
    return;
  }
  if (aResult.error().mError == Store::StoreError::Conflict) {
    handleConflict(aSubmission, aResult.error());
  }
  // Without an answer, the fence is written again before the deadline.
}

} // namespace Node
