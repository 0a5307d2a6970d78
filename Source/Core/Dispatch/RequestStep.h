#pragma once

#include "Dispatch/Request.h"

/// Parts of StepRequest.
namespace Dispatch {

/// One call of StepRequest under way.
struct RequestStep
{
  RequestState& mState;
  DispatchContext& mContext;
  Timestamp mNow;
  Common::Random& mRandom;
  RequestActions mActions;
};

Attempt*
FindAttempt(RequestState& aState, const Common::RequestId& aId);

/// The next wait, with jitter; doubles aBackoff up to the bound.
Duration
NextBackoff(RequestStep& aStep, Duration& aBackoff);

void
SendClaim(RequestStep& aStep);

void
ApplyClaimReply(RequestStep& aStep, const ClaimReply& aReply);

/// Sends the first attempt. Without an agent to ask, no attempt is made and the answer is
/// `not-run`.
void
SendFirstAttempt(RequestStep& aStep);

/// Sends a further attempt to an agent that was not asked yet. False if there is none.
bool
SendNextAttempt(RequestStep& aStep);

/// The `Execute` of the attempt has ended; counts it out of the agent's requests in flight.
void
EndExecuteCall(RequestStep& aStep, Attempt& aAttempt);

void
ApplyCallResult(RequestStep& aStep, Attempt& aAttempt, CallKind aKind, const CallResult& aResult);

/// Queries, claims, settlements and hedges whose time has come.
void
RunDueActions(RequestStep& aStep);

void
RetryIfAllowed(RequestStep& aStep);

/// Answers the caller once the outcome is known or the deadline has passed.
void
AnswerIfKnown(RequestStep& aStep);

void
SettleIfNeeded(RequestStep& aStep);

void
CloseOrWake(RequestStep& aStep);

} // namespace Dispatch
