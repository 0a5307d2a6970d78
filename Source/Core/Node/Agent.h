#pragma once

#include <deque>
#include <map>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "Net/HttpServer.h"
#include "Net/Link.h"
#include "Node/CoordinatorFinder.h"
#include "Node/WorkerDriver.h"

namespace Node {

/// The process beside a worker. It takes the worker's announcements, reports to the coordinator and
/// passes its orders on.
class Agent
{
public:
  /// aAdvicePort may be empty if no queue needs tickets.
  Agent(Context& aContext, WorkerPortFactory aPortFactory, std::unique_ptr<AdvicePort> aAdvicePort);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  /// Returns why the agent cannot listen.
  tl::expected<void, std::string> start();
  /// Takes no orders any more; aDone comes when those in flight are settled and reported.
  void stop(std::function<void()> aDone);

private:
  struct Worker
  {
    std::shared_ptr<WorkerDriver> mDriver;
    std::int64_t mSequence = 0;
  };

  void handleRequest(const Net::HttpRequest& aRequest, const Net::Responder& aRespond);
  void handleHeartbeat(const WorkerHeartbeat& aHeartbeat);
  void handleDeregistration(const WorkerAnnouncement& aAnnouncement);
  void addWorker(const Scheduling::WorkerView& aView);
  void endLifetime(const Scheduling::Life& aLife, Scheduling::Born aNextBorn);
  void connect();
  void onConnected(std::shared_ptr<Net::Link> aLink);
  void onLinkLost();
  void handleMessage(const std::string& aBytes);
  void handleDirective(const Wire::Directive& aDirective);
  void executeOrder(const Wire::Order& aOrder);
  void requestAdvice(const Wire::Question& aQuestion);
  void finishOrder(std::int64_t aNumber, Scheduling::OrderResult aResult);
  void reportSoon();
  void report();
  void scheduleReport();
  std::size_t ordersInFlight() const;
  void awaitOrders();

  Context& mContext;
  WorkerPortFactory mPortFactory;
  std::unique_ptr<AdvicePort> mAdvicePort;
  Net::HttpServer mServer;
  CoordinatorFinder mFinder;
  boost::asio::steady_timer mReportTimer;
  boost::asio::steady_timer mConnectTimer;
  boost::asio::steady_timer mStopTimer;
  std::map<Scheduling::Life, Worker> mWorkers;
  /// Lifetimes that ended, with the time until which reports name them.
  std::map<Scheduling::Life, Timestamp> mEndedLifetimes;
  std::shared_ptr<Net::Link> mLink;
  std::string mLinkAddress;
  bool mConnecting = false;
  /// Pause before the next look for the coordinator; doubled while none answers.
  Duration mReconnectDelay;
  bool mReportPosted = false;
  bool mStopping = false;
  Common::Epoch mTerm;
  /// Results of the orders of this term, nothing while one is carried out. The coordinator repeats
  /// orders after a lost connection.
  std::map<std::int64_t, std::optional<Scheduling::OrderResult>> mOrderStates;
  std::vector<Wire::OrderResult> mOrderResults;
  std::vector<Wire::AdviceAnswer> mAdviceAnswers;
  std::function<void()> mOnStopped;
};

} // namespace Node
