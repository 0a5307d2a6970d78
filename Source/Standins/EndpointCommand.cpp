#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "Common/Clock.h"
#include "Common/Random.h"
#include "Standins/Commands.h"
#include "Standins/Options.h"
#include "Standins/Serve.h"

namespace Standins {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::size_t kMaxAudited = 200000;
constexpr std::size_t kAuditedBytes = 256;
constexpr auto kAnnounceEvery = 1s;

struct EndpointOptions
{
  std::string mId = "endpoint-1";
  std::string mPool = "default";
  std::string mAgentHost = "127.0.0.1";
  std::int64_t mAgentPort = 0;
  std::int64_t mSlots = 8;
  std::int64_t mConnections = 60;
  std::int64_t mServiceMillis = 20;
  std::int64_t mConcurrency = 8;
  std::int64_t mLeaveMillis = 1000;
};

struct AuditedRequest
{
  std::string mPath;
  std::string mBody;
  std::uint64_t mRuns = 0;
};

/// State shared by the handlers, the announcer and the main loop; mMutex guards all but the
/// options.
struct Endpoint
{
  EndpointOptions mOptions;
  std::mutex mMutex;
  std::condition_variable mFreed;
  Common::Random mRandom{ 1 };
  std::int64_t mServiceMillis = 0;
  std::int64_t mFailPercent = 0;
  bool mSilent = false;
  bool mLeaving = false;
  std::int64_t mPresent = 0;
  std::int64_t mRunning = 0;
  std::int64_t mMaxPresent = 0;
  std::int64_t mMaxRunning = 0;
  std::uint64_t mServed = 0;
  std::map<std::string, AuditedRequest> mRequests;
};

std::string
RequestIdOf(const httplib::Request& aRequest)
{
  for (const char* header : { "Request-Id", "Idempotency-Key" }) {
    if (aRequest.has_header(header)) {
      return aRequest.get_header_value(header);
    }
  }
  return aRequest.body.substr(0, kAuditedBytes);
}

void
RecordRun(Endpoint& aEndpoint, const httplib::Request& aRequest)
{
  const std::string id = RequestIdOf(aRequest);
  const auto known = aEndpoint.mRequests.find(id);
  if (known != aEndpoint.mRequests.end()) {
    ++known->second.mRuns;
  } else if (aEndpoint.mRequests.size() < kMaxAudited) {
    aEndpoint.mRequests[id] = { aRequest.path, aRequest.body.substr(0, kAuditedBytes), 1 };
  }
}

void
ServeRequest(Endpoint& aEndpoint, const httplib::Request& aRequest, httplib::Response& aResponse)
{
  std::unique_lock<std::mutex> lock(aEndpoint.mMutex);
  aEndpoint.mMaxPresent = std::max(aEndpoint.mMaxPresent, ++aEndpoint.mPresent);
  aEndpoint.mFreed.wait(
    lock, [&aEndpoint] { return aEndpoint.mRunning < aEndpoint.mOptions.mConcurrency; });
  aEndpoint.mMaxRunning = std::max(aEndpoint.mMaxRunning, ++aEndpoint.mRunning);
  RecordRun(aEndpoint, aRequest);
  const std::uint64_t run = ++aEndpoint.mServed;
  const auto service = std::chrono::milliseconds(aEndpoint.mServiceMillis);
  const bool fails =
    static_cast<std::int64_t>(aEndpoint.mRandom.below(100)) < aEndpoint.mFailPercent;
  lock.unlock();
  std::this_thread::sleep_for(service);
  aResponse.set_header("Endpoint-Id", aEndpoint.mOptions.mId);
  aResponse.set_header("Endpoint-Run", std::to_string(run));
  aResponse.status = fails ? 500 : 200;
  const std::string type = aRequest.get_header_value("Content-Type");
  aResponse.set_content(aRequest.body, type.empty() ? "application/octet-stream" : type);
  lock.lock();
  --aEndpoint.mRunning;
  --aEndpoint.mPresent;
  lock.unlock();
  aEndpoint.mFreed.notify_one();
}

json
AuditOf(Endpoint& aEndpoint, bool aSummary, bool aRepeated)
{
  const std::lock_guard<std::mutex> lock(aEndpoint.mMutex);
  json audit{ { "served", aEndpoint.mServed },
              { "running", aEndpoint.mRunning },
              { "max_running", aEndpoint.mMaxRunning },
              { "max_present", aEndpoint.mMaxPresent } };
  if (aSummary) {
    return audit;
  }
  json items = json::array();
  for (const auto& [id, request] : aEndpoint.mRequests) {
    if (!aRepeated || request.mRuns > 1) {
      items.push_back({ { "id", id },
                        { "path", request.mPath },
                        { "body", request.mBody },
                        { "runs", request.mRuns } });
    }
  }
  audit["requests"] = std::move(items);
  return audit;
}

void
AddRoutes(httplib::Server& aServer, Endpoint& aEndpoint)
{
  aServer.Get("/v1/audit",
              [&aEndpoint](const httplib::Request& aRequest, httplib::Response& aResponse) {
                const json audit =
                  AuditOf(aEndpoint, aRequest.has_param("summary"), aRequest.has_param("repeated"));
                Answer(aResponse, audit.dump(-1, ' ', false, json::error_handler_t::replace));
              });
  aServer.Post("/v1/admin/faults",
               [&aEndpoint](const httplib::Request& aRequest, httplib::Response& aResponse) {
                 const std::lock_guard<std::mutex> lock(aEndpoint.mMutex);
                 try {
                   const json body = json::parse(aRequest.body);
                   aEndpoint.mServiceMillis = body.value("service_ms", aEndpoint.mServiceMillis);
                   aEndpoint.mFailPercent = body.value("fail_percent", aEndpoint.mFailPercent);
                   aEndpoint.mSilent = body.value("silent", aEndpoint.mSilent);
                   Answer(aResponse, "{}");
                 } catch (const json::exception& problem) {
                   Answer(aResponse, json{ { "error", problem.what() } }.dump(), 400);
                 }
               });
  const auto serve = [&aEndpoint](const httplib::Request& aRequest, httplib::Response& aResponse) {
    ServeRequest(aEndpoint, aRequest, aResponse);
  };
  aServer.Get(".*", serve);
  aServer.Post(".*", serve);
  aServer.Put(".*", serve);
  aServer.Patch(".*", serve);
  aServer.Delete(".*", serve);
}

// Announces the endpoint to its agent; a failed call is repeated with the next announcement.
void
Announce(Endpoint& aEndpoint, httplib::Client& aAgent, int aPort)
{
  json body;
  {
    const std::lock_guard<std::mutex> lock(aEndpoint.mMutex);
    if (aEndpoint.mSilent) {
      return;
    }
    body = { { "endpoint", aEndpoint.mOptions.mId },
             { "pool", aEndpoint.mOptions.mPool },
             { "address", "127.0.0.1:" + std::to_string(aPort) },
             { "slots", aEndpoint.mOptions.mSlots },
             { "connections", aEndpoint.mOptions.mConnections },
             { "in_progress", aEndpoint.mPresent },
             { "leaving", aEndpoint.mLeaving } };
  }
  aAgent.Post("/ibisshed/v1/announce", body.dump(), "application/json");
}

/// Announces in its own thread, at once after the state changed and otherwise every second.
class Announcer
{
public:
  Announcer(Endpoint& aEndpoint, int aPort)
    : mEndpoint(aEndpoint)
  {
    mThread = std::thread([this, aPort] { run(aPort); });
  }
  ~Announcer()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStop = true;
    }
    mWake.notify_all();
    mThread.join();
  }
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  void announceNow()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mNow = true;
    mWake.notify_all();
  }

