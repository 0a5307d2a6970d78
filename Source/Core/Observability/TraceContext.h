#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Observability {

/// Identity of a span as W3C Trace Context defines it.
struct TraceContext
{
  std::uint64_t mTraceHigh = 0;
  std::uint64_t mTraceLow = 0;
  std::uint64_t mSpan = 0;
  bool mSampled = true;

  bool operator==(const TraceContext&) const = default;
};

/// Reads a `traceparent` header; nothing if it is malformed, has an unknown version "ff" or an
/// all-zero id. Later versions are read by the fields of version 00.
std::optional<TraceContext>
ParseTraceParent(std::string_view aHeader);

/// The `traceparent` header of version 00.
std::string
FormatTraceParent(const TraceContext& aContext);

/// The trace id as 32 lower-case hexadecimal digits.
std::string
TraceIdText(const TraceContext& aContext);

} // namespace Observability
