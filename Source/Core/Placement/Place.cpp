#include "Placement/Place.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

namespace Placement {

namespace {

/// Most candidates that are drawn at once.
constexpr std::uint32_t kMaxDraws = 16;

/// The need in the units of WorkerHotState, rounded up.
struct Need
{
  std::uint32_t mCores = 0;
  std::uint32_t mMemory = 0;
  std::uint32_t mAccelerators = 0;
};

std::uint32_t
ClampNeed(std::int64_t aValue)
{
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(aValue, 0, UINT32_MAX));
}

Need
NeedOf(const Resources& aNeed)
{
  return { ClampNeed(aNeed.mCores.value()),
           ClampNeed((aNeed.mMemory.value() + 1023) / 1024),
           ClampNeed(aNeed.mAccelerators.value()) };
}

bool
HasRoom(const WorkerHotState& aWorker, const Need& aNeed)
{
  return aWorker.mIsCandidate && aWorker.mFreeMilliCores >= aNeed.mCores &&
         aWorker.mFreeMemoryKib >= aNeed.mMemory &&
         aWorker.mFreeAccelerators >= aNeed.mAccelerators;
}

float
RackTerm(const WorkerHotState& aWorker, std::span<const RackTaskCount> aRacks)
{
  for (const RackTaskCount& rack : aRacks) {
    if (rack.mRackNumber == aWorker.mRackNumber) {
      return static_cast<float>(rack.mTaskCount) / static_cast<float>(rack.mTaskCount + 1);
    }
  }
  return 0;
}

float
Cost(const WorkerIndex& aIndex,
     WorkerNumber aWorker,
     const Need& aNeed,
     const TaskRequest& aRequest,
     const CostWeights& aWeights)
{
  const WorkerHotState& hot = aIndex.mHotStates[aWorker];
  const float cores = static_cast<float>(hot.mFreeMilliCores - aNeed.mCores) /
                      static_cast<float>(hot.mTotalMilliCores);
  const float memory = static_cast<float>(hot.mFreeMemoryKib - aNeed.mMemory) /
                       static_cast<float>(hot.mTotalMemoryKib);
  float cost =
    aWeights.mPacking * 0.5F * (cores + memory) + aWeights.mBalance * std::fabs(cores - memory);
  cost += aWeights.mRack * RackTerm(hot, aRequest.mJobTasksPerRack);
  if (aRequest.mPreferredDataCentre != 0 &&
      aRequest.mPreferredDataCentre != hot.mDataCentreNumber) {
    cost += aWeights.mLocality;
  }
  if (aRequest.mInterferenceCost != nullptr) {
    cost += aWeights.mInterference * static_cast<float>((*aRequest.mInterferenceCost)(aWorker));
  }
  return cost;
}

/// The best of the candidates seen so far.
class Best
{
public:
  Best(const WorkerIndex& aIndex, const TaskRequest& aRequest, const CostWeights& aWeights)
    : mIndex(aIndex)
    , mRequest(aRequest)
    , mNeed(NeedOf(aRequest.mNeed))
    , mWeights(aWeights)
  {
  }

  const Need& need() const { return mNeed; }
  WorkerNumber worker() const { return mWorker; }
  /// Candidates that had room.
  std::uint32_t seen() const { return mSeen; }

  void prefetch(WorkerNumber aWorker) const { __builtin_prefetch(&mIndex.mHotStates[aWorker]); }

