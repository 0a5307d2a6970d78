#include <catch2/catch.hpp>

#include <algorithm>

#include "Dispatch/EntryGate.h"
#include "Dispatch/Request.h"

using namespace std::chrono_literals;
using namespace Dispatch;
using Common::Outcome;
using Common::Refusal;
using Kind = RequestActionKind;

namespace {

const Timestamp kStart{ 1h };

/// One request on an entry with three agents in its data centre.
struct Fixture
{
  explicit Fixture(bool aIdempotent = false, bool aHasKey = false)
  {
    for (const std::string name : { "a", "b", "c" }) {
      AgentReport report;
      report.mInstance = Common::InstanceId(name);
      report.mIncarnation = Common::Incarnation(1);
      report.mSlotsLimit = 8;
      ApplyReport(mPool, report, 3, kStart, mRandom);
    }
    mRules.mHedgeDelay = 50ms;
    mBudget.mTokensPerSecond = 0;
    reset(1, aIdempotent, aHasKey);
  }

  void reset(std::uint64_t aSequence, bool aIdempotent, bool aHasKey)
  {
    mState = {};
    mState.mSpec.mName = { Common::InstanceId("entry"), Common::Incarnation(1), aSequence, 1 };
    mState.mSpec.mIdempotent = aIdempotent;
    mState.mSpec.mMayHedge = true;
    mState.mSpec.mClaimsKey = aHasKey;
    mState.mSpec.mDeadline = kStart + 1s;
  }

  RequestActions step(const RequestEvent& aEvent, Timestamp aNow = kStart)
  {
    DispatchContext context{ mPool, mBudget, mLocation, mRules };
    return StepRequest(mState, aEvent, context, aNow, mRandom);
  }

  std::int32_t inFlight() const
  {
    std::int32_t sum = 0;
    for (const AgentView& agent : mPool.mAgents) {
      sum += agent.mInFlight;
    }
    return sum;
  }

  Common::Random mRandom{ 1 };
  PoolView mPool;
  RetryBudget mBudget;
  Location mLocation;
  DispatchRules mRules;
  RequestState mState;
};

const RequestAction*
FindAction(const RequestActions& aActions, Kind aKind)
{
  const auto found =
    std::find_if(aActions.begin(), aActions.end(), [&](const RequestAction& aAction) {
      return aAction.mKind == aKind;
    });
  return found == aActions.end() ? nullptr : &*found;
}

CallResult
AnsweredResult(Outcome aOutcome, Refusal aReason = Refusal::None)
{
  return { Delivery::Answered, aOutcome, aReason, Common::Incarnation(1), false, Duration(0) };
}

CallResult
InProgressResult()
{
  CallResult result = AnsweredResult(Outcome::Unknown);
  result.mInProgress = true;
  return result;
}

} // namespace

