#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "Common/Clock.h"

/// The process that wires the libraries together.
namespace Daemon {

/// Calls a function again and again on a thread of its own until it is destroyed.
class Loop
{
public:
  /// aStep returns the time until its next call. wake() makes that call come at once.
  Loop(Common::Clock& aClock, std::function<Common::Duration()> aStep);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void wake();
  /// Waits for the step in progress and ends the thread. Idempotent.
  void stop();

private:
  void run();

  Common::Clock& mClock;
  std::function<Common::Duration()> mStep;
  std::mutex mMutex;
  std::condition_variable mCondition;
  bool mWoken = false;
  bool mStopping = false;
  std::thread mThread;
};

/// Threads for blocking calls. They are made when needed, up to a bound, and end when idle, so that
/// a process at rest keeps none.
class WorkerThreads
{
public:
  WorkerThreads(std::size_t aMaxThreads, std::size_t aMaxQueued);
  ~WorkerThreads();
  WorkerThreads(const WorkerThreads&) = delete;
  WorkerThreads& operator=(const WorkerThreads&) = delete;

  /// False if the queue is full or the object stops; aWork is then dropped.
  bool run(std::function<void()> aWork);
  /// Runs what is queued and ends all threads. Idempotent.
  void stop();

private:
  void serve();

  const std::size_t mMaxThreads;
  const std::size_t mMaxQueued;
  std::mutex mMutex;
  std::condition_variable mAdded;
  std::condition_variable mEnded;
  std::deque<std::function<void()>> mWork;
  std::size_t mThreads = 0;
  std::size_t mIdle = 0;
  bool mStopping = false;
};

} // namespace Daemon
