#include "Http/ConnectionThreads.h"

#include <chrono>
#include <utility>

#include <pthread.h>

namespace Http {

namespace {

// Long enough that a steady caller does not make a thread for each connection.
constexpr std::chrono::seconds kIdleThread{ 10 };

// A quarter of the usual 8 MiB, since there are as many threads as connections. The parser of the
// tables goes up to 256 levels deep.
constexpr std::size_t kStackSize = std::size_t(2) << 20;

} // namespace

void*
ConnectionThreads::serveOf(void* aThis)
{
  static_cast<ConnectionThreads*>(aThis)->serve();
  return nullptr;
}

bool
ConnectionThreads::startThread()
{
  pthread_attr_t attributes;
  ::pthread_attr_init(&attributes);
  ::pthread_attr_setstacksize(&attributes, kStackSize);
  ::pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  pthread_t thread{};
  const bool started =
    ::pthread_create(&thread, &attributes, &ConnectionThreads::serveOf, this) == 0;
  ::pthread_attr_destroy(&attributes);
  return started;
}

void
ConnectionThreads::run(std::function<void()> aWork)
{
  std::unique_lock<std::mutex> lock(mMutex);
  mWorkTaken.wait(lock, [this] { return mWork.size() < mMaxWaiting || mStopping; });
  mWork.push_back(std::move(aWork));
  if (mWork.size() > mIdle && mThreads < mMaxThreads) {
    // Without a thread, as when the system has none left, the work waits for another one to end.
    mThreads += startThread() ? 1 : 0;
  }
  mWorkAdded.notify_one();
}

void
ConnectionThreads::shutdown()
{
  std::unique_lock<std::mutex> lock(mMutex);
  mStopping = true;
  mWorkAdded.notify_all();
  mThreadEnded.wait(lock, [this] { return mThreads == 0; });
}

void
ConnectionThreads::serve()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (true) {
    ++mIdle;
    const bool woken =
      mWorkAdded.wait_for(lock, kIdleThread, [this] { return !mWork.empty() || mStopping; });
    --mIdle;
    if (mWork.empty()) {
      if (woken || mStopping || mIdle > 0) {
        break;
      }
      continue;
    }
    const std::function<void()> work = std::move(mWork.front());
    mWork.pop_front();
    mWorkTaken.notify_one();
    lock.unlock();
    work();
    lock.lock();
  }
  --mThreads;
  // Under the lock, because shutdown() may destroy the object as soon as it sees no thread.
  mThreadEnded.notify_all();
}

} // namespace Http
