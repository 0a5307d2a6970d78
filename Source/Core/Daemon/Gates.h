#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>

#include "Admission/Admission.h"
#include "Common/Clock.h"
#include "Daemon/Threads.h"

namespace Daemon {

/// The answer to a request that asked for a slot.
struct Admitted
{
  bool mStarted = false;
  Common::Refusal mReason = Common::Refusal::None;
  Common::Duration mRetryAfter{ 0 };
};

/// Gates that share one worker, behind one lock. Threads of requests wait here for their slot.
class Gates
{
public:
  explicit Gates(Common::Clock& aClock);
  ~Gates();
  Gates(const Gates&) = delete;
  Gates& operator=(const Gates&) = delete;

  /// Adds a gate or changes its limits. True if the gate is new.
  bool configure(const std::string& aGate, const Admission::GateLimits& aLimits);
  /// Refuses what waits at the gate and drops it when it is idle.
  void remove(const std::string& aGate);
  void drain(const std::string& aGate, bool aOn);
  /// Takes the endpoint's own count of requests in progress.
  void noteInProgress(const std::string& aGate, Common::Slots aInProgress);

  /// Blocks until the request starts or is refused, which its deadline bounds.
  Admitted enter(const std::string& aGate, const Admission::Request& aRequest);
  /// Must follow each enter() that started.
  void leave(const std::string& aGate,
             const Common::RequestId& aId,
             const Admission::Completion& aFinish);

  /// Runs aUse on the ledger of the worker, and starts what then fits.
  void withLedger(const std::function<void(Admission::WorkerLedger&)>& aUse);
  /// Runs aUse on a gate if it exists.
  bool withGate(const std::string& aGate,
                const std::function<void(const Admission::Gate&)>& aUse) const;
  std::int64_t inUse() const;
  std::int64_t queued() const;

private:
  struct Waiter
  {
    std::condition_variable mDecided;
    bool mDone = false;
    Admitted mAnswer;
  };

  void apply(const Admission::Actions& aActions);
  Common::Duration poll();
  std::int64_t queuedLocked() const;

  Common::Clock& mClock;
  mutable std::mutex mMutex;
  Admission::WorkerLedger mLedger;
  std::map<std::string, Admission::Gate> mGates;
  /// Gates that are dropped when their last request has left.
  std::set<std::string> mRemoved;
  std::unordered_map<Common::RequestId, Waiter*> mWaiters;
  std::unique_ptr<Loop> mPoller;
};

} // namespace Daemon
