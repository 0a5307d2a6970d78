#pragma once

#include <cstdint>
#include <map>

#include "Common/Clock.h"
#include "Common/Ids.h"

namespace Admission {

/// Latency of one route in the current window, and at the limit in force before it.
struct RouteLatency
{
  double mReferenceMicros = 0;
  double mWindowMicros = 0;
  std::uint32_t mWindowCount = 0;
};

enum class LimitPhase
{
  /// Measures the latency at the limit in force.
  Steady,
  /// Measures it at a lower or higher limit, on trial.
  TrialDown,
  TrialUp,
};

/// Concurrency limit below the hard one, learned from the gradient of latency over concurrency.
/// While all slots are in use it tries a lower or higher limit for a window, and keeps the higher
/// of the two only if latency rises by less than half as much as the slots: beyond that, more
/// requests in progress make the endpoint slower instead of busier. Routes are compared with
/// themselves, so that a change of the mix does not look like congestion.
struct ConcurrencyLimiter
{
  /// Off by setting the floor to the hard limit.
  double mFloorSlots = 1;
  double mLimitSlots = 0;
  LimitPhase mPhase = LimitPhase::Steady;
  /// The limit before the trial under way.
  double mLimitBeforeTrial = 0;
  bool mNextTrialIsUp = false;
  Common::Timestamp mNextTrialAt;
  Common::Duration mTrialInterval{ 0 };
  Common::Timestamp mWindowStart;
  /// Requests that started before the window are not counted: they may have run under another
  /// limit, and all windows must leave out the longest requests alike.
  Common::Timestamp mCountFrom;
  /// Requests in progress still exceed a lowered limit.
  bool mSettling = false;
  std::uint32_t mSamples = 0;
  std::int64_t mInUseSum = 0;
  std::map<Common::RouteId, RouteLatency> mRoutes;
};

/// Adds the latency of a request that finished at aNow, when aInUse requests were in progress.
void
AddLatency(ConcurrencyLimiter& aLimiter,
           const Common::RouteId& aRoute,
           Common::Duration aLatency,
           std::int64_t aInUse,
           Common::Timestamp aNow);

/// Moves the limit at the end of a window; does nothing inside one. The limit stays within
/// [floor, aHardLimit].
void
UpdateLimit(ConcurrencyLimiter& aLimiter, std::int64_t aHardLimit, Common::Timestamp aNow);

} // namespace Admission
