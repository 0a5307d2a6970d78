#include "UnitTests/Dispatch/World.h"

using namespace std::chrono_literals;

namespace Simulation {

using Common::Outcome;
using Dispatch::CallResult;
using Dispatch::Delivery;
using Dispatch::RequestAction;
using Dispatch::RequestActionKind;

void
World::restartEntry(std::size_t aEntry)
{
  SimEntry& entry = mEntries[aEntry];
  if (!entry.mUp) {
    return;
  }
  std::vector<std::uint32_t> cut;
  for (const auto& [sequence, live] : entry.mLive) {
    if (!live.mState.mAnswered) {
      mChecker.cutOff(live.mSubmission);
      cut.push_back(live.mCaller);
    }
  }
  const Common::Incarnation next = entry.mIncarnation + Common::Incarnation(1);
  entry = SimEntry{};
  entry.mIncarnation = next;
  entry.mUp = false;
  at(someDelay(500), [this, aEntry] {
    mEntries[aEntry].mUp = true;
    refreshPools();
  });
  for (const std::uint32_t caller : cut) {
    callerHears(caller, std::nullopt);
  }
}

void
World::refreshPools()
{
  for (SimEntry& entry : mEntries) {
    for (std::size_t i = 0; i < mAgents.size(); ++i) {
      const SimAgent& agent = mAgents[i];
      if (!agent.mUp || chance(mPlan.mLossPercent)) {
        continue;
      }
      Dispatch::AgentReport report;
      report.mInstance = Common::InstanceId(std::to_string(i));
      report.mIncarnation = agent.mIncarnation;
      report.mSlotsLimit = static_cast<std::int32_t>(mPlan.mSlots);
      report.mSlotsInUse = static_cast<std::int32_t>(agent.mAtEndpoint);
      report.mLeaving = agent.mLeaving && chance(50);
      Dispatch::ApplyReport(entry.mPool, report, mAgents.size(), mNow, mRandom);
    }
  }
  if (mNow < Timestamp(1h + 30s)) {
    at(500ms, [this] { refreshPools(); });
  }
}

void
World::feed(std::size_t aEntry,
            Common::Incarnation aIncarnation,
            std::uint64_t aSequence,
            const Dispatch::RequestEvent& aEvent)
{
  SimEntry& entry = mEntries[aEntry];
  const auto live = entry.mLive.find(aSequence);
  if (!entry.mUp || entry.mIncarnation != aIncarnation || live == entry.mLive.end()) {
    return;
  }
  Dispatch::DispatchContext context{ entry.mPool, entry.mBudget, mLocation, mRules };
  const auto actions = Dispatch::StepRequest(live->second.mState, aEvent, context, mNow, mRandom);
  for (const RequestAction& action : actions) {
    carryOut(aEntry, aSequence, action);
  }
}

void
World::carryOut(std::size_t aEntry, std::uint64_t aSequence, const RequestAction& aAction)
{
  const Common::Incarnation incarnation = mEntries[aEntry].mIncarnation;
  switch (aAction.mKind) {
    case RequestActionKind::Claim:
      claim(aEntry, aSequence, aAction);
      return;
    case RequestActionKind::Send:
      execute(aEntry, aSequence, aAction);
      return;
    case RequestActionKind::Query:
      query(aEntry, aSequence, aAction);
      return;
    case RequestActionKind::Answer:
      answer(aEntry, aSequence, aAction);
      return;
    case RequestActionKind::Settle:
      settle(aEntry, aSequence, aAction);
      return;
    case RequestActionKind::WakeAt:
      at(std::max(Duration(1), Duration(aAction.mWakeTime - mNow)),
         [=, this] { feed(aEntry, incarnation, aSequence, Dispatch::Tick{}); });
      return;
    case RequestActionKind::Close:
      mEntries[aEntry].mLive.erase(aSequence);
      return;
  }
}

void
World::answer(std::size_t aEntry, std::uint64_t aSequence, const RequestAction& aAction)
{
  LiveRequest& live = mEntries[aEntry].mLive.at(aSequence);
  std::string body = aAction.mId.empty() ? live.mClaimedReply : live.mReplies[aAction.mId];
  if (mPlan.mPlanted == Planted::WrongBody && !mEntries[aEntry].mLive.empty()) {
    for (const auto& [id, reply] : mEntries[aEntry].mLive.begin()->second.mReplies) {
      body = reply;
    }
  }
  mChecker.told(live.mSubmission, aAction.mOutcome, body, mNow);
  callerHears(live.mCaller, aAction.mOutcome);
}

void
World::execute(std::size_t aEntry, std::uint64_t aSequence, const RequestAction& aAction)
{
  const Common::Incarnation incarnation = mEntries[aEntry].mIncarnation;
  const Submission submission = mEntries[aEntry].mLive.at(aSequence).mSubmission;
  const auto result = [=, this](CallResult aResult, const std::string& aBody) {
    const auto live = mEntries[aEntry].mLive.find(aSequence);
    if (mEntries[aEntry].mIncarnation == incarnation && live != mEntries[aEntry].mLive.end() &&
        aResult.mOutcome == Outcome::Ran) {
      live->second.mReplies[aAction.mId] = aBody;
    }
    if (mPlan.mPlanted == Planted::LostTakenForUndelivered && aResult.mDelivery == Delivery::Lost) {
      aResult.mDelivery = Delivery::NotDelivered;
    }
    feed(aEntry, incarnation, aSequence, Dispatch::ExecuteReply{ aAction.mId, aResult });
  };
  // The call is given up at the deadline, or earlier by a broken connection.
  const Duration timeout = chance(mPlan.mLossPercent) ? someDelay(300) : aAction.mRemaining + 50ms;
  at(timeout, [=] { result({}, ""); });
  // A repeated copy reaches the agent, but a refusal of one copy says nothing about the other: the
  // transport reports a call as refused only if it delivered no copy of it.
  const auto delivered = std::make_shared<bool>(false);
  const int deliveries = chance(mPlan.mDuplicatePercent) ? 2 : 1;
  for (int i = 0; i < deliveries; ++i) {
    if (chance(mPlan.mLossPercent)) {
      continue;
    }
    const bool replyLost = chance(mPlan.mLossPercent);
    // A few messages are delayed by far more than the others, also behind later ones.
    const Duration delay = someDelay(chance(mPlan.mLossPercent) ? 2000 : 5);
    at(delay, [=, this] {
      const auto agent = static_cast<std::size_t>(std::stoul(aAction.mAgent.mInstance.str()));
      const bool before = *delivered;
      *delivered = before || (mAgents[agent].mUp &&
                              mAgents[agent].mIncarnation == aAction.mAgent.mIncarnation);
      receiveExecute(
        agent, aAction, submission, [=, this](const CallResult& aResult, const std::string& aBody) {
          const bool refused = aResult.mDelivery == Delivery::NotDelivered ||
                               aResult.mReason == Common::Refusal::WrongIncarnation;
          if (!replyLost && !(before && refused)) {
            at(someDelay(chance(mPlan.mLossPercent) ? 2000 : 5), [=] { result(aResult, aBody); });
          }
        });
    });
  }
}

void
World::query(std::size_t aEntry, std::uint64_t aSequence, const RequestAction& aAction)
{
  const Common::Incarnation incarnation = mEntries[aEntry].mIncarnation;
  const auto result = [=, this](const CallResult& aResult, const std::string& aBody) {
    const auto live = mEntries[aEntry].mLive.find(aSequence);
    if (mEntries[aEntry].mIncarnation == incarnation && live != mEntries[aEntry].mLive.end() &&
        aResult.mOutcome == Outcome::Ran) {
      live->second.mReplies[aAction.mId] = aBody;
    }
    feed(aEntry, incarnation, aSequence, Dispatch::QueryReply{ aAction.mId, aResult });
  };
  at(300ms, [=] { result({}, ""); });
  if (chance(mPlan.mLossPercent)) {
    return;
  }
  at(someDelay(5), [=, this] {
    const auto agent = static_cast<std::size_t>(std::stoul(aAction.mAgent.mInstance.str()));
    receiveQuery(agent, aAction, [=, this](const CallResult& aResult, const std::string& aBody) {
      if (!chance(mPlan.mLossPercent)) {
        at(someDelay(5), [=] { result(aResult, aBody); });
      }
    });
  });
}

void
World::takeOver()
{
  SimOwner& old = *mOwners.back();
  // The majority accepts the new epoch now; the old owner's acknowledgements last 3 s at most, and
  // the new owner answers 4 s from now.
  old.mUntil = std::min(old.mUntil, mNow + 3s);
  auto next = std::make_unique<SimOwner>();
  next->mFrom = mNow + 4s;
  next->mClockError = UnixMillis(static_cast<std::int64_t>(mRandom.below(1001)) - 500);
  next->mRegistry.mLimits = old.mRegistry.mLimits;
  if (mPlan.mPlanted != Planted::TakeoverRuleIgnored) {
    next->mRegistry.mTakeoverUnixTime = unixNow() + 4s + next->mClockError;
  }
  mOwners.push_back(std::move(next));
}

SimOwner&
World::someOwner()
{
  // Entries learn of a takeover late: some still ask the owner before.
  const bool stale = mOwners.size() > 1 && chance(40);
  return *mOwners[mOwners.size() - (stale ? 2 : 1)];
}

void
World::claim(std::size_t aEntry, std::uint64_t aSequence, const RequestAction& aAction)
{
  const Common::Incarnation incarnation = mEntries[aEntry].mIncarnation;
  Dispatch::KeyClaim asked = mEntries[aEntry].mLive.at(aSequence).mClaim;
  asked.mRemaining = aAction.mRemaining;
  const auto result = [=, this](const Dispatch::ClaimReply& aReply) {
    const auto live = mEntries[aEntry].mLive.find(aSequence);
    if (mEntries[aEntry].mIncarnation == incarnation && live != mEntries[aEntry].mLive.end() &&
        aReply.mResult.mReply) {
      live->second.mClaimedReply = *aReply.mResult.mReply;
    }
    feed(aEntry, incarnation, aSequence, aReply);
  };
  at(300ms, [=] { result({}); });
  if (chance(mPlan.mLossPercent)) {
    return;
  }
  at(someDelay(chance(mPlan.mLossPercent) ? 3000 : 5), [=, this] {
    SimOwner& owner = someOwner();
    const bool stands =
      (mNow >= owner.mFrom && mNow <= owner.mUntil) || mPlan.mPlanted == Planted::StandingIgnored;
    const auto reply = Dispatch::ClaimKey(
      owner.mRegistry, asked, { stands, 1s }, mNow, unixNow() + owner.mClockError);
    if (!chance(mPlan.mLossPercent)) {
      at(someDelay(5), [=] { result({ Delivery::Answered, reply }); });
    }
  });
}

void
World::settle(std::size_t aEntry, std::uint64_t aSequence, const RequestAction& aAction)
{
  const Common::Incarnation incarnation = mEntries[aEntry].mIncarnation;
  LiveRequest& live = mEntries[aEntry].mLive.at(aSequence);
  const Dispatch::KeyClaim asked = live.mClaim;
  const auto body = std::make_shared<const std::string>(live.mReplies[aAction.mId]);
  const bool wrong = mPlan.mPlanted == Planted::UnknownSettledAsNotRun;
  const Outcome outcome =
    wrong && aAction.mOutcome == Outcome::Unknown ? Outcome::NotRun : aAction.mOutcome;
  at(300ms, [=, this] {
    feed(aEntry, incarnation, aSequence, Dispatch::SettleReply{ aAction.mOutcome, false });
  });
  const int deliveries = chance(mPlan.mDuplicatePercent) ? 2 : 1;
  for (int i = 0; i < deliveries && !chance(mPlan.mLossPercent); ++i) {
    at(someDelay(5), [=, this] {
      Dispatch::SettleKey(
        someOwner().mRegistry, { asked.mClient, asked.mKey }, asked.mRequest, outcome, body, mNow);
      at(someDelay(5), [=, this] {
        feed(aEntry, incarnation, aSequence, Dispatch::SettleReply{ aAction.mOutcome, true });
      });
    });
  }
}

} // namespace Simulation
