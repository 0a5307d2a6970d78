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

/// An entry's connection to the coordinator: status queries and relayed writes.
class CoordinatorLink
{
public:
  explicit CoordinatorLink(Context& aContext);
  ~CoordinatorLink();
  CoordinatorLink(const CoordinatorLink&) = delete;
  CoordinatorLink& operator=(const CoordinatorLink&) = delete;

  /// Whether this entry offers itself as a successor of the coordinator.
  void setCandidate(bool aCandidate);
  /// Sets the coordinator's address, "" if there is none. A new address ends the pending calls
  /// unanswered.
  void setAddress(const std::string& aAddress);
  /// Asks for the state of aJob, or for the number of pending jobs of aQueue. aDone gets nullopt if
  /// no coordinator answered within TimingConstants::mStatusQueryTimeout.
  void queryStatus(const Common::JobId& aJob,
                   const Common::RouteId& aQueue,
                   std::function<void(std::optional<Wire::StatusReply>)> aDone);

  bool isConnected() const { return mLink != nullptr; }
  /// Whether this process is the coordinator.
  bool isOwnProcess() const { return mAddress == mContext.mSettings.mPeerAddress; }

  using WriteCallback = std::function<void(tl::expected<Store::Version, Store::WriteFailure>)>;
  /// Relays a write through the coordinator's process; the write must be idempotent. The error is
  /// Unavailable if nothing was written, Unknown if no answer came.
  void write(const Store::Transaction& aTransaction, Duration aTimeout, WriteCallback aDone);

private:
  /// Gets the answer, nullptr if none came in time.
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
  /// Sends a message and registers aDone for the answer, which has the same number.
  void call(std::int64_t aNumber, Wire::Message& aMessage, Duration aTimeout, AnswerCallback aDone);
  /// Ends the calls whose deadline is aNow or earlier as unanswered.
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
