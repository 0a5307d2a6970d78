#include "UnitTests/Ownership/Simulation.h"

namespace World {

Simulation::Simulation(const Options& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed * 0x9E3779B97F4A7C15ULL + 1)
{
  mOwnerSettings = mSettings;
  if (mOptions.mPlant == Plant::NoMajority) {
    mOwnerSettings.mMajorityWindow = 24h;
    mOwnerSettings.mRestartWindow = 24h;
  } else if (mOptions.mPlant == Plant::ShortWait) {
    mOwnerSettings.mMargin = -38s;
  }
  mAgents.resize(static_cast<std::size_t>(mOptions.mAgents));
  mOwners.resize(static_cast<std::size_t>(mOptions.mOwners));
  for (int i = 0; i < mOptions.mAgents; ++i) {
    mAgents[static_cast<std::size_t>(i)].mIndex = i;
    startAgent(mAgents[static_cast<std::size_t>(i)]);
  }
  // Two agents come later and change the roster.
  mAgents[4 % mAgents.size()].mDown = true;
  mAgents[5 % mAgents.size()].mDown = true;
  for (int i = 0; i < mOptions.mOwners; ++i) {
    mOwners[static_cast<std::size_t>(i)].mIndex = i;
    startOwner(mOwners[static_cast<std::size_t>(i)]);
  }
}

Result
Simulation::run()
{
  const Timestamp faultEnd = mNow + mOptions.mFaultTime;
  const Timestamp end = faultEnd + mOptions.mHealTime;
  bool healed = false;
  while (mNow < end && mResult.mViolation.empty()) {
    mStoreClock.advance(kStep);
    mNow += kStep;
    if (mNow < faultEnd) {
      disturb();
    } else if (!healed) {
      heal();
      healed = true;
    } else if (mNow >= faultEnd + 60s) {
      declareLostIfStuck();
    }
    step();
  }
  for (TaskName task = 0; task < mOptions.mTasks; ++task) {
    for (const Agent& agent : mAgents) {
      mResult.mRunningAtEnd += agent.mWorker.runs(task, mNow) ? 1 : 0;
    }
  }
  return mResult;
}

void
Simulation::startProcess(Process& aProcess)
{
  // Clocks differ by up to 6% between two processes; the margin allows for 5 s in 45 s.
  aProcess.mRate = 0.97 + 0.06 * mRandom.unit();
  aProcess.mStart = mNow - upTo(1000s);
  aProcess.mPausedUntil = mNow;
  aProcess.mDown = false;
}

void
Simulation::startAgent(Agent& aAgent)
{
  // Calls of the process that died have reached the worker or never will.
  for (auto& [at, call] : aAgent.mWorker.mInbox.mWaiting) {
    if (chance(0.5)) {
      call();
    }
  }
  aAgent.mWorker.mInbox.mWaiting.clear();
  aAgent.mInbox.mWaiting.clear();
  startProcess(aAgent);
  aAgent.mTenure = { Incarnation(++mIncarnations), {}, 0, {} };
  aAgent.mHeld.clear();
  aAgent.mStarting.clear();
  for (const auto& [task, running] : aAgent.mWorker.mTasks) {
    if (aAgent.mWorker.runs(task, mNow)) {
      aAgent.mHeld[task] = running.mAttempt;
      aAgent.mHighestAttempt[task] = running.mAttempt;
    }
  }
  aAgent.mLastHeard = aAgent.local(mNow);
  aAgent.mNextJoin = aAgent.mLastHeard;
  aAgent.mNextRenewal = aAgent.mLastHeard;
}

void
Simulation::startOwner(Owner& aOwner)
{
  startProcess(aOwner);
  aOwner.mInbox.mWaiting.clear();
  aOwner.mSlots.clear();
  const InstanceId name("owner" + std::to_string(aOwner.mIndex));
  aOwner.mState = MakeOwner(mOwnerSettings,
                            { name, Incarnation(++mIncarnations), "" },
                            name.str() + "/" + std::to_string(++aOwner.mRun),
                            mRandom.next(),
                            aOwner.local(mNow));
}

std::optional<Timestamp>
Simulation::arrival(int aOwner, int aAgent)
{
  if (isCut(aOwner, aAgent)) {
    // Some messages wait in buffers until the cut ends.
    return chance(0.3) ? std::optional(mCut[{ aOwner, aAgent }] + upTo(2s)) : std::nullopt;
  }
  if (mHealed) {
    return mNow + upTo(100ms);
  }
  if (chance(0.02)) {
    return std::nullopt;
  }
  return mNow + (chance(0.03) ? upTo(40s) : upTo(300ms));
}

void
Simulation::observeStart(const Agent& aAgent, TaskName aTask)
{
  ++mResult.mStarts;
  mResult.mRestarts += mEverStarted.insert(aTask).second ? 0 : 1;
  for (const Agent& other : mAgents) {
    if (other.mWorker.runs(aTask, mNow)) {
      violation("task " + std::to_string(aTask) + " starts on " + aAgent.name().str() +
                " while it runs on " + other.name().str());
    }
  }
}

void
Simulation::observeKeys(const Owner& aOwner)
{
  const Timestamp now = aOwner.local(mNow);
  const Epoch epoch = aOwner.mState.mRecord.mEpoch;
  if (MayGrantKeys(aOwner.mState, now)) {
    mKeyEpoch = std::max(mKeyEpoch, epoch);
    if (epoch < mKeyEpoch) {
      violation("two owners grant keys");
    }
  }
}

void
Simulation::violation(const std::string& aText)
{
  if (mResult.mViolation.empty()) {
    mResult.mViolation = aText + " at " + std::to_string((mNow - Timestamp(1h)) / 1ms) + " ms";
  }
}

void
Simulation::step()
{
  mLateWrites.run(mNow);
  for (Agent& agent : mAgents) {
    agent.mWorker.mInbox.run(mNow);
    if (agent.runs(mNow)) {
      agent.mInbox.run(mNow);
      tendTasks(agent);
      join(agent);
    }
  }
  for (Owner& owner : mOwners) {
    if (owner.runs(mNow)) {
      owner.mInbox.run(mNow);
      step(owner, Tick{});
      placeTasks(owner);
      observeKeys(owner);
    }
  }
}

Result
Run(const Options& aOptions)
{
  return Simulation(aOptions).run();
}

} // namespace World
