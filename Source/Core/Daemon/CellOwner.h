#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include <Ibisshed_types.h>

#include "Daemon/OwnerJobs.h"
#include "Daemon/OwnerKeys.h"
#include "Daemon/OwnerMembers.h"
#include "Daemon/Peers.h"
#include "Daemon/Runtime.h"
#include "Daemon/SpreadService.h"
#include "Daemon/Term.h"
#include "Membership/JoinGate.h"
#include "Store/StorePort.h"

namespace Daemon {

/// The cell owner duty for the cell of this process' data centre: takes the lease when nobody has
/// it, and serves the owner's calls for as long as the term lasts.
class CellOwner
{
public:
  CellOwner(Runtime& aRuntime, SpreadService& aSpread, PeerBook& aPeers, CellBook& aCells);
  ~CellOwner();
  CellOwner(const CellOwner&) = delete;
  CellOwner& operator=(const CellOwner&) = delete;

  void start();
  /// Ends the term without a successor.
  void stop();
  /// Releases the lease and offers the cell to another agent.
  void handOver();
  /// The cell's owner has been heard: no need to look for one.
  void noteOwnerHeard();
  /// An owner that leaves has released the cell.
  bool offered(const std::string& aCell);
  bool owns() const;

  Rpc::Generated::JoinReply join(const Rpc::Generated::JoinRequest& aRequest);
  Rpc::Generated::ClaimKeyReply claimKey(const Rpc::Generated::ClaimKeyRequest& aRequest);
  bool settleKey(const Rpc::Generated::SettleKeyRequest& aRequest);
  Rpc::Generated::SubmitReply submitJob(const Rpc::Generated::JobSpec& aJob);
  Rpc::Generated::SubmitReply cancelJob(const std::string& aJob);
  std::vector<Rpc::Generated::JobView> showJobs(const std::string& aJob, std::int32_t aLimit);
  Rpc::Generated::MembersReply members(std::int64_t aKnown, std::int32_t aLimit);
  std::vector<Rpc::Generated::UsageRecord> usage();
  bool drain(const std::string& aInstance, bool aOn);
  bool declareLost(const std::string& aCell);

private:
  /// One term. The parts refer to each other, so the order of the members matters.
  struct Duty
  {
    CellRecord mRecord;
    Store::Version mVersion;
    /// A write of the record whose result is not known; it is repeated before any other.
    std::optional<CellRecord> mInDoubt;
    std::unique_ptr<OwnerKeys> mKeys;
    std::unique_ptr<OwnerJobs> mJobs;
    std::unique_ptr<OwnerMembers> mMembers;
    std::atomic<bool> mDeposed{ false };

    ~Duty();
  };

  Common::Duration step();
  Common::Duration lookForCell();
  void tryTake(const std::optional<Store::Entry>& aEntry);
  bool begin(const CellRecord& aRecord, const CellRecord& aBefore, Store::Version aVersion);
  Common::Duration keep(const std::shared_ptr<Duty>& aDuty);
  /// Owners of the other cells, from the store.
  void readOwners();
  void renewLease(Duty& aDuty);
  void updateRoster(Duty& aDuty);
  void end(const std::string& aReason);
  std::shared_ptr<Duty> duty() const;
  void noteRecord(const CellRecord& aRecord);

  Runtime& mRuntime;
  SpreadService& mSpread;
  PeerBook& mPeers;
  CellBook& mCells;
  const std::string mCell;
  mutable std::mutex mMutex;
  std::shared_ptr<Duty> mDuty;
  Membership::JoinGate mJoinGate;
  Common::Timestamp mOwnerHeard;
  bool mOffered = false;
  bool mStopping = false;
  std::optional<Store::LeaseId> mLease;
  std::uint32_t mFailures = 0;
  Common::Timestamp mNextOwners;
  std::unique_ptr<Loop> mLoop;
};

} // namespace Daemon
