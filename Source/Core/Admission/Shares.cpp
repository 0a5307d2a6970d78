#include "Admission/Shares.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

// Time over which the demand of a class is averaged. Shorter forgets a class between its bursts,
// longer keeps slots idle after a class has gone.
constexpr double kMeanInUseTimeMicros = 2e6;
// Credit is bounded to a few services of one slot, so that a class that waited long for a slot does
// not take all slots afterwards.
constexpr double kMaxCreditServiceTimes = 4;
constexpr double kDefaultServiceMicros = 1e5;
// The tail latency of urgent requests may grow by this part under a flood of less urgent ones; it
// is taken to lie this many mean deviations above the mean.
constexpr double kTailTolerance = 0.3;
constexpr double kTailDeviations = 3;
// A class without a guarantee still counts on a small part of a slot, so that its predicted wait is
// finite.
constexpr double kMinAvailableSlots = 0.1;

double
GuaranteedSlots(const Gate& aGate, std::size_t aClass)
{
  return aGate.mClassUsage[aClass].mGuaranteedShare * static_cast<double>(SlotLimit(aGate));
}

/// How much a less urgent request in the last free slot delays one of the urgent class, against the
/// delay that the urgent class can bear: 0 if it hardly matters, 1 if it is too much.
double
BlockingImpact(const Gate& aGate, std::size_t aUrgent, std::size_t aOther)
{
  const ServiceTime& urgent = aGate.mServiceTimes.mClasses[aUrgent];
  const ServiceTime& other = aGate.mServiceTimes.mClasses[aOther];
  if (urgent.mSamples == 0 || other.mSamples == 0) {
    return 1;
  }
  // The next of n slots frees up after a part 1/n of a service time on average.
  const double wait =
    other.mMeanMicros / std::max<double>(1, static_cast<double>(SlotLimit(aGate)));
  const double tail = urgent.mMeanMicros + kTailDeviations * urgent.mDeviationMicros;
  return std::min(1.0, wait / (kTailTolerance * tail));
}

/// Free slots to keep for bursts of the classes that are more urgent than aClass.
double
HeadroomSlots(const Gate& aGate, std::size_t aClass)
{
  double headroom = 0;
  for (std::size_t i = 0; i < aClass; ++i) {
    const ClassUsage& use = aGate.mClassUsage[i];
    // Up to one standard deviation of Poisson demand above its mean.
    const double wanted =
      use.mMeanInUse + BlockingImpact(aGate, i, aClass) * std::sqrt(use.mMeanInUse);
    headroom += std::max(0.0, wanted - static_cast<double>(use.mInUse));
  }
  // One slot is always lent, or a class without a guarantee would never run on a small endpoint.
  const double most = std::max(0.0, static_cast<double>(SlotLimit(aGate) - 1));
  return std::min(most, std::floor(headroom + 0.5));
}

} // namespace

void
ComputeShares(Gate& aGate)
{
  double sum = 0;
  for (ClassUsage& use : aGate.mClassUsage) {
    use.mGuaranteedShare = 0;
  }
  for (const Tables::MinShare& share : aGate.mLimits.mMinShares) {
    aGate.mClassUsage[IndexOf(share.mUrgency)].mGuaranteedShare += share.mPercent / 100.0;
    sum += share.mPercent / 100.0;
  }
  for (ClassUsage& use : aGate.mClassUsage) {
    use.mGuaranteedShare /= std::max(1.0, sum);
  }
}

void
AccrueCredit(Gate& aGate, Timestamp aNow)
{
  const double elapsed = static_cast<double>((aNow - aGate.mAccruedAt).count());
  if (elapsed <= 0) {
    return;
  }
  aGate.mAccruedAt = aNow;
  const double keep = std::exp(-elapsed / kMeanInUseTimeMicros);
  for (std::size_t i = 0; i < kUrgencies; ++i) {
    ClassUsage& use = aGate.mClassUsage[i];
    const double inUse = static_cast<double>(use.mInUse);
    use.mMeanInUse = keep * use.mMeanInUse + (1 - keep) * inUse;
    const double owed = (GuaranteedSlots(aGate, i) - inUse) * elapsed;
    // Credit grows only while the class has work waiting; use beyond the guarantee that nobody
    // else wanted is not held against the class for longer than the bound.
    if (aGate.mQueues[i].mQueued > 0 || owed < 0) {
      const ServiceTime& time = aGate.mServiceTimes.mClasses[i];
      const double service = time.mSamples > 0 ? time.mMeanMicros : kDefaultServiceMicros;
      const double bound = kMaxCreditServiceTimes * service;
      use.mCreditSlotMicros = std::clamp(use.mCreditSlotMicros + owed, -bound, bound);
    }
  }
}

std::optional<std::size_t>
NextClass(const Gate& aGate)
{
  for (std::size_t i = 0; i < kUrgencies; ++i) {
    const ClassUsage& use = aGate.mClassUsage[i];
    const bool below = static_cast<double>(use.mInUse) + 1 <= GuaranteedSlots(aGate, i);
    if (aGate.mQueues[i].mQueued > 0 && use.mGuaranteedShare > 0 &&
        (below || use.mCreditSlotMicros > 0)) {
      return i;
    }
  }
  const double free = static_cast<double>(SlotLimit(aGate) - SlotsInUse(aGate));
  for (std::size_t i = 0; i < kUrgencies; ++i) {
    if (aGate.mQueues[i].mQueued > 0) {
      // A more urgent class has nothing waiting here, so only its headroom stands before this one.
      return free > HeadroomSlots(aGate, i) ? std::optional(i) : std::nullopt;
    }
  }
  return std::nullopt;
}

double
AvailableSlots(const Gate& aGate, std::size_t aClass)
{
  double left = static_cast<double>(SlotLimit(aGate) - aGate.mForeignSlots.value());
  for (std::size_t i = 0; i < kUrgencies; ++i) {
    if (i == aClass) {
      continue;
    }
    const double wanted = static_cast<double>(aGate.mClassUsage[i].mInUse) +
                          static_cast<double>(aGate.mQueues[i].mQueued);
    // A more urgent class takes all it wants; a less urgent one only its guarantee, but keeps the
    // slots it has until its requests finish.
    left -= i < aClass ? wanted : std::min(wanted, GuaranteedSlots(aGate, i));
  }
  return std::max({ kMinAvailableSlots, GuaranteedSlots(aGate, aClass), left });
}

} // namespace Admission
