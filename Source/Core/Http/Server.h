#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Http/BodyShape.h"
#include "Http/ClientLimits.h"
#include "Http/Message.h"

namespace Http {

struct ServerSettings
{
  std::string mAddress = "127.0.0.1";
  /// 0 lets the system choose.
  std::uint16_t mPort = 0;
  /// Each connection has a thread. One above the limit ends one that is slow or idle, or waits.
  ClientLimits mClients;
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
  std::function<Response(Request&&)> mAnswer;
  /// The largest body in bytes for a request whose headers are known; may be empty.
  std::function<std::size_t(const Request&)> mBodyLimit{};
  /// What is made of the body of a request whose headers are known; opaque if empty.
  std::function<BodyKind(const Request&)> mBodyKind{};
  /// Told of each refusal by the server itself; may be empty. It must return at once.
  std::function<void(Cause)> mNote{};
};

/// What clients take of the process at present.
struct ServerUsage
{
  std::size_t mConnections = 0;
  std::size_t mBytes = 0;
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
  ServerUsage usage() const;

private:
  struct Inner;
  std::unique_ptr<Inner> mInner;
};

} // namespace Http
