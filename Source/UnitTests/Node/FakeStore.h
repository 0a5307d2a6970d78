#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "FakeWorker.h"
#include "Store/AsyncStore.h"

namespace NodeTests {

/// An in-memory store with selectable faults. Its callbacks run on the event loop.
class FakeStore final : public Store::AsyncStore
{
public:
  enum class Mode
  {
    Normal,
    /// Rejects every call without executing it.
    Rejecting,
    /// Accepts calls but executes nothing, so that they time out.
    Silent,
    /// Executes writes and loses the answers.
    LosingAnswers,
    /// Executes writes only when applyDelayedWrites() is called and never answers them.
    DelayingWrites,
  };

  explicit FakeStore(boost::asio::io_context& aIo)
    : mIo(aIo)
  {
  }

  Mode mMode = Mode::Normal;
  std::size_t mCalls = 0;
  /// Time after which writes are answered.
  Duration mAnswerDelay{ 0 };
  /// No lease expires, as in an outage of the store in which their time does not count.
  bool mLeasesPause = false;

  void applyDelayedWrites()
  {
    const auto writes = std::move(mDelayedWrites);
    mDelayedWrites.clear();
    for (const Store::Transaction& transaction : writes) {
      (void)apply(transaction);
    }
  }

  bool contains(const std::string& aKey) const { return mEntries.contains(aKey); }
  std::optional<std::string> value(const std::string& aKey) const
  {
    const auto found = mEntries.find(aKey);
    return found == mEntries.end() ? std::nullopt : std::make_optional(found->second.mValue);
  }
  void put(const std::string& aKey, const std::string& aValue)
  {
    (void)apply({ {}, { { aKey, aValue, std::nullopt } }, {} });
  }
  void erase(const std::string& aKey) { (void)apply({ {}, {}, { aKey } }); }
  /// Watches from an earlier version fail from now on.
  void dropHistory() { mOldestKeptVersion = mVersion; }

  void read(const std::string& aKey,
            Duration aTimeout,
            std::function<void(Store::Result<std::optional<Store::Entry>>)> aDone) override
  {
    if (failsInMode<Store::Result<std::optional<Store::Entry>>>(aTimeout, aDone)) {
      return;
    }
    std::optional<Store::Entry> entry;
    if (const auto found = mEntries.find(aKey); found != mEntries.end()) {
      entry = found->second;
    }
    boost::asio::post(mIo, [aDone, entry] { aDone(entry); });
  }

  void readPage(const std::string& aPrefix,
                const std::string& aAfter,
                Duration aTimeout,
                Store::Done<Store::Page> aDone) override
  {
    if (failsInMode<Store::Result<Store::Page>>(aTimeout, aDone)) {
      return;
    }
    Store::Page page;
    page.mAt = mVersion;
    for (const auto& [key, entry] : mEntries) {
      if (!key.starts_with(aPrefix) || key <= aAfter) {
        continue;
      }
      if (page.mEntries.size() == kPageSize) {
        page.mMore = true;
        break;
      }
      page.mEntries.push_back(entry);
    }
    boost::asio::post(mIo, [aDone, page] { aDone(page); });
  }

  void watch(
    const std::string& aPrefix,
    Store::Version aAfter,
    Duration aWait,
    std::function<void(tl::expected<Store::WatchResult, Store::WatchError>)> aDone) override
  {
    const auto timer = std::make_shared<boost::asio::steady_timer>(mIo);
    pollChanges(timer, aPrefix, aAfter, std::chrono::steady_clock::now() + aWait, aDone);
  }

  void write(const Store::Transaction& aTransaction,
             Duration aTimeout,
             std::function<void(tl::expected<Store::Version, Store::WriteFailure>)> aDone) override
  {
    using Answer = tl::expected<Store::Version, Store::WriteFailure>;
    ++mCalls;
    if (mMode == Mode::Rejecting) {
      boost::asio::post(mIo, [aDone] {
        aDone(tl::unexpected(Store::WriteFailure{ Store::StoreError::Unavailable, {} }));
      });
      return;
    }
    if (mMode == Mode::DelayingWrites) {
      mDelayedWrites.push_back(aTransaction);
    }
    if (mMode == Mode::Silent || mMode == Mode::DelayingWrites) {
      callAfter(aTimeout, [aDone] {
        aDone(tl::unexpected(Store::WriteFailure{ Store::StoreError::Unknown, {} }));
      });
      return;
    }
    const Answer answer = apply(aTransaction);
    if (mMode == Mode::LosingAnswers) {
      callAfter(aTimeout, [aDone] {
        aDone(tl::unexpected(Store::WriteFailure{ Store::StoreError::Unknown, {} }));
      });
      return;
    }
    if (mAnswerDelay > Duration{ 0 }) {
      callAfter(mAnswerDelay, [aDone, answer] { aDone(answer); });
      return;
    }
    boost::asio::post(mIo, [aDone, answer] { aDone(answer); });
  }

