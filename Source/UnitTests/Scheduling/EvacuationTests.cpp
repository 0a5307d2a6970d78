#include <algorithm>

#include <catch2/catch.hpp>

#include "Fixture.h"
#include "Scheduling/ColdWorker.h"
#include "Scheduling/Evacuation.h"

using namespace SchedulingTests;

namespace {

const Common::DataCentreId kFirst("z0");
const Common::DataCentreId kSecond("z1");

/// Workers of 4 cores in two data centres.
class TwoDataCentres : public Fixture
{
public:
  TwoDataCentres()
  {
    addWorkerIn("a1", kFirst);
    addWorkerIn("a2", kFirst);
    addWorkerIn("b1", kSecond);
  }

  WorkerView viewIn(const std::string& aName, const Common::DataCentreId& aDataCentre) const
  {
    WorkerView result = view(aName, 4'000);
    result.mDataCentre = aDataCentre;
    return result;
  }

  void addWorkerIn(const std::string& aName, const Common::DataCentreId& aDataCentre)
  {
    report(viewIn(aName, aDataCentre));
    worker(aName).mRecorded = true;
  }

  /// Names of the workers that the start orders are for, with one letter for the data centre.
  static std::string dataCentresOf(const std::vector<Order>& aOrders)
  {
    std::string letters;
    for (const Order& order : aOrders) {
      letters += order.mKind == OrderKind::Start ? order.mLifetime.mWorker.str().substr(0, 1) : "";
    }
    std::sort(letters.begin(), letters.end());
    return letters;
  }

  std::string place() { return dataCentresOf(Fixture::place()); }
};

} // namespace

TEST_CASE("No task starts in an evacuated data centre", "[Scheduling]")
{
  TwoDataCentres fixture;
  fixture.addJob("job", { MakeStep().tasks(12).build() });

  SECTION("the tasks start elsewhere, and wait for capacity there")
  {
    SetEvacuated(fixture.mState, { kFirst });
    REQUIRE(fixture.place() == "bbbb");
    REQUIRE(EvacuatedWorkers(fixture.mState) == 2);

    SECTION("until the data centre is back in service")
    {
      SetEvacuated(fixture.mState, {});
      REQUIRE(fixture.place() == "aaaaaaaa");
      REQUIRE(EvacuatedWorkers(fixture.mState) == 0);
    }
  }
  SECTION("several data centres are evacuated independently")
  {
    SetEvacuated(fixture.mState, { kFirst, kSecond });
    REQUIRE(fixture.place().empty());
    SetEvacuated(fixture.mState, { kSecond });
    REQUIRE(fixture.place() == "aaaaaaaa");
    SetEvacuated(fixture.mState, { kFirst });
    REQUIRE(fixture.place() == "bbbb");
  }
  SECTION("all data centres may be evacuated: jobs are accepted and wait")
  {
    SetEvacuated(fixture.mState, { kFirst, kSecond });
    const Job& late = fixture.addJob("late", { MakeStep().build() });
    REQUIRE(fixture.place().empty());
    REQUIRE(late.mState == JobState::Queued);
    REQUIRE(EvacuatedWorkers(fixture.mState) == 3);
    SetEvacuated(fixture.mState, {});
    REQUIRE(fixture.place().size() == 12);
  }
  SECTION("a name without workers has no effect")
  {
    SetEvacuated(fixture.mState, { Common::DataCentreId("z9") });
    REQUIRE(fixture.place() == "aaaaaaaabbbb");
    REQUIRE(EvacuatedWithoutWorkers(fixture.mState).size() == 1);
  }
}

TEST_CASE("A removed evacuation asks for a placement round", "[Scheduling]")
{
  // A coordinator places only after a change that may make more tasks placeable; waiting tasks
  // would stay until the next tick.
  TwoDataCentres fixture;
  SetEvacuated(fixture.mState, { kFirst });
  const std::uint64_t changes = fixture.mState.mPlaceableChanges;
  SetEvacuated(fixture.mState, {});
  REQUIRE(fixture.mState.mPlaceableChanges > changes);
}

TEST_CASE("A gang is not placed on workers of an evacuated data centre", "[Scheduling]")
{
  TwoDataCentres fixture;
  SetEvacuated(fixture.mState, { kFirst });

  SECTION("it waits if the other workers do not have capacity for all its tasks")
  {
    fixture.addJob("gang", { MakeStep().tasks(5).gang(GENERATE(false, true)).build() });
    REQUIRE(fixture.place().empty());
    SetEvacuated(fixture.mState, {});
    REQUIRE(fixture.place().size() == 5);
  }
  SECTION("it starts elsewhere if they have")
  {
    fixture.addJob("gang", { MakeStep().tasks(4).gang().build() });
    REQUIRE(fixture.place() == "bbbb");
  }
}

TEST_CASE("Tasks in an evacuated data centre are left running", "[Scheduling]")
{
  TwoDataCentres fixture;
  const bool longRunning = GENERATE(false, true);
  auto step = MakeStep().tasks(12);
  fixture.addJob("job", { longRunning ? step.longRunning().build() : step.build() });
  PlaceTasks(fixture.mState, fixture.now());
  const std::vector<Order> starts = fixture.takeOrders();
  REQUIRE(starts.size() == 12);
  fixture.confirm(starts);
  SetEvacuated(fixture.mState, { kFirst });
  CheckTimeouts(fixture.mState, fixture.now());
  ThrottleTasks(fixture.mState, fixture.now());
  PlaceTasks(fixture.mState, fixture.now());
  REQUIRE(fixture.takeOrders().empty());

  SECTION("and one that ends there starts again elsewhere only")
  {
    const Order& ended = *std::find_if(starts.begin(), starts.end(), [](const Order& aOrder) {
      return aOrder.mLifetime.mWorker.str() == "a1";
    });
    WorkerView view = fixture.viewIn("a1", kFirst);
    for (const Order& start : starts) {
      if (start.mLifetime.mWorker.str() == "a1" && start.mTask != ended.mTask) {
        view.mRunning.push_back(Fixture::running(start));
      }
    }
    view.mEnded.push_back(Fixture::ended(ended, 1, EndKind::Stopped));
    fixture.report(view);
    REQUIRE(fixture.place().empty());
    fixture.addWorkerIn("b2", kSecond);
    REQUIRE(fixture.place() == "b");
  }
}

TEST_CASE("A quarantined worker of an evacuated data centre gets no probe", "[Scheduling]")
{
  // Long-running tasks start on quarantined workers as a last resort, apart from the usual check.
  TwoDataCentres fixture;
  SetEvacuated(fixture.mState, { kFirst });
  fixture.addJob("lasting", { MakeStep().tasks(6).longRunning().build() });
  for (const char* name : { "a1", "a2", "b1" }) {
    fixture.worker(name).mHealth.mQuarantinedUntil =
      fixture.now().mMonotonic + std::chrono::seconds(20);
    fixture.worker(name).mHealth.mQuarantineTime = std::chrono::seconds(20);
  }
  REQUIRE(fixture.place() == "b");

  SECTION("nor its first task after the quarantine")
  {
    for (const char* name : { "a1", "a2" }) {
      fixture.worker(name).mHealth.mQuarantinedUntil = fixture.now().mMonotonic;
    }
    REQUIRE(fixture.place().empty());
    SetEvacuated(fixture.mState, {});
    REQUIRE(fixture.place() == "aa");
  }
}

TEST_CASE("A task that may crash its worker is not tried in an evacuated data centre",
          "[Scheduling]")
{
  TwoDataCentres fixture;
  Job& job = fixture.addJob("suspect", { MakeStep().build() });
  PlaceTasks(fixture.mState, fixture.now());
  const std::vector<Order> starts = fixture.takeOrders();
  REQUIRE(starts.size() == 1);
  const WorkerLifetime crashed = starts[0].mLifetime;
  fixture.report(Fixture::agentOf(crashed.mWorker),
                 {},
                 { { crashed, false, { { starts[0].mTask, starts[0].mRun } }, false } });
  job.mDurableChange = job.mLastChange;
  REQUIRE(NeedsTrial({ &job, 0, 0, 0 }));
  SetEvacuated(fixture.mState, { kFirst, kSecond });
  fixture.advance(std::chrono::seconds(1));
  REQUIRE(fixture.place().empty());
  SetEvacuated(fixture.mState, { kFirst });
  fixture.addWorkerIn("b2", kSecond);
  REQUIRE(fixture.place() == "b");
}

TEST_CASE("An evacuated data centre does not count as free capacity of its pool", "[Scheduling]")
{
  // A best-effort job without a running task is placed without regard to capacity while half of the
  // pool is free. Idle workers that take no tasks must not make the others overloaded.
  TwoDataCentres fixture;
  fixture.addJob("full", { MakeStep().tasks(3).build() });
  SetEvacuated(fixture.mState, { kFirst });
  REQUIRE(fixture.place() == "bbb");
  fixture.addJob("best-effort", { MakeStep().cores(2'000).bestEffort().build() }, "render");
  fixture.advance(std::chrono::seconds(3));
  fixture.report(fixture.viewIn("b1", kSecond));
  fixture.worker("b1").mForcedPlacementAt = fixture.now().mMonotonic;
  REQUIRE(fixture.place().empty());
  SetEvacuated(fixture.mState, {});
  REQUIRE(fixture.place() == "a");
}

TEST_CASE("A start that the agent refused is not retried on the next worker of its data centre",
          "[Scheduling]")
{
  // While the coordinator's own watch was behind, it sent the task to one worker of the evacuated
  // data centre after the other, many times a second.
  TwoDataCentres fixture;
  fixture.addJob("job", { MakeStep().tasks(4).build() });
  PlaceTasks(fixture.mState, fixture.now());
  const std::vector<Order> starts = fixture.takeOrders();
  std::size_t refused = 0;
  for (const Order& start : starts) {
    if (start.mLifetime.mWorker.str().starts_with("a")) {
      ApplyEvacuationRefusal(fixture.mState, start.mNumber, OrderResult::NotSent, fixture.now());
      ++refused;
    }
  }
  REQUIRE(refused > 0);

  SECTION("it starts elsewhere at once")
  {
    REQUIRE(fixture.place() == std::string(refused, 'b'));
  }
  SECTION("and in the data centre again after a pause, in case the refusal was the last word of it")
  {
    fixture.worker("b1").mLeaving = true;
    REQUIRE(fixture.place().empty());
    fixture.advance(fixture.mState.mPolicy.mEvacuationRefusalPause - milliseconds(1));
    REQUIRE(fixture.place().empty());
    fixture.advance(milliseconds(1));
    REQUIRE(fixture.place() == std::string(refused, 'a'));
  }
}

TEST_CASE("A repeated start that the agent refused may have been executed and is stopped",
          "[Scheduling]")
{
  TwoDataCentres fixture;
  Job& job = fixture.addJob("job", { MakeStep().build() });
  PlaceTasks(fixture.mState, fixture.now());
  const std::vector<Order> starts = fixture.takeOrders();
  const auto repeated = RepeatOrders(fixture.mState, Fixture::agentOf(starts[0].mLifetime.mWorker));
  REQUIRE(repeated.size() == 1);
  ApplyEvacuationRefusal(fixture.mState, starts[0].mNumber, OrderResult::NotSent, fixture.now());
  REQUIRE(TaskAt({ &job, 0, 0, 0 }).mPhase == TaskPhase::Stopping);
  const std::vector<Order> orders = fixture.takeOrders();
  REQUIRE(orders.size() == 1);
  REQUIRE(orders[0].mKind == OrderKind::Stop);
  PlaceTasks(fixture.mState, fixture.now());
  REQUIRE(fixture.takeOrders().empty());
}

TEST_CASE("A worker is cold for the time that it reports", "[Scheduling]")
{
  TwoDataCentres fixture;
  WorkerView view = fixture.viewIn("a1", kFirst);
  view.mColdRemaining = milliseconds(700);
  fixture.report(view);
  REQUIRE(IsCold(fixture.worker("a1"), fixture.now()));
  REQUIRE_FALSE(IsCold(fixture.worker("a2"), fixture.now()));
  fixture.advance(milliseconds(699));
  REQUIRE(IsCold(fixture.worker("a1"), fixture.now()));
  fixture.advance(milliseconds(1));
  REQUIRE_FALSE(IsCold(fixture.worker("a1"), fixture.now()));
}
