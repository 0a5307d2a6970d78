#include "UnitTests/Ownership/Simulation.h"

namespace World {

void
Simulation::receive(Agent& aAgent,
                    Owner& aOwner,
                    const HeartbeatGrant& aGrant,
                    const Report& aStarts,
                    Timestamp aSentAt,
                    int aRun)
{
  const Timestamp now = aAgent.local(mNow);
  HeartbeatGrant grant = aGrant;
  if (mOptions.mPlant == Plant::NoEpochFence && grant.mEpoch < aAgent.mTenure.mHighestEpoch) {
    aAgent.mTenure.mHighestEpoch = {};
  } else if (mOptions.mPlant == Plant::NoSequence) {
    aAgent.mTenure.mLastSequence = 0;
  } else if (mOptions.mPlant == Plant::TenureFromArrival && grant.mBasis) {
    grant.mBasis = ToAgentClock(now);
  } else if (mOptions.mPlant == Plant::OldIncarnation) {
    aAgent.mTenure.mIncarnation = grant.mTarget;
  }
  const bool accepted = ApplyHeartbeat(aAgent.mTenure, grant, mSettings, now);
  if (accepted) {
    aAgent.mLastHeard = now;
    for (const auto& [task, attempt] : aStarts) {
      start(aAgent, task, attempt, now);
    }
    for (Owner& other : mOwners) {
      if (other.mIndex != aOwner.mIndex && other.mIndex == aAgent.mIndex && other.runs(mNow)) {
        step(other, OwnerHeard{});
      }
    }
  }
  const HeartbeatReply reply{ aAgent.name(),    aAgent.mTenure.mIncarnation,
                              grant.mEpoch,     aSentAt,
                              accepted,         aAgent.mTenure.mHighestEpoch,
                              ToAgentClock(now) };
  const auto at = arrival(aOwner.mIndex, aAgent.mIndex);
  if (!at) {
    return;
  }
  aOwner.mInbox.add(*at, [this, &aOwner, reply, held = aAgent.mHeld, grant, aRun] {
    if (aOwner.mRun == aRun) {
      onReply(aOwner, reply, grant.mSequence, held);
    }
  });
}

void
Simulation::start(Agent& aAgent, TaskName aTask, std::int64_t aAttempt, Timestamp aNow)
{
  const auto lease = PlatformLeaseFor(aAgent.mTenure, mSettings, aNow);
  if (!lease || aAttempt <= aAgent.mHighestAttempt[aTask] || aAgent.mHeld.count(aTask) > 0) {
    return;
  }
  aAgent.mHighestAttempt[aTask] = aAttempt;
  aAgent.mHeld[aTask] = aAttempt;
  aAgent.mStarting.insert(aTask);
  toWorker(aAgent, [this, &aAgent, aTask, aAttempt, ttl = *lease] {
    aAgent.mStarting.erase(aTask);
    observeStart(aAgent, aTask);
    aAgent.mWorker.mTasks[aTask] = { aAttempt, mNow + ttl };
  });
}

void
Simulation::toWorker(Agent& aAgent, std::function<void()> aCall)
{
  const bool late = !mHealed && chance(0.02);
  aAgent.mWorker.mInbox.add(mNow + (late ? upTo(9s) : Duration(0)), std::move(aCall));
}

void
Simulation::tendTasks(Agent& aAgent)
{
  const Timestamp now = aAgent.local(mNow);
  if (now < aAgent.mNextRenewal) {
    return;
  }
  aAgent.mNextRenewal = now + 2s;
  const auto lease = PlatformLeaseFor(aAgent.mTenure, mSettings, now);
  const Incarnation incarnation = aAgent.mTenure.mIncarnation;
  for (const auto& [task, attempt] : aAgent.mHeld) {
    if (aAgent.mStarting.count(task) > 0) {
      continue;
    }
    toWorker(aAgent, [this, &aAgent, name = task, number = attempt, lease, incarnation] {
      auto& tasks = aAgent.mWorker.mTasks;
      const bool found = aAgent.mWorker.runs(name, mNow) && tasks[name].mAttempt == number;
      if (found && lease) {
        tasks[name].mLeaseEnds = mNow + *lease;
        return;
      }
      if (found) {
        tasks.erase(name);
      }
      // Ended, stopped, or not found: the agent no longer holds it.
      const auto held = aAgent.mHeld.find(name);
      if (aAgent.mTenure.mIncarnation == incarnation && held != aAgent.mHeld.end() &&
          held->second == number) {
        aAgent.mHeld.erase(held);
      }
    });
  }
}

void
Simulation::join(Agent& aAgent)
{
  const Timestamp now = aAgent.local(mNow);
  if (now - aAgent.mLastHeard < 3s || now < aAgent.mNextJoin) {
    return;
  }
  aAgent.mNextJoin = now + 2s;
  for (Owner& owner : mOwners) {
    if (const auto at = arrival(owner.mIndex, aAgent.mIndex)) {
      owner.mInbox.add(
        *at, [this, &owner, member = aAgent.member()] { step(owner, AgentJoined{ member }); });
    }
  }
}

} // namespace World
