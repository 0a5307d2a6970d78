#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/Clock.h"
#include "Common/Units.h"
#include "Config/Settings.h"

/// Decisions of one term of cell ownership (sections 3.1 and 3.2 of the design page).
namespace Daemon {

struct RosterEntry
{
  std::string mInstance;
  std::int64_t mIncarnation = 0;
  std::string mAddress;
  std::string mWorker;

  bool operator==(const RosterEntry&) const = default;
};

/// The value of `cells/<cell>`.
struct CellRecord
{
  std::int64_t mEpoch = 0;
  std::string mOwnerInstance;
  std::string mOwnerAddress;
  std::int64_t mOwnerIncarnation = 0;
  std::vector<RosterEntry> mRoster;
};

std::string
EncodeCellRecord(const CellRecord& aRecord);
std::optional<CellRecord>
DecodeCellRecord(const std::string& aText);

/// What an owner knows of its term.
struct Term
{
  std::int64_t mEpoch = 0;
  /// The roster in the store now.
  std::vector<RosterEntry> mRoster;
  /// The roster that is being written, until it is known whether the store has it. A successor may
  /// count either of the two, so the owner needs a majority of both.
  std::optional<std::vector<RosterEntry>> mProposed;
  /// The roster in the record that was taken over.
  std::vector<RosterEntry> mTakenOver;
  /// When the last acknowledged heartbeat to each agent incarnation was sent.
  std::map<std::pair<std::string, std::int64_t>, Common::Timestamp> mAcknowledged;
  /// When a majority of mTakenOver had accepted the epoch.
  std::optional<Common::Timestamp> mAcceptedAt;
  /// When the fence of the taken over agents has passed, in Unix time; for the key registry.
  std::optional<Common::UnixMillis> mTakeoverUnix;
};

Term
MakeTerm(const CellRecord& aBefore, std::int64_t aEpoch, Common::Timestamp aNow);

void
NoteAcknowledged(Term& aTerm,
                 const std::string& aInstance,
                 std::int64_t aIncarnation,
                 Common::Timestamp aSent,
                 Common::Timestamp aNow);

/// True if a majority of the roster has acknowledged heartbeats that were sent after aSince. An
/// empty roster has nobody to disagree.
bool
HasMajority(const Term& aTerm, Common::Timestamp aSince);

bool
MayGrantTenure(const Term& aTerm, const Config::TimeSettings& aTimes, Common::Timestamp aNow);

/// Tenure that a heartbeat sent now may grant; 0 without a majority. It is shortened by the age of
/// the majority's acknowledgement, so whatever an owner grants ends at most mTenure after the
/// majority left it. With the full time, a cut off owner could keep a task alive after its
/// successor started it again.
Common::Duration
TenureToGrant(const Term& aTerm, const Config::TimeSettings& aTimes, Common::Timestamp aNow);

/// True if a majority acknowledged heartbeats of the last two seconds, so that no later owner can
/// have waited out the fence and started the tasks of a silent agent elsewhere.
bool
MayRestart(const Term& aTerm, Common::Timestamp aNow);

/// Key claims may be answered. Sets the takeover time when that becomes true for the first time.
bool
MayAnswerClaims(Term& aTerm,
                const Config::TimeSettings& aTimes,
                Common::Timestamp aNow,
                Common::UnixMillis aUnixNow);

/// True if nothing that was started on a silent agent can run any longer. aLastSent is when the
/// last heartbeat was sent that may have reached it in this term; nothing if there was none.
bool
FencePassed(const Term& aTerm,
            const Config::TimeSettings& aTimes,
            std::optional<Common::Timestamp> aLastSent,
            Common::Timestamp aNow);

} // namespace Daemon
