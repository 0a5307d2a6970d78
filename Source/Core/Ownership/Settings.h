#pragma once

#include "Common/Clock.h"

namespace Ownership {

using Common::Duration;
using Common::Timestamp;

/// Times of the rules in sections 3.1 and 3.2 of the design page. All processes of a cell must use
/// the same values.
struct OwnerSettings
{
  /// Tenure that one heartbeat grants.
  Duration mTenure{ std::chrono::seconds(30) };
  /// Time to live of the platform's task lease.
  Duration mPlatformLease{ std::chrono::seconds(10) };
  /// Covers clocks that run at different speeds: 5 s in 45 s.
  Duration mMargin{ std::chrono::seconds(5) };
  /// Age up to which a majority's acknowledgement counts for tenure.
  Duration mMajorityWindow{ std::chrono::seconds(10) };
  /// The same for restarts. A later owner that got its majority before the platform leases of a
  /// silent agent ended may have kept the tasks there alive, so this must be clearly below mMargin.
  Duration mRestartWindow{ std::chrono::seconds(2) };
  /// The same for answers to key claims.
  Duration mKeyWindow{ std::chrono::seconds(3) };
  /// Time from the majority's acceptance to the takeover time of the key registry; mKeyWindow and
  /// 1 s for clock error.
  Duration mKeyTakeover{ std::chrono::seconds(4) };

  Duration mStoreLease{ std::chrono::seconds(6) };
  Duration mRenewEvery{ std::chrono::seconds(2) };
  Duration mHeartbeatEvery{ std::chrono::seconds(1) };
  /// An instance that heard no owner for this long looks at the store.
  Duration mOwnerSilence{ std::chrono::seconds(6) };
  /// Others leave a named successor this much time.
  Duration mSuccessorGrace{ std::chrono::seconds(3) };
  /// Changes of the roster are gathered for this long.
  Duration mRosterEvery{ std::chrono::seconds(2) };
  /// An agent without an answer for this long is not added to the roster.
  Duration mHeardWithin{ std::chrono::seconds(3) };
  /// Wait after a failed store call; up to the same again is added at random.
  Duration mStoreRetry{ std::chrono::seconds(1) };
};

/// Time after which a task of a silent agent has certainly ended.
constexpr Duration
SilenceLimit(const OwnerSettings& aSettings)
{
  return aSettings.mTenure + aSettings.mPlatformLease + aSettings.mMargin;
}

} // namespace Ownership
