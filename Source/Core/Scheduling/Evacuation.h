#pragma once

#include <cstddef>

#include "Scheduling/Schedule.h"

/// Data centres that the operator has evacuated: tasks that run there continue, but none starts
/// there, whatever capacity is free. The load that this answers is work that waits while a whole
/// data centre is about to be taken away.
namespace Scheduling {

/// True if no task may start on the worker because its data centre is evacuated.
bool
IsEvacuated(const SchedulerState& aState, const Worker& aWorker);

/// Replaces the set of evacuated data centres. Names of data centres without workers have no
/// effect.
void
SetEvacuated(SchedulerState& aState, EvacuatedDataCentres aDataCentres);

/// Applies the result of an order that the agent refused because its data centre is evacuated. No
/// task starts on any worker of that data centre for Policy::mEvacuationRefusalPause, because every
/// other agent there would refuse it as well.
void
ApplyEvacuationRefusal(SchedulerState& aState,
                       std::int64_t aOrder,
                       OrderResult aResult,
                       const CurrentTime& aNow);

/// Connected workers whose data centres are evacuated.
std::size_t
EvacuatedWorkers(const SchedulerState& aState);

/// The evacuated data centres in which no worker is known.
EvacuatedDataCentres
EvacuatedWithoutWorkers(const SchedulerState& aState);

} // namespace Scheduling
