#include <ctime>
#include <malloc.h>
#include <utility>

#include "Bench/Measure.h"
#include "Scheduling/Schedule.h"

using namespace std::chrono_literals;

namespace Bench {

namespace {

using namespace Scheduling;

constexpr std::uint32_t kJobs = 10'000;
constexpr std::uint32_t kWideTasks = 10'000;
constexpr std::uint32_t kNarrowTasks = 8;
/// Issue 29, item 3.
constexpr double kMaxBytesPerJob = 4'000;
/// Time in which urgent work starts.
constexpr double kUrgentSeconds = 3.3;

const CurrentTime kNow{ Common::Timestamp(1h), Common::UnixMillis{ 1'800'000'000'000 } };

double
ThreadSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

double
HeapBytes()
{
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

JobSpec
Spec(std::uint32_t aNumber, std::uint32_t aTasks)
{
  JobSpec spec;
  spec.mJob = Common::JobId("1800000000000b" + std::to_string(100'000 + aNumber));
  spec.mQueue = Common::RouteId("r-reserves");
  spec.mSteps.resize(1);
  spec.mSteps[0].mTaskCount = aTasks;
  spec.mSteps[0].mNeed.mCores = Common::MilliCores{ 1800 };
  spec.mSteps[0].mEstimatedRunTime = 2s;
  spec.mSteps[0].mImage = "reserves-image";
  spec.mAccepted = kNow.mUnix;
  return spec;
}

void
AddQueue(SchedulerState& aState)
{
  const Common::RouteId name("r-reserves");
  aState.mQueues[name] = {
    .mName = name, .mPool = Common::PoolId("pool"), .mPriority = 2, .mMaxAttempts = 2
  };
}

struct AddedJobs
{
  double mBytesPerJob = 0;
  double mSeconds = 0;
  double mPassSeconds = 0;
};

/// Adds kJobs jobs that wait. aDone of the tasks of each are done in its progress record.
AddedJobs
AddJobs(std::uint32_t aTasks, bool aRecovered, std::uint32_t aDone)
{
  Progress progress;
  progress.mState = JobState::Running;
  if (aDone > 0) {
    progress.mSteps.resize(1);
    for (std::uint32_t i = 0; i < aDone; ++i) {
      TaskProgress& task = progress.mSteps[0].mTasks.emplace_back();
      task.mIndex = i;
      task.mDone = true;
    }
  }
  SchedulerState state;
  AddQueue(state);
  AddedJobs added;
  const double bytes = HeapBytes();
  const double start = ThreadSeconds();
  for (std::uint32_t i = 0; i < kJobs; ++i) {
    AddJob(state, Spec(i, aTasks), aDone > 0 ? &progress : nullptr, aRecovered, kNow);
  }
  added.mSeconds = ThreadSeconds() - start;
  added.mBytesPerJob = (HeapBytes() - bytes) / kJobs;
  const double pass = ThreadSeconds();
  PlaceTasks(state, kNow);
  added.mPassSeconds = ThreadSeconds() - pass;
  return added;
}

/// Microseconds for each start and end, on 100 workers that work through jobs of this width.
double
StartMicros(std::uint32_t aTasks)
{
  constexpr int kWorkers = 100;
  SchedulerState state;
  AddQueue(state);
  std::vector<WorkerView> views;
  for (int i = 0; i < kWorkers; ++i) {
    WorkerView view;
    view.mLifetime = { Common::WorkerId("w" + std::to_string(i)), LifetimeStart{ 1 } };
    view.mPool = Common::PoolId("pool");
    view.mCapacity.mCores = Common::MilliCores{ 16'000 };
    view.mHasTaskList = true;
    views.push_back(view);
  }
  CurrentTime now = kNow;
  std::uint64_t list = 0;
  const auto report = [&] {
    ++list;
    for (WorkerView& view : views) {
      view.mTaskListNumber = list;
    }
    ApplyReport(state, Common::InstanceId("agent"), views, {}, now.mMonotonic + 5s, now);
  };
  report();
  for (Worker& worker : state.mWorkers) {
    worker.mRecorded = true;
  }
  for (std::uint32_t i = 0; i * aTasks < kWideTasks; ++i) {
    AddJob(state, Spec(i, aTasks), nullptr, false, now);
  }
  std::int64_t end = 0;
  std::size_t starts = 0;
  double seconds = 0;
  while (starts < kWideTasks - 1000) {
    now.mMonotonic += 500ms;
    const double start = ThreadSeconds();
    PlaceTasks(state, now);
    seconds += ThreadSeconds() - start;
    for (WorkerView& view : views) {
      view.mEnded.clear();
    }
    for (const Order& order : std::exchange(state.mOrders, {})) {
      ApplyOrderResult(state, order.mNumber, OrderResult::Done, now);
      views[state.mWorkerIndex.at(order.mLifetime)].mEnded.push_back(
        { EndNumber{ ++end }, order.mTask, order.mRun, EndKind::Done, {} });
      ++starts;
    }
    state.mLogEntries.clear();
    report();
    for (auto& [id, job] : state.mJobs) {
      job->mDurableChange = job->mLastChange;
    }
    for (Worker& worker : state.mWorkers) {
      AcknowledgeRecordedEnds(state, worker);
    }
  }
  return 1e6 * seconds / static_cast<double>(starts);
}

const Registration kWaitingJobs("batch-waiting", [] {
  const AddedJobs narrow = AddJobs(kNarrowTasks, false, 0);
  const AddedJobs wide = AddJobs(kWideTasks, false, 0);
  const AddedJobs recovered = AddJobs(kWideTasks, true, 0);
  const AddedJobs halfDone = AddJobs(kWideTasks, true, kWideTasks / 2);
  const std::string kWide = "submission of 10,000 tasks";
  return Measures{
    { "memory of a waiting " + kWide + ", against the bound",
      "B",
      wide.mBytesPerJob,
      kMaxBytesPerJob,
      Bound::AtMost,
      1 },
    { "memory of a " + kWide + ", half of them done, against the bound",
      "B",
      halfDone.mBytesPerJob,
      kMaxBytesPerJob,
      Bound::AtMost,
      1 },
    { "memory of a waiting " + kWide + " against one of 8",
      "B",
      wide.mBytesPerJob,
      narrow.mBytesPerJob },
    { "10,000 new submissions of 10,000 tasks against 8", "s", wide.mSeconds, narrow.mSeconds },
    { "10,000 recovered submissions of 10,000 tasks, against the start of urgent work",
      "s",
      recovered.mSeconds,
      kUrgentSeconds,
      Bound::AtMost,
      1 },
    { "the same, half of the tasks done", "s", halfDone.mSeconds, kUrgentSeconds },
    { "search for places, 10,000 waiting submissions of 10,000 tasks against 8",
      "s",
      wide.mPassSeconds,
      narrow.mPassSeconds },
    { "start on one of 100 workers, steps of 10,000 tasks against 8",
      "us",
      StartMicros(kWideTasks),
      StartMicros(kNarrowTasks) },
  };
});

} // namespace

} // namespace Bench
