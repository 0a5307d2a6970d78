#include "Daemon/ControlHandler.h"

#include <Control.h>

#include "Daemon/Convert.h"
#include "Daemon/Pages.h"

namespace Daemon {

namespace Wire = Rpc::Generated;

namespace {

class Handler final : public Wire::ControlIf
{
public:
  Handler(Runtime& aRuntime, SpreadService& aSpread, CellOwner& aOwner, AgentNode* aAgent)
    : mRuntime(aRuntime)
    , mSpread(aSpread)
    , mOwner(aOwner)
    , mAgent(aAgent)
  {
  }

  void execute(Wire::ExecuteReply& aReply, const Wire::ExecuteRequest& aRequest) override
  {
    aReply = mAgent != nullptr ? mAgent->requests().execute(aRequest) : notAnAgent();
  }
  void queryOutcome(Wire::ExecuteReply& aReply,
                    const std::string& aRequestId,
                    const std::int64_t aIncarnation) override
  {
    aReply =
      mAgent != nullptr ? mAgent->requests().queryOutcome(aRequestId, aIncarnation) : notAnAgent();
  }
  void heartbeat(Wire::HeartbeatReply& aReply, const Wire::HeartbeatRequest& aRequest) override
  {
    if (mAgent != nullptr) {
      aReply = mAgent->heartbeat(aRequest);
    }
  }
  void gossip(Wire::GossipMessage& aReply, const Wire::GossipMessage& aMessage) override
  {
    aReply = mSpread.answerGossip(aMessage);
  }
  void fetchRevision(Wire::RevisionReply& aReply,
                     const std::int64_t aHeldRevision,
                     const std::string& aHeldHash) override
  {
    aReply = mSpread.answerFetch(aHeldRevision, aHeldHash);
  }
  void join(Wire::JoinReply& aReply, const Wire::JoinRequest& aRequest) override
  {
    aReply = mOwner.join(aRequest);
  }
  void claimKey(Wire::ClaimKeyReply& aReply, const Wire::ClaimKeyRequest& aRequest) override
  {
    auto span = mRuntime.mTracer.start("owner.claim", FromWire(aRequest.trace));
    aReply = mOwner.claimKey(aRequest);
    span->SetTag("state", static_cast<int>(aReply.state));
  }
  bool settleKey(const Wire::SettleKeyRequest& aRequest) override
  {
    return mOwner.settleKey(aRequest);
  }
  void submitJob(Wire::SubmitReply& aReply,
                 const Wire::JobSpec& aJob,
                 const Wire::TraceContext& aTrace) override
  {
    auto span = mRuntime.mTracer.start("owner.submit", FromWire(aTrace));
    aReply = mOwner.submitJob(aJob);
    span->SetTag("job", aReply.jobId);
  }
  void cancelJob(Wire::SubmitReply& aReply, const std::string& aJob) override
  {
    aReply = mOwner.cancelJob(aJob);
  }
  void showJobs(std::vector<Wire::JobView>& aReply,
                const std::string& aJob,
                const std::int32_t aLimit) override
  {
    aReply = mOwner.showJobs(aJob, aLimit);
  }
  void members(Wire::MembersReply& aReply,
               const std::int64_t aKnown,
               const std::string& /*aPool*/,
               const std::int32_t aLimit) override
  {
    aReply = mOwner.members(aKnown, aLimit);
  }
  void usage(std::vector<Wire::UsageRecord>& aReply) override { aReply = mOwner.usage(); }
  bool drain(const std::string& aInstance, const bool aOn) override
  {
    return mOwner.drain(aInstance, aOn);
  }
  bool declareLost(const std::string& aCell) override { return mOwner.declareLost(aCell); }
  bool offerCell(const std::string& aCell) override { return mOwner.offered(aCell); }
  void trace(std::vector<std::string>& aReply, const std::string& aTrace) override
  {
    aReply = SpansOf(mRuntime, aTrace);
  }

private:
  Wire::ExecuteReply notAnAgent() const
  {
    Wire::ExecuteReply reply = RefusedReply(Common::Refusal::Invalid, "not an agent");
    reply.incarnation = mRuntime.mIncarnation.value();
    return reply;
  }

  Runtime& mRuntime;
  SpreadService& mSpread;
  CellOwner& mOwner;
  AgentNode* mAgent;
};

} // namespace

std::shared_ptr<Wire::ControlIf>
MakeControlHandler(Runtime& aRuntime, SpreadService& aSpread, CellOwner& aOwner, AgentNode* aAgent)
{
  return std::make_shared<Handler>(aRuntime, aSpread, aOwner, aAgent);
}

} // namespace Daemon
