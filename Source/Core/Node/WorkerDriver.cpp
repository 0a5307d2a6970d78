#include "Node/WorkerDriver.h"

#include <algorithm>
#include <utility>

#include "Observability/Log.h"

namespace Node {

namespace {

using Scheduling::OrderKind;
using Scheduling::OrderResult;

/// No task is started if the lease ends sooner than this.
constexpr std::chrono::milliseconds kMinLeaseForStart{ 300 };
/// Attempts to send one order. Orders are idempotent, so a lost answer is resolved by sending
/// again.
constexpr int kMaxOrderAttempts = 3;
/// Unanswered polls since the last successful one after which the worker counts as not responding.
constexpr int kFailedPollsUntilUnresponsive = 2;
/// The silence must also last this long, which is that of two polls at the largest margin.
constexpr std::chrono::milliseconds kSilenceUntilUnresponsive{ 2'200 };
/// Polls with a refused connection, kRefusedPollDelay apart, after which the worker's lifetime and
/// all its runs count as ended.
constexpr int kRefusedPollsUntilGone = 3;
constexpr std::chrono::milliseconds kRefusedPollDelay{ 100 };
/// Minimum interval between polls: the worker answers at once while it holds unacknowledged ends.
constexpr std::chrono::milliseconds kMinPollInterval{ 25 };
/// Longest interval between polls that fail at once; it doubles from kMinPollInterval. A worker
/// gets at most five a second then, and more than twenty within the lease of 5 s.
constexpr std::chrono::milliseconds kMaxPollPause{ 200 };
/// Pause between polls while there is no term or a later term has fenced this one off.
constexpr std::chrono::milliseconds kIdlePollDelay{ 100 };
/// A worker may carry out a call that got no answer up to 12 s late.
constexpr std::chrono::seconds kLateStartTime{ 13 };
/// A poll has failed if it takes this much longer than the time that the worker was asked to wait.
/// Workers are on the agent's machine and answer within 30 ms. Every third failed poll in a row
/// adds as much, up to the maximum, for workers that answer slowly.
constexpr std::chrono::milliseconds kPollTimeoutMargin{ 200 };
constexpr std::chrono::milliseconds kMaxPollTimeoutMargin{ 700 };

Scheduling::CrashSuspect
RunOf(const Scheduling::Order& aOrder)
{
  return { aOrder.mTask, aOrder.mRun };
}

/// True if the worker lists the run as ended.
bool
ListsEnd(const Scheduling::WorkerView& aView, const Scheduling::CrashSuspect& aRun)
{
  return std::any_of(
    aView.mEnded.begin(), aView.mEnded.end(), [&aRun](const Scheduling::EndedTask& aEnd) {
      return aRun == Scheduling::CrashSuspect{ aEnd.mTask, aEnd.mRun };
    });
}

/// True if the worker lists the run, as running or as ended.
bool
ListsRun(const Scheduling::WorkerView& aView, const Scheduling::CrashSuspect& aRun)
{
  return ListsEnd(aView, aRun) ||
         std::any_of(aView.mRunning.begin(),
                     aView.mRunning.end(),
                     [&aRun](const Scheduling::RunningTask& aRunning) {
                       return aRun == Scheduling::CrashSuspect{ aRunning.mTask, aRunning.mRun };
                     });
}

} // namespace

WorkerDriver::RenewalCounts::RenewalCounts(Observability::Counters& aCounters,
                                           const Common::WorkerId& aWorker)
  : mSent(aCounters.counter("ibis_worker_renewals_sent", "worker=\"" + aWorker.str() + '"'))
  , mAnswered(aCounters.counter("ibis_worker_renewals_answered", "worker=\"" + aWorker.str() + '"'))
  , mFailedAtCheck(
      aCounters.counter("ibis_worker_renewals_failed_at_check", "worker=\"" + aWorker.str() + '"'))
  , mLeastLeft(
      aCounters.counter("ibis_worker_least_lease_left_ms", "worker=\"" + aWorker.str() + '"'))
{
}

WorkerDriver::WorkerDriver(Context& aContext,
                           std::unique_ptr<WorkerPort> aPort,
                           Scheduling::WorkerView aView,
                           Callbacks aCallbacks)
  : mContext(aContext)
  , mPort(std::move(aPort))
  , mView(std::move(aView))
  , mCallbacks(std::move(aCallbacks))
  , mTimer(aContext.mIo)
  , mRenewalCounts(aContext.mCounters, mView.mLifetime.mWorker)
{
  mView.mHasTaskList = false;
  mView.mResponding = true;
  mRespondingSince = mContext.now();
  mLastAnswered = mContext.now();
  mColdUntil = mContext.now() + mView.mColdRemaining;
  // An earlier process of this instance may have extended the lease just before this one started.
  mInheritedLeaseEnd = mContext.now() + mContext.mSettings.mMaxWorkerLease;
}

Scheduling::WorkerView
WorkerDriver::viewWithLease() const
{
  Scheduling::WorkerView view = mView;
  view.mLeaseRemaining = std::max<Duration>(runsEndBy() - mContext.now(), Duration{ 0 });
  view.mColdRemaining = std::max<Duration>(mColdUntil - mContext.now(), Duration{ 0 });
  for (Scheduling::RunningTask& running : view.mRunning) {
    running.mIsFresh = std::any_of(
      mRecentStarts.begin(), mRecentStarts.end(), [&running](const RecentStart& aStart) {
        return aStart.mRun == Scheduling::CrashSuspect{ running.mTask, running.mRun };
      });
  }
  return view;
}

Scheduling::EndedLifetime
WorkerDriver::endedLifetime() const
{
  Scheduling::EndedLifetime ended;
  ended.mLifetime = mView.mLifetime;
  ended.mLeftByPlan = mView.mLeaving;
  if (ended.mLeftByPlan) {
    return ended;
  }
  for (const RecentStart& start : mRecentStarts) {
    ended.mMayBeLateStart = ended.mMayBeLateStart || start.mMayComeLate;
    const bool isRecent = start.mSentAt + mContext.mTiming.mCrashTrialTime > mLastAliveAt;
    if (!ListsEnd(mView, start.mRun) && (isRecent || start.mIsOpen)) {
      ended.mSuspects.push_back(start.mRun);
    }
  }
  return ended;
}

void
WorkerDriver::findLateStarts()
{
  std::erase_if(mRecentStarts,
                [this](const RecentStart& aStart) { return ListsEnd(mView, aStart.mRun); });
  for (RecentStart& start : mRecentStarts) {
    if (start.mMayComeLate && ListsRun(mView, start.mRun)) {
      start.mMayComeLate = false;
      start.mSentAt = mContext.now();
    }
  }
}

void
WorkerDriver::forgetStart(const Scheduling::Order& aOrder)
{
  std::erase_if(mRecentStarts,
                [&aOrder](const RecentStart& aStart) { return aStart.mRun == RunOf(aOrder); });
}

bool
WorkerDriver::dropOutlivedStarts(Timestamp aHeardAt)
{
  bool droppedTrial = false;
  mLastAliveAt = aHeardAt;
  std::erase_if(mRecentStarts, [&](const RecentStart& aStart) {
    const Duration time =
      aStart.mMayComeLate ? Duration{ kLateStartTime } : mContext.mTiming.mCrashTrialTime;
    const bool outlived = !aStart.mIsOpen && aStart.mSentAt + time <= aHeardAt;
    droppedTrial = droppedTrial || (outlived && aStart.mIsTrial);
    return outlived;
  });
  return droppedTrial;
}

void
WorkerDriver::start()
{
  poll();
}

void
WorkerDriver::close()
{
  mClosed = true;
  mTimer.cancel();
  withdrawStarts();
}

void
WorkerDriver::updateView(const Scheduling::WorkerView& aView)
{
  const bool hasNews = (aView.mLeaving && !mView.mLeaving) || mView.mAwaitsHeartbeat ||
                       aView.mCapacity != mView.mCapacity;
  mView.mPool = aView.mPool;
  mView.mDataCentre = aView.mDataCentre;
  mView.mRack = aView.mRack;
  mView.mLabels = aView.mLabels;
  mView.mCapacity = aView.mCapacity;
  mView.mAwaitsHeartbeat = false;
  // A delayed heartbeat with the state "ready" must not undo that the worker is leaving.
  mView.mLeaving = mView.mLeaving || aView.mLeaving;
  mView.mRemaining = aView.mRemaining;
  mColdUntil = mContext.now() + aView.mColdRemaining;
  if (hasNews) {
    mCallbacks.mOnViewChanged();
  }
}

void
WorkerDriver::deregister()
{
  if (mEndsBy) {
    return;
  }
  mEndsBy = runsEndBy();
  mView.mLeaving = true;
  mCallbacks.mOnViewChanged();
}

void
WorkerDriver::setTerm(Common::Epoch aTerm)
{
  mTerm = aTerm;
  mView.mHasTaskList = false;
  mAcknowledged = Scheduling::EndNumber{ 0 };
  withdrawStarts();
  if (!mPolling) {
    mTimer.cancel();
    poll();
  }
}

void
WorkerDriver::extendLease(Timestamp aReportTime, Timestamp aLeaseEnd)
{
  if (!mEndsBy && mView.mResponding && aReportTime >= mRespondingSince) {
    mLeaseEnd = std::max(mLeaseEnd, aLeaseEnd);
    resolveWaitingStarts();
  }
}

void
WorkerDriver::acknowledgeEnds(Scheduling::EndNumber aUpTo)
{
  mAcknowledged = std::max(mAcknowledged, aUpTo);
}

std::optional<WorkerTime>
WorkerDriver::onWorkerClock(Timestamp aLeaseEnd) const
{
  const Timestamp now = mContext.now();
  if (!mLastWorkerTime || aLeaseEnd <= now) {
    return std::nullopt;
  }
  const auto remaining =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLeaseEnd - mLastWorkerTime->second);
  return WorkerTime{ mLastWorkerTime->first.value() + remaining.count() };
}

Timestamp
WorkerDriver::runsEndBy() const
{
  const auto drift = std::chrono::duration_cast<Duration>(mContext.mSettings.mMaxWorkerLease *
                                                          mContext.mTiming.mClockDrift);
  return std::max(mLeaseEnd, mInheritedLeaseEnd) + drift;
}

void
WorkerDriver::recordWorkerTime(const std::optional<WorkerTime>& aWorkerTime)
{
  if (aWorkerTime) {
    mLastWorkerTime = { *aWorkerTime, mContext.now() };
  }
}

void
WorkerDriver::schedulePoll(Duration aDelay)
{
  mTimer.expires_after(aDelay);
  mTimer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError) {
      self->poll();
    }
  });
}

