#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "Net/HttpServer.h"
#include "Net/Link.h"
#include "Node/Coordinator.h"
#include "Node/CoordinatorFinder.h"
#include "Node/Election.h"
#include "Node/EvacuationWatcher.h"
#include "Node/JobApi.h"

namespace Node {

/// The process that callers connect to. One of the entries also acts as the coordinator.
class Entry
{
public:
  explicit Entry(Context& aContext);
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// Starts listening and watching the store. Returns an error message if one of the addresses
  /// cannot be listened on.
  tl::expected<void, std::string> start();
  /// Sets the counters of open connections.
  void countConnections();
  /// Reports not ready, hands the coordinator role over and answers callers until the grace period
  /// ends or no connection is left. Each request that was read is answered before. Calls aDone
  /// then.
  void stop(std::function<void()> aDone);
  /// Ends a stop soon, not at the end of the grace period. Each request that was read is still
  /// answered.
  void hurryStop();

private:
  bool isReady() const;
  void handleTablesEntries(const std::vector<Store::Entry>& aEntries);
  void handleCoordinatorRecord(const std::optional<Wire::CoordinatorRecord>& aRecord,
                               Store::Version aVersion);
  void scheduleCheck();
  void finishStopIfDone();
  /// Answers what was read and takes no new connections.
  void beginLastAnswers();
  /// Resigns as coordinator once another entry can take over or the grace period is about to end.
  void handOverIfPossible();

  Context& mContext;
  CoordinatorLink mLink;
  JobApi mJobApi;
  Election mElection;
  Coordinator mCoordinator;
  Net::HttpServer mCallerServer;
  Net::HttpServer mReadinessServer;
  Net::LinkServer mPeerServer;
  PrefixWatcher mTablesWatcher;
  EvacuationWatcher mEvacuationWatcher;
  CoordinatorFinder mCoordinatorFinder;
  boost::asio::steady_timer mCheckTimer;
  std::shared_ptr<const QueueTables> mTables;
  bool mLoggedReady = false;
  bool mStopping = false;
  bool mHandoverStarted = false;
  /// The store has answered that the coordinator's key is given back, or the process is not
  /// coordinator.
  bool mHandedOver = false;
  Timestamp mStopRequestTime;
  /// Set once the last answers have begun.
  std::optional<Timestamp> mReadingEnd;
  /// Set once nothing more is read.
  std::optional<Timestamp> mExitTime;
  std::function<void()> mOnStopped;
};

} // namespace Node
