#include "Jobs/Transitions.h"

#include <algorithm>
#include <cmath>

namespace Jobs {

namespace {

using Common::Resources;

} // namespace

void
LeaveList(JobsState& aState,
          std::vector<std::uint32_t>& aList,
          std::uint32_t aPlace,
          std::uint32_t LiveTask::*aMember)
{
  aList[aPlace] = aList.back();
  aState.mTasks[aList[aPlace]].*aMember = aPlace;
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
FindTask(const JobsState& aState, const TaskKey& aKey)
{
  const auto found = aState.mTaskIndex.find(aKey);
  return found == aState.mTaskIndex.end() ? kNoTask : found->second;
}

std::string
KeyText(const JobSpec& aSpec)
{
  return aSpec.mClient.str() + '\0' + aSpec.mKey.str();
}

std::uint32_t
WorkerNumber(JobsState& aState, const Common::WorkerId& aWorker)
{
  const auto [place, isNew] =
    aState.mWorkerIndex.try_emplace(aWorker, static_cast<std::uint32_t>(aState.mWorkers.size()));
  if (isNew) {
    aState.mWorkers.emplace_back().mName = aWorker;
  }
  return place->second;
}

std::uint32_t
TeamNumber(JobsState& aState, const Common::TeamId& aTeam)
{
  const auto [place, isNew] =
    aState.mTeamIndex.try_emplace(aTeam, static_cast<std::uint32_t>(aState.mTeams.size()));
  if (isNew) {
    aState.mTeams.emplace_back().mName = aTeam;
  }
  return place->second;
}

bool
HasEnded(const Job& aJob, std::uint32_t aIndex)
{
  return aIndex < aJob.mEnded.size() && aJob.mEnded[aIndex] != 0;
}

std::int64_t
OrderKey(const JobSpec& aSpec, Common::UnixMillis aSubmitted)
{
  using namespace std::chrono_literals;
  // Gains in seconds of age. Each kind is bounded, so that age outweighs them all within a day.
  double gain = 0;
  if (aSpec.mUrgency == Tables::Urgency::Interactive) {
    gain += 4 * 3600.0;
  } else if (aSpec.mUrgency == Tables::Urgency::Standard) {
    gain += 3600.0;
  }
  // Ten minutes for each doubling of the price, counted from one thousandth of the currency unit.
  const double price = static_cast<double>(std::max<std::int64_t>(aSpec.mPrice.value(), 0));
  gain += std::min(600.0 * std::log2(1.0 + price / 1000.0), 2 * 3600.0);
  gain += 60.0 * std::clamp(aSpec.mPriority, -60, 60);
  if (aSpec.mDeadline > 0ms) {
    const double slack = std::chrono::duration<double>(aSpec.mDeadline - aSubmitted).count() -
                         std::chrono::duration<double>(aSpec.mRunTime).count();
    gain += std::clamp(2 * 3600.0 - slack, 0.0, 2 * 3600.0);
  }
  return std::chrono::duration_cast<std::chrono::microseconds>(aSubmitted).count() -
         static_cast<std::int64_t>(gain * 1e6);
}

void
IndexJob(JobsState& aState, Job& aJob)
{
  aJob.mOrder = OrderKey(aJob.mSpec, aJob.mSubmitted);
  aJob.mTeam = TeamNumber(aState, aJob.mSpec.mTeam);
  if (!aJob.mSpec.mKey.empty()) {
    aState.mKeys[KeyText(aJob.mSpec)] = aJob.mNumber;
  }
}

void
RefreshQueue(JobsState& aState, Job& aJob)
{
  const bool wanted = aJob.mDurable && !aJob.mCancelled && !aJob.mFailed && !aJob.mParked &&
                      !aJob.mAside && aJob.startable() > 0;
  if (wanted == aJob.mQueued) {
    return;
  }
  aJob.mQueued = wanted;
  auto& queue = aState.mTeams[aJob.mTeam].mQueue;
  if (wanted) {
    queue.emplace(aJob.mOrder, aJob.mNumber.value());
  } else {
    queue.erase({ aJob.mOrder, aJob.mNumber.value() });
  }
}

void
UnparkDue(JobsState& aState, Common::Timestamp aNow)
{
  while (!aState.mParked.empty() && aState.mParked.begin()->first <= aNow) {
    Job* job = FindJob(aState, aState.mParked.begin()->second);
    aState.mParked.erase(aState.mParked.begin());
    if (job != nullptr && job->mParked) {
      job->mParked = false;
      RefreshQueue(aState, *job);
    }
  }
}

void
ParkJob(JobsState& aState, Job& aJob, Common::Timestamp aNow)
{
  const JobsPolicy& policy = aState.mPolicy;
  const Common::Duration wait =
    std::min(policy.mParkMax, policy.mParkMin * (1 << std::min<std::uint32_t>(aJob.mMisses, 10)));
  ++aJob.mMisses;
  aJob.mParked = true;
  aState.mParked.emplace(aNow + wait, aJob.mNumber);
  RefreshQueue(aState, aJob);
}

std::uint32_t
AddLive(JobsState& aState, Job& aJob, std::uint32_t aIndex, const CurrentTime& aNow)
{
  std::uint32_t slot = 0;
  if (aState.mFreeTasks.empty()) {
    slot = static_cast<std::uint32_t>(aState.mTasks.size());
    aState.mTasks.emplace_back();
  } else {
    slot = aState.mFreeTasks.back();
    aState.mFreeTasks.pop_back();
  }
  LiveTask& task = aState.mTasks[slot];
  task.mKey = { aJob.mNumber, aIndex };
  task.mSince = aNow.mMonotonic;
  task.mPlaceInJob = static_cast<std::uint32_t>(aJob.mLive.size());
  aJob.mLive.push_back(slot);
  aState.mTaskIndex.emplace(task.mKey, slot);
  return slot;
}

void
Occupy(JobsState& aState,
       std::uint32_t aSlot,
       std::uint32_t aWorker,
       const Resources& aNeed,
       LiveState aAs,
       const CurrentTime& aNow)
{
  Vacate(aState, aSlot, aNow);
  LiveTask& task = aState.mTasks[aSlot];
  Job& job = *FindJob(aState, task.mKey.mJob);
  task.mState = aAs;
  task.mWorker = aWorker;
  task.mSeen = false;
  ++job.mActive;
  if (aWorker != kNoWorker) {
    WorkerState& worker = aState.mWorkers[aWorker];
    task.mNeed = aNeed;
    task.mPlaceOnWorker = static_cast<std::uint32_t>(worker.mTasks.size());
    worker.mTasks.push_back(aSlot);
    worker.mCharged = worker.mCharged + aNeed;
    Team& team = aState.mTeams[job.mTeam];
    team.mUsed = team.mUsed + aNeed;
  }
  RefreshQueue(aState, job);
}

void
Vacate(JobsState& aState, std::uint32_t aSlot, const CurrentTime& aNow)
{
  LiveTask& task = aState.mTasks[aSlot];
  if (task.mState == LiveState::Waiting) {
    return;
  }
  Job& job = *FindJob(aState, task.mKey.mJob);
  if (task.mWorker != kNoWorker) {
    WorkerState& worker = aState.mWorkers[task.mWorker];
    LeaveList(aState, worker.mTasks, task.mPlaceOnWorker, &LiveTask::mPlaceOnWorker);
    worker.mCharged = worker.mCharged - task.mNeed;
    Team& team = aState.mTeams[job.mTeam];
    team.mUsed = team.mUsed - task.mNeed;
  }
  task.mWorker = kNoWorker;
  task.mNeed = {};
  task.mState = LiveState::Waiting;
  task.mSince = aNow.mMonotonic;
  --job.mActive;
}

} // namespace Jobs
