#include "Node/Coordinator.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/post.hpp>

#include "Node/StoreKeys.h"
#include "Node/WireConversion.h"
#include "Observability/Log.h"
#include "Scheduling/Evacuation.h"

namespace Node {

namespace {

using Observability::Level;
using Observability::Log;

/// Interval of the periodic checks for expired leases, stalled runs, due times and throttling.
constexpr std::chrono::milliseconds kTickInterval{ 100 };
/// Pause after a placement round, as a multiple of the time that the round took. It leaves most of
/// the processor to leases, reports and callers while more rounds are due than there is time for.
constexpr int kPlacementPauseFactor = 3;
/// Interval of the log entries about the coordinator's load.
constexpr std::chrono::seconds kLoadInterval{ 2 };
/// Share of the link for orders, which carry the payloads of jobs. The rest is for the renewal of
/// the coordinator's lease, reports, records and callers.
constexpr double kOrderShareOfLink = 0.5;
/// Orders may use at once what the link's share for them carries in this time, which also makes up
/// for late ticks.
constexpr std::chrono::milliseconds kOrderBurst{ 250 };
/// Size of a start order without its payload.
constexpr std::int64_t kStartOrderBytes = 200;
/// Run numbers reserved for each task in one term, so that those of different terms never collide.
constexpr std::int64_t kRunsPerTerm = 1'000;

} // namespace

Coordinator::Coordinator(Context& aContext, Election& aElection)
  : mContext(aContext)
  , mElection(aElection)
  , mOrderShare(
      MakeLinkShare(aContext.mSettings.mLinkSpeed, kOrderShareOfLink, kOrderBurst, aContext.now()))
  , mPlacementTimer(aContext.mIo)
  , mTickTimer(aContext.mIo)
  , mFlushTimer(aContext.mIo)
  , mReadRetryTimer(aContext.mIo)
{
}

Coordinator::~Coordinator()
{
  for (auto& [link, peer] : mPeers) {
    peer.mLink->close();
  }
}

Duration
Coordinator::maxLeaseExtension() const
{
  return std::min(mContext.mTiming.mWorkerLease, mContext.mSettings.mMaxWorkerLease);
}

void
Coordinator::startTerm(Common::Epoch aTerm)
{
  endTerm();
  mTerm = aTerm;
  mPhase = Phase::Recovering;
  mTermStart = mContext.now();
  mLoggedUnknownEvacuations = false;
  mState = Scheduling::SchedulerState{};
  // After a stop order the worker needs time to end the task, and the lists that the coordinator
  // has are up to two report intervals old.
  mState.mPolicy.mStopSettleTime = mContext.mSettings.mMaxTaskStopTime +
                                   mContext.mTiming.mReportInterval * 2 +
                                   mContext.mTiming.mMaxMessageDelay;
  mState.mPolicy.mTrialTime = mContext.mTiming.mCrashTrialTime;
  mState.mPolicy.mRemoteFactor = mContext.mSettings.mRemoteFactor;
  mState.mRunBase = Scheduling::RunNumber{ (aTerm.value() - 1) * kRunsPerTerm };
  if (mTables) {
    setTables(*mTables);
  }
  if (mEvacuated) {
    Scheduling::SetEvacuated(mState, mEvacuated->first);
  }
  watchPredecessor();
  readRecordsVersion();
  scheduleTick();
}

void
Coordinator::resume()
{
  if (mPhase != Phase::Paused) {
    startTerm(mElection.term());
    return;
  }
  mPhase = Phase::Working;
  Log(Level::Info,
      "coordinator",
      "resumed in the same term",
      { { "term", std::to_string(mTerm.value()) } });
  if (mJobWatcher) {
    mJobWatcher->refresh();
  }
  scheduleTick();
  schedulePlacement();
  scheduleFlush();
}

void
Coordinator::pause(std::string_view aReason)
{
  ++mCallGeneration;
  mFlushInProgress = false;
  // The result of a write in progress will be dropped, so its records must be written again.
  markFlushJobsDirty();
  mTickTimer.cancel();
  mPlacementTimer.cancel();
  mPlacementPending = false;
  mFlushTimer.cancel();
  mFlushScheduled = false;
  mUrgentFlushScheduled = false;
  if (mPhase == Phase::Working) {
    mPhase = Phase::Paused;
  } else if (mPhase == Phase::Recovering) {
    mPhase = Phase::Idle;
  }
  Log(Level::Warning,
      "coordinator",
      "paused",
      { { "term", std::to_string(mTerm.value()) }, { "reason", std::string(aReason) } });
}

void
Coordinator::endTerm()
{
  ++mCallGeneration;
  mPhase = Phase::Idle;
  mTickTimer.cancel();
  mPlacementTimer.cancel();
  mPlacementPending = false;
  mFlushTimer.cancel();
  mReadRetryTimer.cancel();
  mJobWatcher.reset();
  mPredecessorWatcher.reset();
  mStampOutdated = false;
  mRecoveredProgress.clear();
  mWorkerCursor.clear();
  mProgressCursor.clear();
  mCancelledBeforeSubmission.clear();
  mRemovedJobs.clear();
  mFences.clear();
  mHeldSubmissions.clear();
  mEarlyReports.clear();
  mExtendedInRecovery.clear();
  mHeldResults.clear();
  mFlushJobs.clear();
  mFlushInProgress = false;
  mFlushScheduled = false;
  mUrgentFlushScheduled = false;
  mState = Scheduling::SchedulerState{};
  // Closed connections make the peers look for the new coordinator.
  const auto peers = std::move(mPeers);
  mPeers.clear();
  for (const auto& [link, peer] : peers) {
    peer.mLink->close();
  }
}

void
Coordinator::setTables(const QueueTables& aTables)
{
  mTables = aTables;
  for (const QueueRoute& route : aTables.mRoutes) {
    // Removed queues keep their entries, because their accepted jobs still run.
    mState.mQueues[route.mQueue.mName] = route.mQueue;
  }
  schedulePlacement();
}

void
Coordinator::setEvacuated(const Scheduling::EvacuatedDataCentres& aDataCentres,
                          Store::Version aVersion)
{
  mEvacuated = { aDataCentres, aVersion };
  Scheduling::SetEvacuated(mState, aDataCentres);
  schedulePlacement();
}

void
Coordinator::acceptLink(const std::shared_ptr<Net::Link>& aLink)
{
  if (mPhase == Phase::Idle) {
    aLink->close();
    return;
  }
  mPeers[aLink.get()].mLink = aLink;
  aLink->start(
    { [this, link = aLink.get()](const std::string& aBytes) { handleMessage(link, aBytes); },
      [this, link = aLink.get()] { dropPeer(link); } });
}

void
Coordinator::dropPeer(Net::Link* aLink)
{
  const auto found = mPeers.find(aLink);
  if (found == mPeers.end()) {
    return;
  }
  const Common::InstanceId agent = found->second.mAgent;
  const auto link = found->second.mLink;
  mPeers.erase(found);
  if (!agent.empty() && findPeer(agent) == nullptr) {
    Log(Level::Warning, "coordinator", "agent disconnected", { { "agent", agent.str() } });
    Scheduling::MarkAgentDisconnected(mState, agent);
    scheduleFlush();
  }
}

Coordinator::Peer*
Coordinator::findPeer(const Common::InstanceId& aAgent)
{
  for (auto& [link, peer] : mPeers) {
    if (peer.mAgent == aAgent) {
      return &peer;
    }
  }
  return nullptr;
}

void
Coordinator::handleMessage(Net::Link* aLink, const std::string& aBytes)
{
  const auto found = mPeers.find(aLink);
  auto message = Wire::Decode<Wire::Message>(aBytes);
  if (found == mPeers.end()) {
    return;
  }
  if (!message) {
    Log(Level::Warning, "coordinator", "dropped a message that cannot be decoded");
    return;
  }
  if (message->__isset.report) {
    countBytes("reports", aLink->receivedBytes());
    handleReport(found->second, std::move(message->report));
  } else if (message->__isset.statusQuery) {
    countBytes("status", aBytes.size());
    answerStatusQuery(found->second, message->statusQuery);
  } else if (message->__isset.relayedWrite) {
    countBytes("relayed", aBytes.size());
    relayWrite(aLink, message->relayedWrite);
  }
}

void
Coordinator::relayWrite(Net::Link* aLink, const Wire::RelayedWrite& aWrite)
{
  const auto answer = [this, aLink, number = aWrite.number](
                        const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
    Log(Level::Info,
        "coordinator",
        "relayed a write",
        { { "number", std::to_string(number) },
          { "result",
            aResult ? "written" : std::to_string(static_cast<int>(aResult.error().mError)) } });
    const auto peer = mPeers.find(aLink);
    if (peer != mPeers.end()) {
      Wire::Message message;
      message.__set_relayedResult(ToWire(number, aResult));
      send(*peer->second.mLink, "relayed", message);
    }
  };
  // Entries may only write submissions, cancellations and fences.
  const bool allowed = std::all_of(aWrite.puts.begin(), aWrite.puts.end(), [](const auto& aPut) {
    return ParseJobKey(aPut.key).has_value();
  });
  // If the store does not answer this process either, fail at once so that the caller need not
  // wait.
  if (!allowed || !mJobWatcher || !mJobWatcher->isConnected()) {
    answer(tl::unexpected(Store::WriteFailure{ Store::StoreError::Unavailable, {} }));
    return;
  }
  mContext.mStore.write(FromWire(aWrite), mContext.mTiming.mStoreCallTimeout, answer);
}

void
Coordinator::handleReport(Peer& aPeer, Wire::Report aReport)
{
  const bool isNew = aPeer.mAgent.empty();
  if (isNew) {
    aPeer.mAgent = Common::InstanceId(aReport.instance);
    // The agent's older connections are stale.
    std::vector<Net::Link*> staleLinks;
    for (const auto& [link, peer] : mPeers) {
      if (peer.mAgent == aPeer.mAgent && link != aPeer.mLink.get()) {
        staleLinks.push_back(link);
      }
    }
    for (Net::Link* link : staleLinks) {
      const auto staleLink = mPeers.at(link).mLink;
      mPeers.erase(link);
      staleLink->close();
    }
    Log(Level::Info, "coordinator", "agent connected", { { "agent", aReport.instance } });
  }
  if (mPhase == Phase::Paused || !mElection.mayAct()) {
    if (aReport.term == mTerm.value()) {
      std::move(aReport.results.begin(), aReport.results.end(), std::back_inserter(mHeldResults));
    }
    return;
  }
  aPeer.mEchoMicros = aReport.agentMicros;
  aPeer.mDataCentre = Common::DataCentreId(aReport.dataCentre);
  aPeer.mKeepsPayloads = aReport.keepsPayloads;
  const Timestamp now = mContext.now();
  if (mPhase == Phase::Recovering) {
    aPeer.mOrdersRepeated = true;
    mEarlyReports[aPeer.mAgent] = { std::move(aReport), now };
    mExtendedInRecovery[aPeer.mAgent] = now;
    sendDirective(aPeer, {});
    return;
  }
  const std::uint64_t changes = mState.mPlaceableChanges;
  const bool agentJustStarted = aReport.workers.empty() && aReport.endedLives.empty();
  applyOrderResults(std::exchange(mHeldResults, {}));
  applyReport(aReport, now);
  const bool isFirst = !std::exchange(aPeer.mOrdersRepeated, true);
  sendDirective(aPeer, {}, isFirst && agentJustStarted);
  if (isFirst) {
    resendOrders(aPeer);
  }
  // Most reports only say how far the tasks are.
  if (mState.mPlaceableChanges != changes || !aReport.advice.empty()) {
    schedulePlacement();
  }
  scheduleFlush();
}

Timestamp
Coordinator::ownLeaseEnd(Timestamp aReceivedAt) const
{
  const double drift = 1.0 + mContext.mTiming.mClockDrift;
  return aReceivedAt + std::chrono::duration_cast<Duration>(maxLeaseExtension() * drift);
}

void
Coordinator::applyReport(const Wire::Report& aReport, Timestamp aReceivedAt)
{
  std::vector<Scheduling::WorkerView> views;
  const Common::DataCentreId dataCentre(aReport.dataCentre);
  for (const auto& view : aReport.workers) {
    views.push_back(FromWire(view, dataCentre));
    // Lists read in another term may predate a start order of this term.
    views.back().mHasTaskList = views.back().mHasTaskList && aReport.term == mTerm.value();
  }
  std::vector<Scheduling::EndedLifetime> ended;
  for (const auto& life : aReport.endedLives) {
    ended.push_back(FromWire(life));
  }
  const auto now = mContext.steadyAndUnixNow();
  Scheduling::ApplyReport(
    mState, Common::InstanceId(aReport.instance), views, ended, ownLeaseEnd(aReceivedAt), now);
  if (aReport.term != mTerm.value()) {
    return;
  }
  for (const auto& answer : aReport.advice) {
    Scheduling::ApplyAdvice(mState, answer.number, FromWire(answer), now);
  }
  applyOrderResults(aReport.results);
}

void
Coordinator::applyOrderResults(const std::vector<Wire::OrderResult>& aResults)
{
  const auto now = mContext.steadyAndUnixNow();
  for (const Wire::OrderResult& result : aResults) {
    const auto kind = static_cast<Scheduling::OrderResult>(result.result);
    result.evacuated ? Scheduling::ApplyEvacuationRefusal(mState, result.number, kind, now)
                     : Scheduling::ApplyOrderResult(mState, result.number, kind, now);
  }
}

void
Coordinator::answerStatusQuery(Peer& aPeer, const Wire::StatusQuery& aQuery)
{
  if (aQuery.number == 0) {
    // The entry of this process is connected too, and is no candidate to take over from itself.
    aPeer.mIsCandidate = aQuery.candidate && aQuery.instance != mContext.mSettings.mInstance.str();
  }
  if (!isWorking() || !mElection.mayAct()) {
    return;
  }
  Wire::StatusReply reply;
  reply.number = aQuery.number;
  if (!aQuery.queue.empty()) {
    reply.known = true;
    reply.pending = Scheduling::PendingJobs(mState, Common::RouteId(aQuery.queue));
  }
  const auto found = mState.mJobs.find(Common::JobId(aQuery.job));
  if (found != mState.mJobs.end()) {
    const Scheduling::Job& job = *found->second;
    // An end is reported only once it is durable, so that no later coordinator can revert it.
    const bool isReportable = !Scheduling::HasEnded(job.mState) || job.mState == job.mDurableState;
    const auto open = job.mStarted ? Scheduling::JobState::Running : Scheduling::JobState::Queued;
    reply.known = true;
    reply.state = static_cast<std::int32_t>(isReportable ? job.mState : open);
  }
  Wire::Message message;
  message.__set_statusReply(reply);
  send(*aPeer.mLink, "status", message);
}

void
Coordinator::schedulePlacement()
{
  if (mPlacementPending || !isWorking()) {
    return;
  }
  mPlacementPending = true;
  mPlacementTimer.expires_after(
    std::max<Duration>(mNextPlacement - mContext.now(), Duration::zero()));
  mPlacementTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      mPlacementPending = false;
      placeTasks();
    }
  });
}

