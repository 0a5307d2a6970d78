#include "Scheduling/SpeedPlan.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace Scheduling {

namespace {

/// Pressures below this do not show in a measured latency.
constexpr double kNegligiblePressure = 0.005;
constexpr std::size_t kNone = SIZE_MAX;

/// Pressure that all tasks add to the long-running task at the given speeds.
double
AddedPressure(const std::vector<ThrottledTask>& aTasks,
              const std::vector<double>& aSpeeds,
              std::size_t aServing)
{
  double pressure = 0;
  for (std::size_t i = 0; i < aTasks.size(); ++i) {
    pressure += aTasks[i].mPressures[aServing] * aSpeeds[i];
  }
  return pressure;
}

/// The long-running task with the largest excess over its limit; kNone if there is none.
std::size_t
MostExceeded(const std::vector<ThrottledTask>& aTasks,
             const std::vector<double>& aSpeeds,
             const std::vector<double>& aMaxPressures)
{
  std::size_t worst = kNone;
  double worstExcess = kNegligiblePressure;
  for (std::size_t serving = 0; serving < aMaxPressures.size(); ++serving) {
    const double excess =
      AddedPressure(aTasks, aSpeeds, serving) - std::max(aMaxPressures[serving], 0.0);
    if (excess > worstExcess) {
      worst = serving;
      worstExcess = excess;
    }
  }
  return worst;
}

/// The task that adds most pressure to the long-running one for each core; kNone if none adds any.
std::size_t
MostHarmful(const std::vector<ThrottledTask>& aTasks,
            const std::vector<double>& aSpeeds,
            std::size_t aServing)
{
  std::size_t worst = kNone;
  double worstRatio = 0;
  for (std::size_t i = 0; i < aTasks.size(); ++i) {
    const double pressure = aTasks[i].mPressures[aServing];
    if (aSpeeds[i] <= 0 || pressure <= kNegligiblePressure / 2) {
      continue;
    }
    const double ratio = pressure / std::max(aTasks[i].mCores, 0.001);
    if (worst == kNone || ratio > worstRatio) {
      worst = i;
      worstRatio = ratio;
    }
  }
  return worst;
}

} // namespace

std::vector<Percent>
PlanSpeeds(const std::vector<ThrottledTask>& aTasks, const std::vector<double>& aMaxPressures)
{
  const double minSpeed = static_cast<double>(kMinSpeed.value()) / 100.0;
  std::vector<double> speeds(aTasks.size(), 1.0);
  // Each round lowers one task, most of them to a pause, so there are few rounds for each task.
  for (std::size_t round = 0;
       round < 2 * aTasks.size() * std::max<std::size_t>(aMaxPressures.size(), 1);
       ++round) {
    const std::size_t serving = MostExceeded(aTasks, speeds, aMaxPressures);
    if (serving == kNone) {
      break;
    }
    const std::size_t task = MostHarmful(aTasks, speeds, serving);
    if (task == kNone) {
      break;
    }
    const double excess =
      AddedPressure(aTasks, speeds, serving) - std::max(aMaxPressures[serving], 0.0);
    const double speed = speeds[task] - excess / aTasks[task].mPressures[serving];
    speeds[task] = speed < minSpeed ? 0.0 : speed;
  }
  std::vector<Percent> percents;
  percents.reserve(speeds.size());
  for (const double speed : speeds) {
    percents.emplace_back(static_cast<std::int64_t>(std::floor(speed * 100.0)));
  }
  return percents;
}

} // namespace Scheduling
