#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "Net/BoundedBody.h"
#include "Net/HttpServer.h"

namespace Net {

class HttpSession;

struct HttpServer::Core
{
  Core(Asio::io_context& aContext, HttpLimits aLimits, Handler aHandler, HttpSharing aSharing);

  void refuse(RefusalCause aCause) const;

  Asio::io_context& mContext;
  Tcp::acceptor mAcceptor;
  Asio::steady_timer mRetry;
  HttpLimits mLimits;
  Handler mHandler;
  HttpSharing mSharing;
  std::set<HttpSession*> mSessions;
  std::size_t mPending = 0;
  bool mClosing = false;
  bool mReadingEnded = false;
};

/// One connection of an HttpServer.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  using ErrorCode = boost::system::error_code;
  using Time = std::chrono::steady_clock::time_point;

  HttpSession(Tcp::socket aSocket, std::shared_ptr<HttpServer::Core> aCore);
  ~HttpSession();
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  /// Returns false if there is no room for the connection.
  bool start();
  /// A request that is on its way is lost unread, which its sender may send again. One that has
  /// arrived is read and answered: a read that has taken it in is not aborted, although its handler
  /// may not have run yet.
  void closeIfIdle();
  /// What a read has taken in is not lost: its handler may still run.
  void stopReading();
  void close();

  /// Since when no byte of a request was read; nullopt while there is one.
  std::optional<Time> idleSince() const;
  /// Since when an incomplete request is being read; nullopt if there is none.
  std::optional<Time> receivingSince() const;
  /// Ends the connection in favour of others: an incomplete request is answered with 503.
  void giveUp(RefusalCause aCause);

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

  void cancelRead();
  void readHeader();
  /// Reads the whole header before it is parsed, because the parser joins folded lines, which a
  /// balancer in front may read in another way.
  void readHeaderBytes();
  void beginReading();
  void closeOrReadOn();
  void takeHeaderBytes(std::size_t aEnd);
  /// Returns whether the header states the body in one way only; rejects the request otherwise.
  bool checkHeader();
  void continueBody();
  void readBody();
  /// Parses what was read of the body. Returns false if the request was rejected.
  bool parseBody();
  void rejectParseError(ErrorCode aError);
  void takeRequest();
  HttpRequest makeRequest();

  /// Reads up to aBytes and calls the member afterwards, unless the connection ends.
  void read(std::size_t aBytes, void (HttpSession::*aThen)());
  void takeBytes(std::size_t aSize);
  Time receiveDeadline() const;
  /// Bytes that the connection takes if its buffer has room for aMore bytes.
  std::uint64_t bytesWith(std::size_t aMore) const;
  /// Makes room for what the buffer adds to the body.
  bool reserveBody();

  void reject(unsigned aStatus, const std::string& aReason);
  /// Rejects a request that is beyond a limit of its own.
  void rejectFor(RefusalCause aCause);
  /// Answers that the service is overloaded. The request has not run.
  void refuse(RefusalCause aCause);
  void respond(HttpResponse aResponse);
  void afterWrite(ErrorCode aError);
  void drainInput();

  using Parser = boost::beast::http::request_parser<BoundedBody>;

  boost::beast::tcp_stream mStream;
  std::shared_ptr<HttpServer::Core> mCore;
  boost::beast::flat_buffer mBuffer;
  /// Bytes of the buffer that hold no end of the header.
  std::size_t mSearched = 0;
  /// Fields of the header that was parsed last.
  std::size_t mFields = 0;
  std::optional<Parser> mParser;
  boost::beast::http::response<boost::beast::http::string_body> mResponse;
  ReceiveBudget::Share mShare;
  bool mKeepAlive = true;
  State mState = State::Idle;
  const Time mOpenTime = std::chrono::steady_clock::now();
  Time mIdleSince = mOpenTime;
  /// First byte of the request, and start of the part that is being read: header or body.
  Time mRequestTime;
  Time mPartTime;
  /// Bytes of that part.
  std::uint64_t mReceivedBytes = 0;
  bool mClosesIfAborted = false;
  bool mIsClosed = false;
  /// A request is handled and not answered.
  bool mIsPending = false;
  /// Set if the connection was given up while a read was under way.
  std::optional<RefusalCause> mGivenUp;
  unsigned mVersion = 11;
};

} // namespace Net
