#include "Common/Text.h"

namespace Common {

namespace {

bool
IsUnreserved(char aLetter)
{
  constexpr std::string_view kMarks = "-._~";
  return (aLetter >= 'a' && aLetter <= 'z') || (aLetter >= 'A' && aLetter <= 'Z') ||
         (aLetter >= '0' && aLetter <= '9') || kMarks.find(aLetter) != std::string_view::npos;
}

} // namespace

std::string
LowerCase(std::string_view aText)
{
  std::string lower(aText);
  for (char& letter : lower) {
    if (letter >= 'A' && letter <= 'Z') {
      letter = static_cast<char>(letter - 'A' + 'a');
    }
  }
  return lower;
}

std::string
PercentEncoded(std::string_view aText, std::string_view aKept)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char letter : aText) {
    if (IsUnreserved(letter) || aKept.find(letter) != std::string_view::npos) {
      encoded += letter;
      continue;
    }
    const auto byte = static_cast<unsigned char>(letter);
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 15U];
  }
  return encoded;
}

} // namespace Common
