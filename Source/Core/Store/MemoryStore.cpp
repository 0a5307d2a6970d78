#include "Store/MemoryStore.h"

#include <algorithm>

namespace Store {

namespace {

// Enough for watchers that lag by a few seconds, while the memory stays bounded.
constexpr std::size_t kMaxErased = 10000;

bool
StartsWith(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

} // namespace

MemoryStore::MemoryStore(Common::Clock& aClock, std::uint64_t aSeed)
  : mClock(aClock)
  , mRandom(aSeed)
{
}

Result<std::optional<Entry>>
MemoryStore::read(const std::string& aKey)
{
  Lock lock(mMutex);
  if (auto begun = begin(lock, &CallCounts::mReads); !begun) {
    return tl::unexpected(begun.error());
  }
  const auto found = mValues.find(aKey);
  if (found == mValues.end()) {
    return std::optional<Entry>();
  }
  return std::optional<Entry>(Entry{ aKey, found->second.mText, found->second.mVersion });
}

Result<std::vector<Entry>>
MemoryStore::readPrefix(const std::string& aPrefix, std::size_t aLimit)
{
  Lock lock(mMutex);
  if (auto begun = begin(lock, &CallCounts::mPrefixReads); !begun) {
    return tl::unexpected(begun.error());
  }
  std::vector<Entry> entries;
  for (auto at = mValues.lower_bound(aPrefix);
       at != mValues.end() && StartsWith(at->first, aPrefix) && entries.size() < aLimit;
       ++at) {
    entries.push_back({ at->first, at->second.mText, at->second.mVersion });
  }
  return entries;
}

Result<Version>
MemoryStore::compareAndSwap(const std::string& aKey,
                            Version aExpected,
                            const std::string& aValue,
                            std::optional<LeaseId> aLease)
{
  Lock lock(mMutex);
  if (auto begun = begin(lock, &CallCounts::mWrites); !begun) {
    return tl::unexpected(begun.error());
  }
  if (static_cast<std::int64_t>(aValue.size()) > kMaxValue.value()) {
    return tl::unexpected(StoreError::TooLarge);
  }
  if (versionOf(aKey) != aExpected) {
    return tl::unexpected(losesAnswer() ? StoreError::Unknown : StoreError::Conflict);
  }
  if (aLease && mLeases.count(*aLease) == 0) {
    return tl::unexpected(StoreError::LeaseLapsed);
  }
  Value& value = mValues[aKey];
  if (const auto old = mLeases.find(value.mLease); old != mLeases.end()) {
    old->second.mKeys.erase(aKey);
  }
  value = { aValue, nextVersion(), aLease.value_or(LeaseId()) };
  if (aLease) {
    mLeases[*aLease].mKeys.insert(aKey);
  }
  mChanged.notify_all();
  if (losesAnswer()) {
    return tl::unexpected(StoreError::Unknown);
  }
  return value.mVersion;
}

Result<void>
MemoryStore::erase(const std::string& aKey, Version aExpected)
{
  Lock lock(mMutex);
  if (auto begun = begin(lock, &CallCounts::mErases); !begun) {
    return begun;
  }
  if (versionOf(aKey) != aExpected || aExpected == Version()) {
    return tl::unexpected(StoreError::Conflict);
  }
  remove(aKey);
  if (losesAnswer()) {
    return tl::unexpected(StoreError::Unknown);
  }
  return {};
}

Result<LeaseId>
MemoryStore::grantLease(Common::Duration aTimeToLive)
{
  Lock lock(mMutex);
  if (auto begun = begin(lock, &CallCounts::mLeaseGrants); !begun) {
    return tl::unexpected(begun.error());
  }
  mLastLease += LeaseId(1);
  mLeases[mLastLease] = { aTimeToLive, mClock.now() + aTimeToLive, {} };
  if (losesAnswer()) {
    return tl::unexpected(StoreError::Unknown);
  }
  return mLastLease;
}

Result<void>
MemoryStore::renewLease(LeaseId aLease)
{
  Lock lock(mMutex);
  if (auto begun = begin(lock, &CallCounts::mLeaseRenewals); !begun) {
    return begun;
  }
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    return tl::unexpected(StoreError::LeaseLapsed);
  }
  found->second.mEnds = mClock.now() + found->second.mTimeToLive;
  if (losesAnswer()) {
    return tl::unexpected(StoreError::Unknown);
  }
  return {};
}

Result<void>
MemoryStore::revokeLease(LeaseId aLease)
{
  Lock lock(mMutex);
  if (auto begun = begin(lock, &CallCounts::mLeaseRevocations); !begun) {
    return begun;
  }
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    return tl::unexpected(StoreError::LeaseLapsed);
  }
  endLease(found);
  if (losesAnswer()) {
    return tl::unexpected(StoreError::Unknown);
  }
  return {};
}

