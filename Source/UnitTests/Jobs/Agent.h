#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Random.h"
#include "Core/Jobs/Jobs.h"
#include "UnitTests/Jobs/Checker.h"

/// Heartbeat of an owner, with the commands for one agent.
struct Heartbeat
{
  std::size_t mWorker = 0;
  std::int64_t mEpoch = 0;
  std::int64_t mIncarnation = 0;
  /// Time of the checker at which it was sent.
  std::uint64_t mSent = 0;
  std::vector<Jobs::TaskStart> mStarts;
  std::vector<Jobs::TaskAction> mActions;
};

struct Reply
{
  std::size_t mWorker = 0;
  std::int64_t mEpoch = 0;
  Jobs::Inventory mInventory;
  Common::Resources mFree;
};

/// An agent with its worker, as the rules in the README of Jobs ask for.
class Agent
{
public:
  Agent(std::string aName, Common::Resources aTotal, Checker& aChecker)
    : mName(std::move(aName))
    , mTotal(aTotal)
    , mChecker(&aChecker)
  {
  }

  const std::string& name() const { return mName; }
  bool alive() const { return mAlive; }
  bool hasTenure() const { return mTenure; }
  std::int64_t incarnation() const { return mIncarnation; }

  /// Nothing is returned if the epoch is older than the highest seen.
  std::optional<Reply> receive(const Heartbeat& aHeartbeat,
                               double aRefuse,
                               Common::Random& aRandom);

  /// One running task, chosen at random, takes a checkpoint or ends in the given way.
  void stepTask(Jobs::TaskState aHow, Common::Random& aRandom);
  void loseTenure();
  void die();
  void revive();
  /// The agent's process restarts; the worker and its list of tasks go on.
  void restart();

private:
  struct Record
  {
    Jobs::TaskReport mReport;
    bool mRunning = false;
  };
  using Key = std::pair<std::string, std::int64_t>;

  void start(const Jobs::TaskStart& aStart,
             std::uint64_t aSent,
             double aRefuse,
             Common::Random& aRandom);
  void act(const Jobs::TaskAction& aAction);
  void end(Record& aRecord, Jobs::TaskState aHow);
  void save(Record& aRecord);
  Common::Resources free() const;

  std::string mName;
  Common::Resources mTotal;
  Checker* mChecker;
  bool mAlive = true;
  bool mTenure = true;
  std::int64_t mIncarnation = 1;
  std::int64_t mEpoch = 0;
  std::map<Key, Record> mRecords;
  std::map<std::string, std::int64_t> mHighest;
  std::uint32_t mSaves = 0;
  std::uint64_t mReplies = 0;
};
