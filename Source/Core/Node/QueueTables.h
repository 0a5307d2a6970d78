#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Scheduling/Model.h"

namespace Node {

/// A queue with the requests that it takes.
struct QueueRoute
{
  Scheduling::QueueSpec mQueue;
  std::string mHost;
  std::string mPathPrefix;
};

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

/// The route with this host and the longest prefix that aPath begins with; nullptr if there is
/// none.
const QueueRoute*
MatchRoute(const QueueTables& aTables, const std::string& aHost, const std::string& aPath);

} // namespace Node
