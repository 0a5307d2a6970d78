#include <cstdlib>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "FakeEntry.h"
#include "Ibisctl/Output.h"
#include "Ibisctl/Trace.h"

using namespace IbisctlTests;
using nlohmann::json;

TEST_CASE("A wrong command line is a usage error", "[Ibisctl]")
{
  const auto error = [](const std::vector<std::string>& aArguments) {
    const Outcome outcome = RunIbisctl(aArguments);
    REQUIRE(outcome.mCode == 2);
    REQUIRE(outcome.mOut.empty());
    return outcome.mError;
  };
  REQUIRE(error({}).find("a command is missing") != std::string::npos);
  REQUIRE(error({ "worker" }).find("did you mean \"workers\"?") != std::string::npos);
  REQUIRE(error({ "tables" }).find("there are tables show, tables diff") != std::string::npos);
  REQUIRE(error({ "tables", "shwo" }).find("did you mean \"tables show\"?") != std::string::npos);
  REQUIRE(error({ "check", "a" }).find("usage: ibisctl check ROUTES POOLS") != std::string::npos);
  REQUIRE(error({ "--colour", "workers" }).find("\"--colour\"") != std::string::npos);
  REQUIRE(error({ "workers", "--colour" }).find("\"--colour\"") != std::string::npos);
  REQUIRE(error({ "workers", "--server" }).find("\"--server\" needs a value") != std::string::npos);
  REQUIRE(error({ "workers", "--server", "x" }).find("must have the form host:port") !=
          std::string::npos);
  REQUIRE(error({ "workers", "--output", "xml" }).find("table or json") != std::string::npos);
  REQUIRE(error({ "workers", "--timeout-ms", "0" }).find("--timeout-ms") != std::string::npos);
  REQUIRE(error({ "jobs", "submit", "--route=r" }).find("--client") != std::string::npos);
  REQUIRE(error({ "jobs", "submit", "--route=r", "--client=c", "--tasks=-1" }).find("--tasks") !=
          std::string::npos);
}

TEST_CASE("Help and version go to standard output", "[Ibisctl]")
{
  REQUIRE(RunIbisctl({ "--version" }).mOut.rfind("ibisctl ", 0) == 0);
  const Outcome all = RunIbisctl({ "--help" });
  REQUIRE(all.mCode == 0);
  for (const char* name : { "check",
                            "tables show",
                            "tables diff",
                            "tables apply",
                            "tables history",
                            "tables status",
                            "tables rollback",
                            "jobs submit",
                            "jobs list",
                            "jobs show",
                            "jobs cancel",
                            "jobs wait",
                            "workers",
                            "endpoints",
                            "cells",
                            "cells declare-lost",
                            "usage",
                            "trace ID",
                            "drain INSTANCE" }) {
    INFO(name);
    REQUIRE(all.mOut.find("\n  " + std::string(name)) != std::string::npos);
  }
  REQUIRE(RunIbisctl({ "drain", "--help" }).mOut.find("--off") != std::string::npos);
}

TEST_CASE("Servers are tried in order", "[Ibisctl]")
{
  FakeEntry first;
  FakeEntry second;
  second.reply("GET workers", { 200, R"({"workers":[{"worker":"w1","rack":"r1"}]})" });
  // Port 1 on loopback refuses connections.
  const std::string dead = "127.0.0.1:1";

  SECTION("one that cannot be reached is passed over")
  {
    const Outcome outcome =
      RunIbisctl({ "workers", "--server", dead, "--server", second.address() });
    REQUIRE(outcome.mCode == 0);
    REQUIRE(outcome.mOut == "worker  rack\nw1      r1\n");
  }
  SECTION("one that answers 503 is passed over, and its answer stands if there is no other")
  {
    first.reply("GET workers", { 503, R"({"error":"no tables in force"})" });
    REQUIRE(RunIbisctl({ "--server", first.address() + ',' + second.address(), "workers" }).mCode ==
            0);
    const Outcome outcome = RunIbisctl({ "workers", "--server", first.address() });
    REQUIRE(outcome.mCode == 1);
    REQUIRE(outcome.mError == "ibisctl: no tables in force (HTTP 503)\n"
                              "ibisctl: try again after 7 s\n");
  }
  SECTION("without any answer the exit code is 3")
  {
    const Outcome outcome = RunIbisctl({ "workers", "--server", dead });
    REQUIRE(outcome.mCode == 3);
    REQUIRE(outcome.mError.find("no server answered: 127.0.0.1:1: ") != std::string::npos);
  }
  SECTION("the environment names them if no option does")
  {
    setenv("IBISCTL_SERVER", second.address().c_str(), 1);
    REQUIRE(RunIbisctl({ "workers" }).mCode == 0);
    unsetenv("IBISCTL_SERVER");
  }
  SECTION("an answer that is no JSON is no answer")
  {
    second.reply("GET cells", { 200, "<html>" });
    REQUIRE(RunIbisctl({ "cells", "--server", second.address() }).mCode == 3);
  }
}

