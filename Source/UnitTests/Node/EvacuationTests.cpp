#include <catch2/catch.hpp>

#include "DriverFixture.h"
#include "Node/StoreKeys.h"
#include "Node/WireConversion.h"
#include "TestCluster.h"

using namespace NodeTests;
using Scheduling::OrderResult;

namespace {

const std::string kPrefix = "evacuate/";

/// Entries and workers in two data centres: workers "a..." are in z0, all others in z1.
class EvacuatedCluster : public TestCluster
{
public:
  EvacuatedCluster()
  {
    mChangeSettings = [](Settings& aSettings) {
      const bool first = aSettings.mInstance.str().starts_with("agent-a");
      aSettings.mDataCentre = Common::DataCentreId(first ? "z0" : "z1");
    };
  }

  bool startEntry(const std::string& aName)
  {
    addEntry(aName);
    return runUntil([&] { return coordinatorInstance() == aName; }, 5s);
  }

  /// Adds a worker and waits until the coordinator can place tasks on it.
  FakeWorker& startWorker(const std::string& aName)
  {
    FakeWorker& worker = addWorker(aName);
    worker.mTaskTime = 60s;
    REQUIRE(runUntil([&] { return worker.mHighestTerm.value() > 0; }, 3s));
    run(500ms);
    return worker;
  }

  void submit(const std::string& aId, int aTasks = 2)
  {
    Wire::JobRecord record;
    record.job = aId;
    record.queue = "quote";
    record.acceptedUnixMs = mClock.unixNow().count();
    Wire::StepSpec step;
    step.tasks = aTasks;
    step.milliCores = 1000;
    step.estimateMs = 100;
    record.steps = { step };
    mStore.put(SubmissionKey(Common::JobId(aId)), Wire::Encode(record));
  }

  StoreProxy& storeOf(const std::string& aProcess) { return *mProcesses.at(aProcess).mStoreProxy; }

  std::int64_t refusedStarts()
  {
    return mCounters.counter("ibis_starts_refused_evacuated").value();
  }
};

} // namespace

TEST_CASE("A driver starts nothing in an evacuated data centre", "[Node][Evacuation]")
{
  DriverFixture fixture;

  SECTION("a first attempt is not sent, so that the task can start elsewhere")
  {
    fixture.mEvacuated = true;
    fixture.orderStart();
    REQUIRE(fixture.attempts() == 0);
    REQUIRE(fixture.mResult == OrderResult::NotSent);
    REQUIRE(fixture.suspects() == 0);
  }
  SECTION("a start without an answer is not sent again, and its run may exist")
  {
    fixture.orderStart();
    fixture.mEvacuated = true;
    fixture.answerStart(OrderResult::Unknown);
    REQUIRE(fixture.attempts() == 1);
    REQUIRE(fixture.mResult == OrderResult::Unknown);
  }
  SECTION("a start that the coordinator repeats is not sent, and its run may exist")
  {
    fixture.mEvacuated = true;
    fixture.advance(100ms);
    fixture.answerPoll();
    fixture.orderStart(true);
    REQUIRE(fixture.attempts() == 0);
    REQUIRE(fixture.mResult == OrderResult::Unknown);
  }
  SECTION("a start goes out again once the data centre is back in service")
  {
    fixture.mEvacuated = true;
    fixture.orderStart();
    fixture.mEvacuated = false;
    fixture.mResult.reset();
    fixture.orderStart();
    REQUIRE(fixture.attempts() == 1);
  }
}

TEST_CASE("A driver counts down how long its worker is cold", "[Node][Evacuation]")
{
  DriverFixture fixture;
  Scheduling::WorkerView view = fixture.mDriver->view();
  view.mColdRemaining = 900ms;
  fixture.mDriver->updateView(view);
  fixture.advance(400ms);
  REQUIRE(fixture.mDriver->viewWithLease().mColdRemaining == 500ms);
  fixture.advance(600ms);
  REQUIRE(fixture.mDriver->viewWithLease().mColdRemaining == 0ms);
}

