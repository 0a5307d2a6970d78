#include "StoreHttp/Base64.h"

#include <cstdint>

namespace StoreHttp {

namespace {

constexpr std::string_view kAlphabet =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

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
    const std::size_t value = kAlphabet.find(letter);
    if (value == std::string_view::npos || padding > 0) {
      return std::nullopt;
    }
    bits = bits << 6 | static_cast<std::uint32_t>(value);
    bitCount += 6;
    if (bitCount >= 8) {
      bitCount -= 8;
      bytes += static_cast<char>(bits >> bitCount & 255U);
    }
  }
  return padding <= 2 ? std::optional<std::string>(std::move(bytes)) : std::nullopt;
}

} // namespace StoreHttp
