#pragma once

#include <functional>
#include <vector>

#include "Common/Random.h"
#include "Store/MemoryStore.h"

/// Thrown out of a store call when the process that made it dies.
struct WriterDied
{};

/// A store port that does the worst that the platform allows: answers get lost, writes take effect
/// long after the caller gave up, callers die between two calls, and other processes run whole
/// operations in between. Everything follows from the seed.
class AdversaryStore final : public Store::StorePort
{
public:
  AdversaryStore(Store::MemoryStore& aStore, std::uint64_t aSeed)
    : mStore(aStore)
    , mRandom(aSeed)
  {
  }

  /// Chances in percent of each call.
  std::uint64_t mLose = 0;
  std::uint64_t mDelay = 0;
  std::uint64_t mDie = 0;
  std::uint64_t mRefuse = 0;
  std::uint64_t mInterleave = 0;
  /// An operation of another process, run in the middle of one.
  std::function<void()> mOther;
  /// Called before each read, for schedules that are written out.
  std::function<void(const std::string& aKey)> mBeforeRead;

  bool chance(std::uint64_t aPercent) { return mRandom.below(100) < aPercent; }
  Common::Random& random() { return mRandom; }

  /// Applies the writes that are still under way.
  void settle()
  {
    auto pending = std::move(mPending);
    mPending.clear();
    for (const auto& write : pending) {
      write();
    }
  }

  Store::Result<std::optional<Store::Entry>> read(const std::string& aKey) override
  {
    if (mBeforeRead) {
      mBeforeRead(aKey);
    }
    if (disturb()) {
      return tl::unexpected(Store::StoreError::Unavailable);
    }
    return mStore.read(aKey);
  }
  Store::Result<std::vector<Store::Entry>> readPrefix(const std::string& aPrefix,
                                                      std::size_t aLimit) override
  {
    return mStore.readPrefix(aPrefix, aLimit);
  }
  Store::Result<Store::Version> compareAndSwap(const std::string& aKey,
                                               Store::Version aExpected,
                                               const std::string& aValue,
                                               std::optional<Store::LeaseId>) override
  {
    return change(
      [this, aKey, aExpected, aValue] { return mStore.compareAndSwap(aKey, aExpected, aValue); });
  }
  Store::Result<void> erase(const std::string& aKey, Store::Version aExpected) override
  {
    return change([this, aKey, aExpected] { return mStore.erase(aKey, aExpected); });
  }
  Store::Result<Store::LeaseId> grantLease(Common::Duration aTimeToLive) override
  {
    return mStore.grantLease(aTimeToLive);
  }
  Store::Result<void> renewLease(Store::LeaseId aLease) override
  {
    return mStore.renewLease(aLease);
  }
  Store::Result<void> revokeLease(Store::LeaseId aLease) override
  {
    return mStore.revokeLease(aLease);
  }
  Store::Result<Store::WatchResult> watch(const std::string& aPrefix,
                                          Store::Version aAfter,
                                          Common::Duration aTimeout) override
  {
    return mStore.watch(aPrefix, aAfter, aTimeout);
  }

private:
  // Returns true if the call is to be refused.
  bool disturb()
  {
    if (!mPending.empty() && chance(30)) {
      settle();
    }
    if (mOther && mNested < 2 && chance(mInterleave)) {
      ++mNested;
      mOther();
      --mNested;
    }
    if (chance(mDie)) {
      throw WriterDied();
    }
    return chance(mRefuse);
  }

  template<typename Write>
  auto change(Write aWrite) -> decltype(aWrite())
  {
    if (disturb()) {
      return tl::unexpected(Store::StoreError::Unavailable);
    }
    if (chance(mDelay)) {
      mPending.emplace_back([aWrite] { (void)aWrite(); });
      return tl::unexpected(Store::StoreError::Unknown);
    }
    auto result = aWrite();
    if (chance(mLose)) {
      return tl::unexpected(Store::StoreError::Unknown);
    }
    return result;
  }

  Store::MemoryStore& mStore;
  Common::Random mRandom;
  std::vector<std::function<void()>> mPending;
  int mNested = 0;
};
