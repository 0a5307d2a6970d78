#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <thread>

#include "FakeStore.h"
#include "FakeWorker.h"
#include "Net/HttpClient.h"
#include "Node/Agent.h"
#include "Node/Entry.h"
#include "UnitTests/Support/FreeAddress.h"

namespace NodeTests {

/// Formats for tests: the body of a submission is ignored, and every announcement is a heartbeat.
/// Tables are "REVISION [QUEUE=POOL]...", with the queue "quote" of the pool "pool" if they name
/// none. The key "evacuate/NAME" evacuates a data centre. The body of a heartbeat is "ID [START
/// SEQUENCE ADDRESS MILLICORES]"; the address of a worker is its id if the body names none.
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
    std::istringstream text(aText);
    std::string word;
    text >> word;
    std::vector<std::string> queues;
    while (text >> word) {
      queues.push_back(word);
    }
    if (queues.empty()) {
      queues = { "quote=pool" };
    }
    for (const std::string& queue : queues) {
      const std::size_t separator = queue.find('=');
      QueueRoute route;
      route.mQueue.mName = Common::RouteId(queue.substr(0, separator));
      route.mQueue.mPool = Common::PoolId(queue.substr(separator + 1));
      route.mQueue.mMaxAttempts = 3;
      route.mHost = "h";
      route.mPathPrefix = "/" + queue.substr(0, 1) + "/";
      tables.mRoutes.push_back(route);
    }
    return tables;
  };
  formats.mTablesKey = "tables";
  formats.mEvacuationPrefix = "evacuate/";
  formats.mIsEvacuationValue = [](const std::string& aValue) { return aValue == "{}"; };
  formats.mIsReadinessProbe = [](const Net::HttpRequest&) { return true; };
  formats.mParseAnnouncement =
    [](const Net::HttpRequest& aRequest) -> tl::expected<WorkerAnnouncement, std::string> {
    std::istringstream body(aRequest.mBody);
    std::string id;
    std::int64_t start = 1;
    WorkerAnnouncement announcement;
    Scheduling::WorkerView& view = announcement.mHeartbeat.mView;
    std::int64_t milliCores = 16'000;
    body >> id;
    view.mAddress = id;
    if (body >> start) {
      body >> announcement.mHeartbeat.mSequence >> view.mAddress >> milliCores;
    } else {
      start = 1;
    }
    view.mLifetime = { Common::WorkerId(id), Scheduling::LifetimeStart{ start } };
    view.mPool = Common::PoolId("pool");
    view.mCapacity.mCores = Common::MilliCores{ milliCores };
    announcement.mWorker = view.mLifetime.mWorker;
    return announcement;
  };
  return formats;
}

/// Entries, agents and fake workers in one process, connected over loopback. Each of the processes
/// has its own event loop, and the store and the workers share another one.
class TestCluster
{
public:
  /// An entry or an agent with its own access to the store.
  struct Process
  {
    ProcessLoop mLoop;
    Settings mSettings;
    std::unique_ptr<StoreProxy> mStoreProxy;
    std::unique_ptr<Context> mContext;
    std::unique_ptr<Entry> mEntry;
    std::unique_ptr<Agent> mAgent;
    /// The process gets no processor time.
    bool mFrozen = false;
  };

  TestCluster()
    : mFormats(TestFormats())
    , mStore(mIo)
  {
    mStore.put("tables", "1");
  }

