#pragma once

#include <array>
#include <cstdint>

namespace Common {

/// Counts of values in buckets whose width grows with the value; quantiles are within 1/16 of the
/// true value. Not safe for concurrent use.
class Histogram
{
public:
  /// Records a value; negative ones count as 0.
  void record(std::int64_t aValue, std::uint64_t aTimes = 1);
  void merge(const Histogram& aOther);

  std::uint64_t count() const { return mCount; }
  std::int64_t max() const { return mMax; }
  double mean() const;
  /// The upper bound of the bucket that holds the given quantile (0 to 1); 0 if empty.
  std::int64_t quantile(double aQuantile) const;

  /// Each doubling of the value has 2^kSubBits buckets.
  static constexpr int kSubBits = 4;

private:
  static constexpr int kBuckets = (64 - kSubBits) << kSubBits;

  std::array<std::uint64_t, kBuckets> mBuckets{};
  std::uint64_t mCount = 0;
  double mSum = 0;
  std::int64_t mMax = 0;
};

} // namespace Common
