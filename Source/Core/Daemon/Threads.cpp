#include "Daemon/Threads.h"

#include <utility>

namespace Daemon {

Loop::Loop(Common::Clock& aClock, std::function<Common::Duration()> aStep)
  : mClock(aClock)
  , mStep(std::move(aStep))
  , mThread([this] { run(); })
{
}

Loop::~Loop()
{
  stop();
}

void
Loop::wake()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mWoken = true;
  mCondition.notify_all();
}

void
Loop::stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    mCondition.notify_all();
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
Loop::run()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping) {
    mWoken = false;
    lock.unlock();
    const Common::Timestamp next = mClock.now() + mStep();
    lock.lock();
    while (!mWoken && !mStopping && mClock.waitUntil(lock, mCondition, next)) {
    }
  }
}

WorkerThreads::WorkerThreads(std::size_t aMaxThreads, std::size_t aMaxQueued)
  : mMaxThreads(aMaxThreads)
  , mMaxQueued(aMaxQueued)
{
}

WorkerThreads::~WorkerThreads()
{
  stop();
}

bool
WorkerThreads::run(std::function<void()> aWork)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mStopping || mWork.size() >= mMaxQueued) {
    return false;
  }
  mWork.push_back(std::move(aWork));
  if (mWork.size() > mIdle && mThreads < mMaxThreads) {
    ++mThreads;
    std::thread([this] { serve(); }).detach();
  }
  mAdded.notify_one();
  return true;
}

void
WorkerThreads::stop()
{
  std::unique_lock<std::mutex> lock(mMutex);
  mStopping = true;
  mAdded.notify_all();
  mEnded.wait(lock, [this] { return mThreads == 0; });
}

void
WorkerThreads::serve()
{
  constexpr std::chrono::seconds kIdle{ 10 };
  std::unique_lock<std::mutex> lock(mMutex);
  while (true) {
    ++mIdle;
    mAdded.wait_for(lock, kIdle, [this] { return !mWork.empty() || mStopping; });
    --mIdle;
    if (mWork.empty()) {
      break;
    }
    const std::function<void()> work = std::move(mWork.front());
    mWork.pop_front();
    lock.unlock();
    work();
    lock.lock();
  }
  --mThreads;
  // Under the lock, because stop() may destroy the object as soon as it sees no thread.
  mEnded.notify_all();
}

} // namespace Daemon
