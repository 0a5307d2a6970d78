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
  return aTask.mSeen ? std::min(static_cast<double>(aTask.mUsage) / 1000.0, need) : need;
}

double
TargetMs(const StepSpec& aStep)
{
  return std::chrono::duration<double, std::milli>(aStep.mTailLatencyTarget).count();
}

bool
HasTarget(const TaskRef& aRef)
{
  const StepSpec& step = StepOf(aRef);
  return step.mLongRunning && step.mTailLatencyTarget > Duration{ 0 };
}

std::vector<Neighbour>
FillsOn(const Worker& aWorker)
{
  std::vector<Neighbour> fills;
  for (const TaskRef& ref : aWorker.mTasks) {
    const StepSpec& step = StepOf(ref);
    const Task& task = TaskAt(ref);
    if (step.mBestEffort && task.mPace.value() > 0) {
      fills.push_back({ &step.mImage, CoresInUse(task, step) });
    }
  }
  return fills;
}

void
OrderPace(State& aState, const WorkerLifetime& aLifetime, const TaskRef& aRef, Percent aPace)
{
  Task& task = TaskAt(aRef);
  task.mPaceOrdered = aPace;
  Order order;
  order.mKind = OrderKind::Throttle;
  order.mLifetime = aLifetime;
  order.mTask = NameOf(aRef);
  order.mRun = task.mRun;
  order.mPercent = aPace;
  AddOrder(aState, std::move(order));
  ++aState.mCounts.mPaces;
}

bool
CanPace(const Task& aTask, const StepSpec& aStep)
{
  return aStep.mBestEffort && aTask.mPhase == TaskPhase::Running &&
         aTask.mPaceOrdered == aTask.mPace;
}

