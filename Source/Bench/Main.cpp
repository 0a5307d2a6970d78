#include <algorithm>
#include <cstdio>
#include <string>
#include <string_view>

#include "Bench/Measure.h"

int
main(int aCount, char** aArguments)
{
  bool json = false;
  std::string prefix;
  for (int i = 1; i < aCount; ++i) {
    const std::string_view argument = aArguments[i];
    if (argument == "--json") {
      json = true;
    } else if (argument.starts_with("-")) {
      std::fprintf(stderr, "usage: ibisbench [--json] [NAME-PREFIX]\n");
      return 2;
    } else {
      prefix = argument;
    }
  }
  auto areas = Bench::Areas();
  std::sort(areas.begin(), areas.end(), [](const Bench::Area& aLeft, const Bench::Area& aRight) {
    return aLeft.mName < aRight.mName;
  });
  Bench::Measures all;
  for (const Bench::Area& area : areas) {
    if (area.mName.starts_with(prefix)) {
      const Bench::Measures measures = area.mRun();
      all.insert(all.end(), measures.begin(), measures.end());
    }
  }
  (json ? Bench::PrintJson : Bench::PrintTable)(all);
  if (all.empty()) {
    std::fprintf(stderr, "no area starts with \"%s\"\n", prefix.c_str());
    return 2;
  }
  return std::all_of(all.begin(), all.end(), Bench::Passes) ? 0 : 1;
}
