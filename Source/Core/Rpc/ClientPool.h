#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <Ibisshed_types.h>
#include <tl/expected.hpp>

#include "Common/Clock.h"

/// Messages between the processes, and the adapters that carry them.
namespace Rpc {

/// Frames above this size are refused by both sides.
constexpr std::int32_t kMaxFrame = 16 << 20;

struct CallError
{
  /// False only if it is certain that the peer cannot have seen the whole request: no connection
  /// was made, or it failed before the last byte was handed to the system.
  bool mMayHaveBeenDelivered = true;
  std::string mText;
};

template<typename Value>
using CallResult = tl::expected<Value, CallError>;

struct ClientPoolSettings
{
  /// Connections to one peer, and so calls in progress to it; a call above is refused at once.
  std::size_t mMaxPerPeer = 64;
  Common::Duration mConnectTimeout{ std::chrono::milliseconds(500) };
  /// Connections that are idle for longer are not used again. The server ends idle ones later, so
  /// that a call does not meet a connection that is just being closed.
  Common::Duration mMaxIdle{ std::chrono::seconds(20) };
};

/// Keeps connections to peers by their "ip:port" address. Safe to use from several threads; a call
/// blocks its thread until the answer, an error or the timeout.
class ClientPool
{
public:
  ClientPool(ClientPoolSettings aSettings, const Common::Clock& aClock);
  ~ClientPool();
  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;

  CallResult<Generated::ExecuteReply> execute(const std::string& aPeer,
                                              const Generated::ExecuteRequest& aRequest,
                                              Common::Duration aTimeout);
  CallResult<Generated::ExecuteReply> queryOutcome(const std::string& aPeer,
                                                   const std::string& aRequestId,
                                                   std::int64_t aIncarnation,
                                                   Common::Duration aTimeout);
  CallResult<Generated::HeartbeatReply> heartbeat(const std::string& aPeer,
                                                  const Generated::HeartbeatRequest& aRequest,
                                                  Common::Duration aTimeout);
  CallResult<Generated::GossipMessage> gossip(const std::string& aPeer,
                                              const Generated::GossipMessage& aMessage,
                                              Common::Duration aTimeout);
  CallResult<Generated::RevisionReply> fetchRevision(const std::string& aPeer,
                                                     std::int64_t aHeldRevision,
                                                     const std::string& aHeldHash,
                                                     Common::Duration aTimeout);
  CallResult<Generated::JoinReply> join(const std::string& aPeer,
                                        const Generated::JoinRequest& aRequest,
                                        Common::Duration aTimeout);
  CallResult<Generated::ClaimKeyReply> claimKey(const std::string& aPeer,
                                                const Generated::ClaimKeyRequest& aRequest,
                                                Common::Duration aTimeout);
  CallResult<bool> settleKey(const std::string& aPeer,
                             const Generated::SettleKeyRequest& aRequest,
                             Common::Duration aTimeout);
  CallResult<Generated::SubmitReply> submitJob(const std::string& aPeer,
                                               const Generated::JobSpec& aJob,
                                               const Generated::TraceContext& aTrace,
                                               Common::Duration aTimeout);
  CallResult<Generated::SubmitReply> cancelJob(const std::string& aPeer,
                                               const std::string& aJobId,
                                               Common::Duration aTimeout);
  CallResult<std::vector<Generated::JobView>> showJobs(const std::string& aPeer,
                                                       const std::string& aJobId,
                                                       std::int32_t aLimit,
                                                       Common::Duration aTimeout);
  CallResult<Generated::MembersReply> members(const std::string& aPeer,
                                              std::int64_t aKnownVersion,
                                              const std::string& aPool,
                                              std::int32_t aMaxMembers,
                                              Common::Duration aTimeout);
  CallResult<std::vector<Generated::UsageRecord>> usage(const std::string& aPeer,
                                                        Common::Duration aTimeout);
  CallResult<bool> drain(const std::string& aPeer,
                         const std::string& aInstance,
                         bool aOn,
                         Common::Duration aTimeout);
  CallResult<bool> declareLost(const std::string& aPeer,
                               const std::string& aCell,
                               Common::Duration aTimeout);
  CallResult<bool> offerCell(const std::string& aPeer,
                             const std::string& aCell,
                             Common::Duration aTimeout);
  CallResult<std::vector<std::string>> trace(const std::string& aPeer,
                                             const std::string& aTraceId,
                                             Common::Duration aTimeout);

  /// Closes connections that are idle for too long, and forgets peers without connections.
  void prune();
  /// Open connections over all peers.
  std::size_t connections() const;

private:
  struct Inner;
  template<typename Reply, typename Call>
  CallResult<Reply> run(const std::string& aPeer, Common::Duration aTimeout, Call aCall);

  std::unique_ptr<Inner> mInner;
};

} // namespace Rpc
