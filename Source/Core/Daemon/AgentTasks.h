#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <Ibisshed_types.h>

#include "Daemon/Gates.h"
#include "Daemon/Runtime.h"
#include "Http/PlatformWorker.h"
#include "Metering/Metering.h"

namespace Daemon {

/// The agent's side of batch tasks: starts and stops them on the platform worker, and renews their
/// leases while the agent has tenure.
class AgentTasks
{
public:
  using RecordUse = std::function<void(const Metering::UsageKey&, const Metering::Usage&)>;

  /// aGates holds the ledger of the worker.
  AgentTasks(Runtime& aRuntime, Gates& aGates, RecordUse aRecordUse);
  ~AgentTasks();
  AgentTasks(const AgentTasks&) = delete;
  AgentTasks& operator=(const AgentTasks&) = delete;

  /// Reads capacity and running tasks from the worker, and goes on doing so.
  void start();
  void stop();

  /// Carries out commands of an owner whose epoch was accepted.
  void apply(const std::vector<Rpc::Generated::TaskAction>& aActions);
  /// The agent may renew leases until then.
  void grantTenure(Common::Timestamp aUntil);
  /// Reports that changed since the last call and ends that are not durable; all tasks if aFull.
  std::vector<Rpc::Generated::TaskReport> reports(bool aFull);
  /// Evicts all tasks, as for a stop of the process.
  void evictAll();
  bool idle() const;
  /// True once the worker has told its capacity and its tasks.
  bool known() const;
  Common::Resources total() const;
  Common::Resources freeForTasks() const;

private:
  enum class Wish
  {
    Run,
    Evict,
    Stop,
  };
  struct Task
  {
    Rpc::Generated::TaskReport mReport;
    Wish mWish = Wish::Run;
    bool mActive = true;
    bool mDirty = true;
    bool mMayBeStarting = false;
    Common::Timestamp mStarted;
    Common::MicroPrice mPrice;
  };

  void startTask(const Rpc::Generated::TaskAction& aAction);
  void runStart(const Http::WorkerTask& aTask);
  void endTask(const std::string& aTask, std::int64_t aAttempt, Wish aWish);
  void runEnd(const std::string& aTask, std::int64_t aAttempt, Wish aWish);
  void throttle(const Rpc::Generated::TaskAction& aAction);
  void refuse(const Rpc::Generated::TaskStart& aStart, const std::string& aDetail);
  void settle(Task& aTask, Rpc::Generated::TaskState::type aState, const std::string& aDetail);
  bool fitsPool(const Rpc::Generated::TaskStart& aStart) const;
  Task* find(const std::string& aTask, std::int64_t aAttempt);

  Common::Duration poll();
  void readCapacity();
  void readTasks();
  void applyView(const Http::WorkerTaskView& aView);
  void adopt(const Http::WorkerTaskView& aView);
  void markMissing(const std::vector<Http::WorkerTaskView>& aViews);
  void readUsage();
  void renew();

  Runtime& mRuntime;
  Gates& mGates;
  RecordUse mRecordUse;
  Http::PlatformWorker mWorker;
  mutable std::mutex mMutex;
  std::map<std::string, Task> mTasks;
  /// Highest attempt seen of tasks that are no longer in mTasks, oldest first.
  std::map<std::string, std::int64_t> mHighest;
  std::deque<std::string> mHighestOrder;
  std::vector<Rpc::Generated::TaskReport> mRefusals;
  std::optional<Common::Resources> mTotal;
  bool mTasksKnown = false;
  Common::Timestamp mTenureUntil;
  Common::Timestamp mNextRenewal;
  Common::Timestamp mNextCapacity;
  Common::Timestamp mNextUsage;
  WorkerThreads mThreads;
  std::unique_ptr<Loop> mLoop;
};

} // namespace Daemon
