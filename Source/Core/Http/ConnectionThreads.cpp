#include "Http/ConnectionThreads.h"

#include <chrono>
#include <thread>
#include <utility>

namespace Http {

namespace {

// Long enough that a steady caller does not make a thread for each connection.
constexpr std::chrono::seconds kIdleThread{ 10 };

} // namespace

void
ConnectionThreads::run(std::function<void()> aWork)
{
  std::unique_lock<std::mutex> lock(mMutex);
  mWorkTaken.wait(lock, [this] { return mWork.size() < mMaxThreads || mStopping; });
  mWork.push_back(std::move(aWork));
  if (mWork.size() > mIdle && mThreads < mMaxThreads) {
    ++mThreads;
    std::thread([this] { serve(); }).detach();
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
