#include "Node/EvacuationWatcher.h"

#include <algorithm>
#include <utility>

#include "Observability/Log.h"

namespace Node {

namespace {

using Observability::Level;
using Observability::Log;

} // namespace

EvacuationWatcher::EvacuationWatcher(Context& aContext,
                                     std::string aRole,
                                     Duration aWatchWait,
                                     std::function<void()> aChanged)
  : mContext(aContext)
  , mRole(std::move(aRole))
  , mChanged(std::move(aChanged))
  , mWatcher(aContext,
             aContext.mFormats.mEvacuationPrefix,
             aWatchWait,
             { [this](const std::vector<Store::Entry>& aEntries, Store::Version aAt) {
                handleSnapshot(aEntries, aAt);
              },
               [this](const Store::WatchResult& aResult) { handleChange(aResult); } })
{
}

void
EvacuationWatcher::start()
{
  if (mContext.mFormats.mEvacuationPrefix.empty()) {
    adopt({}, Store::Version{ 0 });
    return;
  }
  mWatcher.start();
}

void
EvacuationWatcher::handleSnapshot(const std::vector<Store::Entry>& aEntries, Store::Version aAt)
{
  if (mKnown && aAt < mVersion) {
    // The watch that follows brings the changes since this version.
    return;
  }
  Scheduling::EvacuatedDataCentres evacuated;
  for (const Store::Entry& entry : aEntries) {
    addFrom(entry, evacuated);
  }
  adopt(std::move(evacuated), aAt);
}

void
EvacuationWatcher::handleChange(const Store::WatchResult& aResult)
{
  if (aResult.mUpTo < mVersion) {
    return;
  }
  Scheduling::EvacuatedDataCentres evacuated = mEvacuated;
  for (const std::string& key : aResult.mErased) {
    evacuated.erase(dataCentreOf(key));
  }
  bool isUnclear = false;
  for (const Store::Entry& entry : aResult.mChanged) {
    addFrom(entry, evacuated);
    isUnclear =
      isUnclear || std::find(aResult.mErased.begin(), aResult.mErased.end(), entry.mKey) !=
                     aResult.mErased.end();
  }
  adopt(std::move(evacuated), aResult.mUpTo);
  if (isUnclear) {
    mWatcher.refresh();
  }
}

Common::DataCentreId
EvacuationWatcher::dataCentreOf(const std::string& aKey) const
{
  const std::string& prefix = mContext.mFormats.mEvacuationPrefix;
  return Common::DataCentreId(aKey.starts_with(prefix) ? aKey.substr(prefix.size())
                                                       : std::string());
}

void
EvacuationWatcher::addFrom(const Store::Entry& aEntry,
                           Scheduling::EvacuatedDataCentres& aEvacuated) const
{
  const Common::DataCentreId dataCentre = dataCentreOf(aEntry.mKey);
  if (dataCentre.empty()) {
    Log(Level::Warning,
        mRole,
        "ignored an evacuation that names no data centre",
        { { "key", aEntry.mKey }, { "version", std::to_string(aEntry.mVersion.value()) } });
    return;
  }
  if (!mContext.mFormats.mIsEvacuationValue(aEntry.mValue)) {
    Log(Level::Warning,
        mRole,
        "the value of an evacuation cannot be read; its key is in force nevertheless",
        { { "key", aEntry.mKey }, { "version", std::to_string(aEntry.mVersion.value()) } });
  }
  aEvacuated.insert(dataCentre);
}

void
EvacuationWatcher::logChange(std::string_view aText, const Common::DataCentreId& aDataCentre) const
{
  Log(Level::Info,
      mRole,
      std::string(aText),
      { { "data_centre", aDataCentre.str() }, { "version", std::to_string(mVersion.value()) } });
}

void
EvacuationWatcher::adopt(Scheduling::EvacuatedDataCentres aEvacuated, Store::Version aVersion)
{
  const Scheduling::EvacuatedDataCentres before = std::exchange(mEvacuated, std::move(aEvacuated));
  mVersion = aVersion;
  mKnown = true;
  for (const Common::DataCentreId& dataCentre : mEvacuated) {
    if (!before.contains(dataCentre)) {
      logChange("data centre evacuated", dataCentre);
    }
  }
  for (const Common::DataCentreId& dataCentre : before) {
    if (!mEvacuated.contains(dataCentre)) {
      logChange("data centre back in service", dataCentre);
    }
  }
  mContext.mCounters.counter("ibis_data_centres_evacuated")
    .set(static_cast<std::int64_t>(mEvacuated.size()));
  mChanged();
}

} // namespace Node
