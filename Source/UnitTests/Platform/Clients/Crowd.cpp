#include "UnitTests/Platform/Clients/Crowd.h"

#include <algorithm>
#include <cerrno>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ClientTests {

namespace {

/// Connections that could send nothing for this long are held up by their peer.
constexpr std::chrono::milliseconds kHeldUp{ 500 };
constexpr std::chrono::milliseconds kRetryPause{ 2 };
constexpr std::size_t kLeftOutBy = 10;

int
OpenSocket(std::uint16_t aPort, int aFlags)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | aFlags, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int one = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  // A failure shows in the first call on the socket.
  [[maybe_unused]] const int result =
    ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  return socket;
}

} // namespace

Crowd::Crowd(std::uint16_t aPort, Behaviour aBehaviour)
  : mBehaviour(std::move(aBehaviour))
{
  for (std::size_t i = 0; i < mBehaviour.mConnections; ++i) {
    mConnections.push_back({ OpenSocket(aPort, SOCK_NONBLOCK) });
  }
}

Crowd::~Crowd()
{
  for (const Connection& connection : mConnections) {
    ::close(connection.mSocket);
  }
}

bool
Crowd::sendTurn()
{
  bool isDone = true;
  for (std::size_t i = 0; i < mConnections.size(); ++i) {
    if (mBehaviour.mReadBytes > 0) {
      readPiece(mConnections[i]);
    }
    if (!mConnections[i].mDone && sendPiece(i)) {
      mLastProgress = std::chrono::steady_clock::now();
    }
    isDone = isDone && mConnections[i].mDone;
  }
  const auto now = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(std::max(mBehaviour.mTurnPause, kRetryPause));
  return !isDone && now - mStart < mBehaviour.mMaxTime && now - mLastProgress < kHeldUp;
}

bool
Crowd::sendPiece(std::size_t aIndex)
{
  Connection& connection = mConnections[aIndex];
  const std::string& text = mBehaviour.mTexts[aIndex % mBehaviour.mTexts.size()];
  const std::size_t leftOut = aIndex % kLeftOutBy == 0 ? 0 : mBehaviour.mLeftOut;
  const std::size_t end =
    mBehaviour.mRepeatedTail > 0 ? mBehaviour.mMaxBytes : text.size() - leftOut;
  std::size_t from = connection.mSent;
  if (mBehaviour.mRepeatedTail > 0 && from >= text.size()) {
    from = text.size() - mBehaviour.mRepeatedTail + (from - text.size()) % mBehaviour.mRepeatedTail;
  }
  const std::size_t size =
    std::min({ mBehaviour.mPieceBytes, text.size() - from, end - connection.mSent });
  const ssize_t sent =
    ::send(connection.mSocket, text.data() + from, size, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0) {
    connection.mDone = errno != EAGAIN && errno != ENOTCONN && errno != EINTR;
    return false;
  }
  connection.mSent += static_cast<std::size_t>(sent);
  connection.mDone = connection.mSent >= end;
  return true;
}

void
Crowd::readPiece(const Connection& aConnection) const
{
  std::string bytes(mBehaviour.mReadBytes, '\0');
  // What the answers say does not matter here.
  [[maybe_unused]] const ssize_t size =
    ::recv(aConnection.mSocket, bytes.data(), bytes.size(), MSG_DONTWAIT);
}

std::string
Call(std::uint16_t aPort, const std::string& aRequest)
{
  const int socket = OpenSocket(aPort, 0);
  const timeval patience{ 5, 0 };
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
  std::string answer;
  if (::send(socket, aRequest.data(), aRequest.size(), MSG_NOSIGNAL) ==
      static_cast<ssize_t>(aRequest.size())) {
    char buffer[4096];
    ssize_t size = 0;
    while ((size = ::recv(socket, buffer, sizeof(buffer), 0)) > 0) {
      answer.append(buffer, static_cast<std::size_t>(size));
    }
  }
  ::close(socket);
  constexpr std::size_t kStatusAt = sizeof("HTTP/1.1 ") - 1;
  return answer.size() > kStatusAt + 3 ? answer.substr(kStatusAt, 3) + ' ' + answer : "";
}

} // namespace ClientTests
