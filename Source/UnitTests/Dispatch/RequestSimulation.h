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
#include "UnitTests/Dispatch/InvariantChecker.h"

/// Simulates entries, agents, endpoints, key owners and callers in one process and in virtual time.
/// Network, processes and callers are simulated; all decisions are made by the libraries under
/// test.
namespace Simulation {

using Common::Duration;
using Common::Timestamp;
using Common::UnixMillis;

/// Faults injected into the simulated parts, to show that the checker detects them.
enum class InjectedFault
{
  None,
  /// The entry treats a lost call as one that was not delivered.
  LostReportedAsNotDelivered,
  /// The agent runs a request again that its deduplication window knows as ended.
  DeduplicationIgnored,
  /// The agent accepts requests to other incarnations and answers in their name.
  IncarnationForged,
  /// The agent answers `not-run` to a query of an unknown request without recording that answer.
  QueryNotRecorded,
  /// A restarted agent ignores requests that still run at the endpoint.
  ForeignUseIgnored,
  /// The agent grants one slot more than the endpoint has.
  ExtraSlot,
  /// A caller may get the response to another request.
  WrongBody,
  /// A new key owner grants keys that an earlier owner may have granted.
  TakeoverTimeIgnored,
  /// Key owners answer claims outside the time in which they may.
  OwnerAuthorityIgnored,
  /// Entries settle keys of unknown outcome as `not-run`.
  UnknownSettledAsNotRun,
  /// A leaving agent does not drain its gate.
  DrainIgnored,
  /// At the deadline the agent releases the slot while the endpoint still works on the request.
  SlotReleasedAtDeadline,
};

/// Size of the simulated system and frequency of its faults in one schedule.
struct SimulationConfig
{
  std::uint64_t mSeed = 0;
  std::uint32_t mAgents = 2;
  std::uint32_t mEntries = 2;
  std::uint32_t mLogicalRequests = 10;
  std::int64_t mSlots = 2;
  std::int64_t mConnections = 3;
  /// Probability in percent that a message is lost.
  std::uint32_t mLossPercent = 10;
  /// Probability in percent that a message is delivered twice.
  std::uint32_t mDuplicatePercent = 10;
  std::uint32_t mAgentRestarts = 2;
  std::uint32_t mEntryRestarts = 1;
  std::uint32_t mTakeovers = 1;
  std::uint32_t mDrains = 0;
  Duration mMinDeadline{ std::chrono::milliseconds(100) };
  InjectedFault mInjectedFault = InjectedFault::None;
};

/// A caller that submits one logical request, possibly several times.
struct SimulatedCaller
{
  std::uint32_t mLogicalRequest = 0;
  bool mIdempotent = false;
  bool mHasKey = false;
  std::optional<UnixMillis> mKeyTime;
  Timestamp mFirstSubmittedAt;
  std::uint32_t mSubmissionCount = 0;
  bool mFinished = false;
};

using ReplyCallback = std::function<void(const Dispatch::CallResult&, const std::string&)>;

struct SimulatedAgent
{
  bool mRunning = true;
  bool mLeaving = false;
  Common::Incarnation mIncarnation{ 1 };
  Admission::Gate mGate;
  Admission::WorkerLedger mWorker;
  Admission::DeduplicationWindow mWindow;
  std::map<Common::RequestId, std::vector<ReplyCallback>> mReplyCallbacks;
  std::map<Common::RequestId, Submission> mSubmissionsById;
  /// Requests in progress at the endpoint; they survive a restart of the agent.
  std::int64_t mInProgressAtEndpoint = 0;
  /// Part of mInProgressAtEndpoint: requests that an earlier incarnation of the agent started.
  std::int64_t mForeignRequests = 0;
};

/// A request that an entry has not closed.
struct ActiveRequest
{
  Dispatch::RequestState mState;
  Submission mSubmission;
  std::uint32_t mCaller = 0;
  Dispatch::KeyClaim mClaim;
  /// Response bodies by attempt.
  std::map<Common::RequestId, std::string> mReplyBodies;
  /// Response body that was stored with the key.
  std::string mStoredReplyBody;
};

struct SimulatedEntry
{
  bool mRunning = true;
  Common::Incarnation mIncarnation{ 1 };
  std::uint64_t mNextSequence = 1;
  Dispatch::PoolView mPool;
  Dispatch::RetryBudget mBudget;
  std::map<std::uint64_t, ActiveRequest> mActiveRequests;
};

struct SimulatedOwner
{
  Dispatch::IdempotencyKeyRegistry mRegistry;
  /// Time in which the owner may answer claims.
  Timestamp mAnswersFrom;
  Timestamp mAnswersUntil = Timestamp::max();
  UnixMillis mClockError{ 0 };
};

/// Runs one schedule of requests and faults, chosen at random from the seed.
class RequestSimulation
{
public:
  explicit RequestSimulation(const SimulationConfig& aConfig);
  /// Runs the schedule to its end and returns the violations.
  std::vector<std::string> run();
  const InvariantChecker& checker() const { return mChecker; }

private:
  void schedule(Duration aDelay, std::function<void()> aCallback);
  /// Uniform between 0 and aMaxMillis, with a resolution of one microsecond.
  Duration randomDelay(std::int64_t aMaxMillis);
  /// True with the given probability.
  bool chance(std::uint32_t aPercent);
  UnixMillis unixNow() const;

