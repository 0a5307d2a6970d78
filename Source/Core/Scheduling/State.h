#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Scheduling/JobOrder.h"
#include "Scheduling/Model.h"
#include "Scheduling/TailInterference.h"
#include "Scheduling/Task.h"

namespace Scheduling {

/// Progress of a long-running task that is at work.
constexpr Percent kServingPercent{ 100 };

/// Answer of the advice service for a step and one worker lifetime.
struct Ticket
{
  /// "" if the worker may not run the step; such an answer is final.
  std::string mText;
  Timestamp mUsableUntil;
};

struct Step
{
  TaskTable mTasks;
  std::uint32_t mDoneTasks = 0;
  bool mEnded = false;
  /// Number of tasks in phase Waiting.
  std::uint32_t mWaitingTasks = 0;
  std::map<WorkerNumber, Ticket> mTickets;
  /// A request about the step is open.
  bool mAdviceRequested = false;
  /// Load of the clients of a long-running step.
  ServedLoad mServedLoad;
  /// Time of the last log entry that says that its tasks wait for quarantined workers.
  Timestamp mQuarantineLoggedAt;
  /// Time at which its tasks first waited for a place near their data although others were free.
  Timestamp mPlaceWaitSince;
  /// Time of the last log entry that says so.
  Timestamp mPlaceWaitLoggedAt;
};

/// One repetition of the steps of a job.
struct Occurrence
{
  std::uint32_t mNumber = 0;
  std::vector<Step> mSteps;
  std::uint32_t mStepsEnded = 0;

  bool hasEnded() const { return mStepsEnded == mSteps.size(); }
};

struct Job
{
  JobSpec mSpec;
  JobState mState = JobState::Queued;
  /// Last state that was written to the store; only this one is shown to callers.
  JobState mDurableState = JobState::Queued;
  /// The occurrences that are at work or wait for it, by number. An ended one is dropped in a later
  /// placement round if the job has a timetable.
  std::map<std::uint32_t, Occurrence> mOccurrences;
  OccurrenceSet mEndedOccurrences;
  /// All occurrences before this one were created or have ended.
  std::uint32_t mNextOccurrence = 0;
  /// Number of tasks with suspected crashes.
  std::uint32_t mSuspectTasks = 0;
  Timestamp mArrived;
  /// An earlier coordinator may have started its tasks on a worker that has not reported yet. Until
  /// all such workers report or their leases expire, no task of the job starts.
  bool mRecovered = false;
  Common::UnixMillis mEndedAt{ 0 };
  bool mStarted = false;
  /// A caller waits for the record, so it is written without delay.
  bool mWriteAtOnce = false;
  /// Numbers of SchedulerState::mLastChange: of the last change to the record, of the last one that
  /// is in the store, and of the first one since the record was last put into a write.
  std::uint64_t mLastChange = 0;
  std::uint64_t mDurableChange = 0;
  std::uint64_t mFirstUnwrittenChange = 0;
};

/// Reference to a task in the state.
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
  /// Latest ended runs, oldest first: the job, and whether the run failed.
  std::deque<std::pair<Common::JobId, bool>> mRecentEnds;
  Timestamp mQuarantinedUntil;
  /// Length of the last quarantine; 0 once the worker has proved to be sound.
  Duration mQuarantineTime{ 0 };
  Timestamp mLastFailure;
  Timestamp mLastStart;
};

/// A run that is being stopped and is not the current run of its task, for example because another
/// run is done. It occupies the worker until it ends.
struct SupersededRun
{
  TaskName mTask;
  RunNumber mRun;
  Common::Resources mReserved;
  Timestamp mStopOrdered;
  /// Time at which the worker answered the stop.
  Timestamp mStopAnswered;
};

/// An end that waits for the record of its job.
struct UnrecordedEnd
{
  EndNumber mNumber;
  Common::JobId mJob;
  /// The change of the job that has to be in the store.
  std::uint64_t mChange = 0;
  Timestamp mHandledAt;
};

/// How much pressure best-effort tasks may add to a long-running task with a tail-latency target.
struct TailRoom
{
  /// Image of the long-running task.
  const std::string* mImage = nullptr;
  double mPressure = 0;
  bool mIsOverTarget = false;
};

