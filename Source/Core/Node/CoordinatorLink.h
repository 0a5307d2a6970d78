#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "Net/Link.h"
#include "Node/Context.h"
#include "Wire/Codec.h"

namespace Node {

/// An entry's questions to the coordinator.
class CoordinatorLink
{
public:
  explicit CoordinatorLink(Context& aContext);
  ~CoordinatorLink();
  CoordinatorLink(const CoordinatorLink&) = delete;
  CoordinatorLink& operator=(const CoordinatorLink&) = delete;

  /// Whether this entry says that it can become the coordinator.
  void setCandidate(bool aCandidate) { mCandidate = aCandidate; }
  /// "" if there is no coordinator now.
  void setAddress(const std::string& aAddress);
  /// Nothing if no coordinator answered within the time that a caller may be kept waiting for it.
  void queryStatus(const Common::JobId& aJob,
                   const Common::RouteId& aQueue,
                   std::function<void(std::optional<Wire::StatusReply>)> aDone);

  bool isConnected() const { return mLink != nullptr; }

  using WriteCallback = std::function<void(tl::expected<Store::Version, Store::WriteFailure>)>;
  /// Asks the coordinator's process to make a write, which must be idempotent. Unavailable means
  /// that nothing was done, Unknown that no answer came.
  void write(const Store::Transaction& aTransaction, Duration aTimeout, WriteCallback aDone);

private:
  /// Takes the answer, nothing if none came in time.
  using AnswerCallback = std::function<void(const Wire::Message*)>;
  struct PendingCall
  {
    AnswerCallback mDone;
    Timestamp mDeadline;
  };

  void connect();
  void scheduleConnect();
  void handleMessage(const std::string& aBytes);
  void send(Wire::Message& aMessage);
  void scheduleCheck();
  void sendKeepAlive();
  /// Sends the message with this number and waits for the one that answers it.
  void call(std::int64_t aNumber, Wire::Message& aMessage, Duration aTimeout, AnswerCallback aDone);
  /// Ends the calls that wait until aNow or earlier without an answer.
  void failCallsDueBy(Timestamp aNow);

  Context& mContext;
  std::string mAddress;
  std::shared_ptr<Net::Link> mLink;
  bool mConnecting = false;
  bool mCandidate = true;
  std::int64_t mNextNumber = 1;
  std::map<std::int64_t, PendingCall> mPendingCalls;
  boost::asio::steady_timer mConnectTimer;
  boost::asio::steady_timer mCheckTimer;
  Timestamp mLastSent;
};

} // namespace Node
