#include "Daemon/OwnerJobs.h"

#include <algorithm>

#include "Common/Hash.h"
#include "Daemon/Convert.h"
#include "Jobs/Records.h"

namespace Daemon {

namespace Wire = Rpc::Generated;

namespace {

constexpr std::chrono::seconds kDurableTimeout{ 4 };
constexpr std::chrono::seconds kRetry{ 1 };

Jobs::TaskReport
FromWire(const Wire::TaskReport& aReport)
{
  Jobs::TaskReport report;
  report.mTask = Common::TaskId(aReport.taskId);
  report.mAttempt = Common::Attempt(aReport.attempt);
  report.mState = static_cast<Jobs::TaskState>(aReport.state);
  report.mCheckpoint = aReport.checkpoint;
  report.mDetail = aReport.detail;
  report.mAmounts = ToResources(aReport.amounts);
  report.mElapsed = Common::Duration(aReport.ranMicros);
  report.mCoreMicros = aReport.coreMicros;
  report.mPeakMemory = Common::Bytes(aReport.peakMemoryBytes);
  return report;
}

Wire::TaskAction
ToWire(const Jobs::TaskStart& aStart)
{
  Wire::TaskAction action;
  action.kind = Wire::TaskActionKind::Start;
  action.taskId = aStart.mTask.str();
  action.attempt = aStart.mAttempt.value();
  Wire::TaskStart start;
  start.taskId = action.taskId;
  start.jobId = aStart.mJob.str();
  start.attempt = action.attempt;
  start.checkpoint = aStart.mCheckpoint;
  start.amounts = FromResources(aStart.mNeed);
  start.runTimeMicros = aStart.mRunTime.count();
  start.payload = aStart.mPayload;
  start.route = aStart.mRoute.str();
  start.client = aStart.mClient.str();
  start.team = aStart.mTeam.str();
  start.mayRestart = aStart.mMayRestart;
  action.__set_start(start);
  return action;
}

Wire::TaskAction
ToWire(const Jobs::TaskAction& aAction)
{
  Wire::TaskAction action;
  switch (aAction.mKind) {
    case Jobs::ActionKind::Evict:
      action.kind = Wire::TaskActionKind::Evict;
      break;
    case Jobs::ActionKind::Stop:
      action.kind = Wire::TaskActionKind::Stop;
      break;
    case Jobs::ActionKind::Forget:
      action.kind = Wire::TaskActionKind::Forget;
      break;
  }
  action.taskId = aAction.mTask.str();
  action.attempt = aAction.mAttempt.value();
  return action;
}

Wire::SubmitReply
Refuse(Wire::RefusalReason::type aReason, const std::string& aDetail)
{
  Wire::SubmitReply reply;
  reply.accepted = false;
  reply.reason = aReason;
  reply.detail = aDetail;
  reply.retryAfterMicros = Common::Duration(kRetry).count();
  return reply;
}

Wire::JobView
ToWire(const Jobs::JobSummary& aSummary, const Jobs::Job* aJob)
{
  Wire::JobView view;
  view.jobId = aSummary.mJob.str();
  view.state = Jobs::StatusText(aSummary.mStatus);
  view.waiting = static_cast<std::int32_t>(aSummary.mWaiting);
  view.running = static_cast<std::int32_t>(aSummary.mRunning + aSummary.mUncertain);
  view.finished = static_cast<std::int32_t>(aSummary.mFinished);
  view.failed = static_cast<std::int32_t>(aSummary.mFailed);
  view.cancelled = static_cast<std::int32_t>(aSummary.mCancelled);
  view.unknownEnd = static_cast<std::int32_t>(aSummary.mUnknown);
  view.evictions = static_cast<std::int32_t>(aSummary.mEvictions);
  view.detail = aSummary.mDetail;
  view.submittedUnixMillis = aSummary.mSubmitted.count();
  view.spec.tasks = static_cast<std::int32_t>(aSummary.mTasks);
  if (aJob != nullptr) {
    view.spec.client = aJob->mSpec.mClient.str();
    view.spec.team = aJob->mSpec.mTeam.str();
    view.spec.route = aJob->mSpec.mRoute.str();
  }
  return view;
}

} // namespace

std::string
PoolLabel(const Common::PoolId& aPool)
{
  return "pool:" + aPool.str();
}

OwnerJobs::OwnerJobs(Runtime& aRuntime,
                     const std::string& aCell,
                     std::int64_t aEpoch,
                     std::function<void(const std::string&)> aKick,
                     std::function<void()> aDeposed)
  : mRuntime(aRuntime)
  , mCell(aCell)
  , mEpoch(aEpoch)
  , mKick(std::move(aKick))
  , mDeposed(std::move(aDeposed))
  , mState(Jobs::MakeJobsState(Common::CellId(aCell), Common::Epoch(aEpoch)))
{
}

OwnerJobs::~OwnerJobs()
{
  stop();
}

Jobs::CurrentTime
OwnerJobs::now() const
{
  return { mRuntime.mClock.now(), mRuntime.mClock.unixNow() };
}

void
OwnerJobs::start()
{
  mPlanner = std::make_unique<Loop>(mRuntime.mClock, [this] { return plan(); });
  mWriter = std::make_unique<Loop>(mRuntime.mClock, [this] { return write(); });
}

void
OwnerJobs::stop()
{
  for (Loop* loop : { mPlanner.get(), mWriter.get() }) {
    if (loop != nullptr) {
      loop->stop();
    }
  }
  mSettled.notify_all();
}

tl::expected<Jobs::JobSpec, std::string>
OwnerJobs::specOf(const Wire::JobSpec& aJob) const
{
  const auto tables = mRuntime.mTables.current();
  if (!tables) {
    return tl::unexpected(std::string("no tables are in force"));
  }
  const Tables::Route* route =
    Tables::FindRoute(tables->mTables, tables->mIndex, Common::RouteId(aJob.route));
  if (route == nullptr || route->mKind == Tables::RouteKind::Request) {
    return tl::unexpected("no batch route \"" + aJob.route + '"');
  }
  if (aJob.tasks < 1) {
    return tl::unexpected(std::string("\"tasks\" must be at least 1"));
  }
  Jobs::JobSpec spec;
  spec.mClient = Common::ClientId(aJob.client);
  spec.mTeam = Common::TeamId(aJob.team);
  spec.mRoute = route->mName;
  spec.mKey = Common::IdempotencyKey(aJob.idempotencyKey);
  spec.mTasks = static_cast<std::uint32_t>(aJob.tasks);
  spec.mPerTask = ToResources(aJob.perTask);
  spec.mRunTime = Common::Duration(aJob.runTimeMicros);
  spec.mDeadline = Common::UnixMillis(aJob.deadlineUnixMillis);
  spec.mPriority = aJob.priority;
  spec.mPayload = aJob.payload;
  spec.mLabels = { PoolLabel(route->mPool) };
  spec.mUrgency = route->mUrgency;
  spec.mPrice = route->mPrice;
  spec.mRestart = route->mRestart;
  spec.mMaxAttempts = route->mMaxAttempts;
  spec.mWatch = route->mKind == Tables::RouteKind::Watch;
  return spec;
}

Wire::SubmitReply
OwnerJobs::submit(const Wire::JobSpec& aJob)
{
  const auto spec = specOf(aJob);
  if (!spec) {
    return Refuse(Wire::RefusalReason::Invalid, spec.error());
  }
  std::unique_lock<std::mutex> lock(mMutex);
  const auto submitted = Jobs::SubmitJob(mState, *spec, now());
  if (!submitted) {
    const bool full = submitted.error().mReason == Jobs::SubmitErrorReason::TooManyJobs;
    return Refuse(full ? Wire::RefusalReason::NoCapacity : Wire::RefusalReason::Invalid,
                  submitted.error().mText);
  }
  Wire::SubmitReply reply;
  reply.accepted = true;
  reply.jobId = submitted->mJob.str();
  if (submitted->mDurable) {
    return reply;
  }
  std::shared_ptr<Waiting>& slot = mWaiting[submitted->mJob];
  if (!slot) {
    slot = std::make_shared<Waiting>();
  }
  const std::shared_ptr<Waiting> waiting = slot;
  mWriter->wake();
  const Common::Timestamp deadline = mRuntime.mClock.now() + kDurableTimeout;
  while (!waiting->mDone && mRuntime.mClock.waitUntil(lock, mSettled, deadline)) {
  }
  if (waiting->mDone && waiting->mWritten) {
    return reply;
  }
  if (waiting->mDone) {
    return Refuse(Wire::RefusalReason::StoreUnavailable, "the store is unavailable");
  }
  return Refuse(Wire::RefusalReason::None, "the store did not answer in time");
}

Wire::SubmitReply
OwnerJobs::cancel(const std::string& aJob)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<Jobs::TaskAction> actions;
  if (!Jobs::CancelJob(mState, Common::JobId(aJob), now(), actions)) {
    return Refuse(Wire::RefusalReason::Invalid, "no such job: " + aJob);
  }
  queueActions(actions);
  Wire::SubmitReply reply;
  reply.accepted = true;
  reply.jobId = aJob;
  return reply;
}

