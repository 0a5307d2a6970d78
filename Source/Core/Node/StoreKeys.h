#pragma once

#include <optional>
#include <string>

#include "Scheduling/Model.h"

/// Keys and key prefixes under which ibisshed keeps its records in the store.
namespace Node {

/// Holds the CoordinatorRecord of the current coordinator; attached to its lease.
inline const std::string kCoordinatorKey = "ibis/coordinator";
/// Holds the CoordinatorRecord of the highest term so far; not attached to a lease.
inline const std::string kTermKey = "ibis/term";
/// Submissions and cancellations, written by entries, or by the coordinator on their behalf.
inline const std::string kJobPrefix = "ibis/job/";
/// Progress of each job, written by the coordinator.
inline const std::string kProgressPrefix = "ibis/progress/";
/// Workers that may hold tasks, written by the coordinator.
inline const std::string kWorkerPrefix = "ibis/worker/";
/// Rewritten with each write of the coordinator's records. Its version is a precondition of the
/// next write, so that a write which takes effect late fails.
inline const std::string kRecordsKey = "ibis/records";
/// What the coordinator learned about images and run times.
inline const std::string kModelKey = "ibis/model";

std::string
SubmissionKey(const Common::JobId& aJob);
std::string
CancelKey(const Common::JobId& aJob);
std::string
ProgressKey(const Common::JobId& aJob);
std::string
WorkerKey(const Scheduling::WorkerLifetime& aLife);

enum class JobKeyKind
{
  Submission,
  Cancel,
};

/// A parsed key under kJobPrefix.
struct JobKey
{
  Common::JobId mJob;
  JobKeyKind mKind = JobKeyKind::Submission;
};

/// Returns std::nullopt if the key is not that of a submission or cancellation.
std::optional<JobKey>
ParseJobKey(const std::string& aKey);

} // namespace Node
