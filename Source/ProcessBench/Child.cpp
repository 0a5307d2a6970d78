#include "ProcessBench/Child.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <ctime>
#include <fstream>
#include <thread>

namespace ProcessBench {

namespace {

constexpr std::chrono::milliseconds kPoll{ 10 };

// Runs in the forked process, where only async-signal-safe calls are allowed.
[[noreturn]] void
Execute(char* const* aArguments, const char* aOutputFile, const char* aErrorFile, pid_t aParent)
{
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != aParent) {
    ::_exit(127);
  }
  // An alarm outlives exec; the default action of its signal ends the process.
  ::alarm(Child::kMaxSeconds);
  const int output = ::open(aOutputFile, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  const int errors = ::open(aErrorFile, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (output >= 0 && errors >= 0 && ::dup2(output, STDOUT_FILENO) >= 0 &&
      ::dup2(errors, STDERR_FILENO) >= 0) {
    ::execv(aArguments[0], aArguments);
  }
  ::_exit(127);
}

} // namespace

Child::Child(const Command& aCommand)
{
  std::vector<std::string> texts = aCommand.mArguments;
  std::vector<char*> arguments;
  arguments.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    arguments.push_back(text.data());
  }
  arguments.push_back(nullptr);
  const pid_t parent = ::getpid();
  mPid = ::fork();
  if (mPid == 0) {
    Execute(arguments.data(), aCommand.mOutputFile.c_str(), aCommand.mErrorFile.c_str(), parent);
  }
}

Child::~Child()
{
  if (mPid > 0) {
    ::kill(mPid, SIGKILL);
    ::waitpid(mPid, nullptr, 0);
  }
}

void
Child::terminate() const
{
  if (mPid > 0) {
    ::kill(mPid, SIGTERM);
  }
}

std::optional<int>
Child::wait(Common::Duration aLimit)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (mPid > 0) {
    int status = 0;
    if (::waitpid(mPid, &status, WNOHANG) == mPid) {
      mPid = -1;
      return WIFEXITED(status) ? std::optional<int>(WEXITSTATUS(status)) : std::nullopt;
    }
    if (std::chrono::steady_clock::now() >= end) {
      break;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return std::nullopt;
}

Usage
Child::usage() const
{
  Usage usage;
  std::ifstream status("/proc/" + std::to_string(mPid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      usage.mResidentMegabytes = std::stod(line.substr(6)) * 1024 / 1e6;
    }
  }
  // The processor clock counts in nanoseconds. The ticks of /proc/PID/stat showed 0 for a process
  // at rest, since its short runs fall between two ticks.
  clockid_t clock = 0;
  timespec used{};
  if (::clock_getcpuclockid(mPid, &clock) == 0 && ::clock_gettime(clock, &used) == 0) {
    usage.mCpuSeconds = static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
  }
  return usage;
}

} // namespace ProcessBench
