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
MakeRequest(std::uint64_t aSequence, Urgency aUrgency = Urgency::Standard, Duration aDeadline = 10s)
{
  Request request;
  request.mId =
    Common::FormatRequestId({ Common::InstanceId("entry"), Common::Incarnation(1), aSequence, 1 });
  request.mRoute = Common::RouteId("route" + std::to_string(static_cast<int>(aUrgency)));
  request.mUrgency = aUrgency;
  request.mTeam = Common::TeamId("team");
  request.mClient = Common::ClientId("client");
  request.mDeadline = kStart + aDeadline;
  return request;
}

GateLimits
Limits(std::int64_t aSlots, std::int64_t aConnections = 60)
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
  WorkerLedger worker;
  Gate gate = MakeGate(Limits(2), kStart);
  REQUIRE(CountKind(Offer(gate, worker, MakeRequest(1), kStart), ActionKind::Start) == 1);
  REQUIRE(CountKind(Offer(gate, worker, MakeRequest(2), kStart), ActionKind::Start) == 1);
  REQUIRE(Offer(gate, worker, MakeRequest(3), kStart).empty());
  REQUIRE(SlotsInUse(gate) == 2);
  REQUIRE(QueuedCount(gate) == 1);

  SECTION("a release starts the waiting one")
  {
    const Actions actions = Release(gate, worker, MakeRequest(1).mId, {}, kStart + 10ms);
    REQUIRE(actions.size() == 1);
    REQUIRE(actions[0].mRequest.mId == MakeRequest(3).mId);

    SECTION("a second release of the same request frees nothing")
    {
      Offer(gate, worker, MakeRequest(4), kStart + 10ms);
      REQUIRE(Release(gate, worker, MakeRequest(1).mId, {}, kStart + 20ms).empty());
      REQUIRE(SlotsInUse(gate) == 2);
    }
  }

  SECTION("a drain refuses the waiting one and every new one, and lets the running ones finish")
  {
    const Actions refused = StartDrain(gate, kStart);
    REQUIRE(CountKind(refused, ActionKind::Refuse) == 1);
    REQUIRE(refused[0].mReason == Refusal::Leaving);
    REQUIRE(Offer(gate, worker, MakeRequest(5), kStart)[0].mReason == Refusal::Leaving);
    REQUIRE_FALSE(IsDrained(gate));
    Release(gate, worker, MakeRequest(1).mId, {}, kStart);
    Release(gate, worker, MakeRequest(2).mId, {}, kStart);
    REQUIRE(IsDrained(gate));
  }

  SECTION("lower limits keep running requests and start nothing until they fit")
  {
    REQUIRE(SetLimits(gate, worker, Limits(1), kStart).empty());
    REQUIRE(Release(gate, worker, MakeRequest(1).mId, {}, kStart).empty());
    REQUIRE(Release(gate, worker, MakeRequest(2).mId, {}, kStart).size() == 1);
  }

  SECTION("a withdrawn request never starts")
  {
    REQUIRE(CancelQueued(gate, MakeRequest(3).mId));
    REQUIRE(Release(gate, worker, MakeRequest(1).mId, {}, kStart).empty());
  }
}

TEST_CASE("Connections are counted apart from slots", "[Admission]")
{
  WorkerLedger worker;
  Gate gate = MakeGate(Limits(4, 2), kStart);
  Offer(gate, worker, MakeRequest(1), kStart);
  Offer(gate, worker, MakeRequest(2), kStart);
  REQUIRE(Offer(gate, worker, MakeRequest(3), kStart).empty());

  SECTION("a kept connection is reused, not added")
  {
    const Actions actions = Release(gate, worker, MakeRequest(1).mId, { true, true }, kStart);
    REQUIRE(CountKind(actions, ActionKind::Start) == 1);
    REQUIRE(ConnectionsInUse(gate) == 2);
  }

  SECTION("after the limit was lowered, kept connections must be closed before anything starts")
  {
    CancelQueued(gate, MakeRequest(3).mId);
    Release(gate, worker, MakeRequest(1).mId, { true, true }, kStart);
    SetLimits(gate, worker, Limits(4, 1), kStart);
    REQUIRE(Offer(gate, worker, MakeRequest(4), kStart).empty());
    REQUIRE(ExcessIdleConnections(gate) == Common::Connections(1));
    CloseIdleConnection(gate);
    REQUIRE(Release(gate, worker, MakeRequest(2).mId, {}, kStart).size() == 1);
  }

  SECTION("what the endpoint counts of an earlier agent is not granted again")
  {
    SetForeignUse(gate, Common::Slots(1), Common::Connections(1));
    REQUIRE(Release(gate, worker, MakeRequest(1).mId, {}, kStart).empty());
    SetForeignUse(gate, Common::Slots(0), Common::Connections(0));
    REQUIRE(CountKind(Poll(gate, worker, kStart), ActionKind::Start) == 1);
  }
}

