#include "Scheduling/Evacuation.h"

#include <algorithm>
#include <utility>

namespace Scheduling {

bool
IsEvacuated(const SchedulerState& aState, const Worker& aWorker)
{
  return aState.mEvacuated.contains(aWorker.mDataCentre);
}

void
SetEvacuated(SchedulerState& aState, EvacuatedDataCentres aDataCentres)
{
  aState.mEvacuated = std::move(aDataCentres);
  ++aState.mPlaceableChanges;
}

void
ApplyEvacuationRefusal(SchedulerState& aState,
                       std::int64_t aOrder,
                       OrderResult aResult,
                       const CurrentTime& aNow)
{
  std::optional<Common::DataCentreId> dataCentre;
  if (const auto order = aState.mOutstandingOrders.find(aOrder);
      order != aState.mOutstandingOrders.end()) {
    const auto number = aState.mWorkerIndex.find(order->second.mLifetime);
    if (number != aState.mWorkerIndex.end()) {
      dataCentre = aState.mWorkers[number->second].mDataCentre;
    }
  }
  ApplyOrderResult(aState, aOrder, aResult, aNow);
  const Timestamp until = aNow.mMonotonic + aState.mPolicy.mEvacuationRefusalPause;
  for (Worker& worker : aState.mWorkers) {
    if (worker.mDataCentre == dataCentre) {
      worker.mNoStartsUntil = std::max(worker.mNoStartsUntil, until);
    }
  }
}

std::size_t
EvacuatedWorkers(const SchedulerState& aState)
{
  return static_cast<std::size_t>(
    std::count_if(aState.mWorkers.begin(), aState.mWorkers.end(), [&](const Worker& aWorker) {
      return aWorker.mConnected && IsEvacuated(aState, aWorker);
    }));
}

EvacuatedDataCentres
EvacuatedWithoutWorkers(const SchedulerState& aState)
{
  EvacuatedDataCentres unknown = aState.mEvacuated;
  for (const Worker& worker : aState.mWorkers) {
    unknown.erase(worker.mDataCentre);
  }
  return unknown;
}

} // namespace Scheduling
