#pragma once

#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Http/Message.h"

namespace Http {

struct ClientError
{
  /// False only if no connection was made or the connection limit was reached.
  bool mMayHaveBeenDelivered = true;
  bool mTimedOut = false;
  std::string mText;
};

using ClientResult = tl::expected<Response, ClientError>;

struct ClientSettings
{
  /// Connections to one address, in use and idle.
  std::size_t mMaxPerAddress = 64;
  std::size_t mMaxResponse = 15 << 20;
  Common::Duration mConnectTimeout{ std::chrono::milliseconds(500) };
  /// Idle connections are not used again after this time. It is below the usual keep-alive time of
  /// servers, so that a request does not meet a connection that is just being closed.
  Common::Duration mMaxIdle{ std::chrono::seconds(3) };
};

/// Sends requests over kept connections. Safe to use from several threads.
class Client
{
public:
  Client(ClientSettings aSettings, const Common::Clock& aClock);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends to "ip:port" and waits for the whole answer, at most aTimeout.
  ClientResult send(const std::string& aAddress,
                    const Request& aRequest,
                    Common::Duration aTimeout);

  /// Ends the requests in progress and refuses new ones, for the end of the process.
  void cancel();

  /// Closes connections that are idle for too long.
  void prune();

private:
  struct Inner;
  std::unique_ptr<Inner> mInner;
};

} // namespace Http
