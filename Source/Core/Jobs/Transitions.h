#pragma once

#include <cstdint>
#include <vector>

#include "Jobs/State.h"

/// Changes of single jobs and tasks that keep the counts, indexes and charges of the state
/// consistent. Only the sources of this library use them.
namespace Jobs {

Job*
FindJob(JobsState& aState, JobNumber aJob);
const Job*
FindJob(const JobsState& aState, JobNumber aJob);

/// Slot of the live task; kNoSlot if there is none.
std::uint32_t
FindTaskSlot(const JobsState& aState, const TaskKey& aKey);

/// Key of the job in JobsState::mJobsByKey: client and idempotency key, joined by a zero byte.
std::string
ClientKey(const JobSpec& aSpec);

/// Index of the worker in JobsState::mWorkers.
std::uint32_t
FindOrAddWorker(JobsState& aState, const Common::WorkerId& aWorker);

/// Index of the team in JobsState::mTeams.
std::uint32_t
FindOrAddTeam(JobsState& aState, const Common::TeamId& aTeam);

bool
HasEnded(const Job& aJob, std::uint32_t aIndex);

/// Position in the start order, in Unix microseconds: the time of submission minus the bonuses for
/// price, urgency, deadline and priority. The score of a job is its age plus its bonuses. All
/// scores grow at the same rate, so the order of two jobs never changes. A job waits only for jobs
/// that were submitted before its own order key: the bonuses are bounded and the age is not.
std::int64_t
OrderKey(const JobSpec& aSpec, Common::UnixMillis aSubmitted);

/// Computes the order key and the team of a job in mJobs, and adds its idempotency key.
void
IndexJob(JobsState& aState, Job& aJob);

/// Size of one task of the job, corrected by measured use. If no worker or quota can hold the
/// corrected resources, the declared ones apply.
const TaskSize&
EstimatedSize(const JobsState& aState, Job& aJob);

/// True if some kind of worker with all labels of the job can hold the resources, and the team may
/// use them by its quota or by borrowing.
bool
CanEverFit(const JobsState& aState, const JobSpec& aSpec, const Common::Resources& aNeed);

/// Adds the job to the queue of its team or removes it, depending on whether it has tasks to start
/// now.
void
RefreshQueue(JobsState& aState, Job& aJob);

/// Ends the backoffs that are due at aNow and queues their jobs.
void
EndDueBackoffs(JobsState& aState, Common::Timestamp aNow);
/// Takes the job out of the queue until its backoff ends; see JobsPolicy::mMinBackoff.
void
BackOffJob(JobsState& aState, Job& aJob, Common::Timestamp aNow);

/// Adds a waiting live task and returns its slot. The task aIndex must be neither live nor ended.
std::uint32_t
AddLiveTask(JobsState& aState, Job& aJob, std::uint32_t aIndex, const CurrentTime& aNow);

/// Puts the task into aNewState on the worker and charges aNeed to the worker and to the team. With
/// kNoWorker nothing is charged.
void
ActivateTask(JobsState& aState,
             std::uint32_t aSlot,
             std::uint32_t aWorker,
             const Common::Resources& aNeed,
             LiveTaskState aNewState,
             const CurrentTime& aNow);

/// Sets the task to waiting and returns its resources to the worker and the team.
void
DeactivateTask(JobsState& aState, std::uint32_t aSlot, const CurrentTime& aNow);

/// Removes the entry at aIndex from a list of slots by moving the last entry there. aIndexMember is
/// the member that holds the index of a task in this list.
void
SwapRemove(JobsState& aState,
           std::vector<std::uint32_t>& aList,
           std::uint32_t aIndex,
           std::uint32_t LiveTask::*aIndexMember);

/// Ends the task, live or not. Records the end if aRecord is set; it is not if a record of the
/// whole job implies it.
void
EndTask(JobsState& aState,
        Job& aJob,
        std::uint32_t aIndex,
        ProgressKind aKind,
        std::uint32_t aAttempt,
        const CurrentTime& aNow,
        bool aRecord = true);

/// Ends all waiting tasks of a cancelled or failed job as cancelled, unless the job is held.
void
EndWaitingTasks(JobsState& aState, Job& aJob, const CurrentTime& aNow);

/// Cancels or fails a job; aKind is JobCancelled or JobFailed. Waiting tasks end, and those on a
/// worker get a stop command. Does nothing if the job has ended or was aborted before.
void
AbortJob(JobsState& aState,
         Job& aJob,
         ProgressKind aKind,
         const std::string& aReason,
         const CurrentTime& aNow,
         std::vector<TaskAction>& aActions);

/// Number of the last attempt of the task that is known to have ended.
std::uint32_t
EndedAttempts(const LiveTask& aTask);

/// Records that the attempts up to aLastEnded have ended, together with the newest checkpoint.
void
RecordEndedAttempts(JobsState& aState, std::uint32_t aSlot, std::uint32_t aLastEnded);

void
AddProgressRecord(JobsState& aState, ProgressRecord aRecord);

/// True if neither the task nor its job as a whole has a record that is not durable.
bool
IsTaskDurable(const JobsState& aState, const TaskKey& aKey);

/// Ends the current attempt of a task that has not finished: the task waits for its next attempt,
/// becomes uncertain if its job is held, or ends if its job was aborted or it may not restart.
/// aEndState is the state in which the attempt ended.
void
EndAttempt(JobsState& aState, std::uint32_t aSlot, TaskState aEndState, const CurrentTime& aNow);

TaskAction
MakeAction(const JobsState& aState, ActionKind aKind, const LiveTask& aTask);

} // namespace Jobs