void
WorkerDriver::poll()
{
  if (mClosed || mPolling) {
    return;
  }
  if (mTerm.value() == 0) {
    schedulePoll(kIdlePollDelay);
    return;
  }
  // The coordinator waits for the first lists of its term, so the worker must answer this poll at
  // once. So must it while the last poll may not have renewed its lease.
  const bool answerAtOnce = !mView.mHasTaskList || mRenewalIsOpen;
  Duration wait = answerAtOnce ? Duration{ 0 } : mContext.mTiming.mWorkerPollWait;
  const bool hasTrial = std::any_of(mRecentStarts.begin(),
                                    mRecentStarts.end(),
                                    [](const RecentStart& aStart) { return aStart.mIsTrial; });
  if (hasTrial) {
    wait = std::min(wait, mContext.mTiming.mCrashTrialTime);
  }
  const Duration margin =
    std::min<Duration>(kPollTimeoutMargin * (1 + mFailedRenewals / 3), kMaxPollTimeoutMargin);
  mPolling = true;
  mPollTimeout = wait + margin;
  mPollSent = mContext.now();
  mRequestedLeaseEnd.reset();
  const std::optional<WorkerTime> leaseEnd = onWorkerClock(mLeaseEnd);
  if (leaseEnd) {
    mRequestedLeaseEnd = mLeaseEnd;
    mRenewalCounts.mSent.add();
  }
  mPort->poll(mTerm,
              mAcknowledged,
              leaseEnd,
              wait,
              mPollTimeout,
              [self = shared_from_this(), term = mTerm, sent = mContext.now()](
                tl::expected<PollResult, PollError> aResult) {
                self->mPolling = false;
                if (!self->mClosed) {
                  self->handlePollResult(std::move(aResult), term, sent);
                }
              });
}

