#include "Common/Base64.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace Common {

namespace {

constexpr std::string_view kAlphabet =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

constexpr std::uint8_t kNoValue = 255;

constexpr std::array<std::uint8_t, 256> kValues = [] {
  std::array<std::uint8_t, 256> values{};
  values.fill(kNoValue);
  for (std::size_t i = 0; i < kAlphabet.size(); ++i) {
    values[static_cast<unsigned char>(kAlphabet[i])] = static_cast<std::uint8_t>(i);
  }
  return values;
}();

} // namespace

std::string
EncodeBase64(std::string_view aBytes)
{
  std::string text;
  text.reserve((aBytes.size() + 2) / 3 * 4);
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - at);
    std::uint32_t group = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      group = group << 8 | (i < count ? static_cast<unsigned char>(aBytes[at + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text += i <= count ? kAlphabet[group >> (18 - 6 * i) & 63U] : '=';
    }
  }
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes;
  bytes.reserve(aText.size() / 4 * 3);
  std::uint32_t bits = 0;
  int bitCount = 0;
  std::size_t padding = 0;
  for (const char letter : aText) {
    if (letter == '=') {
      ++padding;
      continue;
    }
    const std::uint8_t value = kValues[static_cast<unsigned char>(letter)];
    if (value == kNoValue || padding > 0) {
      return std::nullopt;
    }
    bits = bits << 6 | value;
    bitCount += 6;
    if (bitCount >= 8) {
      bitCount -= 8;
      bytes += static_cast<char>(bits >> bitCount & 255U);
    }
  }
  return padding <= 2 ? std::optional<std::string>(std::move(bytes)) : std::nullopt;
}

} // namespace Common
