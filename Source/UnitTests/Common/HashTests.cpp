#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

#include "Common/Findings.h"
#include "Common/Hash.h"
#include "Common/Histogram.h"

TEST_CASE("Rendezvous hashing gives each key one home", "[Common]")
{
  std::vector<std::string> names = { "dc1", "dc2", "dc3" };

  SECTION("the order of the names does not change the choice")
  {
    const std::string choice = Common::RendezvousChoice("client-7", names);
    std::reverse(names.begin(), names.end());
    REQUIRE(Common::RendezvousChoice("client-7", names) == choice);
  }

  SECTION("removing one name moves only the keys of that name")
  {
    const std::vector<std::string> fewer = { "dc1", "dc2" };
    for (int i = 0; i < 200; ++i) {
      const std::string key = "client-" + std::to_string(i);
      const std::string before = Common::RendezvousChoice(key, names);
      if (before != "dc3") {
        REQUIRE(Common::RendezvousChoice(key, fewer) == before);
      }
    }
  }

  SECTION("keys spread over the names")
  {
    std::map<std::string, int> counts;
    for (int i = 0; i < 3000; ++i) {
      ++counts[Common::RendezvousChoice(std::to_string(i), names)];
    }
    for (const auto& [name, count] : counts) {
      REQUIRE(count > 850);
    }
  }
}

TEST_CASE("A histogram keeps quantiles within one sixteenth", "[Common]")
{
  Common::Histogram histogram;
  for (int i = 1; i <= 10000; ++i) {
    histogram.record(i);
  }
  REQUIRE(histogram.count() == 10000);
  REQUIRE(histogram.max() == 10000);
  REQUIRE(histogram.quantile(0.5) == Approx(5000).epsilon(1.0 / 16));
  REQUIRE(histogram.quantile(0.99) == Approx(9900).epsilon(1.0 / 16));
  REQUIRE(histogram.quantile(1.0) == 10000);
}

TEST_CASE("Findings are reported together with their place", "[Common]")
{
  Common::Findings findings;
  findings.warning({ "pools.toml", 3, 1 }, "pool \"a\" has no workers");
  REQUIRE_FALSE(findings.hasErrors());
  findings.error({ "routes.toml", 0, 0 }, "file is empty");
  REQUIRE(findings.hasErrors());
  REQUIRE(findings.text() == "pools.toml:3:1: warning: pool \"a\" has no workers\n"
                             "routes.toml: file is empty\n");
}

TEST_CASE("An unknown name is matched to the nearest known one", "[Common]")
{
  REQUIRE(Common::NearestName("urgencey", { "urgency", "price" }) == "urgency");
  REQUIRE(Common::NearestName("colour", { "urgency", "price" }).empty());
}
