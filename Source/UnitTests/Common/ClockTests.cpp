#include <catch2/catch.hpp>

#include "Common/Clock.h"

using namespace std::chrono_literals;

TEST_CASE("A manual clock moves only when told", "[Common]")
{
  Common::ManualClock clock;
  const Common::Timestamp start = clock.now();

  SECTION("it stands still")
  {
    REQUIRE(clock.now() == start);
  }

  SECTION("after an advance both time lines have moved by the same amount")
  {
    const Common::UnixMillis unixStart = clock.unixNow();
    clock.advance(1500ms);
    REQUIRE(clock.now() - start == 1500ms);
    REQUIRE(clock.unixNow() - unixStart == 1500ms);
  }

  SECTION("a wait whose deadline has passed returns at once")
  {
    std::mutex mutex;
    std::condition_variable condition;
    std::unique_lock<std::mutex> lock(mutex);
    REQUIRE_FALSE(clock.waitUntil(lock, condition, start));
  }
}
