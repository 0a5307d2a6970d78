#include "Ownership/Fence.h"

#include <algorithm>
#include <functional>

namespace Ownership {

namespace {

std::optional<Timestamp>
MajorityOf(const std::vector<RosterMember>& aRoster, const OwnerState& aState)
{
  std::vector<Timestamp> sent;
  for (const RosterMember& member : aRoster) {
    const auto found = aState.mAgents.find(member.mInstance);
    if (found != aState.mAgents.end() && found->second.mAckSent &&
        found->second.mMember.mIncarnation == member.mIncarnation) {
      sent.push_back(*found->second.mAckSent);
    }
  }
  const std::size_t needed = aRoster.size() / 2 + 1;
  if (aRoster.empty() || sent.size() < needed) {
    return std::nullopt;
  }
  std::sort(sent.begin(), sent.end(), std::greater<>());
  return sent[needed - 1];
}

bool
MajorityWithin(const OwnerState& aState, Duration aWindow, Timestamp aNow)
{
  const auto sent = MajorityAckSent(aState);
  return aState.mRole == Role::Owner && sent && aNow - *sent <= aWindow;
}

bool
IsListed(const std::vector<RosterMember>& aRoster, const RosterMember& aMember)
{
  return std::any_of(aRoster.begin(), aRoster.end(), [&aMember](const RosterMember& aListed) {
    return aListed.mInstance == aMember.mInstance && aListed.mIncarnation == aMember.mIncarnation;
  });
}

bool
Heard(const OwnerState& aState, const AgentView& aAgent, Timestamp aNow)
{
  return aAgent.mAckSent && aNow - *aAgent.mAckSent <= aState.mSettings.mHeardWithin;
}

// Whether tasks of the agent have ended for sure; without the majority that a restart needs.
bool
SilentLongEnough(const OwnerState& aState, const AgentView& aAgent, Timestamp aNow)
{
  if (aAgent.mLastReply) {
    return aNow - *aAgent.mLastReply >= SilenceLimit(aState.mSettings);
  }
  return TakeoverWaitOver(aState, aNow) && aNow - aAgent.mSince >= SilenceLimit(aState.mSettings);
}

} // namespace

std::optional<Timestamp>
MajorityAckSent(const OwnerState& aState)
{
  const auto settled = MajorityOf(aState.mRecord.mRoster, aState);
  if (!aState.mPending || !settled) {
    return settled;
  }
  const auto pending = MajorityOf(aState.mPending->mRoster, aState);
  return pending ? std::optional(std::min(*settled, *pending)) : std::nullopt;
}

bool
MayGrantTenure(const OwnerState& aState, Timestamp aNow)
{
  return MajorityWithin(aState, aState.mSettings.mMajorityWindow, aNow);
}

Duration
TenureToGrant(const OwnerState& aState, const AgentView& aAgent, Timestamp aNow)
{
  const bool listed = IsListed(aState.mRecord.mRoster, aAgent.mMember) &&
                      (!aState.mPending || IsListed(aState.mPending->mRoster, aAgent.mMember));
  if (!listed || !aAgent.mBasis || !MayGrantTenure(aState, aNow)) {
    return Duration(0);
  }
  const Duration age = aNow - *MajorityAckSent(aState);
  return std::max(Duration(0), aState.mSettings.mTenure - std::max(age, Duration(0)));
}

bool
MayGrantKeys(const OwnerState& aState, Timestamp aNow)
{
  if (!MajorityWithin(aState, aState.mSettings.mKeyWindow, aNow)) {
    return false;
  }
  const auto takeover = KeyTakeoverTime(aState);
  return aState.mRecord.mEpoch == Common::Epoch(1) || (takeover && aNow >= *takeover);
}

std::optional<Timestamp>
KeyTakeoverTime(const OwnerState& aState)
{
  if (aState.mRole != Role::Owner || aState.mRecord.mEpoch <= Common::Epoch(1) ||
      !aState.mMajorityAt) {
    return std::nullopt;
  }
  return *aState.mMajorityAt + aState.mSettings.mKeyTakeover;
}

bool
MayRestart(const OwnerState& aState, const Common::InstanceId& aAgent, Timestamp aNow)
{
  // Without a fresh majority a later owner may have kept the silent agent's tenure alive.
  if (!MajorityWithin(aState, aState.mSettings.mRestartWindow, aNow)) {
    return false;
  }
  const auto found = aState.mAgents.find(aAgent);
  if (found != aState.mAgents.end() && found->second.mLastReply) {
    return aNow - *found->second.mLastReply >= SilenceLimit(aState.mSettings);
  }
  return TakeoverWaitOver(aState, aNow);
}

bool
MayRestartUnreported(const OwnerState& aState, Timestamp aNow)
{
  if (!MajorityWithin(aState, aState.mSettings.mRestartWindow, aNow)) {
    return false;
  }
  if (TakeoverWaitOver(aState, aNow)) {
    return true;
  }
  // An answer that refused the heartbeat, as that of a restarted agent, carried no valid report.
  const auto& roster = aState.mTakeoverRoster;
  return std::all_of(roster.begin(), roster.end(), [&aState](const RosterMember& aMember) {
    const auto found = aState.mAgents.find(aMember.mInstance);
    return found != aState.mAgents.end() && found->second.mAccepted;
  });
}

bool
ReportDecides(const OwnerState& aState, Timestamp aSeenRunning)
{
  return aState.mRole == Role::Owner && aState.mMajorityAt && aSeenRunning >= *aState.mMajorityAt;
}

bool
TakeoverWaitOver(const OwnerState& aState, Timestamp aNow)
{
  if (aState.mRole != Role::Owner || !aState.mMajorityAt) {
    return false;
  }
  return aState.mRecord.mEpoch == Common::Epoch(1) ||
         aNow - *aState.mMajorityAt >= SilenceLimit(aState.mSettings);
}

std::vector<RosterMember>
DesiredRoster(const OwnerState& aState, Timestamp aNow)
{
  const bool mayRemove = MayGrantTenure(aState, aNow);
  std::map<Common::InstanceId, RosterMember> desired;
  for (const RosterMember& member : aState.mRecord.mRoster) {
    const auto found = aState.mAgents.find(member.mInstance);
    const bool silent =
      found != aState.mAgents.end() && SilentLongEnough(aState, found->second, aNow);
    if (!aState.mDeclaredLost && !(mayRemove && silent)) {
      desired[member.mInstance] = member;
    }
  }
  for (const auto& [instance, agent] : aState.mAgents) {
    if (Heard(aState, agent, aNow)) {
      desired[instance] = agent.mMember;
    }
  }
  std::vector<RosterMember> roster;
  roster.reserve(desired.size());
  for (const auto& [instance, member] : desired) {
    roster.push_back(member);
  }
  return roster;
}

} // namespace Ownership