void
WorkerDriver::handlePollResult(tl::expected<PollResult, PollError> aResult,
                               Common::Epoch aTerm,
                               Timestamp aSent)
{
  if (!aResult) {
    handlePollError(aResult.error());
    return;
  }
  mFailedPolls = 0;
  mRefusedPolls = 0;
  mLastAnswered = aSent;
  mRenewalIsOpen = aResult->mFromCheck;
  mFailedRenewals = mRenewalIsOpen ? mFailedRenewals : 0;
  if (AreDifferentLifetimes(aResult->mStartedAt, mView.mLifetime.mStartedAt)) {
    endLifetime(aResult->mStartedAt);
    return;
  }
  if (hasOutlivedLease()) {
    endLifetime(Scheduling::LifetimeStart{ 0 });
    return;
  }
  confirm();
  recordWorkerTime(aResult->mWorkerTime);
  if (mRequestedLeaseEnd && !aResult->mFromCheck) {
    recordRenewal();
  }
  setResponding(true);
  const bool trialEnded = dropOutlivedStarts(mContext.now());
  updateTaskLists(std::move(*aResult), aTerm);
  if (trialEnded) {
    mCallbacks.mOnViewChanged();
  }
  const bool pollAtOnce = mContext.now() - aSent >= kMinPollInterval || !mView.mHasTaskList;
  pollAtOnce ? poll() : schedulePoll(kMinPollInterval);
}

