#include <atomic>
#include <future>
#include <thread>

#include <Control.h>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Rpc/ClientPool.h"
#include "Rpc/Server.h"
#include "UnitTests/Support/ClosingServer.h"

namespace {

using namespace std::chrono_literals;
using Rpc::Generated::ExecuteReply;
using Rpc::Generated::ExecuteRequest;

/// Answers execute after the test allows it.
class Handler final : public Rpc::Generated::ControlNull
{
public:
  void execute(ExecuteReply& aReply, const ExecuteRequest& aRequest) override
  {
    ++mStarted;
    while (mHold) {
      std::this_thread::sleep_for(1ms);
    }
    aReply.body = aRequest.body;
    aReply.status = 200;
  }

  std::atomic<int> mStarted{ 0 };
  std::atomic<bool> mHold{ false };
};

/// A listening socket that accepts and never answers, or closes at once.
class RawListener
{
public:
  RawListener()
    : mSocket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    REQUIRE(::listen(mSocket, 8) == 0);
    socklen_t length = sizeof(address);
    ::getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &length);
    mPort = ntohs(address.sin_port);
  }
  ~RawListener() { close(); }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  void close()
  {
    if (mSocket >= 0) {
      ::close(mSocket);
      mSocket = -1;
    }
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(mPort); }

private:
  int mSocket;
  std::uint16_t mPort = 0;
};

struct Loopback
{
  std::shared_ptr<Handler> mHandler = std::make_shared<Handler>();
  Rpc::Server mServer{ Rpc::ServerSettings{}, mHandler };
  Common::SystemClock mClock;
  Rpc::ClientPool mPool{ Rpc::ClientPoolSettings{ 2, 500ms, 20s }, mClock };
  std::string mAddress = "127.0.0.1:" + std::to_string(mServer.start().value());
};

} // namespace

TEST_CASE("Calls go over pooled connections", "[Rpc]")
{
  Loopback loop;
  ExecuteRequest request;
  request.body = std::string(100'000, 'x');

  SECTION("answers come back whole and one connection is used again")
  {
    for (int i = 0; i < 20; ++i) {
      const auto reply = loop.mPool.execute(loop.mAddress, request, 5s);
      REQUIRE(reply);
      REQUIRE(reply->body == request.body);
    }
    REQUIRE(loop.mPool.connections() == 1);
  }

  SECTION("the limit of a peer refuses further calls as not delivered")
  {
    loop.mHandler->mHold = true;
    auto call = [&] { return loop.mPool.execute(loop.mAddress, request, 10s); };
    auto first = std::async(std::launch::async, call);
    auto second = std::async(std::launch::async, call);
    while (loop.mHandler->mStarted < 2) {
      std::this_thread::sleep_for(1ms);
    }
    const auto third = call();
    REQUIRE_FALSE(third);
    REQUIRE_FALSE(third.error().mMayHaveBeenDelivered);
    loop.mHandler->mHold = false;
    REQUIRE(first.get());
    REQUIRE(second.get());
  }

  SECTION("a timeout says that the request may have been delivered")
  {
    loop.mHandler->mHold = true;
    const auto reply = loop.mPool.execute(loop.mAddress, request, 50ms);
    loop.mHandler->mHold = false;
    REQUIRE_FALSE(reply);
    REQUIRE(reply.error().mMayHaveBeenDelivered);
  }

  SECTION("a stop answers the call in progress")
  {
    loop.mHandler->mHold = true;
    auto call = std::async(std::launch::async,
                           [&] { return loop.mPool.execute(loop.mAddress, request, 10s); });
    while (loop.mHandler->mStarted < 1) {
      std::this_thread::sleep_for(1ms);
    }
    auto stopping = std::async(std::launch::async, [&] { loop.mServer.stop(); });
    std::this_thread::sleep_for(20ms);
    loop.mHandler->mHold = false;
    REQUIRE(call.get());
    stopping.get();
    const auto late = loop.mPool.execute(loop.mAddress, request, 1s);
    REQUIRE_FALSE(late);
    REQUIRE_FALSE(late.error().mMayHaveBeenDelivered);
  }
}

TEST_CASE("A pooled connection that the peer closed is not used", "[Rpc]")
{
  // A restarted agent leaves stale connections behind. A call over one of them would count as "may
  // have been delivered" although the new process never saw it.
  Loopback loop;
  REQUIRE(loop.mPool.execute(loop.mAddress, {}, 5s));
  loop.mServer.stop();
  const auto reply = loop.mPool.execute(loop.mAddress, {}, 5s);
  REQUIRE_FALSE(reply);
  REQUIRE_FALSE(reply.error().mMayHaveBeenDelivered);
  REQUIRE(loop.mPool.connections() == 0);
}

TEST_CASE("Only certain failures count as not delivered", "[Rpc]")
{
  Common::SystemClock clock;
  Rpc::ClientPool pool(Rpc::ClientPoolSettings{}, clock);
  RawListener listener;
  const std::string address = listener.address();

  SECTION("a peer that accepts and never answers may have the request")
  {
    const auto reply = pool.execute(address, {}, 50ms);
    REQUIRE_FALSE(reply);
    REQUIRE(reply.error().mMayHaveBeenDelivered);
  }

  SECTION("a peer that reads the request and closes has it once, and is not called again")
  {
    const Support::ClosingServer closing;
    const auto reply = pool.execute(closing.address(), {}, 5s);
    REQUIRE_FALSE(reply);
    REQUIRE(reply.error().mMayHaveBeenDelivered);
    REQUIRE(closing.deliveries() == 1);
  }

  SECTION("nobody listens")
  {
    listener.close();
    const auto reply = pool.execute(address, {}, 5s);
    REQUIRE_FALSE(reply);
    REQUIRE_FALSE(reply.error().mMayHaveBeenDelivered);
  }

  SECTION("the address is malformed or the deadline has passed")
  {
    REQUIRE_FALSE(pool.execute("nowhere", {}, 5s).error().mMayHaveBeenDelivered);
    REQUIRE_FALSE(pool.execute(address, {}, 0s).error().mMayHaveBeenDelivered);
  }

  SECTION("a frame that the peer stops reading was not delivered whole")
  {
    // The body is larger than the socket buffers, so the write times out before its last byte.
    ExecuteRequest request;
    request.body = std::string(15 << 20, 'x');
    const auto reply = pool.execute(address, request, 200ms);
    REQUIRE_FALSE(reply);
    REQUIRE_FALSE(reply.error().mMayHaveBeenDelivered);
  }
}

TEST_CASE("Frames above the limit are refused", "[Rpc]")
{
  Loopback loop;
  ExecuteRequest request;
  request.body = std::string(Rpc::kMaxFrame + 1, 'x');
  const auto reply = loop.mPool.execute(loop.mAddress, request, 5s);
  REQUIRE_FALSE(reply);
  REQUIRE(loop.mHandler->mStarted == 0);

  SECTION("and the next call works")
  {
    REQUIRE(loop.mPool.execute(loop.mAddress, {}, 5s));
  }
}

TEST_CASE("Two servers cannot share a port", "[Rpc]")
{
  const auto handler = std::make_shared<Handler>();
  Rpc::Server first(Rpc::ServerSettings{}, handler);
  const auto port = first.start();
  REQUIRE(port);
  Rpc::Server second(Rpc::ServerSettings{ "127.0.0.1", *port, 8 }, handler);
  const auto refused = second.start();
  REQUIRE_FALSE(refused);
  REQUIRE(refused.error().find(std::to_string(*port)) != std::string::npos);
}
