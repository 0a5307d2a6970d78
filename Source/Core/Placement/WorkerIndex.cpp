#include "Placement/WorkerIndex.h"

#include <algorithm>
#include <bit>

namespace Placement {

namespace {

std::uint32_t
ClampToUint32(std::int64_t aValue)
{
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(aValue, 0, UINT32_MAX));
}

std::uint16_t
ClampToUint16(std::int64_t aValue)
{
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(aValue, 0, UINT16_MAX));
}

/// Returns a key that does not depend on the order of the labels.
std::string
JoinLabels(std::vector<std::string> aLabels)
{
  std::sort(aLabels.begin(), aLabels.end());
  std::string joined;
  for (const std::string& label : aLabels) {
    joined += label;
    joined += '\0';
  }
  return joined;
}

bool
ContainsAll(const std::vector<std::string>& aPresent, const std::vector<std::string>& aRequired)
{
  return std::all_of(aRequired.begin(), aRequired.end(), [&](const std::string& aLabel) {
    return std::find(aPresent.begin(), aPresent.end(), aLabel) != aPresent.end();
  });
}

std::uint16_t
FindOrAddClass(WorkerIndex& aIndex, const std::vector<std::string>& aLabels)
{
  const auto [entry, isNew] = aIndex.mClassByLabels.try_emplace(
    JoinLabels(aLabels), static_cast<std::uint16_t>(aIndex.mLabelClasses.size()));
  if (isNew) {
    LabelClass& added = aIndex.mLabelClasses.emplace_back();
    added.mLabels = aLabels;
    added.mBuckets.resize(kBucketCount);
    aIndex.mMatchingClasses.clear();
  }
  return entry->second;
}

/// Returns 0 for an empty key; other keys are numbered from 1.
template<typename Map, typename Key>
std::uint16_t
FindOrAssignNumber(Map& aMap, const Key& aKey)
{
  if (aKey.empty()) {
    return 0;
  }
  return aMap.try_emplace(aKey, static_cast<std::uint16_t>(aMap.size() + 1)).first->second;
}

void
UpdateNonEmptyBit(LabelClass& aClass, std::uint32_t aBucketNumber)
{
  const std::uint32_t memoryLevel = aBucketNumber % kMemoryLevels;
  const std::uint32_t acceleratorAndCoreLevel = aBucketNumber / kMemoryLevels;
  std::uint16_t& nonEmpty = aClass.mNonEmptyBuckets[acceleratorAndCoreLevel / kCoreLevels]
                                                   [acceleratorAndCoreLevel % kCoreLevels];
  const auto bit = static_cast<std::uint16_t>(1U << memoryLevel);
  if (aClass.mBuckets[aBucketNumber].empty()) {
    nonEmpty = static_cast<std::uint16_t>(nonEmpty & ~bit);
  } else {
    nonEmpty = static_cast<std::uint16_t>(nonEmpty | bit);
  }
}

void
RemoveFromBucket(WorkerIndex& aIndex, WorkerNumber aWorker)
{
  WorkerHotState& hot = aIndex.mHotStates[aWorker];
  LabelClass& labelClass = aIndex.mLabelClasses[hot.mLabelClassNumber];
  auto& bucket = labelClass.mBuckets[hot.mBucketNumber];
  bucket[hot.mPositionInBucket] = bucket.back();
  aIndex.mHotStates[bucket.back()].mPositionInBucket = hot.mPositionInBucket;
  bucket.pop_back();
  UpdateNonEmptyBit(labelClass, hot.mBucketNumber);
}

void
AddToBucket(WorkerIndex& aIndex, WorkerNumber aWorker, std::uint32_t aBucketNumber)
{
  WorkerHotState& hot = aIndex.mHotStates[aWorker];
  LabelClass& labelClass = aIndex.mLabelClasses[hot.mLabelClassNumber];
  hot.mBucketNumber = static_cast<std::uint16_t>(aBucketNumber);
  hot.mPositionInBucket = static_cast<std::uint32_t>(labelClass.mBuckets[aBucketNumber].size());
  labelClass.mBuckets[aBucketNumber].push_back(aWorker);
  UpdateNonEmptyBit(labelClass, aBucketNumber);
}

void
RemoveCandidate(WorkerIndex& aIndex, WorkerNumber aWorker)
{
  WorkerHotState& hot = aIndex.mHotStates[aWorker];
  if (!hot.mIsCandidate) {
    return;
  }
  RemoveFromBucket(aIndex, aWorker);
  auto& members = aIndex.mLabelClasses[hot.mLabelClassNumber].mMembers;
  const std::uint32_t position = aIndex.mColdStates[aWorker].mPositionInClass;
  members[position] = members.back();
  aIndex.mColdStates[members[position]].mPositionInClass = position;
  members.pop_back();
  hot.mIsCandidate = false;
}

