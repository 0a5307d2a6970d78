#include "Interference/Ladder.h"

#include <algorithm>

namespace Interference {

namespace {

/// Weight of the newest report in the smoothed slow-down; reports are noisy.
constexpr float kSmoothing = 0.4F;

float
WorstSlowdown(const Model& aModel, const WorkerView& aView)
{
  float worst = 0;
  for (const TaskView& task : aView.mTasks) {
    if (task.mProtected) {
      worst = std::max(worst, MeasuredSlowdown(aModel, task.mKind, task.mRate));
    }
  }
  return worst;
}

/// Slow-down of protected tasks that the removal of the task would save.
float
HelpOf(const Model& aModel, const WorkerView& aView, const TaskView& aTask)
{
  float help = 0;
  for (const TaskView& other : aView.mTasks) {
    if (other.mProtected) {
      help = std::max(help, PairSlowdown(aModel, other.mKind, aTask.mKind));
    }
  }
  return help;
}

/// Help for each unit of lost progress.
float
ValueOf(const Model& aModel,
        const WorkerView& aView,
        const TaskView& aTask,
        const LadderPolicy& aPolicy)
{
  const float loss =
    static_cast<float>(aTask.mLoss.count()) / static_cast<float>(aPolicy.mLossScale.count());
  return HelpOf(aModel, aView, aTask) / (1.0F + loss);
}

const TaskView*
BestCandidate(const Model& aModel,
              const WorkerView& aView,
              const LadderPolicy& aPolicy,
              bool aThrottled)
{
  const TaskView* best = nullptr;
  float value = 0;
  for (const TaskView& task : aView.mTasks) {
    const bool suits = !task.mProtected && !task.mLeaving && task.mThrottled == aThrottled &&
                       (!aThrottled || task.mMayRestart);
    if (!suits || HelpOf(aModel, aView, task) < aPolicy.mMinHelp) {
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
NoteReport(Ladder& aLadder,
           const Model& aModel,
           const WorkerView& aView,
           const LadderPolicy& aPolicy)
{
  if (aView.mAsOf <= aLadder.mAsOf) {
    return;
  }
  aLadder.mAsOf = aView.mAsOf;
  aLadder.mBefore = aLadder.mLevel;
  aLadder.mLevel += kSmoothing * (WorstSlowdown(aModel, aView) - aLadder.mLevel);
  const auto note = [&](std::optional<Common::Timestamp>& aSince, bool aHolds) {
    if (!aHolds) {
      aSince.reset();
    } else if (!aSince) {
      aSince = aView.mAsOf;
    }
  };
  note(aLadder.mAbove, aLadder.mLevel > aPolicy.mEnter);
  note(aLadder.mBelow, aLadder.mLevel < aPolicy.mLeave);
}

bool
HasLasted(const std::optional<Common::Timestamp>& aSince,
          Common::Duration aFor,
          Common::Timestamp aAsOf)
{
  return aSince && *aSince + aFor <= aAsOf;
}

std::optional<Action>
StopDisobedient(Ladder& aLadder,
                const WorkerView& aView,
                const LadderPolicy& aPolicy,
                Common::Timestamp aNow)
{
  const auto leaving = std::find_if(
    aView.mTasks.begin(), aView.mTasks.end(), [](const TaskView& aTask) { return aTask.mLeaving; });
  if (leaving == aView.mTasks.end()) {
    aLadder.mEvictedAt.reset();
    return std::nullopt;
  }
  if (!aLadder.mEvictedAt || aNow < *aLadder.mEvictedAt + aPolicy.mStopAfter) {
    return std::nullopt;
  }
  aLadder.mEvictedAt = aNow;
  return Action{ ActionKind::Stop, leaving->mTask, 0 };
}

std::optional<Action>
StepBack(Ladder& aLadder,
         const WorkerView& aView,
         const LadderPolicy& aPolicy,
         Common::Timestamp aNow)
{
  const auto throttled = std::find_if(aView.mTasks.begin(),
                                      aView.mTasks.end(),
                                      [](const TaskView& aTask) { return aTask.mThrottled; });
  if (throttled == aView.mTasks.end() ||
      !HasLasted(aLadder.mBelow, aPolicy.mLeaveAfter, aView.mAsOf)) {
    return std::nullopt;
  }
  aLadder.mQuietUntil = aNow + aPolicy.mCoolDown;
  return Action{ ActionKind::Unthrottle, throttled->mTask, 100 };
}

} // namespace

std::optional<Action>
ChooseAction(Ladder& aLadder,
             const Model& aModel,
             const WorkerView& aView,
             const LadderPolicy& aPolicy,
             Common::Timestamp aNow)
{
  NoteReport(aLadder, aModel, aView, aPolicy);
  if (auto stop = StopDisobedient(aLadder, aView, aPolicy, aNow)) {
    return stop;
  }
  // Until the report was measured after the last change, it still shows the state before.
  if (aNow < aLadder.mQuietUntil || aView.mAsOf <= aView.mStableSince) {
    return std::nullopt;
  }
  if (auto back = StepBack(aLadder, aView, aPolicy, aNow)) {
    return back;
  }
  const bool falling = aLadder.mLevel < aLadder.mBefore * (1.0F - aPolicy.mFalling);
  if (falling || !HasLasted(aLadder.mAbove, aPolicy.mEnterAfter, aView.mAsOf)) {
    return std::nullopt;
  }
  if (const TaskView* task = BestCandidate(aModel, aView, aPolicy, false)) {
    aLadder.mQuietUntil = aNow + aPolicy.mCoolDown;
    return Action{ ActionKind::Throttle, task->mTask, aPolicy.mThrottlePercent };
  }
  if (const TaskView* task = BestCandidate(aModel, aView, aPolicy, true)) {
    aLadder.mQuietUntil = aNow + aPolicy.mCoolDown;
    aLadder.mEvictedAt = aNow;
    return Action{ ActionKind::Evict, task->mTask, 0 };
  }
  return std::nullopt;
}

} // namespace Interference
