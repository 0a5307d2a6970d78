#include "Node/Agent.h"

#include <boost/asio/post.hpp>

#include "Node/Convert.h"
#include "Observability/Log.h"

namespace Node {

namespace {

using Observability::Level;
using Observability::Log;

/// Reports name an ended lifetime for this long, so that a new coordinator hears of it too.
constexpr std::chrono::seconds kNameEnded{ 30 };
/// Results that are kept for repeated orders.
constexpr std::size_t kKeptResults = 2'000;

std::int64_t
Micros(Timestamp aTime)
{
  return aTime.time_since_epoch().count();
}

} // namespace

Agent::Agent(Context& aContext, MakeWorkerPort aMakePort, std::unique_ptr<AdvicePort> aAdvice)
  : mContext(aContext)
  , mMakePort(std::move(aMakePort))
  , mAdvice(std::move(aAdvice))
  , mServer(aContext.mIo,
            Net::HttpLimits{ .mHeaderBytes = 16'384, .mBodyBytes = 4 << 20 },
            [this](const Net::HttpRequest& aRequest, const Net::Responder& aRespond) {
              answer(aRequest, aRespond);
            })
  , mFinder(aContext,
            aContext.mTimes.mAgentWatch,
            [this](const auto&, Store::Version) { connect(); })
  , mReportTimer(aContext.mIo)
  , mConnectTimer(aContext.mIo)
  , mStopTimer(aContext.mIo)
  , mReconnect(aContext.mTimes.mReconnect)
{
}

Agent::~Agent()
{
  for (auto& [life, worker] : mWorkers) {
    worker.mDriver->close();
  }
  if (mLink) {
    mLink->close();
  }
}

tl::expected<void, std::string>
Agent::start()
{
  auto listening = mServer.listen(mContext.mSettings.mAnnouncements);
  if (!listening) {
    return listening;
  }
  mFinder.start();
  everyReport();
  return {};
}

void
Agent::answer(const Net::HttpRequest& aRequest, const Net::Responder& aRespond)
{
  const auto call = mContext.mFormats.mReadWorkerCall(aRequest);
  if (!call) {
    Log(Level::Warning,
        "agent",
        "refused a call of the worker's side",
        { { "target", aRequest.mTarget }, { "reason", call.error() } });
    aRespond({ 400, "{\"error\":\"" + Observability::JsonEscaped(call.error()) + "\"}", {} });
    return;
  }
  if (call->mKind == AnnouncementKind::Heartbeat) {
    takeHeartbeat(call->mAnnouncement);
  } else {
    takeFarewell(*call);
  }
  aRespond({ 200, "{}", {} });
}

void
Agent::takeHeartbeat(const Announcement& aAnnouncement)
{
  const Scheduling::WorkerLifetime& life = aAnnouncement.mView.mLifetime;
  if (mEndedLives.contains(life)) {
    return;
  }
  const auto known = mWorkers.find(life);
  if (known != mWorkers.end()) {
    if (aAnnouncement.mSequence > known->second.mSequence) {
      known->second.mSequence = aAnnouncement.mSequence;
      known->second.mDriver->update(aAnnouncement.mView);
    }
    return;
  }
  std::vector<Scheduling::WorkerLifetime> replaced;
  for (const auto& [other, worker] : mWorkers) {
    if (other.mWorker == life.mWorker ||
        worker.mDriver->view().mAddress == aAnnouncement.mView.mAddress) {
      if (other.mStartedAt > life.mStartedAt) {
        // Delayed on the way; its sender is gone.
        return;
      }
      replaced.push_back(other);
    }
  }
  for (const auto& other : replaced) {
    endLife(other, Scheduling::LifetimeStart{ 0 });
  }
  addWorker(aAnnouncement.mView);
  mWorkers.at(life).mSequence = aAnnouncement.mSequence;
}

void
Agent::takeFarewell(const WorkerCall& aCall)
{
  std::vector<Scheduling::WorkerLifetime> gone;
  for (const auto& [life, worker] : mWorkers) {
    const Scheduling::LifetimeStart born = aCall.mAnnouncement.mView.mLifetime.mStartedAt;
    if (life.mWorker == aCall.mWorker && (born.value() == 0 || born == life.mStartedAt)) {
      gone.push_back(life);
    }
  }
  for (const auto& life : gone) {
    endLife(life, Scheduling::LifetimeStart{ 0 });
  }
}

void
Agent::addWorker(const Scheduling::WorkerView& aView)
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
  const Scheduling::WorkerLifetime life = aView.mLifetime;
  auto driver = std::make_shared<WorkerDriver>(
    mContext,
    mMakePort(aView.mAddress, life.mWorker),
    aView,
    WorkerDriver::Events{
      [this] { reportSoon(); },
      [this, life](Scheduling::LifetimeStart aNewBorn) { endLife(life, aNewBorn); } });
  mWorkers.insert_or_assign(life, Worker{ driver, 0 });
  if (mTerm.value() > 0) {
    driver->setTerm(mTerm);
  }
  driver->start();
}

void
Agent::endLife(const Scheduling::WorkerLifetime& aLife, Scheduling::LifetimeStart aNewBorn)
{
  const auto found = mWorkers.find(aLife);
  if (found == mWorkers.end()) {
    return;
  }
  Log(Level::Warning,
      "agent",
      "a worker's lifetime ended",
      { { "worker", aLife.mWorker.str() },
        { "born", std::to_string(aLife.mStartedAt.value()) },
        { "next", std::to_string(aNewBorn.value()) } });
  const Worker worker = found->second;
  worker.mDriver->close();
  mWorkers.erase(found);
  mEndedLives[aLife] = mContext.now() + kNameEnded;
  if (aNewBorn.value() != 0) {
    Scheduling::WorkerView view = worker.mDriver->view();
    view.mLifetime.mStartedAt = aNewBorn;
    view.mLeaving = false;
    view.mRunning.clear();
    view.mEnded.clear();
    addWorker(view);
  }
  reportSoon();
}

void
Agent::connect()
{
  const auto& record = mFinder.coordinator();
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
  }
  mConnecting = true;
  const std::string address = record->address;
  Net::Link::connect(mContext.mIo,
                     address,
                     mContext.mTimes.mConnect,
                     mContext.mTimes.mPeerSilence,
                     [this, address](std::shared_ptr<Net::Link> aLink) {
                       mConnecting = false;
                       mLinkAddress = address;
                       takeLink(std::move(aLink));
                     });
}

