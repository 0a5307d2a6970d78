#include "Daemon/OwnerMembers.h"

#include <algorithm>

#include "Common/Hash.h"
#include "Daemon/Convert.h"

namespace Daemon {

namespace Wire = Rpc::Generated;

namespace {

constexpr std::size_t kHeartbeatThreads = 16;
constexpr std::size_t kPeersPerHeartbeat = 3;
constexpr std::size_t kCellsPerHeartbeat = 4;
constexpr std::chrono::milliseconds kHeartbeatTimeout{ 900 };

/// True if entries should hear of the change.
bool
Differs(const Wire::HeartbeatReply& aOld, const Wire::HeartbeatReply& aNew)
{
  return aOld.load.slotsInUse != aNew.load.slotsInUse || aOld.load.queued != aNew.load.queued ||
         aOld.load.slotsLimit != aNew.load.slotsLimit || aOld.leaving != aNew.leaving ||
         aOld.revision != aNew.revision || aOld.endpoints != aNew.endpoints ||
         aOld.free != aNew.free || aOld.info != aNew.info;
}

RosterEntry
EntryOf(const Wire::AgentInfo& aInfo)
{
  return { aInfo.instance, aInfo.incarnation, aInfo.address, aInfo.worker };
}

} // namespace

OwnerMembers::OwnerMembers(Runtime& aRuntime,
                           const CellRecord& aRecord,
                           const CellRecord& aBefore,
                           const std::string& aCell,
                           SpreadService& aSpread,
                           PeerBook& aPeers,
                           CellBook& aCells)
  : mRuntime(aRuntime)
  , mCell(aCell)
  , mEpoch(aRecord.mEpoch)
  , mSpread(aSpread)
  , mPeers(aPeers)
  , mCells(aCells)
  , mTerm(MakeTerm(aBefore, aRecord.mEpoch, aRuntime.mClock.now()))
  , mBegan(aRuntime.mClock.now())
  , mThreads(kHeartbeatThreads, 4096)
{
  for (const RosterEntry& entry : aRecord.mRoster) {
    Agent& agent = mAgents[entry.mInstance];
    agent.mEntry = entry;
    agent.mInfo.instance = entry.mInstance;
    agent.mInfo.incarnation = entry.mIncarnation;
    agent.mInfo.address = entry.mAddress;
    agent.mInfo.worker = entry.mWorker;
    agent.mInfo.dataCentre = aCell;
    agent.mHeard = mBegan;
  }
}

OwnerMembers::~OwnerMembers()
{
  stop();
}

void
OwnerMembers::start(OwnerJobs& aJobs)
{
  mJobs = &aJobs;
  mLoop = std::make_unique<Loop>(mRuntime.mClock, [this] { return step(); });
}

void
OwnerMembers::stop()
{
  if (mLoop) {
    mLoop->stop();
  }
  mThreads.stop();
}

Common::Duration
OwnerMembers::step()
{
  std::vector<std::string> names;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const auto& [name, agent] : mAgents) {
      names.push_back(name);
    }
  }
  for (const std::string& name : names) {
    mThreads.run([this, name] { beat(name); });
  }
  sweep();
  return mRuntime.mSettings.mTimes.mHeartbeat;
}

void
OwnerMembers::kick(const std::string& aWorker)
{
  std::vector<std::string> names;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const auto& [name, agent] : mAgents) {
      if (agent.mInfo.worker == aWorker) {
        names.push_back(name);
      }
    }
  }
  for (const std::string& name : names) {
    mThreads.run([this, name] { beat(name); });
  }
}

void
OwnerMembers::beat(const std::string& aInstance)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto found = mAgents.find(aInstance);
    if (found == mAgents.end()) {
      return;
    }
    if (found->second.mInCall) {
      // Commands that came meanwhile go with a further heartbeat.
      found->second.mAgain = true;
      return;
    }
    found->second.mInCall = true;
  }
  bool again = true;
  while (again) {
    beatOnce(aInstance);
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto found = mAgents.find(aInstance);
    if (found == mAgents.end()) {
      return;
    }
    again = found->second.mAgain && !found->second.mSilent;
    found->second.mAgain = false;
    found->second.mInCall = again;
  }
}

Wire::HeartbeatRequest
OwnerMembers::requestFor(Agent& aAgent, Common::Timestamp aNow)
{
  Wire::HeartbeatRequest request;
  request.cell = mCell;
  request.epoch = mEpoch;
  request.ownerAddress = mRuntime.mRpcAddress;
  // Only agents of the roster may have tenure, since only they count for the majority.
  const bool inRoster =
    std::find(mTerm.mRoster.begin(), mTerm.mRoster.end(), aAgent.mEntry) != mTerm.mRoster.end();
  const bool grant = inRoster && !aAgent.mReleased;
  request.echoMicros = aAgent.mEcho;
  request.targetIncarnation = aAgent.mInfo.incarnation;
  request.knownUsageVersion = aAgent.mUsageVersion;
  request.tenureMicros = grant ? TenureToGrant(mTerm, mRuntime.mSettings.mTimes, aNow).count() : 0;
  request.wantInventory = aAgent.mWantFull;
  request.drain = aAgent.mDrain;
  request.relay = !mTerm.mRoster.empty() && [&] {
    const auto deputy =
      std::find_if(mTerm.mRoster.begin(), mTerm.mRoster.end(), [&](const RosterEntry& aEntry) {
        return aEntry.mInstance != mRuntime.self().str();
      });
    return deputy != mTerm.mRoster.end() && deputy->mInstance == aAgent.mEntry.mInstance;
  }();
  for (std::size_t i = 0; i < kPeersPerHeartbeat && !mAgents.empty(); ++i) {
    const auto peer = std::next(
      mAgents.begin(), static_cast<std::ptrdiff_t>(mRuntime.random().below(mAgents.size())));
    Wire::PeerView view;
    view.instance = peer->first;
    view.address = peer->second.mInfo.address;
    view.dataCentre = mCell;
    view.role = "agent";
    request.peers.push_back(std::move(view));
  }
  return request;
}

