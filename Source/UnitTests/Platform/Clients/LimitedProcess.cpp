#include "UnitTests/Platform/Clients/LimitedProcess.h"

#include <csignal>
#include <fstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Net/Address.h"
#include "platform/Json.h"

namespace ClientTests {

namespace {

/// Ports of a process: callers or announcements, readiness, peers, and the metrics of both roles.
constexpr std::uint16_t kPorts = 6;
constexpr std::uint16_t kInternalPorts = 3;
/// Below the ports that the system gives to connections.
constexpr int kLowestPort = 20'000;
constexpr int kPortRange = 12'000;

bool
IsFree(std::uint16_t aPort)
{
  boost::asio::io_context io;
  Net::Tcp::acceptor acceptor(io, Net::Tcp::v4());
  boost::system::error_code error;
  acceptor.bind({ boost::asio::ip::address_v4::loopback(), aPort }, error);
  return !error;
}

/// The first of kPorts ports on which nothing listens.
std::uint16_t
FreePorts()
{
  static int sNext = ::getpid() % kPortRange;
  for (;;) {
    sNext = (sNext + kPorts) % kPortRange;
    const auto first = static_cast<std::uint16_t>(kLowestPort + sNext);
    bool isFree = true;
    for (std::uint16_t i = 0; i < kPorts && isFree; ++i) {
      isFree = IsFree(static_cast<std::uint16_t>(first + i));
    }
    if (isFree) {
      return first;
    }
  }
}

std::string
LocalAddress(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

} // namespace

LimitedProcess::LimitedProcess(Role aRole, const std::string& aStoreAddress)
  : mRole(aRole)
  , mCallerPort(FreePorts())
  , mReadinessPort(static_cast<std::uint16_t>(mCallerPort + 1))
  , mPeerPort(static_cast<std::uint16_t>(mCallerPort + 2))
  , mFolder(std::filesystem::temp_directory_path() /
            ("ibisshedd-clients-" + std::to_string(::getpid()) + '-' + std::to_string(mCallerPort)))
{
  std::filesystem::create_directories(mFolder);
  writeSettings(aStoreAddress);
  startProgram();
}

LimitedProcess::~LimitedProcess()
{
  if (isRunning()) {
    ::kill(mProcess, SIGKILL);
    ::waitpid(mProcess, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

std::uint16_t
LimitedProcess::metricsPort() const
{
  return static_cast<std::uint16_t>(mPeerPort + (mRole == Role::Entry ? 1 : 2));
}

bool
LimitedProcess::isRunning()
{
  mEnded = mEnded || ::waitpid(mProcess, nullptr, WNOHANG) == mProcess;
  return !mEnded;
}

long
LimitedProcess::peakMemoryKb() const
{
  return statusKb("VmHWM:") - statusKb("RssFile:");
}

std::size_t
LimitedProcess::openDescriptors() const
{
  const std::filesystem::directory_iterator folder("/proc/" + std::to_string(mProcess) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

void
LimitedProcess::writeSettings(const std::string& aStoreAddress) const
{
  const Platform::Json settings = { { "node_name", mRole == Role::Entry ? "e1" : "a1" },
                                    { "serves", { mRole == Role::Entry ? "edge" : "side" } },
                                    { "ip", "127.0.0.1" },
                                    { "zone", "z1" },
                                    { "internal_ports", { mPeerPort, mPeerPort + kInternalPorts } },
                                    { "limits",
                                      { { "cpu_share", 1.0 },
                                        { "memory_mb", kMemoryMb },
                                        { "max_fds", kMaxDescriptors },
                                        { "link_mbps", 1'000.0 } } },
                                    { "platform", { { "address", aStoreAddress } } },
                                    { "listen",
                                      { { "frontend", LocalAddress(mCallerPort) },
                                        { "readiness", LocalAddress(mReadinessPort) },
                                        { "control_plane", LocalAddress(mCallerPort) } } } };
  std::ofstream(mFolder / "settings.json") << settings.dump();
}

void
LimitedProcess::startProgram()
{
  const std::string log = mFolder / "log";
  std::string variable = "IBISSHED_NODE_FILE=" + (mFolder / "settings.json").string();
  mProcess = ::fork();
  if (mProcess != 0) {
    return;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  std::string program = IBIS_DAEMON;
  std::string option = "--platform";
  char* const arguments[] = { program.data(), option.data(), nullptr };
  char* const environment[] = { variable.data(), nullptr };
  ::execve(program.c_str(), arguments, environment);
  ::_exit(127);
}

long
LimitedProcess::statusKb(const std::string& aName) const
{
  std::ifstream status("/proc/" + std::to_string(mProcess) + "/status");
  std::string word;
  while (status >> word) {
    if (word == aName) {
      long value = 0;
      status >> value;
      return value;
    }
  }
  return 0;
}

} // namespace ClientTests
