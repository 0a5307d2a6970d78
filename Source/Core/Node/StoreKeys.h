#pragma once

#include <optional>
#include <string>

#include "Scheduling/Model.h"

/// Keys and key prefixes under which ibisshed keeps its records in the store.
namespace Node {

/// Holds the CoordinatorRecord of the current coordinator; expires with the coordinator's lease.
inline const std::string kCoordinatorKey = "ibis/coordinator";
/// Holds the CoordinatorRecord of the highest term so far; has no lease, so it never expires.
inline const std::string kTermKey = "ibis/term";
/// Nonce, as text, of a coordinator whose process has ended. A later process of its instance writes
/// it while the present coordinator may still wait for the ended one. What it says stays true, so a
/// late write can at most hide what a newer one said.
inline const std::string kEndedKey = "ibis/ended";
/// Submissions, cancellations and fences, written by entries, or by the coordinator on their
/// behalf.
inline const std::string kJobPrefix = "ibis/job/";
/// Progress of each job, written by the coordinator.
inline const std::string kProgressPrefix = "ibis/progress/";
/// Workers that may hold tasks, written by the coordinator.
inline const std::string kWorkerPrefix = "ibis/worker/";
/// Rewritten together with every write of the coordinator's progress and worker records. Its
/// version is a precondition of the next write, so a write that reaches the store late, after a
/// newer one, fails. Its value is a RecordsStamp.
inline const std::string kRecordsKey = "ibis/records";
/// What the coordinator learned about images and run times.
inline const std::string kModelKey = "ibis/model";

std::string
SubmissionKey(const Common::JobId& aJob);
std::string
CancelKey(const Common::JobId& aJob);
/// Fence between the attempts to submit the job. A submission is written on condition of the key's
/// version; an entry that refuses a submission whose write may still be applied changes the key
/// first. Erased by the coordinator some minutes later.
std::string
FenceKey(const Common::JobId& aJob);
std::string
ProgressKey(const Common::JobId& aJob);
std::string
WorkerKey(const Scheduling::WorkerLifetime& aLifetime);

enum class JobKeyKind
{
  Submission,
  Cancel,
  Fence,
};

/// A parsed key under kJobPrefix.
struct JobKey
{
  Common::JobId mJob;
  JobKeyKind mKind = JobKeyKind::Submission;
};

/// Returns std::nullopt if the key is not that of a submission, cancellation or fence.
std::optional<JobKey>
ParseJobKey(const std::string& aKey);

} // namespace Node
