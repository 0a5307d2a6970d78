#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>

#include "Admission/ConcurrencyLimiter.h"

using namespace std::chrono_literals;
using namespace Admission;

namespace {

/// Keeps all slots in use for aDuration of simulated time, at an endpoint whose latency is 20 ms
/// with up to aKnee requests in progress and grows with the power 1.5 of their number above it.
/// Returns the limit at the end.
double
Saturate(ConcurrencyLimiter& aLimiter,
         Common::Timestamp& aNow,
         std::int64_t aKnee,
         Common::Duration aDuration)
{
  const Common::Timestamp end = aNow + aDuration;
  std::deque<std::pair<Common::Timestamp, Common::Duration>> running;
  while (aNow < end) {
    while (static_cast<double>(running.size()) < std::floor(aLimiter.mLimitSlots)) {
      const double inUse = static_cast<double>(running.size() + 1);
      const double slowdown = std::max(1.0, std::pow(inUse / static_cast<double>(aKnee), 1.5));
      const Common::Duration took(static_cast<std::int64_t>(20000 * slowdown));
      running.emplace_back(aNow + took, took);
    }
    const auto next = std::min_element(running.begin(), running.end());
    const Common::Duration took = next->second;
    aNow = std::max(aNow, next->first);
    AddLatency(
      aLimiter, Common::RouteId("r"), took, static_cast<std::int64_t>(running.size()), aNow);
    running.erase(next);
    UpdateLimit(aLimiter, 32, aNow);
  }
  return aLimiter.mLimitSlots;
}

} // namespace

TEST_CASE("The adaptive limit follows the endpoint's latency", "[Admission]")
{
  Common::Timestamp now{ 1h };
  ConcurrencyLimiter limiter;
  UpdateLimit(limiter, 32, now);
  REQUIRE(limiter.mLimitSlots == 32);

  SECTION("an endpoint that never slows down keeps all slots except during trials")
  {
    Saturate(limiter, now, 1000, 5min);
    REQUIRE((limiter.mPhase == LimitPhase::Steady ? limiter.mLimitSlots
                                                  : limiter.mLimitBeforeTrial) == 32);
  }

  SECTION("an endpoint that slows down above 8 requests ends near 8 and regains its slots when it "
          "recovers")
  {
    Saturate(limiter, now, 8, 2min);
    REQUIRE(limiter.mLimitSlots <= 12);
    REQUIRE(limiter.mLimitSlots >= 6);
    Saturate(limiter, now, 1000, 5min);
    REQUIRE(limiter.mLimitSlots >= 24);
  }

  SECTION("the limit never falls below the floor")
  {
    limiter.mFloorSlots = 20;
    REQUIRE(Saturate(limiter, now, 4, 2min) >= 20);
  }

  SECTION("a limit that is not reached does not change")
  {
    for (int i = 0; i < 100000; ++i) {
      now += 1ms;
      AddLatency(limiter, Common::RouteId("r"), i % 2 == 0 ? 20ms : 200ms, 3, now);
      UpdateLimit(limiter, 32, now);
    }
    REQUIRE(limiter.mLimitSlots == 32);
  }
}
