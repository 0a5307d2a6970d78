#include <catch2/catch.hpp>

#include "DriverFixture.h"
#include "Node/StoreKeys.h"
#include "TestCluster.h"

using namespace NodeTests;

TEST_CASE("A reported lease lasts as long as on a worker whose clock is slow", "[Node]")
{
  // The allowance for the clock was added to what was left of the lease, not to all of it.
  constexpr double kClockRate = 0.98;
  DriverFixture fixture;
  const Duration longestLease = std::chrono::duration_cast<Duration>(5s / kClockRate);
  const auto elapsed = GENERATE(0ms, 2500ms, 4900ms);
  fixture.advance(elapsed);
  REQUIRE(elapsed + fixture.mDriver->viewWithLease().mLeaseRemaining >= longestLease);
}

TEST_CASE("A new coordinator waits for a worker that gives no answers and whose clock is slow",
          "[Node][Takeover]")
{
  // It restarted the tasks once the lease that the agent reported had ended.
  TestCluster cluster;
  cluster.mTiming.mWorkerLease = 3000ms;
  cluster.mTiming.mCoordinatorLease = 600ms;
  cluster.mTiming.mLeaseRenewalInterval = 150ms;
  cluster.mTiming.mClockDrift = 0.25;
  cluster.mChangeSettings = [](Settings& aSettings) { aSettings.mMaxWorkerLease = 3000ms; };
  cluster.addEntry("e1");
  REQUIRE(cluster.runUntil([&] { return cluster.coordinatorInstance() == "e1"; }, 4s));
  cluster.addEntry("e2");
  FakeWorker& first = cluster.addWorker("first");
  first.mClockRate = 0.88;
  first.mTaskTime = 60s;
  REQUIRE(cluster.runUntil([&] { return first.mHighestTerm.value() > 0; }, 3s));
  Wire::JobRecord job;
  job.job = "a";
  job.queue = "quote";
  job.acceptedUnixMs = cluster.mClock.unixNow().count();
  Wire::StepSpec step;
  step.tasks = 2;
  step.milliCores = 1000;
  step.estimateMs = 100;
  job.steps = { step };
  cluster.mStore.put(SubmissionKey(Common::JobId("a")), Wire::Encode(job));
  REQUIRE(cluster.runUntil([&] { return first.mStarts == 2; }, 3s));
  FakeWorker& other = cluster.addWorker("other");
  other.mTaskTime = 60s;
  // Until the lease no longer depends on when the agent was started.
  cluster.run(4s);
  cluster.kill("e1");
  first.mDelivery = [] { return FakeWorker::Delivery::AnswerLost; };
  REQUIRE(cluster.runUntil([&] { return cluster.coordinatorInstance() == "e2"; }, 3s));
  bool ranTwice = false;
  REQUIRE(cluster.runUntil(
    [&] {
      ranTwice = ranTwice || !cluster.tasksRunningTwice().empty();
      return other.mStarts == 2;
    },
    8s));
  REQUIRE_FALSE(ranTwice);
  REQUIRE(cluster.tasksRunningTwice().empty());
}
