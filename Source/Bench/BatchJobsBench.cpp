#include <ctime>
#include <malloc.h>
#include <map>

#include "Bench/Measure.h"
#include "Common/Random.h"
#include "Jobs/Jobs.h"

using namespace std::chrono_literals;

namespace Bench {

namespace {

using namespace Jobs;

double
ThreadSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

std::size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

Common::Resources
Amounts(std::int64_t aMilliCores)
{
  return { Common::MilliCores(aMilliCores), Common::Bytes(aMilliCores << 20), {} };
}

constexpr std::uint32_t kTeams = 100;
constexpr std::uint32_t kWorkers = 187;

JobsState
Cell(std::int64_t aEpoch)
{
  JobsState state = MakeJobsState(Common::CellId("dc-1"), Common::Epoch(aEpoch));
  std::vector<TeamQuota> teams;
  for (std::uint32_t i = 0; i < kTeams; ++i) {
    teams.push_back(
      { Common::TeamId("team-" + std::to_string(i)), 1 + i % 3, Amounts(29'000), true });
  }
  SetTeams(state, teams);
  SetWorkerShapes(state, { { {}, Amounts(16'000), kWorkers } });
  return state;
}

JobSpec
Spec(std::uint32_t aNumber, std::uint32_t aTasks)
{
  JobSpec spec;
  spec.mClient = Common::ClientId("client-" + std::to_string(aNumber % 300));
  spec.mTeam = Common::TeamId("team-" + std::to_string(aNumber % kTeams));
  spec.mRoute = Common::RouteId("pattern-render");
  spec.mKey = Common::IdempotencyKey("key-" + std::to_string(aNumber));
  spec.mTasks = aTasks;
  spec.mPerTask = Amounts(500);
  spec.mRunTime = 30s;
  spec.mPayload = std::string(120, 'p');
  return spec;
}

CurrentTime
At(double aSeconds)
{
  const auto time = Common::Duration(static_cast<std::int64_t>(aSeconds * 1e6));
  return { Common::Timestamp(1h + time),
           1'700'000'000s + std::chrono::duration_cast<Common::UnixMillis>(time) };
}

void
Accept(JobsState& aState,
       std::uint32_t aJobs,
       std::uint32_t aTasks,
       std::vector<std::string>& aStore)
{
  for (std::uint32_t i = 0; i < aJobs; ++i) {
    static_cast<void>(SubmitJob(aState, Spec(i, aTasks), At(0)));
  }
  while (auto batch = TakeJobBatch(aState, 512 << 10)) {
    aStore.push_back(EncodeSegment(batch->mSegment));
    MarkBatchWritten(aState, batch->mId, At(0));
  }
}

Placer
RoundRobin(std::uint32_t& aNext)
{
  return [&aNext](const PlacementRequest&) {
    return Common::WorkerId("w" + std::to_string(aNext++ % kWorkers));
  };
}

TaskReport
ReportOf(const TaskStart& aStart, TaskState aState)
{
  TaskReport report;
  report.mTask = aStart.mTask;
  report.mAttempt = aStart.mAttempt;
  report.mState = aState;
  report.mAmounts = aStart.mNeed;
  report.mElapsed = 30s;
  report.mCoreMicros = 15'000'000;
  report.mPeakMemory = Common::Bytes(400 << 20);
  return report;
}

/// Seconds of one core for starting and finishing aStarts tasks of 100 teams; the owners of the
/// fleet start 21,000 a second in all.
double
MeasureStarts(std::size_t aStarts)
{
  JobsState state = Cell(1);
  std::vector<std::string> store;
  Accept(state, 4000, 60, store);
  std::uint32_t next = 0;
  const Placer place = RoundRobin(next);
  std::size_t started = 0;
  std::vector<TaskAction> actions;
  const double before = ThreadSeconds();
  for (double time = 1; started < aStarts; time += 0.01) {
    const std::vector<TaskStart> starts = StartTasks(state, At(time), 210, place);
    started += starts.size();
    for (const TaskStart& start : starts) {
      ApplyReport(state, start.mWorker, ReportOf(start, TaskState::Running), At(time), actions);
      ApplyReport(state, start.mWorker, ReportOf(start, TaskState::Finished), At(time), actions);
    }
    if (starts.empty()) {
      return 0;
    }
  }
  return ThreadSeconds() - before;
}

struct Takeover
{
  double mSeconds = 0;
  std::size_t mRunning = 0;
  std::size_t mTwice = 0;
  std::size_t mLost = 0;
};

/// 5,000 running tasks, of which every tenth worker is silent at first.
Takeover
MeasureTakeover()
{
  JobsState state = Cell(1);
  std::vector<std::string> store;
  Accept(state, 500, 10, store);
  std::uint32_t next = 0;
  std::map<std::string, Inventory> inventories;
  std::size_t started = 0;
  for (const TaskStart& start : StartTasks(state, At(1), 5000, RoundRobin(next))) {
    Inventory& inventory = inventories[start.mWorker.str()];
    inventory.mWorker = start.mWorker;
    inventory.mSequence = 1;
    inventory.mFull = true;
    inventory.mReports.push_back(ReportOf(start, TaskState::Running));
    ++started;
  }
  std::vector<Inventory> heard;
  std::vector<Inventory> later;
  for (auto& [name, inventory] : inventories) {
    ((heard.size() + later.size()) % 10 == 9 ? later : heard).push_back(inventory);
  }
  Takeover result;
  std::vector<TaskAction> actions;
  const double before = ThreadSeconds();
  auto rebuilt = Rebuild(Cell(2), store, heard, At(2), actions);
  result.mSeconds = ThreadSeconds() - before;
  // Nothing may start while workers are silent, nor after they were heard.
  result.mTwice = rebuilt ? StartTasks(*rebuilt, At(3), 5000, RoundRobin(next)).size() : 5000;
  for (const Inventory& inventory : later) {
    ApplyInventory(*rebuilt, inventory, At(4));
  }
  ReleaseHeldJobs(*rebuilt, true, At(5));
  result.mTwice += StartTasks(*rebuilt, At(6), 5000, RoundRobin(next)).size();
  for (const JobSummary& job : ShowJobs(*rebuilt, 1000)) {
    result.mRunning += job.mRunning;
  }
  result.mLost = started - std::min(started, result.mRunning);
  return result;
}

Measures
RunStarts()
{
  const std::size_t starts = Quick() ? 42'000 : 210'000;
  const double seconds = MeasureStarts(starts);
  Measures measures;
  measures.push_back({ "part of one core for 21000 starts/s of 100 teams, with their reports",
                       "cores",
                       seconds / static_cast<double>(starts) * 21'000,
                       1.0,
                       Bound::AtMost,
                       1.0 });
  return measures;
}

Measures
RunTakeover()
{
  const Takeover takeover = MeasureTakeover();
  Measures measures;
  const auto running = static_cast<double>(takeover.mRunning);
  measures.push_back({ "takeover of 5000 running tasks: running afterwards",
                       "tasks",
                       running,
                       5000,
                       Bound::AtLeast,
                       1.0 });
  measures.push_back({ "takeover of 5000 running tasks: started twice",
                       "tasks",
                       static_cast<double>(takeover.mTwice),
                       5000,
                       Bound::AtMost,
                       0.0 });
  measures.push_back({ "takeover of 5000 running tasks: lost",
                       "tasks",
                       static_cast<double>(takeover.mLost),
                       5000,
                       Bound::AtMost,
                       0.0 });
  measures.push_back({ "takeover of 5000 running tasks: rebuild, against 10 s",
                       "s",
                       takeover.mSeconds,
                       10,
                       Bound::AtMost,
                       1.0 });
  return measures;
}

Measures
RunMemory()
{
  Measures measures;
  std::vector<std::string> store;
  JobsState state = Cell(1);
  const std::size_t empty = HeapBytes();
  Accept(state, 3200, 10, store);
  std::size_t segments = 0;
  for (const std::string& value : store) {
    segments += value.capacity() + sizeof(std::string);
  }
  const std::size_t queued = HeapBytes() - segments;
  measures.push_back(
    { "memory of a queued job", "bytes", static_cast<double>(queued - empty) / 3200 });
  std::uint32_t next = 0;
  const std::size_t started = StartTasks(state, At(1), 4200, RoundRobin(next)).size();
  const std::size_t running = HeapBytes() - segments;
  measures.push_back({ "memory of a running task, with its part of a worker",
                       "bytes",
                       static_cast<double>(running - queued) / static_cast<double>(started) });
  measures.push_back(
    { "memory of a worker's record", "bytes", static_cast<double>(sizeof(WorkerState)) });
  return measures;
}

/// Store writes and bytes of one cell at its part of 21,000 completions/s, for ten seconds, and of
/// a burst of 2,000 jobs.
Measures
RunSegments()
{
  JobsState state = Cell(1);
  std::vector<std::string> packed;
  Accept(state, 2000, 10, packed);
  const auto total = [](const std::vector<std::string>& aValues) {
    double bytes = 0;
    for (const std::string& value : aValues) {
      bytes += static_cast<double>(value.size());
    }
    return bytes;
  };
  std::vector<std::string> single;
  for (std::uint32_t i = 0; i < 2000; ++i) {
    Segment segment;
    segment.mJobs.push_back(
      { JobNumber((std::int64_t{ 1 } << 32) | (i + 1)), Spec(i, 10), At(0).mUnix });
    single.push_back(EncodeSegment(segment));
  }
  Measures measures;
  const auto count = [](const std::vector<std::string>& aValues) {
    return static_cast<double>(aValues.size());
  };
  measures.push_back({ "burst of 2000 jobs: store writes, packed against single",
                       "writes",
                       count(packed),
                       count(single),
                       Bound::AtMost,
                       0.1 });
  measures.push_back(
    { "burst of 2000 jobs: bytes, packed against single", "bytes", total(packed), total(single) });
  std::vector<std::string> progress;
  std::vector<std::string> records;
  std::uint32_t next = 0;
  std::vector<TaskAction> actions;
  for (int second = 0; second < 10; ++second) {
    for (const TaskStart& start : StartTasks(state, At(1 + second), 140, RoundRobin(next))) {
      ApplyReport(
        state, start.mWorker, ReportOf(start, TaskState::Finished), At(1 + second), actions);
    }
    if (auto batch = TakeProgressBatch(state, 100'000)) {
      progress.push_back(EncodeSegment(batch->mSegment));
      for (const ProgressRecord& record : batch->mSegment.mProgress) {
        Segment segment;
        segment.mProgress.push_back(record);
        records.push_back(EncodeSegment(segment));
      }
      MarkBatchWritten(state, batch->mId, At(1 + second));
    }
  }
  measures.push_back({ "21000 completions/s over 150 cells: store writes/s, packed against single",
                       "writes/s",
                       150 * count(progress) / 10,
                       150 * count(records) / 10,
                       Bound::AtMost,
                       0.1 });
  measures.push_back({ "21000 completions/s over 150 cells: bytes/s, packed against single",
                       "bytes/s",
                       150 * total(progress) / 10,
                       150 * total(records) / 10,
                       Bound::AtMost,
                       1.0 });
  return measures;
}

const Registration kStarts{ "batch-starts", RunStarts };
const Registration kTakeover{ "batch-takeover", RunTakeover };
const Registration kMemory{ "batch-memory", RunMemory };
const Registration kSegments{ "batch-segments", RunSegments };

} // namespace

} // namespace Bench
