#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "Node/Context.h"
#include "Wire/Codec.h"

namespace Node {

/// This process's part in the election of the coordinator. The coordinator is the process whose
/// lease holds kCoordinatorKey; each new holder increments the term.
class Election
{
public:
  struct Events
  {
    /// This process became the coordinator. aResumed is true if it continues its last term, with no
    /// other coordinator in between, so that its state is still valid.
    std::function<void(Common::Epoch aTerm, bool aResumed)> mElected;
    /// This process must not act as coordinator until it is elected again. aReason is for the log.
    std::function<void(std::string_view aReason)> mPaused;
    /// Another process took a higher term; the coordinator's state is no longer valid.
    std::function<void()> mSuperseded;
  };

  /// aAddress is where other processes reach this one while it is the coordinator.
  Election(Context& aContext, std::string aAddress, Events aEvents);
  ~Election();
  Election(const Election&) = delete;
  Election& operator=(const Election&) = delete;

  /// Reports the coordinator's record as of a store version; std::nullopt if there was none. A
  /// claim is delayed by the round-trip time to the store, so that a process near the store wins.
  void observeCoordinator(const std::optional<Wire::CoordinatorRecord>& aRecord,
                          Store::Version aVersion,
                          Duration aRoundTrip);
  /// True while this process may act as coordinator.
  bool mayAct() const;
  /// True while no other process can be coordinator. False during the time for which a coordinator
  /// goes on without an answer of the store, although mayAct() is true then.
  bool isLeaseValid() const;
  /// While this process is the coordinator, no later one acts before this time.
  Timestamp leaseValidUntil() const;
  Common::Epoch term() const;
  /// Precondition of the coordinator's writes: the key is still the one that this process wrote.
  Store::Expectation fencingCondition() const;
  /// Until when earlier coordinators may still act, for example one that the store does not answer.
  Timestamp othersActUntil() const;
  /// The same, from now on.
  Duration othersMayStillAct() const;
  /// Nonce of the coordinator before this one if it may still act; std::nullopt if it resigned or
  /// its process is known to have ended.
  std::optional<std::int64_t> awaitedPredecessor() const;
  /// To be called when the process of awaitedPredecessor() is known to have ended.
  void notePredecessorEnded();
  /// To be called with what the last coordinator wrote with its records: how long those before it
  /// may act from the start of this term on. Ignored unless it is of the term before this one.
  void noteEarlierMayAct(const Wire::RecordsStamp& aStamp);
  /// To be called when a conflict suggests that another process holds the key. Steps down and
  /// claims the key again.
  void suspectKeyLost();
  /// Releases the key, so that another process can take over at once, and claims it no more. aDone
  /// is called also if the release fails.
  void resign(std::function<void()> aDone);

private:
  struct Core;
  std::shared_ptr<Core> mCore;
};

} // namespace Node
