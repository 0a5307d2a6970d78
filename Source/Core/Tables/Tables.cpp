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
