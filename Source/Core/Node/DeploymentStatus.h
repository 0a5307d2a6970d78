#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "Node/Ports.h"
#include "Store/AsyncStore.h"
#include "Wire/Codec.h"

namespace Node {

/// The records of one job in the store.
struct StoredJob
{
  Common::JobId mJob;
  /// Empty if the submission is missing or cannot be decoded.
  std::optional<Wire::JobRecord> mSubmission;
  std::optional<Wire::CancelRecord> mCancel;
  std::optional<Wire::ProgressRecord> mProgress;
};

/// State of a deployment as far as its store holds it, for operators' tools.
struct DeploymentStatus
{
  /// Empty if there is no coordinator or its record cannot be decoded.
  std::optional<Wire::CoordinatorRecord> mCoordinator;
  /// Highest term so far; 0 if there was none or its record cannot be decoded.
  std::int64_t mTerm = 0;
  std::vector<StoredJob> mJobs;
  std::vector<Wire::WorkerRecord> mWorkers;
  std::optional<QueueTables> mTables;
  /// Data centres that the operators' keys evacuate.
  Scheduling::EvacuatedDataCentres mEvacuated;
  /// Keys that cannot be parsed or whose values cannot be decoded.
  std::vector<std::string> mUnreadableKeys;
};

/// Reads all records, running aIo until done. aTimeout applies to each call to the store; the error
/// names the key or prefix whose read failed. The reads are not one transaction, so records may
/// have changed between them.
tl::expected<DeploymentStatus, std::string>
ReadDeploymentStatus(boost::asio::io_context& aIo,
                     Store::AsyncStore& aStore,
                     const Formats& aFormats,
                     Common::Duration aTimeout);

} // namespace Node
