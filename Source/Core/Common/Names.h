#pragma once

#include <string>

namespace Common {

/// True for 1 to 64 letters, digits, '.', '_' and '-'; names stand in URLs, headers and store keys.
bool
IsName(const std::string& aText);

} // namespace Common
