#include "Interference/InterferenceModel.h"

#include <algorithm>

namespace Interference {

namespace {

PairEstimate&
PairOf(InterferenceModel& aModel, TaskKind aVictim, TaskKind aNeighbour)
{
  return aModel.mPairs[aVictim * kMaxTaskKinds + aNeighbour];
}

std::vector<TaskKindCount>
CountOtherTasks(const WorkerSample& aSample, std::size_t aExcludedTask)
{
  std::vector<TaskKindCount> counts;
  for (std::size_t i = 0; i < aSample.mTasks.size(); ++i) {
    if (i == aExcludedTask) {
      continue;
    }
    const TaskKind kind = aSample.mTasks[i].mKind;
    const auto found = std::find_if(counts.begin(), counts.end(), [&](const TaskKindCount& aCount) {
      return aCount.mKind == kind;
    });
    if (found == counts.end()) {
      counts.push_back({ kind, 1 });
    } else {
      ++found->mTaskCount;
    }
  }
  return counts;
}

/// The slow-down of a task is taken as the sum over its neighbours.
float
PredictSlowdown(const InterferenceModel& aModel,
                TaskKind aVictim,
                const std::vector<TaskKindCount>& aOthers)
{
  float sum = 0;
  for (const TaskKindCount& other : aOthers) {
    sum += PairSlowdown(aModel, aVictim, other.mKind) * static_cast<float>(other.mTaskCount);
  }
  return sum;
}

/// The isolated rate follows the samples of tasks that run alone. For tasks with neighbours it
/// follows an upper quantile of the measured rates. It must not be derived from the estimates: a
/// rate that is corrected by the predicted slow-down feeds back into the prediction, and the rates
/// of kinds that never run alone then grow without bound.
void
LearnIsolatedRate(TaskKindStatistics& aStatistics, float aProgressRate, bool aAlone)
{
  constexpr float kQuantile = 0.8F;
  constexpr float kStep = 0.01F;
  ++aStatistics.mSampleCount;
  if (aStatistics.mIsolatedRate == 0) {
    aStatistics.mIsolatedRate = aProgressRate;
  } else if (aAlone) {
    aStatistics.mIsolatedRate += 0.1F * (aProgressRate - aStatistics.mIsolatedRate);
  } else {
    const float direction =
      aProgressRate > aStatistics.mIsolatedRate ? kQuantile : kQuantile - 1.0F;
    aStatistics.mIsolatedRate *= 1.0F + kStep * direction;
  }
}

/// Corrects the estimate for each kind of neighbour by a part of the prediction error. The part is
/// proportional to the number of neighbours of the kind, and larger for pairs with fewer samples.
void
LearnPairSlowdowns(InterferenceModel& aModel,
                   TaskKind aVictim,
                   const std::vector<TaskKindCount>& aOthers,
                   float aPredictionError)
{
  float sumOfSquaredCounts = 0;
  for (const TaskKindCount& other : aOthers) {
    sumOfSquaredCounts += static_cast<float>(other.mTaskCount * other.mTaskCount);
  }
  for (const TaskKindCount& other : aOthers) {
    PairEstimate& pair = PairOf(aModel, aVictim, other.mKind);
    const float learningRate = std::max(aModel.mPolicy.mMinLearningRate,
                                        1.0F / (aModel.mPolicy.mPriorWeight + pair.mSampleCount));
    pair.mSlowdown +=
      learningRate * aPredictionError * static_cast<float>(other.mTaskCount) / sumOfSquaredCounts;
    pair.mSlowdown = std::max(pair.mSlowdown, 0.0F);
    pair.mSampleCount += 1;
  }
}

} // namespace

InterferenceModel
MakeInterferenceModel(InterferenceModelPolicy aPolicy)
{
  InterferenceModel model;
  model.mPolicy = aPolicy;
  model.mKindStatistics.resize(1);
  model.mPairs.assign(kMaxTaskKinds * kMaxTaskKinds, PairEstimate{ aPolicy.mPriorSlowdown, 0 });
  return model;
}

TaskKind
TaskKindForRoute(InterferenceModel& aModel, const Common::RouteId& aRoute)
{
  const auto found = aModel.mKindByRoute.find(aRoute);
  if (found != aModel.mKindByRoute.end()) {
    return found->second;
  }
  if (aModel.mKindStatistics.size() >= kMaxTaskKinds) {
    return 0;
  }
  const auto kind = static_cast<TaskKind>(aModel.mKindStatistics.size());
  aModel.mKindStatistics.emplace_back();
  aModel.mKindByRoute.emplace(aRoute, kind);
  return kind;
}

void
UpdateEstimate(InterferenceModel& aModel, const WorkerSample& aSample)
{
  if (aSample.mStableSince + aModel.mPolicy.mMeasurementWindow > aSample.mAsOf) {
    return;
  }
  for (std::size_t i = 0; i < aSample.mTasks.size(); ++i) {
    const TaskSample& task = aSample.mTasks[i];
    if (task.mThrottled || task.mProgressRate <= 0) {
      continue;
    }
    const std::vector<TaskKindCount> others = CountOtherTasks(aSample, i);
    const float predictedSlowdown = PredictSlowdown(aModel, task.mKind, others);
    TaskKindStatistics& statistics = aModel.mKindStatistics[task.mKind];
    LearnIsolatedRate(statistics, task.mProgressRate, others.empty());
    if (!others.empty()) {
      LearnPairSlowdowns(aModel,
                         task.mKind,
                         others,
                         statistics.mIsolatedRate / task.mProgressRate - 1.0F - predictedSlowdown);
    }
  }
}

float
PairSlowdown(const InterferenceModel& aModel, TaskKind aVictim, TaskKind aNeighbour)
{
  return aModel.mPairs[aVictim * kMaxTaskKinds + aNeighbour].mSlowdown;
}

float
MeasuredSlowdown(const InterferenceModel& aModel, TaskKind aKind, float aProgressRate)
{
  const TaskKindStatistics& statistics = aModel.mKindStatistics[aKind];
  if (statistics.mIsolatedRate <= 0 || aProgressRate <= 0) {
    return 0;
  }
  return std::max(statistics.mIsolatedRate / aProgressRate - 1.0F, 0.0F);
}

double
InterferenceCost(const InterferenceModel& aModel,
                 TaskKind aKind,
                 std::span<const TaskKindCount> aOthers,
                 std::span<const float> aWeights)
{
  const auto weight = [&](TaskKind aWeighedKind) {
    return aWeighedKind < aWeights.size() ? aWeights[aWeighedKind] : 1.0F;
  };
  double cost = 0;
  for (const TaskKindCount& other : aOthers) {
    const float mutualCost = weight(aKind) * PairSlowdown(aModel, aKind, other.mKind) +
                             weight(other.mKind) * PairSlowdown(aModel, other.mKind, aKind);
    cost += mutualCost * static_cast<float>(other.mTaskCount);
  }
  return cost;
}

} // namespace Interference