void
Coordinator::placeTasks()
{
  if (!isWorking() || !mElection.mayAct()) {
    return;
  }
  if (!mEvacuated) {
    if (!std::exchange(mLoggedUnknownEvacuations, true)) {
      Log(Level::Warning,
          "coordinator",
          "tasks wait until the evacuated data centres are read",
          { { "term", std::to_string(mTerm.value()) } });
    }
    return;
  }
  mState.mSoleUntil = mElection.leaseValidUntil();
  const auto now = mContext.steadyAndUnixNow();
  if (IsLimited(mOrderShare)) {
    Scheduling::StartBudget budget = startBudget(now.mMonotonic);
    // The next tick goes on with the rest.
    if (!Scheduling::PlaceTasks(mState, now, &budget)) {
      mContext.mCounters.counter("ibis_placement_rounds_cut").add();
    }
  } else {
    Scheduling::PlaceTasks(mState, now);
  }
  const Duration took = mContext.now() - now.mMonotonic;
  mNextPlacement = mContext.now() + took * kPlacementPauseFactor;
  mLongestPlacement = std::max(mLongestPlacement, took);
  mContext.mCounters.distribution("ibis_placement_round_us").record(took.count());
  sendOrders();
  logSchedulingEntries();
  scheduleFlush();
}

