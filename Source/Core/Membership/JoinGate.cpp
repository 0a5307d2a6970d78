#include "Membership/JoinGate.h"

#include <algorithm>
#include <cmath>

namespace Membership {

namespace {

constexpr Common::Duration kMaxRetryAfter = std::chrono::minutes(1);

Common::Duration
Seconds(double aSeconds)
{
  return std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(aSeconds));
}

double
InSeconds(Common::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

Common::Duration
FirstContactDelay(Common::Random& aRandom, Common::Duration aSpread)
{
  return Seconds(aRandom.unit() * InSeconds(aSpread));
}

Common::Duration
BackOff(std::uint32_t aFailures,
        Common::Random& aRandom,
        Common::Duration aBase,
        Common::Duration aCap)
{
  const double factor = std::pow(2.0, std::min<std::uint32_t>(aFailures, 30));
  const double bound = std::min(InSeconds(aCap), InSeconds(aBase) * factor);
  return std::max(Common::Duration(1), Seconds(bound * (1.0 - aRandom.unit())));
}

JoinDecision
AdmitJoin(JoinGate& aGate, Common::Timestamp aNow)
{
  const double elapsed = std::max(0.0, InSeconds(aNow - aGate.mRefilledAt));
  aGate.mRefilledAt = aNow;
  aGate.mTokens = std::min(aGate.mBurst, aGate.mTokens + elapsed * aGate.mRatePerSecond);
  if (aGate.mTokens >= 1.0) {
    aGate.mTokens -= 1.0;
    return { true, {} };
  }
  // Each refused join gets the next free place in a schedule at the admitted rate, so that the
  // refused ones do not come back together. A place is not a token: a process may die before it
  // returns.
  const Common::Duration interval = Seconds(1.0 / aGate.mRatePerSecond);
  const Common::Timestamp latest = aNow + kMaxRetryAfter;
  aGate.mNextPlace = std::min(latest, std::max(aGate.mNextPlace, aNow) + interval);
  return { false, aGate.mNextPlace - aNow };
}

} // namespace Membership
