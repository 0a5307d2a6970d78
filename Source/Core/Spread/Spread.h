#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Random.h"
#include "Spread/Adoption.h"
#include "Spread/Delta.h"

/// The spread of table revisions as a step function: one event in, actions out.
namespace Spread {

using Common::Duration;
using Common::InstanceId;
using Common::Timestamp;

struct Timing
{
  /// Interval of the digest exchange with one random peer of the data centre.
  Duration mExchangeEvery = std::chrono::milliseconds(600);
  /// Interval of a relay's exchange with one random relay of another data centre.
  Duration mRemoteExchangeEvery = std::chrono::seconds(1);
  Duration mFetchTimeout = std::chrono::milliseconds(500);
  /// Peers that are told at once of an adopted revision. With 3, an epidemic among n processes
  /// needs about log3(n) steps, and processes that it misses are reached by the exchange.
  std::uint32_t mFanOut = 3;
  /// Other processes that must hold a revision before this one puts it in force, so that the
  /// revision survives a restart of this process while the store is away. Three, because a rack of
  /// three workers may restart at once.
  std::uint32_t mHoldersBeforeUse = 3;
  /// A process that cannot reach enough peers puts the revision in force after this time.
  Duration mHoldTimeout = std::chrono::seconds(1);
  /// How long a starting process collects answers while the store is away; the target for a change
  /// to be in force everywhere.
  Duration mSettle = std::chrono::seconds(2);
  /// Interval at which a starting process, or one that waits for holders, asks peers again.
  Duration mAskEvery = std::chrono::milliseconds(250);
  /// A peer sends the whole texts when the deltas would be longer than this.
  std::size_t mMaxDeltaBytes = std::size_t{ 64 } * 1024;
};

/// What one process knows about the tables and about whom it exchanges with.
struct State
{
  InstanceId mSelf;
  Timing mTiming;
  /// A bounded sample of the processes of the same data centre.
  std::vector<InstanceId> mLocalPeers;
  /// Relays of other data centres; used only while this process is a relay itself.
  std::vector<InstanceId> mRemoteRelays;
  bool mRelay = false;

  /// The newest revision of which this process has the texts.
  Digest mHeld;
  TableTexts mTexts;
  DeltaLog mLog;
  /// The revision in use; it follows mHeld when enough other processes hold that too.
  Digest mInForce;
  Timestamp mHeldSince;
  /// When to ask peers again whether they hold mHeld, while too few are known to.
  Timestamp mNextHolderAsk;
  /// Processes known to hold mHeld or a later revision.
  std::vector<InstanceId> mHolders;

  struct Startup
  {
    Timestamp mBegan;
    Timestamp mNextAsk;
    std::vector<StartupAnswer> mAnswers;
  };
  /// Set while this process has no tables yet. It serves nothing, and takes no revision from a
  /// single peer.
  std::optional<Startup> mStartup;

  /// The highest digest heard of, and who has it.
  Digest mHeardOf;
  InstanceId mHeardFrom;
  struct Fetch
  {
    InstanceId mPeer;
    Digest mTarget;
    Timestamp mDeadline;
  };
  std::optional<Fetch> mFetch;
  Timestamp mNextExchange;
  Timestamp mNextRemoteExchange;
};

/// The time has come to look at timers; harmless at any time.
struct Tick
{};
/// The process starts with nothing. It also tries to read the store; a StoreRevision ends the
/// startup.
struct Started
{};
/// The store has this revision; relays watch it, and a starting process reads it once.
struct StoreRevision
{
  Digest mDigest;
  TableTexts mTexts;
};
struct DigestReceived
{
  InstanceId mFrom;
  Digest mDigest;
  /// The sender waits for this process' digest.
  bool mWantsReply = false;
};
/// The answer to a fetch: a chain of deltas from what was held, or the whole texts.
struct FetchReply
{
  InstanceId mFrom;
  Digest mDigest;
  std::vector<Delta> mChain;
  std::optional<TableTexts> mWhole;
};
/// The fetch could not be made or was refused.
struct FetchFailed
{
  InstanceId mFrom;
};
using Event = std::variant<Tick, Started, StoreRevision, DigestReceived, FetchReply, FetchFailed>;

struct SendDigest
{
  InstanceId mTo;
  Digest mDigest;
  bool mWantsReply = false;
};
struct SendFetch
{
  InstanceId mTo;
  Digest mHeld;
};
/// The revision is now in force; the adapter decodes and swaps the tables.
struct PutInForce
{
  Digest mDigest;
};
/// A peer has the same revision number with other content.
struct ReportConflict
{
  InstanceId mFrom;
  Digest mOffered;
};
using Action = std::variant<SendDigest, SendFetch, PutInForce, ReportConflict>;

/// Handles one event. The caller performs the actions in order.
std::vector<Action>
Step(State& aState, const Event& aEvent, Timestamp aNow, Common::Random& aRandom);

/// The answer of a process to a fetch by a peer that holds aHeld.
FetchReply
AnswerFetch(const State& aState, const Digest& aHeld);

/// The earliest time at which a Tick has something to do.
Timestamp
NextTick(const State& aState);

} // namespace Spread
