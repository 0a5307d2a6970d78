#include "UnitTests/Dispatch/RequestSimulation.h"

using namespace std::chrono_literals;

namespace Simulation {

using Common::Outcome;
using Dispatch::CallResult;
using Dispatch::Delivery;
using Dispatch::RequestAction;
using Dispatch::RequestActionKind;

void
RequestSimulation::restartEntry(std::size_t aEntry)
{
  SimulatedEntry& entry = mEntries[aEntry];
  if (!entry.mRunning) {
    return;
  }
  std::vector<std::uint32_t> interrupted;
  for (const auto& [sequence, active] : entry.mActiveRequests) {
    if (!active.mState.mAnswered) {
      mChecker.connectionEnded(active.mSubmission);
      interrupted.push_back(active.mCaller);
    }
  }
  const Common::Incarnation next = entry.mIncarnation + Common::Incarnation(1);
  entry = SimulatedEntry{};
  entry.mIncarnation = next;
  entry.mRunning = false;
  schedule(randomDelay(500), [this, aEntry] {
    mEntries[aEntry].mRunning = true;
    refreshPools();
  });
  for (const std::uint32_t caller : interrupted) {
    receiveAnswer(caller, std::nullopt);
  }
}

void
RequestSimulation::refreshPools()
{
  for (SimulatedEntry& entry : mEntries) {
    for (std::size_t i = 0; i < mAgents.size(); ++i) {
      const SimulatedAgent& agent = mAgents[i];
      if (!agent.mRunning || chance(mConfig.mLossPercent)) {
        continue;
      }
      Dispatch::AgentReport report;
      report.mInstance = Common::InstanceId(std::to_string(i));
      report.mIncarnation = agent.mIncarnation;
      report.mSlotsLimit = static_cast<std::int32_t>(mConfig.mSlots);
      report.mSlotsInUse = static_cast<std::int32_t>(agent.mInProgressAtEndpoint);
      report.mLeaving = agent.mLeaving && chance(50);
      Dispatch::ApplyReport(entry.mPool, report, mAgents.size(), mNow, mRandom);
    }
  }
  if (mNow < Timestamp(1h + 30s)) {
    schedule(500ms, [this] { refreshPools(); });
  }
}

void
RequestSimulation::applyEvent(std::size_t aEntry,
                              Common::Incarnation aIncarnation,
                              std::uint64_t aSequence,
                              const Dispatch::RequestEvent& aEvent)
{
  SimulatedEntry& entry = mEntries[aEntry];
  const auto active = entry.mActiveRequests.find(aSequence);
  if (!entry.mRunning || entry.mIncarnation != aIncarnation ||
      active == entry.mActiveRequests.end()) {
    return;
  }
  Dispatch::DispatchContext context{ entry.mPool, entry.mBudget, mLocation, mRules };
  const auto actions = Dispatch::StepRequest(active->second.mState, aEvent, context, mNow, mRandom);
  for (const RequestAction& action : actions) {
    perform(aEntry, aSequence, action);
  }
}

void
RequestSimulation::perform(std::size_t aEntry,
                           std::uint64_t aSequence,
                           const RequestAction& aAction)
{
  const Common::Incarnation incarnation = mEntries[aEntry].mIncarnation;
  switch (aAction.mKind) {
    case RequestActionKind::Claim:
      claimKey(aEntry, aSequence, aAction);
      return;
    case RequestActionKind::Send:
      execute(aEntry, aSequence, aAction);
      return;
    case RequestActionKind::Query:
      query(aEntry, aSequence, aAction);
      return;
    case RequestActionKind::Answer:
      answerCaller(aEntry, aSequence, aAction);
      return;
    case RequestActionKind::Settle:
      settleKey(aEntry, aSequence, aAction);
      return;
    case RequestActionKind::WakeAt:
      schedule(std::max(Duration(1), Duration(aAction.mWakeTime - mNow)),
               [=, this] { applyEvent(aEntry, incarnation, aSequence, Dispatch::Tick{}); });
      return;
    case RequestActionKind::Close:
      mEntries[aEntry].mActiveRequests.erase(aSequence);
      return;
  }
}

void
RequestSimulation::answerCaller(std::size_t aEntry,
                                std::uint64_t aSequence,
                                const RequestAction& aAction)
{
  ActiveRequest& active = mEntries[aEntry].mActiveRequests.at(aSequence);
  std::string body =
    aAction.mId.empty() ? active.mStoredReplyBody : active.mReplyBodies[aAction.mId];
  if (mConfig.mInjectedFault == InjectedFault::WrongBody &&
      !mEntries[aEntry].mActiveRequests.empty()) {
    for (const auto& [id, reply] : mEntries[aEntry].mActiveRequests.begin()->second.mReplyBodies) {
      body = reply;
    }
  }
  mChecker.answered(active.mSubmission, aAction.mOutcome, body, mNow);
  receiveAnswer(active.mCaller, aAction.mOutcome);
}

void
RequestSimulation::execute(std::size_t aEntry,
                           std::uint64_t aSequence,
                           const RequestAction& aAction)
{
  const Common::Incarnation incarnation = mEntries[aEntry].mIncarnation;
  const Submission submission = mEntries[aEntry].mActiveRequests.at(aSequence).mSubmission;
  const auto result = [=, this](CallResult aResult, const std::string& aBody) {
    const auto active = mEntries[aEntry].mActiveRequests.find(aSequence);
    if (mEntries[aEntry].mIncarnation == incarnation &&
        active != mEntries[aEntry].mActiveRequests.end() && aResult.mOutcome == Outcome::Ran) {
      active->second.mReplyBodies[aAction.mId] = aBody;
    }
    if (mConfig.mInjectedFault == InjectedFault::LostReportedAsNotDelivered &&
        aResult.mDelivery == Delivery::Lost) {
      aResult.mDelivery = Delivery::NotDelivered;
    }
    applyEvent(aEntry, incarnation, aSequence, Dispatch::ExecuteReply{ aAction.mId, aResult });
  };
  // The call fails shortly after the deadline, or earlier because of a broken connection.
  const Duration timeout =
    chance(mConfig.mLossPercent) ? randomDelay(300) : aAction.mRemaining + 50ms;
  schedule(timeout, [=] { result({}, ""); });
  // A message may be delivered twice. The refusal of one copy says nothing about the other, so the
  // transport reports a call as refused only if no copy was delivered.
  const auto delivered = std::make_shared<bool>(false);
  const int copies = chance(mConfig.mDuplicatePercent) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (chance(mConfig.mLossPercent)) {
      continue;
    }
    const bool replyLost = chance(mConfig.mLossPercent);
    // A few messages are delayed far longer than the others and are overtaken by later ones.
    const Duration delay = randomDelay(chance(mConfig.mLossPercent) ? 2000 : 5);
    schedule(delay, [=, this] {
      const auto agent = static_cast<std::size_t>(std::stoul(aAction.mAgent.mInstance.str()));
      const bool deliveredBefore = *delivered;
      *delivered = deliveredBefore || (mAgents[agent].mRunning &&
                                       mAgents[agent].mIncarnation == aAction.mAgent.mIncarnation);
      receiveExecute(
        agent, aAction, submission, [=, this](const CallResult& aResult, const std::string& aBody) {
          const bool refused = aResult.mDelivery == Delivery::NotDelivered ||
                               aResult.mReason == Common::Refusal::WrongIncarnation;
          if (!replyLost && !(deliveredBefore && refused)) {
            schedule(randomDelay(chance(mConfig.mLossPercent) ? 2000 : 5),
                     [=] { result(aResult, aBody); });
          }
        });
    });
  }
}