Scheduling::StartBudget
Coordinator::startBudget(Timestamp aNow)
{
  Scheduling::StartBudget budget;
  budget.mBytesLeft = static_cast<std::int64_t>(BytesLeft(mOrderShare, aNow));
  budget.mBytesOf = [this, sent = std::set<std::pair<Common::InstanceId, Common::JobId>>()](
                      const Scheduling::Job& aJob, const Common::InstanceId& aAgent) mutable {
    const Peer* const peer = findPeer(aAgent);
    const bool isKept = peer != nullptr && peer->mKeptPayloads.mPayloads.contains(aJob.mSpec.mJob);
    const bool isFirst = !isKept && sent.emplace(aAgent, aJob.mSpec.mJob).second;
    return kStartOrderBytes + (isFirst ? static_cast<std::int64_t>(aJob.mSpec.mPayload.size()) : 0);
  };
  return budget;
}

std::size_t
Coordinator::send(Net::Link& aLink, const char* aPurpose, const Wire::Message& aMessage)
{
  const std::string bytes = Wire::Encode(aMessage);
  countBytes(aPurpose, bytes.size());
  aLink.send(bytes);
  return bytes.size();
}

void
Coordinator::countBytes(const char* aPurpose, std::size_t aBytes)
{
  Traffic& traffic = mTraffic[aPurpose];
  if (traffic.mCounter == nullptr) {
    traffic.mCounter = &mContext.mCounters.counter("ibis_coordinator_bytes",
                                                   "purpose=\"" + std::string(aPurpose) + '"');
  }
  traffic.mCounter->add(static_cast<std::int64_t>(aBytes));
  traffic.mUnlogged += aBytes;
}

