#pragma once

#include "Dispatch/Request.h"

/// The parts of StepRequest; not used outside this library.
namespace Dispatch {

/// Arguments and resulting actions of one call of StepRequest.
struct RequestStep
{
  RequestState& mState;
  DispatchContext& mContext;
  Timestamp mNow;
  Common::Random& mRandom;
  RequestActions mActions;
};

/// Returns nullptr if there is no such attempt.
Attempt*
FindAttempt(RequestState& aState, const Common::RequestId& aId);

/// Doubles aBackoff up to the maximum and returns the next wait, with jitter.
Duration
NextBackoff(RequestStep& aStep, Duration& aBackoff);

/// Claims the idempotency key for the time until the deadline.
void
SendClaim(RequestStep& aStep);

/// Sends the first attempt if the key was granted, or schedules another claim. Ignored unless a
/// claim is in progress.
void
ApplyClaimReply(RequestStep& aStep, const ClaimReply& aReply);

/// Sends the first attempt and schedules the hedge. If no agent is available, no attempt is made
/// and the outcome is `not-run`.
void
SendFirstAttempt(RequestStep& aStep);

/// Sends an attempt to an agent that has not been tried. Returns false if there is none, or if the
/// remaining time is too short.
bool
SendNextAttempt(RequestStep& aStep);

/// Marks the `Execute` call of the attempt as ended and no longer in flight.
void
EndExecuteCall(RequestStep& aStep, Attempt& aAttempt);

/// Settles the attempt or queries its outcome, according to the result of the call.
void
ApplyCallResult(RequestStep& aStep, Attempt& aAttempt, CallKind aKind, const CallResult& aResult);

/// Sends the claims, queries and hedges that are due. SettleIfNeeded sends settlements.
void
RunDueActions(RequestStep& aStep);

/// Sends a further attempt for each attempt that was refused or, if the request is idempotent,
/// whose call ended without a definite outcome. The number of attempts and the retry budget limit
/// this.
void
RetryIfAllowed(RequestStep& aStep);

/// Answers the caller once the outcome is known or the deadline has been reached.
void
AnswerIfKnown(RequestStep& aStep);

/// Settles the key after the answer, again if the outcome has changed since, and repeats a
/// settlement that was not acknowledged.
void
SettleIfNeeded(RequestStep& aStep);

/// Closes an answered request that is complete or whose mFollowAfterDeadline has passed; otherwise
/// requests the next wake-up.
void
CloseOrWake(RequestStep& aStep);

} // namespace Dispatch