TEST_CASE("Tasks start outside of evacuated data centres", "[Node][Evacuation]")
{
  EvacuatedCluster cluster;
  REQUIRE(cluster.startEntry("e1"));
  FakeWorker& first = cluster.startWorker("a1");
  FakeWorker& second = cluster.startWorker("b1");
  cluster.mStore.put(kPrefix + "z0", "{}");
  cluster.run(300ms);
  cluster.submit("j", 20);
  REQUIRE(cluster.runUntil([&] { return second.mStarts == 16; }, 3s));
  cluster.run(1s);
  REQUIRE(first.mStarts == 0);
  REQUIRE(cluster.refusedStarts() == 0);

  SECTION("and there again once the key is removed")
  {
    cluster.mStore.erase(kPrefix + "z0");
    REQUIRE(cluster.runUntil([&] { return first.mStarts == 4; }, 3s));
  }
}

TEST_CASE("An agent refuses starts that its coordinator orders by old information",
          "[Node][Evacuation]")
{
  // The coordinator's watch is behind, so that its orders are late ones.
  EvacuatedCluster cluster;
  REQUIRE(cluster.startEntry("e1"));
  FakeWorker& first = cluster.startWorker("a1");
  FakeWorker& alsoFirst = cluster.startWorker("a2");
  cluster.storeOf("e1").mRejectedPrefix = kPrefix;
  cluster.mStore.put(kPrefix + "z0", "{}");
  cluster.run(300ms);
  cluster.submit("j");
  REQUIRE(cluster.runUntil([&] { return cluster.refusedStarts() > 0; }, 3s));
  cluster.run(3s);
  REQUIRE(first.mStarts + alsoFirst.mStarts == 0);
  // Two tasks a round and one round a second at most.
  REQUIRE(cluster.refusedStarts() <= 10);

  SECTION("and they start elsewhere as soon as there is capacity")
  {
    FakeWorker& second = cluster.startWorker("b1");
    REQUIRE(cluster.runUntil([&] { return second.mStarts == 2; }, 3s));
    REQUIRE(first.mStarts + alsoFirst.mStarts == 0);
  }
  SECTION("or here once the key is removed")
  {
    cluster.mStore.erase(kPrefix + "z0");
    REQUIRE(cluster.runUntil([&] { return first.mStarts + alsoFirst.mStarts == 2; }, 3s));
  }
}

TEST_CASE("An agent whose own watch is behind follows its coordinator", "[Node][Evacuation]")
{
  EvacuatedCluster cluster;
  REQUIRE(cluster.startEntry("e1"));
  FakeWorker& first = cluster.startWorker("a1");
  cluster.mStore.put(kPrefix + "z0", "{}");
  cluster.run(600ms);
  cluster.storeOf("agent-a1").mRejectedPrefix = kPrefix;
  cluster.submit("j");
  cluster.run(1s);
  REQUIRE(first.mStarts == 0);
  // The agent does not see the removal itself.
  cluster.mStore.erase(kPrefix + "z0");
  REQUIRE(cluster.runUntil([&] { return first.mStarts == 2; }, 3s));
  REQUIRE(cluster.refusedStarts() == 0);
}