void
Coordinator::recordLoad(Timestamp aPlannedTick)
{
  const Timestamp now = mContext.now();
  mLongestDelay = std::max(mLongestDelay, now - aPlannedTick);
  mContext.mCounters.distribution("ibis_coordinator_loop_delay_us")
    .record((now - aPlannedTick).count());
  if (now < mNextLoadEntry) {
    return;
  }
  mNextLoadEntry = now + kLoadInterval;
  std::string bytes;
  for (auto& [purpose, traffic] : mTraffic) {
    bytes += (bytes.empty() ? "" : " ") + std::string(purpose) + '=' +
             std::to_string(std::exchange(traffic.mUnlogged, 0));
  }
  Log(Level::Info,
      "coordinator",
      "load",
      { { "term", std::to_string(mTerm.value()) },
        { "peers", std::to_string(mPeers.size()) },
        { "open", std::to_string(mState.mOpenJobs.size()) },
        { "unwritten", std::to_string(mState.mDirtyJobs.size()) },
        { "awaited",
          std::to_string(
            Scheduling::RecordedWorkersAwaited(mState, mContext.steadyAndUnixNow()).mCount) },
        { "suspended", std::to_string(suspendedWorkers()) },
        { "bytes", bytes },
        { "longest_delay_us", std::to_string(mLongestDelay.count()) },
        { "longest_placement_us", std::to_string(mLongestPlacement.count()) } });
  mLongestDelay = Duration{ 0 };
  mLongestPlacement = Duration{ 0 };
}

