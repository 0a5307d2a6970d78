#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"

/// Estimates how much tasks of one kind slow down tasks of another on the same worker. A slow-down
/// is the increase of the run time as a fraction: 0.5 means a run time of 1.5 times.
namespace Interference {

/// Number of a kind of task; tasks of one route are of one kind. Kind 0 is shared by the routes
/// beyond kMaxTaskKinds.
using TaskKind = std::uint16_t;
constexpr std::size_t kMaxTaskKinds = 128;

struct InterferenceModelPolicy
{
  /// Assumed slow-down of a pair without samples.
  float mPriorSlowdown = 0.03F;
  /// Number of samples that the prior counts for.
  float mPriorWeight = 3.0F;
  /// Lower bound of the learning rate, so that the estimate follows a change of behaviour.
  float mMinLearningRate = 0.03F;
  /// Length of the interval over which a report is measured; it ends at WorkerSample::mAsOf.
  Common::Duration mMeasurementWindow{ std::chrono::seconds(2) };
};

struct TaskKindStatistics
{
  /// Progress rate of a task without neighbours; 0 before the first sample.
  float mIsolatedRate = 0;
  std::uint32_t mSampleCount = 0;
};

/// Estimate for two kinds of tasks: the victim, which is slowed down, and its neighbour.
struct PairEstimate
{
  /// Slow-down of the victim by one neighbour.
  float mSlowdown = 0;
  float mSampleCount = 0;
};

/// Estimates for at most kMaxTaskKinds kinds. It holds kMaxTaskKinds squared pairs of 8 bytes.
struct InterferenceModel
{
  InterferenceModelPolicy mPolicy;
  std::unordered_map<Common::RouteId, TaskKind> mKindByRoute;
  /// By TaskKind.
  std::vector<TaskKindStatistics> mKindStatistics;
  /// By kind of the victim * kMaxTaskKinds + kind of the neighbour.
  std::vector<PairEstimate> mPairs;
};

/// Number of tasks of one kind on a worker.
struct TaskKindCount
{
  TaskKind mKind = 0;
  std::uint16_t mTaskCount = 0;
};

/// One task in a usage report of a worker.
struct TaskSample
{
  TaskKind mKind = 0;
  /// Progress rate, in any unit that is the same for all tasks of the kind.
  float mProgressRate = 0;
  /// The task does not run at full speed, so the model does not learn from its rate.
  bool mThrottled = false;
};

/// The progress of the tasks on a worker, from its usage report.
struct WorkerSample
{
  std::vector<TaskSample> mTasks;
  /// Time of the measurement; reports arrive seconds later.
  Common::Timestamp mAsOf;
  /// Time at which a task last started, ended or was throttled or unthrottled on the worker.
  Common::Timestamp mStableSince;
};

/// Returns a model without samples.
InterferenceModel
MakeInterferenceModel(InterferenceModelPolicy aPolicy = {});

/// Returns the kind of the route and adds it if it is new. New routes share kind 0 once there are
/// kMaxTaskKinds kinds.
TaskKind
TaskKindForRoute(InterferenceModel& aModel, const Common::RouteId& aRoute);

/// Learns from a report. A report is ignored if the tasks on the worker changed during its
/// measurement.
void
UpdateEstimate(InterferenceModel& aModel, const WorkerSample& aSample);

/// Returns the estimated slow-down of the victim by one neighbour; 0.5 means a run time of 1.5
/// times.
float
PairSlowdown(const InterferenceModel& aModel, TaskKind aVictim, TaskKind aNeighbour);

/// Returns the slow-down of a task at the measured progress rate, or 0 while the isolated rate of
/// its kind is not known.
float
MeasuredSlowdown(const InterferenceModel& aModel, TaskKind aKind, float aProgressRate);

/// Returns the cost of placing a task of aKind beside the tasks aOthers: the weighted sum of its
/// own slow-down and of the slow-down that it causes. aWeights holds the weight of each kind by
/// number; kinds beyond its end have weight 1.
double
InterferenceCost(const InterferenceModel& aModel,
                 TaskKind aKind,
                 std::span<const TaskKindCount> aOthers,
                 std::span<const float> aWeights);

} // namespace Interference
