#pragma once

#include <optional>
#include <string>
#include <utility>

#include "Node/JobApi.h"

/// State of the requests that the job API has not answered yet; for its source files only.
namespace Node {

/// Callers are asked to retry after this time while the store or the tables are unavailable. A
/// store needs some seconds to restart.
constexpr std::chrono::seconds kUnavailableRetryAfter{ 1 };

/// Responses are sent this long before the caller's timeout, so that they arrive in time.
constexpr std::chrono::milliseconds kResponseMargin{ 250 };

inline JobResponse
MakeUnavailable(std::string aDetail)
{
  JobResponse response;
  response.mKind = JobResponse::Kind::Unavailable;
  response.mRetryAfter = kUnavailableRetryAfter;
  response.mDetail = std::move(aDetail);
  return response;
}

inline JobResponse
MakeResponse(JobResponse::Kind aKind, std::string aDetail = {})
{
  JobResponse response;
  response.mKind = aKind;
  response.mDetail = std::move(aDetail);
  return response;
}

struct JobApi::OpenRequest
{
  ResponseCallback mOnResponse;
  Timestamp mArrivalTime;
  bool mWriteInProgress = false;
  /// A write was not answered and may still take effect.
  bool mMayTakeEffect = false;
  /// Of a submission, until the request is answered.
  std::shared_ptr<Submission> mSubmission;
};

struct JobApi::Submission
{
  explicit Submission(Context& aContext)
    : mTimer(aContext.mIo)
    , mSettlementTimer(aContext.mIo)
  {
  }
  Wire::JobRecord mRecord;
  Common::JobId mJob;
  std::shared_ptr<OpenRequest> mOpen;
  Timestamp mDeadline;
  /// Version of the job's fence on which the writes depend; 0 for a first attempt.
  Store::Version mFence;
  /// How and when the last write was sent; Way::None before the first one.
  Way mLastWay = Way::None;
  Timestamp mLastSent;
  /// End of the wait for the answer to a probe of the store.
  std::optional<Timestamp> mProbeEnd;
  /// The fence is being changed. The submission is not written any more.
  bool mSettling = false;
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mSettlementTimer;
};

} // namespace Node
