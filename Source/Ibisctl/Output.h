#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Ibisctl {

/// The items as an aligned table with a header line. The columns are aColumns, then the other keys
/// of the items by name; a column that no item has is left out.
std::string
RenderTable(const nlohmann::json& aItems, const std::vector<std::string>& aColumns);

/// The members of an object, one "key: value" line each, those of aFirst first.
std::string
RenderObject(const nlohmann::json& aObject, const std::vector<std::string>& aFirst);

/// A value in one line without control characters. Under a key that ends in "unix_ms" a number is a
/// time and becomes "2026-01-31T12:00:00.000Z".
std::string
RenderCell(const std::string& aKey, const nlohmann::json& aValue);

} // namespace Ibisctl
