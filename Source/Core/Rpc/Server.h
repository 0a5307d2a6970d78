#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <tl/expected.hpp>

namespace Rpc {

namespace Generated {
class ControlIf;
} // namespace Generated

struct ServerSettings
{
  std::string mAddress = "127.0.0.1";
  /// 0 lets the system choose.
  std::uint16_t mPort = 0;
  /// Connections served at one time, each with a thread; further ones wait.
  std::int64_t mMaxConnections = 512;
};

/// Serves the Control messages, one thread for each connection.
class Server
{
public:
  /// aHandler is called from many threads at once.
  Server(ServerSettings aSettings, std::shared_ptr<Generated::ControlIf> aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts to listen; returns the port, or an error that names the address.
  tl::expected<std::uint16_t, std::string> start();
  /// Takes no new call, waits until the calls in progress are answered, and closes. Idempotent.
  void stop();

private:
  struct Inner;
  std::unique_ptr<Inner> mInner;
};

} // namespace Rpc
