#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Outcome.h"
#include "Common/Units.h"

namespace Dispatch {

using Common::Duration;
using Common::Timestamp;
using Common::UnixMillis;

/// State of an idempotency key. The values are those of the wire format.
enum class KeyState
{
  /// The claiming submission may run.
  Granted = 1,
  /// Another submission holds the key and has not settled it.
  InProgress = 2,
  /// The request ran; its reply may be stored.
  Finished = 3,
  /// The request may have run.
  Unknown = 4,
  /// The claim was refused; nothing may run under it.
  Refused = 5,
};

/// A request for the right to run under an idempotency key.
struct KeyClaim
{
  Common::ClientId mClient;
  Common::IdempotencyKey mKey;
  /// Time of the caller's first attempt, from its header or a UUIDv7 key.
  std::optional<UnixMillis> mKeyTime;
  /// The claiming submission. It may repeat its claim, for example after a lost reply.
  Common::RequestId mRequest;
  /// Hash of method, path and body. A reuse of the key for another request is refused.
  std::string mFingerprint;
  /// Time until the deadline of the submission. The key becomes Unknown if it is not settled within
  /// 30 s after the deadline.
  Duration mRemaining{ 0 };
};

/// State of the key after a claim, from the view of the claiming submission.
struct KeyClaimResult
{
  KeyState mState = KeyState::Refused;
  Common::Refusal mReason = Common::Refusal::None;
  /// Only for Finished; nullptr if the reply was too large to keep or was dropped to free memory.
  std::shared_ptr<const std::string> mReply;
  /// Time after which a refused or waiting claim may be repeated; 0 if none is suggested.
  Duration mRetryAfter{ 0 };
};

struct KeyRegistryLimits
{
  Duration mRetention{ std::chrono::minutes(10) };
  /// Keeps the registry below 20 MB, at about 470 bytes per key plus the kept replies. Over the
  /// default retention this allows 40 new keys per second and cell.
  std::size_t mMaxKeys = 24576;
  /// Replies larger than this are not kept.
  Common::Bytes mMaxReply{ 64 << 10 };
  /// Total size of the kept replies; the oldest are dropped first.
  Common::Bytes mMaxReplies{ 6 << 20 };
};

struct KeyRegistryEntry
{
  KeyState mState = KeyState::InProgress;
  /// The submission that was granted the key last.
  Common::RequestId mHolder;
  /// Hash of the fingerprint of the claim.
  std::uint64_t mFingerprint = 0;
  /// Reply of the request that ran, if it is kept.
  std::shared_ptr<const std::string> mReply;
  /// If InProgress and not released, the time at which the key becomes Unknown; otherwise the time
  /// at which it is removed.
  Timestamp mExpiresAt;
  /// The holder settled the key as `not-run`: another submission may claim it.
  bool mReleased = false;
};

/// Idempotency keys of the clients whose home is this cell. It is kept in memory by the cell owner;
/// every new owner starts with an empty registry.
struct IdempotencyKeyRegistry
{
  IdempotencyKeyRegistry() = default;
  // Not copyable: mExpirations points into mEntries.
  IdempotencyKeyRegistry(const IdempotencyKeyRegistry&) = delete;
  IdempotencyKeyRegistry& operator=(const IdempotencyKeyRegistry&) = delete;
  IdempotencyKeyRegistry(IdempotencyKeyRegistry&&) = default;
  IdempotencyKeyRegistry& operator=(IdempotencyKeyRegistry&&) = default;
  ~IdempotencyKeyRegistry() = default;

  using ClientKey = std::pair<Common::ClientId, Common::IdempotencyKey>;

  KeyRegistryLimits mLimits;
  /// Unix time from which no earlier owner can grant a key; nullopt for the first owner of the
  /// cell.
  std::optional<UnixMillis> mTakeoverUnixTime;
  std::map<ClientKey, KeyRegistryEntry> mEntries;
  /// All entries, ordered by mExpiresAt. The pointers refer to the keys of mEntries.
  std::set<std::pair<Timestamp, const ClientKey*>> mExpirations;
  /// Keys whose reply was kept, oldest first. Some of these replies may have been dropped since.
  std::deque<ClientKey> mReplyOrder;
  /// Total size of the replies in mEntries.
  Common::Bytes mReplyBytes;
};

/// Whether the owner may answer claims now. See "Change of owner" in section 3.1 of the design
/// document.
struct OwnerAuthority
{
  bool mMayAnswer = false;
  /// Retry time suggested with a claim that is refused because the owner may not answer.
  Duration mRetryAfter{ std::chrono::seconds(1) };
};

/// Grants the key to the claiming submission or returns the state that prevents it. Refusals:
/// NotOwner without authority, Invalid for a key time out of range or another fingerprint,
/// NoCapacity for a submission that already released the key, Throttled if the registry is full.
/// Unknown if an earlier owner may have granted the key.
KeyClaimResult
ClaimKey(IdempotencyKeyRegistry& aRegistry,
         const KeyClaim& aClaim,
         const OwnerAuthority& aAuthority,
         Timestamp aNow,
         UnixMillis aUnixNow);

/// Records the outcome of the submission that holds the key. A later outcome of the same submission
/// replaces `unknown` only. Returns false if the submission does not hold the key.
bool
SettleKey(IdempotencyKeyRegistry& aRegistry,
          const IdempotencyKeyRegistry::ClientKey& aKey,
          const Common::RequestId& aRequest,
          Common::Outcome aOutcome,
          std::shared_ptr<const std::string> aReply,
          Timestamp aNow);

/// Removes keys past their retention and marks keys that were not settled in time as Unknown.
/// ClaimKey calls it.
void
SweepKeys(IdempotencyKeyRegistry& aRegistry, Timestamp aNow);

/// Time in a UUIDv7; nullopt for any other text.
std::optional<UnixMillis>
ParseUuidV7Time(std::string_view aKey);

/// Time of a key: aHeader if the caller sent one, otherwise the time in a UUIDv7 key.
std::optional<UnixMillis>
KeyTime(std::optional<UnixMillis> aHeader, const Common::IdempotencyKey& aKey);

/// False if aKeyTime is more than 5 s in the future or older than aRetention.
bool
IsKeyTimeInRange(UnixMillis aKeyTime, UnixMillis aUnixNow, Duration aRetention);

} // namespace Dispatch
