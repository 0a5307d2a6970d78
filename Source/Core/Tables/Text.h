#pragma once

#include <string>
#include <string_view>

namespace Tables {

/// ASCII letters in lower case; host and header names ignore the case of ASCII letters only.
inline std::string
LowerCase(std::string_view aText)
{
  std::string lower(aText);
  for (char& character : lower) {
    if (character >= 'A' && character <= 'Z') {
      character = static_cast<char>(character - 'A' + 'a');
    }
  }
  return lower;
}

} // namespace Tables
