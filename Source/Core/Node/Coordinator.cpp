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

/// Times at which something is due without an event: lapsed leases, stalls, due times, pace.
constexpr std::chrono::milliseconds kTick{ 100 };
/// Run numbers that a coordinator can give to one task in its term.
constexpr std::int64_t kRunsPerTerm = 1'000;

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
  mState = Scheduling::SchedulerState{};
  // A stop takes the worker's time, and lists are up to two reports old.
  mState.mPolicy.mStopSettleTime =
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
  // The answer to a write on its way is not taken any more.
  markUnwritten();
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
  mFlushJobs.clear();
  mFlushing = false;
  mFlushArmed = false;
  mFlushArmedNow = false;
  mState = Scheduling::SchedulerState{};
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
    Scheduling::MarkAgentDisconnected(mState, agent);
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
  } else if (message->__isset.relayedWrite) {
    relay(aLink, message->relayedWrite);
  }
}

void
Coordinator::relay(Net::Link* aLink, const Wire::RelayedWrite& aWrite)
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
      peer->second.mLink->send(Wire::Encode(message));
    }
  };
  // Entries write nothing but submissions and cancels.
  const bool allowed = std::all_of(aWrite.puts.begin(), aWrite.puts.end(), [](const auto& aPut) {
    return ParseJobKey(aPut.key).has_value();
  });
  // While the store does not answer this process either, the entry should tell its caller at once.
  if (!allowed || !mJobs || !mJobs->isConnected()) {
    answer(tl::unexpected(Store::WriteFailure{ Store::StoreError::Unavailable, {} }));
    return;
  }
  mContext.mStore.write(FromWire(aWrite), mContext.mTimes.mStoreCall, answer);
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
    views.back().mHasTaskList = views.back().mHasTaskList && aReport.term == mTerm.value();
  }
  std::vector<Scheduling::WorkerLifetime> ended;
  for (const auto& life : aReport.endedLives) {
    ended.push_back({ Common::WorkerId(life.worker), Scheduling::LifetimeStart{ life.born } });
  }
  const auto now = mContext.both();
  const double drift = 1.0 + mContext.mTimes.mClockDrift;
  const Timestamp leaseEnd = aTaken + std::chrono::duration_cast<Duration>(maxGrant() * drift);
  Scheduling::ApplyReport(
    mState, Common::InstanceId(aReport.instance), views, ended, leaseEnd, now);
  if (aReport.term != mTerm.value()) {
    return;
  }
  for (const auto& answer : aReport.advice) {
    Scheduling::ApplyAdvice(mState, answer.number, FromWire(answer), now);
  }
  for (const auto& result : aReport.results) {
    Scheduling::ApplyOrderResult(
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
      Scheduling::CheckTimeouts(mState, now);
      Scheduling::ThrottleTasks(mState, now);
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
  for (const Scheduling::LogEntry& note : mState.mLogEntries) {
    Log(Level::Info,
        "scheduling",
        note.mText,
        { { "job", note.mJob.str() }, { "detail", note.mDetail } });
  }
  mState.mLogEntries.clear();
}

void
Coordinator::updateCounters()
{
  Observability::Counters& counters = mContext.mCounters;
  const Scheduling::Counters& counts = mState.mCounts;
  counters.counter("ibis_coordinator_term").set(mTerm.value());
  counters.counter("ibis_jobs").set(static_cast<std::int64_t>(mState.mJobs.size()));
  counters.counter("ibis_jobs_open").set(static_cast<std::int64_t>(mState.mOpenJobs.size()));
  counters.counter("ibis_jobs_unwritten").set(static_cast<std::int64_t>(mState.mDirtyJobs.size()));
  counters.counter("ibis_orders_outstanding")
    .set(static_cast<std::int64_t>(mState.mOutstandingOrders.size()));
  counters.counter("ibis_workers_connected")
    .set(std::count_if(mState.mWorkers.begin(),
                       mState.mWorkers.end(),
                       [](const Scheduling::Worker& aWorker) { return aWorker.mConnected; }));
  counters.counter("ibis_term_starts").set(static_cast<std::int64_t>(counts.mStarts));
  counters.counter("ibis_term_room_rejections")
    .set(static_cast<std::int64_t>(counts.mRoomRejections));
  counters.counter("ibis_term_runs_lost").set(static_cast<std::int64_t>(counts.mLostRuns));
  counters.counter("ibis_term_runs_failed").set(static_cast<std::int64_t>(counts.mFailedRuns));
  counters.counter("ibis_term_quarantines").set(static_cast<std::int64_t>(counts.mQuarantines));
  counters.counter("ibis_term_stalls").set(static_cast<std::int64_t>(counts.mStalls));
  counters.counter("ibis_term_paces").set(static_cast<std::int64_t>(counts.mThrottleOrders));
  counters.counter("ibis_term_advice_questions")
    .set(static_cast<std::int64_t>(counts.mAdviceRequests));
  counters.counter("ibis_term_ticket_rejections")
    .set(static_cast<std::int64_t>(counts.mTicketRejections));
  counters.counter("ibis_term_moves").set(static_cast<std::int64_t>(counts.mBestEffortMoves));
}

Wire::Order
Coordinator::withPayload(const Scheduling::Order& aOrder) const
{
  const auto job = mState.mJobs.find(aOrder.mTask.mJob);
  const bool starts = aOrder.mKind == Scheduling::OrderKind::Start && job != mState.mJobs.end();
  return ToWire(aOrder, starts ? job->second->mSpec.mPayload : std::string());
}

void
Coordinator::sendOrders()
{
  std::map<Common::InstanceId, std::vector<Wire::Order>> batches;
  for (const Scheduling::Order& order : mState.mOrders) {
    const auto worker = mState.mWorkerIndex.find(order.mLifetime);
    if (worker == mState.mWorkerIndex.end()) {
      continue;
    }
    batches[mState.mWorkers[worker->second].mAgent].push_back(withPayload(order));
  }
  mState.mOrders.clear();
  std::map<Common::InstanceId, std::vector<Wire::Question>> questions;
  for (const Scheduling::AdviceRequest& question : mState.mAdviceRequests) {
    batches.try_emplace(question.mAgent);
    questions[question.mAgent].push_back(ToWire(question, question.mDeadline - mContext.now()));
  }
  mState.mAdviceRequests.clear();
  for (auto& [agent, orders] : batches) {
    if (Peer* peer = peerOf(agent)) {
      sendDirective(*peer, std::move(orders), false, std::move(questions[agent]));
    }
  }
}

void
Coordinator::repeatOrders(Peer& aPeer)
{
  std::vector<Wire::Order> orders;
  for (const auto& [number, order] : mState.mOutstandingOrders) {
    const auto worker = mState.mWorkerIndex.find(order.mLifetime);
    if (worker == mState.mWorkerIndex.end() ||
        mState.mWorkers[worker->second].mAgent != aPeer.mAgent) {
      continue;
    }
    orders.push_back(withPayload(order));
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
Coordinator::sendDirective(Peer& aPeer,
                           std::vector<Wire::Order> aOrders,
                           bool aTellKnown,
                           std::vector<Wire::Question> aQuestions)
{
  Wire::Directive directive;
  directive.term = mTerm.value();
  directive.echoMicros = aPeer.mEcho;
  directive.holdMicros = maxGrant().count();
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
    if (aTellKnown && worker.mAgent == aPeer.mAgent && worker.mLeaseEnd > mContext.now()) {
      directive.known.push_back(ToWire(Scheduling::ViewOf(worker)));
    }
  }
  Wire::Message message;
  message.__set_directive(directive);
  aPeer.mLink->send(Wire::Encode(message));
}

bool
Coordinator::hasSuccessor() const
{
  return std::any_of(
    mPeers.begin(), mPeers.end(), [](const auto& aEntry) { return aEntry.second.mCandidate; });
}

} // namespace Node
