#include <getopt.h>

#include <cstdlib>
#include <iostream>
#include <string>

#include <tl/expected.hpp>

#include "LoadTool/Load.h"
#include "LoadTool/Report.h"

namespace {

constexpr int kUsageError = 2;

// The tool is for tests on one machine; these bounds keep a mistyped option from harming it.
constexpr double kMaxPerSecond = 50000;
constexpr long kMaxSeconds = 300;
constexpr std::size_t kMaxConnections = 512;
constexpr std::size_t kMaxBodyBytes = std::size_t{ 16 } << 20;

const char* const kHelp =
  R"(Usage: ibisload --target ADDRESS:PORT [--target ...] [options]

Sends HTTP requests at a fixed rate to loopback addresses and reports latency from the due times.

  --target ADDRESS:PORT  server; may be given several times
  --host NAME            Host header
  --method METHOD        default POST
  --path PATH            default /
  --client NAME          Ibisshed-Client header
  --body-bytes N         default 64
  --rate N               requests a second, default 100
  --seconds N            length, default 5, at most 300
  --connections N        default 16, at most 512
  --timeout-ms N         default 10000
  --deadline-ms N        Ibisshed-Deadline-Ms header
  --keyed                sends an Idempotency-Key with each request
  --even                 evenly spaced instead of Poisson arrivals
  --check-echo           each answer must contain the body of its request
  --seed N               default 1
  --json                 prints JSON
  --help                 prints this text

Exit codes: 0 the load ran, 1 an answer was wrong, 2 usage error.
)";

enum Option : int
{
  Target = 1000,
  Host,
  Method,
  Path,
  Client,
  BodyBytes,
  Rate,
  Seconds,
  Connections,
  TimeoutMs,
  DeadlineMs,
  Keyed,
  Even,
  CheckEcho,
  Seed,
  Json,
  Help,
};

const option kOptions[] = { { "target", required_argument, nullptr, Target },
                            { "host", required_argument, nullptr, Host },
                            { "method", required_argument, nullptr, Method },
                            { "path", required_argument, nullptr, Path },
                            { "client", required_argument, nullptr, Client },
                            { "body-bytes", required_argument, nullptr, BodyBytes },
                            { "rate", required_argument, nullptr, Rate },
                            { "seconds", required_argument, nullptr, Seconds },
                            { "connections", required_argument, nullptr, Connections },
                            { "timeout-ms", required_argument, nullptr, TimeoutMs },
                            { "deadline-ms", required_argument, nullptr, DeadlineMs },
                            { "keyed", no_argument, nullptr, Keyed },
                            { "even", no_argument, nullptr, Even },
                            { "check-echo", no_argument, nullptr, CheckEcho },
                            { "seed", required_argument, nullptr, Seed },
                            { "json", no_argument, nullptr, Json },
                            { "help", no_argument, nullptr, Help },
                            { nullptr, 0, nullptr, 0 } };

struct Arguments
{
  LoadTool::LoadConfig mConfig;
  bool mJson = false;
  bool mHelp = false;
};

/// Reads the whole text as a number within the bounds.
tl::expected<double, std::string>
ReadNumber(const std::string& aText, double aLowest, double aHighest)
{
  char* end = nullptr;
  const double value = std::strtod(aText.c_str(), &end);
  if (aText.empty() || *end != '\0' || !(value >= aLowest && value <= aHighest)) {
    return tl::unexpected("\"" + aText + "\" is not a number from " + std::to_string(aLowest) +
                          " to " + std::to_string(aHighest));
  }
  return value;
}

tl::expected<std::pair<std::string, int>, std::string>
ReadTarget(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  const std::string address = aText.substr(0, colon);
  if (colon == std::string::npos || (address.rfind("127.", 0) != 0 && address != "localhost")) {
    return tl::unexpected("target \"" + aText + "\" is not a loopback ADDRESS:PORT");
  }
  const auto port = ReadNumber(aText.substr(colon + 1), 1, 65535);
  if (!port) {
    return tl::unexpected("port of target \"" + aText + "\": " + port.error());
  }
  return std::pair(address, static_cast<int>(*port));
}

