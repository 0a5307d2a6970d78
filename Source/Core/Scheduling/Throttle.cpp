#include <algorithm>

#include "Scheduling/Schedule.h"

namespace Scheduling {

namespace {

/// Lowest speed in percent; below it a task achieves so little that it is paused instead.
constexpr std::int64_t kMinSpeedPercent = 20;
/// Pressure too small to show in the measured latency.
constexpr double kNegligiblePressure = 0.005;
/// Share of the total pressure of the best-effort tasks below which a task is not throttled.
constexpr double kMinPressureShare = 0.1;

double
CoresInUse(const Task& aTask, const StepSpec& aStep)
{
  const double need = static_cast<double>(aStep.mNeed.mCores.value()) / 1000.0;
  return aTask.mListedByWorker ? std::min(static_cast<double>(aTask.mUsage) / 1000.0, need) : need;
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

std::vector<Neighbour>
BestEffortTasksOn(const Worker& aWorker)
{
  std::vector<Neighbour> neighbours;
  for (const TaskRef& ref : aWorker.mTasks) {
    const StepSpec& step = StepSpecOf(ref);
    const Task& task = TaskAt(ref);
    if (step.mBestEffort && task.mSpeed.value() > 0) {
      neighbours.push_back({ &step.mImage, CoresInUse(task, step) });
    }
  }
  return neighbours;
}

std::vector<TailRoom>
TailRoomsOf(const SchedulerState& aState, const Worker& aWorker)
{
  const TailInterferenceModel& model = aState.mTailInterference;
  const std::vector<Neighbour> neighbours = BestEffortTasksOn(aWorker);
  std::vector<TailRoom> rooms;
  for (const TaskRef& ref : aWorker.mTasks) {
    const Task& task = TaskAt(ref);
    if (!HasTarget(ref) || !task.mListedByWorker) {
      continue;
    }
    const StepSpec& step = StepSpecOf(ref);
    const auto usage = static_cast<double>(task.mUsage);
    const double limit =
      PressureFromTail(model, step.mImage, aState.mPolicy.mMaxTailFactor * TargetMs(step));
    // The measurement lags behind; the estimate includes tasks that started since.
    const double measured = PressureFromTail(model, step.mImage, usage);
    const double estimated = task.mOwnPressure + SumPressure(model, step.mImage, neighbours);
    rooms.push_back(
      { &step.mImage, limit - std::max(measured, estimated), usage > TargetMs(step) });
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

/// Throttles the best-effort tasks that add most pressure to tasks at or over their target. Returns
/// whether a speed was changed.
bool
ReduceSpeeds(SchedulerState& aState, Worker& aWorker, const CurrentTime& aNow)
{
  std::map<TaskRef, double> keptShares;
  for (const TaskRef& longRunning : aWorker.mTasks) {
    const Task& task = TaskAt(longRunning);
    if (!HasTarget(longRunning) || !task.mListedByWorker ||
        static_cast<double>(task.mUsage) <
          aState.mPolicy.mThrottleTailFactor * TargetMs(StepSpecOf(longRunning))) {
      continue;
    }
    const std::string& image = StepSpecOf(longRunning).mImage;
    const double excessPressure =
      PressureFromTail(aState.mTailInterference, image, static_cast<double>(task.mUsage)) -
      PressureFromTail(aState.mTailInterference,
                       image,
                       aState.mPolicy.mMaxTailFactor * TargetMs(StepSpecOf(longRunning)));
    const bool overTooLong =
      task.mOverTargetSince != Timestamp{} &&
      aNow.mMonotonic - task.mOverTargetSince >= aState.mPolicy.mMaxTimeOverTarget;
    double totalPressure = 0;
    for (const Neighbour& neighbour : BestEffortTasksOn(aWorker)) {
      totalPressure +=
        neighbour.mCores * PairPressure(aState.mTailInterference, *neighbour.mImage, image);
    }
    for (const TaskRef& ref : aWorker.mTasks) {
      const Task& bestEffort = TaskAt(ref);
      const StepSpec& step = StepSpecOf(ref);
      if (!CanThrottle(bestEffort, step) || bestEffort.mSpeed.value() == 0 || totalPressure <= 0) {
        continue;
      }
      const double pressure =
        CoresInUse(bestEffort, step) * PairPressure(aState.mTailInterference, step.mImage, image);
      if (pressure < kMinPressureShare * totalPressure && !overTooLong) {
        continue;
      }
      // All throttled tasks are reduced by the same fraction.
      const double keptShare =
        overTooLong ? 0.0
                    : std::clamp(1.0 - std::max(excessPressure, 0.05) / totalPressure, 0.0, 0.8);
      const auto [entry, isNew] = keptShares.try_emplace(ref, keptShare);
      entry->second = std::min(entry->second, keptShare);
    }
  }
  for (const auto& [ref, keptShare] : keptShares) {
    const auto speed =
      static_cast<std::int64_t>(static_cast<double>(TaskAt(ref).mSpeed.value()) * keptShare);
    OrderThrottle(aState, aWorker.mLifetime, ref, Percent{ speed < kMinSpeedPercent ? 0 : speed });
  }
  return !keptShares.empty();
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

/// Raises the speed of one throttled task if the tasks with targets stay within them. Returns
/// whether a speed was changed.
bool
RaiseSpeed(SchedulerState& aState, Worker& aWorker)
{
  bool changed = false;
  for (const TaskRef& ref : aWorker.mTasks) {
    const Task& bestEffort = TaskAt(ref);
    const StepSpec& step = StepSpecOf(ref);
    if (!CanThrottle(bestEffort, step) || bestEffort.mSpeed.value() == 100) {
      continue;
    }
    const std::int64_t speed =
      std::clamp<std::int64_t>(bestEffort.mSpeed.value() * 2, 2 * kMinSpeedPercent, 100);
    const double addedCores = static_cast<double>(speed - bestEffort.mSpeed.value()) / 100.0 *
                              static_cast<double>(step.mNeed.mCores.value()) / 1000.0;
    if (AddedPressureFits(aState, aWorker, step.mImage, addedCores)) {
      OrderThrottle(aState, aWorker.mLifetime, ref, Percent{ speed });
      changed = true;
      // Only one task at a time, so that the next measurements show its effect.
      break;
    }
  }
  return changed;
}

/// Records since when tasks exceed their targets, and updates the pressure estimates unless the
/// usage figures include the time before the last change on the worker.
void
LearnFromUsage(SchedulerState& aState, Worker& aWorker, const CurrentTime& aNow)
{
  aWorker.mTailRooms.reset();
  const bool settled = aNow.mMonotonic - aWorker.mNeighboursChangedAt >= aState.mPolicy.mUsageLag;
  const std::vector<Neighbour> neighbours = BestEffortTasksOn(aWorker);
  for (const TaskRef& ref : aWorker.mTasks) {
    Task& task = OwnTaskAt(ref);
    const bool overTarget = HasTarget(ref) && task.mListedByWorker &&
                            static_cast<double>(task.mUsage) > TargetMs(StepSpecOf(ref));
    if (!overTarget) {
      task.mOverTargetSince = Timestamp{};
    } else if (task.mOverTargetSince == Timestamp{}) {
      task.mOverTargetSince = aNow.mMonotonic;
    }
    if (settled && HasTarget(ref) && task.mListedByWorker && task.mPercent.value() == 100) {
      LearnFromTail(aState.mTailInterference,
                    StepSpecOf(ref).mImage,
                    static_cast<double>(task.mUsage),
                    neighbours,
                    task.mOwnPressure);
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
    if (OrderUnknownSpeeds(aState, worker) || ReduceSpeeds(aState, worker, aNow) ||
        RaiseSpeed(aState, worker)) {
      worker.mSpeedsChangedAt = aNow.mMonotonic;
      worker.mNeighboursChangedAt = aNow.mMonotonic;
    }
  }
}

} // namespace Scheduling
