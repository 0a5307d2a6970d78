#include "Admission/Limiter.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

constexpr Common::Duration kWindow = std::chrono::milliseconds(250);
// Below this many samples the mean of a window is mostly noise.
constexpr std::uint32_t kMinSamples = 16;
constexpr std::size_t kMaxRoutes = 256;
// Latency above this multiple of the baseline counts as congestion; smaller rises are noise.
constexpr double kTolerance = 1.7;
constexpr double kSmoothing = 0.3;
constexpr double kMinGradient = 0.5;
constexpr double kBaselineDown = 0.3;
// A route that has become slower for good is accepted as such within about a minute.
constexpr double kBaselineUp = 0.01;

double
CloseWindow(Limiter& aLimiter)
{
  double ratioSum = 0;
  double count = 0;
  for (auto& [name, route] : aLimiter.mRoutes) {
    if (route.mWindowCount == 0) {
      continue;
    }
    const double mean = route.mWindowMicros / route.mWindowCount;
    if (route.mBaselineMicros <= 0) {
      route.mBaselineMicros = mean;
    }
    ratioSum += mean / std::max(1.0, route.mBaselineMicros) * route.mWindowCount;
    count += route.mWindowCount;
    const double rate = mean < route.mBaselineMicros ? kBaselineDown : kBaselineUp;
    route.mBaselineMicros += rate * (mean - route.mBaselineMicros);
    route.mWindowMicros = 0;
    route.mWindowCount = 0;
  }
  return count > 0 ? ratioSum / count : 1;
}

} // namespace

void
AddLatency(Limiter& aLimiter,
           const Common::RouteId& aRoute,
           Common::Duration aLatency,
           std::int64_t aInUse)
{
  auto found = aLimiter.mRoutes.find(aRoute);
  if (found == aLimiter.mRoutes.end()) {
    if (aLimiter.mRoutes.size() >= kMaxRoutes) {
      return;
    }
    found = aLimiter.mRoutes.emplace(aRoute, RouteLatency{}).first;
  }
  found->second.mWindowMicros += static_cast<double>(std::max<std::int64_t>(1, aLatency.count()));
  ++found->second.mWindowCount;
  ++aLimiter.mSamples;
  aLimiter.mPeakInUse = std::max(aLimiter.mPeakInUse, aInUse);
}

void
StepLimit(Limiter& aLimiter, std::int64_t aHardLimit, Common::Timestamp aNow)
{
  const double hard = static_cast<double>(aHardLimit);
  const double floor = std::min(hard, std::max(1.0, aLimiter.mFloor));
  if (aLimiter.mLimit <= 0) {
    aLimiter.mLimit = hard;
  }
  if (aNow - aLimiter.mWindowStart >= kWindow && aLimiter.mSamples >= kMinSamples) {
    const double ratio = CloseWindow(aLimiter);
    const double gradient = std::clamp(kTolerance / ratio, kMinGradient, 1.0);
    if (gradient < 1) {
      aLimiter.mLimit *= 1 - kSmoothing * (1 - gradient);
    } else if (static_cast<double>(aLimiter.mPeakInUse) >= std::floor(aLimiter.mLimit)) {
      aLimiter.mLimit += std::max(0.25, std::sqrt(aLimiter.mLimit) / 8);
    }
    aLimiter.mWindowStart = aNow;
    aLimiter.mSamples = 0;
    aLimiter.mPeakInUse = 0;
  }
  aLimiter.mLimit = std::clamp(aLimiter.mLimit, floor, hard);
}

} // namespace Admission
