#pragma once

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Scheduling/State.h"

/// Scheduling decisions of a coordinator: free functions that change SchedulerState and leave the
/// resulting orders in it. They do no I/O; the current time is passed in.
namespace Scheduling {

/// Current time by the monotonic clock and by the wall clock.
struct CurrentTime
{
  Timestamp mMonotonic;
  Common::UnixMillis mUnix{ 0 };
};

/// Limits of one job; a job that exceeds them is refused as invalid.
constexpr std::uint32_t kMaxSteps = 64;
constexpr std::uint32_t kMaxTasksPerJob = 10'000;
constexpr std::size_t kMaxPayloadBytes = 4'000;

/// Returns the reason why the job specification is invalid, or nothing.
std::optional<std::string>
ValidateJob(const JobSpec& aSpec);

/// Duration of the longest dependency chain of one occurrence, given the duration of each step.
Duration
LongestChain(const JobSpec& aSpec, const std::function<Duration(std::uint32_t)>& aTimeOf);

/// Adds a job, unless one with its id exists. aProgress is the record of an earlier coordinator, or
/// nullptr if there is none. aRecovered says that an earlier coordinator may have started tasks of
/// the job.
Job&
AddJob(SchedulerState& aState,
       JobSpec aSpec,
       const Progress* aProgress,
       bool aRecovered,
       const CurrentTime& aNow);

/// Cancels the job: its runs are stopped and no task starts any more.
void
CancelJob(SchedulerState& aState, Job& aJob, const CurrentTime& aNow);

/// Removes an ended job from the state.
void
RemoveJob(SchedulerState& aState, const Common::JobId& aJob);

/// Adds a worker that an earlier coordinator recorded. Until it reports or aLeaseEnd passes, tasks
/// of recovered jobs may run there.
Worker&
AddRecordedWorker(SchedulerState& aState,
                  const WorkerView& aView,
                  const Common::InstanceId& aAgent,
                  Timestamp aLeaseEnd);

/// State of the worker apart from its lists.
WorkerView
ViewOf(const Worker& aWorker);

/// Applies the report of an agent about its workers. aLeaseEnd is the latest time until which the
/// agent may extend leases after this report.
void
ApplyReport(SchedulerState& aState,
            const Common::InstanceId& aAgent,
            std::span<const WorkerView> aViews,
            std::span<const EndedLifetime> aEndedLifetimes,
            Timestamp aLeaseEnd,
            const CurrentTime& aNow);

/// Lets the worker drop its ends up to the first one whose record is not in the store yet. Returns
/// true if these are more than before.
bool
AcknowledgeRecordedEnds(const SchedulerState& aState, Worker& aWorker);

/// Marks the workers of the agent as disconnected. Their runs continue until the leases end.
void
MarkAgentDisconnected(SchedulerState& aState, const Common::InstanceId& aAgent);

/// Marks the orders without a result to the workers of the agent as repeated and returns them in
/// the order of their numbers, to be sent over its new connection. Starts that are not awaited any
/// more are dropped.
std::vector<Order>
RepeatOrders(SchedulerState& aState, const Common::InstanceId& aAgent);

/// Applies the result of an order; a second result of an order is ignored.
void
ApplyOrderResult(SchedulerState& aState,
                 std::int64_t aOrder,
                 OrderResult aResult,
                 const CurrentTime& aNow);

/// Ends runs whose lease expired, repeats unanswered stops, and stops runs that are missing or make
/// no progress.
void
CheckTimeouts(SchedulerState& aState, const CurrentTime& aNow);

/// What the start orders of one placement round may take of the coordinator's link.
struct StartBudget
{
  /// The start that uses up the last bytes is still ordered, and so are all tasks of its gang.
  std::int64_t mBytesLeft = 0;
  /// Size of an order that starts a task of the job on a worker of the agent, in bytes.
  std::function<std::int64_t(const Job&, const Common::InstanceId& aAgent)> mBytesOf;
};

/// Starts the waiting tasks that are due and for which a worker has capacity, those that come first
/// if aBudget does not suffice for all. Returns false if it did not. There is no limit if aBudget
/// is nullptr.
bool
PlaceTasks(SchedulerState& aState, const CurrentTime& aNow, StartBudget* aBudget = nullptr);

/// Applies the answer to a request; aAdvice is empty if the service did not answer the agent.
void
ApplyAdvice(SchedulerState& aState,
            std::int64_t aRequest,
            const std::optional<Advice>& aAdvice,
            const CurrentTime& aNow);

/// Throttles best-effort tasks on workers where a long-running task nears its tail-latency target,
/// and raises their speed again.
void
ThrottleTasks(SchedulerState& aState, const CurrentTime& aNow);

/// Progress record of the job.
Progress
ProgressOf(const Job& aJob);

/// Number of accepted jobs in the queue of which no task has started.
std::int64_t
PendingJobs(const SchedulerState& aState, const Common::RouteId& aQueue);

/// Returns the queue of the job: its last values in the tables of this term, otherwise those of the
/// acceptance. nullptr if neither is known, so that the job waits.
const QueueSpec*
FindQueue(const SchedulerState& aState, const Job& aJob);

// Shared by the source files of this library.

Step&
StepAt(const TaskRef& aRef);
/// The task, to read. References to tasks without an object of their own (TaskTable) are to a
/// shared one.
const Task&
TaskAt(const TaskRef& aRef);
/// The task's own object, to change it.
Task&
OwnTaskAt(const TaskRef& aRef);
const StepSpec&
StepSpecOf(const TaskRef& aRef);
std::optional<TaskRef>
FindTask(SchedulerState& aState, const TaskName& aName);
TaskName
NameOf(const TaskRef& aRef);
/// Returns a task that is not done to the phase Waiting and frees its capacity on the worker.
void
SetWaiting(SchedulerState& aState, const TaskRef& aRef, const CurrentTime& aNow);
/// Resources that a task of the step reserves; a best-effort task reserves no cores.
Common::Resources
ReservedBy(const StepSpec& aStep);
/// Puts the task on the worker in the given phase and reserves its resources there.
void
AssignToWorker(SchedulerState& aState,
               const TaskRef& aRef,
               WorkerNumber aWorker,
               TaskPhase aPhase,
               const CurrentTime& aNow);
/// Removes the task from its worker without changing its phase.
void
DetachFromWorker(SchedulerState& aState, const TaskRef& aRef);
/// Assigns the order a number and queues it for the caller.
void
AddOrder(SchedulerState& aState, Order aOrder);
void
OrderStop(SchedulerState& aState,
          const WorkerLifetime& aLifetime,
          const TaskName& aTask,
          RunNumber aRun);
/// Marks the record of the job to be written. aWriteAtOnce asks for a write without delay, because
/// a caller waits for it.
void
MarkDirty(SchedulerState& aState, Job& aJob, bool aWriteAtOnce);
/// Marks the job as running, because a worker has begun one of its tasks.
void
MarkJobStarted(SchedulerState& aState, Job& aJob);
/// Marks the task done, and its step, occurrence and job if it was the last one.
void
MarkTaskDone(SchedulerState& aState, const TaskRef& aRef, const CurrentTime& aNow);
/// Stops all runs of the job.
void
StopJobRuns(SchedulerState& aState, Job& aJob, const CurrentTime& aNow);
/// True if there is a usable ticket for the step on the worker.
bool
HasTicket(const Step& aStep, WorkerNumber aWorker, const CurrentTime& aNow);
/// True if the advice service has denied the step this worker.
bool
IsDenied(const Step& aStep, WorkerNumber aWorker);
/// Requests advice on the step of aFirstTask for the workers, best first, unless a request is open
/// or no agent is free.
void
RequestAdvice(SchedulerState& aState,
              const TaskRef& aFirstTask,
              const AdviceTimes& aTimes,
              std::span<const WorkerNumber> aWorkers,
              const CurrentTime& aNow);
/// Abandons requests that were not answered in time.
void
ExpireAdviceRequests(SchedulerState& aState, const CurrentTime& aNow);
/// Records whether a run on the worker failed, and quarantines a worker that fails tasks of several
/// jobs.
void
RecordRunEnd(SchedulerState& aState,
             Worker& aWorker,
             const Common::JobId& aJob,
             bool aFailed,
             const CurrentTime& aNow);
/// Ends the job as failed and stops its runs. aReason goes to the log.
void
FailJob(SchedulerState& aState, Job& aJob, std::string_view aReason, const CurrentTime& aNow);
/// Counts the crash against its suspects and fails the jobs whose tasks crash their workers.
void
CountCrash(SchedulerState& aState,
           const Common::InstanceId& aAgent,
           const EndedLifetime& aEnded,
           const CurrentTime& aNow);
/// Drops the crashes of which the task is suspected.
void
ForgetCrashes(SchedulerState& aState, const TaskRef& aRef);
/// Records that the present run of the task has outlived its time as a suspect.
void
MarkHarmless(SchedulerState& aState, const TaskRef& aRef);
/// True if the next run of the task has to be a trial: alone among the recent starts on its worker,
/// so that a crash shows whether the task causes it.
bool
NeedsTrial(const TaskRef& aRef);
/// True if one more task may be on trial in the pool.
bool
AllowsTrial(const SchedulerState& aState,
            const Common::PoolId& aPool,
            const TaskRef& aRef,
            const CurrentTime& aNow);
/// True if no other start on the worker is recent enough to be a suspect as well.
bool
CanHostTrial(const SchedulerState& aState,
             const Worker& aWorker,
             const TaskRef& aRef,
             const CurrentTime& aNow);
/// True if a task is on trial on the worker, so that others have to start elsewhere.
bool
HostsTrial(const SchedulerState& aState, const Worker& aWorker, const CurrentTime& aNow);
/// Cost of a trial on the worker; lower is better.
double
TrialCost(const SchedulerState& aState,
          const Worker& aWorker,
          const Task& aTask,
          const CurrentTime& aNow);
/// True while tasks of recovered jobs may run on a recorded worker that has not reported in this
/// term.
bool
AwaitsRecordedWorkers(const SchedulerState& aState, const CurrentTime& aNow);
/// Recorded workers that have not reported in this term and may still run tasks.
struct AwaitedWorkers
{
  std::size_t mCount = 0;
  /// When the last of their leases ends.
  Timestamp mLeaseEnd;
};
AwaitedWorkers
RecordedWorkersAwaited(const SchedulerState& aState, const CurrentTime& aNow);
/// To be called when the agent may have extended the leases of its workers up to aLeaseEnd.
void
NoteExtendedLeases(SchedulerState& aState, const Common::InstanceId& aAgent, Timestamp aLeaseEnd);
/// To be called when it becomes known that no lease of an awaited worker ends later than aLeaseEnd.
void
LimitAwaitedLeases(SchedulerState& aState, Timestamp aLeaseEnd, const CurrentTime& aNow);
/// True if the tasks with tail-latency targets on the worker stay within them when aCores more run
/// this image.
bool
AddedPressureFits(const SchedulerState& aState,
                  const Worker& aWorker,
                  const std::string& aImage,
                  double aCores);
/// True if all tail latencies on the worker are well below their targets and no forced placement
/// was made there recently.
bool
HasTailHeadroom(const SchedulerState& aState, const Worker& aWorker, const CurrentTime& aNow);
/// Sum of the pressures that aCores of this image add to the tasks with targets on the worker.
double
AddedPressure(const SchedulerState& aState,
              const Worker& aWorker,
              const std::string& aImage,
              double aCores);
/// True if a worker other than the task's own has capacity for it and its long-running tasks stay
/// within their targets.
bool
FitsOnAnotherWorker(const SchedulerState& aState, const TaskRef& aTask, const CurrentTime& aNow);
/// Expected core-seconds of one occurrence of the job.
double
ExpectedWork(const SchedulerState& aState, const Job& aJob);
/// Expected run time of a task of the step on a healthy worker.
Duration
ExpectedRunTime(const SchedulerState& aState, const Job& aJob, std::uint32_t aStep);

} // namespace Scheduling
