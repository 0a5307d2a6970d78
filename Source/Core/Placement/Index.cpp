#include "Placement/Index.h"

#include <algorithm>
#include <bit>

namespace Placement {

namespace {

std::uint32_t
Clamp(std::int64_t aValue)
{
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(aValue, 0, UINT32_MAX));
}

std::uint16_t
ClampShort(std::int64_t aValue)
{
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(aValue, 0, UINT16_MAX));
}

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
HasAll(const std::vector<std::string>& aHas, const std::vector<std::string>& aWanted)
{
  return std::all_of(aWanted.begin(), aWanted.end(), [&](const std::string& aLabel) {
    return std::find(aHas.begin(), aHas.end(), aLabel) != aHas.end();
  });
}

std::uint16_t
ClassOf(Index& aIndex, const std::vector<std::string>& aLabels)
{
  const auto [place, isNew] = aIndex.mClassIndex.try_emplace(
    JoinLabels(aLabels), static_cast<std::uint16_t>(aIndex.mClasses.size()));
  if (isNew) {
    LabelClass& added = aIndex.mClasses.emplace_back();
    added.mLabels = aLabels;
    added.mBuckets.resize(kBuckets);
    aIndex.mQueries.clear();
  }
  return place->second;
}

template<typename Map, typename Key>
std::uint16_t
NumberFor(Map& aMap, const Key& aKey)
{
  if (aKey.empty()) {
    return 0;
  }
  return aMap.try_emplace(aKey, static_cast<std::uint16_t>(aMap.size() + 1)).first->second;
}

void
MarkFilled(LabelClass& aClass, std::uint32_t aBucket)
{
  const std::uint32_t memory = aBucket % kMemoryLevels;
  const std::uint32_t row = aBucket / kMemoryLevels;
  std::uint16_t& filled = aClass.mFilled[row / kCoreLevels][row % kCoreLevels];
  const auto bit = static_cast<std::uint16_t>(1U << memory);
  if (aClass.mBuckets[aBucket].empty()) {
    filled = static_cast<std::uint16_t>(filled & ~bit);
  } else {
    filled = static_cast<std::uint16_t>(filled | bit);
  }
}

void
LeaveBucket(Index& aIndex, WorkerNumber aWorker)
{
  HotWorker& hot = aIndex.mHot[aWorker];
  LabelClass& group = aIndex.mClasses[hot.mClass];
  auto& bucket = group.mBuckets[hot.mBucket];
  bucket[hot.mPlaceInBucket] = bucket.back();
  aIndex.mHot[bucket.back()].mPlaceInBucket = hot.mPlaceInBucket;
  bucket.pop_back();
  MarkFilled(group, hot.mBucket);
}

void
EnterBucket(Index& aIndex, WorkerNumber aWorker, std::uint32_t aBucket)
{
  HotWorker& hot = aIndex.mHot[aWorker];
  LabelClass& group = aIndex.mClasses[hot.mClass];
  hot.mBucket = static_cast<std::uint16_t>(aBucket);
  hot.mPlaceInBucket = static_cast<std::uint32_t>(group.mBuckets[aBucket].size());
  group.mBuckets[aBucket].push_back(aWorker);
  MarkFilled(group, aBucket);
}

void
Unlist(Index& aIndex, WorkerNumber aWorker)
{
  HotWorker& hot = aIndex.mHot[aWorker];
  if (!hot.mListed) {
    return;
  }
  LeaveBucket(aIndex, aWorker);
  auto& members = aIndex.mClasses[hot.mClass].mMembers;
  const std::uint32_t place = aIndex.mCold[aWorker].mPlaceInClass;
  members[place] = members.back();
  aIndex.mCold[members[place]].mPlaceInClass = place;
  members.pop_back();
  hot.mListed = false;
}

