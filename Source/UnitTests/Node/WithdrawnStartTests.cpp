#include <catch2/catch.hpp>

#include "DriverFixture.h"
#include "Node/StoreKeys.h"
#include "TestCluster.h"

using namespace NodeTests;
using Scheduling::OrderResult;

TEST_CASE("A start without an answer is sent again", "[Node]")
{
  DriverFixture fixture;
  fixture.orderStart();
  REQUIRE(fixture.attempts() == 1);

  SECTION("under the lease of the first attempt")
  {
    const WorkerTime leaseEnd = fixture.leaseEndOfLastAttempt();
    fixture.advance(700ms);
    fixture.answerPoll();
    fixture.extendLease();
    fixture.answerStart(OrderResult::Unknown);
    REQUIRE(fixture.attempts() == 2);
    REQUIRE(fixture.leaseEndOfLastAttempt() == leaseEnd);
  }
  SECTION("also after a stop of an earlier run of its task")
  {
    fixture.orderStop(Scheduling::RunNumber{ 0 });
    fixture.answerStart(OrderResult::Unknown);
    REQUIRE(fixture.attempts() == 2);
  }
}

TEST_CASE("A start that was withdrawn is not sent again", "[Node]")
{
  // The coordinator had given the run up and started the task elsewhere.
  DriverFixture fixture;
  const bool isRepeated = GENERATE(false, true);
  fixture.advance(100ms);
  fixture.answerPoll();
  fixture.orderStart(isRepeated);
  REQUIRE(fixture.attempts() == 1);

  SECTION("once its stop has arrived")
  {
    fixture.orderStop(fixture.mRun);
  }
  SECTION("once the connection to the coordinator is lost")
  {
    fixture.mDriver->withdrawStarts();
  }
  SECTION("once the lease that it was given under has ended, whatever lease there is now")
  {
    fixture.advance(5100ms);
    fixture.answerPoll();
    fixture.extendLease();
  }

  REQUIRE_FALSE(fixture.mResult);
  fixture.answerStart(OrderResult::Unknown);
  REQUIRE(fixture.attempts() == 1);
  REQUIRE(fixture.mResult == OrderResult::Unknown);
}

TEST_CASE("A start that its coordinator gave up while the worker was silent is not carried out",
          "[Node]")
{
  // The agent sent it once more when the worker answered again, before the stop of the run.
  TestCluster cluster;
  cluster.mTiming.mWorkerLease = 1000ms;
  cluster.mTiming.mOrderCallTimeout = 2500ms;
  cluster.addEntry("e1");
  REQUIRE(cluster.runUntil([&] { return cluster.coordinatorInstance() == "e1"; }, 4s));
  FakeWorker& silent = cluster.addWorker("silent");
  silent.mTaskTime = 60s;
  REQUIRE(cluster.runUntil([&] { return silent.mHighestTerm.value() > 0; }, 3s));
  cluster.run(500ms);
  int dropped = 0;
  silent.mDelivery = [&] {
    ++dropped;
    return FakeWorker::Delivery::Dropped;
  };
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
  REQUIRE(cluster.runUntil([&] { return dropped >= 2; }, 1s));
  cluster.run(500ms);
  FakeWorker& other = cluster.addWorker("other");
  other.mTaskTime = 60s;
  REQUIRE(cluster.runUntil([&] { return other.mStarts == 2; }, 6s));
  silent.mDelivery = nullptr;
  REQUIRE_FALSE(cluster.runUntil([&] { return !cluster.tasksRunningTwice().empty(); }, 4s));
  REQUIRE(silent.mStarts == 0);
}
