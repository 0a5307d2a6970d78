#include "Ibisctl/LogTrace.h"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

#include "Ibisctl/Command.h"
#include "Ibisctl/Output.h"

namespace Ibisctl {

namespace {

using nlohmann::json;

bool
Names(const json& aLine, std::string_view aId)
{
  return std::any_of(aLine.begin(), aLine.end(), [&](const json& aField) {
    return aField.is_string() &&
           aField.get_ref<const std::string&>().find(aId) != std::string::npos;
  });
}

std::string
Rendered(const json& aLine)
{
  std::string text = TextOf(aLine, "time") + "  " + TextOf(aLine, "instance") + "  " +
                     TextOf(aLine, "category") + ": " + RenderCell("", TextOf(aLine, "message"));
  for (const auto& [key, value] : aLine.items()) {
    if (key != "time" && key != "instance" && key != "category" && key != "message" &&
        key != "level") {
      text += "  " + RenderCell("", key) + '=' + RenderCell(key, value);
    }
  }
  return text + '\n';
}

} // namespace

std::string
RenderLogTrace(const std::vector<LogText>& aLogs, std::string_view aId)
{
  std::vector<json> lines;
  for (const LogText& log : aLogs) {
    std::istringstream stream(log.mText);
    std::string line;
    while (std::getline(stream, line)) {
      const std::size_t brace = line.find('{');
      if (brace == std::string::npos || line.find(aId) == std::string::npos) {
        continue;
      }
      json object = ParseJson(line.substr(brace));
      if (object.is_object() && Names(object, aId)) {
        lines.push_back(std::move(object));
      }
    }
  }
  std::stable_sort(lines.begin(), lines.end(), [](const json& aLeft, const json& aRight) {
    return TextOf(aLeft, "time") < TextOf(aRight, "time");
  });
  std::string text;
  for (const json& line : lines) {
    text += Rendered(line);
  }
  return text;
}

} // namespace Ibisctl
