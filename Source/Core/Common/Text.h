#pragma once

#include <string>
#include <string_view>

namespace Common {

/// ASCII letters in lower case; host and header names ignore the case of ASCII letters only.
std::string
LowerCase(std::string_view aText);

/// Every byte but the unreserved ones of RFC 3986 and those of aKept as %XX, so that a text with
/// slashes is one path segment.
std::string
PercentEncoded(std::string_view aText, std::string_view aKept = {});

} // namespace Common