void
Coordinator::scheduleTick()
{
  mTickTimer.expires_after(kTickInterval);
  const Timestamp planned = mContext.now() + kTickInterval;
  mTickTimer.async_wait(
    [this, planned, generation = mCallGeneration](boost::system::error_code aError) {
      if (aError || generation != mCallGeneration) {
        return;
      }
      recordLoad(planned);
      if (isWorking() && mElection.mayAct()) {
        acceptHeldSubmissions();
        mState.mSoleUntil = mElection.leaseValidUntil();
        const auto now = mContext.steadyAndUnixNow();
        Scheduling::CheckTimeouts(mState, now);
        Scheduling::ThrottleTasks(mState, now);
        placeTasks();
        if (mPredecessorWatcher && !Scheduling::AwaitsRecordedWorkers(mState, now)) {
          mPredecessorWatcher.reset();
        }
        updateCounters();
        collectGarbage();
        collectFences();
      }
      scheduleTick();
    });
}

void
Coordinator::logSchedulingEntries()
{
  for (const Scheduling::LogEntry& entry : mState.mLogEntries) {
    Log(Level::Info,
        "scheduling",
        entry.mText,
        { { "job", entry.mJob.str() }, { "detail", entry.mDetail } });
  }
  mState.mLogEntries.clear();
}

