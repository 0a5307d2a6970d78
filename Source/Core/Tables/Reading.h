#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Findings.h"
#include "Tables/Tables.h"
#include "Toml/TableReader.h"

/// Parts of ParseTables, one for each table.
namespace Tables {

std::vector<Route>
ReadRoutes(const Toml::Value& aRoot, const std::string& aFile, Common::Findings& aFindings);

/// Fills in the pools, teams and clients of aTables.
void
ReadPools(const Toml::Value& aRoot,
          const std::string& aFile,
          TableSet& aTables,
          Common::Findings& aFindings);

/// Reads the key "name" and names the reader after it: "route \"quotes\"".
std::string
ReadName(Toml::TableReader& aReader, const std::string& aKind);

} // namespace Tables
