#include "Node/Coordinator.h"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "Node/Convert.h"
#include "Node/Keys.h"
#include "Observability/Log.h"

namespace Node {

namespace {

using Observability::Level;
using Observability::Log;

/// The steps of a job for logs, for instance "4x500m 8x1800m gang"; the size is that of one task.
std::string
ShapeText(const Scheduling::JobSpec& aSpec)
{
  std::string text;
  for (const Scheduling::StepSpec& step : aSpec.mSteps) {
    text += (text.empty() ? "" : " ") + std::to_string(step.mTasks) + 'x' +
            std::to_string(step.mNeed.mCores.value()) + 'm';
    text += step.mGang ? " gang" : "";
    text += step.mLasting ? " lasting" : "";
    text += step.mFills ? " fills" : "";
    text += step.mLabel.empty() ? "" : " label=" + step.mLabel;
  }
  return text + (aSpec.mRepeats > 0 ? " repeats=" + std::to_string(aSpec.mRepeats) : "");
}

/// Times at which something is due without an event: lapsed leases, stalls, due times, pace.
constexpr std::chrono::milliseconds kTick{ 100 };
/// Run numbers that a coordinator can give to one task in its term.
constexpr std::int64_t kRunsPerTerm = 1'000;
/// Records in one transaction beside its condition; a few places are left for worker records.
constexpr std::size_t kJobsPerWrite = 16;
constexpr std::size_t kWorkersPerWrite = 6;
constexpr std::chrono::seconds kCollectionPeriod{ 10 };
/// What was learned in a shorter time is learned again soon.
constexpr std::chrono::seconds kModelPeriod{ 3 };
/// A record of a silent worker is erased this long after its leases ended. An erasure may take
/// effect seconds late, and must not meet a worker that has come back.
constexpr std::chrono::seconds kWorkerKept{ 30 };

} // namespace

Coordinator::Coordinator(Context& aContext, Election& aElection)
  : mContext(aContext)
  , mElection(aElection)
  , mTick(aContext.mIo)
  , mFlushTimer(aContext.mIo)
  , mReadTimer(aContext.mIo)
{
}

Coordinator::~Coordinator()
{
  for (auto& [link, peer] : mPeers) {
    peer.mLink->close();
  }
}

Duration
Coordinator::maxGrant() const
{
  return std::min(mContext.mTimes.mHold, mContext.mSettings.mMaxHold);
}

void
Coordinator::begin(Common::Epoch aTerm)
{
  end();
  mTerm = aTerm;
  mPhase = Phase::Reading;
  mBegan = mContext.now();
  mState = Scheduling::State{};
  // A stop takes the worker's time, and lists are up to two reports old.
  mState.mPolicy.mStopSettle =
    mContext.mSettings.mStopTime + mContext.mTimes.mReport * 2 + mContext.mTimes.mMessageTime;
  mState.mRunBase = Scheduling::RunNumber{ (aTerm.value() - 1) * kRunsPerTerm };
  if (mTables) {
    takeTables(*mTables);
  }
  readRecordsVersion();
  everyTick();
}

void
Coordinator::resume()
{
  if (mPhase != Phase::Paused) {
    begin(mElection.term());
    return;
  }
  mPhase = Phase::Working;
  Log(Level::Info, "coordinator", "goes on", { { "term", std::to_string(mTerm.value()) } });
  if (mJobs) {
    mJobs->refresh();
  }
  everyTick();
  planSoon();
  flushSoon();
}

void
Coordinator::pause()
{
  ++mRound;
  mFlushing = false;
  mTick.cancel();
  mFlushTimer.cancel();
  mFlushArmed = false;
  mFlushArmedNow = false;
  if (mPhase == Phase::Working) {
    mPhase = Phase::Paused;
  } else if (mPhase == Phase::Reading) {
    mPhase = Phase::Idle;
  }
  Log(Level::Warning, "coordinator", "paused", { { "term", std::to_string(mTerm.value()) } });
}

void
Coordinator::end()
{
  ++mRound;
  mPhase = Phase::Idle;
  mTick.cancel();
  mFlushTimer.cancel();
  mReadTimer.cancel();
  mJobs.reset();
  mRecovered.clear();
  mReadAfter.clear();
  mCancelledEarly.clear();
  mEarly.clear();
  mFlushEnds.clear();
  mFlushing = false;
  mFlushArmed = false;
  mFlushArmedNow = false;
  mState = Scheduling::State{};
  // Peers look for the new coordinator.
  const auto peers = std::move(mPeers);
  mPeers.clear();
  for (const auto& [link, peer] : peers) {
    peer.mLink->close();
  }
}

void
Coordinator::takeTables(const QueueTables& aTables)
{
  mTables = aTables;
  for (const QueueRoute& route : aTables.mRoutes) {
    // A removed queue keeps its entry, because its accepted jobs go on.
    mState.mQueues[route.mQueue.mName] = route.mQueue;
  }
  planSoon();
}

// --- What the store holds at the start of a term ---

void
Coordinator::readRecordsVersion()
{
  // Before the records, so that a write which takes effect after them is refused or read again.
  mContext.mStore.read(
    kRecordsKey,
    mContext.mTimes.mStoreCall,
    [this, round = mRound](const Store::Result<std::optional<Store::Entry>>& aEntry) {
      if (round != mRound) {
        return;
      }
      if (!aEntry) {
        mReadTimer.expires_after(mContext.mTimes.mStoreRetry);
        mReadTimer.async_wait([this, round](boost::system::error_code aError) {
          if (!aError && round == mRound) {
            readRecordsVersion();
          }
        });
        return;
      }
      mRecordsVersion = *aEntry ? (*aEntry)->mVersion : Store::Version{ 0 };
      readWorkers();
    });
}

void
Coordinator::readWorkers()
{
  mContext.mStore.readPage(
    kWorkerPrefix,
    "",
    mContext.mTimes.mStoreCall,
    [this, round = mRound](Store::Result<Store::Page> aPage) {
      if (round != mRound) {
        return;
      }
      if (!aPage) {
        mReadTimer.expires_after(mContext.mTimes.mStoreRetry);
        mReadTimer.async_wait([this, round](boost::system::error_code aError) {
          if (!aError && round == mRound) {
            readWorkers();
          }
        });
        return;
      }
      // The coordinator before this one may have granted until its own key lapsed.
      const double drift = 1.0 + mContext.mTimes.mClockDrift;
      const Timestamp leaseEnd = mBegan + mContext.mTimes.mTerm + mContext.mTimes.mStoreSilence +
                                 std::chrono::duration_cast<Duration>(maxGrant() * drift) +
                                 mContext.mTimes.mTermMargin;
      for (const Store::Entry& entry : aPage->mEntries) {
        if (const auto record = Wire::Decode<Wire::WorkerRecord>(entry.mValue)) {
          Scheduling::AddRecordedWorker(
            mState,
            FromWire(record->view, Common::DataCentreId(record->dataCentre)),
            Common::InstanceId(record->instance),
            leaseEnd);
        }
      }
      readModel();
    });
}

void
Coordinator::readModel()
{
  mContext.mStore.read(
    kModelKey,
    mContext.mTimes.mStoreCall,
    [this, round = mRound](const Store::Result<std::optional<Store::Entry>>& aEntry) {
      if (round != mRound) {
        return;
      }
      // Without it everything is learned anew, so a failure is no reason to wait.
      if (aEntry && *aEntry) {
        if (const auto record = Wire::Decode<Wire::ModelRecord>((*aEntry)->mValue)) {
          TakeLearned(mState, *record);
        }
      }
      readProgress();
    });
}

void
Coordinator::readProgress()
{
  mContext.mStore.readPage(
    kProgressPrefix,
    mReadAfter,
    mContext.mTimes.mStoreCall,
    [this, round = mRound](Store::Result<Store::Page> aPage) {
      if (round != mRound) {
        return;
      }
      if (!aPage) {
        mReadTimer.expires_after(mContext.mTimes.mStoreRetry);
        mReadTimer.async_wait([this, round](boost::system::error_code aError) {
          if (!aError && round == mRound) {
            readProgress();
          }
        });
        return;
      }
      for (const Store::Entry& entry : aPage->mEntries) {
        mReadAfter = entry.mKey;
        if (const auto record = Wire::Decode<Wire::ProgressRecord>(entry.mValue)) {
          mRecovered[Common::JobId(entry.mKey.substr(kProgressPrefix.size()))] =
            FromRecord(*record);
        }
      }
      if (aPage->mMore && !aPage->mEntries.empty()) {
        readProgress();
        return;
      }
      watchJobs();
    });
}

void
Coordinator::watchJobs()
{
  mJobs = std::make_unique<Watcher>(
    mContext,
    kJobPrefix,
    mContext.mTimes.mWatch,
    Watcher::Events{ [this](const std::vector<Store::Entry>& aEntries, Store::Version) {
                      takeJobSnapshot(aEntries);
                    },
                     [this](const Store::WatchResult& aResult) {
                       for (const Store::Entry& entry : aResult.mChanged) {
                         takeJobEntry(entry, false);
                       }
                       planSoon();
                     } });
  mJobs->start();
}

void
Coordinator::takeJobSnapshot(const std::vector<Store::Entry>& aEntries)
{
  const bool first = mPhase == Phase::Reading;
  for (const Store::Entry& entry : aEntries) {
    takeJobEntry(entry, first);
  }
  if (first) {
    beginWork();
  }
  planSoon();
}

void
Coordinator::takeJobEntry(const Store::Entry& aEntry, bool aRecovered)
{
  const auto key = ParseJobKey(aEntry.mKey);
  if (!key) {
    Log(Level::Warning,
        "coordinator",
        "skipped an entry that is not a job's",
        { { "key", aEntry.mKey } });
    return;
  }
  const auto now = mContext.both();
  if (key->mKind == JobKeyKind::Cancel) {
    const auto found = mState.mJobs.find(key->mJob);
    if (found == mState.mJobs.end()) {
      mCancelledEarly.insert(key->mJob);
    } else if (!Scheduling::HasEnded(found->second->mState)) {
      Log(Level::Info, "coordinator", "job cancelled", { { "job", key->mJob.str() } });
      Scheduling::CancelJob(mState, *found->second, now);
    }
    return;
  }
  if (mState.mJobs.contains(key->mJob)) {
    return;
  }
  const auto record = Wire::Decode<Wire::JobRecord>(aEntry.mValue);
  if (!record || record->job != key->mJob.str()) {
    Log(Level::Warning,
        "coordinator",
        "skipped a job that cannot be read",
        { { "key", aEntry.mKey } });
    return;
  }
  Scheduling::JobSpec spec = FromRecord(*record);
  if (const auto problem = Scheduling::ProblemOf(spec)) {
    Log(Level::Warning,
        "coordinator",
        "skipped a job that is not valid",
        { { "job", record->job }, { "reason", *problem } });
    return;
  }
  const auto progress = mRecovered.find(key->mJob);
  Scheduling::Job& job =
    Scheduling::AddJob(mState,
                       std::move(spec),
                       progress == mRecovered.end() ? nullptr : &progress->second,
                       aRecovered,
                       now);
  // Recovered jobs are counted in one line; there may be thousands.
  Log(aRecovered ? Level::Debug : Level::Info,
      "coordinator",
      "job accepted",
      { { "job", record->job },
        { "queue", record->queue },
        { "steps", ShapeText(job.mSpec) },
        { "version", std::to_string(aEntry.mVersion.value()) } });
  if (mCancelledEarly.contains(key->mJob)) {
    Scheduling::CancelJob(mState, job, now);
  }
}

void
Coordinator::beginWork()
{
  mPhase = Phase::Working;
  mRecovered.clear();
  Log(Level::Info,
      "coordinator",
      "recovered",
      { { "term", std::to_string(mTerm.value()) },
        { "jobs", std::to_string(mState.mJobs.size()) },
        { "open", std::to_string(mState.mOpen.size()) },
        { "workers", std::to_string(mState.mWorkers.size()) } });
  const auto early = std::move(mEarly);
  mEarly.clear();
  for (const auto& [agent, report] : early) {
    apply(report.mReport, report.mTaken);
  }
}

// --- Peers ---

void
Coordinator::takeLink(const std::shared_ptr<Net::Link>& aLink)
{
  if (mPhase == Phase::Idle) {
    aLink->close();
    return;
  }
  mPeers[aLink.get()].mLink = aLink;
  aLink->start(
    { [this, link = aLink.get()](const std::string& aBytes) { takeMessage(link, aBytes); },
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
  if (!agent.empty() && peerOf(agent) == nullptr) {
    Log(Level::Warning, "coordinator", "lost an agent", { { "agent", agent.str() } });
    Scheduling::AgentLost(mState, agent);
  }
}

Coordinator::Peer*
Coordinator::peerOf(const Common::InstanceId& aAgent)
{
  for (auto& [link, peer] : mPeers) {
    if (peer.mAgent == aAgent) {
      return &peer;
    }
  }
  return nullptr;
}

void
Coordinator::takeMessage(Net::Link* aLink, const std::string& aBytes)
{
  const auto found = mPeers.find(aLink);
  auto message = Wire::Decode<Wire::Message>(aBytes);
  if (found == mPeers.end()) {
    return;
  }
  if (!message) {
    Log(Level::Warning, "coordinator", "dropped a message that cannot be read");
    return;
  }
  if (message->__isset.report) {
    takeReport(found->second, std::move(message->report));
  } else if (message->__isset.statusQuery) {
    answerStatus(found->second, message->statusQuery);
  }
}

void
Coordinator::takeReport(Peer& aPeer, Wire::Report aReport)
{
  const bool isNew = aPeer.mAgent.empty();
  if (isNew) {
    aPeer.mAgent = Common::InstanceId(aReport.instance);
    // An older connection of the agent is of no use any more.
    std::vector<Net::Link*> older;
    for (const auto& [link, peer] : mPeers) {
      if (peer.mAgent == aPeer.mAgent && link != aPeer.mLink.get()) {
        older.push_back(link);
      }
    }
    for (Net::Link* link : older) {
      const auto kept = mPeers.at(link).mLink;
      mPeers.erase(link);
      kept->close();
    }
    Log(Level::Info, "coordinator", "agent connected", { { "agent", aReport.instance } });
  }
  if (mPhase == Phase::Paused || !mElection.mayAct()) {
    return;
  }
  aPeer.mEcho = aReport.agentMicros;
  const Timestamp now = mContext.now();
  if (mPhase == Phase::Reading) {
    mEarly[aPeer.mAgent] = { std::move(aReport), now };
    sendDirective(aPeer, {});
    return;
  }
  const bool started = aReport.workers.empty() && aReport.endedLives.empty();
  apply(aReport, now);
  sendDirective(aPeer, {}, isNew && started);
  if (isNew) {
    repeatOrders(aPeer);
  }
  planSoon();
  flushSoon();
}

void
Coordinator::apply(const Wire::Report& aReport, Timestamp aTaken)
{
  std::vector<Scheduling::WorkerView> views;
  const Common::DataCentreId dataCentre(aReport.dataCentre);
  for (const auto& view : aReport.workers) {
    views.push_back(FromWire(view, dataCentre));
    // Lists that were read for another term may be older than a start of this one.
    views.back().mListed = views.back().mListed && aReport.term == mTerm.value();
  }
  std::vector<Scheduling::Life> ended;
  for (const auto& life : aReport.endedLives) {
    ended.push_back({ Common::WorkerId(life.worker), Scheduling::Born{ life.born } });
  }
  const auto now = mContext.both();
  const double drift = 1.0 + mContext.mTimes.mClockDrift;
  const Timestamp leaseEnd = aTaken + std::chrono::duration_cast<Duration>(maxGrant() * drift);
  Scheduling::TakeReport(mState, Common::InstanceId(aReport.instance), views, ended, leaseEnd, now);
  if (aReport.term != mTerm.value()) {
    return;
  }
  for (const auto& result : aReport.results) {
    Scheduling::TakeResult(
      mState, result.number, static_cast<Scheduling::OrderResult>(result.result), now);
  }
}

void
Coordinator::answerStatus(Peer& aPeer, const Wire::StatusQuery& aQuery)
{
  if (aQuery.number == 0) {
    // This process's own entry is connected as well.
    aPeer.mCandidate = aQuery.candidate && aQuery.instance != mContext.mSettings.mInstance.str();
  }
  if (!works() || !mElection.mayAct()) {
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
    // An end is shown once no later coordinator can show less.
    const bool settled = !Scheduling::HasEnded(job.mState) || job.mState == job.mDurableState;
    const auto open = job.mStarted ? Scheduling::JobState::Running : Scheduling::JobState::Queued;
    reply.known = true;
    reply.state = static_cast<std::int32_t>(settled ? job.mState : open);
  }
  Wire::Message message;
  message.__set_statusReply(reply);
  aPeer.mLink->send(Wire::Encode(message));
}

// --- Decisions and orders ---

void
Coordinator::planSoon()
{
  if (mPlanPending || !works()) {
    return;
  }
  mPlanPending = true;
  boost::asio::post(mContext.mIo, [this] {
    mPlanPending = false;
    plan();
  });
}

void
Coordinator::plan()
{
  if (!works() || !mElection.mayAct()) {
    return;
  }
  Scheduling::PlaceTasks(mState, mContext.both());
  sendOrders();
  logNotes();
  flushSoon();
}

void
Coordinator::everyTick()
{
  mTick.expires_after(kTick);
  mTick.async_wait([this, round = mRound](boost::system::error_code aError) {
    if (aError || round != mRound) {
      return;
    }
    if (works() && mElection.mayAct()) {
      const auto now = mContext.both();
      Scheduling::CheckTimes(mState, now);
      Scheduling::PaceTasks(mState, now);
      plan();
      updateCounters();
      collectGarbage();
    }
    everyTick();
  });
}

void
Coordinator::logNotes()
{
  for (const Scheduling::Note& note : mState.mNotes) {
    Log(Level::Info,
        "scheduling",
        note.mText,
        { { "job", note.mJob.str() }, { "detail", note.mDetail } });
  }
  mState.mNotes.clear();
}

void
Coordinator::updateCounters()
{
  Observability::Counters& counters = mContext.mCounters;
  const Scheduling::Counts& counts = mState.mCounts;
  counters.counter("ibis_coordinator_term").set(mTerm.value());
  counters.counter("ibis_jobs").set(static_cast<std::int64_t>(mState.mJobs.size()));
  counters.counter("ibis_jobs_open").set(static_cast<std::int64_t>(mState.mOpen.size()));
  counters.counter("ibis_jobs_unwritten").set(static_cast<std::int64_t>(mState.mDirty.size()));
  counters.counter("ibis_orders_outstanding")
    .set(static_cast<std::int64_t>(mState.mOutstanding.size()));
  counters.counter("ibis_workers_connected")
    .set(std::count_if(mState.mWorkers.begin(),
                       mState.mWorkers.end(),
                       [](const Scheduling::Worker& aWorker) { return aWorker.mConnected; }));
  counters.counter("ibis_term_starts").set(static_cast<std::int64_t>(counts.mStarts));
  counters.counter("ibis_term_room_rejections")
    .set(static_cast<std::int64_t>(counts.mRoomRejections));
  counters.counter("ibis_term_runs_lost").set(static_cast<std::int64_t>(counts.mLost));
  counters.counter("ibis_term_runs_failed").set(static_cast<std::int64_t>(counts.mFailedRuns));
  counters.counter("ibis_term_quarantines").set(static_cast<std::int64_t>(counts.mQuarantines));
  counters.counter("ibis_term_stalls").set(static_cast<std::int64_t>(counts.mStalls));
  counters.counter("ibis_term_paces").set(static_cast<std::int64_t>(counts.mPaces));
  counters.counter("ibis_term_moves").set(static_cast<std::int64_t>(counts.mMoves));
}

void
Coordinator::sendOrders()
{
  std::map<Common::InstanceId, std::vector<Wire::Order>> batches;
  for (const Scheduling::Order& order : mState.mOrders) {
    const auto worker = mState.mWorkerIndex.find(order.mLife);
    if (worker == mState.mWorkerIndex.end()) {
      continue;
    }
    const auto job = mState.mJobs.find(order.mTask.mJob);
    const bool starts = order.mKind == Scheduling::OrderKind::Start;
    batches[mState.mWorkers[worker->second].mAgent].push_back(ToWire(
      order, starts && job != mState.mJobs.end() ? job->second->mSpec.mPayload : std::string()));
  }
  mState.mOrders.clear();
  for (auto& [agent, orders] : batches) {
    if (Peer* peer = peerOf(agent)) {
      sendDirective(*peer, std::move(orders));
    }
  }
}

void
Coordinator::repeatOrders(Peer& aPeer)
{
  std::vector<Wire::Order> orders;
  for (const auto& [number, order] : mState.mOutstanding) {
    const auto worker = mState.mWorkerIndex.find(order.mLife);
    if (worker == mState.mWorkerIndex.end() ||
        mState.mWorkers[worker->second].mAgent != aPeer.mAgent) {
      continue;
    }
    const auto job = mState.mJobs.find(order.mTask.mJob);
    const bool starts = order.mKind == Scheduling::OrderKind::Start;
    orders.push_back(ToWire(
      order, starts && job != mState.mJobs.end() ? job->second->mSpec.mPayload : std::string()));
  }
  if (!orders.empty()) {
    std::sort(
      orders.begin(), orders.end(), [](const Wire::Order& aLeft, const Wire::Order& aRight) {
        return aLeft.number < aRight.number;
      });
    sendDirective(aPeer, std::move(orders));
  }
}

void
Coordinator::sendDirective(Peer& aPeer, std::vector<Wire::Order> aOrders, bool aTellKnown)
{
  Wire::Directive directive;
  directive.term = mTerm.value();
  directive.echoMicros = aPeer.mEcho;
  directive.holdMicros = maxGrant().count();
  directive.orders = std::move(aOrders);
  for (const Scheduling::Worker& worker : mState.mWorkers) {
    if (worker.mAgent == aPeer.mAgent && worker.mConnected && worker.mAcked.value() > 0) {
      Wire::WorkerAck ack;
      ack.worker = worker.mLife.mWorker.str();
      ack.born = worker.mLife.mBorn.value();
      ack.number = worker.mAcked.value();
      directive.acks.push_back(std::move(ack));
    }
    if (aTellKnown && worker.mAgent == aPeer.mAgent && worker.mLeaseEnd > mContext.now()) {
      directive.known.push_back(ToWire(Scheduling::ViewOf(worker)));
    }
  }
  Wire::Message message;
  message.__set_directive(directive);
  aPeer.mLink->send(Wire::Encode(message));
}

// --- Records ---

void
Coordinator::flushSoon()
{
  if (!works() || mFlushing) {
    return;
  }
  const bool unrecorded = std::any_of(
    mState.mWorkers.begin(), mState.mWorkers.end(), [](const Scheduling::Worker& aWorker) {
      return (aWorker.mConnected && aWorker.mListed && !aWorker.mRecorded) ||
             (aWorker.mRecorded && aWorker.mGone);
    });
  if (mState.mDirty.empty() && !unrecorded) {
    // Ends that changed no record are as durable as they need to be.
    for (Scheduling::Worker& worker : mState.mWorkers) {
      worker.mAcked = worker.mHandled;
    }
    return;
  }
  const bool now = unrecorded || mFlushed != nullptr ||
                   std::any_of(mState.mDirty.begin(),
                               mState.mDirty.end(),
                               [](const Scheduling::Job* aJob) { return aJob->mDirtyNow; });
  if (mFlushArmedNow || (mFlushArmed && !now)) {
    return;
  }
  mFlushArmed = true;
  mFlushArmedNow = now;
  mFlushTimer.expires_after(now ? mContext.mTimes.mFlushNow : mContext.mTimes.mFlush);
  mFlushTimer.async_wait([this, round = mRound](boost::system::error_code aError) {
    if (!aError && round == mRound) {
      mFlushArmed = false;
      mFlushArmedNow = false;
      flush();
    }
  });
}

void
Coordinator::flush()
{
  if (mFlushing || !works() || !mElection.mayAct()) {
    return;
  }
  Store::Transaction transaction;
  transaction.mExpected = { mElection.fence(), { kRecordsKey, mRecordsVersion } };
  std::vector<Scheduling::Job*> dirty(mState.mDirty.begin(), mState.mDirty.end());
  std::stable_sort(
    dirty.begin(), dirty.end(), [](const Scheduling::Job* aLeft, const Scheduling::Job* aRight) {
      return aLeft->mDirtyNow > aRight->mDirtyNow;
    });
  const bool all = dirty.size() <= kJobsPerWrite;
  dirty.resize(std::min(dirty.size(), kJobsPerWrite));
  std::vector<std::pair<Common::JobId, Scheduling::JobState>> jobs;
  for (Scheduling::Job* job : dirty) {
    transaction.mPuts.push_back({ ProgressKey(job->mSpec.mJob),
                                  Wire::Encode(ToRecord(Scheduling::ProgressOf(*job))),
                                  std::nullopt });
    jobs.emplace_back(job->mSpec.mJob, job->mState);
    job->mDirty = false;
    job->mDirtyNow = false;
    mState.mDirty.erase(job);
  }
  std::vector<Scheduling::Life> recorded;
  for (const Scheduling::Worker& worker : mState.mWorkers) {
    if (worker.mConnected && worker.mListed && !worker.mRecorded &&
        recorded.size() < kWorkersPerWrite) {
      Wire::WorkerRecord record;
      record.view = ToWire(Scheduling::ViewOf(worker));
      record.instance = worker.mAgent.str();
      record.dataCentre = worker.mDataCentre.str();
      transaction.mPuts.push_back({ WorkerKey(worker.mLife), Wire::Encode(record), std::nullopt });
      recorded.push_back(worker.mLife);
    } else if (worker.mRecorded && worker.mGone && transaction.mErased.size() < kWorkersPerWrite) {
      // The next coordinator would wait for it.
      transaction.mErased.push_back(WorkerKey(worker.mLife));
      recorded.push_back(worker.mLife);
    }
  }
  mFlushEnds.clear();
  for (const Scheduling::Worker& worker : mState.mWorkers) {
    if (worker.mHandled > worker.mAcked) {
      mFlushEnds[worker.mLife] = worker.mHandled;
    }
  }
  if (transaction.mPuts.empty() && transaction.mErased.empty()) {
    return;
  }
  if (mContext.now() >= mNextModel) {
    mNextModel = mContext.now() + kModelPeriod;
    transaction.mPuts.push_back({ kModelKey, Wire::Encode(LearnedRecord(mState)), std::nullopt });
  }
  transaction.mPuts.push_back({ kRecordsKey, std::to_string(mTerm.value()), std::nullopt });
  mFlushing = true;
  mFlushSent = mContext.now();
  mContext.mStore.write(transaction,
                        mContext.mTimes.mStoreCall,
                        [this, round = mRound, jobs, recorded, all](
                          const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
                          if (round == mRound) {
                            takeFlush(jobs, recorded, all, aResult);
                          }
                        });
}

void
Coordinator::takeFlush(const std::vector<std::pair<Common::JobId, Scheduling::JobState>>& aJobs,
                       const std::vector<Scheduling::Life>& aRecorded,
                       bool aAllWritten,
                       const tl::expected<Store::Version, Store::WriteFailure>& aResult)
{
  mFlushing = false;
  if (!aResult) {
    for (const auto& [id, state] : aJobs) {
      const auto found = mState.mJobs.find(id);
      if (found != mState.mJobs.end()) {
        Scheduling::MarkDirty(mState, *found->second, Scheduling::HasEnded(state));
      }
    }
    Log(Level::Warning,
        "coordinator",
        "records were not written",
        { { "jobs", std::to_string(aJobs.size()) },
          { "error", std::to_string(static_cast<int>(aResult.error().mError)) } });
    if (aResult.error().mError == Store::StoreError::Conflict &&
        !overtakenByOwnWrite(aResult.error())) {
      mElection.doubt();
      return;
    }
    mFlushArmed = true;
    mFlushArmedNow = true;
    mFlushTimer.expires_after(mContext.mTimes.mStoreRetry);
    mFlushTimer.async_wait([this, round = mRound](boost::system::error_code aError) {
      if (!aError && round == mRound) {
        mFlushArmed = false;
        mFlushArmedNow = false;
        flush();
      }
    });
    return;
  }
  mRecordsVersion = *aResult;
  mContext.mCounters.distribution("ibis_record_write_us")
    .record((mContext.now() - mFlushSent).count());
  for (const auto& [id, state] : aJobs) {
    const auto found = mState.mJobs.find(id);
    if (found == mState.mJobs.end()) {
      continue;
    }
    Scheduling::Job& job = *found->second;
    job.mDurableState = state;
    if (Scheduling::HasEnded(state)) {
      mState.mOpen.erase(&job);
      Log(Level::Info,
          "coordinator",
          "job ended",
          { { "job", id.str() },
            { "state", std::string(Scheduling::StateText(state)) },
            { "age_ms",
              std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(mContext.now() - job.mArrived)
                  .count()) } });
    }
  }
  for (const Scheduling::Life& life : aRecorded) {
    const auto found = mState.mWorkerIndex.find(life);
    if (found != mState.mWorkerIndex.end()) {
      Scheduling::Worker& worker = mState.mWorkers[found->second];
      worker.mRecorded = !worker.mGone;
    }
  }
  if (aAllWritten) {
    for (const auto& [life, number] : mFlushEnds) {
      Scheduling::Worker& worker = mState.mWorkers[mState.mWorkerIndex.at(life)];
      worker.mAcked = std::max(worker.mAcked, number);
      if (Peer* peer = peerOf(worker.mAgent)) {
        sendDirective(*peer, {});
      }
    }
  }
  if (mFlushed && mState.mDirty.empty()) {
    const auto flushed = std::move(mFlushed);
    mFlushed = nullptr;
    flushed();
    return;
  }
  planSoon();
  flushSoon();
}

bool
Coordinator::hasSuccessor() const
{
  return std::any_of(
    mPeers.begin(), mPeers.end(), [](const auto& aEntry) { return aEntry.second.mCandidate; });
}

bool
Coordinator::overtakenByOwnWrite(const Store::WriteFailure& aFailure)
{
  bool holdsKey = false;
  Store::Version records;
  for (const Store::Entry& entry : aFailure.mActual) {
    holdsKey =
      holdsKey || (entry.mKey == kCoordinatorKey && entry.mVersion == mElection.fence().mVersion);
    if (entry.mKey == kRecordsKey) {
      records = entry.mVersion;
    }
  }
  if (!holdsKey || records == mRecordsVersion) {
    return false;
  }
  Log(Level::Warning,
      "coordinator",
      "an earlier write took effect late; writing the records again",
      { { "expected", std::to_string(mRecordsVersion.value()) },
        { "actual", std::to_string(records.value()) } });
  mRecordsVersion = records;
  return true;
}

void
Coordinator::flushAll(std::function<void()> aDone)
{
  if (!works() || (mState.mDirty.empty() && !mFlushing)) {
    boost::asio::post(mContext.mIo, std::move(aDone));
    return;
  }
  mFlushed = std::move(aDone);
  flushSoon();
}

void
Coordinator::collectGarbage()
{
  const Timestamp now = mContext.now();
  if (now < mNextCollection) {
    return;
  }
  mNextCollection = now + kCollectionPeriod;
  // Records of lifetimes that ended keep the next coordinator waiting for nothing.
  Store::Transaction transaction;
  transaction.mExpected.push_back(mElection.fence());
  std::vector<Common::JobId> removed;
  const auto unixNow = mContext.mClock.unixNow();
  // A clock that jumped ahead by seconds must not shorten the time for which a state is shown.
  constexpr std::chrono::seconds kClockJump{ 60 };
  const auto kept =
    std::chrono::duration_cast<Common::UnixMillis>(mContext.mSettings.mRetention + kClockJump);
  constexpr std::size_t kErasedPerJob = 3;
  for (const auto& [id, job] : mState.mJobs) {
    if (Scheduling::HasEnded(job->mDurableState) && unixNow - job->mEnded > kept &&
        transaction.mErased.size() + kErasedPerJob < Store::Transaction::kMaxEntries) {
      transaction.mErased.push_back(SubmissionKey(id));
      transaction.mErased.push_back(CancelKey(id));
      transaction.mErased.push_back(ProgressKey(id));
      removed.push_back(id);
    }
  }
  std::vector<Scheduling::Life> dead;
  for (const Scheduling::Worker& worker : mState.mWorkers) {
    if (worker.mRecorded && !worker.mConnected && worker.mLeaseEnd + kWorkerKept < now &&
        worker.mTasks.empty() && transaction.mErased.size() + 1 < Store::Transaction::kMaxEntries) {
      transaction.mErased.push_back(WorkerKey(worker.mLife));
      dead.push_back(worker.mLife);
    }
  }
  if (transaction.mErased.empty()) {
    return;
  }
  for (const Scheduling::Life& life : dead) {
    // Not to be used again unless a new record is written.
    mState.mWorkers[mState.mWorkerIndex.at(life)].mRecorded = false;
  }
  mContext.mStore.write(transaction,
                        mContext.mTimes.mStoreCall,
                        [this, removed, round = mRound](
                          const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
                          if (round != mRound || !aResult) {
                            return;
                          }
                          for (const auto& id : removed) {
                            Scheduling::RemoveJob(mState, id);
                          }
                        });
}

} // namespace Node
