#include "Net/Link.h"

#include <algorithm>
#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace Net {

using ErrorCode = boost::system::error_code;

namespace {

constexpr std::uint32_t kCompressedFlag = 0x80000000U;
/// What a link takes beside its messages: buffers, timer and the windows of the compression.
constexpr std::size_t kLinkBytes = 65'536;
/// Part of a message that is read first; each further one is as long as those before it.
constexpr std::size_t kFirstPartBytes = 16'384;
/// Wait after a failed accept, most likely for want of descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };

} // namespace

std::shared_ptr<Link>
Link::adopt(Tcp::socket aSocket, Common::Duration aSilence, std::shared_ptr<ReceiveBudget> aBudget)
{
  return std::make_shared<Link>(std::move(aSocket), aSilence, std::move(aBudget));
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

Link::Link(Tcp::socket aSocket, Common::Duration aSilence, std::shared_ptr<ReceiveBudget> aBudget)
  : mSocket(std::move(aSocket))
  , mTimer(mSocket.get_executor())
  , mSilence(aSilence)
{
  SetSocketOptions(
    mSocket,
    static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(aSilence).count()));
  if (aBudget) {
    mShare = std::make_unique<ReceiveBudget::Share>(std::move(aBudget), [this] {
      mShare->force(0);
      fail();
    });
  }
}

void
Link::start(Events aEvents)
{
  mEvents = std::move(aEvents);
  touch();
  if (!reserve(kLinkBytes)) {
    // Not at once, because the caller may not have stored the link yet.
    mTimer.expires_after(std::chrono::seconds(0));
    mTimer.async_wait([self = shared_from_this()](ErrorCode) { self->fail(); });
    return;
  }
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
      self->mBodyBytes = size;
      self->mBodyRead = 0;
      self->mBody.clear();
      if (self->mShare) {
        self->mShare->enter(ReceiveBudget::Phase::Receiving);
      }
      self->readBody();
    });
}

bool
Link::reserve(std::size_t aBytes)
{
  return !mShare || mShare->resize(aBytes);
}

void
Link::readBody()
{
  if (mBodyRead == mBodyBytes) {
    takeBody();
    return;
  }
  if (mBodyRead == mBody.size()) {
    const std::size_t size = std::min(mBodyBytes, std::max(kFirstPartBytes, 2 * mBodyRead));
    if (!reserve(kLinkBytes + size)) {
      fail();
      return;
    }
    mBody.resize(size);
  }
  mSocket.async_read_some(Asio::buffer(mBody.data() + mBodyRead, mBody.size() - mBodyRead),
                          [self = shared_from_this()](ErrorCode aError, std::size_t aSize) {
                            if (aError || !self->mOpen) {
                              self->fail();
                              return;
                            }
                            self->mBodyRead += aSize;
                            if (self->mShare) {
                              self->mShare->addProgress(aSize);
                            }
                            self->readBody();
                          });
}

void
Link::takeBody()
{
  touch();
  mHasReceived = true;
  if (mShare) {
    mShare->enter(ReceiveBudget::Phase::Held);
  }
  mReceivedBytes = mLength.size() + mBody.size();
  if (mBodyIsCompressed && !decompressBody()) {
    fail();
    return;
  }
  // A copy, because the handler may close the link, which drops the events.
  const auto handler = mEvents.mMessage;
  if (handler) {
    handler(std::move(mBody));
  }
  mBody = {};
  if (mOpen) {
    reserve(kLinkBytes);
    readLength();
  }
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
       std::function<void(std::shared_ptr<Link>)> aAccepted,
       LinkSharing aSharing)
    : mAcceptor(aContext)
    , mRetry(aContext)
    , mSilence(aSilence)
    , mAccepted(std::move(aAccepted))
    , mSharing(std::move(aSharing))
  {
  }
  Tcp::acceptor mAcceptor;
  Asio::steady_timer mRetry;
  Common::Duration mSilence;
  std::function<void(std::shared_ptr<Link>)> mAccepted;
  LinkSharing mSharing;
  /// Oldest first.
  std::deque<std::weak_ptr<Link>> mLinks;
};

LinkServer::LinkServer(Asio::io_context& aContext,
                       Common::Duration aSilence,
                       std::function<void(std::shared_ptr<Link>)> aAccepted,
                       LinkSharing aSharing)
  : mCore(std::make_shared<Core>(aContext, aSilence, std::move(aAccepted), std::move(aSharing)))
{
}

LinkServer::~LinkServer()
{
  ErrorCode ignored;
  mCore->mAcceptor.close(ignored);
  mCore->mRetry.cancel();
}

tl::expected<void, std::string>
LinkServer::listen(const std::string& aAddress)
{
  auto opened = OpenListener(mCore->mAcceptor, aAddress, mCore->mSharing.mKernelBufferBytes);
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

std::size_t
LinkServer::links() const
{
  return static_cast<std::size_t>(
    std::count_if(mCore->mLinks.begin(), mCore->mLinks.end(), [](const auto& aWeak) {
      const auto link = aWeak.lock();
      return link && link->isOpen();
    }));
}

void
LinkServer::acceptNext(const std::shared_ptr<Core>& aCore)
{
  aCore->mAcceptor.async_accept([aCore](ErrorCode aError, Tcp::socket aSocket) {
    if (!aCore->mAcceptor.is_open()) {
      return;
    }
    if (!aError) {
      admit(std::move(aSocket), *aCore);
      acceptNext(aCore);
      return;
    }
    aCore->mRetry.expires_after(kAcceptRetryDelay);
    aCore->mRetry.async_wait([aCore](ErrorCode aTimerError) {
      if (!aTimerError) {
        acceptNext(aCore);
      }
    });
  });
}

void
LinkServer::admit(Tcp::socket aSocket, Core& aCore)
{
  std::erase_if(aCore.mLinks, [](const auto& aWeak) {
    const auto link = aWeak.lock();
    return !link || !link->isOpen();
  });
  if (aCore.mLinks.size() >= aCore.mSharing.mLinks) {
    if (aCore.mSharing.mOnRefusal) {
      aCore.mSharing.mOnRefusal();
    }
    const auto silent =
      std::find_if(aCore.mLinks.begin(), aCore.mLinks.end(), [](const auto& aWeak) {
        return !aWeak.lock()->hasReceived();
      });
    if (silent == aCore.mLinks.end()) {
      return;
    }
    const auto link = silent->lock();
    aCore.mLinks.erase(silent);
    link->fail();
  }
  const auto link = Link::adopt(std::move(aSocket), aCore.mSilence, aCore.mSharing.mBudget);
  aCore.mLinks.push_back(link);
  aCore.mAccepted(link);
}

} // namespace Net
