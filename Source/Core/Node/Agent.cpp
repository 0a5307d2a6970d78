#include "Node/Agent.h"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "Node/ClientLimits.h"
#include "Node/WireConversion.h"
#include "Observability/Log.h"

namespace Node {

namespace {

using Observability::Level;
using Observability::Log;

/// Reports contain an ended lifetime for this long, so that a new coordinator learns of it as well.
constexpr std::chrono::seconds kEndedLifetimeReportTime{ 30 };
/// Announced workers that have not answered. Each of them is polled.
constexpr std::size_t kMaxUnconfirmedWorkers = 8;
/// Order results that are kept to answer repeated orders.
constexpr std::size_t kMaxOrderResults = 2'000;

/// Interval between checks of the progress of a stop.
constexpr std::chrono::milliseconds kStopCheckInterval{ 20 };
/// Checks within which a stop closes the worker's connections.
constexpr int kCloseChecks = 10;

Net::HttpLimits
MakeAnnouncementLimits(const Settings& aSettings)
{
  Net::HttpLimits limits = MakeHttpLimits(aSettings, ShareConnections(aSettings).mClients);
  limits.mBodyBytes = 4 << 20;
  return limits;
}

std::int64_t
MicrosOf(Timestamp aTime)
{
  return aTime.time_since_epoch().count();
}

/// Answers the requests that have been read and closes the connections, then calls aDone.
void
CloseServer(Net::HttpServer& aServer,
            boost::asio::steady_timer& aTimer,
            int aChecks,
            const std::function<void()>& aDone)
{
  aServer.stopReading();
  if (aServer.connections() == 0 || aChecks == 0) {
    aDone();
    return;
  }
  aTimer.expires_after(kStopCheckInterval);
  aTimer.async_wait([&aServer, &aTimer, aChecks, aDone](boost::system::error_code aError) {
    if (!aError) {
      CloseServer(aServer, aTimer, aChecks - 1, aDone);
    }
  });
}

} // namespace

Agent::Agent(Context& aContext,
             WorkerPortFactory aPortFactory,
             std::unique_ptr<AdvicePort> aAdvicePort)
  : mContext(aContext)
  , mPortFactory(std::move(aPortFactory))
  , mAdvicePort(std::move(aAdvicePort))
  , mAnnouncementServer(
      aContext.mIo,
      MakeAnnouncementLimits(aContext.mSettings),
      [this](const Net::HttpRequest& aRequest, const Net::Responder& aRespond) {
        handleRequest(aRequest, aRespond);
      },
      ShareBudget(aContext.mCounters, aContext.mReceiveBudget, "announcements"))
  , mCoordinatorFinder(aContext,
                       aContext.mTiming.mAgentWatchWait,
                       [this](const auto&, Store::Version) { connect(); })
  , mEvacuationWatcher(aContext, "agent", aContext.mTiming.mAgentWatchWait, [] {})
  , mReportTimer(aContext.mIo)
  , mConnectTimer(aContext.mIo)
  , mStopTimer(aContext.mIo)
  , mReconnectDelay(aContext.mTiming.mReconnectDelay)
{
}

Agent::~Agent()
{
  // Without a connection, the orders that the drivers complete below schedule no report.
  if (mLink) {
    mLink->close();
    mLink.reset();
  }
  for (auto& [lifetime, worker] : mWorkers) {
    worker.mDriver->close();
  }
}

tl::expected<void, std::string>
Agent::start()
{
  auto listening = mAnnouncementServer.listen(mContext.mSettings.mAnnouncementAddress);
  if (!listening) {
    return listening;
  }
  mCoordinatorFinder.start();
  mEvacuationWatcher.start();
  scheduleReport();
  return {};
}

void
Agent::countConnections()
{
  SetConnections(mContext.mCounters, "announcements", mAnnouncementServer.connections());
}

void
Agent::handleRequest(const Net::HttpRequest& aRequest, const Net::Responder& aRespond)
{
  const auto announcement = mContext.mFormats.mParseAnnouncement(aRequest);
  if (!announcement) {
    Log(Level::Warning,
        "agent",
        "rejected an invalid announcement of the worker",
        { { "target", aRequest.mTarget }, { "reason", announcement.error() } });
    aRespond(
      { 400, "{\"error\":\"" + Observability::JsonEscaped(announcement.error()) + "\"}", {} });
    return;
  }
  if (announcement->mKind == AnnouncementKind::Heartbeat) {
    handleHeartbeat(announcement->mHeartbeat);
  } else {
    handleDeregistration(*announcement);
  }
  aRespond({ 200, "{}", {} });
}

void
Agent::handleHeartbeat(const WorkerHeartbeat& aHeartbeat)
{
  const Scheduling::WorkerLifetime& lifetime = aHeartbeat.mView.mLifetime;
  if (mEndedLifetimes.contains(lifetime)) {
    return;
  }
  const auto known = mWorkers.find(lifetime);
  if (known != mWorkers.end()) {
    if (aHeartbeat.mSequence > known->second.mLastSequence) {
      known->second.mLastSequence = aHeartbeat.mSequence;
      known->second.mDriver->updateView(aHeartbeat.mView);
    }
    return;
  }
  if (isOutdated(aHeartbeat.mView)) {
    return;
  }
  dropUnconfirmedWorkers();
  addWorker(aHeartbeat.mView, false);
  mWorkers.at(lifetime).mLastSequence = aHeartbeat.mSequence;
}

bool
Agent::isOutdated(const Scheduling::WorkerView& aView) const
{
  return std::any_of(mWorkers.begin(), mWorkers.end(), [&aView](const auto& aEntry) {
    const auto& [lifetime, worker] = aEntry;
    const bool sameWorker = lifetime.mWorker == aView.mLifetime.mWorker;
    const bool sameAddress = worker.mDriver->view().mAddress == aView.mAddress;
    return (sameWorker || sameAddress) && worker.mDriver->isConfirmed() &&
           lifetime.mStartedAt > aView.mLifetime.mStartedAt;
  });
}

void
Agent::dropUnconfirmedWorkers()
{
  std::vector<Scheduling::WorkerLifetime> unconfirmed;
  for (const auto& [lifetime, worker] : mWorkers) {
    if (!worker.mIsReported) {
      unconfirmed.push_back(lifetime);
    }
  }
  if (unconfirmed.size() < kMaxUnconfirmedWorkers) {
    return;
  }
  Log(Level::Warning,
      "agent",
      "dropped announced workers that have not answered",
      { { "count", std::to_string(unconfirmed.size()) } });
  for (const auto& lifetime : unconfirmed) {
    mWorkers.at(lifetime).mDriver->close();
    mWorkers.erase(lifetime);
  }
}

void
Agent::handleDeregistration(const WorkerAnnouncement& aAnnouncement)
{
  for (const auto& [lifetime, worker] : mWorkers) {
    const Scheduling::LifetimeStart startedAt = aAnnouncement.mHeartbeat.mView.mLifetime.mStartedAt;
    if (lifetime.mWorker == aAnnouncement.mWorker &&
        (startedAt.value() == 0 || startedAt == lifetime.mStartedAt)) {
      Log(Level::Info, "agent", "worker deregistered", { { "worker", lifetime.mWorker.str() } });
      worker.mDriver->deregister();
    }
  }
}

void
Agent::addWorker(const Scheduling::WorkerView& aView, bool aIsReported)
{
  std::string labels;
  for (const std::string& label : aView.mLabels) {
    labels += (labels.empty() ? "" : " ") + label;
  }
  Log(Level::Info,
      "agent",
      "worker",
      { { "worker", aView.mLifetime.mWorker.str() },
        { "born", std::to_string(aView.mLifetime.mStartedAt.value()) },
        { "pool", aView.mPool.str() },
        { "millicores", std::to_string(aView.mCapacity.mCores.value()) },
        { "labels", labels } });
  const Scheduling::WorkerLifetime lifetime = aView.mLifetime;
  auto driver = std::make_shared<WorkerDriver>(
    mContext,
    mPortFactory(aView.mAddress, lifetime),
    aView,
    WorkerDriver::Callbacks{
      [this] { reportSoon(); },
      [this, lifetime](Scheduling::LifetimeStart aNextStart) { endLifetime(lifetime, aNextStart); },
      [this, lifetime] { confirmWorker(lifetime); },
      [this] { return isEvacuated(); } });
  mWorkers.insert_or_assign(lifetime, Worker{ driver, 0, aIsReported });
  if (mTerm.value() > 0) {
    driver->setTerm(mTerm);
  }
  driver->start();
}

void
Agent::confirmWorker(const Scheduling::WorkerLifetime& aLifetime)
{
  Worker& confirmed = mWorkers.at(aLifetime);
  confirmed.mIsReported = true;
  // One process listens at the address, so the other lifetimes there have ended.
  std::vector<Scheduling::WorkerLifetime> replaced;
  for (const auto& [other, worker] : mWorkers) {
    const bool sameAddress = worker.mDriver->view().mAddress == confirmed.mDriver->view().mAddress;
    const bool mayBeSame = other.mWorker == aLifetime.mWorker &&
                           !AreDifferentLifetimes(other.mStartedAt, aLifetime.mStartedAt);
    if (sameAddress && !mayBeSame) {
      replaced.push_back(other);
    }
  }
  for (const auto& other : replaced) {
    endLifetime(other, Scheduling::LifetimeStart{ 0 });
  }
}

void
Agent::endLifetime(const Scheduling::WorkerLifetime& aLifetime,
                   Scheduling::LifetimeStart aNextStart)
{
  const auto found = mWorkers.find(aLifetime);
  if (found == mWorkers.end()) {
    return;
  }
  Log(Level::Warning,
      "agent",
      "a worker's lifetime ended",
      { { "worker", aLifetime.mWorker.str() },
        { "born", std::to_string(aLifetime.mStartedAt.value()) },
        { "next", std::to_string(aNextStart.value()) },
        { "answered", found->second.mDriver->isConfirmed() ? "true" : "false" } });
  const Worker worker = found->second;
  worker.mDriver->close();
  mWorkers.erase(found);
  if (worker.mIsReported) {
    mEndedLifetimes[aLifetime] = { worker.mDriver->endedLifetime(),
                                   mContext.now() + kEndedLifetimeReportTime };
  }
  if (aNextStart.value() != 0) {
    addNextLifetime(worker.mDriver->view(), aNextStart);
  }
  reportSoon();
}

void
Agent::addNextLifetime(Scheduling::WorkerView aView, Scheduling::LifetimeStart aStart)
{
  aView.mLifetime.mStartedAt = aStart;
  const auto known = mWorkers.find(aView.mLifetime);
  if (known != mWorkers.end()) {
    known->second.mIsReported = true;
    return;
  }
  if (mEndedLifetimes.contains(aView.mLifetime)) {
    return;
  }
  aView.mAwaitsHeartbeat = true;
  aView.mLeaving = false;
  aView.mColdRemaining = Duration{ 0 };
  aView.mRunning.clear();
  aView.mEnded.clear();
  addWorker(aView, true);
}

void
Agent::connect()
{
  const auto& record = mCoordinatorFinder.coordinator();
  if (!record || mStopping) {
    return;
  }
  if (mLink && mLinkAddress == record->address) {
    return;
  }
  if (mConnecting || record->term < mTerm.value()) {
    return;
  }
  if (mLink) {
    mLink->close();
    mLink.reset();
    withdrawStarts();
  }
  mConnecting = true;
  const std::string address = record->address;
  Net::Link::connect(mContext.mIo,
                     address,
                     mContext.mTiming.mConnectTimeout,
                     mContext.mTiming.mPeerTimeout,
                     [this, address](std::shared_ptr<Net::Link> aLink) {
                       mConnecting = false;
                       mLinkAddress = address;
                       onConnected(std::move(aLink));
                     });
}

void
Agent::onConnected(std::shared_ptr<Net::Link> aLink)
{
  if (!aLink) {
    onLinkLost();
    return;
  }
  mLink = std::move(aLink);
  mKeptPayloads = {};
  Log(Level::Info, "agent", "connected to the coordinator", { { "address", mLinkAddress } });
  mLink->start({ [this](const std::string& aBytes) { handleMessage(aBytes); },
                 [this] {
                   Log(Level::Warning,
                       "agent",
                       "lost the connection to the coordinator",
                       { { "address", mLinkAddress } });
                   onLinkLost();
                 } });
  report();
}

void
Agent::withdrawStarts()
{
  // The coordinator may give these starts up meanwhile; it repeats those that it still awaits.
  for (auto& [lifetime, worker] : mWorkers) {
    worker.mDriver->withdrawStarts();
  }
}

void
Agent::onLinkLost()
{
  mLink.reset();
  withdrawStarts();
  if (mStopping) {
    return;
  }
  mConnectTimer.expires_after(mReconnectDelay);
  mReconnectDelay = std::min<Duration>(mReconnectDelay * 2, mContext.mTiming.mMaxReconnectDelay);
  mConnectTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      mCoordinatorFinder.refresh();
    }
  });
}

