#include "Daemon/RequestRun.h"

#include <algorithm>

#include "Common/Hash.h"
#include "Daemon/Convert.h"

namespace Daemon {

namespace Wire = Rpc::Generated;

namespace {

// An agent answers at its deadline; the entry waits this much longer for the answer to arrive.
constexpr std::chrono::milliseconds kAnswerSlack{ 50 };
constexpr std::chrono::milliseconds kAskTimeout{ 500 };

Dispatch::CallResult
Failed(const Rpc::CallError& aError)
{
  Dispatch::CallResult result;
  result.mDelivery =
    aError.mMayHaveBeenDelivered ? Dispatch::Delivery::Lost : Dispatch::Delivery::NotDelivered;
  return result;
}

bool
IsForwarded(const Http::Header& aHeader)
{
  // The agent writes its own traceparent. Without Accept-Encoding the body stays as the endpoint
  // wrote it.
  return !Http::IsHopHeader(aHeader.mName) && !Http::SameName(aHeader.mName, "traceparent") &&
         !Http::SameName(aHeader.mName, "Accept-Encoding");
}

Dispatch::KeyClaimResult
FromWire(const Wire::ClaimKeyReply& aReply)
{
  Dispatch::KeyClaimResult answer;
  answer.mState = static_cast<Dispatch::KeyState>(aReply.state);
  answer.mReason = Daemon::FromWire(aReply.reason);
  answer.mRetryAfter = Common::Duration(aReply.retryAfterMicros);
  return answer;
}

} // namespace

RequestRun::RequestRun(EntryDispatch& aOwner, CallerRequest aRequest, std::uint64_t aSequence)
  : mOwner(aOwner)
  , mRuntime(aOwner.mRuntime)
  , mRequest(std::move(aRequest))
  , mShard(aOwner.mPools.shard(mRequest.mRoute->mPool))
  , mHere{ mRuntime.mSettings.mInstance.mDataCentre, mRuntime.mSettings.mInstance.mRegion }
  , mWakeAt(mRequest.mDeadline)
{
  const Tables::Route& route = *mRequest.mRoute;
  Dispatch::RequestSpec& spec = mState.mSpec;
  spec.mName = { mRuntime.self(), mRuntime.mIncarnation, aSequence, 1 };
  spec.mIdempotent = route.mIdempotent;
  spec.mMayHedge = route.mHedge && route.mIdempotent;
  spec.mClaimsKey = !route.mIdempotent && mRequest.mKey.has_value();
  spec.mDeadline = mRequest.mDeadline;
  if (spec.mMayHedge) {
    // Twice the usual time of an answer; requests within it are not sent a second time.
    mRules.mHedgeDelay = std::max<Common::Duration>(std::chrono::milliseconds(20),
                                                    (mRequest.mDeadline - mRequest.mArrived) / 4);
  }
  mAsked.mId = Dispatch::SubmissionId(spec);
  mAsked.mRoute = route.mName;
  mAsked.mUrgency = route.mUrgency;
  mAsked.mClient = mRequest.mClient;
  mAsked.mDeadline = mRequest.mDeadline;
  const Tables::TableSet& tables = mRequest.mTables->mTables;
  if (const Tables::Client* client = Tables::FindClient(tables, mRequest.mClient)) {
    mAsked.mClientWeight = client->mWeight;
    mAsked.mTeam = client->mTeam;
    const Tables::Team* team = Tables::FindTeam(tables, client->mTeam);
    mAsked.mTeamWeight = team == nullptr ? 1 : team->mWeight;
  }
}

std::optional<CallerAnswer>
RequestRun::enter()
{
  const Admitted admitted = mShard->mGates.enter(kEntryGate, mAsked);
  if (admitted.mStarted) {
    return std::nullopt;
  }
  CallerAnswer refused;
  refused.mReason = admitted.mReason;
  refused.mRetryAfter = admitted.mRetryAfter;
  return refused;
}

void
RequestRun::leave()
{
  if (!mLeft) {
    mLeft = true;
    mShard->mGates.leave(
      kEntryGate, mAsked.mId, { false, mAnswer.mOutcome == Common::Outcome::Ran });
  }
}

CallerAnswer
RequestRun::untilAnswered()
{
  step(Dispatch::RequestArrived{});
  drive(mAnswered);
  return std::move(mAnswer);
}

void
RequestRun::untilClosed()
{
  drive(mClosed);
}

void
RequestRun::push(Dispatch::RequestEvent aEvent)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mEvents.push_back(std::move(aEvent));
  mArrived.notify_one();
}

