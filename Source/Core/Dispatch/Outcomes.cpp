#include <algorithm>

#include "Dispatch/RequestStep.h"

namespace Dispatch {

namespace {

// Suggested to the caller if nothing gives a longer time.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(200);

const Attempt*
FindSettledWith(const RequestState& aState, Common::Outcome aOutcome)
{
  const auto found =
    std::find_if(aState.mAttempts.begin(), aState.mAttempts.end(), [&](const Attempt& aAttempt) {
      return aAttempt.mPhase == AttemptPhase::Settled && aAttempt.mOutcome == aOutcome;
    });
  return found == aState.mAttempts.end() ? nullptr : &*found;
}

bool
AllSettled(const RequestState& aState)
{
  return std::all_of(aState.mAttempts.begin(), aState.mAttempts.end(), [](const Attempt& aAttempt) {
    return aAttempt.mPhase == AttemptPhase::Settled;
  });
}

/// Outcome of all attempts together: `not-run` only if each of them is known not to have run.
Common::Outcome
CombinedOutcome(const RequestState& aState)
{
  if (FindSettledWith(aState, Common::Outcome::Ran)) {
    return Common::Outcome::Ran;
  }
  const bool unknown = !AllSettled(aState) || FindSettledWith(aState, Common::Outcome::Unknown);
  return unknown ? Common::Outcome::Unknown : Common::Outcome::NotRun;
}

void
AnswerCaller(RequestStep& aStep,
             Common::Outcome aOutcome,
             const Common::RequestId& aId,
             Common::Refusal aReason,
             Duration aRetryAfter)
{
  aStep.mState.mAnswered = true;
  aStep.mState.mAnsweredOutcome = aOutcome;
  RequestAction action;
  action.mKind = RequestActionKind::Answer;
  action.mOutcome = aOutcome;
  action.mId = aId;
  action.mReason = aReason;
  action.mRemaining = aRetryAfter;
  aStep.mActions.push_back(std::move(action));
}

void
AnswerFromAttempts(RequestStep& aStep)
{
  const RequestState& state = aStep.mState;
  const Common::Outcome outcome = CombinedOutcome(state);
  if (outcome != Common::Outcome::NotRun) {
    const Attempt* settled = FindSettledWith(state, outcome);
    const bool hasRun = outcome == Common::Outcome::Ran;
    AnswerCaller(
      aStep, outcome, hasRun ? settled->mId : Common::RequestId(), Common::Refusal::None, {});
    return;
  }
  if (state.mAttempts.empty()) {
    AnswerCaller(aStep, outcome, {}, Common::Refusal::NoCapacity, kDefaultRetryAfter);
    return;
  }
  const Attempt& last = state.mAttempts.back();
  const Common::Refusal reason =
    last.mReason == Common::Refusal::None ? Common::Refusal::NoCapacity : last.mReason;
  AnswerCaller(aStep, outcome, {}, reason, std::max(last.mRetryAfter, kDefaultRetryAfter));
}

void
AnswerFromClaim(RequestStep& aStep)
{
  const KeyClaimResult& claim = aStep.mState.mLastClaimResult;
  switch (claim.mState) {
    case KeyState::Finished:
      AnswerCaller(aStep, Common::Outcome::Ran, {}, Common::Refusal::None, {});
      return;
    case KeyState::Refused:
      AnswerCaller(aStep, Common::Outcome::NotRun, {}, claim.mReason, claim.mRetryAfter);
      return;
    case KeyState::Granted:
    case KeyState::InProgress:
    case KeyState::Unknown:
      AnswerCaller(aStep, Common::Outcome::Unknown, {}, Common::Refusal::None, claim.mRetryAfter);
      return;
  }
}

/// Time at which the request is closed even if it is not complete.
Timestamp
FollowUntil(const RequestStep& aStep)
{
  return aStep.mState.mSpec.mDeadline + aStep.mContext.mRules.mFollowAfterDeadline;
}

void
RequestWakeUp(RequestStep& aStep, Timestamp aAt)
{
  RequestAction action;
  action.mKind = RequestActionKind::WakeAt;
  action.mWakeTime = aAt;
  aStep.mActions.push_back(std::move(action));
}

Timestamp
NextWakeTime(const RequestStep& aStep)
{
  const RequestState& state = aStep.mState;
  Timestamp next = FollowUntil(aStep);
  if (!state.mAnswered) {
    next = std::min({ next, state.mSpec.mDeadline, state.mHedgeAt });
    if (state.mKeyPhase == KeyClaimPhase::WaitingToClaim) {
      next = std::min(next, state.mNextClaimAt);
    }
  }
  for (const Attempt& attempt : state.mAttempts) {
    if (attempt.mPhase == AttemptPhase::WaitingToQuery) {
      next = std::min(next, attempt.mNextQueryAt);
    }
  }
  if (state.mSettlePhase == KeySettlePhase::WaitingToSend) {
    next = std::min(next, state.mNextSettleAt);
  }
  return next;
}

/// True if no further event can change the answer, the settled outcome or the requests in flight.
bool
IsComplete(const RequestState& aState)
{
  const bool callsEnded = std::all_of(aState.mAttempts.begin(),
                                      aState.mAttempts.end(),
                                      [](const Attempt& aAttempt) { return aAttempt.mCallEnded; });
  if (!aState.mSpec.mClaimsKey || aState.mKeyPhase == KeyClaimPhase::Denied) {
    return callsEnded;
  }
  return callsEnded && aState.mSettlePhase == KeySettlePhase::Acknowledged &&
         (aState.mSettledOutcome != Common::Outcome::Unknown || AllSettled(aState));
}

} // namespace

void
SendClaim(RequestStep& aStep)
{
  RequestState& state = aStep.mState;
  state.mKeyPhase = KeyClaimPhase::Claiming;
  RequestAction action;
  action.mKind = RequestActionKind::Claim;
  action.mId = SubmissionId(state.mSpec);
  action.mRemaining = state.mSpec.mDeadline - aStep.mNow;
  aStep.mActions.push_back(std::move(action));
}

void
ApplyClaimReply(RequestStep& aStep, const ClaimReply& aReply)
{
  RequestState& state = aStep.mState;
  if (state.mKeyPhase != KeyClaimPhase::Claiming || state.mAnswered) {
    return;
  }
  const bool answered = aReply.mDelivery == Delivery::Answered;
  state.mLastClaimResult = answered ? aReply.mResult : KeyClaimResult{};
  if (!answered || aReply.mResult.mState == KeyState::InProgress) {
    state.mKeyPhase = KeyClaimPhase::WaitingToClaim;
    state.mNextClaimAt = aStep.mNow + NextBackoff(aStep, state.mClaimBackoff);
    return;
  }
  if (aReply.mResult.mState != KeyState::Granted) {
    state.mKeyPhase = KeyClaimPhase::Denied;
    return;
  }
  state.mKeyPhase = KeyClaimPhase::Granted;
  if (aStep.mNow < state.mSpec.mDeadline) {
    SendFirstAttempt(aStep);
  }
}

void
AnswerIfKnown(RequestStep& aStep)
{
  const RequestState& state = aStep.mState;
  if (state.mAnswered) {
    return;
  }
  const bool deadlinePassed = aStep.mNow >= state.mSpec.mDeadline;
  const bool claiming =
    state.mKeyPhase == KeyClaimPhase::Claiming || state.mKeyPhase == KeyClaimPhase::WaitingToClaim;
  if (state.mKeyPhase == KeyClaimPhase::Denied) {
    AnswerFromClaim(aStep);
  } else if (claiming) {
    // This submission has sent nothing, but an earlier one that holds the key may run.
    if (deadlinePassed && state.mLastClaimResult.mState == KeyState::InProgress) {
      AnswerFromClaim(aStep);
    } else if (deadlinePassed) {
      AnswerCaller(
        aStep, Common::Outcome::NotRun, {}, Common::Refusal::NotOwner, kDefaultRetryAfter);
    }
  } else if (deadlinePassed || AllSettled(state) ||
             CombinedOutcome(state) == Common::Outcome::Ran) {
    AnswerFromAttempts(aStep);
  }
}

void
SettleIfNeeded(RequestStep& aStep)
{
  RequestState& state = aStep.mState;
  if (!state.mSpec.mClaimsKey || !state.mAnswered || state.mKeyPhase == KeyClaimPhase::Denied) {
    return;
  }
  const Common::Outcome outcome = CombinedOutcome(state);
  const bool first = state.mSettlePhase == KeySettlePhase::NotStarted;
  const bool changed = !first && state.mSettledOutcome != outcome;
  const bool due =
    state.mSettlePhase == KeySettlePhase::WaitingToSend && aStep.mNow >= state.mNextSettleAt;
  if (!first && !changed && !due) {
    return;
  }
  state.mSettlePhase = KeySettlePhase::Sent;
  state.mSettledOutcome = outcome;
  const Attempt* ran = FindSettledWith(state, Common::Outcome::Ran);
  RequestAction action;
  action.mKind = RequestActionKind::Settle;
  action.mId = ran ? ran->mId : Common::RequestId();
  action.mOutcome = outcome;
  aStep.mActions.push_back(std::move(action));
}

void
CloseOrWake(RequestStep& aStep)
{
  RequestState& state = aStep.mState;
  const bool expired = aStep.mNow >= FollowUntil(aStep);
  if (!state.mAnswered || !(IsComplete(state) || expired)) {
    RequestWakeUp(aStep, NextWakeTime(aStep));
    return;
  }
  for (Attempt& attempt : state.mAttempts) {
    EndExecuteCall(aStep, attempt);
  }
  state.mClosed = true;
  RequestAction action;
  action.mKind = RequestActionKind::Close;
  aStep.mActions.push_back(std::move(action));
}

} // namespace Dispatch
