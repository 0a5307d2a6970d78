#include "Ibisctl/TableFiles.h"

#include "Ibisctl/Command.h"
#include "Tables/DiffTables.h"

namespace Ibisctl {

tl::expected<TableTexts, std::string>
ReadTables(const std::string& aRoutesFile, const std::string& aPoolsFile)
{
  auto routes = ReadFile(aRoutesFile);
  if (!routes) {
    return tl::unexpected(routes.error());
  }
  auto pools = ReadFile(aPoolsFile);
  if (!pools) {
    return tl::unexpected(pools.error());
  }
  return TableTexts{ aRoutesFile, aPoolsFile, std::move(*routes), std::move(*pools) };
}

CheckedTables
CheckTables(const TableTexts& aTexts, const std::vector<Common::DataCentreId>& aDataCentres)
{
  CheckedTables checked;
  const Tables::TableNames names{ aTexts.mRoutesFile, aTexts.mPoolsFile, aDataCentres };
  auto tables = Tables::ParseTables(aTexts.mRoutes, aTexts.mPools, names, &checked.mFindings);
  if (tables) {
    checked.mTables = std::move(*tables);
  } else {
    checked.mFindings = std::move(tables.error());
  }
  return checked;
}

std::string
DiffOfTables(const TableTexts& aOld, const TableTexts& aNew)
{
  const CheckedTables before = CheckTables(aOld);
  const CheckedTables after = CheckTables(aNew);
  for (const CheckedTables* checked : { &before, &after }) {
    if (checked->mFindings.hasErrors()) {
      return "the tables cannot be compared:\n" + checked->mFindings.text();
    }
  }
  return Tables::DiffText(Tables::DiffTables(before.mTables, after.mTables));
}

} // namespace Ibisctl
