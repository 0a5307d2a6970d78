#include <algorithm>

#include "Toml/Document.h"

namespace Toml {

namespace {

/// Length of the UTF-8 sequence at aAt, or 0 if it is not valid.
std::size_t
SequenceLength(std::string_view aText, std::size_t aAt)
{
  const auto byte = [&](std::size_t aOffset) -> std::uint32_t {
    return aAt + aOffset < aText.size() ? static_cast<unsigned char>(aText[aAt + aOffset]) : 0U;
  };
  const std::uint32_t lead = byte(0);
  if (lead < 0x80) {
    return 1;
  }
  std::size_t length = 0;
  std::uint32_t code = 0;
  if (lead >= 0xc2 && lead < 0xe0) {
    length = 2;
    code = lead & 0x1fU;
  } else if (lead >= 0xe0 && lead < 0xf0) {
    length = 3;
    code = lead & 0x0fU;
  } else if (lead >= 0xf0 && lead < 0xf5) {
    length = 4;
    code = lead & 0x07U;
  } else {
    return 0;
  }
  for (std::size_t i = 1; i < length; ++i) {
    if ((byte(i) & 0xc0U) != 0x80U) {
      return 0;
    }
    code = (code << 6U) | (byte(i) & 0x3fU);
  }
  const bool overlong = (length == 3 && code < 0x800) || (length == 4 && code < 0x10000);
  const bool surrogate = code >= 0xd800 && code < 0xe000;
  return overlong || surrogate || code > 0x10ffff ? 0 : length;
}

/// Walks over the characters of a text and keeps the position.
class Cursor
{
public:
  explicit Cursor(std::string_view aText)
    : mText(aText)
  {
  }

  bool done() const { return mAt >= mText.size(); }
  char current() const { return mText[mAt]; }
  bool at(std::string_view aToken) const { return mText.compare(mAt, aToken.size(), aToken) == 0; }
  Position position() const { return mPosition; }
  std::size_t offset() const { return mAt; }

  /// Moves over one character of aBytes bytes.
  void advance(std::size_t aBytes = 1)
  {
    if (mText[mAt] == '\n') {
      ++mPosition.mLine;
      mPosition.mColumn = 1;
    } else {
      ++mPosition.mColumn;
    }
    mAt += aBytes;
  }

  /// Moves over aCount one-byte characters, at most to the end.
  void skip(std::size_t aCount)
  {
    for (; aCount > 0 && !done(); --aCount) {
      advance();
    }
  }

private:
  std::string_view mText;
  std::size_t mAt = 0;
  Position mPosition{ 1, 1 };
};

Common::Finding
MakeFinding(const std::string& aFile, Position aPosition, std::string aMessage)
{
  return { Common::Severity::Error,
           { aFile, aPosition.mLine, aPosition.mColumn },
           std::move(aMessage) };
}

/// Moves behind the string that starts at the cursor; an unclosed one ends at the line or the text.
void
SkipString(Cursor& aCursor)
{
  const char quote = aCursor.current();
  const std::string triple(3, quote);
  const bool multiLine = aCursor.at(triple);
  const std::string end = multiLine ? triple : std::string(1, quote);
  aCursor.skip(end.size());
  while (!aCursor.done() && !aCursor.at(end)) {
    if (!multiLine && aCursor.current() == '\n') {
      return;
    }
    aCursor.skip(quote == '"' && aCursor.current() == '\\' ? 2 : 1);
  }
  aCursor.skip(end.size());
  // A multi-line string may end in up to two quotes of its own.
  for (int i = 0; multiLine && i < 2 && !aCursor.done() && aCursor.current() == quote; ++i) {
    aCursor.advance();
  }
}

/// The first place that is nested too deep, or a position of line 0.
Position
FindDepthExcess(std::string_view aText, std::uint32_t aMaxDepth)
{
  Cursor cursor(aText);
  std::uint32_t depth = 0;
  std::uint32_t dots = 0;
  while (!cursor.done()) {
    const char character = cursor.current();
    if (character == '"' || character == '\'') {
      SkipString(cursor);
      continue;
    }
    if (character == '#') {
      while (!cursor.done() && cursor.current() != '\n') {
        cursor.advance();
      }
      continue;
    }
    if (character == '[' || character == '{') {
      ++depth;
      dots = 0;
    } else if (character == ']' || character == '}') {
      depth -= depth > 0 ? 1 : 0;
      dots = 0;
    } else if (character == '\n' || character == ',' || character == '=') {
      dots = 0;
    } else if (character == '.') {
      ++dots;
    }
    if (depth > aMaxDepth || dots >= aMaxDepth) {
      return cursor.position();
    }
    cursor.advance();
  }
  return {};
}

} // namespace

Common::Finding
CheckText(std::string_view aText, const std::string& aFile, const Limits& aLimits)
{
  if (aText.size() > aLimits.mMaxBytes) {
    return MakeFinding(aFile,
                       { 1, 1 },
                       "the text has " + std::to_string(aText.size()) + " bytes; the limit is " +
                         std::to_string(aLimits.mMaxBytes));
  }
  Cursor cursor(aText);
  while (!cursor.done()) {
    const std::size_t length = SequenceLength(aText, cursor.offset());
    if (length == 0) {
      return MakeFinding(aFile, cursor.position(), "the text is not valid UTF-8");
    }
    if (cursor.current() == '\0') {
      return MakeFinding(aFile, cursor.position(), "the text has a NUL byte");
    }
    cursor.advance(length);
  }
  const Position excess = FindDepthExcess(aText, aLimits.mMaxDepth);
  if (excess.mLine > 0) {
    return MakeFinding(
      aFile, excess, "nested deeper than " + std::to_string(aLimits.mMaxDepth) + " levels");
  }
  return {};
}

} // namespace Toml
