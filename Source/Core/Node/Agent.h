#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "Net/HttpServer.h"
#include "Net/Link.h"
#include "Node/CoordinatorFinder.h"
#include "Node/EvacuationWatcher.h"
#include "Node/KeptPayloads.h"
#include "Node/WorkerDriver.h"

namespace Node {

/// The process that runs next to a worker. It receives the worker's announcements, reports the
/// worker's state to the coordinator and forwards the coordinator's orders to the worker.
class Agent
{
public:
  /// aAdvicePort may be null if no queue needs tickets.
  Agent(Context& aContext, WorkerPortFactory aPortFactory, std::unique_ptr<AdvicePort> aAdvicePort);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  /// Starts listening and reporting. Returns an error message if the address for announcements
  /// cannot be listened on.
  tl::expected<void, std::string> start();
  /// Sets the counter of open connections.
  void countConnections();
  /// Accepts no more orders. Calls aDone once the orders in flight are answered and reported.
  void stop(std::function<void()> aDone);

private:
  struct EndedWorker
  {
    Scheduling::EndedLifetime mEnded;
    /// Reports contain the lifetime until then.
    Timestamp mReportedUntil;
  };
  struct Worker
  {
    std::shared_ptr<WorkerDriver> mDriver;
    /// Sequence number of the last heartbeat.
    std::int64_t mLastSequence = 0;
    /// False while only a heartbeat, which may come from another writer, says that this lifetime
    /// exists.
    bool mIsReported = false;
  };

  /// What the coordinator said last of this agent's data centre.
  struct OrderedEvacuation
  {
    bool mIsEvacuated = false;
    /// Version of the store as of which it holds.
    Store::Version mVersion;
  };

  void handleRequest(const Net::HttpRequest& aRequest, const Net::Responder& aRespond);
  void handleHeartbeat(const WorkerHeartbeat& aHeartbeat);
  void handleDeregistration(const WorkerAnnouncement& aAnnouncement);
  /// True for a delayed heartbeat of a lifetime that has been replaced since.
  bool isOutdated(const Scheduling::WorkerView& aView) const;
  /// Drops the announced workers that have not answered if there are too many.
  void dropUnconfirmedWorkers();
  bool hasConfirmedWorker() const;
  void addWorker(const Scheduling::WorkerView& aView, bool aIsReported);
  /// The worker has answered as this lifetime, which ends the other lifetimes at its address.
  void confirmWorker(const Scheduling::WorkerLifetime& aLifetime);
  /// Adds the lifetime that answered in place of the one that aView describes.
  void addNextLifetime(Scheduling::WorkerView aView, Scheduling::LifetimeStart aStart);
  void endLifetime(const Scheduling::WorkerLifetime& aLifetime,
                   Scheduling::LifetimeStart aNextStart);
  void connect();
  void onConnected(std::shared_ptr<Net::Link> aLink);
  void onLinkLost();
  /// After the end of the connection over which they were ordered.
  void withdrawStarts();
  void handleMessage(const std::string& aBytes);
  void handleDirective(const Wire::Directive& aDirective);
  void noteEvacuation(const Wire::Directive& aDirective);
  /// True if no task may start here: the newer of what the store and the coordinator said of the
  /// data centre. True also while neither has said anything.
  bool isEvacuated() const;
  void executeOrder(const Wire::Order& aOrder);
  void requestAdvice(const Wire::Question& aQuestion);
  void finishOrder(const Scheduling::Order& aOrder, Scheduling::OrderResult aResult);
  /// Posts a report. Everything else that happens before it runs goes into the same report.
  void reportSoon();
  void report();
  void scheduleReport();
  std::size_t ordersInFlight() const;
  /// Finishes stop() once no order is in flight.
  void awaitOrders();

  Context& mContext;
  WorkerPortFactory mPortFactory;
  std::unique_ptr<AdvicePort> mAdvicePort;
  Net::HttpServer mAnnouncementServer;
  CoordinatorFinder mCoordinatorFinder;
  EvacuationWatcher mEvacuationWatcher;
  std::optional<OrderedEvacuation> mOrderedEvacuation;
  boost::asio::steady_timer mReportTimer;
  boost::asio::steady_timer mConnectTimer;
  boost::asio::steady_timer mStopTimer;
  std::map<Scheduling::WorkerLifetime, Worker> mWorkers;
  std::map<Scheduling::WorkerLifetime, EndedWorker> mEndedLifetimes;
  std::shared_ptr<Net::Link> mLink;
  std::string mLinkAddress;
  /// Payloads that were received over mLink.
  KeptPayloads mKeptPayloads;
  bool mConnecting = false;
  /// Pause before the next attempt to find the coordinator; doubled while none answers.
  Duration mReconnectDelay;
  bool mReportPosted = false;
  bool mStopping = false;
  Common::Epoch mTerm;
  /// Results of this term's orders by order number; nullopt while an order is in flight. The
  /// coordinator repeats orders after a lost connection, and each must be executed only once.
  std::map<std::int64_t, std::optional<Scheduling::OrderResult>> mOrderStates;
  /// Results for the next report.
  std::vector<Wire::OrderResult> mOrderResults;
  /// Answers of the advice service for the next report.
  std::vector<Wire::AdviceAnswer> mAdviceAnswers;
  std::function<void()> mOnStopped;
};

} // namespace Node
