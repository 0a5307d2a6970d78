#include "UnitTests/Jobs/CellSimulation.h"

#include <algorithm>

using namespace std::chrono_literals;
using namespace Jobs;

namespace {

Common::Resources
Amounts(std::int64_t aMilliCores)
{
  return { Common::MilliCores(aMilliCores), Common::Bytes(aMilliCores << 20), {} };
}

Placement::Ticket
TicketOf(const TaskKey& aKey, Common::Attempt aAttempt)
{
  return TaskKeyHash{}(aKey)*31 + static_cast<std::uint64_t>(aAttempt.value());
}

JobsState
EmptyState(std::int64_t aEpoch, std::size_t aWorkers)
{
  JobsState state = MakeJobsState(Common::CellId("dc"), Common::Epoch(aEpoch));
  SetTeams(state,
           { { Common::TeamId("a"), 1, Amounts(4000), true },
             { Common::TeamId("b"), 2, Amounts(2000), false } });
  SetWorkerShapes(state, { { {}, Amounts(4000), static_cast<std::uint32_t>(aWorkers) } });
  return state;
}

} // namespace

CellSimulation::CellSimulation(const SimulationConfig& aConfig)
  : mConfig(aConfig)
  , mRandom(aConfig.mSeed)
  , mState(EmptyState(1, aConfig.mWorkers))
  , mWorkerContacts(aConfig.mWorkers)
  , mRoster(aConfig.mWorkers, 1)
{
  for (std::size_t i = 0; i < aConfig.mWorkers; ++i) {
    mAgents.emplace_back("w" + std::to_string(i), Amounts(4000), mChecker);
    const auto number = Placement::SetWorker(
      mIndex, { Common::WorkerId(mAgents[i].name()), {}, {}, {}, Amounts(4000) });
    Placement::SetGate(mIndex, number, Placement::Gate::Closed);
  }
}

