#pragma once

#include <cstddef>
#include <string_view>

namespace Http {

/// What a handler makes of a body.
enum class BodyKind
{
  /// It is passed on or ignored.
  Opaque,
  /// It is parsed as JSON.
  Json,
  /// It is parsed as JSON, and its strings as tables.
  JsonWithTables,
};

/// Counts the values and levels of a body while it arrives, before a tree is built of it. The count
/// is at least that of the parser for any input, also for input that the parser would refuse.
class BodyShape
{
public:
  explicit BodyShape(BodyKind aKind)
    : mKind(aKind)
  {
  }

  void take(std::string_view aBytes);

  std::size_t values() const { return mValues; }
  /// The deepest level so far.
  std::size_t depth() const { return mDeepest; }

private:
  void takeOutside(char aByte);
  void takeInString(char aByte);

  const BodyKind mKind;
  /// The outermost value is counted from the start.
  std::size_t mValues = 1;
  std::size_t mDepth = 0;
  std::size_t mDeepest = 0;
  bool mInString = false;
  bool mEscaped = false;
};

} // namespace Http
