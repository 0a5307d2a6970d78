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

/// Values of the wire format.
enum class KeyState
{
  Granted = 1,
  InProgress = 2,
  Finished = 3,
  Unknown = 4,
  Refused = 5,
};

struct KeyClaim
{
  Common::ClientId mClient;
  Common::IdempotencyKey mKey;
  /// Time of the first attempt, if the caller named one or the key is a UUIDv7.
  std::optional<UnixMillis> mKeyTime;
  /// The submission that claims. The same submission may claim again, as after a lost answer.
  Common::RequestId mRequest;
  /// Hash of method, path and body. A key that is used again for another request is refused.
  std::string mFingerprint;
  /// Time the submission has left. If it is not settled soon after, the key becomes unknown.
  Duration mRemaining{ 0 };
};

struct KeyClaimResult
{
  KeyState mState = KeyState::Refused;
  Common::Refusal mReason = Common::Refusal::None;
  /// Only for Finished; null if the reply was too large to keep or was dropped for memory.
  std::shared_ptr<const std::string> mReply;
  Duration mRetryAfter{ 0 };
};

struct KeyRegistryLimits
{
  Duration mRetention{ std::chrono::minutes(10) };
  // About 470 bytes each; with the replies an owner stays below 20 MB. Over the retention this is
  // 40 new keys a second in one cell.
  std::size_t mMaxKeys = 24576;
  Common::Bytes mMaxReply{ 64 << 10 };
  Common::Bytes mMaxReplies{ 6 << 20 };
};

struct KeyRegistryEntry
{
  KeyState mState = KeyState::InProgress;
  Common::RequestId mHolder;
  /// Hash of the claim's fingerprint.
  std::uint64_t mFingerprint = 0;
  std::shared_ptr<const std::string> mReply;
  /// For InProgress: when the key becomes unknown. Otherwise when it is forgotten.
  Timestamp mExpiresAt;
  /// The holder settled `not-run`: the key may be claimed by another submission.
  bool mReleased = false;
};

/// Idempotency keys of the clients whose home is this cell. An owner makes a new one when it takes
/// the cell; only the first owner of a cell has none before it.
struct IdempotencyKeyRegistry
{
  IdempotencyKeyRegistry() = default;
  // mExpirations points into mEntries.
  IdempotencyKeyRegistry(const IdempotencyKeyRegistry&) = delete;
  IdempotencyKeyRegistry& operator=(const IdempotencyKeyRegistry&) = delete;
  IdempotencyKeyRegistry(IdempotencyKeyRegistry&&) = default;
  IdempotencyKeyRegistry& operator=(IdempotencyKeyRegistry&&) = default;
  ~IdempotencyKeyRegistry() = default;

  using ClientKey = std::pair<Common::ClientId, Common::IdempotencyKey>;

  KeyRegistryLimits mLimits;
  /// Unix time from which no earlier owner can grant a key; nothing for the first owner.
  std::optional<UnixMillis> mTakeoverUnixTime;
  std::map<ClientKey, KeyRegistryEntry> mEntries;
  /// Every entry by its mExpiresAt. The names are those in mEntries.
  std::set<std::pair<Timestamp, const ClientKey*>> mExpirations;
  /// Entries with a reply, oldest first.
  std::deque<ClientKey> mReplyOrder;
  Common::Bytes mReplyBytes;
};

/// Whether the owner may answer claims now (section 3.1 of the design page, Change of owner).
struct OwnerAuthority
{
  bool mMayAnswer = false;
  Duration mRetryAfter{ std::chrono::seconds(1) };
};

KeyClaimResult
ClaimKey(IdempotencyKeyRegistry& aRegistry,
         const KeyClaim& aClaim,
         const OwnerAuthority& aAuthority,
         Timestamp aNow,
         UnixMillis aUnixNow);

/// Records the outcome of the submission that holds the key. A later outcome of the same submission
/// replaces `unknown`, nothing replaces `ran`. False if the submission does not hold the key.
bool
SettleKey(IdempotencyKeyRegistry& aRegistry,
          const IdempotencyKeyRegistry::ClientKey& aName,
          const Common::RequestId& aRequest,
          Common::Outcome aOutcome,
          std::shared_ptr<const std::string> aReply,
          Timestamp aNow);

/// Forgets keys past their retention. ClaimKey calls it.
void
SweepKeys(IdempotencyKeyRegistry& aRegistry, Timestamp aNow);

/// The time in a UUIDv7; nothing for any other text.
std::optional<UnixMillis>
ParseUuidV7Time(std::string_view aKey);

/// Time of a key: the header's if there is one, else that of a UUIDv7 key.
std::optional<UnixMillis>
KeyTime(std::optional<UnixMillis> aHeader, const Common::IdempotencyKey& aKey);

/// False if the time is more than 5 s in the future or older than the retention.
bool
IsKeyTimeInRange(UnixMillis aKeyTime, UnixMillis aUnixNow, Duration aRetention);

} // namespace Dispatch
