#include <algorithm>
#include <cstdlib>

#include "Scheduling/Schedule.h"
#include "Scheduling/SpeedPlan.h"

namespace Scheduling {

namespace {

/// Pressure too small to show in the measured latency.
constexpr double kNegligiblePressure = 0.005;
/// Smaller changes of a speed are not ordered, except to full speed and to a pause.
constexpr std::int64_t kMinSpeedChange = 8;

/// Cores that the task uses at full speed.
double
FullCores(const StepSpec& aStep)
{
  return static_cast<double>(aStep.mNeed.mCores.value()) / 1000.0;
}

/// Cores that the task used in the time of the last usage figure.
double
CoresInUse(const Task& aTask, const StepSpec& aStep)
{
  return std::min(static_cast<double>(aTask.mUsage) / 1000.0, FullCores(aStep));
}

double
TargetMs(const StepSpec& aStep)
{
  return std::chrono::duration<double, std::milli>(aStep.mTailLatencyTarget).count();
}

bool
HasTarget(const TaskRef& aRef)
{
  const StepSpec& step = StepSpecOf(aRef);
  return step.mLongRunning && step.mTailLatencyTarget > Duration{ 0 };
}

/// The cores that best-effort tasks of each image used in the time of the last usage figures.
std::vector<Neighbour>
NeighboursOn(const Worker& aWorker)
{
  std::vector<Neighbour> neighbours;
  for (const TaskRef& ref : aWorker.mTasks) {
    const StepSpec& step = StepSpecOf(ref);
    const Task& task = TaskAt(ref);
    if (!step.mBestEffort || !task.mListedByWorker) {
      continue;
    }
    const auto known =
      std::find_if(neighbours.begin(), neighbours.end(), [&step](const Neighbour& aNeighbour) {
        return *aNeighbour.mImage == step.mImage;
      });
    if (known != neighbours.end()) {
      known->mCores += CoresInUse(task, step);
    } else {
      neighbours.push_back({ &step.mImage, CoresInUse(task, step) });
    }
  }
  return neighbours;
}

/// Pressure that the best-effort tasks on the worker add to a task of the image at the speeds that
/// were ordered.
double
OrderedPressure(const SchedulerState& aState, const Worker& aWorker, const std::string& aImage)
{
  double pressure = 0;
  for (const TaskRef& ref : aWorker.mTasks) {
    const StepSpec& step = StepSpecOf(ref);
    if (step.mBestEffort) {
      const double speed = static_cast<double>(TaskAt(ref).mOrderedSpeed.value()) / 100.0;
      pressure +=
        FullCores(step) * speed * PairPressure(aState.mTailInterference, step.mImage, aImage);
    }
  }
  return pressure;
}

/// Pressure that best-effort tasks may add to the long-running task so that its tail latency stays
/// below the multiple of its target.
double
MaxAddedPressure(const SchedulerState& aState, const TaskRef& aRef, double aTailFactor)
{
  const TailInterferenceModel& model = aState.mTailInterference;
  const StepSpec& step = StepSpecOf(aRef);
  const double limit = PressureFromTail(model, step.mImage, aTailFactor * TargetMs(step));
  return limit -
         ForecastPressure(model, StepAt(aRef).mServedLoad, aState.mPolicy.mPressureForecast);
}

std::vector<TailRoom>
TailRoomsOf(const SchedulerState& aState, const Worker& aWorker)
{
  std::vector<TailRoom> rooms;
  for (const TaskRef& ref : aWorker.mTasks) {
    const Task& task = TaskAt(ref);
    if (!HasTarget(ref) || !StepAt(ref).mServedLoad.mIsMeasured) {
      continue;
    }
    const StepSpec& step = StepSpecOf(ref);
    rooms.push_back({ &step.mImage,
                      MaxAddedPressure(aState, ref, aState.mPolicy.mPlacementTailFactor) -
                        OrderedPressure(aState, aWorker, step.mImage),
                      task.mListedByWorker && static_cast<double>(task.mUsage) > TargetMs(step) });
  }
  return rooms;
}

void
OrderThrottle(SchedulerState& aState,
              const WorkerLifetime& aLifetime,
              const TaskRef& aRef,
              Percent aSpeed)
{
  Task& task = OwnTaskAt(aRef);
  task.mOrderedSpeed = aSpeed;
  Order order;
  order.mKind = OrderKind::Throttle;
  order.mLifetime = aLifetime;
  order.mTask = NameOf(aRef);
  order.mRun = task.mRun;
  order.mPercent = aSpeed;
  AddOrder(aState, std::move(order));
  ++aState.mCounts.mThrottleOrders;
}

bool
CanThrottle(const Task& aTask, const StepSpec& aStep)
{
  return aStep.mBestEffort && aTask.mPhase == TaskPhase::Running &&
         aTask.mOrderedSpeed == aTask.mSpeed;
}

/// True if the long-running task is so close to its target that best-effort tasks are throttled.
bool
NeedsThrottling(const SchedulerState& aState, const TaskRef& aRef)
{
  const Task& task = TaskAt(aRef);
  return task.mListedByWorker && static_cast<double>(task.mUsage) >=
                                   aState.mPolicy.mThrottleTailFactor * TargetMs(StepSpecOf(aRef));
}

bool
IsOverTargetTooLong(const SchedulerState& aState, const TaskRef& aRef, const CurrentTime& aNow)
{
  const Timestamp since = TaskAt(aRef).mOverTargetSince;
  return since != Timestamp{} && aNow.mMonotonic - since >= aState.mPolicy.mMaxTimeOverTarget;
}

/// Orders the speeds at which the long-running tasks on the worker stay within their targets.
/// Returns whether a speed was changed.
bool
AdjustSpeeds(SchedulerState& aState, Worker& aWorker, const CurrentTime& aNow)
{
  std::vector<TaskRef> bestEffort;
  std::vector<TaskRef> serving;
  bool mayReduce = false;
  for (const TaskRef& ref : aWorker.mTasks) {
    if (HasTarget(ref) && StepAt(ref).mServedLoad.mIsMeasured) {
      serving.push_back(ref);
      mayReduce = mayReduce || NeedsThrottling(aState, ref);
    } else if (StepSpecOf(ref).mBestEffort) {
      bestEffort.push_back(ref);
    }
  }
  std::vector<double> maxPressures;
  maxPressures.reserve(serving.size());
  for (const TaskRef& ref : serving) {
    maxPressures.push_back(IsOverTargetTooLong(aState, ref, aNow)
                             ? 0.0
                             : MaxAddedPressure(aState, ref, aState.mPolicy.mMaxTailFactor));
  }
  std::vector<ThrottledTask> tasks;
  tasks.reserve(bestEffort.size());
  for (const TaskRef& ref : bestEffort) {
    const StepSpec& step = StepSpecOf(ref);
    ThrottledTask task;
    task.mCores = FullCores(step);
    for (const TaskRef& other : serving) {
      task.mPressures.push_back(task.mCores * PairPressure(aState.mTailInterference,
                                                           step.mImage,
                                                           StepSpecOf(other).mImage));
    }
    tasks.push_back(std::move(task));
  }
  const std::vector<Percent> speeds = PlanSpeeds(tasks, maxPressures);
  bool changed = false;
  for (std::size_t i = 0; i < bestEffort.size(); ++i) {
    const Task& task = TaskAt(bestEffort[i]);
    const std::int64_t change = speeds[i].value() - task.mSpeed.value();
    const bool isEnd = speeds[i].value() == 0 || speeds[i].value() == 100;
    if (!CanThrottle(task, StepSpecOf(bestEffort[i])) || change == 0 ||
        (std::abs(change) < kMinSpeedChange && !isEnd) || (change < 0 && !mayReduce)) {
      continue;
    }
    OrderThrottle(aState, aWorker.mLifetime, bestEffort[i], speeds[i]);
    changed = true;
  }
  return changed;
}

/// Orders a speed for the tasks whose speed is not known: full speed, or 0 beside a task over its
/// target. Returns whether there are such tasks.
bool
OrderUnknownSpeeds(SchedulerState& aState, Worker& aWorker)
{
  const bool overTarget =
    std::any_of(aWorker.mTasks.begin(), aWorker.mTasks.end(), [](const TaskRef& aRef) {
      return HasTarget(aRef) && TaskAt(aRef).mOverTargetSince != Timestamp{};
    });
  bool ordered = false;
  for (const TaskRef& ref : aWorker.mTasks) {
    const Task& task = TaskAt(ref);
    if (!task.mSpeedIsKnown && CanThrottle(task, StepSpecOf(ref))) {
      OrderThrottle(aState, aWorker.mLifetime, ref, Percent{ overTarget ? 0 : 100 });
      ordered = true;
    }
  }
  return ordered;
}

/// Records since when tasks exceed their targets, and updates the pressure estimates.
void
LearnFromUsage(SchedulerState& aState, Worker& aWorker, const CurrentTime& aNow)
{
  aWorker.mTailRooms.reset();
  const std::vector<Neighbour> neighbours = NeighboursOn(aWorker);
  for (const TaskRef& ref : aWorker.mTasks) {
    if (!HasTarget(ref)) {
      continue;
    }
    Task& task = OwnTaskAt(ref);
    const auto usage = static_cast<double>(task.mUsage);
    if (!task.mListedByWorker || usage <= TargetMs(StepSpecOf(ref))) {
      task.mOverTargetSince = Timestamp{};
    } else if (task.mOverTargetSince == Timestamp{}) {
      task.mOverTargetSince = aNow.mMonotonic;
    }
    if (task.mListedByWorker && task.mPercent == kServingPercent) {
      LearnFromTail(aState.mTailInterference,
                    StepSpecOf(ref).mImage,
                    usage,
                    neighbours,
                    StepAt(ref).mServedLoad,
                    aNow.mMonotonic);
    }
  }
}

/// Stops at most one task that has been at speed 0 for too long, if another worker can run it.
void
MovePausedTask(SchedulerState& aState, WorkerNumber aWorker, const CurrentTime& aNow)
{
  for (const TaskRef& ref : aState.mWorkers[aWorker].mTasks) {
    Task& task = OwnTaskAt(ref);
    const StepSpec& step = StepSpecOf(ref);
    if (!CanThrottle(task, step) || task.mPausedSince == Timestamp{} ||
        aNow.mMonotonic - task.mPausedSince < aState.mPolicy.mMoveAfterPause) {
      continue;
    }
    // Without a checkpoint a move loses the work done, which pays off only early in the run.
    constexpr std::int64_t kMaxLostPercent = 30;
    if (!step.mCheckpoints && task.mPercent.value() > kMaxLostPercent) {
      continue;
    }
    if (FitsOnAnotherWorker(aState, ref, aNow)) {
      task.mPhase = TaskPhase::Stopping;
      task.mStopOrdered = aNow.mMonotonic;
      ++aState.mCounts.mBestEffortMoves;
      OrderStop(aState, aState.mWorkers[aWorker].mLifetime, NameOf(ref), task.mRun);
      // One at a time, because each move uses capacity of another worker.
      return;
    }
  }
}

} // namespace

double
AddedPressure(const SchedulerState& aState,
              const Worker& aWorker,
              const std::string& aImage,
              double aCores)
{
  double added = 0;
  for (const TaskRef& ref : aWorker.mTasks) {
    if (HasTarget(ref)) {
      added += aCores * PairPressure(aState.mTailInterference, aImage, StepSpecOf(ref).mImage);
    }
  }
  return added;
}

bool
HasTailHeadroom(const SchedulerState& aState, const Worker& aWorker, const CurrentTime& aNow)
{
  return aNow.mMonotonic - aWorker.mForcedPlacementAt >= aState.mPolicy.mForcedPlacementPause &&
         std::none_of(aWorker.mTasks.begin(), aWorker.mTasks.end(), [&](const TaskRef& aRef) {
           return HasTarget(aRef) &&
                  static_cast<double>(TaskAt(aRef).mUsage) >
                    aState.mPolicy.mHeadroomTailFactor * TargetMs(StepSpecOf(aRef));
         });
}

bool
AddedPressureFits(const SchedulerState& aState,
                  const Worker& aWorker,
                  const std::string& aImage,
                  double aCores)
{
  if (!aWorker.mTailRooms) {
    aWorker.mTailRooms = TailRoomsOf(aState, aWorker);
  }
  return std::all_of(
    aWorker.mTailRooms->begin(), aWorker.mTailRooms->end(), [&](const TailRoom& aRoom) {
      const double added = aCores * PairPressure(aState.mTailInterference, aImage, *aRoom.mImage);
      return added <= aRoom.mPressure && (!aRoom.mIsOverTarget || added <= kNegligiblePressure);
    });
}

void
ThrottleTasks(SchedulerState& aState, const CurrentTime& aNow)
{
  for (WorkerNumber number = 0; number < aState.mWorkers.size(); ++number) {
    Worker& worker = aState.mWorkers[number];
    if (!worker.mConnected || !worker.mHasNewUsage) {
      continue;
    }
    worker.mHasNewUsage = false;
    MovePausedTask(aState, number, aNow);
    LearnFromUsage(aState, worker, aNow);
    if (worker.mBestEffortCores.value() == 0 ||
        aNow.mMonotonic - worker.mSpeedsChangedAt < aState.mPolicy.mThrottleInterval) {
      continue;
    }
    if (OrderUnknownSpeeds(aState, worker) || AdjustSpeeds(aState, worker, aNow)) {
      worker.mSpeedsChangedAt = aNow.mMonotonic;
    }
  }
}

} // namespace Scheduling
