#include "Placement/Place.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

namespace Placement {

namespace {

/// Maximum number of candidates that are drawn, and prefetched, in one batch.
constexpr std::uint32_t kMaxDraws = 16;

/// Needed resources in the units of WorkerHotState, rounded up.
struct ScaledNeed
{
  std::uint32_t mMilliCores = 0;
  std::uint32_t mMemoryKib = 0;
  std::uint32_t mAccelerators = 0;
};

std::uint32_t
ClampToUint32(std::int64_t aValue)
{
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(aValue, 0, UINT32_MAX));
}

ScaledNeed
ScaleNeed(const Resources& aNeed)
{
  return { ClampToUint32(aNeed.mCores.value()),
           ClampToUint32((aNeed.mMemory.value() + 1023) / 1024),
           ClampToUint32(aNeed.mAccelerators.value()) };
}

bool
HasRoom(const WorkerHotState& aWorker, const ScaledNeed& aNeed)
{
  return aWorker.mIsCandidate && aWorker.mFreeMilliCores >= aNeed.mMilliCores &&
         aWorker.mFreeMemoryKib >= aNeed.mMemoryKib &&
         aWorker.mFreeAccelerators >= aNeed.mAccelerators;
}

float
RackSpreadCost(const WorkerHotState& aWorker, std::span<const RackTaskCount> aJobTasksPerRack)
{
  for (const RackTaskCount& rack : aJobTasksPerRack) {
    if (rack.mRackNumber == aWorker.mRackNumber) {
      return static_cast<float>(rack.mTaskCount) / static_cast<float>(rack.mTaskCount + 1);
    }
  }
  return 0;
}

float
CandidateCost(const WorkerIndex& aIndex,
              WorkerNumber aWorker,
              const ScaledNeed& aNeed,
              const TaskRequest& aRequest,
              const CostWeights& aWeights)
{
  const WorkerHotState& hot = aIndex.mHotStates[aWorker];
  const float coresLeft = static_cast<float>(hot.mFreeMilliCores - aNeed.mMilliCores) /
                          static_cast<float>(hot.mTotalMilliCores);
  const float memoryLeft = static_cast<float>(hot.mFreeMemoryKib - aNeed.mMemoryKib) /
                           static_cast<float>(hot.mTotalMemoryKib);
  float cost = aWeights.mPacking * 0.5F * (coresLeft + memoryLeft) +
               aWeights.mBalance * std::fabs(coresLeft - memoryLeft);
  cost += aWeights.mRackSpread * RackSpreadCost(hot, aRequest.mJobTasksPerRack);
  if (aRequest.mPreferredDataCentre != 0 &&
      aRequest.mPreferredDataCentre != hot.mDataCentreNumber) {
    cost += aWeights.mLocality;
  }
  if (aRequest.mInterferenceCost != nullptr) {
    cost += aWeights.mInterference * static_cast<float>((*aRequest.mInterferenceCost)(aWorker));
  }
  return cost;
}

/// Keeps the cheapest of the candidates that were considered so far.
class CheapestCandidate
{
public:
  CheapestCandidate(const WorkerIndex& aIndex,
                    const TaskRequest& aRequest,
                    const CostWeights& aWeights)
    : mIndex(aIndex)
    , mRequest(aRequest)
    , mNeed(ScaleNeed(aRequest.mNeed))
    , mWeights(aWeights)
  {
  }

  const ScaledNeed& need() const { return mNeed; }
  WorkerNumber worker() const { return mWorker; }
  /// Considered candidates that had room; a worker that was drawn twice counts twice.
  std::uint32_t feasibleCount() const { return mFeasibleCount; }

  void prefetch(WorkerNumber aWorker) const { __builtin_prefetch(&mIndex.mHotStates[aWorker]); }

