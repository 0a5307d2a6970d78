#pragma once

#include <cstdint>
#include <vector>

#include "Scheduling/Model.h"

/// Speeds of the best-effort tasks on one worker.
///
/// Load pattern: long-running tasks whose own load swings, beside best-effort tasks that add
/// pressure by pairs of images. Reacting to figures that lag by a second makes speeds oscillate, so
/// the speeds follow from the estimated pressures.
namespace Scheduling {

/// A best-effort task.
struct ThrottledTask
{
  /// Pressure that it adds at full speed to each long-running task of the plan.
  std::vector<double> mPressures;
  /// Cores that it needs at full speed.
  double mCores = 0;
};

/// Lowest speed; below it a task achieves so little that it is paused instead.
constexpr Percent kMinSpeed{ 20 };

/// Chooses the speeds at which the tasks together add at most the given pressure to each
/// long-running task. Tasks that add most pressure for each core that they use are throttled first.
std::vector<Percent>
PlanSpeeds(const std::vector<ThrottledTask>& aTasks, const std::vector<double>& aMaxPressures);

} // namespace Scheduling