TEST_CASE("The count of an endpoint is split into own and foreign requests", "[Admission]")
{
  WorkerLedger worker;
  Gate gate = MakeGate(Limits(4), kStart);
  const auto note = [&](std::int64_t aCount) {
    ReconcileInProgress(gate, Common::Slots(aCount));
    return gate.mForeignSlots.value();
  };
  REQUIRE(note(2) == 2);
  REQUIRE(Offer(gate, worker, MakeRequest(1), kStart).size() == 1);
  REQUIRE(note(3) == 2);

  SECTION("a count that misses a request on its way lowers nothing")
  {
    REQUIRE(note(2) == 2);
    REQUIRE(note(3) == 2);
  }

  SECTION("foreign requests that ended give their slots back while own ones run")
  {
    REQUIRE(note(1) == 2);
    REQUIRE(note(1) == 2);
    REQUIRE(note(1) == 0);
  }

  SECTION("a request that the gate gave up and the endpoint still runs is foreign")
  {
    Release(gate, worker, MakeRequest(1).mId, {}, kStart);
    note(3);
    REQUIRE(note(3) == 3);
    REQUIRE(SlotsInUse(gate) == 3);
  }

  SECTION("own requests that come and go are never foreign")
  {
    for (int i = 0; i < 3; ++i) {
      note(1);
    }
    Offer(gate, worker, MakeRequest(2), kStart);
    Release(gate, worker, MakeRequest(2).mId, {}, kStart);
    REQUIRE(note(2) == 0);
  }
}

TEST_CASE("A request that cannot start in time is refused at once", "[Admission]")
{
  WorkerLedger worker;
  Gate gate = MakeGate(Limits(1), kStart);
  Timestamp now = kStart;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    Offer(gate, worker, MakeRequest(i), now);
    now += 100ms;
    Release(gate, worker, MakeRequest(i).mId, {}, now);
  }
  Offer(gate, worker, MakeRequest(100), now);
  Request tight = MakeRequest(101);
  tight.mDeadline = now + 150ms;
  const Actions actions = Offer(gate, worker, tight, now);
  REQUIRE(actions.size() == 1);
  REQUIRE(actions[0].mReason == Refusal::DeadlineTooClose);
  REQUIRE(actions[0].mRetryAfter >= 20ms);

  SECTION("one that waits past its deadline is refused by the next poll")
  {
    Request enough = MakeRequest(102);
    enough.mDeadline = now + 400ms;
    REQUIRE(Offer(gate, worker, enough, now).empty());
    const Actions late = Poll(gate, worker, now + 350ms);
    REQUIRE(late.size() == 1);
    REQUIRE(late[0].mReason == Refusal::DeadlineTooClose);
  }

  SECTION("an estimate that refuses everything lapses, so that the endpoint is tried again")
  {
    Release(gate, worker, MakeRequest(100).mId, {}, now);
    Request short1 = MakeRequest(103);
    short1.mDeadline = now + 10ms;
    REQUIRE(Offer(gate, worker, short1, now)[0].mKind == ActionKind::Refuse);
    Request short2 = MakeRequest(104);
    short2.mDeadline = now + 10s + 10ms;
    REQUIRE(Offer(gate, worker, short2, now + 10s)[0].mKind == ActionKind::Start);
  }
}

TEST_CASE("A full queue pushes out the longest flow, not the newcomer of a short one",
          "[Admission]")
{
  WorkerLedger worker;
  GateLimits limits = Limits(1);
  limits.mMaxQueued = 4;
  Gate gate = MakeGate(limits, kStart);
  for (std::uint64_t i = 1; i <= 5; ++i) {
    Offer(gate, worker, MakeRequest(i), kStart);
  }
  REQUIRE(Offer(gate, worker, MakeRequest(6), kStart)[0].mReason == Refusal::NoCapacity);
  Request other = MakeRequest(7);
  other.mClient = Common::ClientId("other");
  const Actions actions = Offer(gate, worker, other, kStart);
  REQUIRE(actions.size() == 1);
  REQUIRE(actions[0].mRequest.mId == MakeRequest(5).mId);
  REQUIRE(QueuedCount(gate) == 4);

  SECTION("and the short flow is served before the long one's backlog")
  {
    const Actions next = Release(gate, worker, MakeRequest(1).mId, {}, kStart + 1ms);
    REQUIRE(next.size() == 1);
    REQUIRE(next[0].mRequest.mId == other.mId);
  }
}

TEST_CASE("Requests and tasks together never exceed the worker", "[Admission]")
{
  WorkerLedger worker;
  worker.mTotal = { Common::MilliCores(4000), Common::Bytes(4000), Common::Accelerators(1) };
  worker.mPerSlot = { Common::MilliCores(1000), Common::Bytes(100), Common::Accelerators(0) };
  worker.mReservedSlots = Common::Slots(1);
  const Common::Resources task{ Common::MilliCores(1500), Common::Bytes(10), {} };
  REQUIRE(ReserveTask(worker, Common::TaskId("a"), task));
  REQUIRE_FALSE(ReserveTask(worker, Common::TaskId("a"), task));
  REQUIRE(ReserveTask(worker, Common::TaskId("b"), task));
  REQUIRE_FALSE(ReserveTask(worker, Common::TaskId("c"), task));
  Gate gate = MakeGate(Limits(4), kStart);
  REQUIRE(CountKind(Offer(gate, worker, MakeRequest(1), kStart), ActionKind::Start) == 1);
  REQUIRE(Offer(gate, worker, MakeRequest(2), kStart).empty());
  REQUIRE(ReleaseTask(worker, Common::TaskId("a")));
  REQUIRE(CountKind(Poll(gate, worker, kStart), ActionKind::Start) == 1);
  REQUIRE_FALSE(ReserveTask(worker, Common::TaskId("c"), task));
}
