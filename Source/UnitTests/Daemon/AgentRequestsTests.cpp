#include <atomic>

#include <catch2/catch.hpp>

#include "Daemon/AgentRequests.h"
#include "Http/Server.h"
#include "Tables/ParseTables.h"
#include "UnitTests/Daemon/Fleet.h"
#include "UnitTests/Support/ClosingServer.h"

namespace {

using namespace std::chrono_literals;
using Rpc::Generated::Outcome;

Config::Settings
AgentSettings()
{
  Config::Settings settings;
  // Nothing here calls the store.
  settings.mStoreAddresses = { "127.0.0.1:1" };
  return settings;
}

/// The request side of an agent, called directly.
struct Agent
{
  Common::SystemClock mClock;
  Daemon::Runtime mRuntime{ AgentSettings(), mClock };
  Daemon::AgentRequests mRequests{ mRuntime };
  int mNext = 0;

  explicit Agent(const std::string& aPools = DaemonTests::kPools)
  {
    auto tables = std::make_shared<Daemon::TablesInForce>();
    tables->mDigest.mRevision = Common::Revision(1);
    Tables::TableNames names;
    auto parsed = Tables::ParseTables(DaemonTests::kRoutes, aPools, names);
    REQUIRE(parsed);
    tables->mTables = *parsed;
    tables->mIndex = Tables::BuildRouteIndex(tables->mTables);
    mRuntime.mTables.set(tables);
  }

  void announce(const std::string& aAddress, const std::string& aMore = "")
  {
    const auto announcement =
      Http::ParseAnnouncement(R"({"endpoint":"e1","pool":"front","slots":4,"connections":8,)" +
                              aMore + R"("address":")" + aAddress + R"("})");
    REQUIRE(announcement);
    mRequests.announce(*announcement);
  }

  Outcome::type execute(Common::Duration aTime = 5s)
  {
    Rpc::Generated::ExecuteRequest request;
    request.requestId = "entry-1/1/" + std::to_string(++mNext) + "/1";
    request.targetIncarnation = mRuntime.mIncarnation.value();
    request.route = "reservations";
    request.client = "shop";
    request.method = "POST";
    request.path = "/reserve";
    request.remainingMicros = aTime.count();
    return mRequests.execute(request).outcome;
  }
};

/// Answers at once and counts.
struct Endpoint
{
  std::atomic<int> mServed{ 0 };
  Http::Server mServer{ Http::ServerSettings{},
                        { [this](const Http::Request&) {
                           ++mServed;
                           return Http::Response{ 200, {}, "" };
                         },
                          {} } };
  std::string mAddress = "127.0.0.1:" + std::to_string(mServer.start().value());
};

} // namespace

TEST_CASE("A restarted agent counts what its endpoint still runs", "[Daemon]")
{
  // Guards against a fresh gate that hands out slots which requests of the earlier run hold (I1).
  Endpoint endpoint;
  Agent agent;

  SECTION("all slots are taken, until the endpoint has ended them")
  {
    agent.announce(endpoint.mAddress, R"("in_progress":4,)");
    CHECK(agent.execute(200ms) == Outcome::NotRun);
    CHECK(endpoint.mServed == 0);
    for (int i = 0; i < 5; ++i) {
      agent.announce(endpoint.mAddress, R"("in_progress":0,)");
    }
    CHECK(agent.execute() == Outcome::Ran);
  }

  SECTION("an endpoint that gives no count is taken as idle")
  {
    agent.announce(endpoint.mAddress);
    CHECK(agent.execute() == Outcome::Ran);
  }
}

TEST_CASE("Requests and tasks on a worker are counted together", "[Daemon]")
{
  // Guards against tasks on resources that requests use or are guaranteed (I1). A slot of the pool
  // takes 250 milli-cores and 25 MiB.
  Endpoint endpoint;
  std::string pools = DaemonTests::kPools;
  const auto withLedger = [](Agent& aAgent, const auto& aUse) {
    bool result = false;
    aAgent.mRequests.gates().withLedger(
      [&](Admission::WorkerLedger& aLedger) { result = aUse(aLedger); });
    return result;
  };
  const auto reserve = [](std::int64_t aMilliCores) {
    return [aMilliCores](Admission::WorkerLedger& aLedger) {
      aLedger.mTotal = { Common::MilliCores(1000), Common::Bytes(1 << 30), {} };
      return Admission::ReserveTask(
        aLedger, Common::TaskId("t"), { Common::MilliCores(aMilliCores), Common::Bytes(1), {} });
    };
  };

  SECTION("a request waits for a task that takes the cores of all slots")
  {
    Agent agent(pools);
    agent.announce(endpoint.mAddress);
    REQUIRE(withLedger(agent, reserve(1000)));
    CHECK(agent.execute(200ms) == Outcome::NotRun);
    CHECK(endpoint.mServed == 0);
    withLedger(agent, [](Admission::WorkerLedger& aLedger) {
      return Admission::ReleaseTask(aLedger, Common::TaskId("t"));
    });
    CHECK(agent.execute() == Outcome::Ran);
  }

  SECTION("slots that the pool guarantees to requests are not handed to tasks")
  {
    const std::string shares = "min_share_percent = { interactive = 50, standard = 25 }\n";
    pools.insert(pools.find("\n[[team]]"), shares);
    Agent agent(pools);
    agent.announce(endpoint.mAddress);
    CHECK_FALSE(withLedger(agent, reserve(251)));
    CHECK(withLedger(agent, reserve(250)));
    CHECK(agent.execute() == Outcome::Ran);
  }
}

TEST_CASE("A request whose connection ends is not sent again", "[Daemon]")
{
  // Guards against a second delivery, and against `not-run` for a request that ran (I5, I6).
  Support::ClosingServer endpoint;
  Agent agent;
  agent.announce(endpoint.address());
  CHECK(agent.execute() == Outcome::Unknown);
  CHECK(endpoint.deliveries() == 1);
}
