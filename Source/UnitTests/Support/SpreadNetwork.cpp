#include "UnitTests/Support/SpreadNetwork.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Support {

using namespace Spread;
using namespace std::chrono_literals;

namespace {

// A digest that names one cell, with framing and TCP/IP headers; ibisbench control measures it.
constexpr std::size_t kDigestBytes = 330;
constexpr std::size_t kFetchBytes = 160;

constexpr Duration kWithinDataCentre = 300us;
constexpr Duration kBetweenDataCentres = 1500us;
constexpr Duration kBetweenRegions = 30ms;
// A watch that was cut off asks the store again after this time.
constexpr Duration kWatchRetry = 1s;

std::size_t
ReplyBytes(const FetchReply& aReply)
{
  std::size_t bytes = kFetchBytes;
  for (const Delta& delta : aReply.mChain) {
    bytes += DeltaBytes(delta);
  }
  if (aReply.mWhole) {
    bytes += aReply.mWhole->mRoutes.size() + aReply.mWhole->mPools.size();
  }
  return bytes;
}

} // namespace

SpreadNetwork::SpreadNetwork(const NetworkConfig& aConfig)
  : mConfig(aConfig)
  , mRandom(aConfig.mSeed)
  , mProcesses(aConfig.mInstances)
  , mRegionCut(aConfig.mRegions, false)
{
  for (std::size_t i = 0; i < mProcesses.size(); ++i) {
    Process& process = mProcesses[i];
    process.mDataCentre = i % mConfig.mDataCentres;
    process.mState.mSelf = InstanceId("i" + std::to_string(i));
    process.mState.mTiming = mConfig.mTiming;
    process.mState.mRelay =
      mConfig.mEveryProcessWatches || i / mConfig.mDataCentres < mConfig.mRelaysPerDataCentre;
    mIndex.emplace(process.mState.mSelf.str(), i);
  }
  for (std::size_t i = 0; i < mProcesses.size(); ++i) {
    setUpPeers(i);
    State& state = mProcesses[i].mState;
    state.mNextExchange = mNow + Duration(static_cast<std::int64_t>(mRandom.below(1000000)));
    state.mNextRemoteExchange = mNow + Duration(static_cast<std::int64_t>(mRandom.below(1000000)));
    scheduleTick(i);
  }
}

void
SpreadNetwork::setUpPeers(std::size_t aInstance)
{
  if (mConfig.mEveryProcessWatches) {
    return;
  }
  Process& process = mProcesses[aInstance];
  const std::size_t perDataCentre =
    (mProcesses.size() - process.mDataCentre + mConfig.mDataCentres - 1) / mConfig.mDataCentres;
  const std::size_t wanted = std::min(mConfig.mPeerSample, perDataCentre - 1);
  std::vector<InstanceId>& peers = process.mState.mLocalPeers;
  while (peers.size() < wanted) {
    const std::size_t peer =
      process.mDataCentre + mRandom.below(perDataCentre) * mConfig.mDataCentres;
    const InstanceId& name = mProcesses[peer].mState.mSelf;
    if (peer != aInstance && std::find(peers.begin(), peers.end(), name) == peers.end()) {
      peers.push_back(name);
    }
  }
  if (!process.mState.mRelay) {
    return;
  }
  for (std::size_t i = 0; i < mConfig.mRelaysPerDataCentre * mConfig.mDataCentres; ++i) {
    if (i < mProcesses.size() && mProcesses[i].mDataCentre != process.mDataCentre) {
      process.mState.mRemoteRelays.push_back(mProcesses[i].mState.mSelf);
    }
  }
}

void
SpreadNetwork::publish(TableTexts aTexts)
{
  mStored = { mStored.mRevision + Revision(1), HashTexts(aTexts) };
  mStoredTexts = std::move(aTexts);
  mPublishedAt = mNow;
  mInForceAfter.clear();
  for (std::size_t i = 0; i < mProcesses.size(); ++i) {
    if (mProcesses[i].mState.mRelay) {
      notifyWatcher(i);
    }
  }
}

