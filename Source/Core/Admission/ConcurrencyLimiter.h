#pragma once

#include <cstdint>
#include <map>

#include "Common/Clock.h"
#include "Common/Ids.h"

namespace Admission {

/// Latency of one route: the mean of its last window at the limit in force, as a reference, and the
/// sum and number of samples in the current window.
struct RouteLatency
{
  double mReferenceMicros = 0;
  double mWindowMicros = 0;
  std::uint32_t mWindowCount = 0;
};

enum class LimitPhase
{
  /// Measures latency at the limit in force.
  Steady,
  /// Measures latency at a lower or higher limit before deciding whether to keep it.
  TrialDown,
  TrialUp,
};

/// Adaptive concurrency limit below the hard one, learned from the gradient of latency over
/// concurrency. While all slots are in use it tries a lower or higher limit for one window, and
/// keeps the higher of the two only if the relative rise in latency is less than half of the
/// relative rise in slots: beyond that, more requests in progress raise latency rather than
/// throughput. Each route is compared only with itself, so that a change in the mix of routes is
/// not taken for congestion.
struct ConcurrencyLimiter
{
  /// Lower bound of the limit. Setting it to the hard limit turns adaptation off.
  double mFloorSlots = 1;
  /// The adaptive limit; 0 until the first UpdateLimit.
  double mLimitSlots = 0;
  LimitPhase mPhase = LimitPhase::Steady;
  /// The limit to return to if the current trial fails.
  double mLimitBeforeTrial = 0;
  bool mNextTrialIsUp = false;
  Common::Timestamp mNextTrialAt;
  /// Time from a trial that changed nothing to the next trial.
  Common::Duration mTrialInterval{ 0 };
  Common::Timestamp mWindowStart;
  /// Requests that started before this time are left out: they may have run under another limit,
  /// and every window must exclude the longest requests in the same way to be comparable.
  Common::Timestamp mCountFrom;
  /// True after a change of the limit until the requests in progress are within it. Latency is not
  /// recorded in the meantime.
  bool mSettling = false;
  std::uint32_t mSamples = 0;
  /// Sum over the samples of the number of requests in progress.
  std::int64_t mInUseSum = 0;
  std::map<Common::RouteId, RouteLatency> mRoutes;
};

/// Records the latency of a request that finished at aNow while aInUse requests, itself included,
/// were in progress.
void
AddLatency(ConcurrencyLimiter& aLimiter,
           const Common::RouteId& aRoute,
           Common::Duration aLatency,
           std::int64_t aInUse,
           Common::Timestamp aNow);

/// Updates the limit at the end of a measurement window and always clamps it to [mFloorSlots,
/// aHardLimit]. The first call sets it to aHardLimit.
void
UpdateLimit(ConcurrencyLimiter& aLimiter, std::int64_t aHardLimit, Common::Timestamp aNow);

} // namespace Admission
