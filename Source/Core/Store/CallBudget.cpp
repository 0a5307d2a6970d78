#include "Store/CallBudget.h"

#include <algorithm>
#include <cmath>

namespace Store {

namespace {

// Bounds the exponent; every delay is at its maximum long before.
constexpr std::uint32_t kMaxFailures = 30;

void
Fill(CallBudget::Bucket& aBucket, double aSeconds)
{
  aBucket.mTokens =
    std::min(aBucket.mRate.mBurst, aBucket.mTokens + aBucket.mRate.mPerSecond * aSeconds);
}

bool
Take(CallBudget::Bucket& aBucket)
{
  // Sums of rounded refills may be a little below a whole token.
  constexpr double kOneToken = 1 - 1e-9;
  if (aBucket.mTokens < kOneToken) {
    return false;
  }
  aBucket.mTokens -= 1;
  return true;
}

} // namespace

CallBudget
MakeCallBudget(const std::array<CallRate, kPurposes>& aOwn,
               CallRate aShared,
               Common::Timestamp aNow)
{
  CallBudget budget;
  for (std::size_t i = 0; i < kPurposes; ++i) {
    budget.mOwn[i] = { aOwn[i], aOwn[i].mBurst };
  }
  budget.mShared = { aShared, aShared.mBurst };
  budget.mFilled = aNow;
  return budget;
}

bool
TakeCall(CallBudget& aBudget, Purpose aPurpose, Common::Timestamp aNow)
{
  const double seconds =
    std::chrono::duration<double>(std::max(aNow - aBudget.mFilled, Common::Duration(0))).count();
  for (CallBudget::Bucket& bucket : aBudget.mOwn) {
    Fill(bucket, seconds);
  }
  Fill(aBudget.mShared, seconds);
  aBudget.mFilled = std::max(aBudget.mFilled, aNow);
  const auto index = static_cast<std::size_t>(aPurpose);
  if (Take(aBudget.mOwn[index]) || Take(aBudget.mShared)) {
    ++aBudget.mTaken[index];
    return true;
  }
  ++aBudget.mRefused[index];
  return false;
}

void
NoteFailure(BackOff& aBackOff,
            const BackOffSettings& aSettings,
            Common::Timestamp aNow,
            Common::Random& aRandom)
{
  const double bound =
    std::min(static_cast<double>(aSettings.mMax.count()),
             static_cast<double>(aSettings.mFirst.count()) * std::pow(2.0, aBackOff.mFailures));
  aBackOff.mFailures = std::min(aBackOff.mFailures + 1, kMaxFailures);
  aBackOff.mNextCall = aNow + Common::Duration(std::llround(bound * (0.5 + aRandom.unit() / 2)));
}

void
NoteSuccess(BackOff& aBackOff)
{
  aBackOff = {};
}

bool
MayCall(const BackOff& aBackOff, Common::Timestamp aNow)
{
  return aBackOff.mFailures <= 1 || aNow >= aBackOff.mNextCall;
}

} // namespace Store
