#include "Http/ConnectionBook.h"

#include <algorithm>
#include <utility>

#include <sys/socket.h>

namespace Http {

namespace {

using SteadyClock = std::chrono::steady_clock;
using namespace std::chrono_literals;

// A request may pause for that long, for instance for a lost packet, before it counts as slow; the
// same holds for the reading of an answer.
constexpr auto kPause = 1s;
// How long a new connection waits for a place while all are in proper use, before it is refused;
// how often it looks whether one has become slow.
constexpr auto kWaitForPlace = 2s;
constexpr auto kLook = 50ms;
// How long a request waits for the bytes of others that are complete or were just ended.
constexpr auto kWaitForBytes = 1s;

constexpr std::array<std::string_view, kCauses> kNames = {
  "budget",     "connections", "idle",         "header_fields",
  "body_shape", "too_large",   "slow_request", "unread_answer",
};

/// The connection of a phase for which aRank is highest, among those that are not ended yet.
template<typename Rank>
ConnectionState*
Highest(std::list<ConnectionState>& aConnections, Phase aPhase, Rank aRank)
{
  ConnectionState* found = nullptr;
  for (ConnectionState& each : aConnections) {
    if (each.mPhase == aPhase && !each.mRefusal &&
        (found == nullptr || aRank(each) > aRank(*found))) {
      found = &each;
    }
  }
  return found;
}

ConnectionState*
Longest(std::list<ConnectionState>& aConnections, Phase aPhase, SteadyTime aNow)
{
  return Highest(
    aConnections, aPhase, [aNow](const ConnectionState& aEach) { return aNow - aEach.mSince; });
}

/// Why a connection of that phase ends so that another one gets its bytes.
Cause
CauseOf(Phase aPhase)
{
  if (aPhase == Phase::Receiving) {
    return Cause::Budget;
  }
  return aPhase == Phase::Writing ? Cause::UnreadAnswer : Cause::Idle;
}

ConnectionState*
Slowest(std::list<ConnectionState>& aConnections, SteadyTime aNow, std::size_t aMinRate)
{
  return Highest(aConnections, Phase::Receiving, [=](const ConnectionState& aEach) {
    return Lateness(aEach, aNow, aMinRate);
  });
}

} // namespace

std::string_view
NameOf(Cause aCause)
{
  return kNames.at(static_cast<std::size_t>(aCause));
}

std::chrono::microseconds
Lateness(const ConnectionState& aConnection, SteadyTime aNow, std::size_t aMinRate)
{
  const auto taken =
    std::chrono::duration_cast<std::chrono::microseconds>(aNow - aConnection.mSince);
  return taken - std::chrono::microseconds(aConnection.mReceived * 1'000'000 / aMinRate);
}

ConnectionState*
VictimForPlace(std::list<ConnectionState>& aConnections, SteadyTime aNow, std::size_t aMinRate)
{
  ConnectionState* const slowest = Slowest(aConnections, aNow, aMinRate);
  if (slowest != nullptr && Lateness(*slowest, aNow, aMinRate) > kPause) {
    return slowest;
  }
  ConnectionState* const idle = Longest(aConnections, Phase::Idle, aNow);
  if (idle != nullptr && aNow - idle->mSince > kPause) {
    return idle;
  }
  ConnectionState* const unread = Longest(aConnections, Phase::Writing, aNow);
  return unread != nullptr && aNow - unread->mSince > kPause ? unread : nullptr;
}

ConnectionState*
VictimForBytes(std::list<ConnectionState>& aConnections,
               const ConnectionState& aFor,
               SteadyTime aNow,
               std::size_t aMinRate)
{
  ConnectionState* const slowest = Slowest(aConnections, aNow, aMinRate);
  if (slowest != nullptr && slowest != &aFor &&
      (aFor.mPhase == Phase::Idle ||
       Lateness(*slowest, aNow, aMinRate) > Lateness(aFor, aNow, aMinRate))) {
    return slowest;
  }
  ConnectionState* const unread = Longest(aConnections, Phase::Writing, aNow);
  if (unread != nullptr && aNow - unread->mSince > kPause) {
    return unread;
  }
  ConnectionState* const idle = Longest(aConnections, Phase::Idle, aNow);
  return idle != nullptr && idle != &aFor && aNow - idle->mSince > kPause ? idle : nullptr;
}

std::size_t
ConnectionBook::used() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mUsed;
}

std::size_t
ConnectionBook::connections() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mConnections.size();
}

std::size_t
ConnectionBook::leaving() const
{
  std::size_t bytes = 0;
  for (const ConnectionState& each : mConnections) {
    bytes += each.mRefusal ? each.mReserved : 0;
  }
  return bytes;
}

void
ConnectionBook::refuse(ConnectionState& aConnection, Cause aCause)
{
  if (!aConnection.mRefusal) {
    aConnection.mRefusal = aCause;
    mNote(aCause);
    // Its own thread may be the one that waits for bytes.
    mReleased.notify_all();
  }
}

void
ConnectionBook::end(ConnectionState& aConnection, Cause aCause)
{
  refuse(aConnection, aCause);
  // Its thread wakes up; one that receives can still send the refusal.
  ::shutdown(aConnection.mSocket, aConnection.mPhase == Phase::Receiving ? SHUT_RD : SHUT_RDWR);
}

std::size_t
ConnectionBook::places() const
{
  return static_cast<std::size_t>(
    std::count_if(mConnections.begin(), mConnections.end(), [](const ConnectionState& aEach) {
      return !aEach.mRefusal;
    }));
}

