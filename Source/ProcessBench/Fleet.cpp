#include "ProcessBench/Fleet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <regex>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "Http/Client.h"

namespace ProcessBench {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

constexpr auto kStartLimit = 20s;
constexpr auto kCallLimit = 3s;

const char* const kRoutes = R"(
[[route]]
name = "urgent"
pool = "shared"
urgency = "interactive"
price_micro = 100
deadline_ms = 2000
match = { path_prefix = "/urgent" }

[[route]]
name = "patient"
pool = "shared"
urgency = "patient"
price_micro = 5
deadline_ms = 200
match = { path_prefix = "/patient" }
)";

const char* const kPools = R"(
[[pool]]
name = "shared"
data_centres = ["dc1"]
per_worker = { slots = 8, connections = 60 }
min_share_percent = { interactive = 60 }

[[team]]
name = "workshop"
quota = { slots = 100 }

[[client]]
name = "shop"
team = "workshop"
)";

std::string
Program(const std::string& aPath)
{
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  return (self.parent_path().parent_path() / aPath).string();
}

// A port below the system's own range that can be bound now.
int
FreePort()
{
  static int sNext = 28000 + static_cast<int>(::getpid() % 3000);
  for (int tries = 0; tries < 1000; ++tries) {
    const int port = sNext++;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
    address.sin_port = ::htons(static_cast<std::uint16_t>(port));
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int bound = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    ::close(socket);
    if (bound == 0) {
      return port;
    }
  }
  return 0;
}

bool
WaitFor(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kStartLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(50ms);
  }
  return true;
}

Http::ClientResult
Send(int aPort, const Http::Request& aRequest)
{
  Common::SystemClock clock;
  Http::Client client(Http::ClientSettings{}, clock);
  return client.send("127.0.0.1:" + std::to_string(aPort), aRequest, kCallLimit);
}

std::string
Settings(const std::string& aName, int aHttp, int aRpc, int aStore, int aPeerRpc)
{
  const bool isEntry = aName == "entry";
  std::ostringstream text;
  text << "role = \"" << aName << "\"\n[instance]\nname = \"" << aName
       << "\"\ndata_centre = \"dc1\"\nregion = \"north\"\n"
       << (isEntry ? "" : "worker = \"worker-1\"\n") << "[listen]\nhttp_port = " << aHttp
       << "\nrpc_port = " << aRpc << "\n[store]\naddresses = [\"127.0.0.1:" << aStore << "\"]\n"
       << "[times]\nshutdown_grace_ms = 10000\n"
       << "[[data_centre]]\nname = \"dc1\"\nregion = \"north\"\n[[peer]]\nname = \""
       << (isEntry ? "agent" : "entry")
       << "\"\ndata_centre = \"dc1\"\nregion = \"north\"\naddress = \"127.0.0.1:" << aPeerRpc
       << "\"\n";
  return text.str();
}

} // namespace

Fleet::Fleet()
{
  std::string folder = (std::filesystem::temp_directory_path() / "ibisprocbench-XXXXXX").string();
  if (::mkdtemp(folder.data()) != nullptr) {
    mFolder = folder;
  }
}

Fleet::~Fleet()
{
  // The processes end before their files go.
  mEndpoint.reset();
  mEntry.reset();
  mAgent.reset();
  mStore.reset();
  if (!mFolder.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  }
}

std::unique_ptr<Child>
Fleet::run(const std::string& aName, std::vector<std::string> aArguments) const
{
  return std::make_unique<Child>(
    Command{ std::move(aArguments), path(aName + ".out"), path(aName + ".log"), {} });
}

tl::expected<int, std::string>
Fleet::printedPort(const std::string& aName) const
{
  int port = 0;
  const bool printed = WaitFor([&] {
    std::ifstream file(path(aName + ".out"));
    std::string line;
    std::smatch found;
    if (std::getline(file, line) && !file.eof() &&
        std::regex_search(line, found, std::regex("127\\.0\\.0\\.1:([0-9]+)"))) {
      port = std::stoi(found[1]);
    }
    return port != 0;
  });
  if (!printed) {
    return tl::make_unexpected(aName + " did not start");
  }
  return port;
}

