#include <algorithm>

#include <catch2/catch.hpp>

#include "Fixture.h"

using namespace SchedulingTests;

namespace {

/// Starts a long-running task of the image "serve" with a target of 50 ms.
Order
StartLongRunning(Fixture& aFixture)
{
  aFixture.addJob("long-running",
                  { MakeStep().cores(4'000).longRunning(milliseconds(50)).image("serve").build() });
  const auto starts = aFixture.place();
  REQUIRE(starts.size() == 1);
  aFixture.confirm(starts);
  return starts[0];
}

/// Reports the runs on worker w1 0.7 s later and lets the scheduler change the speeds.
void
ReportAndThrottle(Fixture& aFixture, const std::vector<RunningTask>& aRunning)
{
  aFixture.advance(milliseconds(700));
  auto view = aFixture.view("w1");
  view.mRunning = aRunning;
  aFixture.report(view);
  ThrottleTasks(aFixture.mState, aFixture.now());
}

} // namespace

TEST_CASE("Long-running tasks share few workers", "[Scheduling]")
{
  // Load pattern: long-running tasks on half of the fleet, then best-effort tasks that interfere
  // with them. When long-running tasks were spread over all workers, none was left on which these
  // tasks could run at full speed.
  Fixture fixture;
  for (const char* name : { "w1", "w2", "w3", "w4" }) {
    fixture.addWorker(name);
  }
  for (const char* job : { "a", "b" }) {
    fixture.addJob(job, { MakeStep().tasks(4).cores(3'000).longRunning(milliseconds(50)).build() });
  }
  std::set<std::string> used;
  for (const Order& start : fixture.place()) {
    used.insert(start.mLifetime.mWorker.str());
  }
  REQUIRE(used.size() == 2);

  SECTION("but not beyond the limit of tasks per worker")
  {
    fixture.addJob("c", { MakeStep().tasks(3).cores(100).maxPerWorker(1).longRunning().build() });
    std::set<std::string> hosts;
    for (const Order& start : fixture.place()) {
      hosts.insert(start.mLifetime.mWorker.str());
    }
    REQUIRE(hosts.size() == 3);
  }
}

TEST_CASE("Long-running tasks leave capacity on each kind of worker", "[Scheduling]")
{
  // Load pattern: long-running tasks first, then short tasks that require a label. They could not
  // start if the workers with the label were full of tasks that can run anywhere.
  Fixture fixture;
  for (const std::string name : { "w1", "w2", "w3", "w4" }) {
    auto view = fixture.view(name);
    view.mLabels = { name < "w3" ? "a" : "b", "rack-" + name };
    fixture.report(view);
    fixture.worker(name).mRecorded = true;
  }
  fixture.addJob("long-running", { MakeStep().tasks(14).cores(3'200).longRunning().build() });
  fixture.confirm(fixture.place());
  for (const char* label : { "a", "b" }) {
    fixture.addJob(std::string("short-") + label,
                   { MakeStep().tasks(2).cores(1'000).label(label).build() });
  }
  REQUIRE(fixture.place().size() == 4);
}

TEST_CASE("An interfering image is learned, throttled and kept away", "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1");
  const Order serve = StartLongRunning(fixture);
  for (int i = 0; i < 10; ++i) {
    ReportAndThrottle(fixture, { Fixture::running(serve, 100, 15) });
  }
  fixture.addJob("best-effort",
                 { MakeStep().tasks(2).cores(2'000).bestEffort().image("heavy").build() },
                 "render");
  const auto bestEffort = fixture.place();
  REQUIRE(bestEffort.size() == 2);
  fixture.confirm(bestEffort);

  // The tail latency rises sharply while both best-effort tasks run at full speed.
  std::vector<Order> throttled;
  for (int i = 0; i < 4 && throttled.empty(); ++i) {
    ReportAndThrottle(fixture,
                      { Fixture::running(serve, 100, 200),
                        Fixture::running(bestEffort[0], 20, 2000),
                        Fixture::running(bestEffort[1], 20, 2000) });
    throttled = fixture.takeOrders();
  }
  REQUIRE(!throttled.empty());
  REQUIRE(throttled[0].mKind == OrderKind::Throttle);
  REQUIRE(throttled[0].mPercent < Percent{ 100 });
  REQUIRE(PairPressure(fixture.mState.mTailInterference, "heavy", "serve") >
          fixture.mState.mTailInterference.mPolicy.mPriorPressure * 3);

  SECTION("after some time over the target all best-effort tasks are paused")
  {
    for (int i = 0; i < 5; ++i) {
      for (const Order& order : throttled) {
        ApplyOrderResult(fixture.mState, order.mNumber, OrderResult::Done, fixture.now());
      }
      ReportAndThrottle(fixture,
                        { Fixture::running(serve, 100, 200),
                          Fixture::running(bestEffort[0], 25, 100),
                          Fixture::running(bestEffort[1], 25, 100) });
      throttled = fixture.takeOrders();
    }
    for (const Order& start : bestEffort) {
      const auto ref = FindTask(fixture.mState, start.mTask);
      REQUIRE(TaskAt(*ref).mSpeed == Percent{ 0 });
    }

    SECTION("and moved to another worker with capacity")
    {
      fixture.addWorker("w2");
      fixture.advance(milliseconds(2100));
      fixture.report(fixture.view("w2"));
      ReportAndThrottle(fixture,
                        { Fixture::running(serve, 100, 20),
                          Fixture::running(bestEffort[0], 25, 0),
                          Fixture::running(bestEffort[1], 25, 0) });
      std::size_t stops = 0;
      for (const Order& order : fixture.takeOrders()) {
        stops += order.mKind == OrderKind::Stop ? 1 : 0;
      }
      REQUIRE(stops == 1);
    }
  }

  SECTION("the image is not placed beside the long-running task under high load")
  {
    for (int i = 0; i < 8; ++i) {
      ReportAndThrottle(fixture,
                        { Fixture::running(serve, 100, 200),
                          Fixture::running(bestEffort[0], 20, 2000),
                          Fixture::running(bestEffort[1], 20, 2000) });
    }
    fixture.takeOrders();
    fixture.addJob(
      "best-effort-2", { MakeStep().cores(2'000).bestEffort().image("heavy").build() }, "render");
    REQUIRE(fixture.place().empty());

    SECTION("but a job without running tasks gets one placed after a while")
    {
      // Found by the benchmark run hunt-d216-7 on the site vea: at the end of the day a job waited
      // although there was free capacity.
      fixture.advance(milliseconds(1300));
      auto view = fixture.view("w1");
      view.mRunning = { Fixture::running(serve, 100, 30) };
      fixture.report(view);
      REQUIRE(fixture.place().size() == 1);

      SECTION("and the next such job waits until throttling has settled")
      {
        // Found by the benchmark run trouble-2 (seed 3) on the site vea: successive forced
        // placements kept a long-running task over its target for four seconds.
        fixture.addJob("best-effort-3",
                       { MakeStep().cores(2'000).bestEffort().image("heavy").build() },
                       "render");
        fixture.advance(milliseconds(1300));
        fixture.report(view);
        REQUIRE(fixture.place().empty());
      }
    }

    SECTION("and none while a long-running task is over its target")
    {
      fixture.advance(milliseconds(1300));
      auto view = fixture.view("w1");
      view.mRunning = { Fixture::running(serve, 100, 60) };
      fixture.report(view);
      REQUIRE(fixture.place().empty());
    }
  }
}

TEST_CASE("A best-effort job is not left without a running task while half of the pool is free",
          "[Scheduling]")
{
  // Load pattern: a backlog of best-effort jobs after a loss of all power, on workers whose
  // long-running tasks are over their targets by their own load. One job at a time got a task, and
  // others waited for half a minute (seen with the small twin of korouhev-sdileny-large trouble-1).
  Fixture fixture;
  fixture.addWorker("w1");
  const Order serve = StartLongRunning(fixture);
  const auto report = [&](std::vector<RunningTask> aAlso) {
    aAlso.push_back(Fixture::running(serve, 100, 60));
    ReportAndThrottle(fixture, aAlso);
  };
  report({});
  fixture.addJob("first", { MakeStep().cores(500).bestEffort().image("x").build() }, "render");
  fixture.addJob("second", { MakeStep().cores(500).bestEffort().image("y").build() }, "render");
  std::set<JobId> started;
  const auto placeForThreeSeconds = [&] {
    for (int i = 0; i < 4; ++i) {
      report({});
      for (const Order& order : fixture.place()) {
        started.insert(order.mTask.mJob);
      }
    }
  };

  SECTION("and both start within 3 s")
  {
    placeForThreeSeconds();
    REQUIRE(started == std::set<JobId>{ JobId("first"), JobId("second") });
  }

  SECTION("but it does wait while more is in use")
  {
    const Order other = [&] {
      fixture.addJob("other", { MakeStep().cores(6'000).longRunning().build() });
      const auto orders = fixture.place();
      REQUIRE(orders.size() == 1);
      fixture.confirm(orders);
      return orders[0];
    }();
    placeForThreeSeconds();
    REQUIRE(started.empty());
  }
}

TEST_CASE("A task that an earlier coordinator paused goes on", "[Scheduling]")
{
  // A new coordinator took each adopted run for one at full speed, so nothing raised the speed of a
  // paused one, and best-effort tasks are not restarted when they stand still.
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addJob(
    "best-effort", { MakeStep().cores(2'000).bestEffort().image("heavy").build() }, "render");
  const RunningTask adopted{
    { JobId("best-effort"), 0, 0, 0 }, RunNumber{ 7 }, "", Percent{ 25 }, 0
  };
  std::vector<Order> orders;
  for (int i = 0; i < 40 && orders.empty(); ++i) {
    ReportAndThrottle(fixture, { adopted });
    CheckTimeouts(fixture.mState, fixture.now());
    orders = fixture.takeOrders();
  }
  REQUIRE(!orders.empty());
}

TEST_CASE("A throttle order without a certain result is not taken as not carried out",
          "[Scheduling]")
{
  // The worker carried the order out, but its answer or the agent's process was lost. The scheduler
  // took the run for one at full speed, and nothing raised its speed again.
  Fixture fixture;
  fixture.addWorker("w1");
  const Order serve = StartLongRunning(fixture);
  for (int i = 0; i < 10; ++i) {
    ReportAndThrottle(fixture, { Fixture::running(serve, 100, 15) });
  }
  fixture.addJob(
    "best-effort", { MakeStep().cores(2'000).bestEffort().image("heavy").build() }, "render");
  const auto bestEffort = fixture.place();
  REQUIRE(bestEffort.size() == 1);
  fixture.confirm(bestEffort);
  std::vector<Order> throttled;
  for (int i = 0; i < 10 && throttled.empty(); ++i) {
    ReportAndThrottle(
      fixture, { Fixture::running(serve, 100, 200), Fixture::running(bestEffort[0], 20, 2000) });
    throttled = fixture.takeOrders();
  }
  REQUIRE(throttled.size() == 1);
  REQUIRE(throttled[0].mPercent < Percent{ 100 });
  SECTION("because no attempt was answered")
  {
    ApplyOrderResult(fixture.mState, throttled[0].mNumber, OrderResult::Unknown, fixture.now());
  }
  SECTION("because an earlier process of the agent carried it out")
  {
    REQUIRE(RepeatOrders(fixture.mState, Common::InstanceId("agent-w1")).size() == 1);
    ApplyOrderResult(fixture.mState, throttled[0].mNumber, OrderResult::NotSent, fixture.now());
  }
  std::vector<Order> orders;
  for (int i = 0; i < 40 && orders.empty(); ++i) {
    ReportAndThrottle(fixture,
                      { Fixture::running(serve, 100, 15), Fixture::running(bestEffort[0], 20, 0) });
    CheckTimeouts(fixture.mState, fixture.now());
    orders = fixture.takeOrders();
  }
  REQUIRE(!orders.empty());
}

TEST_CASE("An image that does not interfere is not throttled", "[Scheduling]")
{
  // The unloaded tail latency varies with the load of the long-running task itself. Throttling on
  // the latency alone held nearly all best-effort tasks at speed 0.
  Fixture fixture;
  fixture.addWorker("w1");
  const Order serve = StartLongRunning(fixture);
  fixture.addJob("best-effort",
                 { MakeStep().tasks(4).cores(1'500).bestEffort().image("light").build() },
                 "render");
  const auto bestEffort = fixture.place();
  REQUIRE(bestEffort.size() == 4);
  fixture.confirm(bestEffort);
  for (int i = 0; i < 40; ++i) {
    std::vector<RunningTask> rows{ Fixture::running(serve, 100, i % 20 < 10 ? 14 : 36) };
    for (const Order& start : bestEffort) {
      rows.push_back(Fixture::running(start, 10 + i, 1500));
    }
    ReportAndThrottle(fixture, rows);
    REQUIRE(fixture.takeOrders().empty());
  }
}

TEST_CASE("Best-effort tasks use the idle share of long-running reservations", "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1", 10'000);
  fixture.addJob("long-running", { MakeStep().cores(10'000).longRunning().build() });
  fixture.confirm(fixture.place());
  fixture.addJob(
    "best-effort", { MakeStep().tasks(10).cores(2'000).bestEffort().build() }, "render");
  // By the policy, six of the ten reserved cores count as idle.
  REQUIRE(fixture.place().size() == 3);
}

TEST_CASE("Short tasks leave workers without long-running tasks to best-effort ones",
          "[Scheduling]")
{
  // Load pattern: long-running tasks on half of the fleet, a steady load of short tasks, and a
  // burst of best-effort tasks. On workers without long-running tasks, best-effort tasks interfere
  // with nothing.
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addWorker("w2");
  fixture.addJob("watch", { MakeStep().cores(8'000).longRunning(milliseconds(100)).build() });
  const auto longRunning = fixture.place();
  REQUIRE(longRunning.size() == 1);
  fixture.confirm(longRunning);
  fixture.addJob("quote", { MakeStep().tasks(6).cores(500).build() });
  for (const Order& order : fixture.place()) {
    REQUIRE(order.mLifetime == longRunning[0].mLifetime);
  }

  SECTION("but use them when the others are full")
  {
    fixture.addJob("more", { MakeStep().tasks(6).cores(2'000).build() });
    const auto orders = fixture.place();
    REQUIRE(orders.size() == 6);
    REQUIRE(std::any_of(orders.begin(), orders.end(), [&](const Order& aOrder) {
      return aOrder.mLifetime != longRunning[0].mLifetime;
    }));
  }
}