  /// False if the worker has no room.
  bool consider(WorkerNumber aWorker)
  {
    if (!HasRoom(mIndex.mHotStates[aWorker], mNeed)) {
      return false;
    }
    ++mSeen;
    const float cost = Cost(mIndex, aWorker, mNeed, mRequest, mWeights);
    if (mWorker == kNoWorker || cost < mCost) {
      mWorker = aWorker;
      mCost = cost;
      // The reservation follows; in a large fleet its line is not in the cache.
      __builtin_prefetch(&mIndex.mColdStates[aWorker], 1);
    }
    return true;
  }

private:
  const WorkerIndex& mIndex;
  const TaskRequest& mRequest;
  Need mNeed;
  const CostWeights& mWeights;
  WorkerNumber mWorker = kNoWorker;
  std::uint32_t mSeen = 0;
  float mCost = 0;
};

/// Lowest levels at which every member of a bucket has room for the need, and the levels of the
/// need itself, at which some may have.
struct Levels
{
  std::uint32_t mCores = 0;
  std::uint32_t mMemory = 0;
  std::uint32_t mAccelerators = 0;
};

Levels
EdgeLevels(const Need& aNeed)
{
  return { CoreLevel(aNeed.mCores),
           MemoryLevel(aNeed.mMemory),
           AcceleratorLevel(aNeed.mAccelerators) };
}

std::uint32_t
MemoryMask(std::uint32_t aLevel)
{
  return aLevel >= kMemoryLevels ? 0U : (0xffffU << aLevel) & 0xffffU;
}

/// Takes aWanted candidates from the buckets with the least cores that surely fit. Workers without
/// accelerators come first, so that tasks which need none leave accelerators free.
void
SampleTight(const LabelClass& aClass, std::uint32_t aWanted, Common::Random& aRandom, Best& aBest)
{
  const Levels edge = EdgeLevels(aBest.need());
  const std::uint32_t mask = MemoryMask(aBest.need().mMemory == 0 ? 0 : edge.mMemory + 1);
  const std::uint32_t firstCores = aBest.need().mCores == 0 ? 0 : edge.mCores + 1;
  for (std::uint32_t a = edge.mAccelerators; a < kAcceleratorLevels; ++a) {
    for (std::uint32_t c = firstCores; c < kCoreLevels; ++c) {
      std::uint32_t filled = aClass.mNonEmptyBuckets[a][c] & mask;
      while (filled != 0) {
        const auto memory = static_cast<std::uint32_t>(std::countr_zero(filled));
        filled &= filled - 1;
        const auto& bucket = aClass.mBuckets[BucketNumber(a, c, memory)];
        const std::size_t draws = std::min<std::size_t>({ aWanted, bucket.size(), kMaxDraws });
        std::array<WorkerNumber, kMaxDraws> drawn{};
        for (std::size_t i = 0; i < draws; ++i) {
          drawn[i] = bucket[aRandom.below(bucket.size())];
          aBest.prefetch(drawn[i]);
        }
        for (std::size_t i = 0; i < draws; ++i) {
          aWanted -= aBest.consider(drawn[i]) ? 1 : 0;
        }
        if (aWanted == 0) {
          return;
        }
      }
    }
  }
}

void
SampleAnywhere(const LabelClass& aClass,
               std::uint32_t aWanted,
               Common::Random& aRandom,
               Best& aBest)
{
  if (aClass.mMembers.empty()) {
    return;
  }
  // All draws come before the first look, so that their cache misses overlap.
  std::array<WorkerNumber, kMaxDraws> drawn{};
  const std::uint32_t draws = std::min(aWanted, kMaxDraws);
  for (std::uint32_t i = 0; i < draws; ++i) {
    const std::size_t place = aRandom.below(aClass.mMembers.size());
    __builtin_prefetch(&aClass.mMembers[place]);
    drawn[i] = static_cast<WorkerNumber>(place);
  }
  for (std::uint32_t i = 0; i < draws; ++i) {
    drawn[i] = aClass.mMembers[drawn[i]];
    aBest.prefetch(drawn[i]);
  }
  for (std::uint32_t i = 0; i < draws; ++i) {
    aBest.consider(drawn[i]);
  }
}

/// Looks through buckets in which only some members have room, until one is found or the budget is
/// used up. Starts at a random member, so that later tries see others.
void
SearchEdge(const LabelClass& aClass, std::uint32_t& aBudget, Common::Random& aRandom, Best& aBest)
{
  const Levels edge = EdgeLevels(aBest.need());
  for (std::uint32_t a = edge.mAccelerators; a < kAcceleratorLevels; ++a) {
    for (std::uint32_t c = edge.mCores; c < kCoreLevels; ++c) {
      std::uint32_t filled = aClass.mNonEmptyBuckets[a][c] & MemoryMask(edge.mMemory);
      while (filled != 0) {
        const auto memory = static_cast<std::uint32_t>(std::countr_zero(filled));
        filled &= filled - 1;
        const auto& bucket = aClass.mBuckets[BucketNumber(a, c, memory)];
        const std::size_t start = aRandom.below(bucket.size());
        for (std::size_t i = 0; i < bucket.size(); ++i) {
          if (aBudget == 0 || aBest.consider(bucket[(start + i) % bucket.size()])) {
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
  Best best(aIndex, aRequest, aPolicy.mWeights);
  const auto count = static_cast<std::uint32_t>(classes.size());
  const std::uint32_t share = std::max(aPolicy.mCandidateCount / 2 / count, 1U);
  const std::size_t first = aRandom.below(count);
  for (std::size_t i = 0; i < count && best.seen() < aPolicy.mCandidateCount; ++i) {
    const LabelClass& group = aIndex.mClasses[classes[(first + i) % count]];
    SampleTight(group, share, aRandom, best);
    SampleAnywhere(group, share, aRandom, best);
  }
  std::uint32_t budget = aPolicy.mSearchBudget;
  for (std::size_t i = 0; i < count && best.worker() == kNoWorker; ++i) {
    SearchEdge(aIndex.mClasses[classes[(first + i) % count]], budget, aRandom, best);
  }
  if (best.worker() == kNoWorker) {
    return std::nullopt;
  }
  Reserve(aIndex, best.worker(), aRequest.mReservationId, aRequest.mNeed);
  return best.worker();
}

std::optional<WorkerNumber>
PlaceByScan(WorkerIndex& aIndex, const TaskRequest& aRequest, const PlacementPolicy& aPolicy)
{
  const std::vector<std::string> labels(aRequest.mLabels.begin(), aRequest.mLabels.end());
  Best best(aIndex, aRequest, aPolicy.mWeights);
  for (const std::uint16_t number : MatchingClasses(aIndex, labels)) {
    for (const WorkerNumber worker : aIndex.mClasses[number].mMembers) {
      best.consider(worker);
    }
  }
  if (best.worker() == kNoWorker) {
    return std::nullopt;
  }
  Reserve(aIndex, best.worker(), aRequest.mReservationId, aRequest.mNeed);
  return best.worker();
}

} // namespace Placement
