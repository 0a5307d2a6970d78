#include "Common/Clock.h"

namespace Common {

namespace {

// A manual clock cannot know on which condition a thread waits, so its waiters look at the clock
// again after this much real time.
constexpr std::chrono::milliseconds kManualPoll{ 1 };

// 2026-01-01T00:00:00Z, so that a manual clock gives plausible calendar times.
constexpr UnixMillis kManualUnixStart{ 1767225600000 };

} // namespace

Timestamp
SystemClock::now() const
{
  const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
  return Timestamp(std::chrono::duration_cast<Duration>(sinceStart));
}

UnixMillis
SystemClock::unixNow() const
{
  return std::chrono::duration_cast<UnixMillis>(
    std::chrono::system_clock::now().time_since_epoch());
}

bool
SystemClock::waitUntil(std::unique_lock<std::mutex>& aLock,
                       std::condition_variable& aCondition,
                       Timestamp aDeadline)
{
  const auto deadline = std::chrono::steady_clock::time_point(aDeadline.time_since_epoch());
  return aCondition.wait_until(aLock, deadline) == std::cv_status::no_timeout;
}

ManualClock::ManualClock()
  : mNow(std::chrono::hours(1))
{
}

Timestamp
ManualClock::now() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mNow;
}

UnixMillis
ManualClock::unixNow() const
{
  return kManualUnixStart + std::chrono::duration_cast<UnixMillis>(now().time_since_epoch());
}

bool
ManualClock::waitUntil(std::unique_lock<std::mutex>& aLock,
                       std::condition_variable& aCondition,
                       Timestamp aDeadline)
{
  if (now() >= aDeadline) {
    return false;
  }
  aCondition.wait_for(aLock, kManualPoll);
  return now() < aDeadline;
}

void
ManualClock::advance(Duration aBy)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mNow += aBy;
}

} // namespace Common
