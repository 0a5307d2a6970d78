#include <atomic>
#include <future>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "Common/Text.h"
#include "Http/Announcement.h"
#include "Http/Client.h"
#include "Http/PlatformWorker.h"
#include "Http/Server.h"
#include "UnitTests/Support/ClosingServer.h"

namespace {

using namespace std::chrono_literals;

struct Echo
{
  std::atomic<bool> mHold{ false };
  std::atomic<int> mAnswered{ 0 };
  Http::ServerSettings mSettings = [] {
    Http::ServerSettings settings;
    settings.mClients.mConnections = 8;
    settings.mKeepAlive = 1s;
    return settings;
  }();
  Http::Server mServer{ mSettings,
                        { [this](const Http::Request& aRequest) { return answer(aRequest); },
                          [](const Http::Request& aRequest) -> std::size_t {
                            return aRequest.path() == "/small" ? 10 : 1 << 20;
                          } } };
  Common::SystemClock mClock;
  Http::Client mClient{ Http::ClientSettings{ 2, 1 << 20, 500ms, 3s }, mClock };
  std::string mAddress = "127.0.0.1:" + std::to_string(mServer.start().value());

  Http::Response answer(const Http::Request& aRequest)
  {
    while (mHold) {
      std::this_thread::sleep_for(1ms);
    }
    ++mAnswered;
    Http::Response response;
    response.mStatus = 201;
    response.mHeaders = {
      { "Seen-Target", aRequest.mTarget },
      { "Seen-Method", aRequest.mMethod },
      { "Content-Type", Http::FindHeader(aRequest.mHeaders, "content-type").value_or("none") }
    };
    response.mBody = aRequest.mBody;
    return response;
  }

  Http::ClientResult send(const Http::Request& aRequest, Common::Duration aTimeout = 5s)
  {
    return mClient.send(mAddress, aRequest, aTimeout);
  }
};

} // namespace

TEST_CASE("Requests and answers pass unchanged", "[Http]")
{
  Echo echo;

  SECTION("target, method, type and body arrive as sent")
  {
    for (const std::string method : { "POST", "PUT", "PATCH", "DELETE" }) {
      const auto answer = echo.send(
        { method, "/a%2Fb/c?x=%20y", { { "Content-Type", "text/x" } }, std::string("a\0b", 3) });
      REQUIRE(answer);
      REQUIRE(answer->mStatus == 201);
      REQUIRE(answer->mBody == std::string("a\0b", 3));
      const std::string seen = Http::FindHeader(answer->mHeaders, "seen-target").value_or("");
      REQUIRE(seen == "/a%2Fb/c?x=%20y");
      REQUIRE(Http::FindHeader(answer->mHeaders, "Seen-Method") == method);
    }
  }

  SECTION("percent signs in header values stay, so that no encoded line end is let loose")
  {
    const std::string value = "a%0d%0aInjected: 1%2525";
    const auto answer = echo.send({ "GET", "/", { { "Content-Type", value } }, "" });
    REQUIRE(answer);
    REQUIRE(Http::FindHeader(answer->mHeaders, "Content-Type") == value);
    REQUIRE_FALSE(Http::FindHeader(answer->mHeaders, "Injected"));
  }

  SECTION("a multipart body is passed on in one piece, although the library would take it apart")
  {
    const std::string type = "multipart/form-data; boundary=xyz";
    const std::string body =
      "--xyz\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n1\r\n--xyz--\r\n";
    const auto answer = echo.send({ "POST", "/", { { "Content-Type", type } }, body });
    REQUIRE(answer);
    REQUIRE(answer->mBody == body);
    REQUIRE(Http::FindHeader(answer->mHeaders, "Content-Type") == type);
  }

  SECTION("a request without a body does not wait for one")
  {
    const auto answer = echo.send({ "GET", "/", {}, "" });
    REQUIRE(answer);
    REQUIRE(answer->mBody.empty());
  }
}

