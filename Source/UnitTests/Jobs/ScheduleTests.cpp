#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "UnitTests/Jobs/CellSimulation.h"

namespace {

/// Number of schedules; IBIS_SCHEDULES overrides it for long runs.
std::uint64_t
ScheduleCount()
{
  const char* text = std::getenv("IBIS_SCHEDULES");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : 2000;
}

/// The first violation in the schedule, "" if there is none.
std::string
FirstViolation(const SimulationConfig& aConfig)
{
  CellSimulation simulation(aConfig);
  simulation.run();
  return simulation.violations().empty() ? "" : simulation.violations().front();
}

/// The first violation that the checker finds in 400 schedules with the injected fault, "" if there
/// is none.
std::string
FirstViolationWith(InjectedFault aFault)
{
  SimulationConfig config;
  config.mInjectedFault = aFault;
  for (config.mSeed = 1; config.mSeed <= 400; ++config.mSeed) {
    if (std::string violation = FirstViolation(config); !violation.empty()) {
      return violation;
    }
  }
  return "";
}

} // namespace

TEST_CASE("Random schedules of a cell violate no invariant", "[Jobs][schedules]")
{
  // RapidCheck runs 100 cases, each with an equal part of the schedules.
  const std::uint64_t perCase = std::max<std::uint64_t>(ScheduleCount() / 100, 1);
  rc::prop(
    "no task on two workers, none lost, none resumed twice, no worker overcommitted", [perCase]() {
      SimulationConfig config;
      config.mSeed =
        *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
      config.mWorkers = *rc::gen::noShrink(rc::gen::inRange<std::size_t>(1, 6));
      config.mDropProbability = 0.1 * *rc::gen::noShrink(rc::gen::inRange(0, 5));
      config.mSteps = *rc::gen::noShrink(rc::gen::inRange<std::uint32_t>(100, 500));
      for (std::uint64_t i = 0; i < perCase; ++i, ++config.mSeed) {
        const std::string violation = FirstViolation(config);
        if (!violation.empty()) {
          RC_FAIL("seed " + std::to_string(config.mSeed) + ", workers " +
                  std::to_string(config.mWorkers) + ", steps " + std::to_string(config.mSteps) +
                  ", drop " + std::to_string(config.mDropProbability) + ": " + violation);
        }
      }
    });
}

TEST_CASE("The checker detects injected faults", "[Jobs][schedules]")
{
  SECTION("the release of a worker with running tasks lets a task run on two workers")
  {
    REQUIRE_THAT(FirstViolationWith(InjectedFault::EarlyWorkerRelease),
                 Catch::Contains("two workers"));
  }
  SECTION("a release of held jobs that does not wait for silent workers breaks an invariant")
  {
    REQUIRE_FALSE(FirstViolationWith(InjectedFault::EarlyTakeoverRelease).empty());
  }
  SECTION("ends that agents forget before they are durable start finished tasks again")
  {
    REQUIRE_FALSE(FirstViolationWith(InjectedFault::EarlyForget).empty());
  }
  SECTION("jobs that are acknowledged before they are durable are lost")
  {
    REQUIRE_THAT(FirstViolationWith(InjectedFault::EarlyAcknowledge), Catch::Contains("accepted"));
  }
  SECTION("dropped reservations overcommit a worker")
  {
    REQUIRE_THAT(FirstViolationWith(InjectedFault::DropReservations),
                 Catch::Contains("more tasks than it has resources for"));
  }
  SECTION("a dropped checkpoint makes a task start from the beginning")
  {
    REQUIRE_THAT(FirstViolationWith(InjectedFault::DropCheckpoint),
                 Catch::Contains("last checkpoint"));
  }
  SECTION("replies that are applied out of order end a running task")
  {
    REQUIRE_FALSE(FirstViolationWith(InjectedFault::IgnoreReplyOrder).empty());
  }
}
