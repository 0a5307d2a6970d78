#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Clock.h"
#include "Common/Random.h"
#include "Common/Units.h"
#include "Config/Settings.h"
#include "Daemon/Threads.h"
#include "Http/Client.h"
#include "Observability/Counters.h"
#include "Observability/Tracer.h"
#include "Rpc/ClientPool.h"
#include "Spread/Adoption.h"
#include "Store/StorePort.h"
#include "Tables/RouteIndex.h"
#include "Tables/Tables.h"

namespace Daemon {

/// One revision of the tables, ready for use; never changed after it is made.
struct TablesInForce
{
  Spread::Digest mDigest;
  std::string mRoutesText;
  std::string mPoolsText;
  Tables::TableSet mTables;
  Tables::RouteIndex mIndex;
};

/// The tables that the process works by.
class TableHolder
{
public:
  /// Null until the process has tables.
  std::shared_ptr<const TablesInForce> current() const;
  void set(std::shared_ptr<const TablesInForce> aTables);

private:
  mutable std::mutex mMutex;
  std::shared_ptr<const TablesInForce> mCurrent;
};

/// What every part of the process uses. The addresses are set before any service starts.
struct Runtime
{
  Runtime(Config::Settings aSettings, Common::Clock& aClock);
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  /// Random numbers are drawn from a generator of the calling thread.
  Common::Random& random();
  std::string_view role() const;
  bool leaving() const { return mLeaving.load(); }
  Common::InstanceId self() const { return mSettings.mInstance.mName; }
  const std::string& dataCentre() const { return mSettings.mInstance.mDataCentre.str(); }

  const Config::Settings mSettings;
  Common::Clock& mClock;
  /// Unix milliseconds at the start of the process.
  const Common::Incarnation mIncarnation;
  Observability::Counters mCounters;
  Observability::Tracer mTracer;
  TableHolder mTables;
  /// Calls between processes but for `execute`, so that a flood of requests does not use up the
  /// connections of the control calls.
  Rpc::ClientPool mControl;
  Rpc::ClientPool mRequests;
  Http::Client mHttp;
  std::shared_ptr<Store::StorePort> mStore;
  /// "ip:port" under which other processes reach this one.
  std::string mRpcAddress;
  std::string mHttpAddress;
  std::atomic<bool> mLeaving{ false };
  /// For calls that nobody waits for.
  WorkerThreads mBackground;
};

} // namespace Daemon
