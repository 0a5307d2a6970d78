#include <algorithm>

#include <catch2/catch.hpp>

#include "Admission/Admission.h"
#include "Common/RequestName.h"

using namespace std::chrono_literals;
using namespace Admission;
using Common::Refusal;
using Tables::Urgency;

namespace {

const Timestamp kStart{ 1h };

Request
MakeRequest(std::uint64_t aSequence, Urgency aUrgency = Urgency::Standard, Duration aTimeLeft = 10s)
{
  Request request;
  request.mId =
    Common::FormatRequestId({ Common::InstanceId("entry"), Common::Incarnation(1), aSequence, 1 });
  request.mRoute = Common::RouteId("route" + std::to_string(static_cast<int>(aUrgency)));
  request.mUrgency = aUrgency;
  request.mTeam = Common::TeamId("team");
  request.mClient = Common::ClientId("client");
  request.mDeadline = kStart + aTimeLeft;
  return request;
}

GateLimits
MakeLimits(std::int64_t aSlots, std::int64_t aConnections = 60)
{
  GateLimits limits;
  limits.mSlots = Common::Slots(aSlots);
  limits.mConnections = Common::Connections(aConnections);
  limits.mLimitFloor = limits.mSlots;
  return limits;
}

std::size_t
CountKind(const Actions& aActions, ActionKind aKind)
{
  return static_cast<std::size_t>(
    std::count_if(aActions.begin(), aActions.end(), [&](const Action& aAction) {
      return aAction.mKind == aKind;
    }));
}

} // namespace

TEST_CASE("A gate starts requests up to its slots and queues the rest", "[Admission]")
{
  WorkerLedger ledger;
  Gate gate = MakeGate(MakeLimits(2), kStart);
  REQUIRE(CountKind(Offer(gate, ledger, MakeRequest(1), kStart), ActionKind::Start) == 1);
  REQUIRE(CountKind(Offer(gate, ledger, MakeRequest(2), kStart), ActionKind::Start) == 1);
  REQUIRE(Offer(gate, ledger, MakeRequest(3), kStart).empty());
  REQUIRE(SlotsInUse(gate) == 2);
  REQUIRE(QueuedCount(gate) == 1);

  SECTION("a release starts the waiting one")
  {
    const Actions actions = Release(gate, ledger, MakeRequest(1).mId, {}, kStart + 10ms);
    REQUIRE(actions.size() == 1);
    REQUIRE(actions[0].mRequest.mId == MakeRequest(3).mId);

    SECTION("a second release of the same request frees nothing")
    {
      Offer(gate, ledger, MakeRequest(4), kStart + 10ms);
      REQUIRE(Release(gate, ledger, MakeRequest(1).mId, {}, kStart + 20ms).empty());
      REQUIRE(SlotsInUse(gate) == 2);
    }
  }

  SECTION("a drain refuses the waiting one and every new one, and lets the running ones finish")
  {
    const Actions refused = StartDrain(gate, kStart);
    REQUIRE(CountKind(refused, ActionKind::Refuse) == 1);
    REQUIRE(refused[0].mReason == Refusal::Leaving);
    REQUIRE(Offer(gate, ledger, MakeRequest(5), kStart)[0].mReason == Refusal::Leaving);
    REQUIRE_FALSE(IsDrained(gate));
    Release(gate, ledger, MakeRequest(1).mId, {}, kStart);
    Release(gate, ledger, MakeRequest(2).mId, {}, kStart);
    REQUIRE(IsDrained(gate));
  }

  SECTION("lower limits keep running requests and start nothing until they fit")
  {
    REQUIRE(SetLimits(gate, ledger, MakeLimits(1), kStart).empty());
    REQUIRE(Release(gate, ledger, MakeRequest(1).mId, {}, kStart).empty());
    REQUIRE(Release(gate, ledger, MakeRequest(2).mId, {}, kStart).size() == 1);
  }

  SECTION("a cancelled request never starts")
  {
    REQUIRE(CancelQueued(gate, MakeRequest(3).mId));
    REQUIRE(Release(gate, ledger, MakeRequest(1).mId, {}, kStart).empty());
  }
}

