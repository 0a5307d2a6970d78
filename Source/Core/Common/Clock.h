#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

/// Time as the program sees it. Decisions get a Timestamp passed in; only adapters hold a Clock.
namespace Common {

using Duration = std::chrono::microseconds;

/// Tag type of the monotonic time line; it is never read directly.
struct Timeline
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Timeline, Duration>;
};

/// A point on the monotonic time line of this process. It has no meaning in other processes.
using Timestamp = Timeline::time_point;

/// Milliseconds since the Unix epoch; used only where processes or callers exchange times.
using UnixMillis = std::chrono::milliseconds;

/// Source of time. Implementations are safe to call from several threads.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual Timestamp now() const = 0;
  virtual UnixMillis unixNow() const = 0;

  /// Waits on aCondition until it is notified or the clock reaches aDeadline.
  /// Returns false if the deadline was reached. Spurious wake-ups return true.
  virtual bool waitUntil(std::unique_lock<std::mutex>& aLock,
                         std::condition_variable& aCondition,
                         Timestamp aDeadline) = 0;
};

/// The machine's own clock.
class SystemClock final : public Clock
{
public:
  Timestamp now() const override;
  UnixMillis unixNow() const override;
  bool waitUntil(std::unique_lock<std::mutex>& aLock,
                 std::condition_variable& aCondition,
                 Timestamp aDeadline) override;
};

/// A clock that stands still until advance() moves it. Waiters are woken when it moves.
class ManualClock final : public Clock
{
public:
  /// Starts at one hour on the monotonic time line, so that subtracting a timeout stays positive.
  ManualClock();

  Timestamp now() const override;
  UnixMillis unixNow() const override;
  bool waitUntil(std::unique_lock<std::mutex>& aLock,
                 std::condition_variable& aCondition,
                 Timestamp aDeadline) override;

  void advance(Duration aBy);

private:
  mutable std::mutex mMutex;
  Timestamp mNow;
};

} // namespace Common