  void grantLease(Duration aTimeToLive,
                  Duration aTimeout,
                  Store::Done<Store::GrantedLease> aDone) override
  {
    if (failsInMode<Store::Result<Store::GrantedLease>>(aTimeout, aDone)) {
      return;
    }
    const Store::LeaseId lease{ ++mLastLease };
    mLeaseEnds[lease] = std::chrono::steady_clock::now() + aTimeToLive;
    mLeaseDurations[lease] = aTimeToLive;
    boost::asio::post(mIo, [aDone, lease, aTimeToLive] {
      aDone(Store::GrantedLease{ lease, aTimeToLive });
    });
  }

  void renewLease(Store::LeaseId aLease, Duration aTimeout, Store::Done<void> aDone) override
  {
    if (failsInMode<Store::Result<void>>(aTimeout, aDone)) {
      return;
    }
    expireLeases();
    if (!mLeaseEnds.contains(aLease)) {
      boost::asio::post(mIo, [aDone] { aDone(tl::unexpected(Store::StoreError::LeaseLapsed)); });
      return;
    }
    mLeaseEnds[aLease] = std::chrono::steady_clock::now() + mLeaseDurations[aLease];
    boost::asio::post(mIo, [aDone] { aDone({}); });
  }

  void endLease(Store::LeaseId aLease, Duration aTimeout, Store::Done<void> aDone) override
  {
    if (failsInMode<Store::Result<void>>(aTimeout, aDone)) {
      return;
    }
    mLeaseEnds[aLease] = {};
    expireLeases();
    boost::asio::post(mIo, [aDone] { aDone({}); });
  }

private:
  static constexpr std::size_t kPageSize = 5;

  struct Change
  {
    Store::Version mVersion;
    std::string mKey;
    std::optional<Store::Entry> mEntry;
  };

  template<typename Function>
  void callAfter(Duration aDelay, Function aFunction)
  {
    const auto timer = std::make_shared<boost::asio::steady_timer>(mIo);
    timer->expires_after(aDelay);
    timer->async_wait([timer, aFunction](boost::system::error_code) { aFunction(); });
  }

  template<typename Answer, typename Callback>
  bool failsInMode(Duration aTimeout, const Callback& aDone)
  {
    ++mCalls;
    if (mMode == Mode::Rejecting) {
      boost::asio::post(mIo,
                        [aDone] { aDone(Answer(tl::unexpected(Store::StoreError::Unavailable))); });
      return true;
    }
    if (mMode == Mode::Silent) {
      callAfter(aTimeout, [aDone] { aDone(Answer(tl::unexpected(Store::StoreError::Unknown))); });
      return true;
    }
    return false;
  }

  tl::expected<Store::Version, Store::WriteFailure> apply(const Store::Transaction& aTransaction)
  {
    expireLeases();
    for (const auto& put : aTransaction.mPuts) {
      if (put.mLease && !mLeaseEnds.contains(*put.mLease)) {
        return tl::unexpected(Store::WriteFailure{ Store::StoreError::LeaseLapsed, {} });
      }
    }
    std::vector<Store::Entry> actual;
    bool conflict = false;
    for (const auto& expected : aTransaction.mExpected) {
      const auto found = mEntries.find(expected.mKey);
      const Store::Version version =
        found == mEntries.end() ? Store::Version{ 0 } : found->second.mVersion;
      conflict = conflict || version != expected.mVersion;
      if (found != mEntries.end()) {
        actual.push_back(found->second);
      }
    }
    if (conflict) {
      return tl::unexpected(Store::WriteFailure{ Store::StoreError::Conflict, actual });
    }
    mVersion += Store::Version{ 1 };
    for (const auto& put : aTransaction.mPuts) {
      mEntries[put.mKey] = { put.mKey, put.mValue, mVersion };
      mLeaseOfKey.erase(put.mKey);
      if (put.mLease) {
        mLeaseOfKey[put.mKey] = *put.mLease;
      }
      mChanges.push_back({ mVersion, put.mKey, mEntries[put.mKey] });
    }
    for (const std::string& key : aTransaction.mErased) {
      mEntries.erase(key);
      mLeaseOfKey.erase(key);
      mChanges.push_back({ mVersion, key, std::nullopt });
    }
    return mVersion;
  }

