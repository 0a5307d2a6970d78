#include "Daemon/SpreadService.h"

#include <charconv>

#include "Common/Hash.h"
#include "Membership/JoinGate.h"
#include "Observability/Log.h"
#include "Store/Revisions.h"
#include "Tables/ParseTables.h"

namespace Daemon {

namespace {

using Observability::Level;
using Observability::Log;

constexpr std::size_t kLocalPeers = 8;
// A digest is sent several times a second, so it names one cell only; heartbeats add a few.
constexpr std::size_t kCellsPerDigest = 1;
// A stop of the process waits for the watch in progress.
constexpr std::chrono::seconds kWatchTime{ 4 };
constexpr std::chrono::milliseconds kCallTimeout{ 500 };

std::uint64_t
ParseHash(const std::string& aText)
{
  std::uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value, 16);
  return value;
}

Spread::Digest
DigestOf(std::int64_t aRevision, const std::string& aHash)
{
  return { Common::Revision(aRevision), ParseHash(aHash) };
}

Spread::TextDelta
FromWire(const Rpc::Generated::TextDelta& aDelta)
{
  return { static_cast<std::uint64_t>(aDelta.keptPrefix),
           static_cast<std::uint64_t>(aDelta.keptSuffix),
           aDelta.middle };
}

Rpc::Generated::TextDelta
ToWire(const Spread::TextDelta& aDelta)
{
  Rpc::Generated::TextDelta wire;
  wire.keptPrefix = static_cast<std::int64_t>(aDelta.mPrefix);
  wire.keptSuffix = static_cast<std::int64_t>(aDelta.mSuffix);
  wire.middle = aDelta.mMiddle;
  return wire;
}

Spread::FetchReply
FromWire(const Common::InstanceId& aFrom, const Rpc::Generated::RevisionReply& aReply)
{
  Spread::FetchReply reply;
  reply.mFrom = aFrom;
  reply.mDigest = DigestOf(aReply.revision, aReply.hash);
  for (const auto& delta : aReply.chain) {
    reply.mChain.push_back({ DigestOf(delta.fromRevision, delta.fromHash),
                             DigestOf(delta.toRevision, delta.toHash),
                             FromWire(delta.routes),
                             FromWire(delta.pools) });
  }
  if (aReply.whole) {
    reply.mWhole = Spread::TableTexts{ aReply.routes, aReply.pools };
  }
  return reply;
}

Rpc::Generated::RevisionReply
ToWire(const Spread::FetchReply& aReply)
{
  Rpc::Generated::RevisionReply wire;
  wire.found = aReply.mDigest.mRevision.value() > 0;
  wire.revision = aReply.mDigest.mRevision.value();
  wire.hash = Common::HashText(aReply.mDigest.mHash);
  for (const Spread::Delta& delta : aReply.mChain) {
    Rpc::Generated::RevisionDelta each;
    each.fromRevision = delta.mFrom.mRevision.value();
    each.fromHash = Common::HashText(delta.mFrom.mHash);
    each.toRevision = delta.mTo.mRevision.value();
    each.toHash = Common::HashText(delta.mTo.mHash);
    each.routes = ToWire(delta.mRoutes);
    each.pools = ToWire(delta.mPools);
    wire.chain.push_back(std::move(each));
  }
  if (aReply.mWhole) {
    wire.whole = true;
    wire.routes = aReply.mWhole->mRoutes;
    wire.pools = aReply.mWhole->mPools;
  }
  return wire;
}

} // namespace

SpreadService::SpreadService(Runtime& aRuntime, PeerBook& aPeers, CellBook& aCells)
  : mRuntime(aRuntime)
  , mPeers(aPeers)
  , mCells(aCells)
{
  mState.mSelf = aRuntime.self();
  mState.mTiming.mExchangeEvery = aRuntime.mSettings.mTimes.mGossip;
  for (const Config::Peer& peer : aRuntime.mSettings.mPeers) {
    if (peer.mName != aRuntime.self()) {
      mState.mLocalPeers.push_back(peer.mName);
    }
  }
}

SpreadService::~SpreadService()
{
  stop();
}

void
SpreadService::start()
{
  handle(Spread::Started{});
  mTicker = std::make_unique<Loop>(mRuntime.mClock, [this] { return step(); });
  mStoreReader = std::make_unique<Loop>(mRuntime.mClock, [this] { return readStore(); });
}

void
SpreadService::stop()
{
  for (const auto& loop : { mTicker.get(), mStoreReader.get() }) {
    if (loop != nullptr) {
      loop->stop();
    }
  }
}