/// Slows what presses most on tasks that are over their target, or near it.
bool
SlowDown(State& aState, Worker& aWorker, const Now& aNow)
{
  std::map<TaskRef, double> wanted;
  for (const TaskRef& served : aWorker.mTasks) {
    const Task& task = TaskAt(served);
    if (!HasTarget(served) || !task.mSeen ||
        static_cast<double>(task.mUsage) < aState.mPolicy.mTailHigh * TargetMs(StepOf(served))) {
      continue;
    }
    const std::string& image = StepOf(served).mImage;
    const double over =
      PressureOf(aState.mDisturbance, image, static_cast<double>(task.mUsage)) -
      PressureOf(aState.mDisturbance, image, aState.mPolicy.mTailGoal * TargetMs(StepOf(served)));
    const bool tooLong =
      task.mOverSince != Timestamp{} && aNow.mTime - task.mOverSince >= aState.mPolicy.mOverBound;
    double sum = 0;
    for (const Neighbour& fill : FillsOn(aWorker)) {
      sum += fill.mCores * PairPressure(aState.mDisturbance, *fill.mImage, image);
    }
    for (const TaskRef& ref : aWorker.mTasks) {
      const Task& fill = TaskAt(ref);
      const StepSpec& step = StepOf(ref);
      if (!CanPace(fill, step) || fill.mPace.value() == 0 || sum <= 0) {
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
      static_cast<std::int64_t>(static_cast<double>(TaskAt(ref).mPace.value()) * keep);
    OrderPace(aState, aWorker.mLifetime, ref, Percent{ pace < kLeastPace ? 0 : pace });
  }
  return !wanted.empty();
}

/// Speeds up what the tasks with targets can bear.
bool
SpeedUp(State& aState, Worker& aWorker)
{
  bool changed = false;
  for (const TaskRef& ref : aWorker.mTasks) {
    const Task& fill = TaskAt(ref);
    const StepSpec& step = StepOf(ref);
    if (!CanPace(fill, step) || fill.mPace.value() == 100) {
      continue;
    }
    const std::int64_t pace = std::clamp<std::int64_t>(fill.mPace.value() * 2, 2 * kLeastPace, 100);
    const double more = static_cast<double>(pace - fill.mPace.value()) / 100.0 *
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
LearnFrom(State& aState, Worker& aWorker, const Now& aNow)
{
  const bool settled = aNow.mTime - aWorker.mNeighboursChanged >= aState.mPolicy.mFigureLag;
  const std::vector<Neighbour> fills = FillsOn(aWorker);
  for (const TaskRef& ref : aWorker.mTasks) {
    Task& task = TaskAt(ref);
    const bool over =
      HasTarget(ref) && task.mSeen && static_cast<double>(task.mUsage) > TargetMs(StepOf(ref));
    if (!over) {
      task.mOverSince = Timestamp{};
    } else if (task.mOverSince == Timestamp{}) {
      task.mOverSince = aNow.mTime;
    }
    if (settled && HasTarget(ref) && task.mSeen && task.mPercent.value() == 100) {
      LearnTail(aState.mDisturbance,
                StepOf(ref).mImage,
                static_cast<double>(task.mUsage),
                fills,
                task.mLoad);
    }
  }
}

/// Stops tasks that stand at pace 0 where another worker bears them; they resume there.
void
MovePacedOut(State& aState, WorkerNumber aWorker, const Now& aNow)
{
  for (const TaskRef& ref : aState.mWorkers[aWorker].mTasks) {
    Task& task = TaskAt(ref);
    const StepSpec& step = StepOf(ref);
    if (!CanPace(task, step) || task.mPacedOutSince == Timestamp{} ||
        aNow.mTime - task.mPacedOutSince < aState.mPolicy.mPacedOut) {
      continue;
    }
    // Without a checkpoint the work is lost, which pays only early in the run.
    constexpr std::int64_t kEarly = 30;
    if (!step.mCheckpoints && task.mPercent.value() > kEarly) {
      continue;
    }
    if (BearsElsewhere(aState, ref, aNow)) {
      task.mPhase = TaskPhase::Stopping;
      task.mStopOrdered = aNow.mTime;
      ++aState.mCounts.mMoves;
      OrderStop(aState, aState.mWorkers[aWorker].mLifetime, NameOf(ref), task.mRun);
      // One at a time, because each takes room elsewhere.
      return;
    }
  }
}

} // namespace

double
AddedPressure(const State& aState, const Worker& aWorker, const std::string& aImage, double aCores)
{
  double added = 0;
  for (const TaskRef& ref : aWorker.mTasks) {
    if (HasTarget(ref)) {
      added += aCores * PairPressure(aState.mDisturbance, aImage, StepOf(ref).mImage);
    }
  }
  return added;
}

bool
IsCalm(const State& aState, const Worker& aWorker, const Now& aNow)
{
  return aNow.mTime - aWorker.mForcedAt >= aState.mPolicy.mForcedPause &&
         std::none_of(aWorker.mTasks.begin(), aWorker.mTasks.end(), [&](const TaskRef& aRef) {
           return HasTarget(aRef) && static_cast<double>(TaskAt(aRef).mUsage) >
                                       aState.mPolicy.mCalm * TargetMs(StepOf(aRef));
         });
}

bool
AddedPressureFits(const State& aState,
                  const Worker& aWorker,
                  const std::string& aImage,
                  double aCores)
{
  for (const TaskRef& ref : aWorker.mTasks) {
    const Task& task = TaskAt(ref);
    if (!HasTarget(ref) || !task.mSeen) {
      continue;
    }
    const std::string& image = StepOf(ref).mImage;
    const double limit =
      PressureOf(aState.mDisturbance, image, aState.mPolicy.mTailGoal * TargetMs(StepOf(ref)));
    // The figure lags; starts that it does not show yet are in the estimate.
    const double measured =
      PressureOf(aState.mDisturbance, image, static_cast<double>(task.mUsage));
    const double estimated = task.mLoad + SumPressure(aState.mDisturbance, image, FillsOn(aWorker));
    const double added = aCores * PairPressure(aState.mDisturbance, aImage, image);
    if (static_cast<double>(task.mUsage) > TargetMs(StepOf(ref)) && added > kNoPressure) {
      return false;
    }
    if (std::max(measured, estimated) + added > limit) {
      return false;
    }
  }
  return true;
}

void
PaceTasks(State& aState, const Now& aNow)
{
  for (WorkerNumber number = 0; number < aState.mWorkers.size(); ++number) {
    Worker& worker = aState.mWorkers[number];
    if (!worker.mConnected || !worker.mNewFigures) {
      continue;
    }
    worker.mNewFigures = false;
    MovePacedOut(aState, number, aNow);
    LearnFrom(aState, worker, aNow);
    if (worker.mFilling.value() == 0 ||
        aNow.mTime - worker.mPaceChanged < aState.mPolicy.mPacePeriod) {
      continue;
    }
    if (SlowDown(aState, worker, aNow) || SpeedUp(aState, worker)) {
      worker.mPaceChanged = aNow.mTime;
      worker.mNeighboursChanged = aNow.mTime;
    }
  }
}

} // namespace Scheduling
