#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <Ibisshed_types.h>
#include <tl/expected.hpp>

#include "Daemon/Runtime.h"
#include "Daemon/Threads.h"
#include "Jobs/Jobs.h"
#include "Placement/Place.h"
#include "Store/Segments.h"

namespace Daemon {

/// What a heartbeat reply says of one worker.
struct WorkerNews
{
  Rpc::Generated::AgentInfo mInfo;
  std::uint64_t mSequence = 0;
  bool mFull = false;
  bool mTakesTasks = true;
  Common::Resources mTotal;
  Common::Resources mFree;
  std::vector<Rpc::Generated::TaskReport> mTasks;
};

/// Label that the shapes of a pool's workers and the jobs for it have, since a pool may use a part
/// of a worker only.
std::string
PoolLabel(const Common::PoolId& aPool);

/// The batch jobs of a cell during one term of ownership: state, log and placement.
class OwnerJobs
{
public:
  /// aKick asks for an early heartbeat to a worker that has new commands.
  OwnerJobs(Runtime& aRuntime,
            const std::string& aCell,
            std::int64_t aEpoch,
            std::function<void(const std::string&)> aKick,
            std::function<void()> aDeposed);
  ~OwnerJobs();
  OwnerJobs(const OwnerJobs&) = delete;
  OwnerJobs& operator=(const OwnerJobs&) = delete;

  /// Reads the cell's logs and takes them over for the epoch.
  tl::expected<void, Store::LogError> open();
  void start();
  void stop();

  /// Returns after the job is durable, or with a refusal.
  Rpc::Generated::SubmitReply submit(const Rpc::Generated::JobSpec& aJob);
  Rpc::Generated::SubmitReply cancel(const std::string& aJob);
  std::vector<Rpc::Generated::JobView> show(const std::string& aJob, std::size_t aLimit);

  void applyNews(const WorkerNews& aNews);
  /// Commands for the next heartbeat to the worker.
  std::vector<Rpc::Generated::TaskAction> commandsFor(const std::string& aWorker);
  void markSilent(const std::string& aWorker);
  /// Nothing runs on the worker any longer.
  void releaseWorker(const std::string& aWorker);
  /// After a takeover: all workers of the recorded roster were heard or released.
  void releaseHeld(bool aAllHeard);
  int runningOn(const std::string& aWorker) const;

private:
  struct Waiting
  {
    bool mDone = false;
    bool mWritten = false;
  };

  Common::Duration plan();
  Common::Duration write();
  bool writeJobs();
  bool writeProgress();
  void compact();
  void refreshTables();
  void placeWorker(const WorkerNews& aNews);
  /// Closes, probes and opens workers as their failures say.
  void applyHealth();
  std::optional<Common::WorkerId> place(const Jobs::PlacementRequest& aNeed);
  void queueActions(const std::vector<Jobs::TaskAction>& aActions);
  tl::expected<Jobs::JobSpec, std::string> specOf(const Rpc::Generated::JobSpec& aJob) const;
  Jobs::CurrentTime now() const;

  Runtime& mRuntime;
  const std::string mCell;
  const std::int64_t mEpoch;
  std::function<void(const std::string&)> mKick;
  std::function<void()> mDeposed;

  mutable std::mutex mMutex;
  Jobs::JobsState mState;
  std::shared_ptr<const TablesInForce> mTables;
  /// One index of workers for each pool, since a pool may use a part of a worker only.
  std::map<Common::PoolId, Placement::WorkerIndex> mPools;
  std::map<std::string, WorkerNews> mWorkers;
  /// Workers that are quarantined or probed.
  std::map<std::string, Placement::Schedulability> mHealthGates;
  std::map<std::string, std::vector<Jobs::TaskAction>> mOutbox;
  /// Submissions whose job is not durable yet.
  std::map<Common::JobId, std::shared_ptr<Waiting>> mWaiting;
  std::condition_variable mSettled;

  /// Only the writer's thread uses these.
  Store::LogWriter mJobLog;
  Store::LogWriter mProgressLog;
  std::optional<Jobs::WriteBatch> mOpenJobs;
  std::optional<Jobs::WriteBatch> mOpenProgress;
  Common::Timestamp mNextProgress;
  std::int64_t mSegments = 0;

  std::unique_ptr<Loop> mPlanner;
  std::unique_ptr<Loop> mWriter;
};

} // namespace Daemon
