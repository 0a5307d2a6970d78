#include "Admission/ServiceTimes.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

constexpr std::size_t kMaxRoutes = 256;
constexpr double kMinSmoothingFactor = 0.05;
// An estimate that refuses all requests gets no new samples; it lapses after this time, so that a
// request is tried again.
constexpr Common::Duration kEstimateLifetime = std::chrono::seconds(5);

void
Add(ServiceTime& aTime, double aMicros, Common::Timestamp aNow)
{
  const bool lapsed = aTime.mSamples == 0 || aNow - aTime.mLastSampleAt > kEstimateLifetime;
  if (lapsed) {
    aTime = { aMicros, aMicros / 2, 1, aNow };
    return;
  }
  ++aTime.mSamples;
  const double rate = std::max(kMinSmoothingFactor, 1.0 / static_cast<double>(aTime.mSamples));
  aTime.mDeviationMicros += rate * (std::abs(aMicros - aTime.mMeanMicros) - aTime.mDeviationMicros);
  aTime.mMeanMicros += rate * (aMicros - aTime.mMeanMicros);
  aTime.mLastSampleAt = aNow;
}

} // namespace

void
AddServiceTime(ServiceTimes& aTimes,
               const Common::RouteId& aRoute,
               Tables::Urgency aUrgency,
               Common::Duration aServiceTime,
               Common::Timestamp aNow)
{
  const double micros = static_cast<double>(std::max<std::int64_t>(1, aServiceTime.count()));
  Add(aTimes.mClasses[IndexOf(aUrgency)], micros, aNow);
  if (aTimes.mRoutes.size() >= kMaxRoutes && !aTimes.mRoutes.contains(aRoute)) {
    std::erase_if(aTimes.mRoutes, [&](const auto& aEntry) {
      return aNow - aEntry.second.mLastSampleAt > kEstimateLifetime;
    });
    if (aTimes.mRoutes.size() >= kMaxRoutes) {
      return;
    }
  }
  Add(aTimes.mRoutes[aRoute], micros, aNow);
}

ServiceTime
EstimateServiceTime(const ServiceTimes& aTimes,
                    const Common::RouteId& aRoute,
                    Tables::Urgency aUrgency,
                    Common::Timestamp aNow)
{
  const auto recent = [&](const ServiceTime& aTime) {
    return aTime.mSamples > 0 && aNow - aTime.mLastSampleAt <= kEstimateLifetime;
  };
  const auto found = aTimes.mRoutes.find(aRoute);
  if (found != aTimes.mRoutes.end() && recent(found->second)) {
    return found->second;
  }
  const ServiceTime& ofClass = aTimes.mClasses[IndexOf(aUrgency)];
  return recent(ofClass) ? ofClass : ServiceTime{};
}

} // namespace Admission
