#include "Admission/ConcurrencyLimiter.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

// The mean of this many service times is within about 4% of the true one, which is a quarter of the
// difference that a trial has to find.
constexpr std::uint32_t kWindowSamples = 400;
constexpr std::uint32_t kMinWindowSamples = 64;
constexpr Common::Duration kMaxWindowTime = std::chrono::seconds(2);
constexpr std::size_t kMaxRoutes = 256;
// Part of the limit that must be in use for latency to say anything about the limit.
constexpr double kSaturatedFraction = 0.97;
constexpr double kTrialFactor = 0.75;
// Part of the added slots that must turn into throughput.
constexpr double kMinThroughputGain = 0.5;
// A trial costs up to a quarter of the slots for a window; the wait doubles while trials change
// nothing.
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

/// Latency in this window as a multiple of the reference, over the routes seen in both.
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

/// True if the higher of two limits gives enough throughput for its latency.
bool
HigherLimitPaysOff(double aSlotRatio, double aLatencyRatio)
{
  return aLatencyRatio < 1 + kMinThroughputGain * (aSlotRatio - 1);
}

void
StartTrial(ConcurrencyLimiter& aLimiter, double aFloor, double aHardLimit, Common::Timestamp aNow)
{
  const double slots = std::floor(aLimiter.mLimitSlots);
  const double down = std::max(aFloor, std::min(slots - 1, std::floor(slots * kTrialFactor)));
  const double up = std::min(aHardLimit, std::max(slots + 1, std::floor(slots / kTrialFactor)));
  const bool canDown = down < slots;
  const bool canUp = up > slots;
  if (!canDown && !canUp) {
    return;
  }
  const bool goUp = canUp && (aLimiter.mNextTrialIsUp || !canDown);
  aLimiter.mLimitBeforeTrial = slots;
  aLimiter.mLimitSlots = goUp ? up : down;
  aLimiter.mPhase = goUp ? LimitPhase::TrialUp : LimitPhase::TrialDown;
  aLimiter.mSettling = true;
  StartWindow(aLimiter, aNow);
}

void
EndTrial(ConcurrencyLimiter& aLimiter, bool aSaturated, Common::Timestamp aNow)
{
  const bool up = aLimiter.mPhase == LimitPhase::TrialUp;
  const double slots = std::floor(aLimiter.mLimitSlots) / aLimiter.mLimitBeforeTrial;
  const double latency = LatencyRatio(aLimiter);
  const bool higherIsBetter =
    up ? HigherLimitPaysOff(slots, latency) : HigherLimitPaysOff(1 / slots, 1 / latency);
  const bool keep = aSaturated && higherIsBetter == up;
  aLimiter.mPhase = LimitPhase::Steady;
  aLimiter.mNextTrialIsUp = keep == up;
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
  const double hard = static_cast<double>(aHardLimit);
  const double floor = std::min(hard, std::max(1.0, aLimiter.mFloorSlots));
  if (aLimiter.mLimitSlots <= 0) {
    aLimiter.mLimitSlots = hard;
    aLimiter.mTrialInterval = kFirstTrialInterval;
  }
  const bool full = aLimiter.mSamples >= kWindowSamples;
  const bool old = aNow - aLimiter.mWindowStart >= kMaxWindowTime;
  if (full || (old && aLimiter.mSamples >= kMinWindowSamples)) {
    const bool saturated = IsSaturated(aLimiter);
    if (aLimiter.mPhase != LimitPhase::Steady) {
      EndTrial(aLimiter, saturated, aNow);
    } else {
      StoreReferenceLatency(aLimiter);
      StartWindow(aLimiter, aNow);
      if (saturated && aNow >= aLimiter.mNextTrialAt) {
        StartTrial(aLimiter, floor, hard, aNow);
      }
    }
  } else if (old && aLimiter.mPhase != LimitPhase::Steady &&
             aLimiter.mSamples < kMinWindowSamples) {
    // Too little traffic to judge the trial by.
    EndTrial(aLimiter, false, aNow);
  }
  aLimiter.mLimitSlots = std::clamp(aLimiter.mLimitSlots, floor, hard);
}

} // namespace Admission
