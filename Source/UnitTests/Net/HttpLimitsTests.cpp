#include <catch2/catch.hpp>

#include <deque>
#include <thread>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "Net/HttpServer.h"

using namespace Net;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kBodyBytes = 262'144;
constexpr std::size_t kLargeBytes = 16 << 20;

/// A server that answers the length of the body, and raw connections to it.
class LimitedServer
{
public:
  explicit LimitedServer(HttpLimits aLimits = {}, std::uint64_t aBudget = 64 << 20)
    : mBudget(std::make_shared<ReceiveBudget>(aBudget))
    , mServer(mIo,
              aLimits,
              [this](const HttpRequest& aRequest, Responder aRespond) {
                ++mHandled;
                if (aRequest.mTarget == "/hold") {
                  mHeld.push_back(std::move(aRespond));
                  return;
                }
                const bool isLarge = aRequest.mTarget == "/large";
                aRespond(
                  { 200,
                    isLarge ? std::string(kLargeBytes, 'x') : std::to_string(aRequest.mBody.size()),
                    {} });
              },
              { mBudget, [this](RefusalCause aCause) { mRefusals.push_back(aCause); } })
  {
    REQUIRE(mServer.listen("127.0.0.1:0"));
  }

  void run(std::chrono::milliseconds aTime)
  {
    mIo.restart();
    mIo.run_for(aTime);
  }

  Tcp::socket& open()
  {
    mSockets.emplace_back(mIo);
    mSockets.back().connect(mServer.address());
    mSockets.back().non_blocking(true);
    run(5ms);
    return mSockets.back();
  }

