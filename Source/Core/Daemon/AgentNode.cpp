#include "Daemon/AgentNode.h"

#include "Daemon/Convert.h"
#include "Daemon/Pages.h"
#include "Membership/JoinGate.h"
#include "Observability/Log.h"

namespace Daemon {

namespace Wire = Rpc::Generated;

namespace {

using Observability::Level;
using Observability::Log;

constexpr std::chrono::milliseconds kCallTimeout{ 800 };
constexpr std::chrono::milliseconds kDrainPoll{ 50 };

} // namespace

AgentNode::AgentNode(Runtime& aRuntime,
                     SpreadService& aSpread,
                     PeerBook& aPeers,
                     CellBook& aCells,
                     CellOwner& aOwner)
  : mRuntime(aRuntime)
  , mSpread(aSpread)
  , mPeers(aPeers)
  , mCells(aCells)
  , mOwner(aOwner)
  , mRequests(aRuntime)
  , mTasks(aRuntime,
           mRequests.gates(),
           [this](const Metering::UsageKey& aKey, const Metering::Usage& aUse) {
             mRequests.recordUse(aKey, aUse);
           })
{
}

void
AgentNode::start()
{
  mTasks.start();
  mJoiner = std::make_unique<Loop>(mRuntime.mClock, [this] { return join(); });
  mSweeper = std::make_unique<Loop>(mRuntime.mClock, [this] { return sweep(); });
}

void
AgentNode::stop()
{
  for (Loop* loop : { mJoiner.get(), mSweeper.get() }) {
    if (loop != nullptr) {
      loop->stop();
    }
  }
  mTasks.stop();
}

Wire::AgentInfo
AgentNode::info() const
{
  const Config::InstanceSettings& self = mRuntime.mSettings.mInstance;
  Wire::AgentInfo info;
  info.instance = self.mName.str();
  info.incarnation = mRuntime.mIncarnation.value();
  info.address = mRuntime.mRpcAddress;
  info.worker = self.mWorker.str();
  info.rack = self.mRack.str();
  info.dataCentre = self.mDataCentre.str();
  info.labels = self.mLabels;
  return info;
}

Common::Duration
AgentNode::join()
{
  constexpr std::chrono::milliseconds kLook{ 250 };
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const bool heard = mOwnerHeard != Common::Timestamp() &&
                       mRuntime.mClock.now() - mOwnerHeard < mRuntime.mSettings.mTimes.mGoneAfter;
    if (heard || mRuntime.leaving()) {
      mJoinFailures = 0;
      return std::chrono::seconds(1);
    }
  }
  const auto cell = mCells.find(mRuntime.dataCentre());
  if (!cell) {
    return kLook;
  }
  Wire::JoinRequest request;
  request.info = info();
  const auto tables = mRuntime.mTables.current();
  request.revision = tables ? tables->mDigest.mRevision.value() : 0;
  const auto reply = mRuntime.mControl.join(cell->ownerAddress, request, kCallTimeout);
  if (reply && reply->accepted) {
    mJoinFailures = 0;
    return std::chrono::seconds(1);
  }
  const Common::Duration wait = Membership::BackOff(++mJoinFailures, mRuntime.random());
  return reply ? std::max(wait, Common::Duration(reply->retryAfterMicros)) : wait;
}

Common::Duration
AgentNode::sweep()
{
  mRequests.sweep();
  mRuntime.mHttp.prune();
  mRuntime.mControl.prune();
  return std::chrono::seconds(1);
}

void
AgentNode::takeHeartbeat(const Wire::HeartbeatRequest& aRequest)
{
  const Common::Timestamp now = mRuntime.mClock.now();
  mOwner.noteOwnerHeard();
  for (const Wire::CellView& cell : aRequest.cells) {
    mCells.note(cell);
  }
  for (const Wire::PeerView& peer : aRequest.peers) {
    mPeers.note({ peer.instance, peer.address, peer.dataCentre, peer.role, 0, now });
  }
  const auto cell = mCells.find(aRequest.cell);
  if (cell && cell->ownerAddress == aRequest.ownerAddress) {
    mSpread.noteDigest(cell->ownerInstance, aRequest.revision, aRequest.revisionHash);
  }
  if (!mOwner.owns()) {
    mSpread.setRelay(aRequest.relay);
  }
  if (aRequest.tenureMicros > 0 && aRequest.echoMicros > 0) {
    mTasks.grantTenure(Common::Timestamp(Common::Duration(aRequest.echoMicros)) +
                       Common::Duration(aRequest.tenureMicros));
  }
  if (mAskedToDrain.exchange(aRequest.drain) != aRequest.drain && !mRuntime.leaving()) {
    mRequests.drain(aRequest.drain);
    if (aRequest.drain) {
      mTasks.evictAll();
    }
  }
  // Commands to an earlier incarnation are void; the owner learns the present one from the reply.
  if (aRequest.targetIncarnation == info().incarnation) {
    mTasks.apply(aRequest.actions);
  }
}

