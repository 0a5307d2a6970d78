#include "Node/PrefixWatcher.h"

#include "Observability/Log.h"

namespace Node {

struct PrefixWatcher::Core : public std::enable_shared_from_this<Core>
{
  Core(Context& aContext, std::string aPrefix, Duration aWait, Events aEvents)
    : mContext(aContext)
    , mPrefix(std::move(aPrefix))
    , mWait(aWait)
    , mEvents(std::move(aEvents))
    , mTimer(aContext.mIo)
  {
  }

  void readFirst()
  {
    ++mRound;
    mEntries.clear();
    readNext("");
  }

  void readNext(const std::string& aAfter)
  {
    const Timestamp sent = mContext.now();
    mContext.mStore.readPage(
      mPrefix,
      aAfter,
      mContext.mTiming.mStoreCallTimeout,
      [self = shared_from_this(), sent, first = aAfter.empty(), round = mRound](
        Store::Result<Store::Page> aPage) {
        self->takePage(std::move(aPage), sent, first, round);
      });
  }

  void takePage(Store::Result<Store::Page> aPage, Timestamp aSent, bool aFirst, int aRound)
  {
    if (mStopped || aRound != mRound) {
      return;
    }
    if (!aPage) {
      noteFailure();
      retry(&Core::readFirst);
      return;
    }
    noteSuccess();
    mRoundTrip = mContext.now() - aSent;
    if (aFirst) {
      // Later pages may show changes after the first one; the watch repeats those.
      mAt = aPage->mAt;
    }
    for (auto& entry : aPage->mEntries) {
      mEntries.push_back(std::move(entry));
    }
    if (aPage->mMore && !mEntries.empty()) {
      readNext(mEntries.back().mKey);
      return;
    }
    const auto entries = std::move(mEntries);
    mEntries.clear();
    mEvents.mSnapshot(entries, mAt);
    if (!mStopped) {
      watch();
    }
  }

  void watch()
  {
    mContext.mStore.watch(mPrefix,
                          mAt,
                          mWait,
                          [self = shared_from_this(), round = mRound](
                            tl::expected<Store::WatchResult, Store::WatchError> aResult) {
                            self->takeChanges(std::move(aResult), round);
                          });
  }

  void takeChanges(tl::expected<Store::WatchResult, Store::WatchError> aResult, int aRound)
  {
    if (mStopped || aRound != mRound) {
      return;
    }
    if (!aResult && aResult.error() == Store::WatchError::HistoryGone) {
      Observability::Log(Observability::Level::Info,
                         "store",
                         "history is gone; reading all entries again",
                         { { "prefix", mPrefix }, { "after", std::to_string(mAt.value()) } });
      readFirst();
      return;
    }
    if (!aResult) {
      noteFailure();
      // The connection may have gone silent while the store lives, so that a read settles it.
      retry(&Core::readFirst);
      return;
    }
    noteSuccess();
    mAt = aResult->mUpTo;
    if (!aResult->mChanged.empty() || !aResult->mErased.empty()) {
      mEvents.mChange(*aResult);
    }
    if (!mStopped) {
      watch();
    }
  }

  void retry(void (Core::*aStep)())
  {
    mTimer.expires_after(mContext.mTiming.mStoreRetryDelay);
    mTimer.async_wait(
      [self = shared_from_this(), aStep, round = mRound](boost::system::error_code aError) {
        if (!aError && !self->mStopped && round == self->mRound) {
          (self.get()->*aStep)();
        }
      });
  }

  void noteSuccess()
  {
    if (!mConnected) {
      Observability::Log(
        Observability::Level::Info, "store", "the store answers", { { "prefix", mPrefix } });
    }
    mConnected = true;
    mLastSuccess = mContext.now();
  }

  void noteFailure()
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
  Duration mWait;
  Events mEvents;
  boost::asio::steady_timer mTimer;
  Store::Version mAt;
  std::vector<Store::Entry> mEntries;
  /// Answers of an earlier round are dropped.
  int mRound = 0;
  bool mStopped = false;
  bool mConnected = false;
  Timestamp mLastSuccess;
  Duration mRoundTrip{ 0 };
};

PrefixWatcher::PrefixWatcher(Context& aContext, std::string aPrefix, Duration aWait, Events aEvents)
  : mCore(std::make_shared<Core>(aContext, std::move(aPrefix), aWait, std::move(aEvents)))
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
  mCore->readFirst();
}

void
PrefixWatcher::refresh()
{
  mCore->readFirst();
}

bool
PrefixWatcher::isConnected() const
{
  constexpr std::chrono::seconds kFresh{ 1 };
  return mCore->mConnected || (mCore->mLastSuccess != Timestamp{} &&
                               mCore->mContext.now() - mCore->mLastSuccess < kFresh);
}

Duration
PrefixWatcher::roundTrip() const
{
  return mCore->mRoundTrip;
}

} // namespace Node
