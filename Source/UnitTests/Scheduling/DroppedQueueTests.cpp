#include <catch2/catch.hpp>

#include "Fixture.h"

using namespace SchedulingTests;

namespace {

/// A coordinator in whose tables the queue "dropped" is missing. Jobs of the queue were accepted
/// with the pool "pool", priority 1 and two attempts.
class DroppedQueueFixture : public Fixture
{
public:
  DroppedQueueFixture() { addWorker("w1"); }

  Job& addDropped(const std::string& aId,
                  std::vector<StepSpec> aSteps,
                  std::optional<AdviceTimes> aAdvice = std::nullopt)
  {
    JobSpec spec;
    spec.mJob = JobId(aId);
    spec.mQueue = Common::RouteId("dropped");
    spec.mSteps = std::move(aSteps);
    spec.mAccepted = now().mUnix;
    spec.mAcceptedQueue = QueueSpec{ .mName = Common::RouteId("dropped"),
                                     .mPool = Common::PoolId("pool"),
                                     .mPriority = 1,
                                     .mMaxAttempts = 2,
                                     .mStretchFactor = 1.5,
                                     .mSlack = milliseconds(600),
                                     .mAdvice = aAdvice };
    return AddJob(mState, std::move(spec), nullptr, true, now());
  }

  /// Fails the run that was ordered.
  void fail(const Order& aOrder)
  {
    WorkerView ended = view("w1");
    ended.mEnded = { Fixture::ended(aOrder, ++mEnds, EndKind::Failed) };
    report(ended);
    advance(milliseconds(500));
  }

private:
  std::int64_t mEnds = 0;
};

} // namespace

TEST_CASE("Accepted jobs of a dropped queue keep the values of their acceptance", "[Scheduling]")
{
  // Without the values such jobs were passed over by a coordinator that had never seen the queue.
  DroppedQueueFixture fixture;
  SchedulerState& state = fixture.mState;

  SECTION("their tasks start in the order of the priorities")
  {
    fixture.addJob("least", { MakeStep().build() }, "render");
    fixture.addDropped("a", { MakeStep().build() });
    fixture.addJob("most", { MakeStep().build() });
    const auto orders = fixture.place();
    REQUIRE(orders.size() == 3);
    REQUIRE(orders[0].mTask.mJob == JobId("most"));
    REQUIRE(orders[1].mTask.mJob == JobId("a"));
  }

  SECTION("on workers of their pool only")
  {
    state.mQueues[Common::RouteId("quote")].mPool = Common::PoolId("other");
    fixture.addDropped("a", { MakeStep().build() }).mSpec.mAcceptedQueue->mPool =
      Common::PoolId("other");
    REQUIRE(fixture.place().empty());
    WorkerView view = fixture.view("w2");
    view.mPool = Common::PoolId("other");
    fixture.report(view);
    fixture.worker("w2").mRecorded = true;
    const auto orders = fixture.place();
    REQUIRE(orders.size() == 1);
    REQUIRE(orders[0].mLifetime.mWorker == WorkerId("w2"));
  }

  SECTION("they fail after as many attempts")
  {
    const Job& job = fixture.addDropped("a", { MakeStep().build() });
    for (int attempt = 1; attempt <= 2; ++attempt) {
      REQUIRE(job.mState != JobState::Failed);
      const auto orders = fixture.place();
      REQUIRE(orders.size() == 1);
      fixture.confirm(orders);
      fixture.fail(orders[0]);
    }
    REQUIRE(job.mState == JobState::Failed);
    REQUIRE(fixture.place().empty());
  }

  SECTION("their starts need tickets")
  {
    fixture.addDropped("a",
                       { MakeStep().build() },
                       AdviceTimes{ milliseconds(300), milliseconds(2), milliseconds(3000) });
    REQUIRE(fixture.place().empty());
    REQUIRE(state.mAdviceRequests.size() == 1);
    // The answer states no lifetime of the ticket.
    ApplyAdvice(state,
                state.mAdviceRequests[0].mNumber,
                Advice{ { { WorkerId("w1"), "ticket" } }, Duration{ 0 } },
                fixture.now());
    fixture.advance(milliseconds(2000));
    const auto orders = fixture.place();
    REQUIRE(orders.size() == 1);
    REQUIRE(orders[0].mTicket == "ticket");
  }

  SECTION("a task can move to another worker")
  {
    fixture.addDropped("a", { MakeStep().build() });
    REQUIRE(fixture.place().size() == 1);
    const auto task = FindTask(state, { JobId("a"), 0, 0, 0 });
    REQUIRE_FALSE(FitsOnAnotherWorker(state, *task, fixture.now()));
    fixture.addWorker("w2");
    REQUIRE(FitsOnAnotherWorker(state, *task, fixture.now()));
  }

  SECTION("the values in the tables go first once the queue is there again")
  {
    fixture.addDropped("a", { MakeStep().build() });
    state.mQueues[Common::RouteId("dropped")] = { .mName = Common::RouteId("dropped"),
                                                  .mPool = Common::PoolId("other") };
    REQUIRE(fixture.place().empty());
    state.mQueues.erase(Common::RouteId("dropped"));
    REQUIRE(fixture.place().size() == 1);
  }

  SECTION("they are counted as pending")
  {
    fixture.addDropped("a", { MakeStep().build() });
    REQUIRE(PendingJobs(state, Common::RouteId("dropped")) == 1);
  }

  SECTION("without such values they wait")
  {
    fixture.addDropped("a", { MakeStep().build() }).mSpec.mAcceptedQueue.reset();
    REQUIRE(fixture.place().empty());
    state.mQueues[Common::RouteId("dropped")] = { .mName = Common::RouteId("dropped"),
                                                  .mPool = Common::PoolId("pool") };
    REQUIRE(fixture.place().size() == 1);
  }
}
