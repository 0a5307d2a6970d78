#include "Jobs/Model.h"

#include <charconv>

namespace Jobs {

namespace {

/// Removes the last aMark and the number after it from aText, and returns the number; std::nullopt
/// if there is none.
std::optional<std::uint32_t>
RemoveTrailingNumber(std::string_view& aText, char aMark)
{
  const std::size_t mark = aText.rfind(aMark);
  if (mark == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = aText.substr(mark + 1);
  std::uint32_t number = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  aText = aText.substr(0, mark);
  return number;
}

void
AppendNumber(std::string& aText, std::uint32_t aNumber)
{
  char digits[10];
  const auto [end, error] = std::to_chars(digits, digits + sizeof(digits), aNumber);
  aText.append(digits, end);
}

std::string
FormatJobId(const Common::CellId& aCell, JobNumber aJob)
{
  const auto number = static_cast<std::uint64_t>(aJob.value());
  std::string text;
  text.reserve(aCell.str().size() + 24);
  text += aCell.str();
  text += '-';
  AppendNumber(text, static_cast<std::uint32_t>(number >> 32));
  text += '-';
  AppendNumber(text, static_cast<std::uint32_t>(number));
  return text;
}

} // namespace

Common::JobId
MakeJobId(const Common::CellId& aCell, JobNumber aJob)
{
  return Common::JobId(FormatJobId(aCell, aJob));
}

Common::TaskId
MakeTaskId(const Common::CellId& aCell, const TaskKey& aTask)
{
  std::string text = FormatJobId(aCell, aTask.mJob);
  text += '.';
  AppendNumber(text, aTask.mIndex);
  return Common::TaskId(std::move(text));
}

std::optional<JobNumber>
ParseJobId(const Common::CellId& aCell, std::string_view aText)
{
  const auto count = RemoveTrailingNumber(aText, '-');
  const auto epoch = count ? RemoveTrailingNumber(aText, '-') : std::nullopt;
  if (!epoch || aText != aCell.str()) {
    return std::nullopt;
  }
  return JobNumber(static_cast<std::int64_t>((std::uint64_t{ *epoch } << 32) | *count));
}

std::optional<TaskKey>
ParseTaskId(const Common::CellId& aCell, std::string_view aText)
{
  const auto index = RemoveTrailingNumber(aText, '.');
  const auto job = index ? ParseJobId(aCell, aText) : std::nullopt;
  if (!job) {
    return std::nullopt;
  }
  return TaskKey{ *job, *index };
}

std::string_view
StatusText(JobStatus aStatus)
{
  switch (aStatus) {
    case JobStatus::Accepting:
      return "accepting";
    case JobStatus::Waiting:
      return "waiting";
    case JobStatus::Running:
      return "running";
    case JobStatus::Unschedulable:
      return "aside";
    case JobStatus::Cancelling:
      return "cancelling";
    case JobStatus::Finished:
      return "finished";
    case JobStatus::Failed:
      return "failed";
    case JobStatus::Cancelled:
      return "cancelled";
  }
  return "";
}

} // namespace Jobs