/// Lists the worker in its label class and bucket, unless it is listed already or unschedulable.
void
AddCandidate(WorkerIndex& aIndex, WorkerNumber aWorker)
{
  WorkerHotState& hot = aIndex.mHotStates[aWorker];
  if (hot.mIsCandidate || hot.mSchedulability == Schedulability::Unschedulable) {
    return;
  }
  auto& members = aIndex.mLabelClasses[hot.mLabelClassNumber].mMembers;
  aIndex.mColdStates[aWorker].mPositionInClass = static_cast<std::uint32_t>(members.size());
  members.push_back(aWorker);
  AddToBucket(aIndex,
              aWorker,
              BucketNumber(AcceleratorLevel(hot.mFreeAccelerators),
                           CoreLevel(hot.mFreeMilliCores),
                           MemoryLevel(hot.mFreeMemoryKib)));
  hot.mIsCandidate = true;
}

/// Updates the hot state and the bucket after the free resources have changed.
void
UpdateHotState(WorkerIndex& aIndex, WorkerNumber aWorker)
{
  WorkerHotState& hot = aIndex.mHotStates[aWorker];
  const Resources free = FreeResources(aIndex, aWorker);
  hot.mFreeMilliCores = ClampToUint32(free.mCores.value());
  hot.mFreeMemoryKib = ClampToUint32(free.mMemory.value() / 1024);
  hot.mFreeAccelerators = ClampToUint16(free.mAccelerators.value());
  if (!hot.mIsCandidate) {
    return;
  }
  const std::uint32_t bucket = BucketNumber(AcceleratorLevel(hot.mFreeAccelerators),
                                            CoreLevel(hot.mFreeMilliCores),
                                            MemoryLevel(hot.mFreeMemoryKib));
  if (bucket != hot.mBucketNumber) {
    RemoveFromBucket(aIndex, aWorker);
    AddToBucket(aIndex, aWorker, bucket);
  }
}

WorkerNumber
AllocateWorkerNumber(WorkerIndex& aIndex)
{
  if (!aIndex.mUnusedNumbers.empty()) {
    const WorkerNumber number = aIndex.mUnusedNumbers.back();
    aIndex.mUnusedNumbers.pop_back();
    return number;
  }
  aIndex.mHotStates.emplace_back();
  aIndex.mColdStates.emplace_back();
  return static_cast<WorkerNumber>(aIndex.mHotStates.size() - 1);
}

} // namespace

std::uint32_t
CoreLevel(std::uint32_t aMilliCores)
{
  // Two levels for each doubling, by the highest bit and the one below it. Amounts under 64
  // millicores share level 0, and 131072 millicores and more share the last level.
  if (aMilliCores < 64) {
    return 0;
  }
  const auto highestBit = static_cast<std::uint32_t>(std::bit_width(aMilliCores)) - 1;
  const std::uint32_t upperHalf = (aMilliCores >> (highestBit - 1)) & 1U;
  return std::min(1 + (highestBit - 6) * 2 + upperHalf, kCoreLevels - 1);
}

std::uint32_t
MemoryLevel(std::uint32_t aMemoryKib)
{
  // One level for each doubling from 32 MiB; smaller amounts share level 0.
  if (aMemoryKib < (32U << 10)) {
    return 0;
  }
  return std::min(static_cast<std::uint32_t>(std::bit_width(aMemoryKib)) - 15, kMemoryLevels - 1);
}

std::uint32_t
AcceleratorLevel(std::uint32_t aCount)
{
  // Levels for 0, 1, 2 to 3, 4 to 7, and 8 or more.
  return std::min(static_cast<std::uint32_t>(std::bit_width(aCount)), kAcceleratorLevels - 1);
}

WorkerNumber
SetWorker(WorkerIndex& aIndex, const WorkerAttributes& aAttributes)
{
  WorkerNumber number = FindWorker(aIndex, aAttributes.mName);
  const bool isNew = number == kNoWorker;
  if (isNew) {
    number = AllocateWorkerNumber(aIndex);
    aIndex.mWorkerNumbers.emplace(aAttributes.mName, number);
    aIndex.mColdStates[number] = {};
    aIndex.mHotStates[number] = {};
    aIndex.mHotStates[number].mSchedulability = Schedulability::Schedulable;
    aIndex.mColdStates[number].mFreeResources = aAttributes.mTotalResources;
  }
  RemoveCandidate(aIndex, number);
  WorkerHotState& hot = aIndex.mHotStates[number];
  aIndex.mColdStates[number].mAttributes = aAttributes;
  hot.mTotalMilliCores = std::max(ClampToUint32(aAttributes.mTotalResources.mCores.value()), 1U);
  hot.mTotalMemoryKib =
    std::max(ClampToUint32(aAttributes.mTotalResources.mMemory.value() / 1024), 1U);
  hot.mLabelClassNumber = FindOrAddClass(aIndex, aAttributes.mLabels);
  hot.mRackNumber = FindOrAssignNumber(aIndex.mRackNumbers, aAttributes.mRack);
  hot.mDataCentreNumber = FindOrAssignNumber(aIndex.mDataCentreNumbers, aAttributes.mDataCentre);
  UpdateHotState(aIndex, number);
  AddCandidate(aIndex, number);
  return number;
}

