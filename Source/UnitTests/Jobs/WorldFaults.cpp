#include <algorithm>

#include "UnitTests/Jobs/World.h"

using namespace std::chrono_literals;
using namespace Jobs;

/// Replaces the store values that the owner knows of by a snapshot.
void
World::snapshot()
{
  if (!mWrites.empty()) {
    return;
  }
  std::set<std::uint64_t> added;
  for (const Segment& segment : MakeSnapshot(mState, 2000)) {
    added.insert(mNextKey);
    mStore[mNextKey++] = EncodeSegment(segment);
  }
  for (const std::uint64_t old : mKnown) {
    mStore.erase(old);
  }
  mKnown = std::move(added);
}

/// Cuts a worker off, brings it back, or lets its tenure end.
void
World::cutOff()
{
  const std::size_t worker = anyWorker();
  Contact& contact = mContacts[worker];
  if (!contact.mCutOff) {
    contact.mCutOff = true;
    MarkSilent(mState, Common::WorkerId(mAgents[worker].name()), now());
  } else if (mRandom.below(2) == 0) {
    contact.mCutOff = false;
  } else {
    mAgents[worker].loseTenure();
    // Tenure counts from the time a heartbeat was sent, so those on the way grant none.
    std::erase_if(mHeartbeats,
                  [&](const Heartbeat& aHeartbeat) { return aHeartbeat.mWorker == worker; });
  }
}

void
World::release(std::size_t aWorker)
{
  const Agent& agent = mAgents[aWorker];
  const bool stopped = !agent.alive() || (mContacts[aWorker].mCutOff && !agent.hasTenure());
  if (!stopped && mConfig.mPlanted != Planted::DishonestFence) {
    return;
  }
  ReleaseWorker(mState, Common::WorkerId(agent.name()), now());
  mContacts[aWorker].mReleased = true;
  Placement::SetSchedulability(mIndex,
                               Placement::FindWorker(mIndex, Common::WorkerId(agent.name())),
                               Placement::Schedulability::Unschedulable);
}

void
World::releaseHeld()
{
  bool allHeard = true;
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    const Contact& contact = mContacts[i];
    if (!contact.mHeard && !contact.mReleased && mConfig.mPlanted != Planted::EarlyRelease) {
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
      mRoster[i] = mContacts[i].mHeard ? mContacts[i].mIncarnation : mRoster[i];
    }
  }
}

void
World::takeOver()
{
  for (Write& item : mWrites) {
    if (!item.mApplied && mRandom.below(2) == 0) {
      mLate.push_back(std::move(item));
    }
  }
  mWrites.clear();
  mReplies.clear();
  ++mEpoch;
  mChecker.ownerChanged();
  std::vector<std::string> values;
  mKnown.clear();
  for (const auto& [number, value] : mStore) {
    values.push_back(value);
    mKnown.insert(number);
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
    const bool cut = mContacts[i].mCutOff;
    mContacts[i] = {};
    mContacts[i].mCutOff = cut;
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
World::faultStep()
{
  const std::size_t worker = anyWorker();
  switch (mRandom.below(8)) {
    case 0:
      takeOver();
      break;
    case 1:
      if (mAgents[worker].alive()) {
        mAgents[worker].die();
      } else {
        mAgents[worker].revive();
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
      cutOff();
      break;
  }
}

void
World::step()
{
  mTime += 100ms;
  const std::uint64_t choice = mRandom.below(100);
  if (choice < 6) {
    submit();
  } else if (choice < 18) {
    schedule();
  } else if (choice < 34) {
    sendHeartbeat(anyWorker());
  } else if (choice < 66) {
    deliver();
  } else if (choice < 76) {
    constexpr TaskState kHow[] = { TaskState::Finished, TaskState::Finished, TaskState::Running,
                                   TaskState::Failed,   TaskState::Lost,     TaskState::Evicted };
    mAgents[anyWorker()].stepTask(kHow[mRandom.below(6)], mRandom);
  } else if (choice < 84) {
    write();
    settleWrite();
  } else if (choice < 88) {
    evict();
  } else if (choice < 94) {
    release(anyWorker());
    releaseHeld();
  } else {
    faultStep();
  }
}

void
World::heal()
{
  mConfig.mDrop = 0;
  mConfig.mDuplicate = 0;
  mConfig.mRefuse = 0;
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    mContacts[i].mCutOff = false;
    if (!mAgents[i].alive()) {
      mAgents[i].revive();
    }
  }
}

bool
World::atRest() const
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
World::rest()
{
  for (int round = 0; round < 200 && !atRest(); ++round) {
    mTime += 5s;
    schedule();
    for (std::size_t i = 0; i < mAgents.size(); ++i) {
      sendHeartbeat(i);
    }
    while (!mHeartbeats.empty() || !mReplies.empty()) {
      deliver();
    }
    for (Agent& agent : mAgents) {
      agent.stepTask(TaskState::Finished, mRandom);
    }
    write();
    settleWrite();
    applyHealth();
    releaseHeld();
  }
}

void
World::run()
{
  for (std::uint32_t i = 0; i < mConfig.mSteps && mChecker.faults().empty(); ++i) {
    step();
  }
  if (!mChecker.faults().empty()) {
    return;
  }
  heal();
  rest();
  for (const std::string& job : mChecker.acknowledgedJobs()) {
    const auto summary = ShowJob(mState, Common::JobId(job));
    mChecker.shown(job, summary ? &*summary : nullptr);
  }
}
