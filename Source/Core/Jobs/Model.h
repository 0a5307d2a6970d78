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

/// Both time lines: the monotonic one for waits in this process, Unix time for what outlives it.
struct CurrentTime
{
  Common::Timestamp mMonotonic;
  Common::UnixMillis mUnix{ 0 };
};

/// Number of a job in its cell: the epoch of the owner that accepted it in the upper 32 bits and a
/// count in the lower, so that two owners never give the same number.
using JobNumber = Common::Quantity<struct JobNumberTag>;

struct TaskKey
{
  JobNumber mJob;
  std::uint32_t mIndex = 0;
  auto operator<=>(const TaskKey&) const = default;
};

/// "<cell>-<epoch>-<count>".
Common::JobId
MakeJobId(const Common::CellId& aCell, JobNumber aJob);
/// "<job id>.<index>".
Common::TaskId
MakeTaskId(const Common::CellId& aCell, const TaskKey& aTask);
/// Nothing if the text is not an id of this cell.
std::optional<JobNumber>
ParseJobId(const Common::CellId& aCell, std::string_view aText);
std::optional<TaskKey>
ParseTaskId(const Common::CellId& aCell, std::string_view aText);

/// What a caller submits, together with what its route says about it.
struct JobSpec
{
  Common::ClientId mClient;
  Common::TeamId mTeam;
  Common::RouteId mRoute;
  Common::IdempotencyKey mKey;
  std::uint32_t mTasks = 1;
  Common::Resources mPerTask;
  /// Declared run time of one task; 0 means not declared.
  Common::Duration mRunTime{ 0 };
  /// 0 means none.
  Common::UnixMillis mDeadline{ 0 };
  std::int32_t mPriority = 0;
  std::string mPayload;
  /// Labels that a worker must all have.
  std::vector<std::string> mLabels;
  Tables::Urgency mUrgency = Tables::Urgency::Patient;
  Common::MicroPrice mPrice;
  Tables::RestartPolicy mRestart = Tables::RestartPolicy::Resume;
  std::uint32_t mMaxAttempts = 5;
  /// A task without a declared end (route kind watch).
  bool mWatch = false;
};

/// State of a task in a report from an agent.
enum class TaskState : std::uint8_t
{
  Starting = 1,
  Running = 2,
  Finished = 3,
  Failed = 4,
  /// Stopped on request of the owner, with a checkpoint if the report names one.
  Evicted = 5,
  Stopped = 6,
  /// The platform no longer runs it, for example because its lease ended.
  Lost = 7,
  /// The agent did not start this attempt and will not.
  Refused = 8,
};

struct TaskReport
{
  Common::TaskId mTask;
  Common::Attempt mAttempt;
  TaskState mState = TaskState::Running;
  /// The platform's name of the last checkpoint of this attempt; "" if there is none.
  std::string mCheckpoint;
  std::string mDetail;
  Common::Resources mAmounts;
  Common::Duration mElapsed{ 0 };
  /// Processor time used so far, in core-microseconds.
  std::int64_t mCoreMicros = 0;
  Common::Bytes mPeakMemory;
};

/// One heartbeat reply of the agent beside a worker.
struct Inventory
{
  Common::WorkerId mWorker;
  /// Number that the agent gives to its replies; it rises within one incarnation. The number of the
  /// heartbeat would not do, because an agent may take two heartbeats in the other order.
  std::uint64_t mSequence = 0;
  /// True if mReports names every task that the agent knows. A running task that is not named has
  /// then ended without a trace.
  bool mFull = false;
  std::vector<TaskReport> mReports;
  /// Incarnation of the agent, 0 if not stated. WorkerCommands to an earlier incarnation are void,
  /// so that after a change a full reply settles also the starts that no report has confirmed.
  Common::Incarnation mIncarnation;
};

/// Start of one attempt on one worker.
struct TaskStart
{
  TaskKey mKey;
  Common::TaskId mTask;
  Common::JobId mJob;
  Common::Attempt mAttempt;
  Common::WorkerId mWorker;
  /// Checkpoint to resume from, "" to start from the beginning.
  std::string mCheckpoint;
  /// Attempt that made the checkpoint; 0 if there is none.
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
  /// Checkpoint and stop.
  Evict,
  Stop,
  /// The outcome is durable; the agent need not report it again.
  Forget,
};

/// A command to the agent beside mWorker.
struct TaskAction
{
  ActionKind mKind = ActionKind::Stop;
  Common::WorkerId mWorker;
  Common::TaskId mTask;
  Common::Attempt mAttempt;
};

/// What a placement decision needs to know of a task.
struct PlacementRequest
{
  TaskKey mKey;
  Common::Attempt mAttempt;
  Common::Resources mNeed;
  const JobSpec* mSpec = nullptr;
  /// Worker on which the task failed last; another one is preferred. Empty if there is none.
  Common::WorkerId mAvoidWorker;
};

/// Chooses a worker and reserves the room there; nothing if there is no room now.
using Placer = std::function<std::optional<Common::WorkerId>(const PlacementRequest&)>;

enum class SubmitErrorReason
{
  Invalid,
  UnknownTeam,
  /// The cell holds as many jobs as it may.
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
  /// False if (client, key) named a job that was submitted before.
  bool mIsNew = true;
  /// The record is in the store; only then may the job be acknowledged.
  bool mDurable = false;
};

enum class JobStatus
{
  /// The record is not in the store yet.
  Accepting,
  Waiting,
  Running,
  /// Cannot run now or ever; JobSummary::mDetail says why.
  Unschedulable,
  Cancelling,
  Finished,
  Failed,
  Cancelled,
};

std::string_view
StatusText(JobStatus aStatus);

struct JobSummary
{
  Common::JobId mJob;
  JobStatus mStatus = JobStatus::Accepting;
  std::uint32_t mTasks = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mUncertain = 0;
  std::uint32_t mFinished = 0;
  std::uint32_t mFailed = 0;
  std::uint32_t mCancelled = 0;
  /// Tasks with restart "never" whose end is not known.
  std::uint32_t mUnknown = 0;
  std::uint32_t mEvictions = 0;
  std::string mDetail;
  Common::UnixMillis mSubmitted{ 0 };
};

} // namespace Jobs
