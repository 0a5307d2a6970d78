#include "Node/Election.h"

#include <algorithm>
#include <random>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Node/StoreKeys.h"
#include "Observability/Log.h"

namespace Node {

namespace {

/// Longest delay of a claim. A claim takes three round trips to the store, which already
/// favours nearby processes; the delay by one more round trip spares distant processes claims that
/// would fail. It is limited because a round trip measured during start-up takes longer than the
/// network latency.
constexpr Duration kMaxClaimDelay{ std::chrono::milliseconds(80) };
/// What a machine needs to be a good coordinator of 240 workers, which takes up to 0.19 of a core
/// and 8 Mbit/s in the mean.
constexpr double kMinProcessorShare = 0.2;
constexpr double kMinLinkSpeed = 50;
/// Additional delay of a claim by a smaller machine: the time that another one takes for the three
/// calls of its claim to a store in another region, and the news of it on the way.
constexpr Duration kSmallMachineDelay{ std::chrono::milliseconds(250) };

bool
IsSmallMachine(const Settings& aSettings)
{
  return (aSettings.mProcessorShare > 0 && aSettings.mProcessorShare < kMinProcessorShare) ||
         (aSettings.mLinkSpeed > 0 && aSettings.mLinkSpeed < kMinLinkSpeed);
}

std::int64_t
RandomNonce()
{
  std::random_device device;
  return static_cast<std::int64_t>((static_cast<std::uint64_t>(device()) << 31U) ^ device());
}

} // namespace

struct Election::Core : public std::enable_shared_from_this<Core>
{
  /// Coordinators before this one. Times are from the start of this term on.
  struct Others
  {
    /// The process before this one, unless it resigned; the nonce is 0 if there is none.
    std::string mPredecessor;
    std::int64_t mPredecessorNonce = 0;
    /// A later process of its instance has started.
    bool mPredecessorEnded = false;
    /// How long the predecessor may still act.
    Duration mPredecessorActs{ 0 };
    /// How long those before it may still act.
    Duration mEarlierAct{ 0 };

    Duration longestAct() const { return std::max(mPredecessorActs, mEarlierAct); }
  };

  enum class Role
  {
    Follower,
    Claiming,
    Leader,
    Resigned,
  };

  Core(Context& aContext, std::string aAddress, Events aEvents)
    : mContext(aContext)
    , mAddress(std::move(aAddress))
    , mEvents(std::move(aEvents))
    , mClaimTimer(aContext.mIo)
    , mRenewalTimer(aContext.mIo)
    , mEndTimer(aContext.mIo)
    , mNonce(RandomNonce())
  {
  }

  bool isLeaseValid() const { return mRole == Role::Leader && mContext.now() < mLeaseValidUntil; }

  bool mayAct() const
  {
    return mRole == Role::Leader &&
           mContext.now() <
             mLeaseValidUntil + (mStoreSilent ? mContext.mTiming.mStoreOutageGrace : Duration{ 0 });
  }

  void observeCoordinator(const std::optional<Wire::CoordinatorRecord>& aRecord,
                          Store::Version aVersion,
                          Duration aRoundTrip)
  {
    if (mRole == Role::Leader && aVersion < mKeyVersion) {
      // The record is older than this process's claim.
      return;
    }
    mStoreRoundTrip = aRoundTrip;
    mKeyExists = aRecord.has_value();
    mAwaitedEnd = aRecord && aRecord->nonce != mNonce &&
                      aRecord->predecessor == mContext.mSettings.mInstance.str() &&
                      aRecord->predecessorNonce != mNonce
                    ? aRecord->predecessorNonce
                    : 0;
    writeAwaitedEnd();
    if (mStopped || mRole == Role::Resigned) {
      return;
    }
    if (aRecord && aRecord->instance == mContext.mSettings.mInstance.str() &&
        aRecord->nonce != mNonce && mRole == Role::Follower) {
      eraseKeyOfEarlierProcess();
      return;
    }
    if (aRecord && aRecord->nonce != mNonce) {
      if (aRecord->term > mTerm.value()) {
        stepDown(true, "another process has a later term");
      }
      return;
    }
    if (!aRecord) {
      if (mRole == Role::Leader) {
        log("the coordinator key expired or was erased");
        stepDown(false, "the key is gone");
      }
      scheduleClaim();
    }
  }

