#pragma once

#include <filesystem>
#include <random>
#include <sstream>

#include <boost/log/attributes/mutable_constant.hpp>
#include <boost/log/core.hpp>

#include "Common/Hash.h"
#include "Node/StoreKeys.h"
#include "Observability/Log.h"
#include "TestCluster.h"

/// A cluster under random kills, restarts and cuts, and the rules that its workers and callers see.
namespace NodeTests::SoakTest {

using Milliseconds = std::chrono::milliseconds;
using Time = std::chrono::steady_clock::time_point;
using Observability::Level;

/// Time in which faults are drawn.
constexpr Milliseconds kFaultTime{ 8000 };
/// Longest lease of a worker, scaled down so that leases end within the faults.
constexpr Milliseconds kWorkerLease{ 2000 };
constexpr Milliseconds kStoreOutageGrace{ 1500 };
constexpr Milliseconds kShutdownGrace{ 4000 };
constexpr Milliseconds kMaxStopTime{ 200 };
/// Bound of a start after a cancellation, from the platform's rules.
constexpr Milliseconds kCancelTime{ 4000 };
/// Time after a job was shown as completed in which a start may still be under way.
constexpr Milliseconds kCompletionSettleTime{ 1000 };
/// Time in which all accepted jobs must complete after the last fault: the coordinator's lease and
/// the outage grace (3 s), the leases of workers that do not come back (2 s), starts without a
/// result, stalls and settled stops (8 s), and the chains of the jobs with all their predecessors
/// in the queue (12 s).
constexpr Milliseconds kCompletionBound{ 25'000 };
constexpr std::int64_t kWorkerCores = 4000;
constexpr std::int64_t kTaskCores = 1000;

/// Parses "COUNT COUNT ..." into steps that depend on each other.
inline std::vector<Scheduling::StepSpec>
StepsOf(const std::string& aBody)
{
  std::vector<Scheduling::StepSpec> steps;
  std::istringstream body(aBody);
  std::uint32_t count = 0;
  while (body >> count) {
    Scheduling::StepSpec step;
    step.mTaskCount = count;
    step.mNeed.mCores = Common::MilliCores{ kTaskCores };
    step.mEstimatedRunTime = 700ms;
    if (!steps.empty()) {
      step.mDependencies = { static_cast<std::uint32_t>(steps.size() - 1) };
    }
    steps.push_back(step);
  }
  return steps;
}

inline Formats
SoakFormats()
{
  Formats formats = TestFormats();
  formats.mParseJobRequest = [](const Net::HttpRequest& aRequest) {
    JobRequest request;
    request.mHost = "h";
    request.mPath = aRequest.mTarget;
    request.mBody = aRequest.mBody;
    request.mKind = aRequest.mMethod == "POST"     ? JobRequest::Kind::Submit
                    : aRequest.mMethod == "DELETE" ? JobRequest::Kind::Cancel
                                                   : JobRequest::Kind::Show;
    return request;
  };
  formats.mFormatJobResponse = [](const JobResponse& aResponse) {
    using Kind = JobResponse::Kind;
    Net::HttpResponse response;
    switch (aResponse.mKind) {
      case Kind::Accepted:
      case Kind::Cancelled:
      case Kind::State:
      case Kind::Pending:
        response.mStatus = 200;
        break;
      case Kind::UnknownJob:
        response.mStatus = 410;
        break;
      case Kind::Undecided:
        response.mStatus = 504;
        break;
      default:
        response.mStatus = 503;
    }
    return response;
  };
  formats.mParseJob =
    [](const std::string& aBody) -> tl::expected<Scheduling::JobSpec, std::string> {
    Scheduling::JobSpec job;
    job.mPayload = aBody;
    job.mSteps = StepsOf(aBody);
    return job;
  };
  return formats;
}

inline std::string
TextOf(const Scheduling::TaskName& aTask)
{
  return aTask.mJob.str() + '.' + std::to_string(aTask.mOccurrence) + '.' +
         std::to_string(aTask.mStep) + '.' + std::to_string(aTask.mIndex);
}

enum class Rule
{
  /// No worker gets more than it has, runs that are being stopped included.
  Capacity,
  /// All others: one run of a task at a time, none after an acknowledged end, order of steps,
  /// cancellations, completion.
  Runs,
};

struct Violation
{
  Rule mRule = Rule::Runs;
  std::string mText;
};

/// Runs the schedule of one seed.
class Soak
{
public:
  explicit Soak(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mLogFile("soak-" + std::to_string(aSeed) + ".log")
  {
    std::filesystem::remove(mLogFile);
    Observability::LogSettings settings;
    settings.mFile = mLogFile;
    Observability::StartLog(settings);
    const auto core = boost::log::core::get();
    auto attributes = core->get_global_attributes();
    attributes["Instance"] = mInstance;
    core->set_global_attributes(attributes);
    mCluster.mFormats = SoakFormats();
    mCluster.mTiming.mWorkerLease = kWorkerLease;
    mCluster.mTiming.mStoreOutageGrace = kStoreOutageGrace;
    mCluster.mTiming.mAgentWatchWait = 2000ms;
    mCluster.mOnSwitch = [this](const std::string& aName) { mInstance.set(aName); };
    mCluster.mChangeSettings = [](Settings& aSettings) {
      aSettings.mMaxWorkerLease = kWorkerLease;
      aSettings.mMaxTaskStopTime = kMaxStopTime;
      aSettings.mShutdownGrace = kShutdownGrace;
    };
  }

  Soak(const Soak&) = delete;
  Soak& operator=(const Soak&) = delete;

  ~Soak()
  {
    // The log of a run without violations is of no use.
    Observability::StartLog({});
    if (mViolations.empty()) {
      std::filesystem::remove(mLogFile);
    }
  }

  /// Runs the schedule and returns the violations.
  std::vector<Violation> run()
  {
    startCluster();
    const Time faultsEnd = std::chrono::steady_clock::now() + kFaultTime;
    scheduleFaults(faultsEnd);
    scheduleJobs(faultsEnd);
    while (std::chrono::steady_clock::now() < faultsEnd || !mActions.empty() ||
           !mStopping.empty()) {
      step();
    }
    trace("all faults ended");
    const Time completionEnd = std::chrono::steady_clock::now() + kCompletionBound;
    while (std::chrono::steady_clock::now() < completionEnd && !isSettled()) {
      step();
    }
    checkEnd();
    return mViolations;
  }

private:
  struct JobInfo
  {
    std::string mBody;
    std::vector<Scheduling::StepSpec> mSteps;
    bool mAccepted = false;
    std::optional<Time> mCancelledAt;
    bool mCancelRequested = false;
    std::optional<Time> mCompletedAt;
    std::optional<Scheduling::JobState> mEndState;
  };

  /// A run that ended done and whose end is not acknowledged yet.
  struct DoneRun
  {
    const FakeWorker* mWorker = nullptr;
    int mGeneration = 0;
    Scheduling::EndNumber mNumber;
    Scheduling::TaskName mTask;
    /// The task was started again since.
    bool mStartedSince = false;
  };

  // Random choices.

  std::int64_t draw(std::int64_t aFrom, std::int64_t aTo)
  {
    // The distributions of the standard library differ between implementations.
    return aFrom +
           static_cast<std::int64_t>(mRandom() % static_cast<std::uint64_t>(aTo - aFrom + 1));
  }
  bool chance(int aPercent) { return draw(1, 100) <= aPercent; }
  Milliseconds drawTime(std::int64_t aFrom, std::int64_t aTo)
  {
    return Milliseconds(draw(aFrom, aTo));
  }
  template<typename Item>
  const Item& pick(const std::vector<Item>& aItems)
  {
    return aItems[static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(aItems.size()) - 1))];
  }

  // Log and violations.

  void trace(const std::string& aText) const { Observability::Log(Level::Info, "soak", aText); }

  void violate(const std::string& aText, Rule aRule = Rule::Runs)
  {
    Observability::Log(Level::Error, "soak", "VIOLATION: " + aText);
    mViolations.push_back({ aRule, aText });
  }

  // Time.

  void after(Milliseconds aDelay, std::function<void()> aAction)
  {
    mActions.emplace(std::chrono::steady_clock::now() + aDelay, std::move(aAction));
  }

  void step()
  {
    mCluster.run(1ms);
    mInstance.set("");
    const Time now = std::chrono::steady_clock::now();
    while (!mActions.empty() && mActions.begin()->first <= now) {
      const auto action = std::move(mActions.begin()->second);
      mActions.erase(mActions.begin());
      action();
    }
    finishStops(now);
    checkWorkers();
    if (now >= mNextCheck) {
      mNextCheck = now + 100ms;
      checkJobs(now);
    }
  }

  // Cluster.

  void startCluster()
  {
    const auto entries = 3;
    for (int i = 1; i <= entries; ++i) {
      mCluster.addEntry("e" + std::to_string(i));
    }
    const auto workers = draw(4, 6);
    for (int i = 1; i <= workers; ++i) {
      addWorker("w" + std::to_string(i));
    }
    const Time end = std::chrono::steady_clock::now() + 1500ms;
    while (std::chrono::steady_clock::now() < end) {
      step();
    }
  }

  void addWorker(const std::string& aName)
  {
    mCluster.mWorkers.push_back(std::make_unique<FakeWorker>(aName));
    FakeWorker& worker = *mCluster.mWorkers.back();
    worker.restart(aName, Scheduling::LifetimeStart{ ++mLastLifetimeStart });
    worker.mClockRate = static_cast<double>(draw(980, 1000)) / 1000;
    worker.mMaxLease = kWorkerLease;
    worker.mStopTime = drawTime(0, kMaxStopTime.count());
    worker.mTaskTimeOf = [](const Scheduling::TaskName& aTask) {
      return Milliseconds(200 + Common::HashBytes(TextOf(aTask)) % 1300);
    };
    worker.mOnStart = [this, &worker](const FakeWorker::Run& aRun) { onStart(worker, aRun); };
    worker.mOnEnd = [this, &worker](const Scheduling::EndedTask& aEnd) { onEnd(worker, aEnd); };
    worker.mOnAcknowledged = [this, &worker](const Scheduling::EndedTask& aEnd) {
      onAcknowledged(worker, aEnd);
    };
    mCluster.startAgent(worker);
    announce(worker);
  }

  static std::string agentOf(const FakeWorker& aWorker) { return "agent-" + aWorker.mName; }

  /// Sends a heartbeat of the worker, and the next one later.
  void announce(FakeWorker& aWorker)
  {
    const auto agent = mCluster.mProcesses.find(agentOf(aWorker));
    if (agent != mCluster.mProcesses.end() && aWorker.mUp && !aWorker.mUnresponsive) {
      ++aWorker.mAnnouncements;
      const std::string body = aWorker.mId + ' ' + std::to_string(aWorker.mLifetimeStart.value()) +
                               ' ' + std::to_string(aWorker.mAnnouncements) + ' ' + aWorker.mName +
                               ' ' + std::to_string(kWorkerCores);
      callProcess(agent->second.mSettings.mAnnouncementAddress,
                  { "POST", "/beat", body, {} },
                  [](const Net::CallResult&) {});
    }
    mHeartbeats.emplace(std::chrono::steady_clock::now() + 500ms, &aWorker);
  }

  void callProcess(const std::string& aAddress, Net::ClientRequest aRequest, Net::CallDone aDone)
  {
    auto& client = mClients[aAddress];
    if (!client) {
      client = std::make_unique<Net::HttpClient>(mCluster.mIo, aAddress);
    }
    client->call(std::move(aRequest), 3s, std::move(aDone));
  }

  // Jobs.

  void scheduleJobs(Time aEnd)
  {
    after(drawTime(100, 500), [this, aEnd] {
      if (std::chrono::steady_clock::now() < aEnd) {
        addJob();
        scheduleJobs(aEnd);
      }
    });
  }

  void addJob()
  {
    const std::string id = "j" + std::to_string(mJobs.size());
    JobInfo& job = mJobs[id];
    const auto steps = draw(1, 3);
    for (int i = 0; i < steps; ++i) {
      job.mBody += (i == 0 ? "" : " ") + std::to_string(draw(1, 4));
    }
    job.mSteps = StepsOf(job.mBody);
    submit(id);
    if (chance(15)) {
      after(drawTime(100, 2500), [this, id] { cancel(id); });
    }
  }

  std::optional<std::string> anyEntryAddress()
  {
    std::vector<std::string> addresses;
    for (const auto& [name, process] : mCluster.mProcesses) {
      if (process.mEntry && !mStopping.contains(name)) {
        addresses.push_back(process.mSettings.mCallerAddress);
      }
    }
    return addresses.empty() ? std::nullopt : std::make_optional(pick(addresses));
  }

  /// Calls entries until one answers with 200 or 410.
  void callUntilDecided(const std::string& aMethod,
                        const std::string& aJob,
                        const std::function<void(unsigned)>& aDone)
  {
    const auto retry = [this, aMethod, aJob, aDone] {
      mCalls.emplace(std::chrono::steady_clock::now() + 150ms,
                     [this, aMethod, aJob, aDone] { callUntilDecided(aMethod, aJob, aDone); });
    };
    const auto address = anyEntryAddress();
    if (!address) {
      retry();
      return;
    }
    callProcess(*address,
                { aMethod, "/q/" + aJob, mJobs.at(aJob).mBody, {} },
                [aDone, retry](const Net::CallResult& aResult) {
                  if (aResult && (aResult->mStatus == 200 || aResult->mStatus == 410)) {
                    aDone(aResult->mStatus);
                  } else {
                    retry();
                  }
                });
  }

  void submit(const std::string& aJob)
  {
    trace("submit " + aJob + ": " + mJobs.at(aJob).mBody);
    callUntilDecided("POST", aJob, [this, aJob](unsigned aStatus) {
      JobInfo& job = mJobs.at(aJob);
      if (aStatus == 200) {
        trace("accepted " + aJob);
        job.mAccepted = true;
      } else if (!job.mCancelRequested) {
        violate("the submission of " + aJob + ", which nobody cancelled, was answered with 410");
      }
    });
  }

  void cancel(const std::string& aJob)
  {
    trace("cancel " + aJob);
    mJobs.at(aJob).mCancelRequested = true;
    callUntilDecided("DELETE", aJob, [this, aJob](unsigned) {
      trace("cancelled " + aJob);
      mJobs.at(aJob).mCancelledAt = std::chrono::steady_clock::now();
    });
  }

  // Faults.

  void scheduleFaults(Time aEnd)
  {
    after(drawTime(100, 700), [this, aEnd] {
      if (std::chrono::steady_clock::now() >= aEnd) {
        return;
      }
      const auto faults = draw(1, 3);
      for (int i = 0; i < faults; ++i) {
        addFault();
      }
      scheduleFaults(aEnd);
    });
  }

  void addFault()
  {
    const auto kind = draw(0, 99);
    if (kind < 16) {
      killAgents(draw(2, static_cast<std::int64_t>(mCluster.mWorkers.size())));
    } else if (kind < 32) {
      killAgents(1);
    } else if (kind < 38) {
      stopProcess(pickRunning(true));
    } else if (kind < 50) {
      killEntry();
    } else if (kind < 55) {
      stopProcess(pickRunning(false));
    } else if (kind < 64) {
      failStore();
    } else if (kind < 70) {
      cutProcessFromStore();
    } else if (kind < 76) {
      freezeProcess();
    } else if (kind < 83) {
      silenceWorker();
    } else if (kind < 89) {
      crashWorker();
    } else {
      disturbWorker();
    }
  }

  std::vector<std::string> running(bool aAgents) const
  {
    std::vector<std::string> names;
    for (const auto& [name, process] : mCluster.mProcesses) {
      if ((process.mAgent != nullptr) == aAgents && !mStopping.contains(name)) {
        names.push_back(name);
      }
    }
    return names;
  }

  std::string pickRunning(bool aAgents)
  {
    const auto names = running(aAgents);
    return names.empty() ? "" : pick(names);
  }

  void restartAfter(const std::string& aName, Milliseconds aDelay)
  {
    after(aDelay, [this, aName] {
      trace("start " + aName);
      for (const auto& worker : mCluster.mWorkers) {
        if (agentOf(*worker) == aName) {
          mCluster.startAgent(*worker);
          return;
        }
      }
      mCluster.addEntry(aName);
    });
  }

  void kill(const std::string& aName)
  {
    trace("kill " + aName);
    mCluster.kill(aName);
    mStopping.erase(aName);
  }

  /// Kills several agents at one moment. They start again almost together.
  void killAgents(std::int64_t aCount)
  {
    auto names = running(true);
    const auto delay = draw(0, 575);
    for (std::int64_t i = 0; i < aCount && !names.empty(); ++i) {
      const std::string name = pick(names);
      std::erase(names, name);
      kill(name);
      restartAfter(name, drawTime(delay, delay + 25));
    }
  }

  void killEntry()
  {
    auto names = running(false);
    if (names.empty()) {
      return;
    }
    const std::string coordinator = mCluster.coordinatorInstance();
    const bool isRunning = std::find(names.begin(), names.end(), coordinator) != names.end();
    const std::string name = isRunning && chance(50) ? coordinator : pick(names);
    kill(name);
    restartAfter(name, drawTime(0, 600));
  }

  void stopProcess(const std::string& aName)
  {
    if (aName.empty()) {
      return;
    }
    trace("stop " + aName);
    TestCluster::Process& process = mCluster.mProcesses.at(aName);
    const auto stopped = std::make_shared<bool>(false);
    mStopping[aName] = { stopped, std::chrono::steady_clock::now() + kShutdownGrace };
    const auto done = [stopped] { *stopped = true; };
    process.mEntry ? process.mEntry->stop(done) : process.mAgent->stop(done);
  }

  void finishStops(Time aNow)
  {
    std::vector<std::string> stopped;
    for (const auto& [name, stop] : mStopping) {
      if (*stop.first || aNow >= stop.second) {
        stopped.push_back(name);
      }
    }
    for (const std::string& name : stopped) {
      kill(name);
      restartAfter(name, drawTime(0, 600));
    }
  }

  void failStore()
  {
    if (mCluster.mStore.mMode != FakeStore::Mode::Normal) {
      return;
    }
    const std::vector<std::pair<FakeStore::Mode, std::string>> modes = {
      { FakeStore::Mode::Rejecting, "rejecting" },
      { FakeStore::Mode::Silent, "silent" },
      { FakeStore::Mode::LosingAnswers, "losing answers" },
      { FakeStore::Mode::DelayingWrites, "delaying writes" },
    };
    const auto& [mode, text] = pick(modes);
    trace("store " + text);
    mCluster.mStore.mMode = mode;
    after(drawTime(50, 3000), [this] {
      trace("store normal");
      mCluster.mStore.mMode = FakeStore::Mode::Normal;
    });
    const auto lateness = drawTime(500, 4000);
    if (mode == FakeStore::Mode::DelayingWrites) {
      after(lateness, [this] {
        trace("store applies delayed writes");
        mCluster.mStore.applyDelayedWrites();
      });
    }
  }

  void cutProcessFromStore()
  {
    const std::string name = pickRunning(chance(40));
    if (name.empty()) {
      return;
    }
    trace("store rejects " + name);
    mCluster.mProcesses.at(name).mStoreProxy->mRejecting = true;
    after(drawTime(50, 3000), [this, name] {
      const auto found = mCluster.mProcesses.find(name);
      if (found != mCluster.mProcesses.end()) {
        trace("store serves " + name);
        found->second.mStoreProxy->mRejecting = false;
      }
    });
  }

  void freezeProcess()
  {
    const std::string name = pickRunning(chance(60));
    if (name.empty()) {
      return;
    }
    trace("freeze " + name);
    mCluster.mProcesses.at(name).mFrozen = true;
    after(drawTime(50, 2000), [this, name] {
      const auto found = mCluster.mProcesses.find(name);
      if (found != mCluster.mProcesses.end()) {
        trace("thaw " + name);
        found->second.mFrozen = false;
      }
    });
  }

  FakeWorker& pickWorker()
  {
    return *mCluster.mWorkers[static_cast<std::size_t>(
      draw(0, static_cast<std::int64_t>(mCluster.mWorkers.size()) - 1))];
  }

  void silenceWorker()
  {
    FakeWorker& worker = pickWorker();
    trace("worker " + worker.mName + " unresponsive");
    worker.mUnresponsive = true;
    after(drawTime(50, 2000), [this, &worker] {
      trace("worker " + worker.mName + " responsive");
      worker.mUnresponsive = false;
    });
  }

  void crashWorker()
  {
    FakeWorker& worker = pickWorker();
    if (!worker.mUp) {
      return;
    }
    trace("crash of worker " + worker.mName);
    worker.endDueRuns();
    worker.crash();
    const bool sameId = chance(50);
    after(drawTime(20, 800), [this, &worker, sameId] {
      const Scheduling::LifetimeStart start{ ++mLastLifetimeStart };
      worker.restart(sameId ? worker.mId : worker.mName + '-' + std::to_string(start.value()),
                     start);
      trace("worker " + worker.mName + " starts as " + worker.mId);
    });
  }

  /// Loses and delays calls to the worker for a while.
  void disturbWorker()
  {
    FakeWorker& worker = pickWorker();
    trace("calls to worker " + worker.mName + " disturbed");
    using Delivery = FakeWorker::Delivery;
    worker.mDelivery = [this] {
      const auto kind = draw(0, 99);
      return kind < 15   ? Delivery::AnswerLost
             : kind < 30 ? Delivery::Late
             : kind < 38 ? Delivery::Dropped
             : kind < 45 ? Delivery::Refused
                         : Delivery::Normal;
    };
    worker.mLateness = [this] { return drawTime(5, 3000); };
    after(drawTime(50, 2000), [this, &worker] {
      trace("calls to worker " + worker.mName + " undisturbed");
      worker.mDelivery = nullptr;
    });
  }

  // Rules.

  void onStart(const FakeWorker& aWorker, const FakeWorker::Run& aRun)
  {
    const std::string run =
      TextOf(aRun.mTask) + " run " + std::to_string(aRun.mRun.value()) + " on " + aWorker.mId;
    trace("start of " + run + (aRun.mLate ? ", late" : ""));
    for (const auto& other : mCluster.mWorkers) {
      if (other.get() != &aWorker) {
        other->endDueRuns();
      }
      for (const FakeWorker::Run& otherRun : other->mRunning) {
        const bool same = other.get() == &aWorker && otherRun.mRun == aRun.mRun;
        if (otherRun.mTask == aRun.mTask && !same) {
          violate("start of " + run + " while run " + std::to_string(otherRun.mRun.value()) +
                  " is on " + other->mId + (aRun.mLate || otherRun.mLate ? " (late start)" : ""));
        }
      }
    }
    if (mAcknowledgedTasks.contains(aRun.mTask)) {
      violate("start of " + run + " after a done run was acknowledged");
    }
    for (DoneRun& done : mDoneRuns) {
      done.mStartedSince = done.mStartedSince || done.mTask == aRun.mTask;
    }
    if (static_cast<std::int64_t>(aWorker.mRunning.size()) * kTaskCores > kWorkerCores) {
      violate("start of " + run + " exceeds the capacity", Rule::Capacity);
    }
    const auto found = mJobs.find(aRun.mTask.mJob.str());
    if (found == mJobs.end() || found->second.mBody != aRun.mPayload ||
        aRun.mTask.mStep >= found->second.mSteps.size() ||
        aRun.mTask.mIndex >= found->second.mSteps[aRun.mTask.mStep].mTaskCount) {
      violate("start of " + run + ", which nobody submitted so");
      return;
    }
    checkOrder(run, aRun, found->second);
    checkTimes(run, aRun, found->second);
  }

  void checkOrder(const std::string& aText, const FakeWorker::Run& aRun, const JobInfo& aJob)
  {
    for (const std::uint32_t step : aJob.mSteps[aRun.mTask.mStep].mDependencies) {
      for (std::uint32_t i = 0; i < aJob.mSteps[step].mTaskCount; ++i) {
        Scheduling::TaskName needed = aRun.mTask;
        needed.mStep = step;
        needed.mIndex = i;
        if (!mDoneTasks.contains(needed)) {
          violate("start of " + aText + " before " + TextOf(needed) + " was done");
        }
      }
    }
  }

  void checkTimes(const std::string& aText, const FakeWorker::Run& aRun, const JobInfo& aJob)
  {
    if (aRun.mLate) {
      return;
    }
    const Time now = std::chrono::steady_clock::now();
    if (aJob.mCompletedAt && now - *aJob.mCompletedAt > kCompletionSettleTime) {
      violate("start of " + aText + " after the job was completed");
    }
    if (aJob.mCancelledAt && now - std::max(*aJob.mCancelledAt, mUnhealthyAt) > kCancelTime) {
      violate("start of " + aText + " after the job was cancelled");
    }
  }

  void onEnd(const FakeWorker& aWorker, const Scheduling::EndedTask& aEnd)
  {
    trace("end of " + TextOf(aEnd.mTask) + " run " + std::to_string(aEnd.mRun.value()) + " on " +
          aWorker.mId + ", kind " + std::to_string(static_cast<int>(aEnd.mKind)));
    if (aEnd.mKind == Scheduling::EndKind::Done) {
      mDoneTasks.insert(aEnd.mTask);
      mDoneRuns.push_back(
        { &aWorker, aWorker.mConnectionGeneration, aEnd.mNumber, aEnd.mTask, false });
    }
  }

  void onAcknowledged(const FakeWorker& aWorker, const Scheduling::EndedTask& aEnd)
  {
    std::erase_if(mDoneRuns, [&](const DoneRun& aDone) {
      if (aDone.mWorker != &aWorker || aDone.mGeneration != aWorker.mConnectionGeneration ||
          aDone.mNumber != aEnd.mNumber) {
        return false;
      }
      trace("end of " + TextOf(aEnd.mTask) + " acknowledged");
      mAcknowledgedTasks.insert(aDone.mTask);
      if (aDone.mStartedSince) {
        violate("acknowledged a done run of " + TextOf(aDone.mTask) +
                ", which was started again since");
      }
      return true;
    });
  }

  void checkWorkers()
  {
    for (const auto& worker : mCluster.mWorkers) {
      worker->endDueRuns();
    }
    // An end that is acknowledged only after the worker's lease has ended does not count.
    std::erase_if(mDoneRuns, [](const DoneRun& aDone) {
      return aDone.mGeneration != aDone.mWorker->mConnectionGeneration ||
             aDone.mWorker->leaseExpired();
    });
    const Time now = std::chrono::steady_clock::now();
    while (!mHeartbeats.empty() && mHeartbeats.begin()->first <= now) {
      FakeWorker& worker = *mHeartbeats.begin()->second;
      mHeartbeats.erase(mHeartbeats.begin());
      announce(worker);
    }
    while (!mCalls.empty() && mCalls.begin()->first <= now) {
      const auto call = std::move(mCalls.begin()->second);
      mCalls.erase(mCalls.begin());
      call();
    }
  }

  void checkJobs(Time aNow)
  {
    if (!isHealthy()) {
      mUnhealthyAt = aNow;
    }
    for (auto& [id, job] : mJobs) {
      if (job.mEndState) {
        continue;
      }
      const auto value = mCluster.mStore.value(ProgressKey(Common::JobId(id)));
      const auto record = value ? Wire::Decode<Wire::ProgressRecord>(*value) : std::nullopt;
      const auto state =
        record ? static_cast<Scheduling::JobState>(record->state) : Scheduling::JobState::Queued;
      if (!Scheduling::HasEnded(state)) {
        continue;
      }
      trace("stored end of " + id + ": " + std::string(Scheduling::StateText(state)));
      job.mEndState = state;
      if (state == Scheduling::JobState::Completed) {
        job.mCompletedAt = aNow;
        checkCompletion(id, job);
      } else if (state == Scheduling::JobState::Failed || !job.mCancelRequested) {
        violate(id + " ended as " + std::string(Scheduling::StateText(state)) + " without a cause");
      }
    }
  }

  void checkCompletion(const std::string& aId, const JobInfo& aJob)
  {
    for (std::uint32_t step = 0; step < aJob.mSteps.size(); ++step) {
      for (std::uint32_t i = 0; i < aJob.mSteps[step].mTaskCount; ++i) {
        const Scheduling::TaskName task{ Common::JobId(aId), 0, step, i };
        if (!mDoneTasks.contains(task)) {
          violate(aId + " was completed although " + TextOf(task) + " was not done");
        }
      }
    }
  }

  /// No fault that concerns a cancellation is present.
  bool isHealthy()
  {
    const auto entries = running(false);
    const std::string coordinator = mCluster.coordinatorInstance();
    return mCluster.mStore.mMode == FakeStore::Mode::Normal &&
           std::find(entries.begin(), entries.end(), coordinator) != entries.end() &&
           std::none_of(
             mCluster.mProcesses.begin(), mCluster.mProcesses.end(), [](const auto& aProcess) {
               return aProcess.second.mFrozen || aProcess.second.mStoreProxy->mRejecting;
             });
  }

  bool isSettled() const
  {
    const bool idle = std::all_of(mCluster.mWorkers.begin(),
                                  mCluster.mWorkers.end(),
                                  [](const auto& aWorker) { return aWorker->mRunning.empty(); });
    return idle && std::all_of(mJobs.begin(), mJobs.end(), [](const auto& aJob) {
             const JobInfo& job = aJob.second;
             return (!job.mAccepted || job.mEndState) && (job.mAccepted || job.mCancelRequested) &&
                    (!job.mCancelRequested || job.mCancelledAt);
           });
  }

  void checkEnd()
  {
    for (const auto& [id, job] : mJobs) {
      if (!job.mAccepted && !job.mCancelRequested) {
        violate(id + " was not accepted");
      } else if (job.mAccepted && !job.mEndState) {
        violate(id + " was accepted and did not end");
      } else if (job.mCancelRequested && !job.mCancelledAt) {
        violate("the cancellation of " + id + " was not answered");
      }
    }
    for (const auto& worker : mCluster.mWorkers) {
      for (const FakeWorker::Run& run : worker->mRunning) {
        violate(TextOf(run.mTask) + " still runs on " + worker->mId);
      }
    }
  }

  std::mt19937_64 mRandom;
  std::string mLogFile;
  boost::log::attributes::mutable_constant<std::string> mInstance{ std::string() };
  TestCluster mCluster;
  std::map<std::string, std::unique_ptr<Net::HttpClient>> mClients;
  std::int64_t mLastLifetimeStart = 0;
  std::multimap<Time, std::function<void()>> mActions;
  std::multimap<Time, FakeWorker*> mHeartbeats;
  /// Calls to repeat.
  std::multimap<Time, std::function<void()>> mCalls;
  /// Processes that are stopping: whether they have ended, and when they are killed.
  std::map<std::string, std::pair<std::shared_ptr<bool>, Time>> mStopping;
  std::map<std::string, JobInfo> mJobs;
  std::vector<DoneRun> mDoneRuns;
  std::set<Scheduling::TaskName> mDoneTasks;
  std::set<Scheduling::TaskName> mAcknowledgedTasks;
  Time mNextCheck;
  /// Last time at which a fault that concerns a cancellation was present.
  Time mUnhealthyAt;
  std::vector<Violation> mViolations;
};

} // namespace NodeTests::SoakTest
