#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace Config {

/// The command line of the daemon.
struct CommandLine
{
  std::string mSettingsFile;
  /// The --set options in order, "section.key=value".
  std::vector<std::string> mOverrides;
  /// Only check the settings.
  bool mCheck = false;
  /// Take the settings from the file that the users' platform names.
  bool mPlatform = false;
  bool mHelp = false;
  bool mVersion = false;
};

/// Parses the arguments without the program's name. The error is a message for the user. It uses
/// the global state of getopt and must not run in two threads.
tl::expected<CommandLine, std::string>
ParseCommandLine(const std::vector<std::string>& aArguments);

/// The text of --help.
std::string
CommandLineHelp();

} // namespace Config
