#include <getopt.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "Bench/Measure.h"

namespace {

constexpr int kUsageError = 2;

const char* const kHelp = R"(Usage: ibisbench [options] [AREA-PREFIX]

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

Bench::Measures
RunAreas(const std::vector<Bench::Area>& aAreas)
{
  Bench::Measures all;
  for (const Bench::Area& area : aAreas) {
    const Bench::Measures measures = area.mRun();
    all.insert(all.end(), measures.begin(), measures.end());
  }
  return all;
}

} // namespace

int
main(int aCount, char** aValues)
{
  const std::optional<Arguments> arguments = ReadArguments(aCount, aValues);
  if (!arguments) {
    std::cerr << kHelp;
    return kUsageError;
  }
  if (arguments->mHelp) {
    std::cout << kHelp;
    return 0;
  }
  std::vector<Bench::Area> areas = Bench::Areas();
  std::sort(areas.begin(), areas.end(), [](const Bench::Area& aLeft, const Bench::Area& aRight) {
    return aLeft.mName < aRight.mName;
  });
  std::erase_if(
    areas, [&](const Bench::Area& aArea) { return !aArea.mName.starts_with(arguments->mPrefix); });
  if (areas.empty()) {
    std::cerr << "ibisbench: no area starts with \"" << arguments->mPrefix << "\"\n";
    return kUsageError;
  }
  if (arguments->mList) {
    for (const Bench::Area& area : areas) {
      std::cout << area.mName << '\n';
    }
    return 0;
  }
  Bench::SetQuick(arguments->mQuick);
  const Bench::Measures all = RunAreas(areas);
  Bench::PrintTable(all);
  if (!arguments->mJsonFile.empty()) {
    std::ofstream file(arguments->mJsonFile);
    file << Bench::JsonText(all);
    if (!file.flush()) {
      std::cerr << "ibisbench: cannot write " << arguments->mJsonFile << '\n';
      return kUsageError;
    }
  }
  const bool passed = std::all_of(all.begin(), all.end(), Bench::Passes);
  return arguments->mCheck && !passed ? 1 : 0;
}
