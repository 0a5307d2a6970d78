#include <algorithm>
#include <unordered_map>
#include <unordered_set>

#include "Tables/Overlaps.h"
#include "Tables/ParseTables.h"

namespace Tables {

namespace {

using Common::Findings;
using Common::Place;

/// The nearest name is looked for among this many names, so that a large table of dangling names
/// stays fast to refuse.
constexpr std::size_t kMaxNearestNames = 200;

Place
PlaceAt(const std::string& aFile, Toml::Position aPosition)
{
  return { aFile, aPosition.mLine, aPosition.mColumn };
}

std::string
Named(const std::string& aKind, const std::string& aName)
{
  return aKind + ' ' + Toml::Quote(aName);
}

std::string
DuplicateMessage(const std::string& aKind, const std::string& aName, std::uint32_t aFirstLine)
{
  return Named(aKind, aName) + " has the same name as the " + aKind + " in line " +
         std::to_string(aFirstLine);
}

/// The names of aItems, each with the index of its first item.
template<typename Item>
std::unordered_map<std::string, std::size_t>
IndexNames(const std::vector<Item>& aItems,
           const std::string& aKind,
           const std::string& aFile,
           Findings& aFindings)
{
  std::unordered_map<std::string, std::size_t> names;
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    const std::string& name = aItems[i].mName.str();
    if (name.empty()) {
      continue;
    }
    const auto [entry, added] = names.emplace(name, i);
    if (!added) {
      const Item& first = aItems[entry->second];
      aFindings.error(PlaceAt(aFile, aItems[i].mPosition),
                      DuplicateMessage(aKind, name, first.mPosition.mLine));
    }
  }
  return names;
}

template<typename Index>
std::string
Unknown(const std::string& aKind, const std::string& aName, const Index& aIndex)
{
  std::vector<std::string> known;
  for (const auto& [name, index] : aIndex) {
    known.push_back(name);
    if (known.size() == kMaxNearestNames) {
      break;
    }
  }
  // The order of a hash table differs between builds; ties must not.
  std::sort(known.begin(), known.end());
  const std::string shown = aName.size() <= 64 ? aName : aName.substr(0, 20) + "...";
  const std::string nearest = Common::NearestName(shown, known);
  return "unknown " + aKind + ' ' + Toml::Quote(shown) +
         (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?");
}

void
CheckRoutes(const TableSet& aTables,
            const std::unordered_map<std::string, std::size_t>& aPools,
            const std::string& aFile,
            Findings& aFindings)
{
  for (const Route& route : aTables.mRoutes) {
    const std::string& pool = route.mPool.str();
    if (pool.empty()) {
      continue;
    }
    const Place place = PlaceAt(aFile, route.mPoolPosition);
    const std::string what = Named("route", route.mName.str()) + ": ";
    const auto found = aPools.find(pool);
    if (found == aPools.end()) {
      aFindings.error(place, what + Unknown("pool", pool, aPools));
      continue;
    }
    const PoolLimits& limits = aTables.mPools[found->second].mPerWorker;
    if (route.mKind == RouteKind::Request && limits.mSlots.value() == 0) {
      aFindings.error(place, what + Named("pool", pool) + " offers no slots for requests");
    }
    if (route.mKind != RouteKind::Request && limits.mResources.mCores.value() == 0) {
      aFindings.error(place, what + Named("pool", pool) + " offers no cores for tasks");
    }
  }
}

void
CheckPools(const TableSet& aTables, const TableNames& aNames, Findings& aFindings)
{
  std::unordered_set<std::string> used;
  for (const Route& route : aTables.mRoutes) {
    used.insert(route.mPool.str());
  }
  std::unordered_map<std::string, std::size_t> known;
  for (const Common::DataCentreId& dataCentre : aNames.mDataCentres) {
    known.emplace(dataCentre.str(), known.size());
  }
  for (const Pool& pool : aTables.mPools) {
    const std::string what = Named("pool", pool.mName.str());
    if (!pool.mName.empty() && used.count(pool.mName.str()) == 0) {
      aFindings.warning(PlaceAt(aNames.mPoolsFile, pool.mPosition), what + " is used by no route");
    }
    for (const Common::DataCentreId& dataCentre : pool.mDataCentres) {
      if (!known.empty() && known.count(dataCentre.str()) == 0) {
        aFindings.error(PlaceAt(aNames.mPoolsFile, pool.mDataCentresPosition),
                        what + ": " + Unknown("data centre", dataCentre.str(), known));
      }
    }
  }
}

void
CheckClients(const TableSet& aTables,
             const std::unordered_map<std::string, std::size_t>& aTeams,
             const TableNames& aNames,
             Findings& aFindings)
{
  std::unordered_map<std::string, std::size_t> dataCentres;
  for (const Common::DataCentreId& dataCentre : aNames.mDataCentres) {
    dataCentres.emplace(dataCentre.str(), dataCentres.size());
  }
  for (const Pool& pool : aTables.mPools) {
    for (const Common::DataCentreId& dataCentre : pool.mDataCentres) {
      if (aNames.mDataCentres.empty()) {
        dataCentres.emplace(dataCentre.str(), dataCentres.size());
      }
    }
  }
  for (const Client& client : aTables.mClients) {
    const std::string what = Named("client", client.mName.str()) + ": ";
    if (!client.mTeam.empty() && aTeams.count(client.mTeam.str()) == 0) {
      aFindings.error(PlaceAt(aNames.mPoolsFile, client.mTeamPosition),
                      what + Unknown("team", client.mTeam.str(), aTeams));
    }
    if (client.mHome.empty() || dataCentres.count(client.mHome.str()) > 0) {
      continue;
    }
    const Place place = PlaceAt(aNames.mPoolsFile, client.mHomePosition);
    const std::string message = what + Unknown("data centre", client.mHome.str(), dataCentres);
    // Without the list of the settings, a home that no pool names may still exist.
    if (aNames.mDataCentres.empty()) {
      aFindings.warning(place, message);
    } else {
      aFindings.error(place, message);
    }
  }
}

} // namespace

Findings
ValidateTables(const TableSet& aTables, const TableNames& aNames)
{
  Findings findings;
  IndexNames(aTables.mRoutes, "route", aNames.mRoutesFile, findings);
  const auto pools = IndexNames(aTables.mPools, "pool", aNames.mPoolsFile, findings);
  const auto teams = IndexNames(aTables.mTeams, "team", aNames.mPoolsFile, findings);
  IndexNames(aTables.mClients, "client", aNames.mPoolsFile, findings);
  CheckRoutes(aTables, pools, aNames.mRoutesFile, findings);
  CheckPools(aTables, aNames, findings);
  CheckClients(aTables, teams, aNames, findings);
  FindOverlaps(aTables.mRoutes, aNames.mRoutesFile, findings);
  return findings;
}

} // namespace Tables
