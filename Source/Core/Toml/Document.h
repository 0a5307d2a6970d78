#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "Common/Findings.h"

/// TOML text as plain values that know their place.
namespace Toml {

/// Line and column, both starting at 1; columns count code points.
struct Position
{
  std::uint32_t mLine = 0;
  std::uint32_t mColumn = 0;
};

struct Value;
struct Member;

using Array = std::vector<Value>;
/// The members of a table in the order of their names.
using Table = std::vector<Member>;

/// A date or time; no table of ibisshed has one, so its content is not kept.
struct DateTime
{};

struct Value
{
  Position mPosition;
  std::variant<bool, std::int64_t, double, std::string, DateTime, Array, Table> mData;
};

struct Member
{
  std::string mName;
  Position mPosition;
  Value mValue;
};

/// Limits of an input text.
struct Limits
{
  std::size_t mMaxBytes = 4U << 20U;
  /// Brackets and braces inside each other, and parts of one dotted key. Real tables need 4.
  std::uint32_t mMaxDepth = 16;
};

/// Reads aText. A text that is too large, too deep, not UTF-8, or has a NUL byte gives one finding,
/// as does the first syntax error.
tl::expected<Value, Common::Finding>
ParseDocument(std::string_view aText, const std::string& aFile, const Limits& aLimits = {});

/// The problem of aText that ParseDocument finds before it reads the syntax, or an empty message.
Common::Finding
CheckText(std::string_view aText, const std::string& aFile, const Limits& aLimits);

/// aText as a TOML basic string with quotes.
std::string
Quote(std::string_view aText);

} // namespace Toml