void
RemoveWorker(WorkerIndex& aIndex, const Common::WorkerId& aName)
{
  const WorkerNumber number = FindWorker(aIndex, aName);
  if (number == kNoWorker) {
    return;
  }
  RemoveCandidate(aIndex, number);
  aIndex.mHotStates[number] = {};
  aIndex.mColdStates[number] = {};
  aIndex.mWorkerNumbers.erase(aName);
  aIndex.mUnusedNumbers.push_back(number);
}

WorkerNumber
FindWorker(const WorkerIndex& aIndex, const Common::WorkerId& aName)
{
  const auto found = aIndex.mWorkerNumbers.find(aName);
  return found == aIndex.mWorkerNumbers.end() ? kNoWorker : found->second;
}

const Common::WorkerId&
WorkerName(const WorkerIndex& aIndex, WorkerNumber aWorker)
{
  return aIndex.mColdStates[aWorker].mAttributes.mName;
}

void
SetSchedulability(WorkerIndex& aIndex, WorkerNumber aWorker, Schedulability aSchedulability)
{
  aIndex.mHotStates[aWorker].mSchedulability = aSchedulability;
  if (aSchedulability == Schedulability::Unschedulable) {
    RemoveCandidate(aIndex, aWorker);
  } else {
    AddCandidate(aIndex, aWorker);
  }
}

void
SetReportedFreeResources(WorkerIndex& aIndex,
                         WorkerNumber aWorker,
                         const Resources& aFree,
                         const std::vector<ReservationId>& aUnreported)
{
  WorkerColdState& cold = aIndex.mColdStates[aWorker];
  std::erase_if(cold.mReservations, [&](const Reservation& aReservation) {
    return std::find(aUnreported.begin(), aUnreported.end(), aReservation.mId) == aUnreported.end();
  });
  cold.mFreeResources = aFree;
  for (const Reservation& reservation : cold.mReservations) {
    cold.mFreeResources = cold.mFreeResources - reservation.mNeed;
  }
  UpdateHotState(aIndex, aWorker);
}

void
Reserve(WorkerIndex& aIndex,
        WorkerNumber aWorker,
        ReservationId aReservationId,
        const Resources& aNeed)
{
  WorkerColdState& cold = aIndex.mColdStates[aWorker];
  cold.mReservations.push_back({ aReservationId, aNeed });
  cold.mFreeResources = cold.mFreeResources - aNeed;
  if (aIndex.mHotStates[aWorker].mSchedulability == Schedulability::Probe) {
    SetSchedulability(aIndex, aWorker, Schedulability::Unschedulable);
  }
  UpdateHotState(aIndex, aWorker);
}

void
Release(WorkerIndex& aIndex, WorkerNumber aWorker, ReservationId aReservationId)
{
  WorkerColdState& cold = aIndex.mColdStates[aWorker];
  for (std::size_t i = 0; i < cold.mReservations.size(); ++i) {
    if (cold.mReservations[i].mId == aReservationId) {
      cold.mFreeResources = cold.mFreeResources + cold.mReservations[i].mNeed;
      cold.mReservations[i] = cold.mReservations.back();
      cold.mReservations.pop_back();
      break;
    }
  }
  UpdateHotState(aIndex, aWorker);
}

Resources
FreeResources(const WorkerIndex& aIndex, WorkerNumber aWorker)
{
  return aIndex.mColdStates[aWorker].mFreeResources;
}

std::uint16_t
RackNumber(const WorkerIndex& aIndex, const Common::RackId& aRack)
{
  const auto found = aIndex.mRackNumbers.find(aRack);
  return found == aIndex.mRackNumbers.end() ? std::uint16_t{ 0 } : found->second;
}

std::uint16_t
DataCentreNumber(const WorkerIndex& aIndex, const Common::DataCentreId& aDataCentre)
{
  const auto found = aIndex.mDataCentreNumbers.find(aDataCentre);
  return found == aIndex.mDataCentreNumbers.end() ? std::uint16_t{ 0 } : found->second;
}

const std::vector<std::uint16_t>&
MatchingClasses(WorkerIndex& aIndex, const std::vector<std::string>& aLabels)
{
  const auto [entry, isNew] = aIndex.mMatchingClasses.try_emplace(JoinLabels(aLabels));
  if (isNew) {
    for (std::size_t i = 0; i < aIndex.mLabelClasses.size(); ++i) {
      if (ContainsAll(aIndex.mLabelClasses[i].mLabels, aLabels)) {
        entry->second.push_back(static_cast<std::uint16_t>(i));
      }
    }
  }
  return entry->second;
}

} // namespace Placement