  /// Tells the coordinator that its predecessor, an earlier process of this instance, has ended.
  void writeAwaitedEnd()
  {
    if (mAwaitedEnd == 0 || mAwaitedEnd == mWrittenEnd || mEndWriteInProgress || mStopped) {
      return;
    }
    mEndWriteInProgress = true;
    Store::Transaction transaction;
    transaction.mPuts = { { kEndedKey, std::to_string(mAwaitedEnd), std::nullopt } };
    mContext.mStore.write(transaction,
                          mContext.mTiming.mStoreCallTimeout,
                          [self = shared_from_this(), ended = mAwaitedEnd](
                            const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
                            self->mEndWriteInProgress = false;
                            if (self->mStopped) {
                              return;
                            }
                            if (aResult) {
                              self->log("told the coordinator that its predecessor, an earlier "
                                        "process of this instance, has ended");
                              self->mWrittenEnd = ended;
                              self->writeAwaitedEnd();
                              return;
                            }
                            self->startTimer(self->mEndTimer,
                                             self->mContext.mTiming.mStoreRetryDelay,
                                             [](Core& aCore) { aCore.writeAwaitedEnd(); });
                          });
  }

  /// Erases the key that an earlier process of this instance left behind. That process has ended,
  /// so it cannot act as coordinator any more.
  void eraseKeyOfEarlierProcess()
  {
    mContext.mStore.read(
      kCoordinatorKey,
      mContext.mTiming.mStoreCallTimeout,
      [self = shared_from_this()](Store::Result<std::optional<Store::Entry>> aEntry) {
        if (self->mStopped || !aEntry || !*aEntry) {
          return;
        }
        const auto record = Wire::Decode<Wire::CoordinatorRecord>((*aEntry)->mValue);
        if (!record || record->instance != self->mContext.mSettings.mInstance.str() ||
            record->nonce == self->mNonce) {
          return;
        }
        self->log("erasing the coordinator key of an earlier process of this instance");
        Store::Transaction transaction;
        transaction.mExpected = { { kCoordinatorKey, (*aEntry)->mVersion } };
        transaction.mPuts = { { kEndedKey, std::to_string(record->nonce), std::nullopt } };
        transaction.mErased = { kCoordinatorKey };
        // If the write fails, the key expires with its lease, and the record of the next
        // coordinator names the earlier process.
        self->mContext.mStore.write(
          transaction,
          self->mContext.mTiming.mStoreCallTimeout,
          [self, ended = record->nonce](
            const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
            if (aResult) {
              self->mWrittenEnd = ended;
            }
          });
      });
  }

  void scheduleClaim()
  {
    if (mRole != Role::Follower || mStopped) {
      return;
    }
    // A coordinator that lost its key claims it without delay, before others do.
    const Duration delay =
      mTerm.value() > 0 && mStateIsCurrent
        ? Duration{ 0 }
        : std::min<Duration>(mStoreRoundTrip, kMaxClaimDelay) +
            (IsSmallMachine(mContext.mSettings) ? kSmallMachineDelay : Duration{ 0 });
    startTimer(mClaimTimer, delay, [](Core& aCore) {
      if (aCore.mRole == Role::Follower && !aCore.mKeyExists) {
        aCore.claim();
      }
    });
  }

  void claim()
  {
    mRole = Role::Claiming;
    mContext.mStore.read(
      kTermKey,
      mContext.mTiming.mStoreCallTimeout,
      [self = shared_from_this()](Store::Result<std::optional<Store::Entry>> aTerm) {
        self->handleTerm(std::move(aTerm));
      });
  }

  void handleTerm(Store::Result<std::optional<Store::Entry>> aTerm)
  {
    if (mRole != Role::Claiming || mStopped) {
      return;
    }
    if (!aTerm) {
      retryClaimLater();
      return;
    }
    std::int64_t lastTerm = 0;
    Others others;
    mTermVersion = Store::Version{ 0 };
    if (*aTerm) {
      mTermVersion = (*aTerm)->mVersion;
      const auto record = Wire::Decode<Wire::CoordinatorRecord>((*aTerm)->mValue);
      if (!record) {
        log("the term record cannot be decoded; using its version as the last term");
      }
      lastTerm = record ? record->term : mTermVersion.value();
      mTermNonce = record ? record->nonce : 0;
      others = othersBefore(record);
    }
    mResumed = mStateIsCurrent && lastTerm == mTerm.value() && mTermNonce == mNonce;
    if (!mResumed) {
      mOthers = others;
    }
    if (!mResumed && mStateIsCurrent) {
      mStateIsCurrent = false;
      mEvents.mSuperseded();
    }
    mTerm = mResumed ? mTerm : Common::Epoch{ lastTerm + 1 };
    const Timestamp sent = mContext.now();
    mContext.mStore.grantLease(
      std::max(mContext.mTiming.mCoordinatorLease, mContext.mSettings.mMinStoreLease),
      mContext.mTiming.mStoreCallTimeout,
      [self = shared_from_this(), sent](Store::Result<Store::GrantedLease> aLease) {
        self->handleLease(aLease, sent);
      });
  }

