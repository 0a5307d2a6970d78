#pragma once

#include <string>
#include <vector>

#include "Common/Findings.h"
#include "Tables/Tables.h"

namespace Tables {

/// Warns of request routes that no request reaches (shadowed) and of pairs of routes between which
/// only their order in the table decides (ambiguous).
void
FindOverlaps(const std::vector<Route>& aRoutes,
             const std::string& aFile,
             Common::Findings& aFindings);

} // namespace Tables
