#include <catch2/catch.hpp>

#include <optional>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "UnitTests/Support/SilencingProxy.h"

using namespace Net;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds kTimeout{ 500 };

/// A client that reaches its server through a proxy. The server answers "/name" with its name,
/// holds
/// "/hold", loses "/lost" and answers anything else at once.
class SilenceFixture
{
public:
  explicit SilenceFixture(std::optional<ConnectionCheck> aCheck = std::nullopt)
    : mServer(mIo,
              {},
              [this](const HttpRequest& aRequest, const Responder& aRespond) {
                ++mRequests;
                if (aRequest.mTarget == "/hold") {
                  mHeld.push_back(aRespond);
                } else if (aRequest.mTarget == "/lost" || mLosesAnswers) {
                  mLost.push_back(aRespond);
                } else {
                  mChecks += aRequest.mTarget == "/name" ? 1 : 0;
                  aRespond({ 200, "yes", {} });
                }
              })
    , mIsListening(mServer.listen("127.0.0.1:0").has_value())
    , mProxy(mIo, AddressText(mServer.address()))
    , mClient(mIo, mProxy.address(), std::move(aCheck))
  {
    REQUIRE(mIsListening);
  }

  static ConnectionCheck nameCheck()
  {
    return { [] {
              return ClientRequest{ "GET", "/name", "", {} };
            },
             [](const ClientResponse& aResponse) { return aResponse.mBody == "yes"; } };
  }

  void send(const std::string& aTarget,
            std::optional<CallResult>& aResult,
            std::chrono::milliseconds aTimeout = kTimeout)
  {
    mClient.call({ "GET", aTarget, "", {} }, aTimeout, [&](CallResult aAnswer) {
      aResult = std::move(aAnswer);
    });
  }

  CallResult call(const std::string& aTarget, std::chrono::milliseconds aTimeout = kTimeout)
  {
    std::optional<CallResult> result;
    send(aTarget, result, aTimeout);
    runUntil([&] { return result.has_value(); });
    return *result;
  }

  /// Calls come together, so that each gets a connection of its own, and the answers leave these
  /// idle.
  void openConnections(std::size_t aCount)
  {
    std::vector<std::optional<CallResult>> results(aCount);
    for (auto& result : results) {
      send("/hold", result, 10s);
    }
    runUntil([&] { return mHeld.size() == aCount; });
    for (const Responder& respond : std::exchange(mHeld, {})) {
      respond({ 200, "yes", {} });
    }
    for (const auto& result : results) {
      runUntil([&] { return result.has_value(); });
      REQUIRE(*result);
    }
  }

  void runUntil(const std::function<bool()>& aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      mIo.restart();
      mIo.run_for(1ms);
    }
    REQUIRE(aCondition());
  }

  boost::asio::io_context mIo;
  std::vector<Responder> mHeld;
  std::vector<Responder> mLost;
  bool mLosesAnswers = false;
  int mRequests = 0;
  int mChecks = 0;
  HttpServer mServer;
  bool mIsListening;
  TestSupport::SilencingProxy mProxy;
  HttpClient mClient;
};

std::optional<ConnectionCheck>
GeneratedCheck()
{
  return GENERATE(false, true) ? std::make_optional(SilenceFixture::nameCheck()) : std::nullopt;
}

} // namespace

TEST_CASE("Silent connections cost one timeout, however many were kept", "[Net]")
{
  // Each kept connection cost a timeout of its own, though a new one would have worked.
  SilenceFixture fixture(GeneratedCheck());
  const std::size_t idle = GENERATE(1U, 24U, 64U);
  fixture.openConnections(idle);
  fixture.mProxy.silenceOpenConnections();
  const auto start = std::chrono::steady_clock::now();
  int unanswered = 0;
  while (!fixture.call("/x")) {
    ++unanswered;
  }
  const auto took =
    std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
  INFO(idle << " idle connections: " << unanswered << " timeouts, " << took.count() << " ms");
  CHECK(unanswered == 1);
  CHECK(took < 2 * kTimeout);
}

