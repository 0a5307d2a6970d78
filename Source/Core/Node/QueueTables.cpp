#include "Node/QueueTables.h"

#include <algorithm>
#include <cctype>

namespace Node {

namespace {

/// Compares host names without regard to case; ignores the port in aSent.
bool
SameHost(const std::string& aConfigured, const std::string& aSent)
{
  const std::string sent = aSent.substr(0, aSent.find(':'));
  return std::equal(aConfigured.begin(),
                    aConfigured.end(),
                    sent.begin(),
                    sent.end(),
                    [](unsigned char aLeft, unsigned char aRight) {
                      return std::tolower(aLeft) == std::tolower(aRight);
                    });
}

} // namespace

const QueueRoute*
MatchRoute(const QueueTables& aTables, const std::string& aHost, const std::string& aPath)
{
  const QueueRoute* best = nullptr;
  for (const QueueRoute& route : aTables.mRoutes) {
    if (aPath.starts_with(route.mPathPrefix) && SameHost(route.mHost, aHost) &&
        (best == nullptr || route.mPathPrefix.size() > best->mPathPrefix.size())) {
      best = &route;
    }
  }
  return best;
}

} // namespace Node
