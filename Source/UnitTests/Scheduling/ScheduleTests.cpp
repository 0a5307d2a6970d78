#include <catch2/catch.hpp>

#include "Simulation.h"
#include "UnitTests/Schedules.h"

using namespace SchedulingSimulation;

namespace {

std::string
FirstViolation(PlantedFault aFault, std::uint64_t aSeeds)
{
  for (std::uint64_t seed = FirstSeed(); seed < FirstSeed() + aSeeds; ++seed) {
    const std::string violation = Simulation(static_cast<std::uint32_t>(seed), aFault).run();
    if (!violation.empty()) {
      return "seed " + std::to_string(seed) + ": " + violation;
    }
  }
  return {};
}

} // namespace

TEST_CASE("Random schedules keep the invariants", "[Scheduling]")
{
  // Faults: stopped coordinators and ones that stay active after their replacement, disconnected
  // agents, agents that are killed and restart, workers that restart under their old id, orders
  // carried out late or never, outdated lists, cancelled jobs, failing tasks, lost writes, tasks
  // that crash the workers that start them, capacities that shrink and grow, evacuated data centres
  // of which half of the coordinators learn too late. On every second seed the workers start
  // whatever they are told.
  REQUIRE(FirstViolation(PlantedFault::None, ScheduleCount(200)) == "");
}

TEST_CASE("The checker detects planted faults", "[Scheduling]")
{
  const auto fault = GENERATE(PlantedFault::IgnoreLeases,
                              PlantedFault::IgnoreRecords,
                              PlantedFault::TreatTimeoutAsRejected,
                              PlantedFault::AcknowledgeEarly,
                              PlantedFault::ForgetRepeats,
                              PlantedFault::HideSuspects,
                              PlantedFault::IgnoreShrinking,
                              PlantedFault::IgnoreEvacuations);
  CAPTURE(static_cast<int>(fault));
  REQUIRE(FirstViolation(fault, 200) != "");
}
