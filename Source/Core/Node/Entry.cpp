#include "Node/Entry.h"

#include "Observability/Log.h"

namespace Node {

namespace {

using Observability::Level;
using Observability::Log;

constexpr std::chrono::milliseconds kCheck{ 100 };
/// The process ends by itself this long before it would be killed.
constexpr std::chrono::milliseconds kGraceMargin{ 700 };
/// The coordinator's duty is given up this long before that also if nobody is there to take it.
constexpr std::chrono::milliseconds kHandOverMargin{ 1'200 };
/// The platform asks for readiness each second and stops new connections after two misses.
constexpr std::chrono::milliseconds kLeaveRotation{ 2'500 };

} // namespace

Entry::Entry(Context& aContext)
  : mContext(aContext)
  , mLink(aContext)
  , mJobApi(aContext, mLink)
  , mElection(aContext,
              aContext.mSettings.mPeers,
              { [this](Common::Epoch aTerm, bool aResumed) {
                 aResumed ? mCoordinator.resume() : mCoordinator.begin(aTerm);
               },
                [this] { mCoordinator.pause(); },
                [this] { mCoordinator.end(); } })
  , mCoordinator(aContext, mElection)
  , mCallers(aContext.mIo,
             {},
             [this](Net::HttpRequest aRequest, Net::Responder aRespond) {
               mJobApi.handleRequest(
                 mContext.mFormats.mParseJobRequest(std::move(aRequest)),
                 [this, respond = std::move(aRespond)](const JobResponse& aAnswer) {
                   respond(mContext.mFormats.mFormatJobResponse(aAnswer));
                 });
             })
  , mReadiness(aContext.mIo,
               {},
               [this](const Net::HttpRequest& aRequest, const Net::Responder& aRespond) {
                 const bool asked = mContext.mFormats.mIsReadinessProbe(aRequest);
                 aRespond({ asked ? (isReady() ? 200U : 503U) : 404U, "{}", {} });
               })
  , mPeers(aContext.mIo,
           aContext.mTimes.mPeerSilence,
           [this](const std::shared_ptr<Net::Link>& aLink) { mCoordinator.takeLink(aLink); })
  , mTablesWatcher(
      aContext,
      aContext.mFormats.mTablesKey,
      aContext.mTimes.mWatch,
      { [this](const std::vector<Store::Entry>& aEntries, Store::Version) { takeTables(aEntries); },
        [this](const Store::WatchResult& aResult) { takeTables(aResult.mChanged); } })
  , mFinder(aContext,
            aContext.mTimes.mWatch,
            [this](const auto& aRecord, Store::Version aAt) { takeCoordinator(aRecord, aAt); })
  , mCheckTimer(aContext.mIo)
{
}

tl::expected<void, std::string>
Entry::start()
{
  for (const auto& listening : { mPeers.listen(mContext.mSettings.mPeers),
                                 mReadiness.listen(mContext.mSettings.mReadiness),
                                 mCallers.listen(mContext.mSettings.mCallers) }) {
    if (!listening) {
      return listening;
    }
  }
  mTablesWatcher.start();
  mFinder.start();
  everyCheck();
  return {};
}

bool
Entry::isReady() const
{
  return !mStopping && mTables != nullptr && mTablesWatcher.isConnected();
}

void
Entry::takeTables(const std::vector<Store::Entry>& aEntries)
{
  for (const Store::Entry& entry : aEntries) {
    if (entry.mKey != mContext.mFormats.mTablesKey) {
      continue;
    }
    auto tables = mContext.mFormats.mParseTables(entry.mValue);
    if (!tables) {
      Log(Level::Error,
          "entry",
          "the tables cannot be read; the last ones stay in force",
          { { "version", std::to_string(entry.mVersion.value()) }, { "reason", tables.error() } });
      continue;
    }
    if (mTables && tables->mRevision <= mTables->mRevision) {
      continue;
    }
    Log(Level::Info,
        "entry",
        "tables in force",
        { { "revision", std::to_string(tables->mRevision.value()) },
          { "version", std::to_string(entry.mVersion.value()) },
          { "routes", std::to_string(tables->mRoutes.size()) } });
    mTables = std::make_shared<const QueueTables>(std::move(*tables));
    mJobApi.setTables(mTables);
    // The store has just answered; waiting for the next check would refuse the first callers.
    mJobApi.setStoreConnected(true);
    mCoordinator.takeTables(*mTables);
    Net::HttpLimits limits;
    limits.mHeaderBytes = mTables->mLimits.mHeaderBytes;
    limits.mBodyBytes = mTables->mLimits.mBodyBytes;
    limits.mRequestTime = mTables->mLimits.mRequestTime;
    limits.mIdleTime = mTables->mLimits.mIdleTime;
    mCallers.changeLimits(limits);
  }
}

void
Entry::takeCoordinator(const std::optional<Wire::CoordinatorRecord>& aRecord, Store::Version aAt)
{
  mElection.observe(aRecord, aAt, mFinder.watcher().roundTrip());
  mLink.setAddress(aRecord ? aRecord->address : std::string());
}

void
Entry::everyCheck()
{
  mCheckTimer.expires_after(kCheck);
  mCheckTimer.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    mJobApi.setStoreConnected(mTablesWatcher.isConnected());
    const bool ready = isReady();
    if (ready != mReadyLogged) {
      mReadyLogged = ready;
      Log(Level::Info,
          "entry",
          ready ? "ready" : "not ready",
          { { "tables", mTables ? std::to_string(mTables->mRevision.value()) : "none" },
            { "store", mTablesWatcher.isConnected() ? "answers" : "silent" },
            { "stopping", mStopping ? "yes" : "no" } });
    }
    if (mStopping) {
      checkStopped();
    }
    everyCheck();
  });
}

void
Entry::stop(std::function<void()> aDone)
{
  mStopping = true;
  mStopAsked = mContext.now();
  mStopped = std::move(aDone);
  mCallers.announceClose();
  mLink.setCandidate(false);
}

void
Entry::handOver()
{
  // Without a successor the duty stays here as long as the process does.
  const bool late = mContext.now() - mStopAsked >= mContext.mSettings.mGrace - kHandOverMargin;
  if (mHandedOver || (!mCoordinator.hasSuccessor() && !late)) {
    return;
  }
  mHandedOver = true;
  mCoordinator.flushAll([this] { mElection.resign([] {}); });
}

void
Entry::checkStopped()
{
  const Duration waited = mContext.now() - mStopAsked;
  handOver();
  if (waited >= kLeaveRotation) {
    mCallers.closeIdle();
  }
  // A moment after the duty was handed over, so that its last calls are answered.
  const bool idle = waited >= kLeaveRotation && mHandedOver && mCallers.connections() == 0;
  if (mStopped && (idle || waited >= mContext.mSettings.mGrace - kGraceMargin)) {
    const auto stopped = std::move(mStopped);
    mStopped = nullptr;
    stopped();
  }
}

} // namespace Node
