#pragma once

#include <cstddef>
#include <optional>

#include "Admission/Admission.h"

/// How the slots of a gate are divided between the urgency classes.
namespace Admission {

/// Reads the guaranteed shares from the limits; shares that sum above 100% are scaled down.
void
ComputeShares(Gate& aGate);

/// Brings credit and demand of all classes up to aNow. Call it before the use or the queues change.
void
AccrueCredit(Gate& aGate, Timestamp aNow);

/// The class that may start its next waiting request when a slot is free: first a class below its
/// guarantee, then by urgency as far as the headroom of more urgent classes stays free.
std::optional<std::size_t>
NextClass(const Gate& aGate);

/// Slots that the class can count on now: its guarantee, or what the other classes leave if that is
/// more. Always positive.
double
AvailableSlots(const Gate& aGate, std::size_t aClass);

} // namespace Admission
