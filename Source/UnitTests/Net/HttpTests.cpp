#include <catch2/catch.hpp>

#include <optional>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Net/Link.h"

using namespace Net;
using namespace std::chrono_literals;

namespace {

/// A server that answers "METHOD TARGET BODY", and a raw connection to it.
class ServerFixture
{
public:
  explicit ServerFixture(HttpLimits aLimits = {})
    : mServer(mIo, aLimits, [this](const HttpRequest& aRequest, Responder aRespond) {
      if (aRequest.mTarget == "/hold") {
        mHeld = std::move(aRespond);
        return;
      }
      aRespond({ 200, aRequest.mMethod + ' ' + aRequest.mTarget + ' ' + aRequest.mBody, {} });
    })
  {
    REQUIRE(mServer.listen("127.0.0.1:0"));
  }

  /// Sends the bytes on a new connection and returns all that comes back until the server closes or
  /// nothing comes for aWait.
  std::string exchange(const std::string& aBytes, std::chrono::milliseconds aWait = 300ms)
  {
    Tcp::socket socket(mIo);
    socket.connect(mServer.address());
    boost::asio::write(socket, boost::asio::buffer(aBytes));
    std::string received;
    std::array<char, 4096> buffer{};
    mClosed = false;
    std::function<void()> read = [&] {
      socket.async_read_some(boost::asio::buffer(buffer),
                             [&](boost::system::error_code aError, std::size_t aSize) {
                               received.append(buffer.data(), aSize);
                               if (aError) {
                                 mClosed = aError != boost::asio::error::operation_aborted;
                                 return;
                               }
                               read();
                             });
    };
    read();
    mIo.restart();
    mIo.run_for(aWait);
    boost::system::error_code ignored;
    socket.close(ignored);
    mIo.run_for(10ms);
    return received;
  }

  boost::asio::io_context mIo;
  Responder mHeld;
  HttpServer mServer;
  bool mClosed = false;
};

} // namespace

