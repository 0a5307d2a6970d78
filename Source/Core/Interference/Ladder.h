#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Common/Clock.h"
#include "Interference/Model.h"

/// What to do on a worker whose tasks slow each other down.
namespace Interference {

enum class ActionKind : std::uint8_t
{
  Throttle,
  Unthrottle,
  /// Checkpoint and evict.
  Evict,
  Stop,
};

struct Action
{
  ActionKind mKind = ActionKind::Throttle;
  /// The caller's number of the task.
  std::uint64_t mTask = 0;
  /// Speed for Throttle, in percent.
  std::uint32_t mPercent = 100;
};

/// A task on the worker as the owner sees it.
struct TaskView
{
  std::uint64_t mTask = 0;
  Kind mKind = 0;
  /// The work that is to be protected: latency-critical, or simply not batch.
  bool mProtected = false;
  /// Progress that an eviction loses: since the last checkpoint if it cannot take one.
  Common::Duration mLoss{ 0 };
  bool mMayRestart = true;
  bool mThrottled = false;
  /// It was told to checkpoint and end, and still runs.
  bool mLeaving = false;
  float mRate = 0;
};

struct WorkerView
{
  std::vector<TaskView> mTasks;
  Common::Timestamp mAsOf;
  Common::Timestamp mStableSince;
};

struct LadderPolicy
{
  /// Slow-down of protected tasks above which the ladder is climbed, and below which it is left.
  float mEnter = 0.30F;
  float mLeave = 0.12F;
  /// Slow-down has to stay above or below for this long.
  Common::Duration mEnterAfter{ std::chrono::seconds(6) };
  Common::Duration mLeaveAfter{ std::chrono::seconds(30) };
  /// Wait after an action until its effect shows in lagging reports.
  Common::Duration mCoolDown{ std::chrono::seconds(20) };
  /// An evict command that is not obeyed within this time is followed by a stop.
  Common::Duration mStopAfter{ std::chrono::seconds(30) };
  std::uint32_t mThrottlePercent = 50;
  /// Slow-down that the removal of a task must save, by the estimates.
  float mMinHelp = 0.05F;
  /// Loss of progress that halves the value of an eviction.
  Common::Duration mLossScale{ std::chrono::seconds(60) };
  /// If the slow-down falls by this part between reports, it is left alone.
  float mFalling = 0.1F;
};

/// State of the ladder of one worker.
struct Ladder
{
  float mLevel = 0;
  float mBefore = 0;
  Common::Timestamp mAsOf;
  std::optional<Common::Timestamp> mAbove;
  std::optional<Common::Timestamp> mBelow;
  Common::Timestamp mQuietUntil;
  std::optional<Common::Timestamp> mEvictedAt;
};

/// The next action on the worker, if any. Call it with each usage report.
std::optional<Action>
ChooseAction(Ladder& aLadder,
             const Model& aModel,
             const WorkerView& aView,
             const LadderPolicy& aPolicy,
             Common::Timestamp aNow);

} // namespace Interference
