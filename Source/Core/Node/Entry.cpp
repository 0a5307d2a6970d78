#include "Node/Entry.h"

#include "Node/ClientLimits.h"
#include "Observability/Log.h"

namespace Node {

namespace {

using Observability::Level;
using Observability::Log;

/// Interval between checks of the readiness and of the progress of a stop.
constexpr std::chrono::milliseconds kCheckInterval{ 100 };
/// The process exits this long before the end of the grace period, when it would be killed.
constexpr std::chrono::milliseconds kExitMargin{ 700 };
/// The last answers begin this long before the exit. The coordinator resigns then even without a
/// successor.
constexpr std::chrono::milliseconds kLastAnswersTime{ 500 };
/// Part of kLastAnswersTime in which requests that were read before may still succeed.
constexpr std::chrono::milliseconds kOpenRequestTime{ 200 };
/// Last part of kLastAnswersTime, in which answers are sent and nothing is read.
constexpr std::chrono::milliseconds kFlushTime{ 100 };
/// Interval between checks of the progress of the last answers.
constexpr std::chrono::milliseconds kLastAnswersCheckInterval{ 20 };
/// Time until callers stop connecting to a stopping entry: the platform probes readiness each
/// second and routes no new connections after two failures.
constexpr std::chrono::milliseconds kDrainDelay{ 2'500 };
/// An unanswered submission is held as parsed job, record, write to the store and its call.
constexpr std::uint64_t kSubmissionFactor = 6;

Net::HttpLimits
MakeCallerLimits(const Settings& aSettings, const CallerLimits& aTables)
{
  const ConnectionShares shares = ShareConnections(aSettings);
  Net::HttpLimits limits = MakeHttpLimits(aSettings, shares.mClients);
  limits.mPending = shares.mUnanswered;
  limits.mHeaderBytes = aTables.mHeaderBytes;
  limits.mBodyBytes = aTables.mBodyBytes;
  limits.mRequestTime = aTables.mRequestTime;
  limits.mReceiveGrace = aTables.mRequestTime;
  limits.mIdleTime = aTables.mIdleTime;
  limits.mHeldFactor = kSubmissionFactor;
  return limits;
}

} // namespace

Entry::Entry(Context& aContext)
  : mContext(aContext)
  , mLink(aContext)
  , mJobApi(aContext, mLink)
  , mElection(aContext,
              aContext.mSettings.mPeerAddress,
              { [this](Common::Epoch aTerm, bool aResumed) {
                 aResumed ? mCoordinator.resume() : mCoordinator.startTerm(aTerm);
               },
                [this](std::string_view aReason) { mCoordinator.pause(aReason); },
                [this] { mCoordinator.endTerm(); } })
  , mCoordinator(aContext, mElection)
  , mCallerServer(
      aContext.mIo,
      MakeCallerLimits(aContext.mSettings, {}),
      [this](Net::HttpRequest aRequest, Net::Responder aRespond) {
        mJobApi.handleRequest(mContext.mFormats.mParseJobRequest(std::move(aRequest)),
                              [this, respond = std::move(aRespond)](const JobResponse& aResponse) {
                                respond(mContext.mFormats.mFormatJobResponse(aResponse));
                              });
      },
      ShareBudget(aContext.mCounters, aContext.mReceiveBudget, "callers"))
  , mReadinessServer(
      aContext.mIo,
      MakeHttpLimits(aContext.mSettings, ShareConnections(aContext.mSettings).mReadiness),
      [this](const Net::HttpRequest& aRequest, const Net::Responder& aRespond) {
        const bool isProbe = mContext.mFormats.mIsReadinessProbe(aRequest);
        aRespond({ isProbe ? (isReady() ? 200U : 503U) : 404U, "{}", {} });
      },
      ShareBudget(aContext.mCounters, aContext.mReceiveBudget, "readiness"))
  , mPeerServer(aContext.mIo,
                aContext.mTiming.mPeerTimeout,
                [this](const std::shared_ptr<Net::Link>& aLink) { mCoordinator.acceptLink(aLink); },
                { aContext.mReceiveBudget,
                  ShareConnections(aContext.mSettings).mPeers,
                  0,
                  [report = ReportRefusals(aContext.mCounters, "peers")] {
                    report(Net::RefusalCause::Connections);
                  } })
  , mTablesWatcher(
      aContext,
      aContext.mFormats.mTablesKey,
      aContext.mTiming.mWatchWait,
      { [this](const std::vector<Store::Entry>& aEntries, Store::Version) {
         handleTablesEntries(aEntries);
       },
        [this](const Store::WatchResult& aResult) { handleTablesEntries(aResult.mChanged); } })
  , mEvacuationWatcher(aContext,
                       "entry",
                       aContext.mTiming.mWatchWait,
                       [this] {
                         mCoordinator.setEvacuated(mEvacuationWatcher.evacuated(),
                                                   mEvacuationWatcher.version());
                       })
  , mCoordinatorFinder(aContext,
                       aContext.mTiming.mWatchWait,
                       [this](const auto& aRecord, Store::Version aVersion) {
                         handleCoordinatorRecord(aRecord, aVersion);
                       })
  , mCheckTimer(aContext.mIo)
{
}

tl::expected<void, std::string>
Entry::start()
{
  for (const auto& listening : { mPeerServer.listen(mContext.mSettings.mPeerAddress),
                                 mReadinessServer.listen(mContext.mSettings.mReadinessAddress),
                                 mCallerServer.listen(mContext.mSettings.mCallerAddress) }) {
    if (!listening) {
      return listening;
    }
  }
  mTablesWatcher.start();
  mEvacuationWatcher.start();
  mCoordinatorFinder.start();
  scheduleCheck();
  return {};
}

bool
Entry::isReady() const
{
  return !mStopping && mTables != nullptr && mTablesWatcher.isConnected();
}

void
Entry::handleTablesEntries(const std::vector<Store::Entry>& aEntries)
{
  for (const Store::Entry& entry : aEntries) {
    if (entry.mKey != mContext.mFormats.mTablesKey) {
      continue;
    }
    auto tables = mContext.mFormats.mParseTables(entry.mValue);
    if (!tables) {
      Log(Level::Error,
          "entry",
          "cannot parse the tables; the previous ones stay in force",
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
    // The store has just answered. Waiting for the next check would reject the first callers.
    mJobApi.setStoreConnected(true);
    mCoordinator.setTables(*mTables);
    mCallerServer.changeLimits(MakeCallerLimits(mContext.mSettings, mTables->mLimits));
  }
}

void
Entry::handleCoordinatorRecord(const std::optional<Wire::CoordinatorRecord>& aRecord,
                               Store::Version aVersion)
{
  mElection.observeCoordinator(aRecord, aVersion, mCoordinatorFinder.watcher().roundTrip());
  mLink.setAddress(aRecord ? aRecord->address : std::string());
}

void
Entry::scheduleCheck()
{
  mCheckTimer.expires_after(mReadingEnd ? kLastAnswersCheckInterval : kCheckInterval);
  mCheckTimer.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    mJobApi.setStoreConnected(mTablesWatcher.isConnected());
    const bool ready = isReady();
    if (ready != mLoggedReady) {
      mLoggedReady = ready;
      Log(Level::Info,
          "entry",
          ready ? "ready" : "not ready",
          { { "tables", mTables ? std::to_string(mTables->mRevision.value()) : "none" },
            { "store", mTablesWatcher.isConnected() ? "answers" : "silent" },
            { "stopping", mStopping ? "yes" : "no" } });
    }
    if (mStopping) {
      finishStopIfDone();
    }
    scheduleCheck();
  });
}

void
Entry::countConnections()
{
  const auto set = [this](const char* aListener, std::size_t aConnections) {
    SetConnections(mContext.mCounters, aListener, aConnections);
  };
  set("callers", mCallerServer.connections());
  set("readiness", mReadinessServer.connections());
  set("peers", mPeerServer.links());
}

void
Entry::stop(std::function<void()> aDone)
{
  mStopping = true;
  mStopRequestTime = mContext.now();
  mOnStopped = std::move(aDone);
  mCallerServer.announceClose();
  mLink.setCandidate(false);
}

void
Entry::hurryStop()
{
  if (mOnStopped && !mReadingEnd) {
    beginLastAnswers();
    finishStopIfDone();
  }
}

void
Entry::handOverIfPossible()
{
  // Without a successor the process stays coordinator for as long as it can.
  if (mHandoverStarted || (!mCoordinator.hasSuccessor() && !mReadingEnd)) {
    return;
  }
  mHandoverStarted = true;
  mCoordinator.flushAll([this] { mElection.resign([this] { mHandedOver = true; }); });
}

void
Entry::beginLastAnswers()
{
  const Timestamp now = mContext.now();
  mReadingEnd = now + kLastAnswersTime - kFlushTime;
  mJobApi.rejectNewRequests(now + kOpenRequestTime);
  // Connections that wait to be accepted may have brought their requests.
  mCallerServer.closeIdle();
  mCallerServer.stopListening();
}

void
Entry::finishStopIfDone()
{
  const Timestamp now = mContext.now();
  const Duration waited = now - mStopRequestTime;
  if (!mReadingEnd &&
      waited >= mContext.mSettings.mShutdownGrace - kExitMargin - kLastAnswersTime) {
    beginLastAnswers();
  }
  handOverIfPossible();
  const bool closesIdle = mReadingEnd || waited >= kDrainDelay;
  if (closesIdle) {
    mCallerServer.closeIdle();
  }
  if (mReadingEnd && now >= *mReadingEnd) {
    mCallerServer.stopReading();
    // Counted from here, so that also a process that was held up sends its answers.
    mExitTime = mExitTime.value_or(now + kFlushTime);
  }
  // Waiting for the handover keeps the coordinator running until its last calls are answered.
  const bool idle = closesIdle && mHandedOver && mCallerServer.connections() == 0;
  if (mOnStopped && (idle || (mExitTime && now >= *mExitTime))) {
    mCallerServer.stopListening();
    const auto stopped = std::move(mOnStopped);
    mOnStopped = nullptr;
    stopped();
  }
}

} // namespace Node
