#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>

#include "Daemon/EntryDispatch.h"

namespace Daemon {

/// One request under way: performs the actions of StepRequest and feeds the results back. Calls run
/// on the thread that drives it, but for those of hedging routes, which run beside each other.
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
  RequestRun(EntryDispatch& aOwner, CallerRequest aRequest, std::uint64_t aSequence);

  /// Queues at the entry; the refusal if there is one.
  std::optional<CallerAnswer> enter();
  /// Drives the request until the caller's answer is known.
  CallerAnswer untilAnswered();
  /// Drives it until nothing is left to do.
  void untilClosed();
  bool closed() const { return mClosed; }
  void leave();

private:
  void step(const Dispatch::RequestEvent& aEvent);
  void perform(const Dispatch::RequestAction& aAction);
  void drive(const bool& aUntil);
  void push(Dispatch::RequestEvent aEvent);
  void claim(const Dispatch::RequestAction& aAction);
  void send(const Dispatch::RequestAction& aAction);
  void query(const Dispatch::RequestAction& aAction);
  void settle(const Dispatch::RequestAction& aAction);
  void answer(const Dispatch::RequestAction& aAction);
  void noteReply(const Dispatch::RequestAction& aAction,
                 const Rpc::Generated::ExecuteReply& aReply);
  Rpc::Generated::ExecuteRequest messageFor(const Dispatch::RequestAction& aAction) const;
  std::optional<std::string> ownerAddress() const;

  EntryDispatch& mOwner;
  Runtime& mRuntime;
  CallerRequest mRequest;
  std::shared_ptr<PoolShard> mShard;
  Dispatch::RequestState mState;
  Dispatch::DispatchRules mRules;
  Dispatch::Location mHere;
  Admission::Request mAsked;

  std::mutex mMutex;
  std::condition_variable mArrived;
  std::deque<Dispatch::RequestEvent> mEvents;
  std::map<Common::RequestId, Rpc::Generated::ExecuteReply> mReplies;

  std::optional<Rpc::Generated::ExecuteReply> mStored;
  std::int64_t mKeyEpoch = 0;
  Common::Timestamp mWakeAt;
  bool mAnswered = false;
  bool mClosed = false;
  bool mLeft = false;
  CallerAnswer mAnswer;
};

} // namespace Daemon