void
Agent::handleMessage(const std::string& aBytes)
{
  const auto message = Wire::Decode<Wire::Message>(aBytes);
  if (!message || !message->__isset.directive) {
    Log(Level::Warning, "agent", "dropped a message that cannot be decoded");
    return;
  }
  handleDirective(message->directive);
}

void
Agent::handleDirective(const Wire::Directive& aDirective)
{
  if (aDirective.term < mTerm.value()) {
    return;
  }
  mReconnectDelay = mContext.mTiming.mReconnectDelay;
  noteEvacuation(aDirective);
  if (aDirective.acceptsCompression && mLink) {
    mLink->startCompression();
  }
  if (aDirective.term > mTerm.value()) {
    mTerm = Common::Epoch{ aDirective.term };
    mOrderStates.clear();
    mOrderResults.clear();
    mAdviceAnswers.clear();
    for (auto& [lifetime, worker] : mWorkers) {
      worker.mDriver->setTerm(mTerm);
    }
  }
  for (const Wire::WorkerView& known : aDirective.known) {
    // A worker that the coordinator already knows needs no heartbeat first. The first poll shows
    // whether this lifetime still exists.
    const Scheduling::WorkerView view = FromWire(known, mContext.mSettings.mDataCentre);
    if (!hasConfirmedWorker() && !mWorkers.contains(view.mLifetime) &&
        !mEndedLifetimes.contains(view.mLifetime) &&
        view.mAddress == mContext.mSettings.mWorkerAddress) {
      addWorker(view, true);
    }
  }
  if (aDirective.echoMicros > 0) {
    const Timestamp reported{ Duration{ aDirective.echoMicros } };
    for (auto& [lifetime, worker] : mWorkers) {
      worker.mDriver->extendLease(reported, reported + Duration{ aDirective.holdMicros });
    }
  }
  for (const Wire::WorkerAck& ack : aDirective.acks) {
    const auto found =
      mWorkers.find({ Common::WorkerId(ack.worker), Scheduling::LifetimeStart{ ack.born } });
    if (found != mWorkers.end()) {
      found->second.mDriver->acknowledgeEnds(Scheduling::EndNumber{ ack.number });
    }
  }
  for (const Wire::Order& order : aDirective.orders) {
    executeOrder(order);
  }
  for (const Wire::Question& question : aDirective.questions) {
    requestAdvice(question);
  }
}

