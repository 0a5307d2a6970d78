#include <iostream>

#include "Ibisctl/Run.h"

int
main(int aCount, char** aArguments)
{
  return Ibisctl::Run({ aArguments + 1, aArguments + aCount }, std::cout, std::cerr);
}
