#include "Tables/RouteIndex.h"

#include <algorithm>
#include <tuple>

#include "Common/Text.h"

namespace Tables {

namespace {

/// The host in lower case without the port and without a dot at the end.
std::string
HostOf(std::string_view aHost)
{
  // The colons of an IPv6 address stand in brackets; those of the port behind them.
  const std::size_t bracket = aHost.find(']');
  const std::size_t colon = aHost.find(':', bracket == std::string_view::npos ? 0 : bracket);
  std::string host = Common::LowerCase(aHost.substr(0, colon));
  if (!host.empty() && host.back() == '.') {
    host.pop_back();
  }
  return host;
}

bool
MethodMatches(const RouteMatch& aMatch, std::string_view aMethod)
{
  return aMatch.mMethods.empty() ||
         std::find(aMatch.mMethods.begin(), aMatch.mMethods.end(), aMethod) !=
           aMatch.mMethods.end();
}

bool
EqualIgnoringCase(std::string_view aLower, std::string_view aText)
{
  return aLower.size() == aText.size() && aLower == Common::LowerCase(aText);
}

bool
HeadersMatch(const RouteMatch& aMatch, const std::vector<RequestHeader>& aHeaders)
{
  return std::all_of(
    aMatch.mHeaders.begin(), aMatch.mHeaders.end(), [&](const HeaderMatch& aNeeded) {
      return std::any_of(aHeaders.begin(), aHeaders.end(), [&](const RequestHeader& aHeader) {
        return aHeader.mValue == aNeeded.mValue && EqualIgnoringCase(aNeeded.mName, aHeader.mName);
      });
    });
}

/// A request as the index sees it.
struct Query
{
  std::string mHost;
  std::string_view mMethod;
  const std::vector<RequestHeader>& mHeaders;
};

const Route*
FirstMatch(const TableSet& aTables,
           const RouteIndex::Bucket& aBucket,
           const std::string& aHost,
           const Query& aQuery)
{
  const auto found = aBucket.mByHost.find(aHost);
  if (found == aBucket.mByHost.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    const Route& route = aTables.mRoutes[index];
    if (MethodMatches(route.mMatch, aQuery.mMethod) &&
        HeadersMatch(route.mMatch, aQuery.mHeaders)) {
      return &route;
    }
  }
  return nullptr;
}

const Route*
MatchBucket(const TableSet& aTables, const RouteIndex::Bucket& aBucket, const Query& aQuery)
{
  if (!aQuery.mHost.empty()) {
    if (const Route* route = FirstMatch(aTables, aBucket, aQuery.mHost, aQuery)) {
      return route;
    }
  }
  for (std::size_t dot = aQuery.mHost.find('.'); dot != std::string::npos;
       dot = aQuery.mHost.find('.', dot + 1)) {
    if (const Route* route = FirstMatch(aTables, aBucket, '*' + aQuery.mHost.substr(dot), aQuery)) {
      return route;
    }
  }
  return FirstMatch(aTables, aBucket, "", aQuery);
}

} // namespace

RouteIndex
BuildRouteIndex(const TableSet& aTables)
{
  RouteIndex index;
  for (std::size_t i = 0; i < aTables.mRoutes.size(); ++i) {
    const Route& route = aTables.mRoutes[i];
    index.mByName.emplace(route.mName.str(), i);
    if (route.mKind != RouteKind::Request) {
      continue;
    }
    const RouteMatch& match = route.mMatch;
    index.mByPrefix[match.mPathPrefix].mByHost[match.mHost].push_back(i);
    index.mLongestPrefix = std::max(index.mLongestPrefix, match.mPathPrefix.size());
  }
  const auto rank = [&](std::size_t aIndex) {
    const RouteMatch& match = aTables.mRoutes[aIndex].mMatch;
    return std::make_tuple(
      match.mMethods.empty(), -static_cast<std::int64_t>(match.mHeaders.size()), aIndex);
  };
  for (auto& [prefix, bucket] : index.mByPrefix) {
    for (auto& [host, routes] : bucket.mByHost) {
      std::sort(routes.begin(), routes.end(), [&](std::size_t aLeft, std::size_t aRight) {
        return rank(aLeft) < rank(aRight);
      });
    }
  }
  return index;
}

const Route*
MatchRoute(const TableSet& aTables,
           const RouteIndex& aIndex,
           std::string_view aHost,
           std::string_view aPath,
           std::string_view aMethod,
           const std::vector<RequestHeader>& aHeaders)
{
  const Query query{ HostOf(aHost), aMethod, aHeaders };
  const std::string_view path = aPath.substr(0, aPath.find_first_of("?#"));
  // A prefix ends where a segment ends: at the end of the path or before a slash.
  std::size_t end = path.size();
  if (end > aIndex.mLongestPrefix) {
    end = path.rfind('/', aIndex.mLongestPrefix);
  }
  while (end != std::string_view::npos) {
    const auto found = aIndex.mByPrefix.find(std::string(path.substr(0, end)));
    if (found != aIndex.mByPrefix.end()) {
      if (const Route* route = MatchBucket(aTables, found->second, query)) {
        return route;
      }
    }
    end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
  }
  return nullptr;
}

const Route*
FindRoute(const TableSet& aTables, const RouteIndex& aIndex, const Common::RouteId& aName)
{
  const auto found = aIndex.mByName.find(aName.str());
  return found == aIndex.mByName.end() ? nullptr : &aTables.mRoutes[found->second];
}

} // namespace Tables
