#include "UnitTests/DaemonClients/Crowd.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace DaemonClients {

namespace {

using namespace std::chrono_literals;

constexpr auto kTick = 1ms;

void
Close(int& aSocket)
{
  ::close(aSocket);
  aSocket = -1;
}

int
Connect(int aPort)
{
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
  address.sin_port = ::htons(static_cast<std::uint16_t>(aPort));
  const auto* target = reinterpret_cast<const sockaddr*>(&address);
  if (::connect(socket, target, sizeof(address)) != 0 && errno != EINPROGRESS) {
    Close(socket);
  }
  return socket;
}

// A connection that is not established yet reports ENOTCONN.
bool
IsTemporary(int aError)
{
  return aError == EAGAIN || aError == EINTR || aError == ENOTCONN;
}

} // namespace

Crowd::Crowd(int aPort, Plan aPlan)
  : mPlan(std::move(aPlan))
  , mConnections(mPlan.mConnections)
  , mPending(mPlan.mConnections)
{
  for (Connection& connection : mConnections) {
    connection.mSocket = Connect(aPort);
  }
  mThread = std::thread([this] { run(); });
}

Crowd::~Crowd()
{
  mStopping = true;
  mThread.join();
  for (Connection& connection : mConnections) {
    if (connection.mSocket >= 0) {
      Close(connection.mSocket);
    }
  }
}

void
Crowd::waitUntilDone(std::chrono::milliseconds aLimit) const
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (mPending > 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(10ms);
  }
}

void
Crowd::run()
{
  while (!mStopping) {
    const Time now = std::chrono::steady_clock::now();
    std::size_t pending = 0;
    for (Connection& connection : mConnections) {
      if (connection.mSocket >= 0) {
        step(connection, now);
      }
      pending += isPending(connection) ? 1 : 0;
    }
    mPending = pending;
    std::this_thread::sleep_for(kTick);
  }
}

bool
Crowd::isPending(const Connection& aConnection) const
{
  const bool expects = mPlan.mExpectsAnswer && mPlan.mReads;
  return aConnection.mSocket >= 0 &&
         (aConnection.mSent < mPlan.mBytes.size() || (expects && !aConnection.mAnswered));
}

void
Crowd::step(Connection& aConnection, Time aNow)
{
  if (aConnection.mSent < mPlan.mBytes.size() && aNow >= aConnection.mNextSend) {
    send(aConnection, aNow);
  }
  if (aConnection.mSocket >= 0 && mPlan.mReads && aNow >= aConnection.mNextRead) {
    read(aConnection, aNow);
  }
}

void
Crowd::send(Connection& aConnection, Time aNow)
{
  const std::size_t size = std::min(mPlan.mPiece, mPlan.mBytes.size() - aConnection.mSent);
  const ssize_t count = ::send(aConnection.mSocket,
                               mPlan.mBytes.data() + aConnection.mSent,
                               size,
                               MSG_DONTWAIT | MSG_NOSIGNAL);
  if (count > 0) {
    aConnection.mSent += static_cast<std::size_t>(count);
    aConnection.mNextSend = aNow + mPlan.mPause;
  } else if (!IsTemporary(errno)) {
    Close(aConnection.mSocket);
  }
}

void
Crowd::read(Connection& aConnection, Time aNow)
{
  char bytes[64 << 10];
  const ssize_t count =
    ::recv(aConnection.mSocket, bytes, std::min(mPlan.mReadPiece, sizeof(bytes)), MSG_DONTWAIT);
  aConnection.mNextRead = aNow + mPlan.mReadPause;
  aConnection.mAnswered = aConnection.mAnswered || count > 0;
  if (count == 0 || (count < 0 && !IsTemporary(errno))) {
    Close(aConnection.mSocket);
  }
}

} // namespace DaemonClients
