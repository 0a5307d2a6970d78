#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"
#include "Toml/Document.h"

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

/// The name of the header in lower case and its exact value.
struct HeaderMatch
{
  std::string mName;
  std::string mValue;

  auto operator<=>(const HeaderMatch&) const = default;
};

/// Which requests belong to a route. Empty parts match everything.
struct RouteMatch
{
  /// In lower case without port; "*.example" matches every host that ends in ".example".
  std::string mHost;
  /// Without a slash at the end; it matches whole path segments.
  std::string mPathPrefix;
  /// Sorted, without duplicates.
  std::vector<std::string> mMethods;
  /// Sorted by name and value; all of them must be present.
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
  /// end. Zero for watches, which have no declared end.
  Duration mDeadline{ std::chrono::seconds(10) };
  /// Price of one slot for one second (requests) or one core for one second (batch).
  Common::MicroPrice mPrice;
  Common::Bytes mMaxBody{ 1 << 20 };
  RestartPolicy mRestart = RestartPolicy::Resume;
  /// Attempts of a task after which it counts as failed.
  std::uint32_t mMaxAttempts = 5;
  /// Places in the routes table; line 0 if the route was not read from a text.
  Toml::Position mPosition;
  Toml::Position mPoolPosition;
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
  /// At most one for each urgency, in the order of urgencies.
  std::vector<MinShare> mMinShares;
  /// Places in the pools table; line 0 if the pool was not read from a text.
  Toml::Position mPosition;
  Toml::Position mDataCentresPosition;
};

struct Team
{
  Common::TeamId mName;
  std::uint32_t mWeight = 1;
  Common::Resources mQuota;
  Common::Slots mSlotQuota;
  /// Idle quota of other teams may be used until they want it back.
  bool mMayBorrow = true;
  Toml::Position mPosition;
};

struct Client
{
  Common::ClientId mName;
  Common::TeamId mTeam;
  std::uint32_t mWeight = 1;
  /// Data centre whose cell owner keeps the client's idempotency keys; chosen by hash if empty.
  Common::DataCentreId mHome;
  Toml::Position mPosition;
  Toml::Position mTeamPosition;
  Toml::Position mHomePosition;
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

/// The words of the tables for the values of the enumerations, in their order.
const std::vector<std::string>&
UrgencyNames();
const std::vector<std::string>&
RouteKindNames();
const std::vector<std::string>&
RestartPolicyNames();

const std::string&
NameOf(Urgency aUrgency);
const std::string&
NameOf(RouteKind aKind);
const std::string&
NameOf(RestartPolicy aPolicy);

/// The item with the name, or null. These search from the front; RouteIndex finds routes by hash.
const Route*
FindRoute(const TableSet& aTables, const Common::RouteId& aName);
const Pool*
FindPool(const TableSet& aTables, const Common::PoolId& aName);
const Team*
FindTeam(const TableSet& aTables, const Common::TeamId& aName);
const Client*
FindClient(const TableSet& aTables, const Common::ClientId& aName);

} // namespace Tables
