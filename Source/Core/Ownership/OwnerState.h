#pragma once

#include <map>

#include "Common/Random.h"
#include "Ownership/AgentTenure.h"
#include "Ownership/CellRecord.h"
#include "Ownership/Settings.h"
#include "Store/StorePort.h"

/// State of an instance that owns a cell or may come to own it.
namespace Ownership {

enum class Role
{
  /// Does not own the cell; looks at the store when the owner is silent.
  Follower,
  Owner,
};

/// The store call that is under way; there is at most one.
enum class StoreCall
{
  None,
  Read,
  GrantLease,
  ClaimKey,
  Write,
  Renew,
  Revoke,
};

/// What the owner knows of one agent.
struct AgentView
{
  RosterMember mMember;
  /// This incarnation accepted the owner's epoch.
  bool mAccepted = false;
  /// When the newest heartbeat that this incarnation acknowledged was sent.
  std::optional<Timestamp> mAckSent;
  /// When the last answer of any incarnation in this epoch arrived. The agent took its basis before
  /// that.
  std::optional<Timestamp> mLastReply;
  /// The agent's clock in the last answer of this incarnation.
  std::optional<AgentClock> mBasis;
  Timestamp mNextHeartbeat;
  /// When this instance was first known in this epoch.
  Timestamp mSince;
};

struct OwnerState
{
  OwnerSettings mSettings;
  RosterMember mSelf;
  /// Unique for each run of the process.
  std::string mToken;
  Common::Random mRandom{ 1 };
  Role mRole = Role::Follower;
  /// Does not take the cell any more.
  bool mLeaving = false;

  /// The record as last read or written, and its version.
  CellRecord mRecord;
  Store::Version mVersion;
  /// A write of the record that was begun and whose result is not known. It is repeated unchanged
  /// until it is.
  std::optional<CellRecord> mPending;
  /// mPending replaces the roster after declare-lost.
  bool mPendingLost = false;
  /// The result of a write is in doubt; the record is read before the next write.
  bool mMustRead = false;

  StoreCall mCall = StoreCall::None;
  Timestamp mNextCall;
  Store::LeaseId mLease;
  bool mNeedLease = false;
  Timestamp mNextRenewal;
  Timestamp mNextRoster;
  /// For a follower: when it looks at the store.
  Timestamp mNextLook;
  /// Version of the record for which a named successor was given its time.
  Store::Version mWaitedFor;
  /// Set when the cell is to be handed over.
  std::optional<Common::InstanceId> mHandOver;

  std::map<Common::InstanceId, AgentView> mAgents;
  /// Number of the last heartbeat to any agent; an agent that is forgotten and returns still gets
  /// higher ones.
  std::int64_t mSequence = 0;
  /// The roster that was recorded when this owner took the cell.
  std::vector<RosterMember> mTakeoverRoster;
  /// When a majority of that roster had accepted the epoch, or its replacement after declare-lost
  /// was recorded.
  std::optional<Timestamp> mMajorityAt;
  /// The operator declared the cell's silent agents lost; the roster is about to be replaced.
  bool mDeclaredLost = false;
};

OwnerState
MakeOwner(OwnerSettings aSettings,
          RosterMember aSelf,
          std::string aToken,
          std::uint64_t aSeed,
          Timestamp aNow);

} // namespace Ownership
