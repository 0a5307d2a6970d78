#include <catch2/catch.hpp>

#include "Node/StoreKeys.h"
#include "World.h"

using namespace NodeTests;

namespace {

/// Stores a submission as an entry would.
void
Submit(World& aWorld, const std::string& aId)
{
  Scheduling::JobSpec job = *aWorld.mFormats.mReadJob("");
  job.mJob = Common::JobId(aId);
  job.mQueue = Common::RouteId("quote");
  job.mAccepted = aWorld.mClock.unixNow();
  Wire::JobRecord record;
  record.job = aId;
  record.queue = "quote";
  record.acceptedUnixMs = job.mAccepted.count();
  Wire::StepSpec step;
  step.tasks = 2;
  step.milliCores = 1000;
  step.estimateMs = 100;
  record.steps = { step };
  aWorld.mStore.put(SubmissionKey(job.mJob), Wire::Encode(record));
}

bool
HasCompleted(World& aWorld, const std::string& aId)
{
  bool completed = false;
  aWorld.mStore.read(ProgressKey(Common::JobId(aId)),
                     1s,
                     [&](const Store::Result<std::optional<Store::Entry>>& aEntry) {
                       if (aEntry && *aEntry) {
                         const auto record = Wire::Decode<Wire::ProgressRecord>((*aEntry)->mValue);
                         completed =
                           record->state == static_cast<int>(Scheduling::JobState::Completed);
                       }
                     });
  aWorld.run(5ms);
  return completed;
}

} // namespace

TEST_CASE("A job runs on the fleet and its end is stored", "[Node]")
{
  World world;
  world.addEntry("e1");
  FakeWorker& worker = world.addWorker("w1");
  Submit(world, "a");
  REQUIRE(world.runUntil([&] { return HasCompleted(world, "a"); }, 4s));
  REQUIRE(worker.mDone == 2);
  REQUIRE(worker.mStarts == 2);

  SECTION("and the worker may forget the ends")
  {
    REQUIRE(world.runUntil([&] { return worker.mEnded.empty(); }, 2s));
  }
}

TEST_CASE("Another entry takes over when the coordinator crashes", "[Node]")
{
  World world;
  world.addEntry("e1");
  REQUIRE(world.runUntil([&] { return world.coordinator() == "e1"; }, 2s));
  world.addEntry("e2");
  FakeWorker& worker = world.addWorker("w1");
  worker.mTaskTime = 3500ms;
  Submit(world, "a");
  REQUIRE(world.runUntil([&] { return worker.mStarts == 2; }, 3s));
  world.kill("e1");
  REQUIRE(world.runUntil([&] { return world.coordinator() == "e2"; }, 4s));
  REQUIRE(world.runUntil([&] { return HasCompleted(world, "a"); }, 5s));

  // Running tasks continued, and none ran twice.
  REQUIRE(worker.mStarts == 2);
  REQUIRE(worker.mLapsed == 0);
  REQUIRE(worker.mDoubled == 0);
}

TEST_CASE("A stopping coordinator hands over to another entry", "[Node]")
{
  World world;
  auto& first = world.addEntry("e1");
  REQUIRE(world.runUntil([&] { return world.coordinator() == "e1"; }, 2s));

  SECTION("at once if another entry is there")
  {
    world.addEntry("e2");
    world.run(1000ms);
    first.mEntry->stop([] {});
    REQUIRE(world.runUntil([&] { return world.coordinator() == "e2"; }, 1500ms));
  }

  SECTION("and stays the coordinator while there is none")
  {
    // Guards against a gap of 3 s without a coordinator when the other entries are stopping as
    // well.
    first.mEntry->stop([] {});
    world.run(1000ms);
    REQUIRE(world.coordinator() == "e1");
  }
}

TEST_CASE("A process erases the coordinator key left by an earlier process of its instance",
          "[Node]")
{
  // After all processes crash at once, there is no coordinator until the old key expires, unless a
  // new process of the same instance erases it.
  World world;
  Wire::CoordinatorRecord record;
  record.term = 3;
  record.instance = "e1";
  record.address = "127.0.0.1:1";
  record.nonce = 1;
  world.mStore.put(kCoordinatorKey, Wire::Encode(record));
  world.mStore.put(kTermKey, Wire::Encode(record));
  world.addEntry("e1");
  REQUIRE(world.runUntil(
    [&] {
      bool led = false;
      world.mStore.read(
        kTermKey, 1s, [&](const Store::Result<std::optional<Store::Entry>>& aEntry) {
          led = Wire::Decode<Wire::CoordinatorRecord>((*aEntry)->mValue)->term == 4;
        });
      world.run(5ms);
      return led;
    },
    1500ms));
}

TEST_CASE("Tasks keep running while the store is unavailable", "[Node]")
{
  World world;
  world.addEntry("e1");
  FakeWorker& worker = world.addWorker("w1");
  worker.mTaskTime = 3000ms;
  Submit(world, "a");
  REQUIRE(world.runUntil([&] { return worker.mStarts == 2; }, 3s));
  world.mStore.mMode = GENERATE(FakeStore::Mode::Refusing, FakeStore::Mode::Silent);
  world.run(4000ms);
  world.mStore.mMode = FakeStore::Mode::Normal;
  REQUIRE(world.runUntil([&] { return HasCompleted(world, "a"); }, 4s));
  REQUIRE(worker.mStarts == 2);
  REQUIRE(worker.mLapsed == 0);
}

