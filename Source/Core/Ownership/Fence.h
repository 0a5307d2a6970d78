#pragma once

#include "Ownership/OwnerState.h"

/// What an owner may do now. Every answer holds only at aNow, which must be read after the last
/// event was taken in.
namespace Ownership {

/// When the oldest heartbeat was sent that a majority of the roster has acknowledged since; the
/// newest such time. While a change of the roster is in doubt, both rosters must agree. Empty
/// without a majority, and always with an empty roster.
std::optional<Timestamp>
MajorityAckSent(const OwnerState& aState);

/// True for an owner of which a majority acknowledged heartbeats of the last mMajorityWindow.
bool
MayGrantTenure(const OwnerState& aState, Timestamp aNow);

/// Tenure that a heartbeat sent now may grant to the agent; 0 if none. It is counted from the
/// agent's basis and shortened by the age of the majority's acknowledgement: whatever an owner
/// grants ends at most mTenure after a majority left it.
Duration
TenureToGrant(const OwnerState& aState, const AgentView& aAgent, Timestamp aNow);

/// True if the owner may answer key claims (section 3.1).
bool
MayGrantKeys(const OwnerState& aState, Timestamp aNow);

/// From this time on no earlier owner can grant a key. Empty if there was none before, or if it is
/// not known yet.
std::optional<Timestamp>
KeyTakeoverTime(const OwnerState& aState);

/// True if a task that was last known on this agent, which is silent, has certainly ended there. An
/// agent that is heard decides by its report instead.
bool
MayRestart(const OwnerState& aState, const Common::InstanceId& aAgent, Timestamp aNow);

/// True if a task that no agent has reported since the takeover runs nowhere: every agent that was
/// on the recorded roster has accepted the epoch and so reported, or the takeover wait is over.
bool
MayRestartUnreported(const OwnerState& aState, Timestamp aNow);

/// True if a task that an agent reports as stopped runs nowhere else: the same agent reported it as
/// running at aSeenRunning, or this owner started it there then, after a majority had accepted the
/// owner's epoch. Before that an earlier owner may have found the agent silent and started the task
/// elsewhere; a task for which this is false counts as unreported.
bool
ReportDecides(const OwnerState& aState, Timestamp aSeenRunning);

/// True once the tenures and platform leases that earlier owners granted have ended.
bool
TakeoverWaitOver(const OwnerState& aState, Timestamp aNow);

/// The roster that the owner wants: heard agents are added, restarted ones replaced, and those that
/// were silent for so long that their tasks have ended are removed, the last only with a majority.
/// After declare-lost, only heard agents stay.
std::vector<RosterMember>
DesiredRoster(const OwnerState& aState, Timestamp aNow);

} // namespace Ownership
