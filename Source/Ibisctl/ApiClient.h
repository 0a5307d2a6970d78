#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

namespace Ibisctl {

struct Server
{
  std::string mHost;
  int mPort = 0;
};

/// Reads "host:port" items separated by commas; the error is a message for the user.
tl::expected<std::vector<Server>, std::string>
ParseServers(const std::string& aText);

struct Answer
{
  int mStatus = 0;
  std::string mBody;
  /// Value of the Retry-After header, or empty.
  std::string mRetryAfter;

  bool succeeded() const { return mStatus >= 200 && mStatus < 300; }
};

/// Why there is no answer.
struct NoAnswer
{
  std::string mMessage;
  /// The request was sent, so that it may have taken effect.
  bool mMaybeDelivered = false;
};

/// The operators' HTTP interface of an entry.
class ApiClient
{
public:
  ApiClient(std::vector<Server> aServers, std::chrono::milliseconds aTimeout);

  /// Asks the servers in order until one answers other than 503. aPath stands below /ibisshed/v1/.
  /// A request that may have been delivered goes to another server only if aRepeatable is true. If
  /// all answers are 503, the last one is returned.
  tl::expected<Answer, NoAnswer> call(
    const std::string& aMethod,
    const std::string& aPath,
    const std::string& aBody = "",
    bool aRepeatable = true,
    const std::map<std::string, std::string>& aHeaders = {}) const;

private:
  std::vector<Server> mServers;
  std::chrono::milliseconds mTimeout;
};

} // namespace Ibisctl
