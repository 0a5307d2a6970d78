#pragma once

#include <vector>

#include "Common/Clock.h"
#include "Common/Random.h"

namespace LoadTool {

/// Due times of an open-loop load, relative to its start, in rising order: Poisson arrivals at a
/// mean of aPerSecond, or evenly spaced ones if aEven is set.
std::vector<Common::Duration>
MakeSchedule(double aPerSecond, Common::Duration aLength, bool aEven, Common::Random& aRandom);

} // namespace LoadTool
