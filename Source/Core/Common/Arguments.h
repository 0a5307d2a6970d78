#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

/// Command lines with long options.
namespace Common {

/// A long option.
struct OptionSpec
{
  std::string mName;
  /// What stands for the value in the help; empty if the option has none.
  std::string mValue;
  std::string mHelp;
};

/// A parsed command line.
struct Arguments
{
  std::vector<std::string> mPositional;
  /// The values of each option in order; an option without value has empty ones.
  std::map<std::string, std::vector<std::string>> mOptions;

  bool has(const std::string& aName) const;
  /// The last value of an option, or aDefault.
  std::string value(const std::string& aName, const std::string& aDefault = "") const;
};

/// Parses aWords with getopt_long. With aStopAtWord the first word that is no option ends the
/// parse, and it and all after it are positional. The error is a message for the user. It uses the
/// global state of getopt and must not run in two threads.
tl::expected<Arguments, std::string>
ParseArguments(const std::vector<std::string>& aWords,
               const std::vector<OptionSpec>& aSpecs,
               bool aStopAtWord = false);

/// One line of help for each option.
std::string
OptionsText(const std::vector<OptionSpec>& aSpecs);

/// A whole number of at least 0, or nothing if aText is none.
std::optional<std::int64_t>
ParseCount(const std::string& aText);

} // namespace Common
