#pragma once

namespace Standins {

/// Each runs one stand-in until it is stopped or its time is over, and returns the exit status.
/// aArguments starts with the name of the command.
int
RunStore(int aCount, char** aArguments);
int
RunWorker(int aCount, char** aArguments);
int
RunEndpoint(int aCount, char** aArguments);

} // namespace Standins