void
Coordinator::updateCounters()
{
  Observability::Counters& counters = mContext.mCounters;
  const Scheduling::TermCounters& counts = mState.mCounts;
  counters.counter("ibis_coordinator_term").set(mTerm.value());
  counters.counter("ibis_jobs").set(static_cast<std::int64_t>(mState.mJobs.size()));
  counters.counter("ibis_jobs_open").set(static_cast<std::int64_t>(mState.mOpenJobs.size()));
  counters.counter("ibis_jobs_unwritten").set(static_cast<std::int64_t>(mState.mDirtyJobs.size()));
  updateEndCounters();
  counters.counter("ibis_orders_outstanding")
    .set(static_cast<std::int64_t>(mState.mOutstandingOrders.size()));
  counters.counter("ibis_workers_connected")
    .set(std::count_if(mState.mWorkers.begin(),
                       mState.mWorkers.end(),
                       [](const Scheduling::Worker& aWorker) { return aWorker.mConnected; }));
  counters.counter("ibis_workers_awaited")
    .set(static_cast<std::int64_t>(
      Scheduling::RecordedWorkersAwaited(mState, mContext.steadyAndUnixNow()).mCount));
  updateEvacuationCounters();
  counters.counter("ibis_workers_suspended").set(static_cast<std::int64_t>(suspendedWorkers()));
  counters.counter("ibis_term_starts").set(static_cast<std::int64_t>(counts.mStarts));
  counters.counter("ibis_term_room_rejections")
    .set(static_cast<std::int64_t>(counts.mCapacityRejections));
  counters.counter("ibis_term_runs_lost").set(static_cast<std::int64_t>(counts.mLostRuns));
  counters.counter("ibis_term_runs_failed").set(static_cast<std::int64_t>(counts.mFailedRuns));
  counters.counter("ibis_term_quarantines").set(static_cast<std::int64_t>(counts.mQuarantines));
  counters.counter("ibis_term_stalls").set(static_cast<std::int64_t>(counts.mStalls));
  counters.counter("ibis_term_paces").set(static_cast<std::int64_t>(counts.mThrottleOrders));
  counters.counter("ibis_term_advice_questions")
    .set(static_cast<std::int64_t>(counts.mAdviceRequests));
  counters.counter("ibis_term_ticket_rejections")
    .set(static_cast<std::int64_t>(counts.mTicketRejections));
  counters.counter("ibis_term_crashes").set(static_cast<std::int64_t>(counts.mCrashes));
  counters.counter("ibis_term_trials").set(static_cast<std::int64_t>(counts.mTrials));
  counters.counter("ibis_term_jobs_failed_for_crashes")
    .set(static_cast<std::int64_t>(counts.mJobsFailedForCrashes));
  counters.counter("ibis_term_place_waits").set(static_cast<std::int64_t>(counts.mPlaceWaits));
  counters.counter("ibis_term_place_wait_ms")
    .set(std::chrono::duration_cast<std::chrono::milliseconds>(counts.mPlaceWaitTime).count());
  counters.counter("ibis_term_near_starts").set(static_cast<std::int64_t>(counts.mNearStarts));
  counters.counter("ibis_term_remote_starts").set(static_cast<std::int64_t>(counts.mRemoteStarts));
  counters.counter("ibis_term_moves").set(static_cast<std::int64_t>(counts.mBestEffortMoves));
}

