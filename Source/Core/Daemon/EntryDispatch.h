#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include <Ibisshed_types.h>

#include "Daemon/EntryPools.h"
#include "Daemon/Peers.h"
#include "Daemon/Runtime.h"
#include "Http/Message.h"

namespace Daemon {

/// A request of a caller, matched to its route.
struct CallerRequest
{
  Http::Request mHttp;
  std::shared_ptr<const TablesInForce> mTables;
  const Tables::Route* mRoute = nullptr;
  Common::ClientId mClient;
  std::optional<Common::IdempotencyKey> mKey;
  std::optional<Common::UnixMillis> mKeyTime;
  Common::Timestamp mArrived;
  Common::Timestamp mDeadline;
  Observability::TraceContext mTrace;
};

/// What the caller is told. mReply is set only if the request ran and its answer is known.
struct CallerAnswer
{
  Common::Outcome mOutcome = Common::Outcome::NotRun;
  Common::Refusal mReason = Common::Refusal::None;
  Common::Duration mRetryAfter{ 0 };
  std::optional<Rpc::Generated::ExecuteReply> mReply;
};

/// Runs requests: queue, choice of agent, retries and keys, by the decisions of the Dispatch
/// library.
class EntryDispatch
{
public:
  EntryDispatch(Runtime& aRuntime, EntryPools& aPools, CellBook& aCells);
  ~EntryDispatch();
  EntryDispatch(const EntryDispatch&) = delete;
  EntryDispatch& operator=(const EntryDispatch&) = delete;

  /// Blocks until the caller's answer is known, at the latest shortly after the deadline. What is
  /// left to do for the request then continues on a thread of its own.
  CallerAnswer run(CallerRequest aRequest);

  /// Waits for what continues after answers.
  void stop();
  std::int64_t inProgress() const { return mInProgress.load(); }
  /// The data centre whose cell owner keeps the keys of the client.
  std::string homeCell(const TablesInForce& aTables, const Common::ClientId& aClient) const;

private:
  friend class RequestRun;

  Runtime& mRuntime;
  EntryPools& mPools;
  CellBook& mCells;
  std::atomic<std::uint64_t> mSequence{ 0 };
  std::atomic<std::int64_t> mInProgress{ 0 };
  /// Requests that are followed after their answer, and second attempts of hedged requests.
  WorkerThreads mFollowers;
};

} // namespace Daemon
