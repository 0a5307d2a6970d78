#pragma once

#include <string>

#include "Tables/Tables.h"

namespace Tables {

/// The routes as TOML text that ParseTables reads back to the same routes.
std::string
PrintRoutes(const TableSet& aTables);

/// The pools, teams and clients as TOML text that ParseTables reads back to the same items.
std::string
PrintPools(const TableSet& aTables);

} // namespace Tables
