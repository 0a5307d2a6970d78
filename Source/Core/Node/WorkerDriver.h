#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Node/Context.h"

namespace Node {

/// Drives one lifetime of a worker: polls its lists of runs, extends its lease as far as the
/// coordinator granted, and sends it the coordinator's orders.
class WorkerDriver : public std::enable_shared_from_this<WorkerDriver>
{
public:
  struct Callbacks
  {
    /// The view changed in a way that must be reported to the coordinator at once.
    std::function<void()> mOnViewChanged;
    /// All runs of this lifetime have ended. aNextStart identifies the later lifetime that
    /// answered; 0 if there is none.
    std::function<void(Scheduling::LifetimeStart aNextStart)> mOnLifetimeEnded;
    /// The worker has answered as this lifetime for the first time.
    std::function<void()> mOnConfirmed;
    /// Whether no task may start on the worker because its data centre is evacuated. Asked at each
    /// attempt to start one.
    std::function<bool()> mIsEvacuated = [] { return false; };
  };

  WorkerDriver(Context& aContext,
               std::unique_ptr<WorkerPort> aPort,
               Scheduling::WorkerView aView,
               Callbacks aCallbacks);

  /// Begins to poll the worker.
  void start();
  /// Stops polling. Orders that are not sent yet are not sent any more.
  void close();

  /// Takes over what a heartbeat reports. The lists of runs, which come from polls, stay.
  void updateView(const Scheduling::WorkerView& aView);
  /// The worker has said that it ends. It gets no more starts and no longer lease. It may go on for
  /// some time, so its lifetime ends only when nothing listens at its address any more, another
  /// lifetime answers, or its lease has ended.
  void deregister();
  /// Begins to act for a term. Lists from polls of an earlier term no longer count.
  void setTerm(Common::Epoch aTerm);
  /// The coordinator has received the report that was sent at aReportTime and allows leases until
  /// aLeaseEnd. Ignored if the worker has not been responding since aReportTime.
  void extendLease(Timestamp aReportTime, Timestamp aLeaseEnd);
  /// The coordinator has recorded the ended runs up to and including aUpTo; the next poll
  /// acknowledges them to the worker.
  void acknowledgeEnds(Scheduling::EndNumber aUpTo);
  /// Sends an order, again if its answer was lost. A start that the coordinator repeats waits until
  /// the worker's lists show the run or there is a lease to send it with. A start is withdrawn by a
  /// stop of its run, close() and setTerm(), and is not sent again once the lease that it was first
  /// sent under has ended. aDone is called once, with Unknown if none of the attempts was answered.
  void executeOrder(const Scheduling::Order& aOrder,
                    const std::string& aPayload,
                    std::function<void(Scheduling::OrderResult)> aDone);

  /// Withdraws all starts: those that wait are completed with Unknown, and those whose answer is
  /// awaited are not sent again.
  void withdrawStarts();

  /// Whether the worker has answered as this lifetime. An announcement alone may come from another
  /// writer.
  bool isConfirmed() const { return mConfirmed; }
  /// The view without the remaining time of the lease, which changes continuously.
  const Scheduling::WorkerView& view() const { return mView; }
  /// The view with the remaining time of the lease, for a report that is sent now.
  Scheduling::WorkerView viewWithLease() const;
  std::size_t ordersInFlight() const { return mOrdersInFlight; }
  /// The lifetime, as ended now, with the runs that may have ended it.
  Scheduling::EndedLifetime endedLifetime() const;

private:
  /// What became of the polls that were to renew the worker's lease. One that brought the answer to
  /// a check instead counts in none but mSent.
  struct RenewalCounts
  {
    RenewalCounts(Observability::Counters& aCounters, const Common::WorkerId& aWorker);

    Observability::Counter& mSent;
    Observability::Counter& mAnswered;
    Observability::Counter& mFailedAtCheck;
    /// Least time in ms that a lease had left when it was renewed; below 0 if it had ended.
    Observability::Counter& mLeastLeft;
  };

  /// An order whose result has not been passed on yet.
  struct PendingOrder
  {
    Scheduling::Order mOrder;
    std::string mPayload;
    std::function<void(Scheduling::OrderResult)> mDone;
    /// Term in which the order was given; it is not sent in a later one.
    Common::Epoch mTerm;
    int mFinishedAttempts = 0;
    /// End of the lease under which the start was first sent. The coordinator counts on it that the
    /// worker begins no run later.
    std::optional<Timestamp> mLeaseEnd;
    bool mWithdrawn = false;

    /// An earlier attempt may have been carried out, or may still be.
    bool hasEarlierAttempts() const { return mFinishedAttempts > 0 || mOrder.mRepeated; }
  };