bool
ConnectionBook::waitForPlace(std::unique_lock<std::mutex>& aLock)
{
  const SteadyTime limit = SteadyClock::now() + kWaitForPlace;
  while (places() >= mLimits.mConnections) {
    const SteadyTime now = SteadyClock::now();
    ConnectionState* const victim = VictimForPlace(mConnections, now, mLimits.mMinRate);
    if (victim != nullptr) {
      end(*victim,
          victim->mPhase == Phase::Receiving ? Cause::Connections : CauseOf(victim->mPhase));
    } else if (now >= limit) {
      return false;
    } else {
      ++mWaiting;
      mReleased.wait_until(aLock, std::min(limit, now + kLook));
      --mWaiting;
    }
  }
  return true;
}

bool
ConnectionBook::waitForBytes(std::unique_lock<std::mutex>& aLock,
                             ConnectionState& aFor,
                             std::size_t aBytes)
{
  const SteadyTime limit = SteadyClock::now() + kWaitForBytes;
  while (!aFor.mRefusal && mUsed + aBytes > mLimits.mBudget) {
    const SteadyTime now = SteadyClock::now();
    ConnectionState* victim = VictimForBytes(mConnections, aFor, now, mLimits.mMinRate);
    while (victim != nullptr && mUsed - leaving() + aBytes > mLimits.mBudget) {
      end(*victim, CauseOf(victim->mPhase));
      victim = VictimForBytes(mConnections, aFor, now, mLimits.mMinRate);
    }
    if (now >= limit) {
      refuse(aFor, Cause::Budget);
    } else {
      mReleased.wait_until(aLock, limit);
    }
  }
  return !aFor.mRefusal;
}

ClientConnection::ClientConnection(ConnectionBook& aBook, int aSocket)
  : mBook(aBook)
{
  std::unique_lock<std::mutex> lock(mBook.mMutex);
  const bool placed = mBook.waitForPlace(lock);
  mState = mBook.mConnections.emplace(mBook.mConnections.end());
  mState->mSocket = aSocket;
  mState->mSince = SteadyClock::now();
  if (!placed) {
    mBook.refuse(*mState, Cause::Connections);
  } else if (mBook.waitForBytes(lock, *mState, kConnectionCost)) {
    mState->mReserved = kConnectionCost;
    mBook.mUsed += kConnectionCost;
  }
}

void
ClientConnection::release()
{
  const std::lock_guard<std::mutex> lock(mBook.mMutex);
  mBook.mUsed -= std::exchange(mState->mReserved, 0);
  mBook.mReleased.notify_all();
}

ClientConnection::~ClientConnection()
{
  const std::lock_guard<std::mutex> lock(mBook.mMutex);
  mBook.mUsed -= mState->mReserved;
  mBook.mConnections.erase(mState);
  mBook.mReleased.notify_all();
}

std::optional<Cause>
ClientConnection::refusal() const
{
  const std::lock_guard<std::mutex> lock(mBook.mMutex);
  return mState->mRefusal;
}

bool
ClientConnection::begin(std::size_t aBytes)
{
  const std::lock_guard<std::mutex> lock(mBook.mMutex);
  mState->mPhase = Phase::Receiving;
  mState->mSince = SteadyClock::now();
  mState->mReceived = aBytes;
  return !mState->mRefusal;
}

bool
ClientConnection::receive(std::size_t aBytes)
{
  const std::lock_guard<std::mutex> lock(mBook.mMutex);
  mState->mReceived += aBytes;
  return !mState->mRefusal;
}

bool
ClientConnection::reserve(std::size_t aBytes)
{
  std::unique_lock<std::mutex> lock(mBook.mMutex);
  if (mState->mReserved + aBytes > mBook.mLimits.mBudget) {
    mBook.refuse(*mState, Cause::TooLarge);
    return false;
  }
  if (!mBook.waitForBytes(lock, *mState, aBytes)) {
    return false;
  }
  mState->mReserved += aBytes;
  mBook.mUsed += aBytes;
  return true;
}

void
ClientConnection::refuse(Cause aCause)
{
  const std::lock_guard<std::mutex> lock(mBook.mMutex);
  mBook.refuse(*mState, aCause);
}

bool
ClientConnection::complete()
{
  const std::lock_guard<std::mutex> lock(mBook.mMutex);
  if (mState->mRefusal) {
    return false;
  }
  mState->mPhase = Phase::Working;
  mState->mSince = SteadyClock::now();
  return true;
}

bool
ClientConnection::answer(std::size_t aBytes)
{
  const std::lock_guard<std::mutex> lock(mBook.mMutex);
  mState->mPhase = Phase::Writing;
  mState->mSince = SteadyClock::now();
  // The request has run, so its answer is counted even where it exceeds the budget.
  mState->mReserved += aBytes * kAnswerCopies;
  mBook.mUsed += aBytes * kAnswerCopies;
  mClosing = mBook.mWaiting > 0;
  return mClosing;
}

bool
ClientConnection::finish()
{
  const std::lock_guard<std::mutex> lock(mBook.mMutex);
  mBook.mUsed -= mState->mReserved - kConnectionCost;
  mState->mReserved = kConnectionCost;
  mState->mPhase = Phase::Idle;
  mState->mSince = SteadyClock::now();
  mBook.mReleased.notify_all();
  return !mClosing;
}

} // namespace Http
