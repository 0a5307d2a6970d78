#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "Scheduling/Model.h"

/// Whether a task waits for a place near its data or starts elsewhere: pure functions over what is
/// expected to happen on the workers of one rack. Times are relative to now.
namespace Scheduling {

/// A run as far as it is known.
struct RunState
{
  Duration mElapsed{ 0 };
  /// Expected run time on its worker.
  Duration mExpected{ 0 };
  /// Last reported progress, and the time since it was reported.
  Percent mPercent;
  Duration mSinceProgress{ 0 };
};

/// Expected time until the run ends; never 0, because a run that takes longer than expected need
/// not end at once.
Duration
ExpectedRemaining(const RunState& aRun);

/// Resources that are free on a worker from a time on.
struct ExpectedRelease
{
  Duration mAfter{ 0 };
  Common::Resources mFreed;
};

/// Releases of one worker in the order of their times. What is free now comes first.
struct WorkerForecast
{
  std::uint32_t mWorker = 0;
  std::vector<ExpectedRelease> mReleases;
};

struct RackForecast
{
  std::vector<WorkerForecast> mWorkers;
};

/// A worker near the data that can run the tasks of a step.
struct NearWorker
{
  std::uint32_t mWorker = 0;
  Duration mRunTime{ 0 };
};

/// A place for one task.
struct ExpectedSlot
{
  NearWorker mNear;
  Duration mAfter{ 0 };
};

/// The place near the data on which a task ends first, or nothing if no expected release makes room
/// for it.
std::optional<ExpectedSlot>
EarliestSlot(const RackForecast& aRack,
             const Common::Resources& aNeed,
             std::span<const NearWorker> aNear);

/// Time after which aTasks tasks fit on the workers at once.
std::optional<Duration>
EarliestGangSlot(const RackForecast& aRack,
                 const Common::Resources& aNeed,
                 std::uint32_t aTasks,
                 std::span<const NearWorker> aNear);

/// Reserves the place for a task that starts or waits there, so that the next tasks in the order
/// count with a later one. The place is free again after the run time, if the run ends.
void
TakeSlot(RackForecast& aRack,
         const ExpectedSlot& aSlot,
         const Common::Resources& aNeed,
         bool aEnds = true);

struct WaitChoice
{
  Duration mExpectedWait{ 0 };
  /// Time that the task has waited for a place near its data so far.
  Duration mWaited{ 0 };
  Duration mNearTime{ 0 };
  Duration mRemoteTime{ 0 };
};

/// True if the task should wait. It then ends before it would elsewhere, even if the wait takes
/// twice as long as expected, so no job misses an objective that it would meet elsewhere.
bool
PaysToWait(const WaitChoice& aChoice);

} // namespace Scheduling