  /// What the record of the last term says about the coordinators before a new one.
  Others othersBefore(const std::optional<Wire::CoordinatorRecord>& aRecord) const
  {
    const Duration longest =
      mContext.mTiming.mCoordinatorLease + mContext.mTiming.mStoreOutageGrace;
    Others others;
    if (!aRecord) {
      others.mEarlierAct = longest;
      return others;
    }
    if (aRecord->__isset.othersActMicros) {
      others.mEarlierAct = Duration{ aRecord->othersActMicros };
      return others;
    }
    others.mEarlierAct =
      aRecord->__isset.earlierActMicros ? Duration{ aRecord->earlierActMicros } : longest;
    others.mPredecessor = aRecord->instance;
    others.mPredecessorNonce = aRecord->nonce;
    others.mPredecessorEnded =
      aRecord->instance == mContext.mSettings.mInstance.str() && aRecord->nonce != mNonce;
    others.mPredecessorActs = others.mPredecessorEnded ? Duration{ 0 } : longest;
    return others;
  }

  void handleLease(const Store::Result<Store::GrantedLease>& aLease, Timestamp aSent)
  {
    if (mRole != Role::Claiming || mStopped) {
      return;
    }
    if (!aLease) {
      retryClaimLater();
      return;
    }
    mLease = aLease->mLease;
    mLeaseTimeToLive = aLease->mTimeToLive;
    mLeaseValidUntil = aSent + mLeaseTimeToLive - mContext.mTiming.mLeaseSafetyMargin;
    Wire::CoordinatorRecord record;
    record.term = mTerm.value();
    record.instance = mContext.mSettings.mInstance.str();
    record.address = mAddress;
    record.nonce = mNonce;
    record.predecessor = mOthers.mPredecessor;
    record.predecessorNonce = mOthers.mPredecessorNonce;
    record.__set_earlierActMicros((mResumed ? othersMayStillAct() : mOthers.longestAct()).count());
    mRecord = record;
    const std::string value = Wire::Encode(record);
    Store::Transaction transaction;
    transaction.mExpected = { { kCoordinatorKey, Store::Version{ 0 } },
                              { kTermKey, mTermVersion } };
    transaction.mPuts = { { kCoordinatorKey, value, mLease }, { kTermKey, value, std::nullopt } };
    mContext.mStore.write(transaction,
                          mContext.mTiming.mStoreCallTimeout,
                          [self = shared_from_this()](
                            const tl::expected<Store::Version, Store::WriteFailure>& aResult) {
                            self->handleClaimResult(aResult);
                          });
  }

  void handleClaimResult(const tl::expected<Store::Version, Store::WriteFailure>& aResult)
  {
    if (mRole != Role::Claiming || mStopped) {
      return;
    }
    if (!aResult) {
      if (aResult.error().mError == Store::StoreError::Unknown) {
        verifyClaim();
      } else {
        retryClaimLater();
      }
      return;
    }
    becomeLeader(*aResult);
  }

  /// Reads the key after a claim with unknown outcome to find out whether it took effect.
  void verifyClaim()
  {
    mContext.mStore.read(
      kCoordinatorKey,
      mContext.mTiming.mStoreCallTimeout,
      [self = shared_from_this()](Store::Result<std::optional<Store::Entry>> aEntry) {
        if (self->mRole != Role::Claiming || self->mStopped) {
          return;
        }
        if (aEntry && *aEntry) {
          const auto record = Wire::Decode<Wire::CoordinatorRecord>((*aEntry)->mValue);
          if (record && record->nonce == self->mNonce && record->term == self->mTerm.value() &&
              self->mContext.now() < self->mLeaseValidUntil) {
            self->becomeLeader((*aEntry)->mVersion);
            return;
          }
        }
        self->retryClaimLater();
      });
  }

