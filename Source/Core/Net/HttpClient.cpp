#include "Net/HttpClient.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <optional>

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Net {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using ErrorCode = boost::system::error_code;

namespace {

/// Answers above this size are an error of the server; its pages are bounded by about 1 MB.
constexpr std::uint64_t kMaxAnswerBytes = 8 << 20;
/// Longest time for an answer that arrives in parts; 1 MB at 1 Mbit/s takes 8 s.
constexpr std::chrono::seconds kMaxAnswerTime{ 10 };
/// A server whose machine does not acknowledge data for this long is taken as lost.
constexpr int kUnansweredMs = 5'000;
/// Idle connections kept to one server. A step of many tasks starts with so many calls at one time,
/// and new connections cost the server more than kept ones.
constexpr std::size_t kMaxIdle = 16;
/// Most bytes of an answer that one turn of the event loop reads. Other handlers run between two
/// reads, so that an answer read in small parts takes long in a busy process.
constexpr std::size_t kMaxReadBytes = 64 << 10;

class Call;

/// False if the server has closed the connection or sent something that nobody asked for. A call on
/// it would end without an answer, which looks as if it may have been carried out.
bool
IsUsable(Tcp::socket& aSocket)
{
  char byte = 0;
  const ssize_t size = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

struct IdleConnection
{
  std::unique_ptr<Beast::tcp_stream> mStream;
  std::chrono::steady_clock::time_point mAnsweredAt;
};

} // namespace

struct HttpClient::Core
{
  Core(Asio::io_context& aContext,
       const std::string& aAddress,
       std::optional<ConnectionCheck> aCheck,
       std::shared_ptr<ServerSilence> aSilence)
    : mContext(aContext)
    , mEndpoint(ParseAddress(aAddress))
    , mHost(aAddress)
    , mCheck(std::move(aCheck))
    , mSilence(std::move(aSilence))
  {
  }

  Asio::io_context& mContext;
  std::optional<Tcp::endpoint> mEndpoint;
  std::string mHost;
  std::optional<ConnectionCheck> mCheck;
  std::shared_ptr<ServerSilence> mSilence;
  /// The one with the latest answer is last.
  std::vector<IdleConnection> mIdle;
  /// Checks without an answer since the last one with an answer.
  int mUnansweredChecks = 0;
  bool mClosed = false;
};

namespace {

Http::request<Http::string_body>
MakeMessage(ClientRequest aRequest, const std::string& aHost)
{
  Http::request<Http::string_body> message(
    Http::string_to_verb(aRequest.mMethod), aRequest.mTarget, 11);
  message.set(Http::field::host, aHost);
  for (const auto& [name, value] : aRequest.mHeaders) {
    message.set(name, value);
  }
  if (!aRequest.mBody.empty()) {
    message.set(Http::field::content_type, "application/json");
  }
  message.body() = std::move(aRequest.mBody);
  if (!message.body().empty() || message.method() == Http::verb::post) {
    message.prepare_payload();
  }
  return message;
}

class Call : public std::enable_shared_from_this<Call>
{
public:
  Call(std::shared_ptr<HttpClient::Core> aCore,
       ClientRequest aRequest,
       Common::Duration aTimeout,
       CallDone aDone,
       TimeoutScope aScope)
    : mCore(std::move(aCore))
    , mTimeout(aTimeout)
    , mConnectUntil(std::chrono::steady_clock::now() + aTimeout)
    , mScope(aScope)
    , mIsCheckEnough(aRequest.mIsCheckEnough)
    , mHold(aRequest.mHold)
    , mDone(std::move(aDone))
    , mRequest(MakeMessage(std::move(aRequest), mCore->mHost))
  {
  }

  void start()
  {
    if (!mCore->mEndpoint) {
      Asio::post(mCore->mContext,
                 [self = shared_from_this()] { self->finish(tl::unexpected(CallError::NotSent)); });
      return;
    }
    while (!mCore->mIdle.empty()) {
      const auto answeredAt = mCore->mIdle.back().mAnsweredAt;
      mStream = std::move(mCore->mIdle.back().mStream);
      mCore->mIdle.pop_back();
      if (!IsUsable(mStream->socket())) {
        continue;
      }
      if (answeredAt > mCore->mSilence->mSince) {
        mStream->expires_after(mTimeout);
        sendRequest();
        return;
      }
      if (mCore->mCheck) {
        mIsCheckOfKept = true;
        mStream->expires_after(std::min(checkTimeout(), mTimeout));
        sendCheck();
        return;
      }
    }
    connect(mTimeout);
  }

private:
  /// How long the next check waits for its connection and its answer.
  Common::Duration checkTimeout() const
  {
    return std::min(mCore->mCheck->mTimeout * (1 + mCore->mUnansweredChecks),
                    mCore->mCheck->mMaxTimeout);
  }

  void connect(Common::Duration aTimeout)
  {
    mStream = std::make_unique<Beast::tcp_stream>(mCore->mContext);
    mStream->expires_after(mCore->mCheck ? std::min(checkTimeout(), aTimeout) : aTimeout);
    mStream->async_connect(*mCore->mEndpoint, [self = shared_from_this()](ErrorCode aError) {
      if (aError == Asio::error::connection_refused) {
        self->finish(tl::unexpected(CallError::Refused));
        return;
      }
      if (aError) {
        self->handleNoConnection(aError);
        return;
      }
      SetSocketOptions(self->mStream->socket(), kUnansweredMs);
      self->handleConnected();
    });
  }

  void handleNoConnection(ErrorCode aError)
  {
    if (mIsCheckOfKept) {
      connectInsteadOfKept();
      return;
    }
    // Only silence is worth another check at once; it also bounds how soon that comes.
    if (aError != Beast::error::timeout || !mCore->mCheck || mCore->mClosed) {
      finish(tl::unexpected(CallError::NotSent));
      return;
    }
    ++mCore->mUnansweredChecks;
    const auto left = std::chrono::duration_cast<Common::Duration>(
      mConnectUntil - std::chrono::steady_clock::now());
    if (left < checkTimeout()) {
      finish(tl::unexpected(CallError::NotSent));
      return;
    }
    mCheckRequest.reset();
    mBuffer.clear();
    connect(left);
  }

  /// The other kept connections are left to calls that find no better one.
  void connectInsteadOfKept()
  {
    mIsCheckOfKept = false;
    mCheckRequest.reset();
    mBuffer.clear();
    const auto left = std::chrono::duration_cast<Common::Duration>(
      mConnectUntil - std::chrono::steady_clock::now());
    if (mCore->mClosed || left < checkTimeout()) {
      finish(tl::unexpected(CallError::NotSent));
      return;
    }
    connect(left);
  }

  void handleConnected()
  {
    if (!mCore->mCheck) {
      sendRequest();
      return;
    }
    sendCheck();
  }

  void sendCheck()
  {
    // The functions of the check may refer to the owner of the client.
    if (mCore->mClosed) {
      finish(tl::unexpected(CallError::NotSent));
      return;
    }
    mCheckRequest = MakeMessage(mCore->mCheck->mMakeRequest(), mCore->mHost);
    write(*mCheckRequest);
  }

  void sendRequest()
  {
    mAnswerDue = std::chrono::steady_clock::now() + mHold;
    write(mRequest);
  }

  void write(Http::request<Http::string_body>& aMessage)
  {
    Http::async_write(
      *mStream, aMessage, [self = shared_from_this()](ErrorCode aError, std::size_t) {
        if (aError) {
          self->finishWithoutAnswer(aError);
          return;
        }
        self->read();
      });
  }

  void read()
  {
    mParser.emplace();
    mParser->body_limit(kMaxAnswerBytes);
    mParser->eager(true);
    mReadingSince = std::chrono::steady_clock::now();
    readPart();
  }

  void readPart()
  {
    Http::async_read_some(
      *mStream, mBuffer, *mParser, [self = shared_from_this()](ErrorCode aError, std::size_t) {
        if (aError) {
          self->finishWithoutAnswer(aError);
          return;
        }
        if (self->mParser->is_done()) {
          self->takeAnswer();
          return;
        }
        self->growBuffer();
        self->mAnswerDue = std::chrono::steady_clock::now();
        if (self->mScope == TimeoutScope::EachPart) {
          self->mStream->expires_at(std::min(std::chrono::steady_clock::now() + self->mTimeout,
                                             self->mReadingSince + kMaxAnswerTime));
        }
        self->readPart();
      });
  }

  /// Beast reads as much as the buffer has room for, and by itself makes room for 512 bytes only.
  void growBuffer()
  {
    if (mParser->is_header_done()) {
      const std::uint64_t left = mParser->content_length_remaining().value_or(kMaxReadBytes);
      mBuffer.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(left, kMaxReadBytes)));
    }
  }

  void takeAnswer()
  {
    auto message = mParser->release();
    const bool isReusable = message.keep_alive() && mBuffer.size() == 0;
    ClientResponse response{ message.result_int(), std::move(message.body()) };
    if (mCheckRequest) {
      takeCheckAnswer(std::move(response), isReusable);
      return;
    }
    if (isReusable) {
      keepConnection();
    }
    finish(std::move(response));
  }

  void keepConnection()
  {
    if (mCore->mIdle.size() < kMaxIdle && !mCore->mClosed) {
      mStream->expires_never();
      mCore->mIdle.push_back({ std::move(mStream), std::chrono::steady_clock::now() });
    }
  }

  void takeCheckAnswer(ClientResponse aResponse, bool aIsReusable)
  {
    if (!aIsReusable && mIsCheckOfKept) {
      connectInsteadOfKept();
      return;
    }
    if (mCore->mClosed || !aIsReusable) {
      finish(tl::unexpected(CallError::NotSent));
      return;
    }
    mIsCheckOfKept = false;
    mCore->mUnansweredChecks = 0;
    if (!mCore->mCheck->mPasses(aResponse)) {
      aResponse.mFailedCheck = true;
      finish(std::move(aResponse));
      return;
    }
    if (mIsCheckEnough) {
      aResponse.mIsAnswerToCheck = true;
      keepConnection();
      finish(std::move(aResponse));
      return;
    }
    mCheckRequest.reset();
    mStream->expires_after(mTimeout);
    sendRequest();
  }

  void finishWithoutAnswer(ErrorCode aError)
  {
    if (mCheckRequest) {
      handleNoConnection(aError);
      return;
    }
    if (aError == Beast::error::timeout || aError == Asio::error::timed_out) {
      mCore->mSilence->mSince =
        std::max(mCore->mSilence->mSince, std::min(mAnswerDue, std::chrono::steady_clock::now()));
    }
    finish(tl::unexpected(CallError::NoAnswer));
  }

  void finish(CallResult aResult)
  {
    mStream.reset();
    const CallDone done = std::move(mDone);
    done(std::move(aResult));
  }

  std::shared_ptr<HttpClient::Core> mCore;
  Common::Duration mTimeout;
  /// No check begins that could end after this.
  std::chrono::steady_clock::time_point mConnectUntil;
  TimeoutScope mScope;
  bool mIsCheckEnough;
  Common::Duration mHold;
  /// The check under way is that of a kept connection.
  bool mIsCheckOfKept = false;
  /// When the answer, or its next part, was due from a server that answers at once.
  std::chrono::steady_clock::time_point mAnswerDue;
  std::chrono::steady_clock::time_point mReadingSince;
  CallDone mDone;
  std::unique_ptr<Beast::tcp_stream> mStream;
  Beast::flat_buffer mBuffer;
  Http::request<Http::string_body> mRequest;
  /// Set while the check of a new connection is under way.
  std::optional<Http::request<Http::string_body>> mCheckRequest;
  std::optional<Http::response_parser<Http::string_body>> mParser;
};

} // namespace

HttpClient::HttpClient(Asio::io_context& aContext,
                       const std::string& aAddress,
                       std::optional<ConnectionCheck> aCheck,
                       std::shared_ptr<ServerSilence> aSilence)
  : mCore(std::make_shared<Core>(aContext, aAddress, std::move(aCheck), std::move(aSilence)))
{
}

HttpClient::~HttpClient()
{
  mCore->mClosed = true;
  mCore->mIdle.clear();
}

void
HttpClient::call(ClientRequest aRequest,
                 Common::Duration aTimeout,
                 CallDone aDone,
                 TimeoutScope aScope)
{
  std::make_shared<Call>(mCore, std::move(aRequest), aTimeout, std::move(aDone), aScope)->start();
}

} // namespace Net
