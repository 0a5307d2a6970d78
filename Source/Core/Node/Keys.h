#pragma once

#include <optional>
#include <string>

#include "Scheduling/Model.h"

/// Keys of the store that ibisshed uses.
namespace Node {

/// Leased; names the coordinator.
inline const std::string kCoordinatorKey = "ibis/coordinator";
/// Highest term so far; it outlives the coordinator's key.
inline const std::string kTermKey = "ibis/term";
/// Submissions and cancels, written by entries.
inline const std::string kJobPrefix = "ibis/job/";
/// Written by the coordinator.
inline const std::string kProgressPrefix = "ibis/progress/";
inline const std::string kWorkerPrefix = "ibis/worker/";
/// Changes with each write of the coordinator's records and is the condition of the next one, so
/// that a write which takes effect late finds its condition gone.
inline const std::string kRecordsKey = "ibis/records";
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

struct JobKey
{
  Common::JobId mJob;
  JobKeyKind mKind = JobKeyKind::Submission;
};

/// Nothing if the key is not one of a job.
std::optional<JobKey>
ParseJobKey(const std::string& aKey);

} // namespace Node
