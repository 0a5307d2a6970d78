#include "Jobs/Jobs.h"
#include "Jobs/Transitions.h"

#include <algorithm>

namespace Jobs {

namespace {

using Common::Resources;

bool
IsPositive(const Resources& aAmounts)
{
  return aAmounts.mCores.value() > 0 || aAmounts.mMemory.value() > 0 ||
         aAmounts.mAccelerators.value() > 0;
}

/// What parked jobs of teams below their quota wait for.
Resources
Owed(const JobsState& aState)
{
  Resources owed;
  for (const auto& [time, number] : aState.mParked) {
    const Job* job = FindJob(aState, number);
    if (job == nullptr || !job->mParked || job->startable() == 0) {
      continue;
    }
    const Team& team = aState.mTeams[job->mTeam];
    if (Fits(team.mUsed + job->mSize.mAmounts, team.mQuota)) {
      owed = owed + job->mSize.mAmounts;
    }
  }
  return owed;
}

struct Victim
{
  std::uint32_t mSlot = 0;
  std::int64_t mOrder = 0;
  Common::Duration mLost{ 0 };
};

/// Tasks of teams above their quota, the least valuable first.
std::vector<Victim>
Victims(const JobsState& aState, const CurrentTime& aNow)
{
  std::vector<Victim> victims;
  for (const auto& [number, job] : aState.mJobs) {
    const Team& team = aState.mTeams[job.mTeam];
    if (Fits(team.mUsed, team.mQuota) || job.mSpec.mRestart == Tables::RestartPolicy::Never) {
      continue;
    }
    for (const std::uint32_t slot : job.mLive) {
      const LiveTask& task = aState.mTasks[slot];
      if (task.mState == LiveState::Running) {
        victims.push_back({ slot, job.mOrder, aNow.mMonotonic - task.mSince });
      }
    }
  }
  std::sort(victims.begin(), victims.end(), [](const Victim& aLeft, const Victim& aRight) {
    return aLeft.mOrder != aRight.mOrder ? aLeft.mOrder > aRight.mOrder
                                         : aLeft.mLost < aRight.mLost;
  });
  return victims;
}

/// What is being given back already.
Resources
Returning(const JobsState& aState)
{
  Resources returning;
  for (const LiveTask& task : aState.mTasks) {
    if (task.mState == LiveState::Evicting || task.mState == LiveState::Stopping) {
      returning = returning + task.mNeed;
    }
  }
  return returning;
}

} // namespace

bool
EvictTask(JobsState& aState,
          const Common::TaskId& aTask,
          const CurrentTime& /*aNow*/,
          std::vector<TaskAction>& aActions)
{
  const auto key = ParseTaskId(aState.mCell, aTask.str());
  const std::uint32_t slot = key ? FindTask(aState, *key) : kNoTask;
  if (slot == kNoTask || aState.mTasks[slot].mState != LiveState::Running) {
    return false;
  }
  if (FindJob(aState, key->mJob)->mSpec.mRestart == Tables::RestartPolicy::Never) {
    return false;
  }
  aState.mTasks[slot].mState = LiveState::Evicting;
  aActions.push_back(ActionFor(aState, ActionKind::Evict, aState.mTasks[slot]));
  return true;
}

std::vector<TaskAction>
ReclaimQuota(JobsState& aState, const CurrentTime& aNow, std::size_t aLimit)
{
  std::vector<TaskAction> actions;
  Resources owed = Owed(aState);
  if (!IsPositive(owed)) {
    return actions;
  }
  owed = owed - Returning(aState);
  std::vector<Resources> used;
  for (const Team& team : aState.mTeams) {
    used.push_back(team.mUsed);
  }
  for (const Victim& victim : Victims(aState, aNow)) {
    if (!IsPositive(owed) || actions.size() >= aLimit) {
      break;
    }
    LiveTask& task = aState.mTasks[victim.mSlot];
    const std::uint32_t team = FindJob(aState, task.mKey.mJob)->mTeam;
    if (Fits(used[team], aState.mTeams[team].mQuota)) {
      continue;
    }
    used[team] = used[team] - task.mNeed;
    owed = owed - task.mNeed;
    task.mState = LiveState::Evicting;
    actions.push_back(ActionFor(aState, ActionKind::Evict, task));
  }
  return actions;
}

} // namespace Jobs