void
Agent::noteEvacuation(const Wire::Directive& aDirective)
{
  if (!aDirective.__isset.evacuationVersion) {
    return;
  }
  const Store::Version version{ aDirective.evacuationVersion };
  if (mOrderedEvacuation && version < mOrderedEvacuation->mVersion) {
    return;
  }
  const bool was = mOrderedEvacuation && mOrderedEvacuation->mIsEvacuated;
  mOrderedEvacuation = { aDirective.evacuated, version };
  if (aDirective.evacuated != was) {
    Log(Level::Info,
        "agent",
        aDirective.evacuated ? "data centre evacuated, says the coordinator"
                             : "data centre back in service, says the coordinator",
        { { "data_centre", mContext.mSettings.mDataCentre.str() },
          { "version", std::to_string(version.value()) } });
  }
}

bool
Agent::isEvacuated() const
{
  const bool watched = mEvacuationWatcher.isKnown();
  if (mOrderedEvacuation &&
      (!watched || mOrderedEvacuation->mVersion > mEvacuationWatcher.version())) {
    return mOrderedEvacuation->mIsEvacuated;
  }
  return !watched || mEvacuationWatcher.evacuated().contains(mContext.mSettings.mDataCentre);
}

bool
Agent::hasConfirmedWorker() const
{
  return std::any_of(mWorkers.begin(), mWorkers.end(), [](const auto& aEntry) {
    return aEntry.second.mDriver->isConfirmed();
  });
}

