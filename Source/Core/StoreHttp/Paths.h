#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Store/StorePort.h"

/// Paths and headers of the store's HTTP protocol (docs/platform.md).
namespace StoreHttp {

inline constexpr const char* kKeysPath = "/v1/kv";
inline constexpr const char* kLeasesPath = "/v1/leases";
inline constexpr const char* kWatchPath = "/v1/watch";
inline constexpr const char* kVersionHeader = "Store-Version";

/// A whole decimal number of at least 0, or empty.
std::optional<std::int64_t>
ParseNumber(std::string_view aText);

std::string
KeyPath(const std::string& aKey);

std::string
LeasePath(Store::LeaseId aLease);

} // namespace StoreHttp
