#include <catch2/catch.hpp>

#include "Node/StoreKeys.h"
#include "TestCluster.h"

using namespace NodeTests;

TEST_CASE("A page that was read before an ended job was removed does not bring it back", "[Node]")
{
  // The job counted as new, and all its tasks started again.
  TestCluster cluster;
  const std::string key = SubmissionKey(Common::JobId("a"));
  Wire::JobRecord job;
  job.job = "a";
  job.queue = "quote";
  job.acceptedUnixMs = cluster.mClock.unixNow().count();
  Wire::StepSpec step;
  step.tasks = 2;
  step.milliCores = 1000;
  step.estimateMs = 100;
  job.steps = { step };
  cluster.mStore.put(key, Wire::Encode(job));
  Wire::ProgressRecord progress;
  progress.state = static_cast<std::int32_t>(Scheduling::JobState::Completed);
  // Ended jobs are removed after the retention of 120 s and 60 s for clocks that jump, so this one
  // 3 s from now.
  progress.endedUnixMs = cluster.mClock.unixNow().count() - 180'000 + 3'000;
  cluster.mStore.put(ProgressKey(Common::JobId("a")), Wire::Encode(progress));
  cluster.addEntry("e1");
  REQUIRE(cluster.runUntil([&] { return cluster.coordinatorInstance() == "e1"; }, 4s));
  FakeWorker& worker = cluster.addWorker("w1");
  REQUIRE(cluster.runUntil([&] { return worker.mHighestTerm.value() > 0; }, 3s));
  cluster.run(8s);
  REQUIRE(worker.mStarts == 0);
  REQUIRE(cluster.mStore.contains(key));

  StoreProxy& proxy = *cluster.mProcesses.at("e1").mStoreProxy;
  proxy.mHeldPrefix = kJobPrefix;
  cluster.mStore.put("something", "else");
  cluster.mStore.dropHistory();
  REQUIRE(cluster.runUntil([&] { return !proxy.mHeldPages.empty(); }, 2s));
  REQUIRE(cluster.runUntil([&] { return !cluster.mStore.contains(key); }, 12s));
  cluster.run(100ms);
  proxy.releasePages();
  REQUIRE_FALSE(cluster.runUntil([&] { return worker.mStarts > 0; }, 2s));

  SECTION("but a later submission under its id is a new job")
  {
    cluster.mStore.put(key, Wire::Encode(job));
    REQUIRE(cluster.runUntil([&] { return worker.mStarts == 2; }, 3s));
  }
}
