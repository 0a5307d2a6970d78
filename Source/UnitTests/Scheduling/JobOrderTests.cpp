#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Scheduling/JobOrder.h"

using namespace Scheduling;
using namespace std::chrono_literals;

namespace {

OrderInput
MakeInput(Duration aAge, double aWork, double aRemainingWork)
{
  OrderInput input;
  input.mAge = aAge;
  input.mObjective = 8s;
  input.mRemainingChain = 2s;
  input.mWork = aWork;
  input.mRemainingWork = aRemainingWork;
  return input;
}

/// One queue of jobs of two steps on cores that suffice for a part of them.
struct OverloadedQueue
{
  struct WaitingJob
  {
    std::string mId;
    Timestamp mArrived;
    double mWork = 0;
    double mRemaining = 0;
    /// Cores that the job can use at a time, and its time with all of them.
    double mCores = 0;
    bool mIsLarge = false;
    std::optional<Duration> mTook;
  };

  explicit OverloadedQueue(const OrderRules& aRules)
    : mRules(aRules)
  {
  }

  /// Adds a job of 4.6 s without waiting: work is lognormal around 280 core-seconds.
  void addJob(Timestamp aNow)
  {
    std::lognormal_distribution<double> works(5.5, 0.7);
    WaitingJob job;
    job.mId = std::to_string(mJobs.size());
    job.mArrived = aNow;
    job.mWork = works(mRandom);
    job.mRemaining = job.mWork;
    job.mCores = job.mWork / 4.6;
    // The largest tenth of this distribution.
    job.mIsLarge = job.mWork > 600;
    NoteArrival(mHistory, job.mWork, aNow);
    mJobs.push_back(job);
  }

  OrderKey keyOf(const WaitingJob& aJob, Timestamp aNow) const
  {
    OrderInput input;
    input.mAge = aNow - aJob.mArrived;
    input.mObjective = kObjective;
    input.mRemainingChain = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aJob.mRemaining / aJob.mCores));
    input.mWork = aJob.mWork;
    input.mRemainingWork = aJob.mRemaining;
    input.mMeanWork = MeanWork(mHistory);
    input.mIsPromoted = mHistory.mPromoted.contains(Common::JobId(aJob.mId));
    return OrderKeyOf(input, mRules);
  }

  /// Gives the cores to the jobs in their order, for one step of time.
  void work(Timestamp aNow, double aCores)
  {
    std::vector<std::pair<OrderKey, WaitingJob*>> order;
    for (WaitingJob& job : mJobs) {
      if (!job.mTook) {
        order.emplace_back(keyOf(job, aNow), &job);
      }
    }
    std::sort(order.begin(), order.end());
    LargeJobDebt debt = LargeJobDebtOf(mHistory, mRules.mLargeJobShare, aNow);
    for (const auto& [key, job] : order) {
      const Common::JobId id(job->mId);
      PromoteIfOwed(mHistory, debt, id, job->mWork, key, aNow);
      const double cores = std::min(job->mCores, aCores);
      aCores -= cores;
      job->mRemaining -= cores * std::chrono::duration<double>(kStep).count();
      if (job->mRemaining <= 0) {
        job->mTook = aNow + kStep - job->mArrived;
        NoteEnd(mHistory, id, job->mWork, true, aNow);
      }
    }
  }

  /// Runs a load of aLoad times what the cores can do for aTime, and until its value is lost.
  void run(double aLoad, Duration aTime)
  {
    const Timestamp start{ 1000s };
    const double meanWork = 312;
    double due = 0;
    for (Timestamp now = start; now < start + aTime + 3 * kObjective; now += kStep) {
      due += now < start + aTime
               ? aLoad * kCores / meanWork * std::chrono::duration<double>(kStep).count()
               : 0;
      for (; due >= 1; due -= 1) {
        addJob(now);
      }
      work(now, kCores);
    }
  }

  /// Share of the jobs that ended within three times their objective.
  double served(bool aOnlyLarge) const
  {
    std::size_t all = 0;
    std::size_t served = 0;
    for (const WaitingJob& job : mJobs) {
      if (!aOnlyLarge || job.mIsLarge) {
        ++all;
        served += job.mTook && *job.mTook <= 3 * kObjective ? 1 : 0;
      }
    }
    return static_cast<double>(served) / static_cast<double>(all);
  }

  /// Share of the value that was earned: 15% of it between one and three times the objective.
  double earned() const
  {
    constexpr double kMeanWork = 312;
    double owed = 0;
    double earned = 0;
    for (const WaitingJob& job : mJobs) {
      const double value = 0.3 * kMeanWork + 0.7 * job.mWork;
      owed += value;
      if (job.mTook) {
        earned += *job.mTook <= kObjective       ? value
                  : *job.mTook <= 3 * kObjective ? 0.15 * value
                                                 : 0;
      }
    }
    return earned / owed;
  }

  static constexpr Duration kObjective = 10s;
  static constexpr Duration kStep = 100ms;
  static constexpr double kCores = 1000;
  OrderRules mRules;
  std::mt19937 mRandom{ 7 };
  QueueHistory mHistory;
  std::deque<WaitingJob> mJobs;
};

} // namespace

