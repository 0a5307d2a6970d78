#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

#include "Fixture.h"

using namespace SchedulingTests;

namespace {

/// RULES.md, LOST: a long-running task with room for it runs at any time from 6 s after its last
/// run on, if the 4 s and the 3 s before are calm. Calm begins contact_ms, at least 4 s, after the
/// end of a disturbance.
constexpr milliseconds kMaxWaitAfterDisturbance{ 4'000 + 4'000 + 3'000 };
constexpr milliseconds kTick{ 100 };
/// A worker fails a run, or a long-running task begins to serve, after this time.
constexpr milliseconds kFailureTime{ 300 };
constexpr milliseconds kStartupTime{ 700 };
constexpr milliseconds kRunTime{ 1'000 };
const std::vector<std::string> kWorkers{ "w1", "w2", "w3", "w4" };

/// Replays starts on workers that fail all their tasks for a time.
class FailingWorkers : public Fixture
{
public:
  FailingWorkers()
  {
    for (const std::string& name : kWorkers) {
      addWorker(name);
    }
  }

  void failAllTasksOf(const std::string& aName) { mModels[aName].mFails = true; }
  void mend(const std::string& aName) { mModels[aName].mFails = false; }

  void run(Duration aTime)
  {
    for (Duration passed{ 0 }; passed < aTime; passed += kTick) {
      advance(kTick);
      for (const std::string& name : kWorkers) {
        reportRuns(name);
      }
      CheckTimeouts(mState, now());
      for (const auto& [id, job] : mState.mJobs) {
        job->mDurableChange = job->mLastChange;
      }
      const std::vector<Order> orders = place();
      confirm(orders);
      for (const Order& order : orders) {
        if (order.mKind == OrderKind::Start) {
          mStarts.push_back({ order, now().mMonotonic });
          mModels[order.mLifetime.mWorker.str()].mRuns.push_back({ order, now().mMonotonic });
        }
      }
    }
  }

  /// Runs for the time and submits two short jobs each second.
  void runWithShortJobs(Duration aTime)
  {
    for (Duration passed{ 0 }; passed < aTime; passed += milliseconds(500)) {
      addJob("short-" + std::to_string(mShortJobs++), { MakeStep().estimate(kRunTime).build() });
      run(milliseconds(500));
    }
  }

  std::size_t tasksAtWork(const Job& aJob) const
  {
    const auto& tasks = aJob.mOccurrences.at(0).mSteps[0].mTasks.own();
    return static_cast<std::size_t>(
      std::count_if(tasks.begin(), tasks.end(), [](const auto& aEntry) {
        const Task& task = aEntry.second;
        return task.mPhase == TaskPhase::Running && task.mPercent == Percent{ 100 };
      }));
  }

  std::size_t failedJobs() const
  {
    return static_cast<std::size_t>(
      std::count_if(mState.mJobs.begin(), mState.mJobs.end(), [](const auto& aEntry) {
        return aEntry.second->mState == JobState::Failed;
      }));
  }

  struct Run
  {
    Order mOrder;
    Timestamp mStartedAt;
  };
  std::vector<Run> mStarts;

private:
  struct WorkerModel
  {
    bool mFails = false;
    std::vector<Run> mRuns;
    std::int64_t mLastEnd = 0;
  };

  void reportRuns(const std::string& aName)
  {
    WorkerModel& model = mModels[aName];
    WorkerView list = view(aName);
    std::erase_if(model.mRuns, [&](const Run& aRun) {
      const Duration age = now().mMonotonic - aRun.mStartedAt;
      const bool lasts = StepSpecOf(*FindTask(mState, aRun.mOrder.mTask)).mLongRunning;
      const bool fails = model.mFails && age >= kFailureTime;
      const bool isDone = !lasts && age >= kRunTime;
      if (fails || isDone) {
        list.mEnded.push_back(
          ended(aRun.mOrder, ++model.mLastEnd, fails ? EndKind::Failed : EndKind::Done));
        return true;
      }
      list.mRunning.push_back(
        running(aRun.mOrder, lasts && age >= kStartupTime ? 100 : 50 * age / kRunTime));
      return false;
    });
    report(list);
  }

  std::map<std::string, WorkerModel> mModels;
  std::size_t mShortJobs = 0;
};

} // namespace

TEST_CASE("Long-running tasks run in time after all workers failed their tasks", "[Scheduling]")
{
  constexpr std::uint32_t kTasks = 14;
  for (int seconds = 1; seconds <= 40; ++seconds) {
    FailingWorkers workers;
    Job& service =
      workers.addJob("service", { MakeStep().cores(3'200).tasks(kTasks).longRunning().build() });
    workers.runWithShortJobs(std::chrono::seconds(3));
    REQUIRE(workers.tasksAtWork(service) == kTasks);
    for (const std::string& name : kWorkers) {
      workers.failAllTasksOf(name);
    }
    workers.runWithShortJobs(std::chrono::seconds(seconds));
    for (const std::string& name : kWorkers) {
      workers.mend(name);
    }
    workers.runWithShortJobs(kMaxWaitAfterDisturbance);
    INFO("the workers failed for " << seconds << " s");
    CHECK(workers.tasksAtWork(service) == kTasks);
  }
}

TEST_CASE("Long-running tasks on quarantined workers cost no short jobs", "[Scheduling]")
{
  const auto failedJobs = [](int aSeconds, Duration aProbeInterval) {
    FailingWorkers workers;
    workers.mState.mPolicy.mProbeInterval = aProbeInterval;
    workers.addJob("service", { MakeStep().cores(3'200).tasks(14).longRunning().build() });
    workers.runWithShortJobs(std::chrono::seconds(3));
    for (const std::string& name : kWorkers) {
      workers.failAllTasksOf(name);
    }
    workers.runWithShortJobs(std::chrono::seconds(aSeconds));
    return workers.failedJobs();
  };
  const Duration never = std::chrono::hours(1);
  for (int seconds = 1; seconds <= 40; ++seconds) {
    INFO("the workers failed for " << seconds << " s");
    CHECK(failedJobs(seconds, Policy{}.mProbeInterval) <= failedJobs(seconds, never));
  }
}

TEST_CASE("A long-running task starts on a quarantined worker only for want of another",
          "[Scheduling]")
{
  FailingWorkers workers;
  for (const std::string& name : kWorkers) {
    if (name != "w4") {
      for (const char* job : { "a", "b", "c" }) {
        RecordRunEnd(workers.mState, workers.worker(name), JobId(job), true, workers.now());
      }
      workers.failAllTasksOf(name);
    }
  }
  Job& service =
    workers.addJob("service", { MakeStep().cores(3'200).tasks(5).longRunning().build() });
  workers.run(std::chrono::seconds(2));
  REQUIRE(workers.tasksAtWork(service) == 5);
  REQUIRE(workers.mStarts.size() == 5);
  for (const auto& start : workers.mStarts) {
    REQUIRE(start.mOrder.mLifetime.mWorker == WorkerId("w4"));
  }

  SECTION("one that fails is tried again at a bounded rate, and short tasks are kept away")
  {
    workers.mStarts.clear();
    workers.addJob("more", { MakeStep().cores(3'200).tasks(2).longRunning().build() });
    Job& unlucky = workers.addJob("short", { MakeStep().build() });
    const Timestamp quarantineEnd = workers.worker("w1").mHealth.mQuarantinedUntil;
    workers.run(quarantineEnd - workers.now().mMonotonic - kTick);
    REQUIRE_FALSE(workers.mStarts.empty());
    std::map<WorkerId, Timestamp> last;
    for (const auto& start : workers.mStarts) {
      REQUIRE(start.mOrder.mTask.mJob == JobId("more"));
      const auto [entry, isFirst] = last.emplace(start.mOrder.mLifetime.mWorker, start.mStartedAt);
      REQUIRE(
        (isFirst || start.mStartedAt - entry->second >= workers.mState.mPolicy.mProbeInterval));
      entry->second = start.mStartedAt;
    }
    REQUIRE(unlucky.mState == JobState::Queued);
  }

  SECTION("the wait is logged, but not in each round")
  {
    workers.mState.mLogEntries.clear();
    workers.addJob("more", { MakeStep().cores(3'200).tasks(4).longRunning().build() });
    workers.run(milliseconds(800));
    REQUIRE(std::count_if(workers.mState.mLogEntries.begin(),
                          workers.mState.mLogEntries.end(),
                          [](const LogEntry& aEntry) {
                            return aEntry.mText.find("only quarantined workers") !=
                                   std::string::npos;
                          }) == 1);
  }
}

TEST_CASE("A quarantine ends when a long-running task proves the worker sound", "[Scheduling]")
{
  FailingWorkers workers;
  const auto quarantineAll = [&workers](Duration aTime) {
    for (const std::string& name : kWorkers) {
      WorkerHealth& health = workers.worker(name).mHealth;
      health.mQuarantineTime = aTime;
      health.mQuarantinedUntil = workers.now().mMonotonic + aTime;
      health.mLastFailure = workers.now().mMonotonic;
    }
  };
  quarantineAll(workers.mState.mPolicy.mMaxQuarantine);
  Job& service = workers.addJob("service", { MakeStep().cores(3'200).longRunning().build() });
  Job& waiting = workers.addJob("short", { MakeStep().build() });

  SECTION("by being at work for long enough; short tasks run again")
  {
    workers.run(workers.mState.mPolicy.mProofTime + kStartupTime + kRunTime);
    REQUIRE(workers.tasksAtWork(service) == 1);
    REQUIRE(waiting.mState == JobState::Completed);
  }

  SECTION("but not if another task fails on the worker meanwhile")
  {
    workers.run(kStartupTime * 2);
    REQUIRE(workers.tasksAtWork(service) == 1);
    for (const std::string& name : kWorkers) {
      RecordRunEnd(workers.mState, workers.worker(name), JobId("a"), true, workers.now());
    }
    workers.run(workers.mState.mPolicy.mProofTime * 2);
    REQUIRE(waiting.mState == JobState::Queued);
  }
}
