#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Tables/Tables.h"

namespace Admission {

constexpr std::size_t kUrgencies = 3;

constexpr std::size_t
IndexOf(Tables::Urgency aUrgency)
{
  return static_cast<std::size_t>(aUrgency);
}

/// Moving mean and mean deviation of measured service times, in microseconds.
struct ServiceTime
{
  double mMeanMicros = 0;
  double mDeviationMicros = 0;
  std::uint64_t mSamples = 0;
  Common::Timestamp mLastSampleAt;
};

/// Measured service times by route and by urgency class.
struct ServiceTimes
{
  std::map<Common::RouteId, ServiceTime> mRoutes;
  std::array<ServiceTime, kUrgencies> mClasses;
};

void
AddServiceTime(ServiceTimes& aTimes,
               const Common::RouteId& aRoute,
               Tables::Urgency aUrgency,
               Common::Duration aServiceTime,
               Common::Timestamp aNow);

/// The estimate for a route, or for its class if the route is unknown. All zero if nothing recent
/// is known.
ServiceTime
EstimateServiceTime(const ServiceTimes& aTimes,
                    const Common::RouteId& aRoute,
                    Tables::Urgency aUrgency,
                    Common::Timestamp aNow);

} // namespace Admission
