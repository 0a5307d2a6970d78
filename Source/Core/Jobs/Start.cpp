#include "Jobs/Jobs.h"
#include "Jobs/Transitions.h"

#include <algorithm>
#include <limits>

namespace Jobs {

namespace {

using Common::Resources;

constexpr std::uint32_t kNoIndex = UINT32_MAX;

Resources
Positive(const Resources& aAmounts)
{
  return { std::max(aAmounts.mCores, Common::MilliCores()),
           std::max(aAmounts.mMemory, Common::Bytes()),
           std::max(aAmounts.mAccelerators, Common::Accelerators()) };
}

/// The next waiting task of the job, which stays where it is; kNoIndex if there is none.
std::uint32_t
PeekWaiting(const JobsState& aState, Job& aJob)
{
  while (!aJob.mAgain.empty()) {
    const std::uint32_t index = aJob.mAgain.back();
    const std::uint32_t slot = FindTask(aState, { aJob.mNumber, index });
    if (slot != kNoTask && aState.mTasks[slot].mState == LiveState::Waiting) {
      return index;
    }
    // A late report has settled the task since it was put here.
    aJob.mAgain.pop_back();
  }
  while (aJob.mNextFresh < aJob.mSpec.mTasks) {
    if (!HasEnded(aJob, aJob.mNextFresh) &&
        FindTask(aState, { aJob.mNumber, aJob.mNextFresh }) == kNoTask) {
      return aJob.mNextFresh;
    }
    ++aJob.mNextFresh;
  }
  return kNoIndex;
}

std::uint32_t
TakeWaiting(JobsState& aState, Job& aJob, std::uint32_t aIndex, const CurrentTime& aNow)
{
  if (!aJob.mAgain.empty()) {
    aJob.mAgain.pop_back();
    return FindTask(aState, { aJob.mNumber, aIndex });
  }
  ++aJob.mNextFresh;
  const std::uint32_t slot = AddLive(aState, aJob, aIndex, aNow);
  aState.mTasks[slot].mAttempt = aJob.mFirstAttempt - 1;
  return slot;
}

TaskStart
DescribeStart(const JobsState& aState, const Job& aJob, const LiveTask& aTask, std::uint32_t aSlot)
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
HeadJob(JobsState& aState, const Team& aTeam)
{
  return *FindJob(aState, JobNumber(aTeam.mQueue.begin()->second));
}

/// Team below its quota whose first job goes first.
Team*
ChooseOwing(JobsState& aState)
{
  Team* best = nullptr;
  for (Team& team : aState.mTeams) {
    if (team.mQueue.empty() ||
        (best != nullptr && best->mQueue.begin()->first <= team.mQueue.begin()->first)) {
      continue;
    }
    if (Fits(team.mUsed + SizeOf(aState, HeadJob(aState, team)).mAmounts, team.mQuota)) {
      best = &team;
    }
  }
  return best;
}

/// Capacity that no team below its quota may need.
Resources
IdleQuota(const JobsState& aState)
{
  Resources idle = aState.mCapacity;
  for (const Team& team : aState.mTeams) {
    idle = idle - team.mUsed;
    if (!team.mQueue.empty()) {
      idle = idle - Positive(team.mQuota - team.mUsed);
    }
  }
  return idle;
}

double
BorrowedShare(const Team& aTeam, const Resources& aCapacity)
{
  const Resources over = Positive(aTeam.mUsed - aTeam.mQuota);
  const auto part = [](std::int64_t aAmount, std::int64_t aOf) {
    return aOf > 0 ? static_cast<double>(aAmount) / static_cast<double>(aOf) : 0.0;
  };
  const double share =
    std::max({ part(over.mCores.value(), aCapacity.mCores.value()),
               part(over.mMemory.value(), aCapacity.mMemory.value()),
               part(over.mAccelerators.value(), aCapacity.mAccelerators.value()) });
  return share / aTeam.mWeight;
}

/// Team that may borrow and has borrowed least for its weight. Jobs above the idle quota are parked
/// if they can only ever run by borrowing, because they would hold up smaller ones of their team.
Team*
ChooseBorrower(JobsState& aState, const Resources& aIdle, const CurrentTime& aNow)
{
  Team* best = nullptr;
  double least = std::numeric_limits<double>::infinity();
  for (Team& team : aState.mTeams) {
    if (team.mQueue.empty() || !team.mMayBorrow) {
      continue;
    }
    Job& head = HeadJob(aState, team);
    const Resources need = SizeOf(aState, head).mAmounts;
    const Resources own = Positive(team.mQuota - team.mUsed);
    if (!Fits(Positive(need - own), Positive(aIdle))) {
      if (!Fits(need, team.mQuota)) {
        ParkJob(aState, head, aNow.mMonotonic);
      }
      continue;
    }
    const double share = BorrowedShare(team, aState.mCapacity);
    if (share < least) {
      least = share;
      best = &team;
    }
  }
  return best;
}

std::optional<TaskStart>
StartHead(JobsState& aState, Team& aTeam, const CurrentTime& aNow, const Placer& aPlace)
{
  Job& job = HeadJob(aState, aTeam);
  const std::uint32_t index = PeekWaiting(aState, job);
  if (index == kNoIndex) {
    ParkJob(aState, job, aNow.mMonotonic);
    return std::nullopt;
  }
  const std::uint32_t known = FindTask(aState, { job.mNumber, index });
  PlacementRequest need;
  need.mKey = { job.mNumber, index };
  const std::uint32_t before =
    known == kNoTask ? job.mFirstAttempt - 1 : aState.mTasks[known].mAttempt;
  need.mAttempt = Common::Attempt(before + 1);
  need.mNeed = SizeOf(aState, job).mAmounts;
  need.mSpec = &job.mSpec;
  if (known != kNoTask && aState.mTasks[known].mFailedOn != kNoWorker) {
    need.mAvoidWorker = aState.mWorkers[aState.mTasks[known].mFailedOn].mName;
  }
  const std::optional<Common::WorkerId> worker = aPlace(need);
  if (!worker) {
    ParkJob(aState, job, aNow.mMonotonic);
    return std::nullopt;
  }
  job.mMisses = 0;
  const std::uint32_t slot = TakeWaiting(aState, job, index, aNow);
  Occupy(aState, slot, WorkerNumber(aState, *worker), need.mNeed, LiveState::Starting, aNow);
  ++aState.mTasks[slot].mAttempt;
  return DescribeStart(aState, job, aState.mTasks[slot], slot);
}

} // namespace

std::vector<TaskStart>
StartTasks(JobsState& aState, const CurrentTime& aNow, std::size_t aLimit, const Placer& aPlace)
{
  UnparkDue(aState, aNow.mMonotonic);
  std::vector<TaskStart> starts;
  while (starts.size() < aLimit) {
    Team* team = ChooseOwing(aState);
    if (team == nullptr) {
      team = ChooseBorrower(aState, IdleQuota(aState), aNow);
    }
    if (team == nullptr) {
      break;
    }
    if (auto start = StartHead(aState, *team, aNow, aPlace)) {
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
  // A start that is on its way to a silent worker could arrive after the worker's release, when its
  // task runs elsewhere. None is sent until the worker is heard.
  const bool silent = aState.mWorkers[found->second].mSilent;
  for (const std::uint32_t slot : aState.mWorkers[found->second].mTasks) {
    const LiveTask& task = aState.mTasks[slot];
    if (task.mState == LiveState::Starting && !silent) {
      commands.mStarts.push_back(
        DescribeStart(aState, *FindJob(aState, task.mKey.mJob), task, slot));
    } else if (task.mState == LiveState::Evicting) {
      commands.mActions.push_back(ActionFor(aState, ActionKind::Evict, task));
    } else if (task.mState == LiveState::Stopping) {
      commands.mActions.push_back(ActionFor(aState, ActionKind::Stop, task));
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
    if (!task.mSeen) {
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
