#include <catch2/catch.hpp>

#include "Node/StoreKeys.h"
#include "TestCluster.h"

using namespace NodeTests;

namespace {

constexpr std::chrono::milliseconds kWorkerLease{ 2000 };

/// Two tasks run on a worker that deregisters, and another worker has room for them.
class DeregistrationFixture
{
public:
  DeregistrationFixture()
  {
    mCluster.mFormats.mParseAnnouncement =
      [parse = mCluster.mFormats.mParseAnnouncement](const Net::HttpRequest& aRequest) {
        auto announcement = parse(aRequest);
        announcement->mKind = aRequest.mTarget == "/gone" ? AnnouncementKind::Deregistration
                                                          : AnnouncementKind::Heartbeat;
        return announcement;
      };
    mCluster.mTiming.mWorkerLease = kWorkerLease;
    mCluster.mChangeSettings = [](Settings& aSettings) {
      aSettings.mMaxWorkerLease = kWorkerLease;
    };
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

  /// The worker says that it ends, and its agent has handled that.
  void deregister()
  {
    bool answered = false;
    mCluster.mClients.front()->call(
      { "POST", "/gone", "first", {} }, 1s, [&](const Net::CallResult&) { answered = true; });
    REQUIRE(mCluster.runUntil([&] { return answered; }, 1s));
  }

  /// Whether both tasks start on the other worker within aTime.
  bool restartsWithin(std::chrono::milliseconds aTime)
  {
    return mCluster.runUntil([&] { return mOther->mStarts == 2; }, aTime);
  }

  /// Whether a task runs on both workers at any time within aTime.
  bool runsTwiceWithin(std::chrono::milliseconds aTime)
  {
    return mCluster.runUntil([&] { return !mCluster.tasksRunningTwice().empty(); }, aTime);
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

TEST_CASE("Tasks of a worker that deregisters start again at once when it ends", "[Node]")
{
  DeregistrationFixture fixture;
  fixture.deregister();

  SECTION("and nothing listens at its address")
  {
    fixture.mFirst->crash();
  }
  SECTION("and the next lifetime answers")
  {
    fixture.mFirst->crash();
    fixture.mFirst->restart("first", Scheduling::LifetimeStart{ 2 });
  }

  REQUIRE(fixture.restartsWithin(500ms));
}

TEST_CASE("Tasks of a worker that deregisters do not start elsewhere while it goes on", "[Node]")
{
  // A worker that does not get the acknowledgement goes on for some seconds.
  DeregistrationFixture fixture;

  SECTION("with its lease")
  {
    fixture.deregister();
    REQUIRE_FALSE(fixture.runsTwiceWithin(kWorkerLease));
    REQUIRE(fixture.restartsWithin(1s));
  }
  SECTION("and answers no polls")
  {
    fixture.mFirst->mUnresponsive = true;
    fixture.deregister();
    REQUIRE_FALSE(fixture.runsTwiceWithin(kWorkerLease));
    REQUIRE(fixture.restartsWithin(1500ms));
  }
  SECTION("and a new process of its agent hears it again")
  {
    fixture.deregister();
    fixture.mCluster.run(20ms);
    fixture.mCluster.kill("agent-first");
    fixture.mCluster.startAgent(*fixture.mFirst);
    fixture.mCluster.sendHeartbeat(*fixture.mFirst, "first");
    REQUIRE_FALSE(fixture.runsTwiceWithin(kWorkerLease));
  }
}

TEST_CASE("A run that ends after the deregistration of its worker is not started again", "[Node]")
{
  // The tasks had been started elsewhere, and the agent polled the worker no more.
  DeregistrationFixture fixture;
  fixture.deregister();
  for (FakeWorker::Run& run : fixture.mFirst->mRunning) {
    run.mTaskTime = 0ms;
  }
  REQUIRE(fixture.mCluster.runUntil([&] { return fixture.mAcknowledged == 2; }, 2s));
  fixture.mCluster.run(500ms);
  REQUIRE(fixture.mOther->mStarts == 0);
}
