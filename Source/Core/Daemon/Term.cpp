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

std::size_t
CountSince(const Term& aTerm, const std::vector<RosterEntry>& aRoster, Common::Timestamp aSince)
{
  const auto count = std::count_if(aRoster.begin(), aRoster.end(), [&](const RosterEntry& aEntry) {
    const auto found = aTerm.mAcknowledged.find({ aEntry.mInstance, aEntry.mIncarnation });
    return found != aTerm.mAcknowledged.end() && found->second >= aSince;
  });
  return static_cast<std::size_t>(count);
}

/// The newest time such that a majority of the roster acknowledged heartbeats sent since; aNow for
/// an empty roster. The roster must have a majority of acknowledgements.
Common::Timestamp
MajoritySent(const Term& aTerm, const std::vector<RosterEntry>& aRoster, Common::Timestamp aNow)
{
  std::vector<Common::Timestamp> times;
  for (const RosterEntry& entry : aRoster) {
    const auto found = aTerm.mAcknowledged.find({ entry.mInstance, entry.mIncarnation });
    if (found != aTerm.mAcknowledged.end()) {
      times.push_back(found->second);
    }
  }
  if (times.empty()) {
    return aNow;
  }
  const auto last = times.begin() + static_cast<std::ptrdiff_t>(aRoster.size() / 2);
  std::nth_element(times.begin(), last, times.end(), std::greater<>());
  return *last;
}

bool
IsMajority(std::size_t aCount, std::size_t aOf)
{
  return aOf == 0 || 2 * aCount > aOf;
}

void
NoteAcceptance(Term& aTerm, Common::Timestamp aNow)
{
  const Common::Timestamp ever = Common::Timestamp::min();
  if (!aTerm.mAcceptedAt &&
      IsMajority(CountSince(aTerm, aTerm.mTakenOver, ever), aTerm.mTakenOver.size())) {
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
  const auto agrees = [&](const std::vector<RosterEntry>& aRoster) {
    return IsMajority(CountSince(aTerm, aRoster, aSince), aRoster.size());
  };
  return agrees(aTerm.mRoster) && (!aTerm.mProposed || agrees(*aTerm.mProposed));
}

bool
MayGrantTenure(const Term& aTerm, const Config::TimeSettings& aTimes, Common::Timestamp aNow)
{
  return HasMajority(aTerm, aNow - aTimes.mTenureMajority);
}

Common::Duration
TenureToGrant(const Term& aTerm, const Config::TimeSettings& aTimes, Common::Timestamp aNow)
{
  if (!MayGrantTenure(aTerm, aTimes, aNow)) {
    return {};
  }
  Common::Timestamp sent = MajoritySent(aTerm, aTerm.mRoster, aNow);
  if (aTerm.mProposed) {
    sent = std::min(sent, MajoritySent(aTerm, *aTerm.mProposed, aNow));
  }
  return std::max(Common::Duration(), aTimes.mTenure - (aNow - sent));
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
