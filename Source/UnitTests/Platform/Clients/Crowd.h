#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace ClientTests {

/// What each connection of a crowd sends, and how.
struct Behaviour
{
  /// Connection i sends the text at position i modulo their number.
  std::vector<std::string> mTexts;
  std::size_t mConnections = 400;
  /// Bytes that nine of ten connections leave out at the end.
  std::size_t mLeftOut = 0;
  /// Most bytes that a connection sends in one turn.
  std::size_t mPieceBytes = 64 << 10;
  /// Most bytes that a connection reads in one turn; it leaves the answers unread if 0.
  std::size_t mReadBytes = 0;
  /// Bytes of the text that are sent again and again after it; none if 0.
  std::size_t mRepeatedTail = 0;
  /// Most bytes that one connection sends.
  std::size_t mMaxBytes = 8 << 20;
  std::chrono::milliseconds mTurnPause{ 0 };
  /// A crowd that has not sent everything stops then.
  std::chrono::milliseconds mMaxTime{ 4'000 };
};

/// Connections over loopback that stay open until the crowd ends.
class Crowd
{
public:
  Crowd(std::uint16_t aPort, Behaviour aBehaviour);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Sends until no connection can go on.
  template<typename EachTurn>
  void send(EachTurn aEachTurn)
  {
    while (sendTurn()) {
      aEachTurn();
    }
  }

private:
  struct Connection
  {
    int mSocket = -1;
    std::size_t mSent = 0;
    bool mDone = false;
  };

  /// Returns false once all connections are done or held up.
  bool sendTurn();
  bool sendPiece(std::size_t aIndex);
  void readPiece(const Connection& aConnection) const;

  Behaviour mBehaviour;
  std::vector<Connection> mConnections;
  std::chrono::steady_clock::time_point mStart = std::chrono::steady_clock::now();
  std::chrono::steady_clock::time_point mLastProgress = mStart;
};

/// Sends one request on a connection of its own. Returns the status of the answer and, after a
/// space, the whole answer; empty if none came.
std::string
Call(std::uint16_t aPort, const std::string& aRequest);

} // namespace ClientTests
