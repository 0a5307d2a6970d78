#include "Tables/Tables.h"

#include <algorithm>

namespace Tables {

namespace {

template<typename Item, typename Name>
const Item*
FindByName(const std::vector<Item>& aItems, const Name& aName)
{
  const auto found = std::find_if(
    aItems.begin(), aItems.end(), [&](const Item& aItem) { return aItem.mName == aName; });
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace

const std::vector<std::string>&
UrgencyNames()
{
  static const std::vector<std::string> kNames = { "interactive", "standard", "patient" };
  return kNames;
}

const std::vector<std::string>&
RouteKindNames()
{
  static const std::vector<std::string> kNames = { "request", "batch", "watch" };
  return kNames;
}

const std::vector<std::string>&
RestartPolicyNames()
{
  static const std::vector<std::string> kNames = { "resume", "never" };
  return kNames;
}

const std::string&
NameOf(Urgency aUrgency)
{
  return UrgencyNames()[static_cast<std::size_t>(aUrgency)];
}

const std::string&
NameOf(RouteKind aKind)
{
  return RouteKindNames()[static_cast<std::size_t>(aKind)];
}

const std::string&
NameOf(RestartPolicy aPolicy)
{
  return RestartPolicyNames()[static_cast<std::size_t>(aPolicy)];
}

const Route*
FindRoute(const TableSet& aTables, const Common::RouteId& aName)
{
  return FindByName(aTables.mRoutes, aName);
}

const Pool*
FindPool(const TableSet& aTables, const Common::PoolId& aName)
{
  return FindByName(aTables.mPools, aName);
}

const Team*
FindTeam(const TableSet& aTables, const Common::TeamId& aName)
{
  return FindByName(aTables.mTeams, aName);
}

const Client*
FindClient(const TableSet& aTables, const Common::ClientId& aName)
{
  return FindByName(aTables.mClients, aName);
}

} // namespace Tables
