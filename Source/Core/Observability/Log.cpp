#include "Observability/Log.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_channel_logger.hpp>
#include <boost/make_shared.hpp>

namespace Observability {

namespace {

namespace BoostLog = boost::log;

using Logger = BoostLog::sources::severity_channel_logger_mt<Level, std::string>;
using Backend = BoostLog::sinks::text_ostream_backend;
using Sink = BoostLog::sinks::synchronous_sink<Backend>;

/// Lines that wait for the writing thread; at about 200 bytes each they take under 1 MB.
constexpr std::size_t kQueuedLines = 4'000;

std::atomic<std::uint64_t>&
DroppedCount()
{
  static std::atomic<std::uint64_t> sDropped{ 0 };
  return sDropped;
}

/// What the queue does when it is full. Boost.Log gives the names.
// NOLINTBEGIN(readability-identifier-naming)
struct CountDropped
{
  template<typename Lock>
  static bool on_overflow(const BoostLog::record_view&, Lock&)
  {
    DroppedCount().fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};
// NOLINTEND(readability-identifier-naming)

using QueuedSink = BoostLog::sinks::
  asynchronous_sink<Backend, BoostLog::sinks::bounded_fifo_queue<kQueuedLines, CountDropped>>;

boost::shared_ptr<QueuedSink>&
RunningSink()
{
  static boost::shared_ptr<QueuedSink> sSink;
  return sSink;
}

Logger&
SharedLogger()
{
  static Logger sLogger;
  return sLogger;
}

std::string_view
LevelText(Level aLevel)
{
  static constexpr std::array<std::string_view, 4> kTexts = { "debug", "info", "warning", "error" };
  return kTexts.at(static_cast<std::size_t>(aLevel));
}

struct LineParts
{
  std::string mTime;
  Level mLevel = Level::Info;
  std::string mChannel;
  std::string mInstance;
  std::string mMessage;
  std::string mFields;
};

LineParts
PartsOf(const BoostLog::record_view& aRecord)
{
  LineParts parts;
  const auto time = BoostLog::extract<boost::posix_time::ptime>("TimeStamp", aRecord);
  parts.mTime = time ? boost::posix_time::to_iso_extended_string(*time) : "";
  parts.mLevel = BoostLog::extract_or_default<Level>("Severity", aRecord, Level::Info);
  parts.mChannel = BoostLog::extract_or_default<std::string>("Channel", aRecord, std::string());
  parts.mInstance = BoostLog::extract_or_default<std::string>("Instance", aRecord, std::string());
  parts.mMessage = BoostLog::extract_or_default<std::string>("Message", aRecord, std::string());
  parts.mFields = BoostLog::extract_or_default<std::string>("Fields", aRecord, std::string());
  return parts;
}

void
FormatText(const BoostLog::record_view& aRecord, BoostLog::formatting_ostream& aStream)
{
  const LineParts parts = PartsOf(aRecord);
  aStream << parts.mTime << ' ' << std::string(LevelText(parts.mLevel)) << ' ' << parts.mInstance
          << ' ' << parts.mChannel << ": " << parts.mMessage << parts.mFields;
}

void
FormatJson(const BoostLog::record_view& aRecord, BoostLog::formatting_ostream& aStream)
{
  const LineParts parts = PartsOf(aRecord);
  aStream << R"({"time":")" << parts.mTime << R"(Z","level":")"
          << std::string(LevelText(parts.mLevel)) << R"(","instance":")"
          << JsonEscaped(parts.mInstance) << R"(","category":")" << JsonEscaped(parts.mChannel)
          << R"(","message":")" << JsonEscaped(parts.mMessage) << '"' << parts.mFields << '}';
}

// Fields are formatted where the line is written, because the sink sees one text attribute only.
bool&
JsonLines()
{
  static bool sJson = false;
  return sJson;
}

std::string
FieldsText(std::initializer_list<Field> aFields)
{
  std::string text;
  for (const Field& field : aFields) {
    if (JsonLines()) {
      text += ",\"" + JsonEscaped(field.mName) + "\":\"" + JsonEscaped(field.mValue) + '"';
    } else {
      text += ' ' + std::string(field.mName) + '=' + field.mValue;
    }
  }
  return text;
}

} // namespace

Level
LevelOf(std::string_view aText)
{
  for (const Level level : { Level::Debug, Level::Info, Level::Warning, Level::Error }) {
    if (LevelText(level) == aText) {
      return level;
    }
  }
  return Level::Info;
}

void
StartLog(const LogSettings& aSettings)
{
  JsonLines() = aSettings.mJson;
  const auto backend = boost::make_shared<Backend>();
  if (aSettings.mStandardOutput) {
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream*) {}));
  } else if (aSettings.mFile.empty()) {
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
  } else {
    backend->add_stream(boost::make_shared<std::ofstream>(aSettings.mFile, std::ios::app));
  }
  backend->auto_flush(true);
  const auto core = BoostLog::core::get();
  core->remove_all_sinks();
  if (aSettings.mStandardOutput) {
    const auto sink = boost::make_shared<QueuedSink>(backend);
    sink->set_formatter(aSettings.mJson ? &FormatJson : &FormatText);
    RunningSink() = sink;
    core->add_sink(sink);
  } else {
    const auto sink = boost::make_shared<Sink>(backend);
    sink->set_formatter(aSettings.mJson ? &FormatJson : &FormatText);
    core->add_sink(sink);
  }
  const Level least = aSettings.mLevel;
  core->set_filter([least](const BoostLog::attribute_value_set& aValues) {
    return BoostLog::extract_or_default<Level>("Severity", aValues, Level::Info) >= least;
  });
  core->add_global_attribute("TimeStamp", BoostLog::attributes::utc_clock());
  core->add_global_attribute("Instance",
                             BoostLog::attributes::constant<std::string>(aSettings.mInstance));
}

void
StopLog()
{
  const auto sink = std::move(RunningSink());
  if (sink) {
    BoostLog::core::get()->remove_sink(sink);
    sink->stop();
    sink->flush();
  }
}

std::uint64_t
DroppedLines()
{
  return DroppedCount().load(std::memory_order_relaxed);
}

void
Log(Level aLevel,
    std::string_view aCategory,
    std::string_view aMessage,
    std::initializer_list<Field> aFields)
{
  auto record = SharedLogger().open_record(
    (BoostLog::keywords::channel = std::string(aCategory), BoostLog::keywords::severity = aLevel));
  if (!record) {
    return;
  }
  record.attribute_values().insert("Fields",
                                   BoostLog::attributes::make_attribute_value(FieldsText(aFields)));
  BoostLog::record_ostream stream(record);
  stream << std::string(aMessage);
  stream.flush();
  SharedLogger().push_record(std::move(record));
}

std::string
JsonEscaped(std::string_view aText)
{
  std::string escaped;
  escaped.reserve(aText.size());
  for (const char c : aText) {
    if (c == '"' || c == '\\') {
      escaped += '\\';
      escaped += c;
    } else if (c == '\n') {
      escaped += "\\n";
    } else if (static_cast<unsigned char>(c) < 0x20) {
      std::array<char, 8> code{};
      std::snprintf(code.data(), code.size(), "\\u%04x", static_cast<unsigned>(c));
      escaped += code.data();
    } else {
      escaped += c;
    }
  }
  return escaped;
}

} // namespace Observability
