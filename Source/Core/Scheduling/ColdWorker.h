#pragma once

#include "Scheduling/Schedule.h"

namespace Scheduling {

/// True if the worker still runs tasks more slowly because it has just been brought back.
inline bool
IsCold(const Worker& aWorker, const CurrentTime& aNow)
{
  return aNow.mMonotonic < aWorker.mColdUntil;
}

} // namespace Scheduling
