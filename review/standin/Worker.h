#pragma once

#include <condition_variable>
#include <vector>

#include <nlohmann/json.hpp>

#include "Http.h"

namespace Review {

struct StepTruth
{
  int mCount = 1;
  std::int64_t mMilliCores = 500;
  std::int64_t mMemoryMb = 256;
  /// Run time of a task; tasks that last ignore it.
  Millis mRunTime{ 1000 };
  bool mLasts = false;
  /// Tasks run from half of the run time to one and a half.
  bool mVaries = false;
  /// Most tasks of the step on one worker; 0 for no limit.
  int mMaxPerServer = 0;
};

/// What the submissions ask for, and which runs the workers have seen of their tasks.
class Truth
{
public:
  void add(const std::string& aJob, const std::vector<StepTruth>& aSteps);
  /// The step of a task named JOB.K.STEP.INDEX; nothing if nobody submitted it.
  std::optional<StepTruth> stepOf(const std::string& aTask) const;

  /// A run of the task ended as done on a worker, with this number in the worker's list of ends.
  void addDone(const std::string& aTask, const std::string& aWorker, std::int64_t aEnd);
  /// The worker's ends up to this one were acknowledged.
  void acknowledge(const std::string& aWorker, std::int64_t aUpTo);
  /// The worker's lease lapsed: ends that are not acknowledged by now never count as noted.
  void lapse(const std::string& aWorker);
  /// Returns true if a run of the task had ended as done before this start.
  bool addStart(const std::string& aTask);
  /// Tasks that started after a run of them had ended as done, and that end is acknowledged.
  std::vector<std::string> startedAfterDone() const;
  std::size_t doneTasks() const;

private:
  struct Done
  {
    std::string mWorker;
    std::int64_t mEnd = 0;
    bool mAcknowledged = false;
    bool mLapsed = false;
    bool mStartedLater = false;
  };
  mutable std::mutex mMutex;
  std::map<std::string, std::vector<StepTruth>> mSteps;
  std::map<std::string, Done> mDone;
};

/// A worker as PROTOCOL.md describes it, with `control_mode` "call".
class Worker
{
public:
  struct Options
  {
    std::string mId;
    std::string mService;
    std::string mZone;
    std::string mKind = "a";
    std::string mRack = "r1-1";
    std::int64_t mMilliCores = 16'000;
    std::int64_t mMemoryMb = 64'000;
    Millis mLongestLease{ 10'000 };
    Millis mStopTime{ 300 };
    Millis mHeartbeat{ 1'500 };
    /// Where the system's process on this machine takes status reports.
    int mControlPort = 0;
  };

  Worker(Options aOptions, int aPort, Truth& aTruth, Record& aRecord);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  void start();
  /// The worker crashes and starts again under its id after aDown; it then knows nothing of before.
  /// Its first status report comes aFirstReport after its port is open.
  void restart(Millis aDown, Millis aFirstReport);
  /// While it is cut off, the worker runs on, and no call reaches it.
  void setCutOff(bool aCutOff);
  /// Ends a run as failed.
  void fail(const std::string& aTask);
  /// Tasks that run now, with their runs.
  std::map<std::string, std::int64_t> running() const;
  /// Number of starts carried out, for tasks whose name begins so.
  int starts(const std::string& aPrefix) const;
  /// Ends in the worker's list that are not acknowledged.
  std::size_t listedEnds() const;
  const std::string& id() const { return mOptions.mId; }

private:
  struct Run
  {
    std::int64_t mNumber = 0;
    StepTruth mStep;
    Clock::time_point mStarted;
    std::optional<Clock::time_point> mStopAt;
  };

  std::optional<Reply> handle(const Request& aRequest);
  std::optional<Reply> hold(const nlohmann::json& aBody, std::unique_lock<std::mutex>& aLock);
  Reply runStart(const nlohmann::json& aBody);
  Reply runStop(const nlohmann::json& aBody);
  nlohmann::json clockBody() const;
  std::int64_t clock() const;
  bool takeFence(const nlohmann::json& aBody);
  void takeLease(const nlohmann::json& aBody);
  void end(const std::string& aTask, const char* aHow);
  void beginLifetime();
  void tick();
  void report();

  Options mOptions;
  Truth& mTruth;
  Record& mRecord;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  int mLifetime = 0;
  std::int64_t mBorn = 0;
  Clock::time_point mClockStart;
  std::int64_t mFence = 0;
  std::int64_t mLeaseEnd = 0;
  std::int64_t mLastEnd = 0;
  std::int64_t mSequence = 0;
  std::map<std::string, Run> mRuns;
  std::map<std::string, std::int64_t> mHighestEnded;
  std::vector<nlohmann::json> mEnds;
  std::map<std::string, int> mStarts;
  bool mUp = false;
  bool mCutOff = false;
  Clock::time_point mNextReport;
  std::atomic<bool> mStopping{ false };
  HttpServer mServer;
  std::thread mThread;
  std::thread mReportThread;
};

} // namespace Review
