#include <catch2/catch.hpp>

#include "Node/StoreKeys.h"
#include "TestCluster.h"

using namespace NodeTests;

namespace {

constexpr std::chrono::milliseconds kWorkerLease{ 1000 };
constexpr std::chrono::milliseconds kOutageGrace{ 4000 };

/// A coordinator whose tasks run on a worker, and another worker that has room for them.
class OutageCluster : public TestCluster
{
public:
  OutageCluster()
  {
    mTiming.mWorkerLease = kWorkerLease;
    mTiming.mStoreOutageGrace = kOutageGrace;
    addEntry("e1");
    REQUIRE(runUntil([&] { return coordinatorInstance() == "e1"; }, 4s));
    addEntry("e2");
    mFirst = &addWorker("first");
    mFirst->mTaskTime = 60s;
    submitJob();
    REQUIRE(runUntil([&] { return mFirst->mStarts == 2; }, 3s));
    mOther = &addWorker("other");
    mOther->mTaskTime = 60s;
    REQUIRE(runUntil([&] { return mOther->mHighestTerm.value() > 0; }, 3s));
    run(500ms);
  }

  void cutOffFromStore(const std::string& aName, bool aCutOff)
  {
    mProcesses.at(aName).mStoreProxy->mRejecting = aCutOff;
  }

  /// Whether a task runs on both workers at any time within aTime.
  bool runsTwiceWithin(std::chrono::milliseconds aTime)
  {
    return runUntil([&] { return !tasksRunningTwice().empty(); }, aTime);
  }

  FakeWorker* mFirst = nullptr;
  FakeWorker* mOther = nullptr;

private:
  void submitJob()
  {
    Wire::JobRecord record;
    record.job = "a";
    record.queue = "quote";
    record.acceptedUnixMs = mClock.unixNow().count();
    Wire::StepSpec step;
    step.tasks = 2;
    step.milliCores = 1000;
    step.estimateMs = 100;
    record.steps = { step };
    mStore.put(SubmissionKey(Common::JobId("a")), Wire::Encode(record));
  }
};

} // namespace

TEST_CASE("A coordinator without the store does not restart tasks that the next one has taken over",
          "[Node][Takeover]")
{
  // Leases that ended at the earlier coordinator counted as the end of their runs, although the
  // next one extended them.
  OutageCluster cluster;
  cluster.cutOffFromStore("e1", true);
  cluster.cutOffFromStore("agent-other", true);
  REQUIRE(cluster.runUntil([&] { return cluster.coordinatorInstance() == "e2"; }, 4s));
  REQUIRE(cluster.runUntil([&] { return cluster.mFirst->mHighestTerm.value() == 2; }, 2s));
  REQUIRE(cluster.mOther->mHighestTerm.value() == 1);

  SECTION("while it goes on with the agents that it still has")
  {
    REQUIRE_FALSE(cluster.runsTwiceWithin(kOutageGrace + 1s));
  }

  SECTION("nor once the store answers it again")
  {
    cluster.run(kWorkerLease + 500ms);
    cluster.cutOffFromStore("e1", false);
    cluster.cutOffFromStore("agent-other", false);
    REQUIRE_FALSE(cluster.runsTwiceWithin(3s));
  }
}

TEST_CASE("Tasks of a worker that is lost in an outage of the store start again once it answers",
          "[Node][Takeover]")
{
  OutageCluster cluster;
  const auto rejectAll = [&cluster](bool aRejects) {
    for (auto& [name, process] : cluster.mProcesses) {
      process.mStoreProxy->mRejecting = aRejects;
    }
  };
  cluster.mStore.mLeasesPause = true;
  rejectAll(true);
  cluster.run(900ms);
  cluster.kill("agent-first");
  // Both the lease of the worker and the one of the coordinator have ended, the worker's last.
  cluster.run(kWorkerLease + 1000ms);
  cluster.mFirst->endDueRuns();
  REQUIRE(cluster.mFirst->mRunning.empty());
  REQUIRE(cluster.mOther->mStarts == 0);
  rejectAll(false);
  REQUIRE(cluster.runUntil([&] { return cluster.mOther->mStarts == 2; }, 3s));
  REQUIRE(cluster.coordinatorInstance() == "e1");
}
