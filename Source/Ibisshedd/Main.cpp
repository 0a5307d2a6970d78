#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <getopt.h>
#include <malloc.h>

#include "Config/Settings.h"
#include "Daemon/Process.h"
#include "Observability/Log.h"

namespace {

constexpr const char* kVersion = "0.1.0";
constexpr const char* kUsage =
  "usage: ibisshedd --config FILE [--set key=value]... [--check] [--help] [--version]\n"
  "  --config FILE    settings (TOML); docs/settings.md describes the keys\n"
  "  --set key=value  overrides one key, for example log.level=debug\n"
  "  --check          reads the settings, reports what is wrong, and ends\n";

struct Arguments
{
  std::string mConfig;
  std::vector<std::string> mOverrides;
  bool mCheck = false;
};

/// Returns the exit status if the program should end at once.
int
ParseArguments(int aCount, char** aArguments, Arguments& aResult)
{
  const std::array<option, 6> options = { { { "config", required_argument, nullptr, 'c' },
                                            { "set", required_argument, nullptr, 's' },
                                            { "check", no_argument, nullptr, 'k' },
                                            { "help", no_argument, nullptr, 'h' },
                                            { "version", no_argument, nullptr, 'v' },
                                            { nullptr, 0, nullptr, 0 } } };
  int found = 0;
  while ((found = ::getopt_long(aCount, aArguments, "", options.data(), nullptr)) != -1) {
    switch (found) {
      case 'c':
        aResult.mConfig = optarg;
        break;
      case 's':
        aResult.mOverrides.emplace_back(optarg);
        break;
      case 'k':
        aResult.mCheck = true;
        break;
      case 'h':
        std::cout << kUsage;
        return 0;
      case 'v':
        std::cout << "ibisshedd " << kVersion << '\n';
        return 0;
      default:
        std::cerr << kUsage;
        return 2;
    }
  }
  if (aResult.mConfig.empty() || optind != aCount) {
    std::cerr << kUsage;
    return 2;
  }
  return -1;
}

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
  Arguments arguments;
  const int status = ParseArguments(aCount, aArguments, arguments);
  if (status >= 0) {
    return status;
  }
  std::ifstream file(arguments.mConfig);
  if (!file) {
    std::cerr << "ibisshedd: cannot read " << arguments.mConfig << '\n';
    return 2;
  }
  std::stringstream text;
  text << file.rdbuf();
  const auto settings = Config::LoadSettings(text.str(), arguments.mConfig, arguments.mOverrides);
  if (!settings) {
    std::cerr << settings.error().text();
    return 2;
  }
  if (arguments.mCheck) {
    std::cout << arguments.mConfig << ": no errors\n";
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
