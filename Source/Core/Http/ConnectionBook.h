#pragma once

#include <array>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <list>
#include <mutex>
#include <optional>

#include "Http/ClientLimits.h"

/// Internal to the Http library: which connections there are and what memory they may take.
namespace Http {

using SteadyTime = std::chrono::steady_clock::time_point;

enum class Phase
{
  /// No request has begun.
  Idle,
  /// A request has begun and is incomplete.
  Receiving,
  /// A complete request is worked on.
  Working,
  /// Its answer is being sent.
  Writing,
};

struct ConnectionState
{
  int mSocket = -1;
  Phase mPhase = Phase::Idle;
  /// Begin of the phase.
  SteadyTime mSince;
  /// Bytes of the request that have arrived.
  std::size_t mReceived = 0;
  /// Bytes of the budget.
  std::size_t mReserved = 0;
  /// Set once it is to end; it holds its share of the budget until its thread has noticed.
  std::optional<Cause> mRefusal;
};

/// How much later than the minimum rate a request is; negative if it arrives faster.
std::chrono::microseconds
Lateness(const ConnectionState& aConnection, SteadyTime aNow, std::size_t aMinRate);

/// The connection that ends in favour of a new one: the slowest incomplete request if it is more
/// than a second late, else the connection that has been idle longest, or an answer that is not
/// read, for more than a second. Null if all are in proper use.
ConnectionState*
VictimForPlace(std::list<ConnectionState>& aConnections, SteadyTime aNow, std::size_t aMinRate);

/// The connection that ends so that aFor gets memory: the slowest incomplete request that is slower
/// than aFor, then an answer that is not read, then the connection that has been idle longest. Null
/// if there is none.
ConnectionState*
VictimForBytes(std::list<ConnectionState>& aConnections,
               const ConnectionState& aFor,
               SteadyTime aNow,
               std::size_t aMinRate);

/// The connections of a server and the bytes that they have reserved. Safe to use from several
/// threads.
class ConnectionBook
{
public:
  /// aNote is called once for each refused request or closed connection, under a lock.
  ConnectionBook(ClientLimits aLimits, std::function<void(Cause)> aNote)
    : mLimits(aLimits)
    , mNote(std::move(aNote))
  {
  }

  const ClientLimits& limits() const { return mLimits; }
  std::size_t used() const;
  std::size_t connections() const;

private:
  friend class ClientConnection;

  std::size_t places() const;
  bool waitForPlace(std::unique_lock<std::mutex>& aLock);
  bool waitForBytes(std::unique_lock<std::mutex>& aLock, ConnectionState& aFor, std::size_t aBytes);
  std::size_t leaving() const;
  void end(ConnectionState& aConnection, Cause aCause);
  void refuse(ConnectionState& aConnection, Cause aCause);

  const ClientLimits mLimits;
  const std::function<void(Cause)> mNote;
  mutable std::mutex mMutex;
  std::condition_variable mReleased;
  std::list<ConnectionState> mConnections;
  std::size_t mUsed = 0;
  /// New connections that wait for a place.
  std::size_t mWaiting = 0;
};

/// One connection in the book, from its acceptance to just before its socket is closed. Used by the
/// connection's thread.
class ClientConnection
{
public:
  /// The connection may be refused at once; see refusal().
  ClientConnection(ConnectionBook& aBook, int aSocket);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  const ClientLimits& limits() const { return mBook.limits(); }
  std::optional<Cause> refusal() const;
  /// The first bytes of a request are there. False if the connection was ended meanwhile.
  bool begin(std::size_t aBytes);
  /// Further bytes have arrived. False if the request is refused.
  bool receive(std::size_t aBytes);
  /// Takes bytes of the budget for the request. Slower requests are refused for it, or this one is.
  bool reserve(std::size_t aBytes);
  /// Refuses the request, unless it is refused already.
  void refuse(Cause aCause);
  /// The request is whole. False if it was refused before.
  bool complete();
  /// The answer has this size and is being sent. True if the connection is to close after it, since
  /// others wait for a place: one that sends request after request would never be idle.
  bool answer(std::size_t aBytes);
  /// The answer has been sent: releases what the request took. False if the connection is to close.
  bool finish();
  /// Gives back all bytes before the connection closes, once nothing of the request is kept.
  void release();

private:
  ConnectionBook& mBook;
  std::list<ConnectionState>::iterator mState;
  bool mClosing = false;
};

} // namespace Http
