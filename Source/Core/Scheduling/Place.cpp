#include <algorithm>
#include <set>

#include "Scheduling/NearPlaces.h"

namespace Scheduling {

namespace {

/// Weight of a quarantined worker. It is higher than all others together, so that such a worker is
/// used only while no other has capacity.
constexpr double kQuarantineWeight = 1000.0;

/// Requests tickets if tasks of the step could start with one. aAhead says that the step is among
/// the next ones; tickets are then requested before there is capacity, so that freed capacity does
/// not wait for the answer. Denials are final, and grants last until they expire, so a request
/// names every worker that may ever run the step and has neither.
void
RequestTickets(SchedulerState& aState,
               const ReadyStep& aReady,
               const QueueSpec& aQueue,
               bool aAhead,
               const CurrentTime& aNow)
{
  const Step& step = StepAt(FirstTask(aReady));
  const std::uint32_t waiting = step.mTasks.nextWaiting(0);
  if (!aQueue.mAdvice || step.mAdviceRequested || waiting == step.mTasks.size()) {
    return;
  }
  const Task& task = step.mTasks.at(waiting);
  const StepSpec& spec = aReady.mJob->mSpec.mSteps[aReady.mStep];
  const Starvation starvation = StarvationOf(aState, aReady, aQueue, task, aNow);
  // Tickets that expire before the answer would arrive are requested again.
  const CurrentTime atAnswer{
    aNow.mMonotonic + aQueue.mAdvice->mDecisionTime + aState.mPolicy.mTicketMargin, aNow.mUnix
  };
  bool isNeeded = aAhead;
  std::vector<std::tuple<bool, double, WorkerNumber>> candidates;
  for (WorkerNumber number = 0; number < aState.mWorkers.size(); ++number) {
    const Worker& worker = aState.mWorkers[number];
    if (IsDenied(step, number) || HasTicket(step, number, atAnswer) ||
        !CanEverHost(aState, worker, spec, aQueue)) {
      continue;
    }
    const bool canHostNow = CanHostNow(aState, worker, aReady, aQueue, starvation, aNow) ||
                            CanHostAsLastResort(aState, worker, aReady, aQueue, aNow);
    isNeeded = isNeeded || canHostNow;
    candidates.emplace_back(
      !canHostNow, PlacementCost(aState, {}, worker, aReady, task, number, aNow), number);
  }
  if (!isNeeded) {
    return;
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<WorkerNumber> workers;
  workers.reserve(candidates.size());
  for (const auto& [cannotHostNow, cost, number] : candidates) {
    workers.push_back(number);
  }
  RequestAdvice(
    aState, { aReady.mJob, aReady.mOccurrence, aReady.mStep, 0 }, *aQueue.mAdvice, workers, aNow);
}

bool
IsUsedUp(const StartBudget* aBudget)
{
  return aBudget != nullptr && aBudget->mBytesLeft <= 0;
}

/// Logs that tasks of a long-running step wait because only quarantined workers have capacity.
void
LogWaitForQuarantined(SchedulerState& aState,
                      const ReadyStep& aReady,
                      const QueueSpec& aQueue,
                      const CurrentTime& aNow)
{
  Step& step = StepAt(FirstTask(aReady));
  if (!aReady.mJob->mSpec.mSteps[aReady.mStep].mLongRunning ||
      aNow.mMonotonic - step.mQuarantineLoggedAt < aState.mPolicy.mQuarantineLogInterval) {
    return;
  }
  std::size_t quarantined = 0;
  for (const Worker& worker : aState.mWorkers) {
    if (HasCapacityNow(aState, worker, aReady, aQueue, Starvation::None, aNow)) {
      if (!IsQuarantined(worker, aNow)) {
        return;
      }
      ++quarantined;
    }
  }
  if (quarantined == 0) {
    return;
  }
  step.mQuarantineLoggedAt = aNow.mMonotonic;
  aState.mLogEntries.push_back({ "long-running tasks wait, only quarantined workers have capacity",
                                 aReady.mJob->mSpec.mJob,
                                 std::to_string(aReady.mOccurrence) + '.' +
                                   std::to_string(aReady.mStep) + ' ' +
                                   std::to_string(step.mWaitingTasks) + " waiting, " +
                                   std::to_string(quarantined) + " quarantined workers" });
}

RunNumber
NextRun(const SchedulerState& aState, const Task& aTask)
{
  return std::max(aTask.mRun, aState.mRunBase) + RunNumber{ 1 };
}

} // namespace

WorkerNumber
BestWorker(const SchedulerState& aState,
           const ReadyStep& aReady,
           const QueueSpec& aQueue,
           std::uint32_t aIndex,
           const std::string& aRack,
           const CurrentTime& aNow)
{
  const TaskRef ref{ aReady.mJob, aReady.mOccurrence, aReady.mStep, aIndex };
  const Task& task = TaskAt(ref);
  if (task.mCrashChange > aReady.mJob->mDurableChange) {
    return kNoWorker;
  }
  const bool isTrial = NeedsTrial(ref);
  if (isTrial && !AllowsTrial(aState, aQueue.mPool, ref, aNow)) {
    return kNoWorker;
  }
  const Starvation starvation = StarvationOf(aState, aReady, aQueue, task, aNow);
  // Only long-running tasks need the capacity by label, and there are few of them.
  const bool longRunning = aReady.mJob->mSpec.mSteps[aReady.mStep].mLongRunning;
  const std::map<std::string, LabelCapacity> labelCapacities =
    longRunning ? CapacityByLabel(aState) : std::map<std::string, LabelCapacity>{};
  WorkerNumber best = kNoWorker;
  double bestCost = 0;
  for (WorkerNumber number = 0; number < aState.mWorkers.size(); ++number) {
    const Worker& worker = aState.mWorkers[number];
    if ((!aRack.empty() && worker.mRack.str() != aRack) ||
        (aQueue.mAdvice && !HasTicket(StepAt(FirstTask(aReady)), number, aNow)) ||
        (isTrial && !CanHostTrial(aState, worker, ref, aNow))) {
      continue;
    }
    const bool lastResort = CanHostAsLastResort(aState, worker, aReady, aQueue, aNow);
    if (!lastResort && !CanHostNow(aState, worker, aReady, aQueue, starvation, aNow)) {
      continue;
    }
    const double cost =
      (lastResort ? kQuarantineWeight : 0.0) +
      (isTrial ? TrialCost(aState, worker, task, aNow)
               : PlacementCost(aState, labelCapacities, worker, aReady, task, number, aNow));
    if (best == kNoWorker || cost < bestCost) {
      best = number;
      bestCost = cost;
    }
  }
  return best;
}

void
ChargeStart(const SchedulerState& aState, const TaskRef& aRef, StartBudget* aBudget)
{
  if (aBudget != nullptr) {
    const Worker& worker = aState.mWorkers[TaskAt(aRef).mWorker];
    aBudget->mBytesLeft -= aBudget->mBytesOf(*aRef.mJob, worker.mAgent);
  }
}

void
OrderStart(SchedulerState& aState, const TaskRef& aRef, RunNumber aRun, const CurrentTime& aNow)
{
  Task& task = OwnTaskAt(aRef);
  task.mRun = aRun;
  task.mPhaseSince = aNow.mMonotonic;
  Worker& worker = aState.mWorkers[task.mWorker];
  worker.mHealth.mLastStart = aNow.mMonotonic;
  if (!StepSpecOf(aRef).mBestEffort && !StepSpecOf(aRef).mLongRunning) {
    worker.mLastShortStart = aNow.mMonotonic;
  }
  Order order;
  order.mIsTrial = NeedsTrial(aRef);
  if (order.mIsTrial) {
    aState.mTrials.insert(aRef);
    ++aState.mCounts.mTrials;
  }
  order.mKind = OrderKind::Start;
  order.mLifetime = aState.mWorkers[task.mWorker].mLifetime;
  order.mTask = NameOf(aRef);
  order.mRun = aRun;
  order.mCheckpoint = task.mCheckpoint;
  const Step& step = StepAt(aRef);
  if (const auto ticket = step.mTickets.find(task.mWorker); ticket != step.mTickets.end()) {
    order.mTicket = ticket->second.mText;
  }
  AddOrder(aState, std::move(order));
  ++aState.mCounts.mStarts;
}

bool
PlaceTasks(SchedulerState& aState, const CurrentTime& aNow, StartBudget* aBudget)
{
  ExpireAdviceRequests(aState, aNow);
  NearPlaces places = BeginNearPlaces(aState, aNow);
  std::vector<ReadyStep> steps = ReadySteps(aState, aNow);
  std::uint32_t requestedAhead = 0;
  std::set<std::pair<const Job*, std::uint32_t>> withoutRoom;
  for (ReadyStep& ready : steps) {
    if (IsUsedUp(aBudget)) {
      return false;
    }
    if (withoutRoom.contains({ ready.mJob, ready.mStep })) {
      continue;
    }
    const QueueSpec& queue = *FindQueue(aState, *ready.mJob);
    const auto noteNoRoom = [&] {
      if (HasUniformNeeds(ready, queue)) {
        withoutRoom.emplace(ready.mJob, ready.mStep);
      }
    };
    if (ready.mJob->mSpec.mSteps[ready.mStep].mGang) {
      if (!PlaceGang(aState, places, ready, queue, aBudget, aNow)) {
        noteNoRoom();
      }
      RequestTickets(
        aState, ready, queue, requestedAhead++ < aState.mPolicy.mStepsRequestedAhead, aNow);
      continue;
    }
    Step& step = StepAt(FirstTask(ready));
    std::string placed;
    StepWait wait(aState, places, ready, queue, aNow);
    // The place that the last task did not take, because it waits for one near its data.
    WorkerNumber leftPlace = kNoWorker;
    for (std::uint32_t i = step.mTasks.nextWaiting(0); i < step.mTasks.size();
         i = step.mTasks.nextWaiting(i + 1)) {
      if (IsUsedUp(aBudget)) {
        break;
      }
      const TaskRef ref{ ready.mJob, ready.mOccurrence, ready.mStep, i };
      if (leftPlace != kNoWorker && wait.waits(i, leftPlace)) {
        continue;
      }
      const WorkerNumber worker = BestWorker(aState, ready, queue, i, "", aNow);
      if (worker == kNoWorker) {
        if (NeedsTrial(ref) || step.mTasks.at(i).mCrashChange > ready.mJob->mDurableChange) {
          continue;
        }
        LogWaitForQuarantined(aState, ready, queue, aNow);
        // All tasks of a step have the same requirements.
        noteNoRoom();
        break;
      }
      leftPlace = kNoWorker;
      if (wait.waits(i, worker)) {
        leftPlace = worker;
        continue;
      }
      const RunNumber run = NextRun(aState, step.mTasks.at(i));
      const StepSpec& spec = ready.mJob->mSpec.mSteps[ready.mStep];
      if (spec.mBestEffort && !BestEffortFits(aState, aState.mWorkers[worker], spec)) {
        aState.mWorkers[worker].mForcedPlacementAt = aNow.mMonotonic;
      }
      AssignToWorker(aState, ref, worker, TaskPhase::Starting, aNow);
      NoteStart(aState, places, ref, aNow);
      ChargeStart(aState, ref, aBudget);
      OrderStart(aState, ref, run, aNow);
      ready.mJobIsIdle = false;
      placed += (placed.empty() ? "" : " ") + std::to_string(i) + ':' +
                std::to_string(run.value()) + '@' + aState.mWorkers[worker].mLifetime.mWorker.str();
    }
    wait.finish();
    if (queue.mAdvice && step.mWaitingTasks > 0) {
      RequestTickets(
        aState, ready, queue, requestedAhead++ < aState.mPolicy.mStepsRequestedAhead, aNow);
    }
    if (!placed.empty()) {
      aState.mLogEntries.push_back(
        { "tasks started",
          ready.mJob->mSpec.mJob,
          std::to_string(ready.mOccurrence) + '.' + std::to_string(ready.mStep) + ' ' + placed });
    }
  }
  return !IsUsedUp(aBudget);
}

} // namespace Scheduling
