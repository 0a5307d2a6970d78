#include <catch2/catch.hpp>

#include "Common/Random.h"
#include "Core/Interference/Mitigation.h"

using namespace std::chrono_literals;
using namespace Interference;

namespace {

constexpr Common::Timestamp kStart{ 1h };

/// A service and two kinds of batch tasks: a noisy one, which raises the run time of the service by
/// half, and a quiet one, which raises it by a twentieth.
struct Fixture
{
  InterferenceModel mModel = MakeInterferenceModel();
  TaskKind mService = TaskKindForRoute(mModel, Common::RouteId("quote"));
  TaskKind mNoisy = TaskKindForRoute(mModel, Common::RouteId("render"));
  TaskKind mQuiet = TaskKindForRoute(mModel, Common::RouteId("index"));
  Common::Random mRandom{ 3 };

  float noiseFactor() { return static_cast<float>(0.9 + 0.2 * mRandom.unit()); }

  void learn(int aRounds)
  {
    for (int i = 0; i < aRounds; ++i) {
      UpdateEstimate(mModel,
                     { { { mService, 10.0F * noiseFactor(), false } }, kStart + 10s, kStart });
      UpdateEstimate(mModel,
                     { { { mService, 10.0F / 1.5F * noiseFactor(), false },
                         { mNoisy, 4.0F * noiseFactor(), false } },
                       kStart + 10s,
                       kStart });
      UpdateEstimate(mModel,
                     { { { mService, 10.0F / 1.05F * noiseFactor(), false },
                         { mQuiet, 2.0F * noiseFactor(), false } },
                       kStart + 10s,
                       kStart });
    }
  }

  WorkerObservation observation(float aServiceRate,
                                Common::Duration aMeasuredAfter,
                                bool aThrottled = false) const
  {
    WorkerObservation observation;
    observation.mAsOf = kStart + aMeasuredAfter;
    observation.mStableSince = kStart;
    observation.mTasks = { { 1, mService, true, 0s, true, false, false, aServiceRate },
                           { 2, mNoisy, false, 20s, true, aThrottled, false, 4.0F },
                           { 3, mQuiet, false, 0s, true, aThrottled, false, 2.0F } };
    return observation;
  }
};

} // namespace

TEST_CASE("Slow-down between kinds is learned from noisy reports", "[Interference]")
{
  Fixture fixture;

  SECTION("an unseen pair has the prior")
  {
    REQUIRE(PairSlowdown(fixture.mModel, fixture.mService, fixture.mNoisy) == Approx(0.03F));
  }

  SECTION("the noisy neighbour is distinguished from the quiet one")
  {
    fixture.learn(200);
    REQUIRE(PairSlowdown(fixture.mModel, fixture.mService, fixture.mNoisy) ==
            Approx(0.5F).margin(0.1));
    REQUIRE(PairSlowdown(fixture.mModel, fixture.mService, fixture.mQuiet) < 0.15F);
    const std::vector<TaskKindCount> service = { { fixture.mService, 1 } };
    REQUIRE(InterferenceCost(fixture.mModel, fixture.mNoisy, service, {}) >
            2 * InterferenceCost(fixture.mModel, fixture.mQuiet, service, {}));
  }

  SECTION("a report is ignored if the tasks changed during its measurement")
  {
    UpdateEstimate(fixture.mModel,
                   { { { fixture.mService, 1.0F, false }, { fixture.mNoisy, 4.0F, false } },
                     kStart + 1s,
                     kStart });
    REQUIRE(fixture.mModel.mKindStatistics[fixture.mService].mSampleCount == 0);
  }

  SECTION("kinds that never run alone keep a bounded isolated rate")
  {
    for (int i = 0; i < 20'000; ++i) {
      UpdateEstimate(fixture.mModel,
                     { { { fixture.mNoisy, 4.0F * fixture.noiseFactor(), false },
                         { fixture.mQuiet, 2.0F * fixture.noiseFactor(), false } },
                       kStart + 10s,
                       kStart });
    }
    REQUIRE(fixture.mModel.mKindStatistics[fixture.mNoisy].mIsolatedRate < 4.5F);
    REQUIRE(PairSlowdown(fixture.mModel, fixture.mNoisy, fixture.mQuiet) < 0.2F);
  }

  SECTION("kinds beyond kMaxTaskKinds share number 0")
  {
    for (int i = 0; i < 300; ++i) {
      TaskKindForRoute(fixture.mModel, Common::RouteId("r" + std::to_string(i)));
    }
    REQUIRE(TaskKindForRoute(fixture.mModel, Common::RouteId("last")) == 0);
    REQUIRE(fixture.mModel.mKindStatistics.size() == kMaxTaskKinds);
  }
}

