#include "Node/PrefixWatcher.h"

#include "Observability/Log.h"

namespace Node {

struct PrefixWatcher::Core : public std::enable_shared_from_this<Core>
{
  Core(Context& aContext, std::string aPrefix, Duration aWatchWait, Events aEvents)
    : mContext(aContext)
    , mPrefix(std::move(aPrefix))
    , mWatchWait(aWatchWait)
    , mEvents(std::move(aEvents))
    , mTimer(aContext.mIo)
  {
  }

  void readSnapshot()
  {
    ++mCallGeneration;
    mEntries.clear();
    readNextPage("");
  }

  void readNextPage(const std::string& aAfter)
  {
    const Timestamp sent = mContext.now();
    mContext.mStore.readPage(
      mPrefix,
      aAfter,
      mContext.mTiming.mStoreCallTimeout,
      [self = shared_from_this(), sent, first = aAfter.empty(), generation = mCallGeneration](
        Store::Result<Store::Page> aPage) {
        self->handlePage(std::move(aPage), sent, first, generation);
      });
  }

  void handlePage(Store::Result<Store::Page> aPage, Timestamp aSent, bool aFirst, int aGeneration)
  {
    if (mStopped || aGeneration != mCallGeneration) {
      return;
    }
    if (!aPage) {
      const auto took =
        std::chrono::duration_cast<std::chrono::milliseconds>(mContext.now() - aSent);
      Observability::Log(Observability::Level::Warning,
                         "store",
                         "failed to read a page",
                         { { "prefix", mPrefix },
                           { "entries_before", std::to_string(mEntries.size()) },
                           { "took_ms", std::to_string(took.count()) } });
      recordFailure();
      retry(&Core::readSnapshot);
      return;
    }
    recordSuccess();
    mRoundTrip = mContext.now() - aSent;
    if (aFirst) {
      // Later pages may include changes made after this version; the watch delivers those again.
      mVersion = aPage->mAt;
    }
    for (auto& entry : aPage->mEntries) {
      mEntries.push_back(std::move(entry));
    }
    if (aPage->mMore && !mEntries.empty()) {
      readNextPage(mEntries.back().mKey);
      return;
    }
    const auto entries = std::move(mEntries);
    mEntries.clear();
    mEvents.mSnapshot(entries, mVersion);
    if (!mStopped && aGeneration == mCallGeneration) {
      watch();
    }
  }

  void watch()
  {
    mContext.mStore.watch(
      mPrefix,
      mVersion,
      mWatchWait,
      [self = shared_from_this(), sent = mContext.now(), generation = mCallGeneration](
        tl::expected<Store::WatchResult, Store::WatchError> aResult) {
        self->handleWatchResult(std::move(aResult), sent, generation);
      });
  }

  /// An answer whose bytes keep coming can complete long after the call's deadline.
  void logLateAnswer(const Store::WatchResult& aResult, Duration aTook) const
  {
    if (aTook <= mWatchWait + mContext.mTiming.mWatchTimeoutMargin) {
      return;
    }
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(aTook).count();
    Observability::Log(Observability::Level::Warning,
                       "store",
                       "the changes arrived late",
                       { { "prefix", mPrefix },
                         { "took_ms", std::to_string(millis) },
                         { "changes", std::to_string(aResult.mChanged.size()) },
                         { "erased", std::to_string(aResult.mErased.size()) } });
  }

  void handleWatchResult(tl::expected<Store::WatchResult, Store::WatchError> aResult,
                         Timestamp aSent,
                         int aGeneration)
  {
    if (mStopped || aGeneration != mCallGeneration) {
      return;
    }
    if (!aResult && aResult.error() == Store::WatchError::HistoryGone) {
      Observability::Log(
        Observability::Level::Info,
        "store",
        "the store no longer has the changes after this version; reading all entries again",
        { { "prefix", mPrefix }, { "after", std::to_string(mVersion.value()) } });
      readSnapshot();
      return;
    }
    if (!aResult) {
      recordFailure();
      // The watch's connection may be dead although the store is up; a read finds out.
      retry(&Core::readSnapshot);
      return;
    }
    recordSuccess();
    logLateAnswer(*aResult, mContext.now() - aSent);
    mVersion = aResult->mUpTo;
    if (!aResult->mChanged.empty() || !aResult->mErased.empty()) {
      mEvents.mChange(*aResult);
    }
    if (!mStopped && aGeneration == mCallGeneration) {
      watch();
    }
  }

  void retry(void (Core::*aStep)())
  {
    mTimer.expires_after(mContext.mTiming.mStoreRetryDelay);
    mTimer.async_wait([self = shared_from_this(), aStep, generation = mCallGeneration](
                        boost::system::error_code aError) {
      if (!aError && !self->mStopped && generation == self->mCallGeneration) {
        (self.get()->*aStep)();
      }
    });
  }

  void recordSuccess()
  {
    if (!mConnected) {
      Observability::Log(
        Observability::Level::Info, "store", "the store answers", { { "prefix", mPrefix } });
    }
    mConnected = true;
    mLastSuccess = mContext.now();
  }

  void recordFailure()
  {
    if (mConnected) {
      Observability::Log(Observability::Level::Warning,
                         "store",
                         "the store does not answer",
                         { { "prefix", mPrefix } });
    }
    mConnected = false;
  }

  Context& mContext;
  std::string mPrefix;
  Duration mWatchWait;
  Events mEvents;
  boost::asio::steady_timer mTimer;
  Store::Version mVersion;
  std::vector<Store::Entry> mEntries;
  /// Incremented by each new snapshot; answers to calls of earlier generations are dropped.
  int mCallGeneration = 0;
  bool mStopped = false;
  bool mConnected = false;
  Timestamp mLastSuccess;
  Duration mRoundTrip{ 0 };
};

PrefixWatcher::PrefixWatcher(Context& aContext,
                             std::string aPrefix,
                             Duration aWatchWait,
                             Events aEvents)
  : mCore(std::make_shared<Core>(aContext, std::move(aPrefix), aWatchWait, std::move(aEvents)))
{
}

PrefixWatcher::~PrefixWatcher()
{
  mCore->mStopped = true;
  mCore->mTimer.cancel();
}

void
PrefixWatcher::start()
{
  mCore->readSnapshot();
}

void
PrefixWatcher::refresh()
{
  mCore->readSnapshot();
}

bool
PrefixWatcher::isConnected() const
{
  constexpr std::chrono::seconds kMaxSilence{ 1 };
  return mCore->mConnected || (mCore->mLastSuccess != Timestamp{} &&
                               mCore->mContext.now() - mCore->mLastSuccess < kMaxSilence);
}

Duration
PrefixWatcher::roundTrip() const
{
  return mCore->mRoundTrip;
}

} // namespace Node