TEST_CASE("A start that is in flight when its data centre is evacuated is not sent again",
          "[Node][Evacuation]")
{
  // Agents send a start without an answer up to three times, for two seconds in all.
  EvacuatedCluster cluster;
  REQUIRE(cluster.startEntry("e1"));
  FakeWorker& first = cluster.startWorker("a1");
  FakeWorker& second = cluster.startWorker("b1");
  second.mUnresponsive = true;
  cluster.run(3s);
  int dropped = 0;
  first.mDelivery = [&] {
    ++dropped;
    return FakeWorker::Delivery::Dropped;
  };
  cluster.submit("j", 1);
  // Polls are dropped as well; the start comes first or soon after.
  REQUIRE(cluster.runUntil([&] { return dropped >= 2; }, 2s));
  cluster.mStore.put(kPrefix + "z0", "{}");
  cluster.run(200ms);
  first.mDelivery = nullptr;
  second.mUnresponsive = false;
  REQUIRE(cluster.runUntil([&] { return second.mStarts == 1; }, 8s));
  REQUIRE(first.mStarts == 0);
  REQUIRE(cluster.tasksRunningTwice().empty());
}

TEST_CASE("A coordinator that takes over starts nothing in an evacuated data centre",
          "[Node][Evacuation]")
{
  EvacuatedCluster cluster;
  REQUIRE(cluster.startEntry("e1"));
  FakeWorker& first = cluster.startWorker("a1");
  FakeWorker& second = cluster.startWorker("b1");
  cluster.mStore.put(kPrefix + "z0", "{}");
  cluster.run(300ms);

  SECTION("once it has read the keys")
  {
    cluster.addEntry("e2");
    cluster.run(500ms);
    cluster.kill("e1");
    cluster.submit("j");
    REQUIRE(cluster.runUntil([&] { return second.mStarts == 2; }, 8s));
    REQUIRE(first.mStarts == 0);
    REQUIRE(cluster.refusedStarts() == 0);
  }
  SECTION("nor anywhere before it has read them")
  {
    cluster.mChangeStoreProxy = [](const Settings& aSettings, StoreProxy& aProxy) {
      aProxy.mRejectedPrefix = aSettings.mInstance.str() == "e2" ? kPrefix : "";
    };
    cluster.addEntry("e2");
    cluster.run(500ms);
    cluster.kill("e1");
    cluster.submit("j");
    REQUIRE(cluster.runUntil([&] { return cluster.coordinatorInstance() == "e2"; }, 5s));
    cluster.run(2s);
    REQUIRE(first.mStarts + second.mStarts == 0);
    REQUIRE(cluster.refusedStarts() == 0);
    cluster.storeOf("e2").mRejectedPrefix.clear();
    REQUIRE(cluster.runUntil([&] { return second.mStarts == 2; }, 8s));
    REQUIRE(first.mStarts == 0);
  }
}

TEST_CASE("The last known evacuations stay in force while the store does not answer",
          "[Node][Evacuation]")
{
  EvacuatedCluster cluster;
  REQUIRE(cluster.startEntry("e1"));
  FakeWorker& first = cluster.startWorker("a1");

  SECTION("a data centre stays evacuated although its key is removed meanwhile")
  {
    cluster.mStore.put(kPrefix + "z0", "{}");
    cluster.run(300ms);
    cluster.submit("j");
    cluster.run(500ms);
    cluster.mStore.mMode = GENERATE(FakeStore::Mode::Rejecting, FakeStore::Mode::Silent);
    cluster.mStore.erase(kPrefix + "z0");
    cluster.run(3s);
    REQUIRE(first.mStarts == 0);
    cluster.mStore.mMode = FakeStore::Mode::Normal;
    REQUIRE(cluster.runUntil([&] { return first.mStarts == 2; }, 8s));
  }
  SECTION("a data centre stays in service until the key can be read")
  {
    cluster.submit("j", 20);
    REQUIRE(cluster.runUntil([&] { return first.mStarts == 16; }, 3s));
    cluster.mStore.mMode = GENERATE(FakeStore::Mode::Rejecting, FakeStore::Mode::Silent);
    cluster.mStore.put(kPrefix + "z0", "{}");
    cluster.run(500ms);
    // Four tasks wait for capacity; ends make room for them.
    for (FakeWorker::Run& run : first.mRunning) {
      run.mTaskTime = run.mTask.mIndex < 2 ? 1ms : run.mTaskTime;
    }
    REQUIRE(cluster.runUntil([&] { return first.mStarts == 18; }, 3s));
    cluster.mStore.mMode = FakeStore::Mode::Normal;
    cluster.run(3s);
    for (FakeWorker::Run& run : first.mRunning) {
      run.mTaskTime = run.mTask.mIndex < 4 ? 1ms : run.mTaskTime;
    }
    cluster.run(1s);
    REQUIRE(first.mStarts == 18);
  }
}

