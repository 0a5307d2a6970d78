#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace Http {

/// Threads that run connections: they are made when needed, up to a bound, and end when idle.
class ConnectionThreads
{
public:
  /// At most aMaxWaiting pieces of work wait for a thread.
  ConnectionThreads(std::size_t aMaxThreads, std::size_t aMaxWaiting)
    : mMaxThreads(aMaxThreads)
    , mMaxWaiting(aMaxWaiting)
  {
  }

  /// Runs aWork on a thread. Blocks while all threads are busy and as much work waits as may, so
  /// that the system's accept queue holds the rest.
  void run(std::function<void()> aWork);
  /// Waits until all work has ended.
  void shutdown();

private:
  static void* serveOf(void* aThis);
  bool startThread();
  void serve();

  const std::size_t mMaxThreads;
  const std::size_t mMaxWaiting;
  std::mutex mMutex;
  std::condition_variable mWorkAdded;
  std::condition_variable mWorkTaken;
  std::condition_variable mThreadEnded;
  std::deque<std::function<void()>> mWork;
  std::size_t mThreads = 0;
  std::size_t mIdle = 0;
  bool mStopping = false;
};

} // namespace Http
