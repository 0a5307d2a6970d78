#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "FakeEntry.h"

using namespace IbisctlTests;
using nlohmann::json;

namespace {

const std::string kRoutes = "[[route]]\nname = \"quotes\"\npool = \"front\"\n"
                            "urgency = \"interactive\"\nmatch = { path_prefix = \"/quotes\" }\n";
const std::string kPools = "[[pool]]\nname = \"front\"\ndata_centres = [\"dc1\"]\n"
                           "per_worker = { slots = 8, connections = 60 }\n";

std::string
Revision(int aNumber, const std::string& aRoutes = kRoutes)
{
  return json{
    { "revision", aNumber }, { "hash", "00ff" },     { "routes", aRoutes },    { "pools", kPools },
    { "author", "ann" },     { "comment", "first" }, { "unix_ms", 1000000000 }
  }.dump();
}

const std::string kDearRoutes = kRoutes + "price_micro = 5\n";
const std::string kDearer = "[[route]]\nname = \"quotes\"\npool = \"front\"\nprice_micro = 5\n"
                            "urgency = \"interactive\"\nmatch = { path_prefix = \"/quotes\" }\n";

} // namespace

TEST_CASE("ibisctl check works without a server", "[Ibisctl]")
{
  const ScratchDirectory files;
  const std::string routes = files.write("routes.toml", kRoutes);
  const std::string pools = files.write("pools.toml", kPools);
  REQUIRE(RunIbisctl({ "check", routes, pools }).mCode == 0);

  SECTION("all findings give exit code 1")
  {
    files.write("routes.toml", kRoutes + "[[route]]\nname = \"x\"\n");
    const Outcome outcome = RunIbisctl({ "check", routes, pools, "--data-centre", "dc2" });
    REQUIRE(outcome.mCode == 1);
    REQUIRE(outcome.mOut.find(routes + ":6:1: route \"x\": key \"pool\" is missing\n") !=
            std::string::npos);
    REQUIRE(outcome.mOut.find(pools + ":3:16: pool \"front\": unknown data centre \"dc1\"") !=
            std::string::npos);
  }
  SECTION("as JSON")
  {
    files.write("pools.toml", kPools + "[[pool]]\n");
    const Outcome outcome = RunIbisctl({ "check", routes, pools, "--output=json" });
    REQUIRE(outcome.mCode == 1);
    const json answer = json::parse(outcome.mOut);
    REQUIRE(answer.at("findings").at(0).at("line") == 5);
    REQUIRE(answer.at("findings").at(0).at("severity") == "error");
  }
  SECTION("a file that cannot be read is a usage error")
  {
    const Outcome outcome = RunIbisctl({ "check", routes, files.path("none.toml") });
    REQUIRE(outcome.mCode == 2);
    REQUIRE(outcome.mError.find("none.toml") != std::string::npos);
  }
}

TEST_CASE("Operators see the tables in force", "[Ibisctl]")
{
  FakeEntry entry;
  entry.reply("GET tables", { 200, Revision(7) });
  entry.reply("GET tables/revisions/6", { 200, Revision(6, kDearer) });
  const std::string server = "--server=" + entry.address();

  SECTION("show prints both texts and who made them")
  {
    const Outcome outcome = RunIbisctl({ "tables", "show", server });
    REQUIRE(outcome.mCode == 0);
    REQUIRE(outcome.mOut.find("revision: 7\nhash: 00ff\nauthor: ann\n"
                              "unix_ms: 1970-01-12T13:46:40.000Z\n") == 0);
    REQUIRE(outcome.mOut.find(kRoutes) != std::string::npos);
    REQUIRE(outcome.mOut.find(kPools) != std::string::npos);
  }
  SECTION("diff compares with an older revision")
  {
    const Outcome outcome = RunIbisctl({ "tables", "diff", "--from", "6", server });
    REQUIRE(outcome.mCode == 1);
    REQUIRE(outcome.mOut == "~ route \"quotes\"\n    price_micro: 5 -> 0\n");
  }
  SECTION("diff compares with files")
  {
    const ScratchDirectory files;
    const std::string routes = files.write("routes.toml", kRoutes);
    const std::string pools = files.write("pools.toml", kPools);
    REQUIRE(RunIbisctl({ "tables", "diff", routes, pools, server }).mCode == 0);
    REQUIRE(RunIbisctl({ "tables", "diff", routes, server }).mCode == 2);
  }
  SECTION("a late instance gives exit code 1")
  {
    entry.reply("GET tables/status", { 200, R"({"revision":7,"instances":[
                  {"instance":"a","revision":7,"late":false},
                  {"instance":"b","revision":6,"late":true}]})" });
    const Outcome outcome = RunIbisctl({ "tables", "status", server });
    REQUIRE(outcome.mCode == 1);
    REQUIRE(outcome.mOut == "revision 7\n\n"
                            "instance  revision  late\n"
                            "a         7         false\n"
                            "b         6         true\n");
  }
  SECTION("history lists the revisions")
  {
    entry.reply("GET tables/history",
                { 200, R"({"revisions":[{"revision":7,"author":"ann","unix_ms":0}]})" });
    REQUIRE(RunIbisctl({ "tables", "history", server }).mOut ==
            "revision  unix_ms                   author\n"
            "7         1970-01-01T00:00:00.000Z  ann\n");
  }
}

