#include "StoreHttp/Paths.h"

#include <charconv>

#include "Common/Text.h"

namespace StoreHttp {

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
  return std::string(kKeysPath) + "/" + Common::PercentEncoded(aKey);
}

std::string
LeasePath(Store::LeaseId aLease)
{
  return std::string(kLeasesPath) + "/" + std::to_string(aLease.value());
}

} // namespace StoreHttp
