#pragma once

#include <cstdint>

#include "Common/Clock.h"
#include "Common/Random.h"

/// Keeps a restart of many processes at once from flooding the owner, the peers and the store.
namespace Membership {

/// Delay before the first contact of a fresh process; uniform up to aSpread. A rack or data centre
/// restarts its processes in the same second, so the first contacts are spread out.
Common::Duration
FirstContactDelay(Common::Random& aRandom, Common::Duration aSpread = std::chrono::seconds(5));

/// Exponential back-off with full jitter: uniform in (0, min(aCap, aBase * 2^aFailures)].
Common::Duration
BackOff(std::uint32_t aFailures,
        Common::Random& aRandom,
        Common::Duration aBase = std::chrono::milliseconds(100),
        Common::Duration aCap = std::chrono::seconds(10));

/// Token bucket for joins at an owner.
struct JoinGate
{
  double mRatePerSecond = 100;
  double mBurst = 50;
  double mTokens = 50;
  Common::Timestamp mRefilledAt;
  /// Time given to the last refused join.
  Common::Timestamp mNextPlace;
};

struct JoinDecision
{
  bool mAdmitted = false;
  /// If not admitted: when to try again; later for each refused join, so that the refused ones do
  /// not come back together.
  Common::Duration mRetryAfter{};
};

JoinDecision
AdmitJoin(JoinGate& aGate, Common::Timestamp aNow);

} // namespace Membership