  /// Returns false if the worker has no room.
  bool consider(WorkerNumber aWorker)
  {
    if (!HasRoom(mIndex.mHotStates[aWorker], mNeed)) {
      return false;
    }
    ++mFeasibleCount;
    const float cost = CandidateCost(mIndex, aWorker, mNeed, mRequest, mWeights);
    if (mWorker == kNoWorker || cost < mCost) {
      mWorker = aWorker;
      mCost = cost;
      // The reservation will write to the worker's cold state, which in a large fleet is not in the
      // cache.
      __builtin_prefetch(&mIndex.mColdStates[aWorker], 1);
    }
    return true;
  }

private:
  const WorkerIndex& mIndex;
  const TaskRequest& mRequest;
  ScaledNeed mNeed;
  const CostWeights& mWeights;
  WorkerNumber mWorker = kNoWorker;
  std::uint32_t mFeasibleCount = 0;
  float mCost = 0;
};

/// Levels of the resources of a task or worker, which make up a bucket number.
struct BucketLevels
{
  std::uint32_t mCoreLevel = 0;
  std::uint32_t mMemoryLevel = 0;
  std::uint32_t mAcceleratorLevel = 0;
};

/// Returns the levels of the needed amounts. A worker at a higher level has enough of the resource;
/// a worker at the same level may have too little.
BucketLevels
NeedLevels(const ScaledNeed& aNeed)
{
  return { CoreLevel(aNeed.mMilliCores),
           MemoryLevel(aNeed.mMemoryKib),
           AcceleratorLevel(aNeed.mAccelerators) };
}

/// Bits of LabelClass::mNonEmptyBuckets for memory levels from aLevel up.
std::uint32_t
MemoryLevelMask(std::uint32_t aLevel)
{
  return aLevel >= kMemoryLevels ? 0U : (0xffffU << aLevel) & 0xffffU;
}

/// Draws from the buckets whose members all have enough cores and memory until aCandidateCount
/// candidates had room. Buckets with the fewest free accelerators come first, so that tasks which
/// need none leave accelerators free; among those, buckets with the fewest free cores come first.
void
SampleTightestBuckets(const LabelClass& aClass,
                      std::uint32_t aCandidateCount,
                      Common::Random& aRandom,
                      CheapestCandidate& aCheapest)
{
  const BucketLevels needLevels = NeedLevels(aCheapest.need());
  // Workers at the level of the need may have too little, so sampling starts one level above it. If
  // nothing is needed, all workers at level 0 have enough.
  const std::uint32_t memoryMask =
    MemoryLevelMask(aCheapest.need().mMemoryKib == 0 ? 0 : needLevels.mMemoryLevel + 1);
  const std::uint32_t firstCoreLevel =
    aCheapest.need().mMilliCores == 0 ? 0 : needLevels.mCoreLevel + 1;
  for (std::uint32_t acceleratorLevel = needLevels.mAcceleratorLevel;
       acceleratorLevel < kAcceleratorLevels;
       ++acceleratorLevel) {
    for (std::uint32_t coreLevel = firstCoreLevel; coreLevel < kCoreLevels; ++coreLevel) {
      std::uint32_t nonEmpty = aClass.mNonEmptyBuckets[acceleratorLevel][coreLevel] & memoryMask;
      while (nonEmpty != 0) {
        const auto memoryLevel = static_cast<std::uint32_t>(std::countr_zero(nonEmpty));
        nonEmpty &= nonEmpty - 1;
        const auto& bucket =
          aClass.mBuckets[BucketNumber(acceleratorLevel, coreLevel, memoryLevel)];
        const std::size_t drawCount =
          std::min<std::size_t>({ aCandidateCount, bucket.size(), kMaxDraws });
        std::array<WorkerNumber, kMaxDraws> drawn{};
        for (std::size_t i = 0; i < drawCount; ++i) {
          drawn[i] = bucket[aRandom.below(bucket.size())];
          aCheapest.prefetch(drawn[i]);
        }
        for (std::size_t i = 0; i < drawCount; ++i) {
          aCandidateCount -= aCheapest.consider(drawn[i]) ? 1 : 0;
        }
        if (aCandidateCount == 0) {
          return;
        }
      }
    }
  }
}

/// Draws aCandidateCount workers of the class at random, whether they have room or not.
void
SampleRandomly(const LabelClass& aClass,
               std::uint32_t aCandidateCount,
               Common::Random& aRandom,
               CheapestCandidate& aCheapest)
{
  if (aClass.mMembers.empty()) {
    return;
  }
  // All workers are drawn before the first is examined, so that the cache misses overlap. The array
  // first holds positions in mMembers, and then the workers at these positions.
  std::array<WorkerNumber, kMaxDraws> drawn{};
  const std::uint32_t drawCount = std::min(aCandidateCount, kMaxDraws);
  for (std::uint32_t i = 0; i < drawCount; ++i) {
    const std::size_t position = aRandom.below(aClass.mMembers.size());
    __builtin_prefetch(&aClass.mMembers[position]);
    drawn[i] = static_cast<WorkerNumber>(position);
  }
  for (std::uint32_t i = 0; i < drawCount; ++i) {
    drawn[i] = aClass.mMembers[drawn[i]];
    aCheapest.prefetch(drawn[i]);
  }
  for (std::uint32_t i = 0; i < drawCount; ++i) {
    aCheapest.consider(drawn[i]);
  }
}

/// Examines the workers in all buckets at or above the levels of the need, until one with room is
/// found or the budget is used up. Starts each bucket at a random member, so that repeated calls
/// examine different workers first. Subtracts the number of examined workers without room from
/// aBudget.
void
SearchBuckets(const LabelClass& aClass,
              std::uint32_t& aBudget,
              Common::Random& aRandom,
              CheapestCandidate& aCheapest)
{
  const BucketLevels needLevels = NeedLevels(aCheapest.need());
  for (std::uint32_t acceleratorLevel = needLevels.mAcceleratorLevel;
       acceleratorLevel < kAcceleratorLevels;
       ++acceleratorLevel) {
    for (std::uint32_t coreLevel = needLevels.mCoreLevel; coreLevel < kCoreLevels; ++coreLevel) {
      std::uint32_t nonEmpty = aClass.mNonEmptyBuckets[acceleratorLevel][coreLevel] &
                               MemoryLevelMask(needLevels.mMemoryLevel);
      while (nonEmpty != 0) {
        const auto memoryLevel = static_cast<std::uint32_t>(std::countr_zero(nonEmpty));
        nonEmpty &= nonEmpty - 1;
        const auto& bucket =
          aClass.mBuckets[BucketNumber(acceleratorLevel, coreLevel, memoryLevel)];
        const std::size_t start = aRandom.below(bucket.size());
        for (std::size_t i = 0; i < bucket.size(); ++i) {
          if (aBudget == 0 || aCheapest.consider(bucket[(start + i) % bucket.size()])) {
            return;
          }
          --aBudget;
        }
      }
    }
  }
}

} // namespace

