#include "Admission/DeduplicationWindow.h"

#include <algorithm>

#include "Common/RequestName.h"

namespace Admission {

namespace {

// Above this number of origins, the one whose last eviction is the oldest is dropped.
constexpr std::size_t kMaxOrigins = 4096;

Common::Bytes
ReplySize(const StoredOutcome& aOutcome)
{
  return Common::Bytes(aOutcome.mReply ? static_cast<std::int64_t>(aOutcome.mReply->size()) : 0);
}

void
RecordEviction(DeduplicationWindow& aWindow, const Common::RequestId& aId, Common::Timestamp aNow)
{
  const auto name = Common::ParseRequestId(aId);
  if (!name) {
    return;
  }
  const std::pair origin(name->mEntry, name->mIncarnation.value());
  if (!aWindow.mHighestEvicted.contains(origin) && aWindow.mHighestEvicted.size() >= kMaxOrigins) {
    const auto oldest =
      std::min_element(aWindow.mHighestEvicted.begin(),
                       aWindow.mHighestEvicted.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.mUpdatedAt < aRight.second.mUpdatedAt;
                       });
    aWindow.mHighestEvicted.erase(oldest);
  }
  HighestEvicted& evicted = aWindow.mHighestEvicted[origin];
  evicted.mSequence = std::max(evicted.mSequence, name->mSequence);
  evicted.mUpdatedAt = aNow;
}

void
EvictOldest(DeduplicationWindow& aWindow, Common::Timestamp aNow)
{
  const Common::RequestId id = std::move(aWindow.mFinishedIds.front().first);
  aWindow.mFinishedIds.pop_front();
  if (!aWindow.mIdsWithReply.empty() && aWindow.mIdsWithReply.front() == id) {
    aWindow.mIdsWithReply.pop_front();
  }
  const auto found = aWindow.mEntries.find(id);
  aWindow.mReplyBytes -= ReplySize(found->second.mOutcome);
  aWindow.mEntries.erase(found);
  RecordEviction(aWindow, id, aNow);
}

void
DropReplies(DeduplicationWindow& aWindow)
{
  while (aWindow.mReplyBytes > aWindow.mLimits.mMaxReplies && !aWindow.mIdsWithReply.empty()) {
    StoredOutcome& outcome = aWindow.mEntries.at(aWindow.mIdsWithReply.front()).mOutcome;
    aWindow.mReplyBytes -= ReplySize(outcome);
    outcome.mReply.reset();
    aWindow.mIdsWithReply.pop_front();
  }
}

bool
IsEvicted(const DeduplicationWindow& aWindow, const Common::RequestName& aName)
{
  const auto evicted = aWindow.mHighestEvicted.find({ aName.mEntry, aName.mIncarnation.value() });
  return evicted != aWindow.mHighestEvicted.end() && aName.mSequence <= evicted->second.mSequence;
}

/// Looks an id up without registering it.
DeduplicationResult
LookUpRequest(const DeduplicationWindow& aWindow, const Common::RequestId& aId)
{
  const auto found = aWindow.mEntries.find(aId);
  if (found != aWindow.mEntries.end()) {
    const DeduplicationEntry& entry = found->second;
    return entry.mFinished ? DeduplicationResult{ DeduplicationState::Finished, entry.mOutcome }
                           : DeduplicationResult{ DeduplicationState::InProgress, {} };
  }
  const auto name = Common::ParseRequestId(aId);
  if (!name) {
    return { DeduplicationState::Malformed, {} };
  }
  return { IsEvicted(aWindow, *name) ? DeduplicationState::Evicted : DeduplicationState::New, {} };
}

} // namespace

DeduplicationResult
BeginRequest(DeduplicationWindow& aWindow, const Common::RequestId& aId, Common::Timestamp aNow)
{
  EvictExpired(aWindow, aNow);
  DeduplicationResult answer = LookUpRequest(aWindow, aId);
  if (answer.mState != DeduplicationState::New) {
    return answer;
  }
  if (aWindow.mEntries.size() >= aWindow.mLimits.mMaxIds) {
    if (aWindow.mFinishedIds.empty()) {
      return { DeduplicationState::Full, {} };
    }
    EvictOldest(aWindow, aNow);
  }
  aWindow.mEntries.emplace(aId, DeduplicationEntry{});
  return answer;
}

void
FinishRequest(DeduplicationWindow& aWindow,
              const Common::RequestId& aId,
              StoredOutcome aOutcome,
              Common::Timestamp aNow)
{
  const auto found = aWindow.mEntries.find(aId);
  if (found == aWindow.mEntries.end() || found->second.mFinished) {
    return;
  }
  if (ReplySize(aOutcome) > aWindow.mLimits.mMaxReply) {
    aOutcome.mReply.reset();
  }
  aWindow.mReplyBytes += ReplySize(aOutcome);
  if (aOutcome.mReply) {
    aWindow.mIdsWithReply.push_back(aId);
  }
  aWindow.mFinishedIds.emplace_back(aId, aNow);
  found->second = { true, std::move(aOutcome) };
  DropReplies(aWindow);
}

DeduplicationResult
QueryOutcome(DeduplicationWindow& aWindow, const Common::RequestId& aId, Common::Timestamp aNow)
{
  DeduplicationResult answer = BeginRequest(aWindow, aId, aNow);
  if (answer.mState == DeduplicationState::New) {
    FinishRequest(
      aWindow, aId, { Common::Outcome::NotRun, Common::Refusal::DeadlineTooClose, nullptr }, aNow);
    return LookUpRequest(aWindow, aId);
  }
  return answer;
}

void
EvictExpired(DeduplicationWindow& aWindow, Common::Timestamp aNow)
{
  while (!aWindow.mFinishedIds.empty() &&
         aNow - aWindow.mFinishedIds.front().second > aWindow.mLimits.mRetention) {
    EvictOldest(aWindow, aNow);
  }
}

} // namespace Admission
