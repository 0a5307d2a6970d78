#pragma once

#include <string>
#include <vector>

#include "Common/Findings.h"
#include "Common/Ids.h"
#include "Tables/Tables.h"

namespace Tables {

/// What one worker has, as its agent reports it.
struct FleetWorker
{
  Common::WorkerId mWorker;
  Common::DataCentreId mDataCentre;
  std::vector<std::string> mLabels;
  PoolLimits mCapacity;
};

/// True if the worker stands in a data centre of the pool and has all its labels.
bool
BelongsToPool(const FleetWorker& aWorker, const Pool& aPool);

/// Warns of pools without workers, of pools that ask for more than a worker has, and of pools that
/// share a worker and together ask for more than it has. Each warning names one worker as an
/// example.
Common::Findings
CheckFleet(const TableSet& aTables,
           const std::vector<FleetWorker>& aWorkers,
           const std::string& aPoolsFile);

} // namespace Tables