private:
  void run(int aPort)
  {
    httplib::Client agent(mEndpoint.mOptions.mAgentHost,
                          static_cast<int>(mEndpoint.mOptions.mAgentPort));
    agent.set_connection_timeout(500ms);
    agent.set_read_timeout(500ms);
    agent.set_keep_alive(true);
    std::unique_lock<std::mutex> lock(mMutex);
    while (!mStop) {
      mNow = false;
      lock.unlock();
      Announce(mEndpoint, agent, aPort);
      lock.lock();
      mWake.wait_for(lock, kAnnounceEvery, [this] { return mStop || mNow; });
    }
  }

  Endpoint& mEndpoint;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mNow = false;
  bool mStop = false;
  std::thread mThread;
};

std::optional<int>
ParseEndpoint(int aCount, char** aArguments, EndpointOptions& aOptions, ServeOptions& aServe)
{
  return ParseOptions(
    aCount,
    aArguments,
    { { "id", "name of the endpoint", nullptr, &aOptions.mId },
      { "pool", "pool that it belongs to", nullptr, &aOptions.mPool },
      { "agent-host", "numeric address of its agent", nullptr, &aOptions.mAgentHost },
      { "agent-port", "HTTP port of its agent; 0 announces to none", &aOptions.mAgentPort },
      { "slots", "announced slots", &aOptions.mSlots },
      { "connections", "announced connections", &aOptions.mConnections },
      { "service-ms", "time to serve a request", &aOptions.mServiceMillis },
      { "concurrency", "requests served at one time", &aOptions.mConcurrency },
      { "leave-ms", "time between leaving and the end, at least", &aOptions.mLeaveMillis } },
    aServe);
}

} // namespace

int
RunEndpoint(int aCount, char** aArguments)
{
  Endpoint endpoint;
  ServeOptions serve;
  // More threads than any agent may use, so that an excess shows in the audit.
  serve.mThreads = 128;
  if (const auto status = ParseEndpoint(aCount, aArguments, endpoint.mOptions, serve)) {
    return *status;
  }
  endpoint.mServiceMillis = endpoint.mOptions.mServiceMillis;
  httplib::Server server;
  AddRoutes(server, endpoint);
  std::unique_ptr<Announcer> announcer;
  std::optional<Common::Timestamp> leftAt;
  const Common::SystemClock clock;
  const auto onListen = [&](int aPort) {
    if (endpoint.mOptions.mAgentPort != 0) {
      announcer = std::make_unique<Announcer>(endpoint, aPort);
    }
  };
  const auto onTick = [&](bool aStopping) {
    if (!aStopping || leftAt) {
      return;
    }
    leftAt = clock.now();
    {
      const std::lock_guard<std::mutex> lock(endpoint.mMutex);
      endpoint.mLeaving = true;
    }
    if (announcer) {
      announcer->announceNow();
    }
  };
  const auto mayStop = [&] {
    const std::lock_guard<std::mutex> lock(endpoint.mMutex);
    const auto since = clock.now() - *leftAt;
    return endpoint.mPresent == 0 &&
           since >= std::chrono::milliseconds(endpoint.mOptions.mLeaveMillis);
  };
  return Serve(server, serve, { onListen, onTick, mayStop });
}

} // namespace Standins
