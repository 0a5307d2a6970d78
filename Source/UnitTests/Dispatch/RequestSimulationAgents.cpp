#include "UnitTests/Dispatch/RequestSimulation.h"

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
RequestSimulation::startAgent(std::size_t aAgent)
{
  SimulatedAgent& agent = mAgents[aAgent];
  Admission::GateLimits limits;
  const bool addSlot = mConfig.mInjectedFault == InjectedFault::ExtraSlot;
  limits.mSlots = Common::Slots(mConfig.mSlots + (addSlot ? 1 : 0));
  limits.mConnections = Common::Connections(mConfig.mConnections);
  limits.mMaxQueued = 4;
  agent.mGate = Admission::MakeGate(limits, mNow);
  agent.mWorker = {};
  agent.mWindow = {};
  agent.mWindow.mLimits.mMaxIds = 16;
  agent.mReplyCallbacks.clear();
  agent.mSubmissionsById.clear();
  // A restarted agent learns the requests in progress from the endpoint's own count.
  agent.mForeignRequests =
    mConfig.mInjectedFault == InjectedFault::ForeignUseIgnored ? 0 : agent.mInProgressAtEndpoint;
  Admission::SetForeignUse(agent.mGate,
                           Common::Slots(agent.mForeignRequests),
                           Common::Connections(agent.mForeignRequests));
  mChecker.setIdleConnections(aAgent, 0);
  agent.mRunning = true;
  if (agent.mLeaving) {
    Admission::StartDrain(agent.mGate, mNow);
  }
}

void
RequestSimulation::restartAgent(std::size_t aAgent)
{
  SimulatedAgent& agent = mAgents[aAgent];
  if (!agent.mRunning) {
    return;
  }
  agent.mRunning = false;
  agent.mIncarnation += Common::Incarnation(1);
  for (const auto& [id, waiting] : agent.mReplyCallbacks) {
    for (const ReplyCallback& reply : waiting) {
      reply({}, "");
    }
  }
  agent.mReplyCallbacks.clear();
  schedule(randomDelay(500), [this, aAgent] { startAgent(aAgent); });
}

void
RequestSimulation::drainAgent(std::size_t aAgent)
{
  SimulatedAgent& agent = mAgents[aAgent];
  agent.mLeaving = true;
  mChecker.endpointLeaving(aAgent);
  if (agent.mRunning && mConfig.mInjectedFault != InjectedFault::DrainIgnored) {
    perform(aAgent, Admission::StartDrain(agent.mGate, mNow));
  }
}

void
RequestSimulation::receiveExecute(std::size_t aAgent,
                                  const Dispatch::RequestAction& aAction,
                                  const Submission& aSubmission,
                                  const ReplyCallback& aReply)
{
  SimulatedAgent& agent = mAgents[aAgent];
  if (!agent.mRunning) {
    aReply({ Delivery::NotDelivered, {}, {}, {}, false, {} }, "");
    return;
  }
  const bool forged = mConfig.mInjectedFault == InjectedFault::IncarnationForged;
  if (aAction.mAgent.mIncarnation != agent.mIncarnation && !forged) {
    aReply(Answered(Outcome::NotRun, Refusal::WrongIncarnation, agent.mIncarnation), "");
    return;
  }
  DeduplicationResult known = Admission::BeginRequest(agent.mWindow, aAction.mId, mNow);
  if (mConfig.mInjectedFault == InjectedFault::DeduplicationIgnored &&
      !agent.mReplyCallbacks.contains(aAction.mId)) {
    known.mState = DeduplicationState::New;
  }
  const Common::Incarnation answeringIncarnation =
    forged ? aAction.mAgent.mIncarnation : agent.mIncarnation;
  switch (known.mState) {
    case DeduplicationState::New:
    case DeduplicationState::InProgress:
      agent.mReplyCallbacks[aAction.mId].push_back(aReply);
      break;
    case DeduplicationState::Finished:
      aReply(Answered(known.mOutcome.mOutcome, known.mOutcome.mReason, answeringIncarnation),
             BodyOf(known.mOutcome));
      break;
    case DeduplicationState::Evicted:
      aReply(Answered(Outcome::Unknown, Refusal::None, answeringIncarnation), "");
      break;
    case DeduplicationState::Full:
    case DeduplicationState::Malformed:
      aReply(Answered(Outcome::NotRun, Refusal::NoCapacity, answeringIncarnation), "");
      break;
  }
  if (known.mState != DeduplicationState::New) {
    return;
  }
  agent.mSubmissionsById[aAction.mId] = aSubmission;
  Admission::Request request;
  request.mId = aAction.mId;
  request.mDeadline = mNow + aAction.mRemaining;
  perform(aAgent, Admission::Offer(agent.mGate, agent.mWorker, request, mNow));
  schedule(20ms, [this, aAgent] { pollGate(aAgent); });
}

