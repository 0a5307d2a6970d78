#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "Common/Clock.h"
#include "Common/Outcome.h"
#include "Common/Random.h"
#include "Common/RequestName.h"
#include "Dispatch/Agents.h"
#include "Dispatch/IdempotencyKeys.h"
#include "Dispatch/Replies.h"
#include "Dispatch/RetryBudget.h"

namespace Dispatch {

/// Parameters of the dispatch decisions for a request.
struct DispatchRules
{
  AgentChoiceRules mChoice;
  std::uint32_t mMaxAttempts = 4;
  /// Time after which an idempotent request of a hedging route is sent to a second agent; 0
  /// disables hedging.
  Duration mHedgeDelay{ 0 };
  /// Wait before a query, a claim or a settlement is repeated; it doubles up to mMaxBackoff.
  Duration mInitialBackoff{ std::chrono::milliseconds(10) };
  Duration mMaxBackoff{ std::chrono::milliseconds(500) };
  /// How long other agents are preferred after a failed call or a refusal; a shorter retry time in
  /// the refusal is used instead.
  Duration mAvoidAgentFor{ std::chrono::seconds(1) };
  /// How long after the deadline queries and settlements of a request continue, so that its key is
  /// settled with the true outcome.
  Duration mFollowAfterDeadline{ std::chrono::seconds(30) };
};

/// The fixed properties of a request.
struct RequestSpec
{
  /// The attempt number is ignored.
  Common::RequestName mName;
  bool mIdempotent = false;
  /// The route allows hedging; has an effect only if mIdempotent.
  bool mMayHedge = false;
  /// The idempotency key is claimed before anything is sent. Only for routes that are not
  /// idempotent.
  bool mClaimsKey = false;
  Timestamp mDeadline;
};

/// State shared between requests that the decisions about one request read and change.
struct DispatchContext
{
  PoolView& mPool;
  RetryBudget& mBudget;
  const Location& mEntryLocation;
  const DispatchRules& mRules;
};

enum class AttemptPhase
{
  /// The `Execute` call is in progress.
  Sent,
  /// A `QueryOutcome` call is in progress.
  Querying,
  /// The next query is due at mNextQueryAt.
  WaitingToQuery,
  /// The outcome is final.
  Settled,
};

/// One `Execute` of a request on one agent. The outcome is valid once mPhase is Settled.
struct Attempt
{
  Common::RequestId mId;
  AgentChoice mAgent;
  AttemptPhase mPhase = AttemptPhase::Sent;
  Common::Outcome mOutcome = Common::Outcome::Unknown;
  Common::Refusal mReason = Common::Refusal::None;
  Duration mRetryAfter{ 0 };
  /// For NotRun: another agent might run the request.
  bool mMayTryOtherAgent = false;
  /// A retry needs no token, see IsExemptFromRetryBudget.
  bool mExemptFromBudget = false;
  /// The retry decision for this attempt has been made. It is made at most once, whether or not a
  /// retry was sent.
  bool mRetryDecided = false;
  /// The `Execute` call has ended and no longer counts as in flight.
  bool mCallEnded = false;
  Timestamp mNextQueryAt;
  Duration mQueryBackoff{ 0 };
};

enum class KeyClaimPhase
{
  NotNeeded,
  Claiming,
  WaitingToClaim,
  Granted,
  /// The claim failed, for example because an earlier submission settled the key: nothing may be
  /// sent.
  Denied,
};

enum class KeySettlePhase
{
  NotStarted,
  Sent,
  WaitingToSend,
  Acknowledged,
};

/// State of a request. mSpec is set by the adapter, everything else by StepRequest.
struct RequestState
{
  RequestSpec mSpec;
  std::vector<Attempt> mAttempts;
  KeyClaimPhase mKeyPhase = KeyClaimPhase::NotNeeded;
  KeyClaimResult mLastClaimResult;
  Timestamp mNextClaimAt;
  Duration mClaimBackoff{ 0 };
  KeySettlePhase mSettlePhase = KeySettlePhase::NotStarted;
  /// The outcome that was sent to the key owner last.
  Common::Outcome mSettledOutcome = Common::Outcome::Unknown;
  Timestamp mNextSettleAt;
  Duration mSettleBackoff{ 0 };
  /// When the hedge is due; max() if there is none.
  Timestamp mHedgeAt = Timestamp::max();
  bool mStarted = false;
  bool mAnswered = false;
  Common::Outcome mAnsweredOutcome = Common::Outcome::Unknown;
  bool mClosed = false;
};

/// Must be the first event of a request.
struct RequestArrived
{};

/// Result of a key claim. mResult is valid only if mDelivery is Answered.
struct ClaimReply
{
  Delivery mDelivery = Delivery::Lost;
  KeyClaimResult mResult;
};

/// Result of a settlement of the key.
struct SettleReply
{
  /// The outcome that was sent; distinguishes replies to earlier settlements.
  Common::Outcome mOutcome = Common::Outcome::Unknown;
  /// The owner replied, whether or not it still had the key.
  bool mAcknowledged = false;
};

/// Result of an `Execute` call. Ignored if mId is not that of an attempt.
struct ExecuteReply
{
  Common::RequestId mId;
  CallResult mResult;
};

/// Result of a `QueryOutcome` call. Ignored unless a query of that attempt is in progress.
struct QueryReply
{
  Common::RequestId mId;
  CallResult mResult;
};

/// The time of the latest WakeAt has been reached. An earlier Tick only returns another WakeAt.
struct Tick
{};

using RequestEvent =
  std::variant<RequestArrived, ClaimReply, SettleReply, ExecuteReply, QueryReply, Tick>;

enum class RequestActionKind
{
  /// Claim the key for the submission mId; pass the result back as ClaimReply.
  Claim,
  /// Call `Execute` on mAgent with mId and mRemaining, at most once. Pass ExecuteReply back in
  /// every case, at the latest shortly after the deadline.
  Send,
  /// Call `QueryOutcome` on mAgent for mId; pass the result back as QueryReply.
  Query,
  /// Answer the caller with mOutcome. For Ran the response is that of the reply to mId, or the one
  /// stored with the key if mId is empty. Issued at most once per request.
  Answer,
  /// Settle the key with mOutcome and, for Ran, the reply to mId; pass the result back as
  /// SettleReply.
  Settle,
  /// Pass a Tick at mWakeTime. Replaces an earlier WakeAt.
  WakeAt,
  /// The request is complete; its state may be deleted.
  Close,
};

/// An action that the adapter has to perform. Members that mKind does not name are unset.
struct RequestAction
{
  RequestActionKind mKind = RequestActionKind::WakeAt;
  Common::RequestId mId;
  AgentChoice mAgent;
  Common::Outcome mOutcome = Common::Outcome::Unknown;
  Common::Refusal mReason = Common::Refusal::None;
  /// For Send and Claim, the time until the deadline (for Send less the round trip to the agent);
  /// for Answer, the time after which the caller may retry.
  Duration mRemaining{ 0 };
  Timestamp mWakeTime;
};

using RequestActions = std::vector<RequestAction>;

/// Id of the submission (attempt 0), under which the key is claimed and settled.
Common::RequestId
SubmissionId(const RequestSpec& aSpec);

/// Applies one event and returns the actions for the adapter, in order. Returns none before
/// RequestArrived and after Close.
RequestActions
StepRequest(RequestState& aState,
            const RequestEvent& aEvent,
            DispatchContext& aContext,
            Timestamp aNow,
            Common::Random& aRandom);

} // namespace Dispatch
