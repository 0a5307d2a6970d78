#include <catch2/catch.hpp>

#include "Node/StoreKeys.h"
#include "TestCluster.h"

using namespace NodeTests;

namespace {

/// Two tasks run on the worker "first", and the worker "other" has room for them.
class ForeignAnnouncementFixture
{
public:
  ForeignAnnouncementFixture()
  {
    mCluster.addEntry("e1");
    REQUIRE(mCluster.runUntil([&] { return mCluster.coordinatorInstance() == "e1"; }, 4s));
    mFirst = &mCluster.addWorker("first");
    mFirst->mTaskTime = 60s;
    mFirst->mOnAcknowledged = [this](const auto&) { ++mAcknowledged; };
    submitJob();
    REQUIRE(mCluster.runUntil([&] { return mFirst->mStarts == 2; }, 3s));
    mOther = &mCluster.addWorker("other");
    mOther->mTaskTime = 60s;
    REQUIRE(mCluster.runUntil([&] { return mOther->mHighestTerm.value() > 0; }, 3s));
    mCluster.run(500ms);
  }

  /// Whether both tasks start on the other worker within aTime.
  bool restartsWithin(std::chrono::milliseconds aTime)
  {
    return mCluster.runUntil([&] { return mOther->mStarts == 2; }, aTime);
  }

  TestCluster mCluster;
  FakeWorker* mFirst = nullptr;
  FakeWorker* mOther = nullptr;
  int mAcknowledged = 0;

private:
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

TEST_CASE("A heartbeat of another writer does not end the lifetime of a living worker", "[Node]")
{
  // The agent took each later start with the worker's address or id for its next lifetime, and the
  // tasks of the living worker were started a second time (review/10).
  ForeignAnnouncementFixture fixture;
  TestCluster& cluster = fixture.mCluster;
  FakeWorker& worker = *fixture.mFirst;

  SECTION("that names its address and another id")
  {
    cluster.sendHeartbeat(worker, "foreign 99 1 first");
  }
  SECTION("that names its id")
  {
    cluster.sendHeartbeat(worker, "first 99 1 first");
  }
  SECTION("that names its id and another address")
  {
    cluster.sendHeartbeat(worker, "first 99 1 elsewhere");
  }
  SECTION("that names its id, at the agent of another worker")
  {
    cluster.sendHeartbeat(*fixture.mOther, "first 99 1 first");
  }
  SECTION("that repeats its own, at the agent of another worker")
  {
    cluster.sendHeartbeat(*fixture.mOther, "first 1 1 first");
  }
  SECTION("that comes to a new process of its agent before its own")
  {
    cluster.kill("agent-first");
    cluster.startAgent(worker);
    cluster.sendHeartbeat(worker, "foreign 99 1 first");
    cluster.run(50ms);
    cluster.sendHeartbeat(worker, "first 1 2 first");
  }
  SECTION("that comes many times while the worker does not answer")
  {
    worker.mUnresponsive = true;
    for (int i = 0; i < 40; ++i) {
      cluster.sendHeartbeat(worker, "foreign-" + std::to_string(i) + " 99 1 first");
    }
    cluster.run(400ms);
    worker.mUnresponsive = false;
  }

  cluster.run(2s);
  REQUIRE(cluster.tasksRunningTwice().empty());
  REQUIRE(fixture.mOther->mStarts == 0);

  // The worker is driven on.
  for (FakeWorker::Run& run : worker.mRunning) {
    run.mTaskTime = 0ms;
  }
  REQUIRE(cluster.runUntil([&] { return fixture.mAcknowledged == 2; }, 2s));
}

TEST_CASE("A lifetime that answers at a worker's address ends the one before", "[Node]")
{
  ForeignAnnouncementFixture fixture;
  FakeWorker& worker = *fixture.mFirst;
  worker.crash();

  SECTION("under another id")
  {
    worker.restart("second", Scheduling::LifetimeStart{ 2 });
    fixture.mCluster.sendHeartbeat(worker, "second 2 1 first 1000");
  }
  SECTION("under its id")
  {
    worker.restart("first", Scheduling::LifetimeStart{ 2 });
    fixture.mCluster.sendHeartbeat(worker, "first 2 1 first 0");
  }

  REQUIRE(fixture.mCluster.runUntil([&] { return worker.mStarts + fixture.mOther->mStarts == 4; },
                                    500ms));
}
