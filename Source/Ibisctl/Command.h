#pragma once

#include <chrono>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include "Common/Arguments.h"
#include "Ibisctl/ApiClient.h"

namespace Ibisctl {

using Common::Arguments;
using Common::OptionSpec;
using Common::ParseCount;

/// Exit codes; docs/ibisctl.md describes them.
constexpr int kSuccess = 0;
constexpr int kNegative = 1;
constexpr int kUsage = 2;
constexpr int kUnreachable = 3;

/// What a command works with.
struct Session
{
  Arguments mArguments;
  ApiClient mApi;
  std::chrono::milliseconds mTimeout;
  bool mJson = false;
  std::ostream& mOut;
  std::ostream& mError;
};

/// One command with its options, beside those that all commands have.
struct Command
{
  /// One or two words, for example "tables apply".
  std::string mName;
  /// Positional arguments as the help shows them.
  std::string mUsage;
  std::string mHelp;
  std::size_t mMinArguments = 0;
  std::size_t mMaxArguments = 0;
  std::vector<OptionSpec> mOptions;
  std::function<int(Session&)> mRun;
};

std::vector<Command>
CheckCommands();
std::vector<Command>
TablesCommands();
std::vector<Command>
TablesEditCommands();
std::vector<Command>
JobsCommands();
std::vector<Command>
FleetCommands();
/// Commands for a deployment whose state is in the platform's store.
std::vector<Command>
StoreCommands();

/// Reports a usage error found by a command itself.
int
UsageError(Session& aSession, const std::string& aMessage);

/// The status of an entry that cannot serve now; the request had no effect.
constexpr int kUnavailable = 503;

/// Reads the JSON of a successful answer to a call of aPath. If there is none, the reason is
/// printed and the error is the exit code.
tl::expected<nlohmann::json, int>
ReadAnswer(Session& aSession,
           const tl::expected<Answer, NoAnswer>& aAnswer,
           const std::string& aPath);

/// Sends a request and reads the JSON of a successful answer. If there is none, the reason is
/// printed and the error is the exit code.
tl::expected<nlohmann::json, int>
Ask(Session& aSession,
    const std::string& aMethod,
    const std::string& aPath,
    const std::string& aBody = "",
    const std::map<std::string, std::string>& aHeaders = {});

/// Prints why a call gave no answer and returns the exit code.
int
ReportNoAnswer(Session& aSession, const NoAnswer& aNoAnswer);

/// Prints a refusal with its findings and returns the exit code.
int
ReportRefusal(Session& aSession, const Answer& aAnswer);

/// Prints aAnswer as JSON, or its list under aKey as a table.
void
PrintList(Session& aSession,
          const nlohmann::json& aAnswer,
          const std::string& aKey,
          const std::vector<std::string>& aColumns);

/// Prints aObject as JSON or as lines.
void
PrintObject(Session& aSession,
            const nlohmann::json& aObject,
            const std::vector<std::string>& aFirst);

/// The JSON of aText; discarded if it is none.
nlohmann::json
ParseJson(const std::string& aText);

/// A text member of aObject, or empty.
std::string
TextOf(const nlohmann::json& aObject, const std::string& aKey);

/// An integer member of aObject, or 0.
std::int64_t
NumberOf(const nlohmann::json& aObject, const std::string& aKey);

/// The whole file; the error is a message with its name.
tl::expected<std::string, std::string>
ReadFile(const std::string& aPath);

} // namespace Ibisctl
