#include "Bench/Program.h"

#include <getopt.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "Bench/Measure.h"

namespace Bench {

namespace {

constexpr int kUsageError = 2;

const char* const kHelp = R"( [options] [AREA-PREFIX]

Runs the measures of the areas whose name starts with the prefix, or of all.

  --quick      skips the longest parts
  --check      exits with 1 if a measure is beyond its bound
  --json FILE  also writes the measures as JSON
  --list       prints the names of the areas
  --help       prints this text
)";

const option kOptions[] = {
  { "quick", no_argument, nullptr, 'q' },      { "check", no_argument, nullptr, 'c' },
  { "json", required_argument, nullptr, 'j' }, { "list", no_argument, nullptr, 'l' },
  { "help", no_argument, nullptr, 'h' },       { nullptr, 0, nullptr, 0 }
};

struct Arguments
{
  bool mQuick = false;
  bool mCheck = false;
  bool mList = false;
  bool mHelp = false;
  std::string mJsonFile;
  std::string mPrefix;
};

std::optional<Arguments>
ReadArguments(int aCount, char** aValues)
{
  Arguments arguments;
  int chosen = 0;
  while ((chosen = getopt_long(aCount, aValues, "", kOptions, nullptr)) != -1) {
    switch (chosen) {
      case 'q':
        arguments.mQuick = true;
        break;
      case 'c':
        arguments.mCheck = true;
        break;
      case 'j':
        arguments.mJsonFile = optarg;
        break;
      case 'l':
        arguments.mList = true;
        break;
      case 'h':
        arguments.mHelp = true;
        break;
      default:
        return std::nullopt;
    }
  }
  if (optind + 1 < aCount) {
    return std::nullopt;
  }
  if (optind < aCount) {
    arguments.mPrefix = aValues[optind];
  }
  return arguments;
}

Measures
RunAreas(const std::vector<Area>& aAreas)
{
  Measures all;
  for (const Area& area : aAreas) {
    const Measures measures = area.mRun();
    all.insert(all.end(), measures.begin(), measures.end());
  }
  return all;
}

} // namespace

int
RunProgram(const char* aName, int aCount, char** aValues)
{
  const std::optional<Arguments> arguments = ReadArguments(aCount, aValues);
  if (!arguments) {
    std::cerr << "Usage: " << aName << kHelp;
    return kUsageError;
  }
  if (arguments->mHelp) {
    std::cout << "Usage: " << aName << kHelp;
    return 0;
  }
  std::vector<Area> areas = Areas();
  std::sort(areas.begin(), areas.end(), [](const Area& aLeft, const Area& aRight) {
    return aLeft.mName < aRight.mName;
  });
  std::erase_if(areas,
                [&](const Area& aArea) { return !aArea.mName.starts_with(arguments->mPrefix); });
  if (areas.empty()) {
    std::cerr << aName << ": no area starts with \"" << arguments->mPrefix << "\"\n";
    return kUsageError;
  }
  if (arguments->mList) {
    for (const Area& area : areas) {
      std::cout << area.mName << '\n';
    }
    return 0;
  }
  SetQuick(arguments->mQuick);
  const Measures all = RunAreas(areas);
  PrintTable(all);
  if (!arguments->mJsonFile.empty()) {
    std::ofstream file(arguments->mJsonFile);
    file << JsonText(all);
    if (!file.flush()) {
      std::cerr << aName << ": cannot write " << arguments->mJsonFile << '\n';
      return kUsageError;
    }
  }
  const bool passed = std::all_of(all.begin(), all.end(), Passes);
  return arguments->mCheck && !passed ? 1 : 0;
}

} // namespace Bench
