#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Jobs/Health.h"
#include "Jobs/Model.h"
#include "Jobs/Records.h"
#include "Jobs/Sizes.h"

/// State of the batch jobs of one cell. Change it only through the functions of Jobs.h.
namespace Jobs {

constexpr std::uint32_t kNoWorker = UINT32_MAX;
constexpr std::uint32_t kNoSlot = UINT32_MAX;

enum class LiveTaskState : std::uint8_t
{
  /// Not running; waits for its next attempt.
  Waiting,
  /// The start command was issued; no report has confirmed it yet.
  Starting,
  Running,
  /// An evict command was issued.
  Evicting,
  /// A stop command was issued because the job was cancelled or has failed.
  Stopping,
  /// Whether an attempt is running is not known, so no other may be started.
  Uncertain,
};

/// A task that was started at least once and has not ended. Its index in JobsState::mTasks is its
/// slot.
struct LiveTask
{
  TaskKey mKey;
  /// Number of the last attempt that was started; 0 if none was.
  std::uint32_t mAttempt = 0;
  /// Attempt that took the newest checkpoint; 0 if there is none.
  std::uint32_t mCheckpointAttempt = 0;
  /// Index in JobsState::mWorkers.
  std::uint32_t mWorker = kNoWorker;
  std::uint32_t mIndexInJob = 0;
  std::uint32_t mIndexOnWorker = 0;
  /// Worker on which the last failure happened, which placement avoids.
  std::uint32_t mLastFailedOn = kNoWorker;
  std::uint16_t mFailures = 0;
  LiveTaskState mState = LiveTaskState::Waiting;
  /// An agent has reported this attempt. If a later full inventory does not list it, it has ended.
  bool mReported = false;
  /// Time at which the attempt started or, for a waiting task, at which the wait began.
  Common::Timestamp mSince;
  /// Resources charged to the team and the worker while the task is assigned to the worker.
  Common::Resources mNeed;
};

struct Job
{
  JobNumber mNumber;
  JobSpec mSpec;
  Common::UnixMillis mSubmitted{ 0 };
  /// Size of a task, corrected by measured use.
  TaskSize mSize;
  /// SizeModel::mVersion for which mSize was computed, plus 1; 0 if it has to be computed.
  std::uint32_t mSizeVersion = 0;
  /// Workers on which tasks of the job failed, without those quarantined since.
  std::vector<std::uint32_t> mFailedOnWorkers;
  /// Position in the start order, see OrderKey; lower values start first.
  std::int64_t mOrderKey = 0;
  /// Index in JobsState::mTeams.
  std::uint32_t mTeam = 0;
  bool mDurable = false;
  bool mCancelled = false;
  bool mFailed = false;
  /// After a takeover: a silent worker may be running tasks that no agent has reported, so no task
  /// of the job starts.
  bool mHeld = false;
  bool mQueued = false;
  bool mInBackoff = false;
  bool mUnschedulable = false;
  /// Why the job is unschedulable, or why it failed.
  std::string mDetail;
  /// Number of the first attempt of tasks that were never reported. It is raised at each takeover
  /// in which a worker stayed silent, because that worker may have used the lower numbers.
  std::uint32_t mFirstAttempt = 1;
  /// Consecutive placements that found no worker with room.
  std::uint32_t mPlacementMisses = 0;
  /// All tasks below this index were started before, or are in mLiveSlots or mEndKinds.
  std::uint32_t mNextUnstarted = 0;
  /// Indexes of waiting tasks that were started before. An entry may be out of date;
  /// NextWaitingTask skips it.
  std::vector<std::uint32_t> mRestartIndexes;
  /// Slots of the live tasks in JobsState::mTasks.
  std::vector<std::uint32_t> mLiveSlots;
  /// ProgressKind of the end of each task, 0 for tasks that have not ended. Empty until the first
  /// task ends.
  std::vector<std::uint8_t> mEndKinds;
  /// Progress records of the job that are not durable yet.
  std::uint32_t mNonDurableRecords = 0;
  /// Live tasks in any state but Waiting.
  std::uint32_t mActiveTasks = 0;
  std::uint32_t mFinishedTasks = 0;
  std::uint32_t mFailedTasks = 0;
  std::uint32_t mCancelledTasks = 0;
  std::uint32_t mUnknownTasks = 0;
  std::uint32_t mEvictions = 0;
  Common::Timestamp mEndedAt;

