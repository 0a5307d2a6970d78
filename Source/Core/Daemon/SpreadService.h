#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <Ibisshed_types.h>

#include "Daemon/Peers.h"
#include "Daemon/Runtime.h"
#include "Daemon/Threads.h"
#include "Spread/Spread.h"

namespace Daemon {

/// Keeps the tables of the process up to date: from the store while it is a relay or starts, and
/// from peers otherwise.
class SpreadService
{
public:
  SpreadService(Runtime& aRuntime, PeerBook& aPeers, CellBook& aCells);
  ~SpreadService();
  SpreadService(const SpreadService&) = delete;
  SpreadService& operator=(const SpreadService&) = delete;

  void start();
  void stop();

  /// Relays watch the store; the cell owner and its deputy are relays.
  void setRelay(bool aRelay);
  /// A revision that this process itself has written to or read from the store.
  void noteStoreRevision(std::int64_t aRevision,
                         const std::string& aRoutes,
                         const std::string& aPools);
  /// A digest that came with a heartbeat.
  void noteDigest(const std::string& aFrom, std::int64_t aRevision, const std::string& aHash);

  Rpc::Generated::GossipMessage answerGossip(const Rpc::Generated::GossipMessage& aMessage);
  Rpc::Generated::RevisionReply answerFetch(std::int64_t aHeldRevision, const std::string& aHash);
  Rpc::Generated::GossipMessage ownMessage();

private:
  void handle(const Spread::Event& aEvent);
  void perform(const Spread::Action& aAction);
  void sendDigest(const Spread::SendDigest& aSend);
  void sendFetch(const Spread::SendFetch& aSend);
  void putInForce(const Spread::Digest& aDigest);
  Common::Duration step();
  void refreshPeers();
  Common::Duration readStore();
  void noteMessage(const Rpc::Generated::GossipMessage& aMessage);

  Runtime& mRuntime;
  PeerBook& mPeers;
  CellBook& mCells;
  std::mutex mMutex;
  Spread::State mState;
  std::atomic<bool> mRelay{ false };
  std::uint32_t mStoreFailures = 0;
  Store::Version mWatched;
  std::unique_ptr<Loop> mTicker;
  std::unique_ptr<Loop> mStoreReader;
};

} // namespace Daemon
