#include "Ibisctl/Output.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <set>

namespace Ibisctl {

namespace {

using nlohmann::json;

std::string
TimeText(std::int64_t aUnixMillis)
{
  constexpr std::int64_t kMillis = 1000;
  const std::time_t seconds = static_cast<std::time_t>(aUnixMillis / kMillis);
  std::tm parts{};
  if (aUnixMillis < 0 || gmtime_r(&seconds, &parts) == nullptr) {
    return std::to_string(aUnixMillis);
  }
  std::array<char, 64> buffer{};
  const std::size_t length =
    std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string millis = std::to_string(aUnixMillis % kMillis);
  millis.insert(0, 3 - millis.size(), '0');
  return std::string(buffer.data(), length) + '.' + millis + 'Z';
}

/// Columns that fill a terminal take the number of characters, not of bytes.
std::size_t
WidthOf(const std::string& aText)
{
  return static_cast<std::size_t>(std::count_if(aText.begin(), aText.end(), [](char aCharacter) {
    return (static_cast<unsigned char>(aCharacter) & 0xc0U) != 0x80U;
  }));
}

/// The keys of aItems: those of aColumns that occur, then the others.
std::vector<std::string>
ColumnsOf(const json& aItems, const std::vector<std::string>& aColumns)
{
  std::set<std::string> keys;
  for (const json& item : aItems) {
    if (item.is_object()) {
      for (const auto& [key, value] : item.items()) {
        keys.insert(key);
      }
    }
  }
  std::vector<std::string> columns;
  for (const std::string& column : aColumns) {
    if (keys.erase(column) > 0) {
      columns.push_back(column);
    }
  }
  columns.insert(columns.end(), keys.begin(), keys.end());
  return columns;
}

void
AppendRow(const std::vector<std::string>& aCells,
          const std::vector<std::size_t>& aWidths,
          std::string& aText)
{
  std::string line;
  for (std::size_t i = 0; i < aCells.size(); ++i) {
    line += aCells[i];
    line.append(aWidths[i] - WidthOf(aCells[i]) + 2, ' ');
  }
  line.erase(line.find_last_not_of(' ') + 1);
  aText += line + '\n';
}

} // namespace

std::string
RenderCell(const std::string& aKey, const json& aValue)
{
  if (aValue.is_null()) {
    return "-";
  }
  if (aValue.is_number_integer() && aKey.ends_with("unix_ms")) {
    return TimeText(aValue.get<std::int64_t>());
  }
  std::string text = aValue.is_string()
                       ? aValue.get<std::string>()
                       : aValue.dump(-1, ' ', false, json::error_handler_t::replace);
  // Text of callers must not move the cursor of the operator's terminal.
  std::replace_if(
    text.begin(),
    text.end(),
    [](char aCharacter) {
      const auto code = static_cast<unsigned char>(aCharacter);
      return code < 0x20 || code == 0x7f;
    },
    ' ');
  return text.empty() ? "-" : text;
}

std::string
RenderTable(const json& aItems, const std::vector<std::string>& aColumns)
{
  const std::vector<std::string> columns = ColumnsOf(aItems, aColumns);
  if (columns.empty()) {
    return "none\n";
  }
  std::vector<std::vector<std::string>> rows = { columns };
  for (const json& item : aItems) {
    std::vector<std::string> row(columns.size(), "-");
    for (std::size_t i = 0; item.is_object() && i < columns.size(); ++i) {
      const auto found = item.find(columns[i]);
      if (found != item.end()) {
        row[i] = RenderCell(columns[i], *found);
      }
    }
    rows.push_back(std::move(row));
  }
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], WidthOf(row[i]));
    }
  }
  std::string text;
  for (const auto& row : rows) {
    AppendRow(row, widths, text);
  }
  return text;
}

std::string
RenderObject(const json& aObject, const std::vector<std::string>& aFirst)
{
  std::string text;
  for (const std::string& key : ColumnsOf(json::array({ aObject }), aFirst)) {
    text.append(key).append(": ").append(RenderCell(key, aObject.at(key))).append("\n");
  }
  return text;
}

} // namespace Ibisctl
