#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Ownership/Fence.h"
#include "Ownership/StepOwner.h"
#include "Store/MemoryStore.h"

/// A cell in one thread: owners, agents with their platform workers, the store and the network
/// between them, with faults that follow from a seed. Every process has its own clock.
namespace World {

using Common::Duration;
using Common::Timestamp;

/// A fault in the rules, to show that the observer catches it.
enum class Plant
{
  None,
  /// Tenure and restarts need no majority.
  NoMajority,
  /// Tasks are restarted after a few seconds of silence.
  ShortWait,
  /// Agents also obey owners that were replaced.
  NoEpochFence,
  /// Agents take commands of heartbeats that arrive out of order.
  NoSequence,
  /// Tenure counts from when the heartbeat arrives.
  TenureFromArrival,
  /// The age of the majority does not shorten the tenure.
  FullTenure,
  /// A restarted agent answers for its earlier incarnation.
  OldIncarnation,
};

struct Options
{
  std::uint64_t mSeed = 1;
  Plant mPlant = Plant::None;
  int mAgents = 6;
  int mOwners = 3;
  int mTasks = 6;
  /// Faults happen during this time; afterwards everything heals.
  Duration mFaultTime{ std::chrono::seconds(240) };
  Duration mHealTime{ std::chrono::seconds(170) };
};

struct Result
{
  /// The first violation; empty if there was none.
  std::string mViolation;
  int mStarts = 0;
  /// Starts of tasks that had run before.
  int mRestarts = 0;
  int mTakeovers = 0;
  int mRosterChanges = 0;
  /// Tasks that run when everything has healed.
  int mRunningAtEnd = 0;
};

Result
Run(const Options& aOptions);

} // namespace World