TEST_CASE("A job goes from submission to its end", "[Ibisctl]")
{
  FakeEntry entry;
  const std::string server = "--server=" + entry.address();
  entry.reply("POST jobs", { 202, R"({"job_id":"dc1/7"})" });
  entry.replies("GET jobs/dc1%2F7",
                { { 200, R"({"job_id":"dc1/7","state":"running"})" },
                  { 200, R"({"job_id":"dc1/7","state":"finished"})" } });

  SECTION("submit sends the amounts in the units of the interface, with a fresh key")
  {
    const Outcome outcome = RunIbisctl({ "jobs",
                                         "submit",
                                         "--route=renders",
                                         "--client=shop",
                                         "--tasks=3",
                                         "--memory-mib=2",
                                         "--payload=p",
                                         server });
    REQUIRE(outcome.mCode == 0);
    REQUIRE(outcome.mOut == "job_id: dc1/7\n");
    const Received received = entry.received().at(0);
    REQUIRE(json::parse(received.mBody) == json{ { "route", "renders" },
                                                 { "client", "shop" },
                                                 { "tasks", 3 },
                                                 { "memory_bytes", 2097152 },
                                                 { "payload", "p" } });
    REQUIRE(received.mHeaders.at("Ibisshed-Client") == "shop");
    const std::string key = received.mHeaders.at("Idempotency-Key");
    REQUIRE(key.size() == 36);
    REQUIRE(key[14] == '7');
    REQUIRE(std::string("89ab").find(key[19]) != std::string::npos);
  }
  SECTION("a lost answer is asked for again with the same key at the next server")
  {
    FakeEntry lossy;
    lossy.reply("POST jobs", { 0, "", true });
    const Outcome outcome = RunIbisctl(
      { "jobs", "submit", "--route=r", "--client=c", "--server=" + lossy.address(), server });
    REQUIRE(outcome.mCode == 0);
    REQUIRE(lossy.received().at(0).mHeaders.at("Idempotency-Key") ==
            entry.received().at(0).mHeaders.at("Idempotency-Key"));
  }
  SECTION("a refusal after a lost answer leaves the outcome open and names the key")
  {
    FakeEntry lossy;
    lossy.reply("POST jobs", { 0, "", true });
    entry.reply("POST jobs", { 503, R"({"error":"the store is down"})" });
    const Outcome outcome = RunIbisctl({ "jobs",
                                         "submit",
                                         "--route=r",
                                         "--client=c",
                                         "--key=k1",
                                         "--server=" + lossy.address(),
                                         server });
    REQUIRE(outcome.mCode == 3);
    REQUIRE(outcome.mError.find("may have taken effect") != std::string::npos);
    REQUIRE(outcome.mError.find("submit again with --key k1") != std::string::npos);
  }
  SECTION("wait follows it to the end")
  {
    const Outcome outcome = RunIbisctl({ "jobs", "wait", "dc1/7", server });
    REQUIRE(outcome.mCode == 0);
    REQUIRE(outcome.mOut == "job_id: dc1/7\nstate: finished\n");
  }
  SECTION("a server that is away for a while does not end the wait")
  {
    entry.replies("GET jobs/dc1%2F7",
                  { { 503, "{}" },
                    { 0, "", true },
                    { 200, R"({"job_id":"dc1/7","state":"running"})" },
                    { 200, R"({"job_id":"dc1/7","state":"finished"})" } });
    REQUIRE(RunIbisctl({ "jobs", "wait", "dc1/7", server }).mCode == 0);
  }
  SECTION("a job that failed is a negative answer, as is one that takes too long")
  {
    entry.reply("GET jobs/dc1%2F7", { 200, R"({"job_id":"dc1/7","state":"failed"})" });
    REQUIRE(RunIbisctl({ "jobs", "wait", "dc1/7", server }).mCode == 1);
    entry.reply("GET jobs/dc1%2F7", { 200, R"({"job_id":"dc1/7","state":"waiting"})" });
    REQUIRE(RunIbisctl({ "jobs", "wait", "dc1/7", "--wait-ms=1", server }).mCode == 1);
  }
  SECTION("cancel, show and list")
  {
    entry.reply("DELETE jobs/dc1%2F7", { 200, "{}" });
    REQUIRE(RunIbisctl({ "jobs", "cancel", "dc1/7", server }).mCode == 0);
    REQUIRE(RunIbisctl({ "jobs", "show", "dc1/8", server }).mCode == 1);
    entry.reply("GET jobs", { 200, R"({"jobs":[]})" });
    REQUIRE(RunIbisctl({ "jobs", "list", server }).mOut == "none\n");
    // A list without the cells that did not answer must not look complete.
    entry.reply("GET jobs", { 200, R"({"jobs":[],"cells_not_heard":["dc2"]})" });
    REQUIRE(RunIbisctl({ "jobs", "list", server }).mError.find("not complete") !=
            std::string::npos);
  }
}

