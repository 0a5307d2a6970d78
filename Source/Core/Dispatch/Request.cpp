#include "Dispatch/Request.h"

#include <algorithm>

#include "Dispatch/Steps.h"

namespace Dispatch {

namespace {

void
HandleEvent(Step& aStep, const RequestArrived& /*aEvent*/)
{
  RequestState& state = aStep.mState;
  if (state.mBegun) {
    return;
  }
  state.mBegun = true;
  if (state.mSpec.mClaimsKey) {
    SendClaim(aStep);
    return;
  }
  SendFirst(aStep);
}

void
HandleEvent(Step& aStep, const ClaimReply& aEvent)
{
  ApplyClaim(aStep, aEvent);
}

void
HandleEvent(Step& aStep, const SettleReply& aEvent)
{
  RequestState& state = aStep.mState;
  if (state.mSettle != SettlePhase::Sent || state.mSettled != aEvent.mOutcome) {
    return;
  }
  state.mSettle = aEvent.mAcknowledged ? SettlePhase::Acknowledged : SettlePhase::WaitsToSend;
  state.mSettleAt = aStep.mNow + NextBackoff(aStep, state.mSettleBackoff);
}

void
HandleEvent(Step& aStep, const ExecuteReply& aEvent)
{
  if (Attempt* attempt = FindAttempt(aStep.mState, aEvent.mId)) {
    EndCall(aStep, *attempt);
    if (attempt->mPhase == AttemptPhase::Sent) {
      ApplyResult(aStep, *attempt, CallKind::Execute, aEvent.mResult);
    }
  }
}

void
HandleEvent(Step& aStep, const QueryReply& aEvent)
{
  Attempt* attempt = FindAttempt(aStep.mState, aEvent.mId);
  if (attempt && attempt->mPhase == AttemptPhase::Querying) {
    ApplyResult(aStep, *attempt, CallKind::QueryOutcome, aEvent.mResult);
  }
}

void
HandleEvent(Step& /*aStep*/, const Tick& /*aEvent*/)
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
  Step step{ aState, aContext, aNow, aRandom, {} };
  std::visit([&](const auto& aEach) { HandleEvent(step, aEach); }, aEvent);
  if (!aState.mBegun || aState.mClosed) {
    return {};
  }
  RunDueWork(step);
  RetryIfAllowed(step);
  AnswerIfKnown(step);
  SettleIfNeeded(step);
  CloseOrWake(step);
  return std::move(step.mActions);
}

} // namespace Dispatch
