#include <algorithm>

#include "Scheduling/Schedule.h"

namespace Scheduling {

namespace {

/// A pace below this lets the task do so little that it is stopped instead.
constexpr std::int64_t kLeastPace = 20;
/// Pressure that no figure shows.
constexpr double kNoPressure = 0.005;
/// A neighbour that adds less than this part of the pressure over the target is left alone.
constexpr double kSmallPart = 0.1;

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
FillsOn(const Worker& aWorker)
{
  std::vector<Neighbour> fills;
  for (const TaskRef& ref : aWorker.mTasks) {
    const StepSpec& step = StepSpecOf(ref);
    const Task& task = TaskAt(ref);
    if (step.mBestEffort && task.mSpeed.value() > 0) {
      fills.push_back({ &step.mImage, CoresInUse(task, step) });
    }
  }
  return fills;
}

void
OrderPace(SchedulerState& aState,
          const WorkerLifetime& aLifetime,
          const TaskRef& aRef,
          Percent aPace)
{
  Task& task = TaskAt(aRef);
  task.mOrderedSpeed = aPace;
  Order order;
  order.mKind = OrderKind::Throttle;
  order.mLifetime = aLifetime;
  order.mTask = NameOf(aRef);
  order.mRun = task.mRun;
  order.mPercent = aPace;
  AddOrder(aState, std::move(order));
  ++aState.mCounts.mThrottleOrders;
}

bool
CanPace(const Task& aTask, const StepSpec& aStep)
{
  return aStep.mBestEffort && aTask.mPhase == TaskPhase::Running &&
         aTask.mOrderedSpeed == aTask.mSpeed;
}

/// Slows what presses most on tasks that are over their target, or near it.
bool
SlowDown(SchedulerState& aState, Worker& aWorker, const Now& aNow)
{
  std::map<TaskRef, double> wanted;
  for (const TaskRef& served : aWorker.mTasks) {
    const Task& task = TaskAt(served);
    if (!HasTarget(served) || !task.mListedByWorker ||
        static_cast<double>(task.mUsage) <
          aState.mPolicy.mThrottleTailFactor * TargetMs(StepSpecOf(served))) {
      continue;
    }
    const std::string& image = StepSpecOf(served).mImage;
    const double over = PressureOf(aState.mDisturbance, image, static_cast<double>(task.mUsage)) -
                        PressureOf(aState.mDisturbance,
                                   image,
                                   aState.mPolicy.mMaxTailFactor * TargetMs(StepSpecOf(served)));
    const bool tooLong = task.mOverTargetSince != Timestamp{} &&
                         aNow.mTime - task.mOverTargetSince >= aState.mPolicy.mMaxTimeOverTarget;
    double sum = 0;
    for (const Neighbour& fill : FillsOn(aWorker)) {
      sum += fill.mCores * PairPressure(aState.mDisturbance, *fill.mImage, image);
    }
    for (const TaskRef& ref : aWorker.mTasks) {
      const Task& fill = TaskAt(ref);
      const StepSpec& step = StepSpecOf(ref);
      if (!CanPace(fill, step) || fill.mSpeed.value() == 0 || sum <= 0) {
        continue;
      }
      const double part =
        CoresInUse(fill, step) * PairPressure(aState.mDisturbance, step.mImage, image);
      if (part < kSmallPart * sum && !tooLong) {
        continue;
      }
      // Each neighbour gives up the same part of what it adds.
      const double keep = tooLong ? 0.0 : std::clamp(1.0 - std::max(over, 0.05) / sum, 0.0, 0.8);
      const auto [entry, isNew] = wanted.try_emplace(ref, keep);
      entry->second = std::min(entry->second, keep);
    }
  }
  for (const auto& [ref, keep] : wanted) {
    const auto pace =
      static_cast<std::int64_t>(static_cast<double>(TaskAt(ref).mSpeed.value()) * keep);
    OrderPace(aState, aWorker.mLifetime, ref, Percent{ pace < kLeastPace ? 0 : pace });
  }
  return !wanted.empty();
}

/// Speeds up what the tasks with targets can bear.
bool
SpeedUp(SchedulerState& aState, Worker& aWorker)
{
  bool changed = false;
  for (const TaskRef& ref : aWorker.mTasks) {
    const Task& fill = TaskAt(ref);
    const StepSpec& step = StepSpecOf(ref);
    if (!CanPace(fill, step) || fill.mSpeed.value() == 100) {
      continue;
    }
    const std::int64_t pace =
      std::clamp<std::int64_t>(fill.mSpeed.value() * 2, 2 * kLeastPace, 100);
    const double more = static_cast<double>(pace - fill.mSpeed.value()) / 100.0 *
                        static_cast<double>(step.mNeed.mCores.value()) / 1000.0;
    if (AddedPressureFits(aState, aWorker, step.mImage, more)) {
      OrderPace(aState, aWorker.mLifetime, ref, Percent{ pace });
      changed = true;
      // The next figures show what this one does.
      break;
    }
  }
  return changed;
}

void
LearnFrom(SchedulerState& aState, Worker& aWorker, const Now& aNow)
{
  const bool settled = aNow.mTime - aWorker.mNeighboursChangedAt >= aState.mPolicy.mUsageLag;
  const std::vector<Neighbour> fills = FillsOn(aWorker);
  for (const TaskRef& ref : aWorker.mTasks) {
    Task& task = TaskAt(ref);
    const bool over = HasTarget(ref) && task.mListedByWorker &&
                      static_cast<double>(task.mUsage) > TargetMs(StepSpecOf(ref));
    if (!over) {
      task.mOverTargetSince = Timestamp{};
    } else if (task.mOverTargetSince == Timestamp{}) {
      task.mOverTargetSince = aNow.mTime;
    }
    if (settled && HasTarget(ref) && task.mListedByWorker && task.mPercent.value() == 100) {
      LearnTail(aState.mDisturbance,
                StepSpecOf(ref).mImage,
                static_cast<double>(task.mUsage),
                fills,
                task.mOwnPressure);
    }
  }
}

/// Stops tasks that stand at pace 0 where another worker bears them; they resume there.
void
MovePacedOut(SchedulerState& aState, WorkerNumber aWorker, const Now& aNow)
{
  for (const TaskRef& ref : aState.mWorkers[aWorker].mTasks) {
    Task& task = TaskAt(ref);
    const StepSpec& step = StepSpecOf(ref);
    if (!CanPace(task, step) || task.mPausedSince == Timestamp{} ||
        aNow.mTime - task.mPausedSince < aState.mPolicy.mMoveAfterPause) {
      continue;
    }
    // Without a checkpoint the work is lost, which pays only early in the run.
    constexpr std::int64_t kEarly = 30;
    if (!step.mCheckpoints && task.mPercent.value() > kEarly) {
      continue;
    }
    if (FitsOnAnotherWorker(aState, ref, aNow)) {
      task.mPhase = TaskPhase::Stopping;
      task.mStopOrdered = aNow.mTime;
      ++aState.mCounts.mBestEffortMoves;
      OrderStop(aState, aState.mWorkers[aWorker].mLifetime, NameOf(ref), task.mRun);
      // One at a time, because each takes room elsewhere.
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
      added += aCores * PairPressure(aState.mDisturbance, aImage, StepSpecOf(ref).mImage);
    }
  }
  return added;
}

bool
HasTailHeadroom(const SchedulerState& aState, const Worker& aWorker, const Now& aNow)
{
  return aNow.mTime - aWorker.mForcedPlacementAt >= aState.mPolicy.mForcedPlacementPause &&
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
  for (const TaskRef& ref : aWorker.mTasks) {
    const Task& task = TaskAt(ref);
    if (!HasTarget(ref) || !task.mListedByWorker) {
      continue;
    }
    const std::string& image = StepSpecOf(ref).mImage;
    const double limit = PressureOf(
      aState.mDisturbance, image, aState.mPolicy.mMaxTailFactor * TargetMs(StepSpecOf(ref)));
    // The figure lags; starts that it does not show yet are in the estimate.
    const double measured =
      PressureOf(aState.mDisturbance, image, static_cast<double>(task.mUsage));
    const double estimated =
      task.mOwnPressure + SumPressure(aState.mDisturbance, image, FillsOn(aWorker));
    const double added = aCores * PairPressure(aState.mDisturbance, aImage, image);
    if (static_cast<double>(task.mUsage) > TargetMs(StepSpecOf(ref)) && added > kNoPressure) {
      return false;
    }
    if (std::max(measured, estimated) + added > limit) {
      return false;
    }
  }
  return true;
}

void
PaceTasks(SchedulerState& aState, const Now& aNow)
{
  for (WorkerNumber number = 0; number < aState.mWorkers.size(); ++number) {
    Worker& worker = aState.mWorkers[number];
    if (!worker.mConnected || !worker.mHasNewUsage) {
      continue;
    }
    worker.mHasNewUsage = false;
    MovePacedOut(aState, number, aNow);
    LearnFrom(aState, worker, aNow);
    if (worker.mBestEffortCores.value() == 0 ||
        aNow.mTime - worker.mThrottledAt < aState.mPolicy.mThrottleInterval) {
      continue;
    }
    if (SlowDown(aState, worker, aNow) || SpeedUp(aState, worker)) {
      worker.mThrottledAt = aNow.mTime;
      worker.mNeighboursChangedAt = aNow.mTime;
    }
  }
}

} // namespace Scheduling
