#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Scheduling/Schedule.h"

/// Simulation of coordinators, agents and workers in virtual time, with network, process and worker
/// faults. The scheduling decisions are those of the library; everything else is a model.
namespace SchedulingSimulation {

using namespace Scheduling;
using std::chrono::milliseconds;

/// Faults of the scheduler that the checker must detect.
enum class PlantedFault
{
  None,
  /// Tasks of a silent worker start elsewhere before its lease expires.
  IgnoreLeases,
  /// A new coordinator does not wait for workers that have not reported.
  IgnoreRecords,
  /// A start without an answer is treated as not carried out.
  TreatTimeoutAsRejected,
  /// Ends are acknowledged before they are stored.
  AcknowledgeEarly,
  /// A repeated order is treated as one that was not sent before.
  ForgetRepeats,
  /// Agents do not say which runs may have ended a worker.
  HideSuspects,
  /// A smaller capacity that a worker reports is not noticed.
  IgnoreShrinking,
  /// Agents start tasks although their data centre is evacuated.
  IgnoreEvacuations,
};

class Simulation
{
public:
  Simulation(std::uint32_t aSeed, PlantedFault aFault);

  /// Runs the schedule of the seed. Returns the first violated invariant, or "" if there is none.
  std::string run();

private:
  struct RunOnWorker
  {
    TaskName mTask;
    RunNumber mRun;
    Timestamp mEndsAt;
    bool mFails = false;
    bool mStopping = false;
    Timestamp mStopsAt;
  };
  struct WorkerModel
  {
    WorkerLifetime mLifetime;
    bool mUp = true;
    Common::Epoch mHighestTerm;
    Timestamp mLeaseEnd;
    std::vector<RunOnWorker> mRunning;
    std::vector<EndedTask> mEnded;
    std::int64_t mLastEnd = 0;
    std::map<TaskName, RunNumber> mHighestRuns;
    /// Nothing listens at the worker's address before this time.
    Timestamp mUpAt;
    /// Capacities in millicores and the times from which they count, oldest first.
    std::vector<std::pair<Timestamp, std::int64_t>> mCapacities;
  };
  struct SentStart
  {
    CrashSuspect mRun;
    Timestamp mSentAt;
    /// The start got no answer and may be carried out late.
    bool mMayComeLate = false;
  };
  struct AgentModel
  {
    Common::Epoch mTerm;
    /// Number of the connected coordinator, 0 if there is none.
    std::size_t mCoordinator = 0;
    bool mDisconnected = false;
    /// Latest lease end to which the agent may extend the lease of its worker.
    Timestamp mLeaseGrantedUntil;
    /// Last end that the worker may drop.
    EndNumber mAcknowledgeUpTo;
    WorkerView mView;
    std::vector<std::pair<std::int64_t, OrderResult>> mResults;
    /// Results of this process's orders, by which it answers repeated ones.
    std::map<std::int64_t, OrderResult> mOrderStates;
    std::vector<SentStart> mSentStarts;
    std::vector<EndedLifetime> mEndedLifetimes;
    /// No process runs before this time.
    Timestamp mDownUntil;
    /// The process has not reported yet; its first report contains no worker.
    bool mJustStarted = false;
  };
  struct CoordinatorModel
  {
    std::size_t mNumber = 0;
    Common::Epoch mTerm;
    SchedulerState mState;
    Timestamp mValidUntil;
    bool mStopped = false;
    /// Agents that were connected at the last tick.
    std::set<std::size_t> mConnectedAgents;
  };
  struct DelayedOrder
  {
    Timestamp mDueAt;
    std::size_t mWorker = 0;
    Common::Epoch mTerm;
    Order mOrder;
    Timestamp mLeaseEnd;
    Timestamp mSentAt;
  };

  /// The data centres that are evacuated from mSince on.
  struct Evacuation
  {
    Timestamp mSince;
    EvacuatedDataCentres mDataCentres;
  };

