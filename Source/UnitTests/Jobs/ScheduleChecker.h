#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Core/Jobs/Model.h"

/// Checks a schedule by what workers and submitters can observe: starts, ends, checkpoints and
/// acknowledgements. It does not use the state of the owner.
class ScheduleChecker
{
public:
  /// Time of the next events, in steps.
  std::uint64_t time() const { return mTime; }
  void tick() { ++mTime; }
  /// aSentAt is the time at which the owner sent the command. Reports that the owner received later
  /// are not held against the start.
  void started(const Jobs::TaskStart& aStart, const std::string& aWorker, std::uint64_t aSentAt);
  void checkpointed(const std::string& aTask,
                    std::int64_t aAttempt,
                    const std::string& aName,
                    const std::string& aWorker);
  void ended(const std::string& aTask,
             std::int64_t aAttempt,
             Jobs::TaskState aNewState,
             const std::string& aWorker);
  /// The machine is lost, with everything that was running on it.
  void workerLost(const std::string& aWorker);
  /// The current owner has received this report.
  void reported(const Jobs::TaskReport& aReport);
  /// An owner has told the agent that the end of this attempt is durable.
  void markedDurable(const std::string& aTask, std::int64_t aAttempt);
  void ownerChanged();
  void overcommitted(const std::string& aWorker);

  void acknowledged(const std::string& aJob, const Jobs::JobSpec& aSpec);
  void cancelled(const std::string& aJob) { mJobs[aJob].mCancelled = true; }
  /// Checks what the submitter is shown once the cell is idle; aSummary is nullptr if the job is
  /// not found.
  void checkSummary(const std::string& aJob, const Jobs::JobSummary* aSummary);

  const std::vector<std::string>& violations() const { return mViolations; }
  std::vector<std::string> acknowledgedJobs() const;

private:
  static constexpr std::uint64_t kNever = UINT64_MAX;

  struct SavedCheckpoint
  {
    std::string mName;
    std::int64_t mAttempt = 0;
    std::string mWorker;
    std::uint64_t mReportedAt = kNever;
    /// The machine was lost before the checkpoint was reported.
    bool mLost = false;
  };
  struct Task
  {
    std::map<std::string, std::int64_t> mRunning;
    std::vector<SavedCheckpoint> mCheckpoints;
    /// Attempts whose end was reported to the current owner, and those that an owner called
    /// durable, each with the time.
    std::map<std::int64_t, std::uint64_t> mReportedEnds;
    std::map<std::int64_t, std::uint64_t> mDurableEnds;
    /// Attempt that finished the task; 0 if there is none, or if no process that still exists knows
    /// of it.
    std::int64_t mFinishedBy = 0;
    bool mEverFinished = false;
    /// Attempts that started, with their worker, or "" if the machine is lost. Those that no
    /// process which still exists knows of are dropped.
    std::map<std::int64_t, std::string> mAttempts;
    std::uint32_t mStarts = 0;
  };
  struct SubmittedJob
  {
    Jobs::JobSpec mSpec;
    bool mAcknowledged = false;
    bool mCancelled = false;
    std::set<std::string> mFailedOnWorkers;
  };

  void addViolation(const std::string& aText) { mViolations.push_back(aText); }
  static bool isKnown(const Task& aTask, std::int64_t aAttempt, std::uint64_t aAt);
  void dropUnknownAttempts(Task& aTask) const;
  void checkResumedCheckpoint(const Task& aTask,
                              const Jobs::TaskStart& aStart,
                              std::uint64_t aSentAt);

  std::map<std::string, Task> mTasks;
  std::map<std::string, SubmittedJob> mJobs;
  std::map<std::pair<std::string, std::string>, std::string> mJobsByKey;
  std::vector<std::string> mViolations;
  std::uint64_t mTime = 1;
};
