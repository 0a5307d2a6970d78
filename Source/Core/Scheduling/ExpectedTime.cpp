#include "Scheduling/ExpectedTime.h"

#include <algorithm>
#include <set>

namespace Scheduling {

namespace {

/// Runs on a worker, and runs of the same queue and image, before the worker's speed counts.
constexpr std::uint32_t kMinSamples = 3;
/// Ratio above which a worker counts as slow. Run times of healthy workers vary by less.
constexpr double kSlowRatio = 1.5;
/// Bounds of one sample. A run that stood still for long says nothing about the speed.
constexpr double kMinSample = 0.25;
constexpr double kMaxSample = 5.0;

const RunTimeEstimate*
EstimateOf(const SchedulerState& aState, const Job& aJob, const StepSpec& aStep)
{
  const auto found = aState.mRunTimes.find({ aJob.mSpec.mQueue, aStep.mImage });
  return found == aState.mRunTimes.end() ? nullptr : &found->second;
}

} // namespace

bool
IsAwayFromData(const StepSpec& aStep, const Worker& aWorker)
{
  return !aStep.mDataRack.empty() && aStep.mDataRack != aWorker.mRack.str();
}

double
LocalityFactor(const SchedulerState& aState, const StepSpec& aStep, const Worker& aWorker)
{
  return IsAwayFromData(aStep, aWorker) ? aState.mPolicy.mRemoteFactor : 1.0;
}

double
LocalityFactorOfRun(const SchedulerState& aState, const TaskRef& aRef)
{
  const StepSpec& step = StepSpecOf(aRef);
  if (!step.mGang) {
    return LocalityFactor(aState, step, aState.mWorkers[TaskAt(aRef).mWorker]);
  }
  double factor = 1.0;
  std::set<Common::RackId> racks;
  for (const auto& [index, task] : StepAt(aRef).mTasks.own()) {
    if (task.mWorker != kNoWorker) {
      const Worker& worker = aState.mWorkers[task.mWorker];
      factor = std::max(factor, LocalityFactor(aState, step, worker));
      racks.insert(worker.mRack);
    }
  }
  return step.mSameRack && racks.size() > 1 ? aState.mPolicy.mRemoteFactor : factor;
}

double
SpeedRatio(const Worker& aWorker)
{
  const SpeedSamples& samples = aWorker.mSpeedSamples;
  if (samples.mCount < kMinSamples) {
    return 1.0;
  }
  auto sorted = samples.mRatios;
  const std::size_t count = std::min<std::size_t>(samples.mCount, sorted.size());
  std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(count));
  return sorted[(count - 1) / 2];
}

bool
IsSlow(const Worker& aWorker)
{
  return SpeedRatio(aWorker) > kSlowRatio;
}

bool
AllowsSpeedTrial(const SchedulerState& aState, const Worker& aWorker, const CurrentTime& aNow)
{
  return aNow.mMonotonic - aWorker.mLastShortStart >= aState.mPolicy.mSlowTrialInterval;
}

Duration
ExpectedTimeOn(const SchedulerState& aState,
               const Job& aJob,
               std::uint32_t aStep,
               const Worker& aWorker,
               double aColdRatio)
{
  const StepSpec& step = aJob.mSpec.mSteps[aStep];
  return std::chrono::duration_cast<Duration>(ExpectedRunTime(aState, aJob, aStep) *
                                              LocalityFactor(aState, step, aWorker) *
                                              SpeedRatio(aWorker) * aColdRatio);
}

void
LearnSpeed(SchedulerState& aState, const TaskRef& aRef, Duration aActual)
{
  const StepSpec& step = StepSpecOf(aRef);
  Worker& worker = aState.mWorkers[TaskAt(aRef).mWorker];
  const RunTimeEstimate* const estimate = EstimateOf(aState, *aRef.mJob, step);
  const Duration expected = ExpectedRunTime(aState, *aRef.mJob, aRef.mStep);
  // Best-effort tasks are throttled, a gang runs at the pace of its slowest worker, and how much
  // longer a remote run takes is known less well than the other run times.
  if (step.mBestEffort || step.mGang || IsAwayFromData(step, worker) || estimate == nullptr ||
      estimate->mSamples < kMinSamples || expected <= Duration::zero()) {
    return;
  }
  const double ratio = std::chrono::duration<double>(aActual) / expected;
  SpeedSamples& samples = worker.mSpeedSamples;
  samples.mRatios[samples.mCount % samples.mRatios.size()] =
    static_cast<float>(std::clamp(ratio, kMinSample, kMaxSample));
  ++samples.mCount;
}

} // namespace Scheduling