TEST_CASE("An edit goes from show to apply", "[Ibisctl]")
{
  FakeEntry entry;
  entry.reply("GET tables", { 200, Revision(7) });
  const std::string server = "--server=" + entry.address();
  const ScratchDirectory files;
  const std::string directory = files.path("edit");
  REQUIRE(RunIbisctl({ "tables", "show", "--directory", directory, server }).mCode == 0);
  REQUIRE(files.read("edit/routes.toml") == kRoutes);
  const std::string routes = files.write("edit/routes.toml", kDearer);
  const std::vector<std::string> apply = {
    "tables", "apply", routes, directory + "/pools.toml", "--author=bob", "--comment=dearer", server
  };
  const auto posts = [&] {
    std::vector<json> bodies;
    for (const Received& received : entry.received()) {
      if (received.mMethod == "POST") {
        bodies.push_back(json::parse(received.mBody));
      }
    }
    return bodies;
  };

  SECTION("the revision that show wrote is the base, and the next edit starts from the new one")
  {
    entry.reply("POST tables", { 200, R"({"revision":8})" });
    entry.reply("GET tables", { 200, Revision(8, kDearer) });
    const Outcome outcome = RunIbisctl(apply);
    REQUIRE(outcome.mCode == 0);
    REQUIRE(outcome.mOut == "revision 8 is accepted\n");
    REQUIRE(posts().size() == 1);
    REQUIRE(posts()[0] == json{ { "base", 7 },
                                { "routes", kDearer },
                                { "pools", kPools },
                                { "author", "bob" },
                                { "comment", "dearer" } });
    REQUIRE(files.read("edit/revision") == "8\n");
  }
  SECTION("a conflict shows the diff and keeps the base")
  {
    entry.reply("POST tables", { 409, R"({"current":9,"diff":"~ route \"quotes\"\n"})" });
    const Outcome outcome = RunIbisctl(apply);
    REQUIRE(outcome.mCode == 1);
    REQUIRE(outcome.mOut == "~ route \"quotes\"\n");
    REQUIRE(outcome.mError.find("the tables are at revision 9, the edit started from 7") !=
            std::string::npos);
    REQUIRE(files.read("edit/revision") == "7\n");
  }
  SECTION("findings of the server are printed with their places")
  {
    entry.reply("POST tables",
                { 422,
                  R"({"error":"the tables have errors","findings":[{"file":"pools","line":3,
                   "column":4,"severity":"error","message":"unknown data centre"}]})" });
    const Outcome outcome = RunIbisctl(apply);
    REQUIRE(outcome.mCode == 1);
    REQUIRE(outcome.mError.find("the tables have errors (HTTP 422)\n"
                                "pools:3:4: unknown data centre\n") != std::string::npos);
  }
  SECTION("findings of the check are printed before anything is sent")
  {
    files.write("edit/routes.toml", "[[route]]\n");
    REQUIRE(RunIbisctl(apply).mCode == 1);
    REQUIRE(posts().empty());
  }
  SECTION("a lost answer is settled by reading the tables back, never by sending again")
  {
    FakeEntry other;
    other.reply("POST tables", { 200, R"({"revision":99})" });
    std::vector<std::string> both = apply;
    both.push_back("--server=" + other.address());
    entry.reply("POST tables", { 0, "", true });

    // The new revision comes into force a moment after it was accepted.
    entry.replies("GET tables", { { 200, Revision(7) }, { 200, Revision(8, kDearer) } });
    const Outcome applied = RunIbisctl(both);
    REQUIRE(applied.mCode == 0);
    REQUIRE(applied.mOut == "revision 8 is accepted\n");

    files.write("edit/revision", "7\n");
    entry.reply("GET tables", { 200, Revision(7) });
    both.emplace_back("--timeout-ms=1000");
    const Outcome unknown = RunIbisctl(both);
    REQUIRE(unknown.mCode == 3);
    REQUIRE(unknown.mError.find("may have taken effect") != std::string::npos);
    REQUIRE(other.received().empty());
  }
  SECTION("without a known base nothing is sent")
  {
    files.write("edit/revision", "");
    const Outcome outcome = RunIbisctl(apply);
    REQUIRE(outcome.mCode == 2);
    REQUIRE(outcome.mError.find("give --base N") != std::string::npos);
    REQUIRE(posts().empty());
  }
  SECTION("a rollback makes the old texts a new revision on the current one")
  {
    entry.reply("GET tables/revisions/3", { 200, Revision(3, kDearRoutes) });
    entry.reply("POST tables", { 200, R"({"revision":8})" });
    REQUIRE(RunIbisctl({ "tables", "rollback", "3", server }).mCode == 0);
    REQUIRE(posts()[0].at("base") == 7);
    REQUIRE(posts()[0].at("routes") == kDearRoutes);
    REQUIRE(posts()[0].at("comment") == "rollback to revision 3");
  }
}
