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

} // namespace

struct HttpClient::Core
{
  Core(Asio::io_context& aContext, const std::string& aAddress)
    : mContext(aContext)
    , mEndpoint(ParseAddress(aAddress))
    , mHost(aAddress)
  {
  }

  Asio::io_context& mContext;
  std::optional<Tcp::endpoint> mEndpoint;
  std::string mHost;
  std::vector<std::unique_ptr<Beast::tcp_stream>> mIdle;
  bool mClosed = false;
};

namespace {

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
    , mScope(aScope)
    , mDone(std::move(aDone))
    , mRequest(Http::string_to_verb(aRequest.mMethod), aRequest.mTarget, 11)
  {
    mRequest.set(Http::field::host, mCore->mHost);
    for (const auto& [name, value] : aRequest.mHeaders) {
      mRequest.set(name, value);
    }
    if (!aRequest.mBody.empty()) {
      mRequest.set(Http::field::content_type, "application/json");
    }
    mRequest.body() = std::move(aRequest.mBody);
    if (!mRequest.body().empty() || mRequest.method() == Http::verb::post) {
      mRequest.prepare_payload();
    }
  }

  void start()
  {
    if (!mCore->mEndpoint) {
      Asio::post(mCore->mContext,
                 [self = shared_from_this()] { self->finish(tl::unexpected(CallError::NotSent)); });
      return;
    }
    while (!mCore->mIdle.empty()) {
      mStream = std::move(mCore->mIdle.back());
      mCore->mIdle.pop_back();
      if (IsUsable(mStream->socket())) {
        mStream->expires_after(mTimeout);
        write();
        return;
      }
    }
    mStream = std::make_unique<Beast::tcp_stream>(mCore->mContext);
    mStream->expires_after(mTimeout);
    mStream->async_connect(*mCore->mEndpoint, [self = shared_from_this()](ErrorCode aError) {
      if (aError) {
        self->finish(tl::unexpected(
          aError == Asio::error::connection_refused ? CallError::Refused : CallError::NotSent));
        return;
      }
      SetSocketOptions(self->mStream->socket(), kUnansweredMs);
      self->write();
    });
  }

private:
  void write()
  {
    Http::async_write(
      *mStream, mRequest, [self = shared_from_this()](ErrorCode aError, std::size_t) {
        if (aError) {
          self->finish(tl::unexpected(CallError::NoAnswer));
          return;
        }
        self->read();
      });
  }

  void read()
  {
    mParser.body_limit(kMaxAnswerBytes);
    mParser.eager(true);
    mReadingSince = std::chrono::steady_clock::now();
    readPart();
  }

  void readPart()
  {
    Http::async_read_some(
      *mStream, mBuffer, mParser, [self = shared_from_this()](ErrorCode aError, std::size_t) {
        if (aError) {
          self->finish(tl::unexpected(CallError::NoAnswer));
          return;
        }
        if (self->mParser.is_done()) {
          self->takeAnswer();
          return;
        }
        self->growBuffer();
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
    if (mParser.is_header_done()) {
      const std::uint64_t left = mParser.content_length_remaining().value_or(kMaxReadBytes);
      mBuffer.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(left, kMaxReadBytes)));
    }
  }

  void takeAnswer()
  {
    auto message = mParser.release();
    if (message.keep_alive() && mCore->mIdle.size() < kMaxIdle && !mCore->mClosed &&
        mBuffer.size() == 0) {
      mStream->expires_never();
      mCore->mIdle.push_back(std::move(mStream));
    }
    finish(ClientResponse{ message.result_int(), std::move(message.body()) });
  }

  void finish(CallResult aResult)
  {
    mStream.reset();
    const CallDone done = std::move(mDone);
    done(std::move(aResult));
  }

  std::shared_ptr<HttpClient::Core> mCore;
  Common::Duration mTimeout;
  TimeoutScope mScope;
  std::chrono::steady_clock::time_point mReadingSince;
  CallDone mDone;
  std::unique_ptr<Beast::tcp_stream> mStream;
  Beast::flat_buffer mBuffer;
  Http::request<Http::string_body> mRequest;
  Http::response_parser<Http::string_body> mParser;
};

} // namespace

HttpClient::HttpClient(Asio::io_context& aContext, const std::string& aAddress)
  : mCore(std::make_shared<Core>(aContext, aAddress))
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
