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

/// Admission control of one endpoint: decides which requests start, wait or are refused. The
/// functions are pure: the caller passes the time, holds the lock and does the I/O.
namespace Admission {

/// Limits set by the endpoint and its pool.
struct GateLimits
{
  Common::Slots mSlots;
  Common::Connections mConnections;
  /// Guaranteed percentage of the slots by urgency class. Classes that are not listed have none.
  std::vector<Tables::MinShare> mMinShares;
  /// Maximum number of waiting requests in each urgency class.
  std::size_t mMaxQueued = 1024;
  /// Lower bound of the adaptive limit. The limit is static if this is at least mSlots.
  Common::Slots mLimitFloor{ 1 };
};

/// A request that holds a slot and a connection.
struct RunningRequest
{
  Request mRequest;
  Timestamp mStarted;
};

/// Slots in use by one urgency class, and what it is guaranteed.
struct ClassUse
{
  /// Guaranteed fraction of the slot limit, 0 to 1.
  double mGuaranteedShare = 0;
  /// Slots held by its running requests.
  std::int64_t mInUse = 0;
  /// Slot-microseconds by which the class fell short of its guarantee while it had requests
  /// waiting; negative after use beyond the guarantee. A class with positive credit gets the next
  /// free slot.
  double mCreditSlotMicros = 0;
  /// Exponential moving average of the slots in use; determines the headroom kept for the class.
  double mMeanInUse = 0;
};

/// Separates the gate's own requests from foreign ones in the endpoint's count of requests in
/// progress.
struct ForeignUseEstimate
{
  /// Maximum and minimum of the gate's own running requests since the last count.
  std::int64_t mMaxRunning = 0;
  std::int64_t mMinRunning = 0;
  /// Upper bounds of foreign use from the latest counts, as a ring buffer. The foreign use drops
  /// only when all of them allow it, because a single count may miss a request that has been sent
  /// but has not yet reached the endpoint.
  std::array<std::int64_t, 3> mUpperBounds{};
  std::size_t mNextBound = 0;
};

/// Admission controller of one endpoint: grants its slots and connections.
struct Gate
{
  GateLimits mLimits;
  ConcurrencyLimiter mLimiter;
  ServiceTimes mServiceTimes;
  std::array<FairQueue, kUrgencyCount> mQueues;
  std::array<ClassUse, kUrgencyCount> mClassUse;
  std::unordered_map<Common::RequestId, RunningRequest> mRunning;
  /// Connections kept open between requests. They count against the connection limit and are reused
  /// before a new one is opened.
  Common::Connections mIdleConnections;
  /// Slots and connections in use by requests that this gate did not start or has released, such as
  /// those of an agent process before a restart.
  Common::Slots mForeignSlots;
  Common::Connections mForeignConnections;
  ForeignUseEstimate mForeignUseEstimate;
  /// When AccrueCredit last ran.
  Timestamp mAccruedAt;
  /// When Poll last checked the deadlines of all waiting requests.
  Timestamp mSweptAt;
  bool mDraining = false;
};

enum class ActionKind
{
  /// Send the request to the endpoint. It holds a slot and a connection until Release.
  Start,
  /// Answer `not-run` with mReason and mRetryAfter. The request was never started.
  Refuse,
};

/// What the caller must do with a request.
struct Action
{
  ActionKind mKind = ActionKind::Start;
  Request mRequest;
  Common::Refusal mReason = Common::Refusal::None;
  /// How long the sender must wait before it tries again; only for Refuse.
  Duration mRetryAfter{ 0 };
};

/// In the order in which they were decided.
using Actions = std::vector<Action>;

/// How a running request ended.
struct Completion
{
  /// True if the connection stays open for the next request.
  bool mKeepConnection = false;
  /// False if the run time does not reflect the endpoint's latency, as after a failed connect. Such
  /// a time is left out of the estimates.
  bool mLatencyValid = true;
};

/// Creates a gate without requests.
Gate
MakeGate(GateLimits aLimits, Timestamp aNow);

/// Starts, queues or refuses a new request. If the queue is full, a waiting request of a longer
/// flow may be refused in its place. Precondition: no waiting or running request has the same id.
Actions
Offer(Gate& aGate, WorkerLedger& aLedger, Request aRequest, Timestamp aNow);

/// Frees the slot and connection of a running request and starts waiting ones. An unknown id is
/// ignored. Call it only when the endpoint no longer works on the request, not when the request's
/// deadline passes: an endpoint that is still working would get more requests than it has slots.
Actions
Release(Gate& aGate,
        WorkerLedger& aLedger,
        const Common::RequestId& aId,
        const Completion& aCompletion,
        Timestamp aNow);

/// Refuses waiting requests that can no longer meet their deadline and starts as many others as the
/// limits allow. Call it every few milliseconds while requests wait, and after a task has released
/// resources.
Actions
Poll(Gate& aGate, WorkerLedger& aLedger, Timestamp aNow);

/// Removes a waiting request, for example because its caller disconnected. Returns false if no such
/// request waits.
bool
CancelQueued(Gate& aGate, const Common::RequestId& aId);

/// Updates the adaptive limit if a measurement window has ended. Release and Poll call it.
void
AdjustLimit(Gate& aGate, Timestamp aNow);

/// Changes the hard limits. Running requests keep their slots; no request starts while they exceed
/// the new limits.
Actions
SetLimits(Gate& aGate, WorkerLedger& aLedger, GateLimits aLimits, Timestamp aNow);

/// Sets the slots and connections in use by requests that are not running in this gate. Negative
/// values count as 0.
void
SetForeignUse(Gate& aGate, Common::Slots aSlots, Common::Connections aConnections);

/// Updates the foreign use from the number of requests that the endpoint reports in progress: the
/// excess over the gate's own requests is foreign, and each foreign request holds one slot and one
/// connection.
void
ReconcileInProgress(Gate& aGate, Common::Slots aInProgress);

/// Number of idle connections to close because the limit was lowered or foreign use rose. No
/// request starts until they are closed.
Common::Connections
ExcessIdleConnections(const Gate& aGate);

/// Records that an idle connection was closed.
void
CloseIdleConnection(Gate& aGate);

/// Refuses all waiting and new requests with Refusal::Leaving; running ones finish.
Actions
StartDrain(Gate& aGate, Timestamp aNow);

/// Accepts new requests again after a cancelled drain.
void
StopDrain(Gate& aGate);

/// True if the gate is draining and none of its requests is running.
bool
IsDrained(const Gate& aGate);

/// Slots held by running requests and by foreign use.
std::int64_t
SlotsInUse(const Gate& aGate);

/// The slot limit in force: the lower of the adaptive and the hard limit.
std::int64_t
SlotLimit(const Gate& aGate);

/// Connections held by running requests, by foreign use and idle.
std::int64_t
ConnectionsInUse(const Gate& aGate);

/// Number of waiting requests in all urgency classes.
std::size_t
QueuedCount(const Gate& aGate);

/// Expected time until aRequest would start if it were offered now.
Duration
PredictWait(const Gate& aGate, const Request& aRequest, Timestamp aNow);

} // namespace Admission
