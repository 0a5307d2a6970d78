#include "Membership/Members.h"

#include <algorithm>

namespace Membership {

namespace {

void
MarkChanged(MemberTable& aTable, Member& aMember)
{
  aTable.mByChange.erase(aMember.mChangedAt);
  aMember.mChangedAt = ++aTable.mVersion;
  aTable.mByChange.emplace(aMember.mChangedAt, aMember.mName);
}

MemberStatus
AnnouncedStatus(const Announcement& aAnnouncement)
{
  if (aAnnouncement.mLeft) {
    return MemberStatus::Gone;
  }
  return aAnnouncement.mLeaving ? MemberStatus::Leaving : MemberStatus::Alive;
}

bool
IsStale(const Member& aKnown, const Announcement& aAnnouncement)
{
  if (aAnnouncement.mIncarnation != aKnown.mIncarnation) {
    return aAnnouncement.mIncarnation < aKnown.mIncarnation;
  }
  return aAnnouncement.mSequence <= aKnown.mSequence;
}

/// A member that said that it is leaving does not come back within the same incarnation.
MemberStatus
NextStatus(const Member& aKnown, MemberStatus aAnnounced)
{
  const bool leftBefore = aKnown.mStatus == MemberStatus::Leaving;
  return leftBefore && aAnnounced == MemberStatus::Alive ? MemberStatus::Leaving : aAnnounced;
}

void
Forget(MemberTable& aTable, const Timeouts& aTimeouts, Timestamp aNow)
{
  for (auto it = aTable.mMembers.begin(); it != aTable.mMembers.end();) {
    const Member& member = it->second;
    if (member.mStatus != MemberStatus::Gone ||
        aNow - member.mLastHeard <= aTimeouts.mForgetAfter) {
      ++it;
      continue;
    }
    aTable.mForgottenUpTo = std::max(aTable.mForgottenUpTo, member.mChangedAt);
    aTable.mByChange.erase(member.mChangedAt);
    it = aTable.mMembers.erase(it);
  }
}

} // namespace

AnnounceResult
ApplyAnnounce(MemberTable& aTable, const Announcement& aAnnouncement, Timestamp aNow)
{
  const MemberStatus announced = AnnouncedStatus(aAnnouncement);
  auto [it, inserted] = aTable.mMembers.try_emplace(aAnnouncement.mMember);
  Member& member = it->second;
  if (!inserted && IsStale(member, aAnnouncement)) {
    return AnnounceResult::Stale;
  }
  const bool joined = inserted || aAnnouncement.mIncarnation > member.mIncarnation;
  const MemberStatus status = joined ? announced : NextStatus(member, announced);
  const bool changed = joined || status != member.mStatus;

  member.mName = aAnnouncement.mMember;
  member.mIncarnation = aAnnouncement.mIncarnation;
  member.mSequence = aAnnouncement.mSequence;
  member.mLastHeard = aNow;
  member.mStatus = status;
  if (changed) {
    MarkChanged(aTable, member);
  }
  if (joined) {
    return AnnounceResult::Joined;
  }
  return changed ? AnnounceResult::Changed : AnnounceResult::Refreshed;
}

std::vector<std::string>
Sweep(MemberTable& aTable, const Timeouts& aTimeouts, Timestamp aNow, Duration aHeldUpFor)
{
  std::vector<std::string> gone;
  for (auto& [name, member] : aTable.mMembers) {
    if (member.mStatus == MemberStatus::Gone) {
      continue;
    }
    member.mLastHeard += aHeldUpFor;
    const Duration silence = aNow - member.mLastHeard;
    if (silence > aTimeouts.mGoneAfter) {
      member.mStatus = MemberStatus::Gone;
      MarkChanged(aTable, member);
      gone.push_back(name);
    } else if (silence > aTimeouts.mSuspectAfter && member.mStatus == MemberStatus::Alive) {
      member.mStatus = MemberStatus::Suspect;
      MarkChanged(aTable, member);
    }
  }
  Forget(aTable, aTimeouts, aNow);
  return gone;
}

bool
MayGetWork(const MemberTable& aTable, const std::string& aMember)
{
  const Member* member = FindMember(aTable, aMember);
  return member != nullptr && member->mStatus == MemberStatus::Alive;
}

const Member*
FindMember(const MemberTable& aTable, const std::string& aMember)
{
  const auto found = aTable.mMembers.find(aMember);
  return found == aTable.mMembers.end() ? nullptr : &found->second;
}

Changes
ChangesSince(const MemberTable& aTable, std::uint64_t aKnownVersion, std::size_t aLimit)
{
  Changes changes;
  // A version from before the last forgotten member, or one that this table never gave out (it was
  // rebuilt by a new owner), cannot be continued.
  changes.mFromStart = aKnownVersion < aTable.mForgottenUpTo || aKnownVersion > aTable.mVersion;
  changes.mVersion = changes.mFromStart ? 0 : aKnownVersion;
  auto it = aTable.mByChange.upper_bound(changes.mVersion);
  while (it != aTable.mByChange.end() && changes.mMembers.size() < aLimit) {
    changes.mMembers.push_back(aTable.mMembers.at(it->second));
    changes.mVersion = it->first;
    ++it;
  }
  changes.mMore = it != aTable.mByChange.end();
  if (!changes.mMore) {
    changes.mVersion = aTable.mVersion;
  }
  return changes;
}

} // namespace Membership
