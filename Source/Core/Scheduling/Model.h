#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"

/// Jobs made of steps, placed on the workers of a pool by one coordinator.
namespace Scheduling {

using Common::Duration;
using Common::Timestamp;

/// Number of one start of a task. It rises across coordinators, so that a worker can tell a late
/// start from a new one.
using RunNumber = Common::Quantity<struct RunTag>;
/// Number of an end in the list of one lifetime of a worker.
using EndNumber = Common::Quantity<struct EndTag>;
/// Unix milliseconds of the start of a worker's lifetime.
using LifetimeStart = Common::Quantity<struct LifetimeStartTag>;
using Percent = Common::Quantity<struct PercentTag>;

struct TaskName
{
  Common::JobId mJob;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  auto operator<=>(const TaskName&) const = default;
};

/// One lifetime of a worker.
struct WorkerLifetime
{
  Common::WorkerId mWorker;
  LifetimeStart mStartedAt;
  auto operator<=>(const WorkerLifetime&) const = default;
};

/// Tasks of a job that start together once the steps that they follow are done.
struct StepSpec
{
  std::uint32_t mTaskCount = 1;
  Common::Resources mNeed;
  /// Rough run time of one task; 0 if not declared.
  Duration mEstimatedRunTime{ 0 };
  std::vector<std::uint32_t> mDependencies;
  bool mCheckpoints = false;
  /// The tasks only work while all of them are there.
  bool mGang = false;
  bool mSameRack = false;
  /// Label that the worker must have; "" for none.
  std::string mLabel;
  /// Rack that holds the input; "" for none.
  std::string mDataRack;
  /// 0 means no limit.
  std::uint32_t mMaxPerWorker = 0;
  /// Copies of a task may run side by side.
  bool mSpeculative = false;
  /// The tasks run until the job is cancelled.
  bool mLongRunning = false;
  std::string mImage;
  /// Upper bound of the tail latency that the task's own users may see; 0 for none.
  Duration mTailLatencyTarget{ 0 };
  /// The processor need is not reserved; the tasks use what others leave.
  bool mBestEffort = false;
  /// Tasks of a lasting step that the scheduler itself may keep away at one time.
  std::uint32_t mMaxUnavailable = 0;
};

struct JobSpec
{
  Common::JobId mJob;
  Common::RouteId mQueue;
  std::string mPayload;
  std::vector<StepSpec> mSteps;
  /// Number of times that the steps run; 0 for a job without due times, which runs once.
  std::uint32_t mRepeats = 0;
  Common::UnixMillis mFirstRun{ 0 };
  Common::UnixMillis mInterval{ 0 };
  Common::UnixMillis mAccepted{ 0 };
};

/// How the service answers that says which workers may run a step, and for how long.
struct AdviceTimes
{
  /// Time of one answer, and what each worker that the request names adds to it.
  Duration mDecisionTime{ 0 };
  Duration mTimePerWorker{ 0 };
  /// Lifetime of a ticket.
  Duration mTicketLifetime{ 0 };
};

/// What the routes table says about the jobs of one queue.
struct QueueSpec
{
  Common::RouteId mName;
  Common::PoolId mPool;
  /// 0 comes first.
  std::int32_t mPriority = 0;
  std::uint32_t mMaxAttempts = 1;
  /// A job should end within its longest chain times this, plus mSlack.
  double mStretchFactor = 1.0;
  Duration mSlack{ 0 };
  /// Set if a start needs a ticket of the advice service.
  std::optional<AdviceTimes> mAdvice = std::nullopt;
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
  /// Through its own fault or the worker's.
  Failed = 2,
  Stopped = 3,
  /// Its lease ran out.
  LeaseExpired = 4,
  /// Another member of its gang ended.
  GangMemberEnded = 5,
  /// The other members of its gang did not come.
  GangIncomplete = 6,
  /// An end that this version does not know.
  Other = 7,
};

struct RunningTask
{
  TaskName mTask;
  RunNumber mRun;
  std::string mCheckpoint;
  Percent mPercent;
  /// Tail latency in ms of a task with a tail target, else millicores in use.
  std::int64_t mUsage = 0;
};

struct EndedTask
{
  EndNumber mNumber;
  TaskName mTask;
  RunNumber mRun;
  EndKind mKind = EndKind::Other;
  std::string mCheckpoint;
};

/// What an agent says of one worker.
struct WorkerView
{
  WorkerLifetime mLifetime;
  /// Where the worker takes calls. One lifetime at a time has an address.
  std::string mAddress;
  Common::PoolId mPool;
  Common::DataCentreId mDataCentre;
  Common::RackId mRack;
  std::vector<std::string> mLabels;
  Common::Resources mCapacity;
  bool mLeaving = false;
  Duration mRemaining{ 0 };
  bool mResponding = true;
  /// The worker has answered with its lists in this lifetime.
  bool mHasTaskList = false;
  /// Rises with each list that the worker gave.
  std::uint64_t mTaskListNumber = 0;
  /// Longest time until everything on the worker ends if its lease is not extended.
  Duration mLeaseRemaining{ 0 };
  std::vector<RunningTask> mRunning;
  std::vector<EndedTask> mEnded;
};

enum class OrderKind : std::uint8_t
{
  Start = 1,
  Stop = 2,
  Throttle = 3,
};

enum class OrderResult : std::uint8_t
{
  Done = 1,
  /// The worker has no room.
  NoCapacity = 2,
  /// The run is not higher than one that ended or was stopped there.
  StaleRun = 3,
  /// The lease would have ended already.
  LeaseExpired = 4,
  /// A coordinator with a higher term gave orders.
  Fenced = 5,
  /// The worker turned the call away without acting on it.
  Unhealthy = 6,
  /// The worker does not accept the order's contents.
  Invalid = 7,
  /// No answer; it may have been or may still be carried out.
  Unknown = 8,
  /// That lifetime has ended.
  LifetimeEnded = 9,
  /// The worker is leaving, or the agent has no valid lease for it; nothing was sent.
  NotSent = 10,
  /// The ticket is missing or has expired.
  TicketRejected = 11,
};

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
};

/// Asks which of some workers may run a step. An agent carries it to the advice service.
struct AdviceRequest
{
  std::int64_t mNumber = 0;
  /// The index is 0.
  TaskName mStep;
  Common::InstanceId mAgent;
  std::vector<WorkerLifetime> mWorkers;
  /// The service has answered by then.
  Timestamp mDeadline;
};

struct Grant
{
  Common::WorkerId mWorker;
  std::string mTicket;
};

/// The answer to a request; workers that it does not name may not run the step.
struct Advice
{
  std::vector<Grant> mGrants;
  /// Lifetime of the tickets; 0 if the answer does not say.
  Duration mTicketLifetime{ 0 };
};

/// One step of one occurrence in a progress record; tasks that are not named neither ended nor
/// failed.
struct TaskProgress
{
  std::uint32_t mIndex = 0;
  bool mDone = false;
  std::vector<RunNumber> mFailedRuns;
  std::string mCheckpoint;
};

struct StepProgress
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  bool mDone = false;
  std::vector<TaskProgress> mTasks;
};

/// What must survive the coordinator about one job.
struct Progress
{
  JobState mState = JobState::Queued;
  std::vector<StepProgress> mSteps;
  Common::UnixMillis mEndedAt{ 0 };
};

} // namespace Scheduling