void
Agent::requestAdvice(const Wire::Question& aQuestion)
{
  const auto done = [this, number = aQuestion.number, term = mTerm](
                      const std::optional<Scheduling::Advice>& aAdvice) {
    if (term == mTerm) {
      mAdviceAnswers.push_back(ToWire(number, aAdvice));
      reportSoon();
    }
  };
  if (!mAdvicePort) {
    Log(Level::Warning, "agent", "no advice service is configured");
    done(std::nullopt);
    return;
  }
  std::vector<Common::WorkerId> workers;
  for (const std::string& worker : aQuestion.workers) {
    workers.emplace_back(worker);
  }
  mAdvicePort->requestAdvice(
    FromWire(aQuestion.step), workers, std::chrono::milliseconds(aQuestion.timeoutMs), done);
}

void
Agent::executeOrder(const Wire::Order& aOrder)
{
  const Scheduling::Order order = FromWire(aOrder);
  const bool starts = order.mKind == Scheduling::OrderKind::Start;
  if (starts && !aOrder.payloadKept) {
    KeepPayload(mKeptPayloads, order.mTask.mJob, aOrder.payload);
  }
  const auto [known, isNew] = mOrderStates.try_emplace(order.mNumber);
  if (!isNew) {
    if (known->second) {
      finishOrder(order, *known->second);
    }
    return;
  }
  while (mOrderStates.size() > kMaxOrderResults && mOrderStates.begin()->second) {
    mOrderStates.erase(mOrderStates.begin());
  }
  const auto found = mWorkers.find(order.mLifetime);
  if (found == mWorkers.end() || mStopping) {
    finishOrder(order,
                mEndedLifetimes.contains(order.mLifetime) ? Scheduling::OrderResult::LifetimeEnded
                                                          : Scheduling::OrderResult::NotSent);
    return;
  }
  const auto payload = mKeptPayloads.mPayloads.find(order.mTask.mJob);
  if (starts && payload == mKeptPayloads.mPayloads.end()) {
    Log(Level::Error,
        "agent",
        "a start order came without the payload of its job",
        { { "job", order.mTask.mJob.str() } });
    finishOrder(order, Scheduling::OrderResult::NotSent);
    return;
  }
  found->second.mDriver->executeOrder(order,
                                      starts ? payload->second : std::string(),
                                      [this, order, term = mTerm](Scheduling::OrderResult aResult) {
                                        if (term == mTerm) {
                                          finishOrder(order, aResult);
                                        }
                                      });
}

