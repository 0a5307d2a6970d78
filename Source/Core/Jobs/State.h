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

/// State of the batch jobs of one cell. It is changed through the functions of Jobs.h only.
namespace Jobs {

constexpr std::uint32_t kNoWorker = UINT32_MAX;
constexpr std::uint32_t kNoTask = UINT32_MAX;

enum class LiveState : std::uint8_t
{
  /// Not running; waits for its next attempt.
  Waiting,
  /// The start was handed out; no report has confirmed it yet.
  Starting,
  Running,
  /// An evict command was handed out.
  Evicting,
  /// A stop command was handed out because the job was cancelled or has failed.
  Stopping,
  /// Whether it runs is not known; it may not be started.
  Uncertain,
};

/// A task that was started at least once and has not ended.
struct LiveTask
{
  TaskKey mKey;
  std::uint32_t mAttempt = 0;
  std::uint32_t mCheckpointAttempt = 0;
  std::uint32_t mWorker = kNoWorker;
  std::uint32_t mPlaceInJob = 0;
  std::uint32_t mPlaceOnWorker = 0;
  /// Worker of the last failure, which placement avoids.
  std::uint32_t mFailedOn = kNoWorker;
  std::uint16_t mFailures = 0;
  LiveState mState = LiveState::Waiting;
  /// An agent has reported this attempt; its absence from a later full inventory means that it
  /// ended.
  bool mSeen = false;
  /// Start of the attempt, or of the wait.
  Common::Timestamp mSince;
  /// What is charged to the team and the worker while the task is there.
  Common::Resources mNeed;
};

struct Job
{
  JobNumber mNumber;
  JobSpec mSpec;
  Common::UnixMillis mSubmitted{ 0 };
  /// Corrected size of a task, as of the given version of the size model.
  TaskSize mSize;
  std::uint32_t mSizeVersion = 0;
  /// Workers on which tasks failed that are not known to be bad.
  std::vector<std::uint32_t> mFailedOn;
  /// Place in the order of service, see OrderKey; lower goes first.
  std::int64_t mOrder = 0;
  std::uint32_t mTeam = 0;
  bool mDurable = false;
  bool mCancelled = false;
  bool mFailed = false;
  /// After a takeover: tasks that no agent has reported may run on a silent worker.
  bool mHeld = false;
  bool mQueued = false;
  bool mParked = false;
  bool mAside = false;
  /// Why the job is set aside, or why it failed.
  std::string mDetail;
  /// First attempt number of tasks that were never reported. It rises with each takeover in which a
  /// worker stayed silent, because that worker may have used the numbers before.
  std::uint32_t mFirstAttempt = 1;
  /// Consecutive calls of the placer that found no room.
  std::uint32_t mMisses = 0;
  /// Tasks below this index were started, or are in mLive or mEnded.
  std::uint32_t mNextFresh = 0;
  /// Waiting tasks that were started before.
  std::vector<std::uint32_t> mAgain;
  /// Slots in JobsState::mTasks.
  std::vector<std::uint32_t> mLive;
  /// For each task the ProgressKind of its end, 0 while it has none. Empty until the first task
  /// ends.
  std::vector<std::uint8_t> mEnded;
  /// Progress records that are not durable yet.
  std::uint32_t mUnsettled = 0;
  /// Live tasks that are not waiting.
  std::uint32_t mActive = 0;
  std::uint32_t mFinished = 0;
  std::uint32_t mFailedTasks = 0;
  std::uint32_t mCancelledTasks = 0;
  std::uint32_t mUnknown = 0;
  std::uint32_t mEvictions = 0;
  Common::Timestamp mEndedAt;

