#pragma once

#include <functional>
#include <optional>

#include "Node/PrefixWatcher.h"
#include "Wire/Codec.h"

namespace Node {

/// Knows who the coordinator is, as far as the store tells.
class CoordinatorFinder
{
public:
  /// Called with each answer of the store that says something new.
  using ChangeCallback =
    std::function<void(const std::optional<Wire::CoordinatorRecord>&, Store::Version)>;

  CoordinatorFinder(Context& aContext, Duration aWatchWait, ChangeCallback aChanged);

  void start() { mWatcher.start(); }
  /// To be called when the coordinator does not answer.
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
