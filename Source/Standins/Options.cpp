#include "Standins/Options.h"

#include <charconv>
#include <cstdio>
#include <cstring>

#include <getopt.h>

namespace Standins {

namespace {

bool
SetNumber(std::int64_t& aTarget, const char* aText)
{
  const char* end = aText + std::strlen(aText);
  const auto [stop, error] = std::from_chars(aText, end, aTarget);
  return error == std::errc() && stop == end && aTarget >= 0;
}

void
PrintHelp(const char* aCommand, const std::vector<Option>& aOptions)
{
  std::printf("usage: ibisstandin %s [options]\n", aCommand);
  for (const Option& option : aOptions) {
    const std::string text = option.mNumber ? std::to_string(*option.mNumber) : *option.mText;
    std::printf("  --%-22s %s (%s)\n", option.mName, option.mHelp, text.c_str());
  }
}

} // namespace

std::optional<int>
ParseOptions(int aCount, char** aArguments, std::vector<Option> aOptions, ServeOptions& aServe)
{
  aOptions.push_back({ "port", "port on 127.0.0.1; 0 chooses one", &aServe.mPort });
  aOptions.push_back({ "max-seconds", "end after this time", &aServe.mMaxSeconds });
  aOptions.push_back({ "threads", "serving threads", &aServe.mThreads });
  std::vector<option> table;
  table.reserve(aOptions.size() + 2);
  for (const Option& known : aOptions) {
    table.push_back({ known.mName, required_argument, nullptr, 0 });
  }
  table.push_back({ "help", no_argument, nullptr, 'h' });
  table.push_back({ nullptr, 0, nullptr, 0 });
  int index = 0;
  int found = 0;
  while ((found = getopt_long(aCount, aArguments, "h", table.data(), &index)) != -1) {
    if (found == 'h') {
      PrintHelp(aArguments[0], aOptions);
      return 0;
    }
    if (found != 0) {
      return 2;
    }
    const Option& known = aOptions[static_cast<std::size_t>(index)];
    if (known.mText != nullptr) {
      *known.mText = optarg;
    } else if (!SetNumber(*known.mNumber, optarg)) {
      std::fprintf(
        stderr, "--%s: \"%s\" is not a whole number of at least 0\n", known.mName, optarg);
      return 2;
    }
  }
  if (optind < aCount) {
    std::fprintf(stderr, "unexpected argument \"%s\"\n", aArguments[optind]);
    return 2;
  }
  return std::nullopt;
}

} // namespace Standins
