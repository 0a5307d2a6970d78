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

/// What the agent keeps of a finished request.
struct StoredOutcome
{
  Common::Outcome mOutcome = Common::Outcome::Unknown;
  Common::Refusal mReason = Common::Refusal::None;
  /// The encoded reply; null if there was none, it was too large, or it was dropped for memory.
  std::shared_ptr<const std::string> mReply;
};

enum class DeduplicationState
{
  /// First seen now: run it, then call FinishRequest.
  New,
  /// Waits or runs; its outcome follows.
  InProgress,
  /// The stored outcome is the answer; nothing may run again.
  Finished,
  /// So old that its outcome is no longer kept: the answer is `unknown`, nothing may run.
  Evicted,
  /// The window is full of requests in progress: refuse, `not-run`.
  Full,
  /// Not a request id.
  Malformed,
};

struct DeduplicationResult
{
  DeduplicationState mState = DeduplicationState::New;
  /// Only for Finished.
  StoredOutcome mOutcome;
};

struct DeduplicationLimits
{
  Common::Duration mRetention{ std::chrono::minutes(2) };
  // About 260 bytes each; with the replies they take less than half of the agent's 20 MB aim.
  std::size_t mMaxIds = 16384;
  Common::Bytes mMaxReplies{ 4 << 20 };
  Common::Bytes mMaxReply{ 256 << 10 };
};

struct DeduplicationEntry
{
  bool mFinished = false;
  StoredOutcome mOutcome;
};

struct HighestEvicted
{
  std::uint64_t mSequence = 0;
  Common::Timestamp mUpdatedAt;
};

/// Ids that an agent incarnation has seen. An id runs at most once: ids that were evicted for age
/// or memory are remembered per origin as the highest evicted sequence number.
struct DeduplicationWindow
{
  DeduplicationLimits mLimits;
  std::unordered_map<Common::RequestId, DeduplicationEntry> mEntries;
  /// Finished ids, oldest first.
  std::deque<std::pair<Common::RequestId, Common::Timestamp>> mFinishedIds;
  /// Finished ids that still hold a reply, oldest first.
  std::deque<Common::RequestId> mIdsWithReply;
  Common::Bytes mReplyBytes;
  /// By entry and its incarnation.
  std::map<std::pair<Common::InstanceId, std::int64_t>, HighestEvicted> mHighestEvicted;
};

/// Takes note of an `Execute`.
DeduplicationResult
BeginRequest(DeduplicationWindow& aWindow, const Common::RequestId& aId, Common::Timestamp aNow);

/// Settles a request that BeginRequest called New. Only the first outcome counts.
void
FinishRequest(DeduplicationWindow& aWindow,
              const Common::RequestId& aId,
              StoredOutcome aOutcome,
              Common::Timestamp aNow);

/// Answers `QueryOutcome`. An id that was never seen is settled as `not-run` from now on, so that
/// an `Execute` that arrives after the query is refused.
DeduplicationResult
QueryOutcome(DeduplicationWindow& aWindow, const Common::RequestId& aId, Common::Timestamp aNow);

/// Forgets outcomes that are older than the retention.
void
EvictExpired(DeduplicationWindow& aWindow, Common::Timestamp aNow);

} // namespace Admission
