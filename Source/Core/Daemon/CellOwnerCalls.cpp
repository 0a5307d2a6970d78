#include <algorithm>

#include "Daemon/CellOwner.h"
#include "Daemon/Convert.h"

/// The calls that entries and agents make to the owner of a cell.
namespace Daemon {

namespace Wire = Rpc::Generated;

namespace {

Wire::SubmitReply
NotOwner()
{
  Wire::SubmitReply reply;
  reply.accepted = false;
  reply.reason = Wire::RefusalReason::NotOwner;
  reply.detail = "the instance does not own the cell";
  reply.retryAfterMicros = 1'000'000;
  return reply;
}

} // namespace

Wire::JoinReply
CellOwner::join(const Wire::JoinRequest& aRequest)
{
  Wire::JoinReply reply;
  const auto current = duty();
  if (!current || aRequest.info.dataCentre != mCell) {
    reply.reason = Wire::RefusalReason::NotOwner;
    const auto cell = mCells.find(aRequest.info.dataCentre);
    reply.ownerAddress = cell ? cell->ownerAddress : "";
    return reply;
  }
  Membership::JoinDecision decision;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    decision = Membership::AdmitJoin(mJoinGate, mRuntime.mClock.now());
  }
  if (!decision.mAdmitted) {
    reply.reason = Wire::RefusalReason::Throttled;
    reply.retryAfterMicros = decision.mRetryAfter.count();
    return reply;
  }
  current->mMembers->join(aRequest.info);
  reply.accepted = true;
  reply.ownerAddress = mRuntime.mRpcAddress;
  return reply;
}

Wire::ClaimKeyReply
CellOwner::claimKey(const Wire::ClaimKeyRequest& aRequest)
{
  const auto current = duty();
  if (!current) {
    Wire::ClaimKeyReply reply;
    reply.state = Wire::KeyState::Refused;
    reply.reason = Wire::RefusalReason::NotOwner;
    reply.retryAfterMicros = 1'000'000;
    return reply;
  }
  const auto standing = current->mMembers->claimStanding();
  return current->mKeys->claim(aRequest, standing.mMayAnswer, standing.mTakeover);
}

bool
CellOwner::settleKey(const Wire::SettleKeyRequest& aRequest)
{
  const auto current = duty();
  return current && current->mKeys->settle(aRequest);
}

Wire::SubmitReply
CellOwner::submitJob(const Wire::JobSpec& aJob)
{
  const auto current = duty();
  return current ? current->mJobs->submit(aJob) : NotOwner();
}

Wire::SubmitReply
CellOwner::cancelJob(const std::string& aJob)
{
  const auto current = duty();
  return current ? current->mJobs->cancel(aJob) : NotOwner();
}

std::vector<Wire::JobView>
CellOwner::showJobs(const std::string& aJob, std::int32_t aLimit)
{
  const auto current = duty();
  return current ? current->mJobs->show(aJob, static_cast<std::size_t>(std::max(aLimit, 1)))
                 : std::vector<Wire::JobView>();
}

Wire::MembersReply
CellOwner::members(std::int64_t aKnown, std::int32_t aLimit)
{
  const auto current = duty();
  if (current) {
    return current->mMembers->members(aKnown, static_cast<std::size_t>(std::max(aLimit, 1)));
  }
  Wire::MembersReply reply;
  if (const auto cell = mCells.find(mCell)) {
    reply.cell = *cell;
  }
  return reply;
}

std::vector<Wire::UsageRecord>
CellOwner::usage()
{
  const auto current = duty();
  return current ? current->mMembers->usage() : std::vector<Wire::UsageRecord>();
}

bool
CellOwner::drain(const std::string& aInstance, bool aOn)
{
  const auto current = duty();
  return current && current->mMembers->drain(aInstance, aOn);
}

bool
CellOwner::declareLost(const std::string& aCell)
{
  const auto current = duty();
  if (!current || aCell != mCell) {
    return false;
  }
  current->mMembers->declareLost();
  return true;
}

} // namespace Daemon
