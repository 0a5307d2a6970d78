#pragma once

#include <memory>
#include <optional>
#include <set>

#include "FakeStore.h"
#include "Net/HttpClient.h"
#include "Node/Agent.h"
#include "Node/Entry.h"
#include "UnitTests/Support/FreeAddress.h"

namespace NodeTests {

using namespace Node;
using namespace std::chrono_literals;

/// A worker whose tasks end after a fixed time. It counts violations that only a worker can see:
/// runs whose lease ended and tasks that were started twice.
class FakeWorker
{
public:
  struct Run
  {
    Scheduling::TaskName mTask;
    Scheduling::RunNumber mRun;
    std::chrono::steady_clock::time_point mStartTime;
  };

  explicit FakeWorker(std::string aName)
    : mName(std::move(aName))
  {
  }

  WorkerTime clock() const
  {
    return WorkerTime{ std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::steady_clock::now().time_since_epoch())
                         .count() };
  }

  /// Ends the runs that have finished or whose lease has ended.
  void endDueRuns()
  {
    const auto now = std::chrono::steady_clock::now();
    std::vector<Run> remaining;
    for (const Run& run : mRunning) {
      const bool leaseExpired = clock() >= mLeaseEnd;
      if (leaseExpired || now - run.mStartTime >= mTaskTime) {
        mEnded.push_back(
          { Scheduling::EndNumber{ ++mLastEndNumber },
            run.mTask,
            run.mRun,
            leaseExpired ? Scheduling::EndKind::LeaseExpired : Scheduling::EndKind::Done,
            "" });
        ++(leaseExpired ? mExpiredRuns : mCompletedRuns);
      } else {
        remaining.push_back(run);
      }
    }
    mRunning = remaining;
  }

  std::string mName;
  std::chrono::milliseconds mTaskTime{ 100 };
  bool mUnresponsive = false;
  /// Highest term seen; calls of lower terms are rejected.
  Common::Epoch mHighestTerm;
  WorkerTime mLeaseEnd;
  std::vector<Run> mRunning;
  std::vector<Scheduling::EndedTask> mEnded;
  std::int64_t mLastEndNumber = 0;
  int mStarts = 0;
  int mCompletedRuns = 0;
  int mExpiredRuns = 0;
  /// Starts of a task of which another run was still running.
  int mDuplicateStarts = 0;
  std::set<Scheduling::TaskName> mStartedTasks;
};

class FakeWorkerPort final : public WorkerPort
{
public:
  FakeWorkerPort(boost::asio::io_context& aIo, FakeWorker& aWorker)
    : mIo(aIo)
    , mWorker(aWorker)
  {
  }

  void start(Common::Epoch aTerm,
             const StartTaskRequest& aRequest,
             Duration aTimeout,
             std::function<void(OrderAnswer)> aDone) override
  {
    executeOrder(aTerm, aTimeout, aDone, [this, aRequest] {
      for (const auto& run : mWorker.mRunning) {
        if (run.mTask == aRequest.mTask && run.mRun == aRequest.mRun) {
          return Scheduling::OrderResult::Done;
        }
        mWorker.mDuplicateStarts += run.mTask == aRequest.mTask ? 1 : 0;
      }
      if (aRequest.mLeaseEnd <= mWorker.clock()) {
        return Scheduling::OrderResult::LeaseExpired;
      }
      mWorker.mLeaseEnd = std::max(mWorker.mLeaseEnd, aRequest.mLeaseEnd);
      mWorker.mRunning.push_back(
        { aRequest.mTask, aRequest.mRun, std::chrono::steady_clock::now() });
      ++mWorker.mStarts;
      mWorker.mStartedTasks.insert(aRequest.mTask);
      return Scheduling::OrderResult::Done;
    });
  }

  void stop(Common::Epoch aTerm,
            const Scheduling::TaskName& aTask,
            Scheduling::RunNumber aRun,
            Duration aTimeout,
            std::function<void(OrderAnswer)> aDone) override
  {
    executeOrder(aTerm, aTimeout, aDone, [this, aTask, aRun] {
      std::erase_if(mWorker.mRunning, [&](const FakeWorker::Run& aOther) {
        const bool same = aOther.mTask == aTask && aOther.mRun == aRun;
        if (same) {
          mWorker.mEnded.push_back({ Scheduling::EndNumber{ ++mWorker.mLastEndNumber },
                                     aTask,
                                     aRun,
                                     Scheduling::EndKind::Stopped,
                                     "" });
        }
        return same;
      });
      return Scheduling::OrderResult::Done;
    });
  }

  void throttle(Common::Epoch aTerm,
                const Scheduling::TaskName&,
                Scheduling::RunNumber,
                Scheduling::Percent,
                Duration aTimeout,
                std::function<void(OrderAnswer)> aDone) override
  {
    executeOrder(aTerm, aTimeout, aDone, [] { return Scheduling::OrderResult::Done; });
  }

