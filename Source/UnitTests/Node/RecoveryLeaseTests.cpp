#include <catch2/catch.hpp>

#include "Node/StoreKeys.h"
#include "TestCluster.h"

using namespace NodeTests;

namespace {

constexpr std::chrono::milliseconds kWorkerLease{ 3000 };

/// A coordinator crashes and its instance takes over from it, but cannot read its records yet. Two
/// tasks run on a worker, and another worker has room for them.
class SlowRecoveryFixture
{
public:
  SlowRecoveryFixture()
  {
    mCluster.mTiming.mWorkerLease = kWorkerLease;
    // The key outlasts the recovery although the store answers no renewal meanwhile.
    mCluster.mTiming.mCoordinatorLease = 20s;
    mCluster.addEntry("e1");
    REQUIRE(mCluster.runUntil([&] { return mCluster.coordinatorInstance() == "e1"; }, 4s));
    mFirst = &mCluster.addWorker("first");
    mFirst->mTaskTime = 60s;
    submitJob();
    REQUIRE(mCluster.runUntil([&] { return mFirst->mStarts == 2; }, 3s));
    mOther = &mCluster.addWorker("other");
    mOther->mTaskTime = 60s;
    REQUIRE(mCluster.runUntil([&] { return mOther->mHighestTerm.value() > 0; }, 3s));
    mCluster.run(500ms);
    const std::int64_t crashed = coordinatorNonce();
    mCluster.kill("e1");
    mCluster.mOnSwitch = [this, crashed](const std::string&) {
      const auto e1 = mCluster.mProcesses.find("e1");
      if (e1 != mCluster.mProcesses.end() && coordinatorNonce() != 0 &&
          coordinatorNonce() != crashed) {
        e1->second.mStoreProxy->mRejecting = true;
      }
    };
    mCluster.addEntry("e1");
    REQUIRE(mCluster.runUntil(
      [&] { return coordinatorNonce() != 0 && coordinatorNonce() != crashed; }, 2s));
    REQUIRE(mCluster.runUntil([&] { return mFirst->mHighestTerm.value() == 2; }, 2s));
  }

  /// Runs until the recovery has taken longer than a lease from the start of the term.
  void outlastLease()
  {
    mCluster.run(kWorkerLease + 500ms);
    mFirst->endDueRuns();
    REQUIRE(mFirst->mRunning.size() == 2);
    REQUIRE(mOther->mStarts == 0);
  }

  void finishRecovery()
  {
    mCluster.mOnSwitch = nullptr;
    mCluster.mProcesses.at("e1").mStoreProxy->mRejecting = false;
  }

  /// Whether the tasks start on the other worker within aTime while the first one runs them.
  bool runsTwiceWithin(std::chrono::milliseconds aTime)
  {
    return mCluster.runUntil([&] { return !mCluster.tasksRunningTwice().empty(); }, aTime);
  }

  TestCluster mCluster;
  FakeWorker* mFirst = nullptr;
  FakeWorker* mOther = nullptr;

private:
  std::int64_t coordinatorNonce()
  {
    const auto value = mCluster.mStore.value(kCoordinatorKey);
    return value ? Wire::Decode<Wire::CoordinatorRecord>(*value)->nonce : 0;
  }

  void submitJob()
  {
    Wire::JobRecord record;
    record.job = "a";
    record.queue = "quote";
    record.acceptedUnixMs = mCluster.mClock.unixNow().count();
    Wire::StepSpec step;
    step.tasks = 2;
    step.milliCores = 1000;
    step.estimateMs = 100;
    record.steps = { step };
    mCluster.mStore.put(SubmissionKey(Common::JobId("a")), Wire::Encode(record));
  }
};

} // namespace

TEST_CASE("A lease that was extended during the recovery is waited for", "[Node][Takeover]")
{
  // The new coordinator extended leases while it read its records, and counted them from the start
  // of its term.
  SlowRecoveryFixture fixture;

  SECTION("although the agent has been restarted since and does not know the worker")
  {
    fixture.outlastLease();
    fixture.mCluster.kill("agent-first");
    fixture.mCluster.startAgent(*fixture.mFirst);
    fixture.mCluster.run(700ms);
  }

  SECTION("although the worker has stopped to answer since")
  {
    fixture.mFirst->mDelivery = [] { return FakeWorker::Delivery::AnswerLost; };
    fixture.outlastLease();
  }

  fixture.finishRecovery();
  REQUIRE_FALSE(fixture.runsTwiceWithin(kWorkerLease));
}

