#include "Jobs/Sizes.h"

#include <algorithm>
#include <cmath>

namespace Jobs {

namespace {

/// Used in place of the declared run time where there is none.
constexpr Common::Duration kDefaultRunTime = std::chrono::minutes(10);

/// Sample count at which all buckets are halved.
constexpr std::uint32_t kDecayThreshold = 512;

Common::Duration
DeclaredRunTime(const TaskSize& aDeclared)
{
  return aDeclared.mRunTime.count() > 0 ? aDeclared.mRunTime : kDefaultRunTime;
}

SizeHistograms*
FindOrAddHistograms(SizeModel& aModel, const std::string& aKey)
{
  const auto found = aModel.mHistograms.find(aKey);
  if (found != aModel.mHistograms.end()) {
    return &found->second;
  }
  if (aModel.mHistograms.size() >= aModel.mPolicy.mMaxHistograms) {
    return nullptr;
  }
  return &aModel.mHistograms[aKey];
}

void
AddSample(SizeHistograms& aHistograms, const TaskSize& aDeclared, const MeasuredUse& aUsed)
{
  const auto elapsedMicros = static_cast<double>(aUsed.mElapsed.count());
  if (aDeclared.mAmounts.mCores.value() > 0 && elapsedMicros > 0 && aUsed.mCoreMicros > 0) {
    const double milliCores = 1000.0 * static_cast<double>(aUsed.mCoreMicros) / elapsedMicros;
    aHistograms.mCores.record(milliCores / static_cast<double>(aDeclared.mAmounts.mCores.value()));
  }
  if (aDeclared.mAmounts.mMemory.value() > 0 && aUsed.mPeakMemory.value() > 0) {
    aHistograms.mMemory.record(static_cast<double>(aUsed.mPeakMemory.value()) /
                               static_cast<double>(aDeclared.mAmounts.mMemory.value()));
  }
  if (elapsedMicros > 0) {
    aHistograms.mRunTime.record(elapsedMicros /
                                static_cast<double>(DeclaredRunTime(aDeclared).count()));
  }
}

double
Ratio(const RatioHistogram& aRatios, double aQuantile, const SizePolicy& aPolicy)
{
  if (aRatios.count() == 0) {
    return 1.0;
  }
  const double observed =
    std::max(aRatios.quantile(aQuantile) * aPolicy.mSafetyFactor, aPolicy.mMinRatio);
  if (aRatios.count() < aPolicy.mMinSamples) {
    return std::max(1.0, observed);
  }
  if (observed >= 1.0 || aRatios.count() >= aPolicy.mFullWeightSamples) {
    return observed;
  }
  const double weight = static_cast<double>(aRatios.count() - aPolicy.mMinSamples) /
                        static_cast<double>(aPolicy.mFullWeightSamples - aPolicy.mMinSamples);
  return 1.0 + weight * (observed - 1.0);
}

std::int64_t
Scale(std::int64_t aAmount, double aRatio)
{
  return static_cast<std::int64_t>(std::ceil(static_cast<double>(aAmount) * aRatio));
}

} // namespace

void
RatioHistogram::record(double aRatio)
{
  const double bucketIndex =
    std::ceil((std::log2(std::max(aRatio, 1e-9)) + kDoublings) * kPerDoubling);
  ++mBuckets[static_cast<std::size_t>(std::clamp(bucketIndex, 0.0, kBuckets - 1.0))];
  if (++mCount < kDecayThreshold) {
    return;
  }
  mCount = 0;
  for (std::uint16_t& bucket : mBuckets) {
    bucket = static_cast<std::uint16_t>(bucket / 2);
    mCount += bucket;
  }
}

double
RatioHistogram::quantile(double aQuantile) const
{
  const double targetCount = aQuantile * mCount;
  double cumulativeCount = 0;
  for (std::size_t i = 0; i < mBuckets.size(); ++i) {
    cumulativeCount += mBuckets[i];
    if (mBuckets[i] > 0 && cumulativeCount >= targetCount) {
      return std::exp2(static_cast<double>(i) / kPerDoubling - kDoublings);
    }
  }
  return 1.0;
}

void
RecordMeasuredUse(SizeModel& aModel,
                  const Common::RouteId& aRoute,
                  const Common::ClientId& aClient,
                  const TaskSize& aDeclared,
                  const MeasuredUse& aUsed)
{
  bool isLearning = false;
  for (const std::string& key : { aRoute.str(), aRoute.str() + '\0' + aClient.str() }) {
    if (SizeHistograms* histograms = FindOrAddHistograms(aModel, key)) {
      AddSample(*histograms, aDeclared, aUsed);
      isLearning = isLearning || histograms->mRunTime.count() <= aModel.mPolicy.mFullWeightSamples;
    }
  }
  // Estimates based on many samples change slowly, so their users recompute them only after every
  // 64 samples.
  ++aModel.mSamples;
  if (isLearning || aModel.mSamples % 64 == 0) {
    ++aModel.mVersion;
  }
}

TaskSize
CorrectSize(const SizeModel& aModel,
            const Common::RouteId& aRoute,
            const Common::ClientId& aClient,
            const TaskSize& aDeclared)
{
  const SizePolicy& policy = aModel.mPolicy;
  auto found = aModel.mHistograms.find(aRoute.str() + '\0' + aClient.str());
  if (found == aModel.mHistograms.end() ||
      found->second.mRunTime.count() < policy.mFullWeightSamples) {
    found = aModel.mHistograms.find(aRoute.str());
  }
  if (found == aModel.mHistograms.end()) {
    return aDeclared;
  }
  const SizeHistograms& histograms = found->second;
  TaskSize size = aDeclared;
  size.mAmounts.mCores = Common::MilliCores(Scale(
    aDeclared.mAmounts.mCores.value(), Ratio(histograms.mCores, policy.mCoreQuantile, policy)));
  size.mAmounts.mMemory = Common::Bytes(Scale(
    aDeclared.mAmounts.mMemory.value(), Ratio(histograms.mMemory, policy.mMemoryQuantile, policy)));
  size.mRunTime =
    Common::Duration(Scale(DeclaredRunTime(aDeclared).count(),
                           Ratio(histograms.mRunTime, policy.mRunTimeQuantile, policy)));
  return size;
}

} // namespace Jobs
