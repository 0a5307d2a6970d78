#pragma once

#include <catch2/catch.hpp>

#include "Core/Jobs/Jobs.h"

/// A cell with one team and four workers, and short forms of the calls that tests of single paths
/// need.
namespace Fixture {

using namespace std::chrono_literals;
using namespace Jobs;

inline CurrentTime
At(Common::Duration aTime)
{
  return { Common::Timestamp(1h + aTime),
           1'000'000s + std::chrono::duration_cast<Common::UnixMillis>(aTime) };
}

inline JobSpec
Spec(std::uint32_t aTasks, const std::string& aKey = "")
{
  JobSpec spec;
  spec.mClient = Common::ClientId("atelier");
  spec.mTeam = Common::TeamId("renders");
  spec.mRoute = Common::RouteId("pattern-render");
  spec.mKey = Common::IdempotencyKey(aKey);
  spec.mTasks = aTasks;
  spec.mPerTask = { Common::MilliCores(1000), Common::Bytes(1 << 20), {} };
  return spec;
}

inline JobsState
Cell(std::int64_t aEpoch = 1)
{
  JobsState state = MakeJobsState(Common::CellId("dc-1"), Common::Epoch(aEpoch));
  SetTeams(state,
           { { Common::TeamId("renders"),
               1,
               { Common::MilliCores(8000), Common::Bytes(1 << 30), {} },
               true } });
  SetWorkerShapes(state, { { {}, { Common::MilliCores(4000), Common::Bytes(1 << 30), {} }, 4 } });
  return state;
}

inline Common::JobId
Accept(JobsState& aState, const JobSpec& aSpec, std::vector<std::string>* aStore = nullptr)
{
  const auto submitted = SubmitJob(aState, aSpec, At(0s));
  REQUIRE(submitted);
  const auto batch = TakeJobBatch(aState, 1 << 19);
  REQUIRE(batch);
  if (aStore != nullptr) {
    aStore->push_back(EncodeSegment(batch->mSegment));
  }
  REQUIRE(MarkBatchWritten(aState, batch->mId, At(0s)).size() == 1);
  return submitted->mJob;
}

inline Placer
OnWorker(const std::string& aName)
{
  return [aName](const PlacementRequest&) { return Common::WorkerId(aName); };
}

inline TaskReport
Report(const TaskStart& aStart, TaskState aState, const std::string& aCheckpoint = "")
{
  TaskReport report;
  report.mTask = aStart.mTask;
  report.mAttempt = aStart.mAttempt;
  report.mState = aState;
  report.mCheckpoint = aCheckpoint;
  report.mAmounts = aStart.mNeed;
  return report;
}

inline std::vector<TaskAction>
ApplyState(JobsState& aState,
           const TaskStart& aStart,
           TaskState aTaskState,
           const std::string& aCheckpoint = "")
{
  std::vector<TaskAction> actions;
  ApplyReport(aState, aStart.mWorker, Report(aStart, aTaskState, aCheckpoint), At(1s), actions);
  return actions;
}

} // namespace Fixture
