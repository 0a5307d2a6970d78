#include <catch2/catch.hpp>

#include "Node/StoreKeys.h"
#include "TestCluster.h"

using namespace NodeTests;

namespace {

/// Three entries and a worker that runs the two tasks of a job and is about to be lost.
class LostWorkerCluster : public TestCluster
{
public:
  LostWorkerCluster()
  {
    mTiming.mWorkerLease = 1000ms;
    mTiming.mStoreOutageGrace = 3000ms;
    addEntry("e1");
    REQUIRE(waitForCoordinator("e1"));
    addEntry("e2");
    mLost = &addWorker("lost");
    mLost->mTaskTime = 60s;
    submitJob();
    REQUIRE(runUntil([&] { return mLost->mStarts == 2; }, 3s));
    run(500ms);
  }

  bool waitForCoordinator(const std::string& aName)
  {
    return runUntil([&] { return coordinatorInstance() == aName; }, 4s);
  }

  bool waitForOtherCoordinatorThan(const std::string& aName)
  {
    return runUntil(
      [&] { return !coordinatorInstance().empty() && coordinatorInstance() != aName; }, 4s);
  }

  void restart(const std::string& aName)
  {
    kill(aName);
    addEntry(aName);
  }

  /// Whether the tasks of the lost worker start on another one within aTime. They must not start
  /// while the lost worker runs them.
  bool startElsewhereWithin(std::chrono::milliseconds aTime)
  {
    if (mOther == nullptr) {
      mOther = &addWorker("other");
      mOther->mTaskTime = 60s;
    }
    bool ranTwice = false;
    const bool starts = runUntil(
      [&] {
        ranTwice = ranTwice || !tasksRunningTwice().empty();
        return mOther->mStarts == 2;
      },
      aTime);
    REQUIRE_FALSE(ranTwice);
    return starts;
  }

  /// Nonce of the process that holds the coordinator's key.
  std::int64_t coordinatorNonce()
  {
    return Wire::Decode<Wire::CoordinatorRecord>(*mStore.value(kCoordinatorKey))->nonce;
  }

  /// How long, as the coordinator wrote with its records, those before it may act.
  Duration recordedEarlierAct()
  {
    const auto value = mStore.value(kRecordsKey);
    const auto stamp = value ? Wire::Decode<Wire::RecordsStamp>(*value) : std::nullopt;
    const auto coordinator = mStore.value(kCoordinatorKey);
    const auto record =
      coordinator ? Wire::Decode<Wire::CoordinatorRecord>(*coordinator) : std::nullopt;
    return stamp && record && stamp->term == record->term ? Duration{ stamp->earlierActMicros }
                                                          : Duration::max();
  }

  std::size_t entriesUnder(const std::string& aPrefix)
  {
    std::size_t entries = 0;
    mStore.readPage(aPrefix, "", 1s, [&](const Store::Result<Store::Page>& aPage) {
      entries = aPage->mEntries.size();
    });
    run(5ms);
    return entries;
  }

