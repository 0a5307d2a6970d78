#include "Net/HttpSession.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "Common/Text.h"

namespace Net {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;

namespace {

/// A peer whose machine does not acknowledge data for this long is taken as lost.
constexpr int kUnansweredMs = 10'000;
/// The request of a new connection is awaited for this long before the connection counts as idle.
constexpr std::chrono::milliseconds kFirstRequestTime{ 200 };
constexpr std::string_view kHeaderEnd = "\r\n\r\n";
/// Room for the first read of a request, which an idle connection has ready.
constexpr std::size_t kFirstReadBytes = 1'024;
/// Room for a further read of a header; most fit in it. It bounds the bytes that are read ahead of
/// the next request.
constexpr std::size_t kReadBytes = 4'096;
/// Room for one read of a body.
constexpr std::size_t kBodyReadBytes = 16'384;
/// What a connection takes beside its buffer: the session, its parser, the socket and timers.
constexpr std::uint64_t kConnectionBytes = 4'096;
/// What one header field takes beside its text, in the parser and in the request.
constexpr std::uint64_t kFieldBytes = 256;
constexpr unsigned kServiceUnavailable = 503;

std::size_t
CountLines(std::string_view aHeader)
{
  return static_cast<std::size_t>(std::count(aHeader.begin(), aHeader.end(), '\n'));
}

} // namespace

HttpSession::HttpSession(Tcp::socket aSocket, std::shared_ptr<HttpServer::Core> aCore)
  : mStream(std::move(aSocket))
  , mCore(std::move(aCore))
  , mShare(mCore->mSharing.mBudget, [this] { giveUp(RefusalCause::Budget); })
{
  SetSocketOptions(mStream.socket(), kUnansweredMs);
}

HttpSession::~HttpSession()
{
  mCore->mSessions.erase(this);
  if (mIsPending) {
    // The handler has dropped the request.
    --mCore->mPending;
  }
}

bool
HttpSession::start()
{
  if (!mShare.resize(kConnectionBytes)) {
    return false;
  }
  mCore->mSessions.insert(this);
  readHeader();
  return true;
}

void
HttpSession::closeIfIdle()
{
  if (mState == State::Idle && std::chrono::steady_clock::now() - mOpenTime >= kFirstRequestTime) {
    mClosesIfAborted = true;
    cancelRead();
  }
}

void
HttpSession::stopReading()
{
  if (mState == State::Idle || mState == State::Reading) {
    cancelRead();
  }
}

void
HttpSession::close()
{
  mIsClosed = true;
  mCore->mSessions.erase(this);
  ErrorCode ignored;
  mStream.socket().close(ignored);
}

std::optional<HttpSession::Time>
HttpSession::idleSince() const
{
  const bool isIdle = mState == State::Idle || mState == State::Draining;
  return isIdle ? std::make_optional(mIdleSince) : std::nullopt;
}

std::optional<HttpSession::Time>
HttpSession::receivingSince() const
{
  return mState == State::Reading ? std::make_optional(mRequestTime) : std::nullopt;
}

void
HttpSession::giveUp(RefusalCause aCause)
{
  mCore->refuse(aCause);
  if (mState != State::Reading || aCause != RefusalCause::Budget) {
    mShare.enter(ReceiveBudget::Phase::Held);
    mShare.force(0);
    close();
    return;
  }
  // The read that is under way only uses the buffer. Its handler answers the request.
  mGivenUp = aCause;
  if (mParser) {
    std::string().swap(mParser->get().body());
  }
  mShare.force(bytesWith(0));
  mShare.enter(ReceiveBudget::Phase::Held);
  cancelRead();
}

void
HttpSession::cancelRead()
{
  ErrorCode ignored;
  mStream.socket().cancel(ignored);
}

void
HttpSession::readHeader()
{
  mParser.emplace();
  mParser->header_limit(mCore->mLimits.mHeaderBytes);
  mParser->body_limit(mCore->mLimits.mBodyBytes);
  mSearched = 0;
  mFields = 0;
  if (mBuffer.size() > 0) {
    beginReading();
    mReceivedBytes = mBuffer.size();
  } else {
    mBuffer.shrink_to_fit();
    mShare.force(bytesWith(0));
    mState = State::Idle;
    mIdleSince = std::chrono::steady_clock::now();
    mShare.enter(ReceiveBudget::Phase::Idle);
    mStream.expires_after(mCore->mLimits.mIdleTime);
  }
  readHeaderBytes();
}

void
HttpSession::beginReading()
{
  mState = State::Reading;
  mRequestTime = std::chrono::steady_clock::now();
  mPartTime = mRequestTime;
  mReceivedBytes = 0;
  mShare.enter(ReceiveBudget::Phase::Receiving);
}

void
HttpSession::readHeaderBytes()
{
  const std::string_view bytes(static_cast<const char*>(mBuffer.data().data()), mBuffer.size());
  const std::size_t from = mSearched < kHeaderEnd.size() ? 0 : mSearched - kHeaderEnd.size() + 1;
  const std::size_t end = bytes.find(kHeaderEnd, from);
  if (end != std::string_view::npos) {
    takeHeaderBytes(end);
    return;
  }
  mSearched = bytes.size();
  if (bytes.size() >= mCore->mLimits.mHeaderBytes) {
    rejectFor(RefusalCause::HeaderBytes);
    return;
  }
  if (mCore->mReadingEnded) {
    close();
    return;
  }
  read(mState == State::Idle ? kFirstReadBytes : kReadBytes, &HttpSession::readHeaderBytes);
}

void
HttpSession::closeOrReadOn()
{
  ErrorCode error;
  mStream.socket().available(error) == 0 ? close() : readHeaderBytes();
}

void
HttpSession::takeHeaderBytes(std::size_t aEnd)
{
  const std::string_view header(static_cast<const char*>(mBuffer.data().data()), aEnd);
  if (header.find("\n ") != std::string_view::npos ||
      header.find("\n\t") != std::string_view::npos) {
    reject(400, "a header line is folded");
    return;
  }
  mFields = CountLines(header);
  if (mFields > mCore->mLimits.mHeaderFields) {
    rejectFor(RefusalCause::HeaderFields);
    return;
  }
  if (!mShare.resize(bytesWith(0))) {
    refuse(RefusalCause::Budget);
    return;
  }
  ErrorCode error;
  mBuffer.consume(mParser->put(mBuffer.data(), error));
  if (error) {
    rejectParseError(error);
    return;
  }
  if (!checkHeader()) {
    return;
  }
  mPartTime = std::chrono::steady_clock::now();
  mReceivedBytes = mBuffer.size();
  mParser->eager(true);
  if (Beast::iequals(mParser->get()[Http::field::expect], "100-continue")) {
    continueBody();
    return;
  }
  readBody();
}

bool
HttpSession::checkHeader()
{
  const auto& message = mParser->get();
  if (message.count(Http::field::host) != 1) {
    reject(400, "exactly one Host header is needed");
    return false;
  }
  if (message.count(Http::field::content_length) > 1 ||
      (message.count(Http::field::content_length) == 1 &&
       message.count(Http::field::transfer_encoding) > 0)) {
    reject(400, "the length of the body is stated twice");
    return false;
  }
  if (message.count(Http::field::transfer_encoding) > 0 && !mParser->chunked()) {
    reject(400, "the transfer coding is not supported");
    return false;
  }
  return true;
}

void
HttpSession::continueBody()
{
  mResponse = Http::response<Http::string_body>(Http::status::continue_, 11);
  mStream.expires_at(receiveDeadline());
  Http::async_write(mStream, mResponse, [self = shared_from_this()](ErrorCode aError, std::size_t) {
    if (!aError && !self->mGivenUp) {
      self->readBody();
    }
  });
}

void
HttpSession::readBody()
{
  if (!parseBody()) {
    return;
  }
  if (mParser->is_done()) {
    takeRequest();
    return;
  }
  if (mBuffer.size() > mCore->mLimits.mHeaderBytes) {
    reject(400, "the request is malformed");
    return;
  }
  if (mCore->mReadingEnded) {
    close();
    return;
  }
  read(kBodyReadBytes, &HttpSession::readBody);
}

bool
HttpSession::parseBody()
{
  while (mBuffer.size() > 0 && !mParser->is_done()) {
    if (!reserveBody()) {
      refuse(RefusalCause::Budget);
      return false;
    }
    ErrorCode error;
    const std::size_t size = mParser->put(mBuffer.data(), error);
    mBuffer.consume(size);
    if (error == Http::error::need_more || (!error && size == 0)) {
      return true;
    }
    if (error) {
      rejectParseError(error);
      return false;
    }
  }
  return true;
}

void
HttpSession::rejectParseError(ErrorCode aError)
{
  if (aError == Http::error::header_limit) {
    rejectFor(RefusalCause::HeaderBytes);
  } else if (aError == Http::error::body_limit) {
    rejectFor(RefusalCause::BodyBytes);
  } else {
    reject(400, "the request is malformed");
  }
}

bool
HttpSession::reserveBody()
{
  std::string& body = mParser->get().body();
  const auto stated = mParser->content_length();
  const std::size_t bound = stated ? static_cast<std::size_t>(*stated) : mCore->mLimits.mBodyBytes;
  const std::size_t needed = std::min(body.size() + mBuffer.size(), bound);
  if (needed <= body.capacity()) {
    return true;
  }
  const std::size_t capacity = std::max(needed, std::min(2 * body.capacity(), bound));
  if (!mShare.resize(bytesWith(0) - body.capacity() + capacity)) {
    return false;
  }
  // A string that has grown before may reserve more than it is asked for.
  std::string larger;
  larger.reserve(capacity);
  larger.append(body);
  body.swap(larger);
  return true;
}

void
HttpSession::takeRequest()
{
  // Trailers of a chunked body count as fields of the header.
  if (static_cast<std::size_t>(std::distance(mParser->get().begin(), mParser->get().end())) >
      mCore->mLimits.mHeaderFields) {
    rejectFor(RefusalCause::HeaderFields);
    return;
  }
  HttpRequest request = makeRequest();
  if (mBuffer.size() == 0) {
    mBuffer.shrink_to_fit();
  }
  const std::uint64_t bytes = bytesWith(0) + request.mBody.capacity() * mCore->mLimits.mHeldFactor;
  if (mCore->mPending >= mCore->mLimits.mPending || !mShare.hold(bytes)) {
    refuse(RefusalCause::HeldRequests);
    return;
  }
  mState = State::Answering;
  // The handler decides how long an answer may take.
  mStream.expires_never();
  ++mCore->mPending;
  mIsPending = true;
  mCore->mHandler(std::move(request),
                  [self = shared_from_this(), answered = false](HttpResponse aResponse) mutable {
                    if (!answered) {
                      answered = true;
                      --self->mCore->mPending;
                      self->mIsPending = false;
                      self->respond(std::move(aResponse));
                    }
                  });
}

HttpRequest
HttpSession::makeRequest()
{
  auto message = mParser->release();
  mParser.reset();
  HttpRequest request;
  request.mMethod = std::string(message.method_string());
  request.mTarget = std::string(message.target());
  request.mHost = std::string(message[Http::field::host]);
  request.mBody = std::move(message.body());
  request.mHeaders.reserve(mFields);
  for (const auto& field : message) {
    request.mHeaders.emplace_back(
      Common::LowerCase({ field.name_string().data(), field.name_string().size() }),
      std::string(field.value()));
  }
  mKeepAlive = message.keep_alive();
  mVersion = message.version();
  return request;
}

void
HttpSession::read(std::size_t aBytes, void (HttpSession::*aThen)())
{
  if (!mShare.resize(bytesWith(aBytes))) {
    if (mState == State::Idle) {
      giveUp(RefusalCause::Connections);
    } else {
      refuse(RefusalCause::Budget);
    }
    return;
  }
  if (mState == State::Reading) {
    mStream.expires_at(receiveDeadline());
  }
  mStream.async_read_some(
    mBuffer.prepare(aBytes),
    [self = shared_from_this(), aThen](ErrorCode aError, std::size_t aSize) {
      if (self->mIsClosed) {
        // What was read last is not handled, because it could not be answered.
        return;
      }
      if (self->mGivenUp) {
        self->reject(kServiceUnavailable, "the service is temporarily unavailable");
      } else if (aError == Asio::error::operation_aborted &&
                 std::exchange(self->mClosesIfAborted, false)) {
        self->closeOrReadOn();
      } else if (aError == Beast::error::timeout && self->mState == State::Reading) {
        self->mCore->refuse(RefusalCause::SlowRequest);
      } else if (!aError) {
        self->takeBytes(aSize);
        (self.get()->*aThen)();
      }
    });
}

void
HttpSession::takeBytes(std::size_t aSize)
{
  mBuffer.commit(aSize);
  mClosesIfAborted = false;
  if (mState == State::Idle) {
    beginReading();
  }
  mReceivedBytes += aSize;
  mShare.addProgress(aSize);
}

HttpSession::Time
HttpSession::receiveDeadline() const
{
  const HttpLimits& limits = mCore->mLimits;
  const Common::Duration byRate = std::chrono::microseconds(
    mReceivedBytes * 1'000'000 / std::max<std::uint64_t>(1, limits.mMinReceiveRate));
  return mPartTime + std::min(limits.mRequestTime, std::max(limits.mReceiveGrace, byRate));
}

std::uint64_t
HttpSession::bytesWith(std::size_t aMore) const
{
  const std::size_t needed = mBuffer.size() + aMore;
  // As the buffer grows: twice its content, or what is needed.
  const std::size_t buffer =
    needed <= mBuffer.capacity() ? mBuffer.capacity() : std::max(needed, 2 * mBuffer.size());
  const std::size_t body = mParser ? mParser->get().body().capacity() : 0;
  return kConnectionBytes + buffer + body + mFields * kFieldBytes;
}

void
HttpSession::reject(unsigned aStatus, const std::string& aReason)
{
  mParser.reset();
  mFields = 0;
  mKeepAlive = false;
  mVersion = 11;
  HttpResponse response{ aStatus, "{\"error\":\"" + aReason + "\"}", {} };
  if (aStatus == kServiceUnavailable) {
    response.mHeaders.emplace_back("Retry-After", "1");
  }
  respond(std::move(response));
}

void
HttpSession::rejectFor(RefusalCause aCause)
{
  mCore->refuse(aCause);
  aCause == RefusalCause::BodyBytes ? reject(413, "the body is too large")
                                    : reject(431, "the header fields are too large");
}

void
HttpSession::refuse(RefusalCause aCause)
{
  mCore->refuse(aCause);
  reject(kServiceUnavailable, "the service is temporarily unavailable");
}

void
HttpSession::respond(HttpResponse aResponse)
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
  mFields = 0;
  mShare.enter(ReceiveBudget::Phase::Sending);
  mShare.force(bytesWith(0) + mResponse.body().capacity());
  mStream.expires_after(mCore->mLimits.mAnswerTime);
  Http::async_write(mStream, mResponse, [self = shared_from_this()](ErrorCode aError, std::size_t) {
    self->afterWrite(aError);
  });
}

void
HttpSession::afterWrite(ErrorCode aError)
{
  if (aError == Beast::error::timeout) {
    mCore->refuse(RefusalCause::UnreadAnswer);
  }
  if (aError) {
    return;
  }
  const bool keepsAlive = mResponse.keep_alive();
  mResponse = {};
  if (keepsAlive) {
    readHeader();
    return;
  }
  mState = State::Draining;
  mIdleSince = std::chrono::steady_clock::now();
  mBuffer.clear();
  mBuffer.shrink_to_fit();
  mShare.force(kConnectionBytes);
  mShare.enter(ReceiveBudget::Phase::Idle);
  ErrorCode ignored;
  mStream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  // Reading until the peer closes keeps the answer from being reset with unread bytes.
  mStream.expires_after(std::chrono::seconds(1));
  drainInput();
}

void
HttpSession::drainInput()
{
  mBuffer.clear();
  mStream.async_read_some(mBuffer.prepare(1024),
                          [self = shared_from_this()](ErrorCode aError, std::size_t) {
                            if (!aError) {
                              self->drainInput();
                            }
                          });
}

} // namespace Net
