#include "Daemon/Term.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Daemon {

namespace {

using Json = nlohmann::json;

std::size_t
CountSince(const Term& aTerm, const std::vector<RosterEntry>& aRoster, Common::Timestamp aSince)
{
  const auto count = std::count_if(aRoster.begin(), aRoster.end(), [&](const RosterEntry& aEntry) {
    const auto found = aTerm.mAcknowledged.find({ aEntry.mInstance, aEntry.mIncarnation });
    return found != aTerm.mAcknowledged.end() && found->second >= aSince;
  });
  return static_cast<std::size_t>(count);
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
