#include "Admission/ConcurrencyLimiter.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

// With this many samples the mean service time is within about 4% of the true mean, a quarter of
// the difference that a trial has to detect.
constexpr std::uint32_t kWindowSamples = 400;
// A window that has not reached kWindowSamples ends after kMaxWindowTime if it has at least
// kMinWindowSamples.
constexpr std::uint32_t kMinWindowSamples = 64;
constexpr Common::Duration kMaxWindowTime = std::chrono::seconds(2);
// Latency of further routes is not recorded.
constexpr std::size_t kMaxRoutes = 256;
// Fraction of the limit that must be in use on average; below it, latency does not depend on the
// limit.
constexpr double kSaturatedFraction = 0.97;
// Ratio of the lower to the higher limit of a trial.
constexpr double kTrialFactor = 0.75;
// Fraction of the added slots that must turn into throughput.
constexpr double kMinThroughputGain = 0.5;
// A trial costs up to a quarter of the slots for one window, so the interval between trials doubles
// while they change nothing.
constexpr Common::Duration kFirstTrialInterval = std::chrono::seconds(10);
constexpr Common::Duration kMaxTrialInterval = std::chrono::seconds(80);

void
StartWindow(ConcurrencyLimiter& aLimiter, Common::Timestamp aNow)
{
  aLimiter.mWindowStart = aNow;
  aLimiter.mCountFrom = aNow;
  aLimiter.mSamples = 0;
  aLimiter.mInUseSum = 0;
  for (auto& [name, route] : aLimiter.mRoutes) {
    route.mWindowMicros = 0;
    route.mWindowCount = 0;
  }
}

bool
IsSaturated(const ConcurrencyLimiter& aLimiter)
{
  const double mean = static_cast<double>(aLimiter.mInUseSum) / aLimiter.mSamples;
  return mean >= kSaturatedFraction * std::floor(aLimiter.mLimitSlots);
}

void
StoreReferenceLatency(ConcurrencyLimiter& aLimiter)
{
  for (auto& [name, route] : aLimiter.mRoutes) {
    if (route.mWindowCount > 0) {
      route.mReferenceMicros = route.mWindowMicros / route.mWindowCount;
    }
  }
}

/// Latency in the current window as a multiple of the reference latency, averaged over the routes
/// that have both; 1 if there are none.
double
LatencyRatio(const ConcurrencyLimiter& aLimiter)
{
  double ratios = 0;
  double count = 0;
  for (const auto& [name, route] : aLimiter.mRoutes) {
    if (route.mWindowCount > 0 && route.mReferenceMicros > 0) {
      ratios += route.mWindowMicros / route.mReferenceMicros;
      count += route.mWindowCount;
    }
  }
  return count > 0 ? ratios / count : 1;
}

/// True if the higher of two limits adds enough throughput for its latency. Both ratios are those
/// of the higher limit to the lower one.
bool
HigherLimitPaysOff(double aSlotRatio, double aLatencyRatio)
{
  return aLatencyRatio < 1 + kMinThroughputGain * (aSlotRatio - 1);
}

void
StartTrial(ConcurrencyLimiter& aLimiter, double aFloor, double aHardLimit, Common::Timestamp aNow)
{
  const double slots = std::floor(aLimiter.mLimitSlots);
  const double lowerLimit = std::max(aFloor, std::min(slots - 1, std::floor(slots * kTrialFactor)));
  const double higherLimit =
    std::min(aHardLimit, std::max(slots + 1, std::floor(slots / kTrialFactor)));
  const bool canDown = lowerLimit < slots;
  const bool canUp = higherLimit > slots;
  if (!canDown && !canUp) {
    return;
  }
  const bool goUp = canUp && (aLimiter.mNextTrialIsUp || !canDown);
  aLimiter.mLimitBeforeTrial = slots;
  aLimiter.mLimitSlots = goUp ? higherLimit : lowerLimit;
  aLimiter.mPhase = goUp ? LimitPhase::TrialUp : LimitPhase::TrialDown;
  aLimiter.mSettling = true;
  StartWindow(aLimiter, aNow);
}

void
EndTrial(ConcurrencyLimiter& aLimiter, bool aSaturated, Common::Timestamp aNow)
{
  const bool triedUp = aLimiter.mPhase == LimitPhase::TrialUp;
  const double slotRatio = std::floor(aLimiter.mLimitSlots) / aLimiter.mLimitBeforeTrial;
  const double latencyRatio = LatencyRatio(aLimiter);
  const bool higherIsBetter = triedUp ? HigherLimitPaysOff(slotRatio, latencyRatio)
                                      : HigherLimitPaysOff(1 / slotRatio, 1 / latencyRatio);
  const bool keep = aSaturated && higherIsBetter == triedUp;
  aLimiter.mPhase = LimitPhase::Steady;
  aLimiter.mNextTrialIsUp = keep == triedUp;
  if (keep) {
    StoreReferenceLatency(aLimiter);
    aLimiter.mTrialInterval = kFirstTrialInterval;
    aLimiter.mNextTrialAt = aNow;
  } else {
    aLimiter.mLimitSlots = aLimiter.mLimitBeforeTrial;
    aLimiter.mNextTrialAt = aNow + aLimiter.mTrialInterval;
    aLimiter.mTrialInterval = std::min(2 * aLimiter.mTrialInterval, kMaxTrialInterval);
  }
  aLimiter.mSettling = true;
  StartWindow(aLimiter, aNow);
}

} // namespace

void
AddLatency(ConcurrencyLimiter& aLimiter,
           const Common::RouteId& aRoute,
           Common::Duration aLatency,
           std::int64_t aInUse,
           Common::Timestamp aNow)
{
  if (aLimiter.mSettling) {
    if (static_cast<double>(aInUse) > std::floor(aLimiter.mLimitSlots)) {
      return;
    }
    aLimiter.mSettling = false;
    StartWindow(aLimiter, aNow);
  }
  if (aNow - aLatency < aLimiter.mCountFrom) {
    return;
  }
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
  aLimiter.mInUseSum += aInUse;
}

void
UpdateLimit(ConcurrencyLimiter& aLimiter, std::int64_t aHardLimit, Common::Timestamp aNow)
{
  const double hardLimit = static_cast<double>(aHardLimit);
  const double minLimit = std::min(hardLimit, std::max(1.0, aLimiter.mFloorSlots));
  if (aLimiter.mLimitSlots <= 0) {
    aLimiter.mLimitSlots = hardLimit;
    aLimiter.mTrialInterval = kFirstTrialInterval;
  }
  const bool complete = aLimiter.mSamples >= kWindowSamples;
  const bool expired = aNow - aLimiter.mWindowStart >= kMaxWindowTime;
  if (complete || (expired && aLimiter.mSamples >= kMinWindowSamples)) {
    const bool saturated = IsSaturated(aLimiter);
    if (aLimiter.mPhase != LimitPhase::Steady) {
      EndTrial(aLimiter, saturated, aNow);
    } else {
      StoreReferenceLatency(aLimiter);
      StartWindow(aLimiter, aNow);
      if (saturated && aNow >= aLimiter.mNextTrialAt) {
        StartTrial(aLimiter, minLimit, hardLimit, aNow);
      }
    }
  } else if (expired && aLimiter.mPhase != LimitPhase::Steady &&
             aLimiter.mSamples < kMinWindowSamples) {
    // Too few samples to evaluate the trial; restore the previous limit.
    EndTrial(aLimiter, false, aNow);
  }
  aLimiter.mLimitSlots = std::clamp(aLimiter.mLimitSlots, minLimit, hardLimit);
}

} // namespace Admission