void
SpreadService::setRelay(bool aRelay)
{
  if (mRelay.exchange(aRelay) == aRelay) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mState.mRelay = aRelay;
  }
  if (mStoreReader) {
    mStoreReader->wake();
  }
}

void
SpreadService::noteStoreRevision(std::int64_t aRevision,
                                 const std::string& aRoutes,
                                 const std::string& aPools)
{
  Spread::StoreRevision event;
  event.mTexts = { aRoutes, aPools };
  event.mDigest = { Common::Revision(aRevision), Spread::HashTexts(event.mTexts) };
  handle(event);
}

void
SpreadService::noteDigest(const std::string& aFrom,
                          std::int64_t aRevision,
                          const std::string& aHash)
{
  if (aRevision > 0) {
    handle(Spread::DigestReceived{ Common::InstanceId(aFrom), DigestOf(aRevision, aHash), false });
  }
}

void
SpreadService::noteMessage(const Rpc::Generated::GossipMessage& aMessage)
{
  mPeers.note({ aMessage.instance,
                aMessage.address,
                aMessage.dataCentre,
                aMessage.role,
                aMessage.revision,
                mRuntime.mClock.now() });
  for (const auto& cell : aMessage.cells) {
    mCells.note(cell);
  }
}

Rpc::Generated::GossipMessage
SpreadService::ownMessage()
{
  Rpc::Generated::GossipMessage message;
  message.instance = mRuntime.self().str();
  message.dataCentre = mRuntime.dataCentre();
  message.address = mRuntime.mRpcAddress;
  message.role = mRuntime.role();
  message.incarnation = mRuntime.mIncarnation.value();
  message.cells = mCells.news(kCellsPerDigest, mRuntime.random());
  const std::lock_guard<std::mutex> lock(mMutex);
  message.revision = mState.mHeld.mRevision.value();
  message.revisionHash = Common::HashText(mState.mHeld.mHash);
  return message;
}

Rpc::Generated::GossipMessage
SpreadService::answerGossip(const Rpc::Generated::GossipMessage& aMessage)
{
  noteMessage(aMessage);
  // The reply to the call carries the digest back, so that no second call is needed for it.
  noteDigest(aMessage.instance, aMessage.revision, aMessage.revisionHash);
  Rpc::Generated::GossipMessage answer = ownMessage();
  if (aMessage.revision == 0) {
    // The sender is starting and knows no cell yet.
    answer.cells = mCells.all();
  }
  return answer;
}

Rpc::Generated::RevisionReply
SpreadService::answerFetch(std::int64_t aHeldRevision, const std::string& aHash)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return ToWire(Spread::AnswerFetch(mState, DigestOf(aHeldRevision, aHash)));
}

void
SpreadService::handle(const Spread::Event& aEvent)
{
  std::vector<Spread::Action> actions;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    actions = Spread::Step(mState, aEvent, mRuntime.mClock.now(), mRuntime.random());
  }
  for (const Spread::Action& action : actions) {
    perform(action);
  }
}

void
SpreadService::perform(const Spread::Action& aAction)
{
  if (const auto* digest = std::get_if<Spread::SendDigest>(&aAction)) {
    mRuntime.mBackground.run([this, send = *digest] { sendDigest(send); });
  } else if (const auto* fetch = std::get_if<Spread::SendFetch>(&aAction)) {
    mRuntime.mBackground.run([this, send = *fetch] { sendFetch(send); });
  } else if (const auto* adopt = std::get_if<Spread::PutInForce>(&aAction)) {
    putInForce(adopt->mDigest);
  } else if (const auto* conflict = std::get_if<Spread::ReportConflict>(&aAction)) {
    mRuntime.mCounters.counter("tables_conflicts").add();
    Log(Level::Error,
        "tables",
        "a peer has other content under the revision in force",
        { { "peer", conflict->mFrom.str() },
          { "revision", std::to_string(conflict->mOffered.mRevision.value()) } });
  }
}

void
SpreadService::sendDigest(const Spread::SendDigest& aSend)
{
  const auto address = mPeers.address(aSend.mTo.str());
  if (!address) {
    return;
  }
  const auto reply = mRuntime.mControl.gossip(*address, ownMessage(), kCallTimeout);
  if (reply) {
    noteMessage(*reply);
    noteDigest(reply->instance, reply->revision, reply->revisionHash);
  }
}

