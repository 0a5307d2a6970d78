#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Scheduling/Model.h"
#include "Scheduling/TailInterference.h"

namespace Scheduling {

using WorkerNumber = std::uint32_t;
constexpr WorkerNumber kNoWorker = UINT32_MAX;

enum class TaskPhase : std::uint8_t
{
  Waiting,
  /// A start was ordered and is not confirmed.
  Starting,
  Running,
  /// A stop was ordered; the run ends when the worker lists its end or answers the stop.
  Stopping,
  Done,
};

struct Task
{
  TaskPhase mPhase = TaskPhase::Waiting;
  /// Last run number used.
  RunNumber mRun;
  /// Runs that ended failed. Their numbers tell an end that is reported again, to this or to the
  /// next coordinator, from a new one.
  std::vector<RunNumber> mFailedRuns;
  WorkerNumber mWorker = kNoWorker;
  /// Worker of the last failed run; another one is preferred.
  WorkerNumber mAvoidedWorker = kNoWorker;
  std::string mCheckpoint;
  Percent mPercent;
  Percent mSpeed{ 100 };
  Percent mOrderedSpeed{ 100 };
  std::int64_t mUsage = 0;
  /// Time of the start order, or since when it waits.
  Timestamp mPhaseSince;
  /// Last time that mPercent rose.
  Timestamp mProgressedAt;
  /// First list of its worker that should have named the run and did not, and how many there were.
  Timestamp mMissingSince;
  std::uint32_t mMissingLists = 0;
  Timestamp mStopOrdered;
  /// When the worker answered the stop of a run that it did not list.
  Timestamp mStopAnswered;
  bool mListedByWorker = false;
  /// Estimated pressure of its own users, for a task with a tail target.
  double mOwnPressure = 0.4;
  /// Since when its tail latency is over its target.
  Timestamp mOverTargetSince;
  /// Since when it stands at pace 0.
  Timestamp mPausedSince;
};

/// What the advice service said of a step and one lifetime of a worker.
struct Ticket
{
  /// "" if the worker may not run the step, which does not change.
  std::string mText;
  Timestamp mUsableUntil;
};

struct Step
{
  std::vector<Task> mTasks;
  std::uint32_t mDoneTasks = 0;
  bool mEnded = false;
  /// Tasks in phase Waiting.
  std::uint32_t mWaitingTasks = 0;
  std::map<WorkerNumber, Ticket> mTickets;
  /// A request about the step has no answer yet.
  bool mAdviceRequested = false;
};

struct Occurrence
{
  std::uint32_t mNumber = 0;
  std::vector<Step> mSteps;
  std::uint32_t mStepsEnded = 0;
};

struct Job
{
  JobSpec mSpec;
  JobState mState = JobState::Queued;
  /// The last state that is in the store; only this one is shown to callers.
  JobState mDurableState = JobState::Queued;
  std::map<std::uint32_t, Occurrence> mOccurrences;
  std::uint32_t mOccurrencesEnded = 0;
  Timestamp mArrived;
  /// An earlier coordinator may have started its tasks on a worker that has not reported yet; until
  /// then they are held back.
  bool mRecovered = false;
  Common::UnixMillis mEndedAt{ 0 };
  bool mStarted = false;
  /// Somebody waits for the record, so that it is written at once.
  bool mWriteAtOnce = false;
};

struct TaskRef
{
  Job* mJob = nullptr;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  auto operator<=>(const TaskRef&) const = default;
};

struct WorkerHealth
{
  /// Ends of the last runs, oldest first: the job and whether it failed.
  std::deque<std::pair<Common::JobId, bool>> mRecentEnds;
  Timestamp mQuarantinedUntil;
  Duration mQuarantineTime{ 0 };
};

struct Worker
{
  WorkerLifetime mLifetime;
  Common::InstanceId mAgent;
  std::string mAddress;
  Common::PoolId mPool;
  Common::DataCentreId mDataCentre;
  Common::RackId mRack;
  std::vector<std::string> mLabels;
  Common::Resources mCapacity;
  bool mLeaving = false;
  bool mResponding = true;
  bool mHasTaskList = false;
  std::uint64_t mTaskListNumber = 0;
  /// The agent reports to this coordinator.
  bool mConnected = false;
  /// The record that names this lifetime is in the store, so that a later coordinator waits for it.
  bool mRecorded = false;
  /// The lifetime is known to have ended; it never comes back.
  bool mGone = false;
  /// Everything on the worker has ended by then, unless the lease is extended.
  Timestamp mLeaseEnd;
  Common::Resources mUsed;
  /// Part of mUsed that lasting tasks reserve.
  Common::MilliCores mLongRunningReserved;
  /// Processor use that fills are expected to make.
  Common::MilliCores mBestEffortCores;
  std::set<TaskRef> mTasks;
  EndNumber mLastHandledEnd;
  EndNumber mLastAcknowledgedEnd;
  WorkerHealth mHealth;
  Timestamp mNoCapacityUntil;
  Timestamp mThrottledAt;
  /// Last start of a task of a starved job, which may disturb.
  Timestamp mForcedPlacementAt;
  /// Last start, end or change of pace of a task that fills.
  Timestamp mNeighboursChangedAt;
  /// A list arrived since the last change of pace was considered.
  bool mHasNewUsage = false;
};

/// Learned run times of the tasks of one queue and image.
struct RunTimeEstimate
{
  double mRatio = 1.0;
  std::uint32_t mSamples = 0;
};

struct Policy
{
  /// Lists without a run from which it counts as missing; the first may be older than its start.
  std::uint32_t mMissingLists = 3;
  /// A worker that lists no trace of a run for this long after its start was confirmed is asked to
  /// stop it, after which the task may run elsewhere. Three report periods.
  Duration mMissingTime{ std::chrono::milliseconds(1500) };
  /// A start without a result for this long is settled by a stop. Agents answer after three calls
  /// of 0.7 s, and orders are repeated after a lost connection.
  Duration mStartTimeout{ std::chrono::milliseconds(4000) };
  /// An unanswered stop is ordered again after this time; agents retry within it.
  Duration mStopRetryInterval{ std::chrono::milliseconds(1000) };
  /// Time after an answered stop in which lists may still be from before it: a report period, the
  /// worker's time to stop and the way to the coordinator.
  Duration mStopSettleTime{ std::chrono::milliseconds(1500) };
  /// A run whose percent stands still this long beyond its expected time per percent is restarted.
  Duration mStallTime{ std::chrono::milliseconds(2500) };
  /// Runs whose ends are kept to judge a worker.
  std::size_t mHealthWindow = 8;
  /// First time that a worker which fails everything gets no tasks; doubled up to the maximum.
  Duration mMinQuarantine{ std::chrono::seconds(3) };
  Duration mMaxQuarantine{ std::chrono::seconds(20) };
  /// A worker that rejected a start for room gets none for this time, in which the list that
  /// explains it arrives.
  Duration mNoCapacityPause{ std::chrono::milliseconds(250) };
  /// Part of a task's tail target at which the tasks that fill beside it are slowed.
  double mThrottleTailFactor = 1.0;
  /// Part of the target that placement and pace aim below.
  double mMaxTailFactor = 1.3;
  /// Time between two changes of pace on one worker; the figures cover the last half second.
  Duration mThrottleInterval{ std::chrono::milliseconds(600) };
  /// Time after a change from which the figures show it alone.
  Duration mUsageLag{ std::chrono::milliseconds(600) };
  /// Time over the target after which everything that fills on the worker is stopped from working.
  Duration mMaxTimeOverTarget{ std::chrono::milliseconds(1500) };
  /// Part of their reservation that lasting tasks leave to fills.
  double mIdleReservedShare = 0.6;
  /// A job that fills and has nothing running for this long gets a task placed although lasting
  /// tasks may not bear it; pace holds it back there.
  Duration mStarvedAfter{ std::chrono::milliseconds(1200) };
  /// Such a task goes to a worker whose tails are below this part of their targets, and not to one
  /// that had another within this time, in which pace has settled.
  double mHeadroomTailFactor = 0.8;
  Duration mForcedPlacementPause{ std::chrono::milliseconds(5000) };
  /// Time after which a task that fills is moved if it stands at pace 0.
  Duration mMoveAfterPause{ std::chrono::milliseconds(2000) };
  /// Workers that one request names at most; the advice service takes a hundred.
  std::size_t mMaxWorkersPerRequest = 100;
  /// Workers that a request names at least, if there are as many.
  std::size_t mMinWorkersPerRequest = 12;
  /// Steps at the head of the order that are asked about before there is room for them.
  std::uint32_t mStepsRequestedAhead = 4;
  /// Time on top of the service's own after which a request is given up: two messages between
  /// regions, and a call that an earlier coordinator has left at the service.
  Duration mAdviceTimeoutSlack{ std::chrono::milliseconds(1200) };
  /// An agent whose request was not answered gets none for this time.
  Duration mAdvicePause{ std::chrono::milliseconds(1000) };
  /// A ticket is used until this long before it ends, which covers the way of the start; at most a
  /// quarter of its lifetime.
  Duration mTicketMargin{ std::chrono::milliseconds(250) };
};

struct Counters
{
  std::uint64_t mStarts = 0;
  std::uint64_t mRoomRejections = 0;
  std::uint64_t mLostRuns = 0;
  std::uint64_t mFailedRuns = 0;
  std::uint64_t mQuarantines = 0;
  std::uint64_t mStalls = 0;
  std::uint64_t mThrottleOrders = 0;
  std::uint64_t mBestEffortMoves = 0;
  std::uint64_t mAdviceRequests = 0;
  std::uint64_t mTicketRejections = 0;
};

/// A belief that changed; the caller writes it to the log.
struct LogEntry
{
  std::string mText;
  Common::JobId mJob;
  std::string mDetail;
};

/// SchedulerState of one term of a coordinator. Only the functions of Schedule.h change it.
struct SchedulerState
{
  Policy mPolicy;
  /// Run numbers of this term lie above this.
  RunNumber mRunBase;
  std::unordered_map<Common::RouteId, QueueSpec> mQueues;
  /// Jobs by id; addresses are stable, because TaskRef points to them.
  std::unordered_map<Common::JobId, std::unique_ptr<Job>> mJobs;
  std::vector<Worker> mWorkers;
  std::map<WorkerLifetime, WorkerNumber> mWorkerIndex;
  /// Jobs that are not ended.
  std::set<Job*> mOpenJobs;
  /// Jobs whose record must be written.
  std::set<Job*> mDirtyJobs;
  std::vector<Order> mOrders;
  std::vector<LogEntry> mLogEntries;
  std::int64_t mNextOrder = 1;
  /// Orders that have no result yet.
  std::unordered_map<std::int64_t, Order> mOutstandingOrders;
  std::map<std::pair<Common::RouteId, std::string>, RunTimeEstimate> mRunTimes;
  /// Questions to hand out.
  std::vector<AdviceRequest> mAdviceRequests;
  std::int64_t mNextAdviceRequest = 1;
  std::map<std::int64_t, AdviceRequest> mOpenAdviceRequests;
  /// Agents that are asked again only after this time.
  std::map<Common::InstanceId, Timestamp> mAdvicePausedUntil;
  /// Learned share of the workers asked that may run a step.
  double mGrantedShare = 0.5;
  Counters mCounts;
  TailInterferenceModel mTailInterference;
};

} // namespace Scheduling
