#include "Scheduling/JobOrder.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Scheduling {

namespace {

/// A job counts as late once its expected end is past the time by more than its objective divided
/// by this. Smaller delays are within the error of the estimates.
constexpr int kLateDivisor = 4;
/// Multiple of the objective after which a job earns nothing.
constexpr int kLateFactor = 3;
/// Value of a job: a fixed part, in core-seconds of a typical job, and a part proportional to its
/// work. The fixed part is a share of the mean work of its queue where that is learned.
constexpr double kFixedValue = 12.0;
constexpr double kFixedShare = 0.3;
constexpr double kValuePerWork = 0.7;
/// Lower bound of the remaining work in core-seconds, so that a job about to end has a finite value
/// per core-second.
constexpr double kMinRemainingWork = 0.01;

/// Jobs over which the mean work of a queue is taken; a change of the load shows within seconds.
constexpr std::size_t kMeanSamples = 64;
/// The mean of fewer jobs says little about their queue.
constexpr std::size_t kMinSamples = 8;
/// Time over which arrivals and ends are compared, and most events that are kept for it.
constexpr std::chrono::seconds kShareWindow{ 10 };
constexpr std::size_t kMaxEvents = 512;
/// Fewest arrivals of which the largest tenth is more than a single job.
constexpr std::size_t kMinArrivals = 20;
constexpr std::size_t kLargeDivisor = 10;
/// A promoted job that has not ended after this time does not count as one that will be served.
constexpr std::chrono::seconds kPromotionTime{ 30 };

enum class OrderClass
{
  Promoted,
  FullValue,
  LatePart,
  NoValue,
};

OrderClass
ClassOf(const OrderInput& aInput, const OrderRules& aRules)
{
  const Duration end = aInput.mAge + aInput.mRemainingChain;
  const Duration tolerance = aInput.mObjective / kLateDivisor;
  const bool hasLatePart = end <= aInput.mObjective * kLateFactor + tolerance;
  if (aInput.mIsPromoted && hasLatePart) {
    return OrderClass::Promoted;
  }
  if (end <= aInput.mObjective + tolerance) {
    return OrderClass::FullValue;
  }
  return aRules.mLatePart && !hasLatePart ? OrderClass::NoValue : OrderClass::LatePart;
}

void
AddEvent(std::deque<QueueHistory::Event>& aEvents, double aWork, Timestamp aNow)
{
  aEvents.push_back({ aNow, aWork });
  while (aEvents.size() > kMaxEvents || aNow - aEvents.front().mTime > kShareWindow) {
    aEvents.pop_front();
  }
}

/// Work of the jobs in the window.
std::vector<double>
RecentWork(const std::deque<QueueHistory::Event>& aEvents, Timestamp aNow)
{
  std::vector<double> works;
  for (const QueueHistory::Event& event : aEvents) {
    if (aNow - event.mTime <= kShareWindow) {
      works.push_back(event.mWork);
    }
  }
  return works;
}

std::size_t
CountFrom(const std::vector<double>& aWorks, double aMinWork)
{
  return static_cast<std::size_t>(std::count_if(
    aWorks.begin(), aWorks.end(), [aMinWork](double aWork) { return aWork >= aMinWork; }));
}

} // namespace

OrderKey
OrderKeyOf(const OrderInput& aInput, const OrderRules& aRules)
{
  if (aInput.mLongRunning) {
    return { aInput.mPriority, static_cast<int>(OrderClass::FullValue), 0.0 };
  }
  const double fixedValue =
    aRules.mQueueValue && aInput.mMeanWork ? kFixedShare * *aInput.mMeanWork : kFixedValue;
  // Jobs are ordered by value per remaining core-second, which favours small jobs and jobs that are
  // nearly done.
  const double valueDensity = (fixedValue + kValuePerWork * aInput.mWork) /
                              std::max(aInput.mRemainingWork, kMinRemainingWork);
  return { aInput.mPriority, static_cast<int>(ClassOf(aInput, aRules)), -valueDensity };
}

void
NoteArrival(QueueHistory& aHistory, double aWork, Timestamp aNow)
{
  aHistory.mSamples = std::min(aHistory.mSamples + 1, kMeanSamples);
  aHistory.mMeanWork += (aWork - aHistory.mMeanWork) / static_cast<double>(aHistory.mSamples);
  AddEvent(aHistory.mArrivals, aWork, aNow);
}

void
NoteEnd(QueueHistory& aHistory,
        const Common::JobId& aJob,
        double aWork,
        bool aCompleted,
        Timestamp aNow)
{
  aHistory.mPromoted.erase(aJob);
  if (aCompleted) {
    AddEvent(aHistory.mEnds, aWork, aNow);
  }
}

std::optional<double>
MeanWork(const QueueHistory& aHistory)
{
  return aHistory.mSamples < kMinSamples ? std::nullopt : std::optional(aHistory.mMeanWork);
}

LargeJobDebt
LargeJobDebtOf(const QueueHistory& aHistory, double aLargeJobShare, Timestamp aNow)
{
  std::vector<double> arrived = RecentWork(aHistory.mArrivals, aNow);
  if (arrived.size() < kMinArrivals) {
    return {};
  }
  const auto large = arrived.end() - static_cast<std::ptrdiff_t>(arrived.size() / kLargeDivisor);
  std::nth_element(arrived.begin(), large, arrived.end());
  LargeJobDebt debt;
  debt.mMinWork = *large;
  const std::vector<double> ended = RecentWork(aHistory.mEnds, aNow);
  const double share = static_cast<double>(ended.size()) / static_cast<double>(arrived.size());
  const double owed =
    aLargeJobShare * share * static_cast<double>(CountFrom(arrived, debt.mMinWork));
  const auto promoted =
    std::count_if(aHistory.mPromoted.begin(), aHistory.mPromoted.end(), [aNow](const auto& aEntry) {
      return aNow - aEntry.second <= kPromotionTime;
    });
  const std::size_t served = CountFrom(ended, debt.mMinWork) + static_cast<std::size_t>(promoted);
  const auto needed = static_cast<std::size_t>(std::ceil(owed));
  debt.mJobs = needed > served ? needed - served : 0;
  return debt;
}

void
PromoteIfOwed(QueueHistory& aHistory,
              LargeJobDebt& aDebt,
              const Common::JobId& aJob,
              double aWork,
              const OrderKey& aKey,
              Timestamp aNow)
{
  if (aDebt.mJobs > 0 && aWork >= aDebt.mMinWork &&
      std::get<1>(aKey) == static_cast<int>(OrderClass::FullValue) &&
      aHistory.mPromoted.try_emplace(aJob, aNow).second) {
    --aDebt.mJobs;
  }
}

} // namespace Scheduling
