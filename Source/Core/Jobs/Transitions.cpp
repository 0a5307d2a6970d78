#include "Jobs/Transitions.h"

#include <algorithm>
#include <cmath>

namespace Jobs {

namespace {

using Common::Resources;

} // namespace

void
SwapRemove(JobsState& aState,
           std::vector<std::uint32_t>& aList,
           std::uint32_t aIndex,
           std::uint32_t LiveTask::*aIndexMember)
{
  aList[aIndex] = aList.back();
  aState.mTasks[aList[aIndex]].*aIndexMember = aIndex;
  aList.pop_back();
}

Job*
FindJob(JobsState& aState, JobNumber aJob)
{
  const auto found = aState.mJobs.find(aJob.value());
  return found == aState.mJobs.end() ? nullptr : &found->second;
}

const Job*
FindJob(const JobsState& aState, JobNumber aJob)
{
  const auto found = aState.mJobs.find(aJob.value());
  return found == aState.mJobs.end() ? nullptr : &found->second;
}

std::uint32_t
FindTaskSlot(const JobsState& aState, const TaskKey& aKey)
{
  const auto found = aState.mTaskIndex.find(aKey);
  return found == aState.mTaskIndex.end() ? kNoSlot : found->second;
}

std::string
ClientKey(const JobSpec& aSpec)
{
  return aSpec.mClient.str() + '\0' + aSpec.mKey.str();
}

std::uint32_t
FindOrAddWorker(JobsState& aState, const Common::WorkerId& aWorker)
{
  const auto [entry, isNew] =
    aState.mWorkerIndex.try_emplace(aWorker, static_cast<std::uint32_t>(aState.mWorkers.size()));
  if (isNew) {
    aState.mWorkers.emplace_back().mName = aWorker;
  }
  return entry->second;
}

std::uint32_t
FindOrAddTeam(JobsState& aState, const Common::TeamId& aTeam)
{
  const auto [entry, isNew] =
    aState.mTeamIndex.try_emplace(aTeam, static_cast<std::uint32_t>(aState.mTeams.size()));
  if (isNew) {
    aState.mTeams.emplace_back().mName = aTeam;
  }
  return entry->second;
}

bool
HasEnded(const Job& aJob, std::uint32_t aIndex)
{
  return aIndex < aJob.mEndKinds.size() && aJob.mEndKinds[aIndex] != 0;
}

std::int64_t
OrderKey(const JobSpec& aSpec, Common::UnixMillis aSubmitted)
{
  using namespace std::chrono_literals;
  // Bonuses in seconds of age. Each is bounded, so that within a day age outweighs their sum.
  double bonusSeconds = 0;
  if (aSpec.mUrgency == Tables::Urgency::Interactive) {
    bonusSeconds += 4 * 3600.0;
  } else if (aSpec.mUrgency == Tables::Urgency::Standard) {
    bonusSeconds += 3600.0;
  }
  // Ten minutes for each doubling of the price, starting from one thousandth of the currency unit.
  const double price = static_cast<double>(std::max<std::int64_t>(aSpec.mPrice.value(), 0));
  bonusSeconds += std::min(600.0 * std::log2(1.0 + price / 1000.0), 2 * 3600.0);
  bonusSeconds += 60.0 * std::clamp(aSpec.mPriority, -60, 60);
  if (aSpec.mDeadline > 0ms) {
    const double slack = std::chrono::duration<double>(aSpec.mDeadline - aSubmitted).count() -
                         std::chrono::duration<double>(aSpec.mRunTime).count();
    bonusSeconds += std::clamp(2 * 3600.0 - slack, 0.0, 2 * 3600.0);
  }
  return std::chrono::duration_cast<std::chrono::microseconds>(aSubmitted).count() -
         static_cast<std::int64_t>(bonusSeconds * 1e6);
}

void
IndexJob(JobsState& aState, Job& aJob)
{
  aJob.mOrderKey = OrderKey(aJob.mSpec, aJob.mSubmitted);
  aJob.mTeam = FindOrAddTeam(aState, aJob.mSpec.mTeam);
  if (!aJob.mSpec.mKey.empty()) {
    aState.mJobsByKey[ClientKey(aJob.mSpec)] = aJob.mNumber;
  }
}

void
RefreshQueue(JobsState& aState, Job& aJob)
{
  const bool shouldBeQueued = aJob.mDurable && !aJob.mCancelled && !aJob.mFailed &&
                              !aJob.mInBackoff && !aJob.mUnschedulable && aJob.startableTasks() > 0;
  if (shouldBeQueued == aJob.mQueued) {
    return;
  }
  aJob.mQueued = shouldBeQueued;
  auto& queue = aState.mTeams[aJob.mTeam].mQueue;
  if (shouldBeQueued) {
    queue.emplace(aJob.mOrderKey, aJob.mNumber.value());
  } else {
    queue.erase({ aJob.mOrderKey, aJob.mNumber.value() });
  }
}

void
EndDueBackoffs(JobsState& aState, Common::Timestamp aNow)
{
  while (!aState.mBackoffQueue.empty() && aState.mBackoffQueue.begin()->first <= aNow) {
    Job* job = FindJob(aState, aState.mBackoffQueue.begin()->second);
    aState.mBackoffQueue.erase(aState.mBackoffQueue.begin());
    if (job != nullptr && job->mInBackoff) {
      job->mInBackoff = false;
      RefreshQueue(aState, *job);
    }
  }
}

void
BackOffJob(JobsState& aState, Job& aJob, Common::Timestamp aNow)
{
  const JobsPolicy& policy = aState.mPolicy;
  const Common::Duration backoff =
    std::min(policy.mMaxBackoff,
             policy.mMinBackoff * (1 << std::min<std::uint32_t>(aJob.mPlacementMisses, 10)));
  ++aJob.mPlacementMisses;
  aJob.mInBackoff = true;
  aState.mBackoffQueue.emplace(aNow + backoff, aJob.mNumber);
  RefreshQueue(aState, aJob);
}

std::uint32_t
AddLiveTask(JobsState& aState, Job& aJob, std::uint32_t aIndex, const CurrentTime& aNow)
{
  std::uint32_t slot = 0;
  if (aState.mFreeSlots.empty()) {
    slot = static_cast<std::uint32_t>(aState.mTasks.size());
    aState.mTasks.emplace_back();
  } else {
    slot = aState.mFreeSlots.back();
    aState.mFreeSlots.pop_back();
  }
  LiveTask& task = aState.mTasks[slot];
  task.mKey = { aJob.mNumber, aIndex };
  task.mSince = aNow.mMonotonic;
  task.mIndexInJob = static_cast<std::uint32_t>(aJob.mLiveSlots.size());
  aJob.mLiveSlots.push_back(slot);
  aState.mTaskIndex.emplace(task.mKey, slot);
  return slot;
}

void
ActivateTask(JobsState& aState,
             std::uint32_t aSlot,
             std::uint32_t aWorker,
             const Resources& aNeed,
             LiveTaskState aNewState,
             const CurrentTime& aNow)
{
  DeactivateTask(aState, aSlot, aNow);
  LiveTask& task = aState.mTasks[aSlot];
  Job& job = *FindJob(aState, task.mKey.mJob);
  task.mState = aNewState;
  task.mWorker = aWorker;
  task.mReported = false;
  ++job.mActiveTasks;
  if (aWorker != kNoWorker) {
    WorkerState& worker = aState.mWorkers[aWorker];
    task.mNeed = aNeed;
    task.mIndexOnWorker = static_cast<std::uint32_t>(worker.mTasks.size());
    worker.mTasks.push_back(aSlot);
    worker.mCharged = worker.mCharged + aNeed;
    Team& team = aState.mTeams[job.mTeam];
    team.mUsed = team.mUsed + aNeed;
  }
  RefreshQueue(aState, job);
}

void
DeactivateTask(JobsState& aState, std::uint32_t aSlot, const CurrentTime& aNow)
{
  LiveTask& task = aState.mTasks[aSlot];
  if (task.mState == LiveTaskState::Waiting) {
    return;
  }
  Job& job = *FindJob(aState, task.mKey.mJob);
  if (task.mWorker != kNoWorker) {
    WorkerState& worker = aState.mWorkers[task.mWorker];
    SwapRemove(aState, worker.mTasks, task.mIndexOnWorker, &LiveTask::mIndexOnWorker);
    worker.mCharged = worker.mCharged - task.mNeed;
    Team& team = aState.mTeams[job.mTeam];
    team.mUsed = team.mUsed - task.mNeed;
  }
  task.mWorker = kNoWorker;
  task.mNeed = {};
  task.mState = LiveTaskState::Waiting;
  task.mSince = aNow.mMonotonic;
  --job.mActiveTasks;
}

} // namespace Jobs
