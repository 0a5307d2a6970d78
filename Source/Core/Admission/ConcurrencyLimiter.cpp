#include "Admission/ConcurrencyLimiter.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

// The mean of this many service times is within about 4% of the true one, which is a quarter of the
// difference that a trial has to find.
constexpr std::uint32_t kWindowSamples = 400;
constexpr std::uint32_t kFewSamples = 64;
constexpr Common::Duration kLongWindow = std::chrono::seconds(2);
constexpr std::size_t kMaxRoutes = 256;
// Part of the limit that must be in use for latency to say anything about the limit.
constexpr double kSaturated = 0.97;
constexpr double kTrialStep = 0.75;
// Part of the added slots that must turn into throughput.
constexpr double kWorthwhile = 0.5;
// A trial costs up to a quarter of the slots for a window; the wait doubles while trials change
// nothing.
constexpr Common::Duration kFirstWait = std::chrono::seconds(10);
constexpr Common::Duration kLongestWait = std::chrono::seconds(80);

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
Saturated(const ConcurrencyLimiter& aLimiter)
{
  const double mean = static_cast<double>(aLimiter.mInUseSum) / aLimiter.mSamples;
  return mean >= kSaturated * std::floor(aLimiter.mLimit);
}

void
KeepReference(ConcurrencyLimiter& aLimiter)
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
Worthwhile(double aHigherBySlots, double aHigherByLatency)
{
  return aHigherByLatency < 1 + kWorthwhile * (aHigherBySlots - 1);
}

void
StartTrial(ConcurrencyLimiter& aLimiter, double aFloor, double aHard, Common::Timestamp aNow)
{
  const double slots = std::floor(aLimiter.mLimit);
  const double down = std::max(aFloor, std::min(slots - 1, std::floor(slots * kTrialStep)));
  const double up = std::min(aHard, std::max(slots + 1, std::floor(slots / kTrialStep)));
  const bool canDown = down < slots;
  const bool canUp = up > slots;
  if (!canDown && !canUp) {
    return;
  }
  const bool goUp = canUp && (aLimiter.mNextIsUp || !canDown);
  aLimiter.mBefore = slots;
  aLimiter.mLimit = goUp ? up : down;
  aLimiter.mPhase = goUp ? LimitPhase::TrialUp : LimitPhase::TrialDown;
  aLimiter.mSettling = true;
  StartWindow(aLimiter, aNow);
}

void
EndTrial(ConcurrencyLimiter& aLimiter, bool aSaturated, Common::Timestamp aNow)
{
  const bool up = aLimiter.mPhase == LimitPhase::TrialUp;
  const double slots = std::floor(aLimiter.mLimit) / aLimiter.mBefore;
  const double latency = LatencyRatio(aLimiter);
  const bool higherIsBetter = up ? Worthwhile(slots, latency) : Worthwhile(1 / slots, 1 / latency);
  const bool keep = aSaturated && higherIsBetter == up;
  aLimiter.mPhase = LimitPhase::Steady;
  aLimiter.mNextIsUp = keep == up;
  if (keep) {
    KeepReference(aLimiter);
    aLimiter.mTrialWait = kFirstWait;
    aLimiter.mNextTrial = aNow;
  } else {
    aLimiter.mLimit = aLimiter.mBefore;
    aLimiter.mNextTrial = aNow + aLimiter.mTrialWait;
    aLimiter.mTrialWait = std::min(2 * aLimiter.mTrialWait, kLongestWait);
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
    if (static_cast<double>(aInUse) > std::floor(aLimiter.mLimit)) {
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
StepLimit(ConcurrencyLimiter& aLimiter, std::int64_t aHardLimit, Common::Timestamp aNow)
{
  const double hard = static_cast<double>(aHardLimit);
  const double floor = std::min(hard, std::max(1.0, aLimiter.mFloor));
  if (aLimiter.mLimit <= 0) {
    aLimiter.mLimit = hard;
    aLimiter.mTrialWait = kFirstWait;
  }
  const bool full = aLimiter.mSamples >= kWindowSamples;
  const bool old = aNow - aLimiter.mWindowStart >= kLongWindow;
  if (full || (old && aLimiter.mSamples >= kFewSamples)) {
    const bool saturated = Saturated(aLimiter);
    if (aLimiter.mPhase != LimitPhase::Steady) {
      EndTrial(aLimiter, saturated, aNow);
    } else {
      KeepReference(aLimiter);
      StartWindow(aLimiter, aNow);
      if (saturated && aNow >= aLimiter.mNextTrial) {
        StartTrial(aLimiter, floor, hard, aNow);
      }
    }
  } else if (old && aLimiter.mPhase != LimitPhase::Steady && aLimiter.mSamples < kFewSamples) {
    // Too little traffic to judge the trial by.
    EndTrial(aLimiter, false, aNow);
  }
  aLimiter.mLimit = std::clamp(aLimiter.mLimit, floor, hard);
}

} // namespace Admission