  // Callers
  void makeCallers();
  void submit(std::uint32_t aCaller);
  void receiveAnswer(std::uint32_t aCaller, std::optional<Common::Outcome> aOutcome);

  // Entries
  void restartEntry(std::size_t aEntry);
  void refreshPools();
  void applyEvent(std::size_t aEntry,
                  Common::Incarnation aIncarnation,
                  std::uint64_t aSequence,
                  const Dispatch::RequestEvent& aEvent);
  void perform(std::size_t aEntry, std::uint64_t aSequence, const Dispatch::RequestAction& aAction);
  void answerCaller(std::size_t aEntry,
                    std::uint64_t aSequence,
                    const Dispatch::RequestAction& aAction);
  void execute(std::size_t aEntry, std::uint64_t aSequence, const Dispatch::RequestAction& aAction);
  void query(std::size_t aEntry, std::uint64_t aSequence, const Dispatch::RequestAction& aAction);

  // Key owners
  void takeOver();
  SimulatedOwner& pickOwner();
  void claimKey(std::size_t aEntry,
                std::uint64_t aSequence,
                const Dispatch::RequestAction& aAction);
  void settleKey(std::size_t aEntry,
                 std::uint64_t aSequence,
                 const Dispatch::RequestAction& aAction);

  // Agents and endpoints
  void startAgent(std::size_t aAgent);
  void restartAgent(std::size_t aAgent);
  void drainAgent(std::size_t aAgent);
  void receiveExecute(std::size_t aAgent,
                      const Dispatch::RequestAction& aAction,
                      const Submission& aSubmission,
                      const ReplyCallback& aReply);
  void receiveQuery(std::size_t aAgent,
                    const Dispatch::RequestAction& aAction,
                    const ReplyCallback& aReply);
  void perform(std::size_t aAgent, const Admission::Actions& aActions);
  void endpointFinished(std::size_t aAgent,
                        Common::Incarnation aIncarnation,
                        const Common::RequestId& aId);
  void finishRequest(std::size_t aAgent,
                     const Common::RequestId& aId,
                     const Admission::StoredOutcome& aOutcome);
  void pollGate(std::size_t aAgent);

  struct Event
  {
    Timestamp mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mCallback;
    bool operator<(const Event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mOrder > aOther.mOrder;
    }
  };

  SimulationConfig mConfig;
  Common::Random mRandom;
  Timestamp mNow{ std::chrono::hours(1) };
  std::priority_queue<Event> mEvents;
  std::uint64_t mOrder = 0;
  InvariantChecker mChecker;
  std::uint32_t mSubmissionCount = 0;
  std::vector<SimulatedCaller> mCallers;
  std::vector<SimulatedAgent> mAgents;
  std::vector<SimulatedEntry> mEntries;
  std::vector<std::unique_ptr<SimulatedOwner>> mOwners;
  Dispatch::DispatchRules mRules;
  Dispatch::Location mLocation;
};

} // namespace Simulation
