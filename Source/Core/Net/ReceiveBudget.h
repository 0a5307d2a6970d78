#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "Common/Clock.h"

namespace Net {

/// Bytes that all connections from clients of one process may hold together. Each connection has a
/// share, which it enlarges before it reads. If nothing is left, connections on which nothing has
/// happened for kStallTime give up what they hold, in this order: incomplete requests, the longest
/// stalled first; answers that their clients do not read, the oldest first; idle connections, the
/// one that is idle longest first. A complete request is never given up.
///
/// It belongs to one thread.
class ReceiveBudget
{
public:
  enum class Phase
  {
    /// No byte of a request was read.
    Idle,
    /// Part of a request was read.
    Receiving,
    /// The request is complete and not answered, or the connection is being closed.
    Held,
    /// An answer is being sent.
    Sending,
  };

  class Share;

  /// Incomplete requests that progress faster than kProgressBytes in this time keep their bytes.
  static constexpr std::chrono::milliseconds kStallTime{ 100 };
  static constexpr std::uint64_t kProgressBytes = 1'024;

  explicit ReceiveBudget(std::uint64_t aBytes);

  std::uint64_t bytes() const { return mBytes; }
  std::uint64_t usedBytes() const { return mUsed; }
  /// Bytes of complete requests that are not answered.
  std::uint64_t heldBytes() const { return mHeld; }

private:
  using Time = std::chrono::steady_clock::time_point;
  using Order = std::list<Share*>;

  /// Makes connections other than aShare give up bytes until aBytes more fit.
  bool makeRoom(std::uint64_t aBytes, const Share* aShare);
  Share* nextToGiveUp(const Share* aShare) const;

  std::uint64_t mBytes;
  /// Complete requests take at most this much, so that there is room to receive another one.
  std::uint64_t mHeldLimit;
  std::uint64_t mUsed = 0;
  std::uint64_t mHeld = 0;
  /// In the order of their last progress or change of phase.
  Order mReceiving;
  Order mSending;
  Order mIdle;
};

/// What one connection holds of a budget; released when it is destroyed.
class ReceiveBudget::Share
{
public:
  /// aGiveUp is called while another share is enlarged. It has to release bytes or to change the
  /// phase to Held at once.
  Share(std::shared_ptr<ReceiveBudget> aBudget, std::function<void()> aGiveUp);
  ~Share();
  Share(const Share&) = delete;
  Share& operator=(const Share&) = delete;

  std::uint64_t bytes() const { return mBytes; }
  /// Returns false and changes nothing if the bytes cannot be reserved.
  bool resize(std::uint64_t aBytes);
  /// As resize(), for bytes that are in use whether there is room or not.
  void force(std::uint64_t aBytes);
  /// As resize() for a request that is complete; the phase becomes Held. Returns false if complete
  /// requests hold their part of the budget already.
  bool hold(std::uint64_t aBytes);
  void enter(Phase aPhase);
  Phase phase() const { return mPhase; }
  /// Counts bytes of the request that is being received.
  void addProgress(std::uint64_t aBytes);

private:
  friend class ReceiveBudget;

  Order* orderOf(Phase aPhase) const;
  void leaveOrder();
  void take(std::uint64_t aBytes);

  std::shared_ptr<ReceiveBudget> mBudget;
  std::function<void()> mGiveUp;
  std::uint64_t mBytes = 0;
  Phase mPhase = Phase::Held;
  bool mIsCountedAsHeld = false;
  std::uint64_t mUnmarkedProgress = 0;
  Time mLastProgress;
  Order::iterator mPlace;
};

} // namespace Net
