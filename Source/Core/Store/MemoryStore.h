#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

#include "Common/Random.h"
#include "Store/StorePort.h"

namespace Store {

/// Faults that a MemoryStore shows. The default is a healthy store.
struct Faults
{
  /// Every call is refused with Unavailable, and waiting watches end. Leases go on running out.
  bool mDown = false;
  /// Each call waits this long before it takes effect.
  Common::Duration mDelay{ 0 };
  /// The next so many changing calls take effect (or conflict) and answer Unknown.
  std::uint32_t mLoseAnswers = 0;
  /// Part (0 to 1) of the changing calls whose answer is lost.
  double mLoseAnswerRate = 0;
  /// The next so many watches that have something to report return nothing but a later mUpTo.
  std::uint32_t mWatchGaps = 0;
};

/// Calls received, including refused ones.
struct CallCounts
{
  std::uint64_t mReads = 0;
  std::uint64_t mPrefixReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mErases = 0;
  std::uint64_t mLeaseGrants = 0;
  std::uint64_t mLeaseRenewals = 0;
  std::uint64_t mLeaseRevocations = 0;
  std::uint64_t mWatches = 0;
  /// Of the above, those refused because the store was down.
  std::uint64_t mRefused = 0;

  bool operator==(const CallCounts&) const = default;
};

/// Store port in memory, for tests and the stand-in store. Versions come from one counter for all
/// keys.
class MemoryStore final : public StorePort
{
public:
  explicit MemoryStore(Common::Clock& aClock, std::uint64_t aSeed = 1);

  Result<std::optional<Entry>> read(const std::string& aKey) override;
  Result<std::vector<Entry>> readPrefix(const std::string& aPrefix, std::size_t aLimit) override;
  Result<Version> compareAndSwap(const std::string& aKey,
                                 Version aExpected,
                                 const std::string& aValue,
                                 std::optional<LeaseId> aLease = std::nullopt) override;
  Result<void> erase(const std::string& aKey, Version aExpected) override;
  Result<LeaseId> grantLease(Common::Duration aTimeToLive) override;
  Result<void> renewLease(LeaseId aLease) override;
  Result<void> revokeLease(LeaseId aLease) override;
  /// Conflict if aAfter is older than the record of erased keys; watch again from 0 then.
  Result<WatchResult> watch(const std::string& aPrefix,
                            Version aAfter,
                            Common::Duration aTimeout) override;

  void setFaults(const Faults& aFaults);
  Faults faults() const;
  CallCounts counts() const;
  /// Ends every lease at once, as if its holder had been paused for too long.
  void lapseLeases();

private:
  struct Value
  {
    std::string mText;
    Version mVersion;
    LeaseId mLease;
  };

  struct Lease
  {
    Common::Duration mTimeToLive;
    Common::Timestamp mEnds;
    std::set<std::string> mKeys;
  };

  using Lock = std::unique_lock<std::mutex>;

  Result<void> begin(Lock& aLock, std::uint64_t CallCounts::*aCounter);
  bool losesAnswer();
  Version nextVersion();
  Version versionOf(const std::string& aKey) const;
  void expireLeases();
  void endLease(std::map<LeaseId, Lease>::iterator aLease);
  void remove(const std::string& aKey);
  WatchResult changesAfter(const std::string& aPrefix, Version aAfter) const;
  Common::Timestamp nextExpiry(Common::Timestamp aLatest) const;

  Common::Clock& mClock;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  Common::Random mRandom;
  Faults mFaults;
  CallCounts mCounts;
  std::map<std::string, Value> mValues;
  std::map<LeaseId, Lease> mLeases;
  /// Erased keys by the version of the erasure, oldest first.
  std::map<Version, std::string> mErased;
  Version mErasedFloor;
  Version mLastVersion;
  LeaseId mLastLease;
};

} // namespace Store