  std::uint32_t endedTasks() const
  {
    return mFinishedTasks + mFailedTasks + mCancelledTasks + mUnknownTasks;
  }
  std::uint32_t waitingTasks() const { return mSpec.mTasks - endedTasks() - mActiveTasks; }
  /// Waiting tasks that may start. None while the job is held: even if a worker reports the end of
  /// an attempt, a silent worker may run the next one.
  std::uint32_t startableTasks() const { return mHeld ? 0 : waitingTasks(); }
};

struct Team
{
  Common::TeamId mName;
  std::uint32_t mWeight = 1;
  /// The cell's share of the team's quota.
  Common::Resources mQuota;
  bool mMayBorrow = true;
  Common::Resources mUsed;
  /// Jobs that have tasks to start, as (order key, job number).
  std::set<std::pair<std::int64_t, std::int64_t>> mQueue;
};

/// A worker with the tasks that are assigned to it.
struct WorkerState
{
  Common::WorkerId mName;
  std::uint64_t mSequence = 0;
  Common::Incarnation mIncarnation;
  /// Set by MarkSilent until the next inventory.
  bool mSilent = false;
  WorkerHealthRecord mHealthRecord;
  Common::Resources mCharged;
  /// Slots in JobsState::mTasks.
  std::vector<std::uint32_t> mTasks;
};

/// Workers of the cell with the same labels and the same resources.
struct WorkerShape
{
  std::vector<std::string> mLabels;
  Common::Resources mTotal;
  std::uint32_t mCount = 1;
};

struct JobsPolicy
{
  std::size_t mMaxJobs = 200'000;
  /// Time before the next placement of a job for whose task no worker had room. It doubles with
  /// each failed placement up to mMaxBackoff, so that jobs that cannot be placed cost nothing.
  Common::Duration mMinBackoff{ std::chrono::milliseconds(100) };
  Common::Duration mMaxBackoff{ std::chrono::seconds(2) };
  /// Ended jobs are kept this long, to answer repeated submissions and to be shown.
  Common::Duration mRetention{ std::chrono::hours(1) };
  HealthPolicy mHealth;
};

/// A batch that was taken for writing and is neither marked as written nor as failed.
struct PendingBatch
{
  std::vector<JobNumber> mJobs;
  std::vector<ProgressRecord> mProgress;
};

struct TaskKeyHash
{
  std::size_t operator()(const TaskKey& aKey) const noexcept
  {
    // Job numbers differ in few bits; the multiplication spreads them over the word.
    const auto job = static_cast<std::uint64_t>(aKey.mJob.value());
    return (job * 0x9e3779b97f4a7c15ULL) ^ (std::uint64_t{ aKey.mIndex } * 0xff51afd7ed558ccdULL);
  }
};

struct JobsState
{
  Common::CellId mCell;
  Common::Epoch mEpoch;
  JobsPolicy mPolicy;
  /// Counter part of the next job number.
  std::uint32_t mNextJobCount = 1;

  std::unordered_map<std::int64_t, Job> mJobs;
  /// Jobs by client and idempotency key, joined by a zero byte; see ClientKey.
  std::unordered_map<std::string, JobNumber> mJobsByKey;
  /// Live tasks by slot; mFreeSlots lists the unused entries.
  std::vector<LiveTask> mTasks;
  std::vector<std::uint32_t> mFreeSlots;
  /// Slots of the live tasks.
  std::unordered_map<TaskKey, std::uint32_t, TaskKeyHash> mTaskIndex;
  /// Names of the newest checkpoints of live tasks, by slot.
  std::unordered_map<std::uint32_t, std::string> mCheckpoints;

  std::vector<Team> mTeams;
  std::unordered_map<Common::TeamId, std::uint32_t> mTeamIndex;
  std::vector<WorkerState> mWorkers;
  std::unordered_map<Common::WorkerId, std::uint32_t> mWorkerIndex;
  std::vector<WorkerShape> mShapes;
  /// Resources of all workers in mShapes.
  Common::Resources mCapacity;
  SizeModel mSizes;
  /// Indexes in mWorkers of those whose health changed since the last TakeHealthChanges.
  std::vector<std::uint32_t> mHealthChanged;

  /// Jobs in backoff, by the time of their next placement.
  std::multimap<Common::Timestamp, JobNumber> mBackoffQueue;
  std::set<std::int64_t> mUnschedulableJobs;
  /// Ended jobs in the order in which they ended.
  std::deque<JobNumber> mEndedJobs;

  std::vector<JobNumber> mUnwrittenJobs;
  std::vector<ProgressRecord> mUnwrittenProgress;
  std::map<std::uint64_t, PendingBatch> mPendingBatches;
  std::uint64_t mNextBatch = 1;
  /// Number of progress records that are not durable, by task; records of a whole job have the
  /// index kWholeJob.
  std::unordered_map<TaskKey, std::uint32_t, TaskKeyHash> mNonDurableByTask;
};

} // namespace Jobs
