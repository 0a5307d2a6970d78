#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "Scheduling/Schedule.h"

/// Parts of a placement round, shared by the source files of this library.
namespace Scheduling {

struct NearPlaces;

struct ReadyStep
{
  Job* mJob = nullptr;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  OrderKey mSortKey;
  /// Core-seconds of the occurrence.
  double mWork = 0;
  /// No task of the occurrence is placed on a worker.
  bool mJobIsIdle = false;
};

/// The steps with tasks that may start, in the order in which they are placed. Creates the
/// occurrences of timetables that are due.
std::vector<ReadyStep>
ReadySteps(SchedulerState& aState, const CurrentTime& aNow);

/// Reference to the first task of the step.
TaskRef
FirstTask(const ReadyStep& aReady);

/// How long a best-effort job has had no running task.
enum class Starvation
{
  None,
  /// Long enough for a place beside tasks with room below their targets.
  Starved,
  /// Long enough for any place with the resources.
  Overdue,
};

/// Number of tasks of the step on the worker.
std::uint32_t
TasksOfStepOn(const Worker& aWorker,
              const Job* aJob,
              std::uint32_t aOccurrence,
              std::uint32_t aStep);

/// Millicores that best-effort tasks may still use on the worker.
std::int64_t
CoresLeftForBestEffort(const SchedulerState& aState, const Worker& aWorker);

/// True if the worker has cores left for the task and its long-running tasks stay within their
/// targets.
bool
BestEffortFits(const SchedulerState& aState, const Worker& aWorker, const StepSpec& aStep);

/// True if the worker is quarantined, or was and still has to prove that it is sound with the probe
/// that it runs.
bool
IsQuarantined(const Worker& aWorker, const CurrentTime& aNow);

/// True if the worker can run tasks of the step when it has free capacity.
bool
CanEverHost(const SchedulerState& aState,
            const Worker& aWorker,
            const StepSpec& aStep,
            const QueueSpec& aQueue);

/// How long the job of a waiting task has had no running task.
Starvation
StarvationOf(const SchedulerState& aState,
             const ReadyStep& aReady,
             const QueueSpec& aQueue,
             const Task& aTask,
             const CurrentTime& aNow);

/// True if the worker can run a task of the step now, apart from a quarantine.
bool
HasCapacityNow(const SchedulerState& aState,
               const Worker& aWorker,
               const ReadyStep& aReady,
               const QueueSpec& aQueue,
               Starvation aStarvation,
               const CurrentTime& aNow);

/// True if the worker can run a task of the step now.
bool
CanHostNow(const SchedulerState& aState,
           const Worker& aWorker,
           const ReadyStep& aReady,
           const QueueSpec& aQueue,
           Starvation aStarvation,
           const CurrentTime& aNow);

/// True if the worker can run a task of the step now while no other worker can.
bool
CanHostAsLastResort(const SchedulerState& aState,
                    const Worker& aWorker,
                    const ReadyStep& aReady,
                    const QueueSpec& aQueue,
                    const CurrentTime& aNow);

/// True if a worker that has no room for a task of the step has none for those of the job's other
/// occurrences either.
bool
HasUniformNeeds(const ReadyStep& aReady, const QueueSpec& aQueue);

struct LabelCapacity
{
  std::int64_t mCapacity = 0;
  std::int64_t mUsed = 0;
};

/// Millicores of the workers with each label, apart from labels that name a rack.
std::map<std::string, LabelCapacity>
CapacityByLabel(const SchedulerState& aState);

/// Cost of placing the task on the worker; lower is better.
double
PlacementCost(const SchedulerState& aState,
              const std::map<std::string, LabelCapacity>& aLabelCapacities,
              const Worker& aWorker,
              const ReadyStep& aReady,
              const Task& aTask,
              WorkerNumber aNumber,
              const CurrentTime& aNow);

/// The worker with the lowest cost that can run the task now, in the rack if one is given;
/// kNoWorker if there is none.
WorkerNumber
BestWorker(const SchedulerState& aState,
           const ReadyStep& aReady,
           const QueueSpec& aQueue,
           std::uint32_t aIndex,
           const std::string& aRack,
           const CurrentTime& aNow);

/// To be called once the task has been assigned to a worker.
void
ChargeStart(const SchedulerState& aState, const TaskRef& aRef, StartBudget* aBudget);

/// Orders the start of the run on the worker that the task has been assigned to.
void
OrderStart(SchedulerState& aState, const TaskRef& aRef, RunNumber aRun, const CurrentTime& aNow);

/// Starts all tasks of a gang or none. Returns false if there is no room for them; a gang that
/// waits for one rack has room.
bool
PlaceGang(SchedulerState& aState,
          NearPlaces& aPlaces,
          const ReadyStep& aReady,
          const QueueSpec& aQueue,
          StartBudget* aBudget,
          const CurrentTime& aNow);

} // namespace Scheduling
