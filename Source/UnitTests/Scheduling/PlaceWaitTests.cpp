#include <catch2/catch.hpp>

#include "Fixture.h"
#include "Scheduling/PlaceWait.h"

using namespace SchedulingTests;

namespace {

constexpr Common::Resources kNeed{ MilliCores{ 1000 }, Common::Bytes{ 0 }, {} };
constexpr Duration kNear{ milliseconds(600) };
constexpr Duration kRemote{ milliseconds(1800) };

Common::Resources
Cores(std::int64_t aCores)
{
  return { MilliCores{ aCores * 1000 }, Common::Bytes{ 0 }, {} };
}

} // namespace

TEST_CASE("The end of a run is expected from its time and its progress", "[Scheduling]")
{
  SECTION("without progress it is the rest of the expected time")
  {
    REQUIRE(ExpectedRemaining({ milliseconds(200), milliseconds(600), {}, {} }) ==
            milliseconds(400));
  }
  SECTION("a run that is far along counts by its own pace")
  {
    // Half done after 1 s although 1 s was expected for all of it.
    const Duration rest =
      ExpectedRemaining({ milliseconds(1000), milliseconds(1000), Percent{ 50 }, {} });
    REQUIRE(rest == milliseconds(500));
  }
  SECTION("a run that is overdue does not count as a free place")
  {
    // Guards against tasks that wait without end for a run that is always about to end.
    REQUIRE(ExpectedRemaining({ milliseconds(5000), milliseconds(600), {}, {} }) ==
            milliseconds(500));
  }
}

TEST_CASE("Places are reserved for the tasks ahead", "[Scheduling]")
{
  // Guards against herding: all waiting tasks count with the same next place.
  RackForecast rack;
  rack.mWorkers = { { 1, { { milliseconds(100), Cores(1) }, { milliseconds(300), Cores(1) } } },
                    { 2, { { milliseconds(200), Cores(1) } } } };
  const std::vector<NearWorker> near{ { 1, kNear }, { 2, kNear } };
  std::vector<std::int64_t> turns;
  for (int i = 0; i < 5; ++i) {
    const auto slot = EarliestSlot(rack, kNeed, near);
    REQUIRE(slot);
    turns.push_back(slot->mAfter / milliseconds(1));
    TakeSlot(rack, *slot, kNeed);
  }
  // Two of the places are used a second time after the run of the task that took them.
  REQUIRE(turns == std::vector<std::int64_t>{ 100, 200, 300, 700, 800 });

  SECTION("a place that has nothing to release is none")
  {
    REQUIRE_FALSE(EarliestSlot({}, kNeed, near));
    REQUIRE_FALSE(EarliestSlot(rack, kNeed, {}));
    REQUIRE_FALSE(EarliestSlot(rack, Cores(4), near));
  }
  SECTION("a larger task waits for several releases of one worker")
  {
    RackForecast two;
    two.mWorkers = { { 1, { { milliseconds(0), Cores(1) }, { milliseconds(300), Cores(1) } } } };
    REQUIRE(EarliestSlot(two, Cores(2), near)->mAfter == milliseconds(300));
  }
  SECTION("a gang needs all its places at one time")
  {
    RackForecast gang;
    gang.mWorkers = { { 1, { { milliseconds(0), Cores(1) }, { milliseconds(400), Cores(1) } } },
                      { 2, { { milliseconds(200), Cores(1) } } } };
    REQUIRE(EarliestGangSlot(gang, kNeed, 2, near) == Duration(milliseconds(200)));
    REQUIRE(EarliestGangSlot(gang, kNeed, 3, near) == Duration(milliseconds(400)));
    REQUIRE_FALSE(EarliestGangSlot(gang, kNeed, 4, near));
  }
}

TEST_CASE("A task waits only as long as it gains by it", "[Scheduling]")
{
  WaitChoice choice{ milliseconds(500), {}, kNear, kRemote };
  REQUIRE(PaysToWait(choice));

  SECTION("not if it would end later than elsewhere")
  {
    choice.mExpectedWait = kRemote - kNear;
    REQUIRE_FALSE(PaysToWait(choice));
  }
  SECTION("not if the wait takes up most of the gain")
  {
    // Guards against a queue at the rack in which all tasks wait until they gain nothing.
    choice.mExpectedWait = milliseconds(600);
    REQUIRE_FALSE(PaysToWait(choice));
  }
  SECTION("not longer than the gain in all")
  {
    // Guards against waits that start anew in each round because estimates are too low.
    choice.mWaited = milliseconds(800);
    REQUIRE_FALSE(PaysToWait(choice));
  }
  SECTION("it then ends earlier even if the wait takes twice as long as expected")
  {
    // Guards against jobs that miss an objective near their data which they would meet elsewhere.
    for (choice.mExpectedWait = Duration{ 0 }; PaysToWait(choice);
         choice.mExpectedWait += milliseconds(1)) {
      REQUIRE(2 * choice.mExpectedWait + kNear < kRemote);
    }
  }
  SECTION("never where nothing is gained")
  {
    choice.mRemoteTime = kNear;
    choice.mExpectedWait = Duration{ 0 };
    REQUIRE_FALSE(PaysToWait(choice));
  }
}
