#include <catch2/catch.hpp>

#include "Scheduling/SpeedPlan.h"

using namespace Scheduling;

namespace {

/// A best-effort task that adds these pressures at full speed.
ThrottledTask
MakeTask(double aCores, std::vector<double> aPressures)
{
  ThrottledTask task;
  task.mCores = aCores;
  task.mPressures = std::move(aPressures);
  return task;
}

} // namespace

TEST_CASE("Speeds keep long-running tasks within their targets", "[Scheduling]")
{
  SECTION("tasks with enough room run at full speed")
  {
    const auto speeds = PlanSpeeds({ MakeTask(3.5, { 0.1 }), MakeTask(3.5, { 0.1 }) }, { 0.25 });
    REQUIRE(speeds == std::vector<Percent>{ Percent{ 100 }, Percent{ 100 } });
  }

  SECTION("the task with most pressure for each core is throttled, not all alike")
  {
    // All tasks used to be lowered by the same share, so a harmful one held the harmless ones back.
    const auto speeds = PlanSpeeds({ MakeTask(3.5, { 0.3 }), MakeTask(3.5, { 0.02 }) }, { 0.17 });
    REQUIRE(speeds[0] == Percent{ 50 });
    REQUIRE(speeds[1] == Percent{ 100 });
  }

  SECTION("a task is paused rather than run below the lowest speed")
  {
    const auto speeds = PlanSpeeds({ MakeTask(3.5, { 0.3 }) }, { 0.03 });
    REQUIRE(speeds[0] == Percent{ 0 });
  }

  SECTION("each long-running task on the worker counts")
  {
    const auto speeds =
      PlanSpeeds({ MakeTask(2, { 0.2, 0 }), MakeTask(2, { 0, 0.2 }) }, { 0.1, 0.2 });
    REQUIRE(speeds[0] == Percent{ 50 });
    REQUIRE(speeds[1] == Percent{ 100 });
  }

  SECTION("no room pauses all that interfere and none that don't")
  {
    const auto speeds = PlanSpeeds({ MakeTask(2, { 0.2 }), MakeTask(2, { 0 }) }, { -0.1 });
    REQUIRE(speeds[0] == Percent{ 0 });
    REQUIRE(speeds[1] == Percent{ 100 });
  }

  SECTION("there may be no long-running task")
  {
    REQUIRE(PlanSpeeds({ MakeTask(2, {}) }, {}) == std::vector<Percent>{ Percent{ 100 } });
  }
}