TEST_CASE("Connections are counted separately from slots", "[Admission]")
{
  WorkerLedger ledger;
  Gate gate = MakeGate(MakeLimits(4, 2), kStart);
  Offer(gate, ledger, MakeRequest(1), kStart);
  Offer(gate, ledger, MakeRequest(2), kStart);
  REQUIRE(Offer(gate, ledger, MakeRequest(3), kStart).empty());

  SECTION("an idle connection is reused instead of opening another")
  {
    const Actions actions = Release(gate, ledger, MakeRequest(1).mId, { true, true }, kStart);
    REQUIRE(CountKind(actions, ActionKind::Start) == 1);
    REQUIRE(ConnectionsInUse(gate) == 2);
  }

  SECTION("after the limit was lowered, idle connections must be closed before a request starts")
  {
    CancelQueued(gate, MakeRequest(3).mId);
    Release(gate, ledger, MakeRequest(1).mId, { true, true }, kStart);
    SetLimits(gate, ledger, MakeLimits(4, 1), kStart);
    REQUIRE(Offer(gate, ledger, MakeRequest(4), kStart).empty());
    REQUIRE(ExcessIdleConnections(gate) == Common::Connections(1));
    CloseIdleConnection(gate);
    REQUIRE(Release(gate, ledger, MakeRequest(2).mId, {}, kStart).size() == 1);
  }

  SECTION("slots and connections used by requests of an earlier agent are not granted again")
  {
    SetForeignUse(gate, Common::Slots(1), Common::Connections(1));
    REQUIRE(Release(gate, ledger, MakeRequest(1).mId, {}, kStart).empty());
    SetForeignUse(gate, Common::Slots(0), Common::Connections(0));
    REQUIRE(CountKind(Poll(gate, ledger, kStart), ActionKind::Start) == 1);
  }
}

TEST_CASE("The endpoint's count is split into own and foreign requests", "[Admission]")
{
  WorkerLedger ledger;
  Gate gate = MakeGate(MakeLimits(4), kStart);
  const auto foreignSlotsAfter = [&](std::int64_t aCount) {
    ReconcileInProgress(gate, Common::Slots(aCount));
    return gate.mForeignSlots.value();
  };
  REQUIRE(foreignSlotsAfter(2) == 2);
  REQUIRE(Offer(gate, ledger, MakeRequest(1), kStart).size() == 1);
  REQUIRE(foreignSlotsAfter(3) == 2);

  SECTION("a count that misses a request in transit does not lower the foreign use")
  {
    REQUIRE(foreignSlotsAfter(2) == 2);
    REQUIRE(foreignSlotsAfter(3) == 2);
  }

  SECTION("foreign requests that ended free their slots while own requests run")
  {
    REQUIRE(foreignSlotsAfter(1) == 2);
    REQUIRE(foreignSlotsAfter(1) == 2);
    REQUIRE(foreignSlotsAfter(1) == 0);
  }

  SECTION("a released request that the endpoint still runs is foreign")
  {
    Release(gate, ledger, MakeRequest(1).mId, {}, kStart);
    foreignSlotsAfter(3);
    REQUIRE(foreignSlotsAfter(3) == 3);
    REQUIRE(SlotsInUse(gate) == 3);
  }

  SECTION("own requests that start and end between counts are not foreign")
  {
    for (int i = 0; i < 3; ++i) {
      foreignSlotsAfter(1);
    }
    Offer(gate, ledger, MakeRequest(2), kStart);
    Release(gate, ledger, MakeRequest(2).mId, {}, kStart);
    REQUIRE(foreignSlotsAfter(2) == 0);
  }
}

