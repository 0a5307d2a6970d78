#include "Http/Server.h"

#include <thread>

#include <httplib.h>
#include <netinet/tcp.h>

#include "Http/ConnectionThreads.h"
#include "Http/SocketStream.h"

namespace Http {

namespace {

constexpr int kListenBacklog = 512;
// cpp-httplib takes multipart bodies apart while reading, but they must be forwarded as they are.
// The content type is kept under this name while the body is read.
constexpr const char* kHiddenContentType = "Ibisshed-Hidden-Content-Type";

class ThreadQueue final : public httplib::TaskQueue
{
public:
  explicit ThreadQueue(std::size_t aMaxThreads)
    : mThreads(aMaxThreads)
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

class ListeningServer final : public httplib::Server
{
public:
  explicit ListeningServer(const ServerSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  // cpp-httplib listens with a backlog of 5, and a burst of connections above it waits a second
  // for the next attempt. A second listen() only changes the backlog.
  void widenBacklog() { ::listen(svr_sock_, kListenBacklog); }

private:
  bool process_and_close_socket(socket_t aSocket) override
  {
    StreamLimits limits;
    limits.mRead = std::chrono::ceil<std::chrono::milliseconds>(mSettings.mReadTimeout);
    limits.mWrite = limits.mRead;
    SocketStream stream(aSocket, limits);
    const int on = 1;
    ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::size_t left = mSettings.mRequestsPerConnection;
    while (left > 0 && waitForRequest(stream)) {
      --left;
      bool closing = false;
      bool unreadBody = false;
      stream.startMessage();
      const bool answered =
        process_request(stream, left == 0, closing, [&](httplib::Request& aRequest) {
          HideMultipart(aRequest);
          unreadBody = HasAmbiguousLength(aRequest) ||
                       (HasBody(aRequest) && !MethodTakesBody(aRequest.method));
        });
      if (!stream.flush() || !answered || closing || unreadBody) {
        break;
      }
    }
    ::shutdown(aSocket, SHUT_RDWR);
    ::close(aSocket);
    return true;
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
};

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
    request.mHeaders.push_back({ name == kHiddenContentType ? "Content-Type" : name, value });
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

Response
Refusal(int aStatus, const std::string& aText)
{
  Response response = JsonResponse(aStatus, R"({"error":")" + aText + "\"}");
  response.mHeaders.push_back({ "Ibisshed-Outcome", "not-run" });
  return response;
}

struct Body
{
  std::string mBytes;
  bool mTooLarge = false;
  bool mTooSlow = false;
  bool mComplete = false;
};

// Reads an oversized body to its end without keeping it, so that the connection stays usable.
Body
ReadBody(const httplib::ContentReader& aReader, std::size_t aLimit, Common::Duration aTimeout)
{
  Body body;
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  body.mComplete = aReader([&](const char* aBytes, std::size_t aLength) {
    body.mTooLarge = body.mTooLarge || body.mBytes.size() + aLength > aLimit;
    if (!body.mTooLarge) {
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
  ListeningServer mServer{ mSettings };
  std::thread mThread;

  void answer(const Request& aRequest, httplib::Response& aResponse) const
  {
    Fill(aResponse, mHandlers.mAnswer(aRequest));
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
      Body body = ReadBody(aReader, limit, mSettings.mBodyTimeout);
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
    answer(request, aResponse);
  }

  void configure()
  {
    mServer.new_task_queue = [threads = mSettings.mMaxThreads] { return new ThreadQueue(threads); };
    mServer.set_socket_options([](socket_t aSocket) {
      // The default also sets SO_REUSEPORT, with which two processes could share a port unnoticed.
      const int on = 1;
      ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
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
  : mInner(std::make_unique<Inner>())
{
  mInner->mSettings = std::move(aSettings);
  mInner->mHandlers = std::move(aHandlers);
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

} // namespace Http
