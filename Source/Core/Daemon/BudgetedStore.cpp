#include "Daemon/BudgetedStore.h"

#include <algorithm>
#include <mutex>

#include "StoreHttp/HttpStore.h"

namespace Daemon {

namespace {

class BudgetedStore final : public Store::StorePort
{
public:
  BudgetedStore(std::unique_ptr<Store::StorePort> aStore,
                double aCallsPerSecond,
                const Common::Clock& aClock)
    : mStore(std::move(aStore))
    , mClock(aClock)
    , mPerSecond(aCallsPerSecond)
    , mTokens(aCallsPerSecond)
    , mRefilled(aClock.now())
  {
  }

  Store::Result<std::optional<Store::Entry>> read(const std::string& aKey) override
  {
    return spend() ? mStore->read(aKey) : tl::unexpected(Store::StoreError::Unavailable);
  }
  Store::Result<std::vector<Store::Entry>> readPrefix(const std::string& aPrefix,
                                                      std::size_t aLimit) override
  {
    return spend() ? mStore->readPrefix(aPrefix, aLimit)
                   : tl::unexpected(Store::StoreError::Unavailable);
  }
  Store::Result<Store::Version> compareAndSwap(const std::string& aKey,
                                               Store::Version aExpected,
                                               const std::string& aValue,
                                               std::optional<Store::LeaseId> aLease) override
  {
    return spend() ? mStore->compareAndSwap(aKey, aExpected, aValue, aLease)
                   : tl::unexpected(Store::StoreError::Unavailable);
  }
  Store::Result<void> erase(const std::string& aKey, Store::Version aExpected) override
  {
    return spend() ? mStore->erase(aKey, aExpected)
                   : tl::unexpected(Store::StoreError::Unavailable);
  }
  Store::Result<Store::LeaseId> grantLease(Common::Duration aTimeToLive) override
  {
    return spend() ? mStore->grantLease(aTimeToLive)
                   : tl::unexpected(Store::StoreError::Unavailable);
  }
  Store::Result<void> renewLease(Store::LeaseId aLease) override
  {
    return spend() ? mStore->renewLease(aLease) : tl::unexpected(Store::StoreError::Unavailable);
  }
  Store::Result<void> revokeLease(Store::LeaseId aLease) override
  {
    return spend() ? mStore->revokeLease(aLease) : tl::unexpected(Store::StoreError::Unavailable);
  }
  Store::Result<Store::WatchResult> watch(const std::string& aPrefix,
                                          Store::Version aAfter,
                                          Common::Duration aTimeout) override
  {
    return spend() ? mStore->watch(aPrefix, aAfter, aTimeout)
                   : tl::unexpected(Store::StoreError::Unavailable);
  }

private:
  bool spend()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const Common::Timestamp now = mClock.now();
    const std::chrono::duration<double> passed = now - mRefilled;
    mTokens = std::min(mPerSecond, mTokens + passed.count() * mPerSecond);
    mRefilled = now;
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

  std::unique_ptr<Store::StorePort> mStore;
  const Common::Clock& mClock;
  std::mutex mMutex;
  double mPerSecond;
  double mTokens;
  Common::Timestamp mRefilled;
};

} // namespace

std::unique_ptr<Store::StorePort>
MakeBudgetedStore(const Config::Settings& aSettings, const Common::Clock& aClock)
{
  const std::string& address = aSettings.mStoreAddresses.front();
  const std::size_t colon = address.rfind(':');
  StoreHttp::HttpStoreOptions options;
  options.mHost = address.substr(0, colon);
  options.mPort = std::stoi(address.substr(colon + 1));
  options.mTimeout = aSettings.mLimits.mStoreTimeout;
  return std::make_unique<BudgetedStore>(std::make_unique<StoreHttp::HttpStore>(options),
                                         aSettings.mLimits.mStoreCallsPerSecond,
                                         aClock);
}

} // namespace Daemon
