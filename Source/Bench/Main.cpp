#include "Bench/Program.h"

int
main(int aCount, char** aValues)
{
  return Bench::RunProgram("ibisbench", aCount, aValues);
}
