#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Units.h"

/// Liveness of announced members, as free functions over plain state.
namespace Membership {

using Common::Duration;
using Common::Incarnation;
using Common::Timestamp;

enum class MemberStatus
{
  Alive,
  /// Silent for longer than the suspicion timeout: it keeps what it runs but gets no new work.
  Suspect,
  /// It said that it is leaving: it finishes what it runs and gets no new work.
  Leaving,
  /// Silent for longer than the removal timeout, or it has left.
  Gone,
};

struct Timeouts
{
  Duration mSuspectAfter = std::chrono::seconds(2);
  Duration mGoneAfter = std::chrono::seconds(3);
  /// How long a removed member's incarnation is remembered, so that a late message of the removed
  /// process does not bring it back.
  Duration mForgetAfter = std::chrono::minutes(10);
};

/// One sign of life of a member. mSequence rises within an incarnation; older ones are ignored, so
/// that a delayed message cannot undo a newer one.
struct Announcement
{
  std::string mMember;
  Incarnation mIncarnation;
  std::uint64_t mSequence = 0;
  bool mLeaving = false;
  /// True for the last message of a member that has finished everything.
  bool mLeft = false;
};

struct Member
{
  std::string mName;
  Incarnation mIncarnation;
  std::uint64_t mSequence = 0;
  MemberStatus mStatus = MemberStatus::Alive;
  Timestamp mLastHeard;
  /// Number of the last change of status or incarnation.
  std::uint64_t mChangedAt = 0;
};

/// All members that one process knows. Cost of a call does not depend on the number of members,
/// but for sweep().
struct MemberTable
{
  std::unordered_map<std::string, Member> mMembers;
  /// Member names by the number of their last change.
  std::map<std::uint64_t, std::string> mByChange;
  std::uint64_t mVersion = 0;
  /// Changes up to this number may name forgotten members; a reader with an older version needs
  /// the full list.
  std::uint64_t mForgottenUpTo = 0;
};

enum class AnnounceResult
{
  /// A member or incarnation that was not known.
  Joined,
  Refreshed,
  /// The status changed (for example from suspect to alive, or to leaving).
  Changed,
  /// From an earlier incarnation, or older than what is known; nothing changed.
  Stale,
};

/// Takes in one announcement. A later incarnation replaces the earlier one at once. Leaving is
/// final within an incarnation, also if the member is heard again.
AnnounceResult
ApplyAnnounce(MemberTable& aTable, const Announcement& aAnnouncement, Timestamp aNow);

/// Moves silent members to suspect and then to gone; returns the names of the members that are
/// newly gone. aHeldUpFor is how long this process itself did not run (a pause): silence during
/// that time says nothing about the members and is not counted.
std::vector<std::string>
Sweep(MemberTable& aTable, const Timeouts& aTimeouts, Timestamp aNow, Duration aHeldUpFor = {});

/// True if the member may get new work.
bool
MayGetWork(const MemberTable& aTable, const std::string& aMember);

const Member*
FindMember(const MemberTable& aTable, const std::string& aMember);

struct Changes
{
  std::vector<Member> mMembers;
  /// Pass this as the known version of the next call.
  std::uint64_t mVersion = 0;
  /// The known version was too old: mMembers holds everything from the start, and members that it
  /// does not name do not exist.
  bool mFromStart = false;
  /// More changes are waiting behind mVersion.
  bool mMore = false;
};

/// Members that changed after aKnownVersion, oldest change first, at most aLimit.
Changes
ChangesSince(const MemberTable& aTable, std::uint64_t aKnownVersion, std::size_t aLimit);

} // namespace Membership
