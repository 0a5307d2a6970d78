#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP as the daemon uses it, without a library's types.
namespace Http {

struct Header
{
  std::string mName;
  std::string mValue;
};

struct Request
{
  std::string mMethod;
  /// Path and query as sent; percent-encoding is kept.
  std::string mTarget;
  std::vector<Header> mHeaders;
  std::string mBody;

  /// The target without the query.
  std::string_view path() const;
};

struct Response
{
  int mStatus = 200;
  std::vector<Header> mHeaders;
  std::string mBody;
};

/// True if the names are equal without regard to case.
bool
SameName(std::string_view aLeft, std::string_view aRight);

/// The value of the first header of that name.
std::optional<std::string>
FindHeader(const std::vector<Header>& aHeaders, std::string_view aName);

/// True for headers that belong to one connection, and for those that the sender computes anew
/// (Host, Content-Length); they are not forwarded.
bool
IsHopHeader(std::string_view aName);

/// A JSON body with status and content type.
Response
JsonResponse(int aStatus, std::string aBody);

/// The value of a query parameter, percent-decoded.
std::optional<std::string>
QueryValue(std::string_view aTarget, std::string_view aName);

std::string
PercentDecoded(std::string_view aText);

} // namespace Http
