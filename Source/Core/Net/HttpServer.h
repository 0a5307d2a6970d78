#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Net/Address.h"

namespace Net {

struct HttpRequest
{
  std::string mMethod;
  /// Path and query as sent.
  std::string mTarget;
  std::string mHost;
  std::string mBody;
  /// Names in lower case.
  std::vector<std::pair<std::string, std::string>> mHeaders;

  /// "" if there is no such header. aName is in lower case.
  std::string header(const std::string& aName) const;
};

struct HttpResponse
{
  unsigned mStatus = 200;
  std::string mBody;
  std::vector<std::pair<std::string, std::string>> mHeaders;
};

/// Answers one request; calling it more than once has no effect.
using Responder = std::function<void(HttpResponse)>;
using Handler = std::function<void(HttpRequest, Responder)>;

struct HttpLimits
{
  std::uint32_t mHeaderBytes = 16'384;
  std::uint64_t mBodyBytes = 262'144;
  /// A request must arrive whole within this time after its first byte.
  Common::Duration mRequestTime{ std::chrono::seconds(10) };
  /// An open connection without a request is closed after this time.
  Common::Duration mIdleTime{ std::chrono::seconds(60) };
  std::size_t mConnections = 3'000;
};

/// HTTP/1.1 server. Requests on one connection are answered in order. A request that can be read in
/// two ways (two Content-Length headers, no or two Host headers, a folded header line) gets a 400
/// and the connection is closed.
class HttpServer
{
public:
  HttpServer(Asio::io_context& aContext, HttpLimits aLimits, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Returns why the address cannot be listened on.
  tl::expected<void, std::string> listen(const std::string& aAddress);
  Tcp::endpoint address() const;

  /// Limits for connections that are accepted from now on and for the next request on open ones.
  void changeLimits(HttpLimits aLimits);
  /// From now on each answer asks the caller to close its connection.
  void announceClose();
  /// Closes the connections on which no request has begun, except for new ones, whose requests may
  /// be on their way. Those that wait to be accepted count as open from then on.
  void closeIdle();
  /// Stops listening; open connections go on.
  void stopListening();
  /// Reads nothing more. Connections on which no request has arrived whole are closed; those whose
  /// requests were read get their answers first.
  void stopReading();
  /// Requests that were read and are not answered yet.
  std::size_t pending() const;
  std::size_t connections() const;

  struct Core;

private:
  std::shared_ptr<Core> mCore;
};

} // namespace Net