/// Ratios of actual to expected run time of the last runs on one worker lifetime.
struct SpeedSamples
{
  /// The last ones, in any order; odd, so that one outlier does not move the median far.
  std::array<float, 5> mRatios{};
  std::uint32_t mCount = 0;
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
  /// As in WorkerView.
  bool mAwaitsHeartbeat = false;
  /// The worker lists a run whose job is not known, so its use of the capacity is not known either.
  bool mHasUnknownRun = false;
  bool mLeaving = false;
  /// The worker runs tasks more slowly until then.
  Timestamp mColdUntil;
  bool mResponding = true;
  bool mHasTaskList = false;
  std::uint64_t mTaskListNumber = 0;
  /// The agent is connected to this coordinator.
  bool mConnected = false;
  /// The record of this lifetime is in the store, so that a later coordinator waits for the worker.
  bool mRecorded = false;
  /// A write of the record may have taken effect, although its result is not known.
  bool mMayBeRecorded = false;
  /// The record in the store says that no coordinator up to this one extends the lease.
  bool mSuspensionRecorded = false;
  /// It may say so because of this coordinator. Until it certainly does not, the lease is not
  /// extended and no task starts on the worker.
  bool mSuspensionMayBeRecorded = false;
  /// The record says that no coordinator before this one extends the lease.
  bool mSuspendedBefore = false;
  /// The lifetime has ended and cannot return.
  bool mLifetimeEnded = false;
  /// All runs on the worker have ended by then unless the lease is extended.
  Timestamp mLeaseEnd;
  /// Resources reserved by the tasks on the worker.
  Common::Resources mUsed;
  /// Part of mUsed that long-running tasks reserve.
  Common::MilliCores mLongRunningReserved;
  /// Processor need of the best-effort tasks on the worker.
  Common::MilliCores mBestEffortCores;
  std::set<TaskRef> mTasks;
  /// Runs whose tasks are not in mTasks any more; mUsed includes their resources.
  std::vector<SupersededRun> mSupersededRuns;
  /// Last end that was applied to the state, and last one that the worker may drop.
  EndNumber mLastHandledEnd;
  EndNumber mLastAcknowledgedEnd;
  /// In the order of their numbers.
  std::deque<UnrecordedEnd> mUnrecordedEnds;
  WorkerHealth mHealth;
  SpeedSamples mSpeedSamples;
  /// Last start of a short task with reserved cores.
  Timestamp mLastShortStart;
  /// The worker gets no starts before this time, because it did not accept one.
  Timestamp mNoStartsUntil;
  /// Last time that the scheduler ordered other speeds for best-effort tasks on the worker.
  Timestamp mSpeedsChangedAt;
  /// Last placement of a task of a starved job although long-running tasks may miss their targets.
  Timestamp mForcedPlacementAt;
  /// A list arrived since the speeds were last reviewed.
  bool mHasNewUsage = false;
  /// Computed when it is first needed after a change of the worker's tasks, their usage or speeds.
  /// What other workers teach the model counts from the next change on.
  mutable std::optional<std::vector<TailRoom>> mTailRooms;
};

/// Learned ratio of actual to declared run time for the tasks of one queue and image.
struct RunTimeEstimate
{
  double mRatio = 1.0;
  std::uint32_t mSamples = 0;
};