  /// Sends as the server reads.
  void send(Tcp::socket& aSocket, std::string_view aBytes, std::size_t aPiece = 16'384)
  {
    boost::system::error_code error;
    while (!aBytes.empty() && (!error || error == boost::asio::error::would_block)) {
      aBytes.remove_prefix(
        aSocket.write_some(boost::asio::buffer(aBytes.substr(0, aPiece)), error));
      run(1ms);
    }
  }

  /// What has arrived from the server; "closed" if it has closed the connection without an answer.
  std::string receive(Tcp::socket& aSocket)
  {
    run(30ms);
    std::string bytes(8'192, '\0');
    boost::system::error_code error;
    bytes.resize(aSocket.read_some(boost::asio::buffer(bytes), error));
    return bytes.empty() && error && error != boost::asio::error::would_block ? "closed" : bytes;
  }

  boost::asio::io_context mIo;
  std::shared_ptr<ReceiveBudget> mBudget;
  std::deque<Responder> mHeld;
  std::vector<RefusalCause> mRefusals;
  int mHandled = 0;
  HttpServer mServer;
  std::deque<Tcp::socket> mSockets;
};

std::string
Post(const std::string& aTarget, std::size_t aBytes)
{
  return "POST " + aTarget + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(aBytes) +
         "\r\n\r\n" + std::string(aBytes, 'x');
}

bool
HasStatus(const std::string& aAnswer, const std::string& aStatus)
{
  return aAnswer.starts_with("HTTP/1.1 " + aStatus);
}

} // namespace

TEST_CASE("A request within the limits is served in whatever shape it arrives", "[Net]")
{
  // The smallest budget of a process that the operators run: an agent of 128 MB.
  LimitedServer server({}, 32 << 20);
  Tcp::socket& socket = server.open();

  SECTION("at once")
  {
    server.send(socket, Post("/a", kBodyBytes));
  }

  SECTION("in pieces")
  {
    server.send(socket, Post("/a", kBodyBytes), 1'400);
  }

  SECTION("in chunks of different sizes")
  {
    std::string text = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t chunk = 1, left = kBodyBytes; left > 0; chunk = chunk * 3 % 5'000 + 1) {
      const std::size_t size = std::min(chunk, left);
      char line[16];
      std::snprintf(line, sizeof(line), "%zx\r\n", size);
      text += line + std::string(size, 'x') + "\r\n";
      left -= size;
    }
    server.send(socket, text + "0\r\n\r\n");
  }

  SECTION("with a pause of most of the time that it has")
  {
    const std::string text = Post("/a", kBodyBytes);
    server.send(socket, std::string_view(text).substr(0, 40));
    server.run(2'500ms);
    server.send(socket, std::string_view(text).substr(40));
  }
  const std::string answer = server.receive(socket);
  REQUIRE(HasStatus(answer, "200"));
  REQUIRE(answer.ends_with("262144"));
  REQUIRE(server.mRefusals.empty());
}

TEST_CASE("The bytes that clients hold stay within the budget", "[Net]")
{
  LimitedServer server({ .mHeldFactor = 2 }, 1 << 20);

  SECTION("a stalled request is refused in favour of one that arrives")
  {
    std::vector<Tcp::socket*> stalled;
    const std::string text = Post("/a", kBodyBytes);
    for (int i = 0; i < 6; ++i) {
      stalled.push_back(&server.open());
      server.send(*stalled.back(), std::string_view(text).substr(0, text.size() - 1));
      std::this_thread::sleep_for(ReceiveBudget::kStallTime);
      REQUIRE(server.mBudget->usedBytes() <= server.mBudget->bytes());
    }
    const std::string refused = server.receive(*stalled.front());
    REQUIRE(HasStatus(refused, "503"));
    REQUIRE(refused.find("Retry-After: 1\r\n") != std::string::npos);
    REQUIRE(server.mHandled == 0);
    Tcp::socket& socket = server.open();
    server.send(socket, text);
    REQUIRE(HasStatus(server.receive(socket), "200"));
    REQUIRE(server.mHandled == 1);
  }

  SECTION("complete requests are never refused in favour of others")
  {
    Tcp::socket& held = server.open();
    server.send(held, Post("/hold", kBodyBytes));
    REQUIRE(server.mHeld.size() == 1);
    std::this_thread::sleep_for(ReceiveBudget::kStallTime);
    Tcp::socket& second = server.open();
    server.send(second, Post("/hold", kBodyBytes));
    const std::string refused = server.receive(second);
    REQUIRE(HasStatus(refused, "503"));
    REQUIRE(refused.find("Retry-After: 1\r\n") != std::string::npos);
    REQUIRE(server.mHandled == 1);
    server.mHeld.front()({ 200, "done", {} });
    REQUIRE(HasStatus(server.receive(held), "200"));
    Tcp::socket& third = server.open();
    server.send(third, Post("/a", kBodyBytes));
    REQUIRE(HasStatus(server.receive(third), "200"));
  }

  SECTION("all of it is released")
  {
    for (int i = 0; i < 3; ++i) {
      server.send(server.open(), Post(i == 0 ? "/hold" : "/a", 100'000));
    }
    server.mHeld.clear();
    server.mSockets.clear();
    server.run(50ms);
    REQUIRE(server.mServer.connections() == 0);
    REQUIRE(server.mBudget->usedBytes() == 0);
    REQUIRE(server.mBudget->heldBytes() == 0);
  }
}

TEST_CASE("A client that goes beyond a limit of its own is refused", "[Net]")
{
  SECTION("too many header fields")
  {
    LimitedServer server;
    Tcp::socket& socket = server.open();
    std::string fields;
    for (int i = 0; i < 300; ++i) {
      fields += "a:\r\n";
    }
    server.send(socket, "GET / HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n");
    REQUIRE(HasStatus(server.receive(socket), "431"));
    REQUIRE(server.mRefusals == std::vector{ RefusalCause::HeaderFields });
  }

  SECTION("too many trailers")
  {
    LimitedServer server;
    Tcp::socket& socket = server.open();
    std::string fields;
    for (int i = 0; i < 300; ++i) {
      fields += "a:\r\n";
    }
    server.send(socket,
                "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + fields +
                  "\r\n");
    REQUIRE(HasStatus(server.receive(socket), "431"));
  }

  SECTION("a request that arrives too slowly")
  {
    LimitedServer server({ .mMinReceiveRate = 1'000, .mReceiveGrace = 200ms });
    Tcp::socket& socket = server.open();
    for (int i = 0; i < 10; ++i) {
      server.send(socket, "G");
      server.run(50ms);
    }
    REQUIRE(server.receive(socket) == "closed");
    REQUIRE(server.mRefusals == std::vector{ RefusalCause::SlowRequest });
  }

  SECTION("answers that are not read")
  {
    LimitedServer server({ .mAnswerTime = 200ms, .mKernelBufferBytes = 4'096 });
    Tcp::socket& socket = server.open();
    // More than the buffers of the system take.
    server.send(socket, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
    server.run(400ms);
    REQUIRE(server.mRefusals == std::vector{ RefusalCause::UnreadAnswer });
  }
}

TEST_CASE("A new connection takes the place of the one that is idle longest", "[Net]")
{
  LimitedServer server({ .mConnections = 2 });
  Tcp::socket& held = server.open();
  server.send(held, Post("/hold", 1));
  Tcp::socket& idle = server.open();
  Tcp::socket& fresh = server.open();
  REQUIRE(server.receive(idle) == "closed");
  REQUIRE(server.mRefusals == std::vector{ RefusalCause::IdleConnection });

  SECTION("or of one whose request is incomplete")
  {
    server.send(fresh, "POST /a HTTP/1.1\r\n");
    Tcp::socket& last = server.open();
    REQUIRE(server.receive(fresh) == "closed");
    server.send(last, Post("/a", 1));
    REQUIRE(HasStatus(server.receive(last), "200"));
  }

  SECTION("but not of one whose request is complete")
  {
    server.send(fresh, Post("/hold", 1));
    REQUIRE(server.receive(server.open()) == "closed");
    server.mHeld.front()({ 200, "", {} });
    REQUIRE(HasStatus(server.receive(held), "200"));
  }
}
