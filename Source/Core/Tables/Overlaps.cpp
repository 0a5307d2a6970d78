#include "Tables/Overlaps.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace Tables {

namespace {

/// Routes that are compared pairwise in one group; more of them differ only in headers of one path,
/// and comparing all would take time in the square of the table.
constexpr std::size_t kMaxCompared = 500;

Common::Place
PlaceOf(const Route& aRoute, const std::string& aFile)
{
  return { aFile, aRoute.mPosition.mLine, aRoute.mPosition.mColumn };
}

std::string
Described(const Route& aRoute)
{
  return "route \"" + aRoute.mName.str() + '"';
}

/// True if some request can have the headers of both.
bool
HeadersCompatible(const std::vector<HeaderMatch>& aLeft, const std::vector<HeaderMatch>& aRight)
{
  for (const HeaderMatch& left : aLeft) {
    for (const HeaderMatch& right : aRight) {
      if (left.mName == right.mName && left.mValue != right.mValue) {
        return false;
      }
    }
  }
  return true;
}

/// Both lists are sorted; an empty one means all methods.
bool
MethodsOverlap(const std::vector<std::string>& aLeft, const std::vector<std::string>& aRight)
{
  if (aLeft.empty() || aRight.empty()) {
    return true;
  }
  return std::any_of(aLeft.begin(), aLeft.end(), [&](const std::string& aMethod) {
    return std::binary_search(aRight.begin(), aRight.end(), aMethod);
  });
}

/// aLost names the methods that aWinner takes; empty means all.
std::string
ShadowMessage(const Route& aRoute, const Route& aWinner, const std::string& aLost)
{
  return Described(aRoute) + (aLost.empty() ? " is never reached" : " never gets " + aLost) + ": " +
         Described(aWinner) + " in line " + std::to_string(aWinner.mPosition.mLine) +
         " has the same match";
}

/// Warns of routes of which an earlier route with the same path, host and headers takes all or some
/// methods.
void
FindShadowed(const std::vector<Route>& aRoutes,
             const std::string& aFile,
             Common::Findings& aFindings)
{
  using Key = std::tuple<std::string, std::string, std::vector<HeaderMatch>, std::string>;
  std::map<Key, const Route*> taken;
  for (const Route& route : aRoutes) {
    if (route.mKind != RouteKind::Request) {
      continue;
    }
    const RouteMatch& match = route.mMatch;
    // A route that lists methods goes before one that does not, so the two do not shadow each
    // other.
    const std::vector<std::string> methods =
      match.mMethods.empty() ? std::vector<std::string>{ "" } : match.mMethods;
    std::string lost;
    std::size_t lostCount = 0;
    const Route* winner = nullptr;
    for (const std::string& method : methods) {
      const auto [entry, added] =
        taken.emplace(Key{ match.mPathPrefix, match.mHost, match.mHeaders, method }, &route);
      if (!added) {
        winner = entry->second;
        lost += (lost.empty() ? "" : ", ") + method;
        ++lostCount;
      }
    }
    if (winner == nullptr) {
      continue;
    }
    aFindings.warning(PlaceOf(route, aFile),
                      ShadowMessage(route, *winner, lostCount == methods.size() ? "" : lost));
  }
}

/// Warns of routes with different headers that can match one request with equal precedence.
void
FindAmbiguous(const std::vector<Route>& aRoutes,
              const std::string& aFile,
              Common::Findings& aFindings)
{
  using Key = std::tuple<std::string, std::string, bool, std::size_t>;
  std::map<Key, std::vector<const Route*>> groups;
  for (const Route& route : aRoutes) {
    const RouteMatch& match = route.mMatch;
    if (route.mKind == RouteKind::Request && !match.mHeaders.empty()) {
      groups[{ match.mPathPrefix, match.mHost, match.mMethods.empty(), match.mHeaders.size() }]
        .push_back(&route);
    }
  }
  for (const auto& [key, group] : groups) {
    const std::size_t compared = std::min(group.size(), kMaxCompared);
    for (std::size_t i = 1; i < compared; ++i) {
      const RouteMatch& match = group[i]->mMatch;
      const auto end = group.begin() + static_cast<std::ptrdiff_t>(i);
      const auto rival = std::find_if(group.begin(), end, [&](const Route* aEarlier) {
        return aEarlier->mMatch.mHeaders != match.mHeaders &&
               MethodsOverlap(aEarlier->mMatch.mMethods, match.mMethods) &&
               HeadersCompatible(aEarlier->mMatch.mHeaders, match.mHeaders);
      });
      if (rival != end) {
        aFindings.warning(PlaceOf(*group[i], aFile),
                          Described(*group[i]) + " and " + Described(**rival) + " in line " +
                            std::to_string((*rival)->mPosition.mLine) +
                            " can match the same request; the earlier one gets it");
      }
    }
  }
}

} // namespace

void
FindOverlaps(const std::vector<Route>& aRoutes,
             const std::string& aFile,
             Common::Findings& aFindings)
{
  FindShadowed(aRoutes, aFile, aFindings);
  FindAmbiguous(aRoutes, aFile, aFindings);
}

} // namespace Tables