  std::uint32_t ended() const { return mFinished + mFailedTasks + mCancelledTasks + mUnknown; }
  std::uint32_t waiting() const { return mSpec.mTasks - ended() - mActive; }
  /// Waiting tasks that may start. None while the job is held: even if a worker reports the end of
  /// an attempt, a silent one may run the next.
  std::uint32_t startable() const { return mHeld ? 0 : waiting(); }
};

struct Team
{
  Common::TeamId mName;
  std::uint32_t mWeight = 1;
  /// The cell's part of the team's quota.
  Common::Resources mQuota;
  bool mMayBorrow = true;
  Common::Resources mUsed;
  /// Jobs with waiting tasks: (order, job number).
  std::set<std::pair<std::int64_t, std::int64_t>> mQueue;
};

struct WorkerState
{
  Common::WorkerId mName;
  std::uint64_t mSequence = 0;
  Common::Incarnation mIncarnation;
  bool mSilent = false;
  WorkerRecord mRecord;
  Common::Resources mCharged;
  std::vector<std::uint32_t> mTasks;
};

/// A kind of worker: what a task can get at most on workers with these labels.
struct WorkerShape
{
  std::vector<std::string> mLabels;
  Common::Resources mTotal;
  std::uint32_t mCount = 1;
};

struct JobsPolicy
{
  std::size_t mMaxJobs = 200'000;
  /// A job whose task finds no room waits this long before it is tried again; doubled with each
  /// miss up to mParkMax, so that unplaceable jobs cost nothing.
  Common::Duration mParkMin{ std::chrono::milliseconds(100) };
  Common::Duration mParkMax{ std::chrono::seconds(2) };
  /// Ended jobs are kept this long for repeated submissions and for display.
  Common::Duration mRetention{ std::chrono::hours(1) };
  HealthPolicy mHealth;
};

/// Batches that were taken for writing and are not settled yet.
struct OpenBatch
{
  std::vector<JobNumber> mJobs;
  std::vector<ProgressRecord> mProgress;
};

struct TaskKeyHash
{
  std::size_t operator()(const TaskKey& aKey) const noexcept
  {
    // The job number differs in few bits; the multiplication spreads them over the word.
    const auto job = static_cast<std::uint64_t>(aKey.mJob.value());
    return (job * 0x9e3779b97f4a7c15ULL) ^ (std::uint64_t{ aKey.mIndex } * 0xff51afd7ed558ccdULL);
  }
};

struct JobsState
{
  Common::CellId mCell;
  Common::Epoch mEpoch;
  JobsPolicy mPolicy;
  std::uint32_t mNextCount = 1;

  std::unordered_map<std::int64_t, Job> mJobs;
  /// (client, key) joined by a zero byte.
  std::unordered_map<std::string, JobNumber> mKeys;
  std::vector<LiveTask> mTasks;
  std::vector<std::uint32_t> mFreeTasks;
  std::unordered_map<TaskKey, std::uint32_t, TaskKeyHash> mTaskIndex;
  /// Checkpoints of live tasks, by slot.
  std::unordered_map<std::uint32_t, std::string> mCheckpoints;

  std::vector<Team> mTeams;
  std::unordered_map<Common::TeamId, std::uint32_t> mTeamIndex;
  std::vector<WorkerState> mWorkers;
  std::unordered_map<Common::WorkerId, std::uint32_t> mWorkerIndex;
  std::vector<WorkerShape> mShapes;
  Common::Resources mCapacity;
  SizeModel mSizes;
  /// Workers whose health changed since the caller last asked.
  std::vector<std::uint32_t> mHealthChanged;

  /// Parked jobs by the time of their next try.
  std::multimap<Common::Timestamp, JobNumber> mParked;
  std::set<std::int64_t> mAside;
  /// Ended jobs in the order in which they ended.
  std::deque<JobNumber> mEndedJobs;

  std::vector<JobNumber> mUnwrittenJobs;
  std::vector<ProgressRecord> mUnwritten;
  std::map<std::uint64_t, OpenBatch> mOpenBatches;
  std::uint64_t mNextBatch = 1;
  /// Ends of tasks that are not durable yet.
  std::unordered_map<TaskKey, std::uint32_t, TaskKeyHash> mNotDurable;
};

} // namespace Jobs
