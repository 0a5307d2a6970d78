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
// A line of a body, as the length of a chunk, is read byte by byte into a buffer without a bound.
constexpr std::size_t kLineSize = 8 << 10;
// Header bytes and fields that the cost of a connection includes, and the steps above them.
constexpr std::size_t kFreeHeaderBytes = 4 << 10;
constexpr std::size_t kFreeFields = 24;
constexpr std::size_t kHeaderStep = 4 << 10;
constexpr std::size_t kFieldStep = 32;

constexpr std::string_view kHiddenSuffix = "-Ibisshed-Hidden";

bool
IsHidden(std::string_view aName)
{
  return SameName(aName, "Range") || SameName(aName, "Accept-Encoding") ||
         SameName(aName, "Content-Encoding");
}

} // namespace

std::string
SentName(const std::string& aName)
{
  if (!aName.ends_with(kHiddenSuffix)) {
    return aName;
  }
  const std::string name = aName.substr(0, aName.size() - kHiddenSuffix.size());
  return IsHidden(name) ? name : aName;
}

SocketStream::SocketStream(socket_t aSocket, StreamLimits aLimits, ClientConnection* aClient)
  : mSocket(aSocket)
  , mLimits(aLimits)
  , mClient(aClient)
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
  mInMessage = true;
  mMessageBegan = SteadyClock::now();
  mMessageBytes = mIn.size() - mInUsed;
  mLineBytes = 0;
  mParameters = 0;
  mPaidBytes = kFreeHeaderBytes;
  mPaidFields = kFreeFields;
  mInHeaders = true;
  mHeadersEnd = SteadyClock::now() + mLimits.mHeaders;
  mHeaderBytes = 0;
  mLineNumber = 0;
  mLineName.clear();
  mNameEnded = false;
  mEscape.clear();
}

void
SocketStream::endMessage()
{
  mInMessage = false;
  mInHeaders = false;
}

std::chrono::milliseconds
SocketStream::timeOf(std::size_t aBytes) const
{
  return std::chrono::milliseconds(aBytes * 1000 / mLimits.mMinRate);
}

SteadyClock::time_point
SocketStream::messageEnd() const
{
  if (!mInMessage || mLimits.mMinRate == 0) {
    return SteadyClock::time_point::max();
  }
  return mMessageBegan + std::min(mLimits.mMessage, mLimits.mRead + timeOf(mMessageBytes));
}

bool
SocketStream::waitFor(short aEvents, std::chrono::milliseconds aTimeout) const
{
  auto end = std::min(SteadyClock::now() + aTimeout, messageEnd());
  if (mInHeaders) {
    end = std::min(end, mHeadersEnd);
  }
  return waitFor(aEvents, end);
}

bool
SocketStream::waitFor(short aEvents, SteadyClock::time_point aEnd) const
{
  const auto end = std::min(aEnd, mDeadline);
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
      if (!mInMessage) {
        return true;
      }
      mMessageBytes += mIn.size();
      // Bytes that trickle in are never waited for long, so the rate is checked here, too.
      if (SteadyClock::now() > messageEnd() && mClient != nullptr) {
        mClient->refuse(Cause::SlowRequest);
      }
      return mClient == nullptr || mClient->receive(mIn.size());
    }
    const bool wait = count == -1 && (errno == EAGAIN || errno == EINTR);
    if (!wait || !waitFor(POLLIN, mLimits.mRead)) {
      mEnded = !wait;
      if (wait && mInMessage && mClient != nullptr) {
        mClient->refuse(Cause::SlowRequest);
      }
      mIn.clear();
      return false;
    }
  }
}

void
SocketStream::noteHeaderByte(char aByte)
{
  if (aByte != '\n') {
    if (aByte == '&' && mLineNumber == 0) {
      ++mParameters;
    }
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

bool
SocketStream::reserveHeader()
{
  if (mClient == nullptr) {
    return true;
  }
  if (mLineNumber > mClient->limits().mHeaderFields + 1) {
    mClient->refuse(Cause::HeaderFields);
    return false;
  }
  if (mHeaderBytes > mPaidBytes) {
    if (!mClient->reserve(kHeaderStep * kBodyCopies)) {
      return false;
    }
    mPaidBytes += kHeaderStep;
  }
  if (mLineNumber + mParameters > mPaidFields) {
    if (!mClient->reserve(kFieldStep * kFieldCost)) {
      return false;
    }
    mPaidFields += kFieldStep;
  }
  return true;
}

bool
SocketStream::noteLineByte(char aByte)
{
  mLineBytes = aByte == '\n' ? 0 : mLineBytes + 1;
  return mLineBytes <= kLineSize;
}

ssize_t
SocketStream::readHeaderByte(char* aByte)
{
  if (!mEscape.empty()) {
    *aByte = mEscape.front();
    mEscape.erase(0, 1);
    return 1;
  }
  if (++mHeaderBytes > mLimits.mHeaderBytes || SteadyClock::now() > mHeadersEnd ||
      !reserveHeader()) {
    return -1;
  }
  *aByte = mIn[mInUsed++];
  if (*aByte == ':' && mLineNumber > 0 && !mNameEnded && mClient != nullptr &&
      IsHidden(mLineName)) {
    noteHeaderByte(*aByte);
    *aByte = kHiddenSuffix.front();
    mEscape = std::string(kHiddenSuffix.substr(1)) + ':';
    return 1;
  }
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
  if (aSize == 1 && !noteLineByte(*aBytes)) {
    return -1;
  }
  return static_cast<ssize_t>(count);
}

ssize_t
SocketStream::write(const char* aBytes, std::size_t aSize)
{
  // What would be sent at once is not copied.
  if (aSize >= kFlushSize) {
    return flush() && send(aBytes, aSize) ? static_cast<ssize_t>(aSize) : -1;
  }
  mOut.append(aBytes, aSize);
  if (mOut.size() >= kFlushSize && !flush()) {
    return -1;
  }
  return mOutFailed ? -1 : static_cast<ssize_t>(aSize);
}

bool
SocketStream::send(const char* aBytes, std::size_t aSize)
{
  auto end = SteadyClock::time_point::max();
  if (mLimits.mMinRate > 0) {
    end = SteadyClock::now() + mLimits.mWrite + timeOf(aSize);
  }
  std::size_t sent = 0;
  while (sent < aSize && !mOutFailed) {
    const ssize_t count = ::send(mSocket, aBytes + sent, aSize - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      continue;
    }
    const bool wait = errno == EAGAIN || errno == EINTR;
    mOutFailed = !wait || !waitFor(POLLOUT, std::min(end, SteadyClock::now() + mLimits.mWrite));
    if (wait && mOutFailed && mClient != nullptr) {
      mClient->refuse(Cause::UnreadAnswer);
    }
  }
  return !mOutFailed;
}

bool
SocketStream::flush()
{
  const bool sent = mOut.empty() ? !mOutFailed : send(mOut.data(), mOut.size());
  mOut = {};
  return sent;
}

void
SocketStream::drain(std::chrono::milliseconds aTimeout)
{
  ::shutdown(mSocket, SHUT_WR);
  const auto end = SteadyClock::now() + aTimeout;
  mIn.resize(kReadSize);
  ssize_t count = 0;
  do {
    count = ::recv(mSocket, mIn.data(), mIn.size(), MSG_DONTWAIT);
  } while (SteadyClock::now() < end &&
           (count > 0 || (count < 0 && errno == EAGAIN && waitFor(POLLIN, end))));
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