void
SpreadNetwork::notifyWatcher(std::size_t aInstance)
{
  if (mStored.mRevision == Revision(0)) {
    return;
  }
  ++mTraffic.mStoreCalls;
  if (!reachesStore(aInstance)) {
    at(mNow + kWatchRetry, [this, aInstance] { notifyWatcher(aInstance); });
    return;
  }
  const Duration way = regionOf(aInstance) == 0 ? kBetweenDataCentres : kBetweenRegions;
  const StoreRevision event{ mStored, mStoredTexts };
  const std::size_t bytes = kFetchBytes + mStoredTexts.mRoutes.size() + mStoredTexts.mPools.size();
  mProcesses[aInstance].mBytes += bytes;
  mTraffic.mBytes += bytes;
  mTraffic.mCrossRegionBytes += regionOf(aInstance) == 0 ? 0 : bytes;
  at(mNow + way, [this, aInstance, event] { deliver(aInstance, event); });
}

void
SpreadNetwork::run(Duration aFor)
{
  const Timestamp end = mNow + aFor;
  while (!mQueue.empty() && mQueue.top().mTime <= end) {
    const Item item = mQueue.top();
    mQueue.pop();
    mNow = item.mTime;
    item.mRun();
  }
  mNow = end;
}

void
SpreadNetwork::setRegionCut(std::size_t aRegion, bool aCut)
{
  mRegionCut[aRegion] = aCut;
}

void
SpreadNetwork::setStoreUp(bool aUp)
{
  mStoreUp = aUp;
}

void
SpreadNetwork::restart(std::size_t aInstance)
{
  Process& process = mProcesses[aInstance];
  const State old = process.mState;
  process.mState = State();
  process.mState.mSelf = old.mSelf;
  process.mState.mTiming = old.mTiming;
  process.mState.mRelay = old.mRelay;
  process.mState.mLocalPeers = old.mLocalPeers;
  process.mState.mRemoteRelays = old.mRemoteRelays;
  process.mState.mNextExchange = mNow;
  process.mState.mNextRemoteExchange = mNow;
  process.mRestarted = true;

  deliver(aInstance, Started{});
  notifyWatcher(aInstance);
}

void
SpreadNetwork::injectReply(std::size_t aInstance, const FetchReply& aReply)
{
  deliver(aInstance, aReply);
}

std::uint64_t
SpreadNetwork::maxBytes() const
{
  std::uint64_t most = 0;
  for (const Process& process : mProcesses) {
    most = std::max(most, process.mBytes);
  }
  return most;
}

std::optional<Duration>
SpreadNetwork::timeToShare(double aShare) const
{
  const auto wanted =
    static_cast<std::size_t>(std::ceil(aShare * static_cast<double>(mProcesses.size())));
  if (wanted == 0 || mInForceAfter.size() < wanted) {
    return std::nullopt;
  }
  return mInForceAfter[wanted - 1];
}

std::size_t
SpreadNetwork::countInForce(const Digest& aDigest) const
{
  return static_cast<std::size_t>(
    std::count_if(mProcesses.begin(), mProcesses.end(), [&](const Process& aProcess) {
      return aProcess.mState.mInForce == aDigest;
    }));
}

void
SpreadNetwork::at(Timestamp aTime, std::function<void()> aRun)
{
  mQueue.push({ aTime, ++mOrder, std::move(aRun) });
}

void
SpreadNetwork::deliver(std::size_t aTo, const Event& aEvent)
{
  const std::vector<Action> actions = Step(mProcesses[aTo].mState, aEvent, mNow, mRandom);
  for (const Action& action : actions) {
    perform(aTo, action);
  }
  scheduleTick(aTo);
}

