#pragma once

#include <functional>
#include <string>

#include "Standins/Options.h"

namespace httplib { // NOLINT(readability-identifier-naming): the name is that of cpp-httplib
class Server;
struct Response;
} // namespace httplib

namespace Standins {

/// Calls that Serve makes; each may be empty.
struct ServeHooks
{
  /// Called once with the port before requests are served.
  std::function<void(int)> mOnListen;
  /// Called about every 20 ms, with true once a stop was asked for.
  std::function<void(bool)> mOnTick;
  /// After a stop was asked for, the server goes on until this returns true.
  std::function<bool()> mMayStop;
};

/// Binds 127.0.0.1, prints "listening on 127.0.0.1:PORT", and serves until SIGTERM, SIGINT or the
/// end of the configured time. A second signal ends at once. Returns the exit status.
int
Serve(httplib::Server& aServer, const ServeOptions& aOptions, const ServeHooks& aHooks);

/// Sets a JSON body.
void
Answer(httplib::Response& aResponse, const std::string& aJson, int aStatus = 200);

} // namespace Standins