  void becomeLeader(Store::Version aVersion)
  {
    mRole = Role::Leader;
    if (!mResumed) {
      mTermStart = mContext.now();
    }
    mStateIsCurrent = true;
    mKeyVersion = aVersion;
    mKeyExists = true;
    Observability::Log(Observability::Level::Info,
                       "election",
                       mResumed ? "coordinator again in the same term" : "coordinator",
                       { { "term", std::to_string(mTerm.value()) } });
    scheduleRenewal();
    mEvents.mElected(mTerm, mResumed);
  }

  void scheduleRenewal()
  {
    startTimer(
      mRenewalTimer, mContext.mTiming.mLeaseRenewalInterval, [](Core& aCore) { aCore.renew(); });
  }

  void renew()
  {
    if (mRole != Role::Leader) {
      return;
    }
    if (!mayAct()) {
      log("the coordinator lease was not renewed in time");
      stepDown(false, "the lease was not renewed in time");
      scheduleClaim();
      return;
    }
    const Timestamp sent = mContext.now();
    mContext.mStore.renewLease(
      mLease,
      mContext.mTiming.mLeaseRenewalTimeout,
      [self = shared_from_this(), sent](Store::Result<void> aResult) {
        if (self->mRole != Role::Leader || self->mStopped) {
          return;
        }
        self->setStoreSilent(!aResult && aResult.error() != Store::StoreError::LeaseLapsed);
        if (aResult) {
          self->mLeaseValidUntil =
            sent + self->mLeaseTimeToLive - self->mContext.mTiming.mLeaseSafetyMargin;
        } else if (aResult.error() == Store::StoreError::LeaseLapsed) {
          self->log("the coordinator lease expired");
          self->stepDown(false, "the lease expired");
          self->mKeyExists = false;
          self->scheduleClaim();
          return;
        }
        self->scheduleRenewal();
      });
  }

  void setStoreSilent(bool aSilent)
  {
    if (aSilent != mStoreSilent) {
      log(aSilent ? "the store does not answer; acting as coordinator for a limited time"
                  : "the store answers again");
    }
    mStoreSilent = aSilent;
  }

  void stepDown(bool aSuperseded, std::string_view aReason)
  {
    mStoreSilent = false;
    const bool wasLeader = mRole == Role::Leader;
    if (mRole != Role::Resigned) {
      mRole = Role::Follower;
    }
    if (wasLeader) {
      mEvents.mPaused(aReason);
    }
    if (aSuperseded && mStateIsCurrent) {
      mStateIsCurrent = false;
      mEvents.mSuperseded();
    }
  }

  void retryClaimLater()
  {
    mRole = Role::Follower;
    // If another process claimed the key meanwhile, the watch reports it; otherwise claim again.
    startTimer(mClaimTimer, mContext.mTiming.mStoreRetryDelay, [](Core& aCore) {
      if (!aCore.mKeyExists) {
        aCore.scheduleClaim();
      }
    });
  }

  void resign(std::function<void()> aDone)
  {
    const bool wasLeader = mRole == Role::Leader;
    stepDown(true, "it resigned");
    mRole = Role::Resigned;
    const auto done = [self = shared_from_this(), onResigned = std::move(aDone)] {
      if (!self->mStopped) {
        onResigned();
      }
    };
    if (!wasLeader) {
      boost::asio::post(mContext.mIo, done);
      return;
    }
    mRecord.__set_othersActMicros(othersMayStillAct().count());
    Store::Transaction transaction;
    transaction.mExpected = { { kCoordinatorKey, mKeyVersion } };
    transaction.mPuts = { { kTermKey, Wire::Encode(mRecord), std::nullopt } };
    transaction.mErased = { kCoordinatorKey };
    // If the call fails, the key expires with its lease.
    mContext.mStore.write(
      transaction,
      mContext.mTiming.mStoreCallTimeout,
      [done](const tl::expected<Store::Version, Store::WriteFailure>&) { done(); });
  }

  Timestamp othersActUntil() const { return mTermStart + mOthers.longestAct(); }

  Duration othersMayStillAct() const
  {
    return std::max<Duration>(othersActUntil() - mContext.now(), Duration{ 0 });
  }

  void notePredecessorEnded()
  {
    // When it ended is not known, except that it is in the past.
    mOthers.mPredecessorEnded = true;
    mOthers.mPredecessorActs =
      std::min<Duration>(mOthers.mPredecessorActs, mContext.now() - mTermStart);
  }

