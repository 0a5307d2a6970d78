#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "Metering/Metering.h"

using namespace Metering;

namespace {

UsageKey
MakeKey(int aClient, std::int64_t aPrice = 10)
{
  return { Common::TeamId("team"),
           Common::ClientId("client" + std::to_string(aClient)),
           Common::RouteId("route"),
           Common::MicroPrice(aPrice) };
}

std::int64_t
SumOfCounts(const UsageTable& aTable)
{
  std::int64_t sum = 0;
  for (const auto& [key, usage] : aTable) {
    sum += usage.mCount;
  }
  return sum;
}

} // namespace

TEST_CASE("Totals are exact when reports are repeated, late or lost", "[Metering]")
{
  rc::prop("over random uses, restarts and reports", [] {
    struct Instance
    {
      Meter mMeter;
      std::int64_t mIncarnation = 1;
    };
    std::array<Instance, 3> instances;
    std::vector<UsageReport> sent;
    Collector collector;
    std::int64_t recorded = 0;
    const auto report = [&](std::size_t aAt) {
      return MakeUsageReport(instances[aAt].mMeter,
                             Common::InstanceId(std::to_string(aAt)),
                             Common::Incarnation(instances[aAt].mIncarnation));
    };
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 30)));
    for (const auto& [kind, number] : steps) {
      const auto at = static_cast<std::size_t>(number) % instances.size();
      if (kind <= 2) {
        instances[at].mMeter.mMaxLines = 4;
        RecordUsage(instances[at].mMeter, MakeKey(number), { 1, 5, 0 });
        ++recorded;
      } else if (kind == 3) {
        sent.push_back(report(at));
      } else if (kind == 4 && !sent.empty()) {
        ApplyReport(collector, sent[static_cast<std::size_t>(number) % sent.size()]);
      } else if (kind == 5) {
        // Before a planned restart, an instance reports its final totals.
        ApplyReport(collector, report(at));
        instances[at] = { Meter{}, instances[at].mIncarnation + 1 };
      }
    }
    for (std::size_t at = 0; at < instances.size(); ++at) {
      ApplyReport(collector, report(at));
      ApplyReport(collector, report(at));
      RetireSource(collector, Common::InstanceId(std::to_string(at)));
      // A delayed duplicate after the source was retired must not be counted again.
      ApplyReport(collector, report(at));
    }
    for (const UsageReport& old : sent) {
      ApplyReport(collector, old);
    }
    RC_ASSERT(SumOfCounts(TotalUsage(collector)) == recorded);
  });
}

TEST_CASE("Each line is charged at its own price", "[Metering]")
{
  Meter meter;
  RecordUsage(meter, MakeKey(1, 10), { 1, 1'500'000, 0 });
  RecordUsage(meter, MakeKey(1, 20), { 1, 0, 2'000'000 });
  REQUIRE(ComputeCharge(MakeKey(1, 10), meter.mTotals.at(MakeKey(1, 10))) ==
          Common::MicroPrice(15));
  REQUIRE(ComputeCharge(MakeKey(1, 20), meter.mTotals.at(MakeKey(1, 20))) ==
          Common::MicroPrice(40));
}
