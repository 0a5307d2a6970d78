#include "UnitTests/DaemonClients/Fleet.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <regex>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace DaemonClients {

namespace {

using ProcessBench::Child;
using namespace std::chrono_literals;

constexpr auto kStartLimit = 20s;
constexpr auto kCallLimit = 5s;

const char* const kRoutes = R"(
[[route]]
name = "urgent"
pool = "shared"
urgency = "interactive"
price_micro = 100
deadline_ms = 2000
match = { path_prefix = "/urgent" }
)";

const char* const kPools = R"(
[[pool]]
name = "shared"
data_centres = ["dc1"]
per_worker = { slots = 8, connections = 60 }

[[team]]
name = "workshop"
quota = { slots = 100 }

[[client]]
name = "shop"
team = "workshop"
)";

// A port below the system's own range that can be bound now.
int
FreePort()
{
  static int sNext = 20000 + static_cast<int>(::getpid() % 1000) * 8;
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
    std::this_thread::sleep_for(20ms);
  }
  return true;
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
       << "[limits]\nmax_connections = " << kMaxConnections
       << "\nmemory_mb = " << (isEntry ? kEntryMemoryMb : kAgentMemoryMb) << '\n'
       << "[times]\nshutdown_grace_ms = 1000\n"
       << "[[data_centre]]\nname = \"dc1\"\nregion = \"north\"\n[[peer]]\nname = \""
       << (isEntry ? "agent" : "entry")
       << "\"\ndata_centre = \"dc1\"\nregion = \"north\"\naddress = \"127.0.0.1:" << aPeerRpc
       << "\"\n";
  return text.str();
}

} // namespace

Http::ClientResult
Send(int aPort, const Http::Request& aRequest)
{
  Common::SystemClock clock;
  Http::Client client(Http::ClientSettings{}, clock);
  return client.send("127.0.0.1:" + std::to_string(aPort), aRequest, kCallLimit);
}

Fleet::Fleet()
{
  std::string folder = (std::filesystem::temp_directory_path() / "ibisclients-XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  mFolder = folder;
  const std::string seconds = std::to_string(Child::kMaxSeconds);
  mStore = run("store", { IBIS_STANDIN, "store", "--max-seconds", seconds });
  startDaemons(printedPort("store"));
  mEndpoint = run("endpoint",
                  { IBIS_STANDIN,
                    "endpoint",
                    "--pool",
                    "shared",
                    "--agent-port",
                    std::to_string(mAgentPort),
                    "--service-ms",
                    "5",
                    "--max-seconds",
                    seconds });
  printedPort("endpoint");
  publishTables();
  REQUIRE(WaitFor([this] {
    const auto answer =
      Send(mEntryPort, { "POST", "/urgent", { { "Ibisshed-Client", "shop" } }, "ready?" });
    return answer && answer->mStatus == 200;
  }));
}

Fleet::~Fleet()
{
  // The processes end before their files go.
  mEndpoint.reset();
  mEntry.reset();
  mAgent.reset();
  mStore.reset();
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

std::unique_ptr<Child>
Fleet::run(const std::string& aName, std::vector<std::string> aArguments) const
{
  return std::make_unique<Child>(
    ProcessBench::Command{ std::move(aArguments), path(aName + ".out"), path(aName + ".log"), {} });
}

int
Fleet::printedPort(const std::string& aName) const
{
  int port = 0;
  INFO(aName + " starts");
  REQUIRE(WaitFor([&] {
    std::ifstream file(path(aName + ".out"));
    std::string line;
    std::smatch found;
    if (std::getline(file, line) && !file.eof() &&
        std::regex_search(line, found, std::regex("127\\.0\\.0\\.1:([0-9]+)"))) {
      port = std::stoi(found[1]);
    }
    return port != 0;
  }));
  return port;
}

void
Fleet::startDaemons(int aStorePort)
{
  mEntryPort = FreePort();
  mAgentPort = FreePort();
  const int entryRpc = FreePort();
  const int agentRpc = FreePort();
  std::ofstream(path("entry.toml"))
    << Settings("entry", mEntryPort, entryRpc, aStorePort, agentRpc);
  std::ofstream(path("agent.toml"))
    << Settings("agent", mAgentPort, agentRpc, aStorePort, entryRpc);
  mAgent = run("agent", { IBIS_DAEMON, "--config", path("agent.toml") });
  mEntry = run("entry", { IBIS_DAEMON, "--config", path("entry.toml") });
  printedPort("agent");
  printedPort("entry");
}

void
Fleet::publishTables() const
{
  const nlohmann::json body = { { "base", 0 },
                                { "routes", kRoutes },
                                { "pools", kPools },
                                { "author", "test" },
                                { "comment", "crowds" } };
  REQUIRE(WaitFor([&] {
    const auto answer = Send(mEntryPort, { "POST", "/ibisshed/v1/tables", {}, body.dump() });
    return answer && answer->mStatus == 200;
  }));
}

} // namespace DaemonClients
