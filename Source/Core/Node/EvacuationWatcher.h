#pragma once

#include <functional>
#include <string>

#include "Node/PrefixWatcher.h"

namespace Node {

/// Watches the operators' keys that evacuate data centres and keeps the set of these data centres.
/// While the store does not answer, the last known set stays in force.
class EvacuationWatcher
{
public:
  /// aRole is the component in log lines. aChanged is called after each snapshot and change.
  EvacuationWatcher(Context& aContext,
                    std::string aRole,
                    Duration aWatchWait,
                    std::function<void()> aChanged);

  void start();
  /// False before the first snapshot. Without a key prefix nothing can be evacuated, which is known
  /// at once.
  bool isKnown() const { return mKnown; }
  const Scheduling::EvacuatedDataCentres& evacuated() const { return mEvacuated; }
  /// Version of the store as of which evacuated() holds.
  Store::Version version() const { return mVersion; }

private:
  void handleSnapshot(const std::vector<Store::Entry>& aEntries, Store::Version aAt);
  /// A key that was both written and erased may be there or not: it is in force until a new
  /// snapshot tells.
  void handleChange(const Store::WatchResult& aResult);
  /// Adds the data centre that the entry's key names. Warns about an empty name, which is ignored,
  /// and about a value that the operators' tools do not write, which evacuates nevertheless.
  void addFrom(const Store::Entry& aEntry, Scheduling::EvacuatedDataCentres& aEvacuated) const;
  Common::DataCentreId dataCentreOf(const std::string& aKey) const;
  void adopt(Scheduling::EvacuatedDataCentres aEvacuated, Store::Version aVersion);
  void logChange(std::string_view aText, const Common::DataCentreId& aDataCentre) const;

  Context& mContext;
  std::string mRole;
  std::function<void()> mChanged;
  Scheduling::EvacuatedDataCentres mEvacuated;
  Store::Version mVersion;
  bool mKnown = false;
  PrefixWatcher mWatcher;
};

} // namespace Node