std::vector<Wire::JobView>
OwnerJobs::show(const std::string& aJob, std::size_t aLimit)
{
  std::vector<Jobs::JobSummary> summaries;
  std::vector<Wire::JobView> views;
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aJob.empty()) {
    summaries = Jobs::ShowJobs(mState, aLimit);
  } else if (auto one = Jobs::ShowJob(mState, Common::JobId(aJob))) {
    summaries.push_back(std::move(*one));
  }
  for (const Jobs::JobSummary& summary : summaries) {
    const auto number = Jobs::ParseJobId(mState.mCell, summary.mJob.str());
    const auto found = number ? mState.mJobs.find(number->value()) : mState.mJobs.end();
    views.push_back(ToWire(summary, found == mState.mJobs.end() ? nullptr : &found->second));
  }
  return views;
}

void
OwnerJobs::queueActions(const std::vector<Jobs::TaskAction>& aActions)
{
  for (const Jobs::TaskAction& action : aActions) {
    mOutbox[action.mWorker.str()].push_back(action);
    if (action.mKind != Jobs::ActionKind::Forget) {
      mKick(action.mWorker.str());
    }
  }
}

void
OwnerJobs::applyNews(const WorkerNews& aNews)
{
  Jobs::Inventory inventory;
  inventory.mWorker = Common::WorkerId(aNews.mInfo.worker);
  inventory.mSequence = aNews.mSequence;
  inventory.mFull = aNews.mFull;
  inventory.mIncarnation = Common::Incarnation(aNews.mInfo.incarnation);
  for (const Wire::TaskReport& report : aNews.mTasks) {
    inventory.mReports.push_back(FromWire(report));
  }
  bool ended = false;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (Jobs::IsStaleInventory(mState, inventory)) {
      return;
    }
    refreshTables();
    const bool isNew = !mWorkers.contains(aNews.mInfo.worker);
    mWorkers[aNews.mInfo.worker] = aNews;
    mWorkers[aNews.mInfo.worker].mTasks.clear();
    queueActions(Jobs::ApplyInventory(mState, inventory, now()));
    placeWorker(aNews);
    ended = isNew || Jobs::UnwrittenProgressCount(mState) > 0;
  }
  if (ended) {
    mPlanner->wake();
  }
}

