#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Net/Address.h"

namespace Net {

struct ClientRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  std::string mBody;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  /// The answer to the check of a new connection says as much as the one to this request. A call
  /// that needs a new connection ends with it; the connection is kept for the next call.
  bool mIsCheckEnough = false;
  /// How long the server may hold the request before it answers.
  Common::Duration mHold{ 0 };
};

struct ClientResponse
{
  unsigned mStatus = 0;
  std::string mBody;
  /// The request was not sent, because the connection failed its check. This is the server's answer
  /// to the check.
  bool mFailedCheck = false;
  /// The request was not sent, because the answer to the check was enough. This is that answer.
  bool mIsAnswerToCheck = false;
};

/// What the clients of one server know of its silence. Open connections can go silent without being
/// closed while new ones work, usually all at once.
struct ServerSilence
{
  /// When the answer to the latest call that timed out was due. A connection that has brought no
  /// answer since may be silent.
  std::chrono::steady_clock::time_point mSince;
};

/// Makes sure that a new connection reaches the expected server, and not another process at the
/// same address. A connection ends with the process that accepted it, so one check holds for all
/// requests on it.
struct ConnectionCheck
{
  /// Returns the request that is sent first on the connection.
  std::function<ClientRequest()> mMakeRequest;
  /// True if the answer comes from the expected server.
  std::function<bool(const ClientResponse&)> mPasses;
  /// How long one check waits for its answer. Each check in a row without an answer adds as much,
  /// up to mMaxTimeout, so that a server that does not answer gets few new connections.
  Common::Duration mTimeout{ std::chrono::milliseconds(80) };
  Common::Duration mMaxTimeout{ std::chrono::milliseconds(600) };
};

enum class CallError
{
  /// The connection was refused; no process listens there.
  Refused,
  /// No connection came about, or its check was not answered; the request was not sent.
  NotSent,
  /// The request was sent, wholly or in part, and no answer came.
  NoAnswer,
};

/// What the timeout of a call limits.
enum class TimeoutScope
{
  WholeCall,
  /// Each wait for a part of the answer. An answer of 1 MB takes longer over a slow link than a
  /// server that is down should be waited for.
  EachPart,
};

using CallResult = tl::expected<ClientResponse, CallError>;
using CallDone = std::function<void(CallResult)>;

/// Calls to one HTTP server over a few kept connections. Each call has a timeout; a connection on
/// which a call got no answer is closed. An idle connection that may be silent is closed when it is
/// its turn, or passes the check of a new connection before it is used. A check without an answer
/// is repeated on further connections, all within the timeout of the call, which starts anew when
/// the request is sent. aDone is never called from within call().
class HttpClient
{
public:
  HttpClient(Asio::io_context& aContext,
             const std::string& aAddress,
             std::optional<ConnectionCheck> aCheck = std::nullopt,
             std::shared_ptr<ServerSilence> aSilence = std::make_shared<ServerSilence>());
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void call(ClientRequest aRequest,
            Common::Duration aTimeout,
            CallDone aDone,
            TimeoutScope aScope = TimeoutScope::WholeCall);

  struct Core;

private:
  std::shared_ptr<Core> mCore;
};

} // namespace Net
