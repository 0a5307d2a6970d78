#include <algorithm>

#include "Dispatch/Steps.h"

namespace Dispatch {

namespace {

constexpr Duration kNoAgentRetry = std::chrono::milliseconds(200);

const Attempt*
FindWithOutcome(const RequestState& aState, Common::Outcome aOutcome)
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

/// The outcome of all attempts together: `not-run` only if every one is known not to have run.
Common::Outcome
JointOutcome(const RequestState& aState)
{
  if (FindWithOutcome(aState, Common::Outcome::Ran)) {
    return Common::Outcome::Ran;
  }
  const bool unknown = !AllSettled(aState) || FindWithOutcome(aState, Common::Outcome::Unknown);
  return unknown ? Common::Outcome::Unknown : Common::Outcome::NotRun;
}

void
Answer(Step& aStep,
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
AnswerFromAttempts(Step& aStep)
{
  const RequestState& state = aStep.mState;
  const Common::Outcome outcome = JointOutcome(state);
  if (outcome != Common::Outcome::NotRun) {
    const Attempt* ran = FindWithOutcome(state, outcome);
    const bool isRan = outcome == Common::Outcome::Ran;
    Answer(aStep, outcome, isRan ? ran->mId : Common::RequestId(), Common::Refusal::None, {});
    return;
  }
  if (state.mAttempts.empty()) {
    Answer(aStep, outcome, {}, Common::Refusal::NoCapacity, kNoAgentRetry);
    return;
  }
  const Attempt& last = state.mAttempts.back();
  const Common::Refusal reason =
    last.mReason == Common::Refusal::None ? Common::Refusal::NoCapacity : last.mReason;
  Answer(aStep, outcome, {}, reason, std::max(last.mRetryAfter, kNoAgentRetry));
}

void
AnswerFromClaim(Step& aStep)
{
  const KeyClaimResult& claim = aStep.mState.mLastClaim;
  switch (claim.mState) {
    case KeyState::Finished:
      Answer(aStep, Common::Outcome::Ran, {}, Common::Refusal::None, {});
      return;
    case KeyState::Refused:
      Answer(aStep, Common::Outcome::NotRun, {}, claim.mReason, claim.mRetryAfter);
      return;
    case KeyState::Granted:
    case KeyState::InProgress:
    case KeyState::Unknown:
      Answer(aStep, Common::Outcome::Unknown, {}, Common::Refusal::None, claim.mRetryAfter);
      return;
  }
}

/// When the request is given up even if something about it is still open.
Timestamp
GiveUpAt(const Step& aStep)
{
  return aStep.mState.mSpec.mDeadline + aStep.mContext.mRules.mFollow;
}

void
WakeAt(Step& aStep, Timestamp aAt)
{
  RequestAction action;
  action.mKind = RequestActionKind::WakeAt;
  action.mWakeTime = aAt;
  aStep.mActions.push_back(std::move(action));
}

Timestamp
NextWake(const Step& aStep)
{
  const RequestState& state = aStep.mState;
  Timestamp next = GiveUpAt(aStep);
  if (!state.mAnswered) {
    next = std::min({ next, state.mSpec.mDeadline, state.mHedgeAt });
    if (state.mKey == KeyPhase::WaitsToClaim) {
      next = std::min(next, state.mClaimAt);
    }
  }
  for (const Attempt& attempt : state.mAttempts) {
    if (attempt.mPhase == AttemptPhase::WaitsToQuery) {
      next = std::min(next, attempt.mAskAt);
    }
  }
  if (state.mSettle == SettlePhase::WaitsToSend) {
    next = std::min(next, state.mSettleAt);
  }
  return next;
}

/// True if nothing that may still come can change the answer, the settlement or the counts.
bool
NothingOpen(const RequestState& aState)
{
  const bool callsEnded = std::all_of(aState.mAttempts.begin(),
                                      aState.mAttempts.end(),
                                      [](const Attempt& aAttempt) { return aAttempt.mCallEnded; });
  if (!aState.mSpec.mClaimsKey || aState.mKey == KeyPhase::Denied) {
    return callsEnded;
  }
  return callsEnded && aState.mSettle == SettlePhase::Acknowledged &&
         (aState.mSettled != Common::Outcome::Unknown || AllSettled(aState));
}

} // namespace

void
SendClaim(Step& aStep)
{
  RequestState& state = aStep.mState;
  state.mKey = KeyPhase::Claiming;
  RequestAction action;
  action.mKind = RequestActionKind::Claim;
  action.mId = SubmissionId(state.mSpec);
  action.mRemaining = state.mSpec.mDeadline - aStep.mNow;
  aStep.mActions.push_back(std::move(action));
}

void
ApplyClaim(Step& aStep, const ClaimReply& aReply)
{
  RequestState& state = aStep.mState;
  if (state.mKey != KeyPhase::Claiming || state.mAnswered) {
    return;
  }
  const bool answered = aReply.mDelivery == Delivery::Answered;
  state.mLastClaim = answered ? aReply.mResult : KeyClaimResult{};
  if (!answered || aReply.mResult.mState == KeyState::InProgress) {
    state.mKey = KeyPhase::WaitsToClaim;
    state.mClaimAt = aStep.mNow + NextBackoff(aStep, state.mClaimBackoff);
    return;
  }
  if (aReply.mResult.mState != KeyState::Granted) {
    state.mKey = KeyPhase::Denied;
    return;
  }
  state.mKey = KeyPhase::Granted;
  if (aStep.mNow < state.mSpec.mDeadline) {
    SendFirst(aStep);
  }
}

void
AnswerIfKnown(Step& aStep)
{
  const RequestState& state = aStep.mState;
  if (state.mAnswered) {
    return;
  }
  const bool late = aStep.mNow >= state.mSpec.mDeadline;
  const bool claiming = state.mKey == KeyPhase::Claiming || state.mKey == KeyPhase::WaitsToClaim;
  if (state.mKey == KeyPhase::Denied) {
    AnswerFromClaim(aStep);
  } else if (claiming) {
    // This submission sent nothing. If an earlier one holds the key, it may run.
    if (late && state.mLastClaim.mState == KeyState::InProgress) {
      AnswerFromClaim(aStep);
    } else if (late) {
      Answer(aStep, Common::Outcome::NotRun, {}, Common::Refusal::NotOwner, kNoAgentRetry);
    }
  } else if (late || AllSettled(state) || JointOutcome(state) == Common::Outcome::Ran) {
    AnswerFromAttempts(aStep);
  }
}

void
SettleIfNeeded(Step& aStep)
{
  RequestState& state = aStep.mState;
  if (!state.mSpec.mClaimsKey || !state.mAnswered || state.mKey == KeyPhase::Denied) {
    return;
  }
  const Common::Outcome outcome = JointOutcome(state);
  const bool first = state.mSettle == SettlePhase::Nothing;
  const bool changed = !first && state.mSettled != outcome;
  const bool due = state.mSettle == SettlePhase::WaitsToSend && aStep.mNow >= state.mSettleAt;
  if (!first && !changed && !due) {
    return;
  }
  state.mSettle = SettlePhase::Sent;
  state.mSettled = outcome;
  const Attempt* ran = FindWithOutcome(state, Common::Outcome::Ran);
  RequestAction action;
  action.mKind = RequestActionKind::Settle;
  action.mId = ran ? ran->mId : Common::RequestId();
  action.mOutcome = outcome;
  aStep.mActions.push_back(std::move(action));
}

void
CloseOrWake(Step& aStep)
{
  RequestState& state = aStep.mState;
  const bool givenUp = aStep.mNow >= GiveUpAt(aStep);
  if (!state.mAnswered || !(NothingOpen(state) || givenUp)) {
    WakeAt(aStep, NextWake(aStep));
    return;
  }
  for (Attempt& attempt : state.mAttempts) {
    EndCall(aStep, attempt);
  }
  state.mClosed = true;
  RequestAction action;
  action.mKind = RequestActionKind::Close;
  aStep.mActions.push_back(std::move(action));
}

} // namespace Dispatch
