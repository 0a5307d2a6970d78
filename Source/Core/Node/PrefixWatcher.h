#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Node/Context.h"

namespace Node {

/// Follows all entries under a prefix of the store: a snapshot first, then each change, and a new
/// snapshot when the store no longer has the changes in between.
class PrefixWatcher
{
public:
  struct Events
  {
    /// All entries that exist as of a version. What was known before and is not among them is gone.
    std::function<void(const std::vector<Store::Entry>&, Store::Version)> mSnapshot;
    std::function<void(const Store::WatchResult&)> mChange;
  };

  PrefixWatcher(Context& aContext, std::string aPrefix, Duration aWatchWait, Events aEvents);
  ~PrefixWatcher();
  PrefixWatcher(const PrefixWatcher&) = delete;
  PrefixWatcher& operator=(const PrefixWatcher&) = delete;

  void start();
  /// Takes a new snapshot at once; to be called when a change may have been missed.
  void refresh();
  /// True if the store answered the last call, or within the last second.
  bool isConnected() const;
  /// How long the store took to answer the last read.
  Duration roundTrip() const;

private:
  struct Core;
  std::shared_ptr<Core> mCore;
};

} // namespace Node
