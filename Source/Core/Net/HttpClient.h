#pragma once

#include <functional>
#include <memory>
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
};

struct ClientResponse
{
  unsigned mStatus = 0;
  std::string mBody;
};

enum class CallError
{
  /// The connection was refused; no process listens there.
  Refused,
  /// No connection came about; nothing was sent.
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
/// which a call got no answer is closed. aDone is never called from within call().
class HttpClient
{
public:
  HttpClient(Asio::io_context& aContext, const std::string& aAddress);
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
