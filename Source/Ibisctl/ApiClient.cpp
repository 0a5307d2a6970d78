#include "Ibisctl/ApiClient.h"

#include <algorithm>
#include <optional>

#include <httplib.h>

#include "Common/Arguments.h"
#include "Ibisctl/Command.h"

namespace Ibisctl {

namespace {

/// Errors after which the server cannot have seen the request.
bool
BeforeDelivery(httplib::Error aError)
{
  return aError == httplib::Error::Connection || aError == httplib::Error::BindIPAddress ||
         aError == httplib::Error::ConnectionTimeout;
}

httplib::Request
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            const std::map<std::string, std::string>& aHeaders)
{
  httplib::Request request;
  request.method = aMethod;
  request.path = "/ibisshed/v1/" + aPath;
  request.headers.insert(aHeaders.begin(), aHeaders.end());
  if (!aBody.empty()) {
    request.headers.emplace("Content-Type", "application/json");
    request.body = aBody;
  }
  return request;
}

} // namespace

tl::expected<std::vector<Server>, std::string>
ParseServers(const std::string& aText)
{
  constexpr std::int64_t kMaxPort = 65535;
  std::vector<Server> servers;
  for (std::size_t start = 0; start <= aText.size();) {
    const std::size_t comma = std::min(aText.find(',', start), aText.size());
    const std::string item = aText.substr(start, comma - start);
    start = comma + 1;
    const std::size_t colon = item.rfind(':');
    const auto port =
      colon == std::string::npos ? std::nullopt : ParseCount(item.substr(colon + 1));
    if (!port || *port < 1 || *port > kMaxPort || colon == 0) {
      return tl::unexpected("server \"" + item + "\" must have the form host:port");
    }
    std::string host = item.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') {
      host = host.substr(1, host.size() - 2);
    }
    servers.push_back({ std::move(host), static_cast<int>(*port) });
  }
  return servers;
}

ApiClient::ApiClient(std::vector<Server> aServers, std::chrono::milliseconds aTimeout)
  : mServers(std::move(aServers))
  , mTimeout(aTimeout)
{
}

tl::expected<Answer, NoAnswer>
ApiClient::call(const std::string& aMethod,
                const std::string& aPath,
                const std::string& aBody,
                bool aRepeatable,
                const std::map<std::string, std::string>& aHeaders) const
{
  std::optional<Answer> refusal;
  NoAnswer failure;
  for (const Server& server : mServers) {
    httplib::Client client(server.mHost, server.mPort);
    client.set_connection_timeout(mTimeout);
    client.set_read_timeout(mTimeout);
    client.set_write_timeout(mTimeout);
    const httplib::Result result = client.send(MakeRequest(aMethod, aPath, aBody, aHeaders));
    if (!result) {
      if (!failure.mMessage.empty()) {
        failure.mMessage += "; ";
      }
      failure.mMessage.append(server.mHost)
        .append(":")
        .append(std::to_string(server.mPort))
        .append(": ")
        .append(httplib::to_string(result.error()));
      failure.mMaybeDelivered = failure.mMaybeDelivered || !BeforeDelivery(result.error());
      if (failure.mMaybeDelivered && !aRepeatable) {
        return tl::unexpected(std::move(failure));
      }
      continue;
    }
    Answer answer{ result->status, result->body, result->get_header_value("Retry-After") };
    if (answer.mStatus != kUnavailable) {
      return answer;
    }
    refusal = std::move(answer);
  }
  // A refusal tells that a change did not happen, unless another server may have got it before.
  if (refusal && (!failure.mMaybeDelivered || aMethod == "GET")) {
    return *refusal;
  }
  return tl::unexpected(std::move(failure));
}

} // namespace Ibisctl
