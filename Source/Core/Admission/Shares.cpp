#include "Admission/Shares.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

// Time constant of the moving average of the slots in use by a class. A shorter one loses the
// demand of a class between its bursts, a longer one keeps slots idle after its traffic has ended.
constexpr double kMeanInUseTimeMicros = 2e6;
// Bound of the credit, as a multiple of the class's mean service time, so that a class that waited
// long for a slot does not take all slots afterwards.
constexpr double kMaxCreditServiceTimes = 4;
// Service time assumed for a class without samples.
constexpr double kDefaultServiceMicros = 1e5;
// Fraction by which the tail latency of urgent requests may grow under an overload of less urgent
// ones. The tail is taken to lie kTailDeviations mean deviations above the mean.
constexpr double kTailTolerance = 0.3;
constexpr double kTailDeviations = 3;
// Lower bound of the slots available to a class, so that the predicted wait of a class without a
// guarantee is finite.
constexpr double kMinAvailableSlots = 0.1;

double
GuaranteedSlots(const Gate& aGate, std::size_t aClass)
{
  return aGate.mClassUse[aClass].mGuaranteedShare * static_cast<double>(SlotLimit(aGate));
}

/// Delay of an urgent request by a less urgent one in the last free slot, as a fraction of the
/// delay that the urgent class tolerates: from 0 for a negligible delay to 1 for one at or above
/// the tolerance, or if either class has no samples.
double
BlockingImpact(const Gate& aGate, std::size_t aUrgent, std::size_t aOther)
{
  const ServiceTime& urgent = aGate.mServiceTimes.mClasses[aUrgent];
  const ServiceTime& other = aGate.mServiceTimes.mClasses[aOther];
  if (urgent.mSamples == 0 || other.mSamples == 0) {
    return 1;
  }
  // With n busy slots, the next one becomes free after 1/n of a service time on average.
  const double wait =
    other.mMeanMicros / std::max<double>(1, static_cast<double>(SlotLimit(aGate)));
  const double tail = urgent.mMeanMicros + kTailDeviations * urgent.mDeviationMicros;
  return std::min(1.0, wait / (kTailTolerance * tail));
}

/// Free slots that aClass must leave for bursts of more urgent classes.
double
HeadroomSlots(const Gate& aGate, std::size_t aClass)
{
  double headroom = 0;
  for (std::size_t i = 0; i < aClass; ++i) {
    const ClassUse& use = aGate.mClassUse[i];
    // Mean demand plus up to one standard deviation, for Poisson-distributed demand.
    const double wanted =
      use.mMeanInUse + BlockingImpact(aGate, i, aClass) * std::sqrt(use.mMeanInUse);
    headroom += std::max(0.0, wanted - static_cast<double>(use.mInUse));
  }
  // At least one slot is never kept as headroom; otherwise a class without a guarantee would never
  // run on a small endpoint.
  const double maxHeadroom = std::max(0.0, static_cast<double>(SlotLimit(aGate) - 1));
  return std::min(maxHeadroom, std::floor(headroom + 0.5));
}

} // namespace

void
ComputeShares(Gate& aGate)
{
  double sum = 0;
  for (ClassUse& use : aGate.mClassUse) {
    use.mGuaranteedShare = 0;
  }
  for (const Tables::MinShare& share : aGate.mLimits.mMinShares) {
    aGate.mClassUse[IndexOf(share.mUrgency)].mGuaranteedShare += share.mPercent / 100.0;
    sum += share.mPercent / 100.0;
  }
  for (ClassUse& use : aGate.mClassUse) {
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
  const double decay = std::exp(-elapsed / kMeanInUseTimeMicros);
  for (std::size_t i = 0; i < kUrgencyCount; ++i) {
    ClassUse& use = aGate.mClassUse[i];
    const double inUse = static_cast<double>(use.mInUse);
    use.mMeanInUse = decay * use.mMeanInUse + (1 - decay) * inUse;
    const double shortfall = (GuaranteedSlots(aGate, i) - inUse) * elapsed;
    // Credit grows only while the class has requests waiting. Use beyond the guarantee lowers it,
    // even if no other class needed the slots; the bound limits how long that counts against it.
    if (aGate.mQueues[i].mQueued > 0 || shortfall < 0) {
      const ServiceTime& time = aGate.mServiceTimes.mClasses[i];
      const double serviceMicros = time.mSamples > 0 ? time.mMeanMicros : kDefaultServiceMicros;
      const double bound = kMaxCreditServiceTimes * serviceMicros;
      use.mCreditSlotMicros = std::clamp(use.mCreditSlotMicros + shortfall, -bound, bound);
    }
  }
}

std::optional<std::size_t>
NextClass(const Gate& aGate)
{
  for (std::size_t i = 0; i < kUrgencyCount; ++i) {
    const ClassUse& use = aGate.mClassUse[i];
    const bool belowGuarantee = static_cast<double>(use.mInUse) + 1 <= GuaranteedSlots(aGate, i);
    if (aGate.mQueues[i].mQueued > 0 && use.mGuaranteedShare > 0 &&
        (belowGuarantee || use.mCreditSlotMicros > 0)) {
      return i;
    }
  }
  const double free = static_cast<double>(SlotLimit(aGate) - SlotsInUse(aGate));
  for (std::size_t i = 0; i < kUrgencyCount; ++i) {
    if (aGate.mQueues[i].mQueued > 0) {
      // No more urgent class has requests waiting, so only their headroom must stay free.
      return free > HeadroomSlots(aGate, i) ? std::optional(i) : std::nullopt;
    }
  }
  return std::nullopt;
}

double
AvailableSlots(const Gate& aGate, std::size_t aClass)
{
  double remaining = static_cast<double>(SlotLimit(aGate) - aGate.mForeignSlots.value());
  for (std::size_t i = 0; i < kUrgencyCount; ++i) {
    if (i == aClass) {
      continue;
    }
    const double wanted = static_cast<double>(aGate.mClassUse[i].mInUse) +
                          static_cast<double>(aGate.mQueues[i].mQueued);
    // A more urgent class is expected to take all the slots it wants, a less urgent one at most its
    // guarantee, although it keeps slots that it already holds until its requests finish.
    remaining -= i < aClass ? wanted : std::min(wanted, GuaranteedSlots(aGate, i));
  }
  return std::max({ kMinAvailableSlots, GuaranteedSlots(aGate, aClass), remaining });
}

} // namespace Admission
