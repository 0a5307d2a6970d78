#include "Net/HttpServer.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "Common/Text.h"

namespace Net {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using ErrorCode = boost::system::error_code;

namespace {

/// A peer whose machine does not acknowledge data for this long is taken as lost.
constexpr int kUnansweredMs = 10'000;
/// The request of a new connection is awaited for this long before the connection counts as idle.
constexpr std::chrono::milliseconds kFirstRequestTime{ 200 };
constexpr const char* kHeaderEnd = "\r\n\r\n";
/// Room for one read of a header; most fit in it.
constexpr std::size_t kReadBytes = 4096;

class Session;

} // namespace

struct HttpServer::Core
{
  Core(Asio::io_context& aContext, HttpLimits aLimits, Handler aHandler)
    : mContext(aContext)
    , mAcceptor(aContext)
    , mRetry(aContext)
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
  {
  }

  Asio::io_context& mContext;
  Tcp::acceptor mAcceptor;
  Asio::steady_timer mRetry;
  HttpLimits mLimits;
  Handler mHandler;
  std::set<Session*> mSessions;
  std::size_t mPending = 0;
  bool mClosing = false;
  bool mReadingEnded = false;
};

namespace {

class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(Tcp::socket aSocket, std::shared_ptr<HttpServer::Core> aCore)
    : mStream(std::move(aSocket))
    , mCore(std::move(aCore))
  {
    SetSocketOptions(mStream.socket(), kUnansweredMs);
    mCore->mSessions.insert(this);
  }
  ~Session() { mCore->mSessions.erase(this); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void start() { readHeader(); }
  /// A request that is on its way is lost unread, which its sender may send again. One that has
  /// arrived is read and answered: a read that has taken it in is not aborted, although its handler
  /// may not have run yet.
  void closeIfIdle()
  {
    if (mState == State::Idle &&
        std::chrono::steady_clock::now() - mOpenTime >= kFirstRequestTime) {
      mClosesIfAborted = true;
      cancelRead();
    }
  }
  /// What a read has taken in is not lost: its handler may still run.
  void stopReading()
  {
    if (mState == State::Idle || mState == State::Reading) {
      cancelRead();
    }
  }
  void close()
  {
    ErrorCode ignored;
    mStream.socket().close(ignored);
  }

private:
  enum class State
  {
    /// No byte of a request was read.
    Idle,
    Reading,
    Answering,
    /// The last answer was sent.
    Draining,
  };

  void cancelRead()
  {
    ErrorCode ignored;
    mStream.socket().cancel(ignored);
  }

  void readHeader()
  {
    mParser.emplace();
    mParser->header_limit(mCore->mLimits.mHeaderBytes);
    mParser->body_limit(mCore->mLimits.mBodyBytes);
    mState = mBuffer.size() > 0 ? State::Reading : State::Idle;
    mStream.expires_after(mBuffer.size() > 0 ? mCore->mLimits.mRequestTime
                                             : mCore->mLimits.mIdleTime);
    readHeaderBytes();
  }

  /// Reads the whole header before it is parsed, because the parser joins folded lines, which a
  /// balancer in front may read in another way.
  void readHeaderBytes()
  {
    const std::string_view read(static_cast<const char*>(mBuffer.data().data()), mBuffer.size());
    const std::size_t end = read.find(kHeaderEnd);
    if (end != std::string_view::npos) {
      takeHeaderBytes(read.substr(0, end));
      return;
    }
    if (read.size() >= mCore->mLimits.mHeaderBytes) {
      reject(431, "the header fields are too large");
      return;
    }
    if (mCore->mReadingEnded) {
      close();
      return;
    }
    mStream.async_read_some(mBuffer.prepare(kReadBytes),
                            [self = shared_from_this()](ErrorCode aError, std::size_t aSize) {
                              if (aError == Asio::error::operation_aborted &&
                                  std::exchange(self->mClosesIfAborted, false)) {
                                self->closeOrReadOn();
                                return;
                              }
                              if (aError) {
                                return;
                              }
                              self->mState = State::Reading;
                              self->mClosesIfAborted = false;
                              self->mBuffer.commit(aSize);
                              self->readHeaderBytes();
                            });
  }

  void closeOrReadOn()
  {
    ErrorCode error;
    mStream.socket().available(error) == 0 ? close() : readHeaderBytes();
  }

  void takeHeaderBytes(std::string_view aHeader)
  {
    mState = State::Reading;
    if (aHeader.find("\n ") != std::string_view::npos ||
        aHeader.find("\n\t") != std::string_view::npos) {
      reject(400, "a header line is folded");
      return;
    }
    Http::async_read_header(
      mStream, mBuffer, *mParser, [self = shared_from_this()](ErrorCode aParseError, std::size_t) {
        self->takeHeader(aParseError);
      });
  }

  void takeHeader(ErrorCode aError)
  {
    if (aError == Http::error::header_limit) {
      reject(431, "the header fields are too large");
      return;
    }
    if (aError == Http::error::body_limit) {
      reject(413, "the body is too large");
      return;
    }
    if (aError && aError.category() == Http::make_error_code(Http::error::bad_method).category() &&
        aError != Http::error::end_of_stream && aError != Http::error::partial_message) {
      reject(400, "the request is malformed");
      return;
    }
    if (aError) {
      return;
    }
    const auto& message = mParser->get();
    if (message.count(Http::field::host) != 1) {
      reject(400, "exactly one Host header is needed");
      return;
    }
    if (message.count(Http::field::content_length) > 1 ||
        (message.count(Http::field::content_length) == 1 &&
         message.count(Http::field::transfer_encoding) > 0)) {
      reject(400, "the length of the body is stated twice");
      return;
    }
    if (message.count(Http::field::transfer_encoding) > 0 && !mParser->chunked()) {
      reject(400, "the transfer coding is not supported");
      return;
    }
    mStream.expires_after(mCore->mLimits.mRequestTime);
    if (Beast::iequals(message[Http::field::expect], "100-continue")) {
      mResponse = Http::response<Http::string_body>(Http::status::continue_, 11);
      Http::async_write(
        mStream, mResponse, [self = shared_from_this()](ErrorCode aWriteError, std::size_t) {
          if (!aWriteError) {
            self->readBody();
          }
        });
      return;
    }
    readBody();
  }

  void readBody()
  {
    Http::async_read(
      mStream, mBuffer, *mParser, [self = shared_from_this()](ErrorCode aError, std::size_t) {
        self->takeRequest(aError);
      });
  }

  void takeRequest(ErrorCode aError)
  {
    if (aError == Http::error::body_limit) {
      reject(413, "the body is too large");
      return;
    }
    if (aError) {
      return;
    }
    auto message = mParser->release();
    HttpRequest request;
    request.mMethod = std::string(message.method_string());
    request.mTarget = std::string(message.target());
    request.mHost = std::string(message[Http::field::host]);
    request.mBody = std::move(message.body());
    for (const auto& field : message) {
      request.mHeaders.emplace_back(
        Common::LowerCase({ field.name_string().data(), field.name_string().size() }),
        std::string(field.value()));
    }
    mKeepAlive = message.keep_alive();
    mVersion = message.version();
    mState = State::Answering;
    // The handler decides how long an answer may take.
    mStream.expires_never();
    ++mCore->mPending;
    mCore->mHandler(std::move(request),
                    [self = shared_from_this(), answered = false](HttpResponse aResponse) mutable {
                      if (!answered) {
                        answered = true;
                        --self->mCore->mPending;
                        self->respond(std::move(aResponse));
                      }
                    });
  }

  void reject(unsigned aStatus, const std::string& aReason)
  {
    mKeepAlive = false;
    mVersion = 11;
    respond({ aStatus, "{\"error\":\"" + aReason + "\"}", {} });
  }

  void respond(HttpResponse aResponse)
  {
    mState = State::Answering;
    mResponse =
      Http::response<Http::string_body>(static_cast<Http::status>(aResponse.mStatus), mVersion);
    for (const auto& [name, value] : aResponse.mHeaders) {
      mResponse.set(name, value);
    }
    if (!aResponse.mBody.empty() && mResponse.count(Http::field::content_type) == 0) {
      mResponse.set(Http::field::content_type, "application/json");
    }
    mResponse.body() = std::move(aResponse.mBody);
    // A request that was sent without waiting for this answer may have been read with the last one.
    mResponse.keep_alive(mKeepAlive && (!mCore->mClosing || mBuffer.size() > 0));
    mResponse.prepare_payload();
    mStream.expires_after(std::chrono::seconds(10));
    Http::async_write(
      mStream, mResponse, [self = shared_from_this()](ErrorCode aError, std::size_t) {
        self->afterWrite(aError);
      });
  }

  void afterWrite(ErrorCode aError)
  {
    if (aError) {
      return;
    }
    if (mResponse.keep_alive()) {
      readHeader();
      return;
    }
    mState = State::Draining;
    ErrorCode ignored;
    mStream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    // Reading until the peer closes keeps the answer from being reset with unread bytes.
    mStream.expires_after(std::chrono::seconds(1));
    drainInput();
  }

  void drainInput()
  {
    mBuffer.clear();
    mStream.async_read_some(mBuffer.prepare(1024),
                            [self = shared_from_this()](ErrorCode aError, std::size_t) {
                              if (!aError) {
                                self->drainInput();
                              }
                            });
  }

  Beast::tcp_stream mStream;
  std::shared_ptr<HttpServer::Core> mCore;
  Beast::flat_buffer mBuffer;
  std::optional<Http::request_parser<Http::string_body>> mParser;
  Http::response<Http::string_body> mResponse;
  bool mKeepAlive = true;
  State mState = State::Idle;
  std::chrono::steady_clock::time_point mOpenTime = std::chrono::steady_clock::now();
  bool mClosesIfAborted = false;
  unsigned mVersion = 11;
};

void
AcceptNext(const std::shared_ptr<HttpServer::Core>& aCore)
{
  aCore->mAcceptor.async_accept([aCore](ErrorCode aError, Tcp::socket aSocket) {
    if (aError == Asio::error::operation_aborted || !aCore->mAcceptor.is_open()) {
      return;
    }
    if (!aError && aCore->mSessions.size() < aCore->mLimits.mConnections) {
      std::make_shared<Session>(std::move(aSocket), aCore)->start();
    }
    if (!aError) {
      AcceptNext(aCore);
      return;
    }
    // Out of descriptors, most likely; the queue of the listener holds new connections meanwhile.
    aCore->mRetry.expires_after(std::chrono::milliseconds(50));
    aCore->mRetry.async_wait([aCore](ErrorCode aTimerError) {
      if (!aTimerError) {
        AcceptNext(aCore);
      }
    });
  });
}

void
AcceptWaiting(const std::shared_ptr<HttpServer::Core>& aCore)
{
  ErrorCode error;
  aCore->mAcceptor.non_blocking(true, error);
  while (!error && aCore->mSessions.size() < aCore->mLimits.mConnections) {
    Tcp::socket socket(aCore->mContext);
    aCore->mAcceptor.accept(socket, error);
    if (!error) {
      std::make_shared<Session>(std::move(socket), aCore)->start();
    }
  }
}

} // namespace

std::string
HttpRequest::header(const std::string& aName) const
{
  for (const auto& [name, value] : mHeaders) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

HttpServer::HttpServer(Asio::io_context& aContext, HttpLimits aLimits, Handler aHandler)
  : mCore(std::make_shared<Core>(aContext, aLimits, std::move(aHandler)))
{
}

HttpServer::~HttpServer()
{
  stopListening();
  for (Session* session : std::set<Session*>(mCore->mSessions)) {
    session->close();
  }
}

tl::expected<void, std::string>
HttpServer::listen(const std::string& aAddress)
{
  auto opened = OpenListener(mCore->mAcceptor, aAddress);
  if (!opened) {
    return opened;
  }
  AcceptNext(mCore);
  return {};
}

Tcp::endpoint
HttpServer::address() const
{
  ErrorCode ignored;
  return mCore->mAcceptor.local_endpoint(ignored);
}

void
HttpServer::changeLimits(HttpLimits aLimits)
{
  mCore->mLimits = aLimits;
}

void
HttpServer::announceClose()
{
  mCore->mClosing = true;
}

void
HttpServer::closeIdle()
{
  AcceptWaiting(mCore);
  for (Session* session : std::set<Session*>(mCore->mSessions)) {
    session->closeIfIdle();
  }
}

void
HttpServer::stopListening()
{
  ErrorCode ignored;
  mCore->mAcceptor.close(ignored);
  mCore->mRetry.cancel();
}

void
HttpServer::stopReading()
{
  mCore->mReadingEnded = true;
  for (Session* session : std::set<Session*>(mCore->mSessions)) {
    session->stopReading();
  }
}

std::size_t
HttpServer::pending() const
{
  return mCore->mPending;
}

std::size_t
HttpServer::connections() const
{
  return mCore->mSessions.size();
}

} // namespace Net
