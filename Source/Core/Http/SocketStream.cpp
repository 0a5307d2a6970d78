#include "Http/SocketStream.h"

#include <algorithm>
#include <cstring>

#include <poll.h>
#include <sys/socket.h>

#include "Http/Message.h"

namespace Http {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kReadSize = 8 << 10;
// Larger output is written in pieces, so that a big answer is not held twice.
constexpr std::size_t kFlushSize = 256 << 10;

} // namespace

SocketStream::SocketStream(socket_t aSocket, StreamLimits aLimits)
  : mSocket(aSocket)
  , mLimits(aLimits)
{
}

bool
SocketStream::waitForInput(std::chrono::milliseconds aTimeout)
{
  return mInUsed < mIn.size() || (waitFor(POLLIN, aTimeout) && fill());
}

void
SocketStream::startMessage()
{
  mInHeaders = true;
  mHeadersEnd = SteadyClock::now() + mLimits.mHeaders;
  mHeaderBytes = 0;
  mLineNumber = 0;
  mLineName.clear();
  mNameEnded = false;
  mEscape.clear();
}

bool
SocketStream::waitFor(short aEvents, std::chrono::milliseconds aTimeout) const
{
  auto end = std::min(SteadyClock::now() + aTimeout, mDeadline);
  if (mInHeaders) {
    end = std::min(end, mHeadersEnd);
  }
  while (true) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - SteadyClock::now());
    pollfd poller{ mSocket, aEvents, 0 };
    const int ready = ::poll(&poller, 1, static_cast<int>(std::max<std::int64_t>(left.count(), 0)));
    if (ready != -1 || errno != EINTR) {
      return ready > 0;
    }
  }
}

bool
SocketStream::fill()
{
  mIn.resize(kReadSize);
  mInUsed = 0;
  while (true) {
    const ssize_t count = ::recv(mSocket, mIn.data(), mIn.size(), MSG_DONTWAIT);
    if (count > 0) {
      mIn.resize(static_cast<std::size_t>(count));
      return true;
    }
    const bool wait = count == -1 && (errno == EAGAIN || errno == EINTR);
    if (!wait || !waitFor(POLLIN, mLimits.mRead)) {
      mEnded = !wait;
      mIn.clear();
      return false;
    }
  }
}

void
SocketStream::noteHeaderByte(char aByte)
{
  if (aByte != '\n') {
    if (aByte == ':') {
      mNameEnded = true;
    } else if (!mNameEnded && aByte != '\r') {
      mLineName += aByte;
    }
    return;
  }
  // An empty line ends the headers; a client may send empty lines before the start line.
  if (mLineName.empty() && !mNameEnded && mLineNumber > 0) {
    mInHeaders = false;
  }
  ++mLineNumber;
  mLineName.clear();
  mNameEnded = false;
}

ssize_t
SocketStream::readHeaderByte(char* aByte)
{
  if (!mEscape.empty()) {
    *aByte = mEscape.front();
    mEscape.erase(0, 1);
    return 1;
  }
  if (++mHeaderBytes > mLimits.mHeaderBytes || SteadyClock::now() > mHeadersEnd) {
    return -1;
  }
  *aByte = mIn[mInUsed++];
  noteHeaderByte(*aByte);
  // The library leaves Location as it is.
  if (*aByte == '%' && mLineNumber > 0 && mNameEnded && !SameName(mLineName, "Location")) {
    mEscape = "25";
  }
  return 1;
}

ssize_t
SocketStream::read(char* aBytes, std::size_t aSize)
{
  if (aSize == 0 || !flush()) {
    return -1;
  }
  if (mInUsed == mIn.size() && mEscape.empty() && !fill()) {
    return -1;
  }
  if (mInHeaders || !mEscape.empty()) {
    return readHeaderByte(aBytes);
  }
  const std::size_t count = std::min(aSize, mIn.size() - mInUsed);
  std::memcpy(aBytes, mIn.data() + mInUsed, count);
  mInUsed += count;
  return static_cast<ssize_t>(count);
}

ssize_t
SocketStream::write(const char* aBytes, std::size_t aSize)
{
  mOut.append(aBytes, aSize);
  if (mOut.size() >= kFlushSize && !flush()) {
    return -1;
  }
  return mOutFailed ? -1 : static_cast<ssize_t>(aSize);
}

bool
SocketStream::flush()
{
  std::size_t sent = 0;
  while (sent < mOut.size() && !mOutFailed) {
    const ssize_t count =
      ::send(mSocket, mOut.data() + sent, mOut.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else {
      const bool wait = errno == EAGAIN || errno == EINTR;
      mOutFailed = !wait || !waitFor(POLLOUT, mLimits.mWrite);
    }
  }
  mOut.clear();
  return !mOutFailed;
}

void
SocketStream::get_remote_ip_and_port(std::string& aIp, int& aPort) const
{
  aIp.clear();
  aPort = 0;
}

void
SocketStream::get_local_ip_and_port(std::string& aIp, int& aPort) const
{
  aIp.clear();
  aPort = 0;
}

} // namespace Http
