#include <catch2/catch.hpp>

#include "Common/Random.h"
#include "Core/Interference/Mitigation.h"

using namespace std::chrono_literals;
using namespace Interference;

namespace {

constexpr Common::Timestamp kStart{ 1h };

/// A service of kind 1 beside a noisy batch task of kind 2 and a quiet one of kind 3.
struct Bench
{
  InterferenceModel mModel = MakeInterferenceModel();
  TaskKind mService = TaskKindForRoute(mModel, Common::RouteId("quote"));
  TaskKind mNoisy = TaskKindForRoute(mModel, Common::RouteId("render"));
  TaskKind mQuiet = TaskKindForRoute(mModel, Common::RouteId("index"));
  Common::Random mRandom{ 3 };

  float noise() { return static_cast<float>(0.9 + 0.2 * mRandom.unit()); }

  void learn(int aReports)
  {
    for (int i = 0; i < aReports; ++i) {
      UpdateEstimate(mModel, { { { mService, 10.0F * noise(), false } }, kStart + 10s, kStart });
      UpdateEstimate(
        mModel,
        { { { mService, 10.0F / 1.5F * noise(), false }, { mNoisy, 4.0F * noise(), false } },
          kStart + 10s,
          kStart });
      UpdateEstimate(
        mModel,
        { { { mService, 10.0F / 1.05F * noise(), false }, { mQuiet, 2.0F * noise(), false } },
          kStart + 10s,
          kStart });
    }
  }

  WorkerObservation view(float aServiceRate, Common::Duration aAt, bool aThrottled = false) const
  {
    WorkerObservation view;
    view.mAsOf = kStart + aAt;
    view.mStableSince = kStart;
    view.mTasks = { { 1, mService, true, 0s, true, false, false, aServiceRate },
                    { 2, mNoisy, false, 20s, true, aThrottled, false, 4.0F },
                    { 3, mQuiet, false, 0s, true, aThrottled, false, 2.0F } };
    return view;
  }
};

} // namespace

TEST_CASE("Slow-down between kinds is learned from noisy reports", "[Interference]")
{
  Bench bench;

  SECTION("an unseen pair has the prior")
  {
    REQUIRE(PairSlowdown(bench.mModel, bench.mService, bench.mNoisy) == Approx(0.03F));
  }

  SECTION("the noisy neighbour is told from the quiet one")
  {
    bench.learn(200);
    REQUIRE(PairSlowdown(bench.mModel, bench.mService, bench.mNoisy) == Approx(0.5F).margin(0.1));
    REQUIRE(PairSlowdown(bench.mModel, bench.mService, bench.mQuiet) < 0.15F);
    const std::vector<TaskKindCount> service = { { bench.mService, 1 } };
    REQUIRE(InterferenceCost(bench.mModel, bench.mNoisy, service, {}) >
            2 * InterferenceCost(bench.mModel, bench.mQuiet, service, {}));
  }

  SECTION("a report that covers a change on the worker is ignored")
  {
    UpdateEstimate(
      bench.mModel,
      { { { bench.mService, 1.0F, false }, { bench.mNoisy, 4.0F, false } }, kStart + 1s, kStart });
    REQUIRE(bench.mModel.mKindStatistics[bench.mService].mSampleCount == 0);
  }

  SECTION("kinds that are never alone keep a bounded free rate")
  {
    for (int i = 0; i < 20'000; ++i) {
      UpdateEstimate(bench.mModel,
                     { { { bench.mNoisy, 4.0F * bench.noise(), false },
                         { bench.mQuiet, 2.0F * bench.noise(), false } },
                       kStart + 10s,
                       kStart });
    }
    REQUIRE(bench.mModel.mKindStatistics[bench.mNoisy].mIsolatedRate < 4.5F);
    REQUIRE(PairSlowdown(bench.mModel, bench.mNoisy, bench.mQuiet) < 0.2F);
  }

  SECTION("kinds beyond the bound share one number")
  {
    for (int i = 0; i < 300; ++i) {
      TaskKindForRoute(bench.mModel, Common::RouteId("r" + std::to_string(i)));
    }
    REQUIRE(TaskKindForRoute(bench.mModel, Common::RouteId("last")) == 0);
    REQUIRE(bench.mModel.mKindStatistics.size() == kMaxTaskKinds);
  }
}

TEST_CASE("The ladder acts late, on the right task, and goes back", "[Interference]")
{
  Bench bench;
  bench.learn(200);
  MitigationState ladder;
  const MitigationPolicy policy;
  std::vector<MitigationAction> actions;
  const auto run = [&](float aRate, int aFrom, int aTo, bool aThrottled) {
    for (int second = aFrom; second < aTo; ++second) {
      const auto at = std::chrono::seconds(second);
      if (auto action = ChooseMitigation(
            ladder, bench.mModel, bench.view(aRate, at, aThrottled), policy, kStart + at + 3s)) {
        actions.push_back(*action);
      }
    }
  };

  SECTION("a short peak causes no action")
  {
    run(10.0F / 1.6F, 10, 14, false);
    run(10.0F, 14, 60, false);
    REQUIRE(actions.empty());
  }

  SECTION(
    "a lasting slow-down throttles the noisy task first, then evicts it, with a pause between")
  {
    run(10.0F / 1.6F, 10, 30, false);
    REQUIRE(actions.size() == 1);
    REQUIRE(actions[0].mKind == MitigationActionKind::Throttle);
    REQUIRE(actions[0].mTask == 2);
    run(10.0F / 1.6F, 45, 60, true);
    REQUIRE(actions.size() == 2);
    REQUIRE(actions[1].mKind == MitigationActionKind::Evict);
    REQUIRE(actions[1].mTask == 2);
  }

  SECTION("a throttled task is freed only after the slow-down stayed low")
  {
    run(10.0F, 10, 39, true);
    REQUIRE(actions.empty());
    run(10.0F, 39, 45, true);
    REQUIRE(actions.size() == 1);
    REQUIRE(actions[0].mKind == MitigationActionKind::Unthrottle);
  }

  SECTION("a slow-down that falls by itself is left alone")
  {
    for (int second = 10; second < 40; ++second) {
      const float slow = 2.0F / static_cast<float>(second - 8);
      const auto at = std::chrono::seconds(second);
      const auto action = ChooseMitigation(
        ladder, bench.mModel, bench.view(10.0F / (1.0F + slow), at), policy, kStart + at + 3s);
      REQUIRE_FALSE(action);
    }
  }

  SECTION("a task that does not obey its eviction is stopped")
  {
    WorkerObservation view = bench.view(10.0F, 10s);
    view.mTasks[1].mEvicting = true;
    ladder.mEvictionOrderedAt = kStart;
    REQUIRE_FALSE(ChooseMitigation(ladder, bench.mModel, view, policy, kStart + 20s));
    const auto action = ChooseMitigation(ladder, bench.mModel, view, policy, kStart + 31s);
    REQUIRE(action);
    REQUIRE(action->mKind == MitigationActionKind::Stop);
  }
}
