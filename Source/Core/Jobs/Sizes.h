#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

/// Corrects the declared sizes of tasks by their measured use.
namespace Jobs {

/// Histogram of the ratio of measured use to declared size, with three buckets for each doubling
/// from 1/1024 to 1024. Old counts decay, so that a change in the use of a route is learned.
class RatioHistogram
{
public:
  void record(double aRatio);
  std::uint32_t count() const { return mCount; }
  /// Upper bound of the bucket that holds the quantile (0 to 1); 1 if nothing was recorded.
  double quantile(double aQuantile) const;

private:
  static constexpr int kPerDoubling = 3;
  static constexpr int kDoublings = 10;
  static constexpr int kBuckets = 2 * kDoublings * kPerDoubling + 1;

  std::array<std::uint16_t, kBuckets> mBuckets{};
  std::uint32_t mCount = 0;
};

/// Histograms of one route, or of one route and client.
struct SizeHistograms
{
  RatioHistogram mCores;
  RatioHistogram mMemory;
  RatioHistogram mRunTime;
};

/// Size of one task, declared or corrected.
struct TaskSize
{
  Common::Resources mAmounts;
  /// 0 if not declared.
  Common::Duration mRunTime{ 0 };
};

/// What one finished attempt used.
struct MeasuredUse
{
  /// Core-microseconds.
  std::int64_t mCoreMicros = 0;
  Common::Bytes mPeakMemory;
  Common::Duration mElapsed{ 0 };
};

struct SizePolicy
{
  /// Quantiles of use that a corrected size covers. Memory has a higher one than cores, because
  /// cores can be shared for a while and memory cannot.
  double mCoreQuantile = 0.9;
  double mMemoryQuantile = 0.98;
  double mRunTimeQuantile = 0.75;
  /// Factor on the observed quantile.
  double mSafetyFactor = 1.15;
  /// With fewer samples the estimate never falls below the declaration. From there up to
  /// mFullWeightSamples it moves from the declaration to the quantile.
  std::uint32_t mMinSamples = 8;
  std::uint32_t mFullWeightSamples = 40;
  /// Lower bound of the estimate as a fraction of the declaration.
  double mMinRatio = 0.1;
  /// Routes and (route, client) pairs with histograms of their own; bounds the memory used.
  std::size_t mMaxHistograms = 1024;
};

struct SizeModel
{
  SizePolicy mPolicy;
  /// By route, and by route and client joined by a zero byte.
  std::unordered_map<std::string, SizeHistograms> mHistograms;
  /// Incremented when estimates may have changed; callers then call CorrectSize again.
  std::uint32_t mVersion = 0;
  /// Attempts recorded so far.
  std::uint32_t mSamples = 0;
};

/// Adds the use of a finished attempt to the histograms of the route and of the (route, client)
/// pair.
void
RecordMeasuredUse(SizeModel& aModel,
                  const Common::RouteId& aRoute,
                  const Common::ClientId& aClient,
                  const TaskSize& aDeclared,
                  const MeasuredUse& aUsed);

/// Returns the corrected size. The histograms of the (route, client) pair apply once they hold
/// mFullWeightSamples run times, those of the route before that. Accelerators are taken as
/// declared.
TaskSize
CorrectSize(const SizeModel& aModel,
            const Common::RouteId& aRoute,
            const Common::ClientId& aClient,
            const TaskSize& aDeclared);

} // namespace Jobs
