#pragma once

#include <algorithm>
#include <cstddef>

#include "Common/Clock.h"

namespace Node {

/// The part of an instance's link that one kind of traffic may use. Unused bytes are kept up to a
/// limit, and bytes that were sent beyond the share are made up for later.
struct LinkShare
{
  /// 0 if the speed of the link is not known; the traffic is not limited then.
  double mBytesPerSecond = 0;
  double mMaxBytes = 0;
  double mBytes = 0;
  Common::Timestamp mFilledAt;
};

/// aLinkSpeed is in Mbit/s. What was not used in the last aBurst can be sent at once.
inline LinkShare
MakeLinkShare(double aLinkSpeed, double aShare, Common::Duration aBurst, Common::Timestamp aNow)
{
  constexpr double kBytesPerMegabit = 1'000'000.0 / 8;
  const double rate = aLinkSpeed * kBytesPerMegabit * aShare;
  const double most = rate * std::chrono::duration<double>(aBurst).count();
  return { rate, most, most, aNow };
}

inline bool
IsLimited(const LinkShare& aShare)
{
  return aShare.mBytesPerSecond > 0;
}

/// Bytes that may be sent now; 0 or less if none.
inline double
BytesLeft(LinkShare& aShare, Common::Timestamp aNow)
{
  const double seconds = std::chrono::duration<double>(aNow - aShare.mFilledAt).count();
  aShare.mBytes = std::min(aShare.mMaxBytes, aShare.mBytes + seconds * aShare.mBytesPerSecond);
  aShare.mFilledAt = aNow;
  return aShare.mBytes;
}

inline void
Spend(LinkShare& aShare, std::size_t aBytes)
{
  aShare.mBytes -= static_cast<double>(aBytes);
}

} // namespace Node