  /// A run that may still end the worker.
  struct RecentStart
  {
    Scheduling::CrashSuspect mRun;
    Timestamp mSentAt;
    bool mIsTrial = false;
    /// An attempt got no answer, so the worker may still carry out the start.
    bool mMayComeLate = false;
    /// The last attempt has no result yet.
    bool mIsOpen = true;
  };

  /// Drops the starts that the worker has outlived, given that it was alive at aHeardAt. Returns
  /// true if one of them was a trial.
  bool dropOutlivedStarts(Timestamp aHeardAt);
  /// Counts late starts from now on if the worker lists their runs.
  void findLateStarts();
  void forgetStart(const Scheduling::Order& aOrder);
  void poll();
  void schedulePoll(Duration aDelay);
  void handlePollResult(tl::expected<PollResult, PollError> aResult,
                        Common::Epoch aTerm,
                        Timestamp aSent);
  void updateTaskLists(PollResult aResult, Common::Epoch aTerm);
  void handlePollError(PollError aError);
  void confirm();
  /// True if the worker is deregistered and all its runs have ended.
  bool hasOutlivedLease() const;
  void endLifetime(Scheduling::LifetimeStart aNextStart);
  void recordRenewal();
  void setResponding(bool aResponding);
  /// End of a lease on the worker's clock; nullopt if the lease has ended or no value of the
  /// worker's clock is known.
  std::optional<WorkerTime> onWorkerClock(Timestamp aLeaseEnd) const;
  /// Time by which all runs have ended unless the lease is extended. The worker's clock may have
  /// been slow for the whole lease.
  Timestamp runsEndBy() const;
  void recordWorkerTime(const std::optional<WorkerTime>& aWorkerTime);
  /// Completes the repeated starts whose runs the worker lists, and sends the others if the lease
  /// allows starts.
  void resolveWaitingStarts();
  void withdrawStartsIf(const std::function<bool(const Scheduling::Order&)>& aCondition);
  /// Whether the start may not be sent because the data centre is evacuated. Logs and counts it.
  bool isRefusedAsEvacuated(const Scheduling::Order& aOrder);
  /// Whether a start may be sent under a lease that ends then.
  bool canStart(Timestamp aLeaseEnd) const;
  void send(const std::shared_ptr<PendingOrder>& aPending);
  void handleOrderAnswer(const std::shared_ptr<PendingOrder>& aPending, const OrderAnswer& aAnswer);

  Context& mContext;
  std::unique_ptr<WorkerPort> mPort;
  Scheduling::WorkerView mView;
  Callbacks mCallbacks;
  boost::asio::steady_timer mTimer;
  Common::Epoch mTerm;
  Scheduling::EndNumber mAcknowledged;
  /// Last known value of the worker's clock and the time at which it was received. The worker reads
  /// its clock before it sends the answer, so at the time of receipt the clock shows this value or
  /// a later one.
  std::optional<std::pair<WorkerTime, Timestamp>> mLastWorkerTime;
  /// Latest lease end that this process may request.
  Timestamp mLeaseEnd;
  /// Latest lease end that an earlier process of this instance may have requested.
  Timestamp mInheritedLeaseEnd;
  /// Time by which all runs of a deregistered worker have ended; nullopt if it is registered.
  std::optional<Timestamp> mEndsBy;
  Timestamp mRespondingSince;
  /// Polls without an answer since the last successful poll.
  int mFailedPolls = 0;
  /// Polls without an answer since the last one that extended the lease.
  int mFailedRenewals = 0;
  /// The worker may not have got the lease and the acknowledgements of the last poll.
  bool mRenewalIsOpen = false;
  Timestamp mPollSent;
  /// Timeout of that poll.
  Duration mPollTimeout{ 0 };
  /// Lease end in the last poll, and that in the last one that the worker answered.
  std::optional<Timestamp> mRequestedLeaseEnd;
  std::optional<Timestamp> mRenewedLeaseEnd;
  std::optional<std::int64_t> mLeastLeaseLeft;
  RenewalCounts mRenewalCounts;
  /// End of the time that the last heartbeat named as cold.
  Timestamp mColdUntil;
  /// When the last poll was sent that the worker answered.
  Timestamp mLastAnswered;
  /// Polls with a refused connection since the last successful poll.
  int mRefusedPolls = 0;
  std::size_t mOrdersInFlight = 0;
  std::vector<RecentStart> mRecentStarts;
  /// Last time at which the worker is known to have been alive.
  Timestamp mLastAliveAt;
  /// Repeated starts that are neither sent nor found in the worker's lists.
  std::vector<std::shared_ptr<PendingOrder>> mWaitingStarts;
  /// Starts that were sent and whose answer is awaited.
  std::vector<std::shared_ptr<PendingOrder>> mOpenStarts;
  bool mClosed = false;
  bool mPolling = false;
  bool mConfirmed = false;
};

} // namespace Node
