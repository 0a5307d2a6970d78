#include <algorithm>

#include "Store/SegmentCodec.h"
#include "Store/SegmentHead.h"
#include "Store/Segments.h"
#include "Store/Settle.h"

namespace Store {

namespace {

// A deposed writer runs into the marker of its successor. Only a process that was paused through
// this many changes of the owner could miss it.
constexpr std::size_t kKeptMarkers = 256;

using Done = tl::expected<void, LogError>;

Done
EraseKey(StorePort& aStore, const std::string& aKey)
{
  const auto entry = aStore.read(aKey);
  if (!entry) {
    return tl::unexpected(LogError::Unavailable);
  }
  if (*entry) {
    const auto erased = aStore.erase(aKey, (*entry)->mVersion);
    // Unknown is as good as erased: what is left is found missing or removed the next time.
    if (!erased && erased.error() == StoreError::Unavailable) {
      return tl::unexpected(LogError::Unavailable);
    }
  }
  return {};
}

Done
EraseParts(StorePort& aStore,
           const std::string& aPrefix,
           const std::string& aGeneration,
           std::int64_t aParts)
{
  for (std::int64_t part = 0; part < aParts; ++part) {
    if (auto erased = EraseKey(aStore, PartKey(aPrefix, aGeneration, part)); !erased) {
      return erased;
    }
  }
  return {};
}

struct LoadedPlan
{
  PlanRecord mRecord;
  /// 0 if there is no plan.
  Version mVersion;
};

tl::expected<LoadedPlan, LogError>
LoadPlan(StorePort& aStore, const std::string& aPrefix)
{
  const auto entry = aStore.read(PlanKey(aPrefix));
  if (!entry) {
    return tl::unexpected(LogError::Unavailable);
  }
  if (!*entry) {
    return LoadedPlan{};
  }
  auto plan = DecodePlan((*entry)->mValue);
  if (!plan) {
    return tl::unexpected(LogError::Damaged);
  }
  return LoadedPlan{ std::move(*plan), (*entry)->mVersion };
}

// Erases what the snapshot in force replaced, and then the plan if it still is the same.
Done
CleanAfter(StorePort& aStore, const LogWriter& aWriter, const LoadedPlan& aPlan)
{
  const PlanRecord& plan = aPlan.mRecord;
  const auto& markers = aWriter.mMarkers;
  for (std::int64_t number = plan.mFirst; number <= plan.mThrough; ++number) {
    if (std::find(markers.begin(), markers.end(), number) != markers.end()) {
      continue;
    }
    if (auto erased = EraseKey(aStore, SegmentKey(aWriter.mPrefix, number)); !erased) {
      return erased;
    }
  }
  if (auto erased = EraseParts(aStore, aWriter.mPrefix, plan.mOldGeneration, plan.mOldParts);
      !erased) {
    return erased;
  }
  // A plan that stays only makes the next compaction repeat this.
  (void)aStore.erase(PlanKey(aWriter.mPrefix), aPlan.mVersion);
  return {};
}

// Finishes or removes what an earlier compaction left. Before parts of a snapshot that is not in
// force are erased, the head gets a new version, so that a delayed write cannot bring it in force.
Done
CleanUp(StorePort& aStore, const LogWriter& aWriter, LoadedHead& aHead)
{
  const auto plan = LoadPlan(aStore, aWriter.mPrefix);
  if (!plan) {
    return tl::unexpected(plan.error());
  }
  if (plan->mVersion == Version()) {
    return {};
  }
  if (plan->mRecord.mGeneration == aHead.mRecord.mGeneration) {
    return CleanAfter(aStore, aWriter, *plan);
  }
  if (auto fenced = StoreHead(aStore, aWriter, aHead); !fenced) {
    return fenced;
  }
  return EraseParts(aStore, aWriter.mPrefix, plan->mRecord.mGeneration, plan->mRecord.mParts);
}

// Writes the plan and then the parts, and returns the version of the plan.
tl::expected<Version, LogError>
WriteSnapshot(StorePort& aStore,
              const LogWriter& aWriter,
              const PlanRecord& aPlan,
              const std::vector<std::vector<std::string>>& aGroups)
{
  const auto before = aStore.read(PlanKey(aWriter.mPrefix));
  if (!before) {
    return tl::unexpected(LogError::Unavailable);
  }
  const auto planned = SwapSettled(
    aStore, PlanKey(aWriter.mPrefix), *before ? (*before)->mVersion : Version(), EncodePlan(aPlan));
  if (!planned) {
    // A deposed writer may still write plans; only the head tells who is deposed.
    return tl::unexpected(LogError::Unavailable);
  }
  std::int64_t part = 0;
  for (const std::vector<std::string>& group : aGroups) {
    const std::string key = PartKey(aWriter.mPrefix, aPlan.mGeneration, part++);
    const auto written = SwapSettled(aStore, key, Version(), EncodePart(group));
    if (!written) {
      return tl::unexpected(written.error() == StoreError::TooLarge ? LogError::TooLarge
                                                                    : LogError::Unavailable);
    }
  }
  return *planned;
}

// Drops the oldest markers beyond the kept ones and erases them.
void
TrimMarkers(StorePort& aStore, LogWriter& aWriter)
{
  while (aWriter.mMarkers.size() > kKeptMarkers &&
         EraseKey(aStore, SegmentKey(aWriter.mPrefix, aWriter.mMarkers.front()))) {
    aWriter.mMarkers.erase(aWriter.mMarkers.begin());
  }
}

} // namespace

tl::expected<void, LogError>
CompactLog(StorePort& aStore, LogWriter& aWriter, const std::vector<std::string>& aRecords)
{
  const auto groups = PackRecords(aRecords);
  if (!groups) {
    return tl::unexpected(groups.error());
  }
  if (aWriter.mInDoubt) {
    return tl::unexpected(LogError::Unknown);
  }
  auto head = LoadHead(aStore, aWriter.mPrefix);
  if (!head) {
    return tl::unexpected(head.error());
  }
  if (head->mRecord.mWriterToken != aWriter.mToken) {
    return tl::unexpected(LogError::Deposed);
  }
  if (auto clean = CleanUp(aStore, aWriter, *head); !clean) {
    return clean;
  }
  HeadRecord& record = head->mRecord;
  const std::int64_t through = aWriter.mNext - 1;
  const PlanRecord plan{ std::to_string(through) + "-" + aWriter.mToken + "-" +
                           std::to_string(record.mSerial),
                         static_cast<std::int64_t>(groups->size()),
                         record.mGeneration,
                         record.mParts,
                         record.mThrough + 1,
                         through };
  const auto planned = WriteSnapshot(aStore, aWriter, plan, *groups);
  if (!planned) {
    return tl::unexpected(planned.error());
  }
  TrimMarkers(aStore, aWriter);
  record.mThrough = through;
  record.mGeneration = plan.mGeneration;
  record.mParts = plan.mParts;
  record.mMarkers = aWriter.mMarkers;
  if (auto moved = StoreHead(aStore, aWriter, *head); !moved) {
    return moved;
  }
  // A failure here leaves the plan, and the next compaction goes on from it.
  (void)CleanAfter(aStore, aWriter, { plan, *planned });
  return {};
}

} // namespace Store
