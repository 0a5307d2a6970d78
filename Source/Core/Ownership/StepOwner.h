#pragma once

#include <variant>

#include "Ownership/OwnerState.h"

/// The owner's state machine. Store actions are answered by the event of the same call, always and
/// within a bounded time; at most one is under way.
namespace Ownership {

/// Time has passed; several times a second.
struct Tick
{};

struct CellView
{
  /// Empty if the cell never had an owner.
  std::optional<CellRecord> mRecord;
  Store::Version mVersion;
  /// Value of the lease key; empty if no owner holds a lease.
  std::optional<std::string> mHolder;
};

struct CellRead
{
  Store::Result<CellView> mView;
};

struct LeaseGranted
{
  Store::Result<Store::LeaseId> mLease;
};

struct KeyClaimed
{
  Store::Result<Store::Version> mResult;
};

struct CellWritten
{
  Store::Result<Store::Version> mResult;
};

struct LeaseRenewed
{
  Store::Result<void> mResult;
};

struct LeaseRevoked
{};

/// An agent's answer to a heartbeat.
struct HeartbeatReply
{
  Common::InstanceId mInstance;
  Common::Incarnation mIncarnation;
  /// Epoch and sending time of the heartbeat that is answered.
  Common::Epoch mEpoch;
  Timestamp mSentAt;
  bool mAccepted = false;
  Common::Epoch mHighestEpoch;
  /// The agent's clock when it answered, after it took the heartbeat.
  AgentClock mClock = 0;
};

/// An agent made itself known.
struct AgentJoined
{
  RosterMember mMember;
};

/// A follower knows from its own agent that the cell has an owner.
struct OwnerHeard
{};

/// The owner that stops has named this instance its successor.
struct Invited
{};

/// This owner stops; the successor may be empty.
struct HandOver
{
  Common::InstanceId mSuccessor;
};

/// The operator says that the silent agents of the cell are gone for good.
struct DeclareLost
{};

using Event = std::variant<Tick,
                           CellRead,
                           LeaseGranted,
                           KeyClaimed,
                           CellWritten,
                           LeaseRenewed,
                           LeaseRevoked,
                           HeartbeatReply,
                           AgentJoined,
                           OwnerHeard,
                           Invited,
                           HandOver,
                           DeclareLost>;

struct ReadCell
{};

struct GrantLease
{
  Duration mTimeToLive{ 0 };
};

/// Creates the lease key.
struct ClaimKey
{
  Store::LeaseId mLease;
  std::string mToken;
};

struct WriteCell
{
  Store::Version mExpected;
  CellRecord mRecord;
};

struct RenewLease
{
  Store::LeaseId mLease;
};

struct RevokeLease
{
  Store::LeaseId mLease;
};

struct SendHeartbeat
{
  RosterMember mTo;
  HeartbeatGrant mGrant;
  /// To be handed back with the reply.
  Timestamp mSentAt;
};

struct OwnershipGained
{
  Common::Epoch mEpoch;
};

enum class LossReason
{
  Replaced,
  HandedOver,
};

struct OwnershipLost
{
  Common::Epoch mEpoch;
  LossReason mReason = LossReason::Replaced;
};

using Action = std::variant<ReadCell,
                            GrantLease,
                            ClaimKey,
                            WriteCell,
                            RenewLease,
                            RevokeLease,
                            SendHeartbeat,
                            OwnershipGained,
                            OwnershipLost>;

std::vector<Action>
StepOwner(OwnerState& aState, const Event& aEvent, Timestamp aNow);

/// Carries out a store action for the cell and returns the event that answers it; empty for other
/// actions.
std::optional<Event>
RunStoreAction(Store::StorePort& aStore, const Common::CellId& aCell, const Action& aAction);

} // namespace Ownership