void
WorkerDriver::updateTaskLists(PollResult aResult, Common::Epoch aTerm)
{
  if (aTerm != mTerm) {
    return;
  }
  const bool hasNews = !mView.mHasTaskList || aResult.mEnded.size() > mView.mEnded.size() ||
                       (!aResult.mEnded.empty() && !mView.mEnded.empty() &&
                        aResult.mEnded.back().mNumber > mView.mEnded.back().mNumber);
  mView.mHasTaskList = true;
  ++mView.mTaskListNumber;
  mView.mRunning = std::move(aResult.mRunning);
  mView.mEnded = std::move(aResult.mEnded);
  mView.mEndedListCut = aResult.mEndedListCut;
  findLateStarts();
  resolveWaitingStarts();
  if (hasNews) {
    mCallbacks.mOnViewChanged();
  }
}

void
WorkerDriver::recordRenewal()
{
  mRenewalCounts.mAnswered.add();
  if (mRenewedLeaseEnd) {
    const std::int64_t left =
      std::chrono::duration_cast<std::chrono::milliseconds>(*mRenewedLeaseEnd - mContext.now())
        .count();
    mLeastLeaseLeft = std::min(mLeastLeaseLeft.value_or(left), left);
    mRenewalCounts.mLeastLeft.set(*mLeastLeaseLeft);
  }
  mRenewedLeaseEnd = mRequestedLeaseEnd;
}

void
WorkerDriver::handlePollError(PollError aError)
{
  const Timestamp now = mContext.now();
  const bool isFirst = mFailedPolls == 0 && mRefusedPolls == 0;
  if (aError == PollError::NoAnswer && isFirst && now - mPollSent < mPollTimeout) {
    // No timeout: the worker, which was alive until then, has closed the connection.
    dropOutlivedStarts(now);
  }
  switch (aError) {
    case PollError::OtherLifetime:
      endLifetime(Scheduling::LifetimeStart{ 0 });
      return;
    case PollError::ConnectionRefused:
      if (++mRefusedPolls >= kRefusedPollsUntilGone || mEndsBy) {
        endLifetime(Scheduling::LifetimeStart{ 0 });
        return;
      }
      schedulePoll(kRefusedPollDelay);
      return;
    case PollError::Fenced:
      schedulePoll(kIdlePollDelay);
      return;
    case PollError::NotSent:
      mRenewalCounts.mFailedAtCheck.add(mRequestedLeaseEnd ? 1 : 0);
      break;
    case PollError::NoAnswer:
      break;
  }
  if (hasOutlivedLease()) {
    endLifetime(Scheduling::LifetimeStart{ 0 });
    return;
  }
  ++mFailedRenewals;
  mRenewalIsOpen = true;
  const Duration silence = mContext.now() - mLastAnswered;
  if (++mFailedPolls >= kFailedPollsUntilUnresponsive && silence >= kSilenceUntilUnresponsive) {
    setResponding(false);
  }
  const int doublings = std::min(mFailedRenewals - 1, 10);
  const Duration interval = std::min<Duration>(kMinPollInterval * (1 << doublings), kMaxPollPause);
  // Waiting for an answer in vain is a pause, too.
  schedulePoll(std::max<Duration>(interval - (mContext.now() - mPollSent), kMinPollInterval));
}

