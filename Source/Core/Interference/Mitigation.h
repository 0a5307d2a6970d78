#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Common/Clock.h"
#include "Interference/InterferenceModel.h"

/// What to do on a worker whose tasks slow each other down.
namespace Interference {

enum class MitigationActionKind : std::uint8_t
{
  Throttle,
  Unthrottle,
  /// Checkpoint and evict.
  Evict,
  Stop,
};

struct MitigationAction
{
  MitigationActionKind mKind = MitigationActionKind::Throttle;
  /// The caller's number of the task.
  std::uint64_t mTask = 0;
  /// Speed for Throttle, in percent.
  std::uint32_t mSpeedPercent = 100;
};

/// A task on the worker as the owner sees it.
struct TaskObservation
{
  std::uint64_t mTask = 0;
  TaskKind mKind = 0;
  /// The work that is to be protected: latency-critical, or simply not batch.
  bool mProtected = false;
  /// Progress that an eviction loses: since the last checkpoint if it cannot take one.
  Common::Duration mEvictionLoss{ 0 };
  bool mMayRestart = true;
  bool mThrottled = false;
  /// It was told to checkpoint and end, and still runs.
  bool mEvicting = false;
  float mProgressRate = 0;
};

struct WorkerObservation
{
  std::vector<TaskObservation> mTasks;
  Common::Timestamp mAsOf;
  Common::Timestamp mStableSince;
};

struct MitigationPolicy
{
  /// Slow-down of protected tasks above which the ladder is climbed, and below which it is left.
  float mHighSlowdown = 0.30F;
  float mLowSlowdown = 0.12F;
  /// Slow-down has to stay above or below for this long.
  Common::Duration mMinHighDuration{ std::chrono::seconds(6) };
  Common::Duration mMinLowDuration{ std::chrono::seconds(30) };
  /// Wait after an action until its effect shows in lagging reports.
  Common::Duration mCoolDown{ std::chrono::seconds(20) };
  /// An evict command that is not obeyed within this time is followed by a stop.
  Common::Duration mEvictionTimeout{ std::chrono::seconds(30) };
  std::uint32_t mThrottledSpeedPercent = 50;
  /// Slow-down that the removal of a task must save, by the estimates.
  float mMinSlowdownReduction = 0.05F;
  /// Loss of progress that halves the value of an eviction.
  Common::Duration mBenefitHalvingLoss{ std::chrono::seconds(60) };
  /// If the slow-down falls by this part between reports, it is left alone.
  float mFallingFraction = 0.1F;
};

/// State of the ladder of one worker.
struct MitigationState
{
  float mSmoothedSlowdown = 0;
  float mPreviousSlowdown = 0;
  Common::Timestamp mLastReportAsOf;
  std::optional<Common::Timestamp> mHighSince;
  std::optional<Common::Timestamp> mLowSince;
  Common::Timestamp mCoolDownUntil;
  std::optional<Common::Timestamp> mEvictionOrderedAt;
};

/// The next action on the worker, if any. Call it with each usage report.
std::optional<MitigationAction>
ChooseMitigation(MitigationState& aState,
                 const InterferenceModel& aModel,
                 const WorkerObservation& aWorker,
                 const MitigationPolicy& aPolicy,
                 Common::Timestamp aNow);

} // namespace Interference