void
Agent::finishOrder(const Scheduling::Order& aOrder, Scheduling::OrderResult aResult)
{
  mOrderStates[aOrder.mNumber] = aResult;
  Wire::OrderResult result;
  result.number = aOrder.mNumber;
  result.result = static_cast<std::int32_t>(aResult);
  result.evacuated = aOrder.mKind == Scheduling::OrderKind::Start &&
                     aResult == Scheduling::OrderResult::NotSent && isEvacuated();
  mOrderResults.push_back(result);
  mContext.mCounters
    .counter("ibis_agent_orders", "result=\"" + std::to_string(static_cast<int>(aResult)) + '"')
    .add();
  if (aResult != Scheduling::OrderResult::Done) {
    Log(Level::Info,
        "agent",
        "order not carried out",
        { { "order", std::to_string(aOrder.mNumber) },
          { "kind", std::string(Scheduling::KindText(aOrder.mKind)) },
          { "job", aOrder.mTask.mJob.str() },
          { "run", Scheduling::DescribeRun(aOrder.mTask, aOrder.mRun, aOrder.mLifetime) },
          { "result", std::string(Scheduling::ResultText(aResult)) },
          { "term", std::to_string(mTerm.value()) } });
  }
  if (aResult != Scheduling::OrderResult::Done || mStopping) {
    reportSoon();
  }
}