TEST_CASE("Mitigation waits for a lasting slow-down, picks the noisy task and is undone",
          "[Interference]")
{
  Fixture fixture;
  fixture.learn(200);
  MitigationState state;
  const MitigationPolicy policy;
  std::vector<MitigationAction> actions;
  const auto reportEachSecond =
    [&](float aServiceRate, int aFromSecond, int aToSecond, bool aThrottled) {
      for (int second = aFromSecond; second < aToSecond; ++second) {
        const auto measuredAfter = std::chrono::seconds(second);
        if (auto action =
              ChooseMitigation(state,
                               fixture.mModel,
                               fixture.observation(aServiceRate, measuredAfter, aThrottled),
                               policy,
                               kStart + measuredAfter + 3s)) {
          actions.push_back(*action);
        }
      }
    };

  SECTION("a short peak causes no action")
  {
    reportEachSecond(10.0F / 1.6F, 10, 14, false);
    reportEachSecond(10.0F, 14, 60, false);
    REQUIRE(actions.empty());
  }

  SECTION(
    "a lasting slow-down throttles the noisy task first, then evicts it, with a pause between")
  {
    reportEachSecond(10.0F / 1.6F, 10, 30, false);
    REQUIRE(actions.size() == 1);
    REQUIRE(actions[0].mKind == MitigationActionKind::Throttle);
    REQUIRE(actions[0].mTask == 2);
    reportEachSecond(10.0F / 1.6F, 45, 60, true);
    REQUIRE(actions.size() == 2);
    REQUIRE(actions[1].mKind == MitigationActionKind::Evict);
    REQUIRE(actions[1].mTask == 2);
  }

  SECTION("a task is unthrottled only after the slow-down has stayed low")
  {
    reportEachSecond(10.0F, 10, 39, true);
    REQUIRE(actions.empty());
    reportEachSecond(10.0F, 39, 45, true);
    REQUIRE(actions.size() == 1);
    REQUIRE(actions[0].mKind == MitigationActionKind::Unthrottle);
  }

  SECTION("a slow-down that falls by itself is left alone")
  {
    for (int second = 10; second < 40; ++second) {
      const float slowdown = 2.0F / static_cast<float>(second - 8);
      const auto measuredAfter = std::chrono::seconds(second);
      const auto action =
        ChooseMitigation(state,
                         fixture.mModel,
                         fixture.observation(10.0F / (1.0F + slowdown), measuredAfter),
                         policy,
                         kStart + measuredAfter + 3s);
      REQUIRE_FALSE(action);
    }
  }

  SECTION("a task that does not obey its eviction in time is stopped")
  {
    WorkerObservation observation = fixture.observation(10.0F, 10s);
    observation.mTasks[1].mEvicting = true;
    state.mEvictionOrderedAt = kStart;
    REQUIRE_FALSE(ChooseMitigation(state, fixture.mModel, observation, policy, kStart + 20s));
    const auto action = ChooseMitigation(state, fixture.mModel, observation, policy, kStart + 31s);
    REQUIRE(action);
    REQUIRE(action->mKind == MitigationActionKind::Stop);
  }
}
