#include "Daemon/EntryPools.h"

#include <algorithm>

#include "Daemon/Convert.h"

namespace Daemon {

namespace Wire = Rpc::Generated;

namespace {

constexpr std::int32_t kMembersPerCall = 256;
// Cells of other regions are asked less often, because the link between regions is slow and paid.
constexpr int kRemoteEvery = 5;
constexpr std::chrono::milliseconds kCallTimeout{ 800 };

/// Slots of the member's endpoints by pool; 0 for a pool whose endpoints are all leaving.
std::map<std::string, std::int32_t>
SlotsByPool(const Wire::MemberView& aMember)
{
  std::map<std::string, std::int32_t> slots;
  for (const Wire::EndpointReport& endpoint : aMember.endpoints) {
    slots[endpoint.pool] += endpoint.leaving ? 0 : endpoint.slots;
  }
  return slots;
}

} // namespace

EntryPools::EntryPools(Runtime& aRuntime, PeerBook& aPeers, CellBook& aCells)
  : mRuntime(aRuntime)
  , mPeers(aPeers)
  , mCells(aCells)
{
}

EntryPools::~EntryPools()
{
  stop();
}

void
EntryPools::start()
{
  mLoop = std::make_unique<Loop>(mRuntime.mClock, [this] { return step(); });
}

void
EntryPools::stop()
{
  if (mLoop) {
    mLoop->stop();
  }
}

std::shared_ptr<PoolShard>
EntryPools::shard(const Common::PoolId& aPool)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  auto& slot = mShards[aPool];
  if (!slot) {
    slot = std::make_shared<PoolShard>(mRuntime.mClock);
    slot->mGates.configure(kEntryGate, Dispatch::MakeEntryGateLimits({}, 0, 1, {}, {}));
  }
  return slot;
}

std::vector<Wire::MemberView>
EntryPools::members() const
{
  std::vector<Wire::MemberView> all;
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& [cell, state] : mStates) {
    for (const auto& [name, member] : state.mMembers) {
      all.push_back(member);
    }
  }
  return all;
}

Common::RegionId
EntryPools::regionOf(const std::string& aDataCentre) const
{
  for (const Config::DataCentre& each : mRuntime.mSettings.mDataCentres) {
    if (each.mName.str() == aDataCentre) {
      return each.mRegion;
    }
  }
  return {};
}

Common::Duration
EntryPools::step()
{
  for (const Wire::CellView& cell : mCells.all()) {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      CellState& state = mStates[cell.cell];
      const Common::Timestamp now = mRuntime.mClock.now();
      if (now < state.mAskNext) {
        continue;
      }
      const bool remote = regionOf(cell.cell) != mRuntime.mSettings.mInstance.mRegion;
      state.mAskNext = now + mRuntime.mSettings.mTimes.mHeartbeat * (remote ? kRemoteEvery : 1) -
                       std::chrono::milliseconds(50);
    }
    mRuntime.mBackground.run([this, cell] { ask(cell); });
  }
  configureGates();
  mRuntime.mRequests.prune();
  mRuntime.mControl.prune();
  return mRuntime.mSettings.mTimes.mHeartbeat;
}

void
EntryPools::ask(const Wire::CellView& aCell)
{
  bool more = true;
  for (int calls = 0; more && calls < 16; ++calls) {
    std::int64_t known = 0;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      CellState& state = mStates[aCell.cell];
      if (state.mEpoch != aCell.epoch) {
        state.mEpoch = aCell.epoch;
        state.mVersion = 0;
      }
      known = state.mVersion;
    }
    const auto reply =
      mRuntime.mControl.members(aCell.ownerAddress, known, "", kMembersPerCall, kCallTimeout);
    if (!reply || reply->cell.epoch != aCell.epoch) {
      if (reply) {
        mCells.note(reply->cell);
      }
      return;
    }
    apply(aCell.cell, *reply);
    more = reply->more;
  }
}