TEST_CASE("Jobs that earn more come first", "[Scheduling]")
{
  OrderRules rules;

  SECTION("by priority, then those that meet their objective, then by value per work left")
  {
    OrderInput urgent = MakeInput(60s, 100, 100);
    OrderInput patient = MakeInput(0s, 100, 100);
    patient.mPriority = 1;
    REQUIRE(OrderKeyOf(urgent, rules) < OrderKeyOf(patient, rules));
    REQUIRE(OrderKeyOf(MakeInput(0s, 100, 100), rules) < OrderKeyOf(MakeInput(9s, 100, 10), rules));
    REQUIRE(OrderKeyOf(MakeInput(0s, 100, 40), rules) < OrderKeyOf(MakeInput(0s, 100, 80), rules));
  }

  SECTION("long-running tasks come after the jobs that meet their objective, as before")
  {
    OrderInput longRunning = MakeInput(0s, 100, 100);
    longRunning.mLongRunning = true;
    REQUIRE(OrderKeyOf(MakeInput(0s, 100, 100), rules) < OrderKeyOf(longRunning, rules));
    REQUIRE(OrderKeyOf(longRunning, rules) < OrderKeyOf(MakeInput(60s, 100, 1), rules));
  }

  SECTION("jobs that earn nothing any more come last only with the rule for the late part")
  {
    // Two times the objective of 8 s, and more than three times.
    const OrderInput late = MakeInput(14s, 100, 100);
    const OrderInput worthless = MakeInput(30s, 100, 50);
    REQUIRE(OrderKeyOf(worthless, rules) < OrderKeyOf(late, rules));
    rules.mLatePart = true;
    REQUIRE(OrderKeyOf(late, rules) < OrderKeyOf(worthless, rules));
  }

  SECTION("the fixed part of the value follows the queue")
  {
    // A typical job of a queue of heavy jobs, and one of twice the work in a queue of light ones.
    OrderInput heavy = MakeInput(0s, 300, 300);
    heavy.mMeanWork = 300;
    OrderInput light = MakeInput(0s, 12, 12);
    light.mMeanWork = 6;
    REQUIRE(OrderKeyOf(light, rules) < OrderKeyOf(heavy, rules));
    rules.mQueueValue = true;
    REQUIRE(OrderKeyOf(heavy, rules) < OrderKeyOf(light, rules));
  }
}

