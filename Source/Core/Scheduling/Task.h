#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Scheduling/Model.h"

namespace Scheduling {

/// Index in SchedulerState::mWorkers.
using WorkerNumber = std::uint32_t;
constexpr WorkerNumber kNoWorker = UINT32_MAX;

enum class TaskPhase : std::uint8_t
{
  Waiting,
  /// A start was ordered and has not been confirmed.
  Starting,
  Running,
  /// A stop was ordered. The run is over once the worker lists its end, or once it answered the
  /// stop and no longer lists the run.
  Stopping,
  Done,
};

struct Task
{
  TaskPhase mPhase = TaskPhase::Waiting;
  /// Highest run number used.
  RunNumber mRun;
  /// Failed runs. Their numbers identify a failure that is reported again, to this or to the next
  /// coordinator.
  std::vector<RunNumber> mFailedRuns;
  WorkerNumber mWorker = kNoWorker;
  /// Worker of the last failed run; other workers are preferred.
  WorkerNumber mAvoidedWorker = kNoWorker;
  /// Crashes since the last run that outlived its time as a CrashSuspect.
  std::vector<SuspectedCrash> mCrashes;
  /// As in TaskProgress.
  RunNumber mClearedRun;
  /// The change of the job with the last crash. The task does not start before it is in the store,
  /// so that no coordinator counts fewer crashes.
  std::uint64_t mCrashChange = 0;
  /// A run of the task has outlived its time as a CrashSuspect.
  bool mIsHarmless = false;
  std::string mCheckpoint;
  /// Progress of the run.
  Percent mPercent;
  /// Speed limit that the worker confirmed, and the one ordered last; 100 is full speed.
  Percent mSpeed{ 100 };
  Percent mOrderedSpeed{ 100 };
  /// False if an order without a certain result, or one of an earlier coordinator, may have changed
  /// the speed.
  bool mSpeedIsKnown = true;
  /// As in RunningTask.
  std::int64_t mUsage = 0;
  /// Time of the start order, or the time since which the task waits.
  Timestamp mPhaseSince;
  /// Last time that mPercent increased.
  Timestamp mProgressedAt;
  /// Time of the first list of the worker that should have contained the run and did not, and the
  /// number of such lists.
  Timestamp mMissingSince;
  std::uint32_t mMissingLists = 0;
  Timestamp mStopOrdered;
  /// Time at which the worker answered the stop of a run that it did not list.
  Timestamp mStopAnswered;
  /// The worker has listed the current run.
  bool mListedByWorker = false;
  /// Time since which its tail latency exceeds the target.
  Timestamp mOverTargetSince;
  /// Time since which its speed is 0.
  Timestamp mPausedSince;
};

/// The tasks of a step. Tasks that were never started and tasks that are done share one object
/// each, so that the memory grows with the tasks that run and not with the width of the step.
class TaskTable
{
public:
  TaskTable() = default;
  /// aNew is the state of the tasks that were never started.
  TaskTable(std::uint32_t aSize, std::shared_ptr<const Task> aNew);

  std::uint32_t size() const { return mSize; }
  /// The reference may be to a shared object, and it is valid until the next change of the task.
  const Task& at(std::uint32_t aIndex) const;
  /// The task's own object. Use setPhase() to change the phase from or to Waiting or Done.
  Task& operator[](std::uint32_t aIndex);
  /// The tasks with objects of their own, by index.
  const std::map<std::uint32_t, Task>& own() const { return mOwn; }
  std::map<std::uint32_t, Task>& own() { return mOwn; }
  /// First waiting task from the index on; size() if there is none.
  std::uint32_t nextWaiting(std::uint32_t aFrom) const;
  /// A task that is done keeps only the time of its last stop order. References to it are no longer
  /// valid.
  void setPhase(std::uint32_t aIndex, TaskPhase aPhase);
  /// Drops the task's own object if it waits and has nothing to remember.
  void dropIfNew(std::uint32_t aIndex);
  /// All tasks are done. Those with a stop order keep its time, so that it is not repeated early.
  void finish();

private:
  bool isBusyOrDone(std::uint32_t aIndex) const;

  std::uint32_t mSize = 0;
  bool mFinished = false;
  std::shared_ptr<const Task> mNew;
  /// One bit for each task that does not wait; empty before the first of them.
  std::vector<std::uint64_t> mBusyOrDone;
  std::map<std::uint32_t, Task> mOwn;
};

} // namespace Scheduling
