#pragma once

#include <array>
#include <atomic>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Support {

/// Answers the first aAnswered requests with aAnswer, and closes the connection after it has read
/// any later one. Serves one connection at a time; requests must arrive in one piece.
class ClosingServer
{
public:
  explicit ClosingServer(int aAnswered = 0, std::string aAnswer = "")
    : mAnswered(aAnswered)
    , mAnswer(std::move(aAnswer))
    , mSocket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(mSocket, generic, length) == 0 && ::listen(mSocket, 8) == 0) {
      ::getsockname(mSocket, generic, &length);
      mPort = ntohs(address.sin_port);
      mThread = std::thread([this] { run(); });
    }
  }
  ~ClosingServer()
  {
    ::shutdown(mSocket, SHUT_RDWR);
    if (mThread.joinable()) {
      mThread.join();
    }
    ::close(mSocket);
  }
  ClosingServer(const ClosingServer&) = delete;
  ClosingServer& operator=(const ClosingServer&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(mPort); }
  int deliveries() const { return mDeliveries; }

private:
  void run()
  {
    while (true) {
      const int peer = ::accept(mSocket, nullptr, nullptr);
      if (peer < 0) {
        return;
      }
      std::array<char, 65536> bytes{};
      while (::recv(peer, bytes.data(), bytes.size(), 0) > 0 && ++mDeliveries <= mAnswered &&
             ::send(peer, mAnswer.data(), mAnswer.size(), MSG_NOSIGNAL) > 0) {
      }
      ::close(peer);
    }
  }

  const int mAnswered;
  const std::string mAnswer;
  const int mSocket;
  int mPort = 0;
  std::atomic<int> mDeliveries{ 0 };
  std::thread mThread;
};

} // namespace Support
