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

/// Resources for one task of each job in backoff whose team stays within its quota with that task.
Resources
UnmetQuotaDemand(const JobsState& aState)
{
  Resources unmet;
  for (const auto& [time, number] : aState.mBackoffQueue) {
    const Job* job = FindJob(aState, number);
    if (job == nullptr || !job->mInBackoff || job->startableTasks() == 0) {
      continue;
    }
    const Team& team = aState.mTeams[job->mTeam];
    if (Fits(team.mUsed + job->mSize.mAmounts, team.mQuota)) {
      unmet = unmet + job->mSize.mAmounts;
    }
  }
  return unmet;
}

struct EvictionCandidate
{
  std::uint32_t mSlot = 0;
  std::int64_t mOrderKey = 0;
  Common::Duration mLostProgress{ 0 };
};

/// Running tasks of teams above their quota, those last in the start order first.
std::vector<EvictionCandidate>
EvictionCandidates(const JobsState& aState, const CurrentTime& aNow)
{
  std::vector<EvictionCandidate> candidates;
  for (const auto& [number, job] : aState.mJobs) {
    const Team& team = aState.mTeams[job.mTeam];
    if (Fits(team.mUsed, team.mQuota) || job.mSpec.mRestart == Tables::RestartPolicy::Never) {
      continue;
    }
    for (const std::uint32_t slot : job.mLiveSlots) {
      const LiveTask& task = aState.mTasks[slot];
      if (task.mState == LiveTaskState::Running) {
        candidates.push_back({ slot, job.mOrderKey, aNow.mMonotonic - task.mSince });
      }
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const EvictionCandidate& aLeft, const EvictionCandidate& aRight) {
              return aLeft.mOrderKey != aRight.mOrderKey
                       ? aLeft.mOrderKey > aRight.mOrderKey
                       : aLeft.mLostProgress < aRight.mLostProgress;
            });
  return candidates;
}

/// Resources of tasks that were told to stop and still hold them.
Resources
ResourcesBeingFreed(const JobsState& aState)
{
  Resources freed;
  for (const LiveTask& task : aState.mTasks) {
    if (task.mState == LiveTaskState::Evicting || task.mState == LiveTaskState::Stopping) {
      freed = freed + task.mNeed;
    }
  }
  return freed;
}

} // namespace

bool
EvictTask(JobsState& aState,
          const Common::TaskId& aTask,
          const CurrentTime& /*aNow*/,
          std::vector<TaskAction>& aActions)
{
  const auto key = ParseTaskId(aState.mCell, aTask.str());
  const std::uint32_t slot = key ? FindTaskSlot(aState, *key) : kNoSlot;
  if (slot == kNoSlot || aState.mTasks[slot].mState != LiveTaskState::Running) {
    return false;
  }
  if (FindJob(aState, key->mJob)->mSpec.mRestart == Tables::RestartPolicy::Never) {
    return false;
  }
  aState.mTasks[slot].mState = LiveTaskState::Evicting;
  aActions.push_back(MakeAction(aState, ActionKind::Evict, aState.mTasks[slot]));
  return true;
}

std::vector<TaskAction>
ReclaimQuota(JobsState& aState, const CurrentTime& aNow, std::size_t aLimit)
{
  std::vector<TaskAction> actions;
  Resources unmet = UnmetQuotaDemand(aState);
  if (!IsPositive(unmet)) {
    return actions;
  }
  unmet = unmet - ResourcesBeingFreed(aState);
  std::vector<Resources> used;
  for (const Team& team : aState.mTeams) {
    used.push_back(team.mUsed);
  }
  for (const EvictionCandidate& candidate : EvictionCandidates(aState, aNow)) {
    if (!IsPositive(unmet) || actions.size() >= aLimit) {
      break;
    }
    LiveTask& task = aState.mTasks[candidate.mSlot];
    const std::uint32_t team = FindJob(aState, task.mKey.mJob)->mTeam;
    if (Fits(used[team], aState.mTeams[team].mQuota)) {
      continue;
    }
    used[team] = used[team] - task.mNeed;
    unmet = unmet - task.mNeed;
    task.mState = LiveTaskState::Evicting;
    actions.push_back(MakeAction(aState, ActionKind::Evict, task));
  }
  return actions;
}

} // namespace Jobs
