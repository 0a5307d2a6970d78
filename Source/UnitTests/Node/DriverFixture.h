#pragma once

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "Common/Clock.h"
#include "FakeStore.h"
#include "Node/WorkerDriver.h"

namespace NodeTests {

/// Answers calls when the test says so.
class HeldPort final : public WorkerPort
{
public:
  void start(Common::Epoch,
             const StartTaskRequest& aRequest,
             Duration,
             std::function<void(OrderAnswer)> aDone) override
  {
    mStarts.push_back(aRequest);
    mAnswerStart = std::move(aDone);
  }
  void stop(Common::Epoch,
            const Scheduling::TaskName&,
            Scheduling::RunNumber,
            Duration,
            std::function<void(OrderAnswer)>) override
  {
  }
  void throttle(Common::Epoch,
                const Scheduling::TaskName&,
                Scheduling::RunNumber,
                Scheduling::Percent,
                Duration,
                std::function<void(OrderAnswer)>) override
  {
  }
  void poll(Common::Epoch,
            Scheduling::EndNumber,
            std::optional<WorkerTime>,
            Duration,
            Duration,
            std::function<void(tl::expected<PollResult, PollError>)> aDone) override
  {
    mAnswerPoll = std::move(aDone);
  }

  std::vector<StartTaskRequest> mStarts;
  std::function<void(OrderAnswer)> mAnswerStart;
  std::function<void(tl::expected<PollResult, PollError>)> mAnswerPoll;
};

/// A driver with a lease for its worker, whose clock the test advances.
class DriverFixture
{
public:
  DriverFixture()
  {
    auto port = std::make_unique<HeldPort>();
    mPort = port.get();
    Scheduling::WorkerView view;
    view.mLifetime = { Common::WorkerId("w1"), Scheduling::LifetimeStart{ 1 } };
    advance(1s);
    mDriver = std::make_shared<WorkerDriver>(
      mContext,
      std::move(port),
      view,
      WorkerDriver::Callbacks{
        [] {}, [](Scheduling::LifetimeStart) {}, [] {}, [this] { return mEvacuated; } });
    mDriver->setTerm(Common::Epoch{ 1 });
    answerPoll();
    extendLease();
  }
  ~DriverFixture() { mDriver->close(); }
  DriverFixture(const DriverFixture&) = delete;
  DriverFixture& operator=(const DriverFixture&) = delete;

  void advance(std::chrono::milliseconds aTime) { mClock.advance(aTime); }

  /// Gives the worker a lease of 5 s from now on.
  void extendLease() { mDriver->extendLease(mClock.now(), mClock.now() + 5s); }

  void orderStart(bool aRepeated = false)
  {
    Scheduling::Order order = makeOrder(Scheduling::OrderKind::Start);
    order.mRepeated = aRepeated;
    mDriver->executeOrder(order, "", [this](auto aResult) { mResult = aResult; });
  }

  void orderStop(Scheduling::RunNumber aRun)
  {
    Scheduling::Order order = makeOrder(Scheduling::OrderKind::Stop);
    order.mRun = aRun;
    mDriver->executeOrder(order, "", [](auto) {});
  }

  void answerStart(Scheduling::OrderResult aResult)
  {
    const auto answer = std::exchange(mPort->mAnswerStart, nullptr);
    answer({ aResult, std::nullopt });
  }

  /// Answers the open poll and lets the next one follow.
  void answerPoll(std::vector<Scheduling::EndedTask> aEnded = {})
  {
    PollResult result;
    result.mWorkerTime = WorkerTime{
      std::chrono::duration_cast<std::chrono::milliseconds>(mClock.now().time_since_epoch()).count()
    };
    result.mStartedAt = Scheduling::LifetimeStart{ 1 };
    result.mEnded = std::move(aEnded);
    const auto answer = std::exchange(mPort->mAnswerPoll, nullptr);
    answer(std::move(result));
    if (!mPort->mAnswerPoll) {
      mDriver->setTerm(Common::Epoch{ 1 });
    }
  }

  /// The worker is gone, and its connection with it.
  void closePoll()
  {
    const auto answer = std::exchange(mPort->mAnswerPoll, nullptr);
    answer(tl::unexpected(PollError::NoAnswer));
  }

  /// Attempts to start the run that were sent.
  std::size_t attempts() const { return mPort->mStarts.size(); }
  WorkerTime leaseEndOfLastAttempt() const { return mPort->mStarts.back().mLeaseEnd; }

  std::size_t suspects() const { return mDriver->endedLifetime().mSuspects.size(); }
  bool mayBeLateStart() const { return mDriver->endedLifetime().mMayBeLateStart; }

  Scheduling::TaskName mTask{ Common::JobId("j"), 0, 0, 0 };
  Scheduling::RunNumber mRun{ 1 };
  std::optional<Scheduling::OrderResult> mResult;
  /// The worker's data centre is evacuated.
  bool mEvacuated = false;

private:
  Scheduling::Order makeOrder(Scheduling::OrderKind aKind) const
  {
    Scheduling::Order order;
    order.mKind = aKind;
    order.mTask = mTask;
    order.mRun = mRun;
    return order;
  }

  boost::asio::io_context mIo;
  Common::ManualClock mClock;
  Settings mSettings;
  TimingConstants mTiming;
  Formats mFormats;
  Observability::Counters mCounters;
  ProcessLoop mLoop;
  FakeStore mStore{ mIo };
  StoreProxy mProxy{ mStore, mLoop };
  Context mContext{ mIo, mClock, mSettings, mTiming, mFormats, mProxy, mCounters };
  HeldPort* mPort = nullptr;

public:
  std::shared_ptr<WorkerDriver> mDriver;
};

} // namespace NodeTests
