#include <algorithm>

#include "Daemon/Convert.h"
#include "Daemon/OwnerMembers.h"
#include "Observability/Log.h"

/// The half of OwnerMembers that looks at the agents: the roster that is wanted, silence, and the
/// views for entries.
namespace Daemon {

namespace Wire = Rpc::Generated;

namespace {

using Observability::Level;
using Observability::Log;

} // namespace

std::vector<RosterEntry>
OwnerMembers::wantedRoster() const
{
  std::vector<RosterEntry> roster;
  const std::lock_guard<std::mutex> lock(mMutex);
  // The order of the present roster is kept, since its first other agent is the deputy.
  const auto wanted = [&](const std::string& aInstance) -> const Agent* {
    const auto found = mAgents.find(aInstance);
    return found == mAgents.end() || found->second.mReleased ? nullptr : &found->second;
  };
  for (const RosterEntry& entry : mTerm.mRoster) {
    if (const Agent* agent = wanted(entry.mInstance)) {
      roster.push_back(agent->mEntry);
    }
  }
  for (const auto& [name, agent] : mAgents) {
    const bool listed =
      std::any_of(mTerm.mRoster.begin(), mTerm.mRoster.end(), [&, &id = name](const auto& aEntry) {
        return aEntry.mInstance == id;
      });
    if (!listed && !agent.mReleased && agent.mHeardInTerm) {
      roster.push_back(agent.mEntry);
    }
  }
  return roster;
}

void
OwnerMembers::proposeRoster(const std::vector<RosterEntry>& aRoster)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mTerm.mProposed = aRoster;
}

void
OwnerMembers::settleRoster(bool aWritten)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aWritten && mTerm.mProposed) {
    mTerm.mRoster = *mTerm.mProposed;
  }
  mTerm.mProposed.reset();
}

OwnerMembers::ClaimStanding
OwnerMembers::claimStanding()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ClaimStanding standing;
  standing.mMayAnswer = MayAnswerClaims(
    mTerm, mRuntime.mSettings.mTimes, mRuntime.mClock.now(), mRuntime.mClock.unixNow());
  standing.mTakeover = mTerm.mTakeoverUnix;
  return standing;
}

bool
OwnerMembers::cellSilent(Common::Timestamp aNow) const
{
  return std::none_of(mAgents.begin(), mAgents.end(), [&](const auto& aItem) {
    return aItem.second.mHeardInTerm &&
           aNow - aItem.second.mHeard <= mRuntime.mSettings.mTimes.mGoneAfter;
  });
}

void
OwnerMembers::sweep()
{
  const Config::TimeSettings& times = mRuntime.mSettings.mTimes;
  std::vector<std::string> silent;
  std::vector<std::string> released;
  bool releaseHeld = false;
  bool allHeard = true;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const Common::Timestamp now = mRuntime.mClock.now();
    const bool mayRelease = !cellSilent(now) || mDeclaredLost;
    bool allKnown = true;
    for (auto& [name, agent] : mAgents) {
      if (!agent.mSilent && now - agent.mHeard > times.mGoneAfter) {
        agent.mSilent = true;
        silent.push_back(agent.mInfo.worker);
        touch(agent);
      }
      const bool fenced = mDeclaredLost || (MayRestart(mTerm, now) &&
                                            FencePassed(mTerm, times, agent.mLastSent, now));
      if (agent.mSilent && !agent.mReleased && mayRelease && fenced) {
        agent.mReleased = true;
        released.push_back(agent.mInfo.worker);
      }
      allKnown = allKnown && (agent.mHeardInTerm || agent.mReleased);
      allHeard = allHeard && agent.mHeardInTerm;
    }
    releaseHeld = !mHeldReleased && allKnown && (mEpoch <= 1 || !mAgents.empty() || mDeclaredLost);
    mHeldReleased = mHeldReleased || releaseHeld;
  }
  for (const std::string& worker : silent) {
    Log(Level::Warning, "owner", "a worker is silent", { { "worker", worker } });
    mJobs->markSilent(worker);
  }
  for (const std::string& worker : released) {
    Log(Level::Warning, "owner", "a silent worker is released", { { "worker", worker } });
    mJobs->releaseWorker(worker);
  }
  if (releaseHeld) {
    mJobs->releaseHeld(allHeard);
  }
}

Wire::MemberView
OwnerMembers::viewOf(const Agent& aAgent, Common::Timestamp aNow) const
{
  Wire::MemberView view;
  view.info = aAgent.mInfo;
  view.endpoints = aAgent.mLast.endpoints;
  view.load = aAgent.mLast.load;
  view.suspect = aNow - aAgent.mHeard > mRuntime.mSettings.mTimes.mSuspectAfter;
  view.leaving = aAgent.mLast.leaving || aAgent.mDrain;
  view.revision = aAgent.mLast.revision;
  view.free = aAgent.mLast.free;
  view.total = aAgent.mLast.total;
  view.runningTasks = mJobs == nullptr ? 0 : mJobs->runningOn(aAgent.mInfo.worker);
  view.ageMicros = (aNow - aAgent.mHeard).count();
  view.role = "agent";
  return view;
}

Wire::MembersReply
OwnerMembers::members(std::int64_t aKnown, std::size_t aLimit) const
{
  Wire::MembersReply reply;
  reply.cell.cell = mCell;
  reply.cell.epoch = mEpoch;
  reply.cell.ownerAddress = mRuntime.mRpcAddress;
  reply.cell.ownerInstance = mRuntime.self().str();
  const auto known = static_cast<std::uint64_t>(std::max<std::int64_t>(aKnown, 0));
  const std::lock_guard<std::mutex> lock(mMutex);
  const Common::Timestamp now = mRuntime.mClock.now();
  std::vector<const Agent*> changed;
  for (const auto& [name, agent] : mAgents) {
    if (agent.mVersion > known && agent.mHeardInTerm) {
      changed.push_back(&agent);
    }
  }
  std::sort(changed.begin(), changed.end(), [](const Agent* aLeft, const Agent* aRight) {
    return aLeft->mVersion < aRight->mVersion;
  });
  reply.fromStart = aKnown == 0;
  reply.more = changed.size() > aLimit;
  reply.version = static_cast<std::int64_t>(mVersion);
  if (reply.more) {
    changed.resize(aLimit);
    reply.version = static_cast<std::int64_t>(changed.back()->mVersion);
  }
  for (const Agent* agent : changed) {
    if (agent->mSilent) {
      reply.gone.push_back(agent->mEntry.mInstance);
    } else {
      reply.members.push_back(viewOf(*agent, now));
    }
  }
  reply.changed = !changed.empty();
  return reply;
}

std::vector<Wire::UsageRecord>
OwnerMembers::usage() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return ToWire(Metering::TotalUsage(mUse));
}

std::optional<RosterEntry>
OwnerMembers::successor() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& [name, agent] : mAgents) {
    if (agent.mHeardInTerm && !agent.mSilent && !agent.mLast.leaving && !agent.mDrain &&
        name != mRuntime.self().str()) {
      return agent.mEntry;
    }
  }
  return std::nullopt;
}

} // namespace Daemon
