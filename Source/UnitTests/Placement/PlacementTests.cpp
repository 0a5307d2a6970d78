#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "Core/Placement/Place.h"

using namespace Placement;

namespace {

Resources
Amounts(std::int64_t aMilliCores, std::int64_t aMiB, std::int64_t aAccelerators = 0)
{
  return { Common::MilliCores(aMilliCores),
           Common::Bytes(aMiB << 20),
           Common::Accelerators(aAccelerators) };
}

WorkerAttributes
MakeWorker(const std::string& aName,
           std::vector<std::string> aLabels = {},
           std::int64_t aAccelerators = 0)
{
  return { Common::WorkerId(aName),
           Common::RackId("r-" + aName.substr(0, 2)),
           Common::DataCentreId("dc-1"),
           std::move(aLabels),
           Amounts(16000, 60000, aAccelerators) };
}

TaskRequest
MakeRequest(ReservationId aReservationId, const Resources& aNeed)
{
  TaskRequest request;
  request.mReservationId = aReservationId;
  request.mNeed = aNeed;
  return request;
}

} // namespace

TEST_CASE("A task is placed only where it fits", "[Placement]")
{
  WorkerIndex index;
  Common::Random random(7);
  const PlacementPolicy policy;
  const WorkerNumber plain = SetWorker(index, MakeWorker("w1"));
  const WorkerNumber render = SetWorker(index, MakeWorker("w2", { "render" }, 2));

  SECTION("labels and accelerators are hard limits")
  {
    const std::vector<std::string> labels = { "render" };
    TaskRequest request = MakeRequest(1, Amounts(1000, 100));
    request.mLabels = labels;
    REQUIRE(PlaceTask(index, request, policy, random) == render);
    REQUIRE(PlaceTask(index, MakeRequest(2, Amounts(1000, 100, 2)), policy, random) == render);
    REQUIRE_FALSE(PlaceTask(index, MakeRequest(3, Amounts(1000, 100, 1)), policy, random));
  }

  SECTION("an unschedulable worker gets no task, and a worker on probe gets one")
  {
    SetSchedulability(index, render, Schedulability::Unschedulable);
    SetSchedulability(index, plain, Schedulability::Probe);
    REQUIRE(PlaceTask(index, MakeRequest(1, Amounts(1000, 100)), policy, random) == plain);
    REQUIRE_FALSE(PlaceTask(index, MakeRequest(2, Amounts(1000, 100)), policy, random));
    SetSchedulability(index, render, Schedulability::Schedulable);
    REQUIRE(PlaceTask(index, MakeRequest(2, Amounts(1000, 100)), policy, random) == render);
  }

  SECTION(
    "a worker with exactly the needed resources is found in a bucket whose members may lack room")
  {
    SetReportedFreeResources(index, plain, Amounts(3001, 999), {});
    SetReportedFreeResources(index, render, Amounts(2999, 60000), {});
    REQUIRE(PlaceTask(index, MakeRequest(1, Amounts(3001, 999)), policy, random) == plain);
  }

  SECTION("a report that does not count a task yet leaves its resources reserved")
  {
    SetSchedulability(index, render, Schedulability::Unschedulable);
    REQUIRE(PlaceTask(index, MakeRequest(1, Amounts(10000, 100)), policy, random) == plain);
    SetReportedFreeResources(index, plain, Amounts(16000, 60000), { 1 });
    REQUIRE_FALSE(PlaceTask(index, MakeRequest(2, Amounts(10000, 100)), policy, random));
    SetReportedFreeResources(index, plain, Amounts(6000, 60000), {});
    REQUIRE(FreeResources(index, plain) == Amounts(6000, 60000));
    Release(index, plain, 1);
    REQUIRE(FreeResources(index, plain) == Amounts(6000, 60000));
  }

  SECTION("a worker without interference is preferred")
  {
    const std::function<double(WorkerNumber)> interferenceCost = [plain](WorkerNumber aWorker) {
      return aWorker == plain ? 1.0 : 0.0;
    };
    TaskRequest request = MakeRequest(1, Amounts(1000, 100));
    request.mInterferenceCost = &interferenceCost;
    REQUIRE(PlaceTask(index, request, policy, random) == render);
  }
}

TEST_CASE("Random fleets are never overcommitted, and a worker with room in a cell is always found",
          "[Placement]")
{
  rc::prop("placements and releases in any order", []() {
    WorkerIndex index;
    Common::Random random(*rc::gen::arbitrary<std::uint64_t>());
    const int workerCount = *rc::gen::inRange(1, 40);
    std::map<WorkerNumber, Resources> freeByWorker;
    for (int i = 0; i < workerCount; ++i) {
      const WorkerAttributes attributes = MakeWorker("w" + std::to_string(i), {}, i % 3);
      freeByWorker[SetWorker(index, attributes)] = attributes.mTotalResources;
    }
    std::map<ReservationId, std::pair<WorkerNumber, Resources>> reservations;
    const auto needs = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
      rc::gen::inRange(0, 9000), rc::gen::inRange(0, 40000), rc::gen::inRange(0, 3)));
    ReservationId id = 0;
    for (const auto& [cores, memory, accelerators] : needs) {
      const Resources need = Amounts(cores, memory, accelerators);
      bool fitsSomewhere = false;
      for (const auto& [worker, amounts] : freeByWorker) {
        fitsSomewhere = fitsSomewhere || Fits(need, amounts);
      }
      const auto chosen = PlaceTask(index, MakeRequest(++id, need), PlacementPolicy{}, random);
      RC_ASSERT(chosen.has_value() == fitsSomewhere);
      if (chosen) {
        freeByWorker[*chosen] = freeByWorker[*chosen] - need;
        RC_ASSERT(Fits(Resources{}, freeByWorker[*chosen]));
        reservations[id] = { *chosen, need };
      }
      if (!reservations.empty() && random.below(4) == 0) {
        const auto [worker, amounts] = reservations.begin()->second;
        Release(index, worker, reservations.begin()->first);
        freeByWorker[worker] = freeByWorker[worker] + amounts;
        reservations.erase(reservations.begin());
      }
    }
  });
}
