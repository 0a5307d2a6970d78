#pragma once

#include <ostream>
#include <string>
#include <vector>

/// The command-line client of operators.
namespace Ibisctl {

/// Runs the command line aArguments (without the program's name) and returns the exit code: 0 for
/// success, 1 for findings or a negative answer, 2 for a usage error, 3 if no server gave an
/// answer.
int
Run(const std::vector<std::string>& aArguments, std::ostream& aOut, std::ostream& aError);

} // namespace Ibisctl
