#include "Simulation.h"

#include <algorithm>

#include "Scheduling/Evacuation.h"

namespace SchedulingSimulation {

namespace {

constexpr milliseconds kTick{ 50 };
constexpr milliseconds kFaultPhaseTime{ 25'000 };
constexpr milliseconds kFaultFreePhaseTime{ 45'000 };
constexpr milliseconds kLeaseTime{ 5'000 };
constexpr milliseconds kCoordinatorLeaseTime{ 2'000 };
constexpr milliseconds kStopTime{ 400 };
/// Longest time after which an order without an answer is carried out.
constexpr milliseconds kMaxLateness{ 9'500 };
constexpr double kClockDrift = 1.03;
constexpr std::uint32_t kMaxAttempts = 3;
constexpr int kWorkerCount = 4;
/// Crashes of workers under a task after which it may be given up, and after which it may be
/// started only so many times more.
constexpr int kCrashesToGiveUp = 2;
constexpr int kAllowedCrashes = 3;
constexpr int kAllowedStartsAfterCrashes = 2;
constexpr std::int64_t kFullCapacity = 8'000;
/// Time after which a smaller capacity counts for starts.
constexpr milliseconds kCapacityNoticeTime{ 1'500 };

/// An evacuation begins or ends once in this many ticks on average.
constexpr std::uint32_t kEvacuationInterval = 80;
/// No start may be sent this long after the operator's write.
constexpr milliseconds kEvacuationBound{ 5'000 };
/// How much later than the operator's write each process knows of it.
constexpr milliseconds kAgentLag{ 2'000 };
constexpr milliseconds kCoordinatorLag{ 500 };
constexpr milliseconds kCutOffLag{ 7'000 };

Duration
WithDrift(Duration aTime)
{
  return std::chrono::duration_cast<Duration>(aTime * kClockDrift);
}

} // namespace

Simulation::Simulation(std::uint32_t aSeed, PlantedFault aFault)
  : mRandom(aSeed)
  , mEvacuationRandom(~aSeed)
  , mEvacuations{ { Timestamp{}, {} } }
  , mFault(aFault)
  , mWorkersCheckCapacity(aSeed % 2 == 0)
{
  for (int i = 0; i < kWorkerCount; ++i) {
    WorkerModel worker;
    worker.mLifetime = { Common::WorkerId("w" + std::to_string(i)), LifetimeStart{ 1 } };
    mWorkers.push_back(worker);
    mAgents.emplace_back();
  }
  newCoordinator();
}

void
Simulation::reportViolation(const std::string& aWhat)
{
  if (mViolation.empty()) {
    mViolation = aWhat + " at " +
                 std::to_string((mTime.time_since_epoch().count() / 1000) - 3'600'000) + " ms";
  }
}

Common::DataCentreId
Simulation::dataCentreOf(std::size_t aWorker)
{
  return Common::DataCentreId(aWorker % 2 == 0 ? "even" : "odd");
}

void
Simulation::evacuate()
{
  if (mEvacuationRandom() % kEvacuationInterval != 0) {
    return;
  }
  EvacuatedDataCentres dataCentres = mEvacuations.back().mDataCentres;
  const Common::DataCentreId changed = dataCentreOf(mEvacuationRandom() % 2);
  if (dataCentres.erase(changed) == 0) {
    dataCentres.insert(changed);
  }
  mEvacuations.push_back({ mTime, dataCentres });
}

const EvacuatedDataCentres&
Simulation::evacuatedAsOf(Timestamp aTime) const
{
  auto found = mEvacuations.rbegin();
  while (found->mSince > aTime) {
    ++found;
  }
  return found->mDataCentres;
}

bool
Simulation::isEvacuatedFor(std::size_t aWorker) const
{
  const Common::DataCentreId dataCentre = dataCentreOf(aWorker);
  return evacuatedAsOf(mTime - kEvacuationBound).contains(dataCentre) &&
         std::all_of(mEvacuations.begin(), mEvacuations.end(), [&](const Evacuation& aEvacuation) {
           return aEvacuation.mSince <= mTime - kEvacuationBound ||
                  aEvacuation.mDataCentres.contains(dataCentre);
         });
}

Simulation::CoordinatorModel*
Simulation::currentCoordinator()
{
  return mCoordinators.empty() || mCoordinators.back().mStopped ? nullptr : &mCoordinators.back();
}

void
Simulation::submit()
{
  JobSpec spec;
  spec.mJob = Common::JobId("job" + std::to_string(mJobs.size()));
  spec.mQueue = Common::RouteId("q");
  spec.mAccepted = now().mUnix;
  const int steps = 1 + random(3);
  for (int i = 0; i < steps; ++i) {
    StepSpec step;
    step.mTaskCount = static_cast<std::uint32_t>(1 + random(4));
    step.mNeed.mCores = Common::MilliCores{ 500 + 500 * random(4) };
    step.mEstimatedRunTime = milliseconds(300 + random(1500));
    step.mCheckpoints = random(2) == 0;
    if (i > 0) {
      step.mDependencies = { static_cast<std::uint32_t>(random(i)) };
    }
    spec.mSteps.push_back(step);
  }
  if (random(10) == 0) {
    const auto step = static_cast<std::uint32_t>(random(steps));
    const auto task =
      static_cast<std::uint32_t>(random(static_cast<int>(spec.mSteps[step].mTaskCount)));
    mDeadlyTasks.insert({ spec.mJob, 0, step, task });
  }
  mJobs[spec.mJob] = spec;
  if (CoordinatorModel* coordinator = currentCoordinator()) {
    AddJob(coordinator->mState, spec, nullptr, false, now());
  }
}

void
Simulation::newCoordinator()
{
  mTerm = mTerm + Common::Epoch{ 1 };
  CoordinatorModel coordinator;
  coordinator.mNumber = mCoordinators.size() + 1;
  coordinator.mTerm = mTerm;
  coordinator.mValidUntil = mTime + kCoordinatorLeaseTime;
  mCoordinators.push_back(std::move(coordinator));
  recover(mCoordinators.back());
}

void
Simulation::recover(CoordinatorModel& aCoordinator)
{
  SchedulerState& state = aCoordinator.mState;
  state.mRunBase = RunNumber{ (aCoordinator.mTerm.value() - 1) * 1000 };
  state.mQueues[Common::RouteId("q")] = { .mName = Common::RouteId("q"),
                                          .mPool = Common::PoolId("pool"),
                                          .mPriority = 0,
                                          .mMaxAttempts = kMaxAttempts,
                                          .mStretchFactor = 1.5,
                                          .mSlack = milliseconds(1000) };
  if (mFault != PlantedFault::IgnoreRecords) {
    for (const auto& [lifetime, worker] : mWorkerRecords) {
      WorkerView view;
      view.mLifetime = lifetime;
      view.mPool = Common::PoolId("pool");
      view.mDataCentre = dataCentreOf(worker);
      view.mAddress = lifetime.mWorker.str();
      AddRecordedWorker(state,
                        view,
                        Common::InstanceId("a" + std::to_string(worker)),
                        mTime + kCoordinatorLeaseTime + WithDrift(kLeaseTime) + milliseconds(200));
    }
  }
  for (const auto& [id, spec] : mJobs) {
    const auto progress = mProgress.find(id);
    Job& job = AddJob(state,
                      spec,
                      progress == mProgress.end() ? nullptr : &progress->second,
                      mFault != PlantedFault::IgnoreRecords,
                      now());
    if (mCancelled.contains(id)) {
      CancelJob(state, job, now());
    }
  }
}

void
Simulation::endRun(WorkerModel& aWorker, const RunOnWorker& aRun, EndKind aKind)
{
  aWorker.mEnded.push_back({ EndNumber{ ++aWorker.mLastEnd }, aRun.mTask, aRun.mRun, aKind, "" });
  if (aKind == EndKind::Done) {
    mDone.insert(aRun.mTask);
  }
  if (aKind == EndKind::Failed) {
    ++mFailures[aRun.mTask];
  }
}

void
Simulation::tickWorkers()
{
  for (WorkerModel& worker : mWorkers) {
    std::vector<RunOnWorker> remaining;
    for (const RunOnWorker& run : worker.mRunning) {
      if (worker.mLeaseEnd <= mTime) {
        endRun(worker, run, EndKind::LeaseExpired);
      } else if (run.mStopping && run.mStopsAt <= mTime) {
        endRun(worker, run, EndKind::Stopped);
      } else if (!run.mStopping && run.mEndsAt <= mTime) {
        endRun(worker, run, run.mFails ? EndKind::Failed : EndKind::Done);
      } else {
        remaining.push_back(run);
      }
    }
    worker.mRunning = remaining;
  }
  std::vector<DelayedOrder> due;
  std::erase_if(mDelayedOrders, [&](const DelayedOrder& aDelayed) {
    if (aDelayed.mDueAt <= mTime) {
      due.push_back(aDelayed);
      return true;
    }
    return false;
  });
  for (const DelayedOrder& delayed : due) {
    (void)applyOrder(
      delayed.mWorker, delayed.mTerm, delayed.mOrder, delayed.mLeaseEnd, delayed.mSentAt);
  }
}

void
Simulation::checkStart(std::size_t aWorker, const TaskName& aTask)
{
  for (std::size_t i = 0; i < mWorkers.size(); ++i) {
    for (const RunOnWorker& run : mWorkers[i].mRunning) {
      if (mWorkers[i].mUp && run.mTask == aTask) {
        reportViolation("task " + aTask.mJob.str() + '.' + std::to_string(aTask.mIndex) +
                        " started on worker " + std::to_string(aWorker) + " while it runs on " +
                        std::to_string(i));
      }
    }
  }
  if (mDeadlyTasks.contains(aTask) &&
      mCrashes[aTask] >= kAllowedCrashes + kAllowedStartsAfterCrashes) {
    reportViolation("task of " + aTask.mJob.str() + " crashes one worker after the other");
  }
  if (mAcknowledgedDone.contains(aTask)) {
    reportViolation("task of " + aTask.mJob.str() + " started after its end was acknowledged");
  }
  if (mAcknowledgedFailures[aTask] >= static_cast<int>(kMaxAttempts)) {
    reportViolation("task of " + aTask.mJob.str() + " started after its last attempt failed");
  }
  const JobSpec& spec = mJobs.at(aTask.mJob);
  for (const std::uint32_t dependency : spec.mSteps[aTask.mStep].mDependencies) {
    for (std::uint32_t i = 0; i < spec.mSteps[dependency].mTaskCount; ++i) {
      if (!mDone.contains({ aTask.mJob, 0, dependency, i })) {
        reportViolation("step of " + aTask.mJob.str() +
                        " started before a step that it depends on");
      }
    }
  }
}

void
Simulation::crash(WorkerModel& aWorker, Duration aDownTime)
{
  const WorkerLifetime lifetime{ aWorker.mLifetime.mWorker,
                                 aWorker.mLifetime.mStartedAt + LifetimeStart{ 1 } };
  for (const RunOnWorker& run : aWorker.mRunning) {
    ++mCrashes[run.mTask];
  }
  aWorker = WorkerModel{};
  aWorker.mLifetime = lifetime;
  aWorker.mUpAt = mTime + aDownTime;
}

bool
Simulation::isFresh(const AgentModel& aAgent, const CrashSuspect& aRun) const
{
  return std::any_of(
    aAgent.mSentStarts.begin(), aAgent.mSentStarts.end(), [&](const SentStart& aStart) {
      const Duration time = aStart.mMayComeLate ? kMaxLateness : Policy{}.mTrialTime;
      return aStart.mRun == aRun && mTime - aStart.mSentAt <= time + kTick;
    });
}

void
Simulation::reportEndedLifetime(AgentModel& aAgent)
{
  EndedLifetime ended{ .mLifetime = aAgent.mView.mLifetime, .mSuspects = {} };
  for (const SentStart& start : aAgent.mSentStarts) {
    if (isFresh(aAgent, start.mRun) && mFault != PlantedFault::HideSuspects) {
      ended.mMayBeLateStart = ended.mMayBeLateStart || start.mMayComeLate;
      if (!start.mMayComeLate) {
        ended.mSuspects.push_back(start.mRun);
      }
    }
  }
  aAgent.mSentStarts.clear();
  aAgent.mEndedLifetimes.push_back(std::move(ended));
  aAgent.mView.mHasTaskList = false;
  aAgent.mView.mRunning.clear();
  aAgent.mView.mEnded.clear();
}

std::int64_t
Simulation::capacityOf(const WorkerModel& aWorker) const
{
  return aWorker.mCapacities.empty() ? kFullCapacity : aWorker.mCapacities.back().second;
}

void
Simulation::checkCapacity(const WorkerModel& aWorker, std::int64_t aUsed, Timestamp aOrderedAt)
{
  // Any capacity that the worker had since this time may have been the one known at the order.
  const Timestamp since = aOrderedAt - kCapacityNoticeTime;
  std::int64_t allowed = 0;
  std::int64_t before = kFullCapacity;
  for (const auto& [from, capacity] : aWorker.mCapacities) {
    allowed = from > since ? std::max({ allowed, before, capacity }) : allowed;
    before = capacity;
  }
  allowed = std::max(allowed, before);
  if (aUsed > allowed) {
    reportViolation(aWorker.mLifetime.mWorker.str() + " has " + std::to_string(aUsed) +
                    " millicores in use and a capacity of " + std::to_string(allowed));
  }
}

OrderResult
Simulation::applyOrder(std::size_t aWorker,
                       Common::Epoch aTerm,
                       const Order& aOrder,
                       Timestamp aLeaseEnd,
                       Timestamp aSentAt)
{
  WorkerModel& worker = mWorkers[aWorker];
  if (mTime < worker.mUpAt) {
    return OrderResult::Unhealthy;
  }
  if (aOrder.mLifetime != worker.mLifetime) {
    return OrderResult::LifetimeEnded;
  }
  if (aTerm < worker.mHighestTerm) {
    return OrderResult::Fenced;
  }
  worker.mHighestTerm = aTerm;
  const auto running =
    std::find_if(worker.mRunning.begin(), worker.mRunning.end(), [&](const RunOnWorker& aRun) {
      return aRun.mTask == aOrder.mTask && aRun.mRun == aOrder.mRun;
    });
  RunNumber& highest = worker.mHighestRuns[aOrder.mTask];
  if (aOrder.mKind == OrderKind::Stop) {
    highest = std::max(highest, aOrder.mRun);
    if (running != worker.mRunning.end() && !running->mStopping) {
      running->mStopping = true;
      running->mStopsAt = mTime + kStopTime;
    }
    return OrderResult::Done;
  }
  if (aOrder.mKind == OrderKind::Throttle) {
    return OrderResult::Done;
  }
  if (running != worker.mRunning.end()) {
    return OrderResult::Done;
  }
  if (aOrder.mRun <= highest) {
    return OrderResult::StaleRun;
  }
  if (aLeaseEnd <= mTime) {
    return OrderResult::LeaseExpired;
  }
  const StepSpec& step = mJobs.at(aOrder.mTask.mJob).mSteps[aOrder.mTask.mStep];
  std::int64_t used = step.mNeed.mCores.value();
  for (const RunOnWorker& run : worker.mRunning) {
    used += mJobs.at(run.mTask.mJob).mSteps[run.mTask.mStep].mNeed.mCores.value();
  }
  if (mWorkersCheckCapacity && used > capacityOf(worker)) {
    return OrderResult::NoCapacity;
  }
  checkCapacity(worker, used, aSentAt);
  checkStart(aWorker, aOrder.mTask);
  if (mDeadlyTasks.contains(aOrder.mTask)) {
    ++mCrashes[aOrder.mTask];
    crash(worker, milliseconds(2000 + random(2000)));
    return OrderResult::Done;
  }
  highest = aOrder.mRun;
  worker.mLeaseEnd = std::max(worker.mLeaseEnd, aLeaseEnd);
  worker.mRunning.push_back({ aOrder.mTask,
                              aOrder.mRun,
                              mTime + step.mEstimatedRunTime,
                              mFaultsEnabled && random(12) == 0,
                              false,
                              {} });
  return OrderResult::Done;
}

void
Simulation::executeOrder(std::size_t aWorker, CoordinatorModel& aCoordinator, const Order& aOrder)
{
  AgentModel& agent = mAgents[aWorker];
  if (agent.mDisconnected || agent.mCoordinator != aCoordinator.mNumber ||
      aCoordinator.mTerm < agent.mTerm) {
    return;
  }
  const auto known = agent.mOrderStates.find(aOrder.mNumber);
  const OrderResult result =
    known == agent.mOrderStates.end() ? sendOrder(aWorker, aOrder) : known->second;
  agent.mOrderStates[aOrder.mNumber] = result;
  agent.mResults.emplace_back(aOrder.mNumber, result);
}

OrderResult
Simulation::sendOrder(std::size_t aWorker, const Order& aOrder)
{
  AgentModel& agent = mAgents[aWorker];
  const bool start = aOrder.mKind == OrderKind::Start;
  if (start && agent.mLeaseGrantedUntil <= mTime + milliseconds(300)) {
    return OrderResult::NotSent;
  }
  if (start && mFault != PlantedFault::IgnoreEvacuations &&
      evacuatedAsOf(mTime - kAgentLag).contains(dataCentreOf(aWorker))) {
    return OrderResult::NotSent;
  }
  if (start && isEvacuatedFor(aWorker)) {
    reportViolation("a start was sent in an evacuated data centre");
  }
  if (start) {
    std::erase_if(agent.mSentStarts, [this](const SentStart& aStart) {
      return mTime - aStart.mSentAt > kMaxLateness;
    });
    agent.mSentStarts.push_back({ { aOrder.mTask, aOrder.mRun }, mTime });
  }
  if (mFaultsEnabled && random(15) == 0) {
    // The answer is lost; the order is carried out late or never.
    if (start) {
      agent.mSentStarts.back().mMayComeLate = true;
    }
    if (random(3) > 0) {
      mDelayedOrders.push_back({ mTime + milliseconds(500 + random(9000)),
                                 aWorker,
                                 agent.mTerm,
                                 aOrder,
                                 agent.mLeaseGrantedUntil,
                                 mTime });
    }
    const bool treatedAsRejected = mFault == PlantedFault::TreatTimeoutAsRejected && start;
    return treatedAsRejected ? OrderResult::Unhealthy : OrderResult::Unknown;
  }
  const OrderResult result =
    applyOrder(aWorker, agent.mTerm, aOrder, agent.mLeaseGrantedUntil, mTime);
  if (start ? result != OrderResult::Done : result == OrderResult::Done) {
    // The worker does not carry out the start any more.
    std::erase_if(agent.mSentStarts, [&aOrder](const SentStart& aStart) {
      return aStart.mRun == CrashSuspect{ aOrder.mTask, aOrder.mRun };
    });
  }
  return result;
}

void
Simulation::repeatOrders(std::size_t aWorker, CoordinatorModel& aCoordinator)
{
  const auto orders =
    RepeatOrders(aCoordinator.mState, Common::InstanceId("a" + std::to_string(aWorker)));
  for (const Order& order : orders) {
    if (mFault == PlantedFault::ForgetRepeats) {
      aCoordinator.mState.mOutstandingOrders.at(order.mNumber).mRepeated = false;
    }
    executeOrder(aWorker, aCoordinator, order);
  }
}

void
Simulation::tickAgents()
{
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    AgentModel& agent = mAgents[i];
    WorkerModel& worker = mWorkers[i];
    CoordinatorModel* newest = currentCoordinator();
    if (mTime < agent.mDownUntil) {
      continue;
    }
    if (agent.mDisconnected || newest == nullptr) {
      // An agent that cannot reach the newest coordinator stays with an earlier one while that one
      // is active.
    } else if (agent.mCoordinator != newest->mNumber) {
      agent.mCoordinator = newest->mNumber;
      agent.mTerm = newest->mTerm;
      agent.mView = {};
      agent.mAcknowledgeUpTo = EndNumber{ 0 };
      agent.mResults.clear();
      agent.mOrderStates.clear();
    }
    if (agent.mCoordinator == 0) {
      continue;
    }
    // The agent polls the worker: it extends the lease as far as granted, acknowledges ends and
    // reads the lists.
    if (mTime < worker.mUpAt) {
      if (agent.mView.mHasTaskList) {
        reportEndedLifetime(agent);
      }
      continue;
    }
    if (agent.mView.mLifetime != worker.mLifetime) {
      // The ends of a new lifetime are numbered from 1 again, and the agent uses a new driver for
      // it.
      agent.mAcknowledgeUpTo = EndNumber{ 0 };
      agent.mView.mHasTaskList = false;
    }
    if (agent.mTerm >= worker.mHighestTerm) {
      worker.mHighestTerm = agent.mTerm;
      if (agent.mLeaseGrantedUntil > mTime) {
        worker.mLeaseEnd = std::max(worker.mLeaseEnd, agent.mLeaseGrantedUntil);
      }
      std::erase_if(worker.mEnded, [&](const EndedTask& aEnd) {
        const bool acknowledged = aEnd.mNumber <= agent.mAcknowledgeUpTo;
        if (acknowledged && aEnd.mKind == EndKind::Done) {
          mAcknowledgedDone.insert(aEnd.mTask);
        }
        if (acknowledged && aEnd.mKind == EndKind::Failed) {
          ++mAcknowledgedFailures[aEnd.mTask];
        }
        return acknowledged;
      });
      // Sometimes the previous list is reported again.
      if (!mFaultsEnabled || random(6) != 0 || !agent.mView.mHasTaskList) {
        ++agent.mView.mTaskListNumber;
        agent.mView.mRunning.clear();
        for (const RunOnWorker& run : worker.mRunning) {
          const auto remainingTime =
            std::chrono::duration_cast<milliseconds>(run.mEndsAt - mTime).count();
          agent.mView.mRunning.push_back(
            { run.mTask,
              run.mRun,
              "",
              Percent{ std::max<std::int64_t>(0, 99 - remainingTime / 20) },
              0,
              isFresh(agent, { run.mTask, run.mRun }) });
        }
        agent.mView.mEnded = worker.mEnded;
        agent.mView.mHasTaskList = true;
      }
      agent.mView.mLifetime = worker.mLifetime;
    }
    agent.mView.mPool = Common::PoolId("pool");
    agent.mView.mDataCentre = dataCentreOf(i);
    agent.mView.mAddress = worker.mLifetime.mWorker.str();
    agent.mView.mCapacity.mCores =
      Common::MilliCores{ mFault == PlantedFault::IgnoreShrinking ? kFullCapacity
                                                                  : capacityOf(worker) };
    agent.mView.mCapacity.mMemory = Common::Bytes{ 1LL << 40 };
  }
}

void
Simulation::flush(CoordinatorModel& aCoordinator)
{
  // Only the coordinator with the newest term may write.
  if (aCoordinator.mTerm != mTerm || (mFaultsEnabled && random(4) == 0)) {
    return;
  }
  SchedulerState& state = aCoordinator.mState;
  for (Job* job : std::set<Job*>(state.mDirtyJobs)) {
    mProgress[job->mSpec.mJob] = ProgressOf(*job);
    job->mDurableState = job->mState;
    job->mDurableChange = job->mLastChange;
    if (HasEnded(job->mState)) {
      state.mOpenJobs.erase(job);
    }
  }
  state.mDirtyJobs.clear();
  for (Worker& worker : state.mWorkers) {
    if (worker.mLifetimeEnded) {
      mWorkerRecords.erase(worker.mLifetime);
      worker.mRecorded = false;
    } else if (worker.mConnected && worker.mHasTaskList) {
      mWorkerRecords[worker.mLifetime] =
        static_cast<std::size_t>(std::stoi(worker.mLifetime.mWorker.str().substr(1)));
      worker.mRecorded = true;
    }
    worker.mLastAcknowledgedEnd = worker.mLastHandledEnd;
  }
}

void
Simulation::tickCoordinators()
{
  for (CoordinatorModel& coordinator : mCoordinators) {
    if (coordinator.mStopped) {
      continue;
    }
    if (coordinator.mTerm == mTerm) {
      coordinator.mValidUntil = mTime + kCoordinatorLeaseTime;
    }
    if (mTime >= coordinator.mValidUntil) {
      coordinator.mStopped = true;
      continue;
    }
    SchedulerState& state = coordinator.mState;
    for (std::size_t i = 0; i < mAgents.size(); ++i) {
      AgentModel& agent = mAgents[i];
      const bool connected =
        agent.mCoordinator == coordinator.mNumber &&
        !(agent.mDisconnected && coordinator.mTerm == mTerm && mCoordinators.size() > 1);
      const Common::InstanceId name("a" + std::to_string(i));
      if (!connected) {
        coordinator.mConnectedAgents.erase(i);
        MarkAgentDisconnected(state, name);
        continue;
      }
      if (mFaultsEnabled && random(5) == 0) {
        continue;
      }
      std::vector<WorkerView> views;
      if (!agent.mJustStarted && agent.mView.mHasTaskList) {
        views.push_back(agent.mView);
      }
      agent.mJustStarted = false;
      ApplyReport(state, name, views, agent.mEndedLifetimes, mTime + WithDrift(kLeaseTime), now());
      auto results = std::move(agent.mResults);
      agent.mResults.clear();
      for (const auto& [number, result] : results) {
        const bool evacuated = result == OrderResult::NotSent &&
                               evacuatedAsOf(mTime - kAgentLag).contains(dataCentreOf(i));
        evacuated ? ApplyEvacuationRefusal(state, number, result, now())
                  : ApplyOrderResult(state, number, result, now());
      }
      if (coordinator.mConnectedAgents.insert(i).second) {
        repeatOrders(i, coordinator);
      }
      // The answer to the report grants the next lease.
      agent.mLeaseGrantedUntil = std::max<Timestamp>(agent.mLeaseGrantedUntil, mTime + kLeaseTime);
      for (Worker& worker : state.mWorkers) {
        if (worker.mLifetime == agent.mView.mLifetime) {
          agent.mAcknowledgeUpTo = mFault == PlantedFault::AcknowledgeEarly
                                     ? worker.mLastHandledEnd
                                     : worker.mLastAcknowledgedEnd;
          if (mFault == PlantedFault::IgnoreLeases) {
            worker.mLeaseEnd = mTime + milliseconds(300);
          }
        }
      }
    }
    CheckTimeouts(state, now());
    ThrottleTasks(state, now());
    // Every second coordinator learns of evacuations only after the bound, as if cut off.
    const bool isCutOff = coordinator.mNumber % 2 == 0;
    SetEvacuated(state, evacuatedAsOf(mTime - (isCutOff ? kCutOffLag : kCoordinatorLag)));
    PlaceTasks(state, now());
    const auto orders = std::move(state.mOrders);
    state.mOrders.clear();
    state.mLogEntries.clear();
    for (const Order& order : orders) {
      executeOrder(static_cast<std::size_t>(std::stoi(order.mLifetime.mWorker.str().substr(1))),
                   coordinator,
                   order);
    }
    if (random(3) == 0) {
      flush(coordinator);
    }
  }
}

void
Simulation::injectFaults()
{
  if (random(40) == 0 && mJobs.size() < 30) {
    submit();
  }
  if (!mFaultsEnabled) {
    return;
  }
  evacuate();
  AgentModel& agent = mAgents[static_cast<std::size_t>(random(kWorkerCount))];
  if (random(60) == 0) {
    agent.mDisconnected = true;
  }
  if (random(40) == 0) {
    agent.mDisconnected = false;
  }
  if (random(100) == 0) {
    // Some agents are killed at the same moment and start again. Their workers keep running.
    for (AgentModel& killed : mAgents) {
      if (random(2) == 0) {
        killed = AgentModel{};
        killed.mJustStarted = true;
        killed.mDownUntil = mTime + milliseconds(random(600));
      }
    }
  }
  if (random(250) == 0) {
    // The worker crashes and restarts under its old id, at once or after some seconds.
    WorkerModel& worker = mWorkers[static_cast<std::size_t>(random(kWorkerCount))];
    crash(worker, random(2) == 0 ? milliseconds(0) : milliseconds(500 + random(2500)));
  }
  if (random(80) == 0) {
    WorkerModel& worker = mWorkers[static_cast<std::size_t>(random(kWorkerCount))];
    worker.mCapacities.emplace_back(mTime, 1'000 * random(9));
  }
  if (random(120) == 0 && !mJobs.empty()) {
    auto job = mJobs.begin();
    std::advance(job, random(static_cast<int>(mJobs.size())));
    mCancelled.insert(job->first);
    if (CoordinatorModel* coordinator = currentCoordinator()) {
      CancelJob(coordinator->mState, *coordinator->mState.mJobs.at(job->first), now());
    }
  }
  if (random(200) == 0) {
    // Either the coordinator stops, or it only loses its key and stays active until its lease ends.
    mCoordinators.back().mStopped = random(2) == 0;
    newCoordinator();
  }
}

bool
Simulation::hasCauseToFail(const Common::JobId& aJob) const
{
  const auto reaches = [&aJob](const std::map<TaskName, int>& aCounts, int aLimit) {
    return std::any_of(aCounts.begin(), aCounts.end(), [&](const auto& aCount) {
      return aCount.first.mJob == aJob && aCount.second >= aLimit;
    });
  };
  return reaches(mFailures, static_cast<int>(kMaxAttempts)) || reaches(mCrashes, kCrashesToGiveUp);
}

bool
Simulation::allEnded() const
{
  return std::all_of(mJobs.begin(), mJobs.end(), [&](const auto& aJob) {
    const auto progress = mProgress.find(aJob.first);
    return progress != mProgress.end() && HasEnded(progress->second.mState);
  });
}

std::string
Simulation::run()
{
  const Timestamp faultPhaseEnd = mTime + kFaultPhaseTime;
  const Timestamp end = faultPhaseEnd + kFaultFreePhaseTime;
  for (; mTime < end && mViolation.empty(); mTime += kTick) {
    if (mFaultsEnabled && mTime >= faultPhaseEnd) {
      mFaultsEnabled = false;
      mEvacuations.push_back({ mTime, {} });
      for (AgentModel& agent : mAgents) {
        agent.mDisconnected = false;
      }
      for (WorkerModel& worker : mWorkers) {
        worker.mCapacities.emplace_back(mTime, kFullCapacity);
      }
    }
    if (mTime < faultPhaseEnd) {
      injectFaults();
    }
    tickWorkers();
    tickAgents();
    tickCoordinators();
    if (!mFaultsEnabled && allEnded()) {
      break;
    }
  }
  if (mViolation.empty() && !allEnded()) {
    reportViolation("a job has not ended");
  }
  for (const auto& [id, progress] : mProgress) {
    if (progress.mState == JobState::Failed && !hasCauseToFail(id)) {
      reportViolation("job " + id.str() + " has failed without a cause");
    }
    if (progress.mState != JobState::Completed) {
      continue;
    }
    for (std::uint32_t s = 0; s < mJobs.at(id).mSteps.size(); ++s) {
      for (std::uint32_t i = 0; i < mJobs.at(id).mSteps[s].mTaskCount; ++i) {
        if (!mDone.contains({ id, 0, s, i })) {
          reportViolation("job " + id.str() + " is completed, but one of its tasks is not");
        }
      }
    }
  }
  return mViolation;
}

} // namespace SchedulingSimulation
