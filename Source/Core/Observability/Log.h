#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// Logs, counters and spans of one process.
namespace Observability {

enum class Level
{
  Debug,
  Info,
  Warning,
  Error,
};

struct LogSettings
{
  /// One JSON object a line instead of plain text.
  bool mJson = false;
  Level mLevel = Level::Info;
  /// Lines are appended to this file; standard error if empty.
  std::string mFile;
  /// Written with each line.
  std::string mInstance;
  /// Lines go to standard output through a bounded queue and a thread of its own. A line that finds
  /// the queue full is dropped and counted, so that a reader that stops never blocks the process.
  bool mStandardOutput = false;
};

/// A named value of a log line.
struct Field
{
  std::string_view mName;
  std::string mValue;
};

/// "debug", "info", "warning" or "error"; any other text gives Info.
Level
LevelOf(std::string_view aText);

/// Sets up where all later lines go. Call it once, before other threads log.
void
StartLog(const LogSettings& aSettings);

/// Writes out what is queued. No line may be logged after it.
void
StopLog();

/// Lines that were dropped because the queue was full.
std::uint64_t
DroppedLines();

/// Writes one line. aCategory is the subsystem, for instance "entry", "owner" or "store".
void
Log(Level aLevel,
    std::string_view aCategory,
    std::string_view aMessage,
    std::initializer_list<Field> aFields = {});

/// aText with the escapes of a JSON string, without quotes.
std::string
JsonEscaped(std::string_view aText);

} // namespace Observability
