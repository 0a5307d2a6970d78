#include "Ownership/StepOwner.h"

#include "Ownership/Transitions.h"

namespace Ownership {

namespace {

struct Stepper
{
  OwnerState& mState;
  Timestamp mNow;
  Actions& mActions;

  void operator()(const Tick&)
  {
    if (mState.mRole == Role::Owner && !mState.mHandOver) {
      SendHeartbeats(mState, mNow, mActions);
    }
  }
  void operator()(const CellRead& aEvent)
  {
    finishCall();
    OnCellRead(mState, aEvent, mNow, mActions);
  }
  void operator()(const LeaseGranted& aEvent)
  {
    finishCall();
    OnLeaseGranted(mState, aEvent, mNow, mActions);
  }
  void operator()(const KeyClaimed& aEvent)
  {
    finishCall();
    OnKeyClaimed(mState, aEvent, mNow, mActions);
  }
  void operator()(const CellWritten& aEvent)
  {
    finishCall();
    OnCellWritten(mState, aEvent, mNow, mActions);
  }
  void operator()(const LeaseRenewed& aEvent)
  {
    finishCall();
    OnLeaseRenewed(mState, aEvent, mNow);
  }
  void operator()(const LeaseRevoked&)
  {
    finishCall();
    if (mState.mRole == Role::Owner) {
      EndTerm(mState, LossReason::HandedOver, mNow, mActions);
    }
  }
  void operator()(const HeartbeatReply& aEvent)
  {
    OnHeartbeatReply(mState, aEvent, mNow, mActions);
  }
  void operator()(const AgentJoined& aEvent) { OnAgentJoined(mState, aEvent, mNow); }
  void operator()(const OwnerHeard&)
  {
    const Duration silence = mState.mSettings.mOwnerSilence;
    mState.mNextLook = std::max(mState.mNextLook, mNow + silence + RetryDelay(mState));
  }
  void operator()(const Invited&) { mState.mNextLook = mNow; }
  void operator()(const HandOver& aEvent)
  {
    mState.mLeaving = true;
    if (mState.mRole == Role::Owner) {
      mState.mHandOver = aEvent.mSuccessor;
    }
  }
  void operator()(const DeclareLost&) { mState.mDeclaredLost = mState.mRole == Role::Owner; }

  void finishCall() { mState.mCall = StoreCall::None; }
};

} // namespace

OwnerState
MakeOwner(OwnerSettings aSettings,
          RosterMember aSelf,
          std::string aToken,
          std::uint64_t aSeed,
          Timestamp aNow)
{
  OwnerState state;
  state.mSettings = aSettings;
  state.mSelf = std::move(aSelf);
  state.mToken = std::move(aToken);
  state.mRandom = Common::Random(aSeed);
  // Instances that start together look at the store one after the other.
  state.mNextLook = aNow + RetryDelay(state);
  return state;
}

std::vector<Action>
StepOwner(OwnerState& aState, const Event& aEvent, Timestamp aNow)
{
  Actions actions;
  std::visit(Stepper{ aState, aNow, actions }, aEvent);
  StartStoreCall(aState, aNow, actions);
  return actions;
}

} // namespace Ownership
