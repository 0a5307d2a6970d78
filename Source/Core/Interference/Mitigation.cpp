#include "Interference/Mitigation.h"

#include <algorithm>

namespace Interference {

namespace {

/// Weight of the newest report in the smoothed slow-down; reports are noisy.
constexpr float kSmoothingFactor = 0.4F;

float
WorstProtectedSlowdown(const InterferenceModel& aModel, const WorkerObservation& aWorker)
{
  float worst = 0;
  for (const TaskObservation& task : aWorker.mTasks) {
    if (task.mProtected) {
      worst = std::max(worst, MeasuredSlowdown(aModel, task.mKind, task.mProgressRate));
    }
  }
  return worst;
}

/// Returns the slow-down that the removal of aTask is estimated to save the protected task that
/// gains most from it.
float
SlowdownReduction(const InterferenceModel& aModel,
                  const WorkerObservation& aWorker,
                  const TaskObservation& aTask)
{
  float reduction = 0;
  for (const TaskObservation& other : aWorker.mTasks) {
    if (other.mProtected) {
      reduction = std::max(reduction, PairSlowdown(aModel, other.mKind, aTask.mKind));
    }
  }
  return reduction;
}

/// Returns the slow-down saved, divided by 1 plus the lost progress in units of
/// mBenefitHalvingLoss.
float
MitigationBenefit(const InterferenceModel& aModel,
                  const WorkerObservation& aWorker,
                  const TaskObservation& aTask,
                  const MitigationPolicy& aPolicy)
{
  const float relativeLoss = static_cast<float>(aTask.mEvictionLoss.count()) /
                             static_cast<float>(aPolicy.mBenefitHalvingLoss.count());
  return SlowdownReduction(aModel, aWorker, aTask) / (1.0F + relativeLoss);
}

/// Returns the task to throttle or, if aThrottled is true, the throttled task to evict: the one
/// with the highest benefit. Returns null if no task saves at least mMinSlowdownReduction.
const TaskObservation*
ChooseTask(const InterferenceModel& aModel,
           const WorkerObservation& aWorker,
           const MitigationPolicy& aPolicy,
           bool aThrottled)
{
  const TaskObservation* best = nullptr;
  float bestBenefit = 0;
  for (const TaskObservation& task : aWorker.mTasks) {
    const bool eligible = !task.mProtected && !task.mEvicting && task.mThrottled == aThrottled &&
                          (!aThrottled || task.mMayRestart);
    if (!eligible || SlowdownReduction(aModel, aWorker, task) < aPolicy.mMinSlowdownReduction) {
      continue;
    }
    const float benefit = MitigationBenefit(aModel, aWorker, task, aPolicy);
    if (benefit > bestBenefit) {
      bestBenefit = benefit;
      best = &task;
    }
  }
  return best;
}

/// Updates the smoothed slow-down from a report; a report that was already seen changes nothing.
void
UpdateSlowdown(MitigationState& aState,
               const InterferenceModel& aModel,
               const WorkerObservation& aWorker,
               const MitigationPolicy& aPolicy)
{
  if (aWorker.mAsOf <= aState.mLastReportAsOf) {
    return;
  }
  aState.mLastReportAsOf = aWorker.mAsOf;
  aState.mPreviousSlowdown = aState.mSmoothedSlowdown;
  aState.mSmoothedSlowdown +=
    kSmoothingFactor * (WorstProtectedSlowdown(aModel, aWorker) - aState.mSmoothedSlowdown);
  const auto updateSince = [&](std::optional<Common::Timestamp>& aSince, bool aHolds) {
    if (!aHolds) {
      aSince.reset();
    } else if (!aSince) {
      aSince = aWorker.mAsOf;
    }
  };
  updateSince(aState.mHighSince, aState.mSmoothedSlowdown > aPolicy.mHighSlowdown);
  updateSince(aState.mLowSince, aState.mSmoothedSlowdown < aPolicy.mLowSlowdown);
}

bool
HasLasted(const std::optional<Common::Timestamp>& aSince,
          Common::Duration aDuration,
          Common::Timestamp aAsOf)
{
  return aSince && *aSince + aDuration <= aAsOf;
}

/// Stops a task that still runs mEvictionTimeout after its eviction was ordered. If the task still
/// runs after the same time again, the stop is repeated.
std::optional<MitigationAction>
StopOverdueEviction(MitigationState& aState,
                    const WorkerObservation& aWorker,
                    const MitigationPolicy& aPolicy,
                    Common::Timestamp aNow)
{
  const auto evicting = std::find_if(aWorker.mTasks.begin(),
                                     aWorker.mTasks.end(),
                                     [](const TaskObservation& aTask) { return aTask.mEvicting; });
  if (evicting == aWorker.mTasks.end()) {
    aState.mEvictionOrderedAt.reset();
    return std::nullopt;
  }
  if (!aState.mEvictionOrderedAt || aNow < *aState.mEvictionOrderedAt + aPolicy.mEvictionTimeout) {
    return std::nullopt;
  }
  aState.mEvictionOrderedAt = aNow;
  return MitigationAction{ MitigationActionKind::Stop, evicting->mTask, 0 };
}

/// Unthrottles one task once the slow-down has stayed low.
std::optional<MitigationAction>
ChooseUnthrottle(MitigationState& aState,
                 const WorkerObservation& aWorker,
                 const MitigationPolicy& aPolicy,
                 Common::Timestamp aNow)
{
  const auto throttled =
    std::find_if(aWorker.mTasks.begin(), aWorker.mTasks.end(), [](const TaskObservation& aTask) {
      return aTask.mThrottled;
    });
  if (throttled == aWorker.mTasks.end() ||
      !HasLasted(aState.mLowSince, aPolicy.mMinLowDuration, aWorker.mAsOf)) {
    return std::nullopt;
  }
  aState.mCoolDownUntil = aNow + aPolicy.mCoolDown;
  return MitigationAction{ MitigationActionKind::Unthrottle, throttled->mTask, 100 };
}

} // namespace

std::optional<MitigationAction>
ChooseMitigation(MitigationState& aState,
                 const InterferenceModel& aModel,
                 const WorkerObservation& aWorker,
                 const MitigationPolicy& aPolicy,
                 Common::Timestamp aNow)
{
  UpdateSlowdown(aState, aModel, aWorker, aPolicy);
  if (auto stop = StopOverdueEviction(aState, aWorker, aPolicy, aNow)) {
    return stop;
  }
  // A report that was measured before the last change on the worker shows the state before it.
  if (aNow < aState.mCoolDownUntil || aWorker.mAsOf <= aWorker.mStableSince) {
    return std::nullopt;
  }
  if (auto unthrottle = ChooseUnthrottle(aState, aWorker, aPolicy, aNow)) {
    return unthrottle;
  }
  const bool falling =
    aState.mSmoothedSlowdown < aState.mPreviousSlowdown * (1.0F - aPolicy.mFallingFraction);
  if (falling || !HasLasted(aState.mHighSince, aPolicy.mMinHighDuration, aWorker.mAsOf)) {
    return std::nullopt;
  }
  if (const TaskObservation* task = ChooseTask(aModel, aWorker, aPolicy, false)) {
    aState.mCoolDownUntil = aNow + aPolicy.mCoolDown;
    return MitigationAction{ MitigationActionKind::Throttle,
                             task->mTask,
                             aPolicy.mThrottledSpeedPercent };
  }
  if (const TaskObservation* task = ChooseTask(aModel, aWorker, aPolicy, true)) {
    aState.mCoolDownUntil = aNow + aPolicy.mCoolDown;
    aState.mEvictionOrderedAt = aNow;
    return MitigationAction{ MitigationActionKind::Evict, task->mTask, 0 };
  }
  return std::nullopt;
}

} // namespace Interference
