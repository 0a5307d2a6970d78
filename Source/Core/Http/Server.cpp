#include "Http/Server.h"

#include <thread>

#include <httplib.h>
#include <netinet/tcp.h>

#include "Http/ConnectionBook.h"
#include "Http/ConnectionThreads.h"
#include "Http/SocketStream.h"

namespace Http {

namespace {

constexpr int kListenBacklog = 512;
// cpp-httplib takes multipart bodies apart while reading, but they must be forwarded as they are.
// The content type is kept under this name while the body is read.
constexpr const char* kHiddenContentType = "Ibisshed-Hidden-Content-Type";
// Threads beyond the connections, and accepted connections that wait for one, so that a new
// connection is looked at while those that end for it still have theirs.
constexpr std::size_t kSpareThreads = 8;
// The system's buffers of a socket, which may grow to several MB otherwise: a body of the largest
// size arrives within its time over a path of 100 ms.
constexpr int kSocketBuffer = 64 << 10;
// A client of a refused request may still be sending; it has this time to get the answer. It is
// short, since the connection keeps its thread.
constexpr std::chrono::milliseconds kDrain{ 100 };
// The body's memory is reserved in steps.
constexpr std::size_t kBodyStep = std::size_t(16) << 10;

// The connection that the calling thread serves; the library's handlers are not told of it.
thread_local ClientConnection* tClient = nullptr;

class ThreadQueue final : public httplib::TaskQueue
{
public:
  explicit ThreadQueue(std::size_t aMaxThreads)
    : mThreads(aMaxThreads + kSpareThreads, kSpareThreads)
  {
  }
  void enqueue(std::function<void()> aWork) override { mThreads.run(std::move(aWork)); }
  void shutdown() override { mThreads.shutdown(); }

private:
  ConnectionThreads mThreads;
};

bool
HasBody(const httplib::Request& aRequest)
{
  return aRequest.has_header("Content-Length") || aRequest.has_header("Transfer-Encoding");
}

// Two statements of the length leave open where the next request starts.
bool
HasAmbiguousLength(const httplib::Request& aRequest)
{
  const std::size_t lengths = aRequest.get_header_value_count("Content-Length");
  return lengths > 1 || (lengths == 1 && aRequest.has_header("Transfer-Encoding"));
}

bool
MethodTakesBody(const std::string& aMethod)
{
  return aMethod == "POST" || aMethod == "PUT" || aMethod == "PATCH" || aMethod == "DELETE";
}

void
HideMultipart(httplib::Request& aRequest)
{
  const auto type = aRequest.headers.find("Content-Type");
  if (type != aRequest.headers.end() && aRequest.is_multipart_form_data()) {
    const std::string value = type->second;
    aRequest.headers.erase("Content-Type");
    aRequest.headers.emplace(kHiddenContentType, value);
  }
}

// The library matches the path against each handler's pattern by recursion, a level or more for
// each character; there is one handler for all paths. It reads the body of method PRI without a
// handler's help, which would be outside of the budget.
void
HideFromRouting(httplib::Request& aRequest)
{
  aRequest.path = "/";
  if (aRequest.method == "PRI") {
    aRequest.method = "TRACE";
  }
}

Response
Refusal(int aStatus, const std::string& aText)
{
  Response response = JsonResponse(aStatus, R"({"error":")" + aText + "\"}");
  response.mHeaders.push_back({ "Ibisshed-Outcome", "not-run" });
  return response;
}

Response
RefusalFor(Cause aCause)
{
  switch (aCause) {
    case Cause::HeaderFields:
      return Refusal(431, "too many header fields");
    case Cause::BodyShape:
      return Refusal(413, "the body has too many values or levels");
    case Cause::TooLarge:
      return Refusal(413, "the request takes more memory than there is");
    case Cause::SlowRequest:
      return Refusal(408, "the request arrives too slowly");
    default:
      break;
  }
  Response response = Refusal(503, "too many connections or requests");
  response.mHeaders.push_back({ "Retry-After", "1" });
  return response;
}

// For requests that the library does not get to see, or refuses in its own words.
std::string
TextOf(const Response& aResponse)
{
  std::string text = "HTTP/1.1 " + std::to_string(aResponse.mStatus) + " Refused\r\n";
  for (const Header& header : aResponse.mHeaders) {
    text += header.mName + ": " + header.mValue + "\r\n";
  }
  return text + "Connection: close\r\nContent-Length: " + std::to_string(aResponse.mBody.size()) +
         "\r\n\r\n" + aResponse.mBody;
}

class ListeningServer final : public httplib::Server
{
public:
  ListeningServer(const ServerSettings& aSettings, ConnectionBook& aBook)
    : mSettings(aSettings)
    , mBook(aBook)
  {
  }

