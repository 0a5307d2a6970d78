#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "UnitTests/Jobs/CellSimulation.h"

namespace {

/// Schedules in all; IBIS_SCHEDULES sets another number for long runs.
std::uint64_t
ScheduleCount()
{
  const char* text = std::getenv("IBIS_SCHEDULES");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : 2000;
}

/// The first fault of the schedule, "" if there is none.
std::string
FirstViolation(const SimulationConfig& aConfig)
{
  CellSimulation world(aConfig);
  world.run();
  return world.violations().empty() ? "" : world.violations().front();
}

/// The first fault that the checker finds in 400 schedules.
std::string
FindInjectedFault(InjectedFault aFault)
{
  SimulationConfig config;
  config.mInjectedFault = aFault;
  for (config.mSeed = 1; config.mSeed <= 400; ++config.mSeed) {
    if (std::string fault = FirstViolation(config); !fault.empty()) {
      return fault;
    }
  }
  return "";
}

} // namespace

TEST_CASE("Random schedules of a cell keep every promise", "[Jobs][schedules]")
{
  // RapidCheck tries 100 cases; each runs its part of the schedules.
  const std::uint64_t perCase = std::max<std::uint64_t>(ScheduleCount() / 100, 1);
  rc::prop(
    "no task in two places, none lost, none resumed twice, no worker over-asked", [perCase]() {
      SimulationConfig config;
      config.mSeed =
        *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
      config.mWorkers = *rc::gen::noShrink(rc::gen::inRange<std::size_t>(1, 6));
      config.mDropProbability = 0.1 * *rc::gen::noShrink(rc::gen::inRange(0, 5));
      config.mSteps = *rc::gen::noShrink(rc::gen::inRange<std::uint32_t>(100, 500));
      for (std::uint64_t i = 0; i < perCase; ++i, ++config.mSeed) {
        const std::string fault = FirstViolation(config);
        if (!fault.empty()) {
          RC_FAIL("seed " + std::to_string(config.mSeed) + ", workers " +
                  std::to_string(config.mWorkers) + ", steps " + std::to_string(config.mSteps) +
                  ", drop " + std::to_string(config.mDropProbability) + ": " + fault);
        }
      }
    });
}

TEST_CASE("The checker finds planted faults", "[Jobs][schedules]")
{
  SECTION("a fence that releases running tasks lets a task run in two places")
  {
    REQUIRE_THAT(FindInjectedFault(InjectedFault::EarlyWorkerRelease),
                 Catch::Contains("two places"));
  }
  SECTION("a release after takeover that does not wait for silent workers")
  {
    REQUIRE_FALSE(FindInjectedFault(InjectedFault::EarlyTakeoverRelease).empty());
  }
  SECTION("ends that are forgotten before they are durable start finished tasks again")
  {
    REQUIRE_FALSE(FindInjectedFault(InjectedFault::EarlyForget).empty());
  }
  SECTION("jobs that are acknowledged before they are durable get lost")
  {
    REQUIRE_THAT(FindInjectedFault(InjectedFault::EarlyAcknowledge), Catch::Contains("accepted"));
  }
  SECTION("dropped reservations over-ask a worker")
  {
    REQUIRE_THAT(FindInjectedFault(InjectedFault::DropReservations),
                 Catch::Contains("more than it has"));
  }
  SECTION("a lost checkpoint makes a task start over")
  {
    REQUIRE_THAT(FindInjectedFault(InjectedFault::DropCheckpoint),
                 Catch::Contains("last checkpoint"));
  }
  SECTION("replies taken out of order make a running task look gone")
  {
    REQUIRE_FALSE(FindInjectedFault(InjectedFault::IgnoreReplyOrder).empty());
  }
}
