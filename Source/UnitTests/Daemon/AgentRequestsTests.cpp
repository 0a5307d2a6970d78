#include <catch2/catch.hpp>

#include "Daemon/AgentRequests.h"
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

} // namespace

TEST_CASE("A request whose connection ends is not sent again", "[Daemon]")
{
  // Guards against a second delivery, and against `not-run` for a request that ran (I5, I6).
  Support::ClosingServer endpoint;
  Agent agent;
  agent.announce(endpoint.address());
  CHECK(agent.execute() == Outcome::Unknown);
  CHECK(endpoint.deliveries() == 1);
}
