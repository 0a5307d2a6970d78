#include <algorithm>

#include <catch2/catch.hpp>

#include "Fixture.h"
#include "Scheduling/ExpectedTime.h"

using namespace SchedulingTests;

namespace {

/// A fixture with a way to run single tasks to their end.
class RunTimes : public Fixture
{
public:
  /// Starts one task of a new job and lets it end after aTook. Returns the worker that ran it.
  std::string run(const StepSpec& aStep, Duration aTook)
  {
    addJob("job" + std::to_string(++mJobs), { aStep });
    const std::vector<Order> starts = place();
    REQUIRE(starts.size() == 1);
    confirm(starts);
    advance(aTook);
    std::string name = starts[0].mLifetime.mWorker.str();
    WorkerView ended = view(name);
    ended.mEnded = { Fixture::ended(starts[0], mJobs, EndKind::Done) };
    report(ended);
    return name;
  }

  double learnedRatio() const { return mState.mRunTimes.begin()->second.mRatio; }

private:
  std::int64_t mJobs = 0;
};

} // namespace

TEST_CASE("Run times are learned as those near the data", "[Scheduling]")
{
  RunTimes fixture;
  fixture.mState.mPolicy.mRemoteFactor = 3.0;
  fixture.addWorker("w1");

  SECTION("a run away from its data counts divided by the remote factor")
  {
    // Guards against estimates that grow with each remote run and make every wait look worthwhile.
    fixture.run(MakeStep().dataRack("elsewhere").build(), milliseconds(3000));
    REQUIRE(fixture.learnedRatio() == Approx(1.0));
  }

  SECTION("a run near its data counts as it is")
  {
    fixture.run(MakeStep().dataRack("rack-w1").build(), milliseconds(1200));
    REQUIRE(fixture.learnedRatio() == Approx(1.2));
  }

  SECTION("without a remote factor all runs count alike")
  {
    fixture.mState.mPolicy.mRemoteFactor = 1.0;
    fixture.run(MakeStep().dataRack("elsewhere").build(), milliseconds(3000));
    REQUIRE(fixture.learnedRatio() == Approx(3.0));
  }

  SECTION("the expected time on a worker grows with its distance and when it is cold")
  {
    const Job& job = fixture.addJob(
      "a", { MakeStep().dataRack("rack-w1").build(), MakeStep().dataRack("elsewhere").build() });
    const Worker& worker = fixture.worker("w1");
    REQUIRE(ExpectedTimeOn(fixture.mState, job, 0, worker) == milliseconds(1000));
    REQUIRE(ExpectedTimeOn(fixture.mState, job, 1, worker) == milliseconds(3000));
    REQUIRE(ExpectedTimeOn(fixture.mState, job, 0, worker, 1.5) == milliseconds(1500));
  }
}

TEST_CASE("A gang of one rack that ran on several teaches its near run time", "[Scheduling]")
{
  // Guards against gangs that learn their remote run time as the normal one.
  Fixture fixture;
  fixture.mState.mPolicy.mRemoteFactor = 2.0;
  fixture.addWorker("w1", 1'000);
  fixture.addWorker("w2", 1'000);
  fixture.addJob("gang", { MakeStep().tasks(2).gang(true).estimate(milliseconds(0)).build() });
  fixture.mState.mJobs.begin()->second->mSpec.mSteps[0].mEstimatedRunTime = milliseconds(500);
  std::vector<Order> starts;
  for (int i = 0; i < 100 && starts.empty(); ++i) {
    fixture.advance(milliseconds(50));
    starts = fixture.place();
  }
  REQUIRE(starts.size() == 2);
  fixture.confirm(starts);
  fixture.advance(milliseconds(1000));
  WorkerView view = fixture.view(starts[0].mLifetime.mWorker.str(), 1'000);
  view.mEnded = { Fixture::ended(starts[0], 1, EndKind::Done) };
  fixture.report(view);
  REQUIRE(fixture.mState.mRunTimes.begin()->second.mRatio == Approx(1.0));
}

TEST_CASE("Slow workers are found by their run times", "[Scheduling]")
{
  RunTimes fixture;
  fixture.addWorker("w1");
  const StepSpec step = MakeStep().build();
  for (int i = 0; i < 10; ++i) {
    fixture.run(step, milliseconds(1000));
  }
  // Only the new worker can run the task of this step.
  WorkerView other = fixture.view("w2");
  other.mLabels = { "new" };
  fixture.addWorker(other);
  const auto runOnOther = [&](Duration aTook) {
    WorkerView full = fixture.view("w1", 500);
    fixture.report(full);
    REQUIRE(fixture.run(step, aTook) == "w2");
    fixture.report(fixture.view("w1"));
  };
  REQUIRE(SpeedRatio(fixture.worker("w2")) == Approx(1.0));

  SECTION("not by fewer than three runs")
  {
    runOnOther(milliseconds(4000));
    runOnOther(milliseconds(4000));
    REQUIRE_FALSE(IsSlow(fixture.worker("w2")));
  }

  SECTION("not by single outliers")
  {
    runOnOther(milliseconds(1000));
    runOnOther(milliseconds(9000));
    runOnOther(milliseconds(1000));
    REQUIRE_FALSE(IsSlow(fixture.worker("w2")));
  }

  SECTION("three slow runs make the worker the last choice")
  {
    // Guards against jobs of many tasks that all wait for the one on the slow worker.
    for (int i = 0; i < 3; ++i) {
      runOnOther(milliseconds(4000));
    }
    REQUIRE(IsSlow(fixture.worker("w2")));
    REQUIRE(SpeedRatio(fixture.worker("w2")) <= 5.0);
    fixture.addJob("wide", { MakeStep().tasks(16).build() });
    const auto starts = fixture.place();
    REQUIRE(std::count_if(starts.begin(), starts.end(), [](const Order& aStart) {
              return aStart.mLifetime.mWorker == WorkerId("w2");
            }) == 0);

    SECTION("but it is used while no other has capacity")
    {
      fixture.addJob("more", { MakeStep().tasks(3).build() });
      REQUIRE(fixture.place().size() == 3);
    }

    SECTION("and its next lifetime counts as sound")
    {
      WorkerView next = fixture.view("w2", 16'000, 2);
      fixture.report(next);
      REQUIRE_FALSE(IsSlow(fixture.worker("w2", 2)));
    }

    SECTION("and it gets single tasks from time to time, until it is fast again")
    {
      // Guards against a worker that was slow for a minute and is never used again. w1 is half
      // full, so the cost of the other weights prefers w2.
      fixture.worker("w1").mBestEffortCores = MilliCores{ 8'000 };
      fixture.advance(fixture.mState.mPolicy.mSlowTrialInterval);
      fixture.report(fixture.view("w1", 40'000));
      fixture.report(fixture.view("w2"));
      std::size_t onSlow = 0;
      fixture.addJob("trial", { MakeStep().tasks(8).build() });
      for (const Order& start : fixture.place()) {
        onSlow += start.mLifetime.mWorker == WorkerId("w2") ? 1 : 0;
      }
      REQUIRE(onSlow == 1);
    }
  }
}
