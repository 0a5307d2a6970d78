#include "Daemon/Runtime.h"

#include "Common/Hash.h"
#include "Daemon/BudgetedStore.h"

namespace Daemon {

namespace {

Observability::TracerSettings
TracerSettingsOf(const Config::Settings& aSettings, const Common::Clock& aClock)
{
  Observability::TracerSettings settings;
  settings.mInstance = aSettings.mInstance.mName.str();
  settings.mExportFile = aSettings.mTraceFile;
  // Entries answer for traces of many callers; agents have the memory bound of section 1.4.
  settings.mCapacity = aSettings.mRole == Config::Role::Entry ? 4096 : 1024;
  settings.mSeed =
    Common::HashBytes(settings.mInstance, static_cast<std::uint64_t>(aClock.unixNow().count()));
  return settings;
}

Rpc::ClientPoolSettings
PoolSettings(const Config::Settings& aSettings, std::size_t aMaxPerPeer)
{
  Rpc::ClientPoolSettings settings;
  settings.mMaxPerPeer = aMaxPerPeer;
  settings.mConnectTimeout = aSettings.mLimits.mConnectTimeout;
  return settings;
}

Http::ClientSettings
HttpSettings(const Config::Settings& aSettings)
{
  Http::ClientSettings settings;
  // The agent's gate bounds the connections of each endpoint; this bounds a fault in it.
  settings.mMaxPerAddress = 256;
  settings.mConnectTimeout = aSettings.mLimits.mConnectTimeout;
  return settings;
}

} // namespace

std::shared_ptr<const TablesInForce>
TableHolder::current() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mCurrent;
}

void
TableHolder::set(std::shared_ptr<const TablesInForce> aTables)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mCurrent = std::move(aTables);
}

Runtime::Runtime(Config::Settings aSettings, Common::Clock& aClock)
  : mSettings(std::move(aSettings))
  , mClock(aClock)
  , mIncarnation(aClock.unixNow().count())
  , mTracer(TracerSettingsOf(mSettings, aClock), aClock)
  , mControl(PoolSettings(mSettings, 8), aClock)
  , mRequests(PoolSettings(mSettings, 128), aClock)
  , mHttp(HttpSettings(mSettings), aClock)
  , mStore(MakeBudgetedStore(mSettings, aClock))
  , mBackground(16, 4096)
{
}

Runtime::~Runtime() = default;

Common::Random&
Runtime::random()
{
  static std::atomic<std::uint64_t> sThreads{ 0 };
  thread_local Common::Random sRandom(
    Common::HashBytes(mSettings.mInstance.mName.str(),
                      static_cast<std::uint64_t>(mIncarnation.value()) + ++sThreads));
  return sRandom;
}

std::string_view
Runtime::role() const
{
  return mSettings.mRole == Config::Role::Entry ? "entry" : "agent";
}

} // namespace Daemon
