#include "Store/CallBudget.h"

namespace Store {

BudgetedStore::BudgetedStore(StorePort& aStore,
                             Common::Clock& aClock,
                             Shared& aShared,
                             Purpose aPurpose)
  : mStore(aStore)
  , mClock(aClock)
  , mShared(aShared)
  , mPurpose(aPurpose)
{
}

template<typename Call>
auto
BudgetedStore::limited(Call aCall) -> decltype(aCall())
{
  {
    const std::lock_guard<std::mutex> lock(mShared.mMutex);
    const Common::Timestamp now = mClock.now();
    if (!MayCall(mShared.mBackOff, now) || !TakeCall(mShared.mBudget, mPurpose, now)) {
      return tl::unexpected(StoreError::Unavailable);
    }
  }
  auto result = aCall();
  const std::lock_guard<std::mutex> lock(mShared.mMutex);
  const bool answered =
    result || (result.error() != StoreError::Unavailable && result.error() != StoreError::Unknown);
  if (answered) {
    NoteSuccess(mShared.mBackOff);
  } else {
    NoteFailure(mShared.mBackOff, mShared.mSettings, mClock.now(), mShared.mRandom);
  }
  return result;
}

Result<std::optional<Entry>>
BudgetedStore::read(const std::string& aKey)
{
  return limited([&] { return mStore.read(aKey); });
}

Result<std::vector<Entry>>
BudgetedStore::readPrefix(const std::string& aPrefix, std::size_t aLimit)
{
  return limited([&] { return mStore.readPrefix(aPrefix, aLimit); });
}

Result<Version>
BudgetedStore::compareAndSwap(const std::string& aKey,
                              Version aExpected,
                              const std::string& aValue,
                              std::optional<LeaseId> aLease)
{
  return limited([&] { return mStore.compareAndSwap(aKey, aExpected, aValue, aLease); });
}

Result<void>
BudgetedStore::erase(const std::string& aKey, Version aExpected)
{
  return limited([&] { return mStore.erase(aKey, aExpected); });
}

Result<LeaseId>
BudgetedStore::grantLease(Common::Duration aTimeToLive)
{
  return limited([&] { return mStore.grantLease(aTimeToLive); });
}

Result<void>
BudgetedStore::renewLease(LeaseId aLease)
{
  return limited([&] { return mStore.renewLease(aLease); });
}

Result<void>
BudgetedStore::revokeLease(LeaseId aLease)
{
  return limited([&] { return mStore.revokeLease(aLease); });
}

Result<WatchResult>
BudgetedStore::watch(const std::string& aPrefix, Version aAfter, Common::Duration aTimeout)
{
  return limited([&] { return mStore.watch(aPrefix, aAfter, aTimeout); });
}

} // namespace Store
