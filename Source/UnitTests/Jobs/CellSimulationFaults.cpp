#include <algorithm>

#include "UnitTests/Jobs/CellSimulation.h"

using namespace std::chrono_literals;
using namespace Jobs;

/// Replaces the store values that the owner knows of by a snapshot.
void
CellSimulation::snapshot()
{
  if (!mWrites.empty()) {
    return;
  }
  std::set<std::uint64_t> added;
  for (const Segment& segment : MakeSnapshot(mState, 2000)) {
    added.insert(mNextKey);
    mStore[mNextKey++] = EncodeSegment(segment);
  }
  for (const std::uint64_t old : mKnownStoreKeys) {
    mStore.erase(old);
  }
  mKnownStoreKeys = std::move(added);
}

/// Cuts a random worker off, reconnects it, or lets its tenure end.
void
CellSimulation::changeConnection()
{
  const std::size_t worker = randomWorker();
  WorkerContact& contact = mWorkerContacts[worker];
  if (!contact.mCutOff) {
    contact.mCutOff = true;
    MarkSilent(mState, Common::WorkerId(mAgents[worker].name()), now());
  } else if (mRandom.below(2) == 0) {
    contact.mCutOff = false;
  } else {
    mAgents[worker].loseTenure();
    // Tenure counts from the time at which a heartbeat was sent, so heartbeats still in flight
    // grant none.
    std::erase_if(mHeartbeats,
                  [&](const Heartbeat& aHeartbeat) { return aHeartbeat.mWorker == worker; });
  }
}

void
CellSimulation::release(std::size_t aWorker)
{
  const SimulatedAgent& agent = mAgents[aWorker];
  const bool stopped = !agent.alive() || (mWorkerContacts[aWorker].mCutOff && !agent.hasTenure());
  if (!stopped && mConfig.mInjectedFault != InjectedFault::EarlyWorkerRelease) {
    return;
  }
  ReleaseWorker(mState, Common::WorkerId(agent.name()), now());
  mWorkerContacts[aWorker].mReleased = true;
  Placement::SetSchedulability(mIndex,
                               Placement::FindWorker(mIndex, Common::WorkerId(agent.name())),
                               Placement::Schedulability::Unschedulable);
}

void
CellSimulation::releaseHeld()
{
  bool allHeard = true;
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    const WorkerContact& contact = mWorkerContacts[i];
    if (!contact.mHeard && !contact.mReleased &&
        mConfig.mInjectedFault != InjectedFault::EarlyTakeoverRelease) {
      return;
    }
    allHeard =
      allHeard && contact.mHeard && !contact.mReleased && contact.mIncarnation == mRoster[i];
  }
  if (mHeld) {
    ReleaseHeldJobs(mState, allHeard, now());
    mHeld = false;
  }
  if (IsProgressDurable(mState)) {
    for (std::size_t i = 0; i < mAgents.size(); ++i) {
      mRoster[i] = mWorkerContacts[i].mHeard ? mWorkerContacts[i].mIncarnation : mRoster[i];
    }
  }
}

void
CellSimulation::takeOver()
{
  for (PendingWrite& pendingWrite : mWrites) {
    if (!pendingWrite.mApplied && mRandom.below(2) == 0) {
      mDelayedWrites.push_back(std::move(pendingWrite));
    }
  }
  mWrites.clear();
  mReplies.clear();
  ++mEpoch;
  mChecker.ownerChanged();
  std::vector<std::string> values;
  mKnownStoreKeys.clear();
  for (const auto& [number, value] : mStore) {
    values.push_back(value);
    mKnownStoreKeys.insert(number);
  }
  JobsState empty = MakeJobsState(Common::CellId("dc"), Common::Epoch(mEpoch));
  empty.mTeams = mState.mTeams;
  empty.mTeamIndex = mState.mTeamIndex;
  empty.mShapes = mState.mShapes;
  empty.mCapacity = mState.mCapacity;
  for (Team& team : empty.mTeams) {
    team.mUsed = {};
    team.mQueue.clear();
  }
  std::vector<TaskAction> actions;
  auto rebuilt = Rebuild(std::move(empty), values, {}, now(), actions);
  if (!rebuilt) {
    throw std::runtime_error(rebuilt.error().mText);
  }
  mState = std::move(*rebuilt);
  mHeld = true;
  mIndex = {};
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    const bool wasCutOff = mWorkerContacts[i].mCutOff;
    mWorkerContacts[i] = {};
    mWorkerContacts[i].mCutOff = wasCutOff;
    const auto number = Placement::SetWorker(
      mIndex,
      { Common::WorkerId(mAgents[i].name()),
        {},
        {},
        {},
        { Common::MilliCores(4000), Common::Bytes(std::int64_t{ 4000 } << 20), {} } });
    Placement::SetSchedulability(mIndex, number, Placement::Schedulability::Unschedulable);
  }
}

