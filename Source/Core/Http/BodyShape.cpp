#include "Http/BodyShape.h"

#include <algorithm>

namespace Http {

void
BodyShape::take(std::string_view aBytes)
{
  if (mKind == BodyKind::Opaque) {
    return;
  }
  for (const char byte : aBytes) {
    if (mInString) {
      takeInString(byte);
    } else {
      takeOutside(byte);
    }
  }
}

void
BodyShape::takeOutside(char aByte)
{
  switch (aByte) {
    case '"':
      mInString = true;
      break;
    case '[':
      // Its first item; the others follow a comma.
      ++mValues;
      [[fallthrough]];
    case '{':
      mDeepest = std::max(mDeepest, ++mDepth);
      break;
    case ']':
    case '}':
      mDepth -= mDepth > 0 ? 1 : 0;
      break;
    case ',':
    case ':':
      // The value after it; those of an object are counted twice, which stands for the key.
      ++mValues;
      break;
    default:
      break;
  }
}

void
BodyShape::takeInString(char aByte)
{
  if (mEscaped) {
    mEscaped = false;
  } else if (aByte == '\\') {
    mEscaped = true;
  } else if (aByte == '"') {
    mInString = false;
  }
  // The tables' parser bounds their levels itself.
  const bool begins = aByte == '[' || aByte == '{' || aByte == ',' || aByte == '=' || aByte == '.';
  if (mKind == BodyKind::JsonWithTables && begins) {
    ++mValues;
  }
}

} // namespace Http
