#pragma once

#include "Common/Clock.h"
#include "Common/Outcome.h"
#include "Common/Units.h"

namespace Dispatch {

/// How far a call got.
enum class Delivery
{
  /// The call failed before any byte was sent, for example because the connection was refused.
  NotDelivered,
  /// At least part of the call was sent, but no complete reply arrived.
  Lost,
  /// A complete reply arrived.
  Answered,
};

/// Result of an `Execute` or `QueryOutcome` call. The other members are valid only if mDelivery is
/// Answered.
struct CallResult
{
  Delivery mDelivery = Delivery::Lost;
  Common::Outcome mOutcome = Common::Outcome::Unknown;
  Common::Refusal mReason = Common::Refusal::None;
  /// Incarnation of the agent that replied.
  Common::Incarnation mIncarnation;
  /// Only for `QueryOutcome`: the request is queued or running and has no outcome yet.
  bool mInProgress = false;
  /// Suggested by the agent with a refusal; 0 if none.
  Common::Duration mRetryAfter{ 0 };
};

enum class CallKind
{
  Execute,
  QueryOutcome,
};

/// What the result of a call says about an attempt.
enum class ReplyClass
{
  /// It ran; the reply holds the response.
  Ran,
  /// It did not run and never will; another agent may be tried.
  NotRunTryOtherAgent,
  /// It did not run, and every other agent would refuse it too.
  NotRunFinal,
  /// It may have run: the same incarnation must be queried.
  MayHaveRun,
  /// It is queued or running: the same incarnation must be queried again later.
  InProgress,
  /// It may have run, and no later query can tell.
  Unknown,
};

/// Classifies the result of a call for an attempt that was sent to the incarnation aTarget. Only
/// the target can give a definite outcome, except that another incarnation may refuse an `Execute`
/// that reached it instead.
ReplyClass
ClassifyReply(CallKind aKind, const CallResult& aResult, Common::Incarnation aTarget);

/// True if the attempt failed because of the agent's state (not reachable, leaving or
/// restarted) rather than its load. A retry then adds no work to an overloaded pool and needs no
/// token of the retry budget.
bool
IsExemptFromRetryBudget(const CallResult& aResult);

} // namespace Dispatch
