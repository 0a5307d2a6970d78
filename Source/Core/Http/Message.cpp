#include "Http/Message.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace Http {

namespace {

constexpr std::array<std::string_view, 11> kHopHeaders = {
  "connection",          "keep-alive", "proxy-authenticate",
  "proxy-authorization", "te",         "trailer",
  "transfer-encoding",   "upgrade",    "host",
  "content-length",      "expect",
};

char
Lower(char aChar)
{
  return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
}

int
HexDigit(char aChar)
{
  const char lower = Lower(aChar);
  if (lower >= '0' && lower <= '9') {
    return lower - '0';
  }
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

std::string_view
Request::path() const
{
  return std::string_view(mTarget).substr(0, mTarget.find('?'));
}

bool
SameName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aOne, char aOther) {
      return Lower(aOne) == Lower(aOther);
    });
}

std::optional<std::string>
FindHeader(const std::vector<Header>& aHeaders, std::string_view aName)
{
  for (const Header& header : aHeaders) {
    if (SameName(header.mName, aName)) {
      return header.mValue;
    }
  }
  return std::nullopt;
}

bool
IsHopHeader(std::string_view aName)
{
  return std::any_of(kHopHeaders.begin(), kHopHeaders.end(), [&](std::string_view aHop) {
    return SameName(aHop, aName);
  });
}

Response
JsonResponse(int aStatus, std::string aBody)
{
  return { aStatus, { { "Content-Type", "application/json" } }, std::move(aBody) };
}

std::optional<std::string>
QueryValue(std::string_view aTarget, std::string_view aName)
{
  std::size_t at = aTarget.find('?');
  while (at != std::string_view::npos && at + 1 < aTarget.size()) {
    const std::size_t end = aTarget.find('&', at + 1);
    const std::string_view part = aTarget.substr(at + 1, end - at - 1);
    const std::size_t equals = part.find('=');
    if (part.substr(0, equals) == aName) {
      return equals == std::string_view::npos ? "" : PercentDecoded(part.substr(equals + 1));
    }
    at = end;
  }
  return std::nullopt;
}

std::string
PercentDecoded(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size() && HexDigit(aText[i + 1]) >= 0 &&
        HexDigit(aText[i + 2]) >= 0) {
      decoded += static_cast<char>(HexDigit(aText[i + 1]) * 16 + HexDigit(aText[i + 2]));
      i += 2;
    } else {
      decoded += aText[i];
    }
  }
  return decoded;
}

} // namespace Http