void
WorkerDriver::confirm()
{
  if (mConfirmed) {
    return;
  }
  mConfirmed = true;
  // Earlier reports did not contain the lifetime, so their answers grant it no lease.
  mRespondingSince = mContext.now();
  mCallbacks.mOnConfirmed();
}

bool
WorkerDriver::hasOutlivedLease() const
{
  return mEndsBy && mContext.now() >= *mEndsBy;
}

void
WorkerDriver::endLifetime(Scheduling::LifetimeStart aNextStart)
{
  close();
  mCallbacks.mOnLifetimeEnded(aNextStart);
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
  mCallbacks.mOnViewChanged();
}

void
WorkerDriver::executeOrder(const Scheduling::Order& aOrder,
                           const std::string& aPayload,
                           std::function<void(OrderResult)> aDone)
{
  const auto pending = std::make_shared<PendingOrder>();
  pending->mOrder = aOrder;
  pending->mPayload = aPayload;
  pending->mDone = std::move(aDone);
  pending->mTerm = mTerm;
  if (aOrder.mKind == OrderKind::Start && aOrder.mRepeated && !mClosed) {
    mWaitingStarts.push_back(pending);
    resolveWaitingStarts();
    return;
  }
  if (aOrder.mKind == OrderKind::Stop) {
    withdrawStartsIf([&aOrder](const Scheduling::Order& aStart) {
      return aStart.mTask == aOrder.mTask && aStart.mRun == aOrder.mRun;
    });
  }
  send(pending);
}

void
WorkerDriver::withdrawStarts()
{
  withdrawStartsIf([](const Scheduling::Order&) { return true; });
}

void
WorkerDriver::withdrawStartsIf(const std::function<bool(const Scheduling::Order&)>& aCondition)
{
  const auto starts = std::exchange(mWaitingStarts, {});
  for (const auto& pending : starts) {
    if (aCondition(pending->mOrder)) {
      pending->mDone(OrderResult::Unknown);
    } else {
      mWaitingStarts.push_back(pending);
    }
  }
  for (const auto& pending : mOpenStarts) {
    pending->mWithdrawn = pending->mWithdrawn || aCondition(pending->mOrder);
  }
}

void
WorkerDriver::resolveWaitingStarts()
{
  if (!mView.mHasTaskList) {
    return;
  }
  const auto starts = std::exchange(mWaitingStarts, {});
  for (const auto& pending : starts) {
    if (ListsRun(mView, RunOf(pending->mOrder))) {
      pending->mDone(OrderResult::Done);
    } else if (mView.mLeaving) {
      pending->mDone(OrderResult::Unknown);
    } else if (canStart(mLeaseEnd)) {
      send(pending);
    } else {
      mWaitingStarts.push_back(pending);
    }
  }
}

bool
WorkerDriver::canStart(Timestamp aLeaseEnd) const
{
  // No task may start on a worker once the heartbeat that says it is leaving was acknowledged.
  return onWorkerClock(aLeaseEnd) && aLeaseEnd - mContext.now() >= kMinLeaseForStart &&
         !mView.mLeaving;
}

bool
WorkerDriver::isRefusedAsEvacuated(const Scheduling::Order& aOrder)
{
  if (!mCallbacks.mIsEvacuated()) {
    return false;
  }
  mContext.mCounters.counter("ibis_starts_refused_evacuated").add();
  Observability::Log(
    Observability::Level::Info,
    "agent",
    "start refused, the data centre is evacuated",
    { { "data_centre", mContext.mSettings.mDataCentre.str() },
      { "job", aOrder.mTask.mJob.str() },
      { "run", Scheduling::DescribeRun(aOrder.mTask, aOrder.mRun, aOrder.mLifetime) } });
  return true;
}