TEST_CASE("A request that cannot start in time is refused at once", "[Admission]")
{
  WorkerLedger ledger;
  Gate gate = MakeGate(MakeLimits(1), kStart);
  Timestamp now = kStart;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    Offer(gate, ledger, MakeRequest(i), now);
    now += 100ms;
    Release(gate, ledger, MakeRequest(i).mId, {}, now);
  }
  Offer(gate, ledger, MakeRequest(100), now);
  Request tight = MakeRequest(101);
  tight.mDeadline = now + 150ms;
  const Actions actions = Offer(gate, ledger, tight, now);
  REQUIRE(actions.size() == 1);
  REQUIRE(actions[0].mReason == Refusal::DeadlineTooClose);
  REQUIRE(actions[0].mRetryAfter >= 20ms);

  SECTION("a waiting request that can no longer meet its deadline is refused by the next poll")
  {
    Request longEnough = MakeRequest(102);
    longEnough.mDeadline = now + 400ms;
    REQUIRE(Offer(gate, ledger, longEnough, now).empty());
    const Actions late = Poll(gate, ledger, now + 350ms);
    REQUIRE(late.size() == 1);
    REQUIRE(late[0].mReason == Refusal::DeadlineTooClose);
  }

  SECTION("an estimate that refuses every request expires, so that the endpoint is tried again")
  {
    Release(gate, ledger, MakeRequest(100).mId, {}, now);
    Request firstRequest = MakeRequest(103);
    firstRequest.mDeadline = now + 10ms;
    REQUIRE(Offer(gate, ledger, firstRequest, now)[0].mKind == ActionKind::Refuse);
    Request laterRequest = MakeRequest(104);
    laterRequest.mDeadline = now + 10s + 10ms;
    REQUIRE(Offer(gate, ledger, laterRequest, now + 10s)[0].mKind == ActionKind::Start);
  }
}

TEST_CASE("A full queue evicts from the longest flow to admit a request of a shorter one",
          "[Admission]")
{
  WorkerLedger ledger;
  GateLimits limits = MakeLimits(1);
  limits.mMaxQueued = 4;
  Gate gate = MakeGate(limits, kStart);
  for (std::uint64_t i = 1; i <= 5; ++i) {
    Offer(gate, ledger, MakeRequest(i), kStart);
  }
  REQUIRE(Offer(gate, ledger, MakeRequest(6), kStart)[0].mReason == Refusal::NoCapacity);
  Request other = MakeRequest(7);
  other.mClient = Common::ClientId("other");
  const Actions actions = Offer(gate, ledger, other, kStart);
  REQUIRE(actions.size() == 1);
  REQUIRE(actions[0].mRequest.mId == MakeRequest(5).mId);
  REQUIRE(QueuedCount(gate) == 4);

  SECTION("the shorter flow is served before the backlog of the longer one")
  {
    const Actions next = Release(gate, ledger, MakeRequest(1).mId, {}, kStart + 1ms);
    REQUIRE(next.size() == 1);
    REQUIRE(next[0].mRequest.mId == other.mId);
  }
}

TEST_CASE("Requests and tasks together never exceed the capacity of the worker", "[Admission]")
{
  WorkerLedger ledger;
  ledger.mTotal = { Common::MilliCores(4000), Common::Bytes(4000), Common::Accelerators(1) };
  ledger.mPerSlot = { Common::MilliCores(1000), Common::Bytes(100), Common::Accelerators(0) };
  ledger.mReservedSlots = Common::Slots(1);
  const Common::Resources task{ Common::MilliCores(1500), Common::Bytes(10), {} };
  REQUIRE(ReserveTask(ledger, Common::TaskId("a"), task));
  REQUIRE_FALSE(ReserveTask(ledger, Common::TaskId("a"), task));
  REQUIRE(ReserveTask(ledger, Common::TaskId("b"), task));
  REQUIRE_FALSE(ReserveTask(ledger, Common::TaskId("c"), task));
  Gate gate = MakeGate(MakeLimits(4), kStart);
  REQUIRE(CountKind(Offer(gate, ledger, MakeRequest(1), kStart), ActionKind::Start) == 1);
  REQUIRE(Offer(gate, ledger, MakeRequest(2), kStart).empty());
  REQUIRE(ReleaseTask(ledger, Common::TaskId("a")));
  REQUIRE(CountKind(Poll(gate, ledger, kStart), ActionKind::Start) == 1);
  REQUIRE_FALSE(ReserveTask(ledger, Common::TaskId("c"), task));
}