std::optional<WorkerNumber>
PlaceTask(WorkerIndex& aIndex,
          const TaskRequest& aRequest,
          const PlacementPolicy& aPolicy,
          Common::Random& aRandom)
{
  const std::vector<std::string> labels(aRequest.mLabels.begin(), aRequest.mLabels.end());
  const std::vector<std::uint16_t>& classes = MatchingClasses(aIndex, labels);
  if (classes.empty()) {
    return std::nullopt;
  }
  CheapestCandidate cheapest(aIndex, aRequest, aPolicy.mWeights);
  const auto classCount = static_cast<std::uint32_t>(classes.size());
  const std::uint32_t drawsPerClass = std::max(aPolicy.mCandidateCount / 2 / classCount, 1U);
  const std::size_t firstClass = aRandom.below(classCount);
  for (std::size_t i = 0; i < classCount && cheapest.feasibleCount() < aPolicy.mCandidateCount;
       ++i) {
    const LabelClass& labelClass = aIndex.mLabelClasses[classes[(firstClass + i) % classCount]];
    SampleTightestBuckets(labelClass, drawsPerClass, aRandom, cheapest);
    SampleRandomly(labelClass, drawsPerClass, aRandom, cheapest);
  }
  std::uint32_t budget = aPolicy.mSearchBudget;
  for (std::size_t i = 0; i < classCount && cheapest.worker() == kNoWorker; ++i) {
    SearchBuckets(
      aIndex.mLabelClasses[classes[(firstClass + i) % classCount]], budget, aRandom, cheapest);
  }
  if (cheapest.worker() == kNoWorker) {
    return std::nullopt;
  }
  Reserve(aIndex, cheapest.worker(), aRequest.mReservationId, aRequest.mNeed);
  return cheapest.worker();
}

std::optional<WorkerNumber>
PlaceByScan(WorkerIndex& aIndex, const TaskRequest& aRequest, const PlacementPolicy& aPolicy)
{
  const std::vector<std::string> labels(aRequest.mLabels.begin(), aRequest.mLabels.end());
  CheapestCandidate cheapest(aIndex, aRequest, aPolicy.mWeights);
  for (const std::uint16_t number : MatchingClasses(aIndex, labels)) {
    for (const WorkerNumber worker : aIndex.mLabelClasses[number].mMembers) {
      cheapest.consider(worker);
    }
  }
  if (cheapest.worker() == kNoWorker) {
    return std::nullopt;
  }
  Reserve(aIndex, cheapest.worker(), aRequest.mReservationId, aRequest.mNeed);
  return cheapest.worker();
}

} // namespace Placement