void
OwnerMembers::beatOnce(const std::string& aInstance)
{
  Wire::HeartbeatRequest request;
  std::string address;
  std::string worker;
  const Common::Timestamp sent = mRuntime.mClock.now();
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto found = mAgents.find(aInstance);
    if (found == mAgents.end()) {
      return;
    }
    Agent& agent = found->second;
    request = requestFor(agent, sent);
    address = agent.mInfo.address;
    worker = agent.mInfo.worker;
  }
  const auto message = mSpread.ownMessage();
  request.revision = message.revision;
  request.revisionHash = message.revisionHash;
  request.cells = mCells.news(kCellsPerHeartbeat, mRuntime.random());
  request.actions = mJobs->commandsFor(worker);
  auto reply = mRuntime.mControl.heartbeat(address, request, kHeartbeatTimeout);
  if (reply) {
    applyReply(aInstance, sent, request, std::move(*reply));
  } else {
    noteLost(aInstance, reply.error().mMayHaveBeenDelivered, sent);
  }
}

void
OwnerMembers::noteLost(const std::string& aInstance,
                       bool aMayHaveBeenDelivered,
                       Common::Timestamp aSent)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mAgents.find(aInstance);
  if (found == mAgents.end()) {
    return;
  }
  found->second.mWantFull = true;
  // It may have granted tenure, although nothing came back.
  if (aMayHaveBeenDelivered) {
    found->second.mLastSent = aSent;
  }
}

void
OwnerMembers::applyReply(const std::string& aInstance,
                         Common::Timestamp aSent,
                         const Wire::HeartbeatRequest& aRequest,
                         Wire::HeartbeatReply aReply)
{
  WorkerNews news;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mHighestEpoch = std::max(mHighestEpoch, aReply.highestEpoch);
    const auto found = mAgents.find(aInstance);
    if (found == mAgents.end() || !aReply.accepted) {
      return;
    }
    Agent& agent = found->second;
    const Common::Timestamp now = mRuntime.mClock.now();
    agent.mLastSent = aSent;
    agent.mEcho = aReply.agentClockMicros;
    agent.mHeard = now;
    agent.mHeardInTerm = true;
    agent.mWantFull = false;
    const bool wasSilent = agent.mSilent;
    agent.mSilent = false;
    agent.mReleased = false;
    NoteAcknowledged(mTerm, aInstance, aReply.info.incarnation, aSent, now);
    agent.mEntry = EntryOf(aReply.info);
    agent.mInfo = aReply.info;
    if (wasSilent || Differs(agent.mLast, aReply)) {
      touch(agent);
    }
    Metering::UsageReport use;
    use.mSource = Common::InstanceId(aInstance);
    use.mIncarnation = Common::Incarnation(aReply.info.incarnation);
    use.mVersion = static_cast<std::uint64_t>(aReply.usageVersion);
    if (aReply.usageVersion > 0) {
      use.mTotals = FromWire(aReply.usage);
      Metering::ApplyReport(mUse, std::move(use));
      agent.mUsageVersion = aReply.usageVersion;
    }
    news.mInfo = aReply.info;
    news.mSequence = static_cast<std::uint64_t>(aReply.replySequence);
    news.mFull = aRequest.wantInventory && aReply.fullInventory;
    // Without tenure the agent refuses starts.
    const bool tenure = aRequest.tenureMicros > 0 && aRequest.echoMicros > 0;
    news.mTakesTasks = tenure && !aReply.leaving && !agent.mDrain;
    news.mTotal = ToResources(aReply.total);
    news.mFree = ToResources(aReply.free);
    news.mTasks = std::move(aReply.tasks);
    aReply.tasks.clear();
    aReply.usage.clear();
    agent.mLast = std::move(aReply);
  }
  mPeers.note({ news.mInfo.instance,
                news.mInfo.address,
                news.mInfo.dataCentre,
                "agent",
                0,
                mRuntime.mClock.now() });
  if (!news.mInfo.worker.empty()) {
    mJobs->applyNews(news);
  }
}

void
OwnerMembers::touch(Agent& aAgent)
{
  aAgent.mVersion = ++mVersion;
}

void
OwnerMembers::join(const Wire::AgentInfo& aInfo)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    Agent& agent = mAgents[aInfo.instance];
    if (agent.mInfo.incarnation > aInfo.incarnation) {
      return;
    }
    const bool isNew = agent.mInfo.incarnation != aInfo.incarnation;
    agent.mEntry = EntryOf(aInfo);
    agent.mInfo = aInfo;
    agent.mWantFull = agent.mWantFull || isNew;
    if (isNew) {
      agent.mEcho = 0;
      agent.mUsageVersion = 0;
    }
    agent.mHeard = mRuntime.mClock.now();
    agent.mReleased = false;
    touch(agent);
  }
  mThreads.run([this, name = aInfo.instance] { beat(name); });
}

std::int64_t
OwnerMembers::highestEpoch() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mHighestEpoch;
}

bool
OwnerMembers::drain(const std::string& aInstance, bool aOn)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mAgents.find(aInstance);
  if (found == mAgents.end()) {
    return false;
  }
  found->second.mDrain = aOn;
  touch(found->second);
  return true;
}

void
OwnerMembers::declareLost()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mDeclaredLost = true;
}

} // namespace Daemon