Wire::HeartbeatReply
AgentNode::heartbeat(const Wire::HeartbeatRequest& aRequest)
{
  // One heartbeat at a time: a thread that had passed the epoch check must not apply commands of an
  // owner after a later owner's heartbeat was answered.
  const std::lock_guard<std::mutex> heartbeat(mHeartbeatMutex);
  Wire::HeartbeatReply reply;
  reply.info = info();
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    reply.accepted = aRequest.epoch >= mHighestEpoch && aRequest.cell == mRuntime.dataCentre();
    if (reply.accepted) {
      mHighestEpoch = aRequest.epoch;
      mOwnerHeard = mRuntime.mClock.now();
    }
    reply.highestEpoch = mHighestEpoch;
  }
  if (!reply.accepted) {
    return reply;
  }
  takeHeartbeat(aRequest);
  const bool hasWorker = !mRuntime.mSettings.mPlatformWorkerAddress.empty();
  reply.fullInventory = aRequest.wantInventory && (!hasWorker || mTasks.known());
  reply.tasks = mTasks.reports(reply.fullInventory);
  reply.total = FromResources(mTasks.total());
  reply.free = FromResources(hasWorker ? mTasks.freeForTasks() : Common::Resources{});
  reply.endpoints = mRequests.endpoints();
  reply.load = mRequests.load();
  reply.revision = reply.load.revision;
  reply.leaving = mRuntime.leaving() || mAskedToDrain;
  const Metering::UsageReport use = mRequests.usage();
  if (static_cast<std::int64_t>(use.mVersion) > aRequest.knownUsageVersion) {
    reply.usage = ToWire(use.mTotals);
    reply.usageVersion = static_cast<std::int64_t>(use.mVersion);
  }
  reply.replySequence = ++mReplySequence;
  reply.agentClockMicros = mRuntime.mClock.now().time_since_epoch().count();
  ++mHeartbeats;
  return reply;
}

Http::Response
AgentNode::answerHttp(const Http::Request& aRequest)
{
  if (auto page = CommonPage(mRuntime, aRequest)) {
    return std::move(*page);
  }
  const std::string path(aRequest.path());
  const std::string traces = std::string(kApiPrefix) + "traces/";
  if (aRequest.mMethod == "GET" && path.starts_with(traces)) {
    return SpansPage(SpansOf(mRuntime, path.substr(traces.size())));
  }
  if (aRequest.mMethod == "POST" && path == std::string(kApiPrefix) + "announce") {
    const auto announcement = Http::ParseAnnouncement(aRequest.mBody);
    if (!announcement) {
      return ErrorPage(400, announcement.error());
    }
    mRequests.announce(*announcement);
    return Http::JsonResponse(200, "{}");
  }
  return ErrorPage(404, "no such path");
}

void
AgentNode::drain(Common::Duration aGrace)
{
  const Common::Timestamp end = mRuntime.mClock.now() + aGrace;
  mRequests.drain(true);
  mTasks.evictAll();
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock<std::mutex> lock(mutex);
  const auto pause = [&] {
    mRuntime.mClock.waitUntil(lock, never, mRuntime.mClock.now() + kDrainPoll);
  };
  while (mRuntime.mClock.now() < end && !(mRequests.idle() && mTasks.idle())) {
    pause();
  }
  // Entries hear that the agent leaves, and the owner hears how its tasks ended, by heartbeats;
  // until then calls must find a process that refuses them.
  const std::uint64_t first = mHeartbeats.load();
  const Common::Timestamp told =
    std::min(end, mRuntime.mClock.now() + 3 * mRuntime.mSettings.mTimes.mHeartbeat);
  while (mRuntime.mClock.now() < told && mHeartbeats.load() < first + 3) {
    pause();
  }
  while (mRuntime.mClock.now() < end && !mRequests.idle()) {
    pause();
  }
}

} // namespace Daemon