TEST_CASE("Requests are answered in order on one connection", "[Net]")
{
  ServerFixture fixture;
  const std::string answers =
    fixture.exchange("GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
                     "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
  const auto first = answers.find("GET /a");
  const auto second = answers.find("POST /b abc");
  REQUIRE(first != std::string::npos);
  REQUIRE(second != std::string::npos);
  REQUIRE(first < second);
  REQUIRE_FALSE(fixture.mClosed);
}

TEST_CASE("Requests that can be read in two ways get a 400 and a closed connection", "[Net]")
{
  // Behind a balancer the second reading would be taken for another caller's request.
  ServerFixture fixture;
  const std::string bad = GENERATE(
    std::string("GET / HTTP/1.1\r\n\r\n"),
    std::string("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"),
    std::string("GET / HTTP/1.1\r\nHost : a\r\n\r\n"),
    std::string("GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n"),
    std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"),
    std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n"),
    std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
    std::string(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na"),
    std::string("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: zip\r\n\r\n"),
    std::string("NO WAY\r\n\r\n"));
  CAPTURE(bad);
  const std::string answer = fixture.exchange(bad);
  REQUIRE(answer.substr(0, 12) == "HTTP/1.1 400");
  REQUIRE(fixture.mClosed);
}

TEST_CASE("Limits of the server hold", "[Net]")
{
  SECTION("a body that is too large gets a 413")
  {
    ServerFixture fixture({ .mBodyBytes = 10 });
    const std::string answer =
      fixture.exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n12345678901");
    REQUIRE(answer.substr(0, 12) == "HTTP/1.1 413");
  }
  SECTION("header fields that are too large get a 431")
  {
    ServerFixture fixture({ .mHeaderBytes = 100 });
    const std::string answer =
      fixture.exchange("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
    REQUIRE(answer.substr(0, 12) == "HTTP/1.1 431");
  }
  SECTION("a body that comes too slowly ends the connection")
  {
    ServerFixture fixture({ .mRequestTime = 100ms });
    fixture.exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n123", 400ms);
    REQUIRE(fixture.mClosed);
  }
  SECTION("an idle connection ends")
  {
    ServerFixture fixture({ .mIdleTime = 100ms });
    fixture.exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 400ms);
    REQUIRE(fixture.mClosed);
  }
}

TEST_CASE("A stopping server lets requests end", "[Net]")
{
  ServerFixture fixture;
  fixture.mServer.announceClose();

  SECTION("answers say that the connection closes")
  {
    const std::string answer = fixture.exchange("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(answer.find("Connection: close") != std::string::npos);
    REQUIRE(fixture.mClosed);
  }

  SECTION("closing idle connections spares one that waits for its answer")
  {
    Tcp::socket socket(fixture.mIo);
    socket.connect(fixture.mServer.address());
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")));
    fixture.mIo.run_for(50ms);
    REQUIRE(fixture.mServer.pending() == 1);
    fixture.mServer.closeIdle();
    REQUIRE(fixture.mServer.connections() == 1);
    fixture.mHeld({ 200, "late", {} });
    fixture.mIo.restart();
    fixture.mIo.run_for(50ms);
    std::array<char, 512> buffer{};
    const auto size = socket.read_some(boost::asio::buffer(buffer));
    REQUIRE(std::string(buffer.data(), size).find("late") != std::string::npos);
  }
}

TEST_CASE("A stopping server answers a request on a connection that it has not accepted", "[Net]")
{
  // While a slow process parsed its tables, a connection with a request waited to be accepted. The
  // process saw no connection and ended.
  ServerFixture fixture;
  fixture.mServer.announceClose();
  Tcp::socket socket(fixture.mIo);
  socket.connect(fixture.mServer.address());
  boost::asio::write(socket,
                     boost::asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")));
  fixture.mServer.closeIdle();
  REQUIRE(fixture.mServer.connections() == 1);
  fixture.mIo.run_for(50ms);
  REQUIRE(fixture.mServer.connections() == 1);
  std::array<char, 512> buffer{};
  boost::system::error_code error;
  const auto size = socket.read_some(boost::asio::buffer(buffer), error);
  REQUIRE(std::string(buffer.data(), size).find("GET /a") != std::string::npos);
}

TEST_CASE("A stopping server answers a request that has arrived unread", "[Net]")
{
  // The server took the connection for an idle one and closed it. A process that is slow, for
  // example while it parses large tables, may have received the request some hundred milliseconds
  // ago.
  ServerFixture fixture;
  fixture.mServer.announceClose();
  Tcp::socket socket(fixture.mIo);
  socket.connect(fixture.mServer.address());
  fixture.mIo.run_for(50ms);
  REQUIRE(fixture.mServer.connections() == 1);
  boost::asio::write(socket,
                     boost::asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")));
  fixture.mServer.closeIdle();
  fixture.mIo.restart();
  fixture.mIo.run_for(50ms);
  std::array<char, 512> buffer{};
  boost::system::error_code error;
  const auto size = socket.read_some(boost::asio::buffer(buffer), error);
  REQUIRE(std::string(buffer.data(), size).find("GET /a") != std::string::npos);

  SECTION("and closes the connection afterwards")
  {
    fixture.mIo.restart();
    fixture.mIo.run_for(1200ms);
    REQUIRE(fixture.mServer.connections() == 0);
  }
}

TEST_CASE("A stopping server waits for the first request of a new connection", "[Net]")
{
  // Callers that connected anew to a stopping entry lost requests: each 0.1 s it closed the
  // connections that it had just accepted.
  ServerFixture fixture;
  fixture.mServer.announceClose();
  Tcp::socket socket(fixture.mIo);
  socket.connect(fixture.mServer.address());
  fixture.mIo.run_for(20ms);
  REQUIRE(fixture.mServer.connections() == 1);
  fixture.mServer.closeIdle();
  fixture.mIo.restart();
  fixture.mIo.run_for(20ms);
  REQUIRE(fixture.mServer.connections() == 1);

  SECTION("and answers it")
  {
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")));
    fixture.mIo.restart();
    fixture.mIo.run_for(20ms);
    std::array<char, 512> buffer{};
    boost::system::error_code error;
    const auto size = socket.read_some(boost::asio::buffer(buffer), error);
    REQUIRE(std::string(buffer.data(), size).find("GET /a") != std::string::npos);
  }

  SECTION("but not for long")
  {
    fixture.mIo.restart();
    fixture.mIo.run_for(250ms);
    fixture.mServer.closeIdle();
    fixture.mIo.restart();
    fixture.mIo.run_for(20ms);
    REQUIRE(fixture.mServer.connections() == 0);
  }
}

TEST_CASE("A stopping server answers the requests that it has read", "[Net]")
{
  ServerFixture fixture;
  Tcp::socket socket(fixture.mIo);
  socket.connect(fixture.mServer.address());
  const auto send = [&](const std::string& aBytes) {
    boost::asio::write(socket, boost::asio::buffer(aBytes));
    fixture.mIo.restart();
    fixture.mIo.run_for(50ms);
  };
  const auto receive = [&] {
    fixture.mIo.restart();
    fixture.mIo.run_for(50ms);
    std::string received;
    std::array<char, 512> buffer{};
    boost::system::error_code error;
    socket.non_blocking(true);
    while (!error) {
      received.append(buffer.data(), socket.read_some(boost::asio::buffer(buffer), error));
    }
    fixture.mClosed = error == boost::asio::error::eof;
    return received;
  };

  SECTION("among them one that was sent without waiting for the answer before")
  {
    send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.mServer.announceClose();
    fixture.mHeld({ 200, "late", {} });
    const std::string answers = receive();
    REQUIRE(answers.find("late") != std::string::npos);
    REQUIRE(answers.find("GET /b") != std::string::npos);
    REQUIRE(fixture.mClosed);
  }

  SECTION("after it has stopped reading")
  {
    send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.mServer.announceClose();
    fixture.mServer.stopReading();
    REQUIRE(receive().empty());
    REQUIRE_FALSE(fixture.mClosed);
    fixture.mHeld({ 200, "late", {} });
    REQUIRE(receive().find("late") != std::string::npos);
    REQUIRE(fixture.mClosed);
  }

  SECTION("but not one that has not arrived whole when it stops reading")
  {
    const std::string part = GENERATE(std::string("GET /a HT"),
                                      std::string("POST /a HTTP/1.1\r\nHost: x\r\n"
                                                  "Content-Length: 3\r\n\r\na"));
    send(part);
    fixture.mServer.announceClose();
    fixture.mServer.closeIdle();
    REQUIRE(receive().empty());
    REQUIRE_FALSE(fixture.mClosed);
    fixture.mServer.stopReading();
    REQUIRE(receive().empty());
    REQUIRE(fixture.mClosed);
  }
}

TEST_CASE("The client tells what may have happened", "[Net]")
{
  boost::asio::io_context io;
  std::optional<CallResult> result;
  const auto call = [&](HttpClient& aClient) {
    aClient.call(
      { "GET", "/x", "", {} }, 200ms, [&](CallResult aResult) { result = std::move(aResult); });
    io.restart();
    io.run_for(500ms);
    REQUIRE(result);
  };

  SECTION("refused connections")
  {
    Tcp::acceptor unused(io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const std::string address = AddressText(unused.local_endpoint());
    unused.close();
    HttpClient client(io, address);
    call(client);
    REQUIRE(result->error() == CallError::Refused);
  }

  SECTION("a server that takes the request and says nothing")
  {
    Tcp::acceptor silent(io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    HttpClient client(io, AddressText(silent.local_endpoint()));
    call(client);
    REQUIRE(result->error() == CallError::NoAnswer);
  }

  SECTION("an answer, over one kept connection")
  {
    HttpServer server(io, {}, [](const HttpRequest&, const Responder& aRespond) {
      aRespond({ 200, "yes", {} });
    });
    REQUIRE(server.listen("127.0.0.1:0"));
    HttpClient client(io, AddressText(server.address()));
    call(client);
    REQUIRE((*result)->mBody == "yes");
    call(client);
    REQUIRE(server.connections() == 1);
  }
}

TEST_CASE("The timeout of a call may count anew with each part of the answer", "[Net]")
{
  boost::asio::io_context io;
  Tcp::acceptor acceptor(io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  Tcp::socket socket(io);
  boost::asio::steady_timer timer(io);
  int parts = 0;
  int partsUntilSilence = 6;
  std::function<void()> sendPart = [&] {
    if (parts == partsUntilSilence) {
      return;
    }
    const std::string head = parts == 0 ? "HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n" : "";
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(head + std::string(1000, 'x')), ignored);
    ++parts;
    timer.expires_after(60ms);
    timer.async_wait([&](boost::system::error_code) { sendPart(); });
  };
  std::array<char, 1024> request{};
  acceptor.async_accept(socket, [&](boost::system::error_code) {
    socket.async_read_some(boost::asio::buffer(request),
                           [&](boost::system::error_code, std::size_t) { sendPart(); });
  });
  HttpClient client(io, AddressText(acceptor.local_endpoint()));
  std::optional<CallResult> result;
  const auto call = [&](TimeoutScope aScope) {
    client.call(
      { "GET", "/x", "", {} },
      150ms,
      [&](CallResult aResult) { result = std::move(aResult); },
      aScope);
    io.run_for(600ms);
    REQUIRE(result);
  };

  SECTION("an answer that arrives slowly is read whole")
  {
    call(TimeoutScope::EachPart);
    REQUIRE(*result);
    REQUIRE((*result)->mBody.size() == 6000);
  }

  SECTION("a server that falls silent in the middle is given up")
  {
    partsUntilSilence = 2;
    call(TimeoutScope::EachPart);
    REQUIRE(result->error() == CallError::NoAnswer);
  }

  SECTION("a call whose answer is worthless after its deadline ends then")
  {
    call(TimeoutScope::WholeCall);
    REQUIRE(result->error() == CallError::NoAnswer);
  }
}

TEST_CASE("A connection that the server closed while it was idle is not used", "[Net]")
{
  // Workers close idle connections after 1.5 s; each start on one of them looked as if it had no
  // answer.
  boost::asio::io_context io;
  HttpServer server(io, { .mIdleTime = 100ms }, [](const HttpRequest&, const Responder& aRespond) {
    aRespond({ 200, "yes", {} });
  });
  REQUIRE(server.listen("127.0.0.1:0"));
  HttpClient client(io, AddressText(server.address()));
  for (int i = 0; i < 2; ++i) {
    std::optional<CallResult> result;
    client.call(
      { "GET", "/x", "", {} }, 200ms, [&](CallResult aResult) { result = std::move(aResult); });
    io.restart();
    io.run_for(400ms);
    REQUIRE(result);
    REQUIRE(*result);
  }
}

TEST_CASE("A client checks each connection before it sends a request", "[Net]")
{
  // A server that was replaced at its address carried out requests that were meant for the one
  // before.
  boost::asio::io_context io;
  std::vector<std::string> targets;
  std::string name = "first";
  bool answersChecks = true;
  HttpServer server(
    io, { .mIdleTime = 100ms }, [&](const HttpRequest& aRequest, const Responder& aRespond) {
      targets.push_back(aRequest.mTarget);
      if (answersChecks || aRequest.mTarget != "/name") {
        aRespond({ 200, aRequest.mTarget == "/name" ? name : "done", {} });
      }
    });
  REQUIRE(server.listen("127.0.0.1:0"));
  std::optional<HttpClient> client;
  client.emplace(
    io,
    AddressText(server.address()),
    ConnectionCheck{ [] {
                      return ClientRequest{ "GET", "/name", "", {} };
                    },
                     [](const ClientResponse& aResponse) { return aResponse.mBody == "first"; } });
  std::optional<CallResult> result;
  const auto call = [&] {
    result.reset();
    client->call(
      { "GET", "/x", "", {} }, 200ms, [&](CallResult aResult) { result = std::move(aResult); });
  };
  const auto run = [&](std::chrono::milliseconds aTime) {
    io.restart();
    io.run_for(aTime);
  };
  call();
  run(50ms);
  REQUIRE((*result)->mBody == "done");
  REQUIRE_FALSE((*result)->mFailedCheck);
  REQUIRE(targets == std::vector<std::string>{ "/name", "/x" });

  SECTION("once for all requests on it")
  {
    call();
    run(50ms);
    REQUIRE((*result)->mBody == "done");
    REQUIRE(targets == std::vector<std::string>{ "/name", "/x", "/x" });
  }

  SECTION("and sends nothing to another server")
  {
    name = "second";
    // The first connection is idle for too long.
    run(400ms);
    call();
    run(50ms);
    REQUIRE((*result)->mFailedCheck);
    REQUIRE((*result)->mBody == "second");
    REQUIRE(targets.back() == "/name");
    REQUIRE(server.connections() == 0);
  }

  SECTION("and sends nothing if the check is not answered")
  {
    answersChecks = false;
    run(400ms);
    call();
    run(400ms);
    REQUIRE(result->error() == CallError::NotSent);
    REQUIRE(targets.back() == "/name");
  }

  SECTION("which ends with the client")
  {
    run(400ms);
    call();
    client.reset();
    run(50ms);
    REQUIRE(result->error() == CallError::NotSent);
    REQUIRE(targets.size() == 2);
  }
}

TEST_CASE("A busy event loop does not delay a large answer for seconds", "[Net]")
{
  // A coordinator whose event loop took 10 ms or more a turn read each list of changes in hundreds
  // of turns, and saw submissions and cancellations up to seven seconds late (seen in
  // vea-prestamo-grown trouble-1).
  constexpr std::size_t kLargestPage = 1'000'000;
  constexpr std::chrono::milliseconds kTurn{ 10 };
  constexpr std::chrono::milliseconds kVisibleWithin{ 3'000 };

  boost::asio::io_context serverIo;
  HttpServer server(serverIo, {}, [](const HttpRequest&, const Responder& aRespond) {
    aRespond({ 200, std::string(kLargestPage, 'x'), {} });
  });
  REQUIRE(server.listen("127.0.0.1:0"));

  boost::asio::io_context io;
  HttpClient client(io, AddressText(server.address()));
  std::optional<CallResult> result;
  client.call(
    { "GET", "/x", "", {} }, 60s, [&](CallResult aResult) { result = std::move(aResult); });

  // Other work takes its turn between any two steps of the call. The server runs until it has
  // nothing left to do, so that the client never waits for it.
  std::chrono::milliseconds busyTime{ 0 };
  std::function<void()> work = [&] {
    busyTime += kTurn;
    serverIo.restart();
    while (serverIo.poll() > 0) {
    }
    if (!result) {
      boost::asio::post(io, work);
    }
  };
  boost::asio::post(io, work);
  io.run_for(30s);
  REQUIRE(result);
  REQUIRE((*result)->mBody.size() == kLargestPage);
  REQUIRE(busyTime < kVisibleWithin);
}

TEST_CASE("Links carry whole messages and notice silence", "[Net]")
{
  boost::asio::io_context io;
  std::shared_ptr<Link> accepted;
  std::vector<std::string> received;
  bool closed = false;
  LinkServer server(io, 200ms, [&](std::shared_ptr<Link> aLink) {
    accepted = std::move(aLink);
    accepted->start({ [&](std::string aMessage) { received.push_back(std::move(aMessage)); },
                      [&] { closed = true; } });
  });
  REQUIRE(server.listen("127.0.0.1:0"));
  std::shared_ptr<Link> link;
  Link::connect(io, AddressText(server.address()), 200ms, 10s, [&](std::shared_ptr<Link> aLink) {
    link = std::move(aLink);
    link->start({ [](const std::string&) {}, [] {} });
    link->send("one");
    link->send(std::string(100'000, 'x'));
    link->send("");
  });
  io.run_for(100ms);
  REQUIRE(received.size() == 3);
  REQUIRE(received[0] == "one");
  REQUIRE(received[1].size() == 100'000);
  REQUIRE_FALSE(closed);
  io.run_for(300ms);
  REQUIRE(closed);
  link->close();
}
