#pragma once

#include <cstdint>
#include <map>

#include "Common/Clock.h"
#include "Common/Ids.h"

namespace Admission {

/// Latency of one route in the current window, and the latency it has when nothing is congested.
struct RouteLatency
{
  double mBaselineMicros = 0;
  double mWindowMicros = 0;
  std::uint32_t mWindowCount = 0;
};

/// Concurrency limit below the hard one, learned from latency. Routes are compared with their own
/// baselines, so that a change of the mix does not look like congestion.
struct Limiter
{
  /// Off by setting the floor to the hard limit.
  double mFloor = 1;
  double mLimit = 0;
  Common::Timestamp mWindowStart;
  std::uint32_t mSamples = 0;
  std::int64_t mPeakInUse = 0;
  std::map<Common::RouteId, RouteLatency> mRoutes;
};

/// Adds the latency of one finished request, seen while aInUse requests were in progress.
void
AddLatency(Limiter& aLimiter,
           const Common::RouteId& aRoute,
           Common::Duration aLatency,
           std::int64_t aInUse);

/// Moves the limit at the end of a window; does nothing inside one. The limit stays within
/// [floor, aHardLimit].
void
StepLimit(Limiter& aLimiter, std::int64_t aHardLimit, Common::Timestamp aNow);

} // namespace Admission
