#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <deque>
#include <map>

#include "Admission/Admission.h"

using namespace std::chrono_literals;
using namespace Admission;
using Tables::Urgency;

namespace {

const Timestamp kStart{ 1h };

Request
MakeRequest(std::uint64_t aNumber,
            Urgency aUrgency,
            const std::string& aTeam,
            std::uint32_t aWeight)
{
  Request request;
  request.mId = Common::RequestId(aTeam + "/" + std::to_string(aNumber));
  request.mRoute = Common::RouteId(aTeam);
  request.mUrgency = aUrgency;
  request.mTeam = Common::TeamId(aTeam);
  request.mTeamWeight = aWeight;
  request.mDeadline = kStart + 10h;
  return request;
}

/// Overloads a gate for 20 s with four requests of each kind per millisecond, at a service time of
/// 10 ms. Returns the number of started requests by team.
std::map<std::string, int>
CountStartsUnderOverload(GateLimits aLimits, const std::vector<Request>& aKinds)
{
  WorkerLedger ledger;
  Gate gate = MakeGate(std::move(aLimits), kStart);
  std::map<std::string, int> starts;
  std::deque<std::pair<Timestamp, Common::RequestId>> running;
  std::uint64_t number = 0;
  const auto recordStarts = [&](const Actions& aActions, Timestamp aNow) {
    for (const Action& action : aActions) {
      if (action.mKind == ActionKind::Start) {
        ++starts[action.mRequest.mTeam.str()];
        running.emplace_back(aNow + 10ms, action.mRequest.mId);
      }
    }
  };
  for (Timestamp now = kStart; now < kStart + 20s; now += 1ms) {
    for (const Request& kind : aKinds) {
      for (int i = 0; i < 4; ++i) {
        const Request request =
          MakeRequest(number++, kind.mUrgency, kind.mTeam.str(), kind.mTeamWeight);
        recordStarts(Offer(gate, ledger, request, now), now);
      }
    }
    while (!running.empty() && running.front().first <= now) {
      const Common::RequestId id = running.front().second;
      running.pop_front();
      recordStarts(Release(gate, ledger, id, {}, now), now);
    }
  }
  return starts;
}

GateLimits
EightSlots()
{
  GateLimits limits;
  limits.mSlots = Common::Slots(8);
  limits.mConnections = Common::Connections(60);
  limits.mLimitFloor = limits.mSlots;
  limits.mMaxQueued = 64;
  return limits;
}

} // namespace

TEST_CASE("Overloading teams of one class get service in proportion to their weights",
          "[Admission]")
{
  auto starts = CountStartsUnderOverload(EightSlots(),
                                         { MakeRequest(0, Urgency::Standard, "heavy", 3),
                                           MakeRequest(0, Urgency::Standard, "light", 1) });
  REQUIRE(starts["heavy"] == Approx(3.0 * starts["light"]).epsilon(0.05));
}

TEST_CASE("Each class keeps its minimum share while all classes are overloaded", "[Admission]")
{
  GateLimits limits = EightSlots();
  limits.mMinShares = { { Urgency::Patient, 20 }, { Urgency::Standard, 30 } };
  auto starts = CountStartsUnderOverload(limits,
                                         { MakeRequest(0, Urgency::Interactive, "interactive", 1),
                                           MakeRequest(0, Urgency::Standard, "standard", 1),
                                           MakeRequest(0, Urgency::Patient, "patient", 1) });
  const double total = starts["interactive"] + starts["standard"] + starts["patient"];
  REQUIRE(starts["patient"] >= 0.95 * 0.2 * total);
  REQUIRE(starts["standard"] >= 0.95 * 0.3 * total);
  REQUIRE(starts["interactive"] >= 0.95 * 0.5 * total);

  SECTION("without shares the more urgent class takes all slots")
  {
    limits.mMinShares.clear();
    auto strict = CountStartsUnderOverload(limits,
                                           { MakeRequest(0, Urgency::Interactive, "interactive", 1),
                                             MakeRequest(0, Urgency::Patient, "patient", 1) });
    REQUIRE(strict["patient"] <= 0.01 * strict["interactive"]);
  }

  SECTION("unused shares go to the other classes")
  {
    auto alone =
      CountStartsUnderOverload(limits, { MakeRequest(0, Urgency::Patient, "patient", 1) });
    REQUIRE(alone["patient"] >= 0.99 * 8 * 20 / 0.010);
  }
}

TEST_CASE("A gate never exceeds its limits, whatever the order of calls", "[Admission]")
{
  rc::prop("over random offers, releases, limits, tasks and foreign use", [] {
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(0, 9), rc::gen::inRange(0, 6), rc::gen::inRange(0, 40)));
    WorkerLedger ledger;
    ledger.mTotal = { Common::MilliCores(8000), Common::Bytes(1000), {} };
    ledger.mPerSlot = { Common::MilliCores(1000), Common::Bytes(10), {} };
    Gate gate = MakeGate(EightSlots(), kStart);
    Timestamp now = kStart;
    std::vector<Common::RequestId> running;
    std::uint64_t number = 0;
    const auto recordStarts = [&](const Actions& aActions) {
      for (const Action& action : aActions) {
        if (action.mKind != ActionKind::Start) {
          continue;
        }
        running.push_back(action.mRequest.mId);
        RC_ASSERT(SlotsInUse(gate) <= gate.mLimits.mSlots.value());
        RC_ASSERT(ConnectionsInUse(gate) <= gate.mLimits.mConnections.value());
        const std::int64_t cores = ledger.mReservedByTasks.mCores.value() +
                                   ledger.mSlotsInUse.value() * ledger.mPerSlot.mCores.value();
        RC_ASSERT(cores <= ledger.mTotal.mCores.value());
      }
      RC_ASSERT(ledger.mSlotsInUse.value() == static_cast<std::int64_t>(running.size()));
    };
    for (const auto& [kind, amount, wait] : steps) {
      now += std::chrono::milliseconds(wait);
      const Common::TaskId task("task" + std::to_string(amount));
      if (kind <= 3) {
        recordStarts(
          Offer(gate, ledger, MakeRequest(number++, Urgency(amount % 3), "team", 1), now));
      } else if (kind == 4 && !running.empty()) {
        const auto at = running.begin() + amount % static_cast<int>(running.size());
        const Common::RequestId id = *at;
        running.erase(at);
        recordStarts(Release(gate, ledger, id, { amount % 2 == 0, true }, now));
      } else if (kind == 5) {
        GateLimits limits = EightSlots();
        limits.mSlots = Common::Slots(amount);
        limits.mConnections = Common::Connections(amount + wait % 3);
        recordStarts(SetLimits(gate, ledger, limits, now));
      } else if (kind == 6) {
        SetForeignUse(gate, Common::Slots(amount), Common::Connections(amount));
      } else if (kind == 7) {
        ReserveTask(ledger, task, { Common::MilliCores(1500), Common::Bytes(1), {} });
      } else {
        ReleaseTask(ledger, task);
        recordStarts(Poll(gate, ledger, now));
      }
    }
  });
}