  /// Starts an entry, at the addresses of its earlier process if it had one.
  Process& addEntry(const std::string& aName)
  {
    return startProcess(aName, [this](Process& aProcess, Settings& aSettings) {
      aSettings.mRunsEntry = true;
      if (aSettings.mPeerAddress.empty()) {
        aSettings.mCallerAddress = TestSupport::FreeAddress(mIo);
        aSettings.mReadinessAddress = TestSupport::FreeAddress(mIo);
        aSettings.mPeerAddress = TestSupport::FreeAddress(mIo);
      }
      aProcess.mEntry = std::make_unique<Entry>(*aProcess.mContext);
      return aProcess.mEntry->start().has_value();
    });
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

  /// Sends a heartbeat with this body to the worker's agent.
  void sendHeartbeat(const FakeWorker& aWorker, const std::string& aBody)
  {
    const auto found = std::find_if(mWorkers.begin(), mWorkers.end(), [&](const auto& aOther) {
      return aOther.get() == &aWorker;
    });
    mClients[static_cast<std::size_t>(found - mWorkers.begin())]->call(
      { "POST", "/beat", aBody, {} }, 1s, [](const Net::CallResult&) {});
  }

  /// Starts an agent process beside the worker, which has not announced itself to it yet.
  Process& startAgent(FakeWorker& aWorker)
  {
    const std::string name = "agent-" + aWorker.mName;
    return startProcess(name, [this, &aWorker](Process& aProcess, Settings& aSettings) {
      aSettings.mRunsAgent = true;
      if (aSettings.mAnnouncementAddress.empty()) {
        aSettings.mAnnouncementAddress = TestSupport::FreeAddress(mIo);
      }
      aSettings.mWorkerAddress = aWorker.mName;
      aProcess.mAgent = std::make_unique<Agent>(
        *aProcess.mContext,
        [this, &aProcess, &aWorker](const std::string&,
                                    const Scheduling::WorkerLifetime& aLifetime) {
          return std::make_unique<FakeWorkerPort>(mIo, aProcess.mLoop, aWorker, aLifetime);
        },
        nullptr);
      return aProcess.mAgent->start().has_value();
    });
  }

  /// Ends a process without stopping it, as after a power failure. Its connections are closed, and
  /// none of its handlers runs any more.
  void kill(const std::string& aName)
  {
    auto process = mProcesses.extract(aName);
    process.mapped().mLoop.mKilled = true;
    process.mapped().mAgent.reset();
    process.mapped().mEntry.reset();
    // Calls of the process that are under way refer to its loop.
    mKilled.push_back(std::move(process));
  }

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
    const auto end = std::chrono::steady_clock::now() + aTime;
    do {
      if (pollOnce() == 0) {
        std::this_thread::sleep_for(500us);
      }
    } while (std::chrono::steady_clock::now() < end);
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
    const auto value = mStore.value("ibis/coordinator");
    const auto record = value ? Wire::Decode<Wire::CoordinatorRecord>(*value) : std::nullopt;
    return record ? record->instance : "";
  }

  Formats mFormats;
  Common::SystemClock mClock;
  TimingConstants mTiming;
  Observability::Counters mCounters;
  /// Called with the name of a process before its handlers run, and with "" before those of the
  /// store and the workers.
  std::function<void(const std::string&)> mOnSwitch;
  /// Changes the settings of a process before it starts.
  std::function<void(Settings&)> mChangeSettings;
  /// Changes the access of a process to the store before it starts.
  std::function<void(const Settings&, StoreProxy&)> mChangeStoreProxy;
  std::map<std::string, Process> mProcesses;

private:
  // Calls under way refer to the loops of the processes, so mIo is destroyed before these.
  std::vector<std::map<std::string, Process>::node_type> mKilled;
  /// Addresses of the processes that were started.
  std::map<std::string, Settings> mSettings;

public:
  boost::asio::io_context mIo;
  FakeStore mStore;
  std::vector<std::unique_ptr<FakeWorker>> mWorkers;
  std::vector<std::unique_ptr<Net::HttpClient>> mClients;

private:
  Process& startProcess(const std::string& aName,
                        const std::function<bool(Process&, Settings&)>& aStart)
  {
    // Another connection may have been given an address of the earlier process meanwhile.
    constexpr int kAttempts = 5;
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      Process& process = mProcesses[aName];
      process.mSettings = attempt == 0 ? mSettings[aName] : Settings{};
      process.mSettings.mInstance = Common::InstanceId(aName);
      process.mSettings.mShutdownGrace = 5s;
      process.mStoreProxy = std::make_unique<StoreProxy>(mStore, process.mLoop);
      process.mContext = std::make_unique<Context>(Context{ process.mLoop.mIo,
                                                            mClock,
                                                            process.mSettings,
                                                            mTiming,
                                                            mFormats,
                                                            *process.mStoreProxy,
                                                            mCounters });
      if (mChangeSettings) {
        mChangeSettings(process.mSettings);
      }
      if (mChangeStoreProxy) {
        mChangeStoreProxy(process.mSettings, *process.mStoreProxy);
      }
      if (aStart(process, process.mSettings)) {
        mSettings[aName] = process.mSettings;
        return process;
      }
      kill(aName);
    }
    throw std::runtime_error("cannot start " + aName);
  }

  std::size_t pollOnce()
  {
    std::size_t handlers = pollLoop(mIo, "");
    for (auto& [name, process] : mProcesses) {
      if (!process.mFrozen) {
        handlers += pollLoop(process.mLoop.mIo, name);
      }
    }
    return handlers;
  }

  std::size_t pollLoop(boost::asio::io_context& aIo, const std::string& aName)
  {
    if (mOnSwitch) {
      mOnSwitch(aName);
    }
    aIo.restart();
    return aIo.poll();
  }
};

} // namespace NodeTests