struct Policy
{
  OrderRules mOrder;
  /// Number of lists without a run after which it counts as missing. The worker may
  /// have sent the first of them before the run started.
  std::uint32_t mMinMissingLists = 3;
  /// A run that is absent from the lists for this long is stopped, after which the task may run
  /// elsewhere. Three report periods.
  Duration mMissingTime{ std::chrono::milliseconds(1500) };
  /// A start without a result for this long is followed by a stop. Agents answer after at most
  /// three calls of 0.7 s, and orders are repeated after a lost connection.
  Duration mStartTimeout{ std::chrono::milliseconds(4000) };
  /// An unanswered stop is repeated after this time; agents retry within it.
  Duration mStopRetryInterval{ std::chrono::milliseconds(1000) };
  /// Time after an answered stop during which lists may predate it: a report period, the time the
  /// worker takes to stop, and the transfer to the coordinator.
  Duration mStopSettleTime{ std::chrono::milliseconds(1500) };
  /// A run whose progress does not increase for this long, plus the expected time of 30 percent of
  /// the run, is restarted.
  Duration mStallTime{ std::chrono::milliseconds(2500) };
  /// Number of ended runs by which the health of a worker is judged.
  std::size_t mHealthWindow = 8;
  /// Length of the first quarantine of a worker that fails its tasks. It doubles with each further
  /// one, up to the maximum.
  Duration mMinQuarantine{ std::chrono::seconds(3) };
  Duration mMaxQuarantine{ std::chrono::seconds(20) };
  /// While no other worker has capacity, a quarantined one gets a long-running task this long after
  /// its last start. Its quarantine ends once such a task is at work, mProofTime after its start,
  /// and nothing has failed since. The two times together are less than half of the 11 s in which
  /// long-running tasks have to run again after a disturbance.
  Duration mProbeInterval{ std::chrono::seconds(2) };
  Duration mProofTime{ std::chrono::seconds(3) };
  /// A worker that refused a start, for example for lack of capacity, gets none for this time, in
  /// which the list that explains the refusal arrives.
  Duration mRefusedStartPause{ std::chrono::milliseconds(250) };
  /// After an agent has refused a start because its data centre is evacuated, no worker of that
  /// data centre gets a start for this time, in which this coordinator's own watch brings the news
  /// or is found dead.
  Duration mEvacuationRefusalPause{ std::chrono::milliseconds(1000) };
  /// Time after its start order in which a run is a suspect if its worker crashes. Agents count it
  /// from the call to the worker.
  Duration mTrialTime{ std::chrono::milliseconds(150) };
  /// A crash proves nothing about the run beside which it happened if the worker of the instance
  /// crashed before within this time.
  Duration mRepeatedCrashTime{ std::chrono::seconds(10) };
  /// Suspected crashes of a task at which its job fails, and instances with conclusive ones. A job
  /// may be given up after two crashes; a third start after three crashes is one too many.
  std::size_t mMaxCrashes = 3;
  std::size_t mMaxConclusiveCrashes = 2;
  /// One in this many workers of a pool, but at least kMinTrials, may run a task on trial.
  std::size_t mWorkersPerTrial = 4;
  /// Time after which a task no longer waits for a worker without recent starts to be tried on.
  Duration mMaxTrialWait{ std::chrono::milliseconds(2000) };
  /// Time after which a trial without a report no longer keeps other starts away.
  Duration mMaxTrialLength{ std::chrono::milliseconds(2000) };
  /// Multiple of a task's tail-latency target at which best-effort tasks beside it are throttled.
  double mThrottleTailFactor = 0.7;
  /// Multiple of the target that throttling keeps the expected tail latency below.
  double mMaxTailFactor = 0.85;
  /// The same for placement. It is lower, because the load of the long-running task may rise while
  /// a new best-effort task runs.
  double mPlacementTailFactor = 0.7;
  /// Time for which the load of a long-running step is forecast: usage figures cover the last half
  /// second, reports come every 400 ms, and a new speed takes 100 ms.
  Duration mPressureForecast{ std::chrono::milliseconds(700) };
  /// Least time between two changes of speeds on one worker, less than a report period.
  Duration mThrottleInterval{ std::chrono::milliseconds(300) };
  /// Time over the target after which all best-effort tasks on the worker are set to speed 0.
  Duration mMaxTimeOverTarget{ std::chrono::milliseconds(1500) };
  /// Share of the reserved cores of long-running tasks that best-effort tasks may use.
  double mIdleReservedShare = 0.6;
  /// A best-effort job with no running task for this long gets one placed although long-running
  /// tasks may miss their targets; throttling then limits it.
  Duration mStarvedAfter{ std::chrono::milliseconds(1200) };
  /// With no running task for this long, such a job gets one on any worker while less than half of
  /// the pool's cores are in use; throttling pauses it if need be. Callers are promised that no job
  /// is left without a running task for 3 s while there is that much room.
  Duration mOverdueAfter{ std::chrono::milliseconds(2000) };
  /// Such a forced placement needs a worker on which no tail latency exceeds this multiple of its
  /// target. Two on the same worker are at least mForcedPlacementPause apart, in which throttling
  /// settles.
  double mHeadroomTailFactor = 0.8;
  Duration mForcedPlacementPause{ std::chrono::milliseconds(5000) };
  /// Time at speed 0 after which a best-effort task is moved.
  Duration mMoveAfterPause{ std::chrono::milliseconds(2000) };
  /// Most workers that one request names; the advice service accepts a hundred.
  std::size_t mMaxWorkersPerRequest = 100;
  /// Fewest workers that a request names, if there are as many.
  std::size_t mMinWorkersPerRequest = 12;
  /// Number of steps at the head of the queue for which advice is requested before there is
  /// capacity for them.
  std::uint32_t mStepsRequestedAhead = 4;
  /// A request is abandoned when this time has passed beyond the expected time of the service's
  /// answer. It covers two messages between regions and the wait for a call of an earlier
  /// coordinator that the service is still answering.
  Duration mAdviceTimeoutSlack{ std::chrono::milliseconds(1200) };
  /// An agent that got no answer from the service is sent no request for this time.
  Duration mAdvicePause{ std::chrono::milliseconds(1000) };
  /// A ticket is not used in this last part of its lifetime, so that it is still valid when the
  /// start arrives at the worker. The part is at most a quarter of the lifetime.
  Duration mTicketMargin{ std::chrono::milliseconds(250) };
  /// Least time between two log entries on a step whose tasks wait for quarantined workers.
  Duration mQuarantineLogInterval{ std::chrono::seconds(5) };
  /// Multiple of its run time that a task takes away from its data, or a gang with mSameRack on
  /// several racks. At 1 placement only prefers the rack and never waits for it.
  double mRemoteFactor = 1.0;
  /// Time for which other work avoids a rack after a task could not start there near its data. It
  /// spans a few placement rounds, which may skip a waiting step for lack of link capacity.
  Duration mRackWantedTime{ std::chrono::milliseconds(500) };
  /// Least time between two log entries on a step whose tasks wait for a place near their data.
  Duration mPlaceWaitLogInterval{ std::chrono::seconds(5) };
  /// A slow worker gets one short task this long after its last one although others are free, to
  /// show whether it is still slow. One task a worker costs little in this time, and the worker is
  /// in use again after three such tasks.
  Duration mSlowTrialInterval{ std::chrono::seconds(5) };
};

