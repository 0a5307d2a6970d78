#include "Daemon/AgentRequests.h"

#include <algorithm>

#include "Daemon/Convert.h"

namespace Daemon {

namespace Wire = Rpc::Generated;

namespace {

// An endpoint may work on a request after its deadline. Its slot stays taken until it answers or
// its connection ends; after this time past the deadline it is taken for dead.
constexpr std::chrono::seconds kMostOverrun{ 60 };
// Calls to endpoints at one time, over all endpoints of the agent. Slots are the usual limit.
constexpr std::size_t kMostEndpointCalls = 512;
// Calls that wait for a thread that is just being made.
constexpr std::size_t kMostWaitingCalls = 64;

/// Counts a call in progress for as long as it exists.
class InProgress
{
public:
  explicit InProgress(std::atomic<std::int64_t>& aCount)
    : mCount(aCount)
  {
    ++mCount;
  }
  ~InProgress() { --mCount; }
  InProgress(const InProgress&) = delete;
  InProgress& operator=(const InProgress&) = delete;

private:
  std::atomic<std::int64_t>& mCount;
};

Http::Request
ForwardedRequest(const Wire::ExecuteRequest& aRequest, const Observability::TraceContext& aTrace)
{
  Http::Request request;
  request.mMethod = aRequest.method;
  request.mTarget = aRequest.path;
  request.mBody = aRequest.body;
  request.mHeaders.reserve(aRequest.headers.size() + 1);
  for (const Wire::Header& header : aRequest.headers) {
    request.mHeaders.push_back({ header.name, header.value });
  }
  request.mHeaders.push_back({ "traceparent", Observability::FormatTraceParent(aTrace) });
  return request;
}

Wire::ExecuteReply
RanReply(Http::Response aResponse)
{
  Wire::ExecuteReply reply;
  reply.outcome = Wire::Outcome::Ran;
  reply.status = aResponse.mStatus;
  reply.body = std::move(aResponse.mBody);
  for (Http::Header& header : aResponse.mHeaders) {
    if (!Http::IsHopHeader(header.mName)) {
      Wire::Header each;
      each.name = std::move(header.mName);
      each.value = std::move(header.mValue);
      reply.headers.push_back(std::move(each));
    }
  }
  return reply;
}

Admission::DeduplicationLimits
WindowLimitsOf(const Config::Settings& aSettings)
{
  Admission::DeduplicationLimits limits;
  limits.mRetention = aSettings.mTimes.mOutcomeRetention;
  return limits;
}

} // namespace

/// A request at an endpoint. The thread of the caller and the one of the call share it, since the
/// call may outlast the caller's deadline.
struct AgentRequests::EndpointCall
{
  Http::Request mRequest;
  std::string mEndpoint;
  std::string mAddress;
  Common::RequestId mId;
  Common::Timestamp mDeadline;
  Metering::UsageKey mUse;
  std::unique_ptr<opentracing::Span> mSpan;
  std::mutex mMutex;
  std::condition_variable mEnded;
  std::optional<Wire::ExecuteReply> mReply;
};

AgentRequests::AgentRequests(Runtime& aRuntime)
  : mRuntime(aRuntime)
  , mGates(aRuntime.mClock)
  , mServiceTime(aRuntime.mCounters.distribution("endpoint_us"))
  , mEndpointCalls(kMostEndpointCalls, kMostWaitingCalls)
{
  mWindow.mLimits = WindowLimitsOf(aRuntime.mSettings);
}

AgentRequests::~AgentRequests()
{
  mRuntime.mHttp.cancel();
  mEndpointCalls.stop();
}

void
AgentRequests::drain(bool aOn)
{
  mDraining = aOn;
  const std::lock_guard<std::mutex> lock(mEndpointsMutex);
  for (const auto& [name, endpoint] : mEndpoints) {
    mGates.drain(name, aOn || endpoint.mAnnounced.mLeaving);
  }
}

bool
AgentRequests::idle() const
{
  return mInProgress.load() == 0;
}

bool
AgentRequests::chooseEndpoint(const Common::PoolId& aPool, Call& aCall) const
{
  double least = 0;
  const std::lock_guard<std::mutex> lock(mEndpointsMutex);
  for (const auto& [name, endpoint] : mEndpoints) {
    const Http::Announcement& announced = endpoint.mAnnounced;
    if (announced.mPool != aPool.str() || announced.mLeaving) {
      continue;
    }
    double load = 0;
    mGates.withGate(name, [&](const Admission::Gate& aGate) {
      const auto busy =
        Admission::SlotsInUse(aGate) + static_cast<std::int64_t>(QueuedCount(aGate));
      load = static_cast<double>(busy) /
             static_cast<double>(std::max<std::int64_t>(Admission::SlotLimit(aGate), 1));
    });
    if (aCall.mEndpoint.empty() || load < least) {
      least = load;
      aCall.mEndpoint = name;
      aCall.mAddress = announced.mAddress;
    }
  }
  return !aCall.mEndpoint.empty();
}

void
AgentRequests::stamp(Wire::ExecuteReply& aReply) const
{
  aReply.incarnation = mRuntime.mIncarnation.value();
  aReply.load = load();
}

Wire::ExecuteReply
AgentRequests::fromWindow(const Admission::DeduplicationResult& aAnswer) const
{
  using State = Admission::DeduplicationState;
  Wire::ExecuteReply reply;
  reply.outcome = Wire::Outcome::Unknown;
  switch (aAnswer.mState) {
    case State::InProgress:
      reply.inProgress = true;
      break;
    case State::Finished:
      if (aAnswer.mOutcome.mReply) {
        reply = DecodeReply(*aAnswer.mOutcome.mReply);
      } else if (aAnswer.mOutcome.mOutcome == Common::Outcome::NotRun) {
        reply = RefusedReply(aAnswer.mOutcome.mReason, "refused before");
      } else {
        // It ran, but its answer is no longer kept, so the caller cannot be given one.
        reply.detail = "the answer is no longer kept";
      }
      break;
    case State::Full:
      reply = RefusedReply(Common::Refusal::NoCapacity, "too many requests in progress");
      break;
    case State::Malformed:
      reply = RefusedReply(Common::Refusal::Invalid, "not a request id");
      break;
    case State::New:
    case State::Evicted:
      break;
  }
  return reply;
}

void
AgentRequests::finish(const Common::RequestId& aId, const Wire::ExecuteReply& aReply)
{
  Admission::StoredOutcome outcome;
  outcome.mOutcome = FromWire(aReply.outcome);
  outcome.mReason = FromWire(aReply.reason);
  if (outcome.mOutcome == Common::Outcome::Ran) {
    outcome.mReply = std::make_shared<const std::string>(EncodeReply(aReply));
  }
  const std::lock_guard<std::mutex> lock(mWindowMutex);
  Admission::FinishRequest(mWindow, aId, std::move(outcome), mRuntime.mClock.now());
}

Wire::ExecuteReply
AgentRequests::execute(const Wire::ExecuteRequest& aRequest)
{
  const InProgress counted(mInProgress);
  Wire::ExecuteReply reply;
  if (aRequest.targetIncarnation != mRuntime.mIncarnation.value()) {
    reply = RefusedReply(Common::Refusal::WrongIncarnation, "meant for another incarnation");
    stamp(reply);
    return reply;
  }
  const Common::RequestId id(aRequest.requestId);
  Admission::DeduplicationResult seen;
  {
    const std::lock_guard<std::mutex> lock(mWindowMutex);
    seen = Admission::BeginRequest(mWindow, id, mRuntime.mClock.now());
  }
  if (seen.mState != Admission::DeduplicationState::New) {
    reply = fromWindow(seen);
  } else {
    reply = admitAndRun(aRequest);
    finish(id, reply);
  }
  stamp(reply);
  return reply;
}

Wire::ExecuteReply
AgentRequests::admitAndRun(const Wire::ExecuteRequest& aRequest)
{
  const auto tables = mRuntime.mTables.current();
  if (mDraining) {
    return RefusedReply(Common::Refusal::Leaving, "the agent is leaving");
  }
  if (!tables) {
    return RefusedReply(Common::Refusal::NoTables, "the agent has no tables yet");
  }
  Call call{ aRequest, nullptr, {}, {}, {} };
  call.mRoute = Tables::FindRoute(tables->mTables, tables->mIndex, Common::RouteId(aRequest.route));
  if (call.mRoute == nullptr) {
    return RefusedReply(Common::Refusal::UnknownRoute, "no route \"" + aRequest.route + '"');
  }
  if (!chooseEndpoint(call.mRoute->mPool, call)) {
    return RefusedReply(Common::Refusal::NoCapacity, "no endpoint of the pool is here");
  }
  Admission::Request& asked = call.mAsked;
  asked.mId = Common::RequestId(aRequest.requestId);
  asked.mRoute = call.mRoute->mName;
  asked.mUrgency = call.mRoute->mUrgency;
  asked.mClient = Common::ClientId(aRequest.client);
  asked.mDeadline = mRuntime.mClock.now() + Common::Duration(aRequest.remainingMicros);
  if (const auto* client = Tables::FindClient(tables->mTables, asked.mClient)) {
    asked.mClientWeight = client->mWeight;
    asked.mTeam = client->mTeam;
    const auto* team = Tables::FindTeam(tables->mTables, client->mTeam);
    asked.mTeamWeight = team == nullptr ? 1 : team->mWeight;
  }
  const Admitted admitted = mGates.enter(call.mEndpoint, asked);
  if (!admitted.mStarted) {
    return RefusedReply(admitted.mReason, TextOf(admitted.mReason), admitted.mRetryAfter);
  }
  return runAtEndpoint(call);
}

Wire::ExecuteReply
AgentRequests::runAtEndpoint(const Call& aCall)
{
  const auto call = std::make_shared<EndpointCall>();
  call->mSpan = mRuntime.mTracer.start("agent.execute", FromWire(aCall.mRequest.trace));
  call->mSpan->SetTag("route", aCall.mRequest.route);
  call->mSpan->SetTag("endpoint", aCall.mEndpoint);
  call->mRequest = ForwardedRequest(aCall.mRequest, Observability::ContextOf(*call->mSpan));
  call->mEndpoint = aCall.mEndpoint;
  call->mAddress = aCall.mAddress;
  call->mId = aCall.mAsked.mId;
  call->mDeadline = aCall.mAsked.mDeadline;
  call->mUse = {
    aCall.mAsked.mTeam, aCall.mAsked.mClient, aCall.mRoute->mName, aCall.mRoute->mPrice
  };
  if (!mEndpointCalls.run([this, call] { callEndpoint(*call); })) {
    mGates.leave(call->mEndpoint, call->mId, { false, false });
    return RefusedReply(Common::Refusal::NoCapacity, "too many calls to endpoints");
  }
  std::unique_lock<std::mutex> lock(call->mMutex);
  while (!call->mReply && mRuntime.mClock.now() < call->mDeadline) {
    mRuntime.mClock.waitUntil(lock, call->mEnded, call->mDeadline);
  }
  if (call->mReply) {
    return std::move(*call->mReply);
  }
  Wire::ExecuteReply reply;
  reply.outcome = Wire::Outcome::Unknown;
  reply.detail = "the endpoint has not answered by the deadline";
  return reply;
}

void
AgentRequests::callEndpoint(EndpointCall& aCall)
{
  const InProgress counted(mInProgress);
  const Common::Timestamp started = mRuntime.mClock.now();
  Http::ClientResult result =
    tl::unexpected(Http::ClientError{ false, true, "the deadline has passed" });
  if (started < aCall.mDeadline) {
    result =
      mRuntime.mHttp.send(aCall.mAddress, aCall.mRequest, aCall.mDeadline - started + kMostOverrun);
  }
  const Common::Duration taken = mRuntime.mClock.now() - started;
  mGates.leave(aCall.mEndpoint, aCall.mId, { false, result.has_value() });
  if (result || result.error().mMayHaveBeenDelivered) {
    mServiceTime.record(taken.count());
    recordUse(aCall.mUse, { 1, taken.count(), 0 });
  }
  Wire::ExecuteReply reply = answerOf(aCall, std::move(result));
  // Ends the span before the answer, so that who has the answer finds the span.
  aCall.mSpan.reset();
  const std::lock_guard<std::mutex> lock(aCall.mMutex);
  aCall.mReply = std::move(reply);
  aCall.mEnded.notify_all();
}

Wire::ExecuteReply
AgentRequests::answerOf(EndpointCall& aCall, Http::ClientResult aResult)
{
  if (aResult) {
    aCall.mSpan->SetTag("status", aResult->mStatus);
    return RanReply(std::move(*aResult));
  }
  aCall.mSpan->SetTag("error", aResult.error().mText);
  if (!aResult.error().mMayHaveBeenDelivered) {
    return RefusedReply(Common::Refusal::NoCapacity, aResult.error().mText);
  }
  Wire::ExecuteReply reply;
  reply.outcome = Wire::Outcome::Unknown;
  reply.detail = aResult.error().mText;
  return reply;
}

Wire::ExecuteReply
AgentRequests::queryOutcome(const std::string& aRequestId, std::int64_t aIncarnation)
{
  Wire::ExecuteReply reply;
  if (aIncarnation != mRuntime.mIncarnation.value()) {
    reply.outcome = Wire::Outcome::Unknown;
    reply.reason = Wire::RefusalReason::WrongIncarnation;
  } else {
    const std::lock_guard<std::mutex> lock(mWindowMutex);
    reply = fromWindow(
      Admission::QueryOutcome(mWindow, Common::RequestId(aRequestId), mRuntime.mClock.now()));
  }
  stamp(reply);
  return reply;
}

} // namespace Daemon
