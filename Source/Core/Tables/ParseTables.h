#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "Common/Findings.h"
#include "Common/Ids.h"
#include "Tables/Tables.h"

namespace Tables {

/// What the checks need to know besides the texts.
struct TableNames
{
  std::string mRoutesFile = "routes";
  std::string mPoolsFile = "pools";
  /// The data centres of the settings. If empty, names of data centres are compared with each other
  /// only.
  std::vector<Common::DataCentreId> mDataCentres;
};

/// Reads and checks both texts. The findings of both stand in the order of their places; a syntax
/// error is the only finding of its text. On success the warnings are added to aWarnings if it is
/// not null. The revision number of the result is 0.
tl::expected<TableSet, Common::Findings>
ParseTables(std::string_view aRoutesText,
            std::string_view aPoolsText,
            const TableNames& aNames = {},
            Common::Findings* aWarnings = nullptr);

/// Checks that need both tables: references, duplicate names, sums and overlapping matches.
Common::Findings
ValidateTables(const TableSet& aTables, const TableNames& aNames = {});

/// Hash of a joint revision. The length of the first text is part of it, so that moving text from
/// one table to the other changes the hash.
std::uint64_t
JointHash(std::string_view aRoutesText, std::string_view aPoolsText);

} // namespace Tables
