#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Core/Placement/Place.h"
#include "UnitTests/Jobs/SimulatedAgent.h"

/// Faults injected into the caller of the library, to show that the checker detects them.
enum class InjectedFault
{
  None,
  /// A worker is released while its tasks may still be running.
  EarlyWorkerRelease,
  /// Agents are told to forget ends before these are durable.
  EarlyForget,
  /// Jobs are acknowledged before they are durable.
  EarlyAcknowledge,
  /// Reservations of unconfirmed starts are dropped with each report.
  DropReservations,
  /// Start commands lose their checkpoint.
  DropCheckpoint,
  /// Replies that arrive out of order are applied as if they were new.
  IgnoreReplyOrder,
  /// After a takeover, unreported tasks start without waiting for silent workers.
  EarlyTakeoverRelease,
};

struct SimulationConfig
{
  std::uint64_t mSeed = 1;
  std::size_t mWorkers = 3;
  std::uint32_t mSteps = 250;
  /// Of a message to be lost, of a message to be delivered again, and of a start to be refused.
  double mDropProbability = 0.2;
  double mDuplicateProbability = 0.1;
  double mRefuseProbability = 0.05;
  InjectedFault mInjectedFault = InjectedFault::None;
};

/// A cell with agents, a store, submitters and successive owners. Every step is chosen at random
/// from the seed.
class CellSimulation
{
public:
  explicit CellSimulation(const SimulationConfig& aConfig);

  /// Runs the steps, repairs all faults and runs until the cell is idle. Stops at the first
  /// violation.
  void run();
  const std::vector<std::string>& violations() const { return mChecker.violations(); }

private:
  /// A write of a batch that the owner has not seen answered.
  struct PendingWrite
  {
    std::uint64_t mBatch = 0;
    /// Key in the store; keys follow the order in which batches are taken.
    std::uint64_t mKey = 0;
    std::string mValue;
    bool mApplied = false;
  };
  /// What the current owner knows of a worker, and the commands that it has for it.
  struct WorkerContact
  {
    std::uint64_t mReceivedReplies = 0;
    std::int64_t mIncarnation = 0;
    bool mHeard = false;
    bool mReleased = false;
    bool mCutOff = false;
    std::vector<Jobs::TaskAction> mActions;
  };

  void step();
  void submit();
  void cancel();
  void schedule();
  void sendHeartbeat(std::size_t aWorker);
  void deliver();
  void deliverTo(const Heartbeat& aHeartbeat);
  void receive(const Reply& aReply);
  void applyActions(std::vector<Jobs::TaskAction> aActions);
  void applyHealth();
  void evict();
  void write();
  void completeWrite();
  void acknowledge(std::uint64_t aBatch);
  void snapshot();
  void cutOff();
  void release(std::size_t aWorker);
  void releaseHeld();
  void takeOver();
  void injectRandomFault();
  void repairFaults();
  void runUntilIdle();
  bool isIdle() const;
  std::size_t randomWorker() { return mRandom.below(mAgents.size()); }
  Jobs::CurrentTime now() const;

  SimulationConfig mConfig;
  Common::Random mRandom;
  ScheduleChecker mChecker;
  std::vector<SimulatedAgent> mAgents;
  Common::Duration mTime{ 0 };

  std::int64_t mEpoch = 1;
  Jobs::JobsState mState;
  Placement::Index mIndex;
  std::vector<WorkerContact> mWorkerContacts;
  bool mHeld = false;

  std::map<std::uint64_t, std::string> mStore;
  std::uint64_t mNextKey = 1;
  /// Keys of the store values that the current owner has read or written.
  std::set<std::uint64_t> mKnownStoreKeys;
  std::vector<PendingWrite> mWrites;
  /// Writes of earlier owners that have not reached the store yet.
  std::vector<PendingWrite> mDelayedWrites;
  /// Incarnations of the agents in the roster of the cell record.
  std::vector<std::int64_t> mRoster;

  std::vector<Heartbeat> mHeartbeats;
  std::vector<Reply> mReplies;
  std::map<std::string, Jobs::JobSpec> mSubmitted;
  /// Number of the last idempotency key that was submitted.
  std::uint32_t mIdempotencyKeys = 0;
};