TEST_CASE("The record of a worker that was lost during the recovery is erased", "[Node][Takeover]")
{
  // The last report of its agent was applied after the agent was lost, so that the worker counted
  // as connected for the rest of the term, and the next coordinator waited for it.
  SlowRecoveryFixture fixture;
  fixture.mCluster.kill("agent-first");
  fixture.mCluster.run(700ms);
  fixture.finishRecovery();
  const std::string key = WorkerKey({ Common::WorkerId("first"), Scheduling::LifetimeStart{ 1 } });
  REQUIRE(fixture.mCluster.mStore.contains(key));
  REQUIRE(fixture.mCluster.runUntil([&] { return fixture.mOther->mStarts == 2; }, 30s));
  REQUIRE(fixture.mCluster.runUntil([&] { return !fixture.mCluster.mStore.contains(key); }, 6s));
}

TEST_CASE("A coordinator that ends its recovery without a valid lease does not start new jobs",
          "[Node][Takeover]")
{
  // The jobs of its first snapshot counted as recovered, although the progress of a job that was
  // submitted after the next coordinator took over had not been read.
  TestCluster cluster;
  const auto termInStore = [&] {
    const auto value = cluster.mStore.value(kCoordinatorKey);
    return value ? Wire::Decode<Wire::CoordinatorRecord>(*value)->term : 0;
  };
  cluster.addEntry("e1");
  REQUIRE(cluster.runUntil([&] { return cluster.coordinatorInstance() == "e1"; }, 4s));
  FakeWorker& first = cluster.addWorker("first");
  FakeWorker& second = cluster.addWorker("second");
  first.mTaskTime = 60s;
  second.mTaskTime = 60s;
  REQUIRE(cluster.runUntil(
    [&] { return first.mHighestTerm.value() > 0 && second.mHighestTerm.value() > 0; }, 3s));
  cluster.run(500ms);

  // The instance is coordinator again, and the store stops answering it during the recovery.
  cluster.kill("e1");
  cluster.mOnSwitch = [&](const std::string&) {
    const auto e1 = cluster.mProcesses.find("e1");
    if (e1 != cluster.mProcesses.end() && termInStore() == 2) {
      e1->second.mStoreProxy->mRejecting = true;
    }
  };
  cluster.addEntry("e1");
  REQUIRE(cluster.runUntil([&] { return termInStore() == 2; }, 4s));
  REQUIRE(cluster.runUntil(
    [&] { return first.mHighestTerm.value() == 2 && second.mHighestTerm.value() == 2; }, 2s));
  cluster.mProcesses.at("agent-first").mStoreProxy->mRejecting = true;

  // The next coordinator starts a new job on the worker whose agent it has.
  cluster.addEntry("e2");
  REQUIRE(cluster.runUntil([&] { return cluster.coordinatorInstance() == "e2"; }, 4s));
  REQUIRE(cluster.runUntil([&] { return second.mHighestTerm.value() == 3; }, 2s));
  REQUIRE(first.mHighestTerm.value() == 2);
  Wire::JobRecord record;
  record.job = "a";
  record.queue = "quote";
  record.acceptedUnixMs = cluster.mClock.unixNow().count();
  Wire::StepSpec step;
  step.tasks = 2;
  step.milliCores = 1000;
  step.estimateMs = 100;
  record.steps = { step };
  cluster.mStore.put(SubmissionKey(Common::JobId("a")), Wire::Encode(record));
  REQUIRE(cluster.runUntil([&] { return second.mStarts == 2; }, 2s));

  // The earlier one can read its records before it sees that it has been replaced.
  cluster.mProcesses.at("e1").mStoreProxy->mServesReadsBut = kCoordinatorKey;
  REQUIRE_FALSE(cluster.runUntil([&] { return !cluster.tasksRunningTwice().empty(); }, 1500ms));
}
