#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Standins {

/// One long option. Exactly one target is set.
struct Option
{
  const char* mName;
  const char* mHelp;
  std::int64_t* mNumber = nullptr;
  std::string* mText = nullptr;
};

/// Options that every stand-in has.
struct ServeOptions
{
  /// 0 chooses a free port, which is printed.
  std::int64_t mPort = 0;
  /// The process ends by itself after this time, so that a test that dies leaves none behind.
  std::int64_t mMaxSeconds = 600;
  std::int64_t mThreads = 0;
};

/// Parses the command line into the targets of aOptions and aServe. Returns the exit status if the
/// program should end at once (help or a mistake, which are printed).
std::optional<int>
ParseOptions(int aCount, char** aArguments, std::vector<Option> aOptions, ServeOptions& aServe);

} // namespace Standins
