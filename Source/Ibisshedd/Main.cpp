#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>

#include <malloc.h>

#include "Config/CommandLine.h"
#include "Config/Settings.h"
#include "Daemon/Process.h"
#include "Observability/Log.h"
#include "platform/Run.h"

namespace {

constexpr const char* kVersion = "ibisshedd 0.1.0\n";
Observability::LogSettings
LogSettingsOf(const Config::Settings& aSettings)
{
  Observability::LogSettings settings;
  settings.mJson = aSettings.mLog.mFormat == Config::LogFormat::Json;
  settings.mInstance = aSettings.mInstance.mName.str();
  settings.mFile = aSettings.mLog.mFile;
  switch (aSettings.mLog.mLevel) {
    case Config::LogLevel::Trace:
    case Config::LogLevel::Debug:
      settings.mLevel = Observability::Level::Debug;
      break;
    case Config::LogLevel::Info:
      settings.mLevel = Observability::Level::Info;
      break;
    case Config::LogLevel::Warning:
      settings.mLevel = Observability::Level::Warning;
      break;
    case Config::LogLevel::Error:
    case Config::LogLevel::Fatal:
      settings.mLevel = Observability::Level::Error;
      break;
  }
  return settings;
}

int
Serve(const Config::Settings& aSettings, const sigset_t& aSignals)
{
  // glibc raises this bound with each larger block that is freed, and keeps blocks below it. Bodies
  // are to go back to the system, so that their budget is that of the process.
  ::mallopt(M_MMAP_THRESHOLD, 128 << 10);
  Observability::StartLog(LogSettingsOf(aSettings));
  Common::SystemClock clock;
  Daemon::Process process(aSettings, clock);
  const auto started = process.start();
  if (!started) {
    std::cerr << "ibisshedd: " << started.error() << '\n';
    return 1;
  }
  std::cout << "http " << process.httpAddress() << " rpc " << process.rpcAddress() << std::endl;
  int signal = 0;
  ::sigwait(&aSignals, &signal);
  std::thread([&aSignals] {
    int second = 0;
    ::sigwait(&aSignals, &second);
    std::_Exit(1);
  }).detach();
  process.stop();
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  // glibc gives each thread an arena of its own by default, which costs an agent with many
  // connections several times the memory that it uses.
  ::mallopt(M_ARENA_MAX, 2);
  const auto line = Config::ParseCommandLine({ aArguments + 1, aArguments + aCount });
  if (!line) {
    std::cerr << "ibisshedd: " << line.error() << '\n' << Config::CommandLineHelp();
    return 2;
  }
  if (line->mPlatform) {
    return Platform::RunDaemon();
  }
  if (line->mHelp || line->mVersion) {
    std::cout << (line->mHelp ? Config::CommandLineHelp() : kVersion);
    return 0;
  }
  std::ifstream file(line->mSettingsFile);
  if (!file) {
    std::cerr << "ibisshedd: cannot read " << line->mSettingsFile << '\n';
    return 2;
  }
  std::stringstream text;
  text << file.rdbuf();
  const auto settings = Config::LoadSettings(text.str(), line->mSettingsFile, line->mOverrides);
  if (!settings) {
    std::cerr << settings.error().text();
    return 2;
  }
  if (line->mCheck) {
    std::cout << line->mSettingsFile << ": no errors\n";
    return 0;
  }
  // Before any thread exists, so that all of them leave the signals to this one.
  sigset_t signals;
  ::sigemptyset(&signals);
  ::sigaddset(&signals, SIGTERM);
  ::sigaddset(&signals, SIGINT);
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Serve(*settings, signals);
}