CurrentTime
CellSimulation::now() const
{
  return { Common::Timestamp(1h + mTime),
           1'700'000'000s + std::chrono::duration_cast<Common::UnixMillis>(mTime) };
}

void
CellSimulation::submit()
{
  JobSpec spec;
  spec.mClient = Common::ClientId("c");
  spec.mTeam = Common::TeamId(mRandom.below(2) == 0 ? "a" : "b");
  spec.mRoute = Common::RouteId("r");
  spec.mTasks = 1 + static_cast<std::uint32_t>(mRandom.below(4));
  spec.mPerTask = Amounts(500 + 500 * static_cast<std::int64_t>(mRandom.below(4)));
  spec.mMaxAttempts = 1000;
  spec.mPriority = static_cast<std::int32_t>(mRandom.below(3));
  if (mRandom.below(4) == 0) {
    spec.mRestart = Tables::RestartPolicy::Never;
  }
  if (mRandom.below(2) == 0) {
    // Half of these keys repeat the last new one.
    spec.mKey = Common::IdempotencyKey(
      "k" + std::to_string(mRandom.below(2) == 0 ? mIdempotencyKeys : ++mIdempotencyKeys));
  }
  const auto submitted = SubmitJob(mState, spec, now());
  if (!submitted) {
    return;
  }
  if (submitted->mIsNew) {
    mSubmitted[submitted->mJob.str()] = spec;
  }
  if (submitted->mDurable || mConfig.mInjectedFault == InjectedFault::EarlyAcknowledge) {
    mChecker.acknowledged(submitted->mJob.str(), mSubmitted[submitted->mJob.str()]);
  }
}

void
CellSimulation::cancel()
{
  const std::vector<std::string> jobs = mChecker.acknowledgedJobs();
  if (jobs.empty()) {
    return;
  }
  const std::string& job = jobs[mRandom.below(jobs.size())];
  std::vector<TaskAction> actions;
  if (CancelJob(mState, Common::JobId(job), now(), actions)) {
    mChecker.cancelled(job);
    applyActions(std::move(actions));
  }
}

void
CellSimulation::schedule()
{
  const Placement::Policy policy;
  StartTasks(
    mState, now(), 8, [&](const PlacementRequest& aRequest) -> std::optional<Common::WorkerId> {
      Placement::Request request;
      request.mTicket = TicketOf(aRequest.mKey, aRequest.mAttempt);
      request.mNeed = aRequest.mNeed;
      const auto worker = Placement::PlaceTask(mIndex, request, policy, mRandom);
      return worker ? std::optional(Placement::NameOf(mIndex, *worker)) : std::nullopt;
    });
}

void
CellSimulation::applyActions(std::vector<TaskAction> aActions)
{
  for (TaskAction& action : aActions) {
    const auto worker = static_cast<std::size_t>(std::stoul(action.mWorker.str().substr(1)));
    mWorkerContacts[worker].mActions.push_back(std::move(action));
  }
}

void
CellSimulation::sendHeartbeat(std::size_t aWorker)
{
  mChecker.tick();
  WorkerContact& contact = mWorkerContacts[aWorker];
  Heartbeat heartbeat;
  heartbeat.mWorker = aWorker;
  heartbeat.mEpoch = mEpoch;
  heartbeat.mSentAt = mChecker.time();
  heartbeat.mIncarnation = contact.mIncarnation;
  WorkerCommands commands = PendingCommands(mState, Common::WorkerId(mAgents[aWorker].name()));
  heartbeat.mStarts = std::move(commands.mStarts);
  heartbeat.mActions = std::move(commands.mActions);
  for (TaskStart& start : heartbeat.mStarts) {
    if (mConfig.mInjectedFault == InjectedFault::DropCheckpoint) {
      start.mCheckpoint.clear();
    }
  }
  std::move(
    contact.mActions.begin(), contact.mActions.end(), std::back_inserter(heartbeat.mActions));
  contact.mActions.clear();
  mHeartbeats.push_back(std::move(heartbeat));
}

void
CellSimulation::deliverTo(const Heartbeat& aHeartbeat)
{
  if (mWorkerContacts[aHeartbeat.mWorker].mCutOff) {
    return;
  }
  if (auto reply =
        mAgents[aHeartbeat.mWorker].receive(aHeartbeat, mConfig.mRefuseProbability, mRandom)) {
    mReplies.push_back(std::move(*reply));
  }
}

/// Delivers a random message. It may be lost or stay queued, to be delivered again.
void
CellSimulation::deliver()
{
  mChecker.tick();
  const bool isReply = mHeartbeats.empty() || (!mReplies.empty() && mRandom.below(2) == 0);
  const std::size_t count = isReply ? mReplies.size() : mHeartbeats.size();
  if (count == 0) {
    return;
  }
  const auto index = static_cast<std::ptrdiff_t>(mRandom.below(count));
  const bool keep = mRandom.unit() < mConfig.mDuplicateProbability;
  const bool drop = mRandom.unit() < mConfig.mDropProbability;
  if (isReply) {
    const Reply reply = mReplies[static_cast<std::size_t>(index)];
    if (!keep) {
      mReplies.erase(mReplies.begin() + index);
    }
    if (!drop && !mWorkerContacts[reply.mWorker].mCutOff) {
      receive(reply);
    }
    return;
  }
  const Heartbeat heartbeat = mHeartbeats[static_cast<std::size_t>(index)];
  if (!keep) {
    mHeartbeats.erase(mHeartbeats.begin() + index);
  }
  if (!drop) {
    deliverTo(heartbeat);
  }
}

void
CellSimulation::receive(const Reply& aReply)
{
  WorkerContact& contact = mWorkerContacts[aReply.mWorker];
  if (aReply.mEpoch != mEpoch) {
    return;
  }
  Inventory inventory = aReply.mInventory;
  if (mConfig.mInjectedFault == InjectedFault::IgnoreReplyOrder) {
    inventory.mSequence = ++contact.mReceivedReplies;
  }
  if (IsStaleInventory(mState, inventory)) {
    return;
  }
  for (const TaskReport& report : inventory.mReports) {
    mChecker.reported(report);
  }
  std::vector<TaskAction> actions = ApplyInventory(mState, inventory, now());
  if (mConfig.mInjectedFault == InjectedFault::EarlyForget) {
    for (const TaskReport& report : inventory.mReports) {
      actions.push_back({ ActionKind::Forget, inventory.mWorker, report.mTask, report.mAttempt });
    }
  }
  applyActions(std::move(actions));
  contact.mIncarnation = inventory.mIncarnation.value();
  contact.mHeard = true;
  std::vector<Placement::Ticket> outstanding;
  if (mConfig.mInjectedFault != InjectedFault::DropReservations) {
    for (const UnconfirmedStart& start : UnconfirmedStarts(mState, inventory.mWorker)) {
      outstanding.push_back(TicketOf(start.mKey, start.mAttempt));
    }
  }
  const auto worker = Placement::FindWorker(mIndex, inventory.mWorker);
  Placement::ReportFree(mIndex, worker, aReply.mFree, outstanding);
  Placement::SetGate(mIndex, worker, Placement::Gate::Open);
  applyHealth();
}

void
CellSimulation::applyHealth()
{
  for (const HealthChange& change : TakeHealthChanges(mState, now())) {
    const auto worker = Placement::FindWorker(mIndex, change.mWorker);
    Placement::SetGate(mIndex,
                       worker,
                       change.mHealth == WorkerHealth::Good      ? Placement::Gate::Open
                       : change.mHealth == WorkerHealth::Probing ? Placement::Gate::Probe
                                                                 : Placement::Gate::Closed);
  }
}

void
CellSimulation::evict()
{
  if (mRandom.below(3) == 0) {
    applyActions(ReclaimQuota(mState, now(), 4));
    return;
  }
  const Common::WorkerId worker(mAgents[randomWorker()].name());
  const auto found = mState.mWorkerIndex.find(worker);
  if (found == mState.mWorkerIndex.end() || mState.mWorkers[found->second].mTasks.empty()) {
    return;
  }
  const auto& tasks = mState.mWorkers[found->second].mTasks;
  const TaskKey key = mState.mTasks[tasks[mRandom.below(tasks.size())]].mKey;
  std::vector<TaskAction> actions;
  EvictTask(mState, MakeTaskId(mState.mCell, key), now(), actions);
  applyActions(std::move(actions));
}

void
CellSimulation::write()
{
  const bool jobs = mRandom.below(2) == 0;
  const auto batch = jobs ? TakeJobBatch(mState, 1 << 19) : TakeProgressBatch(mState, 50);
  if (!batch) {
    return;
  }
  mWrites.push_back({ batch->mId, mNextKey++, EncodeSegment(batch->mSegment), false });
}

void
CellSimulation::acknowledge(std::uint64_t aBatch)
{
  for (const Common::JobId& job : MarkBatchWritten(mState, aBatch, now())) {
    mChecker.acknowledged(job.str(), mSubmitted[job.str()]);
  }
}

/// A write takes effect and is answered, takes effect without an answer (a later call then confirms
/// it), or fails.
void
CellSimulation::completeWrite()
{
  if (!mDelayedWrites.empty() && mRandom.below(4) == 0) {
    mStore[mDelayedWrites.back().mKey] = mDelayedWrites.back().mValue;
    mDelayedWrites.pop_back();
  }
  if (mWrites.empty()) {
    return;
  }
  const std::size_t index = mRandom.below(mWrites.size());
  PendingWrite& pendingWrite = mWrites[index];
  const std::uint64_t choice = mRandom.below(4);
  if (!pendingWrite.mApplied && choice == 0) {
    MarkBatchFailed(mState, pendingWrite.mBatch);
  } else {
    if (!pendingWrite.mApplied) {
      mStore[pendingWrite.mKey] = pendingWrite.mValue;
      mKnownStoreKeys.insert(pendingWrite.mKey);
      pendingWrite.mApplied = true;
    }
    if (choice == 1) {
      return;
    }
    acknowledge(pendingWrite.mBatch);
  }
  mWrites.erase(mWrites.begin() + static_cast<std::ptrdiff_t>(index));
}
