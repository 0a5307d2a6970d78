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

struct DispatchRules
{
  AgentChoiceRules mChoice;
  std::uint32_t mMaxAttempts = 4;
  /// Time after which an idempotent request of a hedging route is sent a second time; 0 never.
  Duration mHedgeDelay{ 0 };
  /// Wait before an outcome, a claim or a settlement is asked for again; it doubles up to the
  /// bound.
  Duration mInitialBackoff{ std::chrono::milliseconds(10) };
  Duration mMaxBackoff{ std::chrono::milliseconds(500) };
  /// How long other agents are preferred after a failed call or a refusal without a time.
  Duration mAvoidAgentFor{ std::chrono::seconds(1) };
  /// How long after the deadline a request with a key is followed, to settle the key truthfully.
  Duration mFollowAfterDeadline{ std::chrono::seconds(30) };
};

struct RequestSpec
{
  /// The attempt number is not used.
  Common::RequestName mName;
  bool mIdempotent = false;
  bool mMayHedge = false;
  /// Claim the idempotency key before anything is sent. Only for routes that are not idempotent.
  bool mClaimsKey = false;
  Timestamp mDeadline;
};

/// What the decisions about one request read and change besides its own state.
struct DispatchContext
{
  PoolView& mPool;
  RetryBudget& mBudget;
  const Location& mEntryLocation;
  const DispatchRules& mRules;
};

enum class AttemptPhase
{
  /// `Execute` is under way.
  Sent,
  /// `QueryOutcome` is under way.
  Querying,
  /// Waits until mNextQueryAt to query.
  WaitingToQuery,
  Settled,
};

struct Attempt
{
  Common::RequestId mId;
  AgentChoice mAgent;
  AttemptPhase mPhase = AttemptPhase::Sent;
  Common::Outcome mOutcome = Common::Outcome::Unknown;
  Common::Refusal mReason = Common::Refusal::None;
  Duration mRetryAfter{ 0 };
  bool mMayTryOtherAgent = false;
  bool mExemptFromBudget = false;
  /// The request has been tried again because of this attempt, or must not be.
  bool mRetryDecided = false;
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
  /// An earlier submission holds or settled the key: nothing may be sent.
  Denied,
};

enum class KeySettlePhase
{
  NotStarted,
  Sent,
  WaitingToSend,
  Acknowledged,
};

struct RequestState
{
  RequestSpec mSpec;
  std::vector<Attempt> mAttempts;
  KeyClaimPhase mKeyPhase = KeyClaimPhase::NotNeeded;
  KeyClaimResult mLastClaimResult;
  Timestamp mNextClaimAt;
  Duration mClaimBackoff{ 0 };
  KeySettlePhase mSettlePhase = KeySettlePhase::NotStarted;
  Common::Outcome mSettledOutcome = Common::Outcome::Unknown;
  Timestamp mNextSettleAt;
  Duration mSettleBackoff{ 0 };
  Timestamp mHedgeAt = Timestamp::max();
  bool mStarted = false;
  bool mAnswered = false;
  Common::Outcome mAnsweredOutcome = Common::Outcome::Unknown;
  bool mClosed = false;
};

/// The request has arrived; must be the first event.
struct RequestArrived
{};

/// Result of a key claim. mDelivery as for other calls.
struct ClaimReply
{
  Delivery mDelivery = Delivery::Lost;
  KeyClaimResult mResult;
};

struct SettleReply
{
  /// The outcome that was sent, so that the reply to an earlier settlement is told apart.
  Common::Outcome mOutcome = Common::Outcome::Unknown;
  /// The owner answered, whether or not it still knew the key.
  bool mAcknowledged = false;
};

/// Result of an `Execute`. Replies whose id is not that of an attempt are ignored.
struct ExecuteReply
{
  Common::RequestId mId;
  CallResult mResult;
};

struct QueryReply
{
  Common::RequestId mId;
  CallResult mResult;
};

/// The time of the last WakeAt has come; harmless at any other time.
struct Tick
{};

using RequestEvent =
  std::variant<RequestArrived, ClaimReply, SettleReply, ExecuteReply, QueryReply, Tick>;

enum class RequestActionKind
{
  /// Claim the key, feed ClaimReply back.
  Claim,
  /// Call `Execute` on mAgent with mId and mRemaining, at most once; feed ExecuteReply back, in
  /// every case and at the latest shortly after the deadline.
  Send,
  /// Call `QueryOutcome` on mAgent for mId, feed QueryReply back.
  Query,
  /// Tell the caller mOutcome. For Ran the body is that of mId's reply, or the claim's if mId is
  /// empty. At most once per request.
  Answer,
  /// Settle the key with mOutcome and, for Ran, the reply of mId; feed SettleReply back.
  Settle,
  /// Feed Tick in at mWakeTime. Replaces an earlier WakeAt.
  WakeAt,
  /// Nothing more will come of this request; the state may be dropped.
  Close,
};

struct RequestAction
{
  RequestActionKind mKind = RequestActionKind::WakeAt;
  Common::RequestId mId;
  AgentChoice mAgent;
  Common::Outcome mOutcome = Common::Outcome::Unknown;
  Common::Refusal mReason = Common::Refusal::None;
  /// For Send and Claim the time the request has left; for Answer when the caller may try again.
  Duration mRemaining{ 0 };
  Timestamp mWakeTime;
};

using RequestActions = std::vector<RequestAction>;

/// Id of the submission, under which a key is claimed and settled.
Common::RequestId
SubmissionId(const RequestSpec& aSpec);

/// Applies one event and returns what the adapter has to do, in order.
RequestActions
StepRequest(RequestState& aState,
            const RequestEvent& aEvent,
            DispatchContext& aContext,
            Timestamp aNow,
            Common::Random& aRandom);

} // namespace Dispatch
