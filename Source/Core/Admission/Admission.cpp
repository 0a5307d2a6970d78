#include "Admission/Admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Admission/Shares.h"

namespace Admission {

namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
// Interval between deadline checks of all waiting requests. The check scans every queue; a request
// that is about to start is checked in any case.
constexpr Duration kSweepInterval = std::chrono::milliseconds(10);
constexpr Duration kDrainRetryAfter = std::chrono::milliseconds(50);
// Number of mean deviations that are added to the mean service time when it is compared with the
// deadline: on entering a queue, and on starting while other requests wait.
constexpr double kOfferMarginDeviations = 2;
constexpr double kStartMarginDeviations = 1;
// Charged to the flow of a request without a service time estimate, so that the fair queue still
// alternates between flows.
constexpr double kDefaultCostMicros = 1000;

Action
Refuse(Request aRequest, Common::Refusal aReason, Duration aRetryAfter)
{
  return { ActionKind::Refuse,
           std::move(aRequest),
           aReason,
           std::clamp(aRetryAfter, kMinRetryAfter, kMaxRetryAfter) };
}

bool
CanStart(const Gate& aGate, const WorkerLedger& aLedger)
{
  // An idle connection is reused; without one a new connection is opened.
  const std::int64_t newConnections = aGate.mIdleConnections > Common::Connections(0) ? 0 : 1;
  return SlotsInUse(aGate) < SlotLimit(aGate) &&
         ConnectionsInUse(aGate) + newConnections <= aGate.mLimits.mConnections.value() &&
         SlotFits(aLedger);
}

void
StartRequest(Gate& aGate, WorkerLedger& aLedger, Request aRequest, Timestamp aNow, Actions& aOut)
{
  ReserveSlot(aLedger);
  ++aGate.mClassUse[IndexOf(aRequest.mUrgency)].mInUse;
  // Reusing an idle connection first keeps the total within the limit.
  if (aGate.mIdleConnections > Common::Connections(0)) {
    aGate.mIdleConnections -= Common::Connections(1);
  }
  aGate.mRunning.emplace(aRequest.mId, RunningRequest{ aRequest, aNow });
  const auto running = static_cast<std::int64_t>(aGate.mRunning.size());
  aGate.mForeignUseEstimate.mMaxRunning = std::max(aGate.mForeignUseEstimate.mMaxRunning, running);
  aOut.push_back({ ActionKind::Start, std::move(aRequest), Common::Refusal::None, Duration(0) });
}

/// Time that must remain before the deadline: the estimated mean service time plus
/// aMarginDeviations mean deviations. The margin is for a request that would take a slot from
/// requests that are more likely to finish in time.
Duration
RequiredTime(const Gate& aGate, const Request& aRequest, double aMarginDeviations, Timestamp aNow)
{
  const ServiceTime estimate =
    EstimateServiceTime(aGate.mServiceTimes, aRequest.mRoute, aRequest.mUrgency, aNow);
  return Duration(static_cast<std::int64_t>(estimate.mMeanMicros +
                                            aMarginDeviations * estimate.mDeviationMicros));
}

void
StartWaiting(Gate& aGate, WorkerLedger& aLedger, Timestamp aNow, Actions& aOut)
{
  AccrueCredit(aGate, aNow);
  while (CanStart(aGate, aLedger)) {
    const std::optional<std::size_t> next = NextClass(aGate);
    if (!next) {
      return;
    }
    FairQueue& queue = aGate.mQueues[*next];
    const Request& request = PeekNext(queue)->mRequest;
    const bool othersWait = queue.mQueued > 1;
    const Duration needed =
      RequiredTime(aGate, request, othersWait ? kStartMarginDeviations : 0, aNow);
    if (aNow + needed > request.mDeadline) {
      Request late = PopNext(queue, 0)->mRequest;
      aOut.push_back(Refuse(std::move(late), Common::Refusal::DeadlineTooClose, needed));
      continue;
    }
    const double cost =
      needed.count() > 0 ? static_cast<double>(needed.count()) : kDefaultCostMicros;
    StartRequest(aGate, aLedger, PopNext(queue, cost)->mRequest, aNow, aOut);
  }
}

} // namespace

Gate
MakeGate(GateLimits aLimits, Timestamp aNow)
{
  Gate gate;
  gate.mAccruedAt = aNow;
  gate.mLimiter.mWindowStart = aNow;
  WorkerLedger emptyLedger;
  SetLimits(gate, emptyLedger, std::move(aLimits), aNow);
  return gate;
}