  void poll(Common::Epoch aTerm,
            Scheduling::EndNumber aAcknowledged,
            std::optional<WorkerTime> aLeaseEnd,
            Duration,
            Duration aTimeout,
            std::function<void(tl::expected<PollResult, PollError>)> aDone) override
  {
    if (mWorker.mUnresponsive) {
      callAfter(aTimeout, [aDone] { aDone(tl::unexpected(PollError::NoAnswer)); });
      return;
    }
    if (aTerm < mWorker.mHighestTerm) {
      callAfter(1ms, [aDone] { aDone(tl::unexpected(PollError::Fenced)); });
      return;
    }
    mWorker.endDueRuns();
    mWorker.mHighestTerm = aTerm;
    std::erase_if(mWorker.mEnded, [&](const auto& aEnd) { return aEnd.mNumber <= aAcknowledged; });
    if (aLeaseEnd) {
      mWorker.mLeaseEnd = std::max(mWorker.mLeaseEnd, *aLeaseEnd);
    }
    PollResult result;
    result.mWorkerTime = mWorker.clock();
    for (const auto& run : mWorker.mRunning) {
      const auto ran = std::chrono::steady_clock::now() - run.mStartTime;
      result.mRunning.push_back(
        { run.mTask, run.mRun, "", Scheduling::Percent{ 100 * ran / mWorker.mTaskTime }, 0 });
    }
    result.mEnded = mWorker.mEnded;
    callAfter(20ms, [aDone, result] { aDone(result); });
  }

private:
  template<typename Function>
  void callAfter(Duration aDelay, Function aFunction)
  {
    const auto timer = std::make_shared<boost::asio::steady_timer>(mIo);
    timer->expires_after(aDelay);
    timer->async_wait([timer, aFunction](boost::system::error_code) { aFunction(); });
  }

  void executeOrder(Common::Epoch aTerm,
                    Duration aTimeout,
                    const std::function<void(OrderAnswer)>& aDone,
                    const std::function<Scheduling::OrderResult()>& aExecute)
  {
    if (mWorker.mUnresponsive) {
      callAfter(aTimeout, [aDone] { aDone({ Scheduling::OrderResult::Unknown, {} }); });
      return;
    }
    mWorker.endDueRuns();
    const auto result = aTerm < mWorker.mHighestTerm ? Scheduling::OrderResult::Fenced : aExecute();
    mWorker.mHighestTerm = std::max(mWorker.mHighestTerm, aTerm);
    callAfter(1ms, [aDone, result, clock = mWorker.clock()] { aDone({ result, clock }); });
  }

  boost::asio::io_context& mIo;
  FakeWorker& mWorker;
};

