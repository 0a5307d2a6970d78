#include "UnitTests/Daemon/Fleet.h"

#include <thread>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "Config/Settings.h"
#include "Store/MemoryStore.h"
#include "StoreHttp/StoreServer.h"

namespace DaemonTests {

using namespace std::chrono_literals;

const std::string kRoutes = R"([[route]]
name = "quotes"
pool = "front"
urgency = "interactive"
idempotent = true
deadline_ms = 5000
max_body_kib = 1
match = { path_prefix = "/quote" }

[[route]]
name = "reservations"
pool = "front"
urgency = "standard"
deadline_ms = 5000
match = { path_prefix = "/reserve" }
)";

const std::string kPools = R"([[pool]]
name = "front"
data_centres = ["dc1"]
per_worker = { slots = 4, connections = 8, milli_cores = 1000, memory_mib = 100 }

[[team]]
name = "sales"
quota = { milli_cores = 1000, memory_mib = 100, slots = 4 }

[[client]]
name = "shop"
team = "sales"
)";

bool
Eventually(const std::function<bool()>& aCheck)
{
  const auto end = std::chrono::steady_clock::now() + 20s;
  while (!aCheck()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(20ms);
  }
  return true;
}

struct Fleet::StoreServer
{
  StoreServer()
  {
    mServer.new_task_queue = [] { return new httplib::ThreadPool(16); };
    StoreHttp::AddStoreRoutes(mServer, mStore);
    mPort = mServer.bind_to_any_port("127.0.0.1");
    mThread = std::thread([this] { mServer.listen_after_bind(); });
  }
  ~StoreServer()
  {
    mServer.stop();
    mThread.join();
  }
  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;

  Common::SystemClock mClock;
  Store::MemoryStore mStore{ mClock };
  httplib::Server mServer;
  int mPort = 0;
  std::thread mThread;
};

/// Repeats the endpoint's announcement, as an endpoint does.
class Announcer
{
public:
  explicit Announcer(const std::function<void()>& aAnnounce)
    : mThread([this, aAnnounce] {
      while (!mStop) {
        aAnnounce();
        std::this_thread::sleep_for(200ms);
      }
    })
  {
  }
  ~Announcer()
  {
    mStop = true;
    mThread.join();
  }
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

private:
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

namespace {

Config::Settings
SettingsOf(Config::Role aRole, const std::string& aName, int aStorePort)
{
  Config::Settings settings;
  settings.mRole = aRole;
  settings.mInstance.mName = Common::InstanceId(aName);
  settings.mInstance.mDataCentre = Common::DataCentreId("dc1");
  settings.mInstance.mRegion = Common::RegionId("north");
  if (aRole == Config::Role::Agent) {
    settings.mInstance.mWorker = Common::WorkerId("w1");
  }
  settings.mListen.mHttpPort = 0;
  settings.mListen.mRpcPort = 0;
  settings.mStoreAddresses = { "127.0.0.1:" + std::to_string(aStorePort) };
  settings.mDataCentres = { { Common::DataCentreId("dc1"), Common::RegionId("north") } };
  settings.mTimes.mShutdownGrace = 10s;
  settings.mLimits.mKeepAlive = 1s;
  return settings;
}

} // namespace

Fleet::Fleet()
  : mStore(std::make_unique<StoreServer>())
{
  mEndpoint = std::make_unique<Http::Server>(
    Http::ServerSettings{},
    Http::Handlers{ [this](const Http::Request& aRequest) { return serve(aRequest); }, {} });
  mEndpointAddress = "127.0.0.1:" + std::to_string(mEndpoint->start().value());
  mAgent = std::make_unique<Daemon::Process>(
    SettingsOf(Config::Role::Agent, "agent-1", mStore->mPort), mClock);
  mEntry = std::make_unique<Daemon::Process>(
    SettingsOf(Config::Role::Entry, "entry-1", mStore->mPort), mClock);
}

Fleet::~Fleet()
{
  mHold = false;
  mAnnouncer.reset();
  mEntry.reset();
  mAgent.reset();
}

Http::Response
Fleet::serve(const Http::Request& aRequest)
{
  const int running = ++mRunning;
  int most = mMostRunning;
  while (most < running && !mMostRunning.compare_exchange_weak(most, running)) {
  }
  ++mServed;
  while (mHold) {
    std::this_thread::sleep_for(1ms);
  }
  --mRunning;
  Http::Response response;
  response.mStatus = 207;
  response.mBody = "echo:" + aRequest.mBody;
  response.mHeaders = { { "Seen-Target", aRequest.mTarget },
                        { "Seen-Trace",
                          Http::FindHeader(aRequest.mHeaders, "traceparent").value_or("") } };
  return response;
}

void
Fleet::announce(bool aLeaving)
{
  const nlohmann::json body = { { "endpoint", "endpoint-1" },
                                { "pool", "front" },
                                { "address", mEndpointAddress },
                                { "slots", 4 },
                                { "connections", 8 },
                                { "leaving", aLeaving } };
  static_cast<void>(
    mClient.send(mAgent->httpAddress(), { "POST", "/ibisshed/v1/announce", {}, body.dump() }, 1s));
}

Http::Response
Fleet::ask(const Http::Request& aRequest)
{
  const auto answer = mClient.send(mEntry->httpAddress(), aRequest, 10s);
  return answer ? *answer : Http::Response{ 0, {}, answer.error().mText };
}

Http::Response
Fleet::edit(std::int64_t aBase, const std::string& aRoutes)
{
  const nlohmann::json body = {
    { "base", aBase }, { "routes", aRoutes }, { "pools", kPools }, { "author", "test" }
  };
  return ask({ "POST", "/ibisshed/v1/tables", {}, body.dump() });
}

bool
Fleet::begin()
{
  if (!mAgent->start() || !mEntry->start()) {
    return false;
  }
  mAnnouncer = std::make_unique<Announcer>([this] { announce(false); });
  return Eventually([this] { return edit(0, kRoutes).mStatus == 200; }) && Eventually([this] {
           return ask({ "POST", "/quote", {}, "x" }).mStatus == 207;
         });
}

void
Fleet::stopAgent()
{
  mAgent->stop();
}

void
Fleet::stopEntry()
{
  mEntry->stop();
}

} // namespace DaemonTests
