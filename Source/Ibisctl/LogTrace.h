#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Ibisctl {

struct LogText
{
  std::string mFile;
  std::string mText;
};

/// The lines of structured logs that name aId, of all files in the order of their times, one line
/// each: time since the first, instance, category, message, fields. Lines that are no JSON objects
/// are left out; what stands before the first brace of a line is ignored.
std::string
RenderLogTrace(const std::vector<LogText>& aLogs, std::string_view aId);

} // namespace Ibisctl
