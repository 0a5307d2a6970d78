#pragma once

#include <functional>
#include <optional>

#include "Node/PrefixWatcher.h"
#include "Wire/Codec.h"

namespace Node {

/// Tracks the coordinator's record in the store.
class CoordinatorFinder
{
public:
  /// Called after each snapshot or change, with the record and the version that it reflects.
  using ChangeCallback =
    std::function<void(const std::optional<Wire::CoordinatorRecord>&, Store::Version)>;

  CoordinatorFinder(Context& aContext, Duration aWatchWait, ChangeCallback aChanged);

  void start() { mWatcher.start(); }
  /// Reads the record again; to be called when the coordinator does not answer.
  void refresh() { mWatcher.refresh(); }
  const std::optional<Wire::CoordinatorRecord>& coordinator() const { return mRecord; }
  const PrefixWatcher& watcher() const { return mWatcher; }

private:
  void updateRecord(const std::vector<Store::Entry>& aEntries);

  std::optional<Wire::CoordinatorRecord> mRecord;
  ChangeCallback mChanged;
  PrefixWatcher mWatcher;
};

} // namespace Node
