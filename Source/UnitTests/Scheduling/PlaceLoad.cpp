#include "PlaceLoad.h"

#include <algorithm>

namespace SchedulingTests {

namespace {

constexpr Duration kTick{ milliseconds(10) };
/// Workers report their runs this often, and ends at once.
constexpr Duration kReportInterval{ milliseconds(400) };
const std::string kHotRack = "hot";

class LoadLoop
{
public:
  LoadLoop(const PlaceLoad& aLoad, std::uint32_t aSeed)
    : mLoad(aLoad)
    , mArrivalRandom(aSeed)
    , mRunRandom(aSeed + 1)
  {
    mFixture.mState.mPolicy.mRemoteFactor = aLoad.mKnownFactor;
    for (std::size_t i = 0; i < aLoad.mHotWorkers + aLoad.mOtherWorkers; ++i) {
      addWorker(i);
    }
    mStart = mFixture.now().mMonotonic;
  }

  PlaceLoadResult run()
  {
    const Duration end = mLoad.mArrivals + std::chrono::seconds(30);
    for (Duration time{ 0 }; time < end; time += kTick) {
      submitDueJobs(time);
      endRackIfDue(time);
      reportWorkers();
      applyFixedDelay();
      if (!mLoad.mLearns) {
        mFixture.mState.mRunTimes.clear();
      }
      CheckTimeouts(mFixture.mState, mFixture.now());
      startRuns(mFixture.place());
      mFixture.mState.mLogEntries.clear();
      mFixture.advance(kTick);
    }
    return result();
  }

private:
  struct RunningOrder
  {
    Order mOrder;
    Timestamp mStartedAt;
    Timestamp mEndsAt;
  };
  struct WorkerModel
  {
    std::string mName;
    WorkerView mView;
    bool mUp = true;
    std::vector<RunningOrder> mRuns;
    std::vector<EndedTask> mEnds;
    std::int64_t mLastEnd = 0;
    Timestamp mReportedAt;
  };
  struct Arrival
  {
    Timestamp mAt;
    bool mIsHot = false;
    bool mHasEnded = false;
  };

  void addWorker(std::size_t aNumber)
  {
    WorkerModel worker;
    worker.mName = "w" + std::to_string(aNumber);
    worker.mView = mFixture.view(worker.mName, mLoad.mWorkerMilliCores);
    const bool isHot = aNumber < mLoad.mHotWorkers;
    const std::string rack = isHot ? kHotRack : "rack" + std::to_string(aNumber / 4);
    worker.mView.mRack = Common::RackId(rack);
    worker.mView.mLabels = { "kind", rack };
    mFixture.addWorker(worker.mView);
    mWorkers.push_back(std::move(worker));
  }

  static double random(std::mt19937& aRandom)
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(aRandom);
  }