  void expireLeases()
  {
    if (mLeasesPause) {
      return;
    }
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::string> gone;
    for (const auto& [key, lease] : mLeaseOfKey) {
      if (mLeaseEnds[lease] <= now) {
        gone.push_back(key);
      }
    }
    std::erase_if(mLeaseEnds, [now](const auto& aEntry) { return aEntry.second <= now; });
    for (const std::string& key : gone) {
      mVersion += Store::Version{ 1 };
      mEntries.erase(key);
      mLeaseOfKey.erase(key);
      mChanges.push_back({ mVersion, key, std::nullopt });
    }
  }

  void pollChanges(
    const std::shared_ptr<boost::asio::steady_timer>& aTimer,
    const std::string& aPrefix,
    Store::Version aAfter,
    std::chrono::steady_clock::time_point aDeadline,
    const std::function<void(tl::expected<Store::WatchResult, Store::WatchError>)>& aDone)
  {
    expireLeases();
    if (mMode == Mode::Normal && aAfter < mOldestKeptVersion) {
      boost::asio::post(mIo, [aDone] { aDone(tl::unexpected(Store::WatchError::HistoryGone)); });
      return;
    }
    Store::WatchResult result;
    result.mUpTo = mVersion;
    // Versions rise in the list.
    auto change =
      std::partition_point(mChanges.begin(), mChanges.end(), [aAfter](const Change& aChange) {
        return aChange.mVersion <= aAfter;
      });
    for (; change != mChanges.end(); ++change) {
      if (!change->mKey.starts_with(aPrefix)) {
        continue;
      }
      if (change->mEntry) {
        result.mChanged.push_back(*change->mEntry);
      } else {
        result.mErased.push_back(change->mKey);
      }
    }
    const bool hasChanges = !result.mChanged.empty() || !result.mErased.empty();
    const bool late = std::chrono::steady_clock::now() >= aDeadline;
    if (mMode == Mode::Normal && (hasChanges || late)) {
      boost::asio::post(mIo, [aDone, result] { aDone(result); });
      return;
    }
    if (mMode != Mode::Normal && late) {
      boost::asio::post(mIo, [aDone] { aDone(tl::unexpected(Store::WatchError::NoAnswer)); });
      return;
    }
    aTimer->expires_after(std::chrono::milliseconds(5));
    aTimer->async_wait(
      [this, aTimer, aPrefix, aAfter, aDeadline, aDone](boost::system::error_code) {
        pollChanges(aTimer, aPrefix, aAfter, aDeadline, aDone);
      });
  }

  boost::asio::io_context& mIo;
  Store::Version mVersion{ 1 };
  Store::Version mOldestKeptVersion;
  std::map<std::string, Store::Entry> mEntries;
  std::map<std::string, Store::LeaseId> mLeaseOfKey;
  std::map<Store::LeaseId, std::chrono::steady_clock::time_point> mLeaseEnds;
  std::map<Store::LeaseId, Duration> mLeaseDurations;
  std::vector<Change> mChanges;
  std::vector<Store::Transaction> mDelayedWrites;
  std::int64_t mLastLease = 0;
};

/// One process's access to a shared store, which can be made to reject this process only. Answers
/// are delivered on the loop of the process.
class StoreProxy final : public Store::AsyncStore
{
public:
  StoreProxy(Store::AsyncStore& aStore, ProcessLoop& aProcess)
    : mStore(aStore)
    , mProcess(aProcess)
  {
  }

  /// Whether the store rejects the calls of this process.
  bool mRejecting = false;
  /// Writes of this process get lost and time out; its reads and watches are served.
  bool mLosesWrites = false;
  /// Prefix whose pages and watches are served nevertheless; none if empty.
  std::string mServedPrefix;
  /// Prefix whose pages and watches are rejected; none if empty.
  std::string mRejectedPrefix;
  /// Pages of this prefix are read at once and answered by releasePages().
  std::string mHeldPrefix;
  std::vector<std::function<void()>> mHeldPages;
  void releasePages()
  {
    mHeldPrefix.clear();
    const auto pages = std::exchange(mHeldPages, {});
    for (const auto& page : pages) {
      page();
    }
  }
  /// While the store rejects the calls, it serves reads of all keys but this one; none if empty.
  std::string mServesReadsBut;

