#pragma once

#include "Common/Clock.h"
#include "Common/Outcome.h"
#include "Common/Units.h"

namespace Dispatch {

enum class Delivery
{
  /// The call failed before any byte of it was sent, as when the connection is refused.
  NotDelivered,
  /// The call was sent, at least in part, and no whole answer came back.
  Lost,
  /// A whole answer came back.
  Answered,
};

/// Result of one `Execute` or `QueryOutcome`. All but mDelivery count only if it is Answered.
struct CallResult
{
  Delivery mDelivery = Delivery::Lost;
  Common::Outcome mOutcome = Common::Outcome::Unknown;
  Common::Refusal mReason = Common::Refusal::None;
  /// The incarnation that answered.
  Common::Incarnation mIncarnation;
  /// Only for `QueryOutcome`: the request waits or runs, its outcome follows.
  bool mInProgress = false;
  Common::Duration mRetryAfter{ 0 };
};

enum class CallKind
{
  Execute,
  QueryOutcome,
};

/// What a result says about an attempt.
enum class ReplyClass
{
  /// It ran; the reply is the answer.
  Ran,
  /// It did not run and never will; another agent may be asked.
  NotRunTryOtherAgent,
  /// It did not run, and no other agent would run it.
  NotRunFinal,
  /// It may have run: ask the same incarnation.
  MayHaveRun,
  /// It waits or runs: ask the same incarnation again later.
  InProgress,
  /// It may have run and nobody can tell any more.
  Unknown,
};

/// Classifies a result for an attempt that was sent to aTarget. A definite answer counts only if
/// the target gave it, except that another incarnation may refuse an `Execute` that reached it
/// instead.
ReplyClass
ClassifyReply(CallKind aKind, const CallResult& aResult, Common::Incarnation aTarget);

/// True if the refusal comes from the state of the agent, not from load: trying elsewhere then adds
/// no work to an overloaded pool.
bool
IsExemptFromRetryBudget(const CallResult& aResult);

} // namespace Dispatch