void
SpreadNetwork::perform(std::size_t aFrom, const Action& aAction)
{
  if (const auto* digest = std::get_if<SendDigest>(&aAction)) {
    sendDigest(aFrom, *digest);
  } else if (const auto* fetch = std::get_if<SendFetch>(&aAction)) {
    sendFetch(aFrom, *fetch);
  } else if (const auto* inForce = std::get_if<PutInForce>(&aAction)) {
    Process& process = mProcesses[aFrom];
    const Revision revision = inForce->mDigest.mRevision;
    // A restarted process may put the same revision in force again, but never a lower one.
    const bool repeats = revision == process.mHighest && process.mRestarted;
    mRegressions += revision > process.mHighest || repeats ? 0 : 1;
    if (inForce->mDigest == mStored && !repeats) {
      mInForceAfter.push_back(mNow - mPublishedAt);
    }
    process.mHighest = std::max(process.mHighest, revision);
    process.mRestarted = false;
  } else {
    ++mConflicts;
  }
}

void
SpreadNetwork::sendDigest(std::size_t aFrom, const SendDigest& aAction)
{
  const std::size_t to = mIndex.at(aAction.mTo.str());
  count(aFrom, to, kDigestBytes);
  if (!passes(aFrom, to)) {
    return;
  }
  const DigestReceived event{ mProcesses[aFrom].mState.mSelf,
                              aAction.mDigest,
                              aAction.mWantsReply };
  at(mNow + delay(aFrom, to), [this, to, event] { deliver(to, event); });
}

void
SpreadNetwork::sendFetch(std::size_t aFrom, const SendFetch& aAction)
{
  const std::size_t to = mIndex.at(aAction.mTo.str());
  count(aFrom, to, kFetchBytes);
  if (!passes(aFrom, to)) {
    return;
  }
  const Digest held = aAction.mHeld;
  at(mNow + delay(aFrom, to), [this, aFrom, to, held] {
    const FetchReply reply = AnswerFetch(mProcesses[to].mState, held);
    count(to, aFrom, ReplyBytes(reply));
    if (passes(to, aFrom)) {
      at(mNow + delay(to, aFrom), [this, aFrom, reply] { deliver(aFrom, reply); });
    }
  });
}

void
SpreadNetwork::scheduleTick(std::size_t aInstance)
{
  if (mConfig.mEveryProcessWatches) {
    return;
  }
  Process& process = mProcesses[aInstance];
  const Timestamp next = std::max(mNow, NextTick(process.mState));
  if (process.mScheduledTick > mNow && process.mScheduledTick <= next) {
    return;
  }
  process.mScheduledTick = next;
  at(next, [this, aInstance, next] {
    if (mProcesses[aInstance].mScheduledTick == next) {
      deliver(aInstance, Tick{});
    }
  });
}

bool
SpreadNetwork::passes(std::size_t aFrom, std::size_t aTo)
{
  const std::size_t from = regionOf(aFrom);
  const std::size_t to = regionOf(aTo);
  if (from != to && (mRegionCut[from] || mRegionCut[to])) {
    return false;
  }
  return mRandom.unit() >= mConfig.mLoss;
}

bool
SpreadNetwork::reachesStore(std::size_t aInstance) const
{
  const std::size_t region = regionOf(aInstance);
  return mStoreUp && (region == 0 || (!mRegionCut[region] && !mRegionCut[0]));
}

Duration
SpreadNetwork::delay(std::size_t aFrom, std::size_t aTo)
{
  Duration way = kWithinDataCentre;
  if (regionOf(aFrom) != regionOf(aTo)) {
    way = kBetweenRegions;
  } else if (mProcesses[aFrom].mDataCentre != mProcesses[aTo].mDataCentre) {
    way = kBetweenDataCentres;
  }
  return way + Duration(static_cast<std::int64_t>(mRandom.below(200)));
}

void
SpreadNetwork::count(std::size_t aFrom, std::size_t aTo, std::size_t aBytes)
{
  ++mTraffic.mMessages;
  mTraffic.mBytes += aBytes;
  mTraffic.mCrossRegionBytes += regionOf(aFrom) == regionOf(aTo) ? 0 : aBytes;
  mProcesses[aFrom].mBytes += aBytes;
  mProcesses[aTo].mBytes += aBytes;
}

std::size_t
SpreadNetwork::regionOf(std::size_t aInstance) const
{
  return mProcesses[aInstance].mDataCentre * mConfig.mRegions / mConfig.mDataCentres;
}

} // namespace Support
