#include "Node/CoordinatorFinder.h"

#include <algorithm>

#include "Node/StoreKeys.h"
#include "Observability/Log.h"

namespace Node {

CoordinatorFinder::CoordinatorFinder(Context& aContext,
                                     Duration aWatchWait,
                                     ChangeCallback aChanged)
  : mChanged(std::move(aChanged))
  , mWatcher(aContext,
             kCoordinatorKey,
             aWatchWait,
             { [this](const std::vector<Store::Entry>& aEntries, Store::Version aAt) {
                mRecord.reset();
                updateRecord(aEntries);
                mChanged(mRecord, aAt);
              },
               [this](const Store::WatchResult& aResult) {
                 // A key that was erased and written again within one batch is in both lists. The
                 // write came last, because the coordinator's key is only written if absent.
                 if (std::find(aResult.mErased.begin(), aResult.mErased.end(), kCoordinatorKey) !=
                     aResult.mErased.end()) {
                   mRecord.reset();
                 }
                 updateRecord(aResult.mChanged);
                 mChanged(mRecord, aResult.mUpTo);
               } })
{
}

void
CoordinatorFinder::updateRecord(const std::vector<Store::Entry>& aEntries)
{
  for (const Store::Entry& entry : aEntries) {
    if (entry.mKey != kCoordinatorKey) {
      continue;
    }
    mRecord = Wire::Decode<Wire::CoordinatorRecord>(entry.mValue);
    if (!mRecord) {
      Observability::Log(
        Observability::Level::Warning, "election", "the coordinator record cannot be decoded");
    }
  }
}

} // namespace Node
