#include <catch2/catch.hpp>

#include "Fixture.h"
#include "HeapBytes.h"

using namespace SchedulingTests;

namespace {

/// Issue 29, item 3.
constexpr std::int64_t kMaxBytesPerSubmission = 4'000;
constexpr std::uint32_t kTasks = 10'000;
constexpr std::int64_t kJobs = 20;

/// A full worker, so that nothing else finds a place, and the queues in use.
void
Occupy(Fixture& aFixture)
{
  aFixture.addWorker("w1");
  aFixture.addJob("first", { MakeStep().tasks(16).build() });
  aFixture.confirm(aFixture.place());
  aFixture.mState.mLogEntries.clear();
}

/// Marks all progress records as written and their ends as acknowledged.
void
Record(Fixture& aFixture)
{
  for (auto& [id, job] : aFixture.mState.mJobs) {
    job->mDurableChange = job->mLastChange;
  }
  AcknowledgeRecordedEnds(aFixture.mState, aFixture.worker("w1"));
  aFixture.mState.mDirtyJobs.clear();
  aFixture.mState.mLogEntries.clear();
}

JobSpec
WideJob(const std::string& aId)
{
  JobSpec spec;
  spec.mJob = JobId(aId);
  spec.mQueue = Common::RouteId("render");
  spec.mSteps = { MakeStep().tasks(kTasks).build() };
  return spec;
}

} // namespace

TEST_CASE("Memory does not grow with the width of what waits", "[Scheduling]")
{
  Fixture fixture;
  Occupy(fixture);
  const std::int64_t before = HeapBytes();
  const auto bytesPerJob = [&] {
    fixture.mState.mLogEntries.clear();
    return (HeapBytes() - before) / kJobs;
  };

  SECTION("of new submissions")
  {
    for (int i = 0; i < kJobs; ++i) {
      fixture.addJob("wide" + std::to_string(i), { MakeStep().tasks(kTasks).build() }, "render");
    }
    REQUIRE(bytesPerJob() < kMaxBytesPerSubmission);

    SECTION("also after a look for places")
    {
      REQUIRE(fixture.place().empty());
      REQUIRE(bytesPerJob() < kMaxBytesPerSubmission);
    }

    SECTION("also after a search for a task by name")
    {
      REQUIRE(FindTask(fixture.mState, { JobId("wide0"), 0, 0, kTasks - 1 }));
      REQUIRE(bytesPerJob() < kMaxBytesPerSubmission);
    }
  }

  SECTION("of gangs of which a part would find a place")
  {
    fixture.addWorker("w2", 15'000);
    for (int i = 0; i < kJobs; ++i) {
      fixture.addJob(
        "gang" + std::to_string(i), { MakeStep().tasks(kTasks).gang().build() }, "render");
    }
    REQUIRE(fixture.place().empty());
    REQUIRE(bytesPerJob() < kMaxBytesPerSubmission);
  }

  SECTION("of submissions that an earlier coordinator accepted")
  {
    for (int i = 0; i < kJobs; ++i) {
      AddJob(fixture.mState, WideJob("wide" + std::to_string(i)), nullptr, true, fixture.now());
    }
    REQUIRE(bytesPerJob() < kMaxBytesPerSubmission);
  }
}

TEST_CASE("Memory does not grow with the number of tasks that are done", "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addJob("first", { MakeStep().tasks(1).build() }, "render");
  auto runAll = [&, number = std::int64_t{ 0 }](std::size_t aTasks) mutable {
    for (std::size_t done = 0; done < aTasks;) {
      const std::vector<Order> starts = fixture.place();
      REQUIRE_FALSE(starts.empty());
      fixture.confirm(starts);
      WorkerView view = fixture.view("w1");
      for (const Order& start : starts) {
        view.mEnded.push_back(Fixture::ended(start, ++number, EndKind::Done));
      }
      fixture.report(view);
      Record(fixture);
      fixture.advance(milliseconds(500));
      done += starts.size();
    }
  };
  runAll(1);

  SECTION("in this term")
  {
    const std::int64_t before = HeapBytes();
    const Job& job = fixture.addJob("wide", { MakeStep().tasks(kTasks).build() }, "render");
    runAll(kTasks - 16);
    REQUIRE(job.mOccurrences.at(0).mSteps[0].mDoneTasks == kTasks - 16);
    REQUIRE(HeapBytes() - before < kMaxBytesPerSubmission);

    runAll(16);
    REQUIRE(job.mState == JobState::Completed);
    REQUIRE(HeapBytes() - before < kMaxBytesPerSubmission);
  }

  SECTION("in earlier terms")
  {
    Progress progress;
    progress.mState = JobState::Running;
    progress.mSteps = { { .mOccurrence = 0, .mStep = 0, .mDone = false, .mTasks = {} } };
    for (std::uint32_t i = 0; i < kTasks; i += 2) {
      TaskProgress done;
      done.mIndex = i;
      done.mDone = true;
      done.mFailedRuns = { RunNumber{ 3 } };
      progress.mSteps[0].mTasks.push_back(done);
    }
    const std::int64_t before = HeapBytes();
    const Job& job = AddJob(fixture.mState, WideJob("wide"), &progress, true, fixture.now());
    REQUIRE(HeapBytes() - before < kMaxBytesPerSubmission);

    const Progress written = ProgressOf(job);
    REQUIRE(written.mSteps.size() == 1);
    REQUIRE(written.mSteps[0].mTasks.size() == kTasks / 2);

    const std::vector<Order> starts = fixture.place();
    REQUIRE(starts.size() == 16);
    REQUIRE(starts[0].mTask.mIndex == 1);
    REQUIRE(starts[15].mTask.mIndex == 31);
  }
}
