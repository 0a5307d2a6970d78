#include "Node/WorkerDriver.h"

#include "Observability/Log.h"

namespace Node {

namespace {

using Scheduling::OrderResult;

/// A lease that ends sooner than this is not worth a start.
constexpr std::chrono::milliseconds kLeastLease{ 300 };
/// Calls of one order. All of them are idempotent, so that a lost answer is settled by another try.
constexpr int kOrderTries = 3;
/// Looks that must fail before the worker is taken as not answering.
constexpr int kLookFailures = 2;
/// Refused connections, this long apart, after which nothing can run there.
constexpr int kLookRefusals = 3;
constexpr std::chrono::milliseconds kRefusedPause{ 100 };
/// The worker answers looks at once while ends are not forgotten yet.
constexpr std::chrono::milliseconds kLookPause{ 25 };
constexpr std::chrono::milliseconds kIdlePause{ 100 };
/// Time on top of the worker's own waiting after which a look has failed.
constexpr std::chrono::milliseconds kLookSlack{ 700 };

} // namespace

WorkerDriver::WorkerDriver(Context& aContext,
                           std::unique_ptr<WorkerPort> aPort,
                           Scheduling::WorkerView aView,
                           Events aEvents)
  : mContext(aContext)
  , mPort(std::move(aPort))
  , mView(std::move(aView))
  , mEvents(std::move(aEvents))
  , mTimer(aContext.mIo)
{
  mView.mHasTaskList = false;
  mView.mResponding = true;
  mRespondingSince = mContext.now();
  // An earlier life of this process may have extended the lease until just before this one started.
  mLeaseBound = mContext.now() + mContext.mSettings.mMaxHold;
}

Scheduling::WorkerView
WorkerDriver::viewNow() const
{
  Scheduling::WorkerView view = mView;
  const Duration left = std::max(mLeaseEnd, mLeaseBound) - mContext.now();
  view.mLeaseRemaining = std::chrono::duration_cast<Duration>(std::max(left, Duration{ 0 }) *
                                                              (1.0 + mContext.mTimes.mClockDrift));
  return view;
}

void
WorkerDriver::start()
{
  look();
}

void
WorkerDriver::close()
{
  mClosed = true;
  mTimer.cancel();
}

void
WorkerDriver::update(const Scheduling::WorkerView& aView)
{
  const bool left = aView.mLeaving && !mView.mLeaving;
  mView.mPool = aView.mPool;
  mView.mDataCentre = aView.mDataCentre;
  mView.mRack = aView.mRack;
  mView.mLabels = aView.mLabels;
  mView.mCapacity = aView.mCapacity;
  // A late report of a ready worker does not undo that it leaves.
  mView.mLeaving = mView.mLeaving || aView.mLeaving;
  mView.mRemaining = aView.mRemaining;
  if (left) {
    mEvents.mChanged();
  }
}

void
WorkerDriver::setTerm(Common::Epoch aTerm)
{
  mTerm = aTerm;
  mView.mHasTaskList = false;
  mForget = Scheduling::EndNumber{ 0 };
  if (!mLooking) {
    mTimer.cancel();
    look();
  }
}

void
WorkerDriver::grant(Timestamp aReported, Timestamp aUntil)
{
  if (mView.mResponding && aReported >= mRespondingSince) {
    mLeaseEnd = std::max(mLeaseEnd, aUntil);
  }
}

void
WorkerDriver::forget(Scheduling::EndNumber aUpTo)
{
  mForget = std::max(mForget, aUpTo);
}

std::optional<WorkerClock>
WorkerDriver::leaseEnd() const
{
  const Timestamp now = mContext.now();
  if (!mClock || mLeaseEnd <= now) {
    return std::nullopt;
  }
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(mLeaseEnd - mClock->second);
  return WorkerClock{ mClock->first.value() + left.count() };
}

void
WorkerDriver::noteClock(const std::optional<WorkerClock>& aClock)
{
  if (aClock) {
    mClock = { *aClock, mContext.now() };
  }
}

void
WorkerDriver::lookAfter(Duration aDelay)
{
  mTimer.expires_after(aDelay);
  mTimer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError) {
      self->look();
    }
  });
}

void
WorkerDriver::look()
{
  if (mClosed || mLooking) {
    return;
  }
  if (mTerm.value() == 0) {
    lookAfter(kIdlePause);
    return;
  }
  // Without a list of this term the coordinator waits, so the first look does not.
  const Duration wait = mView.mHasTaskList ? mContext.mTimes.mLook : Duration{ 0 };
  mLooking = true;
  mPort->look(mTerm,
              mForget,
              leaseEnd(),
              wait,
              wait + kLookSlack,
              [self = shared_from_this(), term = mTerm, sent = mContext.now()](
                tl::expected<Look, LookError> aLook) {
                self->mLooking = false;
                if (!self->mClosed) {
                  self->takeLook(std::move(aLook), term, sent);
                }
              });
}

