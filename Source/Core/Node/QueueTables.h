#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Scheduling/Model.h"

namespace Node {

/// A queue and the host and path prefix of the requests routed to it.
struct QueueRoute
{
  Scheduling::QueueSpec mQueue;
  std::string mHost;
  std::string mPathPrefix;
};

/// Limits on callers' HTTP requests and connections.
struct CallerLimits
{
  std::uint32_t mHeaderBytes = 16'384;
  std::uint64_t mBodyBytes = 262'144;
  Common::Duration mRequestTime{ std::chrono::seconds(3) };
  Common::Duration mIdleTime{ std::chrono::seconds(15) };
};

/// One revision of the operators' tables.
struct QueueTables
{
  Common::Revision mRevision;
  std::vector<QueueRoute> mRoutes;
  CallerLimits mLimits;
};

/// Returns the route of the host with the longest prefix of aPath, or nullptr if none matches.
const QueueRoute*
MatchRoute(const QueueTables& aTables, const std::string& aHost, const std::string& aPath);

} // namespace Node
