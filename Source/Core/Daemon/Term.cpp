#include "Daemon/Term.h"

#include <algorithm>
#include <functional>

#include <nlohmann/json.hpp>

namespace Daemon {

namespace {

using Json = nlohmann::json;

// Must be clearly below the restart margin: a later owner needs a majority and the whole fence
// first.
constexpr Common::Duration kRestartWindow = std::chrono::seconds(2);

/// The newest time such that a majority of the roster acknowledged heartbeats sent since; nothing
/// without a majority. An empty roster has nobody to disagree.
std::optional<Common::Timestamp>
MajoritySent(const Term& aTerm, const std::vector<RosterEntry>& aRoster)
{
  if (aRoster.empty()) {
    return Common::Timestamp::max();
  }
  std::vector<Common::Timestamp> times;
  for (const RosterEntry& entry : aRoster) {
    const auto found = aTerm.mAcknowledged.find({ entry.mInstance, entry.mIncarnation });
    if (found != aTerm.mAcknowledged.end()) {
      times.push_back(found->second);
    }
  }
  const std::size_t needed = aRoster.size() / 2 + 1;
  if (times.size() < needed) {
    return std::nullopt;
  }
  const auto last = times.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::nth_element(times.begin(), last, times.end(), std::greater<>());
  return *last;
}

/// The same for the roster in the store and the one that is being written together.
std::optional<Common::Timestamp>
MajoritySent(const Term& aTerm)
{
  const auto settled = MajoritySent(aTerm, aTerm.mRoster);
  if (!aTerm.mProposed || !settled) {
    return settled;
  }
  const auto proposed = MajoritySent(aTerm, *aTerm.mProposed);
  return proposed ? std::optional(std::min(*settled, *proposed)) : std::nullopt;
}

void
NoteAcceptance(Term& aTerm, Common::Timestamp aNow)
{
  if (!aTerm.mAcceptedAt && MajoritySent(aTerm, aTerm.mTakenOver)) {
    aTerm.mAcceptedAt = aNow;
  }
}

} // namespace

std::string
EncodeCellRecord(const CellRecord& aRecord)
{
  Json json = { { "epoch", aRecord.mEpoch },
                { "owner", aRecord.mOwnerInstance },
                { "address", aRecord.mOwnerAddress },
                { "incarnation", aRecord.mOwnerIncarnation },
                { "roster", Json::array() } };
  for (const RosterEntry& entry : aRecord.mRoster) {
    json["roster"].push_back(
      { entry.mInstance, entry.mIncarnation, entry.mAddress, entry.mWorker });
  }
  return json.dump();
}

std::optional<CellRecord>
DecodeCellRecord(const std::string& aText)
{
  try {
    const Json json = Json::parse(aText);
    CellRecord record;
    record.mEpoch = json.at("epoch").get<std::int64_t>();
    record.mOwnerInstance = json.at("owner").get<std::string>();
    record.mOwnerAddress = json.at("address").get<std::string>();
    record.mOwnerIncarnation = json.at("incarnation").get<std::int64_t>();
    for (const Json& entry : json.at("roster")) {
      record.mRoster.push_back({ entry.at(0).get<std::string>(),
                                 entry.at(1).get<std::int64_t>(),
                                 entry.at(2).get<std::string>(),
                                 entry.at(3).get<std::string>() });
    }
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

Term
MakeTerm(const CellRecord& aBefore, std::int64_t aEpoch, Common::Timestamp aNow)
{
  Term term;
  term.mEpoch = aEpoch;
  term.mRoster = aBefore.mRoster;
  term.mTakenOver = aBefore.mRoster;
  NoteAcceptance(term, aNow);
  return term;
}

void
NoteAcknowledged(Term& aTerm,
                 const std::string& aInstance,
                 std::int64_t aIncarnation,
                 Common::Timestamp aSent,
                 Common::Timestamp aNow)
{
  Common::Timestamp& last = aTerm.mAcknowledged[{ aInstance, aIncarnation }];
  last = std::max(last, aSent);
  NoteAcceptance(aTerm, aNow);
}

bool
HasMajority(const Term& aTerm, Common::Timestamp aSince)
{
  const auto sent = MajoritySent(aTerm);
  return sent && *sent >= aSince;
}

bool
MayGrantTenure(const Term& aTerm, const Config::TimeSettings& aTimes, Common::Timestamp aNow)
{
  return HasMajority(aTerm, aNow - aTimes.mTenureMajority);
}

Common::Duration
TenureToGrant(const Term& aTerm, const Config::TimeSettings& aTimes, Common::Timestamp aNow)
{
  const auto sent = MajoritySent(aTerm);
  if (!sent || *sent < aNow - aTimes.mTenureMajority) {
    return {};
  }
  const Common::Duration age = aNow - std::min(*sent, aNow);
  return std::max(Common::Duration(), aTimes.mTenure - age);
}

bool
MayRestart(const Term& aTerm, Common::Timestamp aNow)
{
  return HasMajority(aTerm, aNow - kRestartWindow);
}

bool
MayAnswerClaims(Term& aTerm,
                const Config::TimeSettings& aTimes,
                Common::Timestamp aNow,
                Common::UnixMillis aUnixNow)
{
  if (!HasMajority(aTerm, aNow - aTimes.mClaimMajority)) {
    return false;
  }
  if (aTerm.mEpoch <= 1) {
    return true;
  }
  if (!aTerm.mAcceptedAt || aNow < *aTerm.mAcceptedAt + aTimes.mClaimTakeoverWait) {
    return false;
  }
  if (!aTerm.mTakeoverUnix) {
    aTerm.mTakeoverUnix = aUnixNow;
  }
  return true;
}

bool
FencePassed(const Term& aTerm,
            const Config::TimeSettings& aTimes,
            std::optional<Common::Timestamp> aLastSent,
            Common::Timestamp aNow)
{
  const Common::Duration fence = aTimes.mTenure + aTimes.mPlatformLease + aTimes.mRestartMargin;
  if (aLastSent && aNow < *aLastSent + fence) {
    return false;
  }
  // An earlier owner may have granted tenure until a majority accepted this epoch.
  return aTerm.mEpoch <= 1 || (aTerm.mAcceptedAt && aNow >= *aTerm.mAcceptedAt + fence);
}

} // namespace Daemon
