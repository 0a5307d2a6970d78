#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "Ownership/AgentTenure.h"
#include "Ownership/CellRecord.h"

using namespace std::chrono_literals;
using namespace Ownership;
using Common::Epoch;
using Common::Incarnation;

TEST_CASE("An agent obeys the newest owner only", "[Ownership]")
{
  const OwnerSettings settings;
  const Timestamp start(1h);
  AgentTenure agent{ Incarnation(7), {}, 0, {} };
  REQUIRE(TenureExpired(agent, start));
  REQUIRE(ApplyHeartbeat(
    agent, { Epoch(2), Incarnation(7), 1, ToAgentClock(start), 30s }, settings, start + 1s));

  SECTION("tenure counts from the agent's last answer, not from the arrival")
  {
    REQUIRE_FALSE(TenureExpired(agent, start + 29s));
    REQUIRE(TenureExpired(agent, start + 30s));
  }

  SECTION("a heartbeat that arrives very late grants nothing more")
  {
    const HeartbeatGrant late{ Epoch(2), Incarnation(7), 2, ToAgentClock(start), 30s };
    REQUIRE(ApplyHeartbeat(agent, late, settings, start + 29s));
    REQUIRE(TenureExpired(agent, start + 30s));
  }

  SECTION("an owner with a lower epoch is refused for good")
  {
    REQUIRE(ApplyHeartbeat(agent, { Epoch(3), Incarnation(7), 1, {}, 0s }, settings, start + 2s));
    REQUIRE_FALSE(AcceptEpoch(agent, Epoch(2)));
    REQUIRE_FALSE(ApplyHeartbeat(
      agent, { Epoch(2), Incarnation(7), 9, ToAgentClock(start + 2s), 30s }, settings, start + 3s));
    REQUIRE(TenureExpired(agent, start + 30s));
  }

  SECTION("a heartbeat overtaken by a later one is ignored with its commands")
  {
    REQUIRE(ApplyHeartbeat(agent, { Epoch(2), Incarnation(7), 3, {}, 0s }, settings, start + 2s));
    REQUIRE_FALSE(
      ApplyHeartbeat(agent, { Epoch(2), Incarnation(7), 2, {}, 0s }, settings, start + 2s));
  }

  SECTION("a heartbeat for the earlier process of the instance is ignored")
  {
    REQUIRE_FALSE(
      ApplyHeartbeat(agent, { Epoch(2), Incarnation(6), 5, {}, 0s }, settings, start + 2s));
  }

  SECTION("platform leases end with the tenure")
  {
    REQUIRE(PlatformLeaseFor(agent, settings, start + 5s) == Duration(10s));
    REQUIRE(PlatformLeaseFor(agent, settings, start + 28s) == Duration(2s));
    REQUIRE_FALSE(PlatformLeaseFor(agent, settings, start + 30s));
  }

  SECTION("a basis from another clock grants at most one tenure from now")
  {
    const HeartbeatGrant odd{ Epoch(2), Incarnation(7), 2, ToAgentClock(start + 9h), 30s };
    REQUIRE(ApplyHeartbeat(agent, odd, settings, start + 2s));
    REQUIRE(TenureExpired(agent, start + 32s));
  }
}

TEST_CASE("A cell record survives its codec", "[Ownership]")
{
  rc::prop("any text in names is kept, and a cut record is refused", [](const std::string& aName) {
    CellRecord record;
    record.mEpoch = Epoch(4);
    record.mOwner = { Common::InstanceId(aName), Incarnation(1), "127.0.0.1:1" };
    record.mSuccessor = Common::InstanceId("next");
    record.mRoster = { record.mOwner, { Common::InstanceId("b"), Incarnation(2), aName } };
    const std::string text = EncodeCell(record);
    RC_ASSERT(DecodeCell(text) == record);
    RC_ASSERT(!DecodeCell(text.substr(0, text.size() - 1)));
  });
}
