#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "Node/Context.h"

namespace Node {

/// Speaks with one lifetime of a worker: looks at its lists without pause, extends its lease as far
/// as the coordinator granted, and carries out orders.
class WorkerDriver : public std::enable_shared_from_this<WorkerDriver>
{
public:
  struct Callbacks
  {
    /// The view changed in a way that the coordinator should hear at once.
    std::function<void()> mOnViewChanged;
    /// Everything that ran in this lifetime has ended. aNextBorn is the later lifetime that
    /// answered, 0 if there is none.
    std::function<void(Scheduling::Born aNextBorn)> mOnLifetimeEnded;
  };

  WorkerDriver(Context& aContext,
               std::unique_ptr<WorkerPort> aPort,
               Scheduling::WorkerView aView,
               Callbacks aCallbacks);

  void start();
  void close();

  /// What the worker's heartbeats say; the lists stay.
  void updateView(const Scheduling::WorkerView& aView);
  /// Begins to act for a term. Lists that were read before no longer count.
  void setTerm(Common::Epoch aTerm);
  /// The coordinator has seen the report of aReportTime; leases may run until aLeaseEnd.
  void extendLease(Timestamp aReportTime, Timestamp aLeaseEnd);
  void acknowledgeEnds(Scheduling::EndNumber aUpTo);
  /// aDone comes once, with Unknown if no answer came after all tries.
  void executeOrder(const Scheduling::Order& aOrder,
                    const std::string& aPayload,
                    std::function<void(Scheduling::OrderResult)> aDone);

  /// Without the lease's rest, which changes with time.
  const Scheduling::WorkerView& view() const { return mView; }
  /// The view for a report that is sent now.
  Scheduling::WorkerView viewNow() const;
  std::size_t ordersInFlight() const { return mOrdersInFlight; }

private:
  struct PendingOrder
  {
    Scheduling::Order mOrder;
    std::string mPayload;
    std::function<void(Scheduling::OrderResult)> mDone;
    Common::Epoch mTerm;
    int mFinishedAttempts = 0;
  };

  void poll();
  void schedulePoll(Duration aDelay);
  void handlePollResult(tl::expected<PollResult, PollError> aResult,
                        Common::Epoch aTerm,
                        Timestamp aSent);
  void updateTaskLists(PollResult aResult, Common::Epoch aTerm);
  void handlePollError(PollError aError);
  void setResponding(bool aResponding);
  std::optional<WorkerTime> leaseEnd() const;
  void recordWorkerTime(const std::optional<WorkerTime>& aWorkerTime);
  void send(const std::shared_ptr<PendingOrder>& aPending);
  void handleOrderAnswer(const std::shared_ptr<PendingOrder>& aPending, const OrderAnswer& aAnswer);

  Context& mContext;
  std::unique_ptr<WorkerPort> mPort;
  Scheduling::WorkerView mView;
  Callbacks mCallbacks;
  boost::asio::steady_timer mTimer;
  Common::Epoch mTerm;
  Scheduling::EndNumber mAcknowledged;
  /// The worker's clock as of a moment. It is read before the answer travels, so that the worker's
  /// clock shows at least this then.
  std::optional<std::pair<WorkerTime, Timestamp>> mLastWorkerTime;
  /// Latest end of the lease that this process may ask for.
  Timestamp mLeaseEnd;
  /// Latest end that an earlier life of this process may have asked for.
  Timestamp mInheritedLeaseEnd;
  Timestamp mRespondingSince;
  int mFailedPolls = 0;
  int mRefusedPolls = 0;
  std::size_t mOrdersInFlight = 0;
  bool mClosed = false;
  bool mPolling = false;
};

} // namespace Node
