#include <algorithm>

#include <catch2/catch.hpp>

#include "Fixture.h"

using namespace SchedulingTests;

namespace {

std::size_t
CountOf(const std::vector<Order>& aOrders, OrderKind aKind)
{
  return static_cast<std::size_t>(
    std::count_if(aOrders.begin(), aOrders.end(), [aKind](const Order& aOrder) {
      return aOrder.mKind == aKind;
    }));
}

} // namespace

TEST_CASE("A worker whose capacity shrinks gets no start until enough has ended", "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1", 4'000);
  fixture.addJob("a", { MakeStep().tasks(4).memoryMib(1'000).build() });
  const auto starts = fixture.place();
  REQUIRE(starts.size() == 4);
  fixture.confirm(starts);
  auto view = fixture.view("w1", 4'000);
  for (const Order& start : starts) {
    view.mRunning.push_back(Fixture::running(start));
  }
  fixture.report(view);
  const auto end = [&](std::size_t aCount) {
    for (std::size_t i = 0; i < aCount; ++i) {
      const auto number = static_cast<std::int64_t>(view.mEnded.size()) + 1;
      view.mEnded.push_back(
        Fixture::ended(starts[static_cast<std::size_t>(number) - 1], number, EndKind::Done));
      view.mRunning.erase(view.mRunning.begin());
    }
    fixture.report(view);
  };

  SECTION("and its runs continue")
  {
    view.mCapacity.mCores = MilliCores{ 2'000 };
    for (int i = 0; i < 10; ++i) {
      fixture.advance(milliseconds(400));
      for (auto& running : view.mRunning) {
        running.mPercent = running.mPercent + Percent{ 5 };
      }
      fixture.report(view);
      CheckTimeouts(fixture.mState, fixture.now());
      ThrottleTasks(fixture.mState, fixture.now());
      REQUIRE(fixture.place().empty());
    }
  }

  SECTION("in cores")
  {
    view.mCapacity.mCores = MilliCores{ 2'000 };
    fixture.report(view);
    fixture.addJob("b", { MakeStep().tasks(4).build() });
    REQUIRE(fixture.place().empty());
    end(2);
    REQUIRE(fixture.place().empty());
    end(1);
    REQUIRE(fixture.place().size() == 1);
  }

  SECTION("in memory")
  {
    view.mCapacity.mMemory = Common::Bytes{ 2'050 * kMib };
    view.mCapacity.mCores = MilliCores{ 16'000 };
    fixture.report(view);
    fixture.addJob("b", { MakeStep().tasks(4).build() });
    REQUIRE(fixture.place().empty());
    end(2);
    REQUIRE(fixture.place().empty());
    end(1);
    REQUIRE(fixture.place().size() == 4);
  }

  SECTION("in accelerators")
  {
    view.mCapacity.mCores = MilliCores{ 16'000 };
    view.mCapacity.mAccelerators = Common::Accelerators{ 2 };
    fixture.report(view);
    StepSpec step = MakeStep().tasks(2).build();
    step.mNeed.mAccelerators = Common::Accelerators{ 1 };
    fixture.addJob("b", { step });
    const auto accelerated = fixture.place();
    REQUIRE(accelerated.size() == 2);
    fixture.confirm(accelerated);
    for (const Order& start : accelerated) {
      view.mRunning.push_back(Fixture::running(start));
    }
    view.mCapacity.mAccelerators = Common::Accelerators{ 1 };
    fixture.report(view);
    step.mTaskCount = 1;
    fixture.addJob("c", { step });
    fixture.addJob("d", { MakeStep().build() });
    // More accelerators are in use than there are, so nothing starts at all.
    REQUIRE(fixture.place().empty());
  }

  SECTION("not even a best-effort task, which reserves no cores")
  {
    view.mCapacity.mCores = MilliCores{ 2'000 };
    fixture.report(view);
    fixture.addJob("b", { MakeStep().bestEffort().build() }, "render");
    for (int i = 0; i < 10; ++i) {
      fixture.advance(milliseconds(400));
      fixture.report(view);
      REQUIRE(fixture.place().empty());
    }
  }

  SECTION("nor a part of a gang")
  {
    fixture.addWorker("w2", 1'000);
    view.mCapacity.mCores = MilliCores{ 4'000 };
    end(2);
    view.mCapacity.mCores = MilliCores{ 2'000 };
    fixture.report(view);
    fixture.addJob("b", { MakeStep().tasks(2).gang().build() });
    REQUIRE(fixture.place().empty());
    end(1);
    REQUIRE(fixture.place().size() == 2);
  }

  SECTION("and once it grows again, starts resume at once")
  {
    view.mCapacity.mCores = MilliCores{ 2'000 };
    fixture.report(view);
    fixture.addJob("b", { MakeStep().tasks(4).build() });
    REQUIRE(fixture.place().empty());
    view.mCapacity.mCores = MilliCores{ 6'000 };
    const std::uint64_t changes = fixture.mState.mPlaceableChanges;
    fixture.report(view);
    // The coordinator looks for places only after such a change.
    REQUIRE(fixture.mState.mPlaceableChanges > changes);
    REQUIRE(fixture.place().size() == 2);
  }

  SECTION("and a run that is being stopped counts until its end is listed")
  {
    CancelJob(fixture.mState, *fixture.mState.mJobs.at(JobId("a")), fixture.now());
    const auto stops = fixture.takeOrders();
    REQUIRE(CountOf(stops, OrderKind::Stop) == 4);
    fixture.confirm(stops);
    view.mCapacity.mCores = MilliCores{ 2'000 };
    fixture.report(view);
    fixture.addJob("b", { MakeStep().tasks(4).build() });
    for (int i = 0; i < 10; ++i) {
      fixture.advance(milliseconds(400));
      fixture.report(view);
      CheckTimeouts(fixture.mState, fixture.now());
      REQUIRE(CountOf(fixture.place(), OrderKind::Start) == 0);
    }
    view.mRunning.resize(1);
    for (std::size_t i = 0; i < 3; ++i) {
      view.mEnded.push_back(
        Fixture::ended(starts[i + 1], static_cast<std::int64_t>(i) + 1, EndKind::Stopped));
    }
    fixture.report(view);
    REQUIRE(CountOf(fixture.place(), OrderKind::Start) == 1);
  }
}

TEST_CASE("A shrunk worker takes no free capacity away from the sums over workers", "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1", 8'000);
  fixture.worker("w1").mLabels = { "a" };
  auto view = fixture.view("w1", 8'000);
  view.mLabels = { "a" };
  fixture.addJob("a", { MakeStep().tasks(8).build() });
  const auto starts = fixture.place();
  REQUIRE(starts.size() == 8);
  fixture.confirm(starts);
  for (const Order& start : starts) {
    view.mRunning.push_back(Fixture::running(start));
  }
  view.mCapacity = {};
  fixture.report(view);

  SECTION("long-running and best-effort tasks are placed on the others")
  {
    fixture.addWorker("w2", 16'000);
    fixture.addJob("b", { MakeStep().tasks(2).longRunning(milliseconds(50)).build() });
    fixture.addJob("c", { MakeStep().tasks(2).bestEffort().build() }, "render");
    const auto more = fixture.place();
    REQUIRE(more.size() == 4);
    for (const Order& start : more) {
      REQUIRE(start.mLifetime.mWorker.str() == "w2");
    }
  }
}

TEST_CASE("A start that is repeated to a shrunk worker is not carried out over its capacity",
          "[Scheduling]")
{
  // A worker that does not check its capacity accepts the start.
  Fixture fixture;
  fixture.addWorker("w1", 4'000);
  fixture.addJob("a", { MakeStep().tasks(2).build() });
  const auto confirmed = fixture.place();
  REQUIRE(confirmed.size() == 2);
  fixture.confirm(confirmed);
  auto view = fixture.view("w1", 4'000);
  for (const Order& start : confirmed) {
    view.mRunning.push_back(Fixture::running(start));
  }
  fixture.report(view);
  fixture.addJob("b", { MakeStep().tasks(2).build() });
  const auto starts = fixture.place();
  REQUIRE(starts.size() == 2);
  MarkAgentDisconnected(fixture.mState, Common::InstanceId("agent-w1"));
  fixture.advance(milliseconds(1'000));

  SECTION("if the runs still fit, the starts are repeated")
  {
    fixture.report(view);
    const auto orders = RepeatOrders(fixture.mState, Common::InstanceId("agent-w1"));
    REQUIRE(CountOf(orders, OrderKind::Start) == 2);
  }

  SECTION("otherwise they are withdrawn, because an earlier call may have arrived")
  {
    view.mCapacity.mCores = MilliCores{ 2'000 };
    fixture.report(view);
    const auto repeated = RepeatOrders(fixture.mState, Common::InstanceId("agent-w1"));
    REQUIRE(CountOf(repeated, OrderKind::Start) == 0);
    const auto stops = fixture.takeOrders();
    REQUIRE(CountOf(stops, OrderKind::Stop) == 2);

    SECTION("and their tasks start again once there is capacity and the stops took effect")
    {
      fixture.confirm(stops);
      view.mCapacity.mCores = MilliCores{ 4'000 };
      fixture.report(view);
      REQUIRE(fixture.place().empty());
      fixture.advance(milliseconds(1'600));
      fixture.report(view);
      REQUIRE(CountOf(fixture.place(), OrderKind::Start) == 2);
    }
  }
}

TEST_CASE("A run of a job that has not arrived keeps its worker from getting more", "[Scheduling]")
{
  // What the run needs is not known, and a worker that does not check its capacity starts anything.
  Fixture fixture;
  fixture.addWorker("w1", 1'000);
  Order earlier;
  earlier.mTask = { JobId("unknown"), 0, 0, 0 };
  earlier.mRun = RunNumber{ 1 };
  auto view = fixture.view("w1", 1'000);
  view.mRunning = { Fixture::running(earlier) };
  fixture.report(view);
  fixture.addJob("a", { MakeStep().build() });
  REQUIRE(fixture.place().empty());

  SECTION("until its job arrives, and then as far as there is capacity")
  {
    view.mCapacity.mCores = MilliCores{ 2'000 };
    fixture.addJob("unknown", { MakeStep().build() });
    fixture.report(view);
    const auto starts = fixture.place();
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].mTask.mJob == JobId("a"));
  }

  SECTION("until the run ends")
  {
    view.mRunning.clear();
    view.mEnded = { Fixture::ended(earlier, 1, EndKind::Done) };
    fixture.report(view);
    REQUIRE(fixture.place().size() == 1);
  }
}

TEST_CASE("A run whose stop got no answer counts until the worker has answered", "[Scheduling]")
{
  // The run was superseded before a list named it. Its start may still be carried out, unless a
  // stop has arrived.
  Fixture fixture;
  fixture.addWorker("w1", 1'000);
  fixture.addJob("a", { MakeStep().build() });
  const auto first = fixture.place();
  fixture.confirm(first);
  MarkAgentDisconnected(fixture.mState, Common::InstanceId("agent-w1"));
  fixture.advance(milliseconds(5'100));
  CheckTimeouts(fixture.mState, fixture.now());
  fixture.addWorker("w2", 1'000);
  fixture.takeOrders();
  const auto second = fixture.place();
  REQUIRE(second.size() == 1);
  auto doneView = fixture.view("w1", 1'000);
  doneView.mEnded = { Fixture::ended(first[0], 1, EndKind::Done) };
  fixture.report(doneView);
  const auto stops = fixture.takeOrders();
  REQUIRE(CountOf(stops, OrderKind::Stop) == 1);
  fixture.worker("w1").mLeaving = true;
  doneView.mLeaving = true;
  fixture.addJob("b", { MakeStep().build() });
  for (int i = 0; i < 5; ++i) {
    fixture.advance(milliseconds(500));
    fixture.report(doneView);
    fixture.report(fixture.view("w2", 1'000));
    CheckTimeouts(fixture.mState, fixture.now());
    REQUIRE(CountOf(fixture.place(), OrderKind::Start) == 0);
  }
  for (const Order& stop : stops) {
    ApplyOrderResult(fixture.mState, stop.mNumber, OrderResult::Done, fixture.now());
  }
  fixture.advance(milliseconds(1'600));
  fixture.report(fixture.view("w2", 1'000));
  REQUIRE(CountOf(fixture.place(), OrderKind::Start) == 1);
}

TEST_CASE("A worker gets no start before its own description is known", "[Scheduling]")
{
  // A worker that restarts under its id may have another capacity and other labels. A lifetime that
  // a poll found had those of the one before.
  Fixture fixture;
  fixture.addWorker("w1", 8'000);
  auto view = fixture.view("w1", 8'000, 2);
  view.mAwaitsHeartbeat = true;
  fixture.report(view,
                 { { .mLifetime = { WorkerId("w1"), LifetimeStart{ 1 } }, .mSuspects = {} } });
  fixture.worker("w1", 2).mRecorded = true;
  fixture.addJob("a", { MakeStep().tasks(4).build() });
  REQUIRE(fixture.place().empty());
  view.mAwaitsHeartbeat = false;
  view.mCapacity.mCores = MilliCores{ 2'000 };
  const std::uint64_t changes = fixture.mState.mPlaceableChanges;
  fixture.report(view);
  REQUIRE(fixture.mState.mPlaceableChanges > changes);
  REQUIRE(fixture.place().size() == 2);
}
