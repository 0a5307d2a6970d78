#include "Common/Histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace Common {

namespace {

constexpr int kSubBits = Histogram::kSubBits;
constexpr std::uint64_t kSubCount = 1U << kSubBits;

std::size_t
BucketOf(std::uint64_t aValue)
{
  if (aValue < kSubCount) {
    return aValue;
  }
  const int shift = std::bit_width(aValue) - 1 - kSubBits;
  const std::uint64_t sub = (aValue >> shift) - kSubCount;
  return ((static_cast<std::size_t>(shift) + 1) << kSubBits) + sub;
}

std::int64_t
UpperBound(std::size_t aBucket)
{
  if (aBucket < kSubCount) {
    return static_cast<std::int64_t>(aBucket);
  }
  const std::uint64_t shift = (aBucket >> kSubBits) - 1;
  const std::uint64_t sub = (aBucket & (kSubCount - 1)) + kSubCount;
  return static_cast<std::int64_t>(((sub + 1) << shift) - 1);
}

} // namespace

void
Histogram::record(std::int64_t aValue, std::uint64_t aTimes)
{
  const std::int64_t value = std::max<std::int64_t>(aValue, 0);
  mBuckets[BucketOf(static_cast<std::uint64_t>(value))] += aTimes;
  mCount += aTimes;
  mSum += static_cast<double>(value) * static_cast<double>(aTimes);
  mMax = std::max(mMax, value);
}

void
Histogram::merge(const Histogram& aOther)
{
  for (std::size_t i = 0; i < mBuckets.size(); ++i) {
    mBuckets[i] += aOther.mBuckets[i];
  }
  mCount += aOther.mCount;
  mSum += aOther.mSum;
  mMax = std::max(mMax, aOther.mMax);
}

double
Histogram::mean() const
{
  return mCount == 0 ? 0.0 : mSum / static_cast<double>(mCount);
}

std::int64_t
Histogram::quantile(double aQuantile) const
{
  if (mCount == 0) {
    return 0;
  }
  const double wanted = std::ceil(aQuantile * static_cast<double>(mCount));
  const std::uint64_t rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(wanted));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < mBuckets.size(); ++i) {
    seen += mBuckets[i];
    if (seen >= rank) {
      return std::min(UpperBound(i), mMax);
    }
  }
  return mMax;
}

} // namespace Common
