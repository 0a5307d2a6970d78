#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Tables/Tables.h"

namespace Admission {

/// Number of values of Tables::Urgency.
constexpr std::size_t kUrgencyCount = 3;

constexpr std::size_t
IndexOf(Tables::Urgency aUrgency)
{
  return static_cast<std::size_t>(aUrgency);
}

/// Exponential moving average and mean absolute deviation of measured service times.
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
  std::array<ServiceTime, kUrgencyCount> mClasses;
};

/// Records a measured service time for the route and its class. A new route is left out while the
/// map of routes is full of recent ones.
void
AddServiceTime(ServiceTimes& aTimes,
               const Common::RouteId& aRoute,
               Tables::Urgency aUrgency,
               Common::Duration aServiceTime,
               Common::Timestamp aNow);

/// Returns the estimate for the route, or for its class if the route has no recent samples. All
/// zero if neither has.
ServiceTime
EstimateServiceTime(const ServiceTimes& aTimes,
                    const Common::RouteId& aRoute,
                    Tables::Urgency aUrgency,
                    Common::Timestamp aNow);

} // namespace Admission
