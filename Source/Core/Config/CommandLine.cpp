#include "Config/CommandLine.h"

#include "Common/Arguments.h"

namespace Config {

namespace {

const std::vector<Common::OptionSpec>&
Options()
{
  static const std::vector<Common::OptionSpec> kOptions = {
    { "config", "FILE", "read the settings from FILE" },
    { "set", "SECTION.KEY=VALUE", "replace one setting; may be repeated" },
    { "check", "", "check the settings and exit" },
    { "platform", "", "run with the settings file that the users' platform names" },
    { "help", "", "print this help" },
    { "version", "", "print the version" },
  };
  return kOptions;
}

} // namespace

tl::expected<CommandLine, std::string>
ParseCommandLine(const std::vector<std::string>& aArguments)
{
  const auto parsed = Common::ParseArguments(aArguments, Options());
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  if (!parsed->mPositional.empty()) {
    return tl::unexpected("unexpected argument \"" + parsed->mPositional.front() + '"');
  }
  CommandLine line;
  line.mSettingsFile = parsed->value("config");
  const auto overrides = parsed->mOptions.find("set");
  if (overrides != parsed->mOptions.end()) {
    line.mOverrides = overrides->second;
  }
  line.mCheck = parsed->has("check");
  line.mPlatform = parsed->has("platform");
  line.mHelp = parsed->has("help");
  line.mVersion = parsed->has("version");
  if (line.mPlatform && (!line.mSettingsFile.empty() || !line.mOverrides.empty())) {
    return tl::unexpected(std::string("--platform takes no other settings"));
  }
  if (line.mSettingsFile.empty() && !line.mPlatform && !line.mHelp && !line.mVersion) {
    return tl::unexpected(std::string("--config FILE is missing"));
  }
  return line;
}

std::string
CommandLineHelp()
{
  return "Usage: ibisshedd --config FILE [--set SECTION.KEY=VALUE]... [--check]\n       ibisshedd "
         "--platform\n\nOptions:\n" +
         Common::OptionsText(Options());
}

} // namespace Config
