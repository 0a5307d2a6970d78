#include "Scheduling/TailInterference.h"

#include <algorithm>

namespace Scheduling {

namespace {

/// Ratio of the unloaded tail latency to the lowest one measured, which belongs to a task under
/// light load.
constexpr double kUnloadedShareOfLowest = 0.8;
/// Averages over about ten measurements.
constexpr double kMeanLearningRate = 0.1;

/// True if something about the image is known or may be learned.
bool
IsLearnable(const std::map<std::string, double>& aKnown, const std::string& aImage)
{
  return aImage.size() <= kMaxLearnedNameBytes &&
         (aKnown.size() < kMaxLearnedImages || aKnown.contains(aImage));
}

} // namespace

double
PressureFromTail(const TailInterferenceModel& aModel, const std::string& aImage, double aTailMs)
{
  const auto found = aModel.mLowestTailMs.find(aImage);
  if (found == aModel.mLowestTailMs.end() || aTailMs <= 0) {
    return 0;
  }
  return std::clamp(1.0 - kUnloadedShareOfLowest * found->second / aTailMs, 0.0, 1.0);
}

double
PairPressure(const TailInterferenceModel& aModel,
             const std::string& aNeighbour,
             const std::string& aImage)
{
  const auto found =
    aModel.mPairPressures.find(std::pair<std::string_view, std::string_view>(aNeighbour, aImage));
  if (found != aModel.mPairPressures.end()) {
    return found->second;
  }
  const auto mean = aModel.mMeanPressures.find(aNeighbour);
  return mean == aModel.mMeanPressures.end() ? aModel.mPolicy.mPriorPressure : mean->second;
}

double
SumPressure(const TailInterferenceModel& aModel,
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
LearnFromTail(TailInterferenceModel& aModel,
              const std::string& aImage,
              double aTailMs,
              std::span<const Neighbour> aNeighbours,
              double& aOwnPressure)
{
  if (aTailMs <= 0 || !IsLearnable(aModel.mLowestTailMs, aImage)) {
    return;
  }
  const auto [lowest, isNew] = aModel.mLowestTailMs.try_emplace(aImage, aTailMs);
  if (!isNew) {
    lowest->second = std::min(lowest->second, aTailMs);
  }
  const TailInterferencePolicy& policy = aModel.mPolicy;
  const double error = PressureFromTail(aModel, aImage, aTailMs) - aOwnPressure -
                       SumPressure(aModel, aImage, aNeighbours);
  double squares = 0;
  for (const Neighbour& neighbour : aNeighbours) {
    squares += neighbour.mCores * neighbour.mCores;
  }
  for (const Neighbour& neighbour : aNeighbours) {
    if (!IsLearnable(aModel.mMeanPressures, *neighbour.mImage) ||
        (aModel.mPairPressures.size() >= kMaxLearnedImages &&
         !aModel.mPairPressures.contains({ *neighbour.mImage, aImage }))) {
      continue;
    }
    double& pair =
      aModel.mPairPressures
        .try_emplace({ *neighbour.mImage, aImage }, PairPressure(aModel, *neighbour.mImage, aImage))
        .first->second;
    // The added 1 keeps the step small for neighbours that use little processor time.
    pair = std::clamp(pair + policy.mPairLearningRate * error * neighbour.mCores / (squares + 1.0),
                      0.0,
                      policy.mMaxPressurePerCore);
    double& mean =
      aModel.mMeanPressures.try_emplace(*neighbour.mImage, policy.mPriorPressure).first->second;
    mean += kMeanLearningRate * (pair - mean);
  }
  aOwnPressure = std::clamp(
    aOwnPressure + policy.mOwnLearningRate * error, policy.mMinOwnPressure, policy.mMaxOwnPressure);
}

} // namespace Scheduling
