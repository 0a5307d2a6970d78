#include <catch2/catch.hpp>

#include "Daemon/ClientRefusals.h"

using namespace std::chrono_literals;

TEST_CASE("Refused clients are all counted and logged once a second", "[Daemon]")
{
  // A line for each would fill the disk while a crowd is refused.
  Observability::Counters counters;
  const Common::SystemClock clock;
  Daemon::ClientRefusals refusals(counters, clock);
  const Common::Timestamp start(100s);
  REQUIRE(refusals.count(Http::Cause::Budget, start) == 1);
  REQUIRE(refusals.count(Http::Cause::Budget, start + 500ms) == 0);
  REQUIRE(refusals.count(Http::Cause::Budget, start + 999ms) == 0);
  // Causes are independent of each other.
  REQUIRE(refusals.count(Http::Cause::Idle, start + 999ms) == 1);
  REQUIRE(refusals.count(Http::Cause::Budget, start + 1s) == 3);
  REQUIRE(counters.text().find(R"(http_refused{listener="http",cause="budget"} 4)") !=
          std::string::npos);
}