  // cpp-httplib listens with a backlog of 5, and a burst of connections above it waits a second
  // for the next attempt. A second listen() only changes the backlog.
  void widenBacklog() { ::listen(svr_sock_, kListenBacklog); }

private:
  bool process_and_close_socket(socket_t aSocket) override
  {
    {
      ClientConnection client(mBook, aSocket);
      tClient = &client;
      try {
        serve(aSocket, client);
      } catch (const std::exception&) {
        // A lack of memory ends this connection only.
      }
      tClient = nullptr;
      ::shutdown(aSocket, SHUT_RDWR);
    }
    ::close(aSocket);
    return true;
  }

  void serve(socket_t aSocket, ClientConnection& aClient)
  {
    SocketStream stream(aSocket, streamLimits(), &aClient);
    if (const auto cause = aClient.refusal()) {
      stream.replaceOutput(TextOf(RefusalFor(*cause)));
      stream.flush();
      return;
    }
    const int on = 1;
    ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::size_t left = mSettings.mRequestsPerConnection;
    while (left > 0 && waitForRequest(stream)) {
      if (!serveRequest(stream, aClient, --left == 0)) {
        break;
      }
    }
  }

  StreamLimits streamLimits() const
  {
    StreamLimits limits;
    limits.mRead = std::chrono::ceil<std::chrono::milliseconds>(mSettings.mReadTimeout);
    limits.mWrite = limits.mRead;
    limits.mMinRate = mSettings.mClients.mMinRate;
    // The library reads an oversized body to its end, however long it is.
    limits.mMessage = std::chrono::ceil<std::chrono::milliseconds>(mSettings.mBodyTimeout);
    return limits;
  }

  // Whether another request may follow on the connection.
  bool serveRequest(SocketStream& aStream, ClientConnection& aClient, bool aLast)
  {
    aStream.startMessage();
    if (!aClient.begin(aStream.buffered())) {
      return false;
    }
    bool closing = false;
    bool unreadBody = false;
    const bool answered = process_request(aStream, aLast, closing, [&](httplib::Request& aRequest) {
      HideMultipart(aRequest);
      HideFromRouting(aRequest);
      unreadBody =
        HasAmbiguousLength(aRequest) || (HasBody(aRequest) && !MethodTakesBody(aRequest.method));
    });
    aStream.endMessage();
    // A refusal after complete() concerns the answer, which is being sent already.
    if (const auto cause = aClient.refusal(); cause && *cause != Cause::UnreadAnswer) {
      aStream.replaceOutput(TextOf(RefusalFor(*cause)));
      if (aStream.flush() && *cause != Cause::SlowRequest && *cause != Cause::Connections) {
        aClient.release();
        aStream.drain(kDrain);
      }
      return false;
    }
    if (!aStream.flush() || !answered || closing || unreadBody) {
      return false;
    }
    return aClient.finish();
  }

  // Idle connections look for a stop of the server now and then.
  bool waitForRequest(SocketStream& aStream) const
  {
    constexpr std::chrono::milliseconds kSlice{ 200 };
    const auto end = std::chrono::steady_clock::now() + mSettings.mKeepAlive;
    while (svr_sock_ != INVALID_SOCKET && std::chrono::steady_clock::now() < end) {
      if (aStream.waitForInput(kSlice)) {
        return true;
      }
      if (aStream.ended()) {
        return false;
      }
    }
    return false;
  }

