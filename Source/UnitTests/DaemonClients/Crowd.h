#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace DaemonClients {

/// What each connection of a crowd does.
struct Plan
{
  std::size_t mConnections = 0;
  /// Sent once by each connection, which then stays open.
  std::string mBytes;
  /// Most bytes handed to the system at a time, with this pause in between.
  std::size_t mPiece = std::size_t(1) << 20;
  std::chrono::milliseconds mPause{ 0 };
  /// Whether what is sent contains a whole request, so that an answer is expected.
  bool mExpectsAnswer = true;
  bool mReads = true;
  std::size_t mReadPiece = std::size_t(64) << 10;
  std::chrono::milliseconds mReadPause{ 0 };
};

/// Connections to one port of loopback that follow a plan until this object ends. All run on one
/// thread.
class Crowd
{
public:
  Crowd(int aPort, Plan aPlan);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Waits until each connection has been closed, or has sent everything and got the first bytes of
  /// an answer if the plan expects one; at most aLimit.
  void waitUntilDone(std::chrono::milliseconds aLimit) const;

private:
  using Time = std::chrono::steady_clock::time_point;

  struct Connection
  {
    int mSocket = -1;
    std::size_t mSent = 0;
    bool mAnswered = false;
    Time mNextSend;
    Time mNextRead;
  };

  void run();
  bool isPending(const Connection& aConnection) const;
  void step(Connection& aConnection, Time aNow);
  void send(Connection& aConnection, Time aNow);
  void read(Connection& aConnection, Time aNow);

  const Plan mPlan;
  std::vector<Connection> mConnections;
  std::atomic<std::size_t> mPending{ 0 };
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace DaemonClients
