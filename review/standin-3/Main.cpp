#include <cstring>

#include "Cases.h"

// Usage: standin-3 CASE ROOT FOLDER. Exit codes: 0 the rule held, 1 it was broken, 2 not played.
int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  if (aCount != 4) {
    std::cerr << "usage: standin-3 CASE ROOT FOLDER\n";
    return 2;
  }
  const char* const trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  const std::string name = aArguments[1];
  for (const auto& [known, play] : Review::kCases) {
    if (name == known) {
      try {
        Review::World world(aArguments[2], aArguments[3]);
        return play(world, hasTrouble);
      } catch (const std::exception& error) {
        std::cerr << "not played: " << error.what() << '\n';
        return 2;
      }
    }
  }
  std::cerr << "unknown case " << name << '\n';
  return 2;
}
