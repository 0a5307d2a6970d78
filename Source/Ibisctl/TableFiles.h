#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "Common/Findings.h"
#include "Tables/ParseTables.h"

namespace Ibisctl {

/// The texts of two table files with their names.
struct TableTexts
{
  std::string mRoutesFile;
  std::string mPoolsFile;
  std::string mRoutes;
  std::string mPools;
};

/// The error is a message for the user.
tl::expected<TableTexts, std::string>
ReadTables(const std::string& aRoutesFile, const std::string& aPoolsFile);

struct CheckedTables
{
  /// Empty if there are errors.
  Tables::TableSet mTables;
  /// Errors and warnings.
  Common::Findings mFindings;
};

CheckedTables
CheckTables(const TableTexts& aTexts, const std::vector<Common::DataCentreId>& aDataCentres = {});

/// What changes from aOld to aNew as text; if one of them cannot be read, the reason with its
/// findings.
std::string
DiffOfTables(const TableTexts& aOld, const TableTexts& aNew);

} // namespace Ibisctl