TEST_CASE("Orders to the fleet", "[Ibisctl]")
{
  FakeEntry entry;
  const std::string server = "--server=" + entry.address();
  entry.reply("POST drain", { 200, "{}" });
  entry.reply("POST cells/declare-lost", { 200, "{}" });

  REQUIRE(RunIbisctl({ "drain", "agent-1", server }).mCode == 0);
  REQUIRE(json::parse(entry.received().back().mBody) ==
          json{ { "instance", "agent-1" }, { "on", true } });
  REQUIRE(RunIbisctl({ "drain", "agent-1", "--off", server }).mCode == 0);
  REQUIRE(json::parse(entry.received().back().mBody).at("on") == false);

  // Declaring a cell lost that still runs would run its tasks twice.
  const std::size_t before = entry.received().size();
  REQUIRE(RunIbisctl({ "cells", "declare-lost", "dc1", server }).mCode == 2);
  REQUIRE(entry.received().size() == before);
  REQUIRE(RunIbisctl({ "cells", "declare-lost", "dc1", "--yes", server }).mCode == 0);
  REQUIRE(json::parse(entry.received().back().mBody) == json{ { "cell", "dc1" } });
}

TEST_CASE("Output stays readable whatever the server sends", "[Ibisctl]")
{
  REQUIRE(Ibisctl::RenderCell("x", "a\x1b[2Jb\n") == "a [2Jb ");
  REQUIRE(Ibisctl::RenderCell("x", nullptr) == "-");
  REQUIRE(Ibisctl::RenderCell("at_unix_ms", -5) == "-5");
  REQUIRE(
    Ibisctl::RenderTable(json::array({ { { "b", "\xc3\xa9" }, { "a", 1 } }, { { "a", 22 } } }),
                         { "b" }) == "b  a\n\xc3\xa9  1\n-  22\n");

  SECTION("spans form a tree, and a circle of parents ends")
  {
    const json spans = json::parse(R"({"spans":[
      {"span":"1","parent":"","name":"entry","instance":"e","start_unix_ms":100,"taken_us":2500},
      {"span":"2","parent":"1","name":"agent","instance":"a","start_unix_ms":101,"taken_us":500,
       "tags":{"outcome":"ran"}},
      {"span":"3","parent":"4","name":"x","instance":"b","start_unix_ms":102,"taken_us":1},
      {"span":"4","parent":"3","name":"y","instance":"b","start_unix_ms":103,"taken_us":1}]})");
    REQUIRE(Ibisctl::RenderTrace(spans) == "0 ms  entry  2.500 ms  e\n"
                                           "1 ms    agent  0.500 ms  a  outcome=ran\n"
                                           "2 ms  x  0.001 ms  b\n"
                                           "3 ms    y  0.001 ms  b\n");
    REQUIRE(Ibisctl::RenderTrace(json::parse("[]")) == "no spans\n");
  }
}
