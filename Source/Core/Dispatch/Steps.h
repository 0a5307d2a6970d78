#pragma once

#include "Dispatch/Request.h"

/// Parts of StepRequest.
namespace Dispatch {

/// One call of StepRequest under way.
struct Step
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
NextBackoff(Step& aStep, Duration& aBackoff);

void
SendClaim(Step& aStep);

void
ApplyClaim(Step& aStep, const ClaimReply& aReply);

/// Sends the first attempt. Without an agent to ask, no attempt is made and the answer is
/// `not-run`.
void
SendFirst(Step& aStep);

/// Sends a further attempt to an agent that was not asked yet. False if there is none.
bool
SendAnother(Step& aStep);

/// The `Execute` of the attempt has ended; counts it out of the agent's requests in flight.
void
EndCall(Step& aStep, Attempt& aAttempt);

void
ApplyResult(Step& aStep, Attempt& aAttempt, CallKind aKind, const CallResult& aResult);

/// Queries, claims, settlements and hedges whose time has come.
void
RunDueWork(Step& aStep);

void
RetryIfAllowed(Step& aStep);

/// Answers the caller once the outcome is known or the deadline has passed.
void
AnswerIfKnown(Step& aStep);

void
SettleIfNeeded(Step& aStep);

void
CloseOrWake(Step& aStep);

} // namespace Dispatch