/// Counts of events in this term.
struct TermCounters
{
  std::uint64_t mStarts = 0;
  std::uint64_t mCapacityRejections = 0;
  std::uint64_t mLostRuns = 0;
  std::uint64_t mFailedRuns = 0;
  std::uint64_t mQuarantines = 0;
  std::uint64_t mStalls = 0;
  std::uint64_t mThrottleOrders = 0;
  std::uint64_t mBestEffortMoves = 0;
  std::uint64_t mAdviceRequests = 0;
  std::uint64_t mTicketRejections = 0;
  std::uint64_t mCrashes = 0;
  std::uint64_t mTrials = 0;
  std::uint64_t mJobsFailedForCrashes = 0;
  /// Steps of which a task waited for a place near its data, and the time that their tasks waited
  /// until they started.
  std::uint64_t mPlaceWaits = 0;
  Duration mPlaceWaitTime{ 0 };
  /// Starts of tasks that name a rack, and of gangs with mSameRack, by place.
  std::uint64_t mNearStarts = 0;
  std::uint64_t mRemoteStarts = 0;
};

/// Event of the scheduler that the caller writes to the log.
struct LogEntry
{
  std::string mText;
  Common::JobId mJob;
  std::string mDetail;
};

/// Scheduling state of one term of a coordinator. Only the functions of Schedule.h change it.
struct SchedulerState
{
  Policy mPolicy;
  /// No later coordinator acts before this time. A worker's lease that ends after it may have been
  /// extended by one.
  Timestamp mSoleUntil = Timestamp::max();
  /// Run numbers of this term are higher.
  RunNumber mRunBase;
  /// The queues of all tables that were in force in this term, with their last values. Use
  /// FindQueue() to look up the queue of a job.
  std::unordered_map<Common::RouteId, QueueSpec> mQueues;
  /// Jobs by id. Their addresses are stable, because TaskRef points to them.
  std::unordered_map<Common::JobId, std::unique_ptr<Job>> mJobs;
  std::vector<Worker> mWorkers;
  /// Use SetEvacuated() to change it.
  EvacuatedDataCentres mEvacuated;
  std::map<WorkerLifetime, WorkerNumber> mWorkerIndex;
  /// Lifetimes whose crash was counted; agents report it repeatedly.
  std::set<WorkerLifetime> mCountedCrashes;
  /// Tasks whose present run was started on trial and may still end its worker.
  std::set<TaskRef> mTrials;
  /// Time of the last crash of the worker beside each instance.
  std::map<Common::InstanceId, Timestamp> mLastCrashes;
  /// Jobs that have not ended or whose end has not been written.
  std::set<Job*> mOpenJobs;
  /// Jobs whose progress record must be written.
  std::set<Job*> mDirtyJobs;
  /// Number of the last change to a progress record.
  std::uint64_t mLastChange = 0;
  std::vector<Order> mOrders;
  std::vector<LogEntry> mLogEntries;
  std::int64_t mNextOrder = 1;
  /// Increases when more tasks may be placeable than before: a task waits, a step can start, a
  /// worker has more free capacity or has changed.
  std::uint64_t mPlaceableChanges = 0;
  /// Orders without a result, by number.
  std::unordered_map<std::int64_t, Order> mOutstandingOrders;
  std::map<std::pair<Common::RouteId, std::string>, RunTimeEstimate> mRunTimes;
  /// Recent jobs without a timetable, by queue.
  std::unordered_map<Common::RouteId, QueueHistory> mQueueHistory;
  /// Advice requests to send.
  std::vector<AdviceRequest> mAdviceRequests;
  std::int64_t mNextAdviceRequest = 1;
  std::map<std::int64_t, AdviceRequest> mOpenAdviceRequests;
  /// Agents that get no advice request before the given time, because the service did not answer
  /// them.
  std::map<Common::InstanceId, Timestamp> mAdvicePausedUntil;
  /// Learned share of granted workers among those named in requests.
  double mGrantedShare = 0.5;
  /// Racks that tasks could not start on near their data, and until when other work avoids them.
  std::map<Common::RackId, Timestamp> mWantedRacks;
  TermCounters mCounts;
  TailInterferenceModel mTailInterference;
};

} // namespace Scheduling