  FakeWorker* mLost = nullptr;
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

/// Longer than a lease with its margins and a recovery, and shorter than the time for which a
/// coordinator that the store does not answer may act.
constexpr std::chrono::milliseconds kShortWait{ 3500 };

} // namespace

TEST_CASE("Recovered tasks do not wait for a coordinator whose process has ended",
          "[Node][Takeover]")
{
  // A crashed coordinator counted as one that acts without the store although its instance had
  // started again (docs/incidents/grown-lost-after-crash.md).
  LostWorkerCluster cluster;
  cluster.kill("agent-lost");
  cluster.kill("e1");

  SECTION("as its instance started again before the key expired")
  {
    cluster.run(300ms);
    cluster.addEntry("e1");
    REQUIRE(cluster.runUntil([&] { return !cluster.coordinatorInstance().empty(); }, 4s));
    REQUIRE(cluster.startElsewhereWithin(kShortWait));
  }

  SECTION("as its instance started again after another one took over")
  {
    REQUIRE(cluster.waitForCoordinator("e2"));
    cluster.run(300ms);
    cluster.addEntry("e1");
    REQUIRE(cluster.startElsewhereWithin(kShortWait));
  }

  SECTION("as its instance becomes coordinator again itself")
  {
    cluster.kill("e2");
    cluster.run(2s);
    cluster.addEntry("e1");
    REQUIRE(cluster.waitForCoordinator("e1"));
    REQUIRE(cluster.startElsewhereWithin(kShortWait));
  }

  SECTION("also if the next coordinator crashes before it has started them")
  {
    REQUIRE(cluster.waitForCoordinator("e2"));
    cluster.addEntry("e1");
    // Without the fact, e1 counts as acting for 4.5 s from the start of the term on.
    REQUIRE(cluster.runUntil([&] { return cluster.recordedEarlierAct() < 1s; }, 3s));
    cluster.kill("e2");
    cluster.run(100ms);
    cluster.addEntry("e2");
    REQUIRE(cluster.runUntil([&] { return !cluster.coordinatorInstance().empty(); }, 4s));
    REQUIRE(cluster.startElsewhereWithin(kShortWait));
  }

  SECTION("also if the write that says so is repeated after a lost answer")
  {
    REQUIRE(cluster.waitForCoordinator("e2"));
    cluster.run(300ms);
    cluster.mStore.mMode = FakeStore::Mode::LosingAnswers;
    cluster.addEntry("e1");
    cluster.run(300ms);
    cluster.mStore.mMode = FakeStore::Mode::Normal;
    REQUIRE(cluster.startElsewhereWithin(kShortWait));
  }
}

TEST_CASE("Recovered tasks wait for a coordinator that may still act", "[Node][Takeover]")
{
  LostWorkerCluster cluster;

  SECTION("as it is frozen")
  {
    cluster.mProcesses.at("e1").mFrozen = true;
    cluster.kill("agent-lost");
    REQUIRE(cluster.waitForCoordinator("e2"));

    SECTION("and no other process has started since")
    {
      REQUIRE_FALSE(cluster.startElsewhereWithin(kShortWait));
    }

    SECTION("and an instance that was not coordinator starts again")
    {
      cluster.addEntry("e3");
      cluster.run(300ms);
      cluster.restart("e3");
      REQUIRE_FALSE(cluster.startElsewhereWithin(kShortWait));
    }

    SECTION("until its instance starts again")
    {
      REQUIRE_FALSE(cluster.startElsewhereWithin(1500ms));
      cluster.restart("e1");
      REQUIRE(cluster.startElsewhereWithin(kShortWait));
    }
  }

  SECTION("as the store does not answer it")
  {
    // The worker's agent obeys it until the agent hears of the next coordinator.
    cluster.mProcesses.at("e1").mStoreProxy->mRejecting = true;
    cluster.mProcesses.at("agent-lost").mStoreProxy->mRejecting = true;
    REQUIRE(cluster.waitForCoordinator("e2"));
    REQUIRE_FALSE(cluster.startElsewhereWithin(kShortWait));
    REQUIRE(cluster.startElsewhereWithin(8s));
  }

  SECTION("although it is known that an earlier process of its instance has ended")
  {
    const std::int64_t earlierProcess = cluster.coordinatorNonce();
    cluster.kill("e2");
    cluster.restart("e1");
    REQUIRE(cluster.runUntil(
      [&] {
        return !cluster.coordinatorInstance().empty() &&
               cluster.coordinatorNonce() != earlierProcess;
      },
      4s));
    cluster.addEntry("e2");
    cluster.run(500ms);
    cluster.mProcesses.at("e1").mFrozen = true;
    cluster.kill("agent-lost");
    REQUIRE(cluster.waitForCoordinator("e2"));
    cluster.mStore.put(kEndedKey, std::to_string(earlierProcess));
    REQUIRE_FALSE(cluster.startElsewhereWithin(kShortWait));
  }

  SECTION("although the one that replaced it has ended")
  {
    cluster.addEntry("e3");
    cluster.mProcesses.at("e1").mFrozen = true;
    cluster.kill("agent-lost");
    REQUIRE(cluster.waitForOtherCoordinatorThan("e1"));
    const std::string second = cluster.coordinatorInstance();
    cluster.run(300ms);
    cluster.restart(second);
    REQUIRE_FALSE(cluster.startElsewhereWithin(kShortWait));
  }
}

TEST_CASE("Facts about ended coordinators do not pile up in the store", "[Node][Takeover]")
{
  LostWorkerCluster cluster;
  for (int takeover = 0; takeover < 3; ++takeover) {
    const std::int64_t ended = cluster.coordinatorNonce();
    cluster.restart(cluster.coordinatorInstance());
    REQUIRE(cluster.runUntil(
      [&] { return !cluster.coordinatorInstance().empty() && cluster.coordinatorNonce() != ended; },
      4s));
    cluster.run(300ms);
  }
  REQUIRE(cluster.entriesUnder(kEndedKey) == 1);
}