void
Agent::takeLink(std::shared_ptr<Net::Link> aLink)
{
  if (!aLink) {
    linkLost();
    return;
  }
  mLink = std::move(aLink);
  Log(Level::Info, "agent", "connected to the coordinator", { { "address", mLinkAddress } });
  mLink->start(
    { [this](const std::string& aBytes) { takeMessage(aBytes); },
      [this] {
        Log(Level::Warning, "agent", "lost the coordinator", { { "address", mLinkAddress } });
        linkLost();
      } });
  report();
}

void
Agent::linkLost()
{
  mLink.reset();
  if (mStopping) {
    return;
  }
  mConnectTimer.expires_after(mReconnect);
  mReconnect = std::min<Duration>(mReconnect * 2, mContext.mTimes.mReconnectMax);
  mConnectTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      mFinder.refresh();
    }
  });
}

void
Agent::takeMessage(const std::string& aBytes)
{
  const auto message = Wire::Decode<Wire::Message>(aBytes);
  if (!message || !message->__isset.directive) {
    Log(Level::Warning, "agent", "dropped a message that cannot be read");
    return;
  }
  takeDirective(message->directive);
}

void
Agent::takeDirective(const Wire::Directive& aDirective)
{
  if (aDirective.term < mTerm.value()) {
    return;
  }
  mReconnect = mContext.mTimes.mReconnect;
  if (aDirective.term > mTerm.value()) {
    mTerm = Common::Epoch{ aDirective.term };
    mOrders.clear();
    mResults.clear();
    mAnswers.clear();
    for (auto& [life, worker] : mWorkers) {
      worker.mDriver->setTerm(mTerm);
    }
  }
  for (const Wire::WorkerView& known : aDirective.known) {
    // The worker itself confirms or denies the lifetime at the first look.
    const Scheduling::WorkerView view = FromWire(known, mContext.mSettings.mDataCentre);
    if (mWorkers.empty() && !mEndedLives.contains(view.mLifetime) &&
        view.mAddress == mContext.mSettings.mWorker) {
      addWorker(view);
    }
  }
  if (aDirective.echoMicros > 0) {
    const Timestamp reported{ Duration{ aDirective.echoMicros } };
    for (auto& [life, worker] : mWorkers) {
      worker.mDriver->grant(reported, reported + Duration{ aDirective.holdMicros });
    }
  }
  for (const Wire::WorkerAck& ack : aDirective.acks) {
    const auto found =
      mWorkers.find({ Common::WorkerId(ack.worker), Scheduling::LifetimeStart{ ack.born } });
    if (found != mWorkers.end()) {
      found->second.mDriver->forget(Scheduling::EndNumber{ ack.number });
    }
  }
  for (const Wire::Order& order : aDirective.orders) {
    carryOut(order);
  }
  for (const Wire::Question& question : aDirective.questions) {
    askForAdvice(question);
  }
}

