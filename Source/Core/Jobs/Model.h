#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"
#include "Tables/Tables.h"

/// Batch jobs and tasks of one cell.
namespace Jobs {

/// The current time on both clocks: monotonic time for waits within this process, Unix time for
/// values that outlive it.
struct CurrentTime
{
  Common::Timestamp mMonotonic;
  Common::UnixMillis mUnix{ 0 };
};

/// Number of a job in its cell: the epoch of the owner that accepted it in the upper 32 bits and a
/// counter in the lower 32, so that no two owners assign the same number.
using JobNumber = Common::Quantity<struct JobNumberTag>;

/// A task by its job and its index from 0.
struct TaskKey
{
  JobNumber mJob;
  std::uint32_t mIndex = 0;
  auto operator<=>(const TaskKey&) const = default;
};

/// Formats the job as "<cell>-<epoch>-<counter>".
Common::JobId
MakeJobId(const Common::CellId& aCell, JobNumber aJob);
/// Formats the task as "<job id>.<index>".
Common::TaskId
MakeTaskId(const Common::CellId& aCell, const TaskKey& aTask);
/// Parses "<cell>-<epoch>-<counter>"; std::nullopt if the text is not an id of this cell.
std::optional<JobNumber>
ParseJobId(const Common::CellId& aCell, std::string_view aText);
/// Parses "<job id>.<index>"; std::nullopt if the text is not an id of this cell.
std::optional<TaskKey>
ParseTaskId(const Common::CellId& aCell, std::string_view aText);

/// A submitted job, completed with the settings of its route.
struct JobSpec
{
  Common::ClientId mClient;
  Common::TeamId mTeam;
  Common::RouteId mRoute;
  Common::IdempotencyKey mKey;
  std::uint32_t mTasks = 1;
  Common::Resources mPerTask;
  /// Declared run time of one task; 0 if not declared.
  Common::Duration mRunTime{ 0 };
  /// Unix time by which the job should be done; 0 means no deadline.
  Common::UnixMillis mDeadline{ 0 };
  std::int32_t mPriority = 0;
  std::string mPayload;
  /// A worker must have all of these labels.
  std::vector<std::string> mLabels;
  Tables::Urgency mUrgency = Tables::Urgency::Patient;
  Common::MicroPrice mPrice;
  Tables::RestartPolicy mRestart = Tables::RestartPolicy::Resume;
  std::uint32_t mMaxAttempts = 5;
  /// The tasks run without a declared end (route kind watch).
  bool mWatch = false;
};

/// State of an attempt as its agent reports it.
enum class TaskState : std::uint8_t
{
  Starting = 1,
  Running = 2,
  Finished = 3,
  Failed = 4,
  /// Stopped by an evict command. The report names a checkpoint if one was taken.
  Evicted = 5,
  Stopped = 6,
  /// The platform no longer runs it, for example because its lease expired.
  Lost = 7,
  /// The agent has not started this attempt and never will.
  Refused = 8,
};

/// State of one attempt, as reported by an agent.
struct TaskReport
{
  Common::TaskId mTask;
  Common::Attempt mAttempt;
  TaskState mState = TaskState::Running;
  /// The platform's name for the last checkpoint of this attempt; "" if there is none.
  std::string mCheckpoint;
  std::string mDetail;
  /// Resources that the attempt was started with.
  Common::Resources mAmounts;
  /// Time that the attempt has run so far.
  Common::Duration mElapsed{ 0 };
  /// Processor time used so far, in core-microseconds.
  std::int64_t mCoreMicros = 0;
  Common::Bytes mPeakMemory;
};

/// The tasks that a worker's agent reports in one heartbeat reply.
struct Inventory
{
  Common::WorkerId mWorker;
  /// Sequence number that the agent assigns to its replies; it increases within one incarnation.
  /// The sequence number of the heartbeat would not order the replies, because an agent may process
  /// two heartbeats in reverse order.
  std::uint64_t mSequence = 0;
  /// True if mReports lists every task that the agent knows. A task that was reported as running
  /// and is not listed has then ended without a report.
  bool mFull = false;
  std::vector<TaskReport> mReports;
  /// Incarnation of the agent; 0 if not stated. Commands to an earlier incarnation are void. After
  /// a change of incarnation, a full reply therefore also decides the starts that no report has
  /// confirmed.
  Common::Incarnation mIncarnation;
};

/// Command to start one attempt on one worker.
struct TaskStart
{
  TaskKey mKey;
  Common::TaskId mTask;
  Common::JobId mJob;
  Common::Attempt mAttempt;
  Common::WorkerId mWorker;
  /// Checkpoint to resume from; "" to start from the beginning.
  std::string mCheckpoint;
  /// Attempt that took the checkpoint; 0 if there is none.
  Common::Attempt mCheckpointAttempt;
  Common::Resources mNeed;
  Common::Duration mRunTime{ 0 };
  std::string mPayload;
  Common::RouteId mRoute;
  Common::ClientId mClient;
  Common::TeamId mTeam;
  bool mMayRestart = true;
};

enum class ActionKind : std::uint8_t
{
  /// Take a checkpoint and stop.
  Evict,
  Stop,
  /// The outcome is durable, so the agent no longer has to report it.
  Forget,
};

/// A command about one attempt to the agent of mWorker.
struct TaskAction
{
  ActionKind mKind = ActionKind::Stop;
  Common::WorkerId mWorker;
  Common::TaskId mTask;
  Common::Attempt mAttempt;
};

/// A task that needs a worker.
struct PlacementRequest
{
  TaskKey mKey;
  Common::Attempt mAttempt;
  Common::Resources mNeed;
  const JobSpec* mSpec = nullptr;
  /// Worker on which the task failed last; placement prefers another one. Empty if there is none.
  Common::WorkerId mAvoidWorker;
};

/// Chooses a worker and reserves resources there; std::nullopt if no worker has room now.
using Placer = std::function<std::optional<Common::WorkerId>(const PlacementRequest&)>;

enum class SubmitErrorReason
{
  Invalid,
  UnknownTeam,
  /// JobsPolicy::mMaxJobs is reached.
  TooManyJobs,
};

struct SubmitError
{
  SubmitErrorReason mReason = SubmitErrorReason::Invalid;
  std::string mText;
};

struct SubmitResult
{
  Common::JobId mJob;
  /// False if the same client had submitted a job with the same idempotency key before; mJob is
  /// then that job.
  bool mIsNew = true;
  /// The job record is in the store. Only then may the job be acknowledged.
  bool mDurable = false;
};

enum class JobStatus
{
  /// The job record is not in the store yet.
  Accepting,
  Waiting,
  Running,
  /// No worker or quota of the cell can hold a task of the job; JobSummary::mDetail gives the
  /// reason.
  Unschedulable,
  Cancelling,
  Finished,
  Failed,
  Cancelled,
};

std::string_view
StatusText(JobStatus aStatus);

/// A job with the number of its tasks in each state.
struct JobSummary
{
  Common::JobId mJob;
  JobStatus mStatus = JobStatus::Accepting;
  std::uint32_t mTasks = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mRunning = 0;
  /// Tasks that may be running on a silent or unknown worker.
  std::uint32_t mUncertain = 0;
  std::uint32_t mFinished = 0;
  std::uint32_t mFailed = 0;
  std::uint32_t mCancelled = 0;
  /// Tasks with restart policy "never" whose outcome is unknown.
  std::uint32_t mUnknown = 0;
  std::uint32_t mEvictions = 0;
  std::string mDetail;
  Common::UnixMillis mSubmitted{ 0 };
};

} // namespace Jobs
