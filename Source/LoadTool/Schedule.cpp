#include "LoadTool/Schedule.h"

#include <cmath>

namespace LoadTool {

std::vector<Common::Duration>
MakeSchedule(double aPerSecond, Common::Duration aLength, bool aEven, Common::Random& aRandom)
{
  std::vector<Common::Duration> due;
  const double end = std::chrono::duration<double>(aLength).count();
  double at = 0;
  while (aPerSecond > 0) {
    at += aEven ? 1.0 / aPerSecond : -std::log(1.0 - aRandom.unit()) / aPerSecond;
    if (at >= end) {
      break;
    }
    due.push_back(std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(at)));
  }
  return due;
}

} // namespace LoadTool
