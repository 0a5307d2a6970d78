#include "Daemon/BudgetedStore.h"

#include "Store/CallBudget.h"
#include "StoreHttp/HttpStore.h"

namespace Daemon {

namespace {

StoreHttp::HttpStoreOptions
OptionsOf(const Config::Settings& aSettings)
{
  const std::string& address = aSettings.mStoreAddresses.front();
  const std::size_t colon = address.rfind(':');
  StoreHttp::HttpStoreOptions options;
  options.mHost = address.substr(0, colon);
  options.mPort = std::stoi(address.substr(colon + 1));
  options.mTimeout = aSettings.mLimits.mStoreTimeout;
  return options;
}

/// The port and what it refers to.
struct Connection
{
  Connection(const Config::Settings& aSettings, Common::Clock& aClock)
    : mHttp(OptionsOf(aSettings))
    , mPort(mHttp, aClock, mShared, Store::Purpose::Ownership)
  {
    // All purposes share one bucket so far, and the callers wait after failures themselves.
    const double perSecond = aSettings.mLimits.mStoreCallsPerSecond;
    const Store::CallRate none{ 0, 0 };
    mShared.mBudget =
      Store::MakeCallBudget({ none, none, none, none }, { perSecond, perSecond }, aClock.now());
    mShared.mSettings = { Common::Duration(0), Common::Duration(0) };
  }

  StoreHttp::HttpStore mHttp;
  Store::BudgetedStore::Shared mShared;
  Store::BudgetedStore mPort;
};

} // namespace

std::shared_ptr<Store::StorePort>
MakeBudgetedStore(const Config::Settings& aSettings, Common::Clock& aClock)
{
  const auto connection = std::make_shared<Connection>(aSettings, aClock);
  return { connection, &connection->mPort };
}

} // namespace Daemon