void
EntryPools::apply(const std::string& aCell, const Wire::MembersReply& aReply)
{
  std::vector<std::string> removed = aReply.gone;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    CellState& state = mStates[aCell];
    state.mVersion = aReply.version;
    if (aReply.fromStart) {
      for (const auto& [name, member] : state.mMembers) {
        const bool named =
          std::any_of(aReply.members.begin(),
                      aReply.members.end(),
                      [&, &id = name](const auto& aEach) { return aEach.info.instance == id; });
        if (!named && !aReply.more) {
          removed.push_back(name);
        }
      }
    }
    for (const std::string& name : removed) {
      state.mMembers.erase(name);
    }
    for (const Wire::MemberView& member : aReply.members) {
      state.mMembers[member.info.instance] = member;
    }
  }
  for (const std::string& name : removed) {
    removeMember(name);
  }
  for (const Wire::MemberView& member : aReply.members) {
    applyMember(member);
  }
}

void
EntryPools::applyMember(const Wire::MemberView& aMember)
{
  const auto slots = SlotsByPool(aMember);
  for (const auto& [pool, count] : slots) {
    shard(Common::PoolId(pool));
  }
  std::vector<std::pair<Common::PoolId, std::shared_ptr<PoolShard>>> shards;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    shards.assign(mShards.begin(), mShards.end());
  }
  Dispatch::AgentReport report;
  report.mInstance = Common::InstanceId(aMember.info.instance);
  report.mIncarnation = Common::Incarnation(aMember.info.incarnation);
  report.mAddress = aMember.info.address;
  report.mLocation = { Common::DataCentreId(aMember.info.dataCentre),
                       regionOf(aMember.info.dataCentre) };
  report.mSlotsInUse = aMember.load.slotsInUse;
  report.mQueued = aMember.load.queued;
  report.mLatency = Common::Duration(aMember.load.latencyP50Micros);
  report.mSuspect = aMember.suspect;
  report.mAge = Common::Duration(aMember.ageMicros);
  for (const auto& [pool, shard] : shards) {
    const std::lock_guard<std::mutex> lock(shard->mMutex);
    const auto here = slots.find(pool.str());
    if (here == slots.end()) {
      shard->mAgents.erase(aMember.info.instance);
      Dispatch::RemoveAgent(shard->mView, report.mInstance);
      continue;
    }
    shard->mAgents.insert(aMember.info.instance);
    report.mSlotsLimit = here->second;
    report.mLeaving = aMember.leaving || here->second == 0;
    Dispatch::ApplyReport(
      shard->mView, report, shard->mAgents.size(), mRuntime.mClock.now(), mRuntime.random());
  }
}

void
EntryPools::removeMember(const std::string& aInstance)
{
  std::vector<std::shared_ptr<PoolShard>> shards;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const auto& [pool, shard] : mShards) {
      shards.push_back(shard);
    }
  }
  for (const auto& shard : shards) {
    const std::lock_guard<std::mutex> lock(shard->mMutex);
    shard->mAgents.erase(aInstance);
    Dispatch::RemoveAgent(shard->mView, Common::InstanceId(aInstance));
  }
}

void
EntryPools::configureGates()
{
  const auto tables = mRuntime.mTables.current();
  if (!tables) {
    return;
  }
  std::size_t entries = 1;
  for (const PeerInfo& peer : mPeers.all()) {
    const bool recent = mRuntime.mClock.now() - peer.mHeard < std::chrono::seconds(30);
    entries += peer.mRole == "entry" && recent ? 1 : 0;
  }
  for (const Tables::Pool& pool : tables->mTables.mPools) {
    const auto each = shard(pool.mName);
    Admission::GateLimits limits;
    {
      const std::lock_guard<std::mutex> lock(each->mMutex);
      limits = Dispatch::MakeEntryGateLimits(
        each->mView, each->mAgents.size(), entries, pool.mMinShares, Dispatch::EntryGateRules{});
    }
    each->mGates.configure(kEntryGate, limits);
  }
}

} // namespace Daemon
