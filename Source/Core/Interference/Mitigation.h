#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Common/Clock.h"
#include "Interference/InterferenceModel.h"

/// Decides what to do on a worker whose tasks slow each other down: throttle a task, then evict it,
/// then stop it.
namespace Interference {

enum class MitigationActionKind : std::uint8_t
{
  Throttle,
  Unthrottle,
  /// Lets the task take a checkpoint and end.
  Evict,
  /// Ends a task that did not obey its eviction.
  Stop,
};

struct MitigationAction
{
  MitigationActionKind mKind = MitigationActionKind::Throttle;
  /// The caller's number of the task.
  std::uint64_t mTask = 0;
  /// Speed of the task after Throttle and Unthrottle, in percent of full speed.
  std::uint32_t mSpeedPercent = 100;
};

/// A task on the worker, as the cell's owner knows it.
struct TaskObservation
{
  /// The caller's number of the task.
  std::uint64_t mTask = 0;
  TaskKind mKind = 0;
  /// The task is to be protected from slow-down, because it is latency-critical or otherwise not a
  /// batch task.
  bool mProtected = false;
  /// Run time whose progress an eviction loses. If the task cannot take a checkpoint when it is
  /// evicted, that is all progress since its last checkpoint.
  Common::Duration mEvictionLoss{ 0 };
  bool mMayRestart = true;
  bool mThrottled = false;
  /// The task was told to take a checkpoint and end, and still runs.
  bool mEvicting = false;
  /// Measured rate, in any unit that is the same for all tasks of the kind.
  float mProgressRate = 0;
};

/// The tasks on a worker at its last usage report.
struct WorkerObservation
{
  std::vector<TaskObservation> mTasks;
  /// Time of the measurement; reports arrive seconds later.
  Common::Timestamp mAsOf;
  /// Time at which a task last started, ended or was throttled or unthrottled on the worker.
  Common::Timestamp mStableSince;
};

struct MitigationPolicy
{
  /// Slow-down of protected tasks above which a task on the worker is throttled or evicted; 0.3
  /// means a run time of 1.3 times.
  float mHighSlowdown = 0.30F;
  /// Slow-down of protected tasks below which throttled tasks are unthrottled.
  float mLowSlowdown = 0.12F;
  /// Time for which the slow-down has to stay above mHighSlowdown or below mLowSlowdown before a
  /// task is throttled, evicted or unthrottled.
  Common::Duration mMinHighDuration{ std::chrono::seconds(6) };
  Common::Duration mMinLowDuration{ std::chrono::seconds(30) };
  /// Time after an action before the next, so that its effect shows in the lagging reports; a stop
  /// does not wait for it.
  Common::Duration mCoolDown{ std::chrono::seconds(20) };
  /// A task that still runs this long after its eviction was ordered is stopped.
  Common::Duration mEvictionTimeout{ std::chrono::seconds(30) };
  /// Speed of a throttled task, in percent of full speed.
  std::uint32_t mThrottledSpeedPercent = 50;
  /// A task is acted on only if its removal is estimated to reduce the slow-down of a protected
  /// task by at least this much.
  float mMinSlowdownReduction = 0.05F;
  /// Loss of progress that halves the benefit of acting on a task.
  Common::Duration mBenefitHalvingLoss{ std::chrono::seconds(60) };
  /// No task is throttled or evicted while the slow-down falls by more than this fraction between
  /// reports.
  float mFallingFraction = 0.1F;
};

/// State of the mitigation on one worker.
struct MitigationState
{
  /// Smoothed slow-down of the protected task that is slowed down most.
  float mSmoothedSlowdown = 0;
  /// mSmoothedSlowdown before the last report.
  float mPreviousSlowdown = 0;
  Common::Timestamp mLastReportAsOf;
  /// Times from which the smoothed slow-down has been above mHighSlowdown or below mLowSlowdown;
  /// unset while it is not.
  std::optional<Common::Timestamp> mHighSince;
  std::optional<Common::Timestamp> mLowSince;
  Common::Timestamp mCoolDownUntil;
  /// Time of the last evict or stop action; unset once no task is being evicted.
  std::optional<Common::Timestamp> mEvictionOrderedAt;
};

/// Returns the next action on the worker, or std::nullopt if there is none. Has to be called with
/// each usage report.
std::optional<MitigationAction>
ChooseMitigation(MitigationState& aState,
                 const InterferenceModel& aModel,
                 const WorkerObservation& aWorker,
                 const MitigationPolicy& aPolicy,
                 Common::Timestamp aNow);

} // namespace Interference
