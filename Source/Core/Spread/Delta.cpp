#include "Spread/Delta.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"

namespace Spread {

namespace {

TextDelta
MakeTextDelta(const std::string& aOld, const std::string& aNew)
{
  const std::size_t shorter = std::min(aOld.size(), aNew.size());
  const auto prefixEnd =
    std::mismatch(aOld.begin(), aOld.begin() + static_cast<std::ptrdiff_t>(shorter), aNew.begin());
  const auto prefix = static_cast<std::size_t>(prefixEnd.first - aOld.begin());
  std::size_t suffix = 0;
  while (suffix < shorter - prefix &&
         aOld[aOld.size() - 1 - suffix] == aNew[aNew.size() - 1 - suffix]) {
    ++suffix;
  }
  return { prefix, suffix, aNew.substr(prefix, aNew.size() - prefix - suffix) };
}

bool
FitsText(const TextDelta& aDelta, const std::string& aText)
{
  return aDelta.mPrefix <= aText.size() && aDelta.mSuffix <= aText.size() - aDelta.mPrefix;
}

std::string
ApplyTextDelta(const TextDelta& aDelta, const std::string& aText)
{
  std::string result = aText.substr(0, aDelta.mPrefix);
  result += aDelta.mMiddle;
  result += aText.substr(aText.size() - aDelta.mSuffix);
  return result;
}

} // namespace

std::uint64_t
HashTexts(const TableTexts& aTexts)
{
  return Common::HashBytes(aTexts.mPools, Common::HashBytes(aTexts.mRoutes));
}

Delta
MakeDelta(const Digest& aFrom, const TableTexts& aOld, const Digest& aTo, const TableTexts& aNew)
{
  return {
    aFrom, aTo, MakeTextDelta(aOld.mRoutes, aNew.mRoutes), MakeTextDelta(aOld.mPools, aNew.mPools)
  };
}

tl::expected<TableTexts, DeltaError>
ApplyDelta(const Digest& aHeld, const TableTexts& aTexts, const Delta& aDelta)
{
  if (aHeld != aDelta.mFrom) {
    return tl::unexpected(DeltaError::WrongBase);
  }
  if (!FitsText(aDelta.mRoutes, aTexts.mRoutes) || !FitsText(aDelta.mPools, aTexts.mPools)) {
    return tl::unexpected(DeltaError::Damaged);
  }
  TableTexts result{ ApplyTextDelta(aDelta.mRoutes, aTexts.mRoutes),
                     ApplyTextDelta(aDelta.mPools, aTexts.mPools) };
  if (HashTexts(result) != aDelta.mTo.mHash) {
    return tl::unexpected(DeltaError::Damaged);
  }
  return result;
}

std::size_t
DeltaBytes(const Delta& aDelta)
{
  // Two digests and two pairs of lengths beside the replaced bytes.
  constexpr std::size_t kFixedPart = 2 * 16 + 2 * 16;
  return kFixedPart + aDelta.mRoutes.mMiddle.size() + aDelta.mPools.mMiddle.size();
}

DeltaLog::DeltaLog(std::size_t aMaxDeltas, std::size_t aMaxBytes)
  : mMaxDeltas(aMaxDeltas)
  , mMaxBytes(aMaxBytes)
{
}

void
DeltaLog::append(Delta aDelta)
{
  if (!mDeltas.empty() && mDeltas.back().mTo != aDelta.mFrom) {
    mDeltas.clear();
    mBytes = 0;
  }
  mBytes += DeltaBytes(aDelta);
  mDeltas.push_back(std::move(aDelta));
  while (!mDeltas.empty() && (mDeltas.size() > mMaxDeltas || mBytes > mMaxBytes)) {
    mBytes -= DeltaBytes(mDeltas.front());
    mDeltas.erase(mDeltas.begin());
  }
}

std::vector<Delta>
DeltaLog::chainFrom(const Digest& aHeld, std::size_t aMaxBytes) const
{
  const auto start = std::find_if(
    mDeltas.begin(), mDeltas.end(), [&](const Delta& aDelta) { return aDelta.mFrom == aHeld; });
  std::size_t bytes = 0;
  for (auto it = start; it != mDeltas.end(); ++it) {
    bytes += DeltaBytes(*it);
  }
  if (bytes > aMaxBytes) {
    return {};
  }
  return { start, mDeltas.end() };
}

} // namespace Spread