  CurrentTime now() const
  {
    return { mTime, Common::UnixMillis{ mTime.time_since_epoch().count() / 1000 } };
  }
  int random(int aBelow) { return static_cast<int>(mRandom() % static_cast<unsigned>(aBelow)); }
  void submit();
  void newCoordinator();
  void recover(CoordinatorModel& aCoordinator);
  /// Changes the operator's evacuations at random.
  void evacuate();
  const EvacuatedDataCentres& evacuatedAsOf(Timestamp aTime) const;
  bool isEvacuatedFor(std::size_t aWorker) const;
  static Common::DataCentreId dataCentreOf(std::size_t aWorker);
  void tickWorkers();
  void tickAgents();
  void tickCoordinators();
  void injectFaults();
  void executeOrder(std::size_t aWorker, CoordinatorModel& aCoordinator, const Order& aOrder);
  OrderResult sendOrder(std::size_t aWorker, const Order& aOrder);
  /// Repeats the outstanding orders to an agent that has connected again.
  void repeatOrders(std::size_t aWorker, CoordinatorModel& aCoordinator);
  OrderResult applyOrder(std::size_t aWorker,
                         Common::Epoch aTerm,
                         const Order& aOrder,
                         Timestamp aLeaseEnd,
                         Timestamp aSentAt);
  void checkStart(std::size_t aWorker, const TaskName& aTask);
  /// Ends all runs of the worker, which is back after some seconds in its next lifetime.
  void crash(WorkerModel& aWorker, Duration aDownTime);
  /// Reports the lifetime that the agent knew as ended, with the starts that it sent last.
  void reportEndedLifetime(AgentModel& aAgent);
  bool isFresh(const AgentModel& aAgent, const CrashSuspect& aRun) const;
  std::int64_t capacityOf(const WorkerModel& aWorker) const;
  /// Checks that the runs on the worker, including those that are being stopped, fit with the new
  /// one of aUsed millicores in all. aOrderedAt is the time at which its start was sent.
  void checkCapacity(const WorkerModel& aWorker, std::int64_t aUsed, Timestamp aOrderedAt);
  void endRun(WorkerModel& aWorker, const RunOnWorker& aRun, EndKind aKind);
  void flush(CoordinatorModel& aCoordinator);
  void reportViolation(const std::string& aWhat);
  CoordinatorModel* currentCoordinator();
  bool allEnded() const;
  /// True if a task of the job had all its attempts, or may be given up for crashes.
  bool hasCauseToFail(const Common::JobId& aJob) const;

  std::mt19937 mRandom;
  /// Apart, so that a seed gives the same other faults with and without evacuations.
  std::mt19937 mEvacuationRandom;
  /// The operator's evacuations, oldest first.
  std::vector<Evacuation> mEvacuations;
  PlantedFault mFault;
  /// Workers reject starts that exceed their capacity; otherwise they carry them out.
  bool mWorkersCheckCapacity;
  Timestamp mTime{ std::chrono::hours(1) };
  std::vector<WorkerModel> mWorkers;
  std::vector<AgentModel> mAgents;
  std::vector<CoordinatorModel> mCoordinators;
  std::vector<DelayedOrder> mDelayedOrders;
  /// Contents of the store.
  std::map<Common::JobId, JobSpec> mJobs;
  std::map<Common::JobId, Progress> mProgress;
  std::set<Common::JobId> mCancelled;
  std::map<WorkerLifetime, std::size_t> mWorkerRecords;
  Common::Epoch mTerm;
  /// Events that the checker observed.
  std::set<TaskName> mDone;
  std::set<TaskName> mAcknowledgedDone;
  std::map<TaskName, int> mAcknowledgedFailures;
  std::map<TaskName, int> mFailures;
  /// Tasks that crash each worker that starts them.
  std::set<TaskName> mDeadlyTasks;
  /// Crashes of workers under each task.
  std::map<TaskName, int> mCrashes;
  bool mFaultsEnabled = true;
  std::string mViolation;
};

} // namespace SchedulingSimulation
