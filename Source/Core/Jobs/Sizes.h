#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

/// Correction of declared sizes by what tasks were seen to use.
namespace Jobs {

/// Counts of the ratio of use to declaration in buckets of a third of a doubling, from 1/1024 to
/// 1024. Old counts fade, so that a route whose use changes is learned again.
class UseRatios
{
public:
  void record(double aRatio);
  std::uint32_t count() const { return mCount; }
  /// Upper bound of the bucket that holds the quantile; 1 if nothing was recorded.
  double quantile(double aQuantile) const;

private:
  static constexpr int kPerDoubling = 3;
  static constexpr int kDoublings = 10;
  static constexpr int kBuckets = 2 * kDoublings * kPerDoubling + 1;

  std::array<std::uint16_t, kBuckets> mBuckets{};
  std::uint32_t mCount = 0;
};

struct SizeRecord
{
  UseRatios mCores;
  UseRatios mMemory;
  UseRatios mRunTime;
};

/// What a route and client declare for a task.
struct TaskSize
{
  Common::Resources mAmounts;
  /// 0 if not declared.
  Common::Duration mRunTime{ 0 };
};

struct MeasuredUse
{
  std::int64_t mCoreMicros = 0;
  Common::Bytes mPeakMemory;
  Common::Duration mElapsed{ 0 };
};

struct SizesPolicy
{
  /// Cores can be shared for a while and memory cannot, so memory takes a higher quantile.
  double mCoreQuantile = 0.9;
  double mMemoryQuantile = 0.98;
  double mRunTimeQuantile = 0.75;
  double mMargin = 1.15;
  /// Below this count the estimate never falls under the declaration; from there it moves to the
  /// quantile, which counts alone at mFull.
  std::uint32_t mSafe = 8;
  std::uint32_t mFull = 40;
  /// The estimate stays above this part of the declaration.
  double mFloor = 0.1;
  /// Bound of the memory taken: routes and (route, client) pairs that are told apart.
  std::size_t mMaxRecords = 1024;
};

struct SizeModel
{
  SizesPolicy mPolicy;
  /// By route, and by route and client joined by a zero byte.
  std::unordered_map<std::string, SizeRecord> mRecords;
  /// Rises when estimates may have moved, so that users know when to ask again.
  std::uint32_t mVersion = 0;
  std::uint32_t mRecorded = 0;
};

void
RecordUse(SizeModel& aModel,
          const Common::RouteId& aRoute,
          const Common::ClientId& aClient,
          const TaskSize& aDeclared,
          const MeasuredUse& aUsed);

/// The corrected size. The client's own record counts once it holds enough, before that the
/// route's. Accelerators are taken as declared.
TaskSize
CorrectSize(const SizeModel& aModel,
            const Common::RouteId& aRoute,
            const Common::ClientId& aClient,
            const TaskSize& aDeclared);

} // namespace Jobs
