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

/// What operators' tools read of a deployment, all of it from the store.
namespace Node {

struct StoredJob
{
  Common::JobId mJob;
  /// Empty if the submission cannot be read; then only the other records are known.
  std::optional<Wire::JobRecord> mSubmission;
  std::optional<Wire::CancelRecord> mCancel;
  std::optional<Wire::ProgressRecord> mProgress;
};

struct DeploymentStatus
{
  /// Empty while no process is the coordinator.
  std::optional<Wire::CoordinatorRecord> mCoordinator;
  /// Highest term so far, 0 if there was none.
  std::int64_t mTerm = 0;
  std::vector<StoredJob> mJobs;
  std::vector<Wire::WorkerRecord> mWorkers;
  std::optional<QueueTables> mTables;
  /// Keys whose entries cannot be read.
  std::vector<std::string> mUnreadableKeys;
};

/// Reads all records. aTimeout holds for each call; the error says which call failed. The records
/// are read one after the other, so that a job may have changed meanwhile.
tl::expected<DeploymentStatus, std::string>
ReadDeploymentStatus(boost::asio::io_context& aIo,
                     Store::AsyncStore& aStore,
                     const Formats& aFormats,
                     Common::Duration aTimeout);

} // namespace Node
