#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include "Bench/Measure.h"
#include "UnitTests/Support/SpreadNetwork.h"

using namespace std::chrono_literals;

namespace Bench {

namespace {

using Support::NetworkConfig;
using Support::SpreadNetwork;

// 12,000 changes a day are one every 7.2 s.
constexpr Common::Duration kChangeInterval = 7200ms;
constexpr int kChanges = 6;
constexpr double kByteTarget = 6000;
constexpr double kTodayTarget = 2.0;
constexpr double kTwoYearTarget = 18.0;
constexpr std::size_t kTwoYearInstances = 28000;

Spread::TableTexts
TextsWithPrice(int aPrice)
{
  std::string routes;
  for (int i = 0; i < 40; ++i) {
    routes += "[[route]]\nname = \"route-" + std::to_string(i) + "\"\npool = \"pool\"\n";
    routes += "price_micro = " + std::to_string(i == 20 ? aPrice : 100) + "\n\n";
  }
  return { routes, "[[pool]]\nname = \"pool\"\n" };
}

struct SpreadFigures
{
  double mTo50 = 0;
  double mTo99 = 0;
  double mToAll = 0;
  double mBytesPerNode = 0;
  double mMostBytes = 0;
  double mMessagesPerNode = 0;
  double mStoreCalls = 0;
  double mCrossRegionBytes = 0;
};

double
Seconds(Common::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

double
WorstOf(double aWorst, std::optional<Common::Duration> aTime)
{
  // Not a number compares false with each bound, so a change that never got everywhere stays red.
  if (!aTime || std::isnan(aWorst)) {
    return std::nan("");
  }
  return std::max(aWorst, Seconds(*aTime));
}

/// Publishes changes at the two-year rate; figures are the worst of all changes, rates are means.
SpreadFigures
MeasureSpread(const NetworkConfig& aConfig)
{
  SpreadNetwork network(aConfig);
  network.publish(TextsWithPrice(0));
  network.run(kChangeInterval);
  const Support::Traffic before = network.traffic();
  std::vector<std::uint64_t> bytesBefore;
  for (std::size_t i = 0; i < network.size(); ++i) {
    bytesBefore.push_back(network.bytesOf(i));
  }

  SpreadFigures figures;
  for (int i = 1; i <= kChanges; ++i) {
    network.publish(TextsWithPrice(i));
    network.run(kChangeInterval);
    figures.mTo50 = WorstOf(figures.mTo50, network.timeToShare(0.5));
    figures.mTo99 = WorstOf(figures.mTo99, network.timeToShare(0.99));
    figures.mToAll = WorstOf(figures.mToAll, network.timeToShare(1.0));
  }
  const double seconds = Seconds(kChangeInterval) * kChanges;
  const auto nodes = static_cast<double>(network.size());
  const Support::Traffic& after = network.traffic();
  for (std::size_t i = 0; i < network.size(); ++i) {
    const auto bytes = static_cast<double>(network.bytesOf(i) - bytesBefore[i]);
    figures.mMostBytes = std::max(figures.mMostBytes, bytes / seconds);
    figures.mBytesPerNode += bytes / seconds / nodes;
  }
  figures.mMessagesPerNode =
    static_cast<double>(after.mMessages - before.mMessages) / seconds / nodes;
  figures.mStoreCalls = static_cast<double>(after.mStoreCalls - before.mStoreCalls) / seconds;
  figures.mCrossRegionBytes =
    static_cast<double>(after.mCrossRegionBytes - before.mCrossRegionBytes) / seconds;
  return figures;
}

/// Time from the end of a cut of one region until a change made during the cut is in force
/// everywhere.
double
MeasureAfterCut(NetworkConfig aConfig)
{
  SpreadNetwork network(aConfig);
  network.publish(TextsWithPrice(0));
  network.run(5s);
  network.setRegionCut(1, true);
  network.publish(TextsWithPrice(1));
  network.run(10s);
  network.setRegionCut(1, false);
  network.run(20s);
  const auto all = network.timeToShare(1.0);
  return all ? Seconds(*all) - 10.0 : std::nan("");
}

NetworkConfig
ConfigFor(std::size_t aInstances)
{
  NetworkConfig config;
  config.mInstances = aInstances;
  config.mLoss = 0.01;
  if (aInstances >= kTwoYearInstances) {
    config.mDataCentres = 15;
    config.mRegions = 4;
  }
  return config;
}

void
AddSize(Measures& aMeasures, std::size_t aInstances, const SpreadFigures& aFigures)
{
  const std::string at = "spread " + std::to_string(aInstances) + ": ";
  const bool today = aInstances <= 30;
  aMeasures.push_back({ at + "half in force", "s", aFigures.mTo50 });
  aMeasures.push_back({ at + "99% in force", "s", aFigures.mTo99 });
  aMeasures.push_back({ at + "all in force",
                        "s",
                        aFigures.mToAll,
                        today ? kTodayTarget : kTwoYearTarget,
                        Bound::AtMost,
                        1.0 });
  aMeasures.push_back({ at + "mean bytes a node", "B/s", aFigures.mBytesPerNode });
  aMeasures.push_back(
    { at + "most bytes of a node", "B/s", aFigures.mMostBytes, kByteTarget, Bound::AtMost, 1.0 });
  aMeasures.push_back({ at + "messages a node", "1/s", aFigures.mMessagesPerNode });
  aMeasures.push_back({ at + "between regions", "B/s", aFigures.mCrossRegionBytes });
}

Measures
RunSpread()
{
  Measures measures;
  std::vector<std::size_t> sizes{ 30, 300, 3000 };
  if (!Quick()) {
    sizes.push_back(kTwoYearInstances);
  }
  for (const std::size_t size : sizes) {
    const NetworkConfig config = ConfigFor(size);
    const SpreadFigures figures = MeasureSpread(config);
    AddSize(measures, size, figures);

    NetworkConfig baseline = config;
    baseline.mEveryProcessWatches = true;
    const SpreadFigures all = MeasureSpread(baseline);
    const std::string at = "spread " + std::to_string(size) + ": ";
    // The store serves about 2,000 reads a second; each waiting watch counts as one as well.
    measures.push_back({ at + "store calls against a watch in every process",
                         "1/s",
                         figures.mStoreCalls,
                         all.mStoreCalls });
  }
  measures.push_back({ "spread 30: in force after a region's cut ends",
                       "s",
                       MeasureAfterCut(ConfigFor(30)),
                       kTodayTarget,
                       Bound::AtMost,
                       1.0 });
  return measures;
}

const Registration kSpread{ "spread", RunSpread };

} // namespace

} // namespace Bench
