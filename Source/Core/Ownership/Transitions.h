#pragma once

#include "Ownership/StepOwner.h"

/// Parts of StepOwner; internal to the library.
namespace Ownership {

using Actions = std::vector<Action>;

/// Starts the store call that is due, if none is under way.
void
StartStoreCall(OwnerState& aState, Timestamp aNow, Actions& aActions);

void
OnCellRead(OwnerState& aState, const CellRead& aEvent, Timestamp aNow, Actions& aActions);
void
OnLeaseGranted(OwnerState& aState, const LeaseGranted& aEvent, Timestamp aNow, Actions& aActions);
void
OnKeyClaimed(OwnerState& aState, const KeyClaimed& aEvent, Timestamp aNow, Actions& aActions);
void
OnCellWritten(OwnerState& aState, const CellWritten& aEvent, Timestamp aNow, Actions& aActions);
void
OnLeaseRenewed(OwnerState& aState, const LeaseRenewed& aEvent, Timestamp aNow);

/// The record in aState names this process the owner; it begins its term.
void
BeginTerm(OwnerState& aState, Timestamp aNow, Actions& aActions);
void
EndTerm(OwnerState& aState, LossReason aReason, Timestamp aNow, Actions& aActions);

/// A write of the record took effect.
void
SettleWrite(OwnerState& aState,
            const CellRecord& aRecord,
            Store::Version aVersion,
            Timestamp aNow,
            Actions& aActions);

/// Time until a failed store call is repeated, with jitter.
Duration
RetryDelay(OwnerState& aState);

void
SendHeartbeats(OwnerState& aState, Timestamp aNow, Actions& aActions);
void
OnHeartbeatReply(OwnerState& aState,
                 const HeartbeatReply& aEvent,
                 Timestamp aNow,
                 Actions& aActions);
void
OnAgentJoined(OwnerState& aState, const AgentJoined& aEvent, Timestamp aNow);

} // namespace Ownership
