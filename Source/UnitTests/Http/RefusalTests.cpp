#include <atomic>
#include <future>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "Http/Client.h"
#include "Http/Server.h"

namespace {

using namespace std::chrono_literals;

/// A connection that sends what a test says, also what no client library would.
class RawClient
{
public:
  explicit RawClient(int aPort)
    : mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
    address.sin_port = ::htons(static_cast<std::uint16_t>(aPort));
    REQUIRE(::connect(mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
  }
  ~RawClient() { ::close(mSocket); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void send(const std::string& aText) const
  {
    REQUIRE(::send(mSocket, aText.data(), aText.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(aText.size()));
  }

  /// All that arrives until the server closes the connection.
  std::string read() const
  {
    std::string all;
    char bytes[4096];
    ssize_t count = 0;
    while ((count = ::recv(mSocket, bytes, sizeof(bytes), 0)) > 0) {
      all.append(bytes, static_cast<std::size_t>(count));
    }
    return all;
  }

private:
  int mSocket;
};

struct Limited
{
  explicit Limited(const Http::ServerSettings& aSettings)
    : mServer(aSettings,
              { [this](const Http::Request& aRequest) { return answer(aRequest); },
                {},
                [](const Http::Request&) { return Http::BodyKind::Json; },
                [this](Http::Cause aCause) { mCause = aCause; } })
    , mPort(mServer.start().value())
  {
  }

  Http::Response answer(const Http::Request& aRequest)
  {
    while (mHold) {
      std::this_thread::sleep_for(1ms);
    }
    ++mAnswered;
    return { 200, aRequest.mHeaders, aRequest.mBody };
  }

  Http::ClientResult send(const Http::Request& aRequest)
  {
    Http::Client client(Http::ClientSettings{}, mClock);
    return client.send("127.0.0.1:" + std::to_string(mPort), aRequest, 10s);
  }

  /// Sends a request that must be refused with that status and cause, and must not run.
  void requireRefused(const Http::Request& aRequest, int aStatus, Http::Cause aCause)
  {
    const auto answer = send(aRequest);
    REQUIRE(answer);
    REQUIRE(answer->mStatus == aStatus);
    REQUIRE(Http::FindHeader(answer->mHeaders, "Ibisshed-Outcome") == "not-run");
    REQUIRE(mAnswered == 0);
    REQUIRE(mCause == aCause);
  }

  std::atomic<bool> mHold{ false };
  std::atomic<int> mAnswered{ 0 };
  std::atomic<Http::Cause> mCause{ Http::Cause::Budget };
  Common::SystemClock mClock;
  Http::Server mServer;
  int mPort;
};

Http::ServerSettings
Small()
{
  Http::ServerSettings settings;
  // Room for the connections and for a body of some 150 KB.
  settings.mClients.mBudget = std::size_t(2) << 20;
  settings.mClients.mConnections = 8;
  settings.mClients.mHeaderFields = 40;
  settings.mClients.mBodyValues = 1'000;
  settings.mClients.mBodyDepth = 16;
  return settings;
}

Http::Request
Post(std::string aBody)
{
  return { "POST", "/", {}, std::move(aBody) };
}

} // namespace

TEST_CASE("What takes more memory than its text is refused before it is parsed", "[Http]")
{
  Limited limited(Small());

  SECTION("very many header fields")
  {
    limited.requireRefused({ "GET", "/", std::vector<Http::Header>(50, { "a", "b" }), "" },
                           431,
                           Http::Cause::HeaderFields);
  }

  SECTION("a body of very many values")
  {
    std::string body = "[1";
    for (int i = 0; i < 1'000; ++i) {
      body += ",1";
    }
    limited.requireRefused(Post(body + ']'), 413, Http::Cause::BodyShape);
  }

  SECTION("a body of very many levels")
  {
    limited.requireRefused(Post(std::string(17, '[')), 413, Http::Cause::BodyShape);
  }

  SECTION("a body that needs more than the budget, which waiting would not help")
  {
    // The client is still sending when it is refused, and must get the answer all the same.
    limited.requireRefused(Post(std::string(4'000'000, 'x')), 413, Http::Cause::TooLarge);
  }

  REQUIRE(limited.send(Post(std::string(150'000, 'x')))->mStatus == 200);
  REQUIRE(limited.mServer.usage().mBytes < Small().mClients.mBudget);
}

TEST_CASE("Headers that the library would act on pass unchanged", "[Http]")
{
  // It would cut the answer to the ranges, compress it, or take the body apart.
  Limited limited(Small());
  const std::vector<Http::Header> sent = { { "Range", "bytes=0-1,3-4" },
                                           { "accept-Encoding", "br" },
                                           { "Content-Encoding", "gzip" } };
  RawClient client(limited.mPort);
  client.send("POST / HTTP/1.1\r\nRange: bytes=0-1,3-4\r\naccept-Encoding: br\r\n"
              "Content-Encoding: gzip\r\nConnection: close\r\nContent-Length: 8\r\n\r\nnot gzip");
  const std::string answer = client.read();
  INFO(answer);
  REQUIRE(answer.find("200 OK") != std::string::npos);
  for (const Http::Header& header : sent) {
    REQUIRE(answer.find(header.mName + ": " + header.mValue) != std::string::npos);
  }
  REQUIRE(answer.ends_with("\r\n\r\nnot gzip"));
}

TEST_CASE("A request that stalls gives its memory to a new one", "[Http]")
{
  Http::ServerSettings settings = Small();
  // So that the stalled request is soon later than a new one.
  settings.mClients.mMinRate = std::size_t(1) << 20;
  Limited limited(settings);
  RawClient stalled(limited.mPort);
  stalled.send("POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + std::string(190'000, 'x'));
  while (limited.mServer.usage().mBytes < 1'000'000) {
    std::this_thread::sleep_for(1ms);
  }
  std::this_thread::sleep_for(500ms);
  REQUIRE(limited.send(Post(std::string(150'000, 'x')))->mStatus == 200);
  const std::string answer = stalled.read();
  REQUIRE(answer.starts_with("HTTP/1.1 503"));
  REQUIRE(answer.find("Retry-After: 1") != std::string::npos);
  REQUIRE(answer.find("Ibisshed-Outcome: not-run") != std::string::npos);
  REQUIRE(limited.mAnswered == 1);
  REQUIRE(limited.mCause == Http::Cause::Budget);
}

TEST_CASE("A request that comes to a stop is refused after its time", "[Http]")
{
  Http::ServerSettings settings = Small();
  settings.mReadTimeout = 200ms;
  Limited limited(settings);
  RawClient slow(limited.mPort);
  slow.send("POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\nx");
  const std::string answer = slow.read();
  REQUIRE(answer.starts_with("HTTP/1.1 408"));
  REQUIRE(answer.find("Ibisshed-Outcome: not-run") != std::string::npos);
  REQUIRE(limited.mAnswered == 0);
}

TEST_CASE("Clients within the limits are all served at once", "[Http]")
{
  // Reserving too much, or too early, would refuse clients that there is memory for.
  Http::ServerSettings settings = Small();
  settings.mClients.mBudget = std::size_t(8) << 20;
  Limited limited(settings);
  std::vector<std::future<bool>> calls;
  calls.reserve(8);
  for (int i = 0; i < 8; ++i) {
    calls.push_back(std::async(std::launch::async, [&] {
      const auto answer = limited.send(Post(std::string(100'000, 'x')));
      return answer && answer->mStatus == 200;
    }));
  }
  for (auto& call : calls) {
    REQUIRE(call.get());
  }
  REQUIRE(limited.mAnswered == 8);
}

TEST_CASE("Complete requests are never given up for new connections", "[Http]")
{
  Http::ServerSettings settings = Small();
  settings.mClients.mConnections = 2;
  Limited limited(settings);
  limited.mHold = true;
  std::vector<std::future<bool>> calls;
  calls.reserve(2);
  for (int i = 0; i < 2; ++i) {
    calls.push_back(std::async(std::launch::async, [&] {
      const auto answer = limited.send(Post("1"));
      return answer && answer->mStatus == 200;
    }));
  }
  while (limited.mServer.usage().mConnections < 2) {
    std::this_thread::sleep_for(1ms);
  }
  const auto refused = limited.send(Post("2"));
  REQUIRE(refused);
  REQUIRE(refused->mStatus == 503);
  REQUIRE(Http::FindHeader(refused->mHeaders, "Retry-After") == "1");
  REQUIRE(Http::FindHeader(refused->mHeaders, "Ibisshed-Outcome") == "not-run");
  limited.mHold = false;
  REQUIRE(calls[0].get());
  REQUIRE(calls[1].get());
  REQUIRE(limited.mAnswered == 2);
}