  void submitDueJobs(Duration aTime)
  {
    while (mNextArrival <= aTime && mNextArrival < mLoad.mArrivals) {
      submit();
      const double pause =
        std::exponential_distribution<double>(mLoad.mJobsPerSecond)(mArrivalRandom);
      mNextArrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause));
    }
  }

  void submit()
  {
    const bool isHot = random(mArrivalRandom) < mLoad.mHotShare;
    const std::string id = "job" + std::to_string(mArrivals.size());
    const auto estimate =
      std::chrono::duration_cast<milliseconds>(mLoad.mRunTime * mLoad.mEstimateError);
    mFixture.addJob(id,
                    { MakeStep()
                        .tasks(mLoad.mTasks)
                        .cores(mLoad.mMilliCores)
                        .estimate(estimate)
                        .dataRack(isHot ? kHotRack : "")
                        .build() });
    mArrivals[JobId(id)] = { mFixture.now().mMonotonic, isHot };
  }

  void endRackIfDue(Duration aTime)
  {
    if (mLoad.mRackDiesAt == Duration{ 0 } || aTime < mLoad.mRackDiesAt) {
      return;
    }
    for (std::size_t i = 0; i < mLoad.mHotWorkers; ++i) {
      if (mWorkers[i].mUp) {
        mWorkers[i].mUp = false;
        mWorkers[i].mRuns.clear();
        mFixture.report(
          Fixture::agentOf(WorkerId(mWorkers[i].mName)),
          {},
          { { .mLifetime = mWorkers[i].mView.mLifetime, .mLeftByPlan = true, .mSuspects = {} } });
      }
    }
  }

  void reportWorkers()
  {
    const Timestamp now = mFixture.now().mMonotonic;
    for (WorkerModel& worker : mWorkers) {
      if (!worker.mUp) {
        continue;
      }
      worker.mEnds.clear();
      std::erase_if(worker.mRuns, [&](const RunningOrder& aRun) {
        if (aRun.mEndsAt <= now) {
          worker.mEnds.push_back(Fixture::ended(aRun.mOrder, ++worker.mLastEnd, EndKind::Done));
        }
        return aRun.mEndsAt <= now;
      });
      if (!worker.mEnds.empty() || now - worker.mReportedAt >= kReportInterval) {
        report(worker, now);
      }
    }
  }

  void report(WorkerModel& aWorker, Timestamp aNow)
  {
    WorkerView view = aWorker.mView;
    view.mEnded = aWorker.mEnds;
    for (const RunningOrder& run : aWorker.mRuns) {
      const auto percent =
        (aNow - run.mStartedAt) * 100 / std::max(run.mEndsAt - run.mStartedAt, Duration{ 1 });
      view.mRunning.push_back(Fixture::running(run.mOrder, percent));
    }
    aWorker.mReportedAt = aNow;
    mFixture.report(view);
    noteEndedJobs(aWorker.mEnds, aNow);
  }

  void noteEndedJobs(const std::vector<EndedTask>& aEnds, Timestamp aNow)
  {
    for (const EndedTask& end : aEnds) {
      Arrival& arrival = mArrivals.at(end.mTask.mJob);
      const auto job = mFixture.mState.mJobs.find(end.mTask.mJob);
      if (!arrival.mHasEnded && job != mFixture.mState.mJobs.end() &&
          job->second->mState == JobState::Completed) {
        arrival.mHasEnded = true;
        addCompletion(arrival, aNow - arrival.mAt);
        RemoveJob(mFixture.mState, end.mTask.mJob);
      }
    }
  }

  void addCompletion(const Arrival& aArrival, Duration aTook)
  {
    mTotal += aTook;
    ++mEnded;
    mWithinObjective += aTook <= mLoad.mRunTime * 3 / 2 + milliseconds(600) ? 1 : 0;
    mWorst = std::max(mWorst, aTook);
    if (aArrival.mIsHot) {
      mHotTotal += aTook;
      ++mHotEnded;
    }
  }

  /// Ties the tasks to the rack by its label until the delay is over.
  void applyFixedDelay()
  {
    if (!mLoad.mFixedDelay) {
      return;
    }
    const Timestamp now = mFixture.now().mMonotonic;
    for (const auto& [id, job] : mFixture.mState.mJobs) {
      StepSpec& step = job->mSpec.mSteps[0];
      const bool waits = !step.mDataRack.empty() && now - job->mArrived < *mLoad.mFixedDelay;
      step.mLabel = waits ? step.mDataRack : "";
    }
  }

  void startRuns(const std::vector<Order>& aOrders)
  {
    const Timestamp now = mFixture.now().mMonotonic;
    for (const Order& order : aOrders) {
      if (order.mKind != OrderKind::Start) {
        continue;
      }
      const auto worker =
        std::find_if(mWorkers.begin(), mWorkers.end(), [&](const WorkerModel& aWorker) {
          return aWorker.mName == order.mLifetime.mWorker.str();
        });
      const bool isHot = mArrivals.at(order.mTask.mJob).mIsHot;
      const bool isRemote = isHot && worker->mView.mRack.str() != kHotRack;
      // Run times vary by a fifth in both directions.
      const double factor =
        (isRemote ? mLoad.mRemoteFactor : 1.0) * (0.8 + 0.4 * random(mRunRandom));
      const auto time = std::chrono::duration_cast<Duration>(mLoad.mRunTime * factor);
      worker->mRuns.push_back({ order, now, now + time });
    }
    mFixture.confirm(aOrders);
  }

  PlaceLoadResult result() const
  {
    PlaceLoadResult result;
    result.mMeanCompletion = mTotal / std::max<std::int64_t>(mEnded, 1);
    result.mMeanHotCompletion = mHotTotal / std::max<std::int64_t>(mHotEnded, 1);
    result.mWorstCompletion = mWorst;
    result.mWithinObjective = mWithinObjective;
    result.mUnfinished = mArrivals.size() - static_cast<std::size_t>(mEnded);
    result.mCounts = mFixture.mState.mCounts;
    return result;
  }

  PlaceLoad mLoad;
  /// Arrivals are the same whatever the scheduler decides.
  std::mt19937 mArrivalRandom;
  std::mt19937 mRunRandom;
  Fixture mFixture;
  Timestamp mStart;
  std::vector<WorkerModel> mWorkers;
  std::map<JobId, Arrival> mArrivals;
  Duration mNextArrival{ 0 };
  Duration mTotal{ 0 };
  Duration mHotTotal{ 0 };
  Duration mWorst{ 0 };
  std::size_t mWithinObjective = 0;
  std::int64_t mEnded = 0;
  std::int64_t mHotEnded = 0;
};

} // namespace

PlaceLoadResult
RunPlaceLoad(const PlaceLoad& aLoad, std::uint32_t aSeed)
{
  return LoadLoop(aLoad, aSeed).run();
}

} // namespace SchedulingTests
