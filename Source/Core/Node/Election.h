#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "Node/Context.h"
#include "Wire/Codec.h"

namespace Node {

/// Takes part in the choice of the coordinator. It is the process that holds the leased key
/// kCoordinatorKey; each new holder raises the term.
class Election
{
public:
  struct Events
  {
    /// This process is the coordinator. aResumed is true if it was so before and nobody else was in
    /// between, so that its state still holds.
    std::function<void(Common::Epoch aTerm, bool aResumed)> mElected;
    /// It must not act until it leads again.
    std::function<void()> mPaused;
    /// Another process has a higher term; the state is void.
    std::function<void()> mSuperseded;
  };

  Election(Context& aContext, std::string aAddress, Events aEvents);
  ~Election();
  Election(const Election&) = delete;
  Election& operator=(const Election&) = delete;

  /// Tells what the store held at a version, nothing if there was no coordinator. aRoundTrip to the
  /// store delays the candidacy, so that a process near the store wins.
  void observeCoordinator(const std::optional<Wire::CoordinatorRecord>& aRecord,
                          Store::Version aAt,
                          Duration aRoundTrip);
  /// True while this process may act as coordinator.
  bool mayAct() const;
  Common::Epoch term() const;
  /// The condition under which the coordinator writes.
  Store::Expectation fencingCondition() const;
  /// A write found another holder, or its outcome suggests so.
  void suspectKeyLost();
  /// Gives the key up, so that another process takes over at once. aDone comes in any case.
  void resign(std::function<void()> aDone);

private:
  struct Core;
  std::shared_ptr<Core> mCore;
};

} // namespace Node
