#include <catch2/catch.hpp>

#include "Scheduling/TailInterference.h"

using namespace Scheduling;

TEST_CASE("Pressures of pairs are learned from tail latencies", "[Scheduling]")
{
  TailInterferenceModel model;
  const std::string serve = "serve";
  const std::string heavy = "heavy";
  const std::string light = "light";
  double ownPressure = 0.4;
  const auto tailMs = [](double aPressure) { return 10.0 / (1.0 - aPressure); };
  LearnFromTail(model, serve, 12.5, {}, ownPressure);

  const std::vector<Neighbour> both{ { &heavy, 1.0 }, { &light, 2.0 } };
  const std::vector<Neighbour> lightOnly{ { &light, 2.0 } };
  for (int i = 0; i < 200; ++i) {
    LearnFromTail(model, serve, tailMs(0.3 + 0.4), both, ownPressure);
    LearnFromTail(model, serve, tailMs(0.3), lightOnly, ownPressure);
    LearnFromTail(model, serve, tailMs(0.3), {}, ownPressure);
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
    LearnFromTail(model, serve, 0, both, ownPressure);
    REQUIRE(model.mPairPressures == pairs);
  }
}

TEST_CASE("What callers name takes little room in the learned models", "[Scheduling]")
{
  // The models kept whole names of up to the size of a body, and their record outgrew the store's
  // largest value.
  constexpr std::size_t kLargestName = 250'000;
  TailInterferenceModel model;
  double ownPressure = 0.4;
  const std::string largest(kLargestName, 'i');
  const std::string serve = "serve";

  SECTION("if the name is long")
  {
    LearnFromTail(model, largest, 12.5, {}, ownPressure);
    const std::vector<Neighbour> neighbours{ { &largest, 1.0 } };
    LearnFromTail(model, serve, 12.5, neighbours, ownPressure);
    REQUIRE(model.mLowestTailMs.size() == 1);
    REQUIRE(model.mPairPressures.empty());
    REQUIRE(model.mMeanPressures.empty());
  }
  SECTION("if there are many names")
  {
    for (std::size_t i = 0; i < kMaxLearnedImages + 10; ++i) {
      const std::string image = "image-" + std::to_string(i);
      const std::vector<Neighbour> neighbours{ { &image, 1.0 } };
      LearnFromTail(model, image, 12.5, neighbours, ownPressure);
    }
    REQUIRE(model.mLowestTailMs.size() == kMaxLearnedImages);
    REQUIRE(model.mMeanPressures.size() == kMaxLearnedImages);
    REQUIRE(model.mPairPressures.size() == kMaxLearnedImages);
  }
}
