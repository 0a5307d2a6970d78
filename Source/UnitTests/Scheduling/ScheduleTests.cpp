#include <catch2/catch.hpp>

#include "UnitTests/Schedules.h"
#include "World.h"

using namespace SchedulingWorld;

namespace {

std::string
FirstBroken(PlantedFault aFault, std::uint64_t aSeeds)
{
  for (std::uint64_t seed = FirstSeed(); seed < FirstSeed() + aSeeds; ++seed) {
    const std::string broken = World(static_cast<std::uint32_t>(seed), aFault).play();
    if (!broken.empty()) {
      return "seed " + std::to_string(seed) + ": " + broken;
    }
  }
  return {};
}

} // namespace

TEST_CASE("Random schedules keep the promises", "[Scheduling]")
{
  // Lost coordinators, also ones that act on for a while, agents cut off, workers that start again
  // under their old id, orders carried out late or never, old lists, cancels, failing tasks, lost
  // writes.
  REQUIRE(FirstBroken(PlantedFault::None, ScheduleCount(200)) == "");
}

TEST_CASE("The checker notices planted faults", "[Scheduling]")
{
  const auto fault = GENERATE(PlantedFault::IgnoreLeases,
                              PlantedFault::IgnoreRecords,
                              PlantedFault::TrustSilence,
                              PlantedFault::AcknowledgeEarly);
  CAPTURE(static_cast<int>(fault));
  REQUIRE(FirstBroken(fault, 200) != "");
}