void
Agent::reportSoon()
{
  if (mReportPosted || !mLink) {
    return;
  }
  // What else happens in this turn of the loop goes into the same report.
  mReportPosted = true;
  boost::asio::post(mContext.mIo, [this] {
    if (mReportPosted) {
      report();
    }
  });
}

void
Agent::report()
{
  mReportPosted = false;
  if (!mLink) {
    return;
  }
  const Timestamp now = mContext.now();
  std::erase_if(mEndedLifetimes,
                [now](const auto& aEntry) { return aEntry.second.mReportedUntil < now; });
  Wire::Report report;
  report.agentMicros = MicrosOf(now);
  report.instance = mContext.mSettings.mInstance.str();
  report.dataCentre = mContext.mSettings.mDataCentre.str();
  report.term = mTerm.value();
  report.keepsPayloads = true;
  for (auto& [lifetime, worker] : mWorkers) {
    if (worker.mIsReported) {
      report.workers.push_back(ToWire(worker.mDriver->viewWithLease()));
    }
  }
  for (const auto& [lifetime, ended] : mEndedLifetimes) {
    report.endedLives.push_back(ToWire(ended.mEnded));
  }
  report.results = std::move(mOrderResults);
  mOrderResults.clear();
  report.advice = std::move(mAdviceAnswers);
  mAdviceAnswers.clear();
  Wire::Message message;
  message.__set_report(report);
  mLink->send(Wire::Encode(message));
}

void
Agent::scheduleReport()
{
  mReportTimer.expires_after(mContext.mTiming.mReportInterval);
  mReportTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      report();
      scheduleReport();
    }
  });
}

std::size_t
Agent::ordersInFlight() const
{
  std::size_t orders = 0;
  for (const auto& [lifetime, worker] : mWorkers) {
    orders += worker.mDriver->ordersInFlight();
  }
  return orders;
}

void
Agent::stop(std::function<void()> aDone)
{
  mStopping = true;
  mOnStopped = std::move(aDone);
  report();
  awaitOrders();
}

void
Agent::awaitOrders()
{
  if (ordersInFlight() == 0) {
    report();
    mAnnouncementServer.announceClose();
    mAnnouncementServer.stopListening();
    CloseServer(mAnnouncementServer, mStopTimer, kCloseChecks, mOnStopped);
    return;
  }
  mStopTimer.expires_after(kStopCheckInterval);
  mStopTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      awaitOrders();
    }
  });
}

} // namespace Node
