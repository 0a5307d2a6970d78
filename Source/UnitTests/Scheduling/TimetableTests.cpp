#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include <catch2/catch.hpp>

#include "Fixture.h"
#include "HeapBytes.h"

using namespace SchedulingTests;

namespace {

/// One occurrence a minute for a year.
constexpr std::uint32_t kYear = 525'600;
/// A sixteenth of the 16 MB that an entry should use at most.
constexpr std::int64_t kMaxBytes = 1 << 20;
constexpr std::uint32_t kCores = 16;
constexpr std::int64_t kMilliCores = 16'000;

class TimetableFixture : public Fixture
{
public:
  TimetableFixture() { addWorker("w1", kMilliCores); }

  /// A timetable of which all occurrences are due.
  JobSpec dueSpec(std::uint32_t aRepeats, std::vector<StepSpec> aSteps) const
  {
    JobSpec spec;
    spec.mJob = JobId("timetable");
    spec.mQueue = Common::RouteId("quote");
    spec.mSteps = std::move(aSteps);
    spec.mRepeats = aRepeats;
    spec.mInterval = Common::UnixMillis{ 60'000 };
    spec.mFirstRun = now().mUnix - spec.mInterval * aRepeats;
    spec.mAccepted = now().mUnix;
    return spec;
  }

  Job& addTimetable(std::uint32_t aRepeats, const Progress* aProgress = nullptr)
  {
    return AddJob(
      mState, dueSpec(aRepeats, { MakeStep().build() }), aProgress, aProgress != nullptr, now());
  }

  /// Places tasks and ends those that were placed, except for the slow one. Returns the starts.
  std::vector<Order> runRound()
  {
    std::vector<Order> starts = place();
    confirm(starts);
    WorkerView worker = view("w1");
    for (const Order& start : starts) {
      ++mStarts[start.mTask];
      if (start.mTask == mSlowTask) {
        mSlowRun = start;
      } else {
        worker.mEnded.push_back(ended(start, ++mLastEnd, EndKind::Done));
      }
    }
    if (mSlowRun) {
      worker.mRunning = { running(*mSlowRun) };
    }
    report(worker);
    for (auto& [id, job] : mState.mJobs) {
      job->mDurableChange = job->mLastChange;
    }
    AcknowledgeRecordedEnds(mState, this->worker("w1"));
    mState.mDirtyJobs.clear();
    mState.mLogEntries.clear();
    advance(milliseconds(500));
    return starts;
  }

  /// Starts of each task so far.
  std::map<TaskName, int> mStarts;
  std::optional<TaskName> mSlowTask;

private:
  std::optional<Order> mSlowRun;
  std::int64_t mLastEnd = 0;
};

} // namespace

TEST_CASE("A timetable with many due occurrences takes no more than a few of them", "[Scheduling]")
{
  // All due occurrences were created and sorted in each round, so that one accepted submission
  // used up the memory of each coordinator in turn (review/6).
  TimetableFixture fixture;
  fixture.addJob("first", { MakeStep().build() });
  fixture.runRound();
  const std::int64_t before = HeapBytes();
  Job& job = fixture.addTimetable(kYear);

  SECTION("when it is accepted")
  {
    const auto starts = fixture.place();
    REQUIRE(HeapBytes() - before < kMaxBytes);

    SECTION("and the oldest start first")
    {
      REQUIRE(starts.size() == kCores);
      for (std::uint32_t i = 0; i < kCores; ++i) {
        REQUIRE(starts[i].mTask.mOccurrence == i);
      }
    }
  }

  SECTION("while they end one after the other")
  {
    constexpr std::uint32_t kRounds = 300;
    for (std::uint32_t i = 0; i < kRounds; ++i) {
      REQUIRE(fixture.runRound().size() == kCores);
    }
    fixture.mStarts.clear();
    REQUIRE(HeapBytes() - before < kMaxBytes);
    REQUIRE(job.mEndedOccurrences.size() == kRounds * kCores);

    SECTION("and the next coordinator continues where they ended")
    {
      const Progress progress = ProgressOf(job);
      REQUIRE(progress.mEndedOccurrences ==
              std::vector<OccurrenceRange>{ { 0, kRounds * kCores - 1 } });
      REQUIRE(progress.mSteps.empty());
      TimetableFixture next;
      next.addTimetable(kYear, &progress);
      REQUIRE(next.place().front().mTask.mOccurrence == kRounds * kCores);
    }
  }

  SECTION("and the work of others starts beside it")
  {
    fixture.runRound();
    fixture.addJob("other", { MakeStep().tasks(2).build() });
    const auto starts = fixture.place();
    REQUIRE(std::count_if(starts.begin(), starts.end(), [](const Order& aStart) {
              return aStart.mTask.mJob == JobId("other");
            }) == 2);
  }

  SECTION("in the records of an earlier version")
  {
    Progress progress;
    progress.mState = JobState::Running;
    for (std::uint32_t i = 0; i < kYear / 2; ++i) {
      progress.mSteps.push_back({ .mOccurrence = i, .mStep = 0, .mDone = true, .mTasks = {} });
    }
    TimetableFixture next;
    const std::int64_t beforeNext = HeapBytes();
    next.addTimetable(kYear, &progress);
    REQUIRE(HeapBytes() - beforeNext < kMaxBytes);
    REQUIRE(next.place().front().mTask.mOccurrence == kYear / 2);
  }

  SECTION("when a step after the first never finds room")
  {
    TimetableFixture stuck;
    const std::int64_t beforeStuck = HeapBytes();
    AddJob(stuck.mState,
           stuck.dueSpec(
             kYear, { MakeStep().build(), MakeStep().cores(2 * kMilliCores).after({ 0 }).build() }),
           nullptr,
           false,
           stuck.now());
    for (int i = 0; i < 50; ++i) {
      stuck.runRound();
    }
    stuck.mStarts.clear();
    REQUIRE(HeapBytes() - beforeStuck < kMaxBytes);
  }
}

TEST_CASE("Each occurrence of a timetable runs once", "[Scheduling]")
{
  TimetableFixture fixture;
  constexpr std::uint32_t kRepeats = 1'000;
  const Job& job = fixture.addTimetable(kRepeats);

  SECTION("also those that do not fit among the first")
  {
    while (!HasEnded(job.mState)) {
      REQUIRE_FALSE(fixture.runRound().empty());
    }
    REQUIRE(job.mState == JobState::Completed);
  }

  SECTION("also if one takes longer than all others")
  {
    fixture.mSlowTask = TaskName{ job.mSpec.mJob, 0, 0, 0 };
    while (job.mEndedOccurrences.size() < kRepeats - 1) {
      REQUIRE_FALSE(fixture.runRound().empty());
    }
    REQUIRE(ProgressOf(job).mEndedOccurrences ==
            std::vector<OccurrenceRange>{ { 1, kRepeats - 1 } });
    REQUIRE(fixture.place().empty());
    REQUIRE_FALSE(HasEnded(job.mState));
  }

  REQUIRE(fixture.mStarts.size() == kRepeats);
  for (const auto& [task, starts] : fixture.mStarts) {
    REQUIRE(starts == 1);
  }
}

TEST_CASE("An ended occurrence that was dropped does not run again", "[Scheduling]")
{
  TimetableFixture fixture;
  Job& job = fixture.addTimetable(kYear);
  const Order ended = fixture.runRound().front();
  fixture.runRound();
  REQUIRE_FALSE(job.mOccurrences.contains(ended.mTask.mOccurrence));

  SECTION("after its end is listed again")
  {
    WorkerView view = fixture.view("w2");
    view.mEnded = { Fixture::ended(ended, 1, EndKind::Failed) };
    fixture.report(view);
  }
  SECTION("after another worker lists a late run of it, which is stopped")
  {
    WorkerView view = fixture.view("w2");
    view.mRunning = { Fixture::running(ended) };
    fixture.report(view);
    const auto orders = fixture.takeOrders();
    REQUIRE(orders.size() == 1);
    REQUIRE(orders[0].mKind == OrderKind::Stop);
    REQUIRE(orders[0].mTask == ended.mTask);

    // The order is not repeated with each report.
    fixture.place();
    fixture.report(view);
    REQUIRE(fixture.takeOrders().empty());
  }

  for (const Order& order : fixture.place()) {
    REQUIRE(order.mTask != ended.mTask);
  }
  REQUIRE(job.mEndedOccurrences.contains(ended.mTask.mOccurrence));
}

TEST_CASE("The largest timetable has no occurrence before it is due", "[Scheduling]")
{
  TimetableFixture fixture;
  constexpr std::uint32_t kMaxRepeats = 1'000'000'000;
  JobSpec spec = fixture.dueSpec(kMaxRepeats, { MakeStep().build() });
  spec.mFirstRun = fixture.now().mUnix;
  spec.mInterval = Common::UnixMillis{ 900'000'000'000 };
  AddJob(fixture.mState, spec, nullptr, false, fixture.now());
  // A worker may list any occurrence. The time at which the last one is due overflows 64 bits.
  REQUIRE(FindTask(fixture.mState, { spec.mJob, kMaxRepeats - 1, 0, 0 }));
  const auto starts = fixture.place();
  REQUIRE(starts.size() == 1);
  REQUIRE(starts[0].mTask.mOccurrence == 0);
}

TEST_CASE("A set of occurrences joins what touches", "[Scheduling]")
{
  OccurrenceSet set;
  set.add(5);
  set.add(7);
  REQUIRE(set.ranges() == std::vector<OccurrenceRange>{ { 5, 5 }, { 7, 7 } });
  REQUIRE(set.nextMissing(5) == 6);
  REQUIRE(set.nextMissing(6) == 6);

  SECTION("in a gap")
  {
    set.add(6);
    REQUIRE(set.ranges() == std::vector<OccurrenceRange>{ { 5, 7 } });
    REQUIRE(set.nextMissing(5) == 8);
  }
  SECTION("by a range that covers others")
  {
    set.add({ 1, 10 });
    REQUIRE(set.ranges() == std::vector<OccurrenceRange>{ { 1, 10 } });
    REQUIRE(set.size() == 10);
  }
  SECTION("and counts no number twice")
  {
    set.add(5);
    set.add({ 7, 8 });
    REQUIRE(set.size() == 3);
  }
  SECTION("and ignores a range that ends before it begins")
  {
    set.add({ 3, 2 });
    REQUIRE(set.size() == 2);
  }
  SECTION("up to the largest number")
  {
    set.add(UINT32_MAX);
    set.add(UINT32_MAX - 1);
    REQUIRE(set.contains(UINT32_MAX));
    REQUIRE(set.size() == 4);
  }
  SECTION("like a set of numbers")
  {
    std::set<std::uint32_t> numbers{ 5, 7 };
    std::uint32_t number = 1;
    for (int i = 0; i < 500; ++i) {
      number = number * 1'664'525 + 1'013'904'223;
      const std::uint32_t next = number >> 24;
      set.add(next);
      numbers.insert(next);
      REQUIRE(set.size() == numbers.size());
    }
    for (std::uint32_t i = 0; i < 300; ++i) {
      REQUIRE(set.contains(i) == numbers.contains(i));
    }
  }
}