TEST_CASE("Truncated history and undecodable entries do not stop the coordinator", "[Node]")
{
  World world;
  world.mStore.put("ibis/job/strange", "bytes");
  world.mStore.put(SubmissionKey(Common::JobId("b")), "no record");
  world.addEntry("e1");
  FakeWorker& worker = world.addWorker("w1");
  REQUIRE(world.runUntil([&] { return world.coordinator() == "e1"; }, 2s));
  world.mStore.dropHistory();
  Submit(world, "a");
  REQUIRE(world.runUntil([&] { return HasCompleted(world, "a"); }, 4s));
  REQUIRE(worker.mStarts == 2);
}

TEST_CASE("A worker that stops answering keeps its tasks until its lease ends", "[Node]")
{
  World world;
  world.addEntry("e1");
  FakeWorker& first = world.addWorker("w1");
  first.mTaskTime = 60s;
  Submit(world, "a");
  REQUIRE(world.runUntil([&] { return first.mStarts == 2; }, 3s));
  FakeWorker& second = world.addWorker("w2");
  first.mSilent = true;
  world.run(3500ms);
  REQUIRE(second.mStarts == 0);
  REQUIRE(world.runUntil([&] { return second.mStarts == 2; }, 6s));
  first.settle();
  REQUIRE(first.mRunning.empty());
}

TEST_CASE("A write that takes effect late does not replace a newer record", "[Node]")
{
  // Guards against a write without an answer that takes effect seconds after the next one: the next
  // coordinator would restart finished tasks, because the workers have forgotten their ends.
  World world;
  world.addEntry("e1");
  FakeWorker& worker = world.addWorker("w1");
  worker.mTaskTime = 1500ms;
  Submit(world, "a");
  world.runUntil([&] { return worker.mStarts == 2; }, 3s);
  world.mStore.mMode = FakeStore::Mode::Late;
  world.run(1200ms);
  world.mStore.mMode = FakeStore::Mode::Normal;
  REQUIRE(world.runUntil([&] { return HasCompleted(world, "a"); }, 5s));
  world.mStore.applyLate();
  REQUIRE(HasCompleted(world, "a"));
}

TEST_CASE("An entry that the store turns away passes submissions and cancels on", "[Node]")
{
  World world;
  world.addEntry("e1");
  REQUIRE(world.runUntil([&] { return world.coordinator() == "e1"; }, 2s));
  World::Machine& second = world.addEntry("e2");
  FakeWorker& worker = world.addWorker("w1");
  worker.mTaskTime = 500ms;
  world.run(300ms);
  CoordinatorLink link(*second.mContext);
  link.follow(world.mMachines.at("e1").mSettings.mPeerAddress);
  CallerDesk desk(*second.mContext, link);
  desk.takeTables(std::make_shared<const QueueTables>(*world.mFormats.mReadTables("1")));
  world.run(200ms);
  second.mGate->mClosed = true;
  const auto call = [&](CallerCall::Kind aKind, const std::string& aPath) {
    CallerCall asked;
    asked.mKind = aKind;
    asked.mHost = "h";
    asked.mPath = aPath;
    std::optional<CallerAnswer> answer;
    desk.answer(asked, [&](const CallerAnswer& aAnswer) { answer = aAnswer; });
    (void)world.runUntil([&] { return answer.has_value(); }, 4s);
    REQUIRE(answer);
    return answer->mKind;
  };
  using Answer = CallerAnswer::Kind;

  SECTION("whether it has noticed yet or not")
  {
    desk.setStoreConnected(GENERATE(true, false));
    REQUIRE(call(CallerCall::Kind::Submit, "/q/a") == Answer::Accepted);
    REQUIRE(world.runUntil([&] { return HasCompleted(world, "a"); }, 4s));
    // The same id again is the same job.
    REQUIRE(call(CallerCall::Kind::Submit, "/q/a") == Answer::Accepted);
  }

  SECTION("a cancel ends the job, and one of an unknown id keeps it out")
  {
    REQUIRE(call(CallerCall::Kind::Submit, "/q/a") == Answer::Accepted);
    REQUIRE(call(CallerCall::Kind::Cancel, "/q/a") == Answer::Cancelled);
    REQUIRE(call(CallerCall::Kind::Cancel, "/q/a") == Answer::Cancelled);
    REQUIRE(call(CallerCall::Kind::Cancel, "/q/b") == Answer::Unknown);
    REQUIRE(call(CallerCall::Kind::Submit, "/q/b") == Answer::Unknown);
  }

  SECTION("if the store turns the coordinator away too, the caller hears so at once")
  {
    world.mMachines.at("e1").mGate->mClosed = true;
    world.run(2500ms);
    const auto asked = std::chrono::steady_clock::now();
    REQUIRE(call(CallerCall::Kind::Submit, "/q/a") == Answer::Unavailable);
    REQUIRE(std::chrono::steady_clock::now() - asked < 300ms);
  }

  SECTION("if the coordinator is gone before it answers, the outcome is not known")
  {
    world.mStore.mMode = FakeStore::Mode::Silent;
    REQUIRE(call(CallerCall::Kind::Submit, "/q/a") == Answer::Undecided);
  }
}
