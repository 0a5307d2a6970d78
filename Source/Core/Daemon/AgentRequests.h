#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <Ibisshed_types.h>

#include "Admission/DeduplicationWindow.h"
#include "Daemon/Gates.h"
#include "Daemon/Runtime.h"
#include "Http/Announcement.h"
#include "Metering/Metering.h"

namespace Daemon {

/// The agent's side of requests: announced endpoints, their gates, and the window of request ids.
class AgentRequests
{
public:
  explicit AgentRequests(Runtime& aRuntime);
  /// Cuts off what endpoints still work on.
  ~AgentRequests();
  AgentRequests(const AgentRequests&) = delete;
  AgentRequests& operator=(const AgentRequests&) = delete;

  void announce(const Http::Announcement& aAnnouncement);
  /// Runs the request at an endpoint; blocks until it has ended or is refused.
  Rpc::Generated::ExecuteReply execute(const Rpc::Generated::ExecuteRequest& aRequest);
  Rpc::Generated::ExecuteReply queryOutcome(const std::string& aRequestId,
                                            std::int64_t aIncarnation);

  /// Drops endpoints that are silent, and old outcomes.
  void sweep();
  /// Refuses new requests from now on; those in progress finish.
  void drain(bool aOn);
  bool idle() const;

  std::vector<Rpc::Generated::EndpointReport> endpoints() const;
  Rpc::Generated::LoadReport load() const;
  Metering::UsageReport usage() const;
  void recordUse(const Metering::UsageKey& aKey, const Metering::Usage& aUse);
  Gates& gates() { return mGates; }

private:
  struct Endpoint
  {
    Http::Announcement mAnnounced;
    Common::Timestamp mHeard;
    Common::Revision mRevision;
  };
  struct Call
  {
    const Rpc::Generated::ExecuteRequest& mRequest;
    const Tables::Route* mRoute = nullptr;
    Admission::Request mAsked;
    std::string mEndpoint;
    std::string mAddress;
  };

  struct EndpointCall;

  Rpc::Generated::ExecuteReply admitAndRun(const Rpc::Generated::ExecuteRequest& aRequest);
  Rpc::Generated::ExecuteReply runAtEndpoint(const Call& aCall);
  void callEndpoint(EndpointCall& aCall);
  Rpc::Generated::ExecuteReply answerOf(EndpointCall& aCall, Http::ClientResult aResult);
  bool chooseEndpoint(const Common::PoolId& aPool, Call& aCall) const;
  void configureGate(Endpoint& aEndpoint, const TablesInForce& aTables);
  void shareWorker(const TablesInForce& aTables);
  void finish(const Common::RequestId& aId, const Rpc::Generated::ExecuteReply& aReply);
  Rpc::Generated::ExecuteReply fromWindow(const Admission::DeduplicationResult& aAnswer) const;
  void stamp(Rpc::Generated::ExecuteReply& aReply) const;

  Runtime& mRuntime;
  Gates mGates;
  mutable std::mutex mEndpointsMutex;
  std::map<std::string, Endpoint> mEndpoints;
  std::atomic<bool> mDraining{ false };
  std::mutex mWindowMutex;
  Admission::DeduplicationWindow mWindow;
  std::atomic<std::int64_t> mInProgress{ 0 };
  mutable std::mutex mMeterMutex;
  Metering::Meter mMeter;
  Observability::Distribution& mServiceTime;
  WorkerThreads mEndpointCalls;
};

} // namespace Daemon
