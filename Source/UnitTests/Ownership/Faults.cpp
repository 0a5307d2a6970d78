#include "UnitTests/Ownership/Simulation.h"

namespace World {

void
Simulation::disturb()
{
  // Some runs have few other faults, so that a long partition is not broken off by them.
  const double real = std::chrono::duration<double>(kStep).count();
  const double second = real * (mOptions.mSeed % 2 == 0 ? 0.2 : 1);
  if (chance(second / 25)) {
    any(mOwners).mPausedUntil = mNow + upTo(80s);
  }
  if (chance(second / 40)) {
    any(mAgents).mPausedUntil = mNow + upTo(80s);
  }
  if (chance(second / 15)) {
    cutSome();
  }
  if (chance(real / 60)) {
    partition();
  }
  if (chance(second / 60)) {
    mStoreCut[static_cast<int>(mRandom.below(mOwners.size()))] = mNow + upTo(60s);
  }
  if (chance(second / 120)) {
    mStoreDownUntil = mNow + upTo(90s);
  }
  if (chance(second / 100)) {
    mStore.lapseLeases();
  }
  if (chance(second / 40)) {
    startAgent(any(mAgents));
  }
  if (chance(second / 80)) {
    any(mAgents).mDown = true;
  }
  if (chance(second / 60)) {
    startOwner(any(mOwners));
  }
  if (chance(second / 100)) {
    handOver(any(mOwners));
  }
}

void
Simulation::cutSome()
{
  const Timestamp until = mNow + upTo(100s);
  const bool oneOwner = chance(0.7);
  const int owner = static_cast<int>(mRandom.below(mOwners.size()));
  const int agent = static_cast<int>(mRandom.below(mAgents.size()));
  for (int i = 0; i < mOptions.mOwners; ++i) {
    for (int j = 0; j < mOptions.mAgents; ++j) {
      const bool chosen = oneOwner ? i == owner && chance(0.6) : j == agent && chance(0.7);
      if (chosen) {
        mCut[{ i, j }] = until;
      }
    }
  }
}

void
Simulation::partition()
{
  const Timestamp until = mNow + upTo(150s);
  const int lonely = static_cast<int>(mRandom.below(mOwners.size()));
  for (int j = 0; j < mOptions.mAgents; ++j) {
    const bool withLonely = chance(0.4);
    for (int i = 0; i < mOptions.mOwners; ++i) {
      if ((i == lonely) != withLonely) {
        mCut[{ i, j }] = until;
      }
    }
  }
  if (chance(0.7)) {
    mStoreCut[lonely] = until;
  }
}

void
Simulation::handOver(Owner& aOwner)
{
  const Owner& successor = any(mOwners);
  if (aOwner.runs(mNow)) {
    step(aOwner, HandOver{ successor.mState.mSelf.mInstance });
    aOwner.mInbox.add(mNow + 5s, [this, &aOwner] { startOwner(aOwner); });
  }
}

void
Simulation::heal()
{
  mCut.clear();
  mStoreCut.clear();
  mStoreDownUntil = mNow;
  mHealed = true;
  for (Agent& agent : mAgents) {
    agent.mPausedUntil = mNow;
    if (agent.mDown) {
      startAgent(agent);
    }
  }
  for (Owner& owner : mOwners) {
    owner.mPausedUntil = mNow;
  }
}

void
Simulation::declareLostIfStuck()
{
  for (Owner& owner : mOwners) {
    if (owner.mState.mRole == Role::Owner && !owner.mState.mMajorityAt) {
      step(owner, DeclareLost{});
    }
  }
}

} // namespace World
