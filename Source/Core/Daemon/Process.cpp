#include "Daemon/Process.h"

#include <thread>

#include "Daemon/AgentNode.h"
#include "Daemon/CellOwner.h"
#include "Daemon/ClientRefusals.h"
#include "Daemon/ControlHandler.h"
#include "Daemon/EntryApi.h"
#include "Daemon/EntryDispatch.h"
#include "Daemon/EntryPools.h"
#include "Daemon/Peers.h"
#include "Daemon/Runtime.h"
#include "Daemon/SpreadService.h"
#include "Http/Server.h"
#include "Observability/Log.h"
#include "Rpc/Server.h"

namespace Daemon {

namespace {

using Observability::Level;
using Observability::Log;

// An agent serves the endpoints beside it and operators; its machine has this memory.
constexpr std::size_t kAgentConnections = 64;
constexpr std::size_t kAgentMemoryMb = 128;

static_assert(Config::kClientConnectionBytes == Http::kConnectionCost);

Http::ClientLimits
ClientLimitsOf(const Config::Settings& aSettings)
{
  const Config::LimitSettings& limits = aSettings.mLimits;
  auto memoryMb = static_cast<std::size_t>(Config::MemoryMbOf(limits));
  Http::ClientLimits clients;
  clients.mConnections = limits.mMaxConnections;
  if (aSettings.mRole == Config::Role::Agent) {
    memoryMb = std::min(memoryMb, kAgentMemoryMb);
    clients.mConnections = std::min(clients.mConnections, kAgentConnections);
  }
  // The other half is for the program itself, its tables, links to other processes and stacks.
  clients.mBudget = (memoryMb << 20) / 2;
  clients.mHeaderFields = limits.mMaxHeaderFields;
  clients.mBodyValues = limits.mMaxBodyValues;
  clients.mBodyDepth = limits.mMaxBodyDepth;
  clients.mMinRate = std::size_t{ limits.mMinRateKib } << 10;
  return clients;
}

Http::ServerSettings
HttpSettingsOf(const Config::Settings& aSettings)
{
  const Config::LimitSettings& limits = aSettings.mLimits;
  Http::ServerSettings settings;
  settings.mAddress = aSettings.mListen.mAddress;
  settings.mPort = aSettings.mListen.mHttpPort;
  settings.mClients = ClientLimitsOf(aSettings);
  settings.mMaxBody = static_cast<std::size_t>(limits.mMaxBody.value());
  settings.mReadTimeout = limits.mHttpReadTimeout;
  settings.mKeepAlive = limits.mKeepAlive;
  if (aSettings.mRole == Config::Role::Agent) {
    // The largest announcement and more.
    settings.mMaxBody = 64 << 10;
  }
  return settings;
}

Rpc::ServerSettings
RpcSettingsOf(const Config::Settings& aSettings)
{
  Rpc::ServerSettings settings;
  settings.mAddress = aSettings.mListen.mAddress;
  settings.mPort = aSettings.mListen.mRpcPort;
  settings.mMaxConnections = aSettings.mLimits.mMaxConnections;
  return settings;
}

} // namespace

struct Process::Parts
{
  Parts(Config::Settings aSettings, Common::Clock& aClock)
    : mRuntime(std::move(aSettings), aClock)
  {
    if (mRuntime.mSettings.mRole == Config::Role::Agent) {
      mAgent = std::make_unique<AgentNode>(mRuntime, mSpread, mPeers, mCells, mOwner);
    }
    mApi = std::make_unique<EntryApi>(mRuntime, mDispatch, mPools, mPeers, mCells, mSpread);
  }

  bool isEntry() const { return mAgent == nullptr; }

  Http::Response answer(Http::Request&& aRequest)
  {
    const Http::ServerUsage usage = mHttpServer->usage();
    mConnections.set(static_cast<std::int64_t>(usage.mConnections));
    mBudgetUsed.set(static_cast<std::int64_t>(usage.mBytes));
    return isEntry() ? mApi->answer(std::move(aRequest)) : mAgent->answerHttp(aRequest);
  }

