#include "World.h"

#include <algorithm>

namespace SchedulingWorld {

namespace {

constexpr milliseconds kStep{ 50 };
constexpr milliseconds kFaultTime{ 25'000 };
constexpr milliseconds kQuietTime{ 45'000 };
constexpr milliseconds kHold{ 5'000 };
constexpr milliseconds kTerm{ 2'000 };
constexpr milliseconds kStopTime{ 400 };
constexpr double kDrift = 1.03;
constexpr std::uint32_t kAttempts = 3;
constexpr int kWorkers = 4;

Duration
Drifted(Duration aTime)
{
  return std::chrono::duration_cast<Duration>(aTime * kDrift);
}

} // namespace

World::World(std::uint32_t aSeed, PlantedFault aFault)
  : mRandom(aSeed)
  , mFault(aFault)
{
  for (int i = 0; i < kWorkers; ++i) {
    WorkerModel worker;
    worker.mLifetime = { Common::WorkerId("w" + std::to_string(i)), LifetimeStart{ 1 } };
    mWorkers.push_back(worker);
    mAgents.emplace_back();
  }
  newCoordinator();
}

void
World::fail(const std::string& aWhat)
{
  if (mBroken.empty()) {
    mBroken = aWhat + " at " +
              std::to_string((mTime.time_since_epoch().count() / 1000) - 3'600'000) + " ms";
  }
}

World::CoordinatorModel*
World::current()
{
  return mCoordinators.empty() || mCoordinators.back().mDead ? nullptr : &mCoordinators.back();
}

void
World::submit()
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
  mJobs[spec.mJob] = spec;
  if (CoordinatorModel* coordinator = current()) {
    AddJob(coordinator->mState, spec, nullptr, false, now());
  }
}

void
World::newCoordinator()
{
  mTerm = mTerm + Common::Epoch{ 1 };
  CoordinatorModel coordinator;
  coordinator.mNumber = mCoordinators.size() + 1;
  coordinator.mTerm = mTerm;
  coordinator.mValidUntil = mTime + kTerm;
  mCoordinators.push_back(std::move(coordinator));
  recover(mCoordinators.back());
}

void
World::recover(CoordinatorModel& aCoordinator)
{
  SchedulerState& state = aCoordinator.mState;
  state.mRunBase = RunNumber{ (aCoordinator.mTerm.value() - 1) * 1000 };
  state.mQueues[Common::RouteId("q")] = { .mName = Common::RouteId("q"),
                                          .mPool = Common::PoolId("pool"),
                                          .mPriority = 0,
                                          .mMaxAttempts = kAttempts,
                                          .mStretchFactor = 1.5,
                                          .mSlack = milliseconds(1000) };
  if (mFault != PlantedFault::IgnoreRecords) {
    for (const auto& [lifetime, worker] : mRecords) {
      WorkerView view;
      view.mLifetime = lifetime;
      view.mPool = Common::PoolId("pool");
      view.mAddress = lifetime.mWorker.str();
      AddRecordedWorker(state,
                        view,
                        Common::InstanceId("a" + std::to_string(worker)),
                        mTime + kTerm + Drifted(kHold) + milliseconds(200));
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
World::endRun(WorkerModel& aWorker, const RunOnWorker& aRun, EndKind aKind)
{
  aWorker.mEnded.push_back({ EndNumber{ ++aWorker.mLastEnd }, aRun.mTask, aRun.mRun, aKind, "" });
  if (aKind == EndKind::Done) {
    mDone.insert(aRun.mTask);
  }
}

void
World::stepWorkers()
{
  for (WorkerModel& worker : mWorkers) {
    std::vector<RunOnWorker> still;
    for (const RunOnWorker& run : worker.mRunning) {
      if (worker.mLease <= mTime) {
        endRun(worker, run, EndKind::LeaseExpired);
      } else if (run.mStopping && run.mStopEnd <= mTime) {
        endRun(worker, run, EndKind::Stopped);
      } else if (!run.mStopping && run.mEnd <= mTime) {
        endRun(worker, run, run.mFails ? EndKind::Failed : EndKind::Done);
      } else {
        still.push_back(run);
      }
    }
    worker.mRunning = still;
  }
  std::vector<Late> due;
  std::erase_if(mLate, [&](const Late& aLate) {
    if (aLate.mAt <= mTime) {
      due.push_back(aLate);
      return true;
    }
    return false;
  });
  for (const Late& late : due) {
    (void)apply(late.mWorker, late.mTerm, late.mOrder, late.mLeaseEnd);
  }
}

void
World::checkStart(std::size_t aWorker, const TaskName& aTask)
{
  for (std::size_t i = 0; i < mWorkers.size(); ++i) {
    for (const RunOnWorker& run : mWorkers[i].mRunning) {
      if (mWorkers[i].mUp && run.mTask == aTask) {
        fail("task " + aTask.mJob.str() + '.' + std::to_string(aTask.mIndex) +
             " started on worker " + std::to_string(aWorker) + " while it runs on " +
             std::to_string(i));
      }
    }
  }
  if (mAcknowledgedDone.contains(aTask)) {
    fail("task of " + aTask.mJob.str() + " started after its end was acknowledged");
  }
  if (mAcknowledgedFailures[aTask] >= static_cast<int>(kAttempts)) {
    fail("task of " + aTask.mJob.str() + " started beyond its attempts");
  }
  const JobSpec& spec = mJobs.at(aTask.mJob);
  for (const std::uint32_t after : spec.mSteps[aTask.mStep].mDependencies) {
    for (std::uint32_t i = 0; i < spec.mSteps[after].mTaskCount; ++i) {
      if (!mDone.contains({ aTask.mJob, 0, after, i })) {
        fail("step of " + aTask.mJob.str() + " started before the one that it follows");
      }
    }
  }
}

OrderResult
World::apply(std::size_t aWorker, Common::Epoch aTerm, const Order& aOrder, Timestamp aLeaseEnd)
{
  WorkerModel& worker = mWorkers[aWorker];
  if (aOrder.mLifetime != worker.mLifetime) {
    return OrderResult::LifetimeEnded;
  }
  if (aTerm < worker.mFence) {
    return OrderResult::Fenced;
  }
  worker.mFence = aTerm;
  const auto running =
    std::find_if(worker.mRunning.begin(), worker.mRunning.end(), [&](const RunOnWorker& aRun) {
      return aRun.mTask == aOrder.mTask && aRun.mRun == aOrder.mRun;
    });
  RunNumber& highest = worker.mHighest[aOrder.mTask];
  if (aOrder.mKind == OrderKind::Stop) {
    highest = std::max(highest, aOrder.mRun);
    if (running != worker.mRunning.end() && !running->mStopping) {
      running->mStopping = true;
      running->mStopEnd = mTime + kStopTime;
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
  if (used > 8000) {
    return OrderResult::NoCapacity;
  }
  checkStart(aWorker, aOrder.mTask);
  highest = aOrder.mRun;
  worker.mLease = std::max(worker.mLease, aLeaseEnd);
  worker.mRunning.push_back({ aOrder.mTask,
                              aOrder.mRun,
                              mTime + step.mEstimatedRunTime,
                              mFaultsOn && random(12) == 0,
                              false,
                              {} });
  return OrderResult::Done;
}

void
World::carryOut(std::size_t aWorker, CoordinatorModel& aCoordinator, const Order& aOrder)
{
  AgentModel& agent = mAgents[aWorker];
  if (agent.mCut || agent.mCoordinator != aCoordinator.mNumber ||
      aCoordinator.mTerm < agent.mTerm) {
    return;
  }
  const bool start = aOrder.mKind == OrderKind::Start;
  if (start && agent.mGrant <= mTime + milliseconds(300)) {
    agent.mResults.emplace_back(aOrder.mNumber, OrderResult::NotSent);
    return;
  }
  if (mFaultsOn && random(15) == 0) {
    // No answer; carried out late, or never.
    if (random(3) > 0) {
      mLate.push_back(
        { mTime + milliseconds(500 + random(9000)), aWorker, agent.mTerm, aOrder, agent.mGrant });
    }
    const bool trusted = mFault == PlantedFault::TrustSilence && start;
    agent.mResults.emplace_back(aOrder.mNumber,
                                trusted ? OrderResult::Unhealthy : OrderResult::Unknown);
    return;
  }
  agent.mResults.emplace_back(aOrder.mNumber, apply(aWorker, agent.mTerm, aOrder, agent.mGrant));
}

void
World::stepAgents()
{
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    AgentModel& agent = mAgents[i];
    WorkerModel& worker = mWorkers[i];
    CoordinatorModel* newest = current();
    if (agent.mCut || newest == nullptr) {
      // Cut off from the newest coordinator it stays with an earlier one while that one acts.
    } else if (agent.mCoordinator != newest->mNumber) {
      agent.mCoordinator = newest->mNumber;
      agent.mTerm = newest->mTerm;
      agent.mView = {};
      agent.mForget = EndNumber{ 0 };
      agent.mResults.clear();
    }
    if (agent.mCoordinator == 0) {
      continue;
    }
    // The look: extends the lease as far as granted, forgets what is acknowledged, lists.
    if (agent.mView.mLifetime != worker.mLifetime) {
      // A new lifetime numbers its ends anew; the agent speaks to it with a driver of its own.
      agent.mForget = EndNumber{ 0 };
      agent.mView.mHasTaskList = false;
    }
    if (agent.mTerm >= worker.mFence) {
      worker.mFence = agent.mTerm;
      if (agent.mGrant > mTime) {
        worker.mLease = std::max(worker.mLease, agent.mGrant);
      }
      std::erase_if(worker.mEnded, [&](const EndedTask& aEnd) {
        const bool forgotten = aEnd.mNumber <= agent.mForget;
        if (forgotten && aEnd.mKind == EndKind::Done) {
          mAcknowledgedDone.insert(aEnd.mTask);
        }
        if (forgotten && aEnd.mKind == EndKind::Failed) {
          ++mAcknowledgedFailures[aEnd.mTask];
        }
        return forgotten;
      });
      // Now and then the list of the step before is reported instead.
      if (!mFaultsOn || random(6) != 0 || !agent.mView.mHasTaskList) {
        ++agent.mView.mTaskListNumber;
        agent.mView.mRunning.clear();
        for (const RunOnWorker& run : worker.mRunning) {
          const auto left = std::chrono::duration_cast<milliseconds>(run.mEnd - mTime).count();
          agent.mView.mRunning.push_back(
            { run.mTask, run.mRun, "", Percent{ std::max<std::int64_t>(0, 99 - left / 20) }, 0 });
        }
        agent.mView.mEnded = worker.mEnded;
        agent.mView.mHasTaskList = true;
      }
      agent.mView.mLifetime = worker.mLifetime;
    }
    agent.mView.mPool = Common::PoolId("pool");
    agent.mView.mAddress = worker.mLifetime.mWorker.str();
    agent.mView.mCapacity.mCores = Common::MilliCores{ 8000 };
    agent.mView.mCapacity.mMemory = Common::Bytes{ 1LL << 40 };
  }
}

void
World::flush(CoordinatorModel& aCoordinator)
{
  // Only the holder of the newest term may write.
  if (aCoordinator.mTerm != mTerm || (mFaultsOn && random(4) == 0)) {
    return;
  }
  SchedulerState& state = aCoordinator.mState;
  for (Job* job : std::set<Job*>(state.mDirtyJobs)) {
    mProgress[job->mSpec.mJob] = ProgressOf(*job);
    job->mDurableState = job->mState;
    if (HasEnded(job->mState)) {
      state.mOpenJobs.erase(job);
    }
  }
  state.mDirtyJobs.clear();
  for (Worker& worker : state.mWorkers) {
    if (worker.mGone) {
      mRecords.erase(worker.mLifetime);
      worker.mRecorded = false;
    } else if (worker.mConnected && worker.mHasTaskList) {
      mRecords[worker.mLifetime] =
        static_cast<std::size_t>(std::stoi(worker.mLifetime.mWorker.str().substr(1)));
      worker.mRecorded = true;
    }
    worker.mLastAcknowledgedEnd = worker.mLastHandledEnd;
  }
}

void
World::stepCoordinators()
{
  for (CoordinatorModel& coordinator : mCoordinators) {
    if (coordinator.mDead) {
      continue;
    }
    if (coordinator.mTerm == mTerm) {
      coordinator.mValidUntil = mTime + kTerm;
    }
    if (mTime >= coordinator.mValidUntil) {
      coordinator.mDead = true;
      continue;
    }
    SchedulerState& state = coordinator.mState;
    for (std::size_t i = 0; i < mAgents.size(); ++i) {
      AgentModel& agent = mAgents[i];
      const bool reaches = agent.mCoordinator == coordinator.mNumber &&
                           !(agent.mCut && coordinator.mTerm == mTerm && mCoordinators.size() > 1);
      const Common::InstanceId name("a" + std::to_string(i));
      if (!reaches) {
        MarkAgentDisconnected(state, name);
        continue;
      }
      if (mFaultsOn && random(5) == 0) {
        continue;
      }
      std::vector<WorkerView> views{ agent.mView };
      ApplyReport(state, name, views, {}, mTime + Drifted(kHold), now());
      auto results = std::move(agent.mResults);
      agent.mResults.clear();
      for (const auto& [number, result] : results) {
        ApplyOrderResult(state, number, result, now());
      }
      // The echo of this report.
      agent.mGrant = std::max<Timestamp>(agent.mGrant, mTime + kHold);
      for (Worker& worker : state.mWorkers) {
        if (worker.mLifetime == agent.mView.mLifetime) {
          agent.mForget = mFault == PlantedFault::AcknowledgeEarly ? worker.mLastHandledEnd
                                                                   : worker.mLastAcknowledgedEnd;
          if (mFault == PlantedFault::IgnoreLeases) {
            worker.mLeaseEnd = mTime + milliseconds(300);
          }
        }
      }
    }
    CheckTimeouts(state, now());
    PaceTasks(state, now());
    PlaceTasks(state, now());
    const auto orders = std::move(state.mOrders);
    state.mOrders.clear();
    state.mLogEntries.clear();
    for (const Order& order : orders) {
      carryOut(static_cast<std::size_t>(std::stoi(order.mLifetime.mWorker.str().substr(1))),
               coordinator,
               order);
    }
    if (random(3) == 0) {
      flush(coordinator);
    }
  }
}

void
World::injectFaults()
{
  if (random(40) == 0 && mJobs.size() < 30) {
    submit();
  }
  if (!mFaultsOn) {
    return;
  }
  AgentModel& agent = mAgents[static_cast<std::size_t>(random(kWorkers))];
  if (random(60) == 0) {
    agent.mCut = true;
  }
  if (random(40) == 0) {
    agent.mCut = false;
  }
  if (random(250) == 0) {
    // The worker crashes and starts again under its old id.
    WorkerModel& worker = mWorkers[static_cast<std::size_t>(random(kWorkers))];
    const WorkerLifetime lifetime{ worker.mLifetime.mWorker,
                                   worker.mLifetime.mStartedAt + LifetimeStart{ 1 } };
    worker = WorkerModel{};
    worker.mLifetime = lifetime;
  }
  if (random(120) == 0 && !mJobs.empty()) {
    auto job = mJobs.begin();
    std::advance(job, random(static_cast<int>(mJobs.size())));
    mCancelled.insert(job->first);
    if (CoordinatorModel* coordinator = current()) {
      CancelJob(coordinator->mState, *coordinator->mState.mJobs.at(job->first), now());
    }
  }
  if (random(200) == 0) {
    // The coordinator is lost, or only its key is, while it acts on until its lease would end.
    mCoordinators.back().mDead = random(2) == 0;
    newCoordinator();
  }
}

bool
World::allEnded() const
{
  return std::all_of(mJobs.begin(), mJobs.end(), [&](const auto& aJob) {
    const auto progress = mProgress.find(aJob.first);
    return progress != mProgress.end() && HasEnded(progress->second.mState);
  });
}

std::string
World::play()
{
  const Timestamp quiet = mTime + kFaultTime;
  const Timestamp end = quiet + kQuietTime;
  for (; mTime < end && mBroken.empty(); mTime += kStep) {
    if (mFaultsOn && mTime >= quiet) {
      mFaultsOn = false;
      for (AgentModel& agent : mAgents) {
        agent.mCut = false;
      }
    }
    if (mTime < quiet) {
      injectFaults();
    }
    stepWorkers();
    stepAgents();
    stepCoordinators();
    if (!mFaultsOn && allEnded()) {
      break;
    }
  }
  if (mBroken.empty() && !allEnded()) {
    fail("a job has not ended");
  }
  for (const auto& [id, progress] : mProgress) {
    if (progress.mState != JobState::Completed) {
      continue;
    }
    for (std::uint32_t s = 0; s < mJobs.at(id).mSteps.size(); ++s) {
      for (std::uint32_t i = 0; i < mJobs.at(id).mSteps[s].mTaskCount; ++i) {
        if (!mDone.contains({ id, 0, s, i })) {
          fail("job " + id.str() + " is completed and a task of it has not ended so");
        }
      }
    }
  }
  return mBroken;
}

} // namespace SchedulingWorld
