#include <catch2/catch.hpp>

#include "Samples.h"
#include "Tables/ParseTables.h"

using namespace TablesTests;

namespace {

std::string
Problems(const std::string& aRoutes,
         const std::string& aPools,
         const std::vector<std::string>& aDataCentres = {})
{
  Tables::TableNames names{ "r", "p", {} };
  for (const std::string& dataCentre : aDataCentres) {
    names.mDataCentres.emplace_back(dataCentre);
  }
  Common::Findings warnings;
  const auto tables = Tables::ParseTables(aRoutes, aPools, names, &warnings);
  return tables ? warnings.text() : tables.error().text();
}

} // namespace

TEST_CASE("Valid tables become plain data", "[Tables]")
{
  const auto tables = Tables::ParseTables(kRoutes, kPools);
  REQUIRE(tables.has_value());
  REQUIRE(Problems(kRoutes, kPools, { "dc1", "dc2" }).empty());

  SECTION("routes")
  {
    REQUIRE(tables->mRoutes.size() == 3);
    const Tables::Route& quotes = tables->mRoutes[0];
    REQUIRE(quotes.mName.str() == "quotes");
    REQUIRE(quotes.mUrgency == Tables::Urgency::Interactive);
    REQUIRE(quotes.mDeadline == std::chrono::milliseconds(800));
    REQUIRE(quotes.mPrice.value() == 120);
    REQUIRE(quotes.mMaxBody.value() == 1 << 20);
    REQUIRE((quotes.mIdempotent && quotes.mHedge));
    REQUIRE(quotes.mMatch.mHost == "quotes.example");
    REQUIRE(quotes.mMatch.mPathPrefix == "/quotes");
    REQUIRE(quotes.mMatch.mMethods == std::vector<std::string>{ "GET", "POST" });
    REQUIRE(quotes.mMatch.mHeaders == std::vector<Tables::HeaderMatch>{ { "x-kind", "quick" } });
    REQUIRE(tables->mRoutes[1].mKind == Tables::RouteKind::Batch);
    REQUIRE(tables->mRoutes[1].mMaxAttempts == 3);
    REQUIRE(tables->mRoutes[2].mRestart == Tables::RestartPolicy::Never);
    REQUIRE(tables->mRoutes[2].mMaxAttempts == 1);
  }
  SECTION("pools, teams and clients")
  {
    const Tables::Pool& front = tables->mPools[0];
    REQUIRE(front.mDataCentres.size() == 2);
    REQUIRE(front.mLabels == std::vector<std::string>{ "web" });
    REQUIRE(front.mPerWorker.mSlots.value() == 8);
    REQUIRE(front.mMinShares.size() == 2);
    REQUIRE(front.mMinShares[1].mPercent == 10);
    REQUIRE(tables->mPools[1].mPerWorker.mResources.mMemory.value() == 50000LL << 20);
    REQUIRE(tables->mTeams[0].mSlotQuota.value() == 20);
    REQUIRE(tables->mTeams[0].mMayBorrow);
    REQUIRE(tables->mClients[0].mHome.str() == "dc2");
  }
  SECTION("empty tables are valid, for a fleet that has none yet")
  {
    REQUIRE(Problems("", "").empty());
  }
}

TEST_CASE("All findings of both tables are reported together in order", "[Tables]")
{
  std::string routes = Replaced(kRoutes, "deadline_ms = 800", "deadline_ms = -1");
  routes = Replaced(routes, "urgency = \"patient\"", "urgencey = \"patient\"");
  std::string pools = Replaced(kPools, "slots = 8", "slots = 1.5");
  pools = Replaced(pools, "team = \"sales\"", "team = \"sale\"");
  REQUIRE(Problems(routes, pools) ==
          "r:5:15: route \"quotes\": key \"deadline_ms\" is -1; it must be from 1 to 600000\n"
          "r:15:1: route \"renders\": key \"urgency\" is missing\n"
          "r:19:1: route \"renders\": unknown key \"urgencey\"; did you mean \"urgency\"?\n"
          "p:6:9: pool \"front\" per_worker: key \"slots\" must be an integer, not a number\n"
          "p:24:8: client \"shop\": unknown team \"sale\"; did you mean \"sales\"?\n");
}

TEST_CASE("A syntax error in one table leaves the findings of the other", "[Tables]")
{
  const std::string text = Problems("[[route]\n", Replaced(kPools, "weight = 3", "weight = 0"));
  REQUIRE(text.rfind("r:1:", 0) == 0);
  REQUIRE(text.find("p:19:10: team \"sales\": key \"weight\" is 0") != std::string::npos);
}

