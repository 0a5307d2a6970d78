#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

/// The two operator tables, routes and pools, as plain data.
namespace Tables {

using Common::Duration;

/// How soon work must start. The order is the order of service.
enum class Urgency
{
  Interactive,
  Standard,
  Patient,
};

enum class RouteKind
{
  /// A request that is answered while the caller waits.
  Request,
  /// A batch job of tasks.
  Batch,
  /// A batch task without a declared end; it runs until it is cancelled or ends by itself.
  Watch,
};

/// What may be done with a batch task whose last attempt is known to have stopped.
enum class RestartPolicy
{
  /// Start again from the last checkpoint, or from the beginning.
  Resume,
  /// Never start again; an attempt with an unknown end is reported as such.
  Never,
};

struct HeaderMatch
{
  std::string mName;
  std::string mValue;
};

/// Which requests belong to a route. Empty parts match everything.
struct RouteMatch
{
  std::string mHost;
  std::string mPathPrefix;
  std::vector<std::string> mMethods;
  std::vector<HeaderMatch> mHeaders;
};

struct Route
{
  Common::RouteId mName;
  RouteKind mKind = RouteKind::Request;
  RouteMatch mMatch;
  Common::PoolId mPool;
  Urgency mUrgency = Urgency::Standard;
  bool mIdempotent = false;
  bool mHedge = false;
  /// Time from arrival to answer when the caller names no deadline; for batch, from submission to
  /// end.
  Duration mDeadline{ std::chrono::seconds(10) };
  /// Price of one slot for one second (requests) or one core for one second (batch).
  Common::MicroPrice mPrice;
  Common::Bytes mMaxBody{ 1 << 20 };
  RestartPolicy mRestart = RestartPolicy::Resume;
  /// Attempts of a task after which it counts as failed.
  std::uint32_t mMaxAttempts = 5;
};

/// The part of a worker that a pool may use.
struct PoolLimits
{
  Common::Slots mSlots;
  Common::Connections mConnections;
  Common::Resources mResources;
};

/// Guaranteed part of the pool for one urgency, in percent; it holds while other kinds flood in.
struct MinShare
{
  Urgency mUrgency = Urgency::Standard;
  std::uint32_t mPercent = 0;
};

struct Pool
{
  Common::PoolId mName;
  std::vector<Common::DataCentreId> mDataCentres;
  /// Labels that a worker must all have.
  std::vector<std::string> mLabels;
  PoolLimits mPerWorker;
  std::vector<MinShare> mMinShares;
};

struct Team
{
  Common::TeamId mName;
  std::uint32_t mWeight = 1;
  Common::Resources mQuota;
  Common::Slots mSlotQuota;
  /// Idle quota of other teams may be used until they want it back.
  bool mMayBorrow = true;
};

struct Client
{
  Common::ClientId mName;
  Common::TeamId mTeam;
  std::uint32_t mWeight = 1;
  /// Data centre whose cell owner keeps the client's idempotency keys; chosen by hash if empty.
  Common::DataCentreId mHome;
};

/// One joint revision of both tables. Teams and clients stand in the pools table.
struct TableSet
{
  Common::Revision mRevision;
  std::vector<Route> mRoutes;
  std::vector<Pool> mPools;
  std::vector<Team> mTeams;
  std::vector<Client> mClients;
};

const Route*
FindRoute(const TableSet& aTables, const Common::RouteId& aName);
const Pool*
FindPool(const TableSet& aTables, const Common::PoolId& aName);
const Team*
FindTeam(const TableSet& aTables, const Common::TeamId& aName);
const Client*
FindClient(const TableSet& aTables, const Common::ClientId& aName);

} // namespace Tables
