#include "Node/CallerDesk.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Node/Convert.h"
#include "Node/Keys.h"
#include "Observability/Log.h"

namespace Node {

namespace {

using Kind = CallerAnswer::Kind;
using Observability::Level;
using Observability::Log;

/// Callers come back this soon when the store or the tables are missing; a store that restarts
/// takes seconds.
constexpr std::chrono::seconds kRetryUnavailable{ 1 };
/// An answer leaves this long before the caller stops waiting, so that it arrives.
constexpr std::chrono::milliseconds kAnswerMargin{ 250 };
/// A submission that the store turned away is tried again within this time.
constexpr std::chrono::milliseconds kRefusedFor{ 600 };

CallerAnswer
Unavailable(std::string aDetail)
{
  CallerAnswer answer;
  answer.mKind = Kind::Unavailable;
  answer.mRetryAfter = kRetryUnavailable;
  answer.mDetail = std::move(aDetail);
  return answer;
}

CallerAnswer
Simple(Kind aKind, std::string aDetail = {})
{
  CallerAnswer answer;
  answer.mKind = aKind;
  answer.mDetail = std::move(aDetail);
  return answer;
}

} // namespace

struct CallerDesk::Submission
{
  Submission(Context& aContext)
    : mTimer(aContext.mIo)
  {
  }
  Wire::JobRecord mRecord;
  Common::JobId mJob;
  Respond mRespond;
  Timestamp mArrived;
  Timestamp mDeadline;
  /// A write got no answer and may still take effect.
  bool mMayBeWritten = false;
  boost::asio::steady_timer mTimer;
};

CallerDesk::CallerDesk(Context& aContext, CoordinatorLink& aLink)
  : mContext(aContext)
  , mLink(aLink)
{
}

void
CallerDesk::answer(const CallerCall& aCall, Respond aRespond)
{
  const Timestamp arrived = mContext.now();
  handle(aCall, [this, arrived, respond = std::move(aRespond)](const CallerAnswer& aAnswer) {
    const std::string label = "answer=\"" + std::string(KindText(aAnswer.mKind)) + '"';
    mContext.mCounters.counter("ibis_caller_answers", label).add();
    mContext.mCounters.distribution("ibis_caller_answer_us")
      .record((mContext.now() - arrived).count());
    respond(aAnswer);
  });
}

void
CallerDesk::handle(const CallerCall& aCall, Respond aRespond)
{
  if (!mTables) {
    aRespond(Unavailable("the tables are not known yet"));
    return;
  }
  const QueueRoute* route = MatchRoute(*mTables, aCall.mHost, aCall.mPath);
  if (route == nullptr) {
    aRespond(Simple(Kind::NoRoute));
    return;
  }
  const std::string id = aCall.mPath.substr(route->mPrefix.size());
  if (id.empty() && aCall.mKind == CallerCall::Kind::Show) {
    showPending(route->mQueue.mName, std::move(aRespond));
    return;
  }
  if (aCall.mKind == CallerCall::Kind::Other) {
    aRespond(Simple(Kind::NotAllowed));
    return;
  }
  if (!mContext.mFormats.mIsJobId(id)) {
    aRespond(Simple(Kind::Invalid, "the id of a job is 16 hexadecimal digits"));
    return;
  }
  const Common::JobId job(id);
  switch (aCall.mKind) {
    case CallerCall::Kind::Submit:
      submit(*route, job, aCall, std::move(aRespond));
      return;
    case CallerCall::Kind::Show:
      show(job, std::move(aRespond));
      return;
    case CallerCall::Kind::Cancel:
      cancel(job, mContext.now() + aCall.mPatience - kAnswerMargin, std::move(aRespond));
      return;
    case CallerCall::Kind::Other:
      return;
  }
}

void
CallerDesk::refuseInvalid(const Common::JobId& aJob,
                          const std::string& aReason,
                          const Respond& aRespond)
{
  Log(Level::Info,
      "entry",
      "submission answered",
      { { "job", aJob.str() }, { "answer", "invalid" }, { "detail", aReason } });
  aRespond(Simple(Kind::Invalid, aReason));
}

void
CallerDesk::submit(const QueueRoute& aRoute,
                   const Common::JobId& aJob,
                   const CallerCall& aCall,
                   Respond aRespond)
{
  auto spec = mContext.mFormats.mReadJob(aCall.mBody);
  if (!spec) {
    refuseInvalid(aJob, spec.error(), aRespond);
    return;
  }
  spec->mJob = aJob;
  spec->mQueue = aRoute.mQueue.mName;
  spec->mAccepted = mContext.mClock.unixNow();
  if (const auto problem = Scheduling::ValidateJob(*spec)) {
    refuseInvalid(aJob, *problem, aRespond);
    return;
  }
  if (!mStoreConnected && !mLink.isConnected()) {
    Log(Level::Info,
        "entry",
        "submission answered",
        { { "job", aJob.str() },
          { "queue", aRoute.mQueue.mName.str() },
          { "answer", std::string(KindText(Kind::Unavailable)) },
          { "tables", std::to_string(mTables->mRevision.value()) },
          { "detail", "the store does not answer this entry" } });
    aRespond(Unavailable("the store does not answer"));
    return;
  }
  const auto submission = std::make_shared<Submission>(mContext);
  submission->mRecord = ToRecord(*spec);
  submission->mRecord.entry = mContext.mSettings.mInstance.str();
  submission->mJob = aJob;
  submission->mRespond = std::move(aRespond);
  submission->mArrived = mContext.now();
  submission->mDeadline = submission->mArrived + aCall.mPatience - kAnswerMargin;
  // Without a coordinator the job is taken in as well; whoever comes next finds it in the store.
  write(submission);
}

void
CallerDesk::writeAnyway(const Store::Transaction& aTransaction,
                        Duration aTimeout,
                        CoordinatorLink::Written aDone)
{
  if (!mStoreConnected) {
    mLink.write(aTransaction, aTimeout, std::move(aDone));
    return;
  }
  mContext.mStore.write(aTransaction,
                        aTimeout,
                        [this, aTransaction, aTimeout, done = std::move(aDone)](
                          const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
                          if (aResult || aResult.error().mError != Store::StoreError::Unavailable) {
                            done(aResult);
                            return;
                          }
                          mLink.write(aTransaction, aTimeout, done);
                        });
}

void
CallerDesk::write(const std::shared_ptr<Submission>& aSubmission)
{
  const Timestamp now = mContext.now();
  if (now >= aSubmission->mDeadline) {
    finish(aSubmission,
           aSubmission->mMayBeWritten ? Simple(Kind::Undecided)
                                      : Unavailable("the store does not answer"));
    return;
  }
  Store::Transaction transaction;
  transaction.mExpected = { { SubmissionKey(aSubmission->mJob), Store::Version{ 0 } },
                            { CancelKey(aSubmission->mJob), Store::Version{ 0 } } };
  transaction.mPuts = {
    { SubmissionKey(aSubmission->mJob), Wire::Encode(aSubmission->mRecord), std::nullopt }
  };
  writeAnyway(
    transaction,
    std::min(mContext.mTimes.mStoreCall, aSubmission->mDeadline - now),
    [this, aSubmission](const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
      takeWrite(aSubmission, aResult);
    });
}

void
CallerDesk::takeWrite(const std::shared_ptr<Submission>& aSubmission,
                      const tl::expected<Store::Version, Store::WriteFailure>& aResult)
{
  if (aResult) {
    finish(aSubmission, Simple(Kind::Accepted));
    return;
  }
  const Store::WriteFailure& failure = aResult.error();
  switch (failure.mError) {
    case Store::StoreError::Conflict: {
      const std::string key = SubmissionKey(aSubmission->mJob);
      for (const Store::Entry& entry : failure.mActual) {
        if (entry.mKey == key) {
          // An earlier attempt of the caller, or of this process, was stored.
          finish(aSubmission, Simple(Kind::Accepted, "stored before"));
          return;
        }
      }
      // Cancelled before it arrived; the cancel keeps it out for good.
      finish(aSubmission, Simple(Kind::Unknown, "the job was cancelled"));
      return;
    }
    case Store::StoreError::TooLarge:
      finish(aSubmission, Simple(Kind::Invalid, "the job is too large for the store"));
      return;
    case Store::StoreError::Unknown:
      // Only a later answer tells whether it took effect, and the same write is idempotent.
      aSubmission->mMayBeWritten = true;
      retryWrite(aSubmission);
      return;
    case Store::StoreError::Unavailable:
    case Store::StoreError::LeaseLapsed:
      if (!aSubmission->mMayBeWritten &&
          (!mStoreConnected || mContext.now() - aSubmission->mArrived >= kRefusedFor)) {
        finish(aSubmission, Unavailable("the store turns calls away"));
        return;
      }
      retryWrite(aSubmission);
      return;
  }
}

void
CallerDesk::retryWrite(const std::shared_ptr<Submission>& aSubmission)
{
  aSubmission->mTimer.expires_after(mContext.mTimes.mStoreRetry);
  aSubmission->mTimer.async_wait([this, aSubmission](boost::system::error_code aError) {
    if (!aError) {
      write(aSubmission);
    }
  });
}

void
CallerDesk::finish(const std::shared_ptr<Submission>& aSubmission, CallerAnswer aAnswer)
{
  const auto took =
    std::chrono::duration_cast<std::chrono::milliseconds>(mContext.now() - aSubmission->mArrived);
  Log(Level::Info,
      "entry",
      "submission answered",
      { { "job", aSubmission->mJob.str() },
        { "queue", aSubmission->mRecord.queue },
        { "answer", std::string(KindText(aAnswer.mKind)) },
        { "tables", std::to_string(mTables->mRevision.value()) },
        { "took_ms", std::to_string(took.count()) },
        { "detail", aAnswer.mDetail } });
  aSubmission->mRespond(std::move(aAnswer));
}

void
CallerDesk::show(const Common::JobId& aJob, Respond aRespond)
{
  mLink.ask(
    aJob,
    {},
    [this, aJob, respond = std::move(aRespond)](const std::optional<Wire::StatusReply>& aReply) {
      if (!aReply || !aReply->known) {
        showFromStore(aJob, respond);
        return;
      }
      CallerAnswer answer = Simple(Kind::State);
      answer.mState = static_cast<Scheduling::JobState>(aReply->state);
      respond(std::move(answer));
    });
}

void
CallerDesk::showFromStore(const Common::JobId& aJob, Respond aRespond)
{
  mContext.mStore.read(
    SubmissionKey(aJob),
    mContext.mTimes.mStoreCall,
    [this, aJob, respond = std::move(aRespond)](Store::Result<std::optional<Store::Entry>> aEntry) {
      if (!aEntry) {
        respond(Unavailable("the store does not answer"));
        return;
      }
      if (!*aEntry) {
        respond(Simple(Kind::Unknown));
        return;
      }
      mContext.mStore.read(ProgressKey(aJob),
                           mContext.mTimes.mStoreCall,
                           [respond](Store::Result<std::optional<Store::Entry>> aProgress) {
                             if (!aProgress) {
                               respond(Unavailable("the store does not answer"));
                               return;
                             }
                             CallerAnswer answer = Simple(Kind::State);
                             if (*aProgress) {
                               if (const auto record =
                                     Wire::Decode<Wire::ProgressRecord>((*aProgress)->mValue)) {
                                 answer.mState = static_cast<Scheduling::JobState>(record->state);
                               }
                             }
                             respond(std::move(answer));
                           });
    });
}

void
CallerDesk::showPending(const Common::RouteId& aQueue, Respond aRespond)
{
  mLink.ask(
    {}, aQueue, [respond = std::move(aRespond)](const std::optional<Wire::StatusReply>& aReply) {
      if (!aReply) {
        respond(Unavailable("no coordinator answers"));
        return;
      }
      CallerAnswer answer = Simple(Kind::Pending);
      answer.mPending = aReply->pending;
      respond(std::move(answer));
    });
}

void
CallerDesk::cancel(const Common::JobId& aJob, Timestamp aDeadline, Respond aRespond)
{
  if (!mStoreConnected) {
    // The condition of the write tells whether there is a submission.
    writeCancel(aJob, Store::Version{ 0 }, aDeadline, std::move(aRespond));
    return;
  }
  mContext.mStore.read(
    SubmissionKey(aJob),
    mContext.mTimes.mStoreCall,
    [this, aJob, aDeadline, respond = std::move(aRespond)](
      Store::Result<std::optional<Store::Entry>> aEntry) {
      if (!aEntry) {
        respond(Unavailable("the store does not answer"));
        return;
      }
      writeCancel(aJob, *aEntry ? (*aEntry)->mVersion : Store::Version{ 0 }, aDeadline, respond);
    });
}

void
CallerDesk::writeCancel(const Common::JobId& aJob,
                        Store::Version aSubmission,
                        Timestamp aDeadline,
                        Respond aRespond)
{
  const Timestamp now = mContext.now();
  if (now >= aDeadline) {
    aRespond(Simple(Kind::Undecided));
    return;
  }
  Wire::CancelRecord record;
  record.cancelledUnixMs = mContext.mClock.unixNow().count();
  record.entry = mContext.mSettings.mInstance.str();
  Store::Transaction transaction;
  transaction.mExpected = { { SubmissionKey(aJob), aSubmission },
                            { CancelKey(aJob), Store::Version{ 0 } } };
  transaction.mPuts = { { CancelKey(aJob), Wire::Encode(record), std::nullopt } };
  const bool known = aSubmission.value() != 0;
  writeAnyway(transaction,
              std::min(mContext.mTimes.mStoreCall, aDeadline - now),
              [this, aJob, aSubmission, aDeadline, known, respond = std::move(aRespond)](
                const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
                const CallerAnswer done = Simple(known ? Kind::Cancelled : Kind::Unknown);
                if (aResult) {
                  Log(Level::Info,
                      "entry",
                      "cancel written",
                      { { "job", aJob.str() }, { "known", known ? "yes" : "no" } });
                  respond(done);
                  return;
                }
                if (aResult.error().mError == Store::StoreError::Unavailable) {
                  respond(Unavailable("the store turns calls away"));
                  return;
                }
                if (aResult.error().mError == Store::StoreError::Conflict) {
                  Store::Version submission;
                  bool cancelled = false;
                  for (const Store::Entry& entry : aResult.error().mActual) {
                    cancelled = cancelled || entry.mKey == CancelKey(aJob);
                    submission = entry.mKey == SubmissionKey(aJob) ? entry.mVersion : submission;
                  }
                  if (cancelled) {
                    respond(Simple(submission.value() != 0 ? Kind::Cancelled : Kind::Unknown));
                    return;
                  }
                  // The submission arrived in between, or was not looked up.
                  writeCancel(aJob, submission, aDeadline, respond);
                  return;
                }
                // Without an answer the same write is tried again; it has an effect once.
                writeCancel(aJob, aSubmission, aDeadline, respond);
              });
}

} // namespace Node
