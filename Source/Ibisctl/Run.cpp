#include "Ibisctl/Run.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>

#include "Common/Findings.h"
#include "Ibisctl/Command.h"

namespace Ibisctl {

namespace {

using Common::ParseArguments;

const char* const kDefaultServer = "127.0.0.1:7480";
constexpr std::int64_t kDefaultTimeoutMs = 10'000;

const std::vector<OptionSpec>&
CommonOptions()
{
  static const std::vector<OptionSpec> kOptions = {
    { "server", "HOST:PORT", "entry to ask; may be repeated or have commas, tried in order" },
    { "output", "FORMAT", "table (default) or json" },
    { "timeout-ms", "N", "time for each request, 10000 by default" },
    { "help", "", "print this help" },
    { "version", "", "print the version" },
  };
  return kOptions;
}

std::vector<Command>
AllCommands()
{
  std::vector<Command> commands;
  for (auto& group : { CheckCommands(),
                       TablesCommands(),
                       TablesEditCommands(),
                       JobsCommands(),
                       FleetCommands(),
                       StoreCommands() }) {
    commands.insert(commands.end(), group.begin(), group.end());
  }
  return commands;
}

void
PrintHelp(const std::vector<Command>& aCommands, std::ostream& aOut)
{
  constexpr std::size_t kWidth = 36;
  aOut << "Usage: ibisctl [OPTION]... COMMAND [ARGUMENT]...\n\nCommands:\n";
  for (const Command& command : aCommands) {
    std::string left = "  " + command.mName + (command.mUsage.empty() ? "" : ' ' + command.mUsage);
    left.append(std::max(left.size() + 1, kWidth) - left.size(), ' ');
    aOut << left << command.mHelp << '\n';
  }
  aOut << "\nOptions:\n";
  aOut << Common::OptionsText(CommonOptions());
  aOut << "\nIBISCTL_SERVER names the servers if --server is not given; the default is "
       << kDefaultServer << ".\nExit codes: 0 success, 1 findings or a negative answer, 2 usage "
       << "error, 3 no server answered.\n";
}

void
PrintCommandHelp(const Command& aCommand, std::ostream& aOut)
{
  aOut << "Usage: ibisctl " << aCommand.mName << (aCommand.mUsage.empty() ? "" : " ")
       << aCommand.mUsage << " [OPTION]...\n\n"
       << aCommand.mHelp << ".\n\nOptions:\n";
  aOut << Common::OptionsText(aCommand.mOptions);
  aOut << Common::OptionsText(CommonOptions());
}

void
PrintVersion(std::ostream& aOut)
{
  aOut << "ibisctl " IBIS_VERSION "\n";
}

int
Complain(std::ostream& aError, const std::string& aMessage)
{
  aError << "ibisctl: " << aMessage << "; see ibisctl --help\n";
  return kUsage;
}

/// The command whose words start aWords, or null.
const Command*
FindCommand(const std::vector<Command>& aCommands, const std::vector<std::string>& aWords)
{
  const std::string& one = aWords.front();
  const std::string two = aWords.size() > 1 ? one + ' ' + aWords[1] : one;
  for (const std::string& name : { two, one }) {
    const auto found =
      std::find_if(aCommands.begin(), aCommands.end(), [&](const Command& aCommand) {
        return aCommand.mName == name;
      });
    if (found != aCommands.end()) {
      return &*found;
    }
  }
  return nullptr;
}

int
UnknownCommand(const std::vector<Command>& aCommands,
               const std::vector<std::string>& aWords,
               std::ostream& aError)
{
  std::vector<std::string> names;
  std::string group;
  names.reserve(aCommands.size());
  for (const Command& command : aCommands) {
    names.push_back(command.mName);
    if (command.mName.starts_with(aWords.front() + ' ')) {
      group += (group.empty() ? "" : ", ");
      group += command.mName;
    }
  }
  std::string typed = aWords.front();
  if (aWords.size() > 1 && !group.empty()) {
    typed += ' ' + aWords[1];
  }
  const std::string nearest = Common::NearestName(typed, names);
  std::string message = "unknown command \"" + typed + '"';
  if (!nearest.empty()) {
    message += "; did you mean \"" + nearest + "\"?";
  } else if (!group.empty()) {
    message += "; there are " + group;
  }
  return Complain(aError, message);
}

/// All --server options, or the environment, or the default.
std::string
ServersOf(const Arguments& aArguments)
{
  const auto found = aArguments.mOptions.find("server");
  if (found == aArguments.mOptions.end()) {
    const char* variable = std::getenv("IBISCTL_SERVER");
    return variable == nullptr || *variable == '\0' ? kDefaultServer : variable;
  }
  std::string servers;
  for (const std::string& value : found->second) {
    servers += (servers.empty() ? "" : ",");
    servers += value;
  }
  return servers;
}

int
RunCommand(const Command& aCommand,
           const Arguments& aArguments,
           std::ostream& aOut,
           std::ostream& aError)
{
  const std::size_t count = aArguments.mPositional.size();
  if (count < aCommand.mMinArguments || count > aCommand.mMaxArguments) {
    return Complain(aError,
                    "usage: ibisctl " + aCommand.mName + ' ' + aCommand.mUsage + " [OPTION]...");
  }
  const std::string output = aArguments.value("output", "table");
  if (output != "table" && output != "json") {
    return Complain(aError, "--output must be table or json");
  }
  const auto timeout =
    ParseCount(aArguments.value("timeout-ms", std::to_string(kDefaultTimeoutMs)));
  if (!timeout || *timeout < 1) {
    return Complain(aError, "--timeout-ms must be a whole number of at least 1");
  }
  auto servers = ParseServers(ServersOf(aArguments));
  if (!servers) {
    return Complain(aError, servers.error());
  }
  Session session{ aArguments,
                   ApiClient(std::move(*servers), std::chrono::milliseconds(*timeout)),
                   std::chrono::milliseconds(*timeout),
                   output == "json",
                   aOut,
                   aError };
  return aCommand.mRun(session);
}

} // namespace

int
Run(const std::vector<std::string>& aArguments, std::ostream& aOut, std::ostream& aError)
{
  const std::vector<Command> commands = AllCommands();
  const auto before = ParseArguments(aArguments, CommonOptions(), true);
  if (!before) {
    return Complain(aError, before.error());
  }
  if (before->has("version")) {
    PrintVersion(aOut);
    return kSuccess;
  }
  if (before->has("help")) {
    PrintHelp(commands, aOut);
    return kSuccess;
  }
  if (before->mPositional.empty()) {
    return Complain(aError, "a command is missing");
  }
  const Command* command = FindCommand(commands, before->mPositional);
  if (command == nullptr) {
    return UnknownCommand(commands, before->mPositional, aError);
  }
  std::vector<OptionSpec> options = CommonOptions();
  options.insert(options.end(), command->mOptions.begin(), command->mOptions.end());
  const auto words = std::count(command->mName.begin(), command->mName.end(), ' ') + 1;
  auto after = ParseArguments(
    { before->mPositional.begin() + words, before->mPositional.end() }, options, false);
  if (!after) {
    return Complain(aError, after.error());
  }
  if (after->has("version")) {
    PrintVersion(aOut);
    return kSuccess;
  }
  if (after->has("help")) {
    PrintCommandHelp(*command, aOut);
    return kSuccess;
  }
  // Options before the command are defaults for those after it.
  after->mOptions.insert(before->mOptions.begin(), before->mOptions.end());
  return RunCommand(*command, *after, aOut, aError);
}

} // namespace Ibisctl
