#include "Dispatch/Replies.h"

namespace Dispatch {

namespace {

ReplyClass
ClassifyRefusal(Common::Refusal aReason)
{
  switch (aReason) {
    case Common::Refusal::Invalid:
      return ReplyClass::NotRunFinal;
    default:
      return ReplyClass::NotRunTryOtherAgent;
  }
}

} // namespace

ReplyClass
ClassifyReply(CallKind aKind, const CallResult& aResult, Common::Incarnation aTarget)
{
  const bool query = aKind == CallKind::QueryOutcome;
  if (aResult.mDelivery == Delivery::NotDelivered) {
    // An undelivered query says nothing about the request itself.
    return query ? ReplyClass::MayHaveRun : ReplyClass::NotRunTryOtherAgent;
  }
  if (aResult.mDelivery == Delivery::Lost) {
    return ReplyClass::MayHaveRun;
  }
  if (aResult.mIncarnation != aTarget) {
    const bool refused = aResult.mOutcome == Common::Outcome::NotRun &&
                         aResult.mReason == Common::Refusal::WrongIncarnation;
    return !query && refused ? ReplyClass::NotRunTryOtherAgent : ReplyClass::Unknown;
  }
  if (query && aResult.mInProgress) {
    return ReplyClass::InProgress;
  }
  switch (aResult.mOutcome) {
    case Common::Outcome::Ran:
      return ReplyClass::Ran;
    case Common::Outcome::NotRun:
      return ClassifyRefusal(aResult.mReason);
    case Common::Outcome::Unknown:
      break;
  }
  return ReplyClass::Unknown;
}

bool
IsExemptFromRetryBudget(const CallResult& aResult)
{
  return aResult.mDelivery == Delivery::NotDelivered ||
         aResult.mReason == Common::Refusal::Leaving ||
         aResult.mReason == Common::Refusal::WrongIncarnation;
}

} // namespace Dispatch