void
WorkerDriver::send(const std::shared_ptr<PendingOrder>& aPending)
{
  if (mClosed || aPending->mWithdrawn || aPending->mTerm != mTerm) {
    aPending->mDone(aPending->hasEarlierAttempts() ? OrderResult::Unknown : OrderResult::NotSent);
    return;
  }
  const Scheduling::Order& order = aPending->mOrder;
  const auto done = [self = shared_from_this(), aPending](const OrderAnswer& aAnswer) {
    --self->mOrdersInFlight;
    std::erase(self->mOpenStarts, aPending);
    self->handleOrderAnswer(aPending, aAnswer);
  };
  const Duration timeout = mContext.mTiming.mOrderCallTimeout;
  if (order.mKind == OrderKind::Start) {
    const Timestamp leaseEnd = aPending->mLeaseEnd.value_or(mLeaseEnd);
    if (!canStart(leaseEnd) || isRefusedAsEvacuated(order)) {
      aPending->mDone(aPending->hasEarlierAttempts() ? OrderResult::Unknown : OrderResult::NotSent);
      return;
    }
    aPending->mLeaseEnd = leaseEnd;
    mOpenStarts.push_back(aPending);
    ++mOrdersInFlight;
    const auto known =
      std::find_if(mRecentStarts.begin(), mRecentStarts.end(), [&order](const RecentStart& aStart) {
        return aStart.mRun == RunOf(order);
      });
    if (known == mRecentStarts.end()) {
      mRecentStarts.push_back({ RunOf(order), mContext.now(), order.mIsTrial });
    } else {
      known->mSentAt = mContext.now();
      known->mIsOpen = true;
    }
    mPort->start(mTerm,
                 { order.mTask,
                   order.mRun,
                   aPending->mPayload,
                   order.mCheckpoint,
                   order.mTicket,
                   *onWorkerClock(leaseEnd) },
                 timeout,
                 done);
    return;
  }
  ++mOrdersInFlight;
  if (order.mKind == OrderKind::Stop) {
    mPort->stop(mTerm, order.mTask, order.mRun, timeout, done);
  } else {
    mPort->throttle(mTerm, order.mTask, order.mRun, order.mPercent, timeout, done);
  }
}

void
WorkerDriver::handleOrderAnswer(const std::shared_ptr<PendingOrder>& aPending,
                                const OrderAnswer& aAnswer)
{
  if (!mClosed) {
    recordWorkerTime(aAnswer.mWorkerTime);
  }
  const bool hadEarlierAttempts = aPending->hasEarlierAttempts();
  ++aPending->mFinishedAttempts;
  const bool isStart = aPending->mOrder.mKind == OrderKind::Start;
  const bool isRefused =
    aAnswer.mResult != OrderResult::Done && aAnswer.mResult != OrderResult::Unknown;
  const bool isStopped =
    aPending->mOrder.mKind == OrderKind::Stop && aAnswer.mResult == OrderResult::Done;
  if (isStopped || (isStart && isRefused && !hadEarlierAttempts)) {
    // The worker does not carry out the start any more.
    forgetStart(aPending->mOrder);
  }
  for (RecentStart& start : mRecentStarts) {
    if (isStart && start.mRun == RunOf(aPending->mOrder)) {
      start.mIsOpen = false;
      if (aAnswer.mResult == OrderResult::Done) {
        start.mMayComeLate = false;
        start.mSentAt = mContext.now();
      } else if (aAnswer.mResult == OrderResult::Unknown) {
        start.mMayComeLate = true;
      }
    }
  }
  if (aAnswer.mResult == OrderResult::Unknown && aPending->mFinishedAttempts < kMaxOrderAttempts &&
      !mClosed) {
    send(aPending);
    return;
  }
  if (!hadEarlierAttempts || aPending->mOrder.mKind != OrderKind::Start) {
    aPending->mDone(aAnswer.mResult);
    return;
  }
  // The worker's next lifetime may still carry out an earlier attempt that got no answer.
  aPending->mDone(aAnswer.mResult == OrderResult::LifetimeEnded
                    ? OrderResult::Unknown
                    : Scheduling::ResultOfRepeatedStart(aAnswer.mResult));
}

} // namespace Node