void
RequestSimulation::query(std::size_t aEntry, std::uint64_t aSequence, const RequestAction& aAction)
{
  const Common::Incarnation incarnation = mEntries[aEntry].mIncarnation;
  const auto result = [=, this](const CallResult& aResult, const std::string& aBody) {
    const auto active = mEntries[aEntry].mActiveRequests.find(aSequence);
    if (mEntries[aEntry].mIncarnation == incarnation &&
        active != mEntries[aEntry].mActiveRequests.end() && aResult.mOutcome == Outcome::Ran) {
      active->second.mReplyBodies[aAction.mId] = aBody;
    }
    applyEvent(aEntry, incarnation, aSequence, Dispatch::QueryReply{ aAction.mId, aResult });
  };
  schedule(300ms, [=] { result({}, ""); });
  if (chance(mConfig.mLossPercent)) {
    return;
  }
  schedule(randomDelay(5), [=, this] {
    const auto agent = static_cast<std::size_t>(std::stoul(aAction.mAgent.mInstance.str()));
    receiveQuery(agent, aAction, [=, this](const CallResult& aResult, const std::string& aBody) {
      if (!chance(mConfig.mLossPercent)) {
        schedule(randomDelay(5), [=] { result(aResult, aBody); });
      }
    });
  });
}

