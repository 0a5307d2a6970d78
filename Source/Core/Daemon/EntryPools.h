#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include <Ibisshed_types.h>

#include "Daemon/Gates.h"
#include "Daemon/Peers.h"
#include "Daemon/Runtime.h"
#include "Dispatch/EntryGate.h"
#include "Dispatch/Request.h"

namespace Daemon {

/// What an entry knows of one pool, behind one lock, and the queue in front of it.
struct PoolShard
{
  explicit PoolShard(Common::Clock& aClock)
    : mGates(aClock)
  {
  }

  std::mutex mMutex;
  Dispatch::PoolView mView;
  std::map<Common::RouteId, Dispatch::RetryBudget> mBudgets;
  /// All agents that owners name for the pool; mView is a sample of them.
  std::set<std::string> mAgents;
  Gates mGates;
};

/// Name of the only gate of a PoolShard.
inline constexpr const char* kEntryGate = "entry";

/// The members of the cells that an entry sends requests to, as their owners report them.
class EntryPools
{
public:
  EntryPools(Runtime& aRuntime, PeerBook& aPeers, CellBook& aCells);
  ~EntryPools();
  EntryPools(const EntryPools&) = delete;
  EntryPools& operator=(const EntryPools&) = delete;

  void start();
  void stop();

  std::shared_ptr<PoolShard> shard(const Common::PoolId& aPool);
  /// Members of all cells that were asked, newest views.
  std::vector<Rpc::Generated::MemberView> members() const;
  Common::RegionId regionOf(const std::string& aDataCentre) const;

private:
  struct CellState
  {
    std::int64_t mVersion = 0;
    std::int64_t mEpoch = 0;
    Common::Timestamp mAskNext;
    std::map<std::string, Rpc::Generated::MemberView> mMembers;
  };

  Common::Duration step();
  void ask(const Rpc::Generated::CellView& aCell);
  void apply(const std::string& aCell, const Rpc::Generated::MembersReply& aReply);
  void applyMember(const Rpc::Generated::MemberView& aMember);
  void removeMember(const std::string& aInstance);
  void configureGates();

  Runtime& mRuntime;
  PeerBook& mPeers;
  CellBook& mCells;
  mutable std::mutex mMutex;
  std::map<Common::PoolId, std::shared_ptr<PoolShard>> mShards;
  std::map<std::string, CellState> mStates;
  std::unique_ptr<Loop> mLoop;
};

} // namespace Daemon
