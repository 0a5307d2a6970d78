// Plays one case of the review: harness CASE PROGRAM FOLDER RECORD. Exits with 1 if the rule was
// broken, 0 if it held, 2 if the case could not run.

#include <csignal>
#include <cstdlib>
#include <cstring>

#include "Cases.h"

int
main(int aCount, char** aArguments)
{
  if (aCount != 5) {
    std::fprintf(stderr, "usage: harness CASE PROGRAM FOLDER RECORD\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char* const trouble = std::getenv("TROUBLE");
  Review::Record record(aArguments[4]);
  const std::string level = trouble == nullptr ? "1" : trouble;
  record.line("case %s, TROUBLE=%s", aArguments[1], level.c_str());
  int result = 2;
  try {
    Review::Installation installation(aArguments[2], aArguments[3], record);
    const std::string name = aArguments[1];
    for (const Review::Case& entry : Review::kCases) {
      if (name == entry.mName) {
        result = entry.mPlay(installation, level);
      }
    }
  } catch (const std::exception& error) {
    record.line("the case could not run: %s", error.what());
  }
  record.line("exit %d: %s", result,
              result == 0   ? "the rule held"
              : result == 1 ? "the rule was broken"
                            : "the case could not run");
  std::printf("%s\n", result == 0   ? "the rule held"
                      : result == 1 ? "the rule was broken"
                                    : "the case could not run");
  return result;
}
