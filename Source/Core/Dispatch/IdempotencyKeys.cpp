#include "Dispatch/IdempotencyKeys.h"

#include <algorithm>
#include <charconv>

#include "Common/Hash.h"

namespace Dispatch {

namespace {

using std::chrono::duration_cast;

constexpr UnixMillis kMaxCallerClockSkew = std::chrono::seconds(5);
constexpr UnixMillis kMaxOwnerClockError = std::chrono::seconds(1);
// A settlement may arrive this long after the deadline of its submission. The entry repeats it for
// the same time, see DispatchRules::mFollowAfterDeadline.
constexpr Duration kSettleGrace = std::chrono::seconds(30);
constexpr Duration kInProgressRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kRegistryFullRetryAfter = std::chrono::seconds(5);

/// An element of IdempotencyKeyRegistry::mEntries, to whose key mExpirations points.
using StoredEntry = std::pair<const IdempotencyKeyRegistry::ClientKey, KeyRegistryEntry>;

Duration
RetentionWithMargin(const IdempotencyKeyRegistry& aRegistry)
{
  // A key time may lie in the future by the caller's clock skew, so it stays in range for that much
  // longer than the retention. The key must not be removed before its key time is out of range;
  // otherwise a repeated claim could be granted.
  return aRegistry.mLimits.mRetention + kMaxCallerClockSkew + kMaxOwnerClockError;
}

void
SetExpiry(IdempotencyKeyRegistry& aRegistry, StoredEntry& aStored, Timestamp aExpiresAt)
{
  aRegistry.mExpirations.erase({ aStored.second.mExpiresAt, &aStored.first });
  aStored.second.mExpiresAt = aExpiresAt;
  aRegistry.mExpirations.emplace(aExpiresAt, &aStored.first);
}

void
DropReply(IdempotencyKeyRegistry& aRegistry, KeyRegistryEntry& aEntry)
{
  if (aEntry.mReply) {
    aRegistry.mReplyBytes -= Common::Bytes(static_cast<std::int64_t>(aEntry.mReply->size()));
    aEntry.mReply.reset();
  }
}

void
KeepReply(IdempotencyKeyRegistry& aRegistry,
          StoredEntry& aStored,
          std::shared_ptr<const std::string> aReply)
{
  const Common::Bytes size(aReply ? static_cast<std::int64_t>(aReply->size()) : 0);
  if (!aReply || size > aRegistry.mLimits.mMaxReply || size > aRegistry.mLimits.mMaxReplies) {
    return;
  }
  aStored.second.mReply = std::move(aReply);
  aRegistry.mReplyBytes += size;
  aRegistry.mReplyOrder.push_back(aStored.first);
  while (aRegistry.mReplyBytes > aRegistry.mLimits.mMaxReplies) {
    const auto oldest = aRegistry.mEntries.find(aRegistry.mReplyOrder.front());
    aRegistry.mReplyOrder.pop_front();
    if (oldest != aRegistry.mEntries.end()) {
      DropReply(aRegistry, oldest->second);
    }
  }
}

/// State for a claim of a key that is not in the registry: Granted, or Unknown if an earlier owner
/// may have granted it.
KeyState
StateForNewKey(const IdempotencyKeyRegistry& aRegistry, const KeyClaim& aClaim, UnixMillis aUnixNow)
{
  if (!aRegistry.mTakeoverUnixTime) {
    return KeyState::Granted;
  }
  if (aClaim.mKeyTime) {
    const bool afterTakeover =
      *aClaim.mKeyTime > *aRegistry.mTakeoverUnixTime + kMaxCallerClockSkew + kMaxOwnerClockError;
    return afterTakeover ? KeyState::Granted : KeyState::Unknown;
  }
  const bool retentionElapsed =
    aUnixNow >=
    *aRegistry.mTakeoverUnixTime + duration_cast<UnixMillis>(aRegistry.mLimits.mRetention);
  return retentionElapsed ? KeyState::Granted : KeyState::Unknown;
}

KeyClaimResult
Grant(IdempotencyKeyRegistry& aRegistry,
      StoredEntry& aStored,
      const KeyClaim& aClaim,
      Timestamp aNow)
{
  KeyRegistryEntry& entry = aStored.second;
  entry.mState = KeyState::InProgress;
  entry.mHolder = aClaim.mRequest;
  entry.mFingerprint = Common::HashBytes(aClaim.mFingerprint);
  entry.mReleased = false;
  SetExpiry(aRegistry, aStored, aNow + aClaim.mRemaining + kSettleGrace);
  return { KeyState::Granted, Common::Refusal::None, nullptr, Duration(0) };
}

KeyClaimResult
ClaimKnownKey(IdempotencyKeyRegistry& aRegistry,
              StoredEntry& aStored,
              const KeyClaim& aClaim,
              Timestamp aNow)
{
  const KeyRegistryEntry& entry = aStored.second;
  if (entry.mFingerprint != Common::HashBytes(aClaim.mFingerprint)) {
    return { KeyState::Refused, Common::Refusal::Invalid, nullptr, Duration(0) };
  }
  if (entry.mReleased) {
    // A delayed claim of the submission that released the key must not be granted.
    return entry.mHolder == aClaim.mRequest ? KeyClaimResult{ KeyState::Refused,
                                                              Common::Refusal::NoCapacity,
                                                              nullptr,
                                                              kInProgressRetryAfter }
                                            : Grant(aRegistry, aStored, aClaim, aNow);
  }
  if (entry.mState == KeyState::InProgress) {
    return entry.mHolder == aClaim.mRequest
             ? KeyClaimResult{ KeyState::Granted, Common::Refusal::None, nullptr, Duration(0) }
             : KeyClaimResult{
                 KeyState::InProgress, Common::Refusal::None, nullptr, kInProgressRetryAfter
               };
  }
  return { entry.mState, Common::Refusal::None, entry.mReply, Duration(0) };
}

} // namespace

KeyClaimResult
ClaimKey(IdempotencyKeyRegistry& aRegistry,
         const KeyClaim& aClaim,
         const OwnerAuthority& aAuthority,
         Timestamp aNow,
         UnixMillis aUnixNow)
{
  if (!aAuthority.mMayAnswer) {
    return { KeyState::Refused, Common::Refusal::NotOwner, nullptr, aAuthority.mRetryAfter };
  }
  if (aClaim.mKeyTime &&
      !IsKeyTimeInRange(*aClaim.mKeyTime, aUnixNow, aRegistry.mLimits.mRetention)) {
    return { KeyState::Refused, Common::Refusal::Invalid, nullptr, Duration(0) };
  }
  SweepKeys(aRegistry, aNow);
  const IdempotencyKeyRegistry::ClientKey key(aClaim.mClient, aClaim.mKey);
  const auto known = aRegistry.mEntries.find(key);
  if (known != aRegistry.mEntries.end()) {
    return ClaimKnownKey(aRegistry, *known, aClaim, aNow);
  }
  if (StateForNewKey(aRegistry, aClaim, aUnixNow) == KeyState::Unknown) {
    return { KeyState::Unknown, Common::Refusal::None, nullptr, Duration(0) };
  }
  // Keys within their retention are never evicted: their requests could run twice.
  if (aRegistry.mEntries.size() >= aRegistry.mLimits.mMaxKeys) {
    return { KeyState::Refused, Common::Refusal::Throttled, nullptr, kRegistryFullRetryAfter };
  }
  return Grant(aRegistry, *aRegistry.mEntries.try_emplace(key).first, aClaim, aNow);
}

bool
SettleKey(IdempotencyKeyRegistry& aRegistry,
          const IdempotencyKeyRegistry::ClientKey& aKey,
          const Common::RequestId& aRequest,
          Common::Outcome aOutcome,
          std::shared_ptr<const std::string> aReply,
          Timestamp aNow)
{
  const auto found = aRegistry.mEntries.find(aKey);
  if (found == aRegistry.mEntries.end() || found->second.mHolder != aRequest) {
    return false;
  }
  KeyRegistryEntry& entry = found->second;
  const bool open = entry.mState == KeyState::InProgress || entry.mState == KeyState::Unknown;
  if (!open || entry.mReleased) {
    return true;
  }
  switch (aOutcome) {
    case Common::Outcome::Ran:
      entry.mState = KeyState::Finished;
      KeepReply(aRegistry, *found, std::move(aReply));
      break;
    case Common::Outcome::NotRun:
      entry.mState = KeyState::InProgress;
      entry.mReleased = true;
      break;
    case Common::Outcome::Unknown:
      entry.mState = KeyState::Unknown;
      break;
  }
  SetExpiry(aRegistry, *found, aNow + RetentionWithMargin(aRegistry));
  return true;
}

void
SweepKeys(IdempotencyKeyRegistry& aRegistry, Timestamp aNow)
{
  while (!aRegistry.mExpirations.empty() && aRegistry.mExpirations.begin()->first < aNow) {
    const auto found = aRegistry.mEntries.find(*aRegistry.mExpirations.begin()->second);
    KeyRegistryEntry& entry = found->second;
    if (entry.mState == KeyState::InProgress && !entry.mReleased) {
      entry.mState = KeyState::Unknown;
      SetExpiry(aRegistry, *found, aNow + RetentionWithMargin(aRegistry));
      continue;
    }
    aRegistry.mExpirations.erase(aRegistry.mExpirations.begin());
    DropReply(aRegistry, entry);
    aRegistry.mEntries.erase(found);
  }
  const auto holdsReply = [&](const IdempotencyKeyRegistry::ClientKey& aKey) {
    const auto found = aRegistry.mEntries.find(aKey);
    return found != aRegistry.mEntries.end() && found->second.mReply;
  };
  while (!aRegistry.mReplyOrder.empty() && !holdsReply(aRegistry.mReplyOrder.front())) {
    aRegistry.mReplyOrder.pop_front();
  }
}

std::optional<UnixMillis>
ParseUuidV7Time(std::string_view aKey)
{
  constexpr std::size_t kLength = 36;
  constexpr std::size_t kVersionAt = 14;
  constexpr std::size_t kVariantAt = 19;
  if (aKey.size() != kLength || aKey[kVersionAt] != '7' ||
      std::string_view("89abAB").find(aKey[kVariantAt]) == std::string_view::npos) {
    return std::nullopt;
  }
  std::string digits;
  for (std::size_t i = 0; i < kLength; ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const bool digit =
      std::string_view("0123456789abcdefABCDEF").find(aKey[i]) != std::string_view::npos;
    if (dash ? aKey[i] != '-' : !digit) {
      return std::nullopt;
    }
    if (!dash) {
      digits += aKey[i];
    }
  }
  constexpr std::size_t kTimeDigits = 12;
  constexpr int kHexadecimal = 16;
  std::int64_t millis = 0;
  std::from_chars(digits.data(), digits.data() + kTimeDigits, millis, kHexadecimal);
  return UnixMillis(millis);
}

std::optional<UnixMillis>
KeyTime(std::optional<UnixMillis> aHeader, const Common::IdempotencyKey& aKey)
{
  return aHeader ? aHeader : ParseUuidV7Time(aKey.str());
}

bool
IsKeyTimeInRange(UnixMillis aKeyTime, UnixMillis aUnixNow, Duration aRetention)
{
  return aKeyTime <= aUnixNow + kMaxCallerClockSkew &&
         aKeyTime >= aUnixNow - duration_cast<UnixMillis>(aRetention);
}

} // namespace Dispatch