Actions
Offer(Gate& aGate, WorkerLedger& aLedger, Request aRequest, Timestamp aNow)
{
  Actions out;
  if (aGate.mDraining) {
    out.push_back(Refuse(std::move(aRequest), Common::Refusal::Leaving, kDrainRetryAfter));
    return out;
  }
  const Duration wait = PredictWait(aGate, aRequest, aNow);
  const Duration needed =
    RequiredTime(aGate, aRequest, wait.count() > 0 ? kOfferMarginDeviations : 0, aNow);
  if (aNow + wait + needed > aRequest.mDeadline) {
    const Duration excess = aNow + wait + needed - aRequest.mDeadline;
    out.push_back(Refuse(std::move(aRequest), Common::Refusal::DeadlineTooClose, excess));
    return out;
  }
  FairQueue& queue = aGate.mQueues[IndexOf(aRequest.mUrgency)];
  if (queue.mQueued >= aGate.mLimits.mMaxQueued) {
    std::optional<QueuedRequest> evicted = EvictFor(queue, aRequest);
    if (!evicted) {
      out.push_back(Refuse(std::move(aRequest), Common::Refusal::NoCapacity, wait));
      return out;
    }
    out.push_back(Refuse(std::move(evicted->mRequest), Common::Refusal::NoCapacity, wait));
  }
  AccrueCredit(aGate, aNow);
  Push(queue, { std::move(aRequest), aNow });
  StartWaiting(aGate, aLedger, aNow, out);
  return out;
}

Actions
Release(Gate& aGate,
        WorkerLedger& aLedger,
        const Common::RequestId& aId,
        const Completion& aCompletion,
        Timestamp aNow)
{
  Actions out;
  const auto found = aGate.mRunning.find(aId);
  if (found == aGate.mRunning.end()) {
    return out;
  }
  AccrueCredit(aGate, aNow);
  const RunningRequest& running = found->second;
  if (aCompletion.mLatencyValid) {
    const Request& request = running.mRequest;
    const Duration serviceTime = aNow - running.mStarted;
    AddServiceTime(aGate.mServiceTimes, request.mRoute, request.mUrgency, serviceTime, aNow);
    AddLatency(aGate.mLimiter, request.mRoute, serviceTime, SlotsInUse(aGate), aNow);
  }
  --aGate.mClassUse[IndexOf(running.mRequest.mUrgency)].mInUse;
  aGate.mRunning.erase(found);
  const auto remaining = static_cast<std::int64_t>(aGate.mRunning.size());
  aGate.mForeignUseEstimate.mMinRunning =
    std::min(aGate.mForeignUseEstimate.mMinRunning, remaining);
  ReleaseSlot(aLedger);
  if (aCompletion.mKeepConnection) {
    aGate.mIdleConnections += Common::Connections(1);
  }
  AdjustLimit(aGate, aNow);
  StartWaiting(aGate, aLedger, aNow, out);
  return out;
}

Actions
Poll(Gate& aGate, WorkerLedger& aLedger, Timestamp aNow)
{
  Actions out;
  AdjustLimit(aGate, aNow);
  const bool sweep = aNow - aGate.mSweptAt >= kSweepInterval;
  aGate.mSweptAt = sweep ? aNow : aGate.mSweptAt;
  for (FairQueue& queue : aGate.mQueues) {
    if (queue.mQueued == 0 || !sweep) {
      continue;
    }
    auto late = RemoveIf(queue, [&](const QueuedRequest& aItem) {
      return aNow + RequiredTime(aGate, aItem.mRequest, 0, aNow) > aItem.mRequest.mDeadline;
    });
    for (QueuedRequest& item : late) {
      const Duration needed = RequiredTime(aGate, item.mRequest, 0, aNow);
      out.push_back(Refuse(std::move(item.mRequest), Common::Refusal::DeadlineTooClose, needed));
    }
  }
  StartWaiting(aGate, aLedger, aNow, out);
  return out;
}

bool
CancelQueued(Gate& aGate, const Common::RequestId& aId)
{
  for (FairQueue& queue : aGate.mQueues) {
    const auto hasId = [&](const QueuedRequest& aItem) { return aItem.mRequest.mId == aId; };
    if (queue.mQueued > 0 && !RemoveIf(queue, hasId).empty()) {
      return true;
    }
  }
  return false;
}

void
AdjustLimit(Gate& aGate, Timestamp aNow)
{
  UpdateLimit(aGate.mLimiter, aGate.mLimits.mSlots.value(), aNow);
}

