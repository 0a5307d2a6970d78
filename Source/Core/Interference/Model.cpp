#include "Interference/Model.h"

#include <algorithm>

namespace Interference {

namespace {

Pair&
PairOf(Model& aModel, Kind aVictim, Kind aNeighbour)
{
  return aModel.mPairs[aVictim * kMaxKinds + aNeighbour];
}

std::vector<KindCount>
CountOthers(const WorkerSample& aSample, std::size_t aExcept)
{
  std::vector<KindCount> counts;
  for (std::size_t i = 0; i < aSample.mTasks.size(); ++i) {
    if (i == aExcept) {
      continue;
    }
    const Kind kind = aSample.mTasks[i].mKind;
    const auto found = std::find_if(
      counts.begin(), counts.end(), [&](const KindCount& aCount) { return aCount.mKind == kind; });
    if (found == counts.end()) {
      counts.push_back({ kind, 1 });
    } else {
      ++found->mTasks;
    }
  }
  return counts;
}

float
Predict(const Model& aModel, Kind aVictim, const std::vector<KindCount>& aOthers)
{
  float sum = 0;
  for (const KindCount& other : aOthers) {
    sum += PairSlowdown(aModel, aVictim, other.mKind) * static_cast<float>(other.mTasks);
  }
  return sum;
}

/// The free rate follows samples of lone tasks. Beside neighbours it follows an upper quantile of
/// the measured rates. It must not lean on the estimates: a rate corrected by the predicted
/// slow-down feeds back into the prediction, and kinds that are never alone then grow without
/// bound.
void
LearnFreeRate(KindRecord& aRecord, float aRate, bool aAlone)
{
  constexpr float kQuantile = 0.8F;
  constexpr float kStep = 0.01F;
  ++aRecord.mSamples;
  if (aRecord.mFreeRate == 0) {
    aRecord.mFreeRate = aRate;
  } else if (aAlone) {
    aRecord.mFreeRate += 0.1F * (aRate - aRecord.mFreeRate);
  } else {
    const float direction = aRate > aRecord.mFreeRate ? kQuantile : kQuantile - 1.0F;
    aRecord.mFreeRate *= 1.0F + kStep * direction;
  }
}

/// Shares the error of the prediction out among the neighbours, more to pairs seen less.
void
LearnPairs(Model& aModel, Kind aVictim, const std::vector<KindCount>& aOthers, float aError)
{
  float norm = 0;
  for (const KindCount& other : aOthers) {
    norm += static_cast<float>(other.mTasks * other.mTasks);
  }
  for (const KindCount& other : aOthers) {
    Pair& pair = PairOf(aModel, aVictim, other.mKind);
    const float rate =
      std::max(aModel.mPolicy.mMinRate, 1.0F / (aModel.mPolicy.mPriorWeight + pair.mSamples));
    pair.mSlowdown += rate * aError * static_cast<float>(other.mTasks) / norm;
    pair.mSlowdown = std::max(pair.mSlowdown, 0.0F);
    pair.mSamples += 1;
  }
}

} // namespace

Model
MakeModel(ModelPolicy aPolicy)
{
  Model model;
  model.mPolicy = aPolicy;
  model.mRecords.resize(1);
  model.mPairs.assign(kMaxKinds * kMaxKinds, Pair{ aPolicy.mPrior, 0 });
  return model;
}

Kind
KindOf(Model& aModel, const Common::RouteId& aRoute)
{
  const auto found = aModel.mKinds.find(aRoute);
  if (found != aModel.mKinds.end()) {
    return found->second;
  }
  if (aModel.mRecords.size() >= kMaxKinds) {
    return 0;
  }
  const auto kind = static_cast<Kind>(aModel.mRecords.size());
  aModel.mRecords.emplace_back();
  aModel.mKinds.emplace(aRoute, kind);
  return kind;
}

void
UpdateEstimate(Model& aModel, const WorkerSample& aSample)
{
  if (aSample.mStableSince + aModel.mPolicy.mWindow > aSample.mAsOf) {
    return;
  }
  for (std::size_t i = 0; i < aSample.mTasks.size(); ++i) {
    const TaskSample& task = aSample.mTasks[i];
    if (task.mThrottled || task.mRate <= 0) {
      continue;
    }
    const std::vector<KindCount> others = CountOthers(aSample, i);
    const float predicted = Predict(aModel, task.mKind, others);
    KindRecord& record = aModel.mRecords[task.mKind];
    LearnFreeRate(record, task.mRate, others.empty());
    if (!others.empty()) {
      LearnPairs(aModel, task.mKind, others, record.mFreeRate / task.mRate - 1.0F - predicted);
    }
  }
}

float
PairSlowdown(const Model& aModel, Kind aVictim, Kind aNeighbour)
{
  return aModel.mPairs[aVictim * kMaxKinds + aNeighbour].mSlowdown;
}

float
MeasuredSlowdown(const Model& aModel, Kind aKind, float aRate)
{
  const KindRecord& record = aModel.mRecords[aKind];
  if (record.mFreeRate <= 0 || aRate <= 0) {
    return 0;
  }
  return std::max(record.mFreeRate / aRate - 1.0F, 0.0F);
}

double
PlacementCost(const Model& aModel,
              Kind aKind,
              std::span<const KindCount> aOthers,
              std::span<const float> aWeights)
{
  const auto weight = [&](Kind aOf) { return aOf < aWeights.size() ? aWeights[aOf] : 1.0F; };
  double cost = 0;
  for (const KindCount& other : aOthers) {
    const float mutual = weight(aKind) * PairSlowdown(aModel, aKind, other.mKind) +
                         weight(other.mKind) * PairSlowdown(aModel, other.mKind, aKind);
    cost += mutual * static_cast<float>(other.mTasks);
  }
  return cost;
}

} // namespace Interference
