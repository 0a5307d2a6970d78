#include <catch2/catch.hpp>

#include "Daemon/AgentNode.h"
#include "Daemon/CellOwner.h"
#include "Daemon/SpreadService.h"

namespace {

namespace Wire = Rpc::Generated;

Config::Settings
AgentSettings()
{
  Config::Settings settings;
  // Nothing here calls the store.
  settings.mStoreAddresses = { "127.0.0.1:1" };
  settings.mInstance.mDataCentre = Common::DataCentreId("dc1");
  return settings;
}

/// The agent role without its threads, called directly.
struct Agent
{
  Common::SystemClock mClock;
  Daemon::Runtime mRuntime{ AgentSettings(), mClock };
  Daemon::PeerBook mPeers{ mRuntime.self().str() };
  Daemon::CellBook mCells;
  Daemon::SpreadService mSpread{ mRuntime, mPeers, mCells };
  Daemon::CellOwner mOwner{ mRuntime, mSpread, mPeers, mCells };
  Daemon::AgentNode mNode{ mRuntime, mSpread, mPeers, mCells, mOwner };

  Wire::HeartbeatRequest request(std::int64_t aEpoch) const
  {
    Wire::HeartbeatRequest request;
    request.cell = "dc1";
    request.epoch = aEpoch;
    request.ownerAddress = "127.0.0.1:1";
    request.targetIncarnation = mRuntime.mIncarnation.value();
    return request;
  }
};

/// The agent has no worker, so it refuses the start if it takes the command at all.
Wire::TaskAction
Start(const std::string& aTask)
{
  Wire::TaskStart start;
  start.taskId = aTask;
  start.attempt = 1;
  Wire::TaskAction action;
  action.kind = Wire::TaskActionKind::Start;
  action.taskId = aTask;
  action.attempt = 1;
  action.__set_start(start);
  return action;
}

} // namespace

TEST_CASE("An agent follows the owner with the highest epoch", "[Daemon]")
{
  Agent agent;
  const Wire::HeartbeatReply first = agent.mNode.heartbeat(agent.request(5));
  REQUIRE(first.accepted);

  SECTION("replies are numbered, so that one that arrives late is known as such")
  {
    // Replies were numbered by the owner's heartbeats, which two concurrent calls can swap.
    const Wire::HeartbeatReply second = agent.mNode.heartbeat(agent.request(5));
    REQUIRE(second.replySequence > first.replySequence);
  }
  SECTION("an earlier owner is refused and learns the higher epoch")
  {
    const Wire::HeartbeatReply refused = agent.mNode.heartbeat(agent.request(4));
    REQUIRE_FALSE(refused.accepted);
    REQUIRE(refused.highestEpoch == 5);
  }
  SECTION("commands for another incarnation are ignored")
  {
    // A restarted agent took commands that were meant for its earlier self.
    Wire::HeartbeatRequest request = agent.request(5);
    request.actions = { Start("dc1/1/0") };
    request.targetIncarnation -= 1;
    REQUIRE(agent.mNode.heartbeat(request).tasks.empty());

    SECTION("and taken when they are for this one")
    {
      request.targetIncarnation += 1;
      const Wire::HeartbeatReply reply = agent.mNode.heartbeat(request);
      REQUIRE(reply.tasks.size() == 1);
      REQUIRE(reply.tasks.front().state == Wire::TaskState::Refused);
    }
  }
}