tl::expected<void, std::string>
Fleet::startDaemons(int aStore)
{
  mEntryPort = FreePort();
  mAgentPort = FreePort();
  const int entryRpc = FreePort();
  const int agentRpc = FreePort();
  std::ofstream(path("entry.toml")) << Settings("entry", mEntryPort, entryRpc, aStore, agentRpc);
  std::ofstream(path("agent.toml")) << Settings("agent", mAgentPort, agentRpc, aStore, entryRpc);
  const std::string daemon = Program("Ibisshedd/ibisshedd");
  mAgent = run("agent", { daemon, "--config", path("agent.toml") });
  mEntry = run("entry", { daemon, "--config", path("entry.toml") });
  for (const char* name : { "agent", "entry" }) {
    if (const auto port = printedPort(name); !port) {
      return tl::make_unexpected(port.error());
    }
  }
  return {};
}

tl::expected<void, std::string>
Fleet::publishTables() const
{
  const Json body = { { "base", 0 },
                      { "routes", kRoutes },
                      { "pools", kPools },
                      { "author", "ibisprocbench" },
                      { "comment", "benchmark" } };
  std::string last = "no answer";
  const bool published = WaitFor([&] {
    const auto answer = Send(mEntryPort, { "POST", "/ibisshed/v1/tables", {}, body.dump() });
    if (answer) {
      last = answer->mBody;
    }
    return answer && answer->mStatus == 200;
  });
  if (!published) {
    return tl::make_unexpected("cannot publish the tables: " + last);
  }
  return {};
}

bool
Fleet::servesUrgent() const
{
  const auto answer =
    Send(mEntryPort, { "POST", "/urgent", { { "Ibisshed-Client", "shop" } }, "ready?" });
  return answer && answer->mStatus == 200;
}

tl::expected<void, std::string>
Fleet::startAll(const FleetOptions& aOptions)
{
  if (mFolder.empty()) {
    return tl::make_unexpected(std::string("cannot create a temporary folder"));
  }
  const std::string standin = Program("Standins/ibisstandin");
  const std::string seconds = std::to_string(Child::kMaxSeconds);
  mStore = run("store", { standin, "store", "--max-seconds", seconds });
  const auto store = printedPort("store");
  if (!store) {
    return tl::make_unexpected(store.error());
  }
  if (auto started = startDaemons(*store); !started) {
    return started;
  }
  mEndpoint = run("endpoint",
                  { standin,
                    "endpoint",
                    "--pool",
                    "shared",
                    "--agent-port",
                    std::to_string(mAgentPort),
                    "--service-ms",
                    std::to_string(aOptions.mServiceMillis),
                    "--max-seconds",
                    seconds });
  const auto endpoint = printedPort("endpoint");
  if (!endpoint) {
    return tl::make_unexpected(endpoint.error());
  }
  mEndpointPort = *endpoint;
  if (auto published = publishTables(); !published) {
    return published;
  }
  if (!WaitFor([this] { return servesUrgent(); })) {
    return tl::make_unexpected(std::string("the entry does not reach the endpoint"));
  }
  return {};
}

tl::expected<std::unique_ptr<Fleet>, std::string>
Fleet::start(const FleetOptions& aOptions)
{
  std::unique_ptr<Fleet> fleet(new Fleet);
  if (const auto started = fleet->startAll(aOptions); !started) {
    return tl::make_unexpected(started.error());
  }
  return fleet;
}

LoadTool::LoadConfig
Fleet::through(const std::string& aPath) const
{
  LoadTool::LoadConfig config;
  config.mTargets = { { "127.0.0.1", mEntryPort } };
  config.mPath = aPath;
  config.mClient = "shop";
  config.mCheckEcho = true;
  config.mTimeout = 4s;
  return config;
}

LoadTool::LoadConfig
Fleet::direct() const
{
  LoadTool::LoadConfig config = through("/urgent");
  config.mTargets = { { "127.0.0.1", mEndpointPort } };
  return config;
}

tl::expected<std::uint64_t, std::string>
Fleet::served() const
{
  const auto answer = Send(mEndpointPort, { "GET", "/v1/audit?summary=1", {}, "" });
  if (!answer || answer->mStatus != 200) {
    return tl::make_unexpected(std::string("the endpoint does not answer"));
  }
  return Json::parse(answer->mBody).at("served").get<std::uint64_t>();
}

Bench::Measures
FailedStart(const std::string& aArea, const std::string& aError)
{
  std::cerr << "ibisprocbench: " << aArea << ": " << aError << '\n';
  return { { aArea + ": processes did not start", "failures", 1, 1, Bench::Bound::AtMost, 0 } };
}

} // namespace ProcessBench
