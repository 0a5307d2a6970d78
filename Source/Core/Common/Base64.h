#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Base64 of RFC 4648 with padding, for binary values inside JSON.
namespace Common {

std::string
EncodeBase64(std::string_view aBytes);

/// Empty if the text is not valid base64.
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace Common
