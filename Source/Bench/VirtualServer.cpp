#include "Bench/VirtualServer.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <unordered_map>

#include "Dispatch/RetryBudget.h"

namespace Bench {

namespace {

using Admission::ActionKind;
using Admission::Actions;

constexpr Duration kPollEvery = std::chrono::milliseconds(5);
constexpr std::uint32_t kMaxTries = 20;

/// What is needed of a policy: the same calls as on a gate.
class Policy
{
public:
  virtual ~Policy() = default;
  virtual Actions offer(const Admission::Request& aRequest, Timestamp aNow) = 0;
  virtual Actions release(const Common::RequestId& aId, Timestamp aNow) = 0;
  virtual Actions poll(Timestamp aNow) = 0;
};

class GatePolicy final : public Policy
{
public:
  GatePolicy(const Scenario& aScenario, Timestamp aNow)
  {
    Admission::GateLimits limits;
    limits.mSlots = Common::Slots(aScenario.mEndpoint.mSlots);
    limits.mConnections = Common::Connections(60);
    limits.mMinShares = aScenario.mMinShares;
    if (aScenario.mPolicy == PolicyKind::StaticLimit) {
      limits.mLimitFloor = limits.mSlots;
    }
    mGate = Admission::MakeGate(limits, aNow);
  }

  Actions offer(const Admission::Request& aRequest, Timestamp aNow) override
  {
    return Admission::Offer(mGate, mWorker, aRequest, aNow);
  }

  Actions release(const Common::RequestId& aId, Timestamp aNow) override
  {
    return Admission::Release(mGate, mWorker, aId, {}, aNow);
  }

  Actions poll(Timestamp aNow) override { return Admission::Poll(mGate, mWorker, aNow); }

private:
  Admission::Gate mGate;
  Admission::WorkerLedger mWorker;
};

class FirstComePolicy final : public Policy
{
public:
  explicit FirstComePolicy(const Scenario& aScenario)
    : mFree(aScenario.mEndpoint.mSlots)
  {
  }

  Actions offer(const Admission::Request& aRequest, Timestamp aNow) override
  {
    mWaiting.push_back(aRequest);
    return poll(aNow);
  }

  Actions release(const Common::RequestId& /*aId*/, Timestamp aNow) override
  {
    ++mFree;
    return poll(aNow);
  }

  Actions poll(Timestamp /*aNow*/) override
  {
    Actions actions;
    while (mFree > 0 && !mWaiting.empty()) {
      --mFree;
      actions.push_back(
        { ActionKind::Start, std::move(mWaiting.front()), Common::Refusal::None, Duration(0) });
      mWaiting.pop_front();
    }
    return actions;
  }

private:
  std::int64_t mFree;
  std::deque<Admission::Request> mWaiting;
};

struct Ask
{
  std::size_t mStream = 0;
  Timestamp mFirst;
  Timestamp mDeadline;
  Duration mService{ 0 };
  std::uint32_t mTries = 0;
  bool mCounted = false;
  bool mAnswered = false;
};

enum class EventKind
{
  Arrival,
  Done,
  Retry,
  Poll,
};

struct Event
{
  Timestamp mAt;
  EventKind mKind = EventKind::Poll;
  /// Stream of an arrival, number of a request otherwise.
  std::uint64_t mNumber = 0;

  bool operator<(const Event& aOther) const { return mAt > aOther.mAt; }
};

class Run
{
public:
  explicit Run(const Scenario& aScenario)
    : mScenario(aScenario)
    , mRandom(aScenario.mSeed)
    , mResults(aScenario.mStreams.size())
  {
    if (aScenario.mPolicy == PolicyKind::FirstCome) {
      mPolicy = std::make_unique<FirstComePolicy>(aScenario);
    } else {
      mPolicy = std::make_unique<GatePolicy>(aScenario, mNow);
    }
    mBudget.mTokensPerSecond = 0.5;
  }

  std::vector<StreamResult> run()
  {
    const Timestamp end = mNow + mScenario.mWarmUp + mScenario.mRunTime;
    mCountFrom = mNow + mScenario.mWarmUp;
    for (std::size_t i = 0; i < mScenario.mStreams.size(); ++i) {
      scheduleArrival(i);
    }
    mEvents.push({ mNow + kPollEvery, EventKind::Poll, 0 });
    while (!mEvents.empty() && mEvents.top().mAt < end) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      handle(event);
    }
    return std::move(mResults);
  }

private:
  void handle(const Event& aEvent)
  {
    switch (aEvent.mKind) {
      case EventKind::Arrival:
        arrive(aEvent.mNumber);
        scheduleArrival(aEvent.mNumber);
        return;
      case EventKind::Done:
        done(aEvent.mNumber);
        return;
      case EventKind::Retry:
        retry(aEvent.mNumber);
        return;
      case EventKind::Poll:
        carryOut(mPolicy->poll(mNow));
        mEvents.push({ mNow + kPollEvery, EventKind::Poll, 0 });
        return;
    }
  }

  double exponential() { return -std::log(1 - mRandom.unit()); }