void
RequestRun::drive(const bool& aUntil)
{
  while (!aUntil && !mClosed) {
    std::optional<Dispatch::RequestEvent> event;
    {
      std::unique_lock<std::mutex> lock(mMutex);
      while (mEvents.empty() && mRuntime.mClock.waitUntil(lock, mArrived, mWakeAt)) {
      }
      if (!mEvents.empty()) {
        event = std::move(mEvents.front());
        mEvents.pop_front();
      }
    }
    step(event.value_or(Dispatch::Tick{}));
  }
}

void
RequestRun::step(const Dispatch::RequestEvent& aEvent)
{
  Dispatch::RequestActions actions;
  {
    const std::lock_guard<std::mutex> lock(mShard->mMutex);
    Dispatch::DispatchContext context{
      mShard->mView, mShard->mBudgets[mRequest.mRoute->mName], mHere, mRules
    };
    actions =
      Dispatch::StepRequest(mState, aEvent, context, mRuntime.mClock.now(), mRuntime.random());
  }
  // The answer goes first, so that a call that blocks does not hold it up.
  std::stable_partition(actions.begin(), actions.end(), [](const Dispatch::RequestAction& aEach) {
    return aEach.mKind == Dispatch::RequestActionKind::Answer ||
           aEach.mKind == Dispatch::RequestActionKind::WakeAt ||
           aEach.mKind == Dispatch::RequestActionKind::Close;
  });
  for (const Dispatch::RequestAction& action : actions) {
    perform(action);
  }
}

void
RequestRun::perform(const Dispatch::RequestAction& aAction)
{
  using Kind = Dispatch::RequestActionKind;
  switch (aAction.mKind) {
    case Kind::Claim:
      claim(aAction);
      break;
    case Kind::Send:
      if (!mState.mSpec.mMayHedge ||
          !mOwner.mFollowers.run([self = shared_from_this(), aAction] { self->send(aAction); })) {
        send(aAction);
      }
      break;
    case Kind::Query:
      query(aAction);
      break;
    case Kind::Answer:
      answer(aAction);
      break;
    case Kind::Settle:
      // The caller does not wait for the settlement.
      if (!mOwner.mFollowers.run([self = shared_from_this(), aAction] { self->settle(aAction); })) {
        settle(aAction);
      }
      break;
    case Kind::WakeAt:
      mWakeAt = aAction.mWakeTime;
      break;
    case Kind::Close:
      mClosed = true;
      break;
  }
}

Wire::ExecuteRequest
RequestRun::messageFor(const Dispatch::RequestAction& aAction) const
{
  Wire::ExecuteRequest message;
  message.requestId = aAction.mId.str();
  message.targetIncarnation = aAction.mAgent.mIncarnation.value();
  message.route = mRequest.mRoute->mName.str();
  message.revision = mRequest.mTables->mDigest.mRevision.value();
  message.client = mRequest.mClient.str();
  message.remainingMicros = aAction.mRemaining.count();
  message.method = mRequest.mHttp.mMethod;
  message.path = mRequest.mHttp.mTarget;
  message.body = mRequest.mHttp.mBody;
  message.headers.reserve(mRequest.mHttp.mHeaders.size());
  for (const Http::Header& header : mRequest.mHttp.mHeaders) {
    if (IsForwarded(header)) {
      Wire::Header each;
      each.name = header.mName;
      each.value = header.mValue;
      message.headers.push_back(std::move(each));
    }
  }
  message.origin = mRuntime.self().str();
  return message;
}

void
RequestRun::noteReply(const Dispatch::RequestAction& aAction, const Wire::ExecuteReply& aReply)
{
  if (aReply.incarnation != aAction.mAgent.mIncarnation.value()) {
    return;
  }
  const Wire::LoadReport& load = aReply.load;
  const std::lock_guard<std::mutex> lock(mShard->mMutex);
  Dispatch::ApplyLoad(mShard->mView,
                      aAction.mAgent.mInstance,
                      aAction.mAgent.mIncarnation,
                      load.slotsLimit,
                      load.slotsInUse,
                      load.queued,
                      Common::Duration(load.latencyP50Micros),
                      load.leaving,
                      mRuntime.mClock.now());
}

