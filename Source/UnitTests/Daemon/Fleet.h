#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "Common/Clock.h"
#include "Daemon/Process.h"
#include "Http/Client.h"
#include "Http/Server.h"

namespace DaemonTests {

/// An entry and an agent in this process, with a store and an endpoint on loopback sockets.
class Fleet
{
public:
  Fleet();
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Publishes the tables and waits until a request can be served; false after a bounded time.
  bool begin();
  Http::Response ask(const Http::Request& aRequest);
  Http::Response edit(std::int64_t aBase, const std::string& aRoutes);
  void stopAgent();
  void stopEntry();
  void setHold(bool aHold) { mHold = aHold; }
  int running() const { return mRunning; }
  /// Most requests that the endpoint worked on at one time.
  int mostRunning() const { return mMostRunning; }
  int served() const { return mServed; }
  void announce(bool aLeaving);

private:
  Http::Response serve(const Http::Request& aRequest);

  struct StoreServer;
  Common::SystemClock mClock;
  Http::Client mClient{ Http::ClientSettings{}, mClock };
  std::unique_ptr<StoreServer> mStore;
  std::unique_ptr<Http::Server> mEndpoint;
  std::string mEndpointAddress;
  std::unique_ptr<Daemon::Process> mAgent;
  std::unique_ptr<Daemon::Process> mEntry;
  std::atomic<bool> mHold{ false };
  std::atomic<int> mRunning{ 0 };
  std::atomic<int> mMostRunning{ 0 };
  std::atomic<int> mServed{ 0 };
  std::unique_ptr<class Announcer> mAnnouncer;
};

/// Asks until aCheck holds; false after 20 s.
bool
Eventually(const std::function<bool()>& aCheck);

extern const std::string kRoutes;
extern const std::string kPools;

} // namespace DaemonTests
