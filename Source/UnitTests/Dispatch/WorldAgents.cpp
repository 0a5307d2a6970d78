#include "UnitTests/Dispatch/World.h"

using namespace std::chrono_literals;

namespace Simulation {

using Admission::DeduplicationResult;
using Admission::DeduplicationState;
using Admission::StoredOutcome;
using Common::Outcome;
using Common::Refusal;
using Dispatch::CallResult;
using Dispatch::Delivery;

namespace {

CallResult
Answered(Outcome aOutcome, Refusal aReason, Common::Incarnation aIncarnation)
{
  return { Delivery::Answered, aOutcome, aReason, aIncarnation, false, Duration(0) };
}

std::string
BodyOf(const StoredOutcome& aOutcome)
{
  return aOutcome.mReply ? *aOutcome.mReply : std::string();
}

} // namespace

void
World::startAgent(std::size_t aAgent)
{
  SimAgent& agent = mAgents[aAgent];
  Admission::GateLimits limits;
  const bool wrong = mPlan.mPlanted == Planted::OneSlotTooMany;
  limits.mSlots = Common::Slots(mPlan.mSlots + (wrong ? 1 : 0));
  limits.mConnections = Common::Connections(mPlan.mConnections);
  limits.mMaxQueued = 4;
  agent.mGate = Admission::MakeGate(limits, mNow);
  agent.mWorker = {};
  agent.mWindow = {};
  agent.mWindow.mLimits.mMaxIds = 16;
  agent.mWaiting.clear();
  agent.mBodies.clear();
  // The new agent learns what runs from the endpoint's own count.
  agent.mForeign = mPlan.mPlanted == Planted::ForeignUseIgnored ? 0 : agent.mAtEndpoint;
  Admission::SetForeignUse(
    agent.mGate, Common::Slots(agent.mForeign), Common::Connections(agent.mForeign));
  mChecker.connectionsAt(aAgent, 0);
  agent.mUp = true;
  if (agent.mLeaving) {
    Admission::StartDrain(agent.mGate, mNow);
  }
}

void
World::restartAgent(std::size_t aAgent)
{
  SimAgent& agent = mAgents[aAgent];
  if (!agent.mUp) {
    return;
  }
  agent.mUp = false;
  agent.mIncarnation += Common::Incarnation(1);
  for (const auto& [id, waiting] : agent.mWaiting) {
    for (const ReplyFn& reply : waiting) {
      reply({}, "");
    }
  }
  agent.mWaiting.clear();
  at(someDelay(500), [this, aAgent] { startAgent(aAgent); });
}

void
World::drainAgent(std::size_t aAgent)
{
  SimAgent& agent = mAgents[aAgent];
  agent.mLeaving = true;
  mChecker.leavingAt(aAgent);
  if (agent.mUp && mPlan.mPlanted != Planted::DrainIgnored) {
    carryOut(aAgent, Admission::StartDrain(agent.mGate, mNow));
  }
}

void
World::receiveExecute(std::size_t aAgent,
                      const Dispatch::RequestAction& aAction,
                      const Submission& aSubmission,
                      const ReplyFn& aReply)
{
  SimAgent& agent = mAgents[aAgent];
  if (!agent.mUp) {
    aReply({ Delivery::NotDelivered, {}, {}, {}, false, {} }, "");
    return;
  }
  const bool forged = mPlan.mPlanted == Planted::IncarnationForged;
  if (aAction.mAgent.mIncarnation != agent.mIncarnation && !forged) {
    aReply(Answered(Outcome::NotRun, Refusal::WrongIncarnation, agent.mIncarnation), "");
    return;
  }
  DeduplicationResult known = Admission::BeginRequest(agent.mWindow, aAction.mId, mNow);
  if (mPlan.mPlanted == Planted::WindowIgnored && !agent.mWaiting.contains(aAction.mId)) {
    known.mState = DeduplicationState::New;
  }
  const Common::Incarnation speaksAs = forged ? aAction.mAgent.mIncarnation : agent.mIncarnation;
  switch (known.mState) {
    case DeduplicationState::New:
    case DeduplicationState::InProgress:
      agent.mWaiting[aAction.mId].push_back(aReply);
      break;
    case DeduplicationState::Finished:
      aReply(Answered(known.mOutcome.mOutcome, known.mOutcome.mReason, speaksAs),
             BodyOf(known.mOutcome));
      break;
    case DeduplicationState::Evicted:
      aReply(Answered(Outcome::Unknown, Refusal::None, speaksAs), "");
      break;
    case DeduplicationState::Full:
    case DeduplicationState::Malformed:
      aReply(Answered(Outcome::NotRun, Refusal::NoCapacity, speaksAs), "");
      break;
  }
  if (known.mState != DeduplicationState::New) {
    return;
  }
  agent.mBodies[aAction.mId] = aSubmission;
  Admission::Request request;
  request.mId = aAction.mId;
  request.mDeadline = mNow + aAction.mRemaining;
  carryOut(aAgent, Admission::Offer(agent.mGate, agent.mWorker, request, mNow));
  at(20ms, [this, aAgent] { poll(aAgent); });
}

void
World::receiveQuery(std::size_t aAgent,
                    const Dispatch::RequestAction& aAction,
                    const ReplyFn& aReply)
{
  SimAgent& agent = mAgents[aAgent];
  if (!agent.mUp) {
    aReply({ Delivery::NotDelivered, {}, {}, {}, false, {} }, "");
    return;
  }
  const bool forged = mPlan.mPlanted == Planted::IncarnationForged;
  if (aAction.mAgent.mIncarnation != agent.mIncarnation && !forged) {
    aReply(Answered(Outcome::Unknown, Refusal::WrongIncarnation, agent.mIncarnation), "");
    return;
  }
  const Common::Incarnation speaksAs = forged ? aAction.mAgent.mIncarnation : agent.mIncarnation;
  DeduplicationResult known;
  if (mPlan.mPlanted == Planted::QueryDoesNotSettle &&
      !agent.mWindow.mEntries.contains(aAction.mId)) {
    known = { DeduplicationState::Finished, { Outcome::NotRun, Refusal::NoCapacity, nullptr } };
  } else {
    known = Admission::QueryOutcome(agent.mWindow, aAction.mId, mNow);
  }
  CallResult result = Answered(Outcome::Unknown, Refusal::None, speaksAs);
  if (known.mState == DeduplicationState::Finished) {
    result = Answered(known.mOutcome.mOutcome, known.mOutcome.mReason, speaksAs);
  }
  result.mInProgress = known.mState == DeduplicationState::InProgress;
  if (known.mState == DeduplicationState::Full) {
    result.mDelivery = Delivery::Lost;
  }
  aReply(result, BodyOf(known.mOutcome));
}

void
World::carryOut(std::size_t aAgent, const Admission::Actions& aActions)
{
  SimAgent& agent = mAgents[aAgent];
  for (const Admission::Action& action : aActions) {
    const Common::RequestId id = action.mRequest.mId;
    if (action.mKind == Admission::ActionKind::Refuse) {
      finishAt(aAgent, id, { Outcome::NotRun, action.mReason, nullptr });
      continue;
    }
    ++agent.mAtEndpoint;
    mChecker.connectionsAt(aAgent, agent.mGate.mIdleConnections.value());
    mChecker.startedAt(aAgent, agent.mBodies.at(id));
    if (mPlan.mPlanted == Planted::SlotReleasedAtDeadline) {
      at(action.mRequest.mDeadline - mNow, [this, aAgent, id, born = agent.mIncarnation] {
        SimAgent& later = mAgents[aAgent];
        if (later.mUp && later.mIncarnation == born) {
          carryOut(aAgent, Admission::Release(later.mGate, later.mWorker, id, {}, mNow));
        }
      });
    }
    at(someDelay(chance(10) ? 1500 : 100),
       [this, aAgent, id, born = agent.mIncarnation] { endpointDone(aAgent, born, id); });
  }
}

void
World::endpointDone(std::size_t aAgent,
                    Common::Incarnation aIncarnation,
                    const Common::RequestId& aId)
{
  SimAgent& agent = mAgents[aAgent];
  --agent.mAtEndpoint;
  mChecker.endedAt(aAgent);
  if (!agent.mUp) {
    return;
  }
  if (agent.mIncarnation != aIncarnation) {
    agent.mForeign = std::max<std::int64_t>(0, agent.mForeign - 1);
    Admission::SetForeignUse(
      agent.mGate, Common::Slots(agent.mForeign), Common::Connections(agent.mForeign));
    poll(aAgent);
    return;
  }
  StoredOutcome outcome{ Outcome::Unknown, Refusal::None, nullptr };
  if (!chance(mPlan.mLossPercent / 2)) {
    outcome = { Outcome::Ran,
                Refusal::None,
                std::make_shared<const std::string>(AnswerOf(agent.mBodies.at(aId).mLogical)) };
  }
  finishAt(aAgent, aId, outcome);
  const Admission::Completion finish{ chance(50), true };
  const auto next = Admission::Release(agent.mGate, agent.mWorker, aId, finish, mNow);
  mChecker.connectionsAt(aAgent, agent.mGate.mIdleConnections.value());
  carryOut(aAgent, next);
}

void
World::finishAt(std::size_t aAgent, const Common::RequestId& aId, const StoredOutcome& aOutcome)
{
  SimAgent& agent = mAgents[aAgent];
  Admission::FinishRequest(agent.mWindow, aId, aOutcome, mNow);
  const auto waiting = std::move(agent.mWaiting[aId]);
  agent.mWaiting.erase(aId);
  for (const ReplyFn& reply : waiting) {
    reply(Answered(aOutcome.mOutcome, aOutcome.mReason, agent.mIncarnation), BodyOf(aOutcome));
  }
}

void
World::poll(std::size_t aAgent)
{
  SimAgent& agent = mAgents[aAgent];
  if (!agent.mUp) {
    return;
  }
  carryOut(aAgent, Admission::Poll(agent.mGate, agent.mWorker, mNow));
  if (Admission::QueuedCount(agent.mGate) > 0) {
    at(20ms, [this, aAgent] { poll(aAgent); });
  }
}

} // namespace Simulation
