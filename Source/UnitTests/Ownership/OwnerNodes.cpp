#include "UnitTests/Ownership/Simulation.h"

namespace World {

void
Simulation::step(Owner& aOwner, const Event& aEvent)
{
  const Timestamp now = aOwner.local(mNow);
  for (const Action& action : StepOwner(aOwner.mState, aEvent, now)) {
    if (const auto* heartbeat = std::get_if<SendHeartbeat>(&action)) {
      send(aOwner, *heartbeat);
    } else if (std::holds_alternative<OwnershipGained>(action)) {
      begin(aOwner);
    } else if (std::holds_alternative<OwnershipLost>(action)) {
      aOwner.mSlots.clear();
    } else {
      call(aOwner, action);
    }
  }
}

void
Simulation::begin(Owner& aOwner)
{
  ++mResult.mTakeovers;
  aOwner.mSlots.clear();
  aOwner.mLastReport.clear();
  for (TaskName task = 0; task < mOptions.mTasks; ++task) {
    aOwner.mSlots[task] = {};
  }
}

void
Simulation::call(Owner& aOwner, const Action& aAction)
{
  const int run = aOwner.mRun;
  const auto answer = [this, &aOwner, run](Duration aDelay, const Event& aEvent) {
    aOwner.mInbox.add(mNow + aDelay, [this, &aOwner, run, aEvent] {
      if (aOwner.mRun == run) {
        step(aOwner, aEvent);
      }
    });
  };
  const auto cut = mStoreCut.find(aOwner.mIndex);
  if (mNow < mStoreDownUntil || (cut != mStoreCut.end() && mNow < cut->second)) {
    mStore.setFaults({ .mDown = true });
    const auto refused = RunStoreAction(mStore, kCell, aAction);
    mStore.setFaults({});
    return answer(upTo(1s), *refused);
  }
  if (!mHealed && std::holds_alternative<WriteCell>(aAction) && chance(0.05)) {
    // The write takes effect long after the caller gave up.
    mLateWrites.add(mNow + upTo(30s),
                    [this, aAction] { (void)RunStoreAction(mStore, kCell, aAction); });
    return answer(2s, CellWritten{ tl::unexpected(Store::StoreError::Unknown) });
  }
  mStore.setFaults({ .mLoseAnswerRate = mHealed ? 0 : 0.05 });
  if (std::holds_alternative<WriteCell>(aAction)) {
    ++mResult.mRosterChanges;
  }
  const auto event = RunStoreAction(mStore, kCell, aAction);
  mStore.setFaults({});
  answer(chance(0.1) ? upTo(2s) : upTo(200ms), *event);
}

void
Simulation::send(Owner& aOwner, const SendHeartbeat& aHeartbeat)
{
  const int index = std::stoi(aHeartbeat.mTo.mInstance.str().substr(5));
  HeartbeatGrant grant = aHeartbeat.mGrant;
  const bool full = mOptions.mPlant == Plant::FullTenure && grant.mTenure > Duration(0);
  if (mOptions.mPlant == Plant::NoMajority || full) {
    grant.mTenure = mSettings.mTenure;
  }
  Report starts;
  for (auto& [task, slot] : aOwner.mSlots) {
    if (slot.mKind == Slot::Kind::Placed && !slot.mConfirmed &&
        slot.mAgent == aHeartbeat.mTo.mInstance) {
      starts[task] = slot.mAttempt;
      slot.mSequence = grant.mSequence;
    }
  }
  const auto at = arrival(aOwner.mIndex, index);
  Agent& agent = mAgents[static_cast<std::size_t>(index)];
  if (!at) {
    return;
  }
  const Timestamp sentAt = aHeartbeat.mSentAt;
  const int run = aOwner.mRun;
  agent.mInbox.add(*at, [this, &aOwner, &agent, grant, starts, sentAt, run] {
    receive(agent, aOwner, grant, starts, sentAt, run);
  });
}

void
Simulation::placeTasks(Owner& aOwner)
{
  const Timestamp now = aOwner.local(mNow);
  const OwnerState& state = aOwner.mState;
  for (auto& [task, slot] : aOwner.mSlots) {
    const bool unreported = slot.mKind == Slot::Kind::Unreported;
    const bool placed = slot.mKind == Slot::Kind::Placed;
    if ((unreported && MayRestartUnreported(state, now)) ||
        (placed && MayRestart(state, slot.mAgent, now))) {
      slot.mKind = Slot::Kind::Free;
    }
    if (slot.mKind == Slot::Kind::Free) {
      place(aOwner, slot, now);
    }
  }
}

void
Simulation::place(Owner& aOwner, Slot& aSlot, Timestamp aNow)
{
  std::vector<InstanceId> heard;
  for (const auto& [name, agent] : aOwner.mState.mAgents) {
    if (agent.mAckSent && aNow - *agent.mAckSent < 2s &&
        TenureToGrant(aOwner.mState, agent, aNow) > Duration(0)) {
      heard.push_back(name);
    }
  }
  if (!heard.empty()) {
    aSlot = { Slot::Kind::Placed,
              any(heard),
              (aOwner.mState.mRecord.mEpoch.value() << 20U) + ++aOwner.mAttempts,
              aOwner.mState.mSequence + 1,
              false,
              aNow };
  }
}

void
Simulation::onReply(Owner& aOwner,
                    const HeartbeatReply& aReply,
                    std::int64_t aSequence,
                    const Report& aReport)
{
  step(aOwner, aReply);
  std::int64_t& last = aOwner.mLastReport[aReply.mInstance];
  if (!aReply.mAccepted || aOwner.mState.mRole != Role::Owner ||
      aReply.mEpoch != aOwner.mState.mRecord.mEpoch || aSequence <= last) {
    return;
  }
  last = aSequence;
  for (auto& [task, slot] : aOwner.mSlots) {
    const bool here = slot.mKind == Slot::Kind::Placed && slot.mAgent == aReply.mInstance;
    const auto reported = aReport.find(task);
    if (reported != aReport.end() && (here || slot.mKind != Slot::Kind::Placed)) {
      slot = {
        Slot::Kind::Placed, aReply.mInstance, reported->second, 0, true, aOwner.local(mNow)
      };
    } else if (reported == aReport.end() && here && aSequence >= slot.mSequence) {
      slot.mKind =
        ReportDecides(aOwner.mState, slot.mSeen) ? Slot::Kind::Free : Slot::Kind::Unreported;
    }
  }
}

} // namespace World
