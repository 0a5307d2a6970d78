#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"

/// Estimates of the slow-down between kinds of tasks.
namespace Interference {

/// Number of a kind of task. TaskKind 0 stands for all kinds beyond kMaxTaskKinds.
using TaskKind = std::uint16_t;
constexpr std::size_t kMaxTaskKinds = 128;

struct InterferenceModelPolicy
{
  /// Slow-down that a pair is taken to have before it was seen.
  float mPriorSlowdown = 0.03F;
  /// Samples of a pair that the prior is worth.
  float mPriorWeight = 3.0F;
  /// Lowest learning rate, so that a changed behaviour is learned again.
  float mMinLearningRate = 0.03F;
  /// A sample covers this much time before its as-of time.
  Common::Duration mMeasurementWindow{ std::chrono::seconds(2) };
};

struct TaskKindStatistics
{
  /// Progress rate without neighbours; 0 until a sample came.
  float mIsolatedRate = 0;
  std::uint32_t mSampleCount = 0;
};

struct PairEstimate
{
  /// Part of its run time that a task loses to one neighbour of the other kind.
  float mSlowdown = 0;
  float mSampleCount = 0;
};

/// Estimates for at most kMaxTaskKinds kinds: kMaxTaskKinds squared pairs of 8 bytes.
struct InterferenceModel
{
  InterferenceModelPolicy mPolicy;
  std::unordered_map<Common::RouteId, TaskKind> mKindByRoute;
  std::vector<TaskKindStatistics> mKindStatistics;
  /// By victim * kMaxTaskKinds + neighbour.
  std::vector<PairEstimate> mPairs;
};

/// Tasks of one kind on a worker.
struct TaskKindCount
{
  TaskKind mKind = 0;
  std::uint16_t mTaskCount = 0;
};

/// One task in a usage report of a worker.
struct TaskSample
{
  TaskKind mKind = 0;
  /// Progress in units of the task's own, at full speed; throttled tasks are left out of learning.
  float mProgressRate = 0;
  bool mThrottled = false;
};

/// Usage report of a worker.
struct WorkerSample
{
  std::vector<TaskSample> mTasks;
  /// Time at which it was measured; reports come seconds later.
  Common::Timestamp mAsOf;
  /// Last start or end of a task on the worker, or change of a throttle.
  Common::Timestamp mStableSince;
};

InterferenceModel
MakeInterferenceModel(InterferenceModelPolicy aPolicy = {});

/// The kind of a route; new routes beyond the bound share kind 0.
TaskKind
TaskKindForRoute(InterferenceModel& aModel, const Common::RouteId& aRoute);

/// Learns from a report. Reports that cover a change on the worker are ignored.
void
UpdateEstimate(InterferenceModel& aModel, const WorkerSample& aSample);

/// Estimated slow-down that one neighbour causes to a task; 0.5 means a run time of 1.5 times.
float
PairSlowdown(const InterferenceModel& aModel, TaskKind aVictim, TaskKind aNeighbour);

/// Slow-down of a task from its measured rate; 0 while the free rate of its kind is not known.
float
MeasuredSlowdown(const InterferenceModel& aModel, TaskKind aKind, float aProgressRate);

/// What placing a task of aKind beside the tasks aOthers costs: its own slow-down and the one that
/// it causes. aWeights gives the importance of each kind by number; kinds beyond its end weigh 1.
double
InterferenceCost(const InterferenceModel& aModel,
                 TaskKind aKind,
                 std::span<const TaskKindCount> aOthers,
                 std::span<const float> aWeights);

} // namespace Interference
