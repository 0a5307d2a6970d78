#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <Ibisshed_types.h>

#include "Daemon/OwnerJobs.h"
#include "Daemon/Peers.h"
#include "Daemon/Runtime.h"
#include "Daemon/SpreadService.h"
#include "Daemon/Term.h"
#include "Membership/Members.h"
#include "Metering/Metering.h"

namespace Daemon {

/// The agents of a cell during one term: heartbeats, liveness, the fence, and the view for entries.
class OwnerMembers
{
public:
  OwnerMembers(Runtime& aRuntime,
               const CellRecord& aRecord,
               const CellRecord& aBefore,
               const std::string& aCell,
               SpreadService& aSpread,
               PeerBook& aPeers,
               CellBook& aCells);
  ~OwnerMembers();
  OwnerMembers(const OwnerMembers&) = delete;
  OwnerMembers& operator=(const OwnerMembers&) = delete;

  /// aJobs gets the news; it must be set before start() and outlive this object.
  void start(OwnerJobs& aJobs);
  void stop();

  /// An early heartbeat to the agent beside the worker.
  void kick(const std::string& aWorker);
  /// Adds an agent that is in the roster now, or is to be added to it.
  void join(const Rpc::Generated::AgentInfo& aInfo);
  /// The roster that the store should have: joined agents in, released ones out.
  std::vector<RosterEntry> wantedRoster() const;
  /// Called before the roster is written; from then on majorities of both count.
  void proposeRoster(const std::vector<RosterEntry>& aRoster);
  /// The proposed roster is in the store, or definitely not.
  void settleRoster(bool aWritten);

  struct ClaimStanding
  {
    bool mMayAnswer = false;
    std::optional<Common::UnixMillis> mTakeover;
  };
  ClaimStanding claimStanding();
  /// The highest epoch that an agent named.
  std::int64_t highestEpoch() const;
  bool drain(const std::string& aInstance, bool aOn);
  void declareLost();
  Rpc::Generated::MembersReply members(std::int64_t aKnown, std::size_t aLimit) const;
  std::vector<Rpc::Generated::UsageRecord> usage() const;
  /// A member that could take the cell over; nothing if there is none.
  std::optional<RosterEntry> successor() const;

private:
  struct Agent
  {
    RosterEntry mEntry;
    Rpc::Generated::AgentInfo mInfo;
    Rpc::Generated::HeartbeatReply mLast;
    Common::Timestamp mHeard;
    /// Last heartbeat that may have reached it.
    std::optional<Common::Timestamp> mLastSent;
    std::int64_t mEcho = 0;
    std::int64_t mUsageVersion = 0;
    bool mHeardInTerm = false;
    bool mWantFull = true;
    bool mInCall = false;
    bool mAgain = false;
    bool mDrain = false;
    bool mSilent = false;
    bool mReleased = false;
    std::uint64_t mVersion = 0;
  };

  Common::Duration step();
  void beat(const std::string& aInstance);
  void beatOnce(const std::string& aInstance);
  Rpc::Generated::HeartbeatRequest requestFor(Agent& aAgent, Common::Timestamp aNow);
  void applyReply(const std::string& aInstance,
                  Common::Timestamp aSent,
                  const Rpc::Generated::HeartbeatRequest& aRequest,
                  Rpc::Generated::HeartbeatReply aReply);
  void noteLost(const std::string& aInstance, bool aMayHaveBeenDelivered, Common::Timestamp aSent);
  void sweep();
  bool cellSilent(Common::Timestamp aNow) const;
  void touch(Agent& aAgent);
  Rpc::Generated::MemberView viewOf(const Agent& aAgent, Common::Timestamp aNow) const;

  Runtime& mRuntime;
  const std::string mCell;
  const std::int64_t mEpoch;
  SpreadService& mSpread;
  PeerBook& mPeers;
  CellBook& mCells;
  OwnerJobs* mJobs = nullptr;

  mutable std::mutex mMutex;
  Term mTerm;
  std::map<std::string, Agent> mAgents;
  std::uint64_t mVersion = 0;
  Metering::Collector mUse;
  std::int64_t mHighestEpoch = 0;
  bool mDeclaredLost = false;
  bool mHeldReleased = false;
  Common::Timestamp mBegan;

  WorkerThreads mThreads;
  std::unique_ptr<Loop> mLoop;
};

} // namespace Daemon