  void scheduleArrival(std::size_t aStream)
  {
    const double rate = mScenario.mStreams[aStream].mRate;
    if (rate > 0) {
      const auto wait = Duration(static_cast<std::int64_t>(exponential() / rate * 1e6) + 1);
      mEvents.push({ mNow + wait, EventKind::Arrival, aStream });
    }
  }

  void arrive(std::size_t aStream)
  {
    const Stream& stream = mScenario.mStreams[aStream];
    double service = 0;
    for (int i = 0; i < stream.mPhases; ++i) {
      service += exponential() / stream.mPhases;
    }
    Ask ask;
    ask.mStream = aStream;
    ask.mFirst = mNow;
    ask.mDeadline = mNow + stream.mDeadline;
    ask.mService = Duration(
      static_cast<std::int64_t>(service * static_cast<double>(stream.mService.count())) + 1);
    ask.mCounted = mNow >= mCountFrom;
    mResults[aStream].mOffered += ask.mCounted ? 1 : 0;
    const std::uint64_t number = mNext++;
    mAsks.emplace(number, ask);
    offer(number);
  }

  void offer(std::uint64_t aNumber)
  {
    const Ask& ask = mAsks.at(aNumber);
    const Stream& stream = mScenario.mStreams[ask.mStream];
    Admission::Request request;
    request.mId = Common::RequestId(std::to_string(aNumber));
    request.mRoute = Common::RouteId(std::to_string(ask.mStream));
    request.mUrgency = stream.mUrgency;
    request.mTeam = Common::TeamId("team");
    request.mClient = Common::ClientId(stream.mClient);
    request.mDeadline = ask.mDeadline;
    if (mScenario.mRetries != RetryKind::None) {
      mEvents.push({ ask.mDeadline, EventKind::Retry, aNumber });
    }
    carryOut(mPolicy->offer(request, mNow));
  }

  void carryOut(const Actions& aActions)
  {
    for (const Admission::Action& action : aActions) {
      const std::uint64_t number = std::stoull(action.mRequest.mId.str());
      Ask& ask = mAsks.at(number);
      if (action.mKind == ActionKind::Refuse) {
        mResults[ask.mStream].mRefused += ask.mCounted ? 1 : 0;
        if (mScenario.mRetries == RetryKind::None) {
          mAsks.erase(number);
        }
        continue;
      }
      ++mInProgress;
      const Duration took = slowed(ask.mService);
      mEvents.push({ mNow + took, EventKind::Done, number });
      mResults[ask.mStream].mSlotSeconds +=
        mNow >= mCountFrom ? std::chrono::duration<double>(took).count() : 0;
    }
  }

  Duration slowed(Duration aService) const
  {
    const std::int64_t knee = mScenario.mEndpoint.mKnee;
    if (knee == 0 || mInProgress <= knee) {
      return aService;
    }
    // Throughput falls with the square root of the excess: contention costs more than it gains.
    const double excess = static_cast<double>(mInProgress) / static_cast<double>(knee);
    return Duration(
      static_cast<std::int64_t>(static_cast<double>(aService.count()) * std::pow(excess, 1.5)));
  }

  void done(std::uint64_t aNumber)
  {
    --mInProgress;
    Ask& ask = mAsks.at(aNumber);
    ask.mAnswered = true;
    StreamResult& result = mResults[ask.mStream];
    const bool good = mNow <= ask.mDeadline;
    if (ask.mCounted) {
      ++(good ? result.mGood : result.mLate);
      result.mLatency.record((mNow - ask.mFirst).count());
    }
    if (good) {
      Dispatch::AddSuccessTokens(mBudget);
    }
    if (mScenario.mRetries == RetryKind::None) {
      mAsks.erase(aNumber);
    }
    carryOut(mPolicy->release(Common::RequestId(std::to_string(aNumber)), mNow));
  }

  /// The deadline of a try has come: a caller without an answer asks again. The earlier try stays
  /// in the queue or in progress, as it does when a caller hangs up.
  void retry(std::uint64_t aNumber)
  {
    const Ask ask = mAsks.at(aNumber);
    if (ask.mAnswered || ask.mTries >= kMaxTries) {
      return;
    }
    if (mScenario.mRetries == RetryKind::Budget && !Dispatch::TakeRetryToken(mBudget, mNow)) {
      return;
    }
    Ask next = ask;
    ++next.mTries;
    next.mDeadline = mNow + mScenario.mStreams[ask.mStream].mDeadline;
    const std::uint64_t number = mNext++;
    mAsks.emplace(number, next);
    offer(number);
  }

  const Scenario& mScenario;
  Common::Random mRandom;
  Timestamp mNow{ std::chrono::hours(1) };
  Timestamp mCountFrom;
  std::unique_ptr<Policy> mPolicy;
  Dispatch::RetryBudget mBudget;
  std::priority_queue<Event> mEvents;
  std::unordered_map<std::uint64_t, Ask> mAsks;
  std::uint64_t mNext = 1;
  std::int64_t mInProgress = 0;
  std::vector<StreamResult> mResults;
};

} // namespace

std::vector<StreamResult>
RunScenario(const Scenario& aScenario)
{
  return Run(aScenario).run();
}

} // namespace Bench
