#pragma once

#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "Jobs/Model.h"
#include "Jobs/Records.h"
#include "Jobs/State.h"

/// Decisions on the batch jobs of one cell. They change the state that is passed in and return what
/// the caller has to send or to write.
namespace Jobs {

/// A team's settings, scaled to the cell.
struct TeamQuota
{
  Common::TeamId mName;
  std::uint32_t mWeight = 1;
  Common::Resources mQuota;
  bool mMayBorrow = true;
};

JobsState
MakeJobsState(const Common::CellId& aCell, Common::Epoch aEpoch, JobsPolicy aPolicy = {});

/// Sets the teams; a team that is no longer named keeps its running tasks and has no quota.
void
SetTeams(JobsState& aState, const std::vector<TeamQuota>& aTeams);

/// Sets the kinds of workers of the cell, and examines the jobs again that were set aside.
void
SetWorkerShapes(JobsState& aState, std::vector<WorkerShape> aShapes);

/// Why no worker of the cell can ever run a task of the job with the given need; "" if one can.
std::string
UnschedulableReason(const JobsState& aState, const JobSpec& aSpec, const Common::Resources& aNeed);

/// Accepts a job. It may be acknowledged once its batch is written. The same (client, key) gives
/// the same job.
tl::expected<SubmitResult, SubmitError>
SubmitJob(JobsState& aState, const JobSpec& aSpec, const CurrentTime& aNow);

/// Cancels a job: waiting tasks end at once, running ones when their worker reports them stopped.
/// False if there is no such job.
bool
CancelJob(JobsState& aState,
          const Common::JobId& aJob,
          const CurrentTime& aNow,
          std::vector<TaskAction>& aActions);

/// The tasks to start now, at most aLimit, each placed by aPlace. A task for which aPlace finds no
/// room does not hold up the others.
std::vector<TaskStart>
StartTasks(JobsState& aState, const CurrentTime& aNow, std::size_t aLimit, const Placer& aPlace);

/// Applies one report of the agent beside aWorker. Reports may be late, repeated or out of order.
void
ApplyReport(JobsState& aState,
            const Common::WorkerId& aWorker,
            const TaskReport& aReport,
            const CurrentTime& aNow,
            std::vector<TaskAction>& aActions);

/// True if a newer reply of the worker was applied. Nothing of a stale reply may be used.
bool
IsStaleInventory(const JobsState& aState, const Inventory& aInventory);

/// Applies a heartbeat reply: its reports and, if it is full, the absence of others. Drops stale
/// replies.
std::vector<TaskAction>
ApplyInventory(JobsState& aState, const Inventory& aInventory, const CurrentTime& aNow);

/// Starts, evictions and stops of the worker that no report has settled; they are sent with each
/// heartbeat, and agents take repeated ones as one. No starts are given for a silent worker.
struct WorkerCommands
{
  std::vector<TaskStart> mStarts;
  std::vector<TaskAction> mActions;
};
WorkerCommands
PendingCommands(const JobsState& aState, const Common::WorkerId& aWorker);

/// Starts on the worker that no report has confirmed, also those that are to be stopped again.
/// Their room stays reserved: the command may still arrive there.
struct UnconfirmedStart
{
  TaskKey mKey;
  Common::Attempt mAttempt;
  Common::Resources mNeed;
};
std::vector<UnconfirmedStart>
UnconfirmedStarts(const JobsState& aState, const Common::WorkerId& aWorker);

/// The worker is silent: its tasks become uncertain until it is heard or released. Call this as
/// soon as heartbeats fail, and ReleaseWorker only when all earlier heartbeats have timed out.
void
MarkSilent(JobsState& aState, const Common::WorkerId& aWorker, const CurrentTime& aNow);

/// The fence says that nothing which was started on the worker runs any longer: its tasks may start
/// again, or end as unknown if they may not restart.
void
ReleaseWorker(JobsState& aState, const Common::WorkerId& aWorker, const CurrentTime& aNow);

/// After a takeover: every worker of the recorded roster was heard or released, so tasks that
/// nobody reported do not run. If all were heard (aAllHeard), such tasks were never started;
/// otherwise one attempt may have run on a silent worker, and tasks that may not restart end as
/// unknown.
void
ReleaseHeldJobs(JobsState& aState, bool aAllHeard, const CurrentTime& aNow);

/// Evicts a task; false if it is not running or may not be restarted.
bool
EvictTask(JobsState& aState,
          const Common::TaskId& aTask,
          const CurrentTime& aNow,
          std::vector<TaskAction>& aActions);

/// Evicts tasks of teams above their quota, so that waiting tasks of teams below theirs find room.
/// The least valuable come first, and of equal ones those that lose the least progress.
std::vector<TaskAction>
ReclaimQuota(JobsState& aState, const CurrentTime& aNow, std::size_t aLimit);

/// Records to write as one store value.
struct WriteBatch
{
  std::uint64_t mId = 0;
  Segment mSegment;
};

/// Job records not written yet, at most aMaxBytes (but at least one); nothing if there are none.
std::optional<WriteBatch>
TakeJobBatch(JobsState& aState, std::size_t aMaxBytes);
std::optional<WriteBatch>
TakeProgressBatch(JobsState& aState, std::size_t aMaxRecords);

/// The batch is in the store. Returns the jobs that may now be acknowledged.
std::vector<Common::JobId>
MarkBatchWritten(JobsState& aState, std::uint64_t aBatch, const CurrentTime& aNow);

/// The batch is definitely not in the store. Its jobs are dropped and returned, to be refused; its
/// progress records are taken again with the next batch.
std::vector<Common::JobId>
MarkBatchFailed(JobsState& aState, std::uint64_t aBatch);

/// Progress records that wait to be written.
std::size_t
UnwrittenProgressCount(const JobsState& aState);

/// True if every progress record is durable. The roster in the store may only be changed for a
/// restarted or lost agent when this holds after ReleaseWorker or ApplyInventory: a later owner
/// takes tasks that no agent of the roster reports as never started.
bool
IsProgressDurable(const JobsState& aState);

/// Everything that is durable or ended, in segments of at most about aMaxBytes, to replace all
/// segments written so far.
std::vector<Segment>
MakeSnapshot(const JobsState& aState, std::size_t aMaxBytes);

/// Drops ended jobs after their retention.
void
DropExpiredJobs(JobsState& aState, const CurrentTime& aNow);

std::optional<JobSummary>
ShowJob(const JobsState& aState, const Common::JobId& aJob);
/// The newest jobs first.
std::vector<JobSummary>
ShowJobs(const JobsState& aState, std::size_t aLimit);

/// What the owner takes to be on the worker: running, starting or uncertain.
Common::Resources
ChargedResources(const JobsState& aState, const Common::WorkerId& aWorker);

/// The part of it that no report has confirmed.
Common::Resources
UnconfirmedResources(const JobsState& aState, const Common::WorkerId& aWorker);

struct RebuildError
{
  /// Which of the values given is damaged.
  std::size_t mSegment = 0;
  std::string mText;
};

/// State of a new owner from the store values of the cell (snapshot and segments, in the order in
/// which their batches were taken, earlier epochs first).
/// Every task that has not ended is held: agents' inventories say which ones run, and ReleaseWorker
/// and ReleaseHeldJobs let the others start.
tl::expected<JobsState, RebuildError>
Rebuild(JobsState aEmpty,
        const std::vector<std::string>& aValues,
        const std::vector<Inventory>& aHeard,
        const CurrentTime& aNow,
        std::vector<TaskAction>& aActions);

} // namespace Jobs
