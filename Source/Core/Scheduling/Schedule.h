#pragma once

#include <functional>
#include <optional>
#include <span>
#include <string>

#include "Scheduling/State.h"

/// The decisions of a coordinator: free functions that change SchedulerState and leave orders in
/// it. None of them does I/O; times are passed in.
namespace Scheduling {

struct Now
{
  Timestamp mTime;
  Common::UnixMillis mUnix{ 0 };
};

/// Limits of what one job may ask for; beyond them it is refused as invalid.
constexpr std::uint32_t kMaxSteps = 64;
constexpr std::uint32_t kMaxTasksPerJob = 10'000;
constexpr std::size_t kMaxPayloadBytes = 4'000;

/// Why the job can never run, or nothing.
std::optional<std::string>
ValidateJob(const JobSpec& aSpec);

/// Longest chain through the steps of one occurrence, where a step takes as long as aTimeOf says.
Duration
LongestChain(const JobSpec& aSpec, const std::function<Duration(std::uint32_t)>& aTimeOf);

/// Adds a job. aProgress is what an earlier coordinator recorded; nullptr for a job that no earlier
/// coordinator can have started. A job that is known already is left as it is.
Job&
AddJob(SchedulerState& aState,
       JobSpec aSpec,
       const Progress* aProgress,
       bool aRecovered,
       const Now& aNow);

/// No task of the job starts from now on; its runs are stopped.
void
CancelJob(SchedulerState& aState, Job& aJob, const Now& aNow);

/// Forgets an ended job. Runs of it that a worker still lists are stopped.
void
RemoveJob(SchedulerState& aState, const Common::JobId& aJob);

/// A worker that an earlier coordinator recorded. Until it reports or its lease ends, tasks of
/// recovered jobs may run there.
void
AddRecordedWorker(SchedulerState& aState,
                  const WorkerView& aView,
                  const Common::InstanceId& aAgent,
                  Timestamp aLeaseEnd);

/// What is known of the worker apart from its lists.
WorkerView
ViewOf(const Worker& aWorker);

/// Takes the report of an agent on its workers. aLeaseEnd is the latest time at which leases end
/// that the agent may extend after this report.
void
ApplyReport(SchedulerState& aState,
            const Common::InstanceId& aAgent,
            std::span<const WorkerView> aViews,
            std::span<const WorkerLifetime> aEndedLifetimes,
            Timestamp aLeaseEnd,
            const Now& aNow);

/// The connection to the agent is gone; its workers keep running until their leases end.
void
MarkAgentDisconnected(SchedulerState& aState, const Common::InstanceId& aAgent);

void
ApplyOrderResult(SchedulerState& aState, std::int64_t aOrder, OrderResult aResult, const Now& aNow);

/// Ends leases, retries stops and notices runs that are missing or stand still.
void
CheckTimeouts(SchedulerState& aState, const Now& aNow);

/// Starts what fits and is due.
void
PlaceTasks(SchedulerState& aState, const Now& aNow);

/// Takes the answer to a request; nothing if the service did not answer the agent.
void
ApplyAdvice(SchedulerState& aState,
            std::int64_t aRequest,
            const std::optional<Advice>& aAdvice,
            const Now& aNow);

/// Slows tasks that fill where a lasting task nears its tail target, and speeds them up again.
void
ThrottleTasks(SchedulerState& aState, const Now& aNow);

/// The record of the job as of now.
Progress
ProgressOf(const Job& aJob);

/// Accepted jobs of the queue without due times of which no task has started.
std::int64_t
PendingJobs(const SchedulerState& aState, const Common::RouteId& aQueue);

// Shared by the files of this library.

Step&
StepAt(const TaskRef& aRef);
Task&
TaskAt(const TaskRef& aRef);
const StepSpec&
StepSpecOf(const TaskRef& aRef);
std::optional<TaskRef>
FindTask(SchedulerState& aState, const TaskName& aName);
TaskName
NameOf(const TaskRef& aRef);
/// Gives the task the state Waiting and returns its room on the worker.
void
SetWaiting(SchedulerState& aState, const TaskRef& aRef, const Now& aNow);
void
AssignToWorker(SchedulerState& aState,
               const TaskRef& aRef,
               WorkerNumber aWorker,
               TaskPhase aPhase,
               const Now& aNow);
/// Takes the task off its worker, without a change of phase.
void
DetachFromWorker(SchedulerState& aState, const TaskRef& aRef);
/// Numbers the order and hands it out.
void
AddOrder(SchedulerState& aState, Order aOrder);
void
OrderStop(SchedulerState& aState,
          const WorkerLifetime& aLifetime,
          const TaskName& aTask,
          RunNumber aRun);
void
MarkDirty(SchedulerState& aState, Job& aJob, bool aWriteAtOnce);
/// A worker has begun a task of the job.
void
MarkJobStarted(SchedulerState& aState, Job& aJob);
/// Marks the task done and what follows from it for step and job.
void
MarkTaskDone(SchedulerState& aState, const TaskRef& aRef, const Now& aNow);
/// Stops everything of the job that runs.
void
StopJobRuns(SchedulerState& aState, Job& aJob, const Now& aNow);
/// True if the step may start on the worker by what the advice service said.
bool
HasTicket(const Step& aStep, WorkerNumber aWorker, const Now& aNow);
/// True if the service has denied the worker the step.
bool
IsDenied(const Step& aStep, WorkerNumber aWorker);
/// Asks about the step of its first task and the workers, best first, unless no agent is free.
void
RequestAdvice(SchedulerState& aState,
              const TaskRef& aFirstTask,
              const AdviceTimes& aTimes,
              std::span<const WorkerNumber> aWorkers,
              const Now& aNow);
/// Gives up questions that were not answered in time.
void
ExpireAdviceRequests(SchedulerState& aState, const Now& aNow);
/// Records how a run on the worker ended.
void
RecordRunEnd(SchedulerState& aState,
             Worker& aWorker,
             const Common::JobId& aJob,
             bool aFailed,
             const Now& aNow);
/// True while tasks of recovered jobs may run on a worker that did not report in this term.
bool
AwaitsRecordedWorkers(const SchedulerState& aState, const Now& aNow);
/// True if the tasks with tail targets on the worker bear aCores more of work with this image.
bool
AddedPressureFits(const SchedulerState& aState,
                  const Worker& aWorker,
                  const std::string& aImage,
                  double aCores);
/// True if all tails on the worker are well below their targets, and no task was forced on it of
/// late.
bool
HasTailHeadroom(const SchedulerState& aState, const Worker& aWorker, const Now& aNow);
/// Sum of the pressures that aCores of work with this image add to the tasks with targets there.
double
AddedPressure(const SchedulerState& aState,
              const Worker& aWorker,
              const std::string& aImage,
              double aCores);
/// True if a worker other than the task's own has room for it and bears its pressure.
bool
FitsOnAnotherWorker(const SchedulerState& aState, const TaskRef& aTask, const Now& aNow);
/// Run time that a task of the step is expected to take on a sound worker.
Duration
ExpectedRunTime(const SchedulerState& aState, const Job& aJob, std::uint32_t aStep);

} // namespace Scheduling