  void startTimer(boost::asio::steady_timer& aTimer, Duration aDelay, void (*aStep)(Core&))
  {
    aTimer.expires_after(aDelay);
    aTimer.async_wait([self = shared_from_this(), aStep](boost::system::error_code aError) {
      if (!aError && !self->mStopped) {
        aStep(*self);
      }
    });
  }

  void log(std::string_view aMessage) const
  {
    Observability::Log(Observability::Level::Warning,
                       "election",
                       aMessage,
                       { { "term", std::to_string(mTerm.value()) } });
  }

  Context& mContext;
  std::string mAddress;
  Events mEvents;
  boost::asio::steady_timer mClaimTimer;
  boost::asio::steady_timer mRenewalTimer;
  boost::asio::steady_timer mEndTimer;
  /// Distinguishes this process from earlier processes of the same instance.
  std::int64_t mNonce;
  /// Nonce of the process that wrote kTermKey.
  std::int64_t mTermNonce = 0;
  Role mRole = Role::Follower;
  Common::Epoch mTerm;
  /// This process was the coordinator in mTerm and its state is still valid.
  bool mStateIsCurrent = false;
  /// The last claim continued the earlier term of this process.
  bool mResumed = false;
  bool mKeyExists = true;
  bool mStopped = false;
  /// The store did not answer the last lease renewal.
  bool mStoreSilent = false;
  Store::Version mTermVersion;
  Timestamp mTermStart;
  Others mOthers;
  /// Nonce of the earlier process of this instance that the coordinator waits for, and of the one
  /// whose end was last written; 0 if there is none.
  std::int64_t mAwaitedEnd = 0;
  std::int64_t mWrittenEnd = 0;
  bool mEndWriteInProgress = false;
  /// Value of kTermKey as this process wrote it.
  Wire::CoordinatorRecord mRecord;
  /// Version of kCoordinatorKey as this process wrote it.
  Store::Version mKeyVersion;
  Store::LeaseId mLease;
  Duration mLeaseTimeToLive{ 0 };
  Duration mStoreRoundTrip{ 0 };
  /// The lease's earliest possible expiry less the safety margin.
  Timestamp mLeaseValidUntil;
};

Election::Election(Context& aContext, std::string aAddress, Events aEvents)
  : mCore(std::make_shared<Core>(aContext, std::move(aAddress), std::move(aEvents)))
{
}

Election::~Election()
{
  mCore->mStopped = true;
  mCore->mClaimTimer.cancel();
  mCore->mRenewalTimer.cancel();
  mCore->mEndTimer.cancel();
}

void
Election::observeCoordinator(const std::optional<Wire::CoordinatorRecord>& aRecord,
                             Store::Version aVersion,
                             Duration aRoundTrip)
{
  mCore->observeCoordinator(aRecord, aVersion, aRoundTrip);
}

bool
Election::mayAct() const
{
  return mCore->mayAct();
}

bool
Election::isLeaseValid() const
{
  return mCore->isLeaseValid();
}

Timestamp
Election::leaseValidUntil() const
{
  return mCore->mLeaseValidUntil;
}

Common::Epoch
Election::term() const
{
  return mCore->mTerm;
}

Timestamp
Election::othersActUntil() const
{
  return mCore->othersActUntil();
}

Duration
Election::othersMayStillAct() const
{
  return mCore->othersMayStillAct();
}

std::optional<std::int64_t>
Election::awaitedPredecessor() const
{
  const Core::Others& others = mCore->mOthers;
  return others.mPredecessorNonce == 0 || others.mPredecessorEnded
           ? std::nullopt
           : std::make_optional(others.mPredecessorNonce);
}

void
Election::notePredecessorEnded()
{
  mCore->notePredecessorEnded();
}

void
Election::noteEarlierMayAct(const Wire::RecordsStamp& aStamp)
{
  if (aStamp.term == mCore->mTerm.value() - 1) {
    Duration& earlierAct = mCore->mOthers.mEarlierAct;
    earlierAct = std::min(earlierAct, Duration{ aStamp.earlierActMicros });
  }
}

Store::Expectation
Election::fencingCondition() const
{
  return { kCoordinatorKey, mCore->mKeyVersion };
}

void
Election::suspectKeyLost()
{
  if (mCore->mRole == Core::Role::Leader) {
    mCore->log("a write conflict suggests that another process holds the coordinator key");
    mCore->stepDown(false, "a write conflicted");
    mCore->scheduleClaim();
  }
}

void
Election::resign(std::function<void()> aDone)
{
  mCore->resign(std::move(aDone));
}

} // namespace Node
