#include <utility>

#include <catch2/catch.hpp>

#include "Node/StoreKeys.h"
#include "TestCluster.h"

using namespace NodeTests;

namespace {

constexpr std::chrono::milliseconds kWorkerLease{ 3000 };
/// A new coordinator reads its records, agents connect to it, and a start reaches its worker.
constexpr std::chrono::milliseconds kStartSlack{ 1500 };

/// Two entries, the first of which is the coordinator, and a worker that runs both tasks of a
/// job.
class LostAgentFixture
{
public:
  LostAgentFixture()
  {
    mCluster.mTiming.mWorkerLease = kWorkerLease;
    mCluster.mTiming.mCoordinatorLease = 1000ms;
    mCluster.mTiming.mLeaseRenewalInterval = 250ms;
    mCluster.addEntry("e1");
    REQUIRE(awaitCoordinator("e1"));
    mCluster.addEntry("e2");
    mLost = &addWorker("lost");
    REQUIRE(mCluster.runUntil([this] { return mLost->mHighestTerm.value() > 0; }, 3s));
    Wire::JobRecord job;
    job.job = "a";
    job.queue = "quote";
    job.acceptedUnixMs = mCluster.mClock.unixNow().count();
    Wire::StepSpec step;
    step.tasks = 2;
    step.milliCores = 1000;
    step.estimateMs = 100;
    job.steps = { step };
    mCluster.mStore.put(SubmissionKey(Common::JobId("a")), Wire::Encode(job));
    REQUIRE(mCluster.runUntil([this] { return mLost->mStarts == 2; }, 3s));
    // The record of the start is written after the next report.
    mCluster.run(1000ms);
  }

  FakeWorker& addWorker(const std::string& aName)
  {
    FakeWorker& worker = mCluster.addWorker(aName);
    worker.mTaskTime = 60s;
    return worker;
  }

  bool awaitCoordinator(const std::string& aEntry)
  {
    return mCluster.runUntil([&] { return mCluster.coordinatorInstance() == aEntry; }, 5s);
  }

  /// The coordinator is killed and aNext takes over.
  void takeOver(const std::string& aNext)
  {
    mCluster.kill(mCluster.coordinatorInstance());
    REQUIRE(awaitCoordinator(aNext));
  }

  /// Runs until the tasks have been started on aWorker, for at most aTime. No task ever runs twice.
  bool startsWithin(const FakeWorker& aWorker, std::chrono::milliseconds aTime)
  {
    bool ranTwice = false;
    const bool started = mCluster.runUntil(
      [&] {
        ranTwice = ranTwice || !mCluster.tasksRunningTwice().empty();
        return aWorker.mStarts == 2;
      },
      aTime);
    REQUIRE_FALSE(ranTwice);
    return started;
  }

  std::optional<Wire::WorkerRecord> record()
  {
    const auto value = mCluster.mStore.value(
      WorkerKey({ Common::WorkerId("lost"), Scheduling::LifetimeStart{ 1 } }));
    return value ? Wire::Decode<Wire::WorkerRecord>(*value) : std::nullopt;
  }

  /// Term in which the record says that the lease is not extended; 0 if it does not say so.
  std::int64_t suspendedTerm()
  {
    const auto found = record();
    return found && found->__isset.suspendedTerm ? found->suspendedTerm : 0;
  }

  bool awaitSuspension(std::int64_t aTerm)
  {
    return mCluster.runUntil([&] { return suspendedTerm() == aTerm; }, 1s);
  }

  /// The lost worker runs both tasks for longer than a lease that is not extended.
  bool keepsRunning()
  {
    mCluster.run(kWorkerLease + 500ms);
    mLost->endDueRuns();
    return mLost->mRunning.size() == 2 && mLost->mStarts == 2;
  }

  TestCluster mCluster;
  FakeWorker* mLost = nullptr;
};

} // namespace

