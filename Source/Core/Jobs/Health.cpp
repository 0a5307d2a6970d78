#include "Jobs/Health.h"

#include <algorithm>

#include "Jobs/State.h"
#include "Jobs/Transitions.h"

namespace Jobs {

namespace {

/// True if the failures of the job on the worker speak against the worker: it succeeds elsewhere,
/// or has failed nowhere else.
bool
SpeaksAgainstWorker(const JobsState& aState, JobNumber aJob, std::uint32_t aWorker)
{
  const Job* job = FindJob(aState, aJob);
  if (job == nullptr) {
    return false;
  }
  const auto& failed = job->mFailedOn;
  const bool onlyHere = failed.size() == 1 && failed.front() == aWorker;
  return job->mFinished > 0 || onlyHere;
}

bool
IsBadWorker(const JobsState& aState, std::uint32_t aWorker)
{
  const WorkerRecord& record = aState.mWorkers[aWorker].mRecord;
  const HealthPolicy& policy = aState.mPolicy.mHealth;
  std::vector<std::int64_t> jobs;
  std::uint32_t elsewhere = 0;
  std::uint32_t finished = 0;
  std::uint32_t against = 0;
  for (std::uint32_t i = 0; i < std::min(record.mCount, WorkerRecord::kOutcomes); ++i) {
    const Outcome& outcome = record.mOutcomes[i];
    if (outcome.mFinished) {
      ++finished;
    } else if (SpeaksAgainstWorker(aState, outcome.mJob, aWorker)) {
      ++against;
      jobs.push_back(outcome.mJob.value());
      const Job* job = FindJob(aState, outcome.mJob);
      elsewhere += job->mFinished > 0 ? 1 : 0;
    }
  }
  std::sort(jobs.begin(), jobs.end());
  jobs.erase(std::unique(jobs.begin(), jobs.end()), jobs.end());
  // A worker on which most tasks finish is not bad, even if some jobs fail there.
  const bool mostFail = against > 3 * finished;
  return mostFail &&
         (jobs.size() >= policy.mBadWorkerJobs || elsewhere >= policy.mBadWorkerFailures);
}

/// A good worker for the purpose of blaming a job: another job has finished there lately.
bool
HasFinishedOther(const WorkerRecord& aRecord, JobNumber aJob)
{
  const auto end = aRecord.mOutcomes.begin() + std::min(aRecord.mCount, WorkerRecord::kOutcomes);
  return aRecord.mHealth == WorkerHealth::Good &&
         std::any_of(aRecord.mOutcomes.begin(), end, [&](const Outcome& aOutcome) {
           return aOutcome.mFinished && aOutcome.mJob != aJob;
         });
}

void
Quarantine(JobsState& aState, std::uint32_t aWorker, const CurrentTime& aNow)
{
  WorkerRecord& record = aState.mWorkers[aWorker].mRecord;
  const HealthPolicy& policy = aState.mPolicy.mHealth;
  record.mHealth = WorkerHealth::Quarantined;
  record.mUntil =
    aNow.mMonotonic +
    std::min(policy.mQuarantineMax, policy.mQuarantine * (1 << std::min(record.mRepeats, 10U)));
  ++record.mRepeats;
  record.mCount = 0;
  aState.mHealthChanged.push_back(aWorker);
  // The failures there were the worker's, so they no longer count against tasks and jobs.
  for (LiveTask& task : aState.mTasks) {
    if (task.mFailedOn == aWorker && task.mFailures > 0) {
      --task.mFailures;
    }
  }
  for (auto& [number, job] : aState.mJobs) {
    std::erase(job.mFailedOn, aWorker);
  }
}

void
Push(WorkerRecord& aRecord, const Outcome& aOutcome)
{
  // The count wraps inside the second round, which keeps "full" apart from "started".
  aRecord.mOutcomes[aRecord.mCount % WorkerRecord::kOutcomes] = aOutcome;
  if (++aRecord.mCount == 2 * WorkerRecord::kOutcomes) {
    aRecord.mCount = WorkerRecord::kOutcomes;
  }
}

void
SettleProbe(JobsState& aState, std::uint32_t aWorker, bool aFinished, const CurrentTime& aNow)
{
  WorkerRecord& record = aState.mWorkers[aWorker].mRecord;
  if (!aFinished) {
    Quarantine(aState, aWorker, aNow);
    return;
  }
  record.mHealth = WorkerHealth::Good;
  record.mRepeats = 0;
  aState.mHealthChanged.push_back(aWorker);
}

std::string
BlameJob(const JobsState& aState, const Job& aJob)
{
  if (aJob.mFinished > 0 || aJob.mFailedOn.size() < aState.mPolicy.mHealth.mBadJobWorkers) {
    return "";
  }
  const auto good =
    std::count_if(aJob.mFailedOn.begin(), aJob.mFailedOn.end(), [&](std::uint32_t aWorker) {
      return HasFinishedOther(aState.mWorkers[aWorker].mRecord, aJob.mNumber);
    });
  if (good < static_cast<std::ptrdiff_t>(aState.mPolicy.mHealth.mBadJobWorkers)) {
    return "";
  }
  return "its tasks failed on " + std::to_string(good) + " workers on which other jobs finish";
}

} // namespace

std::string
NoteOutcome(JobsState& aState,
            Job& aJob,
            std::uint32_t aWorker,
            bool aFinished,
            const CurrentTime& aNow)
{
  WorkerRecord& record = aState.mWorkers[aWorker].mRecord;
  Push(record, { aJob.mNumber, aFinished });
  if (!aFinished &&
      std::find(aJob.mFailedOn.begin(), aJob.mFailedOn.end(), aWorker) == aJob.mFailedOn.end()) {
    // More names than are needed to blame the job carry no further weight.
    if (aJob.mFailedOn.size() < std::size_t{ 4 } * aState.mPolicy.mHealth.mBadJobWorkers) {
      aJob.mFailedOn.push_back(aWorker);
    }
  }
  if (record.mHealth == WorkerHealth::Probing) {
    SettleProbe(aState, aWorker, aFinished, aNow);
    return "";
  }
  if (aFinished || record.mHealth == WorkerHealth::Quarantined) {
    return "";
  }
  if (IsBadWorker(aState, aWorker)) {
    Quarantine(aState, aWorker, aNow);
    return "";
  }
  return BlameJob(aState, aJob);
}

std::vector<HealthChange>
TakeHealthChanges(JobsState& aState, const CurrentTime& aNow)
{
  for (std::uint32_t i = 0; i < aState.mWorkers.size(); ++i) {
    WorkerRecord& record = aState.mWorkers[i].mRecord;
    if (record.mHealth == WorkerHealth::Quarantined && record.mUntil <= aNow.mMonotonic) {
      record.mHealth = WorkerHealth::Probing;
      aState.mHealthChanged.push_back(i);
    }
  }
  std::vector<HealthChange> changes;
  for (const std::uint32_t worker : aState.mHealthChanged) {
    changes.push_back({ aState.mWorkers[worker].mName, aState.mWorkers[worker].mRecord.mHealth });
  }
  aState.mHealthChanged.clear();
  return changes;
}

} // namespace Jobs
