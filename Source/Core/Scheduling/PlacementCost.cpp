#include <algorithm>

#include "Scheduling/Evacuation.h"
#include "Scheduling/ExpectedTime.h"
#include "Scheduling/Placement.h"

namespace Scheduling {

namespace {

/// Weight of the pressure that a best-effort task adds to long-running tasks, relative to the share
/// of the worker's cores that is left for best-effort tasks.
constexpr double kPressureWeight = 3.0;

/// Weights for a short task with reserved cores, relative to the share of cores that best-effort
/// tasks use.
constexpr double kReservedCoresWeight = 0.3;
constexpr double kBesideLongRunningWeight = 0.5;

/// Weight for each further task of a long-running step on one worker, so that the loss of a worker
/// ends few of them.
constexpr double kSameStepWeight = 0.3;
/// Weight of a worker without long-running tasks, which keeps them on few workers.
constexpr double kFirstLongRunningWeight = 1.5;
/// Weight of a worker on which a long-running task would use up the cores of a label. It is higher
/// than the two weights above, so that no kind of worker is filled up while another has capacity.
constexpr double kExhaustedLabelWeight = 3.0;
/// Share of the cores of the workers with one label that long-running tasks leave free while other
/// workers have capacity.
constexpr double kFreeLabelShare = 0.2;

/// Weight of a worker away from the data of the step. It is higher than the weights above, which
/// spread the load.
constexpr double kAwayFromDataWeight = 10.0;
/// Weight of a slow worker for a short task. It is higher than that of the distance to the data, so
/// that it is the last choice.
constexpr double kSlowWeight = 20.0;
/// Weight of a rack that other tasks want for its data. It is lower than that of the step's own
/// data and higher than those that spread the load.
constexpr double kWantedRackWeight = 5.0;
/// Weight of the worker of the last failed run of the task.
constexpr double kAvoidedWeight = 100.0;

/// True if the task would use up the free share of cores of a label that the step does not require.
/// Tasks that require the label could then not start for as long as the task runs.
bool
ExhaustsLabel(const std::map<std::string, LabelCapacity>& aLabelCapacities,
              const Worker& aWorker,
              const StepSpec& aStep)
{
  return std::any_of(
    aWorker.mLabels.begin(), aWorker.mLabels.end(), [&](const std::string& aLabel) {
      const auto capacity = aLabelCapacities.find(aLabel);
      if (capacity == aLabelCapacities.end() || aLabel == aStep.mLabel) {
        return false;
      }
      const auto left =
        capacity->second.mCapacity - capacity->second.mUsed - aStep.mNeed.mCores.value();
      return static_cast<double>(left) <
             kFreeLabelShare * static_cast<double>(capacity->second.mCapacity);
    });
}

/// Cost of the longer run time on a slow worker.
double
SlownessCost(const SchedulerState& aState,
             const Worker& aWorker,
             const StepSpec& aStep,
             const CurrentTime& aNow)
{
  if (aStep.mLongRunning || aStep.mBestEffort || !IsSlow(aWorker) ||
      AllowsSpeedTrial(aState, aWorker, aNow)) {
    return 0.0;
  }
  const double remoteFactor = aState.mPolicy.mRemoteFactor;
  if (aStep.mDataRack.empty() || IsAwayFromData(aStep, aWorker) || remoteFactor <= 1.0) {
    return kSlowWeight;
  }
  // A slow worker near the data is preferred to others only where the task ends earlier there.
  return std::min(kSlowWeight, kAwayFromDataWeight * SpeedRatio(aWorker) / remoteFactor);
}

/// Cost of the worker's rack: it is away from the data of the step, or others want it for theirs.
double
RackCost(const SchedulerState& aState, const Worker& aWorker, const StepSpec& aStep)
{
  double cost = IsAwayFromData(aStep, aWorker) ? kAwayFromDataWeight : 0.0;
  if (aStep.mDataRack != aWorker.mRack.str() && aState.mWantedRacks.contains(aWorker.mRack)) {
    cost += kWantedRackWeight;
  }
  return cost;
}

} // namespace

std::map<std::string, LabelCapacity>
CapacityByLabel(const SchedulerState& aState)
{
  std::map<std::string, LabelCapacity> labelCapacities;
  for (const Worker& worker : aState.mWorkers) {
    if (!worker.mConnected || worker.mLeaving || IsEvacuated(aState, worker)) {
      continue;
    }
    for (const std::string& label : worker.mLabels) {
      if (label != worker.mRack.str()) {
        labelCapacities[label].mCapacity += worker.mCapacity.mCores.value();
        labelCapacities[label].mUsed += worker.mUsed.mCores.value();
      }
    }
  }
  return labelCapacities;
}

double
PlacementCost(const SchedulerState& aState,
              const std::map<std::string, LabelCapacity>& aLabelCapacities,
              const Worker& aWorker,
              const ReadyStep& aReady,
              const Task& aTask,
              WorkerNumber aNumber,
              const CurrentTime& aNow)
{
  const StepSpec& step = aReady.mJob->mSpec.mSteps[aReady.mStep];
  const auto capacity =
    static_cast<double>(std::max<std::int64_t>(aWorker.mCapacity.mCores.value(), 1));
  double cost = aTask.mAvoidedWorker == aNumber ? kAvoidedWeight : 0.0;
  cost += RackCost(aState, aWorker, step) + SlownessCost(aState, aWorker, step, aNow);
  const double usedCores = static_cast<double>(aWorker.mUsed.mCores.value()) / capacity;
  if (step.mLongRunning) {
    // A worker without long-running tasks can run best-effort tasks of any image, so long-running
    // tasks are kept on few workers.
    cost +=
      kSameStepWeight * TasksOfStepOn(aWorker, aReady.mJob, aReady.mOccurrence, aReady.mStep) -
      usedCores + (aWorker.mLongRunningReserved.value() == 0 ? kFirstLongRunningWeight : 0.0);
    cost += ExhaustsLabel(aLabelCapacities, aWorker, step) ? kExhaustedLabelWeight : 0.0;
  } else if (step.mBestEffort) {
    const double cores = static_cast<double>(step.mNeed.mCores.value()) / 1000.0;
    cost += kPressureWeight * AddedPressure(aState, aWorker, step.mImage, cores) -
            static_cast<double>(CoresLeftForBestEffort(aState, aWorker)) / capacity;
  } else {
    // Only best-effort tasks interfere with long-running ones, so short tasks go beside
    // long-running tasks and leave the other workers to best-effort ones.
    cost += kReservedCoresWeight * usedCores +
            static_cast<double>(aWorker.mBestEffortCores.value()) / capacity -
            kBesideLongRunningWeight * static_cast<double>(aWorker.mLongRunningReserved.value()) /
              capacity;
  }
  return cost;
}

} // namespace Scheduling
