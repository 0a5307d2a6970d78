#pragma once

#include <string>
#include <utility>
#include <vector>

#include "Scheduling/Schedule.h"

/// Builders and a fixture for the scheduler tests.
namespace SchedulingTests {

using namespace Scheduling;
using Common::JobId;
using Common::MilliCores;
using Common::WorkerId;
using std::chrono::milliseconds;

constexpr std::int64_t kMib = 1 << 20;

class StepBuilder
{
public:
  StepBuilder tasks(std::uint32_t aTasks)
  {
    mStep.mTaskCount = aTasks;
    return *this;
  }
  StepBuilder cores(std::int64_t aMilliCores)
  {
    mStep.mNeed.mCores = MilliCores{ aMilliCores };
    return *this;
  }
  StepBuilder memoryMib(std::int64_t aMib)
  {
    mStep.mNeed.mMemory = Common::Bytes{ aMib * kMib };
    return *this;
  }
  StepBuilder after(std::vector<std::uint32_t> aSteps)
  {
    mStep.mDependencies = std::move(aSteps);
    return *this;
  }
  StepBuilder estimate(milliseconds aEstimate)
  {
    mStep.mEstimatedRunTime = aEstimate;
    return *this;
  }
  StepBuilder longRunning(milliseconds aTarget = milliseconds(0))
  {
    mStep.mLongRunning = true;
    mStep.mTailLatencyTarget = aTarget;
    return *this;
  }
  StepBuilder bestEffort()
  {
    mStep.mBestEffort = true;
    mStep.mCheckpoints = true;
    return *this;
  }
  StepBuilder gang(bool aSameRack = false)
  {
    mStep.mGang = true;
    mStep.mSameRack = aSameRack;
    return *this;
  }
  StepBuilder image(std::string aImage)
  {
    mStep.mImage = std::move(aImage);
    return *this;
  }
  StepBuilder label(std::string aLabel)
  {
    mStep.mLabel = std::move(aLabel);
    return *this;
  }
  StepBuilder dataRack(std::string aRack)
  {
    mStep.mDataRack = std::move(aRack);
    return *this;
  }
  StepBuilder maxPerWorker(std::uint32_t aMax)
  {
    mStep.mMaxPerWorker = aMax;
    return *this;
  }
  StepSpec build() const { return mStep; }

private:
  StepSpec mStep = [] {
    StepSpec step;
    step.mNeed.mCores = MilliCores{ 1000 };
    step.mNeed.mMemory = Common::Bytes{ 100 * kMib };
    step.mEstimatedRunTime = milliseconds(1000);
    return step;
  }();
};

inline StepBuilder
MakeStep()
{
  return {};
}

/// A scheduler state with two queues, and a clock that the test advances.
class Fixture
{
public:
  Fixture()
  {
    mState.mQueues[Common::RouteId("quote")] = { .mName = Common::RouteId("quote"),
                                                 .mPool = Common::PoolId("pool"),
                                                 .mPriority = 0,
                                                 .mMaxAttempts = 2,
                                                 .mStretchFactor = 1.5,
                                                 .mSlack = milliseconds(600) };
    mState.mQueues[Common::RouteId("render")] = { .mName = Common::RouteId("render"),
                                                  .mPool = Common::PoolId("pool"),
                                                  .mPriority = 2,
                                                  .mMaxAttempts = 2,
                                                  .mStretchFactor = 2.0,
                                                  .mSlack = milliseconds(1000) };
  }

  CurrentTime now() const { return { mTime, mUnix }; }

  void advance(Duration aBy)
  {
    mTime += aBy;
    mUnix += std::chrono::duration_cast<Common::UnixMillis>(aBy);
  }

