#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Jobs/Model.h"

/// Attribution of failures to workers or to jobs.
namespace Jobs {

struct JobsState;
struct Job;

enum class WorkerHealth : std::uint8_t
{
  Good,
  /// Gets no tasks until its time is up.
  Quarantined,
  /// Gets one task, whose outcome decides.
  Probing,
};

struct Outcome
{
  JobNumber mJob;
  bool mFinished = false;
};

/// The newest outcomes on one worker, and what follows from them.
struct WorkerRecord
{
  static constexpr std::uint32_t kOutcomes = 16;

  std::array<Outcome, kOutcomes> mOutcomes;
  std::uint32_t mCount = 0;
  WorkerHealth mHealth = WorkerHealth::Good;
  Common::Timestamp mUntil;
  /// Quarantines in a row; each doubles the time of the next.
  std::uint32_t mRepeats = 0;
};

struct HealthPolicy
{
  /// Jobs that fail on the worker and succeed elsewhere (or fail nowhere else) before it is
  /// quarantined, when no task finishes there.
  std::uint32_t mBadWorkerJobs = 3;
  /// Failures there of jobs that succeed elsewhere, even if they are all of one job.
  std::uint32_t mBadWorkerFailures = 5;
  /// Good workers on which a job fails, without a success anywhere, before the job is failed.
  std::uint32_t mBadJobWorkers = 3;
  Common::Duration mQuarantine{ std::chrono::seconds(60) };
  Common::Duration mQuarantineMax{ std::chrono::minutes(30) };
};

struct HealthChange
{
  Common::WorkerId mWorker;
  WorkerHealth mHealth = WorkerHealth::Good;
};

/// Notes how an attempt of the job ended on the worker. Returns a reason if the job is to be
/// failed,
/// "" otherwise.
std::string
NoteOutcome(JobsState& aState,
            Job& aJob,
            std::uint32_t aWorker,
            bool aFinished,
            const CurrentTime& aNow);

/// Workers whose health changed since the last call; quarantines whose time is up become probes.
std::vector<HealthChange>
TakeHealthChanges(JobsState& aState, const CurrentTime& aNow);

} // namespace Jobs
