#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

/// Usage of the instances per team, client, route and price.
namespace Metering {

struct UsageKey
{
  Common::TeamId mTeam;
  Common::ClientId mClient;
  Common::RouteId mRoute;
  /// Price in force when the work started; a changed price gives a line of its own.
  Common::MicroPrice mPrice;

  auto operator<=>(const UsageKey&) const = default;
};

struct Usage
{
  std::int64_t mCount = 0;
  std::int64_t mSlotMicros = 0;
  std::int64_t mCoreMicros = 0;

  bool operator==(const Usage&) const = default;
  Usage& operator+=(const Usage& aOther);
};

using UsageTable = std::map<UsageKey, Usage>;

/// Running totals of one instance since its start.
struct Meter
{
  UsageTable mTotals;
  /// Beyond this many lines, use of further clients is added to the line of their team and route
  /// with an empty client, so that totals stay exact.
  std::size_t mMaxEntries = 4096;
  /// Number of changes; grows with every RecordUsage.
  std::uint64_t mVersion = 0;
};

void
RecordUsage(Meter& aMeter, const UsageKey& aKey, const Usage& aUsage);

/// Running totals of one source, as of a version.
struct UsageReport
{
  Common::InstanceId mSource;
  Common::Incarnation mIncarnation;
  std::uint64_t mVersion = 0;
  UsageTable mTotals;
};

UsageReport
MakeUsageReport(const Meter& aMeter,
                const Common::InstanceId& aSource,
                Common::Incarnation aIncarnation);

/// What a collector knows of its sources.
struct Collector
{
  struct Source
  {
    Common::Incarnation mIncarnation;
    std::uint64_t mVersion = 0;
    UsageTable mTotals;
    /// The totals of this incarnation are in mEndedTotals; its reports no longer count.
    bool mRetired = false;
  };

  std::map<Common::InstanceId, Source> mSources;
  /// Totals of incarnations that have ended and of sources that were retired.
  UsageTable mEndedTotals;
};

/// Takes in a report. Repeated and older reports change nothing. False if the report was not newer.
bool
ApplyReport(Collector& aCollector, UsageReport aReport);

/// Moves a source that is gone to the ended totals. Its name stays known, so that a delayed report
/// of the same incarnation is not counted again; instance names are few and used again.
void
RetireSource(Collector& aCollector, const Common::InstanceId& aSource);

/// Usage of all sources together.
UsageTable
TotalUsage(const Collector& aCollector);

void
Merge(UsageTable& aInto, const UsageTable& aFrom);

/// Price of the use in millionths of the currency, rounded down once per line.
Common::MicroPrice
ComputeCharge(const UsageKey& aKey, const Usage& aUsage);

} // namespace Metering
