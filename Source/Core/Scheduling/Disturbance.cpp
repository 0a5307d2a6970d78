#include "Scheduling/Disturbance.h"

#include <algorithm>

namespace Scheduling {

namespace {

/// The lowest tail that is seen belongs to a task that is a little used.
constexpr double kUnloadedShare = 0.8;
/// Callers choose the images' names; more pairs would not fit into one record of the store.
constexpr std::size_t kMaxPairs = 4'000;
/// An average over about ten figures.
constexpr double kMeanRate = 0.1;

} // namespace

double
PressureOf(const Disturbance& aModel, const std::string& aImage, double aTailMs)
{
  const auto found = aModel.mUnloaded.find(aImage);
  if (found == aModel.mUnloaded.end() || aTailMs <= 0) {
    return 0;
  }
  return std::clamp(1.0 - kUnloadedShare * found->second / aTailMs, 0.0, 1.0);
}

double
PairPressure(const Disturbance& aModel, const std::string& aNeighbour, const std::string& aImage)
{
  const auto found = aModel.mPairs.find({ aNeighbour, aImage });
  if (found != aModel.mPairs.end()) {
    return found->second;
  }
  const auto mean = aModel.mNeighbours.find(aNeighbour);
  return mean == aModel.mNeighbours.end() ? aModel.mPolicy.mPrior : mean->second;
}

double
SumPressure(const Disturbance& aModel,
            const std::string& aImage,
            std::span<const Neighbour> aNeighbours)
{
  double sum = 0;
  for (const Neighbour& neighbour : aNeighbours) {
    sum += neighbour.mCores * PairPressure(aModel, *neighbour.mImage, aImage);
  }
  return sum;
}

void
LearnTail(Disturbance& aModel,
          const std::string& aImage,
          double aTailMs,
          std::span<const Neighbour> aNeighbours,
          double& aOwnPressure)
{
  if (aTailMs <= 0) {
    return;
  }
  const auto [lowest, isNew] = aModel.mUnloaded.try_emplace(aImage, aTailMs);
  if (!isNew) {
    lowest->second = std::min(lowest->second, aTailMs);
  }
  const DisturbancePolicy& policy = aModel.mPolicy;
  const double error =
    PressureOf(aModel, aImage, aTailMs) - aOwnPressure - SumPressure(aModel, aImage, aNeighbours);
  double squares = 0;
  for (const Neighbour& neighbour : aNeighbours) {
    squares += neighbour.mCores * neighbour.mCores;
  }
  for (const Neighbour& neighbour : aNeighbours) {
    if (aModel.mPairs.size() >= kMaxPairs &&
        !aModel.mPairs.contains({ *neighbour.mImage, aImage })) {
      continue;
    }
    double& pair =
      aModel.mPairs
        .try_emplace({ *neighbour.mImage, aImage }, PairPressure(aModel, *neighbour.mImage, aImage))
        .first->second;
    // One is added so that a neighbour that hardly works changes little.
    pair = std::clamp(pair + policy.mPairRate * error * neighbour.mCores / (squares + 1.0),
                      0.0,
                      policy.mMostPerCore);
    double& mean = aModel.mNeighbours.try_emplace(*neighbour.mImage, policy.mPrior).first->second;
    mean += kMeanRate * (pair - mean);
  }
  aOwnPressure =
    std::clamp(aOwnPressure + policy.mLoadRate * error, policy.mLeastLoad, policy.mMostLoad);
}

} // namespace Scheduling
