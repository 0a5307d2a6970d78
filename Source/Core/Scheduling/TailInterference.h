#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "Common/Clock.h"

/// Estimates of the tail latency that best-effort tasks add to long-running tasks on the same
/// worker, by image.
///
/// Tail latency is modelled as that of a queue: the unloaded tail latency divided by (1 -
/// pressure), where the pressure is the task's own load plus what its neighbours add. Pressures are
/// additive and latencies are not, so the estimates are kept as pressures.
namespace Scheduling {

/// Most images, or pairs of images, of which something is learned, and longest name of one. Callers
/// choose the names.
constexpr std::size_t kMaxLearnedImages = 4'000;
constexpr std::size_t kMaxLearnedNameBytes = 200;

struct TailInterferencePolicy
{
  /// Pressure assumed for one core of a neighbour before it was measured. It is low, so that
  /// unknown pairs are tried; throttling corrects a wrong estimate within a second.
  double mPriorPressure = 0.02;
  double mMaxPressurePerCore = 1.0;
  /// Standard deviation of the pressure of a pair before it was measured, per core.
  double mPairDeviation = 0.04;
  /// Lower bound of it. It lets the estimate follow a pair that changes.
  double mMinPairDeviation = 0.004;
  /// Standard deviation of one measured pressure. Consecutive figures share most of their window,
  /// so it is larger than the noise of a single one.
  double mMeasurementDeviation = 0.06;
  /// Change of a task's own pressure within a second, as a standard deviation: clients' load that
  /// swings by half within 14 s changes this fast.
  double mOwnDeviationPerSecond = 0.1;
  /// Time over which the trend of the own pressure is averaged.
  double mTrendSeconds = 1.5;
  double mMaxOwnPressure = 0.95;
};

/// Pressure that clients put on the tasks of one long-running step. The tasks share it, because
/// clients spread their requests over all tasks.
struct ServedLoad
{
  double mPressure = 0.4;
  /// Variance of mPressure.
  double mVariance = 0.04;
  /// mPressure, averaged over TailInterferencePolicy::mTrendSeconds.
  double mAverage = 0.4;
  Common::Timestamp mUpdatedAt;
  bool mIsMeasured = false;
};

/// A best-effort task on the same worker: its image and the cores that it uses.
struct Neighbour
{
  const std::string* mImage = nullptr;
  double mCores = 0;
};

/// Orders pairs of images, and finds them without copies of the names.
struct ImagePairLess
{
  // The name that std::map looks for.
  // NOLINTNEXTLINE(readability-identifier-naming)
  using is_transparent = void;

  template<typename Left, typename Right>
  bool operator()(const Left& aLeft, const Right& aRight) const
  {
    const int order = std::string_view(aLeft.first).compare(aRight.first);
    return order < 0 ||
           (order == 0 && std::string_view(aLeft.second) < std::string_view(aRight.second));
  }
};

struct TailInterferenceModel
{
  TailInterferencePolicy mPolicy;
  /// Lowest tail latency measured for an image, in milliseconds.
  std::map<std::string, double> mLowestTailMs;
  /// Pressure of one core, by the images of the neighbour and of the long-running task.
  std::map<std::pair<std::string, std::string>, double, ImagePairLess> mPairPressures;
  /// Variances of these pressures; pairs that an earlier coordinator learned have none.
  std::map<std::pair<std::string, std::string>, double, ImagePairLess> mPairVariances;
  /// Mean over the pairs of a neighbour's image, used for pairs that were not measured.
  std::map<std::string, double> mMeanPressures;
};

/// Pressure that corresponds to a tail latency in milliseconds, 0 to 1; 0 if the image was not
/// measured.
double
PressureFromTail(const TailInterferenceModel& aModel, const std::string& aImage, double aTailMs);

/// Pressure that one core of the neighbour's image adds to a task of the image.
double
PairPressure(const TailInterferenceModel& aModel,
             const std::string& aNeighbour,
             const std::string& aImage);

/// Pressure that all neighbours together add to a task of the image.
double
SumPressure(const TailInterferenceModel& aModel,
            const std::string& aImage,
            std::span<const Neighbour> aNeighbours);

/// Own pressure that is expected after aAhead if the trend goes on.
double
ForecastPressure(const TailInterferenceModel& aModel,
                 const ServedLoad& aLoad,
                 Common::Duration aAhead);

/// Updates the estimates from one tail latency and the cores that the neighbours used in the same
/// time. aLoad is that of the task's step and is updated too.
void
LearnFromTail(TailInterferenceModel& aModel,
              const std::string& aImage,
              double aTailMs,
              std::span<const Neighbour> aNeighbours,
              ServedLoad& aLoad,
              Common::Timestamp aNow);

} // namespace Scheduling
