#include "Common/Names.h"

#include <algorithm>

namespace Common {

bool
IsName(const std::string& aText)
{
  constexpr std::size_t kLongest = 64;
  return !aText.empty() && aText.size() <= kLongest &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return (aCharacter >= 'a' && aCharacter <= 'z') ||
                  (aCharacter >= 'A' && aCharacter <= 'Z') ||
                  (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' ||
                  aCharacter == '_' || aCharacter == '-';
         });
}

} // namespace Common