TEST_CASE("A restarted agent that cannot read the store follows its coordinator",
          "[Node][Evacuation]")
{
  EvacuatedCluster cluster;
  REQUIRE(cluster.startEntry("e1"));
  FakeWorker& first = cluster.startWorker("a1");
  const bool evacuated = GENERATE(false, true);
  if (evacuated) {
    cluster.mStore.put(kPrefix + "z0", "{}");
    cluster.run(300ms);
  }
  cluster.kill("agent-a1");
  cluster.mChangeStoreProxy = [](const Settings&, StoreProxy& aProxy) {
    aProxy.mRejectedPrefix = kPrefix;
  };
  cluster.startAgent(first);
  cluster.sendHeartbeat(first, "a1");
  cluster.submit("j");

  if (evacuated) {
    cluster.run(3s);
    REQUIRE(first.mStarts == 0);
    cluster.mStore.erase(kPrefix + "z0");
  }
  REQUIRE(cluster.runUntil([&] { return first.mStarts == 2; }, 8s));
}

TEST_CASE("The keys alone decide which data centres are evacuated", "[Node][Evacuation]")
{
  EvacuatedCluster cluster;
  cluster.mStore.put(kPrefix, "{}");
  REQUIRE(cluster.startEntry("e1"));
  FakeWorker& first = cluster.startWorker("a1");
  FakeWorker& second = cluster.startWorker("b1");

  SECTION("an unreadable value evacuates")
  {
    cluster.mStore.put(kPrefix + "z0", GENERATE("", "not an object"));
    cluster.run(300ms);
    cluster.submit("j", 20);
    REQUIRE(cluster.runUntil([&] { return second.mStarts == 16; }, 3s));
    cluster.run(500ms);
    REQUIRE(first.mStarts == 0);
  }
  SECTION("an empty and an unknown name have no effect")
  {
    cluster.mStore.put(kPrefix + "z", "{}");
    cluster.run(300ms);
    cluster.submit("j", 20);
    REQUIRE(cluster.runUntil([&] { return first.mStarts + second.mStarts == 20; }, 3s));
  }
  SECTION("a key that is written and removed at once has none")
  {
    cluster.mStore.put(kPrefix + "z0", "{}");
    cluster.mStore.erase(kPrefix + "z0");
    cluster.run(300ms);
    cluster.submit("j", 20);
    REQUIRE(cluster.runUntil([&] { return first.mStarts + second.mStarts == 20; }, 3s));
  }
  SECTION("one that is removed and written again at once evacuates")
  {
    cluster.mStore.put(kPrefix + "z0", "{}");
    cluster.run(300ms);
    cluster.mStore.erase(kPrefix + "z0");
    cluster.mStore.put(kPrefix + "z0", "{}");
    cluster.run(300ms);
    cluster.submit("j", 20);
    REQUIRE(cluster.runUntil([&] { return second.mStarts == 16; }, 3s));
    cluster.run(500ms);
    REQUIRE(first.mStarts == 0);
  }
}

TEST_CASE("A report carries how long a worker is cold", "[Node][Evacuation]")
{
  Scheduling::WorkerView view;
  view.mColdRemaining = 1'250ms;
  REQUIRE(FromWire(ToWire(view), Common::DataCentreId("z0")).mColdRemaining == 1'250ms);
  REQUIRE(FromWire(Wire::WorkerView{}, Common::DataCentreId("z0")).mColdRemaining == 0ms);
}
