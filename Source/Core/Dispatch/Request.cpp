#include "Dispatch/Request.h"

#include <algorithm>

#include "Dispatch/RequestStep.h"

namespace Dispatch {

namespace {

void
HandleEvent(RequestStep& aStep, const RequestArrived& /*aEvent*/)
{
  RequestState& state = aStep.mState;
  if (state.mStarted) {
    return;
  }
  state.mStarted = true;
  if (state.mSpec.mClaimsKey) {
    SendClaim(aStep);
    return;
  }
  SendFirstAttempt(aStep);
}

void
HandleEvent(RequestStep& aStep, const ClaimReply& aEvent)
{
  ApplyClaimReply(aStep, aEvent);
}

void
HandleEvent(RequestStep& aStep, const SettleReply& aEvent)
{
  RequestState& state = aStep.mState;
  if (state.mSettlePhase != KeySettlePhase::Sent || state.mSettledOutcome != aEvent.mOutcome) {
    return;
  }
  state.mSettlePhase =
    aEvent.mAcknowledged ? KeySettlePhase::Acknowledged : KeySettlePhase::WaitingToSend;
  state.mNextSettleAt = aStep.mNow + NextBackoff(aStep, state.mSettleBackoff);
}

void
HandleEvent(RequestStep& aStep, const ExecuteReply& aEvent)
{
  if (Attempt* attempt = FindAttempt(aStep.mState, aEvent.mId)) {
    EndExecuteCall(aStep, *attempt);
    if (attempt->mPhase == AttemptPhase::Sent) {
      ApplyCallResult(aStep, *attempt, CallKind::Execute, aEvent.mResult);
    }
  }
}

void
HandleEvent(RequestStep& aStep, const QueryReply& aEvent)
{
  Attempt* attempt = FindAttempt(aStep.mState, aEvent.mId);
  if (attempt && attempt->mPhase == AttemptPhase::Querying) {
    ApplyCallResult(aStep, *attempt, CallKind::QueryOutcome, aEvent.mResult);
  }
}

void
HandleEvent(RequestStep& /*aStep*/, const Tick& /*aEvent*/)
{
}

} // namespace

Common::RequestId
SubmissionId(const RequestSpec& aSpec)
{
  Common::RequestName name = aSpec.mName;
  name.mAttempt = 0;
  return Common::FormatRequestId(name);
}

RequestActions
StepRequest(RequestState& aState,
            const RequestEvent& aEvent,
            DispatchContext& aContext,
            Timestamp aNow,
            Common::Random& aRandom)
{
  RequestStep step{ aState, aContext, aNow, aRandom, {} };
  std::visit([&](const auto& aEach) { HandleEvent(step, aEach); }, aEvent);
  if (!aState.mStarted || aState.mClosed) {
    return {};
  }
  RunDueActions(step);
  RetryIfAllowed(step);
  AnswerIfKnown(step);
  SettleIfNeeded(step);
  CloseOrWake(step);
  return std::move(step.mActions);
}

} // namespace Dispatch
