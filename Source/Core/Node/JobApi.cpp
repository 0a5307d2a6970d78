#include "Node/JobApi.h"

#include <algorithm>

#include "Node/JobApiRequests.h"
#include "Node/StoreKeys.h"
#include "Node/WireConversion.h"
#include "Observability/Log.h"

namespace Node {

namespace {

using Kind = JobResponse::Kind;
using Observability::Level;
using Observability::Log;

} // namespace

JobApi::JobApi(Context& aContext, CoordinatorLink& aLink)
  : mContext(aContext)
  , mLink(aLink)
  , mRejectTimer(aContext.mIo)
{
}

void
JobApi::handleRequest(const JobRequest& aRequest, ResponseCallback aRespond)
{
  const auto open = std::make_shared<OpenRequest>();
  open->mArrivalTime = mContext.now();
  open->mOnResponse = std::move(aRespond);
  mOpenRequests.insert(open);
  if (mRejectsNewRequests) {
    answer(open, MakeUnavailable("this process is stopping"));
    return;
  }
  dispatch(aRequest, open);
}

void
JobApi::rejectNewRequests(Timestamp aDeadline)
{
  mRejectsNewRequests = true;
  mRejectTimer.expires_after(std::max(Duration{ 0 }, aDeadline - mContext.now()));
  mRejectTimer.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    for (const auto& open : std::set<std::shared_ptr<OpenRequest>>(mOpenRequests)) {
      answer(open,
             open->mWriteInProgress || open->mMayTakeEffect
               ? MakeResponse(Kind::Undecided)
               : MakeUnavailable("this process is stopping"));
    }
  });
}

bool
JobApi::isOpen(const std::shared_ptr<OpenRequest>& aOpen) const
{
  return mOpenRequests.contains(aOpen);
}

void
JobApi::answer(const std::shared_ptr<OpenRequest>& aOpen, const JobResponse& aResponse)
{
  if (mOpenRequests.erase(aOpen) == 0) {
    return;
  }
  aOpen->mSubmission.reset();
  const std::string label = "answer=\"" + std::string(ResponseKindText(aResponse.mKind)) + '"';
  mContext.mCounters.counter("ibis_caller_answers", label).add();
  mContext.mCounters.distribution("ibis_caller_answer_us")
    .record((mContext.now() - aOpen->mArrivalTime).count());
  aOpen->mOnResponse(aResponse);
}

void
JobApi::dispatch(const JobRequest& aRequest, const std::shared_ptr<OpenRequest>& aOpen)
{
  const ResponseCallback respond = [this, aOpen](const JobResponse& aResponse) {
    answer(aOpen, aResponse);
  };
  if (!mTables) {
    respond(MakeUnavailable("the queue tables are not known yet"));
    return;
  }
  const QueueRoute* route = MatchRoute(*mTables, aRequest.mHost, aRequest.mPath);
  if (route == nullptr) {
    respond(MakeResponse(Kind::NoRoute));
    return;
  }
  const std::string id = aRequest.mPath.substr(route->mPathPrefix.size());
  if (id.empty() && aRequest.mKind == JobRequest::Kind::Show) {
    showPending(route->mQueue.mName, respond);
    return;
  }
  if (aRequest.mKind == JobRequest::Kind::Unsupported) {
    respond(MakeResponse(Kind::NotAllowed));
    return;
  }
  if (!mContext.mFormats.mIsJobId(id)) {
    respond(MakeResponse(Kind::Invalid, "the id of a job is 16 hexadecimal digits"));
    return;
  }
  const Common::JobId job(id);
  switch (aRequest.mKind) {
    case JobRequest::Kind::Submit:
      submit(*route, job, aRequest, aOpen);
      return;
    case JobRequest::Kind::Show:
      showJob(job, respond);
      return;
    case JobRequest::Kind::Cancel:
      cancel(job, mContext.now() + aRequest.mTimeout - kResponseMargin, aOpen);
      return;
    case JobRequest::Kind::Unsupported:
      return;
  }
}

void
JobApi::showJob(const Common::JobId& aJob, ResponseCallback aRespond)
{
  mLink.queryStatus(
    aJob,
    {},
    [this, aJob, respond = std::move(aRespond)](const std::optional<Wire::StatusReply>& aReply) {
      if (!aReply || !aReply->known) {
        showJobFromStore(aJob, respond);
        return;
      }
      JobResponse response = MakeResponse(Kind::State);
      response.mState = static_cast<Scheduling::JobState>(aReply->state);
      respond(std::move(response));
    });
}

