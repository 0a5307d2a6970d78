#include <algorithm>

#include "Scheduling/Schedule.h"

namespace Scheduling {

namespace {

/// Highest ratio of tail latency to target on the worker; 0 if no task there has a target.
double
WorstTail(const Worker& aWorker)
{
  double worst = 0;
  for (const TaskRef& ref : aWorker.mTasks) {
    const Task& task = TaskAt(ref);
    const StepSpec& step = StepOf(ref);
    if (step.mLasting && step.mTailTarget > Duration{ 0 } && task.mSeen) {
      const double target = std::chrono::duration<double, std::milli>(step.mTailTarget).count();
      worst = std::max(worst, static_cast<double>(task.mUsage) / target);
    }
  }
  return worst;
}

Percent
Slower(Percent aPace)
{
  // Below a quarter the gain is not worth the disturbance that is left.
  constexpr std::int64_t kLeast = 25;
  const std::int64_t half = aPace.value() / 2;
  return Percent{ half < kLeast ? 0 : half };
}

Percent
Faster(Percent aPace)
{
  constexpr std::int64_t kFirst = 25;
  return Percent{ std::clamp<std::int64_t>(aPace.value() * 2, kFirst, 100) };
}

void
OrderPace(State& aState, const Life& aLife, const TaskRef& aRef, Percent aPace)
{
  Task& task = TaskAt(aRef);
  task.mPaceOrdered = aPace;
  Order order;
  order.mNumber = aState.mNextOrder++;
  order.mKind = OrderKind::Pace;
  order.mLife = aLife;
  order.mTask = NameOf(aRef);
  order.mRun = task.mRun;
  order.mPercent = aPace;
  aState.mOutstanding.emplace(order.mNumber, order);
  aState.mOrders.push_back(std::move(order));
  ++aState.mCounts.mPaces;
}

} // namespace

void
PaceTasks(State& aState, const Now& aNow)
{
  for (Worker& worker : aState.mWorkers) {
    if (!worker.mConnected || worker.mFilling.value() == 0 ||
        aNow.mTime - worker.mPaceChanged < aState.mPolicy.mPacePeriod) {
      continue;
    }
    const double worst = WorstTail(worker);
    const bool slower = worst > aState.mPolicy.mTailHigh;
    const bool faster = worst < aState.mPolicy.mTailLow;
    if (!slower && !faster) {
      continue;
    }
    bool changed = false;
    for (const TaskRef& ref : worker.mTasks) {
      Task& task = TaskAt(ref);
      if (!StepOf(ref).mFills || task.mPhase != TaskPhase::Running || task.mPaceOrdered != task.mPace) {
        continue;
      }
      const Percent pace = slower ? Slower(task.mPace) : Faster(task.mPace);
      if (pace != task.mPace) {
        OrderPace(aState, worker.mLife, ref, pace);
        changed = true;
      }
    }
    if (changed) {
      worker.mPaceChanged = aNow.mTime;
    }
  }
}

} // namespace Scheduling