TEST_CASE("Bodies above the limit are refused and the connection goes on", "[Http]")
{
  Echo echo;
  const auto refused = echo.send({ "POST", "/small", {}, std::string(300'000, 'x') });
  REQUIRE(refused);
  REQUIRE(refused->mStatus == 413);
  REQUIRE(refused->mBody.find("limit of 10 bytes") != std::string::npos);
  REQUIRE(Http::FindHeader(refused->mHeaders, "Ibisshed-Outcome") == "not-run");
  REQUIRE(echo.mAnswered == 0);

  const auto next = echo.send({ "POST", "/small", {}, "0123456789" });
  REQUIRE(next);
  REQUIRE(next->mBody == "0123456789");
  REQUIRE(echo.mAnswered == 1);
}

TEST_CASE("Answers above the limit are an error, never cut short", "[Http]")
{
  Echo echo;
  const auto answer = echo.send({ "POST", "/", {}, std::string(1 << 20, 'x') });
  REQUIRE(answer);
  REQUIRE(answer->mBody.size() == 1 << 20);
  Http::Client small(Http::ClientSettings{ 2, 1000, 500ms, 3s }, echo.mClock);
  REQUIRE_FALSE(small.send(echo.mAddress, { "POST", "/", {}, std::string(1001, 'x') }, 5s));
}

TEST_CASE("The client bounds connections and says what may have run", "[Http]")
{
  Echo echo;

  SECTION("a call above the connection limit is not delivered")
  {
    echo.mHold = true;
    auto call = [&] { return echo.send({ "GET", "/", {}, "" }); };
    auto first = std::async(std::launch::async, call);
    auto second = std::async(std::launch::async, call);
    std::this_thread::sleep_for(50ms);
    const auto third = call();
    echo.mHold = false;
    const bool firstAnswered = first.get().has_value();
    const bool secondAnswered = second.get().has_value();
    REQUIRE_FALSE(third);
    REQUIRE_FALSE(third.error().mMayHaveBeenDelivered);
    REQUIRE(firstAnswered);
    REQUIRE(secondAnswered);
  }

  SECTION("a timeout may have been delivered")
  {
    echo.mHold = true;
    const auto answer = echo.send({ "GET", "/", {}, "" }, 50ms);
    echo.mHold = false;
    REQUIRE_FALSE(answer);
    REQUIRE(answer.error().mMayHaveBeenDelivered);
  }

  SECTION("a refused connection was not delivered")
  {
    echo.mServer.stop();
    const auto answer = echo.send({ "GET", "/", {}, "" });
    REQUIRE_FALSE(answer);
    REQUIRE_FALSE(answer.error().mMayHaveBeenDelivered);
  }
}

TEST_CASE("A request that the server has read is never sent again", "[Http]")
{
  // Guards against a client that connects anew by itself when its connection ends (I6).
  Common::SystemClock clock;
  Http::Client client(Http::ClientSettings{}, clock);
  const auto send = [&](const std::string& aAddress) {
    return client.send(aAddress, { "POST", "/", {}, "x" }, 5s);
  };

  SECTION("over a new connection")
  {
    const Support::ClosingServer server;
    const auto answer = send(server.address());
    REQUIRE_FALSE(answer);
    CHECK(answer.error().mMayHaveBeenDelivered);
    CHECK(server.deliveries() == 1);
  }

  SECTION("over a kept connection")
  {
    const Support::ClosingServer server(1, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(send(server.address()));
    const auto answer = send(server.address());
    REQUIRE_FALSE(answer);
    CHECK(answer.error().mMayHaveBeenDelivered);
    CHECK(server.deliveries() == 2);
  }
}

TEST_CASE("A cancelled client ends its request and takes no other", "[Http]")
{
  // Guards against a process that cannot end while an endpoint holds its answer back.
  Echo echo;
  echo.mHold = true;
  auto held = std::async(std::launch::async, [&] {
    return echo.send({ "GET", "/", {}, "" }, 60s);
  });
  std::this_thread::sleep_for(50ms);
  echo.mClient.cancel();
  const bool ended = held.wait_for(20s) == std::future_status::ready;
  echo.mHold = false;
  CHECK(ended);
  CHECK_FALSE(held.get());
  const auto later = echo.send({ "GET", "/", {}, "" });
  REQUIRE_FALSE(later);
  CHECK_FALSE(later.error().mMayHaveBeenDelivered);
}

TEST_CASE("A stop answers the request in progress", "[Http]")
{
  Echo echo;
  echo.mHold = true;
  auto call = std::async(std::launch::async, [&] { return echo.send({ "GET", "/", {}, "" }); });
  std::this_thread::sleep_for(50ms);
  auto stopping = std::async(std::launch::async, [&] { echo.mServer.stop(); });
  std::this_thread::sleep_for(20ms);
  echo.mHold = false;
  REQUIRE(call.get());
  stopping.get();
}

TEST_CASE("More connections than threads are all answered", "[Http]")
{
  // Callers above the thread bound have to wait for their turn, not be dropped.
  Echo echo;
  std::vector<std::future<bool>> calls;
  calls.reserve(32);
  for (int i = 0; i < 32; ++i) {
    calls.push_back(std::async(std::launch::async, [&] {
      Http::Client client(Http::ClientSettings{}, echo.mClock);
      return client.send(echo.mAddress, { "GET", "/", { { "Connection", "close" } }, "" }, 20s)
        .has_value();
    }));
  }
  int answered = 0;
  for (auto& call : calls) {
    answered += call.get() ? 1 : 0;
  }
  REQUIRE(answered == 32);
}

TEST_CASE("Targets are taken apart as sent", "[Http]")
{
  REQUIRE(Http::QueryValue("/a?x=1&name=a%2Fb&flag", "name") == "a/b");
  REQUIRE(Http::QueryValue("/a?x=1&flag", "flag") == "");
  REQUIRE_FALSE(Http::QueryValue("/a?x=1", "y"));
  REQUIRE(Http::PercentDecoded(Common::PercentEncoded("job 1/%2F\xff")) == "job 1/%2F\xff");
  REQUIRE(Http::IsHopHeader("Transfer-encoding"));
}

TEST_CASE("Announcements are checked before they count", "[Http]")
{
  const std::string good =
    R"({"endpoint":"e1","pool":"p","address":"127.0.0.1:1","slots":8,"connections":60})";
  REQUIRE(Http::ParseAnnouncement(good));
  REQUIRE_FALSE(Http::ParseAnnouncement("{}"));
  REQUIRE_FALSE(Http::ParseAnnouncement("not json"));
  REQUIRE_FALSE(Http::ParseAnnouncement(
    R"({"endpoint":"e1","pool":"p","address":"127.0.0.1:1","slots":-8,"connections":60})"));
}

TEST_CASE("The worker client tells refusals from lost answers", "[Http]")
{
  Echo echo;
  std::atomic<int> status{ 201 };
  std::string body = R"({"checkpoint":"c-1"})";
  Http::Server server(
    Http::ServerSettings{},
    { [&](const Http::Request&) { return Http::JsonResponse(status.load(), body); }, {} });
  const std::string address = "127.0.0.1:" + std::to_string(server.start().value());
  Http::PlatformWorker worker(address, echo.mClient);
  const Common::TaskId task("job/1 a");

  REQUIRE(worker.start({ task, Common::Attempt(1), 10s, {}, "", "" }));
  REQUIRE(worker.checkpoint(task) == "c-1");
  status = 507;
  REQUIRE(worker.start({ task, Common::Attempt(1), 10s, {}, "", "" }).error() ==
          Http::WorkerError::NoRoom);
  status = 404;
  REQUIRE(worker.renew(task, Common::Attempt(1), 10s).error() == Http::WorkerError::NotFound);
  status = 500;
  REQUIRE(worker.stop(task).error() == Http::WorkerError::Unknown);
  server.stop();
  REQUIRE(worker.stop(task).error() == Http::WorkerError::NotDelivered);
}
