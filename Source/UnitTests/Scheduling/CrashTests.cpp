#include <catch2/catch.hpp>

#include "Fixture.h"

using namespace SchedulingTests;

namespace {

const std::vector<std::string> kWorkers{ "w1", "w2", "w3", "w4" };

/// Four workers whose crashes the tests decide. A crashed worker is back at once, in its next
/// lifetime.
class CrashFixture : public Fixture
{
public:
  CrashFixture()
  {
    for (const std::string& worker : kWorkers) {
      addWorker(worker);
    }
  }

  /// Ends the present lifetime of the order's worker, as its agent reports it.
  void crash(const Order& aOrder, std::vector<CrashSuspect> aSuspects)
  {
    const std::string name = aOrder.mLifetime.mWorker.str();
    const std::int64_t next = aOrder.mLifetime.mStartedAt.value() + 1;
    const std::vector<EndedLifetime> ended{ { .mLifetime = aOrder.mLifetime,
                                              .mSuspects = std::move(aSuspects) } };
    ApplyReport(mState, Common::InstanceId("agent-" + name), {}, ended, now().mMonotonic, now());
    report(view(name, 16'000, next));
    worker(name, next).mRecorded = true;
  }

  /// Writes the records of all jobs, and places and confirms what can start.
  std::vector<Order> startAll()
  {
    storeRecords();
    std::vector<Order> orders = place();
    confirm(orders);
    return orders;
  }

  void storeRecords()
  {
    for (const auto& [id, job] : mState.mJobs) {
      job->mDurableChange = job->mLastChange;
    }
    mState.mDirtyJobs.clear();
  }

  /// Reports the runs, which their worker has outlived.
  void reportOutlived(const std::vector<Order>& aOrders)
  {
    for (const std::string& name : kWorkers) {
      std::vector<RunningTask> runs;
      std::int64_t start = 1;
      for (const Order& order : aOrders) {
        if (order.mLifetime.mWorker.str() == name) {
          start = order.mLifetime.mStartedAt.value();
          runs.push_back(running(order));
        }
      }
      if (!runs.empty()) {
        WorkerView list = view(name, 16'000, start);
        list.mRunning = runs;
        report(list);
      }
    }
  }

  static CrashSuspect suspect(const Order& aOrder) { return { aOrder.mTask, aOrder.mRun }; }
};

std::string
WorkerOf(const Order& aOrder)
{
  return aOrder.mLifetime.mWorker.str();
}

} // namespace

TEST_CASE("A task that crashes each worker that starts it is given up", "[Scheduling]")
{
  CrashFixture fixture;
  Job& deadly = fixture.addJob("deadly", { MakeStep().tasks(1).build() });
  auto orders = fixture.startAll();
  REQUIRE(orders.size() == 1);
  const Order first = orders[0];
  fixture.advance(milliseconds(300));

  SECTION("when two workers crashed and nothing else can have been the cause")
  {
    fixture.crash(first, { CrashFixture::suspect(first) });
    orders = fixture.startAll();
    REQUIRE(orders.size() == 1);
    REQUIRE(orders[0].mIsTrial);
    REQUIRE(WorkerOf(orders[0]) != WorkerOf(first));
    fixture.advance(milliseconds(300));
    fixture.crash(orders[0], { CrashFixture::suspect(orders[0]) });
    REQUIRE(deadly.mState == JobState::Failed);
    REQUIRE(fixture.startAll().empty());
  }
  SECTION("also if it is to last")
  {
    CancelJob(fixture.mState, deadly, fixture.now());
    fixture.takeOrders();
    Job& lasting = fixture.addJob("lasting", { MakeStep().tasks(1).longRunning().build() });
    orders = fixture.startAll();
    REQUIRE(orders.size() == 1);
    const std::string firstWorker = WorkerOf(orders[0]);
    fixture.advance(milliseconds(300));
    fixture.crash(orders[0], { CrashFixture::suspect(orders[0]) });
    orders = fixture.startAll();
    REQUIRE(orders.size() == 1);
    REQUIRE(WorkerOf(orders[0]) != firstWorker);
    fixture.advance(milliseconds(300));
    fixture.crash(orders[0], { CrashFixture::suspect(orders[0]) });
    REQUIRE(lasting.mState == JobState::Failed);
  }
  SECTION("after three crashes that each have other possible causes")
  {
    const CrashSuspect other{ { JobId("other"), 0, 0, 0 }, RunNumber{ 1 } };
    for (int crashes = 1; crashes <= 3; ++crashes) {
      REQUIRE(deadly.mState == JobState::Running);
      fixture.crash(orders[0], { CrashFixture::suspect(orders[0]), other });
      orders = fixture.startAll();
      fixture.advance(milliseconds(300));
    }
    REQUIRE(deadly.mState == JobState::Failed);
    REQUIRE(orders.empty());
  }
  SECTION("even if a new coordinator takes over between the crashes")
  {
    fixture.crash(first, { CrashFixture::suspect(first) });
    const Progress record = ProgressOf(deadly);
    CrashFixture next;
    next.mState.mRunBase = RunNumber{ 1000 };
    JobSpec spec = deadly.mSpec;
    Job& recovered = AddJob(next.mState, spec, &record, true, next.now());
    REQUIRE(recovered.mSuspectTasks == 1);

    SECTION("whose agents report the first crash again")
    {
      next.crash(first, { CrashFixture::suspect(first) });
      REQUIRE(recovered.mState == JobState::Running);
    }
    orders = next.startAll();
    REQUIRE(orders.size() == 1);
    REQUIRE(orders[0].mIsTrial);
    next.advance(milliseconds(300));
    next.crash(orders[0], { CrashFixture::suspect(orders[0]) });
    REQUIRE(recovered.mState == JobState::Failed);
  }
  SECTION("but does not start again before its crash is in the store")
  {
    fixture.crash(first, { CrashFixture::suspect(first) });
    REQUIRE(fixture.place().empty());
    REQUIRE(fixture.startAll().size() == 1);
  }
}

TEST_CASE("A task beside one that crashes its worker finishes", "[Scheduling]")
{
  CrashFixture fixture;
  Job& innocent = fixture.addJob("innocent", { MakeStep().tasks(1).build() });
  auto orders = fixture.startAll();
  REQUIRE(orders.size() == 1);
  const Order first = orders[0];
  fixture.advance(milliseconds(300));

  SECTION("a crash that no run can have caused is not counted")
  {
    fixture.crash(first, {});
    orders = fixture.startAll();
    REQUIRE(orders.size() == 1);
    REQUIRE_FALSE(orders[0].mIsTrial);
  }
  SECTION("a run that outlives its trial clears the task")
  {
    fixture.crash(first, { CrashFixture::suspect(first) });
    orders = fixture.startAll();
    fixture.advance(milliseconds(300));
    fixture.reportOutlived(orders);
    REQUIRE(innocent.mSuspectTasks == 0);
    REQUIRE(fixture.mState.mTrials.empty());

    SECTION("so that a later crash starts the count again")
    {
      fixture.crash(orders[0], { CrashFixture::suspect(orders[0]) });
      REQUIRE(innocent.mState == JobState::Running);
      REQUIRE(fixture.startAll().size() == 1);
    }
  }
  SECTION("a crash beside a more likely cause does not count with one by chance")
  {
    const CrashSuspect deadly{ { JobId("deadly"), 0, 0, 0 }, RunNumber{ 1 } };
    fixture.crash(first, { CrashFixture::suspect(first), deadly });
    orders = fixture.startAll();
    fixture.advance(milliseconds(300));
    fixture.crash(orders[0], { CrashFixture::suspect(orders[0]) });
    REQUIRE(innocent.mState == JobState::Running);
    orders = fixture.startAll();
    REQUIRE(orders[0].mIsTrial);
    fixture.reportOutlived(orders);
    REQUIRE(innocent.mSuspectTasks == 0);
  }
  SECTION("two crashes of the same worker prove nothing")
  {
    // The agent's worker goes down and up by turns, and there is no other.
    CrashFixture single;
    for (const char* name : { "w2", "w3", "w4" }) {
      auto leaving = single.view(name);
      leaving.mLeaving = true;
      single.report(leaving);
    }
    Job& job = single.addJob("job", { MakeStep().tasks(1).build() });
    orders = single.startAll();
    single.advance(milliseconds(300));
    single.crash(orders[0], { CrashFixture::suspect(orders[0]) });
    orders = single.startAll();
    REQUIRE(orders.size() == 1);
    single.advance(milliseconds(300));
    single.crash(orders[0], { CrashFixture::suspect(orders[0]) });
    REQUIRE(job.mState == JobState::Running);
  }
  SECTION("the same crash counts once, however often it is reported")
  {
    fixture.crash(first, { CrashFixture::suspect(first) });
    fixture.report(
      fixture.view(WorkerOf(first), 16'000, 2),
      { { .mLifetime = first.mLifetime, .mSuspects = { CrashFixture::suspect(first) } } });
    REQUIRE(innocent.mOccurrences.at(0).mSteps[0].mTasks[0].mCrashes.size() == 1);
  }
}

TEST_CASE("A task on trial puts little other work at risk", "[Scheduling]")
{
  CrashFixture fixture;
  fixture.addJob("suspect", { MakeStep().tasks(1).build() });
  auto orders = fixture.startAll();
  REQUIRE(orders.size() == 1);
  fixture.advance(milliseconds(300));
  fixture.crash(orders[0], { CrashFixture::suspect(orders[0]) });

  SECTION("it runs on the worker with the least to lose")
  {
    // The start of the suspect waits for its record, so that the others are placed first.
    fixture.addJob("serving", { MakeStep().tasks(3).cores(4000).maxPerWorker(1).build() });
    std::set<std::string> idle(kWorkers.begin(), kWorkers.end());
    for (const Order& order : fixture.place()) {
      fixture.confirm({ order });
      idle.erase(WorkerOf(order));
    }
    REQUIRE(idle.size() == 1);
    fixture.advance(milliseconds(200));
    const auto trial = fixture.startAll();
    REQUIRE(trial.size() == 1);
    if (*idle.begin() != WorkerOf(orders[0])) {
      REQUIRE(WorkerOf(trial[0]) == *idle.begin());
    }
  }
  SECTION("nothing else starts there until the trial is over")
  {
    orders = fixture.startAll();
    REQUIRE(orders.size() == 1);
    const std::string trialWorker = WorkerOf(orders[0]);
    fixture.addJob("others", { MakeStep().tasks(8).cores(500).build() });
    for (const Order& order : fixture.startAll()) {
      REQUIRE(WorkerOf(order) != trialWorker);
    }
    REQUIRE(fixture.mState.mTrials.size() == 1);

    SECTION("or has taken too long")
    {
      fixture.advance(milliseconds(2000));
      REQUIRE_FALSE(HostsTrial(fixture.mState, fixture.worker(trialWorker), fixture.now()));
    }
  }
  SECTION("it waits for a worker without starts that would be suspects as well")
  {
    fixture.addJob("others", { MakeStep().tasks(4).cores(8000).maxPerWorker(1).build() });
    const auto others = fixture.place();
    REQUIRE(others.size() == 4);
    fixture.confirm(others);
    REQUIRE(fixture.startAll().empty());
    fixture.advance(milliseconds(200));
    const auto trial = fixture.startAll();
    REQUIRE(trial.size() == 1);
    REQUIRE(trial[0].mIsTrial);
  }
}

TEST_CASE("The tasks of a suspect's step start one at a time until one proves harmless",
          "[Scheduling]")
{
  CrashFixture fixture;
  fixture.addJob("wide", { MakeStep().tasks(3).maxPerWorker(1).build() });
  auto orders = fixture.startAll();
  REQUIRE(orders.size() == 3);
  fixture.advance(milliseconds(300));
  for (const Order& order : orders) {
    fixture.crash(order, { CrashFixture::suspect(order) });
  }
  const auto first = fixture.startAll();
  REQUIRE(first.size() == 1);
  REQUIRE(first[0].mIsTrial);
  fixture.advance(milliseconds(300));

  SECTION("a second crash ends the job without a further one")
  {
    fixture.crash(first[0], { CrashFixture::suspect(first[0]) });
    REQUIRE(fixture.mState.mJobs.at(JobId("wide"))->mState == JobState::Failed);
    REQUIRE(fixture.startAll().empty());
  }
  SECTION("the other suspects follow on trial as well")
  {
    fixture.reportOutlived(first);
    const auto second = fixture.startAll();
    REQUIRE(second.size() == 1);
    REQUIRE(second[0].mIsTrial);
  }
}

TEST_CASE("A gang with a suspect starts as a whole", "[Scheduling]")
{
  CrashFixture fixture;
  fixture.addJob("gang", { MakeStep().tasks(3).gang().build() });
  auto orders = fixture.startAll();
  REQUIRE(orders.size() == 3);
  fixture.advance(milliseconds(300));
  fixture.crash(orders[0], { CrashFixture::suspect(orders[0]) });
  for (std::size_t i = 1; i < orders.size(); ++i) {
    if (WorkerOf(orders[i]) != WorkerOf(orders[0])) {
      WorkerView view = fixture.view(WorkerOf(orders[i]));
      view.mEnded = { CrashFixture::ended(orders[i], 1, EndKind::GangMemberEnded) };
      fixture.report(view);
    }
  }
  fixture.advance(milliseconds(300));
  orders = fixture.startAll();
  REQUIRE(orders.size() == 3);
  std::set<std::string> workers;
  for (const Order& order : orders) {
    workers.insert(WorkerOf(order));
  }
  REQUIRE(workers.size() == 3);
}

TEST_CASE("A crash that is settled or concerns another run changes nothing", "[Scheduling]")
{
  CrashFixture fixture;
  Job& job = fixture.addJob("job", { MakeStep().tasks(1).longRunning().build() });
  const auto first = fixture.startAll();
  REQUIRE(first.size() == 1);
  fixture.advance(milliseconds(300));

  SECTION("a crash that was cleared is not counted again by the next coordinator")
  {
    fixture.crash(first[0], { CrashFixture::suspect(first[0]) });
    const auto second = fixture.startAll();
    fixture.advance(milliseconds(300));
    fixture.reportOutlived(second);
    const Progress record = ProgressOf(job);
    CrashFixture next;
    next.mState.mRunBase = RunNumber{ 1000 };
    Job& recovered = AddJob(next.mState, job.mSpec, &record, true, next.now());
    next.crash(first[0], { CrashFixture::suspect(first[0]) });
    REQUIRE(recovered.mSuspectTasks == 0);
  }
  SECTION("a crash of a later run leaves the run alone that goes on elsewhere")
  {
    fixture.reportOutlived(first);
    Order later = first[0];
    later.mRun = later.mRun + RunNumber{ 1 };
    later.mLifetime.mWorker = WorkerId(WorkerOf(first[0]) == "w1" ? "w2" : "w1");
    fixture.crash(later, { CrashFixture::suspect(later) });
    fixture.takeOrders();
    fixture.reportOutlived(first);
    REQUIRE(fixture.takeOrders().empty());
    REQUIRE(job.mOccurrences.at(0).mSteps[0].mTasks[0].mRun == first[0].mRun);
  }
  SECTION("a crash without suspects makes the next one on its instance inconclusive")
  {
    fixture.crash(first[0], {});
    REQUIRE(fixture.mState.mLastCrashes.size() == 1);
    REQUIRE(job.mSuspectTasks == 0);
  }
}

TEST_CASE("A task that is done is no suspect any more", "[Scheduling]")
{
  CrashFixture fixture;
  Job& job = fixture.addJob("job", { MakeStep().tasks(2).build() });
  const auto first = fixture.startAll();
  fixture.advance(milliseconds(300));
  fixture.crash(first[0], { CrashFixture::suspect(first[0]) });
  const auto second = fixture.startAll();
  REQUIRE(second.size() == 1);
  WorkerView list =
    fixture.view(WorkerOf(second[0]), 16'000, second[0].mLifetime.mStartedAt.value());
  list.mEnded = { CrashFixture::ended(second[0], 1, EndKind::Done) };
  fixture.report(list);
  REQUIRE(job.mSuspectTasks == 0);
}
