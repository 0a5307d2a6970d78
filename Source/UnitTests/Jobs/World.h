#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Core/Placement/Place.h"
#include "UnitTests/Jobs/Agent.h"

/// Faults that are planted in the caller of the library, to show that the checker finds them.
enum class Planted
{
  None,
  /// A worker is released while its tasks may still run.
  DishonestFence,
  /// Ends are called durable before they are written.
  EarlyForget,
  /// Jobs are acknowledged before they are written.
  EarlyAcknowledge,
  /// Reservations are dropped with each report.
  NoReservation,
  /// Start commands lose their checkpoint.
  LostCheckpoint,
  /// Replies that arrive out of order are taken for new ones.
  NoSequence,
  /// After a takeover unreported tasks start without waiting for silent workers.
  EarlyRelease,
};

struct WorldConfig
{
  std::uint64_t mSeed = 1;
  std::size_t mWorkers = 3;
  std::uint32_t mSteps = 250;
  double mDrop = 0.2;
  double mDuplicate = 0.1;
  double mRefuse = 0.05;
  Planted mPlanted = Planted::None;
};

/// A cell with agents, a store, submitters and a line of owners; every step is chosen at random.
class World
{
public:
  explicit World(const WorldConfig& aConfig);

  /// Runs the steps, then heals everything and lets the cell come to rest.
  void run();
  const std::vector<std::string>& faults() const { return mChecker.faults(); }

private:
  struct Write
  {
    std::uint64_t mBatch = 0;
    /// Key in the store, in the order in which batches are taken.
    std::uint64_t mKey = 0;
    std::string mValue;
    bool mApplied = false;
  };
  struct Contact
  {
    std::uint64_t mSeen = 0;
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
  void settleWrite();
  void acknowledge(std::uint64_t aBatch);
  void snapshot();
  void cutOff();
  void release(std::size_t aWorker);
  void releaseHeld();
  void takeOver();
  void faultStep();
  void heal();
  void rest();
  bool atRest() const;
  std::size_t anyWorker() { return mRandom.below(mAgents.size()); }
  Jobs::CurrentTime now() const;

  WorldConfig mConfig;
  Common::Random mRandom;
  Checker mChecker;
  std::vector<Agent> mAgents;
  Common::Duration mTime{ 0 };

  std::int64_t mEpoch = 1;
  Jobs::JobsState mState;
  Placement::WorkerIndex mIndex;
  std::vector<Contact> mContacts;
  bool mHeld = false;

  std::map<std::uint64_t, std::string> mStore;
  std::uint64_t mNextKey = 1;
  /// Store values that the present owner knows of.
  std::set<std::uint64_t> mKnown;
  std::vector<Write> mWrites;
  /// Writes of earlier owners that have not reached the store yet.
  std::vector<Write> mLate;
  /// Incarnations in the cell record.
  std::vector<std::int64_t> mRoster;

  std::vector<Heartbeat> mHeartbeats;
  std::vector<Reply> mReplies;
  std::map<std::string, Jobs::JobSpec> mSubmitted;
  std::uint32_t mKeys = 0;
};