TEST_CASE("Tasks of a lost agent do not wait for the outage grace of a crashed coordinator",
          "[Node][Takeover]")
{
  // The record of the worker did not say that its lease was not extended any more, so each new
  // coordinator counted the lease from the end of the grace
  // (docs/incidents/grown-lost-after-crash.md).
  LostAgentFixture fixture;
  fixture.mCluster.kill("agent-lost");
  fixture.mCluster.run(500ms);
  fixture.takeOver("e2");

  SECTION("they start one worker lease after the start of the next term")
  {
    FakeWorker& other = fixture.addWorker("other");
    REQUIRE_FALSE(fixture.startsWithin(other, kWorkerLease - 100ms));
    REQUIRE(fixture.startsWithin(other, kStartSlack));
  }

  SECTION("also after a second crash")
  {
    fixture.mCluster.addEntry("e3");
    fixture.mCluster.run(700ms);
    fixture.takeOver("e3");
    FakeWorker& other = fixture.addWorker("other");
    REQUIRE_FALSE(fixture.startsWithin(other, kWorkerLease - 100ms));
    REQUIRE(fixture.startsWithin(other, kStartSlack));
  }
}

TEST_CASE("A suspension by an earlier coordinator than the last one does not hold",
          "[Node][Takeover]")
{
  // The last coordinator may be of a version that does not know suspensions.
  LostAgentFixture fixture;
  fixture.mCluster.kill("agent-lost");
  REQUIRE(fixture.awaitSuspension(1));
  fixture.mCluster.kill("e1");
  auto record = *fixture.record();
  record.__set_suspendedTerm(0);
  fixture.mCluster.mStore.put(
    WorkerKey({ Common::WorkerId("lost"), Scheduling::LifetimeStart{ 1 } }), Wire::Encode(record));
  REQUIRE(fixture.awaitCoordinator("e2"));
  FakeWorker& other = fixture.addWorker("other");
  REQUIRE_FALSE(fixture.startsWithin(other, kWorkerLease + kStartSlack));
}

TEST_CASE("An agent that comes back keeps the runs of its worker", "[Node][Takeover]")
{
  LostAgentFixture fixture;
  using Mode = FakeStore::Mode;
  FakeStore& store = fixture.mCluster.mStore;

  SECTION("before the lease is suspended")
  {
    fixture.mCluster.mTiming.mFlushDelay = 1500ms;
    fixture.mCluster.kill("agent-lost");
    fixture.mCluster.run(200ms);
    fixture.mCluster.startAgent(*fixture.mLost);
    REQUIRE_FALSE(fixture.awaitSuspension(1));
  }

  SECTION("while the suspension is written")
  {
    const auto& written =
      fixture.mCluster.mCounters.counter("ibis_coordinator_bytes", "purpose=\"records\"");
    const auto writtenBefore = written.value();
    store.mMode = Mode::DelayingWrites;
    fixture.mCluster.kill("agent-lost");
    REQUIRE(fixture.mCluster.runUntil([&] { return written.value() > writtenBefore; }, 1s));
    fixture.mCluster.startAgent(*fixture.mLost);
    fixture.mCluster.run(300ms);
    SECTION("and takes effect soon")
    {
      store.applyDelayedWrites();
      REQUIRE(fixture.suspendedTerm() == 1);
      store.mMode = Mode::Normal;
    }
    SECTION("and could take effect after the lease is extended again")
    {
      store.mMode = Mode::Normal;
      fixture.mCluster.run(1500ms);
      store.applyDelayedWrites();
      REQUIRE(fixture.suspendedTerm() == 0);
    }
  }

  SECTION("after it")
  {
    fixture.mCluster.kill("agent-lost");
    REQUIRE(fixture.awaitSuspension(1));
    fixture.mCluster.startAgent(*fixture.mLost);
  }

  SECTION("after it, if its write had no answer")
  {
    store.mMode = Mode::LosingAnswers;
    fixture.mCluster.kill("agent-lost");
    REQUIRE(fixture.awaitSuspension(1));
    fixture.mCluster.startAgent(*fixture.mLost);
    fixture.mCluster.run(300ms);
    store.mMode = Mode::Normal;
  }

  SECTION("after a pause of the coordinator in which the answer to the write was dropped")
  {
    fixture.mCluster.kill("e2");
    fixture.mCluster.mTiming.mStoreOutageGrace = 0ms;
    fixture.mCluster.mTiming.mLeaseRenewalTimeout = 200ms;
    const Duration callTimeout = std::exchange(fixture.mCluster.mTiming.mStoreCallTimeout, 2s);
    store.mMode = Mode::LosingAnswers;
    fixture.mCluster.kill("agent-lost");
    REQUIRE(fixture.awaitSuspension(1));
    fixture.mCluster.mTiming.mStoreCallTimeout = callTimeout;
    store.mMode = Mode::Silent;
    fixture.mCluster.run(1200ms);
    store.mMode = Mode::Normal;
    REQUIRE(fixture.awaitCoordinator("e1"));
    fixture.mCluster.startAgent(*fixture.mLost);
  }

  SECTION("after the next coordinator has begun to wait for it")
  {
    fixture.mCluster.kill("agent-lost");
    REQUIRE(fixture.awaitSuspension(1));
    fixture.takeOver("e2");
    fixture.mCluster.startAgent(*fixture.mLost);
  }

  REQUIRE(fixture.keepsRunning());
  REQUIRE(fixture.suspendedTerm() == 0);
}