TEST_CASE("Names that lead nowhere are refused", "[Tables]")
{
  SECTION("a pool")
  {
    REQUIRE(Problems(Replaced(kRoutes, "\"front\"", "\"fornt\""), kPools)
              .find("r:3:8: route \"quotes\": unknown pool \"fornt\"; did you mean \"front\"?") ==
            0);
  }
  SECTION("a data centre, once the settings' list is known")
  {
    REQUIRE(Problems(kRoutes, kPools, { "dc1", "dc3" }) ==
            "p:3:16: pool \"front\": unknown data centre \"dc2\"; did you mean \"dc1\"?\n"
            "p:25:8: client \"shop\": unknown data centre \"dc2\"; did you mean \"dc1\"?\n");
  }
  SECTION("a home that no pool names is a warning while the list is not known")
  {
    REQUIRE(Problems(kRoutes, Replaced(kPools, "home = \"dc2\"", "home = \"dc9\""))
              .find("p:25:8: warning: client \"shop\": unknown data centre \"dc9\"") == 0);
  }
  SECTION("a pool that offers nothing of the kind")
  {
    REQUIRE(Problems(Replaced(kRoutes, "\"back\"", "\"front\""), kPools) ==
            "r:18:8: route \"renders\": pool \"front\" offers no cores for tasks\n");
    REQUIRE(Problems(Replaced(kRoutes, "\"front\"", "\"back\""), kPools)
              .find("r:3:8: route \"quotes\": pool \"back\" offers no slots for requests\n") == 0);
  }
  SECTION("a name that two items have")
  {
    REQUIRE(Problems(Replaced(kRoutes, "\"watches\"", "\"renders\""), kPools) ==
            "r:24:1: route \"renders\" has the same name as the route in line 15\n");
  }
}

TEST_CASE("Values that cannot work are refused", "[Tables]")
{
  const auto route = [](const std::string& aOld, const std::string& aNew) {
    return Problems(Replaced(kRoutes, aOld, aNew), kPools);
  };
  const auto pool = [](const std::string& aOld, const std::string& aNew) {
    return Problems(kRoutes, Replaced(kPools, aOld, aNew));
  };
  // A hedge of a request that may run only once would break at most once.
  REQUIRE(route("idempotent = true", "idempotent = false")
            .find("r:8:9: route \"quotes\": a hedged request may run twice") == 0);
  REQUIRE(route("\"/quotes/\"", "\"/ibisshed/v1\"").find("r:11:15: ") == 0);
  REQUIRE(route("\"/quotes/\"", "\"quotes\"").find("r:11:15: ") == 0);
  REQUIRE(route("\"GET\"", "\"GTE\"").find("unknown method \"GTE\"; did you mean \"GET\"?") !=
          std::string::npos);
  REQUIRE(route("path_prefix = \"/quotes/\"", "").find("key \"path_prefix\" is missing") !=
          std::string::npos);
  REQUIRE(route("max_attempts = 3", "idempotent = true").find("is for kind \"request\" only") !=
          std::string::npos);
  REQUIRE(
    route("restart = \"never\"", "deadline_ms = 5").find("has no meaning for kind \"watch\"") !=
    std::string::npos);
  REQUIRE(route("\"quotes\"", "\"quo tes\"").find("r:2:8: ") == 0);
  REQUIRE(pool("interactive = 60", "interactive = 95").find("the shares add up to 105%") !=
          std::string::npos);
  REQUIRE(pool("connections = 60", "connections = 7").find("must be at least \"slots\"") !=
          std::string::npos);
  REQUIRE(pool("[\"dc1\", \"dc2\"]", "[]").find("must name at least one") != std::string::npos);
  REQUIRE(pool("[\"dc1\", \"dc2\"]", "[\"dc1\", \"dc1\"]").find("names \"dc1\" twice") !=
          std::string::npos);
  REQUIRE(pool("memory_mib = 256000", "memory_mib = 9223372036854775807")
            .find("key \"memory_mib\" is 9223372036854775807; it must be from 0 to") !=
          std::string::npos);
  REQUIRE(pool("[[team]]", "[team]").find("must be an array of tables, written [[team]]") !=
          std::string::npos);
}

TEST_CASE("Routes that take each other's requests are a warning", "[Tables]")
{
  const auto with = [](const std::string& aMatch) {
    return Problems(kRoutes +
                      "[[route]]\nname = \"second\"\npool = \"front\"\n"
                      "urgency = \"standard\"\nmatch = " +
                      aMatch + "\n",
                    kPools);
  };
  const std::string base = "host = \"quotes.example\", path_prefix = \"/quotes\"";
  REQUIRE(with("{ " + base + ", methods = [\"GET\"], headers = { x-kind = \"quick\" } }") ==
          "r:30:1: warning: route \"second\" is never reached: route \"quotes\" in line 1 has the "
          "same match\n");
  REQUIRE(
    with("{ " + base + ", methods = [\"GET\", \"PUT\"], headers = { x-kind = \"quick\" } }") ==
    "r:30:1: warning: route \"second\" never gets GET: route \"quotes\" in line 1 has the "
    "same match\n");
  REQUIRE(with("{ " + base + ", methods = [\"GET\"], headers = { x-size = \"1\" } }") ==
          "r:30:1: warning: route \"second\" and route \"quotes\" in line 1 can match the same "
          "request; the earlier one gets it\n");
  REQUIRE(with("{ " + base + ", methods = [\"GET\"], headers = { x-kind = \"slow\" } }").empty());
  REQUIRE(with("{ " + base + ", methods = [\"GET\"] }").empty());
  REQUIRE(with("{ " + base + " }").empty());
}

TEST_CASE("The joint hash sees a change in either text", "[Tables]")
{
  const std::uint64_t hash = Tables::JointHash("ab", "cd");
  REQUIRE(Tables::JointHash("ab", "cd") == hash);
  REQUIRE(Tables::JointHash("abc", "d") != hash);
  REQUIRE(Tables::JointHash("ab", "ce") != hash);
  REQUIRE(Tables::JointHash("aa", "cd") != hash);
}
