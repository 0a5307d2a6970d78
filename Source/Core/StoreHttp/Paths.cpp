#include "StoreHttp/Paths.h"

#include <charconv>

namespace StoreHttp {

namespace {

bool
IsUnreserved(char aLetter)
{
  return (aLetter >= 'a' && aLetter <= 'z') || (aLetter >= 'A' && aLetter <= 'Z') ||
         (aLetter >= '0' && aLetter <= '9') ||
         std::string_view("-._~").find(aLetter) != std::string_view::npos;
}

} // namespace

std::string
PercentEncode(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char letter : aText) {
    if (IsUnreserved(letter)) {
      encoded += letter;
      continue;
    }
    const auto byte = static_cast<unsigned char>(letter);
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 15U];
  }
  return encoded;
}

std::optional<std::int64_t>
ParseNumber(std::string_view aText)
{
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc() || end != aText.data() + aText.size() || value < 0) {
    return std::nullopt;
  }
  return value;
}

std::string
KeyPath(const std::string& aKey)
{
  return std::string(kKeysPath) + "/" + PercentEncode(aKey);
}

std::string
LeasePath(Store::LeaseId aLease)
{
  return std::string(kLeasesPath) + "/" + std::to_string(aLease.value());
}

} // namespace StoreHttp
