#include <algorithm>
#include <chrono>

#include <catch2/catch.hpp>

#include "Samples.h"
#include "Tables/ParseTables.h"
#include "Tables/RouteIndex.h"

using namespace TablesTests;

namespace {

using Seconds = std::chrono::duration<double>;

/// The shortest of several runs; noise of the machine only makes a run longer.
template<typename Work>
Seconds
ShortestOf(int aRuns, Work aWork)
{
  Seconds shortest = Seconds::max();
  for (int i = 0; i < aRuns; ++i) {
    const auto start = std::chrono::steady_clock::now();
    aWork();
    shortest = std::min<Seconds>(shortest, std::chrono::steady_clock::now() - start);
  }
  return shortest;
}

/// A table with aCount routes, all of one path if aSamePath, told apart by a header.
std::string
ManyRoutes(int aCount, bool aSamePath)
{
  std::string text;
  for (int i = 0; i < aCount; ++i) {
    const std::string number = std::to_string(i);
    text += "[[route]]\nname = \"r" + number + "\"\npool = \"front\"\nurgency = \"standard\"\n";
    text += "[route.match]\npath_prefix = \"/a/" + (aSamePath ? "x" : number);
    text += "\"\nheaders = { x-kind = \"" + number + "\" }\n";
  }
  return text;
}

} // namespace

TEST_CASE("Large tables stay affordable", "[Tables]")
{
  SECTION("reading grows with the table, not faster")
  {
    const std::string small = ManyRoutes(1000, false);
    const std::string large = ManyRoutes(10'000, false);
    const auto parse = [&](const std::string& aRoutes) {
      return ShortestOf(3, [&] { REQUIRE(Tables::ParseTables(aRoutes, kPools).has_value()); });
    };
    // Quadratic work would make the ratio 100.
    REQUIRE(parse(large) / parse(small) < 30);
  }
  SECTION("routes that differ only in a header are not all compared with each other")
  {
    const std::string apart = ManyRoutes(10'000, false);
    const std::string same = ManyRoutes(10'000, true);
    const auto parse = [&](const std::string& aRoutes) {
      return ShortestOf(3, [&] { REQUIRE(Tables::ParseTables(aRoutes, kPools).has_value()); });
    };
    REQUIRE(parse(same) / parse(apart) < 3);
  }
  SECTION("matching hardly depends on the size of the table")
  {
    const auto match = [](int aCount) {
      const Tables::TableSet tables =
        Tables::ParseTables(ManyRoutes(aCount, false), kPools).value();
      const Tables::RouteIndex index = Tables::BuildRouteIndex(tables);
      std::vector<std::string> paths;
      std::vector<std::string> kinds;
      for (int i = 0; i < 100; ++i) {
        kinds.push_back(std::to_string(i * aCount / 100));
        paths.push_back("/a/" + kinds.back() + "/b/c");
      }
      return ShortestOf(5, [&] {
        std::size_t found = 0;
        for (int i = 0; i < 20'000; ++i) {
          const std::size_t at = static_cast<std::size_t>(i) % paths.size();
          found += Tables::MatchRoute(
                     tables, index, "h", paths[at], "GET", { { "x-kind", kinds[at] } }) != nullptr
                     ? 1
                     : 0;
        }
        REQUIRE(found == 20'000);
      });
    };
    // A search through the table would make the ratio 100.
    REQUIRE(match(10'000) / match(100) < 10);
  }
  SECTION("a table of nothing but faults is refused with a bounded answer")
  {
    std::string broken;
    while (broken.size() < 1'000'000) {
      broken += "[[route]]\n";
    }
    const auto tables = Tables::ParseTables(broken, kPools);
    REQUIRE_FALSE(tables.has_value());
    REQUIRE(tables.error().items().size() == 1001);
    REQUIRE(tables.error().items().back().mMessage.find("more findings are left out") !=
            std::string::npos);
  }
}
