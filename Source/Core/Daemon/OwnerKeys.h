#pragma once

#include <mutex>

#include <Ibisshed_types.h>

#include "Daemon/Runtime.h"
#include "Dispatch/IdempotencyKeys.h"

namespace Daemon {

/// The idempotency keys of one term of ownership.
class OwnerKeys
{
public:
  OwnerKeys(Runtime& aRuntime, std::int64_t aEpoch);

  /// aMayAnswer and aTakeover are the standing of the owner now.
  Rpc::Generated::ClaimKeyReply claim(const Rpc::Generated::ClaimKeyRequest& aRequest,
                                      bool aMayAnswer,
                                      std::optional<Common::UnixMillis> aTakeover);
  bool settle(const Rpc::Generated::SettleKeyRequest& aRequest);
  void sweep();

private:
  Runtime& mRuntime;
  std::int64_t mEpoch;
  std::mutex mMutex;
  Dispatch::IdempotencyKeyRegistry mRegistry;
};

} // namespace Daemon