void
Coordinator::updateEvacuationCounters()
{
  const std::size_t evacuated = Scheduling::EvacuatedWorkers(mState);
  mContext.mCounters.counter("ibis_workers_evacuated").set(static_cast<std::int64_t>(evacuated));
  const auto connected = static_cast<std::size_t>(std::count_if(
    mState.mWorkers.begin(), mState.mWorkers.end(), [](const Scheduling::Worker& aWorker) {
      return aWorker.mConnected;
    }));
  if (connected == 0) {
    return;
  }
  const bool all = evacuated == connected;
  if (all && !mLoggedAllEvacuated) {
    Log(Level::Warning,
        "coordinator",
        "all data centres with workers are evacuated, tasks wait",
        { { "workers", std::to_string(connected) } });
  }
  mLoggedAllEvacuated = all;
  const auto withoutWorkers = Scheduling::EvacuatedWithoutWorkers(mState);
  for (const Common::DataCentreId& dataCentre : withoutWorkers) {
    if (!mLoggedWithoutWorkers.contains(dataCentre)) {
      Log(Level::Warning,
          "coordinator",
          "the evacuated data centre has no workers",
          { { "data_centre", dataCentre.str() } });
    }
  }
  mLoggedWithoutWorkers = withoutWorkers;
}

void
Coordinator::updateEndCounters()
{
  std::size_t waiting = 0;
  Duration longestWait{ 0 };
  for (const Scheduling::Worker& worker : mState.mWorkers) {
    waiting += worker.mUnrecordedEnds.size();
    if (!worker.mUnrecordedEnds.empty()) {
      longestWait =
        std::max(longestWait, mContext.now() - worker.mUnrecordedEnds.front().mHandledAt);
    }
  }
  Observability::Counters& counters = mContext.mCounters;
  counters.counter("ibis_ends_unrecorded").set(static_cast<std::int64_t>(waiting));
  counters.counter("ibis_end_unrecorded_longest_ms")
    .set(std::chrono::duration_cast<std::chrono::milliseconds>(longestWait).count());
}

Wire::Order
Coordinator::toWireOrder(Peer& aPeer, const Scheduling::Order& aOrder) const
{
  const auto job = mState.mJobs.find(aOrder.mTask.mJob);
  if (aOrder.mKind != Scheduling::OrderKind::Start || job == mState.mJobs.end()) {
    return ToWire(aOrder, {});
  }
  const bool isKept = aPeer.mKeptPayloads.mPayloads.contains(aOrder.mTask.mJob);
  Wire::Order order = ToWire(aOrder, isKept ? std::string() : job->second->mSpec.mPayload);
  order.payloadKept = isKept;
  if (aPeer.mKeepsPayloads) {
    KeepPayload(aPeer.mKeptPayloads, aOrder.mTask.mJob, {});
  }
  return order;
}

