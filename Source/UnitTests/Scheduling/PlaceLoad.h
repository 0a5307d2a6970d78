#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "Fixture.h"

/// Jobs that arrive over some time at workers of several racks, in virtual time. The decisions are
/// those of PlaceTasks and ApplyReport; runs take their time and workers report their ends at once.
namespace SchedulingTests {

struct PlaceLoad
{
  /// Multiple of the run time away from the data.
  double mRemoteFactor = 3.0;
  /// The scheduler's value of it; 1 turns waits off.
  double mKnownFactor = 3.0;
  /// Time for which a task starts only near its data, in place of the scheduler's decision.
  std::optional<Duration> mFixedDelay;
  /// Multiple of the run time that callers declare and earlier runs have taught.
  double mEstimateError = 1.0;
  /// The estimates stay wrong, as when run times change all the time.
  bool mLearns = true;
  double mJobsPerSecond = 15.0;
  std::uint32_t mTasks = 10;
  Duration mRunTime{ milliseconds(650) };
  std::int64_t mMilliCores = 2'000;
  /// Share of the jobs whose data is on the hot rack; the others name none.
  double mHotShare = 0.6;
  std::size_t mHotWorkers = 4;
  std::size_t mOtherWorkers = 20;
  std::int64_t mWorkerMilliCores = 32'000;
  Duration mArrivals{ std::chrono::seconds(20) };
  /// Time at which the workers of the hot rack are lost; none if zero.
  Duration mRackDiesAt{ 0 };
};

struct PlaceLoadResult
{
  Duration mMeanCompletion{ 0 };
  /// The same for the jobs whose data is on the hot rack.
  Duration mMeanHotCompletion{ 0 };
  Duration mWorstCompletion{ 0 };
  /// Jobs that ended within 1.5 times the run time and 600 ms, the objective of their queue.
  std::size_t mWithinObjective = 0;
  std::size_t mUnfinished = 0;
  TermCounters mCounts;
};

PlaceLoadResult
RunPlaceLoad(const PlaceLoad& aLoad, std::uint32_t aSeed);

} // namespace SchedulingTests
