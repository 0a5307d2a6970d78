#include <catch2/catch.hpp>

#include "UnitTests/Jobs/Fixture.h"

using namespace std::chrono_literals;
using namespace Fixture;

TEST_CASE("A job is accepted once and its tasks run once", "[Jobs]")
{
  JobsState state = Cell();

  SECTION("the same client and key give the same job, and another client another job")
  {
    const auto first = SubmitJob(state, Spec(2, "k"), At(0s));
    const auto again = SubmitJob(state, Spec(2, "k"), At(1s));
    REQUIRE(again->mJob == first->mJob);
    REQUIRE_FALSE(again->mIsNew);
    JobSpec other = Spec(2, "k");
    other.mClient = Common::ClientId("foundry");
    REQUIRE(SubmitJob(state, other, At(1s))->mJob != first->mJob);
  }

  SECTION("nothing starts before the record is durable, and a failed write drops the job")
  {
    const auto submitted = SubmitJob(state, Spec(1, "k"), At(0s));
    REQUIRE(StartTasks(state, At(0s), 10, OnWorker("w1")).empty());
    const auto batch = TakeJobBatch(state, 1 << 19);
    REQUIRE(MarkBatchFailed(state, batch->mId) == std::vector<Common::JobId>{ submitted->mJob });
    REQUIRE_FALSE(ShowJob(state, submitted->mJob));
    REQUIRE(SubmitJob(state, Spec(1, "k"), At(1s))->mIsNew);
  }

  SECTION(
    "a completion is reported again until it is durable, and then the agent is told to forget it")
  {
    const Common::JobId job = Accept(state, Spec(1));
    const auto starts = StartTasks(state, At(0s), 10, OnWorker("w1"));
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].mAttempt == Common::Attempt(1));
    ApplyState(state, starts[0], TaskState::Running);
    REQUIRE(ApplyState(state, starts[0], TaskState::Finished).empty());
    REQUIRE(ApplyState(state, starts[0], TaskState::Finished).empty());
    const auto batch = TakeProgressBatch(state, 100);
    REQUIRE(batch->mSegment.mProgress.size() == 1);
    REQUIRE(ApplyState(state, starts[0], TaskState::Finished).empty());
    MarkBatchWritten(state, batch->mId, At(2s));
    REQUIRE(ApplyState(state, starts[0], TaskState::Finished).at(0).mKind == ActionKind::Forget);
    REQUIRE(ShowJob(state, job)->mStatus == JobStatus::Finished);
    REQUIRE(ChargedResources(state, Common::WorkerId("w1")) == Common::Resources{});
  }
}

TEST_CASE("An evicted task resumes exactly once from its checkpoint", "[Jobs]")
{
  JobsState state = Cell();
  Accept(state, Spec(1));
  const TaskStart first = StartTasks(state, At(0s), 10, OnWorker("w1")).at(0);
  ApplyState(state, first, TaskState::Running);
  std::vector<TaskAction> actions;
  REQUIRE(EvictTask(state, first.mTask, At(1s), actions));
  REQUIRE(actions.at(0).mKind == ActionKind::Evict);
  REQUIRE(StartTasks(state, At(1s), 10, OnWorker("w2")).empty());

  SECTION("repeated and late reports of the eviction start nothing more")
  {
    ApplyState(state, first, TaskState::Evicted, "c1");
    ApplyState(state, first, TaskState::Evicted, "c1");
    const auto next = StartTasks(state, At(1s), 10, OnWorker("w2"));
    REQUIRE(next.size() == 1);
    REQUIRE(next[0].mAttempt == Common::Attempt(2));
    REQUIRE(next[0].mCheckpoint == "c1");
    REQUIRE(next[0].mCheckpointAttempt == Common::Attempt(1));
    ApplyState(state, first, TaskState::Evicted, "c1");
    REQUIRE(ApplyState(state, first, TaskState::Running).at(0).mKind == ActionKind::Stop);
    REQUIRE(StartTasks(state, At(2s), 10, OnWorker("w3")).empty());
  }

  SECTION("a task of a silent worker starts again only after the release of the worker")
  {
    MarkSilent(state, Common::WorkerId("w1"), At(2s));
    REQUIRE(StartTasks(state, At(60s), 10, OnWorker("w2")).empty());
    ReleaseWorker(state, Common::WorkerId("w1"), At(60s));
    REQUIRE(StartTasks(state, At(60s), 10, OnWorker("w2")).size() == 1);
  }
}

TEST_CASE("A new owner rebuilds the state from the store and the reports", "[Jobs]")
{
  JobsState state = Cell();
  std::vector<std::string> store;
  const Common::JobId job = Accept(state, Spec(3), &store);
  const auto starts = StartTasks(state, At(0s), 10, OnWorker("w1"));
  REQUIRE(starts.size() == 3);
  ApplyState(state, starts[0], TaskState::Finished);
  store.push_back(EncodeSegment(TakeProgressBatch(state, 100)->mSegment));

  std::vector<TaskAction> actions;
  auto rebuilt = Rebuild(Cell(2), store, {}, At(10s), actions);
  REQUIRE(rebuilt);

  SECTION("tasks that no agent has reported stay uncertain")
  {
    REQUIRE(StartTasks(*rebuilt, At(10s), 10, OnWorker("w2")).empty());
    REQUIRE(ShowJob(*rebuilt, job)->mUncertain == 2);
    REQUIRE(ShowJob(*rebuilt, job)->mFinished == 1);
  }

  SECTION(
    "a reported task continues, and the others start after the release with a new attempt number")
  {
    ApplyInventory(
      *rebuilt,
      { Common::WorkerId("w1"), 1, true, { Report(starts[1], TaskState::Running) }, {} },
      At(10s));
    ReleaseHeldJobs(*rebuilt, false, At(60s));
    const auto again = StartTasks(*rebuilt, At(60s), 10, OnWorker("w2"));
    REQUIRE(again.size() == 1);
    REQUIRE(again[0].mTask == starts[2].mTask);
    // The silent worker may have used the numbers after the last known one.
    REQUIRE(again[0].mAttempt > Common::Attempt(2));
  }

  SECTION("a damaged value gives an error with its index")
  {
    store[1][7] ^= 1;
    const auto failed = Rebuild(Cell(2), store, {}, At(10s), actions);
    REQUIRE_FALSE(failed);
    REQUIRE(failed.error().mSegment == 1);
  }
}
