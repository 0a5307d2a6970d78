#include "Interference/Mitigation.h"

#include <algorithm>

namespace Interference {

namespace {

/// Weight of the newest report in the smoothed slow-down; reports are noisy.
constexpr float kSmoothing = 0.4F;

float
WorstSlowdown(const InterferenceModel& aModel, const WorkerObservation& aView)
{
  float worst = 0;
  for (const TaskObservation& task : aView.mTasks) {
    if (task.mProtected) {
      worst = std::max(worst, MeasuredSlowdown(aModel, task.mKind, task.mProgressRate));
    }
  }
  return worst;
}

/// Slow-down of protected tasks that the removal of the task would save.
float
HelpOf(const InterferenceModel& aModel,
       const WorkerObservation& aView,
       const TaskObservation& aTask)
{
  float help = 0;
  for (const TaskObservation& other : aView.mTasks) {
    if (other.mProtected) {
      help = std::max(help, PairSlowdown(aModel, other.mKind, aTask.mKind));
    }
  }
  return help;
}

/// Help for each unit of lost progress.
float
ValueOf(const InterferenceModel& aModel,
        const WorkerObservation& aView,
        const TaskObservation& aTask,
        const MitigationPolicy& aPolicy)
{
  const float loss = static_cast<float>(aTask.mEvictionLoss.count()) /
                     static_cast<float>(aPolicy.mBenefitHalvingLoss.count());
  return HelpOf(aModel, aView, aTask) / (1.0F + loss);
}

const TaskObservation*
BestCandidate(const InterferenceModel& aModel,
              const WorkerObservation& aView,
              const MitigationPolicy& aPolicy,
              bool aThrottled)
{
  const TaskObservation* best = nullptr;
  float value = 0;
  for (const TaskObservation& task : aView.mTasks) {
    const bool suits = !task.mProtected && !task.mEvicting && task.mThrottled == aThrottled &&
                       (!aThrottled || task.mMayRestart);
    if (!suits || HelpOf(aModel, aView, task) < aPolicy.mMinSlowdownReduction) {
      continue;
    }
    const float candidate = ValueOf(aModel, aView, task, aPolicy);
    if (candidate > value) {
      value = candidate;
      best = &task;
    }
  }
  return best;
}

void
NoteReport(MitigationState& aState,
           const InterferenceModel& aModel,
           const WorkerObservation& aView,
           const MitigationPolicy& aPolicy)
{
  if (aView.mAsOf <= aState.mLastReportAsOf) {
    return;
  }
  aState.mLastReportAsOf = aView.mAsOf;
  aState.mPreviousSlowdown = aState.mSmoothedSlowdown;
  aState.mSmoothedSlowdown +=
    kSmoothing * (WorstSlowdown(aModel, aView) - aState.mSmoothedSlowdown);
  const auto note = [&](std::optional<Common::Timestamp>& aSince, bool aHolds) {
    if (!aHolds) {
      aSince.reset();
    } else if (!aSince) {
      aSince = aView.mAsOf;
    }
  };
  note(aState.mHighSince, aState.mSmoothedSlowdown > aPolicy.mHighSlowdown);
  note(aState.mLowSince, aState.mSmoothedSlowdown < aPolicy.mLowSlowdown);
}

bool
HasLasted(const std::optional<Common::Timestamp>& aSince,
          Common::Duration aFor,
          Common::Timestamp aAsOf)
{
  return aSince && *aSince + aFor <= aAsOf;
}

std::optional<MitigationAction>
StopDisobedient(MitigationState& aState,
                const WorkerObservation& aView,
                const MitigationPolicy& aPolicy,
                Common::Timestamp aNow)
{
  const auto leaving = std::find_if(aView.mTasks.begin(),
                                    aView.mTasks.end(),
                                    [](const TaskObservation& aTask) { return aTask.mEvicting; });
  if (leaving == aView.mTasks.end()) {
    aState.mEvictionOrderedAt.reset();
    return std::nullopt;
  }
  if (!aState.mEvictionOrderedAt || aNow < *aState.mEvictionOrderedAt + aPolicy.mEvictionTimeout) {
    return std::nullopt;
  }
  aState.mEvictionOrderedAt = aNow;
  return MitigationAction{ MitigationActionKind::Stop, leaving->mTask, 0 };
}

std::optional<MitigationAction>
StepBack(MitigationState& aState,
         const WorkerObservation& aView,
         const MitigationPolicy& aPolicy,
         Common::Timestamp aNow)
{
  const auto throttled =
    std::find_if(aView.mTasks.begin(), aView.mTasks.end(), [](const TaskObservation& aTask) {
      return aTask.mThrottled;
    });
  if (throttled == aView.mTasks.end() ||
      !HasLasted(aState.mLowSince, aPolicy.mMinLowDuration, aView.mAsOf)) {
    return std::nullopt;
  }
  aState.mCoolDownUntil = aNow + aPolicy.mCoolDown;
  return MitigationAction{ MitigationActionKind::Unthrottle, throttled->mTask, 100 };
}

} // namespace

std::optional<MitigationAction>
ChooseMitigation(MitigationState& aState,
                 const InterferenceModel& aModel,
                 const WorkerObservation& aView,
                 const MitigationPolicy& aPolicy,
                 Common::Timestamp aNow)
{
  NoteReport(aState, aModel, aView, aPolicy);
  if (auto stop = StopDisobedient(aState, aView, aPolicy, aNow)) {
    return stop;
  }
  // Until the report was measured after the last change, it still shows the state before.
  if (aNow < aState.mCoolDownUntil || aView.mAsOf <= aView.mStableSince) {
    return std::nullopt;
  }
  if (auto back = StepBack(aState, aView, aPolicy, aNow)) {
    return back;
  }
  const bool falling =
    aState.mSmoothedSlowdown < aState.mPreviousSlowdown * (1.0F - aPolicy.mFallingFraction);
  if (falling || !HasLasted(aState.mHighSince, aPolicy.mMinHighDuration, aView.mAsOf)) {
    return std::nullopt;
  }
  if (const TaskObservation* task = BestCandidate(aModel, aView, aPolicy, false)) {
    aState.mCoolDownUntil = aNow + aPolicy.mCoolDown;
    return MitigationAction{ MitigationActionKind::Throttle,
                             task->mTask,
                             aPolicy.mThrottledSpeedPercent };
  }
  if (const TaskObservation* task = BestCandidate(aModel, aView, aPolicy, true)) {
    aState.mCoolDownUntil = aNow + aPolicy.mCoolDown;
    aState.mEvictionOrderedAt = aNow;
    return MitigationAction{ MitigationActionKind::Evict, task->mTask, 0 };
  }
  return std::nullopt;
}

} // namespace Interference
