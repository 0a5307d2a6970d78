#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Random.h"
#include "Core/Jobs/Jobs.h"
#include "UnitTests/Jobs/ScheduleChecker.h"

/// Heartbeat of an owner with the commands for one agent.
struct Heartbeat
{
  std::size_t mWorker = 0;
  std::int64_t mEpoch = 0;
  std::int64_t mIncarnation = 0;
  /// Time of the checker at which the heartbeat was sent.
  std::uint64_t mSentAt = 0;
  std::vector<Jobs::TaskStart> mStarts;
  std::vector<Jobs::TaskAction> mActions;
};

/// Reply of an agent to a heartbeat.
struct Reply
{
  std::size_t mWorker = 0;
  std::int64_t mEpoch = 0;
  Jobs::Inventory mInventory;
  Common::Resources mFree;
};

/// An agent and its worker that follow the rules for agents in the README of Jobs.
class SimulatedAgent
{
public:
  SimulatedAgent(std::string aName, Common::Resources aTotal, ScheduleChecker& aChecker)
    : mName(std::move(aName))
    , mTotal(aTotal)
    , mChecker(&aChecker)
  {
  }

  const std::string& name() const { return mName; }
  bool alive() const { return mAlive; }
  bool hasTenure() const { return mTenure; }
  std::int64_t incarnation() const { return mIncarnation; }

  /// Executes the commands and returns the reply; std::nullopt if the worker is down or the epoch
  /// is older than the highest seen. Start commands are refused with probability
  /// aRefuseProbability.
  std::optional<Reply> receive(const Heartbeat& aHeartbeat,
                               double aRefuseProbability,
                               Common::Random& aRandom);

  /// A running attempt, chosen at random, takes a checkpoint (Running) or ends in the given state.
  void stepTask(Jobs::TaskState aNewState, Common::Random& aRandom);
  /// Ends all running attempts as evicted; no attempt starts before the next heartbeat.
  void loseTenure();
  /// The worker is lost with all attempts until replaceMachine.
  void crash();
  void replaceMachine();
  /// The process of the agent restarts; the worker and its attempts continue.
  void restart();

private:
  struct AttemptRecord
  {
    Jobs::TaskReport mReport;
    bool mRunning = false;
  };
  /// Task and attempt.
  using Key = std::pair<std::string, std::int64_t>;

  void startAttempt(const Jobs::TaskStart& aStart,
                    std::uint64_t aSentAt,
                    double aRefuseProbability,
                    Common::Random& aRandom);
  void applyAction(const Jobs::TaskAction& aAction);
  void endAttempt(AttemptRecord& aRecord, Jobs::TaskState aNewState);
  void takeCheckpoint(AttemptRecord& aRecord);
  Common::Resources freeResources() const;

  std::string mName;
  Common::Resources mTotal;
  ScheduleChecker* mChecker;
  bool mAlive = true;
  bool mTenure = true;
  std::int64_t mIncarnation = 1;
  std::int64_t mEpoch = 0;
  std::map<Key, AttemptRecord> mRecords;
  std::map<std::string, std::int64_t> mHighestAttempts;
  std::uint32_t mCheckpointCount = 0;
  std::uint64_t mReplySequence = 0;
};
