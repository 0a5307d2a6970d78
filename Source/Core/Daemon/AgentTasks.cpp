#include "Daemon/AgentTasks.h"

#include <algorithm>

#include "Daemon/Convert.h"
#include "Observability/Log.h"

namespace Daemon {

namespace Wire = Rpc::Generated;
using Wire::TaskState;

namespace {

// Attempts of forgotten tasks that are remembered, so that a late command cannot start them again.
constexpr std::size_t kMaxRemembered = 16384;
constexpr std::size_t kMaxRefusals = 1024;

std::string
JobOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.rfind('.'));
}

} // namespace

AgentTasks::AgentTasks(Runtime& aRuntime, Gates& aGates, RecordUse aRecordUse)
  : mRuntime(aRuntime)
  , mGates(aGates)
  , mRecordUse(std::move(aRecordUse))
  , mWorker(aRuntime.mSettings.mPlatformWorkerAddress, aRuntime.mHttp)
  , mThreads(8, 4096)
{
}

AgentTasks::~AgentTasks()
{
  stop();
}

void
AgentTasks::start()
{
  if (!mRuntime.mSettings.mPlatformWorkerAddress.empty()) {
    mLoop = std::make_unique<Loop>(mRuntime.mClock, [this] { return poll(); });
  }
}

void
AgentTasks::stop()
{
  if (mLoop) {
    mLoop->stop();
  }
  mThreads.stop();
}

void
AgentTasks::apply(const std::vector<Wire::TaskAction>& aActions)
{
  for (const Wire::TaskAction& action : aActions) {
    switch (action.kind) {
      case Wire::TaskActionKind::Start:
        startTask(action);
        break;
      case Wire::TaskActionKind::Evict:
        endTask(action.taskId, action.attempt, Wish::Evict);
        break;
      case Wire::TaskActionKind::Stop:
        endTask(action.taskId, action.attempt, Wish::Stop);
        break;
      case Wire::TaskActionKind::Throttle:
      case Wire::TaskActionKind::Unthrottle:
        throttle(action);
        break;
      case Wire::TaskActionKind::Forget: {
        const std::lock_guard<std::mutex> lock(mMutex);
        std::erase_if(mRefusals, [&](const Wire::TaskReport& aReport) {
          return aReport.taskId == action.taskId && aReport.attempt <= action.attempt;
        });
        const auto found = mTasks.find(action.taskId);
        if (found != mTasks.end() && !found->second.mActive &&
            found->second.mReport.attempt <= action.attempt) {
          mHighest[action.taskId] = found->second.mReport.attempt;
          mHighestOrder.push_back(action.taskId);
          mTasks.erase(found);
        }
        while (mHighestOrder.size() > kMaxRemembered) {
          mHighest.erase(mHighestOrder.front());
          mHighestOrder.pop_front();
        }
        break;
      }
    }
  }
}

AgentTasks::Task*
AgentTasks::find(const std::string& aTask, std::int64_t aAttempt)
{
  const auto found = mTasks.find(aTask);
  const bool same = found != mTasks.end() && found->second.mReport.attempt == aAttempt;
  return same ? &found->second : nullptr;
}

void
AgentTasks::refuse(const Wire::TaskStart& aStart, const std::string& aDetail)
{
  Wire::TaskReport report;
  report.taskId = aStart.taskId;
  report.jobId = aStart.jobId;
  report.attempt = aStart.attempt;
  report.state = TaskState::Refused;
  report.detail = aDetail;
  std::erase_if(mRefusals, [&](const Wire::TaskReport& aOther) {
    return aOther.taskId == report.taskId && aOther.attempt <= report.attempt;
  });
  if (mRefusals.size() < kMaxRefusals) {
    mRefusals.push_back(std::move(report));
  }
}

bool
AgentTasks::fitsPool(const Wire::TaskStart& aStart) const
{
  const auto tables = mRuntime.mTables.current();
  if (!tables) {
    return true;
  }
  const auto poolOf = [&](const std::string& aRoute) {
    const auto* route = Tables::FindRoute(tables->mTables, tables->mIndex, Common::RouteId(aRoute));
    return route == nullptr ? Common::PoolId() : route->mPool;
  };
  const Common::PoolId name = poolOf(aStart.route);
  const Tables::Pool* pool = Tables::FindPool(tables->mTables, name);
  if (pool == nullptr || pool->mPerWorker.mResources == Common::Resources{}) {
    return true;
  }
  Common::Resources used = ToResources(aStart.amounts);
  for (const auto& [id, task] : mTasks) {
    if (task.mActive && poolOf(task.mReport.route) == name) {
      used = used + ToResources(task.mReport.amounts);
    }
  }
  return Common::Fits(used, pool->mPerWorker.mResources);
}

