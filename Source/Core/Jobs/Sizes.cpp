#include "Jobs/Sizes.h"

#include <algorithm>
#include <cmath>

namespace Jobs {

namespace {

/// Stands for the declaration where there is none.
constexpr Common::Duration kUndeclaredRunTime = std::chrono::minutes(10);

/// At this count all counts are halved.
constexpr std::uint32_t kFadeAt = 512;

Common::Duration
RunTimeBase(const TaskSize& aDeclared)
{
  return aDeclared.mRunTime.count() > 0 ? aDeclared.mRunTime : kUndeclaredRunTime;
}

SizeRecord*
RecordFor(SizeModel& aModel, const std::string& aKey)
{
  const auto found = aModel.mRecords.find(aKey);
  if (found != aModel.mRecords.end()) {
    return &found->second;
  }
  if (aModel.mRecords.size() >= aModel.mPolicy.mMaxRecords) {
    return nullptr;
  }
  return &aModel.mRecords[aKey];
}

void
Record(SizeRecord& aRecord, const TaskSize& aDeclared, const MeasuredUse& aUsed)
{
  const auto ran = static_cast<double>(aUsed.mElapsed.count());
  if (aDeclared.mAmounts.mCores.value() > 0 && ran > 0 && aUsed.mCoreMicros > 0) {
    const double milliCores = 1000.0 * static_cast<double>(aUsed.mCoreMicros) / ran;
    aRecord.mCores.record(milliCores / static_cast<double>(aDeclared.mAmounts.mCores.value()));
  }
  if (aDeclared.mAmounts.mMemory.value() > 0 && aUsed.mPeakMemory.value() > 0) {
    aRecord.mMemory.record(static_cast<double>(aUsed.mPeakMemory.value()) /
                           static_cast<double>(aDeclared.mAmounts.mMemory.value()));
  }
  if (ran > 0) {
    aRecord.mRunTime.record(ran / static_cast<double>(RunTimeBase(aDeclared).count()));
  }
}

double
Ratio(const UseRatios& aRatios, double aQuantile, const SizesPolicy& aPolicy)
{
  if (aRatios.count() == 0) {
    return 1.0;
  }
  const double seen = std::max(aRatios.quantile(aQuantile) * aPolicy.mMargin, aPolicy.mFloor);
  if (aRatios.count() < aPolicy.mSafe) {
    return std::max(1.0, seen);
  }
  if (seen >= 1.0 || aRatios.count() >= aPolicy.mFull) {
    return seen;
  }
  const double weight = static_cast<double>(aRatios.count() - aPolicy.mSafe) /
                        static_cast<double>(aPolicy.mFull - aPolicy.mSafe);
  return 1.0 + weight * (seen - 1.0);
}

std::int64_t
Scale(std::int64_t aAmount, double aRatio)
{
  return static_cast<std::int64_t>(std::ceil(static_cast<double>(aAmount) * aRatio));
}

} // namespace

void
UseRatios::record(double aRatio)
{
  const double place = std::ceil((std::log2(std::max(aRatio, 1e-9)) + kDoublings) * kPerDoubling);
  ++mBuckets[static_cast<std::size_t>(std::clamp(place, 0.0, kBuckets - 1.0))];
  if (++mCount < kFadeAt) {
    return;
  }
  mCount = 0;
  for (std::uint16_t& bucket : mBuckets) {
    bucket = static_cast<std::uint16_t>(bucket / 2);
    mCount += bucket;
  }
}

double
UseRatios::quantile(double aQuantile) const
{
  const double wanted = aQuantile * mCount;
  double below = 0;
  for (std::size_t i = 0; i < mBuckets.size(); ++i) {
    below += mBuckets[i];
    if (mBuckets[i] > 0 && below >= wanted) {
      return std::exp2(static_cast<double>(i) / kPerDoubling - kDoublings);
    }
  }
  return 1.0;
}

void
RecordUse(SizeModel& aModel,
          const Common::RouteId& aRoute,
          const Common::ClientId& aClient,
          const TaskSize& aDeclared,
          const MeasuredUse& aUsed)
{
  bool young = false;
  for (const std::string& key : { aRoute.str(), aRoute.str() + '\0' + aClient.str() }) {
    if (SizeRecord* record = RecordFor(aModel, key)) {
      Record(*record, aDeclared, aUsed);
      young = young || record->mRunTime.count() <= aModel.mPolicy.mFull;
    }
  }
  // Estimates that rest on many records move slowly, so they are asked for again less often.
  ++aModel.mRecorded;
  if (young || aModel.mRecorded % 64 == 0) {
    ++aModel.mVersion;
  }
}

TaskSize
CorrectSize(const SizeModel& aModel,
            const Common::RouteId& aRoute,
            const Common::ClientId& aClient,
            const TaskSize& aDeclared)
{
  const SizesPolicy& policy = aModel.mPolicy;
  auto found = aModel.mRecords.find(aRoute.str() + '\0' + aClient.str());
  if (found == aModel.mRecords.end() || found->second.mRunTime.count() < policy.mFull) {
    found = aModel.mRecords.find(aRoute.str());
  }
  if (found == aModel.mRecords.end()) {
    return aDeclared;
  }
  const SizeRecord& record = found->second;
  TaskSize size = aDeclared;
  size.mAmounts.mCores = Common::MilliCores(
    Scale(aDeclared.mAmounts.mCores.value(), Ratio(record.mCores, policy.mCoreQuantile, policy)));
  size.mAmounts.mMemory = Common::Bytes(Scale(
    aDeclared.mAmounts.mMemory.value(), Ratio(record.mMemory, policy.mMemoryQuantile, policy)));
  size.mRunTime = Common::Duration(
    Scale(RunTimeBase(aDeclared).count(), Ratio(record.mRunTime, policy.mRunTimeQuantile, policy)));
  return size;
}

} // namespace Jobs
