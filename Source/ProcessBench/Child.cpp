#include "ProcessBench/Child.h"

#include <fcntl.h>
#include <linux/close_range.h>
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
Execute(char* const* aArguments,
        char* const* aEnvironment,
        const char* aOutputFile,
        const char* aErrorFile,
        int aFileMode,
        pid_t aParent)
{
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != aParent) {
    ::_exit(127);
  }
  // An alarm outlives exec; the default action of its signal ends the process.
  ::alarm(Child::kMaxSeconds);
  const int flags = O_WRONLY | O_CREAT | O_CLOEXEC | aFileMode;
  const int output = ::open(aOutputFile, flags, 0600);
  const int errors = ::open(aErrorFile, flags, 0600);
  if (output >= 0 && errors >= 0 && ::dup2(output, STDOUT_FILENO) >= 0 &&
      ::dup2(errors, STDERR_FILENO) >= 0) {
    // Sockets of this program must not stay open in the processes that it starts.
    ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    ::execve(aArguments[0], aArguments, aEnvironment);
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
  std::vector<std::string> variables = aCommand.mEnvironment;
  // Of two variables with one name the first counts.
  for (char** variable = ::environ; *variable != nullptr; ++variable) {
    variables.emplace_back(*variable);
  }
  std::vector<char*> environment;
  environment.reserve(variables.size() + 1);
  for (std::string& variable : variables) {
    environment.push_back(variable.data());
  }
  environment.push_back(nullptr);
  const int fileMode = aCommand.mAppends ? O_APPEND : O_TRUNC;
  const pid_t parent = ::getpid();
  mPid = ::fork();
  if (mPid == 0) {
    Execute(arguments.data(),
            environment.data(),
            aCommand.mOutputFile.c_str(),
            aCommand.mErrorFile.c_str(),
            fileMode,
            parent);
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
  signal(SIGTERM);
}

void
Child::signal(int aSignal) const
{
  if (mPid > 0) {
    ::kill(mPid, aSignal);
  }
}

bool
Child::hasEnded()
{
  if (mPid > 0 && ::waitpid(mPid, &mStatus, WNOHANG) == mPid) {
    mPid = -1;
  }
  return mPid <= 0;
}

std::optional<int>
Child::wait(Common::Duration aLimit)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (!hasEnded()) {
    if (std::chrono::steady_clock::now() >= end) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return WIFEXITED(mStatus) ? std::optional<int>(WEXITSTATUS(mStatus)) : std::nullopt;
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
