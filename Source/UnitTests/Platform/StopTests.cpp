#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <set>

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/write.hpp>

#include "UnitTests/Platform/StoreServer.h"

using namespace std::chrono_literals;
using PlatformTests::StoreServer;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds kGrace{ 3 };

std::uint16_t
FreePort()
{
  boost::asio::io_context io;
  return Net::ParseAddress(TestSupport::FreeAddress(io))->port();
}

std::string
LocalAddress(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

std::string
TablesText()
{
  const Platform::Json tables = { { "version", 1 },
                                  { "routes",
                                    { { { "name", "q" },
                                        { "host", "jobs.example" },
                                        { "prefix", "/q/" },
                                        { "kind", "unsafe" },
                                        { "timeout_ms", 3000 },
                                        { "target_duration_ms", 1000 },
                                        { "priority", 2 },
                                        { "service", "work" },
                                        { "max_attempts", 5 },
                                        { "stretch_factor", 2.0 } } } },
                                  { "services",
                                    { { { "name", "work" }, { "enforces_capacity", true } } } } };
  return tables.dump();
}

enum class Role
{
  Entry,
  Agent,
};

/// An entry or an agent in a process of its own.
class DaemonProcess
{
public:
  DaemonProcess(Role aRole, const std::string& aStoreAddress)
    : mFolder(std::filesystem::temp_directory_path() /
              ("ibisshedd-stop-" + std::to_string(::getpid()) + '-' + std::to_string(mCallerPort)))
  {
    std::filesystem::create_directories(mFolder);
    const Platform::Json settings = { { "node_name", "e1" },
                                      { "serves", { aRole == Role::Entry ? "edge" : "side" } },
                                      { "ip", "127.0.0.1" },
                                      { "zone", "z1" },
                                      { "internal_ports", { mPeerPort, mPeerPort + 4 } },
                                      { "bounds", { { "grace_s", kGrace.count() } } },
                                      { "platform", { { "address", aStoreAddress } } },
                                      { "listen",
                                        { { "frontend", LocalAddress(mCallerPort) },
                                          { "readiness", LocalAddress(mReadinessPort) },
                                          { "control_plane", LocalAddress(mCallerPort) } } } };
    const std::string file = mFolder / "settings.json";
    std::ofstream(file) << settings.dump();
    const std::string log = mFolder / "log";
    const std::string variable = "IBISSHED_NODE_FILE=" + file;
    mProcess = ::fork();
    if (mProcess == 0) {
      const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
      ::dup2(output, STDOUT_FILENO);
      ::dup2(output, STDERR_FILENO);
      std::string program = IBIS_DAEMON;
      std::string option = "--platform";
      std::string setting = variable;
      char* const arguments[] = { program.data(), option.data(), nullptr };
      char* const environment[] = { setting.data(), nullptr };
      ::execve(program.c_str(), arguments, environment);
      ::_exit(127);
    }
  }
  ~DaemonProcess()
  {
    if (!mStatus) {
      ::kill(mProcess, SIGKILL);
      ::waitpid(mProcess, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  }
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  /// Where callers connect to an entry, and the worker of the machine to an agent.
  std::uint16_t callerPort() const { return mCallerPort; }
  std::uint16_t peerPort() const { return mPeerPort; }
  void terminate() const { ::kill(mProcess, SIGTERM); }

  /// Returns the status as waitpid() gives it, or nullopt if the process goes on for aWait.
  std::optional<int> waitForEnd(std::chrono::milliseconds aWait)
  {
    const auto end = SteadyClock::now() + aWait;
    int status = 0;
    while (!mStatus && SteadyClock::now() < end) {
      if (::waitpid(mProcess, &status, WNOHANG) == mProcess) {
        mStatus = status;
      } else {
        std::this_thread::sleep_for(1ms);
      }
    }
    return mStatus;
  }

private:
  std::uint16_t mCallerPort = FreePort();
  std::uint16_t mReadinessPort = FreePort();
  std::uint16_t mPeerPort = FreePort();
  std::filesystem::path mFolder;
  pid_t mProcess = 0;
  std::optional<int> mStatus;
};

/// A connection that fails instead of throwing.
class Connection
{
public:
  explicit Connection(std::uint16_t aPort)
  {
    mSocket.connect({ boost::asio::ip::address_v4::loopback(), aPort }, mError);
    const timeval patience{ 10, 0 };
    ::setsockopt(mSocket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
  }

  bool isOpen() const { return !mError; }

  /// Whether the peer has closed the connection already.
  bool isClosedByPeer()
  {
    char byte = 0;
    return ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  /// Sends the request and returns the status of the answer; 0 if the connection ends before the
  /// answer is complete.
  int call(const std::string& aRequest)
  {
    boost::asio::write(mSocket, boost::asio::buffer(aRequest), mError);
    std::string answer;
    char buffer[2048];
    while (!mError && !isComplete(answer)) {
      const ssize_t size = ::recv(mSocket.native_handle(), buffer, sizeof(buffer), 0);
      if (size <= 0) {
        mWasReset = size < 0;
        mError = boost::asio::error::eof;
      } else {
        answer.append(buffer, static_cast<std::size_t>(size));
      }
    }
    if (mError) {
      return 0;
    }
    if (answer.find("Connection: close") != std::string::npos) {
      mError = boost::asio::error::eof;
    }
    return std::stoi(answer.substr(9, 3));
  }

  /// Whether the peer's system refused bytes of the request because its process had closed the
  /// connection without reading them.
  bool wasRequestRefused()
  {
    std::this_thread::sleep_for(20ms);
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(mSocket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
    return mWasReset || error != 0;
  }

private:
  static bool isComplete(const std::string& aAnswer)
  {
    const auto header = aAnswer.find("\r\n\r\n");
    if (header == std::string::npos) {
      return false;
    }
    const auto length = aAnswer.find("Content-Length: ");
    return length < header &&
           aAnswer.size() >= header + 4 + std::stoul(aAnswer.substr(length + 16));
  }

  boost::asio::io_context mIo;
  Net::Tcp::socket mSocket{ mIo };
  boost::system::error_code mError;
  bool mWasReset = false;
};

struct Outcome
{
  int mAnswered = 0;
  /// Requests that were read and got no answer.
  std::vector<std::string> mLost;
  /// Submissions that were answered with 503.
  std::set<std::string> mRejected;
};

/// Keeps its connection open and goes on asking until the process is gone.
class Caller
{
public:
  Caller(std::uint16_t aPort, int aNumber, bool aSubmits)
    : mThread([this, aPort, aNumber, aSubmits] { run(aPort, aNumber, aSubmits); })
  {
  }

  ~Caller()
  {
    mGivesUp = true;
    if (mThread.joinable()) {
      mThread.join();
    }
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  Outcome join()
  {
    mThread.join();
    return mOutcome;
  }

private:
  void run(std::uint16_t aPort, int aNumber, bool aSubmits)
  {
    for (int request = 0; !mGivesUp;) {
      Connection connection(aPort);
      if (!connection.isOpen()) {
        return;
      }
      while (!mGivesUp && connection.isOpen() && !connection.isClosedByPeer()) {
        char job[17];
        std::snprintf(job, sizeof(job), "%08x%08x", aNumber, ++request);
        const auto sent = SteadyClock::now();
        const int status = connection.call(requestText(aSubmits, job));
        if (status > 0) {
          ++mOutcome.mAnswered;
        } else if (const auto waited = SteadyClock::now() - sent; !connection.wasRequestRefused()) {
          mOutcome.mLost.push_back(
            std::string(aSubmits ? "submission " : "query ") + job + " after " +
            std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(waited).count()) +
            " ms");
        }
        if (aSubmits && status == 503) {
          mOutcome.mRejected.insert(job);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds((aNumber + request) % 20));
      }
    }
  }

  static std::string requestText(bool aSubmits, const std::string& aJob)
  {
    const std::string body =
      aSubmits ? R"({"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":16,"estimate_ms":300}]})"
               : "";
    return (aSubmits ? "POST /q/" : "GET /q/") + aJob +
           " HTTP/1.1\r\nHost: jobs.example\r\nIbisshed-Deadline-Ms: 10000\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  Outcome mOutcome;
  std::atomic<bool> mGivesUp{ false };
  std::thread mThread;
};

void
WaitUntilServing(std::uint16_t aPort)
{
  const auto end = SteadyClock::now() + 10s;
  int status = 0;
  while (status != 410 && SteadyClock::now() < end) {
    Connection connection(aPort);
    status = connection.isOpen() ? connection.call("GET /q/0000000000000001 HTTP/1.1\r\nHost: "
                                                   "jobs.example\r\n\r\n")
                                 : 0;
    std::this_thread::sleep_for(10ms);
  }
  REQUIRE(status == 410);
}

/// Whether one of the transactions was meant to write the job.
bool
Contains(const std::vector<std::string>& aTransactions, const std::string& aJob)
{
  return std::any_of(aTransactions.begin(), aTransactions.end(), [&](const std::string& aText) {
    return aText.find(aJob) != std::string::npos;
  });
}

} // namespace

TEST_CASE("A stopping entry answers each request that it has read", "[Platform]")
{
  // A negative delay stands for a store that falls silent.
  const auto answerDelay = GENERATE(0ms, 300ms, -1ms);
  CAPTURE(answerDelay.count());

  StoreServer store({ { "op/config", TablesText() } });
  REQUIRE(store.isListening());
  DaemonProcess entry(Role::Entry, store.address());
  WaitUntilServing(entry.callerPort());

  std::vector<std::unique_ptr<Caller>> callers;
  for (int number = 1; number <= 24; ++number) {
    callers.push_back(std::make_unique<Caller>(entry.callerPort(), number, number % 2 == 0));
  }
  std::this_thread::sleep_for(200ms);
  const auto endProcess = [&] {
    const auto status = entry.waitForEnd(kGrace);
    Outcome all;
    for (const auto& caller : callers) {
      const Outcome outcome = caller->join();
      all.mAnswered += outcome.mAnswered;
      all.mLost.insert(all.mLost.end(), outcome.mLost.begin(), outcome.mLost.end());
      all.mRejected.insert(outcome.mRejected.begin(), outcome.mRejected.end());
    }
    REQUIRE(status);
    REQUIRE(WIFEXITED(*status));
    REQUIRE(WEXITSTATUS(*status) == 0);
    REQUIRE(all.mAnswered > 0);
    CAPTURE(all.mAnswered, all.mLost);
    REQUIRE(all.mLost.empty());
    const auto transactions = store.transactions();
    for (const std::string& job : all.mRejected) {
      // A 503 promises that the job never runs.
      REQUIRE_FALSE(Contains(transactions, job));
    }
  };
  store.setAnswerDelay(answerDelay);

  SECTION("until its grace ends")
  {
    entry.terminate();
    endProcess();
  }

  SECTION("also after a second signal, which ends it sooner")
  {
    entry.terminate();
    std::this_thread::sleep_for(700ms);
    const auto second = SteadyClock::now();
    entry.terminate();
    endProcess();
    REQUIRE(SteadyClock::now() - second < kGrace / 2);
  }

  SECTION("also after a third signal")
  {
    entry.terminate();
    std::this_thread::sleep_for(200ms);
    entry.terminate();
    std::this_thread::sleep_for(50ms);
    entry.terminate();
    endProcess();
  }
}

TEST_CASE("A signal while a process starts is a request to stop it", "[Platform]")
{
  // It ended the process at once, although the process listened already.
  StoreServer store({ { "op/config", TablesText() } });
  for (int repeat = 0; repeat < 5; ++repeat) {
    DaemonProcess entry(Role::Entry, store.address());
    const auto end = SteadyClock::now() + 10s;
    while (!Connection(entry.peerPort()).isOpen() && SteadyClock::now() < end) {
    }
    entry.terminate();
    const auto status = entry.waitForEnd(kGrace);
    CAPTURE(repeat);
    REQUIRE(status);
    REQUIRE(WIFEXITED(*status));
    REQUIRE(WEXITSTATUS(*status) == 0);
  }
}

TEST_CASE("A stopping agent answers each request that it has read", "[Platform]")
{
  StoreServer store({});
  DaemonProcess agent(Role::Agent, store.address());
  const auto end = SteadyClock::now() + 10s;
  while (!Connection(agent.callerPort()).isOpen() && SteadyClock::now() < end) {
  }
  // An agent answers what is no announcement, too.
  std::vector<std::unique_ptr<Caller>> callers;
  for (int number = 1; number <= 24; ++number) {
    callers.push_back(std::make_unique<Caller>(agent.callerPort(), number, false));
  }
  std::this_thread::sleep_for(200ms);
  agent.terminate();
  if (GENERATE(false, true)) {
    agent.terminate();
  }
  const auto status = agent.waitForEnd(kGrace);
  for (const auto& caller : callers) {
    const Outcome outcome = caller->join();
    CAPTURE(outcome.mAnswered, outcome.mLost);
    REQUIRE(outcome.mAnswered > 0);
    REQUIRE(outcome.mLost.empty());
  }
  REQUIRE(status);
  REQUIRE(WIFEXITED(*status));
  REQUIRE(WEXITSTATUS(*status) == 0);
}
