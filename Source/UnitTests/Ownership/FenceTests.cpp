#include <catch2/catch.hpp>

#include "Ownership/Fence.h"
#include "Ownership/StepOwner.h"

using namespace std::chrono_literals;
using namespace Ownership;
using Common::Epoch;
using Common::Incarnation;
using Common::InstanceId;

namespace {

const Timestamp kStart(1h);

RosterMember
Member(const std::string& aName, std::int64_t aIncarnation = 1)
{
  return { InstanceId(aName), Incarnation(aIncarnation), "" };
}

// An owner that has just taken the cell with epoch 2 from another one.
OwnerState
NewOwner(std::vector<RosterMember> aRoster)
{
  OwnerState state = MakeOwner({}, Member("owner"), "token", 1, kStart);
  CellRecord record;
  record.mEpoch = Epoch(2);
  record.mWriterToken = "token";
  record.mRoster = std::move(aRoster);
  state.mCall = StoreCall::Read;
  StepOwner(state, CellRead{ CellView{ record, Store::Version(1), "token" } }, kStart);
  REQUIRE(state.mRole == Role::Owner);
  return state;
}

void
Answer(OwnerState& aState,
       const std::string& aName,
       Timestamp aSent,
       Timestamp aNow,
       bool aAccepted = true,
       std::int64_t aIncarnation = 1)
{
  const HeartbeatReply reply{
    InstanceId(aName), Incarnation(aIncarnation), Epoch(2), aSent, aAccepted, Epoch(2), 5
  };
  StepOwner(aState, reply, aNow);
}

Duration
Tenure(const OwnerState& aState, const std::string& aName, Timestamp aNow)
{
  return TenureToGrant(aState, aState.mAgents.at(InstanceId(aName)), aNow);
}

} // namespace

TEST_CASE("An owner needs a majority of the roster", "[Ownership]")
{
  OwnerState owner = NewOwner({ Member("a"), Member("b"), Member("c") });
  Answer(owner, "a", kStart + 1s, kStart + 2s);
  REQUIRE_FALSE(MayGrantTenure(owner, kStart + 2s));
  REQUIRE_FALSE(owner.mMajorityAt);

  SECTION("a restarted agent does not count")
  {
    Answer(owner, "b", kStart + 1s, kStart + 2s, false, 2);
    Answer(owner, "b", kStart + 2s, kStart + 3s, true, 2);
    REQUIRE_FALSE(MayGrantTenure(owner, kStart + 3s));
    REQUIRE_FALSE(owner.mMajorityAt);
  }

  SECTION("once a majority acknowledged, tenure is granted, less by the age of that")
  {
    Answer(owner, "b", kStart + 3s, kStart + 4s);
    REQUIRE(owner.mMajorityAt == kStart + 4s);
    REQUIRE(Tenure(owner, "a", kStart + 4s) == Duration(27s));
    REQUIRE(Tenure(owner, "a", kStart + 11s) == Duration(20s));
    REQUIRE(Tenure(owner, "a", kStart + 12s) == Duration(0));

    SECTION("but none to an agent that never answered")
    {
      REQUIRE(Tenure(owner, "c", kStart + 4s) == Duration(0));
    }

    SECTION("and while the roster changes, a majority of both is needed")
    {
      owner.mPending = owner.mRecord;
      owner.mPending->mRoster = { Member("a"), Member("d"), Member("e") };
      REQUIRE_FALSE(MayGrantTenure(owner, kStart + 4s));
    }

    SECTION("keys are granted 4 s later, while the majority is at most 3 s old")
    {
      REQUIRE(KeyTakeoverTime(owner) == kStart + 8s);
      Answer(owner, "a", kStart + 7s, kStart + 7s);
      Answer(owner, "b", kStart + 7s, kStart + 7s);
      REQUIRE_FALSE(MayGrantKeys(owner, kStart + 7900ms));
      REQUIRE(MayGrantKeys(owner, kStart + 8s));
      REQUIRE_FALSE(MayGrantKeys(owner, kStart + 10100ms));
    }
  }
}

TEST_CASE("An owner restarts tasks of silent agents late enough", "[Ownership]")
{
  OwnerState owner = NewOwner({ Member("a"), Member("b"), Member("c") });
  Answer(owner, "a", kStart, kStart);
  Answer(owner, "b", kStart, kStart);
  const auto keepMajority = [&owner](Timestamp aNow) {
    Answer(owner, "a", aNow, aNow);
    Answer(owner, "b", aNow, aNow);
  };

  SECTION("an agent that this owner never heard, after the takeover wait")
  {
    keepMajority(kStart + 44s);
    REQUIRE_FALSE(MayRestart(owner, InstanceId("c"), kStart + 44s));
    REQUIRE_FALSE(MayRestartUnreported(owner, kStart + 44s));
    REQUIRE(MayRestart(owner, InstanceId("c"), kStart + 45s));
    REQUIRE(MayRestartUnreported(owner, kStart + 45s));
  }

  SECTION("an agent that was heard, after its silence, and only with a fresh majority")
  {
    Answer(owner, "c", kStart + 50s, kStart + 52s);
    keepMajority(kStart + 96s);
    REQUIRE_FALSE(MayRestart(owner, InstanceId("c"), kStart + 96900ms));
    REQUIRE(MayRestart(owner, InstanceId("c"), kStart + 97s));
    REQUIRE_FALSE(MayRestart(owner, InstanceId("c"), kStart + 98100ms));
  }

  SECTION("tasks that nobody reported, at once when all have reported")
  {
    Answer(owner, "c", kStart + 1s, kStart + 1s);
    REQUIRE(MayRestartUnreported(owner, kStart + 1s));
  }

  // Found by the random schedules: the restarted agent had refused the heartbeat, so its report of
  // a task that still ran under its platform lease was not taken in.
  SECTION("a refused heartbeat is no report")
  {
    Answer(owner, "c", kStart + 1s, kStart + 1s, false, 2);
    REQUIRE_FALSE(MayRestartUnreported(owner, kStart + 1s));
  }

  // Found by the random schedules: the agent had stopped the task before the owner had a majority,
  // and the earlier owner, which still had one, started it elsewhere.
  SECTION("a report from before the majority's acceptance does not free a task")
  {
    REQUIRE_FALSE(ReportDecides(owner, kStart - 1ms));
    REQUIRE(ReportDecides(owner, kStart));
  }

  SECTION("a restart of the silent agent does not shorten the wait")
  {
    Answer(owner, "c", kStart + 46s, kStart + 46s);
    StepOwner(owner, AgentJoined{ Member("c", 2) }, kStart + 50s);
    keepMajority(kStart + 60s);
    REQUIRE_FALSE(MayRestart(owner, InstanceId("c"), kStart + 60s));
  }
}
