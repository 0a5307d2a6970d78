#include <cstdio>
#include <string_view>

#include "Standins/Commands.h"

int
main(int aCount, char** aArguments)
{
  const std::string_view command = aCount > 1 ? aArguments[1] : "";
  if (command == "store") {
    return Standins::RunStore(aCount - 1, aArguments + 1);
  }
  if (command == "worker") {
    return Standins::RunWorker(aCount - 1, aArguments + 1);
  }
  if (command == "endpoint") {
    return Standins::RunEndpoint(aCount - 1, aArguments + 1);
  }
  std::fputs("usage: ibisstandin store|worker|endpoint [--help] [options]\n", stderr);
  return 2;
}
