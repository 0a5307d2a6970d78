#include <algorithm>
#include <set>

#include "Daemon/AgentTasks.h"
#include "Daemon/Convert.h"
#include "Observability/Log.h"

namespace Daemon {

namespace Wire = Rpc::Generated;
using Wire::TaskState;

namespace {

constexpr std::chrono::milliseconds kPollBusy{ 500 };
constexpr std::chrono::seconds kPollIdle{ 5 };
constexpr std::chrono::seconds kCapacityEvery{ 10 };
constexpr std::chrono::seconds kUsageEvery{ 3 };

} // namespace

Common::Duration
AgentTasks::poll()
{
  const Common::Timestamp now = mRuntime.mClock.now();
  bool capacityDue = false;
  bool tasksDue = false;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    capacityDue = !mTotal || now >= mNextCapacity;
    tasksDue = !mTasksKnown;
  }
  if (capacityDue) {
    readCapacity();
  }
  const bool busy = !idle();
  if (tasksDue || busy) {
    readTasks();
  }
  if (busy) {
    renew();
    readUsage();
  }
  return busy || !known() ? Common::Duration(kPollBusy) : Common::Duration(kPollIdle);
}

void
AgentTasks::readCapacity()
{
  const auto capacity = mWorker.capacity();
  if (!capacity) {
    return;
  }
  mGates.withLedger([&](Admission::WorkerLedger& aLedger) { aLedger.mTotal = *capacity; });
  const std::lock_guard<std::mutex> lock(mMutex);
  mTotal = *capacity;
  mNextCapacity = mRuntime.mClock.now() + kCapacityEvery;
}

void
AgentTasks::readTasks()
{
  const auto views = mWorker.tasks();
  if (!views) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const Http::WorkerTaskView& view : *views) {
    applyView(view);
  }
  markMissing(*views);
  mTasksKnown = true;
}

void
AgentTasks::applyView(const Http::WorkerTaskView& aView)
{
  using State = Http::WorkerTaskState;
  Task* task = find(aView.mId.str(), aView.mAttempt.value());
  if (task == nullptr) {
    if (aView.mState == State::Running || !mTasksKnown) {
      adopt(aView);
    }
    return;
  }
  if (!task->mActive) {
    return;
  }
  task->mReport.ranMicros = aView.mRan.count();
  task->mMayBeStarting = false;
  if (!aView.mCheckpoint.empty() && aView.mCheckpoint != task->mReport.checkpoint) {
    task->mReport.checkpoint = aView.mCheckpoint;
    task->mDirty = true;
  }
  switch (aView.mState) {
    case State::Running:
      if (task->mReport.state == TaskState::Starting) {
        task->mReport.state = TaskState::Running;
        task->mDirty = true;
      }
      break;
    case State::Finished:
      settle(*task, TaskState::Finished, aView.mDetail);
      break;
    case State::Failed:
      settle(*task, TaskState::Failed, aView.mDetail);
      break;
    case State::Stopped:
      settle(
        *task, task->mWish == Wish::Evict ? TaskState::Evicted : TaskState::Stopped, aView.mDetail);
      break;
    case State::Expired:
      settle(*task, TaskState::Lost, "its lease ended");
      break;
  }
}

// A task that an earlier run of the agent started. Ended ones count, too, because their ends may
// not have been reported.
void
AgentTasks::adopt(const Http::WorkerTaskView& aView)
{
  const auto known = mTasks.find(aView.mId.str());
  if (known != mTasks.end() && known->second.mReport.attempt > aView.mAttempt.value()) {
    return;
  }
  const auto remembered = mHighest.find(aView.mId.str());
  if (remembered != mHighest.end() && remembered->second >= aView.mAttempt.value()) {
    return;
  }
  const std::string& id = aView.mId.str();
  Task task;
  task.mStarted = mRuntime.mClock.now();
  task.mReport.taskId = id;
  task.mReport.jobId = id.substr(0, id.rfind('.'));
  task.mReport.attempt = aView.mAttempt.value();
  task.mReport.state = TaskState::Running;
  task.mReport.checkpoint = aView.mCheckpoint;
  task.mReport.progressRate = 1;
  mTasks[id] = std::move(task);
  if (aView.mState == Http::WorkerTaskState::Running) {
    mGates.withLedger(
      [&](Admission::WorkerLedger& aLedger) { Admission::AdoptTask(aLedger, aView.mId, {}); });
  } else {
    applyView(aView);
  }
}

void
AgentTasks::markMissing(const std::vector<Http::WorkerTaskView>& aViews)
{
  std::set<std::pair<std::string, std::int64_t>> listed;
  for (const Http::WorkerTaskView& view : aViews) {
    listed.emplace(view.mId.str(), view.mAttempt.value());
  }
  const Common::Timestamp now = mRuntime.mClock.now();
  for (auto& [id, task] : mTasks) {
    if (!task.mActive || listed.contains({ id, task.mReport.attempt })) {
      continue;
    }
    // A start whose answer was lost may still arrive; its lease bounds how long it can matter.
    const bool waited = now - task.mStarted > mRuntime.mSettings.mTimes.mPlatformLease;
    if (task.mReport.state == TaskState::Running || (task.mMayBeStarting && waited)) {
      settle(task, TaskState::Lost, "the worker does not list it");
    }
  }
}

void
AgentTasks::readUsage()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mRuntime.mClock.now() < mNextUsage) {
      return;
    }
    mNextUsage = mRuntime.mClock.now() + kUsageEvery;
  }
  const auto usage = mWorker.usage();
  if (!usage) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const Http::WorkerTaskUsage& each : usage->mTasks) {
    const auto found = mTasks.find(each.mId.str());
    if (found == mTasks.end() || !found->second.mActive) {
      continue;
    }
    Wire::TaskReport& report = found->second.mReport;
    report.progressRate = each.mProgressRate;
    report.peakMemoryBytes = std::max(report.peakMemoryBytes, each.mMemory.value());
    found->second.mDirty = true;
    if (report.amounts.milliCores == 0) {
      // An adopted task: its use stands for its grant, which this run of the agent does not know.
      report.amounts = FromResources({ each.mCores, each.mMemory, {} });
      mGates.withLedger([&](Admission::WorkerLedger& aLedger) {
        Admission::AdoptTask(aLedger, each.mId, { each.mCores, each.mMemory, {} });
      });
    }
  }
}

void
AgentTasks::renew()
{
  const Common::Timestamp now = mRuntime.mClock.now();
  std::vector<std::pair<Common::TaskId, Common::Attempt>> due;
  bool tenure = false;
  bool everHadTenure = false;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    tenure = now < mTenureUntil;
    everHadTenure = mTenureUntil != Common::Timestamp();
    if (now < mNextRenewal && tenure) {
      return;
    }
    // Three tries before the lease ends.
    mNextRenewal = now + mRuntime.mSettings.mTimes.mPlatformLease / 4;
    for (const auto& [id, task] : mTasks) {
      if (task.mActive && task.mWish == Wish::Run) {
        due.emplace_back(id, task.mReport.attempt);
      }
    }
  }
  if (!tenure && !everHadTenure) {
    // Tasks of an earlier run of the agent: without a renewal their leases end by themselves.
    return;
  }
  if (!tenure) {
    mRuntime.mCounters.counter("tenure_lost").add();
    return evictAll();
  }
  for (const auto& [id, attempt] : due) {
    const auto renewed = mWorker.renew(id, attempt, mRuntime.mSettings.mTimes.mPlatformLease);
    if (!renewed) {
      mRuntime.mCounters.counter("renewals_failed").add();
    }
  }
}

} // namespace Daemon