void
AgentTasks::startTask(const Wire::TaskAction& aAction)
{
  const Wire::TaskStart& start = aAction.start;
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto known = mTasks.find(start.taskId);
  if (known != mTasks.end() && known->second.mReport.attempt == start.attempt) {
    // The command is repeated until a report of the attempt has arrived.
    known->second.mDirty = true;
    return;
  }
  const auto remembered = mHighest.find(start.taskId);
  const bool older = remembered != mHighest.end() && remembered->second >= start.attempt;
  const bool active = known != mTasks.end() &&
                      (known->second.mActive || known->second.mReport.attempt > start.attempt);
  if (older || active) {
    return refuse(start, "a later attempt was seen, or an earlier one has not ended");
  }
  if (mRuntime.leaving() || !mTotal || !mTasksKnown) {
    return refuse(start, "the agent takes no tasks now");
  }
  bool reserved = fitsPool(start);
  if (reserved) {
    mGates.withLedger([&](Admission::WorkerLedger& aLedger) {
      reserved =
        Admission::ReserveTask(aLedger, Common::TaskId(start.taskId), ToResources(start.amounts));
    });
  }
  if (!reserved) {
    return refuse(start, "the task does not fit");
  }
  Task task;
  task.mStarted = mRuntime.mClock.now();
  task.mReport.taskId = start.taskId;
  task.mReport.jobId = start.jobId;
  task.mReport.attempt = start.attempt;
  task.mReport.state = TaskState::Starting;
  task.mReport.amounts = start.amounts;
  task.mReport.route = start.route;
  task.mReport.client = start.client;
  task.mReport.team = start.team;
  task.mReport.progressRate = 1;
  mTasks[start.taskId] = std::move(task);
  Http::WorkerTask order;
  order.mId = Common::TaskId(start.taskId);
  order.mAttempt = Common::Attempt(start.attempt);
  order.mLease = mRuntime.mSettings.mTimes.mPlatformLease;
  order.mAmounts = ToResources(start.amounts);
  order.mPayload = start.payload;
  order.mCheckpoint = start.checkpoint;
  if (!mThreads.run([this, order] { runStart(order); })) {
    settle(mTasks[start.taskId], TaskState::Refused, "too many commands in progress");
  }
}

void
AgentTasks::runStart(const Http::WorkerTask& aTask)
{
  bool tenure = false;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    tenure = mRuntime.mClock.now() < mTenureUntil;
  }
  // Without tenure the owner may already start the task elsewhere.
  const auto result =
    tenure ? mWorker.start(aTask)
           : Http::PlatformWorker::Result<void>(tl::unexpected(Http::WorkerError::NotDelivered));
  const std::lock_guard<std::mutex> lock(mMutex);
  Task* task = find(aTask.mId.str(), aTask.mAttempt.value());
  if (task == nullptr || !task->mActive) {
    return;
  }
  if (result) {
    if (task->mReport.state == TaskState::Starting) {
      task->mReport.state = TaskState::Running;
      task->mDirty = true;
    }
    return;
  }
  switch (result.error()) {
    case Http::WorkerError::NoRoom:
    case Http::WorkerError::Conflict:
    case Http::WorkerError::NotFound:
      settle(*task, TaskState::Refused, "the worker refused the task");
      break;
    case Http::WorkerError::NotDelivered:
      settle(*task, TaskState::Refused, "the worker cannot be reached, or the agent has no tenure");
      break;
    case Http::WorkerError::Unknown:
      // The worker's list shows it, or its lease has ended without a renewal.
      task->mMayBeStarting = true;
      break;
  }
}

