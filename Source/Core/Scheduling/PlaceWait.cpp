#include "Scheduling/PlaceWait.h"

#include <algorithm>

namespace Scheduling {

namespace {

/// Least expected rest of a run, as a share of the time that it has taken. The longer a run exceeds
/// its expected time, the less is known about its end.
constexpr double kMinRestShare = 0.1;
/// The expected wait must be below the gain divided by this. Each task that waits makes later ones
/// wait longer; if they wait for up to the whole gain, all of them end as late as elsewhere.
constexpr int kMinGainPerWait = 2;
/// Longest wait of a step in all. Callers are promised that no job is left without a running task
/// for 3 s while there is room for it.
constexpr std::chrono::seconds kMaxWait{ 2 };

Common::Resources
SmallerOf(const Common::Resources& aLeft, const Common::Resources& aRight)
{
  return { std::min(aLeft.mCores, aRight.mCores),
           std::min(aLeft.mMemory, aRight.mMemory),
           std::min(aLeft.mAccelerators, aRight.mAccelerators) };
}

Common::Resources
AtLeastNone(const Common::Resources& aResources)
{
  return { std::max(aResources.mCores, Common::MilliCores{}),
           std::max(aResources.mMemory, Common::Bytes{}),
           std::max(aResources.mAccelerators, Common::Accelerators{}) };
}

const WorkerForecast*
FindForecast(const RackForecast& aRack, std::uint32_t aWorker)
{
  const auto found =
    std::find_if(aRack.mWorkers.begin(), aRack.mWorkers.end(), [&](const WorkerForecast& aOther) {
      return aOther.mWorker == aWorker;
    });
  return found == aRack.mWorkers.end() ? nullptr : &*found;
}

std::optional<Duration>
EarliestOn(const WorkerForecast& aForecast, const Common::Resources& aNeed)
{
  Common::Resources free;
  for (const ExpectedRelease& release : aForecast.mReleases) {
    free = free + release.mFreed;
    if (Fits(aNeed, free)) {
      return release.mAfter;
    }
  }
  return std::nullopt;
}

/// Takes as much of aNeed as the release has.
void
TakeFrom(ExpectedRelease& aRelease, Common::Resources& aNeed)
{
  const Common::Resources taken = AtLeastNone(SmallerOf(aNeed, aRelease.mFreed));
  aRelease.mFreed = aRelease.mFreed - taken;
  aNeed = aNeed - taken;
}

/// Number of tasks that fit into aFree, at most aMax.
std::uint32_t
TasksIn(const Common::Resources& aFree, const Common::Resources& aNeed, std::uint32_t aMax)
{
  auto count = static_cast<std::int64_t>(aMax);
  const auto limit = [&count](std::int64_t aHas, std::int64_t aTakes) {
    if (aTakes > 0) {
      count = std::min(count, std::max<std::int64_t>(aHas, 0) / aTakes);
    }
  };
  limit(aFree.mCores.value(), aNeed.mCores.value());
  limit(aFree.mMemory.value(), aNeed.mMemory.value());
  limit(aFree.mAccelerators.value(), aNeed.mAccelerators.value());
  return static_cast<std::uint32_t>(count);
}

} // namespace

Duration
ExpectedRemaining(const RunState& aRun)
{
  std::chrono::duration<double, Duration::period> total = aRun.mExpected;
  if (aRun.mPercent.value() > 0) {
    // The further the run has come, the more its own progress says.
    const double done = std::min(static_cast<double>(aRun.mPercent.value()) / 100.0, 1.0);
    total = total * (1.0 - done) + (aRun.mElapsed - aRun.mSinceProgress);
  }
  return std::chrono::duration_cast<Duration>(
    std::max<std::chrono::duration<double, Duration::period>>(total - aRun.mElapsed,
                                                              kMinRestShare * aRun.mElapsed));
}

std::optional<ExpectedSlot>
EarliestSlot(const RackForecast& aRack,
             const Common::Resources& aNeed,
             std::span<const NearWorker> aNear)
{
  std::optional<ExpectedSlot> best;
  for (const NearWorker& near : aNear) {
    const WorkerForecast* const forecast = FindForecast(aRack, near.mWorker);
    const auto after = forecast == nullptr ? std::nullopt : EarliestOn(*forecast, aNeed);
    if (after && (!best || *after + near.mRunTime < best->mAfter + best->mNear.mRunTime)) {
      best = ExpectedSlot{ near, *after };
    }
  }
  return best;
}

std::optional<Duration>
EarliestGangSlot(const RackForecast& aRack,
                 const Common::Resources& aNeed,
                 std::uint32_t aTasks,
                 std::span<const NearWorker> aNear)
{
  std::vector<std::pair<ExpectedRelease, std::size_t>> releases;
  std::vector<Common::Resources> free(aNear.size());
  for (std::size_t i = 0; i < aNear.size(); ++i) {
    if (const WorkerForecast* const forecast = FindForecast(aRack, aNear[i].mWorker)) {
      for (const ExpectedRelease& release : forecast->mReleases) {
        releases.emplace_back(release, i);
      }
    }
  }
  std::stable_sort(releases.begin(), releases.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first.mAfter < aRight.first.mAfter;
  });
  std::uint32_t fitting = 0;
  for (const auto& [release, near] : releases) {
    fitting -= TasksIn(free[near], aNeed, aTasks);
    free[near] = free[near] + release.mFreed;
    fitting += TasksIn(free[near], aNeed, aTasks);
    if (fitting >= aTasks) {
      return release.mAfter;
    }
  }
  return std::nullopt;
}

void
TakeSlot(RackForecast& aRack, const ExpectedSlot& aSlot, const Common::Resources& aNeed, bool aEnds)
{
  const WorkerForecast* const found = FindForecast(aRack, aSlot.mNear.mWorker);
  if (found == nullptr) {
    return;
  }
  auto& releases =
    aRack.mWorkers[static_cast<std::size_t>(found - aRack.mWorkers.data())].mReleases;
  const auto isLater = [](Duration aAfter, const ExpectedRelease& aRelease) {
    return aAfter < aRelease.mAfter;
  };
  // The latest releases up to the start go first, so that earlier ones are left for other tasks.
  const auto start = std::upper_bound(releases.begin(), releases.end(), aSlot.mAfter, isLater);
  Common::Resources need = aNeed;
  for (auto release = start; release != releases.begin();) {
    TakeFrom(*--release, need);
  }
  for (auto release = start; release != releases.end(); ++release) {
    TakeFrom(*release, need);
  }
  std::erase_if(releases, [](const ExpectedRelease& aRelease) {
    return aRelease.mFreed == Common::Resources{};
  });
  if (aEnds) {
    const Duration end = aSlot.mAfter + aSlot.mNear.mRunTime;
    releases.insert(std::upper_bound(releases.begin(), releases.end(), end, isLater),
                    { end, aNeed });
  }
}

bool
PaysToWait(const WaitChoice& aChoice)
{
  const Duration gain = aChoice.mRemoteTime - aChoice.mNearTime;
  return aChoice.mExpectedWait * kMinGainPerWait < gain &&
         aChoice.mWaited + aChoice.mExpectedWait < std::min<Duration>(gain, kMaxWait);
}

} // namespace Scheduling
