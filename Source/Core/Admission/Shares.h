#pragma once

#include <cstddef>
#include <optional>

#include "Admission/Admission.h"

/// Divides the slots of a gate between the urgency classes.
namespace Admission {

/// Computes the guaranteed shares of all classes from the gate's limits. Shares that add up to more
/// than 100% are scaled down.
void
ComputeShares(Gate& aGate);

/// Updates the credit and the mean use of all classes to aNow. Call it before the slots in use or
/// the queues change.
void
AccrueCredit(Gate& aGate, Timestamp aNow);

/// Returns the index of the class that may start its next waiting request on a free slot: first a
/// class below its guarantee or with credit, then the most urgent one that has requests waiting, if
/// the headroom of more urgent classes stays free.
std::optional<std::size_t>
NextClass(const Gate& aGate);

/// Number of slots that the class can expect now: its guarantee, or what the other classes leave if
/// that is more. Always positive.
double
AvailableSlots(const Gate& aGate, std::size_t aClass);

} // namespace Admission
