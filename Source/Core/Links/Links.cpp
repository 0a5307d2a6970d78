#include "Links/Links.h"

#include <algorithm>

namespace Links {

namespace {

constexpr double kMicrosPerSecond = 1e6;

double
Rate(const LinkBudget& aLink)
{
  return std::max(1.0, static_cast<double>(aLink.mRules.mBytesPerSecond.value()));
}

double
Burst(const LinkBudget& aLink)
{
  return std::max(1.0, static_cast<double>(aLink.mRules.mBurst.value()));
}

void
Refill(LinkBudget& aLink, Common::Timestamp aNow)
{
  const double elapsed = static_cast<double>((aNow - aLink.mRefilled).count()) / kMicrosPerSecond;
  if (elapsed <= 0) {
    return;
  }
  aLink.mRefilled = aNow;
  aLink.mTokens = std::min(Burst(aLink), aLink.mTokens + elapsed * Rate(aLink));
  for (std::size_t i = 0; i < kPurposes; ++i) {
    const double share = aLink.mRules.mMinShare[i];
    aLink.mOwnTokens[i] =
      std::min(share * Burst(aLink), aLink.mOwnTokens[i] + share * elapsed * Rate(aLink));
  }
}

/// Tokens that must be there before the purpose may send: what it leaves to others, and the message
/// as far as the bucket can ever hold it.
double
Needed(const LinkBudget& aLink, std::size_t aPurpose, double aSize)
{
  const double keep = aLink.mRules.mKeep[aPurpose] * Burst(aLink);
  return std::min(Burst(aLink), keep + aSize);
}

bool
OwnShareCovers(const LinkBudget& aLink, std::size_t aPurpose, double aSize)
{
  const double cap = aLink.mRules.mMinShare[aPurpose] * Burst(aLink);
  return cap > 0 && aLink.mOwnTokens[aPurpose] >= std::min(cap, aSize);
}

} // namespace

LinkBudget
MakeLinkBudget(const LinkRules& aRules, Common::Timestamp aNow)
{
  LinkBudget link;
  link.mRules = aRules;
  link.mTokens = Burst(link);
  link.mRefilled = aNow;
  return link;
}

LinkGrant
SpendLink(LinkBudget& aLink, Purpose aPurpose, Common::Bytes aSize, Common::Timestamp aNow)
{
  Refill(aLink, aNow);
  const auto purpose = static_cast<std::size_t>(aPurpose);
  const double size = static_cast<double>(std::max<std::int64_t>(0, aSize.value()));
  const double needed = Needed(aLink, purpose, size);
  const bool own = OwnShareCovers(aLink, purpose, size);
  if (!own && aLink.mTokens < needed) {
    aLink.mRefusedBytes[purpose] += static_cast<std::uint64_t>(size);
    const double wait = (needed - aLink.mTokens) / Rate(aLink) * kMicrosPerSecond;
    return { false, Common::Duration(static_cast<std::int64_t>(wait) + 1) };
  }
  // The minimum share is part of the rate: its use delays the other purposes.
  aLink.mTokens -= size;
  // What a purpose sent beyond its share while nobody else wanted the link is not held against it.
  double& ownTokens = aLink.mOwnTokens[purpose];
  ownTokens = own ? ownTokens - size : std::max(std::min(0.0, ownTokens), ownTokens - size);
  aLink.mSentBytes[purpose] += static_cast<std::uint64_t>(size);
  return { true, Common::Duration(0) };
}

bool
LinkHasRoom(const LinkBudget& aLink, Purpose aPurpose, Common::Bytes aSize, Common::Timestamp aNow)
{
  LinkBudget copy = aLink;
  return SpendLink(copy, aPurpose, aSize, aNow).mGranted;
}

} // namespace Links
