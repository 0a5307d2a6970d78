#include <catch2/catch.hpp>

#include "Tables/RouteIndex.h"

namespace {

Tables::Route
MakeRoute(const std::string& aName, Tables::RouteMatch aMatch)
{
  Tables::Route route;
  route.mName = Common::RouteId(aName);
  route.mMatch = std::move(aMatch);
  return route;
}

} // namespace

TEST_CASE("A request finds the most specific route", "[Tables]")
{
  Tables::TableSet tables;
  tables.mRoutes = {
    MakeRoute("all", { "", "", {}, {} }),
    MakeRoute("a", { "", "/a", {}, {} }),
    MakeRoute("a-wild", { "*.example", "/a", {}, {} }),
    MakeRoute("a-wilder", { "*.shop.example", "/a", {}, {} }),
    MakeRoute("a-host", { "eu.shop.example", "/a", {}, {} }),
    MakeRoute("a-b", { "", "/a/b", {}, {} }),
    MakeRoute("a-b-get", { "", "/a/b", { "GET" }, {} }),
    MakeRoute("a-b-get-x", { "", "/a/b", { "GET" }, { { "x", "1" } } }),
    MakeRoute("a-b-get-xy", { "", "/a/b", { "GET" }, { { "x", "1" }, { "y", "2" } } }),
    MakeRoute("twin", { "", "/a/b", { "GET" }, { { "x", "1" } } }),
  };
  const Tables::RouteIndex index = Tables::BuildRouteIndex(tables);
  const auto match = [&](std::string_view aHost,
                         std::string_view aPath,
                         std::string_view aMethod = "GET",
                         const std::vector<Tables::RequestHeader>& aHeaders = {}) {
    const Tables::Route* route = Tables::MatchRoute(tables, index, aHost, aPath, aMethod, aHeaders);
    return route == nullptr ? "" : route->mName.str();
  };

  SECTION("the longest path prefix wins, on whole segments")
  {
    REQUIRE(match("h", "/") == "all");
    REQUIRE(match("h", "/ab") == "all");
    REQUIRE(match("h", "/a") == "a");
    REQUIRE(match("h", "/a/") == "a");
    REQUIRE(match("h", "/a/x/y/z") == "a");
    REQUIRE(match("h", "/a/b/c", "PUT") == "a-b");
    REQUIRE(match("h", "/a/bc", "PUT") == "a");
    REQUIRE(match("h", "/a?b=/a/b") == "a");
    REQUIRE(match("h", "/" + std::string(100'000, '/')) == "all");
  }
  SECTION("then the more specific host, without port and case")
  {
    REQUIRE(match("EU.shop.example:8080", "/a") == "a-host");
    REQUIRE(match("us.shop.example.", "/a") == "a-wilder");
    REQUIRE(match("news.example", "/a") == "a-wild");
    REQUIRE(match("example", "/a") == "a");
    REQUIRE(match("[::1]:80", "/a") == "a");
    // The path goes before the host.
    REQUIRE(match("eu.shop.example", "/a/b", "PUT") == "a-b");
  }
  SECTION("then the method, then more headers, then the order of the table")
  {
    REQUIRE(match("h", "/a/b") == "a-b-get");
    REQUIRE(match("h", "/a/b", "GET", { { "X", "1" } }) == "a-b-get-x");
    REQUIRE(match("h", "/a/b", "GET", { { "x", "0" }, { "x", "1" } }) == "a-b-get-x");
    REQUIRE(match("h", "/a/b", "GET", { { "Y", "2" }, { "X", "1" } }) == "a-b-get-xy");
    REQUIRE(match("h", "/a/b", "PUT", { { "x", "1" } }) == "a-b");
  }
  SECTION("without a match there is none")
  {
    tables.mRoutes.resize(1);
    tables.mRoutes[0].mMatch.mPathPrefix = "/only";
    const Tables::RouteIndex other = Tables::BuildRouteIndex(tables);
    REQUIRE(Tables::MatchRoute(tables, other, "h", "/on", "GET", {}) == nullptr);
    REQUIRE(Tables::MatchRoute(tables, other, "h", "", "GET", {}) == nullptr);
  }
  SECTION("routes are found by name")
  {
    REQUIRE(Tables::FindRoute(tables, index, Common::RouteId("a-b")) == &tables.mRoutes[5]);
    REQUIRE(Tables::FindRoute(tables, index, Common::RouteId("b")) == nullptr);
  }
}
