#include "Node/CoordinatorLink.h"

#include <boost/asio/post.hpp>

#include "Node/WireConversion.h"
#include "Observability/Log.h"

namespace Node {

namespace {

/// Interval of the check for calls past their deadline, and so the precision of the deadlines.
constexpr std::chrono::milliseconds kCheckInterval{ 100 };
/// An empty status query goes out on a link that was idle for this long, so that the coordinator
/// does not take this entry for lost.
constexpr std::chrono::milliseconds kKeepAliveInterval{ 500 };

} // namespace

CoordinatorLink::CoordinatorLink(Context& aContext)
  : mContext(aContext)
  , mConnectTimer(aContext.mIo)
  , mCheckTimer(aContext.mIo)
{
  scheduleCheck();
}

CoordinatorLink::~CoordinatorLink()
{
  if (mLink) {
    mLink->close();
  }
}

void
CoordinatorLink::setAddress(const std::string& aAddress)
{
  if (aAddress == mAddress) {
    return;
  }
  mAddress = aAddress;
  if (mLink) {
    mLink->close();
    mLink.reset();
  }
  failCallsDueBy(Timestamp::max());
  connect();
}

void
CoordinatorLink::connect()
{
  if (mAddress.empty() || mConnecting || mLink) {
    return;
  }
  mConnecting = true;
  Net::Link::connect(mContext.mIo,
                     mAddress,
                     mContext.mTiming.mConnectTimeout,
                     mContext.mTiming.mPeerTimeout,
                     [this, address = mAddress](std::shared_ptr<Net::Link> aLink) {
                       mConnecting = false;
                       if (!aLink || address != mAddress) {
                         if (aLink) {
                           aLink->close();
                         }
                         scheduleConnect();
                         return;
                       }
                       mLink = std::move(aLink);
                       mLink->start({ [this](const std::string& aBytes) { handleMessage(aBytes); },
                                      [this] {
                                        mLink.reset();
                                        failCallsDueBy(Timestamp::max());
                                        scheduleConnect();
                                      } });
                       sendKeepAlive();
                     });
}

void
CoordinatorLink::scheduleConnect()
{
  mConnectTimer.expires_after(mContext.mTiming.mReconnectDelay);
  mConnectTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      connect();
    }
  });
}

void
CoordinatorLink::send(Wire::Message& aMessage)
{
  mLastSent = mContext.now();
  mLink->send(Wire::Encode(aMessage));
}

void
CoordinatorLink::queryStatus(const Common::JobId& aJob,
                             const Common::RouteId& aQueue,
                             std::function<void(std::optional<Wire::StatusReply>)> aDone)
{
  if (!mLink) {
    boost::asio::post(mContext.mIo, [done = std::move(aDone)] { done(std::nullopt); });
    return;
  }
  Wire::StatusQuery query;
  query.number = mNextNumber++;
  query.job = aJob.str();
  query.queue = aQueue.str();
  Wire::Message message;
  message.__set_statusQuery(query);
  call(query.number,
       message,
       mContext.mTiming.mStatusQueryTimeout,
       [done = std::move(aDone)](const Wire::Message* aAnswer) {
         done(aAnswer != nullptr ? std::make_optional(aAnswer->statusReply) : std::nullopt);
       });
}

void
CoordinatorLink::call(std::int64_t aNumber,
                      Wire::Message& aMessage,
                      Duration aTimeout,
                      AnswerCallback aDone)
{
  mPendingCalls[aNumber] = { std::move(aDone), mContext.now() + aTimeout };
  send(aMessage);
}

void
CoordinatorLink::write(const Store::Transaction& aTransaction,
                       Duration aTimeout,
                       WriteCallback aDone)
{
  if (!mLink) {
    boost::asio::post(mContext.mIo, [done = std::move(aDone)] {
      done(tl::unexpected(Store::WriteFailure{ Store::StoreError::Unavailable, {} }));
    });
    return;
  }
  const std::int64_t number = mNextNumber++;
  Wire::Message message;
  message.__set_relayedWrite(ToWire(number, aTransaction));
  call(number, message, aTimeout, [done = std::move(aDone)](const Wire::Message* aAnswer) {
    if (aAnswer == nullptr) {
      done(tl::unexpected(Store::WriteFailure{ Store::StoreError::Unknown, {} }));
      return;
    }
    done(FromWire(aAnswer->relayedResult));
  });
}

void
CoordinatorLink::failCallsDueBy(Timestamp aNow)
{
  std::vector<AnswerCallback> failed;
  for (auto pending = mPendingCalls.begin(); pending != mPendingCalls.end();) {
    if (pending->second.mDeadline <= aNow) {
      failed.push_back(std::move(pending->second.mDone));
      pending = mPendingCalls.erase(pending);
    } else {
      ++pending;
    }
  }
  for (const AnswerCallback& done : failed) {
    done(nullptr);
  }
}

void
CoordinatorLink::handleMessage(const std::string& aBytes)
{
  const auto message = Wire::Decode<Wire::Message>(aBytes);
  if (!message) {
    Observability::Log(
      Observability::Level::Warning, "entry", "dropped a message that cannot be decoded");
    return;
  }
  const std::int64_t number = message->__isset.statusReply     ? message->statusReply.number
                              : message->__isset.relayedResult ? message->relayedResult.number
                                                               : 0;
  if (auto pending = mPendingCalls.extract(number)) {
    pending.mapped().mDone(&*message);
  }
}

void
CoordinatorLink::setCandidate(bool aCandidate)
{
  mCandidate = aCandidate;
  if (mLink) {
    sendKeepAlive();
  }
}

void
CoordinatorLink::sendKeepAlive()
{
  Wire::StatusQuery query;
  query.number = 0;
  query.candidate = mCandidate;
  query.instance = mContext.mSettings.mInstance.str();
  Wire::Message message;
  message.__set_statusQuery(query);
  send(message);
}

void
CoordinatorLink::scheduleCheck()
{
  mCheckTimer.expires_after(kCheckInterval);
  mCheckTimer.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    const Timestamp now = mContext.now();
    if (mLink && now - mLastSent >= kKeepAliveInterval) {
      sendKeepAlive();
    }
    failCallsDueBy(now);
    scheduleCheck();
  });
}

} // namespace Node
