#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <cstdlib>

#include "UnitTests/Dispatch/RequestSimulation.h"

using namespace Simulation;

namespace {

/// Number of random schedules: IBIS_SCHEDULES or 3000. The design document refers to runs with
/// IBIS_SCHEDULES=100000.
std::uint64_t
ScheduleCount()
{
  const char* text = std::getenv("IBIS_SCHEDULES");
  return text ? std::strtoull(text, nullptr, 10) : 3000;
}

// Cases that rapidcheck runs by default; the schedules are divided among them.
constexpr std::uint64_t kCases = 100;

SimulationConfig
RandomConfig(std::uint64_t aSeed)
{
  Common::Random random(aSeed);
  const auto randomUpTo = [&](std::uint64_t aMax) {
    return static_cast<std::uint32_t>(random.below(aMax + 1));
  };
  SimulationConfig config;
  config.mSeed = random.next();
  config.mAgents = 1 + randomUpTo(2);
  config.mEntries = 1 + randomUpTo(2);
  config.mLogicalRequests = 1 + randomUpTo(20);
  config.mSlots = 1 + randomUpTo(2);
  config.mConnections = config.mSlots + randomUpTo(2);
  config.mLossPercent = randomUpTo(30);
  config.mDuplicatePercent = randomUpTo(30);
  config.mAgentRestarts = randomUpTo(4);
  config.mEntryRestarts = randomUpTo(3);
  config.mTakeovers = randomUpTo(2);
  config.mDrains = randomUpTo(1);
  return config;
}

/// Number of schedules run until a violation that starts with aViolation; 0 if aMax schedules
/// show none.
std::uint32_t
SchedulesUntilViolation(InjectedFault aFault, const std::string& aViolation, std::uint32_t aMax)
{
  for (std::uint32_t i = 1; i <= aMax; ++i) {
    SimulationConfig config = RandomConfig(i);
    config.mInjectedFault = aFault;
    for (const std::string& violation : RequestSimulation(config).run()) {
      if (violation.starts_with(aViolation)) {
        return i;
      }
    }
  }
  return 0;
}

} // namespace

TEST_CASE("No schedule of faults breaks an invariant that callers or endpoints can see",
          "[Dispatch][schedules]")
{
  const std::uint64_t perCase = std::max<std::uint64_t>(1, ScheduleCount() / kCases);
  std::uint64_t ran = 0;
  std::uint64_t notRun = 0;
  std::uint64_t unknown = 0;
  rc::prop("with lost and repeated messages, restarts, retries, drains and takeovers", [&] {
    // Sizes below the nominal one would give small seeds, and cases would repeat schedules.
    const auto base =
      *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
    for (std::uint64_t i = 0; i < perCase; ++i) {
      RequestSimulation simulation(RandomConfig(base + i));
      const std::vector<std::string> violations = simulation.run();
      if (!violations.empty()) {
        RC_FAIL("schedule seed " + std::to_string(base + i) + ": " + violations.front());
      }
      ran += simulation.checker().answerCount(Common::Outcome::Ran);
      notRun += simulation.checker().answerCount(Common::Outcome::NotRun);
      unknown += simulation.checker().answerCount(Common::Outcome::Unknown);
    }
  });
  // Fails if the schedules do not produce all outcomes.
  REQUIRE(ran > 1000);
  REQUIRE(unknown > 100);
  REQUIRE(notRun > 100);
}

TEST_CASE("Without faults no outcome is unknown", "[Dispatch][schedules]")
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SimulationConfig config = RandomConfig(seed);
    config.mLossPercent = config.mDuplicatePercent = 0;
    config.mAgentRestarts = config.mEntryRestarts = config.mTakeovers = 0;
    // Long enough that every request ends before its deadline.
    config.mMinDeadline = std::chrono::seconds(20);
    RequestSimulation simulation(config);
    INFO("seed " << seed);
    REQUIRE(simulation.run().empty());
    REQUIRE(simulation.checker().answerCount(Common::Outcome::Unknown) == 0);
  }
}

TEST_CASE("The checker detects injected faults", "[Dispatch][schedules]")
{
  constexpr std::uint32_t kMaxSchedules = 3000;
  const auto [fault, violation] = GENERATE(table<InjectedFault, std::string>({
    { InjectedFault::LostReportedAsNotDelivered, "I5" },
    { InjectedFault::LostReportedAsNotDelivered, "I6" },
    { InjectedFault::DeduplicationIgnored, "I6" },
    { InjectedFault::IncarnationForged, "I5" },
    { InjectedFault::QueryNotRecorded, "I5" },
    { InjectedFault::ForeignUseIgnored, "I1: more requests" },
    { InjectedFault::ForeignUseIgnored, "I1: more connections" },
    { InjectedFault::ExtraSlot, "I1: more requests" },
    { InjectedFault::WrongBody, "I4" },
    { InjectedFault::TakeoverTimeIgnored, "I6" },
    { InjectedFault::OwnerAuthorityIgnored, "I6" },
    { InjectedFault::UnknownSettledAsNotRun, "I6" },
    { InjectedFault::DrainIgnored, "I7" },
    { InjectedFault::SlotReleasedAtDeadline, "I1: more requests" },
  }));
  INFO("fault " << static_cast<int>(fault) << " detected as " << violation);
  REQUIRE(SchedulesUntilViolation(fault, violation, kMaxSchedules) > 0);
}