using Status = tl::expected<void, std::string>;

template<typename Number>
Status
SetNumber(Number& aField, const std::string& aText, double aLowest, double aHighest)
{
  const auto value = ReadNumber(aText, aLowest, aHighest);
  if (!value) {
    return tl::unexpected(value.error());
  }
  aField = static_cast<Number>(*value);
  return {};
}

Status
SetDuration(Common::Duration& aField, const std::string& aText, Common::Duration aUnit, long aMost)
{
  std::int64_t count = 0;
  Status status = SetNumber(count, aText, 1, static_cast<double>(aMost));
  aField = aUnit * count;
  return status;
}

Status
AddTarget(LoadTool::LoadConfig& aConfig, const std::string& aText)
{
  const auto target = ReadTarget(aText);
  if (!target) {
    return tl::unexpected(target.error());
  }
  aConfig.mTargets.push_back(*target);
  return {};
}

Status
SetOption(Arguments& aArguments, int aOption, const std::string& aValue)
{
  LoadTool::LoadConfig& config = aArguments.mConfig;
  switch (aOption) {
    case Target:
      return AddTarget(config, aValue);
    case Host:
      config.mHost = aValue;
      return {};
    case Method:
      config.mMethod = aValue;
      return {};
    case Path:
      config.mPath = aValue;
      return {};
    case Client:
      config.mClient = aValue;
      return {};
    case BodyBytes:
      return SetNumber(config.mBodyBytes, aValue, 0, static_cast<double>(kMaxBodyBytes));
    case Rate:
      return SetNumber(config.mPerSecond, aValue, 0.1, kMaxPerSecond);
    case Seconds:
      return SetDuration(config.mLength, aValue, std::chrono::seconds(1), kMaxSeconds);
    case Connections:
      return SetNumber(config.mConnections, aValue, 1, static_cast<double>(kMaxConnections));
    case TimeoutMs:
      return SetDuration(config.mTimeout, aValue, std::chrono::milliseconds(1), 60000);
    case DeadlineMs:
      return SetNumber(config.mDeadlineMillis, aValue, 1, 3600000);
    case Keyed:
      config.mKeyed = true;
      return {};
    case Even:
      config.mEven = true;
      return {};
    case CheckEcho:
      config.mCheckEcho = true;
      return {};
    case Seed:
      return SetNumber(config.mSeed, aValue, 0, 1e15);
    case Json:
      aArguments.mJson = true;
      return {};
    case Help:
      aArguments.mHelp = true;
      return {};
    default:
      return tl::unexpected(std::string("unknown option or missing value"));
  }
}

tl::expected<Arguments, std::string>
ReadArguments(int aCount, char** aValues)
{
  Arguments arguments;
  int chosen = 0;
  while ((chosen = getopt_long(aCount, aValues, "", kOptions, nullptr)) != -1) {
    const Status status = SetOption(arguments, chosen, optarg == nullptr ? "" : optarg);
    if (!status) {
      return tl::unexpected(status.error());
    }
  }
  if (optind < aCount) {
    return tl::unexpected("unexpected argument \"" + std::string(aValues[optind]) + "\"");
  }
  if (!arguments.mHelp && arguments.mConfig.mTargets.empty()) {
    return tl::unexpected(std::string("--target is missing"));
  }
  return arguments;
}

} // namespace

int
main(int aCount, char** aValues)
{
  const auto arguments = ReadArguments(aCount, aValues);
  if (!arguments) {
    std::cerr << "ibisload: " << arguments.error() << "\nTry ibisload --help.\n";
    return kUsageError;
  }
  if (arguments->mHelp) {
    std::cout << kHelp;
    return 0;
  }
  const LoadTool::LoadResult result = LoadTool::RunLoad(arguments->mConfig);
  std::cout << (arguments->mJson ? LoadTool::JsonReport(arguments->mConfig, result) + "\n"
                                 : LoadTool::TextReport(arguments->mConfig, result));
  return result.mWrongAnswers == 0 ? 0 : 1;
}
