#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace Scheduling {

/// A range of occurrences, both ends included.
struct OccurrenceRange
{
  std::uint32_t mFirst = 0;
  std::uint32_t mLast = 0;
  bool operator==(const OccurrenceRange&) const = default;
};

/// Numbers of occurrences of a job. Its size grows with the gaps between them.
class OccurrenceSet
{
public:
  void add(std::uint32_t aNumber) { add(OccurrenceRange{ aNumber, aNumber }); }
  /// Ignored if the range ends before it begins.
  void add(OccurrenceRange aRange);
  bool contains(std::uint32_t aNumber) const;
  /// The first number from aFrom on that is missing.
  std::uint32_t nextMissing(std::uint32_t aFrom) const;
  std::uint32_t size() const { return mSize; }
  std::vector<OccurrenceRange> ranges() const;

private:
  /// The last number of each range by its first. The ranges neither overlap nor touch.
  std::map<std::uint32_t, std::uint32_t> mRanges;
  std::uint32_t mSize = 0;
};

} // namespace Scheduling
