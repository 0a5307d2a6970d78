#include "Rpc/ClientPool.h"

#include <algorithm>
#include <mutex>
#include <unordered_map>
#include <utility>

#include <thrift/TApplicationException.h>

#include "Rpc/Connection.h"

namespace Rpc {

namespace {

struct Peer
{
  std::mutex mMutex;
  std::vector<std::unique_ptr<Connection>> mIdle;
  /// Idle connections and those in use.
  std::size_t mOpen = 0;
};

CallError
NotDelivered(std::string aText)
{
  return { false, std::move(aText) };
}

int
MillisOf(Common::Duration aTimeout)
{
  // A timeout of 0 would mean "wait for ever" to Thrift.
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(aTimeout).count();
  return static_cast<int>(std::clamp<std::int64_t>(millis, 1, 3600'000));
}

} // namespace

struct ClientPool::Inner
{
  ClientPoolSettings mSettings;
  const Common::Clock& mClock;
  mutable std::mutex mMutex;
  std::unordered_map<std::string, std::shared_ptr<Peer>> mPeers;

  std::shared_ptr<Peer> peer(const std::string& aAddress)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    auto& slot = mPeers[aAddress];
    if (!slot) {
      slot = std::make_shared<Peer>();
    }
    return slot;
  }

  /// An open or fresh connection, counted in mOpen; null if the peer's limit is reached.
  std::unique_ptr<Connection> take(Peer& aPeer, const std::string& aAddress)
  {
    std::vector<std::unique_ptr<Connection>> stale;
    const Common::Timestamp now = mClock.now();
    const std::lock_guard<std::mutex> lock(aPeer.mMutex);
    while (!aPeer.mIdle.empty()) {
      std::unique_ptr<Connection> connection = std::move(aPeer.mIdle.back());
      aPeer.mIdle.pop_back();
      if (now - connection->mIdleSince <= mSettings.mMaxIdle && connection->mSocket->usable()) {
        return connection;
      }
      --aPeer.mOpen;
      stale.push_back(std::move(connection));
    }
    if (aPeer.mOpen >= mSettings.mMaxPerPeer) {
      return nullptr;
    }
    auto connection = MakeConnection(aAddress, mSettings.mConnectTimeout);
    aPeer.mOpen += connection ? 1 : 0;
    return connection;
  }

  void giveBack(Peer& aPeer, std::unique_ptr<Connection> aConnection)
  {
    aConnection->mIdleSince = mClock.now();
    const std::lock_guard<std::mutex> lock(aPeer.mMutex);
    aPeer.mIdle.push_back(std::move(aConnection));
  }

  static void drop(Peer& aPeer)
  {
    const std::lock_guard<std::mutex> lock(aPeer.mMutex);
    --aPeer.mOpen;
  }
};

ClientPool::ClientPool(ClientPoolSettings aSettings, const Common::Clock& aClock)
  : mInner(new Inner{ aSettings, aClock, {}, {} })
{
}

ClientPool::~ClientPool() = default;

template<typename Reply, typename Call>
CallResult<Reply>
ClientPool::run(const std::string& aPeer, Common::Duration aTimeout, Call aCall)
{
  if (aTimeout <= Common::Duration::zero()) {
    return tl::unexpected(NotDelivered("deadline has passed"));
  }
  const std::shared_ptr<Peer> peer = mInner->peer(aPeer);
  std::unique_ptr<Connection> connection = mInner->take(*peer, aPeer);
  if (!connection) {
    return tl::unexpected(
      NotDelivered("no connection to " + aPeer + ": its limit is reached or it is malformed"));
  }
  FrameSocket& socket = *connection->mSocket;
  socket.startCall();
  try {
    const int timeout = MillisOf(aTimeout);
    if (!socket.isOpen()) {
      socket.setConnTimeout(std::min(timeout, MillisOf(mInner->mSettings.mConnectTimeout)));
      socket.open();
    }
    socket.setRecvTimeout(timeout);
    socket.setSendTimeout(timeout);
    Reply reply{};
    aCall(*connection->mClient, reply);
    mInner->giveBack(*peer, std::move(connection));
    return reply;
  } catch (const std::exception& error) {
    const bool mayHaveBeenDelivered = socket.frameWritten();
    Inner::drop(*peer);
    return tl::unexpected(
      CallError{ mayHaveBeenDelivered, "call to " + aPeer + ": " + error.what() });
  }
}

CallResult<Generated::ExecuteReply>
ClientPool::execute(const std::string& aPeer,
                    const Generated::ExecuteRequest& aRequest,
                    Common::Duration aTimeout)
{
  return run<Generated::ExecuteReply>(
    aPeer, aTimeout, [&](auto& aClient, auto& aReply) { aClient.execute(aReply, aRequest); });
}

CallResult<Generated::ExecuteReply>
ClientPool::queryOutcome(const std::string& aPeer,
                         const std::string& aRequestId,
                         std::int64_t aIncarnation,
                         Common::Duration aTimeout)
{
  return run<Generated::ExecuteReply>(aPeer, aTimeout, [&](auto& aClient, auto& aReply) {
    aClient.queryOutcome(aReply, aRequestId, aIncarnation);
  });
}

CallResult<Generated::HeartbeatReply>
ClientPool::heartbeat(const std::string& aPeer,
                      const Generated::HeartbeatRequest& aRequest,
                      Common::Duration aTimeout)
{
  return run<Generated::HeartbeatReply>(
    aPeer, aTimeout, [&](auto& aClient, auto& aReply) { aClient.heartbeat(aReply, aRequest); });
}

CallResult<Generated::GossipMessage>
ClientPool::gossip(const std::string& aPeer,
                   const Generated::GossipMessage& aMessage,
                   Common::Duration aTimeout)
{
  return run<Generated::GossipMessage>(
    aPeer, aTimeout, [&](auto& aClient, auto& aReply) { aClient.gossip(aReply, aMessage); });
}

CallResult<Generated::RevisionReply>
ClientPool::fetchRevision(const std::string& aPeer,
                          std::int64_t aHeldRevision,
                          const std::string& aHeldHash,
                          Common::Duration aTimeout)
{
  return run<Generated::RevisionReply>(aPeer, aTimeout, [&](auto& aClient, auto& aReply) {
    aClient.fetchRevision(aReply, aHeldRevision, aHeldHash);
  });
}

CallResult<Generated::JoinReply>
ClientPool::join(const std::string& aPeer,
                 const Generated::JoinRequest& aRequest,
                 Common::Duration aTimeout)
{
  return run<Generated::JoinReply>(
    aPeer, aTimeout, [&](auto& aClient, auto& aReply) { aClient.join(aReply, aRequest); });
}

CallResult<Generated::ClaimKeyReply>
ClientPool::claimKey(const std::string& aPeer,
                     const Generated::ClaimKeyRequest& aRequest,
                     Common::Duration aTimeout)
{
  return run<Generated::ClaimKeyReply>(
    aPeer, aTimeout, [&](auto& aClient, auto& aReply) { aClient.claimKey(aReply, aRequest); });
}

CallResult<bool>
ClientPool::settleKey(const std::string& aPeer,
                      const Generated::SettleKeyRequest& aRequest,
                      Common::Duration aTimeout)
{
  return run<bool>(
    aPeer, aTimeout, [&](auto& aClient, bool& aReply) { aReply = aClient.settleKey(aRequest); });
}

CallResult<Generated::SubmitReply>
ClientPool::submitJob(const std::string& aPeer,
                      const Generated::JobSpec& aJob,
                      const Generated::TraceContext& aTrace,
                      Common::Duration aTimeout)
{
  return run<Generated::SubmitReply>(
    aPeer, aTimeout, [&](auto& aClient, auto& aReply) { aClient.submitJob(aReply, aJob, aTrace); });
}

CallResult<Generated::SubmitReply>
ClientPool::cancelJob(const std::string& aPeer,
                      const std::string& aJobId,
                      Common::Duration aTimeout)
{
  return run<Generated::SubmitReply>(
    aPeer, aTimeout, [&](auto& aClient, auto& aReply) { aClient.cancelJob(aReply, aJobId); });
}

CallResult<std::vector<Generated::JobView>>
ClientPool::showJobs(const std::string& aPeer,
                     const std::string& aJobId,
                     std::int32_t aLimit,
                     Common::Duration aTimeout)
{
  return run<std::vector<Generated::JobView>>(aPeer, aTimeout, [&](auto& aClient, auto& aReply) {
    aClient.showJobs(aReply, aJobId, aLimit);
  });
}

CallResult<Generated::MembersReply>
ClientPool::members(const std::string& aPeer,
                    std::int64_t aKnownVersion,
                    const std::string& aPool,
                    std::int32_t aMaxMembers,
                    Common::Duration aTimeout)
{
  return run<Generated::MembersReply>(aPeer, aTimeout, [&](auto& aClient, auto& aReply) {
    aClient.members(aReply, aKnownVersion, aPool, aMaxMembers);
  });
}

CallResult<std::vector<Generated::UsageRecord>>
ClientPool::usage(const std::string& aPeer, Common::Duration aTimeout)
{
  return run<std::vector<Generated::UsageRecord>>(
    aPeer, aTimeout, [](auto& aClient, auto& aReply) { aClient.usage(aReply); });
}

CallResult<bool>
ClientPool::drain(const std::string& aPeer,
                  const std::string& aInstance,
                  bool aOn,
                  Common::Duration aTimeout)
{
  return run<bool>(
    aPeer, aTimeout, [&](auto& aClient, bool& aReply) { aReply = aClient.drain(aInstance, aOn); });
}

CallResult<bool>
ClientPool::declareLost(const std::string& aPeer,
                        const std::string& aCell,
                        Common::Duration aTimeout)
{
  return run<bool>(
    aPeer, aTimeout, [&](auto& aClient, bool& aReply) { aReply = aClient.declareLost(aCell); });
}

CallResult<bool>
ClientPool::offerCell(const std::string& aPeer, const std::string& aCell, Common::Duration aTimeout)
{
  return run<bool>(
    aPeer, aTimeout, [&](auto& aClient, bool& aReply) { aReply = aClient.offerCell(aCell); });
}

CallResult<std::vector<std::string>>
ClientPool::trace(const std::string& aPeer, const std::string& aTraceId, Common::Duration aTimeout)
{
  return run<std::vector<std::string>>(
    aPeer, aTimeout, [&](auto& aClient, auto& aReply) { aClient.trace(aReply, aTraceId); });
}

void
ClientPool::prune()
{
  std::vector<std::unique_ptr<Connection>> closing;
  const Common::Timestamp now = mInner->mClock.now();
  const std::lock_guard<std::mutex> lock(mInner->mMutex);
  for (auto it = mInner->mPeers.begin(); it != mInner->mPeers.end();) {
    Peer& peer = *it->second;
    std::unique_lock<std::mutex> peerLock(peer.mMutex);
    const auto isOld = [&](const std::unique_ptr<Connection>& aConnection) {
      return now - aConnection->mIdleSince > mInner->mSettings.mMaxIdle;
    };
    const auto firstOld = std::stable_partition(
      peer.mIdle.begin(), peer.mIdle.end(), [&](const auto& aItem) { return !isOld(aItem); });
    peer.mOpen -= static_cast<std::size_t>(peer.mIdle.end() - firstOld);
    std::move(firstOld, peer.mIdle.end(), std::back_inserter(closing));
    peer.mIdle.erase(firstOld, peer.mIdle.end());
    // A call that holds the peer but has no connection yet keeps a second reference.
    const bool unused = peer.mOpen == 0 && it->second.use_count() == 1;
    peerLock.unlock();
    it = unused ? mInner->mPeers.erase(it) : std::next(it);
  }
}

std::size_t
ClientPool::connections() const
{
  const std::lock_guard<std::mutex> lock(mInner->mMutex);
  std::size_t count = 0;
  for (const auto& [address, peer] : mInner->mPeers) {
    const std::lock_guard<std::mutex> peerLock(peer->mMutex);
    count += peer->mOpen;
  }
  return count;
}

} // namespace Rpc
