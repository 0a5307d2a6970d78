#include <algorithm>
#include <cmath>
#include <span>

#include <catch2/catch.hpp>

#include "Scheduling/TailInterference.h"

using namespace Scheduling;

TEST_CASE("Pressures of pairs are learned from tail latencies", "[Scheduling]")
{
  TailInterferenceModel model;
  const std::string serve = "serve";
  const std::string heavy = "heavy";
  const std::string light = "light";
  ServedLoad load;
  Common::Timestamp now{ std::chrono::seconds(1) };
  const auto tailMs = [](double aPressure) { return 10.0 / (1.0 - aPressure); };
  const auto learn = [&](double aTailMs, std::span<const Neighbour> aNeighbours) {
    now += std::chrono::milliseconds(400);
    LearnFromTail(model, serve, aTailMs, aNeighbours, load, now);
  };
  learn(12.5, {});

  const std::vector<Neighbour> both{ { &heavy, 1.0 }, { &light, 2.0 } };
  const std::vector<Neighbour> lightOnly{ { &light, 2.0 } };
  for (int i = 0; i < 200; ++i) {
    learn(tailMs(0.3 + 0.4), both);
    learn(tailMs(0.3), lightOnly);
    learn(tailMs(0.3), {});
  }

  SECTION("an interfering image is told from a harmless one")
  {
    REQUIRE(PairPressure(model, heavy, serve) > 0.2);
    REQUIRE(PairPressure(model, light, serve) < 0.08);
  }
  SECTION("an unknown pair takes the mean of the neighbour's image")
  {
    REQUIRE(PairPressure(model, heavy, "other") > PairPressure(model, light, "other"));
    REQUIRE(PairPressure(model, "unknown", "other") == model.mPolicy.mPriorPressure);
  }
  SECTION("measurements of zero are ignored")
  {
    const auto pairs = model.mPairPressures;
    learn(0, both);
    REQUIRE(model.mPairPressures == pairs);
  }
}

TEST_CASE("Clients' swinging load is not taken for interference", "[Scheduling]")
{
  // Load pattern: 14 tasks of one step whose clients' load swings by half within 14 s; harmless
  // best-effort tasks run beside one task and harmful ones beside another. When each task had an
  // estimate of its own, every swing went into the pairs, and harmless images were kept away.
  TailInterferenceModel model;
  ServedLoad load;
  const std::string serve = "serve";
  const std::string heavy = "heavy";
  const std::string light = "light";
  const std::vector<Neighbour> besideHeavy{ { &heavy, 3.5 } };
  const std::vector<Neighbour> besideLight{ { &light, 3.5 } };
  constexpr int kTasks = 14;
  constexpr double kPi = 3.14159265358979;
  Common::Timestamp now{ std::chrono::seconds(1) };
  const auto ownPressure = [](double aSeconds) {
    return 0.45 * (1.0 + 0.5 * std::sin(aSeconds / 14.0 * 2.0 * kPi));
  };
  // The largest difference from the clients' load at the same time. The figures of half a second
  // are about that old; the unloaded latency is estimated as 0.8 of the lowest one.
  const auto play = [&](int aReports) {
    double worst = 0;
    for (int report = 0; report < aReports; ++report) {
      for (int task = 0; task < kTasks; ++task) {
        now += std::chrono::milliseconds(28);
        const double seconds = std::chrono::duration<double>(now.time_since_epoch()).count();
        const double own = ownPressure(seconds - 0.5);
        const double added = task == 0 ? 0.28 : task == 1 ? 0.01 : 0.0;
        const std::span<const Neighbour> neighbours =
          task == 0   ? std::span<const Neighbour>(besideHeavy)
          : task == 1 ? std::span<const Neighbour>(besideLight)
                      : std::span<const Neighbour>();
        LearnFromTail(model, serve, 10.0 / (1.0 - own - added), neighbours, load, now);
        const double expected = PressureFromTail(model, serve, 10.0 / (1.0 - ownPressure(seconds)));
        worst = std::max(
          worst,
          std::abs(ForecastPressure(model, load, std::chrono::milliseconds(500)) - expected));
      }
    }
    return worst;
  };
  play(35);

  SECTION("pairs are told apart within one period")
  {
    REQUIRE(PairPressure(model, heavy, serve) > 0.06);
    REQUIRE(PairPressure(model, light, serve) < 0.02);
  }
  SECTION("the load is forecast over the age of the figures")
  {
    REQUIRE(play(35) < 0.06);
  }
}

TEST_CASE("What callers name takes little room in the learned models", "[Scheduling]")
{
  // The models kept whole names of up to the size of a body, and their record outgrew the store's
  // largest value.
  constexpr std::size_t kLargestName = 250'000;
  TailInterferenceModel model;
  ServedLoad load;
  const Common::Timestamp now{ std::chrono::seconds(1) };
  const std::string largest(kLargestName, 'i');
  const std::string serve = "serve";

  SECTION("if the name is long")
  {
    LearnFromTail(model, largest, 12.5, {}, load, now);
    const std::vector<Neighbour> neighbours{ { &largest, 1.0 } };
    LearnFromTail(model, serve, 12.5, neighbours, load, now);
    REQUIRE(model.mLowestTailMs.size() == 1);
    REQUIRE(model.mPairPressures.empty());
    REQUIRE(model.mPairVariances.empty());
    REQUIRE(model.mMeanPressures.empty());
  }
  SECTION("if there are many names")
  {
    for (std::size_t i = 0; i < kMaxLearnedImages + 10; ++i) {
      const std::string image = "image-" + std::to_string(i);
      const std::vector<Neighbour> neighbours{ { &image, 1.0 } };
      LearnFromTail(model, image, 12.5, neighbours, load, now);
    }
    REQUIRE(model.mLowestTailMs.size() == kMaxLearnedImages);
    REQUIRE(model.mMeanPressures.size() == kMaxLearnedImages);
    REQUIRE(model.mPairPressures.size() == kMaxLearnedImages);
    REQUIRE(model.mPairVariances.size() == kMaxLearnedImages);
  }
}
