#include "Jobs/Health.h"

#include <algorithm>

#include "Jobs/State.h"
#include "Jobs/Transitions.h"

namespace Jobs {

namespace {

/// True if failures of the job on the worker point to the worker: the job succeeds elsewhere, or
/// has failed nowhere else.
bool
IndicatesBadWorker(const JobsState& aState, JobNumber aJob, std::uint32_t aWorker)
{
  const Job* job = FindJob(aState, aJob);
  if (job == nullptr) {
    return false;
  }
  const auto& failed = job->mFailedOnWorkers;
  const bool onlyHere = failed.size() == 1 && failed.front() == aWorker;
  return job->mFinishedTasks > 0 || onlyHere;
}

bool
IsBadWorker(const JobsState& aState, std::uint32_t aWorker)
{
  const WorkerHealthRecord& record = aState.mWorkers[aWorker].mHealthRecord;
  const HealthPolicy& policy = aState.mPolicy.mHealth;
  std::vector<std::int64_t> jobs;
  std::uint32_t failuresOfWorkingJobs = 0;
  std::uint32_t finished = 0;
  std::uint32_t attributable = 0;
  for (std::uint32_t i = 0; i < std::min(record.mOutcomeCount, WorkerHealthRecord::kMaxOutcomes);
       ++i) {
    const AttemptOutcome& outcome = record.mOutcomes[i];
    if (outcome.mFinished) {
      ++finished;
    } else if (IndicatesBadWorker(aState, outcome.mJob, aWorker)) {
      ++attributable;
      jobs.push_back(outcome.mJob.value());
      const Job* job = FindJob(aState, outcome.mJob);
      failuresOfWorkingJobs += job->mFinishedTasks > 0 ? 1 : 0;
    }
  }
  std::sort(jobs.begin(), jobs.end());
  jobs.erase(std::unique(jobs.begin(), jobs.end()), jobs.end());
  // A worker is not bad, even if some jobs fail there, while one attempt finishes for every three
  // attributable failures.
  const bool mostFail = attributable > 3 * finished;
  return mostFail && (jobs.size() >= policy.mQuarantineAfterJobs ||
                      failuresOfWorkingJobs >= policy.mQuarantineAfterFailures);
}

/// True if the worker is good and a recent attempt of another job finished there, so that a failure
/// there points to the job.
bool
HasFinishedOtherJob(const WorkerHealthRecord& aRecord, JobNumber aJob)
{
  const auto end =
    aRecord.mOutcomes.begin() + std::min(aRecord.mOutcomeCount, WorkerHealthRecord::kMaxOutcomes);
  return aRecord.mHealth == WorkerHealth::Good &&
         std::any_of(aRecord.mOutcomes.begin(), end, [&](const AttemptOutcome& aOutcome) {
           return aOutcome.mFinished && aOutcome.mJob != aJob;
         });
}

void
Quarantine(JobsState& aState, std::uint32_t aWorker, const CurrentTime& aNow)
{
  WorkerHealthRecord& record = aState.mWorkers[aWorker].mHealthRecord;
  const HealthPolicy& policy = aState.mPolicy.mHealth;
  record.mHealth = WorkerHealth::Quarantined;
  record.mQuarantineEnd =
    aNow.mMonotonic +
    std::min(policy.mMaxQuarantine,
             policy.mMinQuarantine * (1 << std::min(record.mConsecutiveQuarantines, 10U)));
  ++record.mConsecutiveQuarantines;
  record.mOutcomeCount = 0;
  aState.mHealthChanged.push_back(aWorker);
  // The worker caused these failures, so they no longer count against tasks and jobs.
  for (LiveTask& task : aState.mTasks) {
    if (task.mLastFailedOn == aWorker && task.mFailures > 0) {
      --task.mFailures;
    }
  }
  for (auto& [number, job] : aState.mJobs) {
    std::erase(job.mFailedOnWorkers, aWorker);
  }
}

void
AddOutcome(WorkerHealthRecord& aRecord, const AttemptOutcome& aOutcome)
{
  // The count wraps from twice the capacity to the capacity, so that it stays at least the capacity
  // once all entries are used.
  aRecord.mOutcomes[aRecord.mOutcomeCount % WorkerHealthRecord::kMaxOutcomes] = aOutcome;
  if (++aRecord.mOutcomeCount == 2 * WorkerHealthRecord::kMaxOutcomes) {
    aRecord.mOutcomeCount = WorkerHealthRecord::kMaxOutcomes;
  }
}

void
ApplyProbeOutcome(JobsState& aState, std::uint32_t aWorker, bool aFinished, const CurrentTime& aNow)
{
  WorkerHealthRecord& record = aState.mWorkers[aWorker].mHealthRecord;
  if (!aFinished) {
    Quarantine(aState, aWorker, aNow);
    return;
  }
  record.mHealth = WorkerHealth::Good;
  record.mConsecutiveQuarantines = 0;
  aState.mHealthChanged.push_back(aWorker);
}

std::string
JobFailureReason(const JobsState& aState, const Job& aJob)
{
  if (aJob.mFinishedTasks > 0 ||
      aJob.mFailedOnWorkers.size() < aState.mPolicy.mHealth.mFailJobAfterWorkers) {
    return "";
  }
  const auto goodWorkers = std::count_if(
    aJob.mFailedOnWorkers.begin(), aJob.mFailedOnWorkers.end(), [&](std::uint32_t aWorker) {
      return HasFinishedOtherJob(aState.mWorkers[aWorker].mHealthRecord, aJob.mNumber);
    });
  if (goodWorkers < static_cast<std::ptrdiff_t>(aState.mPolicy.mHealth.mFailJobAfterWorkers)) {
    return "";
  }
  return "tasks of the job failed on " + std::to_string(goodWorkers) +
         " workers on which other jobs finish";
}

} // namespace

std::string
RecordOutcome(JobsState& aState,
              Job& aJob,
              std::uint32_t aWorker,
              bool aFinished,
              const CurrentTime& aNow)
{
  WorkerHealthRecord& record = aState.mWorkers[aWorker].mHealthRecord;
  AddOutcome(record, { aJob.mNumber, aFinished });
  if (!aFinished &&
      std::find(aJob.mFailedOnWorkers.begin(), aJob.mFailedOnWorkers.end(), aWorker) ==
        aJob.mFailedOnWorkers.end()) {
    // Workers beyond those that JobFailureReason needs make no difference.
    if (aJob.mFailedOnWorkers.size() <
        std::size_t{ 4 } * aState.mPolicy.mHealth.mFailJobAfterWorkers) {
      aJob.mFailedOnWorkers.push_back(aWorker);
    }
  }
  if (record.mHealth == WorkerHealth::Probing) {
    ApplyProbeOutcome(aState, aWorker, aFinished, aNow);
    return "";
  }
  if (aFinished || record.mHealth == WorkerHealth::Quarantined) {
    return "";
  }
  if (IsBadWorker(aState, aWorker)) {
    Quarantine(aState, aWorker, aNow);
    return "";
  }
  return JobFailureReason(aState, aJob);
}

std::vector<HealthChange>
TakeHealthChanges(JobsState& aState, const CurrentTime& aNow)
{
  for (std::uint32_t i = 0; i < aState.mWorkers.size(); ++i) {
    WorkerHealthRecord& record = aState.mWorkers[i].mHealthRecord;
    if (record.mHealth == WorkerHealth::Quarantined && record.mQuarantineEnd <= aNow.mMonotonic) {
      record.mHealth = WorkerHealth::Probing;
      aState.mHealthChanged.push_back(i);
    }
  }
  std::vector<HealthChange> changes;
  for (const std::uint32_t worker : aState.mHealthChanged) {
    changes.push_back(
      { aState.mWorkers[worker].mName, aState.mWorkers[worker].mHealthRecord.mHealth });
  }
  aState.mHealthChanged.clear();
  return changes;
}

} // namespace Jobs