void
WorkerDriver::takeLook(tl::expected<Look, LookError> aLook, Common::Epoch aTerm, Timestamp aSent)
{
  if (!aLook) {
    takeLookError(aLook.error());
    return;
  }
  mFailures = 0;
  mRefusals = 0;
  if (aLook->mStartedAt.value() != 0 && mView.mLifetime.mStartedAt.value() != 0 &&
      aLook->mStartedAt != mView.mLifetime.mStartedAt) {
    const Scheduling::LifetimeStart born = aLook->mStartedAt;
    close();
    mEvents.mEnded(born);
    return;
  }
  noteClock(aLook->mClock);
  setResponding(true);
  takeLists(std::move(*aLook), aTerm);
  const bool atOnce = mContext.now() - aSent >= kLookPause || !mView.mHasTaskList;
  atOnce ? look() : lookAfter(kLookPause);
}

void
WorkerDriver::takeLists(Look aLook, Common::Epoch aTerm)
{
  if (aTerm != mTerm) {
    return;
  }
  const bool news = !mView.mHasTaskList || aLook.mEnded.size() > mView.mEnded.size() ||
                    (!aLook.mEnded.empty() && !mView.mEnded.empty() &&
                     aLook.mEnded.back().mNumber > mView.mEnded.back().mNumber);
  mView.mHasTaskList = true;
  ++mView.mTaskListNumber;
  mView.mRunning = std::move(aLook.mRunning);
  mView.mEnded = std::move(aLook.mEnded);
  if (news) {
    mEvents.mChanged();
  }
}

void
WorkerDriver::takeLookError(LookError aError)
{
  switch (aError) {
    case LookError::OtherLife:
      close();
      mEvents.mEnded(Scheduling::LifetimeStart{ 0 });
      return;
    case LookError::Refused:
      if (++mRefusals >= kLookRefusals) {
        close();
        mEvents.mEnded(Scheduling::LifetimeStart{ 0 });
        return;
      }
      lookAfter(kRefusedPause);
      return;
    case LookError::Fenced:
      lookAfter(kIdlePause);
      return;
    case LookError::NoAnswer:
      break;
  }
  if (++mFailures >= kLookFailures) {
    setResponding(false);
  }
  lookAfter(kLookPause);
}

void
WorkerDriver::setResponding(bool aResponding)
{
  if (mView.mResponding == aResponding) {
    return;
  }
  Observability::Log(aResponding ? Observability::Level::Info : Observability::Level::Warning,
                     "agent",
                     aResponding ? "the worker answers again" : "the worker does not answer",
                     { { "worker", mView.mLifetime.mWorker.str() } });
  mView.mResponding = aResponding;
  if (aResponding) {
    mRespondingSince = mContext.now();
  }
  mEvents.mChanged();
}

void
WorkerDriver::carryOut(const Scheduling::Order& aOrder,
                       const std::string& aPayload,
                       std::function<void(OrderResult)> aDone)
{
  const auto attempt = std::make_shared<Attempt>();
  attempt->mOrder = aOrder;
  attempt->mPayload = aPayload;
  attempt->mDone = std::move(aDone);
  attempt->mTerm = mTerm;
  send(attempt);
}

void
WorkerDriver::send(const std::shared_ptr<Attempt>& aAttempt)
{
  if (mClosed || aAttempt->mTerm != mTerm) {
    aAttempt->mDone(aAttempt->mTries == 0 ? OrderResult::NotSent : OrderResult::Unknown);
    return;
  }
  const Scheduling::Order& order = aAttempt->mOrder;
  const auto done = [self = shared_from_this(), aAttempt](const OrderAnswer& aAnswer) {
    --self->mInFlight;
    self->takeAnswer(aAttempt, aAnswer);
  };
  const Duration timeout = mContext.mTimes.mOrderCall;
  if (order.mKind == Scheduling::OrderKind::Start) {
    const auto lease = leaseEnd();
    // A worker that leaves gets no start once its announcement was acknowledged.
    if (!lease || mLeaseEnd - mContext.now() < kLeastLease || mView.mLeaving) {
      aAttempt->mDone(aAttempt->mTries == 0 ? OrderResult::NotSent : OrderResult::Unknown);
      return;
    }
    ++mInFlight;
    mPort->start(
      mTerm,
      { order.mTask, order.mRun, aAttempt->mPayload, order.mCheckpoint, order.mTicket, *lease },
      timeout,
      done);
    return;
  }
  ++mInFlight;
  if (order.mKind == Scheduling::OrderKind::Stop) {
    mPort->stop(mTerm, order.mTask, order.mRun, timeout, done);
  } else {
    mPort->pace(mTerm, order.mTask, order.mRun, order.mPercent, timeout, done);
  }
}

void
WorkerDriver::takeAnswer(const std::shared_ptr<Attempt>& aAttempt, const OrderAnswer& aAnswer)
{
  if (!mClosed) {
    noteClock(aAnswer.mClock);
  }
  ++aAttempt->mTries;
  if (aAnswer.mResult == OrderResult::Unknown && aAttempt->mTries < kOrderTries && !mClosed) {
    send(aAttempt);
    return;
  }
  const bool repeatedStart =
    aAttempt->mTries > 1 && aAttempt->mOrder.mKind == Scheduling::OrderKind::Start;
  if (repeatedStart && aAnswer.mResult == OrderResult::StaleRun) {
    // An earlier try was carried out and has ended; the lists tell how.
    aAttempt->mDone(OrderResult::Done);
    return;
  }
  // An earlier try without an answer may still be carried out.
  const bool open = repeatedStart && aAnswer.mResult != OrderResult::Done;
  aAttempt->mDone(open ? OrderResult::Unknown : aAnswer.mResult);
}

} // namespace Node
