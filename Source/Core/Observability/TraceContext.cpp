#include "Observability/TraceContext.h"

#include <charconv>

#include "Common/Hash.h"

namespace Observability {

namespace {

// version "-" trace id "-" parent id "-" flags
constexpr std::size_t kLength = 2 + 1 + 32 + 1 + 16 + 1 + 2;

std::optional<std::uint64_t>
ParseHex(std::string_view aText)
{
  for (const char c : aText) {
    // The specification allows lower case only, while from_chars takes both.
    if ((c < '0' || c > '9') && (c < 'a' || c > 'f')) {
      return std::nullopt;
    }
  }
  std::uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value, 16);
  return value;
}

} // namespace

std::optional<TraceContext>
ParseTraceParent(std::string_view aHeader)
{
  if (aHeader.size() < kLength || aHeader[2] != '-' || aHeader[35] != '-' || aHeader[52] != '-') {
    return std::nullopt;
  }
  const auto version = ParseHex(aHeader.substr(0, 2));
  const auto high = ParseHex(aHeader.substr(3, 16));
  const auto low = ParseHex(aHeader.substr(19, 16));
  const auto span = ParseHex(aHeader.substr(36, 16));
  const auto flags = ParseHex(aHeader.substr(53, 2));
  if (!version || !high || !low || !span || !flags || *version == 0xff) {
    return std::nullopt;
  }
  const bool longer = aHeader.size() > kLength;
  if (longer && (*version == 0 || aHeader[kLength] != '-')) {
    return std::nullopt;
  }
  if ((*high == 0 && *low == 0) || *span == 0) {
    return std::nullopt;
  }
  return TraceContext{ *high, *low, *span, (*flags & 1) != 0 };
}

std::string
FormatTraceParent(const TraceContext& aContext)
{
  return "00-" + TraceIdText(aContext) + '-' + Common::HashText(aContext.mSpan) +
         (aContext.mSampled ? "-01" : "-00");
}

std::string
TraceIdText(const TraceContext& aContext)
{
  return Common::HashText(aContext.mTraceHigh) + Common::HashText(aContext.mTraceLow);
}

} // namespace Observability
