#include "Net/ReceiveBudget.h"

#include <utility>

namespace Net {

ReceiveBudget::ReceiveBudget(std::uint64_t aBytes)
  : mBytes(aBytes)
  , mHeldLimit(aBytes / 4 * 3)
{
}

ReceiveBudget::Share*
ReceiveBudget::nextToGiveUp(const Share* aShare) const
{
  const Time stalledBefore = std::chrono::steady_clock::now() - kStallTime;
  for (const Order* order : { &mReceiving, &mSending, &mIdle }) {
    for (Share* share : *order) {
      if (share->mLastProgress > stalledBefore) {
        break;
      }
      if (share != aShare) {
        return share;
      }
    }
  }
  return nullptr;
}

bool
ReceiveBudget::makeRoom(std::uint64_t aBytes, const Share* aShare)
{
  while (mUsed + aBytes > mBytes) {
    Share* const share = nextToGiveUp(aShare);
    if (share == nullptr) {
      return false;
    }
    // Out of the order first, so that each share is asked once.
    share->leaveOrder();
    const auto giveUp = share->mGiveUp;
    giveUp();
  }
  return true;
}

ReceiveBudget::Share::Share(std::shared_ptr<ReceiveBudget> aBudget, std::function<void()> aGiveUp)
  : mBudget(std::move(aBudget))
  , mGiveUp(std::move(aGiveUp))
{
}

ReceiveBudget::Share::~Share()
{
  leaveOrder();
  take(0);
}

bool
ReceiveBudget::Share::resize(std::uint64_t aBytes)
{
  if (aBytes > mBytes && !mBudget->makeRoom(aBytes - mBytes, this)) {
    return false;
  }
  take(aBytes);
  return true;
}

void
ReceiveBudget::Share::force(std::uint64_t aBytes)
{
  resize(aBytes);
  take(aBytes);
}

bool
ReceiveBudget::Share::hold(std::uint64_t aBytes)
{
  const std::uint64_t others = mBudget->mHeld - (mIsCountedAsHeld ? mBytes : 0);
  // A request that is alone may take more, so that the largest one is always served.
  if ((others > 0 && others + aBytes > mBudget->mHeldLimit) || !resize(aBytes)) {
    return false;
  }
  enter(Phase::Held);
  mIsCountedAsHeld = true;
  mBudget->mHeld += mBytes;
  return true;
}

void
ReceiveBudget::Share::enter(Phase aPhase)
{
  if (mIsCountedAsHeld) {
    mBudget->mHeld -= mBytes;
    mIsCountedAsHeld = false;
  }
  leaveOrder();
  mPhase = aPhase;
  mLastProgress = std::chrono::steady_clock::now();
  mUnmarkedProgress = 0;
  if (Order* const order = orderOf(aPhase)) {
    mPlace = order->insert(order->end(), this);
  }
}

void
ReceiveBudget::Share::addProgress(std::uint64_t aBytes)
{
  mUnmarkedProgress += aBytes;
  if (mPhase == Phase::Receiving && mUnmarkedProgress >= kProgressBytes) {
    enter(Phase::Receiving);
  }
}

ReceiveBudget::Order*
ReceiveBudget::Share::orderOf(Phase aPhase) const
{
  switch (aPhase) {
    case Phase::Idle:
      return &mBudget->mIdle;
    case Phase::Receiving:
      return &mBudget->mReceiving;
    case Phase::Sending:
      return &mBudget->mSending;
    case Phase::Held:
      break;
  }
  return nullptr;
}

void
ReceiveBudget::Share::leaveOrder()
{
  if (Order* const order = orderOf(mPhase)) {
    order->erase(mPlace);
  }
  mPhase = Phase::Held;
}

void
ReceiveBudget::Share::take(std::uint64_t aBytes)
{
  mBudget->mUsed += aBytes - mBytes;
  if (mIsCountedAsHeld) {
    mBudget->mHeld += aBytes - mBytes;
  }
  mBytes = aBytes;
}

} // namespace Net
