#include <algorithm>

#include "Daemon/AgentRequests.h"
#include "Daemon/Convert.h"

/// The half of AgentRequests that follows endpoints: announcements, limits, reports and use.
namespace Daemon {

namespace Wire = Rpc::Generated;

namespace {

Common::Resources
PartOf(const Common::Resources& aWhole, std::int64_t aParts)
{
  return { Common::MilliCores(aWhole.mCores.value() / aParts),
           Common::Bytes(aWhole.mMemory.value() / aParts),
           Common::Accelerators(aWhole.mAccelerators.value() / aParts) };
}

Common::Resources
Largest(const Common::Resources& aLeft, const Common::Resources& aRight)
{
  return { std::max(aLeft.mCores, aRight.mCores),
           std::max(aLeft.mMemory, aRight.mMemory),
           std::max(aLeft.mAccelerators, aRight.mAccelerators) };
}

} // namespace

void
AgentRequests::announce(const Http::Announcement& aAnnouncement)
{
  const auto tables = mRuntime.mTables.current();
  const std::lock_guard<std::mutex> lock(mEndpointsMutex);
  Endpoint& endpoint = mEndpoints[aAnnouncement.mEndpoint];
  // Leaving is final for an endpoint until it has been silent and announces itself anew.
  const bool leaving = aAnnouncement.mLeaving || endpoint.mAnnounced.mLeaving;
  const bool changed = endpoint.mAnnounced.mSlots != aAnnouncement.mSlots ||
                       endpoint.mAnnounced.mConnections != aAnnouncement.mConnections ||
                       endpoint.mAnnounced.mPool != aAnnouncement.mPool;
  endpoint.mAnnounced = aAnnouncement;
  endpoint.mAnnounced.mLeaving = leaving;
  endpoint.mHeard = mRuntime.mClock.now();
  if (tables && (changed || endpoint.mRevision != tables->mDigest.mRevision)) {
    configureGate(endpoint, *tables);
    shareWorker(*tables);
  }
  if (aAnnouncement.mInProgress) {
    mGates.noteInProgress(aAnnouncement.mEndpoint, Common::Slots(*aAnnouncement.mInProgress));
  }
  if (leaving) {
    mGates.drain(aAnnouncement.mEndpoint, true);
  }
}

void
AgentRequests::configureGate(Endpoint& aEndpoint, const TablesInForce& aTables)
{
  const Http::Announcement& announced = aEndpoint.mAnnounced;
  const Tables::Pool* pool = Tables::FindPool(aTables.mTables, Common::PoolId(announced.mPool));
  Admission::GateLimits limits;
  if (pool != nullptr) {
    limits.mSlots = std::min(Common::Slots(announced.mSlots), pool->mPerWorker.mSlots);
    limits.mConnections =
      std::min(Common::Connections(announced.mConnections), pool->mPerWorker.mConnections);
    limits.mMinShares = pool->mMinShares;
  }
  aEndpoint.mRevision = aTables.mDigest.mRevision;
  if (mGates.configure(announced.mEndpoint, limits) && announced.mInProgress) {
    mGates.noteInProgress(announced.mEndpoint, Common::Slots(*announced.mInProgress));
  }
}

// Requests of all pools draw on one ledger. It charges the largest slot of them for each request,
// so that the sum holds whichever pool the request is of.
void
AgentRequests::shareWorker(const TablesInForce& aTables)
{
  Common::Resources perSlot;
  std::int64_t guaranteed = 0;
  for (const auto& [name, endpoint] : mEndpoints) {
    const Http::Announcement& announced = endpoint.mAnnounced;
    const Tables::Pool* pool = Tables::FindPool(aTables.mTables, Common::PoolId(announced.mPool));
    if (pool == nullptr || pool->mPerWorker.mSlots <= Common::Slots(0)) {
      continue;
    }
    const std::int64_t slots = pool->mPerWorker.mSlots.value();
    perSlot = Largest(perSlot, PartOf(pool->mPerWorker.mResources, slots));
    std::int64_t percent = 0;
    for (const Tables::MinShare& share : pool->mMinShares) {
      percent += share.mPercent;
    }
    guaranteed += (std::min<std::int64_t>(announced.mSlots, slots) * percent + 99) / 100;
  }
  mGates.withLedger([&](Admission::WorkerLedger& aLedger) {
    aLedger.mPerSlot = perSlot;
    aLedger.mReservedSlots = Common::Slots(guaranteed);
  });
}

void
AgentRequests::sweep()
{
  const Common::Timestamp now = mRuntime.mClock.now();
  {
    const auto tables = mRuntime.mTables.current();
    const std::lock_guard<std::mutex> lock(mEndpointsMutex);
    for (auto it = mEndpoints.begin(); it != mEndpoints.end();) {
      if (now - it->second.mHeard > mRuntime.mSettings.mTimes.mGoneAfter) {
        mGates.remove(it->first);
        it = mEndpoints.erase(it);
        continue;
      }
      if (tables && it->second.mRevision != tables->mDigest.mRevision) {
        configureGate(it->second, *tables);
      }
      ++it;
    }
    if (tables) {
      shareWorker(*tables);
    }
  }
  const std::lock_guard<std::mutex> lock(mWindowMutex);
  Admission::EvictExpired(mWindow, now);
}

std::vector<Wire::EndpointReport>
AgentRequests::endpoints() const
{
  std::vector<Wire::EndpointReport> reports;
  const std::lock_guard<std::mutex> lock(mEndpointsMutex);
  for (const auto& [name, endpoint] : mEndpoints) {
    Wire::EndpointReport report;
    report.endpointId = name;
    report.address = endpoint.mAnnounced.mAddress;
    report.pool = endpoint.mAnnounced.mPool;
    report.leaving = endpoint.mAnnounced.mLeaving || mDraining;
    report.connections = endpoint.mAnnounced.mConnections;
    mGates.withGate(name, [&](const Admission::Gate& aGate) {
      report.slots = static_cast<std::int32_t>(Admission::SlotLimit(aGate));
    });
    reports.push_back(std::move(report));
  }
  return reports;
}

Wire::LoadReport
AgentRequests::load() const
{
  Wire::LoadReport report;
  std::int64_t limit = 0;
  {
    const std::lock_guard<std::mutex> lock(mEndpointsMutex);
    for (const auto& [name, endpoint] : mEndpoints) {
      mGates.withGate(name,
                      [&](const Admission::Gate& aGate) { limit += Admission::SlotLimit(aGate); });
    }
  }
  report.slotsInUse = static_cast<std::int32_t>(mGates.inUse());
  report.slotsLimit = static_cast<std::int32_t>(limit);
  report.queued = static_cast<std::int32_t>(mGates.queued());
  const auto times = mServiceTime.snapshot();
  report.latencyP50Micros = times.quantile(0.5);
  report.latencyP99Micros = times.quantile(0.99);
  report.leaving = mDraining;
  const auto tables = mRuntime.mTables.current();
  report.revision = tables ? tables->mDigest.mRevision.value() : 0;
  return report;
}

Metering::UsageReport
AgentRequests::usage() const
{
  const std::lock_guard<std::mutex> lock(mMeterMutex);
  return Metering::MakeUsageReport(mMeter, mRuntime.self(), mRuntime.mIncarnation);
}

void
AgentRequests::recordUse(const Metering::UsageKey& aKey, const Metering::Usage& aUse)
{
  const std::lock_guard<std::mutex> lock(mMeterMutex);
  Metering::RecordUsage(mMeter, aKey, aUse);
}

} // namespace Daemon
