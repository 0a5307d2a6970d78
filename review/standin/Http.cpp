#include "Http.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <random>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string
LowerCase(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return aText;
}

std::string
PercentDecoded(const std::string& aText)
{
  std::string result;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      result += static_cast<char>(std::strtol(aText.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      result += aText[i];
    }
  }
  return result;
}

bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t size = ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

/// Reads one message into its first line, headers and body. aBuffer keeps what follows it.
bool
ReadMessage(int aSocket,
            std::string& aBuffer,
            std::string& aFirstLine,
            std::map<std::string, std::string>& aHeaders,
            std::string& aBody,
            std::optional<Clock::time_point> aDeadline)
{
  const auto more = [&] {
    if (aDeadline) {
      const auto left = std::chrono::duration_cast<Millis>(*aDeadline - Clock::now()).count();
      pollfd entry{ aSocket, POLLIN, 0 };
      if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
        return false;
      }
    }
    char bytes[16384];
    const ssize_t size = ::recv(aSocket, bytes, sizeof bytes, 0);
    if (size <= 0) {
      return false;
    }
    aBuffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  };
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  const std::string head = aBuffer.substr(0, end);
  std::size_t at = head.find("\r\n");
  aFirstLine = head.substr(0, at);
  aHeaders.clear();
  while (at != std::string::npos) {
    const std::size_t next = head.find("\r\n", at + 2);
    const std::string line =
      head.substr(at + 2, next == std::string::npos ? std::string::npos : next - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      aHeaders[LowerCase(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
    }
    at = next;
  }
  const auto length = aHeaders.find("content-length");
  const std::size_t size =
    length == aHeaders.end() ? 0 : static_cast<std::size_t>(std::atoll(length->second.c_str()));
  while (aBuffer.size() < end + 4 + size) {
    if (!more()) {
      return false;
    }
  }
  aBody = aBuffer.substr(end + 4, size);
  aBuffer.erase(0, end + 4 + size);
  return true;
}

void
CloseWithReset(int aSocket)
{
  const linger reset{ 1, 0 };
  ::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  ::close(aSocket);
}

} // namespace

std::string
Request::query(const std::string& aName) const
{
  std::size_t at = mTarget.find('?');
  while (at != std::string::npos) {
    const std::size_t end = mTarget.find('&', at + 1);
    const std::string field =
      mTarget.substr(at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
    if (field.compare(0, aName.size() + 1, aName + "=") == 0) {
      return PercentDecoded(field.substr(aName.size() + 1));
    }
    at = end;
  }
  return {};
}

void
HttpServer::start()
{
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Loopback(mPort);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(listener, 256) != 0) {
    ::close(listener);
    throw std::runtime_error("cannot listen on port " + std::to_string(mPort));
  }
  mListener = listener;
  mAcceptThread = std::thread([this, listener] { accept(listener); });
}

void
HttpServer::crash()
{
  if (mListener < 0) {
    return;
  }
  ::shutdown(mListener, SHUT_RDWR);
  mAcceptThread.join();
  ::close(mListener);
  mListener = -1;
  {
    const std::lock_guard lock(mMutex);
    for (const int socket : mSockets) {
      ::shutdown(socket, SHUT_RD);
    }
  }
  while (mThreads > 0) {
    std::this_thread::sleep_for(Millis(1));
  }
}

void
HttpServer::accept(int aListener)
{
  while (true) {
    const int socket = ::accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      const std::lock_guard lock(mMutex);
      mSockets.insert(socket);
    }
    ++mThreads;
    std::thread([this, socket, number = mNextNumber++] {
      serve(socket, number);
      {
        const std::lock_guard lock(mMutex);
        mSockets.erase(socket);
        CloseWithReset(socket);
      }
      --mThreads;
    }).detach();
  }
}

void
HttpServer::silenceOpenConnections()
{
  mFirstSpeaking = mNextNumber.load();
}

std::size_t
HttpServer::connections()
{
  const std::lock_guard lock(mMutex);
  return mSockets.size();
}

void
HttpServer::serve(int aSocket, std::uint64_t aNumber)
{
  std::string buffer;
  std::string firstLine;
  Request request;
  while (ReadMessage(aSocket, buffer, firstLine, request.mHeaders, request.mBody, std::nullopt)) {
    const std::size_t space = firstLine.find(' ');
    request.mMethod = firstLine.substr(0, space);
    request.mTarget = firstLine.substr(space + 1, firstLine.rfind(' ') - space - 1);
    // What is sent on a silent connection does not arrive, and answers do not get back.
    auto reply = aNumber < mFirstSpeaking ? std::nullopt : mHandler(request);
    if (!reply || aNumber < mFirstSpeaking) {
      // Unanswered: wait until the peer gives up or the server crashes.
      char byte = 0;
      while (::recv(aSocket, &byte, 1, 0) > 0) {
      }
      return;
    }
    if (!SendAll(aSocket,
                 "HTTP/1.1 " + std::to_string(reply->mStatus) +
                   " X\r\nContent-Type: application/json\r\nContent-Length: " +
                   std::to_string(reply->mBody.size()) + "\r\n\r\n" + reply->mBody)) {
      return;
    }
  }
}

std::optional<Reply>
Call(int aPort,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody,
     const std::map<std::string, std::string>& aHeaders,
     Millis aTimeout)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(aPort);
  std::optional<Reply> reply;
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    std::string text = aMethod + ' ' + aTarget + " HTTP/1.1\r\n";
    std::map<std::string, std::string> headers = aHeaders;
    headers.try_emplace("Host", "127.0.0.1:" + std::to_string(aPort));
    headers["Content-Length"] = std::to_string(aBody.size());
    headers["Content-Type"] = "application/json";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    std::string buffer;
    std::string firstLine;
    std::map<std::string, std::string> replyHeaders;
    Reply answer;
    if (SendAll(socket, text + "\r\n" + aBody) &&
        ReadMessage(
          socket, buffer, firstLine, replyHeaders, answer.mBody, Clock::now() + aTimeout)) {
      answer.mStatus = std::atoi(firstLine.substr(firstLine.find(' ') + 1).c_str());
      reply = answer;
    }
  }
  ::close(socket);
  return reply;
}

int
FreePorts(int aCount)
{
  // Ports below the range that the system gives to clients.
  static int next = 15000 + static_cast<int>(std::random_device{}() % 12000);
  const auto isFree = [](int aPort) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(aPort);
    const bool free =
      ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(socket);
    return free;
  };
  while (true) {
    int free = 0;
    while (free < aCount && isFree(next + free)) {
      ++free;
    }
    const int first = next;
    next += free + 1;
    if (free == aCount) {
      return first;
    }
  }
}

} // namespace Review
