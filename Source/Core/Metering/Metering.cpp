#include "Metering/Metering.h"

namespace Metering {

namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

UseKey
WithoutClient(const UseKey& aKey)
{
  return { aKey.mTeam, Common::ClientId(), aKey.mRoute, aKey.mPrice };
}

} // namespace

Use&
Use::operator+=(const Use& aOther)
{
  mCount += aOther.mCount;
  mSlotMicros += aOther.mSlotMicros;
  mCoreMicros += aOther.mCoreMicros;
  return *this;
}

void
RecordUse(Meter& aMeter, const UseKey& aKey, const Use& aUse)
{
  ++aMeter.mVersion;
  const bool room = aMeter.mTotals.size() < aMeter.mMaxLines || aMeter.mTotals.contains(aKey);
  aMeter.mTotals[room ? aKey : WithoutClient(aKey)] += aUse;
}

UseReport
TakeReport(const Meter& aMeter, const Common::InstanceId& aSource, Common::Incarnation aIncarnation)
{
  return { aSource, aIncarnation, aMeter.mVersion, aMeter.mTotals };
}

bool
ApplyReport(Collector& aCollector, UseReport aReport)
{
  Collector::Source& source = aCollector.mSources[aReport.mSource];
  const bool sameRun = aReport.mIncarnation == source.mIncarnation;
  const bool newer = aReport.mIncarnation > source.mIncarnation ||
                     (sameRun && !source.mRetired && aReport.mVersion > source.mVersion);
  if (!newer) {
    return false;
  }
  if (aReport.mIncarnation > source.mIncarnation) {
    Merge(aCollector.mEnded, source.mTotals);
  }
  source = { aReport.mIncarnation, aReport.mVersion, std::move(aReport.mTotals), false };
  return true;
}

void
RetireSource(Collector& aCollector, const Common::InstanceId& aSource)
{
  const auto found = aCollector.mSources.find(aSource);
  if (found != aCollector.mSources.end()) {
    Merge(aCollector.mEnded, found->second.mTotals);
    found->second.mTotals.clear();
    found->second.mRetired = true;
  }
}

UseTable
Totals(const Collector& aCollector)
{
  UseTable totals = aCollector.mEnded;
  for (const auto& [name, source] : aCollector.mSources) {
    Merge(totals, source.mTotals);
  }
  return totals;
}

void
Merge(UseTable& aInto, const UseTable& aFrom)
{
  for (const auto& [key, use] : aFrom) {
    aInto[key] += use;
  }
}

Common::MicroPrice
Charge(const UseKey& aKey, const Use& aUse)
{
  __extension__ using Wide = __int128;
  const Wide micros = static_cast<Wide>(aUse.mSlotMicros) + aUse.mCoreMicros;
  const Wide charge = micros * aKey.mPrice.value() / kMicrosPerSecond;
  return Common::MicroPrice(static_cast<std::int64_t>(charge));
}

} // namespace Metering
