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

/// Use of the instances per team, client, route and price.
namespace Metering {

struct UseKey
{
  Common::TeamId mTeam;
  Common::ClientId mClient;
  Common::RouteId mRoute;
  /// Price in force when the work started; a changed price gives a line of its own.
  Common::MicroPrice mPrice;

  auto operator<=>(const UseKey&) const = default;
};

struct Use
{
  std::int64_t mCount = 0;
  std::int64_t mSlotMicros = 0;
  std::int64_t mCoreMicros = 0;

  bool operator==(const Use&) const = default;
  Use& operator+=(const Use& aOther);
};

using UseTable = std::map<UseKey, Use>;

/// Running totals of one instance since its start.
struct Meter
{
  UseTable mTotals;
  /// Beyond this many lines, use of further clients is added to the line of their team and route
  /// with an empty client, so that totals stay exact.
  std::size_t mMaxLines = 4096;
  /// Number of changes; grows with every RecordUse.
  std::uint64_t mVersion = 0;
};

void
RecordUse(Meter& aMeter, const UseKey& aKey, const Use& aUse);

/// Running totals of one source, as of a version.
struct UseReport
{
  Common::InstanceId mSource;
  Common::Incarnation mIncarnation;
  std::uint64_t mVersion = 0;
  UseTable mTotals;
};

UseReport
TakeReport(const Meter& aMeter,
           const Common::InstanceId& aSource,
           Common::Incarnation aIncarnation);

/// What a collector knows of its sources.
struct Collector
{
  struct Source
  {
    Common::Incarnation mIncarnation;
    std::uint64_t mVersion = 0;
    UseTable mTotals;
    /// The totals of this incarnation are in mEnded; its reports no longer count.
    bool mRetired = false;
  };

  std::map<Common::InstanceId, Source> mSources;
  /// Totals of incarnations that have ended and of sources that were retired.
  UseTable mEnded;
};

/// Takes in a report. Repeated and older reports change nothing. False if the report was not newer.
bool
ApplyReport(Collector& aCollector, UseReport aReport);

/// Moves a source that is gone to the ended totals. Its name stays known, so that a delayed report
/// of the same incarnation is not counted again; instance names are few and used again.
void
RetireSource(Collector& aCollector, const Common::InstanceId& aSource);

/// Use of all sources together.
UseTable
Totals(const Collector& aCollector);

void
Merge(UseTable& aInto, const UseTable& aFrom);

/// Price of the use in millionths of the currency, rounded down once per line.
Common::MicroPrice
Charge(const UseKey& aKey, const Use& aUse);

} // namespace Metering
