#include "Daemon/Gates.h"

namespace Daemon {

namespace {

// Waiting requests whose deadline comes too close are looked for at this interval.
constexpr std::chrono::milliseconds kPollEvery{ 5 };
constexpr std::chrono::hours kPollIdle{ 1 };

} // namespace

Gates::Gates(Common::Clock& aClock)
  : mClock(aClock)
{
  mPoller = std::make_unique<Loop>(mClock, [this] { return poll(); });
}

Gates::~Gates()
{
  mPoller->stop();
}

bool
Gates::configure(const std::string& aGate, const Admission::GateLimits& aLimits)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Common::Timestamp now = mClock.now();
  const auto found = mGates.find(aGate);
  if (found == mGates.end()) {
    mGates.emplace(aGate, Admission::MakeGate(aLimits, now));
    return true;
  }
  if (mRemoved.erase(aGate) > 0) {
    Admission::StopDrain(found->second);
  }
  apply(Admission::SetLimits(found->second, mLedger, aLimits, now));
  return false;
}

void
Gates::remove(const std::string& aGate)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mGates.find(aGate);
  if (found == mGates.end()) {
    return;
  }
  apply(Admission::StartDrain(found->second, mClock.now()));
  // A gate with requests in progress stays until they have given their slots back.
  if (Admission::IsDrained(found->second)) {
    mGates.erase(found);
  } else {
    mRemoved.insert(aGate);
  }
}

void
Gates::drain(const std::string& aGate, bool aOn)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mGates.find(aGate);
  if (found == mGates.end() || found->second.mDraining == aOn) {
    return;
  }
  if (aOn) {
    apply(Admission::StartDrain(found->second, mClock.now()));
  } else {
    Admission::StopDrain(found->second);
  }
}

void
Gates::noteInProgress(const std::string& aGate, Common::Slots aInProgress)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mGates.find(aGate);
  if (found != mGates.end()) {
    Admission::ReconcileInProgress(found->second, aInProgress);
    apply(Admission::Poll(found->second, mLedger, mClock.now()));
  }
}

Admitted
Gates::enter(const std::string& aGate, const Admission::Request& aRequest)
{
  Waiter waiter;
  std::unique_lock<std::mutex> lock(mMutex);
  const auto found = mGates.find(aGate);
  if (found == mGates.end()) {
    return { false, Common::Refusal::NoCapacity, std::chrono::milliseconds(200) };
  }
  mWaiters[aRequest.mId] = &waiter;
  apply(Admission::Offer(found->second, mLedger, aRequest, mClock.now()));
  if (!waiter.mDone) {
    lock.unlock();
    mPoller->wake();
    lock.lock();
  }
  waiter.mDecided.wait(lock, [&] { return waiter.mDone; });
  return waiter.mAnswer;
}

void
Gates::leave(const std::string& aGate,
             const Common::RequestId& aId,
             const Admission::Completion& aFinish)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mGates.find(aGate);
  if (found != mGates.end()) {
    apply(Admission::Release(found->second, mLedger, aId, aFinish, mClock.now()));
    if (mRemoved.contains(aGate) && Admission::IsDrained(found->second)) {
      mRemoved.erase(aGate);
      mGates.erase(found);
    }
  }
}

void
Gates::withLedger(const std::function<void(Admission::WorkerLedger&)>& aUse)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  aUse(mLedger);
  for (auto& [name, gate] : mGates) {
    if (Admission::QueuedCount(gate) > 0) {
      apply(Admission::Poll(gate, mLedger, mClock.now()));
    }
  }
}

bool
Gates::withGate(const std::string& aGate,
                const std::function<void(const Admission::Gate&)>& aUse) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mGates.find(aGate);
  if (found == mGates.end()) {
    return false;
  }
  aUse(found->second);
  return true;
}

std::int64_t
Gates::inUse() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::int64_t sum = 0;
  for (const auto& [name, gate] : mGates) {
    sum += Admission::SlotsInUse(gate);
  }
  return sum;
}

std::int64_t
Gates::queued() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return queuedLocked();
}

std::int64_t
Gates::queuedLocked() const
{
  std::int64_t sum = 0;
  for (const auto& [name, gate] : mGates) {
    sum += static_cast<std::int64_t>(Admission::QueuedCount(gate));
  }
  return sum;
}

void
Gates::apply(const Admission::Actions& aActions)
{
  for (const Admission::Action& action : aActions) {
    const auto found = mWaiters.find(action.mRequest.mId);
    if (found == mWaiters.end()) {
      continue;
    }
    Waiter& waiter = *found->second;
    waiter.mAnswer = { action.mKind == Admission::ActionKind::Start,
                       action.mReason,
                       action.mRetryAfter };
    waiter.mDone = true;
    mWaiters.erase(found);
    waiter.mDecided.notify_one();
  }
}

Common::Duration
Gates::poll()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (auto& [name, gate] : mGates) {
    if (Admission::QueuedCount(gate) > 0) {
      apply(Admission::Poll(gate, mLedger, mClock.now()));
    }
  }
  return queuedLocked() > 0 ? Common::Duration(kPollEvery) : Common::Duration(kPollIdle);
}

} // namespace Daemon
