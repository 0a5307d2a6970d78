#include <algorithm>
#include <deque>

#include <catch2/catch.hpp>

#include "Ownership/Fence.h"
#include "Ownership/StepOwner.h"
#include "Store/MemoryStore.h"

using namespace std::chrono_literals;
using namespace Ownership;
using Common::Epoch;
using Common::Incarnation;
using Common::InstanceId;

namespace {

const Common::CellId kCell("dc1");

// Instances that share a store and one clock; agents answer each heartbeat at once.
class Cell
{
public:
  Cell()
  {
    for (const char* name : { "x", "y" }) {
      mOwners.push_back(
        MakeOwner({}, { InstanceId(name), Incarnation(1), "" }, name, 1, mClock.now()));
    }
  }

  void step(OwnerState& aOwner, const Event& aEvent)
  {
    std::deque<Event> events{ aEvent };
    while (!events.empty()) {
      const Event event = events.front();
      events.pop_front();
      for (const Action& action : StepOwner(aOwner, event, mClock.now())) {
        if (const auto answer = RunStoreAction(mStore, kCell, action)) {
          events.push_back(*answer);
        } else if (const auto* heartbeat = std::get_if<SendHeartbeat>(&action)) {
          answerHeartbeat(*heartbeat, events);
        }
      }
    }
  }

  // Lets aWho live through the time, in steps of 500 ms; the others are paused.
  void pass(Duration aTime, const std::vector<OwnerState*>& aWho)
  {
    for (Duration at(0); at < aTime; at += 500ms) {
      mClock.advance(500ms);
      for (OwnerState* owner : aWho) {
        step(*owner, Tick{});
      }
    }
  }

  void answerHeartbeat(const SendHeartbeat& aHeartbeat, std::deque<Event>& aEvents)
  {
    const InstanceId& name = aHeartbeat.mTo.mInstance;
    AgentTenure& agent = mAgents[name];
    agent.mIncarnation = Incarnation(1);
    if (std::find(mSilent.begin(), mSilent.end(), name) != mSilent.end()) {
      return;
    }
    const bool accepted = ApplyHeartbeat(agent, aHeartbeat.mGrant, {}, mClock.now());
    aEvents.push_back(HeartbeatReply{ name,
                                      Incarnation(1),
                                      aHeartbeat.mGrant.mEpoch,
                                      aHeartbeat.mSentAt,
                                      accepted,
                                      agent.mHighestEpoch,
                                      ToAgentClock(mClock.now()) });
  }

  CellRecord record() { return *DecodeCell(mStore.read(CellKey(kCell)).value()->mValue); }

  Common::ManualClock mClock;
  Store::MemoryStore mStore{ mClock };
  std::vector<OwnerState> mOwners;
  std::map<InstanceId, AgentTenure> mAgents;
  std::vector<InstanceId> mSilent;
};

} // namespace

TEST_CASE("A cell has one owner at a time", "[Ownership]")
{
  Cell cell;
  OwnerState& x = cell.mOwners[0];
  OwnerState& y = cell.mOwners[1];
  cell.pass(3s, { &x });
  REQUIRE(x.mRole == Role::Owner);
  for (const char* agent : { "a", "b", "c" }) {
    cell.step(x, AgentJoined{ { InstanceId(agent), Incarnation(1), "" } });
  }
  cell.pass(6s, { &x, &y });
  REQUIRE(cell.record().mRoster.size() == 3);
  REQUIRE(MayGrantTenure(x, cell.mClock.now()));
  REQUIRE_FALSE(TenureExpired(cell.mAgents[InstanceId("a")], cell.mClock.now()));

  SECTION("another instance does not take it while the owner renews its lease")
  {
    cell.pass(30s, { &x, &y });
    REQUIRE(y.mRole == Role::Follower);
    REQUIRE(cell.record().mEpoch == Epoch(1));
  }

  SECTION("an owner paused past its lease is replaced, and learns so from any agent")
  {
    cell.pass(20s, { &y });
    REQUIRE(y.mRole == Role::Owner);
    REQUIRE(cell.record().mEpoch == Epoch(2));
    REQUIRE(cell.record().mRoster.size() == 3);
    REQUIRE_FALSE(MayGrantTenure(x, cell.mClock.now()));
    cell.step(x, Tick{});
    REQUIRE(x.mRole == Role::Follower);
  }

  SECTION("a takeover whose answer was lost is settled by reading back")
  {
    cell.mStore.setFaults({ .mLoseAnswerRate = 0.5 });
    cell.pass(60s, { &y });
    REQUIRE(y.mRole == Role::Owner);
    REQUIRE(cell.record().mWriterToken == "y");
    REQUIRE(cell.record().mEpoch == y.mRecord.mEpoch);
  }

  SECTION("a store outage changes no owner and takes no tenure")
  {
    cell.mStore.setFaults({ .mDown = true });
    cell.pass(3600s, { &x, &y });
    REQUIRE(x.mRole == Role::Owner);
    REQUIRE(MayGrantTenure(x, cell.mClock.now()));
    cell.mStore.setFaults({});
    cell.pass(5s, { &x });
    REQUIRE(x.mRole == Role::Owner);
    REQUIRE(cell.mStore.read(CellLeaseKey(kCell)).value());
  }

  SECTION("a graceful stop names the successor, which takes over at once")
  {
    cell.step(x, HandOver{ InstanceId("y") });
    cell.pass(1s, { &x });
    REQUIRE(x.mRole == Role::Follower);
    cell.step(y, Invited{});
    REQUIRE(y.mRole == Role::Owner);
    cell.pass(2s, { &x, &y });
    REQUIRE(MayRestartUnreported(y, cell.mClock.now()));
  }

  SECTION("an agent that stays silent leaves the roster only after its tasks have ended")
  {
    cell.mSilent = { InstanceId("c") };
    cell.pass(44s, { &x });
    REQUIRE(cell.record().mRoster.size() == 3);
    cell.pass(5s, { &x });
    REQUIRE(cell.record().mRoster.size() == 2);
  }

  SECTION("without a majority nothing is restarted until the silent agents are declared lost")
  {
    cell.mSilent = { InstanceId("b"), InstanceId("c") };
    cell.pass(300s, { &x });
    REQUIRE(cell.record().mRoster.size() == 3);
    REQUIRE_FALSE(MayRestart(x, InstanceId("c"), cell.mClock.now()));
    cell.step(x, DeclareLost{});
    cell.pass(5s, { &x });
    REQUIRE(cell.record().mRoster.size() == 1);
    REQUIRE(MayRestart(x, InstanceId("c"), cell.mClock.now()));
  }
}
