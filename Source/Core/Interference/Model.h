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

/// Number of a kind of task. Kind 0 stands for all kinds beyond kMaxKinds.
using Kind = std::uint16_t;
constexpr std::size_t kMaxKinds = 128;

struct ModelPolicy
{
  /// Slow-down that a pair is taken to have before it was seen.
  float mPrior = 0.03F;
  /// Samples of a pair that the prior is worth.
  float mPriorWeight = 3.0F;
  /// Lowest learning rate, so that a changed behaviour is learned again.
  float mMinRate = 0.03F;
  /// A sample covers this much time before its as-of time.
  Common::Duration mWindow{ std::chrono::seconds(2) };
};

struct KindRecord
{
  /// Progress rate without neighbours; 0 until a sample came.
  float mFreeRate = 0;
  std::uint32_t mSamples = 0;
};

struct Pair
{
  /// Part of its run time that a task loses to one neighbour of the other kind.
  float mSlowdown = 0;
  float mSamples = 0;
};

/// Estimates for at most kMaxKinds kinds: kMaxKinds squared pairs of 8 bytes.
struct Model
{
  ModelPolicy mPolicy;
  std::unordered_map<Common::RouteId, Kind> mKinds;
  std::vector<KindRecord> mRecords;
  /// By victim * kMaxKinds + neighbour.
  std::vector<Pair> mPairs;
};

/// Tasks of one kind on a worker.
struct KindCount
{
  Kind mKind = 0;
  std::uint16_t mTasks = 0;
};

/// One task in a usage report of a worker.
struct TaskSample
{
  Kind mKind = 0;
  /// Progress in units of the task's own, at full speed; throttled tasks are left out of learning.
  float mRate = 0;
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

Model
MakeModel(ModelPolicy aPolicy = {});

/// The kind of a route; new routes beyond the bound share kind 0.
Kind
KindOf(Model& aModel, const Common::RouteId& aRoute);

/// Learns from a report. Reports that cover a change on the worker are ignored.
void
UpdateEstimate(Model& aModel, const WorkerSample& aSample);

/// Estimated slow-down that one neighbour causes to a task; 0.5 means a run time of 1.5 times.
float
PairSlowdown(const Model& aModel, Kind aVictim, Kind aNeighbour);

/// Slow-down of a task from its measured rate; 0 while the free rate of its kind is not known.
float
MeasuredSlowdown(const Model& aModel, Kind aKind, float aRate);

/// What placing a task of aKind beside the tasks aOthers costs: its own slow-down and the one that
/// it causes. aWeights gives the importance of each kind by number; kinds beyond its end weigh 1.
double
PlacementCost(const Model& aModel,
              Kind aKind,
              std::span<const KindCount> aOthers,
              std::span<const float> aWeights);

} // namespace Interference