void
JobApi::showJobFromStore(const Common::JobId& aJob, ResponseCallback aRespond)
{
  mContext.mStore.read(
    SubmissionKey(aJob),
    mContext.mTiming.mStoreCallTimeout,
    [this, aJob, respond = std::move(aRespond)](Store::Result<std::optional<Store::Entry>> aEntry) {
      if (!aEntry) {
        respond(MakeUnavailable("the store does not answer"));
        return;
      }
      if (!*aEntry) {
        respond(MakeResponse(Kind::UnknownJob));
        return;
      }
      mContext.mStore.read(ProgressKey(aJob),
                           mContext.mTiming.mStoreCallTimeout,
                           [respond](Store::Result<std::optional<Store::Entry>> aProgress) {
                             if (!aProgress) {
                               respond(MakeUnavailable("the store does not answer"));
                               return;
                             }
                             JobResponse response = MakeResponse(Kind::State);
                             if (*aProgress) {
                               if (const auto record =
                                     Wire::Decode<Wire::ProgressRecord>((*aProgress)->mValue)) {
                                 response.mState = static_cast<Scheduling::JobState>(record->state);
                               }
                             }
                             respond(std::move(response));
                           });
    });
}

void
JobApi::showPending(const Common::RouteId& aQueue, ResponseCallback aRespond)
{
  mLink.queryStatus(
    {}, aQueue, [respond = std::move(aRespond)](const std::optional<Wire::StatusReply>& aReply) {
      if (!aReply) {
        respond(MakeUnavailable("no coordinator answers"));
        return;
      }
      JobResponse response = MakeResponse(Kind::Pending);
      response.mPendingJobs = aReply->pending;
      respond(std::move(response));
    });
}

void
JobApi::cancel(const Common::JobId& aJob,
               Timestamp aDeadline,
               const std::shared_ptr<OpenRequest>& aOpen)
{
  if (!mStoreConnected) {
    // If there is a submission, the write fails with a conflict that contains its version.
    writeCancellation(aJob, Store::Version{ 0 }, aDeadline, aOpen);
    return;
  }
  mContext.mStore.read(
    SubmissionKey(aJob),
    mContext.mTiming.mStoreCallTimeout,
    [this, aJob, aDeadline, aOpen](Store::Result<std::optional<Store::Entry>> aEntry) {
      if (!aEntry) {
        answer(aOpen, MakeUnavailable("the store does not answer"));
        return;
      }
      writeCancellation(
        aJob, *aEntry ? (*aEntry)->mVersion : Store::Version{ 0 }, aDeadline, aOpen);
    });
}

void
JobApi::writeCancellation(const Common::JobId& aJob,
                          Store::Version aSubmission,
                          Timestamp aDeadline,
                          const std::shared_ptr<OpenRequest>& aOpen)
{
  if (!isOpen(aOpen)) {
    return;
  }
  const Timestamp now = mContext.now();
  if (now >= aDeadline) {
    answer(aOpen, MakeResponse(Kind::Undecided));
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
  writeOrRelay(
    aOpen,
    transaction,
    mStoreConnected ? Way::Store : Way::Relay,
    std::min(mContext.mTiming.mStoreCallTimeout, aDeadline - now),
    [this, aJob, aSubmission, aDeadline, known, aOpen](
      const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
      const JobResponse writtenResponse = MakeResponse(known ? Kind::Cancelled : Kind::UnknownJob);
      if (aResult) {
        Log(Level::Info,
            "entry",
            "cancel written",
            { { "job", aJob.str() }, { "known", known ? "yes" : "no" } });
        answer(aOpen, writtenResponse);
        return;
      }
      if (aResult.error().mError == Store::StoreError::Unavailable) {
        answer(aOpen,
               aOpen->mMayTakeEffect ? MakeResponse(Kind::Undecided)
                                     : MakeUnavailable("the store rejects calls"));
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
          answer(aOpen, MakeResponse(submission.value() != 0 ? Kind::Cancelled : Kind::UnknownJob));
          return;
        }
        // The submission arrived after the lookup, or there was no lookup.
        writeCancellation(aJob, submission, aDeadline, aOpen);
        return;
      }
      // No answer came. The write is idempotent, so it is repeated.
      aOpen->mMayTakeEffect = true;
      writeCancellation(aJob, aSubmission, aDeadline, aOpen);
    });
}

} // namespace Node
