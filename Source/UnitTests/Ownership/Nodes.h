#pragma once

#include "UnitTests/Ownership/World.h"

/// Processes of the simulated cell; internal to the schedule tests.
namespace World {

using namespace std::chrono_literals;
using namespace Ownership;
using Common::Epoch;
using Common::Incarnation;
using Common::InstanceId;

inline constexpr Duration kStep = 200ms;
inline const Common::CellId kCell("dc1");

using TaskName = int;
/// Task and attempt.
using Report = std::map<TaskName, std::int64_t>;

struct Process
{
  double mRate = 1;
  Timestamp mStart;
  Timestamp mPausedUntil;
  bool mDown = false;

  bool runs(Timestamp aReal) const { return !mDown && aReal >= mPausedUntil; }
  Timestamp local(Timestamp aReal) const
  {
    const auto passed = static_cast<double>((aReal - mStart).count()) * mRate;
    return Timestamp(1h) + Duration(static_cast<Duration::rep>(passed));
  }
};

struct Inbox
{
  std::multimap<Timestamp, std::function<void()>> mWaiting;

  void add(Timestamp aAt, std::function<void()> aWork) { mWaiting.emplace(aAt, std::move(aWork)); }
  void run(Timestamp aReal)
  {
    while (!mWaiting.empty() && mWaiting.begin()->first <= aReal) {
      const std::function<void()> work = std::move(mWaiting.begin()->second);
      mWaiting.erase(mWaiting.begin());
      work();
    }
  }
};

/// The platform worker beside an agent; only leases end its tasks.
struct Worker
{
  struct Running
  {
    std::int64_t mAttempt = 0;
    Timestamp mLeaseEnds;
  };
  std::map<TaskName, Running> mTasks;
  Inbox mInbox;

  bool runs(TaskName aTask, Timestamp aReal) const
  {
    const auto found = mTasks.find(aTask);
    return found != mTasks.end() && found->second.mLeaseEnds > aReal;
  }
};

struct Agent : Process
{
  int mIndex = 0;
  AgentTenure mTenure;
  /// Tasks that run or are being started.
  Report mHeld;
  /// Those of which the worker has not answered the start yet.
  std::set<TaskName> mStarting;
  Report mHighestAttempt;
  Timestamp mNextRenewal;
  Timestamp mLastHeard;
  Timestamp mNextJoin;
  Inbox mInbox;
  Worker mWorker;

  InstanceId name() const { return InstanceId("agent" + std::to_string(mIndex)); }
  RosterMember member() const { return { name(), mTenure.mIncarnation, "" }; }
};

/// Where the owner's scheduler believes a task to be.
struct Slot
{
  enum class Kind
  {
    Unreported,
    Free,
    Placed,
  };
  Kind mKind = Kind::Unreported;
  InstanceId mAgent;
  std::int64_t mAttempt = 0;
  /// Number of the last heartbeat that carried the start; an answer to an earlier one says nothing.
  std::int64_t mSequence = 0;
  bool mConfirmed = false;
  /// When the task was last known to run there.
  Timestamp mSeen;
};

struct Owner : Process
{
  int mIndex = 0;
  int mRun = 0;
  OwnerState mState;
  std::map<TaskName, Slot> mSlots;
  std::map<InstanceId, std::int64_t> mLastReport;
  std::int64_t mAttempts = 0;
  Inbox mInbox;
};

} // namespace World
