#include <catch2/catch.hpp>

#include "Scheduling/TailInterference.h"

using namespace Scheduling;

TEST_CASE("Pressures of pairs are learned from tail latencies", "[Scheduling]")
{
  TailInterferenceModel model;
  const std::string serve = "serve";
  const std::string heavy = "heavy";
  const std::string light = "light";
  double load = 0.4;
  const auto tail = [](double aPressure) { return 10.0 / (1.0 - aPressure); };
  LearnFromTail(model, serve, 12.5, {}, load);

  const std::vector<Neighbour> both{ { &heavy, 1.0 }, { &light, 2.0 } };
  const std::vector<Neighbour> lightOnly{ { &light, 2.0 } };
  for (int i = 0; i < 200; ++i) {
    LearnFromTail(model, serve, tail(0.3 + 0.4), both, load);
    LearnFromTail(model, serve, tail(0.3), lightOnly, load);
    LearnFromTail(model, serve, tail(0.3), {}, load);
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
    LearnFromTail(model, serve, 0, both, load);
    REQUIRE(model.mPairPressures == pairs);
  }
}