  const ServerSettings& mSettings;
  ConnectionBook& mBook;
};

std::string
ShownName(const std::string& aName)
{
  if (aName == kHiddenContentType) {
    return "Content-Type";
  }
  return SentName(aName);
}

Request
RequestOf(const httplib::Request& aRequest)
{
  Request request;
  request.mMethod = aRequest.method;
  request.mTarget = aRequest.target;
  request.mHeaders.reserve(aRequest.headers.size());
  for (const auto& [name, value] : aRequest.headers) {
    // These four are added by cpp-httplib and were not sent by the caller.
    if (name == "REMOTE_ADDR" || name == "REMOTE_PORT" || name == "LOCAL_ADDR" ||
        name == "LOCAL_PORT") {
      continue;
    }
    request.mHeaders.push_back({ ShownName(name), value });
  }
  return request;
}

void
Fill(httplib::Response& aTarget, Response aSource)
{
  aTarget.status = aSource.mStatus;
  for (const Header& header : aSource.mHeaders) {
    aTarget.headers.emplace(header.mName, header.mValue);
  }
  aTarget.body = std::move(aSource.mBody);
}

struct BodyLimits
{
  std::size_t mBytes = 0;
  Common::Duration mTimeout{};
  BodyKind mKind = BodyKind::Opaque;
};

struct Body
{
  std::string mBytes;
  bool mTooLarge = false;
  bool mTooSlow = false;
  bool mComplete = false;
};

/// Reserves what a body takes before it is kept.
class BodyReserve
{
public:
  BodyReserve(ClientConnection& aClient, BodyKind aKind)
    : mClient(aClient)
    , mKind(aKind)
    , mShape(aKind)
  {
  }

  /// False if the request is refused.
  bool take(std::string_view aBytes)
  {
    mShape.take(aBytes);
    if (mShape.values() > mClient.limits().mBodyValues ||
        mShape.depth() > mClient.limits().mBodyDepth) {
      mClient.refuse(Cause::BodyShape);
      return false;
    }
    mBytes += aBytes.size();
    const std::size_t value = mKind == BodyKind::JsonWithTables ? kTableValueCost : kJsonValueCost;
    const std::size_t needed = mBytes * kBodyCopies + mShape.values() * value;
    if (needed <= mReserved) {
      return true;
    }
    const std::size_t step = needed - mReserved + kBodyStep * kBodyCopies;
    mReserved += step;
    return mClient.reserve(step);
  }

private:
  ClientConnection& mClient;
  const BodyKind mKind;
  BodyShape mShape;
  std::size_t mBytes = 0;
  std::size_t mReserved = 0;
};

// Reads an oversized body to its end without keeping it, so that the connection stays usable.
Body
ReadBody(const httplib::ContentReader& aReader, const BodyLimits& aLimits)
{
  Body body;
  BodyReserve reserve(*tClient, aLimits.mKind);
  const auto deadline = std::chrono::steady_clock::now() + aLimits.mTimeout;
  body.mComplete = aReader([&](const char* aBytes, std::size_t aLength) {
    body.mTooLarge = body.mTooLarge || body.mBytes.size() + aLength > aLimits.mBytes;
    if (!body.mTooLarge) {
      if (!reserve.take({ aBytes, aLength })) {
        return false;
      }
      body.mBytes.append(aBytes, aLength);
    }
    body.mTooSlow = std::chrono::steady_clock::now() > deadline;
    return !body.mTooSlow;
  });
  return body;
}

} // namespace

struct Server::Inner
{
  ServerSettings mSettings;
  Handlers mHandlers;
  ConnectionBook mBook;
  ListeningServer mServer{ mSettings, mBook };
  std::thread mThread;

  Inner(ServerSettings aSettings, Handlers aHandlers)
    : mSettings(std::move(aSettings))
    , mHandlers(std::move(aHandlers))
    , mBook(mSettings.mClients, [this](Cause aCause) { note(aCause); })
  {
  }

  void note(Cause aCause) const
  {
    if (mHandlers.mNote) {
      mHandlers.mNote(aCause);
    }
  }

  void answer(Request aRequest, httplib::Response& aResponse) const
  {
    // Otherwise the connection sends the refusal itself.
    if (tClient->complete()) {
      Response response = mHandlers.mAnswer(std::move(aRequest));
      if (tClient->answer(response.mBody.size())) {
        aResponse.headers.emplace("Connection", "close");
      }
      Fill(aResponse, std::move(response));
    }
  }

