#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>

/// Estimates of how much tasks that fill disturb lasting tasks beside them, by image.
///
/// The tail latency of a lasting task behaves like that of a queue: it is its unloaded tail divided
/// by one less the pressure, where the pressure is the task's own load and what its neighbours add.
/// Pressures add up and latencies do not, so the estimates are kept as pressures.
namespace Scheduling {

struct TailInterferencePolicy
{
  /// Pressure that a neighbour's core is taken to add before it was seen. Low, so that unknown
  /// pairs are tried; pacing corrects a wrong guess within a second.
  double mPriorPressure = 0.02;
  double mPairLearningRate = 0.25;
  double mOwnLearningRate = 0.3;
  /// Bounds of a task's own load: a task that is hardly used, and one that would miss its target
  /// alone.
  double mMinOwnPressure = 0.1;
  double mMaxOwnPressure = 0.75;
  double mMaxPressurePerCore = 1.0;
};

/// One neighbour: its image and the cores that it uses.
struct Neighbour
{
  const std::string* mImage = nullptr;
  double mCores = 0;
};

struct TailInterferenceModel
{
  TailInterferencePolicy mPolicy;
  /// Lowest tail latency seen for an image, in ms.
  std::map<std::string, double> mLowestTailMs;
  /// Pressure for each core, by image of the neighbour and of the lasting task.
  std::map<std::pair<std::string, std::string>, double> mPairPressures;
  /// Mean over the pairs of a neighbour's image, for pairs that were not seen.
  std::map<std::string, double> mMeanPressures;
};

/// Pressure that a tail latency in ms stands for; 0 to 1.
double
PressureFromTail(const TailInterferenceModel& aModel, const std::string& aImage, double aTailMs);

/// Pressure that one core of the neighbour's image adds.
double
PairPressure(const TailInterferenceModel& aModel,
             const std::string& aNeighbour,
             const std::string& aImage);

double
SumPressure(const TailInterferenceModel& aModel,
            const std::string& aImage,
            std::span<const Neighbour> aNeighbours);

/// Learns from one figure that was measured while the neighbours did not change. aOwnPressure is
/// the estimate of the task's own load and is updated.
void
LearnFromTail(TailInterferenceModel& aModel,
              const std::string& aImage,
              double aTailMs,
              std::span<const Neighbour> aNeighbours,
              double& aOwnPressure);

} // namespace Scheduling
