#include "Jobs/Jobs.h"
#include "Jobs/Transitions.h"

#include <algorithm>

namespace Jobs {

namespace {

using Common::Resources;

bool
HasLabels(const WorkerShape& aShape, const std::vector<std::string>& aLabels)
{
  return std::all_of(aLabels.begin(), aLabels.end(), [&](const std::string& aLabel) {
    return std::find(aShape.mLabels.begin(), aShape.mLabels.end(), aLabel) != aShape.mLabels.end();
  });
}

std::string
MissingLabelReason(const JobsState& aState, const std::vector<std::string>& aLabels)
{
  for (const std::string& label : aLabels) {
    const bool isKnown =
      std::any_of(aState.mShapes.begin(), aState.mShapes.end(), [&](const WorkerShape& aShape) {
        return HasLabels(aShape, { label });
      });
    if (!isKnown) {
      return "no worker of the cell has the label \"" + label + "\"";
    }
  }
  return "no worker of the cell has all labels that the pool requires";
}

std::string
TooLargeReason(const Resources& aNeed, const Resources& aLargest)
{
  const auto describe = [](const char* aWhat, std::int64_t aRequested, std::int64_t aOffered) {
    return std::string("a task requests ") + std::to_string(aRequested) + " " + aWhat +
           ", and the largest worker offers " + std::to_string(aOffered);
  };
  if (aNeed.mCores > aLargest.mCores) {
    return describe("millicores", aNeed.mCores.value(), aLargest.mCores.value());
  }
  if (aNeed.mMemory > aLargest.mMemory) {
    return describe("bytes of memory", aNeed.mMemory.value(), aLargest.mMemory.value());
  }
  if (aNeed.mAccelerators > aLargest.mAccelerators) {
    return describe("accelerators", aNeed.mAccelerators.value(), aLargest.mAccelerators.value());
  }
  return "no single worker offers the cores, memory and accelerators that a task requests";
}

Resources
ElementwiseMax(const Resources& aLeft, const Resources& aRight)
{
  return { std::max(aLeft.mCores, aRight.mCores),
           std::max(aLeft.mMemory, aRight.mMemory),
           std::max(aLeft.mAccelerators, aRight.mAccelerators) };
}

/// Recomputes whether the job is unschedulable and why.
void
UpdateSchedulability(JobsState& aState, Job& aJob)
{
  aJob.mSizeVersion = 0;
  aJob.mDetail = UnschedulableReason(aState, aJob.mSpec, EstimatedSize(aState, aJob).mAmounts);
  aJob.mUnschedulable = !aJob.mDetail.empty();
  if (aJob.mUnschedulable) {
    aState.mUnschedulableJobs.insert(aJob.mNumber.value());
  } else {
    aState.mUnschedulableJobs.erase(aJob.mNumber.value());
  }
  RefreshQueue(aState, aJob);
}

bool
IsUnfinished(const Job& aJob)
{
  return !aJob.mCancelled && !aJob.mFailed && aJob.endedTasks() < aJob.mSpec.mTasks;
}

void
UpdateSchedulabilityOfAll(JobsState& aState)
{
  for (auto& [number, job] : aState.mJobs) {
    if (IsUnfinished(job)) {
      UpdateSchedulability(aState, job);
    }
  }
}

std::string
InvalidReason(const JobSpec& aSpec)
{
  const Resources& need = aSpec.mPerTask;
  if (aSpec.mTasks == 0 || aSpec.mTasks > 1'000'000) {
    return "a job must have 1 to 1000000 tasks";
  }
  if (need.mCores.value() < 0 || need.mMemory.value() < 0 || need.mAccelerators.value() < 0) {
    return "cores, memory and accelerators must not be negative";
  }
  if (need == Resources{}) {
    return "a task must request cores, memory or accelerators";
  }
  if (aSpec.mRunTime.count() < 0) {
    return "the run time must not be negative";
  }
  return "";
}

} // namespace

JobsState
MakeJobsState(const Common::CellId& aCell, Common::Epoch aEpoch, JobsPolicy aPolicy)
{
  JobsState state;
  state.mCell = aCell;
  state.mEpoch = aEpoch;
  state.mPolicy = aPolicy;
  return state;
}

void
SetTeams(JobsState& aState, const std::vector<TeamQuota>& aTeams)
{
  for (Team& team : aState.mTeams) {
    team.mQuota = {};
    team.mMayBorrow = false;
  }
  for (const TeamQuota& quota : aTeams) {
    Team& team = aState.mTeams[FindOrAddTeam(aState, quota.mName)];
    team.mWeight = std::max<std::uint32_t>(quota.mWeight, 1);
    team.mQuota = quota.mQuota;
    team.mMayBorrow = quota.mMayBorrow;
  }
  UpdateSchedulabilityOfAll(aState);
}

void
SetWorkerShapes(JobsState& aState, std::vector<WorkerShape> aShapes)
{
  aState.mShapes = std::move(aShapes);
  aState.mCapacity = {};
  for (const WorkerShape& shape : aState.mShapes) {
    const std::int64_t count = shape.mCount;
    aState.mCapacity = aState.mCapacity + Resources{ shape.mTotal.mCores * count,
                                                     shape.mTotal.mMemory * count,
                                                     shape.mTotal.mAccelerators * count };
  }
  UpdateSchedulabilityOfAll(aState);
}

bool
CanEverFit(const JobsState& aState, const JobSpec& aSpec, const Resources& aNeed)
{
  const auto team = aState.mTeamIndex.find(aSpec.mTeam);
  if (team == aState.mTeamIndex.end()) {
    return false;
  }
  const Team& quota = aState.mTeams[team->second];
  if (!quota.mMayBorrow && !Fits(aNeed, quota.mQuota)) {
    return false;
  }
  // Until the first worker is heard the resources of the cell are unknown, so any job may fit.
  return aState.mShapes.empty() ||
         std::any_of(aState.mShapes.begin(), aState.mShapes.end(), [&](const WorkerShape& aShape) {
           return Fits(aNeed, aShape.mTotal) && HasLabels(aShape, aSpec.mLabels);
         });
}

const TaskSize&
EstimatedSize(const JobsState& aState, Job& aJob)
{
  if (aJob.mSizeVersion == aState.mSizes.mVersion + 1) {
    return aJob.mSize;
  }
  const TaskSize declared{ aJob.mSpec.mPerTask, aJob.mSpec.mRunTime };
  aJob.mSize = CorrectSize(aState.mSizes, aJob.mSpec.mRoute, aJob.mSpec.mClient, declared);
  if (!CanEverFit(aState, aJob.mSpec, aJob.mSize.mAmounts)) {
    aJob.mSize.mAmounts = declared.mAmounts;
  }
  aJob.mSizeVersion = aState.mSizes.mVersion + 1;
  return aJob.mSize;
}

std::string
UnschedulableReason(const JobsState& aState, const JobSpec& aSpec, const Resources& aNeed)
{
  if (CanEverFit(aState, aSpec, aNeed)) {
    return "";
  }
  const auto team = aState.mTeamIndex.find(aSpec.mTeam);
  if (team == aState.mTeamIndex.end()) {
    return "there is no team \"" + aSpec.mTeam.str() + "\"";
  }
  const Team& quota = aState.mTeams[team->second];
  if (!quota.mMayBorrow && quota.mQuota == Resources{}) {
    return "team \"" + aSpec.mTeam.str() + "\" has no quota and may not borrow";
  }
  if (!quota.mMayBorrow && !Fits(aNeed, quota.mQuota)) {
    return "a task requests more than the whole quota of team \"" + aSpec.mTeam.str() +
           "\", which may not borrow";
  }
  Resources largest;
  bool anyWithLabels = false;
  for (const WorkerShape& shape : aState.mShapes) {
    if (HasLabels(shape, aSpec.mLabels)) {
      anyWithLabels = true;
      largest = ElementwiseMax(largest, shape.mTotal);
    }
  }
  return anyWithLabels ? TooLargeReason(aNeed, largest) : MissingLabelReason(aState, aSpec.mLabels);
}

tl::expected<SubmitResult, SubmitError>
SubmitJob(JobsState& aState, const JobSpec& aSpec, const CurrentTime& aNow)
{
  if (!aSpec.mKey.empty()) {
    const auto existing = aState.mJobsByKey.find(ClientKey(aSpec));
    if (existing != aState.mJobsByKey.end()) {
      const Job* job = FindJob(aState, existing->second);
      return SubmitResult{ MakeJobId(aState.mCell, job->mNumber), false, job->mDurable };
    }
  }
  if (std::string reason = InvalidReason(aSpec); !reason.empty()) {
    return tl::unexpected(SubmitError{ SubmitErrorReason::Invalid, std::move(reason) });
  }
  if (!aState.mTeamIndex.contains(aSpec.mTeam)) {
    return tl::unexpected(SubmitError{ SubmitErrorReason::UnknownTeam,
                                       "there is no team \"" + aSpec.mTeam.str() + "\"" });
  }
  if (aState.mJobs.size() >= aState.mPolicy.mMaxJobs) {
    return tl::unexpected(
      SubmitError{ SubmitErrorReason::TooManyJobs, "the cell has reached its limit of jobs" });
  }
  const JobNumber number(static_cast<std::int64_t>(
    (static_cast<std::uint64_t>(aState.mEpoch.value()) << 32) | aState.mNextJobCount++));
  Job& job = aState.mJobs[number.value()];
  job.mNumber = number;
  job.mSpec = aSpec;
  job.mSubmitted = aNow.mUnix;
  IndexJob(aState, job);
  UpdateSchedulability(aState, job);
  aState.mUnwrittenJobs.push_back(number);
  return SubmitResult{ MakeJobId(aState.mCell, number), true, false };
}

bool
CancelJob(JobsState& aState,
          const Common::JobId& aJob,
          const CurrentTime& aNow,
          std::vector<TaskAction>& aActions)
{
  const auto number = ParseJobId(aState.mCell, aJob.str());
  Job* job = number ? FindJob(aState, *number) : nullptr;
  if (job == nullptr) {
    return false;
  }
  AbortJob(aState, *job, ProgressKind::JobCancelled, "cancelled", aNow, aActions);
  return true;
}

} // namespace Jobs
