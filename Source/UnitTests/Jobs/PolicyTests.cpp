#include "UnitTests/Jobs/Fixture.h"

using namespace std::chrono_literals;
using namespace Fixture;

namespace {

const Common::Resources kQuota{ Common::MilliCores(4000), Common::Bytes(1 << 30), {} };

JobSpec
TeamSpec(const std::string& aTeam,
         std::uint32_t aTasks,
         Tables::Urgency aUrgency = Tables::Urgency::Patient)
{
  JobSpec spec = Spec(aTasks);
  spec.mTeam = Common::TeamId(aTeam);
  spec.mUrgency = aUrgency;
  return spec;
}

JobsState
MakeTwoTeamCell()
{
  JobsState state = MakeJobsState(Common::CellId("dc-1"), Common::Epoch(1));
  SetTeams(state,
           { { Common::TeamId("a"), 1, kQuota, true }, { Common::TeamId("b"), 1, kQuota, false } });
  SetWorkerShapes(
    state, { { { "render" }, { Common::MilliCores(4000), Common::Bytes(1 << 30), {} }, 2 } });
  return state;
}

TaskReport
EndReport(const TaskStart& aStart, TaskState aTaskState)
{
  TaskReport report = Report(aStart, aTaskState);
  report.mElapsed = 10s;
  report.mCoreMicros = 2'000'000;
  report.mPeakMemory = Common::Bytes(1 << 18);
  return report;
}

} // namespace

