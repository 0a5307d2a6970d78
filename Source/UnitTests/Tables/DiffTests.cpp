#include <catch2/catch.hpp>

#include "Samples.h"
#include "Tables/DiffTables.h"
#include "Tables/Fleet.h"
#include "Tables/ParseTables.h"
#include "Tables/PrintTables.h"

using namespace TablesTests;

TEST_CASE("A diff names each change with old and new value", "[Tables]")
{
  const Tables::TableSet before = Tables::ParseTables(kRoutes, kPools).value();
  const auto diff = [&](const std::string& aRoutes, const std::string& aPools) {
    const Tables::TableSet after = Tables::ParseTables(aRoutes, aPools).value();
    return Tables::DiffText(Tables::DiffTables(before, after));
  };

  REQUIRE(diff(kRoutes, kPools).empty());
  REQUIRE(diff(Replaced(kRoutes, "deadline_ms = 800", "deadline_ms = 900"),
               Replaced(kPools, "home = \"dc2\"\n", "")) == "~ route \"quotes\"\n"
                                                            "    deadline_ms: 800 -> 900\n"
                                                            "~ client \"shop\"\n"
                                                            "    home: \"dc2\" -> (absent)\n");
  REQUIRE(diff(Replaced(kRoutes, "\"watches\"", "\"looks\""), kPools) ==
          "- route \"watches\"\n"
          "    name: \"watches\"\n    kind: \"watch\"\n    pool: \"back\"\n"
          "    urgency: \"standard\"\n    price_micro: 0\n    restart: \"never\"\n"
          "    max_attempts: 1\n"
          "+ route \"looks\"\n"
          "    name: \"looks\"\n    kind: \"watch\"\n    pool: \"back\"\n"
          "    urgency: \"standard\"\n    price_micro: 0\n    restart: \"never\"\n"
          "    max_attempts: 1\n");

  SECTION("a changed order of request routes is a change, since it decides between equal matches")
  {
    Tables::TableSet left;
    left.mRoutes.resize(2);
    left.mRoutes[0].mName = Common::RouteId("a");
    left.mRoutes[1].mName = Common::RouteId("b");
    Tables::TableSet right = left;
    std::swap(right.mRoutes[0], right.mRoutes[1]);
    REQUIRE(Tables::DiffText(Tables::DiffTables(left, right)) ==
            "~ order of routes\n    first difference: \"a\" -> \"b\"\n");
  }
}

TEST_CASE("Printed tables read back the same", "[Tables]")
{
  const Tables::TableSet tables = Tables::ParseTables(kRoutes, kPools).value();
  const std::string routes = Tables::PrintRoutes(tables);
  const std::string pools = Tables::PrintPools(tables);
  const auto again = Tables::ParseTables(routes, pools);
  REQUIRE(again.has_value());
  REQUIRE(Tables::DiffTables(tables, *again).empty());
  REQUIRE(Tables::PrintRoutes(*again) == routes);
  REQUIRE(Tables::PrintPools(*again) == pools);
}

TEST_CASE("A pool that asks for more than its workers have is a warning", "[Tables]")
{
  const Tables::TableSet tables = Tables::ParseTables(kRoutes, kPools).value();
  Tables::FleetWorker small;
  small.mWorker = Common::WorkerId("w1");
  small.mDataCentre = Common::DataCentreId("dc1");
  small.mLabels = { "web" };
  small.mCapacity.mSlots = Common::Slots(6);
  small.mCapacity.mConnections = Common::Connections(60);
  small.mCapacity.mResources = { Common::MilliCores(16000),
                                 Common::Bytes(60LL << 30),
                                 Common::Accelerators(2) };
  Tables::FleetWorker good = small;
  good.mWorker = Common::WorkerId("w2");
  good.mCapacity.mSlots = Common::Slots(8);

  REQUIRE(Tables::CheckFleet(tables, { good }, "p").empty());
  REQUIRE(Tables::CheckFleet(tables, { good, small }, "p").text() ==
          "p:1:1: warning: pool \"front\" asks for more than 1 of its 2 workers have; of worker "
          "\"w1\": 8 slots where it has 6\n");
  good.mLabels.clear();
  REQUIRE(Tables::CheckFleet(tables, { good }, "p").text() ==
          "p:1:1: warning: pool \"front\" has no worker with its labels in its data centres\n");

  SECTION("pools that fit alone but not together are reported once")
  {
    Tables::TableSet shared = tables;
    shared.mPools.push_back(shared.mPools[1]);
    shared.mPools.back().mName = Common::PoolId("more");
    good.mLabels = { "web" };
    const std::string text = Tables::CheckFleet(shared, { good }, "p").text();
    REQUIRE(text.find("pools \"front\", \"back\", \"more\" together ask of worker \"w2\" 28000 "
                      "milli_cores where it has 16000") != std::string::npos);
    REQUIRE(shared.mPools.size() == 3);
  }
}
