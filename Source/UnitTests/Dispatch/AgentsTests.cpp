#include <catch2/catch.hpp>

#include <map>

#include "Dispatch/Agents.h"
#include "Dispatch/RetryBudget.h"

using namespace std::chrono_literals;
using namespace Dispatch;

namespace {

const Timestamp kStart{ 1h };
const Location kHere{ Common::DataCentreId("dc1"), Common::RegionId("north") };

AgentReport
MakeReport(const std::string& aName, const std::string& aDataCentre, const std::string& aRegion)
{
  AgentReport report;
  report.mInstance = Common::InstanceId(aName);
  report.mIncarnation = Common::Incarnation(1);
  report.mLocation = { Common::DataCentreId(aDataCentre), Common::RegionId(aRegion) };
  report.mSlotsLimit = 8;
  report.mLatency = 10ms;
  return report;
}

std::map<std::string, int>
ChooseMany(const PoolView& aPool, Duration aRemaining = 1s, const AgentChoiceRules& aRules = {})
{
  Common::Random random(1);
  std::map<std::string, int> counts;
  for (int i = 0; i < 1000; ++i) {
    const auto choice = ChooseAgent(aPool, kHere, {}, aRemaining, aRules, kStart, random);
    ++counts[choice ? choice->mInstance.str() : "none"];
  }
  return counts;
}

} // namespace

TEST_CASE("An agent is chosen by location and load", "[Dispatch]")
{
  Common::Random random(1);
  PoolView pool;
  for (const std::string name : { "near1", "near2", "near3" }) {
    ApplyReport(pool, MakeReport(name, "dc1", "north"), 4, kStart, random);
  }
  ApplyReport(pool, MakeReport("far", "dc9", "south"), 4, kStart, random);

  SECTION("with free slots nearby, nothing crosses the link and all near agents get a share")
  {
    const auto counts = ChooseMany(pool);
    REQUIRE(counts.size() == 3);
    REQUIRE_FALSE(counts.contains("far"));
  }

  SECTION("the most loaded agent is never chosen")
  {
    FindAgent(pool, Common::InstanceId("near1"))->mReport.mQueued = 50;
    REQUIRE_FALSE(ChooseMany(pool).contains("near1"));
  }

  SECTION("requests in flight count when the report is old")
  {
    AgentView* agent = FindAgent(pool, Common::InstanceId("near1"));
    agent->mReportedAt = kStart - 10s;
    agent->mInFlight = 50;
    REQUIRE_FALSE(ChooseMany(pool).contains("near1"));
  }

  SECTION("leaving agents are never chosen, suspect ones only if there is no other")
  {
    FindAgent(pool, Common::InstanceId("near1"))->mReport.mLeaving = true;
    FindAgent(pool, Common::InstanceId("near2"))->mReport.mSuspect = true;
    REQUIRE(ChooseMany(pool).at("near3") == 1000);
    FindAgent(pool, Common::InstanceId("near3"))->mReport.mLeaving = true;
    RemoveAgent(pool, Common::InstanceId("far"));
    REQUIRE(ChooseMany(pool).at("near2") == 1000);
  }

  SECTION("the link is used if it is much faster and the deadline and its budget allow")
  {
    for (const std::string name : { "near1", "near2", "near3" }) {
      FindAgent(pool, Common::InstanceId(name))->mReport.mQueued = 500;
    }
    REQUIRE(ChooseMany(pool).at("far") == 1000);
    REQUIRE_FALSE(ChooseMany(pool, 50ms).contains("far"));
    AgentChoiceRules closed;
    closed.mLinkAvailable = false;
    REQUIRE_FALSE(ChooseMany(pool, 1s, closed).contains("far"));
  }

  SECTION("a restarted agent starts without requests in flight, an old report changes nothing")
  {
    CountSentRequest(pool, Common::InstanceId("near1"), Common::Incarnation(1));
    AgentReport restarted = MakeReport("near1", "dc1", "north");
    restarted.mIncarnation = Common::Incarnation(2);
    ApplyReport(pool, restarted, 4, kStart, random);
    CountEndedRequest(pool, Common::InstanceId("near1"), Common::Incarnation(1));
    REQUIRE(FindAgent(pool, Common::InstanceId("near1"))->mInFlight == 0);
    ApplyReport(pool, MakeReport("near1", "dc1", "north"), 4, kStart, random);
    REQUIRE(FindAgent(pool, Common::InstanceId("near1"))->mReport.mIncarnation.value() == 2);
  }

  SECTION("the sample does not exceed its maximum")
  {
    pool.mMaxAgents = 4;
    for (int i = 0; i < 100; ++i) {
      ApplyReport(pool, MakeReport(std::to_string(i), "dc1", "north"), 104, kStart, random);
    }
    REQUIRE(pool.mAgents.size() == 4);
  }
}

TEST_CASE("Retries stay within a tenth of the successes plus a constant rate", "[Dispatch]")
{
  RetryBudget budget;
  int retries = 0;
  Timestamp now = kStart;
  for (int i = 0; i < 10000; ++i) {
    now += 10ms;
    AddSuccessTokens(budget);
    retries += TakeRetryToken(budget, now) ? 1 : 0;
  }
  REQUIRE(retries <= 1 + 1000 + 50);
  REQUIRE(retries >= 1000);
  SECTION("without successes only the constant rate is left")
  {
    retries = 0;
    for (int i = 0; i < 10000; ++i) {
      now += 10ms;
      retries += TakeRetryToken(budget, now) ? 1 : 0;
    }
    REQUIRE(retries <= 51);
  }
}
