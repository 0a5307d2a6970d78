#include "UnitTests/Jobs/Fixture.h"

using namespace std::chrono_literals;
using namespace Fixture;

namespace {

const Common::WorkerId kWorker("w1");

Inventory
FullInventory(std::uint64_t aSequence, std::int64_t aIncarnation, std::vector<TaskReport> aReports)
{
  return { kWorker, aSequence, true, std::move(aReports), Common::Incarnation(aIncarnation) };
}

} // namespace

TEST_CASE("Faults found by random schedules do not come back", "[Jobs]")
{
  JobsState state = Cell();
  std::vector<std::string> store;
  const Common::JobId job = Accept(state, Spec(1, "k"), &store);
  const TaskStart start = StartTasks(state, At(0s), 10, OnWorker("w1")).at(0);

  SECTION("a checkpoint that is reported after the release of the worker is used by the next start")
  {
    ReleaseWorker(state, kWorker, At(60s));
    ApplyState(state, start, TaskState::Evicted, "late");
    REQUIRE(StartTasks(state, At(61s), 10, OnWorker("w2")).at(0).mCheckpoint == "late");
  }

  SECTION("an older reply that arrives late does not end a running task")
  {
    ApplyInventory(state, FullInventory(2, 1, { Report(start, TaskState::Running) }), At(1s));
    ApplyInventory(state, FullInventory(1, 1, {}), At(2s));
    REQUIRE(StartTasks(state, At(2s), 10, OnWorker("w2")).empty());
  }

  SECTION("a reply of an earlier incarnation is dropped even if its sequence number is higher")
  {
    ApplyInventory(state, FullInventory(1, 1, { Report(start, TaskState::Running) }), At(1s));
    ApplyInventory(state, FullInventory(1, 2, {}), At(2s));
    REQUIRE(IsStaleInventory(state, FullInventory(9, 1, { Report(start, TaskState::Running) })));
    REQUIRE(ShowJob(state, job)->mWaiting == 1);
  }

  SECTION("no start is sent to a silent worker, because it could arrive after the release")
  {
    REQUIRE(PendingCommands(state, kWorker).mStarts.size() == 1);
    MarkSilent(state, kWorker, At(1s));
    REQUIRE(PendingCommands(state, kWorker).mStarts.empty());
    ApplyInventory(state, FullInventory(1, 1, {}), At(2s));
    REQUIRE(PendingCommands(state, kWorker).mStarts.size() == 1);
  }

  SECTION("the resources of a start that is stopped before it was confirmed stay reserved")
  {
    std::vector<TaskAction> actions;
    CancelJob(state, job, At(1s), actions);
    REQUIRE(PendingCommands(state, kWorker).mStarts.empty());
    REQUIRE(UnconfirmedStarts(state, kWorker).size() == 1);
  }

  SECTION(
    "after a takeover the end of an attempt on one worker starts nothing while others are silent")
  {
    std::vector<TaskAction> actions;
    auto rebuilt = Rebuild(Cell(2), store, {}, At(10s), actions);
    ApplyInventory(*rebuilt, FullInventory(1, 1, { Report(start, TaskState::Refused) }), At(11s));
    REQUIRE(StartTasks(*rebuilt, At(11s), 10, OnWorker("w2")).empty());
    ReleaseHeldJobs(*rebuilt, true, At(12s));
    REQUIRE(StartTasks(*rebuilt, At(12s), 10, OnWorker("w2")).at(0).mAttempt == Common::Attempt(2));
  }

  SECTION("a snapshot after a takeover keeps the attempt and the checkpoint of an uncertain task")
  {
    ApplyState(state, start, TaskState::Running, "c1");
    store.push_back(EncodeSegment(TakeProgressBatch(state, 10)->mSegment));
    std::vector<TaskAction> actions;
    const auto second = Rebuild(Cell(2), store, {}, At(10s), actions);
    std::vector<std::string> values;
    for (const Segment& segment : MakeSnapshot(*second, 1000)) {
      values.push_back(EncodeSegment(segment));
    }
    auto third = Rebuild(Cell(3), values, {}, At(20s), actions);
    ReleaseHeldJobs(*third, true, At(21s));
    const TaskStart again = StartTasks(*third, At(21s), 10, OnWorker("w2")).at(0);
    REQUIRE(again.mAttempt == Common::Attempt(2));
    REQUIRE(again.mCheckpoint == "c1");
  }

  SECTION("of two checkpoints of one attempt in a segment the later one is used")
  {
    ApplyState(state, start, TaskState::Running, "c1");
    ApplyState(state, start, TaskState::Evicted, "c2");
    store.push_back(EncodeSegment(TakeProgressBatch(state, 10)->mSegment));
    std::vector<TaskAction> actions;
    auto rebuilt = Rebuild(Cell(2), store, {}, At(10s), actions);
    ReleaseHeldJobs(*rebuilt, true, At(11s));
    REQUIRE(StartTasks(*rebuilt, At(11s), 10, OnWorker("w2")).at(0).mCheckpoint == "c2");
  }

  SECTION("a job that reaches the store after a takeover does not duplicate the job with its key")
  {
    std::vector<std::string> later = store;
    JobsState second = Cell(2);
    const Common::JobId accepted = Accept(second, Spec(1, "k"), &later);
    std::vector<TaskAction> actions;
    const auto third = Rebuild(Cell(3), later, {}, At(20s), actions);
    REQUIRE(ShowJob(*third, accepted));
    REQUIRE_FALSE(ShowJob(*third, job));
  }

  SECTION("two takeovers with silent workers do not use an attempt number twice")
  {
    std::vector<TaskAction> actions;
    auto second = Rebuild(Cell(2), store, {}, At(10s), actions);
    ReleaseHeldJobs(*second, false, At(60s));
    const auto attempt = StartTasks(*second, At(60s), 10, OnWorker("w2")).at(0).mAttempt;
    auto third = Rebuild(Cell(3), store, {}, At(70s), actions);
    ReleaseHeldJobs(*third, false, At(120s));
    REQUIRE(StartTasks(*third, At(120s), 10, OnWorker("w3")).at(0).mAttempt > attempt);
  }
}

TEST_CASE("A refusal by a restarted agent does not end an attempt of its predecessor", "[Jobs]")
{
  // Start commands are repeated until a report confirms them. The agent's new process refuses them
  // until it has read its worker's list, although the process before it may have started the task.
  JobsState state = Cell();
  Accept(state, Spec(1));
  ApplyInventory(state, FullInventory(1, 1, {}), At(0s));
  const TaskStart start = StartTasks(state, At(0s), 10, OnWorker("w1")).at(0);
  ApplyInventory(
    state,
    { kWorker, 1, false, { Report(start, TaskState::Refused) }, Common::Incarnation(2) },
    At(1s));
  REQUIRE(StartTasks(state, At(1s), 10, OnWorker("w2")).empty());

  ApplyInventory(state, FullInventory(2, 2, { Report(start, TaskState::Running) }), At(2s));
  REQUIRE(StartTasks(state, At(2s), 10, OnWorker("w2")).empty());
}
