#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Net/Address.h"
#include "Net/HttpLimits.h"
#include "Net/ReceiveBudget.h"

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

/// Why a client was refused or its connection closed.
enum class RefusalCause
{
  /// The budget for bytes of clients is used up. The request gets a 503 and has not run.
  Budget,
  /// Too many complete requests are unanswered, or they hold their part of the budget. The request
  /// gets a 503 and has not run.
  HeldRequests,
  /// The request arrived too slowly; its connection is closed.
  SlowRequest,
  /// The answer was not read in time; the connection is closed.
  UnreadAnswer,
  HeaderBytes,
  HeaderFields,
  BodyBytes,
  /// An idle connection was closed in favour of a new one.
  IdleConnection,
  /// No connection could be closed in favour of a new one, so the new one was closed.
  Connections,
};

/// Name of the cause in logs and counter labels.
std::string_view
CauseText(RefusalCause aCause);

/// What a server shares with the process that it is part of.
struct HttpSharing
{
  /// A budget of the server's own if null.
  std::shared_ptr<ReceiveBudget> mBudget;
  /// Called for each refusal.
  std::function<void(RefusalCause)> mOnRefusal;
};

/// HTTP/1.1 server. Requests on one connection are answered in order. A request that can be read in
/// two ways (two Content-Length headers, no or two Host headers, a folded header line) gets a 400
/// and the connection is closed.
class HttpServer
{
public:
  HttpServer(Asio::io_context& aContext,
             HttpLimits aLimits,
             Handler aHandler,
             HttpSharing aSharing = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Returns why the address cannot be listened on.
  tl::expected<void, std::string> listen(const std::string& aAddress);
  Tcp::endpoint address() const;

  /// Limits for connections that are accepted from now on and for the next request on open ones.
  void changeLimits(HttpLimits aLimits);
  const HttpLimits& limits() const;
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
