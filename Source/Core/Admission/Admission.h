#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Admission/ConcurrencyLimiter.h"
#include "Admission/FairQueue.h"
#include "Admission/ServiceTimes.h"
#include "Admission/WorkerLedger.h"
#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Outcome.h"
#include "Common/Units.h"
#include "Tables/Tables.h"

/// Decides which requests start, wait or are refused at one endpoint.
namespace Admission {

/// What the endpoint and its pool allow.
struct GateLimits
{
  Common::Slots mSlots;
  Common::Connections mConnections;
  std::vector<Tables::MinShare> mMinShares;
  /// Waiting requests of each urgency class.
  std::size_t mMaxQueued = 1024;
  /// Lowest adaptive limit in slots; the limit is static if this is at least mSlots.
  Common::Slots mLimitFloor{ 1 };
};

struct RunningRequest
{
  Request mRequest;
  Timestamp mStarted;
};

/// Use and guarantee of one urgency class.
struct ClassUsage
{
  /// Guaranteed part of the slots, 0 to 1.
  double mGuaranteedShare = 0;
  std::int64_t mInUse = 0;
  /// Slot-microseconds that the class got less than its guarantee while it had requests waiting.
  /// Positive means that the next free slot is the class's own.
  double mCreditSlotMicros = 0;
  /// Moving mean of the slots in use, from which headroom for the class is kept.
  double mMeanInUse = 0;
};

/// What is needed to tell the gate's own requests from others in the counts of the endpoint.
struct ForeignUseEstimate
{
  /// Bounds of the number of running requests since the last count.
  std::int64_t mMaxRunning = 0;
  std::int64_t mMinRunning = 0;
  /// Upper bounds of foreign use by the latest counts. A count may just miss a request that is on
  /// its way, so a single one does not lower the foreign use.
  std::array<std::int64_t, 3> mUpperBounds{};
  std::size_t mNextBound = 0;
};

/// Grantor of the slots and connections of one endpoint.
struct Gate
{
  GateLimits mLimits;
  ConcurrencyLimiter mLimiter;
  ServiceTimes mServiceTimes;
  std::array<FairQueue, kUrgencies> mQueues;
  std::array<ClassUsage, kUrgencies> mClassUsage;
  std::unordered_map<Common::RequestId, RunningRequest> mRunning;
  /// Connections that stay open between requests. They count against the limit and are reused.
  Common::Connections mIdleConnections;
  /// In use at the endpoint by requests that this gate did not start (those of an earlier agent).
  Common::Slots mForeignSlots;
  Common::Connections mForeignConnections;
  ForeignUseEstimate mForeignUseEstimate;
  Timestamp mAccruedAt;
  Timestamp mSweptAt;
  bool mDraining = false;
};

enum class ActionKind
{
  /// Send the request to the endpoint; it holds a slot and a connection until Release.
  Start,
  /// Answer `not-run` with the reason and the retry time. The request never started.
  Refuse,
};

struct Action
{
  ActionKind mKind = ActionKind::Start;
  Request mRequest;
  Common::Refusal mReason = Common::Refusal::None;
  /// When the caller may try again; only for Refuse.
  Duration mRetryAfter{ 0 };
};

using Actions = std::vector<Action>;

/// How a request ended.
struct Completion
{
  bool mKeepConnection = false;
  /// False if the time says nothing about the endpoint, as after a failed connect.
  bool mLatencyValid = true;
};

Gate
MakeGate(GateLimits aLimits, Timestamp aNow);

/// Takes a request in: it starts, waits or is refused at once; a request that waits longer may be
/// refused in its place. The id must not be known to the gate.
Actions
Offer(Gate& aGate, WorkerLedger& aWorker, Request aRequest, Timestamp aNow);

/// Gives the slot and connection of a running request back and starts waiting ones. An unknown id
/// changes nothing. Call it when the endpoint no longer works on the request, not when the caller's
/// deadline has passed: an endpoint that still works would be given more than it has slots.
Actions
Release(Gate& aGate,
        WorkerLedger& aWorker,
        const Common::RequestId& aId,
        const Completion& aCompletion,
        Timestamp aNow);

/// Refuses waiting requests that can no longer start in time and starts what can start. Call it
/// every few milliseconds while requests wait, and after a task released resources.
Actions
Poll(Gate& aGate, WorkerLedger& aWorker, Timestamp aNow);

/// Takes a waiting request out, as when its caller has gone. False if it does not wait.
bool
CancelQueued(Gate& aGate, const Common::RequestId& aId);

/// Moves the adaptive limit if a window has ended. Release and Poll call it.
void
AdjustLimit(Gate& aGate, Timestamp aNow);

/// Changes the hard limits. Running requests keep their slots; nothing starts until they fit.
Actions
SetLimits(Gate& aGate, WorkerLedger& aWorker, GateLimits aLimits, Timestamp aNow);

/// Records what the endpoint counts in progress beyond the gate's own requests.
void
SetForeignUse(Gate& aGate, Common::Slots aSlots, Common::Connections aConnections);

/// Takes the number of requests that the endpoint counts in progress. What exceeds the gate's own
/// requests becomes foreign use.
void
ReconcileInProgress(Gate& aGate, Common::Slots aInProgress);

/// Kept connections to close after the limit was lowered or foreign use rose. Until they are closed
/// nothing starts.
Common::Connections
ExcessIdleConnections(const Gate& aGate);

/// A kept connection was closed.
void
CloseIdleConnection(Gate& aGate);

/// Refuses all waiting and new requests; running ones finish.
Actions
StartDrain(Gate& aGate, Timestamp aNow);

/// Takes new requests again after a drain that was taken back.
void
StopDrain(Gate& aGate);

/// True if the gate drains and nothing is in progress.
bool
IsDrained(const Gate& aGate);

std::int64_t
SlotsInUse(const Gate& aGate);

/// The limit in force: the adaptive one, at most the hard one.
std::int64_t
SlotLimit(const Gate& aGate);

std::int64_t
ConnectionsInUse(const Gate& aGate);

std::size_t
QueuedCount(const Gate& aGate);

/// Expected time until a new request like this one starts.
Duration
PredictWait(const Gate& aGate, const Request& aRequest, Timestamp aNow);

} // namespace Admission