void
SpreadService::sendFetch(const Spread::SendFetch& aSend)
{
  const auto address = mPeers.address(aSend.mTo.str());
  if (address) {
    const auto reply = mRuntime.mControl.fetchRevision(
      *address, aSend.mHeld.mRevision.value(), Common::HashText(aSend.mHeld.mHash), kCallTimeout);
    if (reply && reply->found) {
      handle(FromWire(aSend.mTo, *reply));
      return;
    }
  }
  handle(Spread::FetchFailed{ aSend.mTo });
}

void
SpreadService::putInForce(const Spread::Digest& aDigest)
{
  auto tables = std::make_shared<TablesInForce>();
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mState.mHeld != aDigest) {
      return;
    }
    tables->mDigest = aDigest;
    tables->mRoutesText = mState.mTexts.mRoutes;
    tables->mPoolsText = mState.mTexts.mPools;
  }
  Tables::TableNames names;
  auto parsed = Tables::ParseTables(tables->mRoutesText, tables->mPoolsText, names);
  if (!parsed) {
    // Entries check a revision before they publish it, so this takes a newer or damaged peer.
    mRuntime.mCounters.counter("tables_unreadable").add();
    Log(Level::Error,
        "tables",
        "a revision cannot be read",
        { { "findings", parsed.error().text() } });
    return;
  }
  tables->mTables = std::move(*parsed);
  tables->mTables.mRevision = aDigest.mRevision;
  tables->mIndex = Tables::BuildRouteIndex(tables->mTables);
  const auto current = mRuntime.mTables.current();
  if (current && current->mDigest.mRevision >= aDigest.mRevision) {
    return;
  }
  mRuntime.mTables.set(std::move(tables));
  mRuntime.mCounters.counter("tables_revision").set(aDigest.mRevision.value());
  Log(Level::Info,
      "tables",
      "revision in force",
      { { "revision", std::to_string(aDigest.mRevision.value()) } });
}

void
SpreadService::refreshPeers()
{
  const auto sample = mPeers.sample(mRuntime.dataCentre(), kLocalPeers, mRuntime.random());
  std::vector<Common::InstanceId> owners;
  for (const auto& cell : mCells.all()) {
    if (cell.ownerInstance != mRuntime.self().str()) {
      mPeers.note(
        { cell.ownerInstance, cell.ownerAddress, cell.cell, "agent", 0, mRuntime.mClock.now() });
      owners.emplace_back(cell.ownerInstance);
    }
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mState.mRemoteRelays = std::move(owners);
  // A starting process asks the peers of its settings, of which it needs a majority.
  if (!mState.mStartup && !sample.empty()) {
    mState.mLocalPeers.clear();
    for (const PeerInfo& peer : sample) {
      mState.mLocalPeers.emplace_back(peer.mInstance);
    }
  }
}

Common::Duration
SpreadService::step()
{
  constexpr Common::Duration kLongest = std::chrono::seconds(1);
  constexpr Common::Duration kShortest = std::chrono::milliseconds(20);
  refreshPeers();
  handle(Spread::Tick{});
  const std::lock_guard<std::mutex> lock(mMutex);
  return std::clamp(Spread::NextTick(mState) - mRuntime.mClock.now(), kShortest, kLongest);
}

Common::Duration
SpreadService::readStore()
{
  constexpr std::chrono::seconds kIdle{ 5 };
  const bool relay = mRelay.load();
  if (!relay && mRuntime.mTables.current()) {
    return kIdle;
  }
  if (relay) {
    // A watch after version 0 reports the present state at once.
    const auto change = mRuntime.mStore->watch(Store::kCurrentKey, mWatched, kWatchTime);
    if (!change) {
      mWatched = Store::Version();
      return Membership::BackOff(++mStoreFailures, mRuntime.random());
    }
    mWatched = change->mUpTo;
    if (change->mChanged.empty()) {
      return Common::Duration::zero();
    }
  }
  const auto current = Store::ReadCurrent(*mRuntime.mStore);
  if (!current) {
    mWatched = Store::Version();
    return Membership::BackOff(++mStoreFailures, mRuntime.random());
  }
  mStoreFailures = 0;
  if (!*current) {
    return std::chrono::seconds(1);
  }
  const auto revision = Store::ReadRevision(*mRuntime.mStore, (*current)->mInfo.mRevision);
  if (!revision || !*revision) {
    mWatched = Store::Version();
    return Membership::BackOff(++mStoreFailures, mRuntime.random());
  }
  noteStoreRevision(
    (*revision)->mInfo.mRevision.value(), (*revision)->mTexts.mRoutes, (*revision)->mTexts.mPools);
  return relay ? Common::Duration::zero() : kIdle;
}

} // namespace Daemon