void
RequestSimulation::takeOver()
{
  SimulatedOwner& old = *mOwners.back();
  // The majority accepts the new epoch now. Acknowledgements of the old owner are valid for 3 s at
  // most, and the new owner answers from 4 s on.
  old.mAnswersUntil = std::min(old.mAnswersUntil, mNow + 3s);
  auto next = std::make_unique<SimulatedOwner>();
  next->mAnswersFrom = mNow + 4s;
  next->mClockError = UnixMillis(static_cast<std::int64_t>(mRandom.below(1001)) - 500);
  next->mRegistry.mLimits = old.mRegistry.mLimits;
  if (mConfig.mInjectedFault != InjectedFault::TakeoverTimeIgnored) {
    next->mRegistry.mTakeoverUnixTime = unixNow() + 4s + next->mClockError;
  }
  mOwners.push_back(std::move(next));
}

SimulatedOwner&
RequestSimulation::pickOwner()
{
  // Entries learn of a takeover late: some still call the previous owner.
  const bool stale = mOwners.size() > 1 && chance(40);
  return *mOwners[mOwners.size() - (stale ? 2 : 1)];
}

void
RequestSimulation::claimKey(std::size_t aEntry,
                            std::uint64_t aSequence,
                            const RequestAction& aAction)
{
  const Common::Incarnation incarnation = mEntries[aEntry].mIncarnation;
  Dispatch::KeyClaim keyClaim = mEntries[aEntry].mActiveRequests.at(aSequence).mClaim;
  keyClaim.mRemaining = aAction.mRemaining;
  const auto result = [=, this](const Dispatch::ClaimReply& aReply) {
    const auto active = mEntries[aEntry].mActiveRequests.find(aSequence);
    if (mEntries[aEntry].mIncarnation == incarnation &&
        active != mEntries[aEntry].mActiveRequests.end() && aReply.mResult.mReply) {
      active->second.mStoredReplyBody = *aReply.mResult.mReply;
    }
    applyEvent(aEntry, incarnation, aSequence, aReply);
  };
  schedule(300ms, [=] { result({}); });
  if (chance(mConfig.mLossPercent)) {
    return;
  }
  schedule(randomDelay(chance(mConfig.mLossPercent) ? 3000 : 5), [=, this] {
    SimulatedOwner& owner = pickOwner();
    const bool mayAnswer = (mNow >= owner.mAnswersFrom && mNow <= owner.mAnswersUntil) ||
                           mConfig.mInjectedFault == InjectedFault::OwnerAuthorityIgnored;
    const auto reply = Dispatch::ClaimKey(
      owner.mRegistry, keyClaim, { mayAnswer, 1s }, mNow, unixNow() + owner.mClockError);
    if (!chance(mConfig.mLossPercent)) {
      schedule(randomDelay(5), [=] { result({ Delivery::Answered, reply }); });
    }
  });
}

void
RequestSimulation::settleKey(std::size_t aEntry,
                             std::uint64_t aSequence,
                             const RequestAction& aAction)
{
  const Common::Incarnation incarnation = mEntries[aEntry].mIncarnation;
  ActiveRequest& active = mEntries[aEntry].mActiveRequests.at(aSequence);
  const Dispatch::KeyClaim keyClaim = active.mClaim;
  const auto body = std::make_shared<const std::string>(active.mReplyBodies[aAction.mId]);
  const bool misreport = mConfig.mInjectedFault == InjectedFault::UnknownSettledAsNotRun;
  const Outcome outcome =
    misreport && aAction.mOutcome == Outcome::Unknown ? Outcome::NotRun : aAction.mOutcome;
  schedule(300ms, [=, this] {
    applyEvent(aEntry, incarnation, aSequence, Dispatch::SettleReply{ aAction.mOutcome, false });
  });
  const int copies = chance(mConfig.mDuplicatePercent) ? 2 : 1;
  for (int i = 0; i < copies && !chance(mConfig.mLossPercent); ++i) {
    schedule(randomDelay(5), [=, this] {
      Dispatch::SettleKey(pickOwner().mRegistry,
                          { keyClaim.mClient, keyClaim.mKey },
                          keyClaim.mRequest,
                          outcome,
                          body,
                          mNow);
      schedule(randomDelay(5), [=, this] {
        applyEvent(aEntry, incarnation, aSequence, Dispatch::SettleReply{ aAction.mOutcome, true });
      });
    });
  }
}

} // namespace Simulation
