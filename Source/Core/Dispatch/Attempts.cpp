#include <algorithm>

#include "Dispatch/RequestStep.h"

namespace Dispatch {

namespace {

// An attempt that leaves the agent less time than this is not sent.
constexpr Duration kMinTimeForAgent = std::chrono::milliseconds(1);

bool
MaySendAttempt(const RequestStep& aStep)
{
  return !aStep.mState.mAnswered && aStep.mNow < aStep.mState.mSpec.mDeadline &&
         aStep.mState.mKeyPhase != KeyClaimPhase::Denied;
}

void
SettleAttempt(Attempt& aAttempt,
              Common::Outcome aOutcome,
              const CallResult& aResult,
              bool aMayTryOtherAgent)
{
  aAttempt.mPhase = AttemptPhase::Settled;
  aAttempt.mOutcome = aOutcome;
  aAttempt.mReason = aResult.mReason;
  aAttempt.mRetryAfter = aResult.mRetryAfter;
  aAttempt.mMayTryOtherAgent = aMayTryOtherAgent;
  aAttempt.mExemptFromBudget = IsExemptFromRetryBudget(aResult);
}

void
ScheduleQuery(RequestStep& aStep, Attempt& aAttempt)
{
  aAttempt.mPhase = AttemptPhase::WaitingToQuery;
  aAttempt.mNextQueryAt = aStep.mNow + NextBackoff(aStep, aAttempt.mQueryBackoff);
}

void
SendQuery(RequestStep& aStep, Attempt& aAttempt)
{
  aAttempt.mPhase = AttemptPhase::Querying;
  RequestAction action;
  action.mKind = RequestActionKind::Query;
  action.mId = aAttempt.mId;
  action.mAgent = aAttempt.mAgent;
  aStep.mActions.push_back(std::move(action));
}

void
AvoidAgentOf(RequestStep& aStep, const Attempt& aAttempt, const CallResult& aResult)
{
  const DispatchRules& rules = aStep.mContext.mRules;
  const Duration wait = aResult.mRetryAfter.count() > 0
                          ? std::min(aResult.mRetryAfter, rules.mAvoidAgentFor)
                          : rules.mAvoidAgentFor;
  AvoidAgent(aStep.mContext.mPool, aAttempt.mAgent.mInstance, aStep.mNow + wait);
}

/// True if the attempt was refused and another agent may run the request, or if the request is
/// idempotent and the `Execute` call of the attempt ended without a definite outcome.
bool
WantsRetry(const RequestState& aState, const Attempt& aAttempt)
{
  if (aAttempt.mPhase == AttemptPhase::Settled && aAttempt.mOutcome == Common::Outcome::NotRun) {
    return aAttempt.mMayTryOtherAgent;
  }
  const bool noOutcome =
    aAttempt.mPhase == AttemptPhase::WaitingToQuery || aAttempt.mPhase == AttemptPhase::Querying ||
    (aAttempt.mPhase == AttemptPhase::Settled && aAttempt.mOutcome == Common::Outcome::Unknown);
  return aState.mSpec.mIdempotent && noOutcome;
}

/// True if any attempt other than aExcept has run or may still run.
bool
AnotherAttemptMayRun(const RequestState& aState, const Attempt& aExcept)
{
  return std::any_of(
    aState.mAttempts.begin(), aState.mAttempts.end(), [&](const Attempt& aAttempt) {
      return &aAttempt != &aExcept && !(aAttempt.mPhase == AttemptPhase::Settled &&
                                        aAttempt.mOutcome == Common::Outcome::NotRun);
    });
}

} // namespace

Attempt*
FindAttempt(RequestState& aState, const Common::RequestId& aId)
{
  const auto found = std::find_if(aState.mAttempts.begin(),
                                  aState.mAttempts.end(),
                                  [&](const Attempt& aAttempt) { return aAttempt.mId == aId; });
  return found == aState.mAttempts.end() ? nullptr : &*found;
}

Duration
NextBackoff(RequestStep& aStep, Duration& aBackoff)
{
  const DispatchRules& rules = aStep.mContext.mRules;
  aBackoff =
    aBackoff.count() == 0 ? rules.mInitialBackoff : std::min(2 * aBackoff, rules.mMaxBackoff);
  // Between half and all of the wait, so that waiting entries do not send at the same moment.
  const auto half = aBackoff.count() / 2;
  const auto jitter = aStep.mRandom.below(static_cast<std::uint64_t>(half) + 1);
  return Duration(half + static_cast<std::int64_t>(jitter));
}

void
SendFirstAttempt(RequestStep& aStep)
{
  const bool sent = SendNextAttempt(aStep);
  const RequestSpec& spec = aStep.mState.mSpec;
  const Duration hedgeDelay = aStep.mContext.mRules.mHedgeDelay;
  if (sent && spec.mIdempotent && spec.mMayHedge && hedgeDelay.count() > 0) {
    aStep.mState.mHedgeAt = aStep.mNow + hedgeDelay;
  }
}

bool
SendNextAttempt(RequestStep& aStep)
{
  RequestState& state = aStep.mState;
  const DispatchContext& context = aStep.mContext;
  const Duration remaining = state.mSpec.mDeadline - aStep.mNow;
  std::vector<Common::InstanceId> triedAgents;
  for (const Attempt& attempt : state.mAttempts) {
    triedAgents.push_back(attempt.mAgent.mInstance);
  }
  auto choice = ChooseAgent(context.mPool,
                            context.mEntryLocation,
                            triedAgents,
                            remaining,
                            context.mRules.mChoice,
                            aStep.mNow,
                            aStep.mRandom);
  if (!choice) {
    return false;
  }
  // The agent's deadline leaves time for the way back, so that a refusal at that deadline still
  // arrives in time.
  const Duration timeForAgent = remaining - 2 * choice->mOneWayDelay;
  if (timeForAgent < kMinTimeForAgent) {
    return false;
  }
  CountSentRequest(context.mPool, choice->mInstance, choice->mIncarnation);
  Common::RequestName name = state.mSpec.mName;
  name.mAttempt = static_cast<std::uint32_t>(state.mAttempts.size() + 1);
  Attempt attempt;
  attempt.mId = Common::FormatRequestId(name);
  attempt.mAgent = std::move(*choice);
  RequestAction action;
  action.mKind = RequestActionKind::Send;
  action.mId = attempt.mId;
  action.mAgent = attempt.mAgent;
  action.mRemaining = timeForAgent;
  aStep.mActions.push_back(std::move(action));
  state.mAttempts.push_back(std::move(attempt));
  return true;
}

void
EndExecuteCall(RequestStep& aStep, Attempt& aAttempt)
{
  if (!aAttempt.mCallEnded) {
    aAttempt.mCallEnded = true;
    CountEndedRequest(
      aStep.mContext.mPool, aAttempt.mAgent.mInstance, aAttempt.mAgent.mIncarnation);
  }
}

void
ApplyCallResult(RequestStep& aStep, Attempt& aAttempt, CallKind aKind, const CallResult& aResult)
{
  switch (ClassifyReply(aKind, aResult, aAttempt.mAgent.mIncarnation)) {
    case ReplyClass::Ran:
      SettleAttempt(aAttempt, Common::Outcome::Ran, aResult, false);
      AddSuccessTokens(aStep.mContext.mBudget);
      return;
    case ReplyClass::NotRunTryOtherAgent:
      SettleAttempt(aAttempt, Common::Outcome::NotRun, aResult, true);
      AvoidAgentOf(aStep, aAttempt, aResult);
      return;
    case ReplyClass::NotRunFinal:
      SettleAttempt(aAttempt, Common::Outcome::NotRun, aResult, false);
      return;
    case ReplyClass::MayHaveRun:
      if (aKind == CallKind::Execute) {
        AvoidAgentOf(aStep, aAttempt, aResult);
        SendQuery(aStep, aAttempt);
        return;
      }
      ScheduleQuery(aStep, aAttempt);
      return;
    case ReplyClass::InProgress:
      ScheduleQuery(aStep, aAttempt);
      return;
    case ReplyClass::Unknown:
      SettleAttempt(aAttempt, Common::Outcome::Unknown, aResult, false);
      return;
  }
}

void
RunDueActions(RequestStep& aStep)
{
  RequestState& state = aStep.mState;
  if (state.mKeyPhase == KeyClaimPhase::WaitingToClaim && aStep.mNow >= state.mNextClaimAt &&
      MaySendAttempt(aStep)) {
    SendClaim(aStep);
  }
  for (Attempt& attempt : state.mAttempts) {
    if (attempt.mPhase == AttemptPhase::WaitingToQuery && aStep.mNow >= attempt.mNextQueryAt) {
      SendQuery(aStep, attempt);
    }
  }
  if (aStep.mNow >= state.mHedgeAt) {
    state.mHedgeAt = Timestamp::max();
    const bool waiting =
      state.mAttempts.size() == 1 && state.mAttempts.front().mPhase == AttemptPhase::Sent;
    if (MaySendAttempt(aStep) && waiting && TakeRetryToken(aStep.mContext.mBudget, aStep.mNow)) {
      SendNextAttempt(aStep);
    }
  }
}

void
RetryIfAllowed(RequestStep& aStep)
{
  RequestState& state = aStep.mState;
  if (!MaySendAttempt(aStep)) {
    return;
  }
  // By index, because SendNextAttempt appends to mAttempts and invalidates iterators.
  const std::size_t count = state.mAttempts.size();
  for (std::size_t i = 0; i < count; ++i) {
    Attempt& attempt = state.mAttempts[i];
    if (attempt.mRetryDecided || !WantsRetry(state, attempt)) {
      continue;
    }
    attempt.mRetryDecided = true;
    const bool safe = state.mSpec.mIdempotent || !AnotherAttemptMayRun(state, attempt);
    const bool attemptsLeft = state.mAttempts.size() < aStep.mContext.mRules.mMaxAttempts;
    const bool exempt = attempt.mPhase == AttemptPhase::Settled &&
                        attempt.mOutcome == Common::Outcome::NotRun && attempt.mExemptFromBudget;
    if (safe && attemptsLeft && (exempt || TakeRetryToken(aStep.mContext.mBudget, aStep.mNow))) {
      SendNextAttempt(aStep);
    }
  }
}

} // namespace Dispatch