TEST_CASE("A suspended lease is not extended before the store knows", "[Node][Takeover]")
{
  LostAgentFixture fixture;
  fixture.mCluster.kill("agent-lost");
  REQUIRE(fixture.awaitSuspension(1));

  SECTION("by a coordinator that goes on without the store")
  {
    const auto& connected = fixture.mCluster.mCounters.counter("ibis_workers_connected");
    REQUIRE(fixture.mCluster.runUntil([&] { return connected.value() == 0; }, 1s));
    fixture.mCluster.mProcesses.at("e1").mStoreProxy->mRejecting = true;
    TestCluster::Process& agent = fixture.mCluster.startAgent(*fixture.mLost);
    REQUIRE(fixture.mCluster.runUntil([&] { return connected.value() == 1; }, 1s));
    // The agent does not learn of the next coordinator.
    agent.mStoreProxy->mRejecting = true;
    REQUIRE(fixture.awaitCoordinator("e2"));
    FakeWorker& other = fixture.addWorker("other");
    REQUIRE(fixture.startsWithin(other, kWorkerLease + kStartSlack));
  }

  SECTION("while the answer to the write is awaited")
  {
    fixture.mCluster.mStore.mMode = FakeStore::Mode::DelayingWrites;
    fixture.mCluster.startAgent(*fixture.mLost);
    const WorkerTime leaseEnd = fixture.mLost->mLeaseEnd;
    fixture.mCluster.run(1500ms);
    REQUIRE(fixture.mLost->mLeaseEnd == leaseEnd);
    fixture.mCluster.mStore.mMode = FakeStore::Mode::Normal;
    REQUIRE(fixture.mCluster.runUntil([&] { return fixture.mLost->mLeaseEnd > leaseEnd; }, 1500ms));
    REQUIRE(fixture.suspendedTerm() == 0);
  }
}

TEST_CASE("The leases of many agents that are lost at once are suspended together",
          "[Node][Takeover]")
{
  LostAgentFixture fixture;
  std::vector<std::string> names;
  for (int i = 1; i <= 20; ++i) {
    names.push_back("w" + std::to_string(i));
    fixture.addWorker(names.back());
  }
  const auto count = [&](bool aSuspended) {
    return std::count_if(names.begin(), names.end(), [&](const std::string& aName) {
      const auto value = fixture.mCluster.mStore.value(
        WorkerKey({ Common::WorkerId(aName), Scheduling::LifetimeStart{ 1 } }));
      const auto record = value ? Wire::Decode<Wire::WorkerRecord>(*value) : std::nullopt;
      return record && record->__isset.suspendedTerm == aSuspended;
    });
  };
  REQUIRE(fixture.mCluster.runUntil([&] { return count(false) == 20; }, 5s));
  const auto& writes = fixture.mCluster.mCounters.distribution("ibis_record_write_us");
  const auto before = writes.snapshot().count();
  for (const std::string& name : names) {
    fixture.mCluster.kill("agent-" + name);
  }
  REQUIRE(fixture.mCluster.runUntil([&] { return count(true) == 20; }, 1s));
  REQUIRE(writes.snapshot().count() - before <= 3);
}
