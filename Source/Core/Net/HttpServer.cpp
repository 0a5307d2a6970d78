#include "Net/HttpServer.h"

#include <algorithm>
#include <utility>

#include "Net/HttpSession.h"

namespace Net {

using ErrorCode = boost::system::error_code;

namespace {

/// Budget of a server that shares none.
constexpr std::uint64_t kOwnBudgetBytes = 256 << 20;
/// Wait after a failed accept, most likely for want of descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };

/// The session to close in favour of a new one: the one that is idle longest, else the one whose
/// incomplete request is oldest. Null if all wait for their answers.
HttpSession*
SessionToClose(const HttpServer::Core& aCore)
{
  HttpSession* idle = nullptr;
  HttpSession* receiving = nullptr;
  for (HttpSession* session : aCore.mSessions) {
    if (session->idleSince() && (idle == nullptr || *session->idleSince() < *idle->idleSince())) {
      idle = session;
    }
    if (session->receivingSince() &&
        (receiving == nullptr || *session->receivingSince() < *receiving->receivingSince())) {
      receiving = session;
    }
  }
  return idle != nullptr ? idle : receiving;
}

/// Starts a session, in place of another one if there are too many.
void
Admit(Tcp::socket aSocket, const std::shared_ptr<HttpServer::Core>& aCore)
{
  if (aCore->mSessions.size() >= aCore->mLimits.mConnections) {
    HttpSession* const session = SessionToClose(*aCore);
    if (session == nullptr) {
      aCore->refuse(RefusalCause::Connections);
      return;
    }
    session->giveUp(session->idleSince() ? RefusalCause::IdleConnection
                                         : RefusalCause::Connections);
  }
  if (!std::make_shared<HttpSession>(std::move(aSocket), aCore)->start()) {
    aCore->refuse(RefusalCause::Connections);
  }
}

void
AcceptNext(const std::shared_ptr<HttpServer::Core>& aCore)
{
  aCore->mAcceptor.async_accept([aCore](ErrorCode aError, Tcp::socket aSocket) {
    if (aError == Asio::error::operation_aborted || !aCore->mAcceptor.is_open()) {
      return;
    }
    if (!aError) {
      Admit(std::move(aSocket), aCore);
      AcceptNext(aCore);
      return;
    }
    // The queue of the listener holds new connections meanwhile.
    aCore->mRetry.expires_after(kAcceptRetryDelay);
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
      Admit(std::move(socket), aCore);
    }
  }
}

} // namespace

std::string_view
CauseText(RefusalCause aCause)
{
  switch (aCause) {
    case RefusalCause::Budget:
      return "budget";
    case RefusalCause::HeldRequests:
      return "held_requests";
    case RefusalCause::SlowRequest:
      return "slow_request";
    case RefusalCause::UnreadAnswer:
      return "unread_answer";
    case RefusalCause::HeaderBytes:
      return "header_bytes";
    case RefusalCause::HeaderFields:
      return "header_fields";
    case RefusalCause::BodyBytes:
      return "body_bytes";
    case RefusalCause::IdleConnection:
      return "idle_connection";
    case RefusalCause::Connections:
      break;
  }
  return "connections";
}

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

HttpServer::Core::Core(Asio::io_context& aContext,
                       HttpLimits aLimits,
                       Handler aHandler,
                       HttpSharing aSharing)
  : mContext(aContext)
  , mAcceptor(aContext)
  , mRetry(aContext)
  , mLimits(aLimits)
  , mHandler(std::move(aHandler))
  , mSharing(std::move(aSharing))
{
  if (!mSharing.mBudget) {
    mSharing.mBudget = std::make_shared<ReceiveBudget>(kOwnBudgetBytes);
  }
}

void
HttpServer::Core::refuse(RefusalCause aCause) const
{
  if (mSharing.mOnRefusal) {
    mSharing.mOnRefusal(aCause);
  }
}

HttpServer::HttpServer(Asio::io_context& aContext,
                       HttpLimits aLimits,
                       Handler aHandler,
                       HttpSharing aSharing)
  : mCore(std::make_shared<Core>(aContext, aLimits, std::move(aHandler), std::move(aSharing)))
{
}

HttpServer::~HttpServer()
{
  stopListening();
  for (HttpSession* session : std::set<HttpSession*>(mCore->mSessions)) {
    session->close();
  }
}

tl::expected<void, std::string>
HttpServer::listen(const std::string& aAddress)
{
  auto opened = OpenListener(mCore->mAcceptor, aAddress, mCore->mLimits.mKernelBufferBytes);
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

const HttpLimits&
HttpServer::limits() const
{
  return mCore->mLimits;
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
  for (HttpSession* session : std::set<HttpSession*>(mCore->mSessions)) {
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
  for (HttpSession* session : std::set<HttpSession*>(mCore->mSessions)) {
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
