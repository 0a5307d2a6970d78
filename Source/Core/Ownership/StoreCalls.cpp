#include <utility>

#include "Ownership/Fence.h"
#include "Ownership/Transitions.h"

namespace Ownership {

namespace {

using Store::StoreError;

void
Begin(OwnerState& aState, StoreCall aCall, Action aAction, Actions& aActions)
{
  aState.mCall = aCall;
  aActions.push_back(std::move(aAction));
}

void
BeginWrite(OwnerState& aState, Actions& aActions)
{
  Begin(aState, StoreCall::Write, WriteCell{ aState.mVersion, *aState.mPending }, aActions);
}

CellRecord
NextRecord(const OwnerState& aState)
{
  CellRecord next = aState.mRecord;
  next.mWriterToken = aState.mToken;
  ++next.mSerial;
  return next;
}

CellRecord
TakeoverRecord(const OwnerState& aState)
{
  CellRecord next = NextRecord(aState);
  next.mEpoch += Common::Epoch(1);
  next.mOwner = aState.mSelf;
  next.mSuccessor = {};
  return next;
}

bool
RosterMayChange(const OwnerState& aState)
{
  // An owner that no majority accepted could otherwise replace the roster with one whose majority
  // has nothing in common with that of an earlier owner that still grants tenure.
  return aState.mMajorityAt || aState.mDeclaredLost;
}

void
StartOwnerCall(OwnerState& aState, Timestamp aNow, Actions& aActions)
{
  if (aState.mMustRead) {
    return Begin(aState, StoreCall::Read, ReadCell{}, aActions);
  }
  if (aState.mHandOver && !aState.mPending) {
    aState.mPending = NextRecord(aState);
    aState.mPending->mSuccessor = *aState.mHandOver;
    return BeginWrite(aState, aActions);
  }
  if (aState.mNeedLease) {
    return Begin(
      aState, StoreCall::GrantLease, GrantLease{ aState.mSettings.mStoreLease }, aActions);
  }
  if (aNow >= aState.mNextRenewal) {
    aState.mNextRenewal = aNow + aState.mSettings.mRenewEvery;
    return Begin(aState, StoreCall::Renew, RenewLease{ aState.mLease }, aActions);
  }
  if (aState.mPending) {
    return BeginWrite(aState, aActions);
  }
  if (aNow >= aState.mNextRoster && RosterMayChange(aState)) {
    aState.mNextRoster = aNow + aState.mSettings.mRosterEvery;
    std::vector<RosterMember> roster = DesiredRoster(aState, aNow);
    if (roster != aState.mRecord.mRoster || aState.mDeclaredLost) {
      aState.mPending = NextRecord(aState);
      aState.mPending->mRoster = std::move(roster);
      aState.mPendingLost = aState.mDeclaredLost;
      BeginWrite(aState, aActions);
    }
  }
}

void
StartFollowerCall(OwnerState& aState, Timestamp aNow, Actions& aActions)
{
  if (!aState.mLeaving && (aState.mMustRead || aNow >= aState.mNextLook)) {
    Begin(aState, StoreCall::Read, ReadCell{}, aActions);
  }
}

// Takes the cell if nobody holds it and no other instance is meant to.
void
Bid(OwnerState& aState, const CellView& aView, Timestamp aNow, Actions& aActions)
{
  if (aView.mHolder == aState.mToken) {
    aState.mPending = TakeoverRecord(aState);
    return BeginWrite(aState, aActions);
  }
  if (aView.mHolder) {
    aState.mNextLook = aNow + aState.mSettings.mOwnerSilence + RetryDelay(aState);
    return;
  }
  const Common::InstanceId& successor = aState.mRecord.mSuccessor;
  if (!successor.empty() && successor != aState.mSelf.mInstance &&
      aState.mWaitedFor != aView.mVersion) {
    aState.mWaitedFor = aView.mVersion;
    aState.mNextLook = aNow + aState.mSettings.mSuccessorGrace + RetryDelay(aState);
    return;
  }
  Begin(aState, StoreCall::GrantLease, GrantLease{ aState.mSettings.mStoreLease }, aActions);
}

void
FollowerRead(OwnerState& aState, const CellView& aView, Timestamp aNow, Actions& aActions)
{
  const bool unchanged = aView.mVersion == aState.mVersion;
  aState.mVersion = aView.mVersion;
  aState.mRecord = aView.mRecord.value_or(CellRecord{});
  const bool mine = aView.mRecord && aState.mRecord.mWriterToken == aState.mToken;
  if (mine && !aState.mLeaving && aState.mRecord.mSuccessor.empty()) {
    // A takeover whose answer was lost.
    aState.mPending.reset();
    aState.mNeedLease = aView.mHolder != aState.mToken;
    return BeginTerm(aState, aNow, aActions);
  }
  if (aState.mPending && unchanged) {
    return BeginWrite(aState, aActions);
  }
  aState.mPending.reset();
  if (!aState.mLeaving) {
    Bid(aState, aView, aNow, aActions);
  }
}

void
OwnerRead(OwnerState& aState, const CellView& aView, Timestamp aNow, Actions& aActions)
{
  if (!aView.mRecord || aView.mRecord->mWriterToken != aState.mToken ||
      aView.mRecord->mEpoch != aState.mRecord.mEpoch) {
    return EndTerm(aState, LossReason::Replaced, aNow, aActions);
  }
  if (aState.mPending && aView.mRecord->mSerial >= aState.mPending->mSerial) {
    SettleWrite(aState, *aView.mRecord, aView.mVersion, aNow, aActions);
  }
  aState.mNeedLease = aView.mHolder != aState.mToken;
}

} // namespace

Duration
RetryDelay(OwnerState& aState)
{
  const auto retry = static_cast<std::uint64_t>(aState.mSettings.mStoreRetry.count());
  return aState.mSettings.mStoreRetry +
         Duration(static_cast<Duration::rep>(aState.mRandom.below(retry)));
}

void
StartStoreCall(OwnerState& aState, Timestamp aNow, Actions& aActions)
{
  if (aState.mCall != StoreCall::None || aNow < aState.mNextCall) {
    return;
  }
  aState.mRole == Role::Owner ? StartOwnerCall(aState, aNow, aActions)
                              : StartFollowerCall(aState, aNow, aActions);
}

void
OnCellRead(OwnerState& aState, const CellRead& aEvent, Timestamp aNow, Actions& aActions)
{
  if (!aEvent.mView) {
    aState.mNextCall = aNow + RetryDelay(aState);
    return;
  }
  aState.mMustRead = false;
  aState.mRole == Role::Owner ? OwnerRead(aState, *aEvent.mView, aNow, aActions)
                              : FollowerRead(aState, *aEvent.mView, aNow, aActions);
}

void
OnLeaseGranted(OwnerState& aState, const LeaseGranted& aEvent, Timestamp aNow, Actions& aActions)
{
  if (!aEvent.mLease) {
    // A lease that was granted without an answer lapses unused.
    aState.mNextCall = aNow + RetryDelay(aState);
    return;
  }
  aState.mLease = *aEvent.mLease;
  Begin(aState, StoreCall::ClaimKey, ClaimKey{ aState.mLease, aState.mToken }, aActions);
}

void
OnKeyClaimed(OwnerState& aState, const KeyClaimed& aEvent, Timestamp aNow, Actions& aActions)
{
  if (!aEvent.mResult) {
    // Someone else claims the key, or it is in doubt; the store tells.
    aState.mMustRead = true;
    aState.mNextCall = aNow + RetryDelay(aState);
    return;
  }
  aState.mNextRenewal = aNow + aState.mSettings.mRenewEvery;
  if (aState.mRole == Role::Owner) {
    aState.mNeedLease = false;
    return;
  }
  aState.mPending = TakeoverRecord(aState);
  BeginWrite(aState, aActions);
}

void
SettleWrite(OwnerState& aState,
            const CellRecord& aRecord,
            Store::Version aVersion,
            Timestamp aNow,
            Actions& aActions)
{
  aState.mPending.reset();
  aState.mRecord = aRecord;
  aState.mVersion = aVersion;
  if (aState.mRole != Role::Owner) {
    return BeginTerm(aState, aNow, aActions);
  }
  if (std::exchange(aState.mPendingLost, false)) {
    aState.mDeclaredLost = false;
    aState.mMajorityAt = aState.mMajorityAt.value_or(aNow);
  }
}

void
OnCellWritten(OwnerState& aState, const CellWritten& aEvent, Timestamp aNow, Actions& aActions)
{
  if (aState.mHandOver) {
    // The successor's name is a hint; the lease ends in any case.
    return Begin(aState, StoreCall::Revoke, RevokeLease{ aState.mLease }, aActions);
  }
  if (!aState.mPending) {
    return;
  }
  if (aEvent.mResult) {
    const CellRecord written = *aState.mPending;
    return SettleWrite(aState, written, *aEvent.mResult, aNow, aActions);
  }
  if (aEvent.mResult.error() != StoreError::Unavailable) {
    aState.mMustRead = true;
  }
  aState.mNextCall = aNow + RetryDelay(aState);
}

void
OnLeaseRenewed(OwnerState& aState, const LeaseRenewed& aEvent, Timestamp aNow)
{
  if (aEvent.mResult || aState.mRole != Role::Owner) {
    return;
  }
  if (aEvent.mResult.error() == StoreError::LeaseLapsed) {
    // The cell stays this owner's until another one takes it by the record.
    aState.mNeedLease = true;
    aState.mMustRead = true;
    return;
  }
  aState.mNextCall = aNow + RetryDelay(aState);
  aState.mNextRenewal = aState.mNextCall;
}

} // namespace Ownership
