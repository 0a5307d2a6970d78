#include <catch2/catch.hpp>

#include "Fixture.h"

using namespace SchedulingTests;

TEST_CASE("The capacity of workers is never exceeded", "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1", 3'000);
  fixture.addJob("a", { MakeStep().tasks(5).build() });

  SECTION("only tasks that fit are started")
  {
    const auto starts = fixture.place();
    REQUIRE(starts.size() == 3);

    SECTION("a start refused for lack of capacity is delayed")
    {
      ApplyOrderResult(fixture.mState, starts[0].mNumber, OrderResult::NoCapacity, fixture.now());
      REQUIRE(fixture.place().empty());
      fixture.advance(milliseconds(300));
      REQUIRE(fixture.place().size() == 1);
    }
  }

  SECTION("labels and the limit of tasks per worker are respected")
  {
    fixture.addWorker("w2", 16'000);
    fixture.worker("w2").mLabels = { "b" };
    fixture.addJob("b", { MakeStep().tasks(4).label("b").maxPerWorker(2).build() });
    std::size_t onW2 = 0;
    for (const Order& start : fixture.place()) {
      if (start.mTask.mJob == JobId("b")) {
        REQUIRE(start.mLifetime.mWorker.str() == "w2");
        ++onW2;
      }
    }
    REQUIRE(onW2 == 2);
  }

  SECTION("a worker that leaves, is silent or is not recorded gets no tasks")
  {
    fixture.worker("w1").mRecorded = false;
    REQUIRE(fixture.place().empty());
    fixture.worker("w1").mRecorded = true;
    auto view = fixture.view("w1", 3'000);
    view.mResponding = false;
    fixture.report(view);
    REQUIRE(fixture.place().empty());
    view.mResponding = true;
    view.mLeaving = true;
    fixture.report(view);
    REQUIRE(fixture.place().empty());
  }
}

TEST_CASE("A run whose end a worker cannot list yet is not started again", "[Scheduling]")
{
  // A worker lists a limited number of ends that are not acknowledged. A run that had ended beyond
  // them was taken as missing, and its task was started again although it was done.
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addWorker("w2");
  fixture.addJob("a", { MakeStep().build() });
  const auto starts = fixture.place();
  REQUIRE(starts.size() == 1);
  fixture.confirm(starts);
  const std::string worker = starts[0].mLifetime.mWorker.str();
  auto view = fixture.view(worker);
  const auto reportCutLists = [&] {
    view.mRunning.clear();
    view.mEndedListCut = true;
    for (int i = 0; i < 20; ++i) {
      fixture.advance(milliseconds(500));
      fixture.report(view);
      CheckTimeouts(fixture.mState, fixture.now());
      for (const Order& stop : fixture.takeOrders()) {
        ApplyOrderResult(fixture.mState, stop.mNumber, OrderResult::Done, fixture.now());
      }
    }
  };
  const auto startsAgain = [&] {
    const auto orders = fixture.place();
    return std::any_of(orders.begin(), orders.end(), [](const Order& aOrder) {
      return aOrder.mKind == OrderKind::Start;
    });
  };
  const auto endIsListed = [&] {
    view.mEndedListCut = false;
    view.mEnded = { Fixture::ended(starts[0], 501, EndKind::Done) };
    fixture.report(view);
    REQUIRE(fixture.mState.mJobs.at(JobId("a"))->mState == JobState::Completed);
  };

  SECTION("if no list has named it")
  {
    reportCutLists();
    REQUIRE_FALSE(startsAgain());
    endIsListed();
  }

  SECTION("if it was listed as running before")
  {
    view.mRunning = { Fixture::running(starts[0]) };
    fixture.report(view);
    reportCutLists();
    REQUIRE_FALSE(startsAgain());
    REQUIRE(fixture.worker(worker).mHealth.mRecentEnds.empty());
    endIsListed();
  }

  SECTION("if a stop of it was answered")
  {
    OrderStop(fixture.mState, starts[0].mLifetime, starts[0].mTask, starts[0].mRun);
    (*fixture.mState.mJobs.at(JobId("a"))).mOccurrences.at(0).mSteps[0].mTasks[0].mPhase =
      TaskPhase::Stopping;
    reportCutLists();
    REQUIRE_FALSE(startsAgain());
    endIsListed();
  }

  SECTION("but one that is missing from whole lists is")
  {
    reportCutLists();
    view.mEndedListCut = false;
    for (int i = 0; i < 5; ++i) {
      fixture.advance(milliseconds(500));
      fixture.report(view);
      CheckTimeouts(fixture.mState, fixture.now());
    }
    const auto stops = fixture.takeOrders();
    REQUIRE(stops.size() == 1);
    REQUIRE(stops[0].mKind == OrderKind::Stop);
  }
}

TEST_CASE("A run that is stopped because another run is done occupies its worker until it ends",
          "[Scheduling]")
{
  // Its capacity was given away at once, so the worker got more than it has (soak seeds 1, 6, 7).
  Fixture fixture;
  fixture.addWorker("w1", 1'000);
  fixture.addJob("a", { MakeStep().build() });
  const auto first = fixture.place();
  fixture.confirm(first);
  MarkAgentDisconnected(fixture.mState, Common::InstanceId("agent-w1"));
  fixture.advance(milliseconds(5100));
  CheckTimeouts(fixture.mState, fixture.now());
  fixture.addWorker("w2", 1'000);
  const auto second = fixture.place();
  REQUIRE(second.size() == 1);
  fixture.confirm(second);
  auto runningView = fixture.view("w2", 1'000);
  runningView.mRunning = { Fixture::running(second[0]) };
  fixture.report(runningView);

  auto doneView = fixture.view("w1", 1'000);
  doneView.mEnded = { Fixture::ended(first[0], 1, EndKind::Done) };
  fixture.report(doneView);
  const auto stops = fixture.takeOrders();
  REQUIRE(stops.size() == 1);
  REQUIRE(stops[0].mKind == OrderKind::Stop);
  REQUIRE(stops[0].mLifetime.mWorker.str() == "w2");

  fixture.addJob("b", { MakeStep().tasks(2).build() });
  const auto onFreeWorker = fixture.place();
  REQUIRE(onFreeWorker.size() == 1);
  REQUIRE(onFreeWorker[0].mLifetime.mWorker.str() == "w1");

  auto stoppedView = fixture.view("w2", 1'000);
  stoppedView.mEnded = { Fixture::ended(second[0], 1, EndKind::Stopped) };
  fixture.confirm(stops);
  fixture.report(stoppedView);
  const auto onStoppedWorker = fixture.place();
  REQUIRE(onStoppedWorker.size() == 1);
  REQUIRE(onStoppedWorker[0].mLifetime.mWorker.str() == "w2");
}

TEST_CASE("A listed run that has to be stopped occupies its worker until it ends", "[Scheduling]")
{
  // A new coordinator stopped the runs of a cancelled job and gave their capacity away before they
  // had ended (soak seed 8).
  Fixture fixture;
  Job& cancelled = fixture.addJob("a", { MakeStep().build() });
  CancelJob(fixture.mState, cancelled, fixture.now());
  Order earlier;
  earlier.mTask = { JobId("a"), 0, 0, 0 };
  earlier.mRun = RunNumber{ 1 };
  auto view = fixture.view("w1", 1'000);
  view.mRunning = { Fixture::running(earlier) };
  fixture.report(view);
  fixture.worker("w1").mRecorded = true;
  const auto stops = fixture.takeOrders();
  REQUIRE(stops.size() == 1);
  REQUIRE(stops[0].mKind == OrderKind::Stop);
  fixture.confirm(stops);

  fixture.addJob("b", { MakeStep().build() });
  REQUIRE(fixture.place().empty());

  view.mRunning.clear();
  view.mEnded = { Fixture::ended(earlier, 1, EndKind::Stopped) };
  fixture.report(view);
  REQUIRE(fixture.place().size() == 1);
}

TEST_CASE("A task of an unreachable worker starts elsewhere only after its lease", "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addJob("a", { MakeStep().build() });
  const auto starts = fixture.place();
  fixture.confirm(starts);
  fixture.addWorker("w2");
  MarkAgentDisconnected(fixture.mState, Common::InstanceId("agent-w1"));

  fixture.advance(milliseconds(4900));
  fixture.report(fixture.view("w2"));
  CheckTimeouts(fixture.mState, fixture.now());
  REQUIRE(fixture.place().empty());

  fixture.advance(milliseconds(200));
  CheckTimeouts(fixture.mState, fixture.now());
  const auto again = fixture.place();
  REQUIRE(again.size() == 1);
  REQUIRE(again[0].mLifetime.mWorker.str() == "w2");
  REQUIRE(again[0].mRun > starts[0].mRun);

  SECTION("if the first worker returns with the old run, that run is stopped")
  {
    auto view = fixture.view("w1");
    view.mRunning = { Fixture::running(starts[0]) };
    fixture.report(view);
    const auto orders = fixture.takeOrders();
    REQUIRE(orders.size() == 1);
    REQUIRE(orders[0].mKind == OrderKind::Stop);
    REQUIRE(orders[0].mRun == starts[0].mRun);
  }

  SECTION("if it returns with the end, the new run is stopped and the end counts")
  {
    fixture.confirm(again);
    auto view = fixture.view("w1");
    view.mEnded = { Fixture::ended(starts[0], 1, EndKind::Done) };
    fixture.report(view);
    REQUIRE(fixture.mState.mJobs.at(JobId("a"))->mState == JobState::Completed);
    const auto orders = fixture.takeOrders();
    REQUIRE(orders.size() == 1);
    REQUIRE(orders[0].mLifetime.mWorker.str() == "w2");
  }
}

TEST_CASE("What a worker lists after its lifetime counts as ended has no effect", "[Scheduling]")
{
  // The end of its run was acknowledged although the task had been started elsewhere.
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addJob("a", { MakeStep().build() });
  const auto starts = fixture.place();
  fixture.confirm(starts);
  fixture.addWorker("w2");
  EndedLifetime ended;
  ended.mLifetime = fixture.view("w1").mLifetime;
  ended.mLeftByPlan = true;
  fixture.report(fixture.view("w2"), { ended });
  const auto again = fixture.place();
  REQUIRE(again.size() == 1);
  REQUIRE(again[0].mLifetime.mWorker.str() == "w2");
  fixture.confirm(again);
  auto view = fixture.view("w1");

  SECTION("a run that has ended is not acknowledged, and the present run goes on")
  {
    view.mEnded = { Fixture::ended(starts[0], 1, EndKind::Done) };
    fixture.report(view);
    REQUIRE(fixture.worker("w1").mLastHandledEnd == EndNumber{ 0 });
    REQUIRE(fixture.mState.mJobs.at(JobId("a"))->mState == JobState::Running);
    REQUIRE(fixture.takeOrders().empty());
  }

  SECTION("a run that goes on is stopped")
  {
    view.mRunning = { Fixture::running(starts[0]) };
    fixture.report(view);
    const auto stops = fixture.takeOrders();
    REQUIRE(stops.size() == 1);
    REQUIRE(stops[0].mKind == OrderKind::Stop);
    REQUIRE(stops[0].mLifetime == starts[0].mLifetime);
    REQUIRE(stops[0].mRun == starts[0].mRun);
  }

  SECTION("the worker gets no start")
  {
    fixture.report(view);
    fixture.addJob("b", { MakeStep().cores(16'000).build() });
    REQUIRE(fixture.place().empty());
  }
}

TEST_CASE("A lease that a later coordinator may have extended does not end", "[Scheduling]")
{
  // A coordinator without the store restarted the tasks of workers that had left it for the next
  // one.
  Fixture fixture;

  SECTION("with the runs on its worker")
  {
    fixture.addWorker("w1");
    fixture.addJob("a", { MakeStep().build() });
    fixture.confirm(fixture.place());
    fixture.addWorker("w2");
    MarkAgentDisconnected(fixture.mState, Common::InstanceId("agent-w1"));
    fixture.mState.mSoleUntil = fixture.worker("w1").mLeaseEnd - milliseconds(1);
  }

  SECTION("for a new coordinator that waits for the worker")
  {
    const Timestamp leaseEnd = fixture.now().mMonotonic + milliseconds(5000);
    AddRecordedWorker(fixture.mState, fixture.view("w1"), Common::InstanceId("agent-w1"), leaseEnd);
    JobSpec spec;
    spec.mJob = JobId("a");
    spec.mQueue = Common::RouteId("quote");
    spec.mSteps = { MakeStep().build() };
    AddJob(fixture.mState, spec, nullptr, true, fixture.now());
    fixture.addWorker("w2");
    fixture.mState.mSoleUntil = leaseEnd - milliseconds(1);
  }

  fixture.advance(milliseconds(6000));
  fixture.report(fixture.view("w2"));
  CheckTimeouts(fixture.mState, fixture.now());
  REQUIRE(fixture.place().empty());

  // The store answers again, and the coordinator's key was there all the while.
  fixture.mState.mSoleUntil = fixture.now().mMonotonic + milliseconds(1000);
  CheckTimeouts(fixture.mState, fixture.now());
  const auto starts = fixture.place();
  REQUIRE(starts.size() == 1);
  REQUIRE(starts[0].mLifetime.mWorker.str() == "w2");
}

TEST_CASE("A task whose start was repeated is not started elsewhere while its run may exist",
          "[Scheduling]")
{
  // The agent's new process answers for itself; the process before it may have started the run.
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addWorker("w2", 500);
  fixture.addJob("a", { MakeStep().build() });
  const auto starts = fixture.place();
  REQUIRE(starts.size() == 1);
  fixture.addWorker("w3");
  const auto repeated = RepeatOrders(fixture.mState, Common::InstanceId("agent-w1"));
  REQUIRE(repeated.size() == 1);
  REQUIRE(repeated[0].mNumber == starts[0].mNumber);
  REQUIRE(repeated[0].mRepeated);
  REQUIRE(RepeatOrders(fixture.mState, Common::InstanceId("agent-w2")).empty());
  const auto answer = [&](OrderResult aResult) {
    ApplyOrderResult(fixture.mState, starts[0].mNumber, aResult, fixture.now());
  };

  SECTION("a negative result stops the run first")
  {
    answer(GENERATE(OrderResult::NotSent,
                    OrderResult::NoCapacity,
                    OrderResult::LeaseExpired,
                    OrderResult::Fenced,
                    OrderResult::Unhealthy,
                    OrderResult::Invalid,
                    OrderResult::TicketRejected,
                    OrderResult::Unknown));
    const auto orders = fixture.takeOrders();
    REQUIRE(orders.size() == 1);
    REQUIRE(orders[0].mKind == OrderKind::Stop);
    REQUIRE(orders[0].mRun == starts[0].mRun);
    REQUIRE(fixture.place().empty());

    SECTION("and the task starts again once the worker lists its end")
    {
      auto view = fixture.view("w1");
      view.mEnded = { Fixture::ended(starts[0], 1, EndKind::Stopped) };
      fixture.report(view);
      REQUIRE(fixture.place().size() == 1);
    }

    SECTION("and an end that the worker lists meanwhile counts")
    {
      auto view = fixture.view("w1");
      view.mEnded = { Fixture::ended(starts[0], 1, EndKind::Done) };
      fixture.report(view);
      REQUIRE(fixture.mState.mJobs.at(JobId("a"))->mState == JobState::Completed);
    }
  }

  SECTION("a run that was started and has ended counts as started")
  {
    answer(OrderResult::StaleRun);
    REQUIRE(fixture.place().empty());
    auto view = fixture.view("w1");
    view.mEnded = { Fixture::ended(starts[0], 1, EndKind::Done) };
    fixture.report(view);
    REQUIRE(fixture.mState.mJobs.at(JobId("a"))->mState == JobState::Completed);
  }

  SECTION("the end of the worker's lifetime ends the run")
  {
    answer(OrderResult::LifetimeEnded);
    REQUIRE(fixture.place().size() == 1);
  }
}

TEST_CASE("A start of a run that was given up is not repeated to a reconnected agent",
          "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addJob("a", { MakeStep().build() });
  const auto starts = fixture.place();
  REQUIRE(starts.size() == 1);
  fixture.addWorker("w2");
  MarkAgentDisconnected(fixture.mState, Common::InstanceId("agent-w1"));
  const auto repeatedStarts = [&] {
    auto orders = RepeatOrders(fixture.mState, Common::InstanceId("agent-w1"));
    std::erase_if(orders, [](const Order& aOrder) { return aOrder.mKind != OrderKind::Start; });
    return orders;
  };

  SECTION("after its lease ended and the task started elsewhere")
  {
    fixture.advance(milliseconds(5100));
    fixture.report(fixture.view("w2"));
    CheckTimeouts(fixture.mState, fixture.now());
    // The agent may still have the start, so it is withdrawn.
    const auto stops = fixture.takeOrders();
    REQUIRE(stops.size() == 1);
    REQUIRE(stops[0].mKind == OrderKind::Stop);
    REQUIRE(stops[0].mRun == starts[0].mRun);
    const auto again = fixture.place();
    REQUIRE(again.size() == 1);
    REQUIRE(again[0].mLifetime.mWorker.str() == "w2");
    REQUIRE(repeatedStarts().empty());
  }

  SECTION("after it was not confirmed in time and was stopped")
  {
    fixture.advance(milliseconds(4100));
    CheckTimeouts(fixture.mState, fixture.now());
    REQUIRE(repeatedStarts().empty());
    const auto orders = RepeatOrders(fixture.mState, Common::InstanceId("agent-w1"));
    REQUIRE(orders.size() == 1);
    REQUIRE(orders[0].mKind == OrderKind::Stop);
  }

  SECTION("after the job was cancelled")
  {
    CancelJob(fixture.mState, *fixture.mState.mJobs.at(JobId("a")), fixture.now());
    REQUIRE(repeatedStarts().empty());
  }
}

TEST_CASE("Reports about a silent worker do not extend its lease", "[Scheduling]")
{
  // An agent does not extend the lease of a worker that does not answer, so reports about it must
  // not move the lease end.
  Fixture fixture;
  fixture.addWorker("w1");
  const Timestamp leaseEnd = fixture.worker("w1").mLeaseEnd;
  fixture.advance(milliseconds(1000));
  auto view = fixture.view("w1");
  view.mResponding = false;
  fixture.report(view);
  REQUIRE(fixture.worker("w1").mLeaseEnd == leaseEnd);
}

TEST_CASE("A new coordinator waits for workers that may run tasks", "[Scheduling]")
{
  Fixture fixture;
  JobSpec spec;
  spec.mJob = JobId("a");
  spec.mQueue = Common::RouteId("quote");
  spec.mSteps = { MakeStep().build() };
  const Timestamp leaseEnd = fixture.now().mMonotonic + std::chrono::seconds(7);
  AddRecordedWorker(fixture.mState, fixture.view("w1"), Common::InstanceId("agent-w1"), leaseEnd);
  AddRecordedWorker(fixture.mState, fixture.view("w2"), Common::InstanceId("agent-w2"), leaseEnd);
  AddJob(fixture.mState, spec, nullptr, true, fixture.now());
  fixture.report(fixture.view("w1"));
  REQUIRE(fixture.place().empty());

  SECTION("until the last one has reported")
  {
    fixture.report(fixture.view("w2"));
    REQUIRE(fixture.place().size() == 1);
  }

  SECTION("a run that a worker reports is adopted")
  {
    auto view = fixture.view("w2");
    view.mRunning = { { { JobId("a"), 0, 0, 0 }, RunNumber{ 7 }, "", Percent{ 5 }, 0 } };
    fixture.report(view);
    REQUIRE(fixture.place().empty());
    const Task& task = fixture.mState.mJobs.at(JobId("a"))->mOccurrences.at(0).mSteps[0].mTasks[0];
    REQUIRE(task.mPhase == TaskPhase::Running);
    REQUIRE(task.mRun == RunNumber{ 7 });
  }

  SECTION("until the leases of the others have ended")
  {
    fixture.advance(std::chrono::seconds(7));
    fixture.report(fixture.view("w1"));
    REQUIRE(fixture.place().size() == 1);
  }

  SECTION("a later lifetime at the same address ends the wait")
  {
    // Found by the benchmark run trouble-2 on the site korouhev: after a power failure of the whole
    // site, workers restarted under other ids, and all recovered jobs waited for the old lifetimes.
    auto view = fixture.view("w3", 16'000, 2);
    view.mAddress = "w2:1";
    const std::vector<WorkerView> views{ view };
    ApplyReport(fixture.mState,
                Common::InstanceId("agent-w2"),
                views,
                {},
                fixture.now().mMonotonic + std::chrono::seconds(5),
                fixture.now());
    REQUIRE(fixture.place().size() == 1);
    REQUIRE(fixture.worker("w2").mLifetimeEnded);
  }

  SECTION("an agent that reports a shorter lease shortens the wait")
  {
    auto view = fixture.view("w2");
    view.mHasTaskList = false;
    view.mResponding = false;
    view.mLeaseRemaining = milliseconds(1000);
    fixture.report(view);
    REQUIRE(fixture.place().empty());
    fixture.advance(milliseconds(1100));
    fixture.report(fixture.view("w1"));
    REQUIRE(fixture.place().size() == 1);
  }

  SECTION("a job that no earlier coordinator knew starts at once")
  {
    fixture.addJob("b", { MakeStep().build() });
    REQUIRE(fixture.place().size() == 1);
  }
}

TEST_CASE("A start without an answer is stopped before the task starts again", "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addJob("a", { MakeStep().build() });
  const auto starts = fixture.place();
  ApplyOrderResult(fixture.mState, starts[0].mNumber, OrderResult::Unknown, fixture.now());
  const auto stops = fixture.takeOrders();
  REQUIRE(stops.size() == 1);
  REQUIRE(stops[0].mKind == OrderKind::Stop);
  REQUIRE(fixture.place().empty());

  SECTION("it starts again once the stop is answered and no list contains the run")
  {
    ApplyOrderResult(fixture.mState, stops[0].mNumber, OrderResult::Done, fixture.now());
    fixture.report(fixture.view("w1"));
    REQUIRE(fixture.place().empty());
    fixture.advance(milliseconds(1600));
    fixture.report(fixture.view("w1"));
    REQUIRE(fixture.place().size() == 1);
  }

  SECTION("a run that did start is ended by the list")
  {
    ApplyOrderResult(fixture.mState, stops[0].mNumber, OrderResult::Done, fixture.now());
    auto view = fixture.view("w1");
    view.mEnded = { Fixture::ended(starts[0], 1, EndKind::Stopped) };
    fixture.report(view);
    REQUIRE(fixture.place().size() == 1);
  }
}

TEST_CASE("A start refused as invalid does not count as an attempt", "[Scheduling]")
{
  // The queue allows two attempts; the caller must not see the job as failed after one failed run.
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addWorker("w2");
  Job& job = fixture.addJob("a", { MakeStep().build() });
  const auto refused = fixture.place();
  ApplyOrderResult(fixture.mState, refused[0].mNumber, OrderResult::Invalid, fixture.now());
  const auto starts = fixture.place();
  REQUIRE(starts.size() == 1);
  REQUIRE(starts[0].mLifetime.mWorker != refused[0].mLifetime.mWorker);
  fixture.confirm(starts);
  auto view = fixture.view(starts[0].mLifetime.mWorker.str());
  view.mEnded = { Fixture::ended(starts[0], 1, EndKind::Failed) };
  fixture.report(view);
  REQUIRE(job.mState == JobState::Running);
}

TEST_CASE("A run missing from its worker's lists is stopped before it starts again", "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addJob("a", { MakeStep().build() });
  fixture.confirm(fixture.place());

  SECTION("but not if the same old list is reported repeatedly")
  {
    // Found by the fleet tests: a silent worker was reported with its last list, and its runs were
    // treated as missing.
    auto view = fixture.view("w1");
    view.mTaskListNumber = 77;
    for (int i = 0; i < 10; ++i) {
      const std::vector<WorkerView> views{ view };
      ApplyReport(fixture.mState,
                  Common::InstanceId("agent-w1"),
                  views,
                  {},
                  fixture.now().mMonotonic + std::chrono::seconds(5),
                  fixture.now());
      fixture.advance(milliseconds(400));
    }
    CheckTimeouts(fixture.mState, fixture.now());
    REQUIRE(fixture.takeOrders().empty());
    return;
  }

  fixture.report(fixture.view("w1"));
  fixture.report(fixture.view("w1"));
  fixture.advance(milliseconds(1600));
  fixture.report(fixture.view("w1"));
  CheckTimeouts(fixture.mState, fixture.now());
  const auto orders = fixture.takeOrders();
  REQUIRE(orders.size() == 1);
  REQUIRE(orders[0].mKind == OrderKind::Stop);
  REQUIRE(fixture.place().empty());
}

TEST_CASE("Runs that nobody reports do not count as standing still", "[Scheduling]")
{
  // Runs of an agent that was frozen for less than a lease were stopped and started elsewhere.
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addJob("a", { MakeStep().build() });
  const auto starts = fixture.place();
  fixture.confirm(starts);
  auto view = fixture.view("w1");
  view.mRunning = { Fixture::running(starts[0]) };
  fixture.report(view);
  MarkAgentDisconnected(fixture.mState, Common::InstanceId("agent-w1"));

  fixture.advance(milliseconds(4900));
  CheckTimeouts(fixture.mState, fixture.now());
  REQUIRE(fixture.takeOrders().empty());

  SECTION("nor directly after their agent is back")
  {
    fixture.report(view);
    CheckTimeouts(fixture.mState, fixture.now());
    REQUIRE(fixture.takeOrders().empty());

    // They are watched again from then on.
    for (int i = 0; i < 5; ++i) {
      fixture.advance(milliseconds(1000));
      fixture.report(view);
    }
    CheckTimeouts(fixture.mState, fixture.now());
    REQUIRE(fixture.takeOrders().size() == 1);
  }
}

TEST_CASE("A faulty worker is told from a faulty task", "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1", 100'000);

  SECTION("failures of one job do not quarantine the worker")
  {
    for (int i = 0; i < 6; ++i) {
      RecordRunEnd(fixture.mState, fixture.worker("w1"), JobId("a"), true, fixture.now());
    }
    REQUIRE(fixture.worker("w1").mHealth.mQuarantinedUntil <= fixture.now().mMonotonic);
  }

  SECTION("failures of several jobs quarantine it, and one task probes it afterwards")
  {
    for (const char* job : { "a", "b", "c" }) {
      RecordRunEnd(fixture.mState, fixture.worker("w1"), JobId(job), true, fixture.now());
    }
    fixture.addJob("d", { MakeStep().tasks(4).build() });
    REQUIRE(fixture.place().empty());
    fixture.advance(std::chrono::seconds(4));
    fixture.report(fixture.view("w1", 100'000));
    REQUIRE(fixture.place().size() == 1);

    SECTION("a failed probe doubles the quarantine")
    {
      RecordRunEnd(fixture.mState, fixture.worker("w1"), JobId("d"), true, fixture.now());
      REQUIRE(fixture.worker("w1").mHealth.mQuarantineTime == std::chrono::seconds(6));
    }
    SECTION("a successful probe ends it")
    {
      RecordRunEnd(fixture.mState, fixture.worker("w1"), JobId("d"), false, fixture.now());
      REQUIRE(fixture.place().size() == 3);
    }
  }

  SECTION("a long-running task that kept serving does not block the probe")
  {
    fixture.addJob("watch", { MakeStep().longRunning().build() });
    const auto longRunning = fixture.place();
    REQUIRE(longRunning.size() == 1);
    fixture.confirm(longRunning);
    auto view = fixture.view("w1", 100'000);
    view.mRunning = { Fixture::running(longRunning[0], 100) };
    fixture.report(view);
    for (const char* job : { "a", "b", "c" }) {
      RecordRunEnd(fixture.mState, fixture.worker("w1"), JobId(job), true, fixture.now());
    }
    fixture.addJob("d", { MakeStep().tasks(4).build() });
    fixture.advance(std::chrono::seconds(4));
    fixture.report(view);
    REQUIRE(fixture.place().size() == 1);
  }
}

TEST_CASE("An agent does not end the lifetime of another agent's worker", "[Scheduling]")
{
  // An agent passes on what a status report of another writer names (review/10).
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addJob("a", { MakeStep().build() });
  const auto starts = fixture.place();
  fixture.confirm(starts);
  fixture.addWorker("w2");
  const Common::InstanceId foreignAgent = Fixture::agentOf(WorkerId("w2"));

  SECTION("by a later lifetime under its id")
  {
    auto later = fixture.view("w1", 16'000, 2);
    later.mHasTaskList = false;
    fixture.report(foreignAgent, { later }, {});
  }
  SECTION("by a report that it has ended")
  {
    EndedLifetime ended;
    ended.mLifetime = fixture.view("w1").mLifetime;
    fixture.report(foreignAgent, {}, { ended });
    REQUIRE(fixture.mState.mCounts.mCrashes == 0);
  }
  SECTION("by a report that it is leaving")
  {
    auto leaving = fixture.view("w1");
    leaving.mHasTaskList = false;
    leaving.mLeaving = true;
    fixture.report(foreignAgent, { leaving }, {});
    REQUIRE_FALSE(fixture.worker("w1").mLeaving);
  }

  REQUIRE_FALSE(fixture.worker("w1").mLifetimeEnded);
  REQUIRE(fixture.worker("w1").mAgent.str() == "agent-w1");
  REQUIRE(fixture.place().empty());
}
