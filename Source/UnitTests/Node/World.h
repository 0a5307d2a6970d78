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

/// A worker whose tasks end after a fixed time. It checks the promises that a worker can see.
class FakeWorker
{
public:
  struct Run
  {
    Scheduling::TaskName mTask;
    Scheduling::RunNumber mRun;
    std::chrono::steady_clock::time_point mStarted;
  };

  explicit FakeWorker(std::string aName)
    : mName(std::move(aName))
  {
  }

  WorkerClock clock() const
  {
    return WorkerClock{ std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::steady_clock::now().time_since_epoch())
                          .count() };
  }

  void settle()
  {
    const auto now = std::chrono::steady_clock::now();
    std::vector<Run> still;
    for (const Run& run : mRunning) {
      const bool lapsed = clock() >= mUntil;
      if (lapsed || now - run.mStarted >= mTaskTime) {
        mEnded.push_back({ Scheduling::EndNumber{ ++mLastEnd },
                           run.mTask,
                           run.mRun,
                           lapsed ? Scheduling::EndKind::LeaseExpired : Scheduling::EndKind::Done,
                           "" });
        ++(lapsed ? mLapsed : mDone);
      } else {
        still.push_back(run);
      }
    }
    mRunning = still;
  }

  std::string mName;
  std::chrono::milliseconds mTaskTime{ 100 };
  bool mSilent = false;
  Common::Epoch mFence;
  WorkerClock mUntil;
  std::vector<Run> mRunning;
  std::vector<Scheduling::EndedTask> mEnded;
  std::int64_t mLastEnd = 0;
  int mStarts = 0;
  int mDone = 0;
  int mLapsed = 0;
  /// Starts of a task that ran already.
  int mDoubled = 0;
  std::set<Scheduling::TaskName> mSeen;
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
             const StartCall& aCall,
             Duration aTimeout,
             std::function<void(OrderAnswer)> aDone) override
  {
    order(aTerm, aTimeout, aDone, [this, aCall] {
      for (const auto& run : mWorker.mRunning) {
        if (run.mTask == aCall.mTask && run.mRun == aCall.mRun) {
          return Scheduling::OrderResult::Done;
        }
        mWorker.mDoubled += run.mTask == aCall.mTask ? 1 : 0;
      }
      if (aCall.mLeaseEnd <= mWorker.clock()) {
        return Scheduling::OrderResult::LeaseExpired;
      }
      mWorker.mUntil = std::max(mWorker.mUntil, aCall.mLeaseEnd);
      mWorker.mRunning.push_back({ aCall.mTask, aCall.mRun, std::chrono::steady_clock::now() });
      ++mWorker.mStarts;
      mWorker.mSeen.insert(aCall.mTask);
      return Scheduling::OrderResult::Done;
    });
  }

  void stop(Common::Epoch aTerm,
            const Scheduling::TaskName& aTask,
            Scheduling::RunNumber aRun,
            Duration aTimeout,
            std::function<void(OrderAnswer)> aDone) override
  {
    order(aTerm, aTimeout, aDone, [this, aTask, aRun] {
      std::erase_if(mWorker.mRunning, [&](const FakeWorker::Run& aOther) {
        const bool same = aOther.mTask == aTask && aOther.mRun == aRun;
        if (same) {
          mWorker.mEnded.push_back({ Scheduling::EndNumber{ ++mWorker.mLastEnd },
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

  void pace(Common::Epoch aTerm,
            const Scheduling::TaskName&,
            Scheduling::RunNumber,
            Scheduling::Percent,
            Duration aTimeout,
            std::function<void(OrderAnswer)> aDone) override
  {
    order(aTerm, aTimeout, aDone, [] { return Scheduling::OrderResult::Done; });
  }

  void look(Common::Epoch aTerm,
            Scheduling::EndNumber aForget,
            std::optional<WorkerClock> aLeaseEnd,
            Duration,
            Duration aTimeout,
            std::function<void(tl::expected<Look, LookError>)> aDone) override
  {
    if (mWorker.mSilent) {
      later(aTimeout, [aDone] { aDone(tl::unexpected(LookError::NoAnswer)); });
      return;
    }
    if (aTerm < mWorker.mFence) {
      later(1ms, [aDone] { aDone(tl::unexpected(LookError::Fenced)); });
      return;
    }
    mWorker.settle();
    mWorker.mFence = aTerm;
    std::erase_if(mWorker.mEnded, [&](const auto& aEnd) { return aEnd.mNumber <= aForget; });
    if (aLeaseEnd) {
      mWorker.mUntil = std::max(mWorker.mUntil, *aLeaseEnd);
    }
    Look look;
    look.mClock = mWorker.clock();
    for (const auto& run : mWorker.mRunning) {
      const auto ran = std::chrono::steady_clock::now() - run.mStarted;
      look.mRunning.push_back(
        { run.mTask, run.mRun, "", Scheduling::Percent{ 100 * ran / mWorker.mTaskTime }, 0 });
    }
    look.mEnded = mWorker.mEnded;
    later(20ms, [aDone, look] { aDone(look); });
  }

private:
  template<typename Function>
  void later(Duration aDelay, Function aFunction)
  {
    const auto timer = std::make_shared<boost::asio::steady_timer>(mIo);
    timer->expires_after(aDelay);
    timer->async_wait([timer, aFunction](boost::system::error_code) { aFunction(); });
  }

  void order(Common::Epoch aTerm,
             Duration aTimeout,
             const std::function<void(OrderAnswer)>& aDone,
             const std::function<Scheduling::OrderResult()>& aAct)
  {
    if (mWorker.mSilent) {
      later(aTimeout, [aDone] { aDone({ Scheduling::OrderResult::Unknown, {} }); });
      return;
    }
    mWorker.settle();
    const auto result = aTerm < mWorker.mFence ? Scheduling::OrderResult::Fenced : aAct();
    mWorker.mFence = std::max(mWorker.mFence, aTerm);
    later(1ms, [aDone, result, clock = mWorker.clock()] { aDone({ result, clock }); });
  }

  boost::asio::io_context& mIo;
  FakeWorker& mWorker;
};

/// Formats of the tests: submissions need no body, and heartbeats come as POST /beat.
inline Formats
TestFormats()
{
  Formats formats;
  formats.mReadCall = [](const Net::HttpRequest& aRequest) {
    CallerCall call;
    call.mHost = aRequest.mHost;
    call.mPath = aRequest.mTarget;
    return call;
  };
  formats.mWriteAnswer = [](const CallerAnswer&) { return Net::HttpResponse{}; };
  formats.mIsJobId = [](const std::string& aId) { return !aId.empty(); };
  formats.mReadJob = [](const std::string&) -> tl::expected<Scheduling::JobSpec, std::string> {
    Scheduling::JobSpec job;
    Scheduling::StepSpec step;
    step.mTaskCount = 2;
    step.mNeed.mCores = Common::MilliCores{ 1000 };
    step.mEstimatedRunTime = std::chrono::milliseconds(100);
    job.mSteps = { step };
    return job;
  };
  formats.mReadTables = [](const std::string& aText) -> tl::expected<QueueTables, std::string> {
    QueueTables tables;
    tables.mRevision = Common::Revision{ std::stoll(aText) };
    QueueRoute route;
    route.mQueue.mName = Common::RouteId("quote");
    route.mQueue.mPool = Common::PoolId("pool");
    route.mQueue.mMaxAttempts = 3;
    route.mHost = "h";
    route.mPrefix = "/q/";
    tables.mRoutes = { route };
    return tables;
  };
  formats.mTablesKey = "tables";
  formats.mIsReadiness = [](const Net::HttpRequest&) { return true; };
  formats.mReadWorkerCall =
    [](const Net::HttpRequest& aRequest) -> tl::expected<WorkerCall, std::string> {
    WorkerCall call;
    Scheduling::WorkerView& view = call.mAnnouncement.mView;
    view.mLifetime = { Common::WorkerId(aRequest.mBody), Scheduling::LifetimeStart{ 1 } };
    view.mAddress = aRequest.mBody;
    view.mPool = Common::PoolId("pool");
    view.mCapacity.mCores = Common::MilliCores{ 16'000 };
    call.mWorker = view.mLifetime.mWorker;
    return call;
  };
  return formats;
}

/// Entries and agents in one process over loopback.
class World
{
public:
  struct Machine
  {
    Settings mSettings;
    std::unique_ptr<GatedStore> mGate;
    std::unique_ptr<Context> mContext;
    std::unique_ptr<Entry> mEntry;
    std::unique_ptr<Agent> mAgent;
  };

  World()
    : mStore(mIo)
    , mFormats(TestFormats())
  {
    mStore.put("tables", "1");
  }

  Machine& addEntry(const std::string& aName)
  {
    Machine& machine = addMachine(aName);
    machine.mSettings.mEntry = true;
    machine.mSettings.mCallers = TestSupport::FreeAddress(mIo);
    machine.mSettings.mReadiness = TestSupport::FreeAddress(mIo);
    machine.mSettings.mPeers = TestSupport::FreeAddress(mIo);
    machine.mSettings.mGrace = 5s;
    machine.mEntry = std::make_unique<Entry>(*machine.mContext);
    REQUIRE(machine.mEntry->start());
    return machine;
  }

  FakeWorker& addWorker(const std::string& aName)
  {
    mWorkers.push_back(std::make_unique<FakeWorker>(aName));
    FakeWorker& worker = *mWorkers.back();
    Machine& machine = addMachine("agent-" + aName);
    machine.mSettings.mAgent = true;
    machine.mSettings.mAnnouncements = TestSupport::FreeAddress(mIo);
    machine.mAgent = std::make_unique<Agent>(
      *machine.mContext,
      [this, &worker](const std::string&, const Common::WorkerId&) {
        return std::make_unique<FakeWorkerPort>(mIo, worker);
      },
      nullptr);
    REQUIRE(machine.mAgent->start());
    mClients.push_back(std::make_unique<Net::HttpClient>(mIo, machine.mSettings.mAnnouncements));
    mClients.back()->call({ "POST", "/beat", aName, {} }, 1s, [](const Net::CallResult&) {});
    return worker;
  }

  /// A process that is gone without a trace, as after a loss of power.
  void kill(const std::string& aName) { mMachines.erase(aName); }

  void run(std::chrono::milliseconds aTime)
  {
    mIo.restart();
    mIo.run_for(aTime);
  }

  /// Runs until the condition holds; false if that takes longer than aMost.
  bool runUntil(const std::function<bool()>& aCondition, std::chrono::milliseconds aMost)
  {
    const auto end = std::chrono::steady_clock::now() + aMost;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() >= end) {
        return false;
      }
      run(10ms);
    }
    return true;
  }

  /// The coordinator's instance as the store tells, "" if there is none.
  std::string coordinator()
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
  Times mTimes;
  Observability::Counters mCounters;
  std::map<std::string, Machine> mMachines;
  std::vector<std::unique_ptr<FakeWorker>> mWorkers;
  std::vector<std::unique_ptr<Net::HttpClient>> mClients;

private:
  Machine& addMachine(const std::string& aName)
  {
    Machine& machine = mMachines[aName];
    machine.mSettings.mInstance = Common::InstanceId(aName);
    machine.mGate = std::make_unique<GatedStore>(mIo, mStore);
    machine.mContext = std::make_unique<Context>(
      Context{ mIo, mClock, machine.mSettings, mTimes, mFormats, *machine.mGate, mCounters });
    return machine;
  }
};

} // namespace NodeTests