TEST_CASE("One call without an answer leaves the other connections", "[Net]")
{
  SilenceFixture fixture(GeneratedCheck());

  SECTION("to the calls in flight on them")
  {
    std::optional<CallResult> held;
    fixture.send("/hold", held, 10s);
    REQUIRE_FALSE(fixture.call("/lost"));
    REQUIRE_FALSE(held);
    fixture.runUntil([&] { return fixture.mHeld.size() == 1; });
    fixture.mHeld.front()({ 200, "yes", {} });
    fixture.runUntil([&] { return held.has_value(); });
    REQUIRE(*held);
    REQUIRE(fixture.mProxy.accepted() == 2);
  }

  SECTION("in use if they have brought an answer meanwhile")
  {
    fixture.openConnections(2);
    std::optional<CallResult> lost;
    fixture.send("/lost", lost);
    fixture.runUntil([&] { return !fixture.mLost.empty(); });
    REQUIRE(fixture.call("/x"));
    fixture.runUntil([&] { return lost.has_value(); });
    REQUIRE_FALSE(*lost);
    const int requests = fixture.mRequests;
    REQUIRE(fixture.call("/x"));
    REQUIRE(fixture.mRequests == requests + 1);
    REQUIRE(fixture.mProxy.accepted() == 2);
  }
}

TEST_CASE("A connection that may be silent is used again once it passes the check", "[Net]")
{
  // A worker that leaves single calls unanswered must not cost all connections to it each time.
  SilenceFixture fixture(SilenceFixture::nameCheck());
  fixture.openConnections(4);
  REQUIRE_FALSE(fixture.call("/lost"));
  const int checks = fixture.mChecks;
  REQUIRE(fixture.call("/x"));
  REQUIRE(fixture.mChecks == checks + 1);
  REQUIRE(fixture.call("/x"));
  REQUIRE(fixture.mChecks == checks + 1);
  REQUIRE(fixture.mProxy.accepted() == 4);
}

TEST_CASE("A server that is silent on new connections too is not hammered", "[Net]")
{
  SilenceFixture fixture;
  fixture.openConnections(24);
  fixture.mProxy.silenceOpenConnections();
  fixture.mProxy.mSilencesNewConnections = true;
  const std::size_t accepted = fixture.mProxy.accepted();
  constexpr std::size_t kCalls = 10;
  for (std::size_t i = 0; i < kCalls; ++i) {
    REQUIRE_FALSE(fixture.call("/x", 50ms));
  }
  REQUIRE(fixture.mProxy.accepted() - accepted <= kCalls);

  SECTION("and is used again once new connections work")
  {
    fixture.mProxy.mSilencesNewConnections = false;
    REQUIRE(fixture.call("/x"));
  }
}

TEST_CASE("A lost machine is noticed while nothing is sent to it", "[Net]")
{
  // Without probes an idle connection shows the loss of its peer only to the next call.
  constexpr int kUnansweredMs = 1'500;
  boost::asio::io_context io;
  Tcp::socket socket(io, Tcp::v4());
  SetSocketOptions(socket, kUnansweredMs);
  const auto option = [&](int aLevel, int aName) {
    int value = 0;
    socklen_t size = sizeof(value);
    REQUIRE(::getsockopt(socket.native_handle(), aLevel, aName, &value, &size) == 0);
    return value;
  };
  REQUIRE(option(SOL_SOCKET, SO_KEEPALIVE) != 0);
  REQUIRE(option(IPPROTO_TCP, TCP_KEEPIDLE) == 2);
  REQUIRE(option(IPPROTO_TCP, TCP_KEEPINTVL) == 1);
  REQUIRE(option(IPPROTO_TCP, TCP_USER_TIMEOUT) == kUnansweredMs);
}
