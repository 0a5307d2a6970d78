#include <algorithm>
#include <vector>

#include "ProcessBench/Fleet.h"

namespace ProcessBench {

namespace {

using namespace std::chrono_literals;

struct Latencies
{
  std::vector<double> mAddedMedian;
  std::vector<double> mDirect99;
  std::vector<double> mThrough99;
  std::vector<double> mRatio99;
  std::uint64_t mNotAnswered = 0;
  std::uint64_t mSent = 0;
};

// The median of the rounds, so that a round in which the machine was busy does not decide.
double
Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.empty() ? 0 : aValues[aValues.size() / 2];
}

double
Millis(const LoadTool::LoadResult& aResult, double aQuantile)
{
  return static_cast<double>(aResult.mLatency.quantile(aQuantile)) / 1000;
}

LoadTool::LoadResult
Run(LoadTool::LoadConfig aConfig, std::uint64_t aSeed, Latencies& aInto)
{
  aConfig.mPerSecond = 200;
  aConfig.mConnections = 8;
  aConfig.mLength = Bench::Quick() ? 1s : 3s;
  // Both sides of a round get the same arrivals.
  aConfig.mSeed = aSeed;
  LoadTool::LoadResult result = LoadTool::RunLoad(aConfig);
  aInto.mSent += result.mSent;
  aInto.mNotAnswered += result.mSent - result.mAnswered;
  return result;
}

void
AddRound(const Fleet& aFleet, std::uint64_t aRound, Latencies& aInto)
{
  const bool directFirst = aRound % 2 == 0;
  LoadTool::LoadResult direct;
  LoadTool::LoadResult through;
  if (directFirst) {
    direct = Run(aFleet.direct(), aRound, aInto);
  }
  through = Run(aFleet.through("/urgent"), aRound, aInto);
  if (!directFirst) {
    direct = Run(aFleet.direct(), aRound, aInto);
  }
  aInto.mAddedMedian.push_back(Millis(through, 0.5) - Millis(direct, 0.5));
  aInto.mDirect99.push_back(Millis(direct, 0.99));
  aInto.mThrough99.push_back(Millis(through, 0.99));
  aInto.mRatio99.push_back(Millis(through, 0.99) / std::max(0.001, Millis(direct, 0.99)));
}

Bench::Measures
MeasureLatency(int aServiceMillis)
{
  const std::string area = "latency, service time " + std::to_string(aServiceMillis) + " ms: ";
  const auto fleet = Fleet::start({ aServiceMillis });
  if (!fleet) {
    return FailedStart(area, fleet.error());
  }
  Latencies latencies;
  const std::uint64_t rounds = Bench::Quick() ? 3 : 5;
  for (std::uint64_t round = 1; round <= rounds; ++round) {
    AddRound(**fleet, round, latencies);
  }
  return {
    // The baseline is the target.
    { area + "p50 added by entry and agent",
      "ms",
      Median(latencies.mAddedMedian),
      1,
      Bench::Bound::AtMost,
      1 },
    { area + "p99 through entry and agent to direct, median of rounds",
      "ratio",
      Median(latencies.mRatio99),
      1,
      Bench::Bound::AtMost,
      2 },
    { area + "p99 through entry and agent, to direct",
      "ms",
      Median(latencies.mThrough99),
      Median(latencies.mDirect99) },
    { area + "requests not answered, of those sent",
      "requests",
      static_cast<double>(latencies.mNotAnswered),
      static_cast<double>(latencies.mSent),
      Bench::Bound::AtMost,
      0 },
  };
}

const Bench::Registration kWithoutService("latency-0", [] { return MeasureLatency(0); });
const Bench::Registration kWithService("latency-5", [] {
  return Bench::Quick() ? Bench::Measures() : MeasureLatency(5);
});

} // namespace

} // namespace ProcessBench