  void answerWithBody(const httplib::Request& aRequest,
                      httplib::Response& aResponse,
                      const httplib::ContentReader& aReader) const
  {
    Request request = RequestOf(aRequest);
    std::size_t limit = mSettings.mMaxBody;
    if (mHandlers.mBodyLimit) {
      limit = std::min(limit, mHandlers.mBodyLimit(request));
    }
    if (HasAmbiguousLength(aRequest)) {
      Fill(aResponse, Refusal(400, "the length of the body is stated twice"));
      return;
    }
    // Without a length and without chunks the body would end only with the connection.
    if (HasBody(aRequest)) {
      const BodyKind kind = mHandlers.mBodyKind ? mHandlers.mBodyKind(request) : BodyKind::Opaque;
      Body body = ReadBody(aReader, { limit, mSettings.mBodyTimeout, kind });
      if (body.mTooLarge || aResponse.status == 413) {
        Fill(aResponse,
             Refusal(413, "body is over the limit of " + std::to_string(limit) + " bytes"));
        return;
      }
      if (!body.mComplete) {
        Fill(aResponse, Refusal(body.mTooSlow ? 408 : 400, "body did not arrive whole"));
        return;
      }
      request.mBody = std::move(body.mBytes);
    }
    aResponse.status = -1;
    answer(std::move(request), aResponse);
  }

  void configure()
  {
    mServer.new_task_queue = [threads = mSettings.mClients.mConnections] {
      return new ThreadQueue(threads);
    };
    mServer.set_socket_options([](socket_t aSocket) {
      // The default also sets SO_REUSEPORT, with which two processes could share a port unnoticed.
      const int on = 1;
      ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
      // Accepted sockets take the sizes over from the listening one.
      ::setsockopt(aSocket, SOL_SOCKET, SO_RCVBUF, &kSocketBuffer, sizeof(kSocketBuffer));
      ::setsockopt(aSocket, SOL_SOCKET, SO_SNDBUF, &kSocketBuffer, sizeof(kSocketBuffer));
    });
    mServer.set_payload_max_length(mSettings.mMaxBody);
    const auto plain = [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      answer(RequestOf(aRequest), aResponse);
    };
    const auto withBody = [this](const httplib::Request& aRequest,
                                 httplib::Response& aResponse,
                                 const httplib::ContentReader& aReader) {
      answerWithBody(aRequest, aResponse, aReader);
    };
    // Every path goes to the same handler; the entry has its own routing.
    mServer.Get("[^]*", plain).Options("[^]*", plain);
    mServer.Post("[^]*", withBody).Put("[^]*", withBody).Patch("[^]*", withBody);
    mServer.Delete("[^]*", withBody);
  }
};

Server::Server(ServerSettings aSettings, Handlers aHandlers)
  : mInner(std::make_unique<Inner>(std::move(aSettings), std::move(aHandlers)))
{
  mInner->configure();
}

Server::~Server()
{
  stop();
}

tl::expected<std::uint16_t, std::string>
Server::start()
{
  Inner& inner = *mInner;
  int port = inner.mSettings.mPort;
  if (port == 0) {
    port = inner.mServer.bind_to_any_port(inner.mSettings.mAddress);
  } else if (!inner.mServer.bind_to_port(inner.mSettings.mAddress, port)) {
    port = -1;
  }
  if (port <= 0) {
    return tl::unexpected("cannot listen on " + inner.mSettings.mAddress + ':' +
                          std::to_string(inner.mSettings.mPort));
  }
  inner.mServer.widenBacklog();
  inner.mThread = std::thread([&inner] { inner.mServer.listen_after_bind(); });
  while (!inner.mServer.is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return static_cast<std::uint16_t>(port);
}

void
Server::stop()
{
  if (mInner->mThread.joinable()) {
    mInner->mServer.stop();
    mInner->mThread.join();
  }
}

ServerUsage
Server::usage() const
{
  return { mInner->mBook.connections(), mInner->mBook.used() };
}

} // namespace Http
