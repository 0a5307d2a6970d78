#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Node/Context.h"

namespace Node {

/// Watches all entries under a key prefix in the store. Delivers a snapshot and then the changes,
/// and a new snapshot when the store's history no longer has the changes in between.
class PrefixWatcher
{
public:
  struct Events
  {
    /// All entries as of a version. Entries that were known before and are missing were erased.
    std::function<void(const std::vector<Store::Entry>&, Store::Version)> mSnapshot;
    std::function<void(const Store::WatchResult&)> mChange;
  };

  /// aWatchWait is how long the store may hold a watch call open.
  PrefixWatcher(Context& aContext, std::string aPrefix, Duration aWatchWait, Events aEvents);
  ~PrefixWatcher();
  PrefixWatcher(const PrefixWatcher&) = delete;
  PrefixWatcher& operator=(const PrefixWatcher&) = delete;

  void start();
  /// Reads a new snapshot at once; to be called when a change may have been missed, also from an
  /// event.
  void refresh();
  /// True if the store answered the last call or answered any call within the last second.
  bool isConnected() const;
  /// Duration of the last read of the store that succeeded.
  Duration roundTrip() const;

private:
  struct Core;
  std::shared_ptr<Core> mCore;
};

} // namespace Node
