#include "Scheduling/OccurrenceSet.h"

#include <algorithm>
#include <iterator>

namespace Scheduling {

void
OccurrenceSet::add(OccurrenceRange aRange)
{
  if (aRange.mLast < aRange.mFirst) {
    return;
  }
  auto next = mRanges.upper_bound(aRange.mFirst);
  // The range before may overlap or touch the new one.
  if (next != mRanges.begin() && std::prev(next)->second + std::uint64_t{ 1 } >= aRange.mFirst) {
    --next;
  }
  while (next != mRanges.end() && next->first <= aRange.mLast + std::uint64_t{ 1 }) {
    aRange.mFirst = std::min(aRange.mFirst, next->first);
    aRange.mLast = std::max(aRange.mLast, next->second);
    mSize -= next->second - next->first + 1;
    next = mRanges.erase(next);
  }
  mRanges.emplace(aRange.mFirst, aRange.mLast);
  mSize += aRange.mLast - aRange.mFirst + 1;
}

bool
OccurrenceSet::contains(std::uint32_t aNumber) const
{
  return nextMissing(aNumber) != aNumber;
}

std::uint32_t
OccurrenceSet::nextMissing(std::uint32_t aFrom) const
{
  const auto next = mRanges.upper_bound(aFrom);
  if (next == mRanges.begin() || std::prev(next)->second < aFrom) {
    return aFrom;
  }
  return std::prev(next)->second + 1;
}

std::vector<OccurrenceRange>
OccurrenceSet::ranges() const
{
  std::vector<OccurrenceRange> ranges;
  ranges.reserve(mRanges.size());
  for (const auto& [first, last] : mRanges) {
    ranges.push_back({ first, last });
  }
  return ranges;
}

} // namespace Scheduling
