#include <algorithm>

#include "Common/Hash.h"
#include "Daemon/OwnerJobs.h"
#include "Jobs/Health.h"
#include "Observability/Log.h"
#include "Tables/Fleet.h"

/// The placing half of OwnerJobs: which workers may get tasks, and which tasks start now.
namespace Daemon {

namespace {

constexpr std::chrono::milliseconds kPlanEvery{ 500 };
constexpr std::size_t kStartsPerPlan = 2000;

Placement::ReservationId
TicketOf(const Common::TaskId& aTask, Common::Attempt aAttempt)
{
  return Common::HashBytes(aTask.str(), static_cast<std::uint64_t>(aAttempt.value()));
}

Common::Resources
Least(const Common::Resources& aLeft, const Common::Resources& aRight)
{
  return { std::min(aLeft.mCores, aRight.mCores),
           std::min(aLeft.mMemory, aRight.mMemory),
           std::min(aLeft.mAccelerators, aRight.mAccelerators) };
}

/// The part of a worker that the pool may use; a pool without resources may use all of it.
Common::Resources
PoolPart(const Tables::Pool& aPool, const Common::Resources& aTotal)
{
  const Common::Resources& limit = aPool.mPerWorker.mResources;
  return limit == Common::Resources{} ? aTotal : Least(limit, aTotal);
}

} // namespace

void
OwnerJobs::placeWorker(const WorkerNews& aNews)
{
  if (!mTables) {
    return;
  }
  Tables::FleetWorker worker;
  worker.mWorker = Common::WorkerId(aNews.mInfo.worker);
  worker.mDataCentre = Common::DataCentreId(aNews.mInfo.dataCentre);
  worker.mLabels = aNews.mInfo.labels;
  const Common::Resources charged = Jobs::ChargedResources(mState, worker.mWorker);
  const Common::Resources unseen = Jobs::UnconfirmedResources(mState, worker.mWorker);
  const auto health = mHealthGates.find(aNews.mInfo.worker);
  auto gate =
    health == mHealthGates.end() ? Placement::Schedulability::Schedulable : health->second;
  if (gate == Placement::Schedulability::Probe && charged != Common::Resources{}) {
    // The outcome of one task decides, so a probed worker gets the next only when it is idle.
    gate = Placement::Schedulability::Unschedulable;
  }
  for (const Tables::Pool& pool : mTables->mTables.mPools) {
    if (!Tables::BelongsToPool(worker, pool)) {
      continue;
    }
    Placement::WorkerIndex& index = mPools[pool.mName];
    const Common::Resources part = PoolPart(pool, aNews.mTotal);
    const Placement::WorkerNumber number = Placement::SetWorker(index,
                                                                { worker.mWorker,
                                                                  Common::RackId(aNews.mInfo.rack),
                                                                  worker.mDataCentre,
                                                                  worker.mLabels,
                                                                  part });
    // The agent does not count starts that it has not confirmed, and it alone knows what requests
    // use.
    const Common::Resources free = Least(aNews.mFree - unseen, Least(part, aNews.mTotal) - charged);
    Placement::SetReportedFreeResources(index, number, free, {});
    Placement::SetSchedulability(
      index, number, aNews.mTakesTasks ? gate : Placement::Schedulability::Unschedulable);
  }
}

std::optional<Common::WorkerId>
OwnerJobs::place(const Jobs::PlacementRequest& aNeed)
{
  const Tables::Route* route =
    mTables ? Tables::FindRoute(mTables->mTables, mTables->mIndex, aNeed.mSpec->mRoute) : nullptr;
  const auto pool = route == nullptr ? mPools.end() : mPools.find(route->mPool);
  if (pool == mPools.end()) {
    return std::nullopt;
  }
  Placement::TaskRequest request;
  request.mReservationId =
    TicketOf(Jobs::MakeTaskId(Common::CellId(mCell), aNeed.mKey), aNeed.mAttempt);
  request.mNeed = aNeed.mNeed;
  const auto chosen =
    Placement::PlaceTask(pool->second, request, Placement::PlacementPolicy{}, mRuntime.random());
  if (!chosen) {
    return std::nullopt;
  }
  const Common::WorkerId name = Placement::WorkerName(pool->second, *chosen);
  // Pools may share the worker, so the room is gone for all of them.
  for (auto& [other, index] : mPools) {
    const Placement::WorkerNumber number = Placement::FindWorker(index, name);
    if (other != route->mPool && number != Placement::kNoWorker) {
      Placement::Reserve(index, number, request.mReservationId, request.mNeed);
    }
  }
  return name;
}

void
OwnerJobs::refreshTables()
{
  const auto tables = mRuntime.mTables.current();
  if (!tables || tables == mTables) {
    return;
  }
  mTables = tables;
  // The quota of a team is for the fleet; each cell gets an equal part.
  const auto cells =
    std::max<std::int64_t>(static_cast<std::int64_t>(mRuntime.mSettings.mDataCentres.size()), 1);
  std::vector<Jobs::TeamQuota> teams;
  for (const Tables::Team& team : tables->mTables.mTeams) {
    const Common::Resources& quota = team.mQuota;
    teams.push_back({ team.mName,
                      team.mWeight,
                      { Common::MilliCores(quota.mCores.value() / cells),
                        Common::Bytes(quota.mMemory.value() / cells),
                        Common::Accelerators(quota.mAccelerators.value() / cells) },
                      team.mMayBorrow });
  }
  Jobs::SetTeams(mState, teams);
  mPools.clear();
  for (const auto& [name, news] : mWorkers) {
    placeWorker(news);
  }
}

void
OwnerJobs::applyHealth()
{
  for (const Jobs::HealthChange& change : Jobs::TakeHealthChanges(mState, now())) {
    const std::string& worker = change.mWorker.str();
    const bool quarantined = change.mHealth == Jobs::WorkerHealth::Quarantined;
    const bool probing = change.mHealth == Jobs::WorkerHealth::Probing;
    if (change.mHealth == Jobs::WorkerHealth::Good) {
      mHealthGates.erase(worker);
    } else {
      mHealthGates[worker] =
        quarantined ? Placement::Schedulability::Unschedulable : Placement::Schedulability::Probe;
    }
    Observability::Log(quarantined ? Observability::Level::Warning : Observability::Level::Info,
                       "owner",
                       quarantined ? "a worker is quarantined"
                                   : (probing ? "a worker is probed" : "a worker is good again"),
                       { { "worker", worker } });
    const auto news = mWorkers.find(worker);
    if (news != mWorkers.end()) {
      placeWorker(news->second);
    }
  }
}

Common::Duration
OwnerJobs::plan()
{
  std::set<std::string> workers;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    refreshTables();
    std::vector<Jobs::WorkerShape> shapes;
    for (const auto& [pool, index] : mPools) {
      for (const auto& [name, number] : index.mWorkerNumbers) {
        shapes.push_back(
          { { PoolLabel(pool) }, index.mColdStates[number].mAttributes.mTotalResources, 1 });
      }
    }
    if (shapes.size() != mState.mShapes.size()) {
      Jobs::SetWorkerShapes(mState, std::move(shapes));
    }
    applyHealth();
    const auto starts =
      Jobs::StartTasks(mState, now(), kStartsPerPlan, [this](const Jobs::PlacementRequest& aNeed) {
        return place(aNeed);
      });
    for (const Jobs::TaskStart& start : starts) {
      workers.insert(start.mWorker.str());
    }
    queueActions(Jobs::ReclaimQuota(mState, now(), 16));
    Jobs::DropExpiredJobs(mState, now());
  }
  for (const std::string& worker : workers) {
    mKick(worker);
  }
  return kPlanEvery;
}

} // namespace Daemon
