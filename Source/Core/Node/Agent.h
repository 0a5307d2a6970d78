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
  /// aAdvice may be empty if no queue needs tickets.
  Agent(Context& aContext, MakeWorkerPort aMakePort, std::unique_ptr<AdvicePort> aAdvice);
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

  void answer(const Net::HttpRequest& aRequest, const Net::Responder& aRespond);
  void takeHeartbeat(const Announcement& aAnnouncement);
  void takeFarewell(const WorkerCall& aCall);
  void addWorker(const Scheduling::WorkerView& aView);
  void endLife(const Scheduling::WorkerLifetime& aLife, Scheduling::LifetimeStart aNewBorn);
  void connect();
  void takeLink(std::shared_ptr<Net::Link> aLink);
  void linkLost();
  void takeMessage(const std::string& aBytes);
  void takeDirective(const Wire::Directive& aDirective);
  void carryOut(const Wire::Order& aOrder);
  void askForAdvice(const Wire::Question& aQuestion);
  void finishOrder(std::int64_t aNumber, Scheduling::OrderResult aResult);
  void reportSoon();
  void report();
  void everyReport();
  std::size_t ordersInFlight() const;
  void finishStop();

  Context& mContext;
  MakeWorkerPort mMakePort;
  std::unique_ptr<AdvicePort> mAdvice;
  Net::HttpServer mServer;
  CoordinatorFinder mFinder;
  boost::asio::steady_timer mReportTimer;
  boost::asio::steady_timer mConnectTimer;
  boost::asio::steady_timer mStopTimer;
  std::map<Scheduling::WorkerLifetime, Worker> mWorkers;
  /// Lifetimes that ended, with the time until which reports name them.
  std::map<Scheduling::WorkerLifetime, Timestamp> mEndedLives;
  std::shared_ptr<Net::Link> mLink;
  std::string mLinkAddress;
  bool mConnecting = false;
  /// Pause before the next look for the coordinator; doubled while none answers.
  Duration mReconnect;
  bool mReportPending = false;
  bool mStopping = false;
  Common::Epoch mTerm;
  /// Results of the orders of this term, nothing while one is carried out. The coordinator repeats
  /// orders after a lost connection.
  std::map<std::int64_t, std::optional<Scheduling::OrderResult>> mOrders;
  std::vector<Wire::OrderResult> mResults;
  std::vector<Wire::AdviceAnswer> mAnswers;
  std::function<void()> mStopped;
};

} // namespace Node