TEST_CASE("Quotas and the start order decide which tasks start", "[Jobs]")
{
  JobsState state = MakeTwoTeamCell();

  SECTION("idle quota is borrowed, and evictions return it to its team")
  {
    Accept(state, TeamSpec("a", 20));
    const auto borrowed = StartTasks(state, At(1s), 100, OnWorker("w1"));
    REQUIRE(borrowed.size() == 8);
    for (const TaskStart& start : borrowed) {
      ApplyState(state, start, TaskState::Running);
    }
    Accept(state, TeamSpec("b", 2));
    const Placer full = [](const PlacementRequest&) { return std::optional<Common::WorkerId>(); };
    REQUIRE(StartTasks(state, At(2s), 100, full).empty());
    const auto evicted = ReclaimQuota(state, At(2s), 10);
    REQUIRE(evicted.size() == 1);
    REQUIRE(ReclaimQuota(state, At(2s), 10).empty());
  }

  SECTION("a team that may not borrow stays within its quota")
  {
    Accept(state, TeamSpec("b", 20));
    REQUIRE(StartTasks(state, At(1s), 100, OnWorker("w1")).size() == 4);
  }

  SECTION("urgent jobs start first, but within a day age outweighs every bonus")
  {
    const Common::UnixMillis now(1'700'000'000s);
    const auto order = [&](Tables::Urgency aUrgency, Common::UnixMillis aAt) {
      JobSpec spec = TeamSpec("a", 1, aUrgency);
      spec.mPrice = Common::MicroPrice(aUrgency == Tables::Urgency::Patient ? 0 : 1'000'000'000);
      const Common::JobId job = SubmitJob(state, spec, { Common::Timestamp(1h), aAt })->mJob;
      return state.mJobs.at(ParseJobId(state.mCell, job.str())->value()).mOrderKey;
    };
    REQUIRE(order(Tables::Urgency::Interactive, now) < order(Tables::Urgency::Patient, now));
    REQUIRE(order(Tables::Urgency::Patient, now - 24h) < order(Tables::Urgency::Interactive, now));
  }

  SECTION("a job that finds no worker does not block another, and is placed later")
  {
    JobSpec big = TeamSpec("a", 1, Tables::Urgency::Interactive);
    big.mPerTask.mCores = Common::MilliCores(3000);
    Accept(state, big);
    Accept(state, TeamSpec("a", 1));
    const Placer small = [](const PlacementRequest& aRequest) {
      return aRequest.mNeed.mCores.value() > 2000 ? std::nullopt
                                                  : std::optional(Common::WorkerId("w1"));
    };
    REQUIRE(StartTasks(state, At(1s), 10, small).size() == 1);
    REQUIRE(StartTasks(state, At(5s), 10, OnWorker("w1")).size() == 1);
  }
}

TEST_CASE("Jobs that can never run are unschedulable and say why", "[Jobs]")
{
  JobsState state = MakeTwoTeamCell();
  JobSpec spec = TeamSpec("a", 1);

  SECTION("too large for any worker, until a larger worker joins")
  {
    spec.mPerTask.mCores = Common::MilliCores(5000);
    const Common::JobId job = Accept(state, spec);
    REQUIRE(ShowJob(state, job)->mStatus == JobStatus::Unschedulable);
    REQUIRE_THAT(ShowJob(state, job)->mDetail, Catch::Contains("largest worker offers 4000"));
    REQUIRE(StartTasks(state, At(1s), 10, OnWorker("w1")).empty());
    SetWorkerShapes(state, { { {}, { Common::MilliCores(8000), Common::Bytes(1 << 30), {} }, 1 } });
    REQUIRE(StartTasks(state, At(1s), 10, OnWorker("w1")).size() == 1);
  }

  SECTION("a label that no worker has")
  {
    spec.mLabels = { "foundry" };
    REQUIRE_THAT(ShowJob(state, Accept(state, spec))->mDetail,
                 Catch::Contains("label \"foundry\""));
  }

  SECTION("more than the quota of a team that may not borrow")
  {
    spec = TeamSpec("b", 1);
    spec.mPerTask.mMemory = Common::Bytes(std::int64_t{ 1 } << 31);
    REQUIRE_THAT(ShowJob(state, Accept(state, spec))->mDetail, Catch::Contains("whole quota"));
  }
}

TEST_CASE("Failures are attributed to the worker or to the job", "[Jobs]")
{
  JobsState state = MakeTwoTeamCell();
  const auto run = [&](const Common::JobId&, const std::string& aWorker, TaskState aTaskState) {
    std::vector<TaskAction> actions;
    for (const TaskStart& start : StartTasks(state, At(1s), 1, OnWorker(aWorker))) {
      ApplyReport(state, start.mWorker, EndReport(start, TaskState::Running), At(1s), actions);
      ApplyReport(state, start.mWorker, EndReport(start, aTaskState), At(1s), actions);
    }
  };

  SECTION(
    "a worker on which different jobs fail is quarantined, probed, and good again after a success")
  {
    for (int i = 0; i < 3; ++i) {
      Accept(state,
             TeamSpec("a", 1, i == 2 ? Tables::Urgency::Interactive : Tables::Urgency::Patient));
    }
    std::vector<TaskAction> actions;
    const auto starts = StartTasks(state, At(1s), 3, OnWorker("bad"));
    REQUIRE(starts.size() == 3);
    for (const TaskStart& start : starts) {
      ApplyReport(state, start.mWorker, EndReport(start, TaskState::Failed), At(1s), actions);
    }
    REQUIRE(TakeHealthChanges(state, At(2s)).at(0).mHealth == WorkerHealth::Quarantined);
    REQUIRE(TakeHealthChanges(state, At(30s)).empty());
    REQUIRE(TakeHealthChanges(state, At(90s)).at(0).mHealth == WorkerHealth::Probing);
    run({}, "bad", TaskState::Finished);
    REQUIRE(TakeHealthChanges(state, At(91s)).at(0).mHealth == WorkerHealth::Good);
  }

  SECTION("a job that fails on three workers on which other jobs finish is failed with the reason")
  {
    const Common::JobId good = Accept(state, TeamSpec("a", 3));
    for (const char* worker : { "w1", "w2", "w3" }) {
      run(good, worker, TaskState::Finished);
    }
    const Common::JobId bad = Accept(state, TeamSpec("a", 9));
    for (const char* worker : { "w1", "w2", "w3" }) {
      run(bad, worker, TaskState::Failed);
    }
    REQUIRE(ShowJob(state, bad)->mStatus == JobStatus::Failed);
    REQUIRE_THAT(ShowJob(state, bad)->mDetail, Catch::Contains("3 workers"));
    REQUIRE(TakeHealthChanges(state, At(2s)).empty());
  }
}

TEST_CASE("Declared sizes are corrected by measured use", "[Jobs]")
{
  SizeModel model;
  const Common::RouteId route("render");
  const Common::ClientId client("c");
  const TaskSize declared{ { Common::MilliCores(4000), Common::Bytes(1 << 30), {} }, 60s };
  const auto use = [&](std::int64_t aMilliCores, std::int64_t aMemory, int aTimes) {
    for (int i = 0; i < aTimes; ++i) {
      RecordMeasuredUse(
        model, route, client, declared, { aMilliCores * 30'000, Common::Bytes(aMemory), 30s });
    }
  };

  SECTION("low use reduces the size only after enough samples")
  {
    use(1000, 1 << 28, 7);
    REQUIRE(CorrectSize(model, route, client, declared).mAmounts.mCores ==
            declared.mAmounts.mCores);
    use(1000, 1 << 28, 60);
    const TaskSize size = CorrectSize(model, route, client, declared);
    REQUIRE(size.mAmounts.mCores < Common::MilliCores(1600));
    REQUIRE(size.mAmounts.mCores >= Common::MilliCores(1000));
    REQUIRE(size.mAmounts.mMemory >= Common::Bytes(1 << 28));
    REQUIRE(size.mRunTime < 45s);
  }

  SECTION("use above the declaration increases the size at once")
  {
    use(4000, std::int64_t{ 1 } << 31, 1);
    REQUIRE(CorrectSize(model, route, client, declared).mAmounts.mMemory >=
            Common::Bytes(std::int64_t{ 1 } << 31));
  }
}