void
Coordinator::sendOrders()
{
  const std::vector<Scheduling::Order> orders = std::exchange(mState.mOrders, {});
  std::map<Common::InstanceId, std::vector<const Scheduling::Order*>> batches;
  for (const Scheduling::Order& order : orders) {
    const auto worker = mState.mWorkerIndex.find(order.mLifetime);
    if (worker == mState.mWorkerIndex.end()) {
      continue;
    }
    batches[mState.mWorkers[worker->second].mAgent].push_back(&order);
  }
  std::map<Common::InstanceId, std::vector<Wire::Question>> questions;
  for (const Scheduling::AdviceRequest& request : mState.mAdviceRequests) {
    batches.try_emplace(request.mAgent);
    questions[request.mAgent].push_back(ToWire(request, request.mDeadline - mContext.now()));
  }
  mState.mAdviceRequests.clear();
  for (const auto& [agent, batch] : batches) {
    if (Peer* peer = findPeer(agent)) {
      std::vector<Wire::Order> wireOrders;
      for (const Scheduling::Order* order : batch) {
        wireOrders.push_back(toWireOrder(*peer, *order));
      }
      sendDirective(*peer, std::move(wireOrders), false, std::move(questions[agent]));
    }
  }
}

void
Coordinator::resendOrders(Peer& aPeer)
{
  std::vector<Wire::Order> orders;
  for (const Scheduling::Order& order : Scheduling::RepeatOrders(mState, aPeer.mAgent)) {
    orders.push_back(toWireOrder(aPeer, order));
  }
  if (orders.empty()) {
    return;
  }
  Log(Level::Info,
      "coordinator",
      "repeated unresolved orders",
      { { "agent", aPeer.mAgent.str() },
        { "orders", std::to_string(orders.size()) },
        { "first", std::to_string(orders.front().number) },
        { "last", std::to_string(orders.back().number) } });
  sendDirective(aPeer, std::move(orders));
}

void
Coordinator::sendDirective(Peer& aPeer,
                           std::vector<Wire::Order> aOrders,
                           bool aIncludeKnownWorkers,
                           std::vector<Wire::Question> aQuestions)
{
  Wire::Directive directive;
  directive.term = mTerm.value();
  directive.echoMicros = mayExtendLeases(aPeer.mAgent) ? aPeer.mEchoMicros : 0;
  directive.holdMicros = maxLeaseExtension().count();
  directive.acceptsCompression = true;
  if (mEvacuated) {
    directive.evacuated = mEvacuated->first.contains(aPeer.mDataCentre);
    directive.__set_evacuationVersion(mEvacuated->second.value());
  }
  directive.orders = std::move(aOrders);
  directive.questions = std::move(aQuestions);
  for (const Scheduling::Worker& worker : mState.mWorkers) {
    if (worker.mAgent == aPeer.mAgent && worker.mConnected &&
        worker.mLastAcknowledgedEnd.value() > 0) {
      Wire::WorkerAck ack;
      ack.worker = worker.mLifetime.mWorker.str();
      ack.born = worker.mLifetime.mStartedAt.value();
      ack.number = worker.mLastAcknowledgedEnd.value();
      directive.acks.push_back(std::move(ack));
    }
    if (aIncludeKnownWorkers && worker.mAgent == aPeer.mAgent &&
        worker.mLeaseEnd > mContext.now()) {
      directive.known.push_back(ToWire(Scheduling::ViewOf(worker)));
    }
  }
  const bool hasOrders = !directive.orders.empty();
  Wire::Message message;
  message.__set_directive(directive);
  const std::size_t bytes = send(*aPeer.mLink, hasOrders ? "orders" : "directives", message);
  Spend(mOrderShare, hasOrders ? bytes : 0);
}

bool
Coordinator::hasSuccessor() const
{
  return std::any_of(
    mPeers.begin(), mPeers.end(), [](const auto& aEntry) { return aEntry.second.mIsCandidate; });
}

} // namespace Node