/// Formats for tests: the body of a submission is ignored, every announcement is a heartbeat whose
/// body is the worker's id and address, and tables consist of their revision number.
inline Formats
TestFormats()
{
  Formats formats;
  formats.mParseJobRequest = [](const Net::HttpRequest& aRequest) {
    JobRequest request;
    request.mHost = aRequest.mHost;
    request.mPath = aRequest.mTarget;
    return request;
  };
  formats.mFormatJobResponse = [](const JobResponse&) { return Net::HttpResponse{}; };
  formats.mIsJobId = [](const std::string& aId) { return !aId.empty(); };
  formats.mParseJob = [](const std::string&) -> tl::expected<Scheduling::JobSpec, std::string> {
    Scheduling::JobSpec job;
    Scheduling::StepSpec step;
    step.mTaskCount = 2;
    step.mNeed.mCores = Common::MilliCores{ 1000 };
    step.mEstimatedRunTime = std::chrono::milliseconds(100);
    job.mSteps = { step };
    return job;
  };
  formats.mParseTables = [](const std::string& aText) -> tl::expected<QueueTables, std::string> {
    QueueTables tables;
    tables.mRevision = Common::Revision{ std::stoll(aText) };
    QueueRoute route;
    route.mQueue.mName = Common::RouteId("quote");
    route.mQueue.mPool = Common::PoolId("pool");
    route.mQueue.mMaxAttempts = 3;
    route.mHost = "h";
    route.mPathPrefix = "/q/";
    tables.mRoutes = { route };
    return tables;
  };
  formats.mTablesKey = "tables";
  formats.mIsReadinessProbe = [](const Net::HttpRequest&) { return true; };
  formats.mParseAnnouncement =
    [](const Net::HttpRequest& aRequest) -> tl::expected<WorkerAnnouncement, std::string> {
    WorkerAnnouncement announcement;
    Scheduling::WorkerView& view = announcement.mHeartbeat.mView;
    view.mLifetime = { Common::WorkerId(aRequest.mBody), Scheduling::LifetimeStart{ 1 } };
    view.mAddress = aRequest.mBody;
    view.mPool = Common::PoolId("pool");
    view.mCapacity.mCores = Common::MilliCores{ 16'000 };
    announcement.mWorker = view.mLifetime.mWorker;
    return announcement;
  };
  return formats;
}

/// Entries, agents and fake workers in one process, connected over loopback.
class TestCluster
{
public:
  /// An entry or an agent with its own access to the store.
  struct Process
  {
    Settings mSettings;
    std::unique_ptr<StoreProxy> mStoreProxy;
    std::unique_ptr<Context> mContext;
    std::unique_ptr<Entry> mEntry;
    std::unique_ptr<Agent> mAgent;
  };

  TestCluster()
    : mStore(mIo)
    , mFormats(TestFormats())
  {
    mStore.put("tables", "1");
  }

  Process& addEntry(const std::string& aName)
  {
    Process& process = addProcess(aName);
    process.mSettings.mRunsEntry = true;
    process.mSettings.mCallerAddress = TestSupport::FreeAddress(mIo);
    process.mSettings.mReadinessAddress = TestSupport::FreeAddress(mIo);
    process.mSettings.mPeerAddress = TestSupport::FreeAddress(mIo);
    process.mSettings.mShutdownGrace = 5s;
    process.mEntry = std::make_unique<Entry>(*process.mContext);
    REQUIRE(process.mEntry->start());
    return process;
  }

  FakeWorker& addWorker(const std::string& aName)
  {
    mWorkers.push_back(std::make_unique<FakeWorker>(aName));
    FakeWorker& worker = *mWorkers.back();
    const Process& process = startAgent(worker);
    mClients.push_back(
      std::make_unique<Net::HttpClient>(mIo, process.mSettings.mAnnouncementAddress));
    mClients.back()->call({ "POST", "/beat", aName, {} }, 1s, [](const Net::CallResult&) {});
    return worker;
  }

  /// Starts an agent process beside the worker, which has not announced itself to it yet.
  Process& startAgent(FakeWorker& aWorker)
  {
    Process& process = addProcess("agent-" + aWorker.mName);
    process.mSettings.mRunsAgent = true;
    process.mSettings.mAnnouncementAddress = TestSupport::FreeAddress(mIo);
    process.mSettings.mWorkerAddress = aWorker.mName;
    process.mAgent = std::make_unique<Agent>(
      *process.mContext,
      [this, &aWorker](const std::string&, const Common::WorkerId&) {
        return std::make_unique<FakeWorkerPort>(mIo, aWorker);
      },
      nullptr);
    REQUIRE(process.mAgent->start());
    return process;
  }

  /// Destroys a process without stopping it, as after a power failure.
  void kill(const std::string& aName) { mProcesses.erase(aName); }

  /// Tasks of which more than one run is on a worker now.
  std::set<Scheduling::TaskName> tasksRunningTwice()
  {
    std::set<Scheduling::TaskName> running;
    std::set<Scheduling::TaskName> twice;
    for (const auto& worker : mWorkers) {
      worker->endDueRuns();
      for (const FakeWorker::Run& run : worker->mRunning) {
        if (!running.insert(run.mTask).second) {
          twice.insert(run.mTask);
        }
      }
    }
    return twice;
  }

  void run(std::chrono::milliseconds aTime)
  {
    mIo.restart();
    mIo.run_for(aTime);
  }

  /// Runs the event loop until the condition holds. Returns false if it does not within aTimeout.
  bool runUntil(const std::function<bool()>& aCondition, std::chrono::milliseconds aTimeout)
  {
    const auto end = std::chrono::steady_clock::now() + aTimeout;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() >= end) {
        return false;
      }
      run(10ms);
    }
    return true;
  }

  /// Instance that the store names as coordinator; "" if there is none.
  std::string coordinatorInstance()
  {
    std::string name;
    mStore.read(
      "ibis/coordinator", 1s, [&name](const Store::Result<std::optional<Store::Entry>>& aEntry) {
        if (aEntry && *aEntry) {
          name = Wire::Decode<Wire::CoordinatorRecord>((*aEntry)->mValue)->instance;
        }
      });
    run(5ms);
    return name;
  }

  boost::asio::io_context mIo;
  FakeStore mStore;
  Formats mFormats;
  Common::SystemClock mClock;
  TimingConstants mTiming;
  Observability::Counters mCounters;
  std::map<std::string, Process> mProcesses;
  std::vector<std::unique_ptr<FakeWorker>> mWorkers;
  std::vector<std::unique_ptr<Net::HttpClient>> mClients;

private:
  Process& addProcess(const std::string& aName)
  {
    Process& process = mProcesses[aName];
    process.mSettings.mInstance = Common::InstanceId(aName);
    process.mStoreProxy = std::make_unique<StoreProxy>(mIo, mStore);
    process.mContext = std::make_unique<Context>(Context{
      mIo, mClock, process.mSettings, mTiming, mFormats, *process.mStoreProxy, mCounters });
    return process;
  }
};

} // namespace NodeTests