Result<WatchResult>
MemoryStore::watch(const std::string& aPrefix, Version aAfter, Common::Duration aTimeout)
{
  Lock lock(mMutex);
  const Common::Timestamp deadline = mClock.now() + aTimeout;
  if (auto begun = begin(lock, &CallCounts::mWatches); !begun) {
    return tl::unexpected(begun.error());
  }
  if (aAfter != Version() && aAfter < mErasedFloor) {
    return tl::unexpected(StoreError::Conflict);
  }
  while (true) {
    expireLeases();
    if (mFaults.mDown) {
      return tl::unexpected(StoreError::Unavailable);
    }
    WatchResult result = changesAfter(aPrefix, aAfter);
    if (!result.mChanged.empty() || !result.mErased.empty()) {
      if (mFaults.mWatchGaps > 0) {
        --mFaults.mWatchGaps;
        return WatchResult{ {}, {}, result.mUpTo };
      }
      return result;
    }
    if (mClock.now() >= deadline) {
      return result;
    }
    mClock.waitUntil(lock, mChanged, nextExpiry(deadline));
  }
}

void
MemoryStore::setFaults(const Faults& aFaults)
{
  const Lock lock(mMutex);
  mFaults = aFaults;
  mChanged.notify_all();
}

Faults
MemoryStore::faults() const
{
  const Lock lock(mMutex);
  return mFaults;
}

CallCounts
MemoryStore::counts() const
{
  const Lock lock(mMutex);
  return mCounts;
}

void
MemoryStore::lapseLeases()
{
  const Lock lock(mMutex);
  while (!mLeases.empty()) {
    endLease(mLeases.begin());
  }
}

Result<void>
MemoryStore::begin(Lock& aLock, std::uint64_t CallCounts::*aCounter)
{
  ++(mCounts.*aCounter);
  const Common::Timestamp effect = mClock.now() + mFaults.mDelay;
  while (!mFaults.mDown && mClock.now() < effect) {
    mClock.waitUntil(aLock, mChanged, effect);
  }
  if (mFaults.mDown) {
    ++mCounts.mRefused;
    return tl::unexpected(StoreError::Unavailable);
  }
  expireLeases();
  return {};
}

bool
MemoryStore::losesAnswer()
{
  if (mFaults.mLoseAnswers > 0) {
    --mFaults.mLoseAnswers;
    return true;
  }
  return mFaults.mLoseAnswerRate > 0 && mRandom.unit() < mFaults.mLoseAnswerRate;
}

Version
MemoryStore::nextVersion()
{
  mLastVersion += Version(1);
  return mLastVersion;
}

Version
MemoryStore::versionOf(const std::string& aKey) const
{
  const auto found = mValues.find(aKey);
  return found == mValues.end() ? Version() : found->second.mVersion;
}

void
MemoryStore::expireLeases()
{
  const Common::Timestamp now = mClock.now();
  for (auto at = mLeases.begin(); at != mLeases.end();) {
    const auto lease = at++;
    if (lease->second.mEnds <= now) {
      endLease(lease);
    }
  }
}

void
MemoryStore::endLease(std::map<LeaseId, Lease>::iterator aLease)
{
  const std::set<std::string> keys = std::move(aLease->second.mKeys);
  mLeases.erase(aLease);
  for (const std::string& key : keys) {
    remove(key);
  }
}

void
MemoryStore::remove(const std::string& aKey)
{
  const auto found = mValues.find(aKey);
  if (found == mValues.end()) {
    return;
  }
  if (const auto lease = mLeases.find(found->second.mLease); lease != mLeases.end()) {
    lease->second.mKeys.erase(aKey);
  }
  mValues.erase(found);
  mErased[nextVersion()] = aKey;
  if (mErased.size() > kMaxErased) {
    mErasedFloor = mErased.begin()->first;
    mErased.erase(mErased.begin());
  }
  mChanged.notify_all();
}

WatchResult
MemoryStore::changesAfter(const std::string& aPrefix, Version aAfter) const
{
  WatchResult result;
  result.mUpTo = std::max(mLastVersion, aAfter);
  for (auto at = mValues.lower_bound(aPrefix);
       at != mValues.end() && StartsWith(at->first, aPrefix);
       ++at) {
    if (at->second.mVersion > aAfter) {
      result.mChanged.push_back({ at->first, at->second.mText, at->second.mVersion });
    }
  }
  if (aAfter == Version()) {
    return result;
  }
  std::set<std::string> erased;
  for (auto at = mErased.upper_bound(aAfter); at != mErased.end(); ++at) {
    if (StartsWith(at->second, aPrefix) && mValues.count(at->second) == 0) {
      erased.insert(at->second);
    }
  }
  result.mErased.assign(erased.begin(), erased.end());
  return result;
}

Common::Timestamp
MemoryStore::nextExpiry(Common::Timestamp aLatest) const
{
  for (const auto& [id, lease] : mLeases) {
    aLatest = std::min(aLatest, lease.mEnds);
  }
  return aLatest;
}

} // namespace Store
