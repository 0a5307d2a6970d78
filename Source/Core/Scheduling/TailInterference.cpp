#include "Scheduling/TailInterference.h"

#include <algorithm>
#include <vector>

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

/// Estimate of a pair, and the cores that the neighbour uses. The pointers are null if nothing may
/// be learned of the pair.
struct Pair
{
  double* mPressure = nullptr;
  double* mVariance = nullptr;
  double* mMean = nullptr;
  double mCores = 0;
};

Pair
FindOrAddPair(TailInterferenceModel& aModel,
              const std::string& aNeighbour,
              const std::string& aImage)
{
  const std::pair<std::string, std::string> key{ aNeighbour, aImage };
  const bool isKnown = aModel.mPairPressures.contains(key);
  if (!IsLearnable(aModel.mMeanPressures, aNeighbour) ||
      (!isKnown && aModel.mPairPressures.size() >= kMaxLearnedImages)) {
    return {};
  }
  const TailInterferencePolicy& policy = aModel.mPolicy;
  Pair pair;
  pair.mPressure =
    &aModel.mPairPressures.try_emplace(key, PairPressure(aModel, aNeighbour, aImage)).first->second;
  // A pair that an earlier coordinator learned is less uncertain than an unknown one.
  const double deviation = isKnown ? policy.mPairDeviation / 2 : policy.mPairDeviation;
  pair.mVariance = &aModel.mPairVariances.try_emplace(key, deviation * deviation).first->second;
  pair.mMean = &aModel.mMeanPressures.try_emplace(aNeighbour, policy.mPriorPressure).first->second;
  return pair;
}

/// Adds the uncertainty of the time since the last measurement. Returns that time in seconds.
double
AdvanceLoad(const TailInterferencePolicy& aPolicy, ServedLoad& aLoad, Common::Timestamp aNow)
{
  const double elapsed =
    aLoad.mIsMeasured
      ? std::clamp(std::chrono::duration<double>(aNow - aLoad.mUpdatedAt).count(), 0.0, 10.0)
      : 10.0;
  aLoad.mIsMeasured = true;
  aLoad.mUpdatedAt = aNow;
  aLoad.mVariance += elapsed * aPolicy.mOwnDeviationPerSecond * aPolicy.mOwnDeviationPerSecond;
  return elapsed;
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

double
ForecastPressure(const TailInterferenceModel& aModel,
                 const ServedLoad& aLoad,
                 Common::Duration aAhead)
{
  const double trend = (aLoad.mPressure - aLoad.mAverage) / aModel.mPolicy.mTrendSeconds;
  return std::clamp(aLoad.mPressure + trend * std::chrono::duration<double>(aAhead).count(),
                    0.0,
                    aModel.mPolicy.mMaxOwnPressure);
}

void
LearnFromTail(TailInterferenceModel& aModel,
              const std::string& aImage,
              double aTailMs,
              std::span<const Neighbour> aNeighbours,
              ServedLoad& aLoad,
              Common::Timestamp aNow)
{
  if (aTailMs <= 0 || !IsLearnable(aModel.mLowestTailMs, aImage)) {
    return;
  }
  const auto [lowest, isNew] = aModel.mLowestTailMs.try_emplace(aImage, aTailMs);
  if (!isNew) {
    lowest->second = std::min(lowest->second, aTailMs);
  }
  const double measured = PressureFromTail(aModel, aImage, aTailMs);
  const TailInterferencePolicy& policy = aModel.mPolicy;
  const double elapsed = AdvanceLoad(policy, aLoad, aNow);
  // A Kalman filter without covariances: the error of the prediction is divided among the estimates
  // by their uncertainty.
  double error = measured - aLoad.mPressure;
  double variance = aLoad.mVariance + policy.mMeasurementDeviation * policy.mMeasurementDeviation;
  std::vector<Pair> pairs;
  for (const Neighbour& neighbour : aNeighbours) {
    error -= neighbour.mCores * PairPressure(aModel, *neighbour.mImage, aImage);
    if (Pair pair = FindOrAddPair(aModel, *neighbour.mImage, aImage); pair.mPressure != nullptr) {
      pair.mCores = neighbour.mCores;
      variance += pair.mCores * pair.mCores * *pair.mVariance;
      pairs.push_back(pair);
    }
  }
  const double minVariance = policy.mMinPairDeviation * policy.mMinPairDeviation;
  for (const Pair& pair : pairs) {
    const double gain = *pair.mVariance * pair.mCores / variance;
    *pair.mPressure = std::clamp(*pair.mPressure + gain * error, 0.0, policy.mMaxPressurePerCore);
    *pair.mVariance = std::max(*pair.mVariance * (1.0 - gain * pair.mCores), minVariance);
    *pair.mMean += kMeanLearningRate * (*pair.mPressure - *pair.mMean);
  }
  const double gain = aLoad.mVariance / variance;
  aLoad.mPressure = std::clamp(aLoad.mPressure + gain * error, 0.0, policy.mMaxOwnPressure);
  aLoad.mVariance *= 1.0 - gain;
  aLoad.mAverage +=
    std::min(elapsed / policy.mTrendSeconds, 1.0) * (aLoad.mPressure - aLoad.mAverage);
}

} // namespace Scheduling