void
List(Index& aIndex, WorkerNumber aWorker)
{
  HotWorker& hot = aIndex.mHot[aWorker];
  if (hot.mListed || hot.mGate == Gate::Closed) {
    return;
  }
  auto& members = aIndex.mClasses[hot.mClass].mMembers;
  aIndex.mCold[aWorker].mPlaceInClass = static_cast<std::uint32_t>(members.size());
  members.push_back(aWorker);
  EnterBucket(
    aIndex,
    aWorker,
    BucketOf(AcceleratorLevel(hot.mAccelerators), CoreLevel(hot.mCores), MemoryLevel(hot.mMemory)));
  hot.mListed = true;
}

/// Brings the hot figures and the bucket in step with the free room.
void
Refresh(Index& aIndex, WorkerNumber aWorker)
{
  HotWorker& hot = aIndex.mHot[aWorker];
  const Resources free = FreeOf(aIndex, aWorker);
  hot.mCores = Clamp(free.mCores.value());
  hot.mMemory = Clamp(free.mMemory.value() / 1024);
  hot.mAccelerators = ClampShort(free.mAccelerators.value());
  if (!hot.mListed) {
    return;
  }
  const std::uint32_t bucket =
    BucketOf(AcceleratorLevel(hot.mAccelerators), CoreLevel(hot.mCores), MemoryLevel(hot.mMemory));
  if (bucket != hot.mBucket) {
    LeaveBucket(aIndex, aWorker);
    EnterBucket(aIndex, aWorker, bucket);
  }
}

WorkerNumber
NewNumber(Index& aIndex)
{
  if (!aIndex.mFreeNumbers.empty()) {
    const WorkerNumber number = aIndex.mFreeNumbers.back();
    aIndex.mFreeNumbers.pop_back();
    return number;
  }
  aIndex.mHot.emplace_back();
  aIndex.mCold.emplace_back();
  return static_cast<WorkerNumber>(aIndex.mHot.size() - 1);
}

} // namespace

std::uint32_t
CoreLevel(std::uint32_t aMilliCores)
{
  // Two levels for each doubling: the highest bit and the one below it. Under 64 millicores all is
  // one level, and 256 cores and more are the last.
  if (aMilliCores < 64) {
    return 0;
  }
  const auto high = static_cast<std::uint32_t>(std::bit_width(aMilliCores)) - 1;
  const std::uint32_t half = (aMilliCores >> (high - 1)) & 1U;
  return std::min(1 + (high - 6) * 2 + half, kCoreLevels - 1);
}

std::uint32_t
MemoryLevel(std::uint32_t aKiB)
{
  // One level for each doubling from 32 MiB.
  if (aKiB < (32U << 10)) {
    return 0;
  }
  return std::min(static_cast<std::uint32_t>(std::bit_width(aKiB)) - 15, kMemoryLevels - 1);
}

std::uint32_t
AcceleratorLevel(std::uint32_t aCount)
{
  // 0, 1, 2 to 3, 4 to 7, and more.
  return std::min(static_cast<std::uint32_t>(std::bit_width(aCount)), kAcceleratorLevels - 1);
}

WorkerNumber
SetWorker(Index& aIndex, const WorkerInfo& aInfo)
{
  WorkerNumber number = FindWorker(aIndex, aInfo.mName);
  const bool isNew = number == kNoWorker;
  if (isNew) {
    number = NewNumber(aIndex);
    aIndex.mNumbers.emplace(aInfo.mName, number);
    aIndex.mCold[number] = {};
    aIndex.mHot[number] = {};
    aIndex.mHot[number].mGate = Gate::Open;
    aIndex.mCold[number].mFree = aInfo.mTotal;
  }
  Unlist(aIndex, number);
  HotWorker& hot = aIndex.mHot[number];
  aIndex.mCold[number].mInfo = aInfo;
  hot.mTotalCores = std::max(Clamp(aInfo.mTotal.mCores.value()), 1U);
  hot.mTotalMemory = std::max(Clamp(aInfo.mTotal.mMemory.value() / 1024), 1U);
  hot.mClass = ClassOf(aIndex, aInfo.mLabels);
  hot.mRack = NumberFor(aIndex.mRacks, aInfo.mRack);
  hot.mDataCentre = NumberFor(aIndex.mDataCentres, aInfo.mDataCentre);
  Refresh(aIndex, number);
  List(aIndex, number);
  return number;
}