void
AgentTasks::settle(Task& aTask, TaskState::type aState, const std::string& aDetail)
{
  aTask.mActive = false;
  aTask.mDirty = true;
  aTask.mReport.state = aState;
  if (!aDetail.empty()) {
    aTask.mReport.detail = aDetail;
  }
  const std::int64_t cores = aTask.mReport.amounts.milliCores;
  aTask.mReport.coreMicros = aTask.mReport.ranMicros / 1000 * cores;
  mGates.withLedger([&](Admission::WorkerLedger& aLedger) {
    Admission::ReleaseTask(aLedger, Common::TaskId(aTask.mReport.taskId));
  });
  if (aState != TaskState::Refused && aTask.mReport.ranMicros > 0) {
    Common::MicroPrice price;
    const auto tables = mRuntime.mTables.current();
    const Common::RouteId name(aTask.mReport.route);
    if (tables) {
      const auto* route = Tables::FindRoute(tables->mTables, tables->mIndex, name);
      price = route == nullptr ? price : route->mPrice;
    }
    mRecordUse(
      { Common::TeamId(aTask.mReport.team), Common::ClientId(aTask.mReport.client), name, price },
      { 1, 0, aTask.mReport.coreMicros });
  }
}

void
AgentTasks::endTask(const std::string& aTask, std::int64_t aAttempt, Wish aWish)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Task* task = find(aTask, aAttempt);
  if (task == nullptr) {
    // The owner waits for a report; that it does not run is one.
    Wire::TaskStart unknown;
    unknown.taskId = aTask;
    unknown.jobId = JobOf(aTask);
    unknown.attempt = aAttempt;
    const auto other = mTasks.find(aTask);
    if (mTasksKnown && (other == mTasks.end() || other->second.mReport.attempt < aAttempt)) {
      refuse(unknown, "the task is not here");
    }
    return;
  }
  if (!task->mActive || task->mWish == aWish) {
    task->mDirty = true;
    return;
  }
  task->mWish = aWish;
  mThreads.run([this, aTask, aAttempt, aWish] { runEnd(aTask, aAttempt, aWish); });
}

void
AgentTasks::runEnd(const std::string& aTask, std::int64_t aAttempt, Wish aWish)
{
  const Common::TaskId id(aTask);
  std::string checkpoint;
  if (aWish == Wish::Evict) {
    checkpoint = mWorker.checkpoint(id).value_or("");
  }
  const auto stopped = mWorker.stop(id);
  // Reads what the task came to: it may have ended by itself just before.
  if (stopped) {
    readTasks();
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  Task* task = find(aTask, aAttempt);
  if (task == nullptr) {
    return;
  }
  if (!checkpoint.empty() && task->mReport.state != TaskState::Finished) {
    task->mReport.checkpoint = checkpoint;
    task->mDirty = true;
  }
  if (!task->mActive) {
    return;
  }
  if (stopped || stopped.error() == Http::WorkerError::NotFound) {
    settle(*task, aWish == Wish::Evict ? TaskState::Evicted : TaskState::Stopped, "");
  } else {
    // The next poll tries again.
    task->mWish = Wish::Run;
  }
}

void
AgentTasks::throttle(const Wire::TaskAction& aAction)
{
  const bool full = aAction.kind == Wire::TaskActionKind::Unthrottle;
  const int percent = full ? 100 : std::clamp(aAction.throttlePercent, 0, 100);
  mThreads.run([this, id = Common::TaskId(aAction.taskId), percent] {
    static_cast<void>(mWorker.throttle(id, percent));
  });
}

void
AgentTasks::grantTenure(Common::Timestamp aUntil)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mTenureUntil = std::max(mTenureUntil, aUntil);
}

std::vector<Wire::TaskReport>
AgentTasks::reports(bool aFull)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<Wire::TaskReport> reports = mRefusals;
  for (auto& [id, task] : mTasks) {
    if (aFull || task.mDirty || !task.mActive) {
      task.mDirty = false;
      reports.push_back(task.mReport);
    }
  }
  return reports;
}

void
AgentTasks::evictAll()
{
  std::vector<std::pair<std::string, std::int64_t>> active;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const auto& [id, task] : mTasks) {
      if (task.mActive) {
        active.emplace_back(id, task.mReport.attempt);
      }
    }
  }
  for (const auto& [id, attempt] : active) {
    endTask(id, attempt, Wish::Evict);
  }
}

bool
AgentTasks::idle() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return std::none_of(
    mTasks.begin(), mTasks.end(), [](const auto& aItem) { return aItem.second.mActive; });
}

bool
AgentTasks::known() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mTotal.has_value() && mTasksKnown;
}

Common::Resources
AgentTasks::total() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mTotal.value_or(Common::Resources{});
}

Common::Resources
AgentTasks::freeForTasks() const
{
  Common::Resources free;
  mGates.withLedger(
    [&](const Admission::WorkerLedger& aLedger) { free = Admission::FreeForTasks(aLedger); });
  return free;
}

} // namespace Daemon