  WorkerView view(const std::string& aName,
                  std::int64_t aMilliCores = 16'000,
                  std::int64_t aStart = 1) const
  {
    WorkerView view;
    view.mLifetime = { WorkerId(aName), LifetimeStart{ aStart } };
    view.mAddress = aName + ":1";
    view.mPool = Common::PoolId("pool");
    view.mRack = Common::RackId("rack-" + aName);
    view.mCapacity.mCores = MilliCores{ aMilliCores };
    view.mCapacity.mMemory = Common::Bytes{ 64'000 * kMib };
    view.mHasTaskList = true;
    return view;
  }

  /// Reports the worker through the agent "agent-NAME"; leases last five seconds. Ended lifetimes
  /// of other workers are reported before, through their agents.
  void report(const WorkerView& aView, const std::vector<EndedLifetime>& aEnded = {})
  {
    std::vector<WorkerView> views{ aView };
    views[0].mTaskListNumber = ++mLastTaskList;
    std::vector<EndedLifetime> ownEnded;
    for (const EndedLifetime& ended : aEnded) {
      if (ended.mLifetime.mWorker == aView.mLifetime.mWorker) {
        ownEnded.push_back(ended);
      } else {
        report(agentOf(ended.mLifetime.mWorker), {}, { ended });
      }
    }
    report(agentOf(aView.mLifetime.mWorker), views, ownEnded);
  }

  void report(const Common::InstanceId& aAgent,
              const std::vector<WorkerView>& aViews,
              const std::vector<EndedLifetime>& aEnded)
  {
    ApplyReport(mState, aAgent, aViews, aEnded, mTime + std::chrono::seconds(5), now());
  }

  static Common::InstanceId agentOf(const WorkerId& aWorker)
  {
    return Common::InstanceId("agent-" + aWorker.str());
  }

  /// Adds a worker whose record is in the store.
  void addWorker(const std::string& aName, std::int64_t aMilliCores = 16'000)
  {
    addWorker(view(aName, aMilliCores));
  }

  void addWorker(const WorkerView& aView)
  {
    report(aView);
    worker(aView.mLifetime.mWorker.str()).mRecorded = true;
  }

  Worker& worker(const std::string& aName, std::int64_t aStart = 1)
  {
    return mState.mWorkers[mState.mWorkerIndex.at({ WorkerId(aName), LifetimeStart{ aStart } })];
  }

  Job& addJob(const std::string& aId,
              std::vector<StepSpec> aSteps,
              const std::string& aQueue = "quote")
  {
    JobSpec spec;
    spec.mJob = JobId(aId);
    spec.mQueue = Common::RouteId(aQueue);
    spec.mSteps = std::move(aSteps);
    spec.mAccepted = mUnix;
    return AddJob(mState, std::move(spec), nullptr, false, now());
  }

  std::vector<Order> place()
  {
    PlaceTasks(mState, now());
    return takeOrders();
  }

  std::vector<Order> takeOrders()
  {
    auto orders = std::move(mState.mOrders);
    mState.mOrders.clear();
    return orders;
  }

  /// Reports that the orders were carried out.
  void confirm(const std::vector<Order>& aOrders)
  {
    for (const Order& order : aOrders) {
      ApplyOrderResult(mState, order.mNumber, OrderResult::Done, now());
    }
  }

  static RunningTask running(const Order& aOrder,
                             std::int64_t aPercent = 10,
                             std::int64_t aUsage = 0)
  {
    return { aOrder.mTask, aOrder.mRun, "", Percent{ aPercent }, aUsage };
  }

  static EndedTask ended(const Order& aOrder,
                         std::int64_t aNumber,
                         EndKind aKind,
                         std::string aCheckpoint = "")
  {
    return { EndNumber{ aNumber }, aOrder.mTask, aOrder.mRun, aKind, std::move(aCheckpoint) };
  }

  SchedulerState mState;

private:
  std::uint64_t mLastTaskList = 0;
  Timestamp mTime{ std::chrono::hours(1) };
  Common::UnixMillis mUnix{ 1'800'000'000'000 };
};

} // namespace SchedulingTests
