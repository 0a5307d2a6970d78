#include "Standins/Serve.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <thread>

#include <httplib.h>

namespace Standins {

namespace {

constexpr std::chrono::milliseconds kTick{ 20 };
constexpr std::size_t kDefaultThreads = 32;

volatile std::sig_atomic_t sSignals = 0;

void
CountSignal(int)
{
  sSignals = sSignals + 1;
}

void
RunLoop(const ServeOptions& aOptions, const ServeHooks& aHooks)
{
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(aOptions.mMaxSeconds);
  while (sSignals < 2 && std::chrono::steady_clock::now() < end) {
    const bool stopping = sSignals > 0;
    if (aHooks.mOnTick) {
      aHooks.mOnTick(stopping);
    }
    if (stopping && (!aHooks.mMayStop || aHooks.mMayStop())) {
      return;
    }
    std::this_thread::sleep_for(kTick);
  }
}

} // namespace

int
Serve(httplib::Server& aServer, const ServeOptions& aOptions, const ServeHooks& aHooks)
{
  std::signal(SIGTERM, CountSignal);
  std::signal(SIGINT, CountSignal);
  const std::size_t threads =
    aOptions.mThreads > 0 ? static_cast<std::size_t>(aOptions.mThreads) : kDefaultThreads;
  aServer.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
  aServer.set_tcp_nodelay(true);
  // The default of 5 requests per connection would make the callers reconnect all the time.
  aServer.set_keep_alive_max_count(1000000);
  int port = static_cast<int>(aOptions.mPort);
  if (port == 0) {
    port = aServer.bind_to_any_port("127.0.0.1");
  } else if (!aServer.bind_to_port("127.0.0.1", port)) {
    port = -1;
  }
  if (port <= 0) {
    std::fprintf(stderr, "cannot bind 127.0.0.1:%d\n", static_cast<int>(aOptions.mPort));
    return 1;
  }
  std::printf("listening on 127.0.0.1:%d\n", port);
  std::fflush(stdout);
  if (aHooks.mOnListen) {
    aHooks.mOnListen(port);
  }
  std::thread server([&aServer] { aServer.listen_after_bind(); });
  RunLoop(aOptions, aHooks);
  aServer.stop();
  server.join();
  return 0;
}

void
Answer(httplib::Response& aResponse, const std::string& aJson, int aStatus)
{
  aResponse.status = aStatus;
  aResponse.set_content(aJson, "application/json");
}

} // namespace Standins
