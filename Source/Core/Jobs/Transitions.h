#pragma once

#include <cstdint>
#include <vector>

#include "Jobs/State.h"

/// Changes of single jobs and tasks that keep the counts, indexes and charges of the state in step.
/// Only the sources of this library use them.
namespace Jobs {

Job*
FindJob(JobsState& aState, JobNumber aJob);
const Job*
FindJob(const JobsState& aState, JobNumber aJob);

/// Slot of the live task, or kNoTask.
std::uint32_t
FindTask(const JobsState& aState, const TaskKey& aKey);

/// Name of the job's idempotency key in JobsState::mKeys.
std::string
KeyText(const JobSpec& aSpec);

std::uint32_t
WorkerNumber(JobsState& aState, const Common::WorkerId& aWorker);

std::uint32_t
TeamNumber(JobsState& aState, const Common::TeamId& aTeam);

bool
HasEnded(const Job& aJob, std::uint32_t aIndex);

/// Place in the order of service in Unix microseconds: the time of submission less what price,
/// urgency, deadline slack and priority gain. The score of a job is its age plus these gains. All
/// scores rise alike, so the order of two jobs never changes, and a job waits only for those that
/// were submitted before its own order key: the gains are bounded, the age is not.
std::int64_t
OrderKey(const JobSpec& aSpec, Common::UnixMillis aSubmitted);

/// Adds a job that is in mJobs to the order and the key index.
void
IndexJob(JobsState& aState, Job& aJob);

/// Size of one task of the job, corrected by what was learned. Never more than any worker or the
/// team's quota can give, if the declared size is not.
const TaskSize&
SizeOf(const JobsState& aState, Job& aJob);

/// True if some worker with the labels, and the team's quota or borrowing, can hold the need.
bool
CanEverFit(const JobsState& aState, const JobSpec& aSpec, const Common::Resources& aNeed);

/// Puts the job into its team's queue, or takes it out, as its state demands.
void
RefreshQueue(JobsState& aState, Job& aJob);

void
UnparkDue(JobsState& aState, Common::Timestamp aNow);
void
ParkJob(JobsState& aState, Job& aJob, Common::Timestamp aNow);

/// Adds a live task that waits; aIndex must be neither live nor ended.
std::uint32_t
AddLive(JobsState& aState, Job& aJob, std::uint32_t aIndex, const CurrentTime& aNow);

/// The task takes room of the worker and of its team's quota; kNoWorker takes none.
void
Occupy(JobsState& aState,
       std::uint32_t aSlot,
       std::uint32_t aWorker,
       const Common::Resources& aNeed,
       LiveState aAs,
       const CurrentTime& aNow);

/// The task gives its room back and waits.
void
Vacate(JobsState& aState, std::uint32_t aSlot, const CurrentTime& aNow);

/// Takes the entry at aPlace out of a list of slots; the last entry moves there. aMember is the
/// place that each task keeps for this list.
void
LeaveList(JobsState& aState,
          std::vector<std::uint32_t>& aList,
          std::uint32_t aPlace,
          std::uint32_t LiveTask::*aMember);

/// Ends the task, live or not, and records it (unless the record of the whole job covers it).
void
EndTask(JobsState& aState,
        Job& aJob,
        std::uint32_t aIndex,
        ProgressKind aKind,
        std::uint32_t aAttempt,
        const CurrentTime& aNow,
        bool aRecord = true);

/// Ends all waiting tasks of a cancelled or failed job, unless the job is held.
void
EndWaiting(JobsState& aState, Job& aJob, const CurrentTime& aNow);

/// Cancels or fails a job: waiting tasks end, active ones get a stop command.
void
AbortJob(JobsState& aState,
         Job& aJob,
         ProgressKind aKind,
         const std::string& aReason,
         const CurrentTime& aNow,
         std::vector<TaskAction>& aActions);

/// Attempts of the task that are known to be over.
std::uint32_t
AttemptsOver(const LiveTask& aTask);

/// Records that the attempts up to aOver are over, with the newest checkpoint.
void
RecordAttempts(JobsState& aState, std::uint32_t aSlot, std::uint32_t aOver);

void
AddProgress(JobsState& aState, ProgressRecord aRecord);

/// True if no record of the task or of its whole job waits to be written.
bool
IsDurable(const JobsState& aState, const TaskKey& aKey);

/// The attempt is over without an end of the task: it waits for its next attempt, or ends if its
/// job was aborted or it may not restart.
void
AttemptOver(JobsState& aState, std::uint32_t aSlot, TaskState aHow, const CurrentTime& aNow);

TaskAction
ActionFor(const JobsState& aState, ActionKind aKind, const LiveTask& aTask);

} // namespace Jobs
