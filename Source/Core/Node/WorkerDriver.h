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
  struct Events
  {
    /// The view changed in a way that the coordinator should hear at once.
    std::function<void()> mChanged;
    /// Everything that ran in this lifetime has ended. aNewBorn is the later lifetime that
    /// answered, 0 if there is none.
    std::function<void(Scheduling::LifetimeStart aNewBorn)> mEnded;
  };

  WorkerDriver(Context& aContext,
               std::unique_ptr<WorkerPort> aPort,
               Scheduling::WorkerView aView,
               Events aEvents);

  void start();
  void close();

  /// What the worker's heartbeats say; the lists stay.
  void update(const Scheduling::WorkerView& aView);
  /// Begins to act for a term. Lists that were read before no longer count.
  void setTerm(Common::Epoch aTerm);
  /// The coordinator has seen the report of aReported; leases may run until aUntil.
  void grant(Timestamp aReported, Timestamp aUntil);
  void forget(Scheduling::EndNumber aUpTo);
  /// aDone comes once, with Unknown if no answer came after all tries.
  void carryOut(const Scheduling::Order& aOrder,
                const std::string& aPayload,
                std::function<void(Scheduling::OrderResult)> aDone);

  /// Without the lease's rest, which changes with time.
  const Scheduling::WorkerView& view() const { return mView; }
  /// The view for a report that is sent now.
  Scheduling::WorkerView viewNow() const;
  std::size_t ordersInFlight() const { return mInFlight; }

private:
  struct Attempt
  {
    Scheduling::Order mOrder;
    std::string mPayload;
    std::function<void(Scheduling::OrderResult)> mDone;
    Common::Epoch mTerm;
    int mTries = 0;
  };

  void look();
  void lookAfter(Duration aDelay);
  void takeLook(tl::expected<Look, LookError> aLook, Common::Epoch aTerm, Timestamp aSent);
  void takeLists(Look aLook, Common::Epoch aTerm);
  void takeLookError(LookError aError);
  void setResponding(bool aResponding);
  std::optional<WorkerClock> leaseEnd() const;
  void noteClock(const std::optional<WorkerClock>& aClock);
  void send(const std::shared_ptr<Attempt>& aAttempt);
  void takeAnswer(const std::shared_ptr<Attempt>& aAttempt, const OrderAnswer& aAnswer);

  Context& mContext;
  std::unique_ptr<WorkerPort> mPort;
  Scheduling::WorkerView mView;
  Events mEvents;
  boost::asio::steady_timer mTimer;
  Common::Epoch mTerm;
  Scheduling::EndNumber mForget;
  /// The worker's clock as of a moment. It is read before the answer travels, so that the worker's
  /// clock shows at least this then.
  std::optional<std::pair<WorkerClock, Timestamp>> mClock;
  /// Latest end of the lease that this process may ask for.
  Timestamp mLeaseEnd;
  /// Latest end that an earlier life of this process may have asked for.
  Timestamp mLeaseBound;
  Timestamp mRespondingSince;
  int mFailures = 0;
  int mRefusals = 0;
  std::size_t mInFlight = 0;
  bool mClosed = false;
  bool mLooking = false;
};

} // namespace Node