TEST_CASE("A request that may have run is queried, not sent again", "[Dispatch]")
{
  Fixture entry;
  const RequestAction sent = *FindAction(entry.step(RequestArrived{}), Kind::Send);
  REQUIRE(entry.inFlight() == 1);

  SECTION("a hedge is never sent for it")
  {
    REQUIRE_FALSE(FindAction(entry.step(Tick{}, kStart + 100ms), Kind::Send));
  }

  SECTION("after a lost reply the same incarnation is queried")
  {
    const auto actions = entry.step(ExecuteReply{ sent.mId, {} }, kStart + 10ms);
    REQUIRE_FALSE(FindAction(actions, Kind::Send));
    REQUIRE_FALSE(FindAction(actions, Kind::Answer));
    REQUIRE(FindAction(actions, Kind::Query)->mId == sent.mId);
    REQUIRE(FindAction(actions, Kind::Query)->mAgent.mInstance == sent.mAgent.mInstance);

    SECTION("the query is repeated while the request runs")
    {
      const auto wait = entry.step(QueryReply{ sent.mId, InProgressResult() }, kStart + 20ms);
      const auto again = entry.step(Tick{}, FindAction(wait, Kind::WakeAt)->mWakeTime);
      REQUIRE(FindAction(again, Kind::Query));
      const auto done =
        entry.step(QueryReply{ sent.mId, AnsweredResult(Outcome::Ran) }, kStart + 90ms);
      REQUIRE(FindAction(done, Kind::Answer)->mOutcome == Outcome::Ran);
      REQUIRE(FindAction(done, Kind::Close));
      REQUIRE(entry.inFlight() == 0);
    }

    SECTION("a restarted agent cannot tell: the outcome is unknown, never not-run")
    {
      CallResult other = AnsweredResult(Outcome::NotRun);
      other.mIncarnation = Common::Incarnation(2);
      const auto done = entry.step(QueryReply{ sent.mId, other }, kStart + 20ms);
      REQUIRE(FindAction(done, Kind::Answer)->mOutcome == Outcome::Unknown);
    }

    SECTION("a definite not-run from the query allows an attempt on another agent")
    {
      const auto next = entry.step(
        QueryReply{ sent.mId, AnsweredResult(Outcome::NotRun, Refusal::Leaving) }, kStart + 20ms);
      REQUIRE(FindAction(next, Kind::Send)->mAgent.mInstance != sent.mAgent.mInstance);
    }

    SECTION("a late reply to the first call is ignored once the query has been sent")
    {
      REQUIRE_FALSE(FindAction(entry.step(ExecuteReply{ sent.mId, AnsweredResult(Outcome::Ran) }),
                               Kind::Answer));
    }
  }

  SECTION("without any reply the outcome is unknown at the deadline")
  {
    const auto done = entry.step(Tick{}, kStart + 1s);
    REQUIRE(FindAction(done, Kind::Answer)->mOutcome == Outcome::Unknown);
    SECTION("and the caller is never answered twice")
    {
      const auto late =
        entry.step(ExecuteReply{ sent.mId, AnsweredResult(Outcome::Ran) }, kStart + 2s);
      REQUIRE_FALSE(FindAction(late, Kind::Answer));
      REQUIRE(FindAction(late, Kind::Close));
    }
  }

  SECTION("a reply to another request is ignored")
  {
    const auto stray =
      entry.step(ExecuteReply{ Common::RequestId("entry/1/2/1"), AnsweredResult(Outcome::Ran) });
    REQUIRE_FALSE(FindAction(stray, Kind::Answer));
    REQUIRE(entry.inFlight() == 1);
  }
}

TEST_CASE("Refused requests are retried on other agents within the budget", "[Dispatch]")
{
  Fixture entry;
  entry.mBudget.mTokens = 1;
  const RequestAction first = *FindAction(entry.step(RequestArrived{}), Kind::Send);
  const auto full = AnsweredResult(Outcome::NotRun, Refusal::NoCapacity);
  const RequestAction second = *FindAction(entry.step(ExecuteReply{ first.mId, full }), Kind::Send);
  REQUIRE(second.mAgent.mInstance != first.mAgent.mInstance);
  REQUIRE(second.mId != first.mId);
  const auto done = entry.step(ExecuteReply{ second.mId, full });
  REQUIRE_FALSE(FindAction(done, Kind::Send));
  REQUIRE(FindAction(done, Kind::Answer)->mOutcome == Outcome::NotRun);
  REQUIRE(FindAction(done, Kind::Answer)->mReason == Refusal::NoCapacity);
  REQUIRE(FindAction(done, Kind::Answer)->mRemaining > 0ms);

  SECTION("a refusal by a leaving agent costs no budget")
  {
    entry.reset(2, false, false);
    const RequestAction again = *FindAction(entry.step(RequestArrived{}), Kind::Send);
    const auto leaving = AnsweredResult(Outcome::NotRun, Refusal::Leaving);
    REQUIRE(FindAction(entry.step(ExecuteReply{ again.mId, leaving }), Kind::Send));
  }

  SECTION("an overloaded pool sees few more calls than requests")
  {
    std::size_t sends = 0;
    for (std::uint64_t i = 10; i < 1010; ++i) {
      entry.reset(i, true, false);
      RequestActions actions = entry.step(RequestArrived{});
      while (const RequestAction* send = FindAction(actions, Kind::Send)) {
        ++sends;
        actions = entry.step(ExecuteReply{ send->mId, full });
      }
    }
    REQUIRE(sends <= 1000 + 20);
  }
}