void
RequestSimulation::receiveQuery(std::size_t aAgent,
                                const Dispatch::RequestAction& aAction,
                                const ReplyCallback& aReply)
{
  SimulatedAgent& agent = mAgents[aAgent];
  if (!agent.mRunning) {
    aReply({ Delivery::NotDelivered, {}, {}, {}, false, {} }, "");
    return;
  }
  const bool forged = mConfig.mInjectedFault == InjectedFault::IncarnationForged;
  if (aAction.mAgent.mIncarnation != agent.mIncarnation && !forged) {
    aReply(Answered(Outcome::Unknown, Refusal::WrongIncarnation, agent.mIncarnation), "");
    return;
  }
  const Common::Incarnation answeringIncarnation =
    forged ? aAction.mAgent.mIncarnation : agent.mIncarnation;
  DeduplicationResult known;
  if (mConfig.mInjectedFault == InjectedFault::QueryNotRecorded &&
      !agent.mWindow.mEntries.contains(aAction.mId)) {
    known = { DeduplicationState::Finished, { Outcome::NotRun, Refusal::NoCapacity, nullptr } };
  } else {
    known = Admission::QueryOutcome(agent.mWindow, aAction.mId, mNow);
  }
  CallResult result = Answered(Outcome::Unknown, Refusal::None, answeringIncarnation);
  if (known.mState == DeduplicationState::Finished) {
    result = Answered(known.mOutcome.mOutcome, known.mOutcome.mReason, answeringIncarnation);
  }
  result.mInProgress = known.mState == DeduplicationState::InProgress;
  if (known.mState == DeduplicationState::Full) {
    result.mDelivery = Delivery::Lost;
  }
  aReply(result, BodyOf(known.mOutcome));
}

void
RequestSimulation::perform(std::size_t aAgent, const Admission::Actions& aActions)
{
  SimulatedAgent& agent = mAgents[aAgent];
  for (const Admission::Action& action : aActions) {
    const Common::RequestId id = action.mRequest.mId;
    if (action.mKind == Admission::ActionKind::Refuse) {
      finishRequest(aAgent, id, { Outcome::NotRun, action.mReason, nullptr });
      continue;
    }
    ++agent.mInProgressAtEndpoint;
    mChecker.setIdleConnections(aAgent, agent.mGate.mIdleConnections.value());
    mChecker.requestStarted(aAgent, agent.mSubmissionsById.at(id));
    if (mConfig.mInjectedFault == InjectedFault::SlotReleasedAtDeadline) {
      schedule(
        action.mRequest.mDeadline - mNow, [this, aAgent, id, incarnation = agent.mIncarnation] {
          SimulatedAgent& current = mAgents[aAgent];
          if (current.mRunning && current.mIncarnation == incarnation) {
            perform(aAgent, Admission::Release(current.mGate, current.mWorker, id, {}, mNow));
          }
        });
    }
    schedule(randomDelay(chance(10) ? 1500 : 100),
             [this, aAgent, id, incarnation = agent.mIncarnation] {
               endpointFinished(aAgent, incarnation, id);
             });
  }
}

void
RequestSimulation::endpointFinished(std::size_t aAgent,
                                    Common::Incarnation aIncarnation,
                                    const Common::RequestId& aId)
{
  SimulatedAgent& agent = mAgents[aAgent];
  --agent.mInProgressAtEndpoint;
  mChecker.requestEnded(aAgent);
  if (!agent.mRunning) {
    return;
  }
  if (agent.mIncarnation != aIncarnation) {
    agent.mForeignRequests = std::max<std::int64_t>(0, agent.mForeignRequests - 1);
    Admission::SetForeignUse(agent.mGate,
                             Common::Slots(agent.mForeignRequests),
                             Common::Connections(agent.mForeignRequests));
    pollGate(aAgent);
    return;
  }
  StoredOutcome outcome{ Outcome::Unknown, Refusal::None, nullptr };
  if (!chance(mConfig.mLossPercent / 2)) {
    outcome = { Outcome::Ran,
                Refusal::None,
                std::make_shared<const std::string>(
                  ExpectedBody(agent.mSubmissionsById.at(aId).mLogicalRequest)) };
  }
  finishRequest(aAgent, aId, outcome);
  const Admission::Completion finish{ chance(50), true };
  const auto next = Admission::Release(agent.mGate, agent.mWorker, aId, finish, mNow);
  mChecker.setIdleConnections(aAgent, agent.mGate.mIdleConnections.value());
  perform(aAgent, next);
}

void
RequestSimulation::finishRequest(std::size_t aAgent,
                                 const Common::RequestId& aId,
                                 const StoredOutcome& aOutcome)
{
  SimulatedAgent& agent = mAgents[aAgent];
  Admission::FinishRequest(agent.mWindow, aId, aOutcome, mNow);
  const auto waiting = std::move(agent.mReplyCallbacks[aId]);
  agent.mReplyCallbacks.erase(aId);
  for (const ReplyCallback& reply : waiting) {
    reply(Answered(aOutcome.mOutcome, aOutcome.mReason, agent.mIncarnation), BodyOf(aOutcome));
  }
}

void
RequestSimulation::pollGate(std::size_t aAgent)
{
  SimulatedAgent& agent = mAgents[aAgent];
  if (!agent.mRunning) {
    return;
  }
  perform(aAgent, Admission::Poll(agent.mGate, agent.mWorker, mNow));
  if (Admission::QueuedCount(agent.mGate) > 0) {
    schedule(20ms, [this, aAgent] { pollGate(aAgent); });
  }
}

} // namespace Simulation