  Runtime mRuntime;
  PeerBook mPeers{ mRuntime.self().str() };
  CellBook mCells;
  SpreadService mSpread{ mRuntime, mPeers, mCells };
  CellOwner mOwner{ mRuntime, mSpread, mPeers, mCells };
  EntryPools mPools{ mRuntime, mPeers, mCells };
  EntryDispatch mDispatch{ mRuntime, mPools, mCells };
  std::unique_ptr<AgentNode> mAgent;
  std::unique_ptr<EntryApi> mApi;
  ClientRefusals mRefusals{ mRuntime.mCounters, mRuntime.mClock };
  Observability::Counter& mConnections =
    mRuntime.mCounters.counter("http_connections", "listener=\"http\"");
  Observability::Counter& mBudgetUsed = mRuntime.mCounters.counter("http_budget_used_bytes");
  std::unique_ptr<Rpc::Server> mRpcServer;
  std::unique_ptr<Http::Server> mHttpServer;
  bool mStarted = false;
};

Process::Process(Config::Settings aSettings, Common::Clock& aClock)
  : mParts(std::make_unique<Parts>(std::move(aSettings), aClock))
{
}

Process::~Process()
{
  // Threads that are still running refer to the parts, so the order of the shutdown holds here,
  // too.
  if (mParts->mStarted) {
    stop();
  }
}

tl::expected<void, std::string>
Process::start()
{
  Parts& parts = *mParts;
  Runtime& runtime = parts.mRuntime;
  const Config::ListenSettings& listen = runtime.mSettings.mListen;
  const std::string advertised =
    listen.mAdvertiseAddress.empty() ? listen.mAddress : listen.mAdvertiseAddress;
  for (const Config::Peer& peer : runtime.mSettings.mPeers) {
    parts.mPeers.note(
      { peer.mName.str(), peer.mAddress, peer.mDataCentre.str(), "", 0, runtime.mClock.now() });
  }
  parts.mRpcServer = std::make_unique<Rpc::Server>(
    RpcSettingsOf(runtime.mSettings),
    MakeControlHandler(runtime, parts.mSpread, parts.mOwner, parts.mAgent.get()));
  const auto rpcPort = parts.mRpcServer->start();
  if (!rpcPort) {
    return tl::unexpected(rpcPort.error());
  }
  runtime.mRpcAddress = advertised + ':' + std::to_string(*rpcPort);
  Http::Handlers handlers;
  handlers.mAnswer = [&parts](Http::Request&& aRequest) {
    return parts.answer(std::move(aRequest));
  };
  handlers.mNote = [&parts](Http::Cause aCause) { parts.mRefusals.note(aCause); };
  handlers.mBodyKind = [](const Http::Request&) { return Http::BodyKind::Json; };
  if (parts.isEntry()) {
    handlers.mBodyLimit = [&parts](const Http::Request& aRequest) {
      return parts.mApi->bodyLimit(aRequest);
    };
    handlers.mBodyKind = &BodyKindOf;
  }
  runtime.mCounters.counter("http_budget_bytes")
    .set(static_cast<std::int64_t>(ClientLimitsOf(runtime.mSettings).mBudget));
  parts.mHttpServer =
    std::make_unique<Http::Server>(HttpSettingsOf(runtime.mSettings), std::move(handlers));
  const auto httpPort = parts.mHttpServer->start();
  if (!httpPort) {
    parts.mRpcServer->stop();
    return tl::unexpected(httpPort.error());
  }
  runtime.mHttpAddress = advertised + ':' + std::to_string(*httpPort);
  parts.mSpread.start();
  parts.mOwner.start();
  if (parts.isEntry()) {
    parts.mPools.start();
  } else {
    parts.mAgent->start();
  }
  parts.mStarted = true;
  Log(Level::Info,
      "daemon",
      "started",
      { { "role", std::string(runtime.role()) },
        { "http", runtime.mHttpAddress },
        { "rpc", runtime.mRpcAddress } });
  return {};
}

void
Process::stop()
{
  Parts& parts = *mParts;
  if (!parts.mStarted) {
    return;
  }
  parts.mStarted = false;
  Runtime& runtime = parts.mRuntime;
  runtime.mLeaving = true;
  Log(Level::Info, "daemon", "leaving");
  const Common::Duration grace = runtime.mSettings.mTimes.mShutdownGrace;
  const Common::Timestamp end = runtime.mClock.now() + grace;
  // The store watch in progress takes a while to end, so its stop runs beside the rest.
  std::thread spreadStop([&parts] { parts.mSpread.stop(); });
  if (parts.isEntry()) {
    // Answers what is in progress; new connections are refused by the system from here on.
    parts.mHttpServer->stop();
    parts.mDispatch.stop();
    parts.mOwner.handOver();
    parts.mPools.stop();
  } else {
    parts.mOwner.handOver();
    parts.mAgent->drain(end - runtime.mClock.now());
    parts.mHttpServer->stop();
    parts.mAgent->stop();
  }
  spreadStop.join();
  runtime.mBackground.stop();
  parts.mRpcServer->stop();
  Log(Level::Info, "daemon", "stopped");
}

std::string
Process::httpAddress() const
{
  return mParts->mRuntime.mHttpAddress;
}

std::string
Process::rpcAddress() const
{
  return mParts->mRuntime.mRpcAddress;
}

} // namespace Daemon