void
Agent::askForAdvice(const Wire::Question& aQuestion)
{
  const auto done = [this, number = aQuestion.number, term = mTerm](
                      const std::optional<Scheduling::Advice>& aAdvice) {
    if (term == mTerm) {
      mAnswers.push_back(ToWire(number, aAdvice));
      reportSoon();
    }
  };
  if (!mAdvice) {
    Log(Level::Warning, "agent", "the settings name no advice service");
    done(std::nullopt);
    return;
  }
  std::vector<Common::WorkerId> workers;
  for (const std::string& worker : aQuestion.workers) {
    workers.emplace_back(worker);
  }
  mAdvice->ask(
    FromWire(aQuestion.step), workers, std::chrono::milliseconds(aQuestion.timeoutMs), done);
}

void
Agent::carryOut(const Wire::Order& aOrder)
{
  const auto [known, isNew] = mOrders.try_emplace(aOrder.number);
  if (!isNew) {
    if (known->second) {
      finishOrder(aOrder.number, *known->second);
    }
    return;
  }
  while (mOrders.size() > kKeptResults && mOrders.begin()->second) {
    mOrders.erase(mOrders.begin());
  }
  const Scheduling::Order order = FromWire(aOrder);
  const auto found = mWorkers.find(order.mLifetime);
  if (found == mWorkers.end() || mStopping) {
    finishOrder(aOrder.number,
                mEndedLives.contains(order.mLifetime) ? Scheduling::OrderResult::LifetimeEnded
                                                      : Scheduling::OrderResult::NotSent);
    return;
  }
  found->second.mDriver->carryOut(
    order,
    aOrder.payload,
    [this, number = aOrder.number, term = mTerm](Scheduling::OrderResult aResult) {
      if (term == mTerm) {
        finishOrder(number, aResult);
      }
    });
}

void
Agent::finishOrder(std::int64_t aNumber, Scheduling::OrderResult aResult)
{
  mOrders[aNumber] = aResult;
  Wire::OrderResult result;
  result.number = aNumber;
  result.result = static_cast<std::int32_t>(aResult);
  mResults.push_back(result);
  mContext.mCounters
    .counter("ibis_agent_orders", "result=\"" + std::to_string(static_cast<int>(aResult)) + '"')
    .add();
  if (aResult != Scheduling::OrderResult::Done || mStopping) {
    Log(Level::Info,
        "agent",
        "order not carried out",
        { { "order", std::to_string(aNumber) },
          { "result", std::to_string(static_cast<int>(aResult)) },
          { "term", std::to_string(mTerm.value()) } });
    reportSoon();
  }
}

void
Agent::reportSoon()
{
  if (mReportPending || !mLink) {
    return;
  }
  // What else happens in this turn of the loop goes into the same report.
  mReportPending = true;
  boost::asio::post(mContext.mIo, [this] {
    if (mReportPending) {
      report();
    }
  });
}

void
Agent::report()
{
  mReportPending = false;
  if (!mLink) {
    return;
  }
  const Timestamp now = mContext.now();
  std::erase_if(mEndedLives, [now](const auto& aEntry) { return aEntry.second < now; });
  Wire::Report report;
  report.agentMicros = Micros(now);
  report.instance = mContext.mSettings.mInstance.str();
  report.dataCentre = mContext.mSettings.mDataCentre.str();
  report.term = mTerm.value();
  for (auto& [life, worker] : mWorkers) {
    report.workers.push_back(ToWire(worker.mDriver->viewNow()));
  }
  for (const auto& [life, until] : mEndedLives) {
    Wire::Life ended;
    ended.worker = life.mWorker.str();
    ended.born = life.mStartedAt.value();
    report.endedLives.push_back(std::move(ended));
  }
  report.results = std::move(mResults);
  mResults.clear();
  report.advice = std::move(mAnswers);
  mAnswers.clear();
  Wire::Message message;
  message.__set_report(report);
  mLink->send(Wire::Encode(message));
}

void
Agent::everyReport()
{
  mReportTimer.expires_after(mContext.mTimes.mReport);
  mReportTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      report();
      everyReport();
    }
  });
}

std::size_t
Agent::ordersInFlight() const
{
  std::size_t orders = 0;
  for (const auto& [life, worker] : mWorkers) {
    orders += worker.mDriver->ordersInFlight();
  }
  return orders;
}

void
Agent::stop(std::function<void()> aDone)
{
  mStopping = true;
  mStopped = std::move(aDone);
  report();
  finishStop();
}

void
Agent::finishStop()
{
  constexpr std::chrono::milliseconds kPoll{ 20 };
  if (ordersInFlight() == 0) {
    report();
    mStopped();
    return;
  }
  mStopTimer.expires_after(kPoll);
  mStopTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      finishStop();
    }
  });
}

} // namespace Node
