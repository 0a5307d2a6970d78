#include "Daemon/OwnerKeys.h"

#include "Daemon/Convert.h"

namespace Daemon {

namespace Wire = Rpc::Generated;

OwnerKeys::OwnerKeys(Runtime& aRuntime, std::int64_t aEpoch)
  : mRuntime(aRuntime)
  , mEpoch(aEpoch)
{
  mRegistry.mLimits.mRetention = aRuntime.mSettings.mTimes.mKeyRetention;
  mRegistry.mLimits.mMaxReply = aRuntime.mSettings.mLimits.mStoredResponse;
  if (aRuntime.mSettings.mRole == Config::Role::Agent) {
    // Any agent may hold the duty, within its memory bound.
    mRegistry.mLimits.mMaxReplies = Common::Bytes(4 << 20);
    mRegistry.mLimits.mMaxKeys = 20'000;
  }
}

Wire::ClaimKeyReply
OwnerKeys::claim(const Wire::ClaimKeyRequest& aRequest,
                 bool aMayAnswer,
                 std::optional<Common::UnixMillis> aTakeover)
{
  Dispatch::KeyClaim claim;
  claim.mClient = Common::ClientId(aRequest.client);
  claim.mKey = Common::IdempotencyKey(aRequest.key);
  if (aRequest.keyTimeUnixMillis > 0) {
    claim.mKeyTime = Common::UnixMillis(aRequest.keyTimeUnixMillis);
  }
  claim.mRequest = Common::RequestId(aRequest.requestId);
  claim.mFingerprint = aRequest.fingerprint;
  claim.mRemaining = Common::Duration(aRequest.remainingMicros);
  Dispatch::OwnerAuthority standing;
  standing.mMayAnswer = aMayAnswer;
  Dispatch::KeyClaimResult answer;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mRegistry.mTakeoverUnixTime = aTakeover;
    answer = Dispatch::ClaimKey(
      mRegistry, claim, standing, mRuntime.mClock.now(), mRuntime.mClock.unixNow());
  }
  Wire::ClaimKeyReply reply;
  reply.state = static_cast<Wire::KeyState::type>(answer.mState);
  reply.reason = ToWire(answer.mReason);
  reply.retryAfterMicros = answer.mRetryAfter.count();
  reply.epoch = mEpoch;
  if (answer.mReply) {
    reply.__set_stored(DecodeReply(*answer.mReply));
  }
  return reply;
}

bool
OwnerKeys::settle(const Wire::SettleKeyRequest& aRequest)
{
  std::shared_ptr<const std::string> stored;
  if (aRequest.result.outcome == Wire::Outcome::Ran && aRequest.result.status != 0) {
    stored = std::make_shared<const std::string>(EncodeReply(aRequest.result));
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  return Dispatch::SettleKey(
    mRegistry,
    { Common::ClientId(aRequest.client), Common::IdempotencyKey(aRequest.key) },
    Common::RequestId(aRequest.requestId),
    FromWire(aRequest.result.outcome),
    std::move(stored),
    mRuntime.mClock.now());
}

void
OwnerKeys::sweep()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Dispatch::SweepKeys(mRegistry, mRuntime.mClock.now());
}

} // namespace Daemon
