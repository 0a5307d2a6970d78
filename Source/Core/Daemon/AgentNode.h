#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include <Ibisshed_types.h>

#include "Daemon/AgentRequests.h"
#include "Daemon/AgentTasks.h"
#include "Daemon/CellOwner.h"
#include "Daemon/Peers.h"
#include "Daemon/Runtime.h"
#include "Daemon/SpreadService.h"
#include "Http/Message.h"

namespace Daemon {

/// The agent role: joins the cell's owner, answers its heartbeats, and runs requests and tasks.
class AgentNode
{
public:
  AgentNode(Runtime& aRuntime,
            SpreadService& aSpread,
            PeerBook& aPeers,
            CellBook& aCells,
            CellOwner& aOwner);

  void start();
  /// Refuses new work, stops tasks with a checkpoint, and waits for what runs, at most aGrace.
  void drain(Common::Duration aGrace);
  void stop();

  Rpc::Generated::HeartbeatReply heartbeat(const Rpc::Generated::HeartbeatRequest& aRequest);
  Http::Response answerHttp(const Http::Request& aRequest);
  AgentRequests& requests() { return mRequests; }

private:
  Rpc::Generated::AgentInfo info() const;
  Common::Duration join();
  Common::Duration sweep();
  void takeHeartbeat(const Rpc::Generated::HeartbeatRequest& aRequest);

  Runtime& mRuntime;
  SpreadService& mSpread;
  PeerBook& mPeers;
  CellBook& mCells;
  CellOwner& mOwner;
  AgentRequests mRequests;
  AgentTasks mTasks;
  std::mutex mHeartbeatMutex;
  std::int64_t mReplySequence = 0;
  std::mutex mMutex;
  std::int64_t mHighestEpoch = 0;
  Common::Timestamp mOwnerHeard;
  std::atomic<bool> mAskedToDrain{ false };
  std::atomic<std::uint64_t> mHeartbeats{ 0 };
  std::uint32_t mJoinFailures = 0;
  std::unique_ptr<Loop> mJoiner;
  std::unique_ptr<Loop> mSweeper;
};

} // namespace Daemon
