#include "Net/Link.h"

#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace Net {

using ErrorCode = boost::system::error_code;

namespace {

constexpr std::uint32_t kCompressedFlag = 0x80000000U;

} // namespace

std::shared_ptr<Link>
Link::adopt(Tcp::socket aSocket, Common::Duration aSilence)
{
  return std::make_shared<Link>(std::move(aSocket), aSilence);
}

void
Link::connect(Asio::io_context& aContext,
              const std::string& aAddress,
              Common::Duration aTimeout,
              Common::Duration aSilence,
              std::function<void(std::shared_ptr<Link>)> aConnected)
{
  const auto endpoint = ParseAddress(aAddress);
  if (!endpoint) {
    aConnected(nullptr);
    return;
  }
  struct Attempt
  {
    Attempt(Asio::io_context& aContext)
      : mSocket(aContext)
      , mTimer(aContext)
    {
    }
    Tcp::socket mSocket;
    Asio::steady_timer mTimer;
  };
  const auto attempt = std::make_shared<Attempt>(aContext);
  attempt->mTimer.expires_after(aTimeout);
  attempt->mTimer.async_wait([attempt](ErrorCode aError) {
    if (!aError) {
      ErrorCode ignored;
      attempt->mSocket.close(ignored);
    }
  });
  attempt->mSocket.async_connect(
    *endpoint, [attempt, aSilence, connected = std::move(aConnected)](ErrorCode aError) {
      attempt->mTimer.cancel();
      connected(aError ? nullptr : adopt(std::move(attempt->mSocket), aSilence));
    });
}

Link::Link(Tcp::socket aSocket, Common::Duration aSilence)
  : mSocket(std::move(aSocket))
  , mTimer(mSocket.get_executor())
  , mSilence(aSilence)
{
  SetSocketOptions(
    mSocket,
    static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(aSilence).count()));
}

void
Link::start(Events aEvents)
{
  mEvents = std::move(aEvents);
  touch();
  readLength();
}

void
Link::startCompression()
{
  if (!mCompressor) {
    mCompressor = std::make_unique<MessageCompressor>();
  }
}

void
Link::send(const std::string& aMessage)
{
  if (!mOpen) {
    return;
  }
  if (mQueuedBytes > kMaxQueuedBytes) {
    fail();
    return;
  }
  const std::string compressed = mCompressor ? mCompressor->compress(aMessage) : std::string();
  const std::string& body = mCompressor ? compressed : aMessage;
  const auto size = static_cast<std::uint32_t>(body.size()) | (mCompressor ? kCompressedFlag : 0U);
  std::string framed;
  framed.reserve(body.size() + 4);
  for (int shift = 24; shift >= 0; shift -= 8) {
    framed += static_cast<char>((size >> shift) & 0xffU);
  }
  framed += body;
  mQueuedBytes += framed.size();
  mQueue.push_back(std::move(framed));
  if (mQueue.size() == 1) {
    writeNext();
  }
}

void
Link::close()
{
  mOpen = false;
  mEvents = {};
  ErrorCode ignored;
  mTimer.cancel();
  mSocket.close(ignored);
}

void
Link::touch()
{
  mTimer.expires_after(mSilence);
  mTimer.async_wait([weak = weak_from_this()](ErrorCode aError) {
    const auto self = weak.lock();
    if (!aError && self) {
      self->fail();
    }
  });
}

void
Link::fail()
{
  if (!mOpen) {
    return;
  }
  const auto closed = std::move(mEvents.mClosed);
  close();
  if (closed) {
    closed();
  }
}

void
Link::readLength()
{
  Asio::async_read(
    mSocket, Asio::buffer(mLength), [self = shared_from_this()](ErrorCode aError, std::size_t) {
      if (aError || !self->mOpen) {
        self->fail();
        return;
      }
      std::uint32_t size = 0;
      for (const unsigned char byte : self->mLength) {
        size = (size << 8U) | byte;
      }
      self->mBodyIsCompressed = (size & kCompressedFlag) != 0;
      size &= ~kCompressedFlag;
      if (size > kMaxMessageBytes) {
        self->fail();
        return;
      }
      self->mBody.resize(size);
      self->readBody();
    });
}

void
Link::readBody()
{
  Asio::async_read(
    mSocket, Asio::buffer(mBody), [self = shared_from_this()](ErrorCode aError, std::size_t) {
      if (aError || !self->mOpen) {
        self->fail();
        return;
      }
      self->touch();
      self->mReceivedBytes = self->mLength.size() + self->mBody.size();
      if (self->mBodyIsCompressed && !self->decompressBody()) {
        self->fail();
        return;
      }
      // A copy, because the handler may close the link, which drops the events.
      const auto handler = self->mEvents.mMessage;
      if (handler) {
        handler(std::move(self->mBody));
      }
      if (self->mOpen) {
        self->readLength();
      }
    });
}

bool
Link::decompressBody()
{
  if (!mDecompressor) {
    mDecompressor = std::make_unique<MessageDecompressor>();
  }
  auto message = mDecompressor->decompress(mBody, kMaxMessageBytes);
  if (!message) {
    return false;
  }
  mBody = std::move(*message);
  return true;
}

void
Link::writeNext()
{
  Asio::async_write(mSocket,
                    Asio::buffer(mQueue.front()),
                    [self = shared_from_this()](ErrorCode aError, std::size_t) {
                      if (aError || !self->mOpen) {
                        self->fail();
                        return;
                      }
                      self->mQueuedBytes -= self->mQueue.front().size();
                      self->mQueue.pop_front();
                      if (!self->mQueue.empty()) {
                        self->writeNext();
                      }
                    });
}

struct LinkServer::Core
{
  Core(Asio::io_context& aContext,
       Common::Duration aSilence,
       std::function<void(std::shared_ptr<Link>)> aAccepted)
    : mAcceptor(aContext)
    , mSilence(aSilence)
    , mAccepted(std::move(aAccepted))
  {
  }
  Tcp::acceptor mAcceptor;
  Common::Duration mSilence;
  std::function<void(std::shared_ptr<Link>)> mAccepted;
};

LinkServer::LinkServer(Asio::io_context& aContext,
                       Common::Duration aSilence,
                       std::function<void(std::shared_ptr<Link>)> aAccepted)
  : mCore(std::make_shared<Core>(aContext, aSilence, std::move(aAccepted)))
{
}

LinkServer::~LinkServer()
{
  ErrorCode ignored;
  mCore->mAcceptor.close(ignored);
}

tl::expected<void, std::string>
LinkServer::listen(const std::string& aAddress)
{
  auto opened = OpenListener(mCore->mAcceptor, aAddress);
  if (!opened) {
    return opened;
  }
  acceptNext(mCore);
  return {};
}

Tcp::endpoint
LinkServer::address() const
{
  ErrorCode ignored;
  return mCore->mAcceptor.local_endpoint(ignored);
}

void
LinkServer::acceptNext(const std::shared_ptr<Core>& aCore)
{
  aCore->mAcceptor.async_accept([aCore](ErrorCode aError, Tcp::socket aSocket) {
    if (!aCore->mAcceptor.is_open()) {
      return;
    }
    if (!aError) {
      aCore->mAccepted(Link::adopt(std::move(aSocket), aCore->mSilence));
    }
    acceptNext(aCore);
  });
}

} // namespace Net
