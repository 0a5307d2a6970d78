#include "Ownership/Fence.h"
#include "Ownership/Transitions.h"

namespace Ownership {

namespace {

// Sets mMajorityAt once enough of the recorded roster accepted the epoch. An empty roster needs no
// acceptance: nobody could be granted tenure under it.
void
NoteAcceptance(OwnerState& aState, Timestamp aNow)
{
  if (aState.mMajorityAt) {
    return;
  }
  std::size_t accepted = 0;
  for (const RosterMember& member : aState.mTakeoverRoster) {
    const auto found = aState.mAgents.find(member.mInstance);
    const bool counts = found != aState.mAgents.end() && found->second.mAccepted &&
                        found->second.mMember.mIncarnation == member.mIncarnation;
    accepted += counts ? 1 : 0;
  }
  const std::size_t size = aState.mTakeoverRoster.size();
  if (size == 0 || accepted >= size / 2 + 1) {
    aState.mMajorityAt = aNow;
  }
}

AgentView&
ViewOf(OwnerState& aState, const RosterMember& aMember, Timestamp aNow)
{
  const auto [at, added] = aState.mAgents.try_emplace(aMember.mInstance);
  AgentView& view = at->second;
  if (added) {
    view.mMember = aMember;
    view.mNextHeartbeat = aNow;
    view.mSince = aNow;
  } else if (aMember.mIncarnation > view.mMember.mIncarnation) {
    // mLastReply stays: the earlier process may still have tenure.
    view.mMember = aMember;
    view.mAccepted = false;
    view.mAckSent.reset();
    view.mBasis.reset();
    view.mNextHeartbeat = aNow;
  }
  return view;
}

bool
IsOnRoster(const OwnerState& aState, const Common::InstanceId& aInstance)
{
  for (const RosterMember& member : aState.mRecord.mRoster) {
    if (member.mInstance == aInstance) {
      return true;
    }
  }
  return false;
}

// Forgets agents that were dropped from the roster or never got on it, and stay silent.
void
ForgetSilent(OwnerState& aState, Timestamp aNow)
{
  const Duration limit = SilenceLimit(aState.mSettings);
  for (auto at = aState.mAgents.begin(); at != aState.mAgents.end();) {
    const auto agent = at++;
    const Timestamp last = agent->second.mLastReply.value_or(agent->second.mSince);
    const bool pending = aState.mPending.has_value();
    if (!pending && aNow - last >= limit && TakeoverWaitOver(aState, aNow) &&
        !IsOnRoster(aState, agent->first)) {
      aState.mAgents.erase(agent);
    }
  }
}

} // namespace

void
BeginTerm(OwnerState& aState, Timestamp aNow, Actions& aActions)
{
  aState.mRole = Role::Owner;
  aState.mAgents.clear();
  aState.mMajorityAt.reset();
  aState.mDeclaredLost = false;
  aState.mHandOver.reset();
  aState.mNextRenewal = aNow + aState.mSettings.mRenewEvery;
  aState.mNextRoster = aNow;
  aState.mTakeoverRoster = aState.mRecord.mRoster;
  for (const RosterMember& member : aState.mTakeoverRoster) {
    ViewOf(aState, member, aNow);
  }
  NoteAcceptance(aState, aNow);
  aActions.emplace_back(OwnershipGained{ aState.mRecord.mEpoch });
}

void
EndTerm(OwnerState& aState, LossReason aReason, Timestamp aNow, Actions& aActions)
{
  aActions.emplace_back(OwnershipLost{ aState.mRecord.mEpoch, aReason });
  aState.mRole = Role::Follower;
  aState.mPending.reset();
  aState.mPendingLost = false;
  aState.mMustRead = false;
  aState.mNeedLease = false;
  aState.mAgents.clear();
  aState.mTakeoverRoster.clear();
  aState.mMajorityAt.reset();
  aState.mDeclaredLost = false;
  aState.mHandOver.reset();
  aState.mNextLook = aNow + aState.mSettings.mOwnerSilence + RetryDelay(aState);
}

void
SendHeartbeats(OwnerState& aState, Timestamp aNow, Actions& aActions)
{
  ForgetSilent(aState, aNow);
  for (auto& [instance, agent] : aState.mAgents) {
    if (aNow < agent.mNextHeartbeat) {
      continue;
    }
    agent.mNextHeartbeat = aNow + aState.mSettings.mHeartbeatEvery;
    const HeartbeatGrant grant{ aState.mRecord.mEpoch,
                                agent.mMember.mIncarnation,
                                ++aState.mSequence,
                                agent.mBasis,
                                TenureToGrant(aState, agent, aNow) };
    aActions.emplace_back(SendHeartbeat{ agent.mMember, grant, aNow });
  }
}

void
OnHeartbeatReply(OwnerState& aState,
                 const HeartbeatReply& aEvent,
                 Timestamp aNow,
                 Actions& aActions)
{
  if (aState.mRole != Role::Owner || aEvent.mEpoch != aState.mRecord.mEpoch) {
    return;
  }
  if (aEvent.mHighestEpoch > aState.mRecord.mEpoch) {
    return EndTerm(aState, LossReason::Replaced, aNow, aActions);
  }
  const auto found = aState.mAgents.find(aEvent.mInstance);
  if (found == aState.mAgents.end()) {
    return;
  }
  RosterMember member = found->second.mMember;
  member.mIncarnation = aEvent.mIncarnation;
  AgentView& agent = ViewOf(aState, member, aNow);
  agent.mLastReply = aNow;
  if (!aEvent.mAccepted || agent.mMember.mIncarnation != aEvent.mIncarnation) {
    return;
  }
  agent.mAccepted = true;
  agent.mAckSent = std::max(agent.mAckSent.value_or(aEvent.mSentAt), aEvent.mSentAt);
  agent.mBasis = std::max(agent.mBasis.value_or(aEvent.mClock), aEvent.mClock);
  NoteAcceptance(aState, aNow);
}

void
OnAgentJoined(OwnerState& aState, const AgentJoined& aEvent, Timestamp aNow)
{
  if (aState.mRole == Role::Owner) {
    ViewOf(aState, aEvent.mMember, aNow);
  }
}

} // namespace Ownership
