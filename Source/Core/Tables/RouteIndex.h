#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Tables/Tables.h"

namespace Tables {

/// A header of a request as the caller sent it.
struct RequestHeader
{
  std::string_view mName;
  std::string_view mValue;
};

/// Finds routes by hash. It holds indices into TableSet::mRoutes and stays valid for copies of that
/// table set.
struct RouteIndex
{
  struct Bucket
  {
    /// Routes of one path prefix and one host, the preferred first.
    std::unordered_map<std::string, std::vector<std::size_t>> mByHost;
  };

  std::unordered_map<std::string, Bucket> mByPrefix;
  std::unordered_map<std::string, std::size_t> mByName;
  std::size_t mLongestPrefix = 0;
};

RouteIndex
BuildRouteIndex(const TableSet& aTables);

/// The route of a request, or null if none matches. Of the matching routes that one is chosen that
/// has, in this order: the longest path prefix; the more specific host (exact, then the longer
/// wildcard, then none); a list of methods rather than none; more headers; the earlier place in the
/// table.
///
/// aHost may have a port, which is ignored. aPath may have a query, which is ignored; it is
/// compared byte by byte without decoding. The cost depends on the number of segments of the path
/// and on the number of routes that share path prefix and host, not on the size of the table.
const Route*
MatchRoute(const TableSet& aTables,
           const RouteIndex& aIndex,
           std::string_view aHost,
           std::string_view aPath,
           std::string_view aMethod,
           const std::vector<RequestHeader>& aHeaders);

/// The route with the name, or null.
const Route*
FindRoute(const TableSet& aTables, const RouteIndex& aIndex, const Common::RouteId& aName);

} // namespace Tables
