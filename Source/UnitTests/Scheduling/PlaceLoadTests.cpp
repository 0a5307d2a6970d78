#include <sstream>

#include <catch2/catch.hpp>

#include "PlaceLoad.h"

using namespace SchedulingTests;

namespace {

/// Factor by which waiting may be worse than another policy.
constexpr double kTolerance = 1.05;
/// Sequences of arrivals of which the mean counts.
constexpr std::uint32_t kSeeds = 4;

std::int64_t
Ms(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

std::string
Describe(const std::string& aName, const PlaceLoadResult& aResult)
{
  std::ostringstream text;
  text << aName << ": mean " << Ms(aResult.mMeanCompletion) << " ms, hot "
       << Ms(aResult.mMeanHotCompletion) << " ms, worst " << Ms(aResult.mWorstCompletion)
       << " ms, in time " << aResult.mWithinObjective << ", near " << aResult.mCounts.mNearStarts
       << ", remote " << aResult.mCounts.mRemoteStarts << ", waits " << aResult.mCounts.mPlaceWaits
       << ", unfinished " << aResult.mUnfinished << '\n';
  return text.str();
}

/// Mean over the seeds; the worst and the unfinished ones of all.
PlaceLoadResult
RunAll(const PlaceLoad& aLoad)
{
  PlaceLoadResult all;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    const PlaceLoadResult one = RunPlaceLoad(aLoad, seed);
    all.mMeanCompletion += one.mMeanCompletion / kSeeds;
    all.mMeanHotCompletion += one.mMeanHotCompletion / kSeeds;
    all.mWorstCompletion = std::max(all.mWorstCompletion, one.mWorstCompletion);
    all.mWithinObjective += one.mWithinObjective;
    all.mUnfinished += one.mUnfinished;
    all.mCounts.mNearStarts += one.mCounts.mNearStarts;
    all.mCounts.mRemoteStarts += one.mCounts.mRemoteStarts;
    all.mCounts.mPlaceWaits += one.mCounts.mPlaceWaits;
  }
  return all;
}

PlaceLoadResult
RunOff(PlaceLoad aLoad)
{
  aLoad.mKnownFactor = 1.0;
  return RunAll(aLoad);
}

PlaceLoadResult
RunFixed(PlaceLoad aLoad, Duration aDelay)
{
  aLoad.mKnownFactor = 1.0;
  aLoad.mFixedDelay = aDelay;
  return RunAll(aLoad);
}

/// Checks the mean completion against no waiting and against three fixed delays.
void
CompareWithOthers(const PlaceLoad& aLoad)
{
  const PlaceLoadResult on = RunAll(aLoad);
  const PlaceLoadResult off = RunOff(aLoad);
  std::string text = Describe("on", on) + Describe("off", off);
  std::vector<PlaceLoadResult> others{ off };
  for (const int delay : { 200, 500, 1000 }) {
    others.push_back(RunFixed(aLoad, milliseconds(delay)));
    text += Describe("fixed " + std::to_string(delay), others.back());
  }
  INFO(text);
  REQUIRE(on.mUnfinished == 0);
  for (const PlaceLoadResult& other : others) {
    CHECK(static_cast<double>(on.mMeanCompletion.count()) <=
          kTolerance * static_cast<double>(other.mMeanCompletion.count()));
  }
}

} // namespace

TEST_CASE("Waiting for a hot rack is no worse than not waiting or a fixed delay", "[Scheduling]")
{
  // Load: 60% of 15 jobs a second of 10 tasks name one rack of 4 workers with 32 cores.
  PlaceLoad load;

  SECTION("below the capacity of the rack")
  {
    load.mMilliCores = 1'600;
    CompareWithOthers(load);
  }
  SECTION("near the capacity of the rack")
  {
    CompareWithOthers(load);
  }
  SECTION("beyond the capacity of the rack")
  {
    load.mMilliCores = 3'200;
    load.mOtherWorkers = 30;
    CompareWithOthers(load);
  }
  SECTION("with steps of 57 tasks")
  {
    load.mTasks = 57;
    load.mJobsPerSecond = 2.6;
    CompareWithOthers(load);
  }
  SECTION("with a rack that dies while it is waited for")
  {
    load.mRackDiesAt = std::chrono::seconds(10);
    CompareWithOthers(load);
  }
  SECTION("with estimates of half the run time")
  {
    load.mEstimateError = 0.5;
    load.mLearns = false;
    CompareWithOthers(load);
  }
  SECTION("with estimates of double the run time")
  {
    load.mEstimateError = 2.0;
    load.mLearns = false;
    CompareWithOthers(load);
  }
}