void
RequestRun::send(const Dispatch::RequestAction& aAction)
{
  auto span = mRuntime.mTracer.start("entry.execute", mRequest.mTrace);
  span->SetTag("agent", aAction.mAgent.mInstance.str());
  Wire::ExecuteRequest message = messageFor(aAction);
  message.trace = ToWire(Observability::ContextOf(*span));
  auto reply =
    mRuntime.mRequests.execute(aAction.mAgent.mAddress, message, aAction.mRemaining + kAnswerSlack);
  Dispatch::CallResult result;
  if (reply) {
    result = ResultOf(*reply);
    noteReply(aAction, *reply);
    const std::lock_guard<std::mutex> lock(mMutex);
    mReplies[aAction.mId] = std::move(*reply);
  } else {
    span->SetTag("error", reply.error().mText);
    result = Failed(reply.error());
  }
  push(Dispatch::ExecuteReply{ aAction.mId, result });
}

void
RequestRun::query(const Dispatch::RequestAction& aAction)
{
  auto reply = mRuntime.mControl.queryOutcome(
    aAction.mAgent.mAddress, aAction.mId.str(), aAction.mAgent.mIncarnation.value(), kAskTimeout);
  Dispatch::CallResult result;
  if (reply) {
    result = ResultOf(*reply);
    const std::lock_guard<std::mutex> lock(mMutex);
    mReplies[aAction.mId] = std::move(*reply);
  } else {
    result = Failed(reply.error());
  }
  push(Dispatch::QueryReply{ aAction.mId, result });
}

std::optional<std::string>
RequestRun::ownerAddress() const
{
  const auto cell = mOwner.mCells.find(mOwner.homeCell(*mRequest.mTables, mRequest.mClient));
  return cell ? std::optional(cell->ownerAddress) : std::nullopt;
}

void
RequestRun::claim(const Dispatch::RequestAction& aAction)
{
  Dispatch::ClaimReply event;
  event.mDelivery = Dispatch::Delivery::NotDelivered;
  const auto owner = ownerAddress();
  if (owner) {
    Wire::ClaimKeyRequest request;
    request.client = mRequest.mClient.str();
    request.key = mRequest.mKey->str();
    request.keyTimeUnixMillis = mRequest.mKeyTime ? mRequest.mKeyTime->count() : 0;
    request.requestId = aAction.mId.str();
    request.fingerprint = Common::HashText(Common::HashBytes(
      mRequest.mHttp.mMethod + '\n' + mRequest.mHttp.mTarget + '\n' + mRequest.mHttp.mBody));
    request.remainingMicros = aAction.mRemaining.count();
    request.trace = ToWire(mRequest.mTrace);
    const auto reply = mRuntime.mControl.claimKey(
      *owner, request, std::min<Common::Duration>(aAction.mRemaining, kAskTimeout));
    if (reply) {
      event.mDelivery = Dispatch::Delivery::Answered;
      event.mResult = FromWire(*reply);
      mKeyEpoch = reply->epoch;
      if (reply->__isset.stored) {
        mStored = reply->stored;
      }
    }
  }
  push(event);
}

void
RequestRun::settle(const Dispatch::RequestAction& aAction)
{
  Dispatch::SettleReply event;
  event.mOutcome = aAction.mOutcome;
  const auto owner = ownerAddress();
  if (owner) {
    Wire::SettleKeyRequest request;
    request.client = mRequest.mClient.str();
    request.key = mRequest.mKey->str();
    request.requestId = mAsked.mId.str();
    request.epoch = mKeyEpoch;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      const auto found = mReplies.find(aAction.mId);
      if (found != mReplies.end()) {
        request.result = found->second;
      }
    }
    request.result.outcome = ToWire(aAction.mOutcome);
    event.mAcknowledged = mRuntime.mControl.settleKey(*owner, request, kAskTimeout).has_value();
  }
  push(event);
}

void
RequestRun::answer(const Dispatch::RequestAction& aAction)
{
  mAnswered = true;
  mAnswer.mOutcome = aAction.mOutcome;
  mAnswer.mReason = aAction.mReason;
  mAnswer.mRetryAfter = aAction.mRemaining;
  if (aAction.mOutcome != Common::Outcome::Ran) {
    return;
  }
  if (aAction.mId.empty()) {
    mAnswer.mReply = mStored;
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mReplies.find(aAction.mId);
  if (found != mReplies.end()) {
    mAnswer.mReply = found->second;
  }
}

} // namespace Daemon
