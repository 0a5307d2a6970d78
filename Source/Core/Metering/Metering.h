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

/// Meters the usage of instances per team, client, route and price, for billing.
namespace Metering {

/// Identifies one line of a usage table.
struct UsageKey
{
  Common::TeamId mTeam;
  Common::ClientId mClient;
  Common::RouteId mRoute;
  /// Price per second of a slot or core, in force when the work started. After a change of price,
  /// usage goes to a new line.
  Common::MicroPrice mPrice;

  auto operator<=>(const UsageKey&) const = default;
};

/// Number of requests or tasks, and the slots and cores that they held, in slot-microseconds and
/// core-microseconds.
struct Usage
{
  std::int64_t mCount = 0;
  std::int64_t mSlotMicros = 0;
  std::int64_t mCoreMicros = 0;

  bool operator==(const Usage&) const = default;
  Usage& operator+=(const Usage& aOther);
};

/// Usage by key; each entry is a line.
using UsageTable = std::map<UsageKey, Usage>;

/// Cumulative usage of one instance since its start.
struct Meter
{
  UsageTable mTotals;
  /// When the table has this many lines, usage under a new key is added to the line with the same
  /// team, route and price and an empty client, so that the totals stay exact.
  std::size_t mMaxLines = 4096;
  /// Incremented by every RecordUsage.
  std::uint64_t mVersion = 0;
};

/// Adds aUsage to the line of aKey; see mMaxLines for a full table.
void
RecordUsage(Meter& aMeter, const UsageKey& aKey, const Usage& aUsage);

/// Cumulative usage of one source (an instance) at one version.
struct UsageReport
{
  Common::InstanceId mSource;
  Common::Incarnation mIncarnation;
  std::uint64_t mVersion = 0;
  UsageTable mTotals;
};

/// Returns the meter's current totals as a report of aSource.
UsageReport
MakeUsageReport(const Meter& aMeter,
                const Common::InstanceId& aSource,
                Common::Incarnation aIncarnation);

/// Aggregates the usage reports of many sources.
struct Collector
{
  /// The newest report of one source.
  struct Source
  {
    Common::Incarnation mIncarnation;
    std::uint64_t mVersion = 0;
    UsageTable mTotals;
    /// The totals of this incarnation have been moved to mEndedTotals; its reports are ignored.
    bool mRetired = false;
  };

  std::map<Common::InstanceId, Source> mSources;
  /// Usage of incarnations that have ended and of retired sources.
  UsageTable mEndedTotals;
};

/// Replaces the totals of the report's source. Returns false and changes nothing if the report is
/// not newer than the last one.
bool
ApplyReport(Collector& aCollector, UsageReport aReport);

/// Moves the totals of a source that is gone to mEndedTotals. The source stays in the map, so that
/// a delayed report of the same incarnation is not counted again; the map stays small because
/// instance names are few and are reused.
void
RetireSource(Collector& aCollector, const Common::InstanceId& aSource);

/// Returns the usage of all sources together.
UsageTable
TotalUsage(const Collector& aCollector);

/// Adds every line of aFrom to aInto.
void
Merge(UsageTable& aInto, const UsageTable& aFrom);

/// Returns the charge for one line in millionths of the currency, rounded down once per line.
Common::MicroPrice
ComputeCharge(const UsageKey& aKey, const Usage& aUsage);

} // namespace Metering