  void read(const std::string& aKey,
            Duration aTimeout,
            std::function<void(Store::Result<std::optional<Store::Entry>>)> aDone) override
  {
    rejects(aKey) ? reject(aDone) : mStore.read(aKey, aTimeout, onProcess(aDone));
  }
  void readPage(const std::string& aPrefix,
                const std::string& aAfter,
                Duration aTimeout,
                Store::Done<Store::Page> aDone) override
  {
    if (!rejects(aPrefix) && aPrefix == mHeldPrefix) {
      mStore.readPage(
        aPrefix, aAfter, aTimeout, [this, aDone](const Store::Result<Store::Page>& aPage) {
          mHeldPages.push_back([this, aDone, aPage] { onProcess(aDone)(aPage); });
        });
      return;
    }
    rejects(aPrefix) ? reject(aDone) : mStore.readPage(aPrefix, aAfter, aTimeout, onProcess(aDone));
  }
  void watch(
    const std::string& aPrefix,
    Store::Version aAfter,
    Duration aWait,
    std::function<void(tl::expected<Store::WatchResult, Store::WatchError>)> aDone) override
  {
    if (rejects(aPrefix)) {
      onProcess(aDone)(tl::unexpected(Store::WatchError::NoAnswer));
      return;
    }
    // A pending watch ends without an answer when the store begins to reject the process.
    mStore.watch(aPrefix, aAfter, aWait, [this, aPrefix, done = onProcess(aDone)](auto aResult) {
      done(rejects(aPrefix) ? tl::expected<Store::WatchResult, Store::WatchError>(
                                tl::unexpected(Store::WatchError::NoAnswer))
                            : std::move(aResult));
    });
  }
  void write(const Store::Transaction& aTransaction,
             Duration aTimeout,
             std::function<void(tl::expected<Store::Version, Store::WriteFailure>)> aDone) override
  {
    if (mRejecting) {
      onProcess(aDone)(tl::unexpected(Store::WriteFailure{ Store::StoreError::Unavailable, {} }));
      return;
    }
    if (mLosesWrites) {
      const auto timer = std::make_shared<boost::asio::steady_timer>(mProcess.mIo, aTimeout);
      timer->async_wait([timer, aDone](boost::system::error_code) {
        aDone(tl::unexpected(Store::WriteFailure{ Store::StoreError::Unknown, {} }));
      });
      return;
    }
    mStore.write(aTransaction, aTimeout, onProcess(aDone));
  }
  void grantLease(Duration aTimeToLive,
                  Duration aTimeout,
                  Store::Done<Store::GrantedLease> aDone) override
  {
    mRejecting ? reject(aDone) : mStore.grantLease(aTimeToLive, aTimeout, onProcess(aDone));
  }
  void renewLease(Store::LeaseId aLease, Duration aTimeout, Store::Done<void> aDone) override
  {
    mRejecting ? reject(aDone) : mStore.renewLease(aLease, aTimeout, onProcess(aDone));
  }
  void endLease(Store::LeaseId aLease, Duration aTimeout, Store::Done<void> aDone) override
  {
    mRejecting ? reject(aDone) : mStore.endLease(aLease, aTimeout, onProcess(aDone));
  }

private:
  bool rejects(const std::string& aPrefix) const
  {
    if (!mRejectedPrefix.empty() && aPrefix == mRejectedPrefix) {
      return true;
    }
    return mRejecting && (mServedPrefix.empty() || aPrefix != mServedPrefix) &&
           (mServesReadsBut.empty() || aPrefix == mServesReadsBut);
  }

  template<typename Value>
  void reject(const std::function<void(Store::Result<Value>)>& aDone)
  {
    onProcess(aDone)(tl::unexpected(Store::StoreError::Unavailable));
  }

  template<typename Answer>
  std::function<void(Answer)> onProcess(const std::function<void(Answer)>& aDone)
  {
    return [&process = mProcess, aDone](Answer aAnswer) {
      process.deliver([aDone, answer = std::move(aAnswer)]() mutable { aDone(std::move(answer)); });
    };
  }

  Store::AsyncStore& mStore;
  ProcessLoop& mProcess;
};

} // namespace NodeTests
