#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "Admission/Admission.h"
#include "Admission/DeduplicationWindow.h"
#include "Common/Random.h"
#include "Dispatch/Request.h"
#include "UnitTests/Dispatch/Checker.h"

/// Entries, agents, endpoints, key owners and callers in one process and in virtual time. Only the
/// network, the processes and the callers are simulated; all decisions are those of the libraries.
namespace Simulation {

using Common::Duration;
using Common::Timestamp;
using Common::UnixMillis;

/// Faults planted to show that the checker finds them.
enum class Planted
{
  None,
  LostTakenForUndelivered,
  WindowIgnored,
  IncarnationForged,
  QueryDoesNotSettle,
  ForeignUseIgnored,
  OneSlotTooMany,
  WrongBody,
  TakeoverRuleIgnored,
  StandingIgnored,
  UnknownSettledAsNotRun,
  DrainIgnored,
  /// The agent gives up waiting for the endpoint and frees the slot while the endpoint still works.
  SlotReleasedAtDeadline,
};

/// Shape of one schedule.
struct Plan
{
  std::uint64_t mSeed = 0;
  std::uint32_t mAgents = 2;
  std::uint32_t mEntries = 2;
  std::uint32_t mLogicals = 10;
  std::int64_t mSlots = 2;
  std::int64_t mConnections = 3;
  /// Chance in percent that a message is lost, or delivered twice.
  std::uint32_t mLossPercent = 10;
  std::uint32_t mDuplicatePercent = 10;
  std::uint32_t mAgentRestarts = 2;
  std::uint32_t mEntryRestarts = 1;
  std::uint32_t mTakeovers = 1;
  std::uint32_t mDrains = 0;
  Duration mMinDeadline{ std::chrono::milliseconds(100) };
  Planted mPlanted = Planted::None;
};

struct Caller
{
  std::uint32_t mLogical = 0;
  bool mIdempotent = false;
  bool mKeyed = false;
  std::optional<UnixMillis> mKeyTime;
  Timestamp mFirst;
  std::uint32_t mSubmissions = 0;
  bool mDone = false;
};

using ReplyFn = std::function<void(const Dispatch::CallResult&, const std::string&)>;

struct SimAgent
{
  bool mUp = true;
  bool mLeaving = false;
  Common::Incarnation mIncarnation{ 1 };
  Admission::Gate mGate;
  Admission::WorkerLedger mWorker;
  Admission::DeduplicationWindow mWindow;
  std::map<Common::RequestId, std::vector<ReplyFn>> mWaiting;
  std::map<Common::RequestId, Submission> mBodies;
  /// Requests in progress at the endpoint; the endpoint outlives its agent.
  std::int64_t mAtEndpoint = 0;
  std::int64_t mForeign = 0;
};

struct LiveRequest
{
  Dispatch::RequestState mState;
  Submission mSubmission;
  std::uint32_t mCaller = 0;
  Dispatch::KeyClaim mClaim;
  std::map<Common::RequestId, std::string> mReplies;
  std::string mClaimedReply;
};

struct SimEntry
{
  bool mUp = true;
  Common::Incarnation mIncarnation{ 1 };
  std::uint64_t mNextSequence = 1;
  Dispatch::PoolView mPool;
  Dispatch::RetryBudget mBudget;
  std::map<std::uint64_t, LiveRequest> mLive;
};

struct SimOwner
{
  Dispatch::IdempotencyKeyRegistry mRegistry;
  Timestamp mFrom;
  Timestamp mUntil = Timestamp::max();
  UnixMillis mClockError{ 0 };
};

class World
{
public:
  explicit World(const Plan& aPlan);
  /// Runs the schedule to its end and returns what the checker found.
  std::vector<std::string> run();
  const Checker& checker() const { return mChecker; }

private:
  void at(Duration aDelay, std::function<void()> aDo);
  Duration someDelay(std::int64_t aMaxMillis);
  bool chance(std::uint32_t aPercent);
  UnixMillis unixNow() const;

  // Callers
  void makeCallers();
  void submit(std::uint32_t aCaller);
  void callerHears(std::uint32_t aCaller, std::optional<Common::Outcome> aOutcome);

  // Entries
  void restartEntry(std::size_t aEntry);
  void refreshPools();
  void feed(std::size_t aEntry,
            Common::Incarnation aIncarnation,
            std::uint64_t aSequence,
            const Dispatch::RequestEvent& aEvent);
  void carryOut(std::size_t aEntry,
                std::uint64_t aSequence,
                const Dispatch::RequestAction& aAction);
  void answer(std::size_t aEntry, std::uint64_t aSequence, const Dispatch::RequestAction& aAction);
  void execute(std::size_t aEntry, std::uint64_t aSequence, const Dispatch::RequestAction& aAction);
  void query(std::size_t aEntry, std::uint64_t aSequence, const Dispatch::RequestAction& aAction);

  // Key owners
  void takeOver();
  SimOwner& someOwner();
  void claim(std::size_t aEntry, std::uint64_t aSequence, const Dispatch::RequestAction& aAction);
  void settle(std::size_t aEntry, std::uint64_t aSequence, const Dispatch::RequestAction& aAction);

  // Agents and endpoints
  void startAgent(std::size_t aAgent);
  void restartAgent(std::size_t aAgent);
  void drainAgent(std::size_t aAgent);
  void receiveExecute(std::size_t aAgent,
                      const Dispatch::RequestAction& aAction,
                      const Submission& aSubmission,
                      const ReplyFn& aReply);
  void receiveQuery(std::size_t aAgent,
                    const Dispatch::RequestAction& aAction,
                    const ReplyFn& aReply);
  void carryOut(std::size_t aAgent, const Admission::Actions& aActions);
  void endpointDone(std::size_t aAgent,
                    Common::Incarnation aIncarnation,
                    const Common::RequestId& aId);
  void finishAt(std::size_t aAgent,
                const Common::RequestId& aId,
                const Admission::StoredOutcome& aOutcome);
  void poll(std::size_t aAgent);

  struct Event
  {
    Timestamp mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mDo;
    bool operator<(const Event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mOrder > aOther.mOrder;
    }
  };

  Plan mPlan;
  Common::Random mRandom;
  Timestamp mNow{ std::chrono::hours(1) };
  std::priority_queue<Event> mEvents;
  std::uint64_t mOrder = 0;
  Checker mChecker;
  std::uint32_t mSubmissions = 0;
  std::vector<Caller> mCallers;
  std::vector<SimAgent> mAgents;
  std::vector<SimEntry> mEntries;
  std::vector<std::unique_ptr<SimOwner>> mOwners;
  Dispatch::DispatchRules mRules;
  Dispatch::Location mLocation;
};

} // namespace Simulation
