#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <cstdlib>

#include "UnitTests/Dispatch/World.h"

using namespace Simulation;

namespace {

/// Number of random schedules; IBIS_SCHEDULES=100000 is the figure of the design page.
std::uint64_t
ScheduleCount()
{
  const char* text = std::getenv("IBIS_SCHEDULES");
  return text ? std::strtoull(text, nullptr, 10) : 3000;
}

constexpr std::uint64_t kCases = 100;

Plan
RandomPlan(std::uint64_t aSeed)
{
  Common::Random random(aSeed);
  const auto upTo = [&](std::uint64_t aMost) {
    return static_cast<std::uint32_t>(random.below(aMost + 1));
  };
  Plan plan;
  plan.mSeed = random.next();
  plan.mAgents = 1 + upTo(2);
  plan.mEntries = 1 + upTo(2);
  plan.mLogicals = 1 + upTo(20);
  plan.mSlots = 1 + upTo(2);
  plan.mConnections = plan.mSlots + upTo(2);
  plan.mLossPercent = upTo(30);
  plan.mDuplicatePercent = upTo(30);
  plan.mAgentRestarts = upTo(4);
  plan.mEntryRestarts = upTo(3);
  plan.mTakeovers = upTo(2);
  plan.mDrains = upTo(1);
  return plan;
}

std::uint32_t
SchedulesUntilFound(Planted aPlanted, const std::string& aFinding, std::uint32_t aMost)
{
  for (std::uint32_t i = 1; i <= aMost; ++i) {
    Plan plan = RandomPlan(i);
    plan.mPlanted = aPlanted;
    for (const std::string& finding : World(plan).run()) {
      if (finding.starts_with(aFinding)) {
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
  rc::prop("over lost and repeated messages, restarts, retries, drains and takeovers", [&] {
    // The nominal size gives seeds from the whole range, so that cases do not repeat schedules.
    const auto base =
      *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
    for (std::uint64_t i = 0; i < perCase; ++i) {
      World world(RandomPlan(base + i));
      const std::vector<std::string> findings = world.run();
      if (!findings.empty()) {
        RC_FAIL("plan seed " + std::to_string(base + i) + ": " + findings.front());
      }
      ran += world.checker().toldCount(Common::Outcome::Ran);
      notRun += world.checker().toldCount(Common::Outcome::NotRun);
      unknown += world.checker().toldCount(Common::Outcome::Unknown);
    }
  });
  // Guards against schedules in which nothing happens.
  REQUIRE(ran > 1000);
  REQUIRE(unknown > 100);
  REQUIRE(notRun > 100);
}

TEST_CASE("Without faults no outcome is unknown", "[Dispatch][schedules]")
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Plan plan = RandomPlan(seed);
    plan.mLossPercent = plan.mDuplicatePercent = 0;
    plan.mAgentRestarts = plan.mEntryRestarts = plan.mTakeovers = 0;
    // Long enough that no request still runs at its deadline.
    plan.mMinDeadline = std::chrono::seconds(20);
    World world(plan);
    INFO("seed " << seed);
    REQUIRE(world.run().empty());
    REQUIRE(world.checker().toldCount(Common::Outcome::Unknown) == 0);
  }
}

TEST_CASE("The checker finds planted faults", "[Dispatch][schedules]")
{
  constexpr std::uint32_t kMost = 3000;
  const auto [planted, finding] = GENERATE(table<Planted, std::string>({
    { Planted::LostTakenForUndelivered, "I5" },
    { Planted::LostTakenForUndelivered, "I6" },
    { Planted::WindowIgnored, "I6" },
    { Planted::IncarnationForged, "I5" },
    { Planted::QueryDoesNotSettle, "I5" },
    { Planted::ForeignUseIgnored, "I1: more requests" },
    { Planted::ForeignUseIgnored, "I1: more connections" },
    { Planted::OneSlotTooMany, "I1: more requests" },
    { Planted::WrongBody, "I4" },
    { Planted::TakeoverRuleIgnored, "I6" },
    { Planted::StandingIgnored, "I6" },
    { Planted::UnknownSettledAsNotRun, "I6" },
    { Planted::DrainIgnored, "I7" },
    { Planted::SlotReleasedAtDeadline, "I1: more requests" },
  }));
  INFO("fault " << static_cast<int>(planted) << " found as " << finding);
  REQUIRE(SchedulesUntilFound(planted, finding, kMost) > 0);
}