TEST_CASE("Only idempotent requests are hedged and retried after a loss", "[Dispatch]")
{
  Fixture entry(true);
  entry.mBudget.mTokens = 1;
  const RequestAction first = *FindAction(entry.step(RequestArrived{}), Kind::Send);

  SECTION("the first reply is the answer, the other one ends its request in flight")
  {
    const auto actions = entry.step(Tick{}, kStart + 50ms);
    const RequestAction hedge = *FindAction(actions, Kind::Send);
    REQUIRE(hedge.mAgent.mInstance != first.mAgent.mInstance);
    const auto done =
      entry.step(ExecuteReply{ hedge.mId, AnsweredResult(Outcome::Ran) }, kStart + 60ms);
    REQUIRE(FindAction(done, Kind::Answer)->mId == hedge.mId);
    REQUIRE_FALSE(FindAction(done, Kind::Close));
    const auto late =
      entry.step(ExecuteReply{ first.mId, AnsweredResult(Outcome::Ran) }, kStart + 70ms);
    REQUIRE_FALSE(FindAction(late, Kind::Answer));
    REQUIRE(FindAction(late, Kind::Close));
    REQUIRE(entry.inFlight() == 0);
  }

  SECTION("a lost attempt that may have run keeps the outcome from being not-run")
  {
    const auto retried = entry.step(ExecuteReply{ first.mId, {} });
    const RequestAction second = *FindAction(retried, Kind::Send);
    const auto refused =
      entry.step(ExecuteReply{ second.mId, AnsweredResult(Outcome::NotRun, Refusal::NoCapacity) });
    REQUIRE_FALSE(FindAction(refused, Kind::Answer));
    const auto done = entry.step(Tick{}, kStart + 1s);
    REQUIRE(FindAction(done, Kind::Answer)->mOutcome == Outcome::Unknown);
  }
}

TEST_CASE("A key is claimed before anything is sent and settled with the true outcome",
          "[Dispatch]")
{
  Fixture entry(false, true);
  const auto begun = entry.step(RequestArrived{});
  REQUIRE(FindAction(begun, Kind::Claim));
  REQUIRE_FALSE(FindAction(begun, Kind::Send));

  SECTION("granted: the request is sent; a late reply corrects unknown at the deadline")
  {
    const auto granted =
      entry.step(ClaimReply{ Delivery::Answered, { KeyState::Granted, {}, nullptr, {} } });
    const RequestAction sent = *FindAction(granted, Kind::Send);
    const auto late = entry.step(Tick{}, kStart + 1s);
    REQUIRE(FindAction(late, Kind::Settle)->mOutcome == Outcome::Unknown);
    const auto ran =
      entry.step(ExecuteReply{ sent.mId, AnsweredResult(Outcome::Ran) }, kStart + 2s);
    REQUIRE(FindAction(ran, Kind::Settle)->mOutcome == Outcome::Ran);
    REQUIRE(FindAction(ran, Kind::Settle)->mId == sent.mId);

    SECTION("a reply to the earlier settlement does not count for the later one")
    {
      REQUIRE_FALSE(
        FindAction(entry.step(SettleReply{ Outcome::Unknown, true }, kStart + 2s), Kind::Close));
      REQUIRE(FindAction(entry.step(SettleReply{ Outcome::Ran, true }, kStart + 2s), Kind::Close));
    }
  }

  SECTION("finished: the stored response is the answer, nothing is sent or settled")
  {
    const auto done =
      entry.step(ClaimReply{ Delivery::Answered, { KeyState::Finished, {}, nullptr, {} } });
    REQUIRE(FindAction(done, Kind::Answer)->mOutcome == Outcome::Ran);
    REQUIRE(FindAction(done, Kind::Answer)->mId.empty());
    REQUIRE_FALSE(FindAction(done, Kind::Send));
    REQUIRE_FALSE(FindAction(done, Kind::Settle));
  }

  SECTION("a claim that is never answered is settled as not-run")
  {
    entry.step(ClaimReply{});
    const auto done = entry.step(Tick{}, kStart + 1s);
    REQUIRE(FindAction(done, Kind::Answer)->mOutcome == Outcome::NotRun);
    REQUIRE(FindAction(done, Kind::Settle)->mOutcome == Outcome::NotRun);
  }
}

TEST_CASE("The entry's limit follows the slots of the pool", "[Dispatch]")
{
  Fixture entry;
  REQUIRE(MakeEntryGateLimits(entry.mPool, 3, 1, {}, {}).mSlots == Common::Slots(36));
  REQUIRE(MakeEntryGateLimits(entry.mPool, 30, 2, {}, {}).mSlots == Common::Slots(180));
  FindAgent(entry.mPool, Common::InstanceId("a"))->mReport.mLeaving = true;
  REQUIRE(MakeEntryGateLimits(entry.mPool, 3, 1, {}, {}).mSlots == Common::Slots(24));
}
