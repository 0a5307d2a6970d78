#include "Admission/ServiceTimes.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

// Further routes are recorded only after others have expired.
constexpr std::size_t kMaxRoutes = 256;
// Weight of a new sample in the moving averages once there are enough samples.
constexpr double kMinSmoothingFactor = 0.05;
// An estimate so high that every request is refused gets no new samples. It expires after this
// time, so that a request is tried again.
constexpr Common::Duration kEstimateLifetime = std::chrono::seconds(5);

void
AddSample(ServiceTime& aTime, double aMicros, Common::Timestamp aNow)
{
  const bool expired = aTime.mSamples == 0 || aNow - aTime.mLastSampleAt > kEstimateLifetime;
  if (expired) {
    aTime = { aMicros, aMicros / 2, 1, aNow };
    return;
  }
  ++aTime.mSamples;
  const double smoothing = std::max(kMinSmoothingFactor, 1.0 / static_cast<double>(aTime.mSamples));
  aTime.mDeviationMicros +=
    smoothing * (std::abs(aMicros - aTime.mMeanMicros) - aTime.mDeviationMicros);
  aTime.mMeanMicros += smoothing * (aMicros - aTime.mMeanMicros);
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
  AddSample(aTimes.mClasses[IndexOf(aUrgency)], micros, aNow);
  if (aTimes.mRoutes.size() >= kMaxRoutes && !aTimes.mRoutes.contains(aRoute)) {
    std::erase_if(aTimes.mRoutes, [&](const auto& aEntry) {
      return aNow - aEntry.second.mLastSampleAt > kEstimateLifetime;
    });
    if (aTimes.mRoutes.size() >= kMaxRoutes) {
      return;
    }
  }
  AddSample(aTimes.mRoutes[aRoute], micros, aNow);
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
