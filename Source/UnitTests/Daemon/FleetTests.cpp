#include <future>
#include <thread>

#include <catch2/catch.hpp>

#include "UnitTests/Daemon/Fleet.h"

namespace {

using namespace std::chrono_literals;
using DaemonTests::Eventually;

std::string
OutcomeOf(const Http::Response& aResponse)
{
  return Http::FindHeader(aResponse.mHeaders, "Ibisshed-Outcome").value_or("none");
}

} // namespace

TEST_CASE("A request goes from its caller to an endpoint and back", "[Daemon]")
{
  DaemonTests::Fleet fleet;
  REQUIRE(fleet.begin());
  const int before = fleet.served();

  // One scenario, since a fleet takes seconds to start.
  const Http::Response answer =
    fleet.ask({ "POST", "/quote/a%2Fb?x=1", { { "Ibisshed-Client", "shop" } }, "body" });
  CHECK(answer.mStatus == 207);
  CHECK(answer.mBody == "echo:body");
  CHECK(OutcomeOf(answer) == "ran");
  CHECK(Http::FindHeader(answer.mHeaders, "Seen-Target") == "/quote/a%2Fb?x=1");
  CHECK(fleet.served() == before + 1);

  // The trace crosses all hops, and the entry finds the spans of the agent.
  const std::string trace =
    Http::FindHeader(answer.mHeaders, "Seen-Trace").value_or("").substr(3, 32);
  const std::string own =
    Http::FindHeader(answer.mHeaders, "traceparent").value_or("").substr(3, 32);
  CHECK(trace == own);
  const Http::Response spans = fleet.ask({ "GET", "/ibisshed/v1/traces/" + own, {}, "" });
  CHECK(spans.mBody.find("entry.request") != std::string::npos);
  CHECK(spans.mBody.find("agent.execute") != std::string::npos);

  // What is refused did not run.
  const Http::Response unknown = fleet.ask({ "GET", "/nowhere", {}, "" });
  CHECK(unknown.mStatus == 404);
  CHECK(OutcomeOf(unknown) == "not-run");
  const Http::Response large = fleet.ask({ "POST", "/quote", {}, std::string(2000, 'x') });
  CHECK(large.mStatus == 413);
  const Http::Response late =
    fleet.ask({ "POST", "/quote", { { "Ibisshed-Deadline-Ms", "soon" } }, "x" });
  CHECK(late.mStatus == 400);
  CHECK(fleet.served() == before + 1);

  // A key runs once; a repeated request gets the first answer, another body with the key none.
  const Http::Request keyed{
    "POST", "/reserve", { { "Ibisshed-Client", "shop" }, { "Idempotency-Key", "k1" } }, "dress"
  };
  const Http::Response first = fleet.ask(keyed);
  CHECK(first.mStatus == 207);
  CHECK(Eventually([&] { return fleet.ask(keyed).mBody == "echo:dress"; }));
  CHECK(fleet.served() == before + 2);
  Http::Request other = keyed;
  other.mBody = "coat";
  const Http::Response misused = fleet.ask(other);
  CHECK(misused.mStatus == 400);
  CHECK(OutcomeOf(misused) == "not-run");

  // Edits are checked, and those that started from an older revision are refused with a diff.
  const Http::Response broken = fleet.edit(1, "[[route]]\nname = 1\n");
  CHECK(broken.mStatus == 422);
  CHECK(broken.mBody.find("\"line\":2") != std::string::npos);
  std::string changed = DaemonTests::kRoutes;
  changed.replace(changed.find("5000"), 4, "4000");
  CHECK(fleet.edit(1, changed).mStatus == 200);
  const Http::Response stale = fleet.edit(1, DaemonTests::kRoutes);
  CHECK(stale.mStatus == 409);
  CHECK(stale.mBody.find("\"current\":2") != std::string::npos);
  CHECK(Eventually([&] {
    const std::string status = fleet.ask({ "GET", "/ibisshed/v1/tables/status", {}, "" }).mBody;
    return status.find("\"revision\":1") == std::string::npos &&
           status.find("\"late\":true") == std::string::npos;
  }));
}

TEST_CASE("A planned stop cuts no request off", "[Daemon]")
{
  DaemonTests::Fleet fleet;
  REQUIRE(fleet.begin());
  fleet.setHold(true);
  auto call = std::async(std::launch::async, [&] {
    return fleet.ask({ "POST", "/reserve", {}, "held" });
  });
  REQUIRE(Eventually([&] { return fleet.running() == 1; }));

  SECTION("of the agent")
  {
    auto stopping = std::async(std::launch::async, [&] { fleet.stopAgent(); });
    std::this_thread::sleep_for(300ms);
    fleet.setHold(false);
    CHECK(call.get().mBody == "echo:held");
    stopping.get();
    const Http::Response refused = fleet.ask({ "POST", "/reserve", {}, "late" });
    CHECK(OutcomeOf(refused) == "not-run");
  }

  SECTION("of the entry")
  {
    auto stopping = std::async(std::launch::async, [&] { fleet.stopEntry(); });
    std::this_thread::sleep_for(300ms);
    fleet.setHold(false);
    CHECK(call.get().mBody == "echo:held");
    stopping.get();
  }

  SECTION("of the endpoint: it gets nothing new at once, and finishes what it has")
  {
    fleet.announce(true);
    const Http::Response refused = fleet.ask({ "POST", "/reserve", {}, "new" });
    CHECK(OutcomeOf(refused) == "not-run");
    CHECK(fleet.running() == 1);
    fleet.setHold(false);
    CHECK(call.get().mBody == "echo:held");
  }
}

TEST_CASE("A request that outlasts its deadline keeps its slot at the endpoint", "[Daemon]")
{
  // Guards against slots that are free for the agent while the endpoint still works (I1).
  DaemonTests::Fleet fleet;
  REQUIRE(fleet.begin());
  fleet.setHold(true);
  const Http::Request request{ "POST", "/reserve", { { "Ibisshed-Deadline-Ms", "400" } }, "x" };
  const auto askFour = [&] {
    std::vector<std::future<Http::Response>> calls;
    calls.reserve(4);
    for (int i = 0; i < 4; ++i) {
      calls.push_back(std::async(std::launch::async, [&] { return fleet.ask(request); }));
    }
    std::vector<std::string> outcomes;
    outcomes.reserve(calls.size());
    for (auto& call : calls) {
      outcomes.push_back(OutcomeOf(call.get()));
    }
    return outcomes;
  };
  CHECK(askFour() == std::vector<std::string>(4, "unknown"));
  CHECK(fleet.running() == 4);

  // The endpoint announces 4 slots, and it works on 4 requests.
  CHECK(askFour() == std::vector<std::string>(4, "not-run"));
  CHECK(fleet.mostRunning() == 4);

  // The slots come back when the endpoint answers.
  fleet.setHold(false);
  CHECK(Eventually([&] { return fleet.ask({ "POST", "/reserve", {}, "y" }).mStatus == 207; }));
}
