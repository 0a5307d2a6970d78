#pragma once

#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "Jobs/Model.h"
#include "Jobs/Records.h"
#include "Jobs/State.h"

/// Scheduling of the batch jobs of one cell. The functions change the state that is passed in and
/// return what the caller has to send or to write.
namespace Jobs {

/// A team's settings, with its quota scaled to the cell.
struct TeamQuota
{
  Common::TeamId mName;
  std::uint32_t mWeight = 1;
  Common::Resources mQuota;
  bool mMayBorrow = true;
};

JobsState
MakeJobsState(const Common::CellId& aCell, Common::Epoch aEpoch, JobsPolicy aPolicy = {});

/// Sets the teams. A team that is no longer listed keeps its running tasks and gets an empty quota.
/// Recomputes which jobs are unschedulable.
void
SetTeams(JobsState& aState, const std::vector<TeamQuota>& aTeams);

/// Sets the kinds of workers of the cell, and recomputes which jobs are unschedulable.
void
SetWorkerShapes(JobsState& aState, std::vector<WorkerShape> aShapes);

/// Returns the reason why no worker of the cell can ever run a task of the job with the given
/// resources, or "" if one can.
std::string
UnschedulableReason(const JobsState& aState, const JobSpec& aSpec, const Common::Resources& aNeed);

/// Accepts a job, or returns the one that the same client submitted with the same idempotency key.
/// A job may be acknowledged only once its batch is written. Refuses invalid jobs, unknown teams,
/// and new jobs above JobsPolicy::mMaxJobs.
tl::expected<SubmitResult, SubmitError>
SubmitJob(JobsState& aState, const JobSpec& aSpec, const CurrentTime& aNow);

/// Cancels a job: waiting tasks end at once, and running ones when their worker reports them as
/// stopped. Returns false if there is no such job.
bool
CancelJob(JobsState& aState,
          const Common::JobId& aJob,
          const CurrentTime& aNow,
          std::vector<TaskAction>& aActions);

/// Starts at most aLimit waiting tasks on the workers that aPlace chooses, and returns the
/// commands. A job for whose task aPlace finds no worker backs off and does not delay the other
/// jobs.
std::vector<TaskStart>
StartTasks(JobsState& aState, const CurrentTime& aNow, std::size_t aLimit, const Placer& aPlace);

/// Applies one report of the agent of aWorker and appends the commands that answer it. Reports may
/// be late, repeated or out of order.
void
ApplyReport(JobsState& aState,
            const Common::WorkerId& aWorker,
            const TaskReport& aReport,
            const CurrentTime& aNow,
            std::vector<TaskAction>& aActions);

/// True if a newer reply of the worker was applied before. The caller must use nothing of a stale
/// reply.
bool
IsStaleInventory(const JobsState& aState, const Inventory& aInventory);

/// Applies a heartbeat reply: its reports and, if it is full, the end of the tasks that it does not
/// list. Ignores stale replies. Returns the commands that answer the reports.
std::vector<TaskAction>
ApplyInventory(JobsState& aState, const Inventory& aInventory, const CurrentTime& aNow);

/// Commands to a worker whose effect no report has confirmed. They are sent with each heartbeat,
/// and agents execute repeated ones once. For a silent worker there are no starts.
struct WorkerCommands
{
  std::vector<TaskStart> mStarts;
  std::vector<TaskAction> mActions;
};
WorkerCommands
PendingCommands(const JobsState& aState, const Common::WorkerId& aWorker);

/// A start that no report has confirmed. It stays in this list if the task is to be stopped again,
/// because the start command may still arrive; its resources stay reserved.
struct UnconfirmedStart
{
  TaskKey mKey;
  Common::Attempt mAttempt;
  Common::Resources mNeed;
};
std::vector<UnconfirmedStart>
UnconfirmedStarts(const JobsState& aState, const Common::WorkerId& aWorker);

/// Marks the worker as silent: its tasks are uncertain until it is heard or released. Call this as
/// soon as heartbeats fail, and ReleaseWorker only after all earlier heartbeats have timed out.
void
MarkSilent(JobsState& aState, const Common::WorkerId& aWorker, const CurrentTime& aNow);

/// Ends the attempts on the worker. Call this only when fencing ensures that nothing started on it
/// is still running: its tasks may start again, or end as unknown if they may not restart.
void
ReleaseWorker(JobsState& aState, const Common::WorkerId& aWorker, const CurrentTime& aNow);

/// Releases the jobs held since a takeover. Call this once every worker of the recorded roster was
/// heard or released, so that tasks that no agent reported are not running. If all workers were
/// heard (aAllHeard), such tasks were never started. Otherwise an attempt may have run on a silent
/// worker, and tasks that may not restart end as unknown.
void
ReleaseHeldJobs(JobsState& aState, bool aAllHeard, const CurrentTime& aNow);

/// Evicts a task. Returns false if it is not running or may not be restarted.
bool
EvictTask(JobsState& aState,
          const Common::TaskId& aTask,
          const CurrentTime& aNow,
          std::vector<TaskAction>& aActions);

/// Evicts at most aLimit tasks of teams above their quota to make room for waiting tasks of teams
/// below theirs. The tasks last in the start order are evicted first and, among equal ones, those
/// that lose the least progress.
std::vector<TaskAction>
ReclaimQuota(JobsState& aState, const CurrentTime& aNow, std::size_t aLimit);

/// Records to write as one store value.
struct WriteBatch
{
  std::uint64_t mId = 0;
  Segment mSegment;
};

/// Takes the unwritten job records, at most aMaxBytes of them but at least one record; std::nullopt
/// if there are none.
std::optional<WriteBatch>
TakeJobBatch(JobsState& aState, std::size_t aMaxBytes);
/// Takes at most aMaxRecords unwritten progress records; std::nullopt if there are none.
std::optional<WriteBatch>
TakeProgressBatch(JobsState& aState, std::size_t aMaxRecords);

/// Call when the batch is in the store. Returns the jobs that may now be acknowledged.
std::vector<Common::JobId>
MarkBatchWritten(JobsState& aState, std::uint64_t aBatch, const CurrentTime& aNow);

/// Call when it is certain that the batch is not in the store. Removes its jobs and returns them,
/// to be refused; its progress records are taken again with the next batch.
std::vector<Common::JobId>
MarkBatchFailed(JobsState& aState, std::uint64_t aBatch);

/// Number of progress records that no batch has taken.
std::size_t
UnwrittenProgressCount(const JobsState& aState);

/// True if every progress record is durable. After ReleaseWorker or ApplyInventory, the roster in
/// the store may be changed for a restarted or lost agent only when this holds, because a later
/// owner assumes that tasks which no agent of the roster reports were never started.
bool
IsProgressDurable(const JobsState& aState);

/// Packs all durable jobs and the progress of their tasks, whether durable or not, into segments of
/// about aMaxBytes at most, to replace all segments written so far.
std::vector<Segment>
MakeSnapshot(const JobsState& aState, std::size_t aMaxBytes);

/// Removes ended jobs after JobsPolicy::mRetention, once all their records are durable.
void
DropExpiredJobs(JobsState& aState, const CurrentTime& aNow);

/// std::nullopt if there is no such job.
std::optional<JobSummary>
ShowJob(const JobsState& aState, const Common::JobId& aJob);
/// Returns at most aLimit jobs, newest first.
std::vector<JobSummary>
ShowJobs(const JobsState& aState, std::size_t aLimit);

/// Resources charged for the tasks on the worker: running, starting or uncertain.
Common::Resources
ChargedResources(const JobsState& aState, const Common::WorkerId& aWorker);

/// The part of ChargedResources whose start no report has confirmed.
Common::Resources
UnconfirmedResources(const JobsState& aState, const Common::WorkerId& aWorker);

struct RebuildError
{
  /// Index of the damaged value.
  std::size_t mSegment = 0;
  std::string mText;
};

/// Rebuilds the state of a new owner from the store values of the cell: snapshot and segments in
/// the order in which their batches were taken, earlier epochs first. Every job whose tasks have
/// not all ended is held: the inventories tell which tasks are running, and ReleaseWorker and
/// ReleaseHeldJobs let the others start.
tl::expected<JobsState, RebuildError>
Rebuild(JobsState aEmpty,
        const std::vector<std::string>& aValues,
        const std::vector<Inventory>& aHeard,
        const CurrentTime& aNow,
        std::vector<TaskAction>& aActions);

} // namespace Jobs
