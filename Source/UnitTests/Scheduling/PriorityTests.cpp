#include <catch2/catch.hpp>

#include "Fixture.h"

using namespace SchedulingTests;

TEST_CASE("Tasks of the most urgent queue start first", "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1", 2'000);
  fixture.addJob("render", { MakeStep().tasks(4).build() }, "render");
  fixture.addJob("quote", { MakeStep().tasks(2).build() }, "quote");
  for (const Order& start : fixture.place()) {
    REQUIRE(start.mTask.mJob == JobId("quote"));
  }
}

TEST_CASE("Jobs that can still meet their deadline go before late ones", "[Scheduling]")
{
  // Load pattern: a burst of the least urgent jobs. Running jobs that are late anyway would make
  // later ones late too.
  Fixture fixture;
  fixture.addWorker("w1", 2'000);
  fixture.addJob("old", { MakeStep().tasks(2).build() }, "render");
  fixture.advance(std::chrono::seconds(10));
  fixture.report(fixture.view("w1", 2'000));
  fixture.addJob("new", { MakeStep().tasks(2).build() }, "render");
  for (const Order& start : fixture.place()) {
    REQUIRE(start.mTask.mJob == JobId("new"));
  }
}

TEST_CASE("Jobs that are nearly done go first", "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1", 4'000);
  fixture.addJob(
    "half", { MakeStep().tasks(4).build(), MakeStep().tasks(4).after({ 0 }).build() }, "render");
  const auto first = fixture.place();
  fixture.confirm(first);
  fixture.addJob(
    "fresh", { MakeStep().tasks(4).build(), MakeStep().tasks(4).after({ 0 }).build() }, "render");
  auto view = fixture.view("w1", 4'000);
  for (std::size_t i = 0; i < first.size(); ++i) {
    view.mEnded.push_back(
      Fixture::ended(first[i], static_cast<std::int64_t>(i) + 1, EndKind::Done));
  }
  fixture.report(view);
  for (const Order& start : fixture.place()) {
    REQUIRE(start.mTask.mJob == JobId("half"));
  }
}

TEST_CASE("A placement round keeps to its budget of bytes", "[Scheduling]")
{
  // Load pattern: many jobs are recovered at once by a coordinator with a slow link.
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addWorker("w2");
  fixture.addJob("render", { MakeStep().tasks(4).build() }, "render");
  fixture.addJob("quote", { MakeStep().tasks(3).build() }, "quote");
  StartBudget budget;
  budget.mBytesOf = [](const Job&, const Common::InstanceId&) { return 100; };

  SECTION("the most urgent tasks start first, and the others in later rounds")
  {
    budget.mBytesLeft = 300;
    REQUIRE_FALSE(PlaceTasks(fixture.mState, fixture.now(), &budget));
    const auto first = fixture.takeOrders();
    REQUIRE(first.size() == 3);
    for (const Order& start : first) {
      REQUIRE(start.mTask.mJob == JobId("quote"));
    }
    budget.mBytesLeft = 150;
    REQUIRE_FALSE(PlaceTasks(fixture.mState, fixture.now(), &budget));
    REQUIRE(fixture.takeOrders().size() == 2);
    budget.mBytesLeft = 1'000;
    REQUIRE(PlaceTasks(fixture.mState, fixture.now(), &budget));
    REQUIRE(fixture.takeOrders().size() == 2);
  }

  SECTION("nothing starts without bytes left")
  {
    budget.mBytesLeft = -50;
    REQUIRE_FALSE(PlaceTasks(fixture.mState, fixture.now(), &budget));
    REQUIRE(fixture.takeOrders().empty());
  }

  SECTION("a gang starts whole")
  {
    fixture.addJob("gang", { MakeStep().tasks(4).gang().build() }, "quote");
    CancelJob(fixture.mState, *fixture.mState.mJobs.at(JobId("quote")), fixture.now());
    budget.mBytesLeft = 100;
    REQUIRE_FALSE(PlaceTasks(fixture.mState, fixture.now(), &budget));
    REQUIRE(fixture.takeOrders().size() == 4);
    REQUIRE(budget.mBytesLeft == -300);
  }
}

TEST_CASE("With the rule for the late part, jobs that earn nothing any more go last",
          "[Scheduling]")
{
  // Load pattern: a long burst. Late jobs of which little work was left kept those from their cores
  // that could still earn a part of their value.
  Fixture fixture;
  fixture.mState.mPolicy.mOrder.mLatePart = GENERATE(true, false);
  fixture.addWorker("w1", 2'000);
  // The objective of both is 3 s.
  fixture.addJob("worthless", { MakeStep().tasks(2).build() }, "render");
  fixture.advance(std::chrono::seconds(6));
  fixture.addJob("late", { MakeStep().tasks(4).build() }, "render");
  fixture.advance(std::chrono::seconds(4));
  fixture.report(fixture.view("w1", 2'000));
  const bool latePart = fixture.mState.mPolicy.mOrder.mLatePart;
  const auto starts = fixture.place();
  REQUIRE(starts.size() == 2);
  for (const Order& start : starts) {
    REQUIRE(start.mTask.mJob == JobId(latePart ? "late" : "worthless"));
  }
}

TEST_CASE("With a share for large jobs, some of them come first", "[Scheduling]")
{
  Fixture fixture;
  const double share = GENERATE(0.0, 0.6);
  fixture.mState.mPolicy.mOrder.mLargeJobShare = share;
  fixture.addWorker("w1", 2'000);
  for (int i = 0; i < 30; ++i) {
    Job& job = fixture.addJob("done" + std::to_string(i), { MakeStep().build() }, "render");
    MarkTaskDone(fixture.mState, { &job, 0, 0, 0 }, fixture.now());
  }
  for (int i = 0; i < 4; ++i) {
    fixture.addJob("large" + std::to_string(i), { MakeStep().tasks(20).build() }, "render");
    fixture.addJob("small" + std::to_string(i), { MakeStep().tasks(2).build() }, "render");
  }
  // The first round chooses them.
  fixture.worker("w1").mRecorded = false;
  REQUIRE(fixture.place().empty());
  fixture.worker("w1").mRecorded = true;
  const auto starts = fixture.place();
  REQUIRE(starts.size() == 2);
  for (const Order& start : starts) {
    REQUIRE(start.mTask.mJob.str().starts_with(share > 0 ? "large" : "small"));
  }
}