void
RemoveWorker(Index& aIndex, const Common::WorkerId& aName)
{
  const WorkerNumber number = FindWorker(aIndex, aName);
  if (number == kNoWorker) {
    return;
  }
  Unlist(aIndex, number);
  aIndex.mHot[number] = {};
  aIndex.mCold[number] = {};
  aIndex.mNumbers.erase(aName);
  aIndex.mFreeNumbers.push_back(number);
}

WorkerNumber
FindWorker(const Index& aIndex, const Common::WorkerId& aName)
{
  const auto found = aIndex.mNumbers.find(aName);
  return found == aIndex.mNumbers.end() ? kNoWorker : found->second;
}

const Common::WorkerId&
NameOf(const Index& aIndex, WorkerNumber aWorker)
{
  return aIndex.mCold[aWorker].mInfo.mName;
}

void
SetGate(Index& aIndex, WorkerNumber aWorker, Gate aGate)
{
  aIndex.mHot[aWorker].mGate = aGate;
  if (aGate == Gate::Closed) {
    Unlist(aIndex, aWorker);
  } else {
    List(aIndex, aWorker);
  }
}

void
ReportFree(Index& aIndex,
           WorkerNumber aWorker,
           const Resources& aFree,
           const std::vector<Ticket>& aOutstanding)
{
  ColdWorker& cold = aIndex.mCold[aWorker];
  std::erase_if(cold.mReservations, [&](const Reservation& aReservation) {
    return std::find(aOutstanding.begin(), aOutstanding.end(), aReservation.mTicket) ==
           aOutstanding.end();
  });
  cold.mFree = aFree;
  for (const Reservation& reservation : cold.mReservations) {
    cold.mFree = cold.mFree - reservation.mNeed;
  }
  Refresh(aIndex, aWorker);
}

void
Reserve(Index& aIndex, WorkerNumber aWorker, Ticket aTicket, const Resources& aNeed)
{
  ColdWorker& cold = aIndex.mCold[aWorker];
  cold.mReservations.push_back({ aTicket, aNeed });
  cold.mFree = cold.mFree - aNeed;
  if (aIndex.mHot[aWorker].mGate == Gate::Probe) {
    SetGate(aIndex, aWorker, Gate::Closed);
  }
  Refresh(aIndex, aWorker);
}

void
Release(Index& aIndex, WorkerNumber aWorker, Ticket aTicket)
{
  ColdWorker& cold = aIndex.mCold[aWorker];
  for (std::size_t i = 0; i < cold.mReservations.size(); ++i) {
    if (cold.mReservations[i].mTicket == aTicket) {
      cold.mFree = cold.mFree + cold.mReservations[i].mNeed;
      cold.mReservations[i] = cold.mReservations.back();
      cold.mReservations.pop_back();
      break;
    }
  }
  Refresh(aIndex, aWorker);
}

Resources
FreeOf(const Index& aIndex, WorkerNumber aWorker)
{
  return aIndex.mCold[aWorker].mFree;
}

std::uint16_t
RackNumber(const Index& aIndex, const Common::RackId& aRack)
{
  const auto found = aIndex.mRacks.find(aRack);
  return found == aIndex.mRacks.end() ? std::uint16_t{ 0 } : found->second;
}

std::uint16_t
DataCentreNumber(const Index& aIndex, const Common::DataCentreId& aDataCentre)
{
  const auto found = aIndex.mDataCentres.find(aDataCentre);
  return found == aIndex.mDataCentres.end() ? std::uint16_t{ 0 } : found->second;
}

const std::vector<std::uint16_t>&
ClassesFor(Index& aIndex, const std::vector<std::string>& aLabels)
{
  const auto [place, isNew] = aIndex.mQueries.try_emplace(JoinLabels(aLabels));
  if (isNew) {
    for (std::size_t i = 0; i < aIndex.mClasses.size(); ++i) {
      if (HasAll(aIndex.mClasses[i].mLabels, aLabels)) {
        place->second.push_back(static_cast<std::uint16_t>(i));
      }
    }
  }
  return place->second;
}

} // namespace Placement