Actions
SetLimits(Gate& aGate, WorkerLedger& aLedger, GateLimits aLimits, Timestamp aNow)
{
  aGate.mLimits = std::move(aLimits);
  aGate.mLimiter.mFloorSlots = static_cast<double>(aGate.mLimits.mLimitFloor.value());
  ComputeShares(aGate);
  AdjustLimit(aGate, aNow);
  Actions out;
  StartWaiting(aGate, aLedger, aNow, out);
  return out;
}

void
SetForeignUse(Gate& aGate, Common::Slots aSlots, Common::Connections aConnections)
{
  aGate.mForeignSlots = std::max(aSlots, Common::Slots(0));
  aGate.mForeignConnections = std::max(aConnections, Common::Connections(0));
}

void
ReconcileInProgress(Gate& aGate, Common::Slots aInProgress)
{
  ForeignUseEstimate& estimate = aGate.mForeignUseEstimate;
  const std::int64_t counted = aInProgress.value();
  estimate.mUpperBounds[estimate.mNextBound++ % estimate.mUpperBounds.size()] =
    counted - estimate.mMinRunning;
  const std::int64_t lower = counted - estimate.mMaxRunning;
  const std::int64_t upper =
    *std::max_element(estimate.mUpperBounds.begin(), estimate.mUpperBounds.end());
  const std::int64_t foreign =
    std::clamp(aGate.mForeignSlots.value(), lower, std::max(lower, upper));
  estimate.mMaxRunning = estimate.mMinRunning = static_cast<std::int64_t>(aGate.mRunning.size());
  SetForeignUse(aGate, Common::Slots(foreign), Common::Connections(foreign));
}

void
CloseIdleConnection(Gate& aGate)
{
  if (aGate.mIdleConnections > Common::Connections(0)) {
    aGate.mIdleConnections -= Common::Connections(1);
  }
}

Common::Connections
ExcessIdleConnections(const Gate& aGate)
{
  const Common::Connections excess =
    Common::Connections(ConnectionsInUse(aGate)) - aGate.mLimits.mConnections;
  return std::clamp(excess, Common::Connections(0), aGate.mIdleConnections);
}

Actions
StartDrain(Gate& aGate, Timestamp aNow)
{
  AccrueCredit(aGate, aNow);
  aGate.mDraining = true;
  Actions out;
  for (FairQueue& queue : aGate.mQueues) {
    while (std::optional<QueuedRequest> item = PopNext(queue, 0)) {
      out.push_back(Refuse(std::move(item->mRequest), Common::Refusal::Leaving, kDrainRetryAfter));
    }
  }
  return out;
}

void
StopDrain(Gate& aGate)
{
  aGate.mDraining = false;
}

bool
IsDrained(const Gate& aGate)
{
  return aGate.mDraining && aGate.mRunning.empty();
}

std::int64_t
SlotsInUse(const Gate& aGate)
{
  return static_cast<std::int64_t>(aGate.mRunning.size()) + aGate.mForeignSlots.value();
}

std::int64_t
SlotLimit(const Gate& aGate)
{
  const auto adaptive = static_cast<std::int64_t>(aGate.mLimiter.mLimitSlots);
  return std::min(aGate.mLimits.mSlots.value(), adaptive);
}

std::int64_t
ConnectionsInUse(const Gate& aGate)
{
  return static_cast<std::int64_t>(aGate.mRunning.size()) + aGate.mIdleConnections.value() +
         aGate.mForeignConnections.value();
}

std::size_t
QueuedCount(const Gate& aGate)
{
  std::size_t count = 0;
  for (const FairQueue& queue : aGate.mQueues) {
    count += queue.mQueued;
  }
  return count;
}

Duration
PredictWait(const Gate& aGate, const Request& aRequest, Timestamp aNow)
{
  const std::size_t own = IndexOf(aRequest.mUrgency);
  const double slots = AvailableSlots(aGate, own);
  const double ahead = RequestsAhead(aGate.mQueues[own], aRequest);
  const double busy = static_cast<double>(aGate.mClassUse[own].mInUse);
  // Requests that must finish before this one; if there are none, a slot is free and it starts at
  // once.
  const double toFinish = ahead + busy + 1 - slots;
  if (toFinish <= 0) {
    return Duration(0);
  }
  const ServiceTime estimate =
    EstimateServiceTime(aGate.mServiceTimes, aRequest.mRoute, aRequest.mUrgency, aNow);
  return Duration(static_cast<std::int64_t>(estimate.mMeanMicros * toFinish / slots));
}

} // namespace Admission