std::vector<Wire::TaskAction>
OwnerJobs::commandsFor(const std::string& aWorker)
{
  std::vector<Wire::TaskAction> actions;
  const std::lock_guard<std::mutex> lock(mMutex);
  const Jobs::WorkerCommands pending = Jobs::PendingCommands(mState, Common::WorkerId(aWorker));
  for (const Jobs::TaskStart& start : pending.mStarts) {
    actions.push_back(ToWire(start));
  }
  for (const Jobs::TaskAction& action : pending.mActions) {
    actions.push_back(ToWire(action));
  }
  const auto queued = mOutbox.find(aWorker);
  if (queued != mOutbox.end()) {
    for (const Jobs::TaskAction& action : queued->second) {
      // Pending ones are repeated until a report settles them; the others go once.
      if (action.mKind == Jobs::ActionKind::Forget) {
        actions.push_back(ToWire(action));
      }
    }
    mOutbox.erase(queued);
  }
  return actions;
}

void
OwnerJobs::markSilent(const std::string& aWorker)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Jobs::MarkSilent(mState, Common::WorkerId(aWorker), now());
  for (auto& [pool, index] : mPools) {
    const auto number = Placement::FindWorker(index, Common::WorkerId(aWorker));
    if (number != Placement::kNoWorker) {
      Placement::SetSchedulability(index, number, Placement::Schedulability::Unschedulable);
    }
  }
}

void
OwnerJobs::releaseWorker(const std::string& aWorker)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    Jobs::ReleaseWorker(mState, Common::WorkerId(aWorker), now());
    mWorkers.erase(aWorker);
    for (auto& [pool, index] : mPools) {
      Placement::RemoveWorker(index, Common::WorkerId(aWorker));
    }
  }
  mPlanner->wake();
}

void
OwnerJobs::releaseHeld(bool aAllHeard)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    Jobs::ReleaseHeldJobs(mState, aAllHeard, now());
  }
  mPlanner->wake();
}

int
OwnerJobs::runningOn(const std::string& aWorker) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mState.mWorkerIndex.find(Common::WorkerId(aWorker));
  return found == mState.mWorkerIndex.end()
           ? 0
           : static_cast<int>(mState.mWorkers[found->second].mTasks.size());
}

} // namespace Daemon
