#include "Jobs/Jobs.h"
#include "Jobs/Transitions.h"

#include <algorithm>
#include <limits>

namespace Jobs {

namespace {

using Common::Resources;

constexpr std::uint32_t kNoIndex = UINT32_MAX;

Resources
ClampToZero(const Resources& aAmounts)
{
  return { std::max(aAmounts.mCores, Common::MilliCores()),
           std::max(aAmounts.mMemory, Common::Bytes()),
           std::max(aAmounts.mAccelerators, Common::Accelerators()) };
}

/// Index of the next waiting task of the job, which is not removed; kNoIndex if there is none.
/// Drops outdated entries of mRestartIndexes.
std::uint32_t
NextWaitingTask(const JobsState& aState, Job& aJob)
{
  while (!aJob.mRestartIndexes.empty()) {
    const std::uint32_t index = aJob.mRestartIndexes.back();
    const std::uint32_t slot = FindTaskSlot(aState, { aJob.mNumber, index });
    if (slot != kNoSlot && aState.mTasks[slot].mState == LiveTaskState::Waiting) {
      return index;
    }
    // A late report has ended or restarted the task since it was added.
    aJob.mRestartIndexes.pop_back();
  }
  while (aJob.mNextUnstarted < aJob.mSpec.mTasks) {
    if (!HasEnded(aJob, aJob.mNextUnstarted) &&
        FindTaskSlot(aState, { aJob.mNumber, aJob.mNextUnstarted }) == kNoSlot) {
      return aJob.mNextUnstarted;
    }
    ++aJob.mNextUnstarted;
  }
  return kNoIndex;
}

/// Removes the task that NextWaitingTask returned from the waiting ones, and returns its slot.
std::uint32_t
ClaimWaitingTask(JobsState& aState, Job& aJob, std::uint32_t aIndex, const CurrentTime& aNow)
{
  if (!aJob.mRestartIndexes.empty()) {
    aJob.mRestartIndexes.pop_back();
    return FindTaskSlot(aState, { aJob.mNumber, aIndex });
  }
  ++aJob.mNextUnstarted;
  const std::uint32_t slot = AddLiveTask(aState, aJob, aIndex, aNow);
  aState.mTasks[slot].mAttempt = aJob.mFirstAttempt - 1;
  return slot;
}

TaskStart
MakeTaskStart(const JobsState& aState, const Job& aJob, const LiveTask& aTask, std::uint32_t aSlot)
{
  TaskStart start;
  start.mKey = aTask.mKey;
  start.mTask = MakeTaskId(aState.mCell, aTask.mKey);
  start.mJob = MakeJobId(aState.mCell, aJob.mNumber);
  start.mAttempt = Common::Attempt(aTask.mAttempt);
  start.mWorker = aState.mWorkers[aTask.mWorker].mName;
  if (aTask.mCheckpointAttempt != 0) {
    start.mCheckpoint = aState.mCheckpoints.at(aSlot);
    start.mCheckpointAttempt = Common::Attempt(aTask.mCheckpointAttempt);
  }
  start.mNeed = aTask.mNeed;
  start.mRunTime = aJob.mSize.mRunTime;
  start.mPayload = aJob.mSpec.mPayload;
  start.mRoute = aJob.mSpec.mRoute;
  start.mClient = aJob.mSpec.mClient;
  start.mTeam = aJob.mSpec.mTeam;
  start.mMayRestart = aJob.mSpec.mRestart != Tables::RestartPolicy::Never;
  return start;
}

Job&
FirstQueuedJob(JobsState& aState, const Team& aTeam)
{
  return *FindJob(aState, JobNumber(aTeam.mQueue.begin()->second));
}

/// The team whose first job comes first in the start order, among those that stay within their
/// quota with a task of it; nullptr if there is none.
Team*
ChooseTeamWithinQuota(JobsState& aState)
{
  Team* best = nullptr;
  for (Team& team : aState.mTeams) {
    if (team.mQueue.empty() ||
        (best != nullptr && best->mQueue.begin()->first <= team.mQueue.begin()->first)) {
      continue;
    }
    if (Fits(team.mUsed + EstimatedSize(aState, FirstQueuedJob(aState, team)).mAmounts,
             team.mQuota)) {
      best = &team;
    }
  }
  return best;
}

/// Capacity that is unused and that no team with queued jobs can claim under its quota.
Resources
UnclaimedCapacity(const JobsState& aState)
{
  Resources idle = aState.mCapacity;
  for (const Team& team : aState.mTeams) {
    idle = idle - team.mUsed;
    if (!team.mQueue.empty()) {
      idle = idle - ClampToZero(team.mQuota - team.mUsed);
    }
  }
  return idle;
}

/// Share of the capacity that the team uses above its quota, divided by its weight. The resource
/// with the largest share counts.
double
BorrowedShare(const Team& aTeam, const Resources& aCapacity)
{
  const Resources borrowed = ClampToZero(aTeam.mUsed - aTeam.mQuota);
  const auto fraction = [](std::int64_t aAmount, std::int64_t aTotal) {
    return aTotal > 0 ? static_cast<double>(aAmount) / static_cast<double>(aTotal) : 0.0;
  };
  const double share =
    std::max({ fraction(borrowed.mCores.value(), aCapacity.mCores.value()),
               fraction(borrowed.mMemory.value(), aCapacity.mMemory.value()),
               fraction(borrowed.mAccelerators.value(), aCapacity.mAccelerators.value()) });
  return share / aTeam.mWeight;
}

/// The team that may borrow and has borrowed least relative to its weight; nullptr if there is
/// none. A job that needs more than the unclaimed capacity and can only ever run by borrowing backs
/// off, because it would block smaller jobs of its team.
Team*
ChooseBorrowingTeam(JobsState& aState, const Resources& aIdle, const CurrentTime& aNow)
{
  Team* best = nullptr;
  double leastShare = std::numeric_limits<double>::infinity();
  for (Team& team : aState.mTeams) {
    if (team.mQueue.empty() || !team.mMayBorrow) {
      continue;
    }
    Job& job = FirstQueuedJob(aState, team);
    const Resources need = EstimatedSize(aState, job).mAmounts;
    const Resources unusedQuota = ClampToZero(team.mQuota - team.mUsed);
    if (!Fits(ClampToZero(need - unusedQuota), ClampToZero(aIdle))) {
      if (!Fits(need, team.mQuota)) {
        BackOffJob(aState, job, aNow.mMonotonic);
      }
      continue;
    }
    const double share = BorrowedShare(team, aState.mCapacity);
    if (share < leastShare) {
      leastShare = share;
      best = &team;
    }
  }
  return best;
}

/// Starts a task of the first queued job of the team. If no worker has room, the job backs off and
/// std::nullopt is returned.
std::optional<TaskStart>
StartFirstQueuedTask(JobsState& aState, Team& aTeam, const CurrentTime& aNow, const Placer& aPlace)
{
  Job& job = FirstQueuedJob(aState, aTeam);
  const std::uint32_t index = NextWaitingTask(aState, job);
  if (index == kNoIndex) {
    BackOffJob(aState, job, aNow.mMonotonic);
    return std::nullopt;
  }
  const std::uint32_t knownSlot = FindTaskSlot(aState, { job.mNumber, index });
  PlacementRequest request;
  request.mKey = { job.mNumber, index };
  const std::uint32_t previousAttempt =
    knownSlot == kNoSlot ? job.mFirstAttempt - 1 : aState.mTasks[knownSlot].mAttempt;
  request.mAttempt = Common::Attempt(previousAttempt + 1);
  request.mNeed = EstimatedSize(aState, job).mAmounts;
  request.mSpec = &job.mSpec;
  if (knownSlot != kNoSlot && aState.mTasks[knownSlot].mLastFailedOn != kNoWorker) {
    request.mAvoidWorker = aState.mWorkers[aState.mTasks[knownSlot].mLastFailedOn].mName;
  }
  const std::optional<Common::WorkerId> worker = aPlace(request);
  if (!worker) {
    BackOffJob(aState, job, aNow.mMonotonic);
    return std::nullopt;
  }
  job.mPlacementMisses = 0;
  const std::uint32_t slot = ClaimWaitingTask(aState, job, index, aNow);
  ActivateTask(
    aState, slot, FindOrAddWorker(aState, *worker), request.mNeed, LiveTaskState::Starting, aNow);
  ++aState.mTasks[slot].mAttempt;
  return MakeTaskStart(aState, job, aState.mTasks[slot], slot);
}

} // namespace

std::vector<TaskStart>
StartTasks(JobsState& aState, const CurrentTime& aNow, std::size_t aLimit, const Placer& aPlace)
{
  EndDueBackoffs(aState, aNow.mMonotonic);
  std::vector<TaskStart> starts;
  while (starts.size() < aLimit) {
    Team* team = ChooseTeamWithinQuota(aState);
    if (team == nullptr) {
      team = ChooseBorrowingTeam(aState, UnclaimedCapacity(aState), aNow);
    }
    if (team == nullptr) {
      break;
    }
    if (auto start = StartFirstQueuedTask(aState, *team, aNow, aPlace)) {
      starts.push_back(std::move(*start));
    }
  }
  return starts;
}

WorkerCommands
PendingCommands(const JobsState& aState, const Common::WorkerId& aWorker)
{
  WorkerCommands commands;
  const auto found = aState.mWorkerIndex.find(aWorker);
  if (found == aState.mWorkerIndex.end()) {
    return commands;
  }
  // A start that is sent to a silent worker could arrive after the release of the worker, when its
  // task runs elsewhere. None is sent until the worker is heard.
  const bool silent = aState.mWorkers[found->second].mSilent;
  for (const std::uint32_t slot : aState.mWorkers[found->second].mTasks) {
    const LiveTask& task = aState.mTasks[slot];
    if (task.mState == LiveTaskState::Starting && !silent) {
      commands.mStarts.push_back(
        MakeTaskStart(aState, *FindJob(aState, task.mKey.mJob), task, slot));
    } else if (task.mState == LiveTaskState::Evicting) {
      commands.mActions.push_back(MakeAction(aState, ActionKind::Evict, task));
    } else if (task.mState == LiveTaskState::Stopping) {
      commands.mActions.push_back(MakeAction(aState, ActionKind::Stop, task));
    }
  }
  return commands;
}

std::vector<UnconfirmedStart>
UnconfirmedStarts(const JobsState& aState, const Common::WorkerId& aWorker)
{
  std::vector<UnconfirmedStart> starts;
  const auto found = aState.mWorkerIndex.find(aWorker);
  if (found == aState.mWorkerIndex.end()) {
    return starts;
  }
  for (const std::uint32_t slot : aState.mWorkers[found->second].mTasks) {
    const LiveTask& task = aState.mTasks[slot];
    if (!task.mReported) {
      starts.push_back({ task.mKey, Common::Attempt(task.mAttempt), task.mNeed });
    }
  }
  return starts;
}

Common::Resources
ChargedResources(const JobsState& aState, const Common::WorkerId& aWorker)
{
  const auto found = aState.mWorkerIndex.find(aWorker);
  return found == aState.mWorkerIndex.end() ? Resources{} : aState.mWorkers[found->second].mCharged;
}

Common::Resources
UnconfirmedResources(const JobsState& aState, const Common::WorkerId& aWorker)
{
  Common::Resources sum;
  for (const UnconfirmedStart& start : UnconfirmedStarts(aState, aWorker)) {
    sum = sum + start.mNeed;
  }
  return sum;
}

} // namespace Jobs
