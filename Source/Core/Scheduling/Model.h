#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"
#include "Scheduling/OccurrenceSet.h"

/// Scheduling of jobs by one coordinator. A job consists of steps, a step of tasks, and each task
/// runs on a worker of the queue's pool.
namespace Scheduling {

using Common::Duration;
using Common::Timestamp;

/// Number of a run, which is one attempt to execute a task. It increases across coordinators, so
/// that a worker can tell a delayed start from a new one.
using RunNumber = Common::Quantity<struct RunTag>;
/// Sequence number of an entry in the list of ended runs of one worker lifetime.
using EndNumber = Common::Quantity<struct EndTag>;
/// Start of a worker lifetime in Unix milliseconds.
using LifetimeStart = Common::Quantity<struct LifetimeStartTag>;
using Percent = Common::Quantity<struct PercentTag>;

/// Data centres in which no task may start, because the operator has evacuated them.
using EvacuatedDataCentres = std::set<Common::DataCentreId>;

/// Name of a task that is the same for all coordinators, agents and workers.
struct TaskName
{
  Common::JobId mJob;
  /// Repetition of the job's steps, counted from 0.
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  auto operator<=>(const TaskName&) const = default;
};

/// One lifetime of a worker, from its start to its exit or crash. A worker that starts again under
/// the same id has a new lifetime.
struct WorkerLifetime
{
  Common::WorkerId mWorker;
  LifetimeStart mStartedAt;
  auto operator<=>(const WorkerLifetime&) const = default;
};

/// Tasks of a job with equal requirements. They may start once the steps that they depend on have
/// ended.
struct StepSpec
{
  std::uint32_t mTaskCount = 1;
  Common::Resources mNeed;
  /// Run time of one task as declared by the caller; 0 if not declared.
  Duration mEstimatedRunTime{ 0 };
  std::vector<std::uint32_t> mDependencies;
  /// A task that is stopped continues from its last checkpoint in its next run.
  bool mCheckpoints = false;
  /// The tasks start together and can only make progress while all of them run.
  bool mGang = false;
  /// The gang is placed on one rack if one has capacity for it, otherwise on any racks.
  bool mSameRack = false;
  /// Label that the worker must have; "" if none is required.
  std::string mLabel;
  /// Rack that holds the input; other racks are less preferred. "" for no preference.
  std::string mDataRack;
  /// Highest number of tasks of the step on one worker; 0 for no limit.
  std::uint32_t mMaxPerWorker = 0;
  /// Copies of a task may run at the same time.
  bool mSpeculative = false;
  /// The tasks run until the job is cancelled.
  bool mLongRunning = false;
  std::string mImage;
  /// Highest tail latency that the clients of a long-running task should see; 0 for no target.
  Duration mTailLatencyTarget{ 0 };
  /// The processor need is not reserved; the tasks use cores that others leave idle and may be
  /// throttled.
  bool mBestEffort = false;
  /// Number of tasks of a long-running step that the scheduler itself may make unavailable at one
  /// time.
  std::uint32_t mMaxUnavailable = 0;
};

/// Timing of the advice service, which decides which workers may run a step and issues tickets for
/// them.
struct AdviceTimes
{
  /// Fixed time of one answer, and the time that each worker named in the request adds.
  Duration mDecisionTime{ 0 };
  Duration mTimePerWorker{ 0 };
  /// Lifetime of a ticket.
  Duration mTicketLifetime{ 0 };
};

/// Settings of one queue from the routes table.
struct QueueSpec
{
  Common::RouteId mName;
  Common::PoolId mPool;
  /// 0 is the most urgent.
  std::int32_t mPriority = 0;
  /// Number of failed runs of a task, or of all tasks of a gang, at which the job fails. Failed
  /// runs of long-running tasks do not count.
  std::uint32_t mMaxAttempts = 1;
  /// A job should end within its longest chain of steps multiplied by mStretchFactor, plus mSlack.
  double mStretchFactor = 1.0;
  Duration mSlack{ 0 };
  /// Set if starts need a ticket of the advice service.
  std::optional<AdviceTimes> mAdvice = std::nullopt;
};

struct JobSpec
{
  Common::JobId mJob;
  Common::RouteId mQueue;
  /// The queue as it was when the job was accepted. Holds while no tables with the queue are known;
  /// missing if an earlier version accepted the job.
  std::optional<QueueSpec> mAcceptedQueue;
  std::string mPayload;
  std::vector<StepSpec> mSteps;
  /// Number of times that the steps run; 0 for a job without a timetable, which runs once.
  std::uint32_t mRepeats = 0;
  /// Time at which occurrence 0 is due, and the time between two occurrences.
  Common::UnixMillis mFirstRun{ 0 };
  Common::UnixMillis mInterval{ 0 };
  Common::UnixMillis mAccepted{ 0 };
};

enum class JobState : std::uint8_t
{
  Queued = 0,
  Running = 1,
  Completed = 2,
  Failed = 3,
  Cancelled = 4,
};

std::string_view
StateText(JobState aState);

constexpr bool
HasEnded(JobState aState)
{
  return aState >= JobState::Completed;
}

enum class EndKind : std::uint8_t
{
  Done = 1,
  /// The run failed, because of the task or the worker.
  Failed = 2,
  Stopped = 3,
  /// The worker's lease expired.
  LeaseExpired = 4,
  /// Another task of its gang ended.
  GangMemberEnded = 5,
  /// The other tasks of its gang did not start.
  GangIncomplete = 6,
  /// A kind that this version does not know.
  Other = 7,
};

/// A run in the list of a worker.
struct RunningTask
{
  TaskName mTask;
  RunNumber mRun;
  std::string mCheckpoint;
  Percent mPercent;
  /// Tail latency in milliseconds for a task with a tail-latency target, otherwise processor use in
  /// millicores.
  std::int64_t mUsage = 0;
  /// The worker has not been heard of since the run could have ended it, as in CrashSuspect.
  bool mIsFresh = false;
};

/// An ended run in the list of a worker.
struct EndedTask
{
  EndNumber mNumber;
  TaskName mTask;
  RunNumber mRun;
  EndKind mKind = EndKind::Other;
  std::string mCheckpoint;
};

/// State of one worker as its agent reports it.
struct WorkerView
{
  WorkerLifetime mLifetime;
  /// Address on which the worker accepts calls. Only one lifetime at a time has a given address.
  std::string mAddress;
  Common::PoolId mPool;
  Common::DataCentreId mDataCentre;
  Common::RackId mRack;
  std::vector<std::string> mLabels;
  Common::Resources mCapacity;
  /// The pool, labels and capacity are those of an earlier lifetime, because this one has sent no
  /// heartbeat yet.
  bool mAwaitsHeartbeat = false;
  bool mLeaving = false;
  /// How much longer the worker runs tasks more slowly, because it has just been brought back; 0 if
  /// it is warm.
  Duration mColdRemaining{ 0 };
  /// Remaining time that the worker states in its heartbeat; no scheduling decision uses it.
  Duration mRemaining{ 0 };
  bool mResponding = true;
  /// The worker has sent its lists of running and ended tasks in this lifetime.
  bool mHasTaskList = false;
  /// Increases with each list that the worker sends.
  std::uint64_t mTaskListNumber = 0;
  /// Longest time until every run on the worker ends if its lease is not extended.
  Duration mLeaseRemaining{ 0 };
  std::vector<RunningTask> mRunning;
  /// The oldest ended runs that are not acknowledged.
  std::vector<EndedTask> mEnded;
  /// The worker may have more ended runs than it lists, so that a run in neither list may have
  /// ended in any way.
  bool mEndedListCut = false;
};

/// A run that may have ended its worker: its start was sent shortly before the worker was last
/// heard of, or later.
struct CrashSuspect
{
  TaskName mTask;
  RunNumber mRun;
  auto operator<=>(const CrashSuspect&) const = default;
};

/// A lifetime whose runs have all ended.
struct EndedLifetime
{
  WorkerLifetime mLifetime;
  bool mLeftByPlan = false;
  /// The runs that may have ended the worker; none if it left by plan.
  std::vector<CrashSuspect> mSuspects;
  /// A start without an answer, which the worker may have carried out late, may be the cause too.
  bool mMayBeLateStart = false;
};

enum class OrderKind : std::uint8_t
{
  Start = 1,
  Stop = 2,
  Throttle = 3,
};

std::string_view
KindText(OrderKind aKind);

enum class OrderResult : std::uint8_t
{
  Done = 1,
  /// The worker has no free capacity.
  NoCapacity = 2,
  /// The run number is not higher than that of a run of the task that already ended or was stopped
  /// there.
  StaleRun = 3,
  /// The lease given with the start has already expired.
  LeaseExpired = 4,
  /// The worker has received orders of a coordinator with a higher term.
  Fenced = 5,
  /// The worker refused the call without acting on it.
  Unhealthy = 6,
  /// The worker does not accept the contents of the order.
  Invalid = 7,
  /// No answer; the order may have been or may still be carried out.
  Unknown = 8,
  /// The worker lifetime has ended.
  LifetimeEnded = 9,
  /// The worker is leaving or the agent has no valid lease for it, so this agent process has sent
  /// nothing.
  NotSent = 10,
  /// The ticket is missing or has expired.
  TicketRejected = 11,
};

std::string_view
ResultText(OrderResult aResult);

/// What the result of the last attempt to start a run says about the run if an earlier attempt may
/// have been carried out, or may still be. Only Done, Unknown or LifetimeEnded.
OrderResult
ResultOfRepeatedStart(OrderResult aResult);

/// Formats a run for the log as "OCCURRENCE.STEP INDEX:RUN@WORKER".
std::string
DescribeRun(const TaskName& aTask, RunNumber aRun, const WorkerLifetime& aLifetime);

struct Order
{
  std::int64_t mNumber = 0;
  OrderKind mKind = OrderKind::Stop;
  WorkerLifetime mLifetime;
  TaskName mTask;
  RunNumber mRun;
  std::string mCheckpoint;
  Percent mPercent;
  std::string mTicket;
  /// The order was sent to the agent before, perhaps to an earlier process of it, and the result is
  /// not known.
  bool mRepeated = false;
  /// The agent reports at once when the run has outlived the time in which it is a CrashSuspect.
  bool mIsTrial = false;
};

/// Request to the advice service: which of these workers may run the step. An agent sends it.
struct AdviceRequest
{
  std::int64_t mNumber = 0;
  /// The step, named by its first task (index 0).
  TaskName mStep;
  Common::InstanceId mAgent;
  std::vector<WorkerLifetime> mWorkers;
  /// Time after which the request is abandoned.
  Timestamp mDeadline;
};

/// Permission to run a step on a worker.
struct Grant
{
  Common::WorkerId mWorker;
  std::string mTicket;
};

/// Answer of the advice service. Workers without a grant may not run the step.
struct Advice
{
  std::vector<Grant> mGrants;
  /// Lifetime of the tickets; 0 if the answer does not state it.
  Duration mTicketLifetime{ 0 };
};

/// Crash of a worker for which a run of the task is a suspect.
struct SuspectedCrash
{
  RunNumber mRun;
  /// The instance beside the worker; the worker's next lifetime may have another id.
  Common::InstanceId mInstance;
  /// No other run is a suspect, and the worker had not crashed shortly before either.
  bool mIsConclusive = false;
};

/// Progress of one task in a progress record. Tasks without an entry are not done, have no failed
/// runs, no checkpoint and no crashes.
struct TaskProgress
{
  std::uint32_t mIndex = 0;
  bool mDone = false;
  std::vector<RunNumber> mFailedRuns;
  std::string mCheckpoint;
  std::vector<SuspectedCrash> mCrashes;
  /// Crashes of runs up to this one are settled: a later run outlived its time as a suspect.
  RunNumber mClearedRun;
};

struct StepProgress
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  bool mDone = false;
  std::vector<TaskProgress> mTasks;
};

/// State of a job that is stored, so that the next coordinator can continue it.
struct Progress
{
  JobState mState = JobState::Queued;
  /// Occurrences whose steps have all ended; mSteps need not contain them.
  std::vector<OccurrenceRange> mEndedOccurrences;
  std::vector<StepProgress> mSteps;
  Common::UnixMillis mEndedAt{ 0 };
};

} // namespace Scheduling
