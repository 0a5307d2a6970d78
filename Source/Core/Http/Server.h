#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Http/Message.h"

namespace Http {

struct ServerSettings
{
  std::string mAddress = "127.0.0.1";
  /// 0 lets the system choose.
  std::uint16_t mPort = 0;
  /// Connections served at one time, each with a thread; further ones wait to be accepted.
  std::size_t mMaxThreads = 512;
  /// Bodies above this are refused with 413 whatever the body limit says.
  std::size_t mMaxBody = 15 << 20;
  /// Time to wait for the next bytes of a request.
  Common::Duration mReadTimeout{ std::chrono::seconds(5) };
  /// Time in which a whole body must arrive.
  Common::Duration mBodyTimeout{ std::chrono::seconds(30) };
  Common::Duration mKeepAlive{ std::chrono::seconds(5) };
  std::size_t mRequestsPerConnection = 100'000;
};

struct Handlers
{
  /// Answers a request; called from many threads at once.
  std::function<Response(const Request&)> mAnswer;
  /// The largest body in bytes for a request whose headers are known; may be empty.
  std::function<std::size_t(const Request&)> mBodyLimit;
};

/// An HTTP/1.1 server with one thread for each connection in use.
class Server
{
public:
  Server(ServerSettings aSettings, Handlers aHandlers);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts to listen; returns the port, or an error that names the address.
  tl::expected<std::uint16_t, std::string> start();
  /// Accepts no further connection, answers the requests in progress, and closes. Idempotent.
  void stop();

private:
  struct Inner;
  std::unique_ptr<Inner> mInner;
};

} // namespace Http
