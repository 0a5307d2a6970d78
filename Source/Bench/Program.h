#pragma once

namespace Bench {

/// The main function of a benchmark program: runs the registered areas as the command line says and
/// returns the exit status.
int
RunProgram(const char* aName, int aCount, char** aValues);

} // namespace Bench
