#include "Metering/Metering.h"

namespace Metering {

namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

UsageKey
WithoutClient(const UsageKey& aKey)
{
  return { aKey.mTeam, Common::ClientId(), aKey.mRoute, aKey.mPrice };
}

} // namespace

Usage&
Usage::operator+=(const Usage& aOther)
{
  mCount += aOther.mCount;
  mSlotMicros += aOther.mSlotMicros;
  mCoreMicros += aOther.mCoreMicros;
  return *this;
}

void
RecordUsage(Meter& aMeter, const UsageKey& aKey, const Usage& aUsage)
{
  ++aMeter.mVersion;
  const bool hasRoom = aMeter.mTotals.size() < aMeter.mMaxLines || aMeter.mTotals.contains(aKey);
  aMeter.mTotals[hasRoom ? aKey : WithoutClient(aKey)] += aUsage;
}

UsageReport
MakeUsageReport(const Meter& aMeter,
                const Common::InstanceId& aSource,
                Common::Incarnation aIncarnation)
{
  return { aSource, aIncarnation, aMeter.mVersion, aMeter.mTotals };
}

bool
ApplyReport(Collector& aCollector, UsageReport aReport)
{
  Collector::Source& source = aCollector.mSources[aReport.mSource];
  const bool sameIncarnation = aReport.mIncarnation == source.mIncarnation;
  const bool newer = aReport.mIncarnation > source.mIncarnation ||
                     (sameIncarnation && !source.mRetired && aReport.mVersion > source.mVersion);
  if (!newer) {
    return false;
  }
  if (aReport.mIncarnation > source.mIncarnation) {
    Merge(aCollector.mEndedTotals, source.mTotals);
  }
  source = { aReport.mIncarnation, aReport.mVersion, std::move(aReport.mTotals), false };
  return true;
}

void
RetireSource(Collector& aCollector, const Common::InstanceId& aSource)
{
  const auto found = aCollector.mSources.find(aSource);
  if (found != aCollector.mSources.end()) {
    Merge(aCollector.mEndedTotals, found->second.mTotals);
    found->second.mTotals.clear();
    found->second.mRetired = true;
  }
}

UsageTable
TotalUsage(const Collector& aCollector)
{
  UsageTable totals = aCollector.mEndedTotals;
  for (const auto& [name, source] : aCollector.mSources) {
    Merge(totals, source.mTotals);
  }
  return totals;
}

void
Merge(UsageTable& aInto, const UsageTable& aFrom)
{
  for (const auto& [key, usage] : aFrom) {
    aInto[key] += usage;
  }
}

Common::MicroPrice
ComputeCharge(const UsageKey& aKey, const Usage& aUsage)
{
  // The product can exceed 64 bits.
  __extension__ using Wide = __int128;
  const Wide micros = static_cast<Wide>(aUsage.mSlotMicros) + aUsage.mCoreMicros;
  const Wide charge = micros * aKey.mPrice.value() / kMicrosPerSecond;
  return Common::MicroPrice(static_cast<std::int64_t>(charge));
}

} // namespace Metering
