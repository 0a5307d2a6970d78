#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Outcome.h"
#include "Common/Units.h"

namespace Admission {

/// The stored result of a finished request.
struct StoredOutcome
{
  Common::Outcome mOutcome = Common::Outcome::Unknown;
  Common::Refusal mReason = Common::Refusal::None;
  /// The encoded reply; null if there was none, it was too large, or it was dropped to save memory.
  std::shared_ptr<const std::string> mReply;
};

/// State of a request id.
enum class DeduplicationState
{
  /// Not seen before: run the request, then call FinishRequest.
  New,
  /// The request waits or runs; its outcome is not known yet.
  InProgress,
  /// Answer with the stored outcome; the request must not run again.
  Finished,
  /// The outcome is no longer kept: answer `unknown`; the request must not run.
  Evicted,
  /// The window is full of requests in progress: refuse with `not-run`.
  Full,
  /// The text is not a valid request id.
  Malformed,
};

/// State of a looked-up request id and, once finished, its outcome.
struct DeduplicationResult
{
  DeduplicationState mState = DeduplicationState::New;
  /// Only for Finished.
  StoredOutcome mOutcome;
};

/// Bounds of the age and memory of stored outcomes.
struct DeduplicationLimits
{
  /// How long an outcome is kept after its request has finished.
  Common::Duration mRetention{ std::chrono::minutes(2) };
  /// An id takes about 260 bytes. With the replies, the default takes less than half of the agent's
  /// memory target of 20 MB.
  std::size_t mMaxIds = 16384;
  /// Total size of the stored replies.
  Common::Bytes mMaxReplies{ 4 << 20 };
  /// Size above which a reply is not stored.
  Common::Bytes mMaxReply{ 256 << 10 };
};

/// A known request id; mOutcome is set once it has finished.
struct DeduplicationEntry
{
  bool mFinished = false;
  StoredOutcome mOutcome;
};

/// Highest sequence number evicted for one origin: the entry instance that issued the ids, in one
/// incarnation.
struct HighestEvicted
{
  std::uint64_t mSequence = 0;
  Common::Timestamp mUpdatedAt;
};

/// The request ids that an agent incarnation has seen; each runs at most once. Of ids that were
/// evicted for age or memory, only the highest sequence number per origin is kept; every unknown id
/// up to it counts as evicted.
struct DeduplicationWindow
{
  DeduplicationLimits mLimits;
  /// Ids in progress or finished.
  std::unordered_map<Common::RequestId, DeduplicationEntry> mEntries;
  /// Finished ids and when they finished, oldest first.
  std::deque<std::pair<Common::RequestId, Common::Timestamp>> mFinishedIds;
  /// Finished ids that still hold a reply, oldest first.
  std::deque<Common::RequestId> mIdsWithReply;
  /// Total size of the stored replies.
  Common::Bytes mReplyBytes;
  /// By entry instance and incarnation.
  std::map<std::pair<Common::InstanceId, std::int64_t>, HighestEvicted> mHighestEvicted;
};

/// Looks up the id of an `Execute` call and registers it if it is New. If the window is full, the
/// oldest finished id is evicted to make room; if none has finished, returns Full.
DeduplicationResult
BeginRequest(DeduplicationWindow& aWindow, const Common::RequestId& aId, Common::Timestamp aNow);

/// Stores the outcome of a request for which BeginRequest returned New. Unknown and already
/// finished ids are ignored.
void
FinishRequest(DeduplicationWindow& aWindow,
              const Common::RequestId& aId,
              StoredOutcome aOutcome,
              Common::Timestamp aNow);

/// Answers a `QueryOutcome` call. An id that was not seen before is stored as `not-run`, so that an
/// `Execute` that arrives after the query is refused.
DeduplicationResult
QueryOutcome(DeduplicationWindow& aWindow, const Common::RequestId& aId, Common::Timestamp aNow);

/// Evicts outcomes that are older than mRetention.
void
EvictExpired(DeduplicationWindow& aWindow, Common::Timestamp aNow);

} // namespace Admission