TEST_CASE("The history of a queue is bounded", "[Scheduling]")
{
  QueueHistory history;
  REQUIRE_FALSE(MeanWork(history));
  Timestamp now{ 100s };
  for (int i = 0; i < 5000; ++i, now += 1ms) {
    NoteArrival(history, 10, now);
    NoteEnd(history, Common::JobId(std::to_string(i)), 10, true, now);
  }
  REQUIRE(history.mArrivals.size() <= 512);
  REQUIRE(history.mEnds.size() <= 512);
  REQUIRE(*MeanWork(history) == Approx(10));

  SECTION("arrivals of more than 10 s ago are dropped with the next one")
  {
    NoteArrival(history, 10, now + 11s);
    REQUIRE(history.mArrivals.size() == 1);
  }
  SECTION("the mean follows a change of the load")
  {
    for (int i = 0; i < 400; ++i, now += 1ms) {
      NoteArrival(history, 100, now);
    }
    REQUIRE(*MeanWork(history) > 95);
  }
}

TEST_CASE("Large jobs come first while the others of their queue are served more often",
          "[Scheduling]")
{
  QueueHistory history;
  const Timestamp now{ 100s };
  const Common::JobId large("large");
  for (int i = 0; i < 40; ++i) {
    NoteArrival(history, i, now);
  }
  REQUIRE(LargeJobDebtOf(history, 0.5, now).mJobs == 0);
  for (int i = 0; i < 30; ++i) {
    NoteEnd(history, Common::JobId(std::to_string(i)), i, true, now);
  }
  // Of the 4 largest jobs, half of 30 in 40.
  LargeJobDebt debt = LargeJobDebtOf(history, 0.5, now);
  REQUIRE(debt.mJobs == 2);
  REQUIRE(debt.mMinWork == 36);
  OrderInput input = MakeInput(0s, 38, 38);
  const OrderKey key = OrderKeyOf(input, {});

  SECTION("a promoted one counts as served until it ends or 30 s have passed")
  {
    PromoteIfOwed(history, debt, large, 38, key, now);
    REQUIRE(debt.mJobs == 1);
    input.mIsPromoted = history.mPromoted.contains(large);
    REQUIRE(OrderKeyOf(input, {}) < OrderKeyOf(MakeInput(0s, 38, 1), {}));
    REQUIRE(LargeJobDebtOf(history, 0.5, now).mJobs == 1);
    NoteEnd(history, large, 38, false, now);
    REQUIRE(LargeJobDebtOf(history, 0.5, now).mJobs == 2);
  }
  SECTION("small jobs and late ones are not promoted")
  {
    PromoteIfOwed(history, debt, large, 35, key, now);
    PromoteIfOwed(history, debt, large, 38, OrderKeyOf(MakeInput(20s, 38, 38), {}), now);
    REQUIRE(history.mPromoted.empty());
  }
  SECTION("nothing is owed once enough of them ended, or after 10 s")
  {
    REQUIRE(LargeJobDebtOf(history, 0.5, now + 11s).mJobs == 0);
    NoteEnd(history, Common::JobId("38"), 38, true, now);
    NoteEnd(history, Common::JobId("39"), 39, true, now);
    REQUIRE(LargeJobDebtOf(history, 0.5, now).mJobs == 0);
  }
}

TEST_CASE("The largest tenth of a queue is served half as often as the queue under overload",
          "[Scheduling]")
{
  // Value per remaining work puts small jobs first, so that the largest ones never had their turn
  // while more work arrived than could be done.
  OrderRules plain;
  OrderRules all;
  all.mLatePart = true;
  all.mQueueValue = true;
  all.mLargeJobShare = 0.6;
  OrderRules unguarded = all;
  unguarded.mLargeJobShare = 0;
  const double load = GENERATE(1.3, 2.0, 2.6);
  OverloadedQueue before(plain);
  OverloadedQueue without(unguarded);
  OverloadedQueue guarded(all);
  for (OverloadedQueue* queue : { &before, &without, &guarded }) {
    queue->run(load, 60s);
  }
  CAPTURE(load,
          before.served(false),
          before.served(true),
          before.earned(),
          without.served(false),
          without.served(true),
          without.earned(),
          guarded.served(false),
          guarded.served(true),
          guarded.earned());
  REQUIRE(guarded.served(true) >= 0.5 * guarded.served(false));
  REQUIRE_FALSE(before.served(true) >= 0.5 * before.served(false));
}