void
CellSimulation::injectRandomFault()
{
  const std::size_t worker = randomWorker();
  switch (mRandom.below(8)) {
    case 0:
      takeOver();
      break;
    case 1:
      if (mAgents[worker].alive()) {
        mAgents[worker].crash();
      } else {
        mAgents[worker].replaceMachine();
      }
      break;
    case 2:
      if (mAgents[worker].alive()) {
        mAgents[worker].restart();
      }
      break;
    case 3:
      cancel();
      break;
    case 4:
      snapshot();
      break;
    case 5:
      mTime += 20s;
      break;
    default:
      changeConnection();
      break;
  }
}

void
CellSimulation::step()
{
  mTime += 100ms;
  const std::uint64_t choice = mRandom.below(100);
  if (choice < 6) {
    submit();
  } else if (choice < 18) {
    schedule();
  } else if (choice < 34) {
    sendHeartbeat(randomWorker());
  } else if (choice < 66) {
    deliver();
  } else if (choice < 76) {
    constexpr TaskState kNewStates[] = { TaskState::Finished, TaskState::Finished,
                                         TaskState::Running,  TaskState::Failed,
                                         TaskState::Lost,     TaskState::Evicted };
    mAgents[randomWorker()].stepTask(kNewStates[mRandom.below(6)], mRandom);
  } else if (choice < 84) {
    write();
    completeWrite();
  } else if (choice < 88) {
    evict();
  } else if (choice < 94) {
    release(randomWorker());
    releaseHeld();
  } else {
    injectRandomFault();
  }
}

void
CellSimulation::repairFaults()
{
  mConfig.mDropProbability = 0;
  mConfig.mDuplicateProbability = 0;
  mConfig.mRefuseProbability = 0;
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    mWorkerContacts[i].mCutOff = false;
    if (!mAgents[i].alive()) {
      mAgents[i].replaceMachine();
    }
  }
}

bool
CellSimulation::isIdle() const
{
  for (const std::string& job : mChecker.acknowledgedJobs()) {
    const auto summary = ShowJob(mState, Common::JobId(job));
    if (!summary || summary->mWaiting + summary->mRunning + summary->mUncertain > 0) {
      return false;
    }
  }
  return true;
}

void
CellSimulation::runUntilIdle()
{
  for (int round = 0; round < 200 && !isIdle(); ++round) {
    mTime += 5s;
    schedule();
    for (std::size_t i = 0; i < mAgents.size(); ++i) {
      sendHeartbeat(i);
    }
    while (!mHeartbeats.empty() || !mReplies.empty()) {
      deliver();
    }
    for (SimulatedAgent& agent : mAgents) {
      agent.stepTask(TaskState::Finished, mRandom);
    }
    write();
    completeWrite();
    applyHealth();
    releaseHeld();
  }
}

void
CellSimulation::run()
{
  for (std::uint32_t i = 0; i < mConfig.mSteps && mChecker.violations().empty(); ++i) {
    step();
  }
  if (!mChecker.violations().empty()) {
    return;
  }
  repairFaults();
  runUntilIdle();
  for (const std::string& job : mChecker.acknowledgedJobs()) {
    const auto summary = ShowJob(mState, Common::JobId(job));
    mChecker.checkSummary(job, summary ? &*summary : nullptr);
  }
}
