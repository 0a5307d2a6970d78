#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Jobs/Model.h"

/// Decides whether a worker or a job is the cause of failures.
namespace Jobs {

struct JobsState;
struct Job;

enum class WorkerHealth : std::uint8_t
{
  Good,
  /// Gets no tasks until the quarantine ends.
  Quarantined,
  /// Gets one task, whose outcome decides whether it is quarantined again.
  Probing,
};

/// How an attempt ended on a worker.
struct AttemptOutcome
{
  JobNumber mJob;
  bool mFinished = false;
};

/// The latest outcomes of attempts on one worker, and its health.
struct WorkerHealthRecord
{
  static constexpr std::uint32_t kMaxOutcomes = 16;

  std::array<AttemptOutcome, kMaxOutcomes> mOutcomes;
  std::uint32_t mOutcomeCount = 0;
  WorkerHealth mHealth = WorkerHealth::Good;
  Common::Timestamp mQuarantineEnd;
  /// Quarantines since the last successful probe; each doubles the length of the next.
  std::uint32_t mConsecutiveQuarantines = 0;
};

struct HealthPolicy
{
  /// A worker is quarantined after failures of this many jobs that succeed elsewhere or have failed
  /// on no other worker, if these failures outnumber the finished attempts there by more than three
  /// to one.
  std::uint32_t mQuarantineAfterJobs = 3;
  /// Under the same condition a worker is also quarantined after this many failures of jobs that
  /// succeed elsewhere, even if all are of one job.
  std::uint32_t mQuarantineAfterFailures = 5;
  /// A job fails after failures on this many good workers on which other jobs have finished, if
  /// none of its own tasks has finished.
  std::uint32_t mFailJobAfterWorkers = 3;
  /// Length of the first quarantine; it doubles with each further one up to mMaxQuarantine.
  Common::Duration mMinQuarantine{ std::chrono::seconds(60) };
  Common::Duration mMaxQuarantine{ std::chrono::minutes(30) };
};

struct HealthChange
{
  Common::WorkerId mWorker;
  WorkerHealth mHealth = WorkerHealth::Good;
};

/// Records how an attempt of the job ended on the worker, and changes the health of the worker if
/// needed. Returns the reason if the job is to be failed, "" otherwise.
std::string
RecordOutcome(JobsState& aState,
              Job& aJob,
              std::uint32_t aWorker,
              bool aFinished,
              const CurrentTime& aNow);

/// Starts the probe of workers whose quarantine is over. Returns the workers whose health changed
/// since the last call.
std::vector<HealthChange>
TakeHealthChanges(JobsState& aState, const CurrentTime& aNow);

} // namespace Jobs
