#include <algorithm>

#include "Config/Keys.h"

namespace Config {

namespace {

/// Reports findings at the place where a key was set last, or at the start of the file.
class Checker
{
public:
  Checker(const Origins& aOrigins, const std::string& aFile, Common::Findings& aFindings)
    : mOrigins(aOrigins)
    , mFile(aFile)
    , mFindings(aFindings)
  {
  }

  void error(const std::string& aKey, const std::string& aMessage)
  {
    const auto found = mOrigins.find(aKey);
    mFindings.error(found == mOrigins.end() ? Common::Place{ mFile, 1, 1 } : found->second,
                    aMessage);
  }

  void require(const std::string& aKey)
  {
    if (mOrigins.count(aKey) == 0) {
      error(aKey, "key \"" + aKey + "\" is missing");
    }
  }

  /// The first of two keys must be greater than the second times aFactor.
  void greater(const std::string& aKey,
               Duration aValue,
               const std::string& aOther,
               Duration aOtherValue,
               int aFactor,
               const std::string& aReason)
  {
    if (aValue > aOtherValue * aFactor) {
      return;
    }
    const std::string bound =
      aFactor == 1 ? '"' + aOther + '"' : std::to_string(aFactor) + " times \"" + aOther + '"';
    // The place of whichever was set; with both defaults there is nothing to report.
    error(mOrigins.count(aKey) > 0 ? aKey : aOther,
          "key \"" + aKey + "\" must be greater than " + bound + ": " + aReason);
  }

private:
  const Origins& mOrigins;
  const std::string& mFile;
  Common::Findings& mFindings;
};

void
CheckTimes(const TimeSettings& aTimes, Checker& aChecker)
{
  aChecker.greater("times.tenure_ms",
                   aTimes.mTenure,
                   "times.heartbeat_ms",
                   aTimes.mHeartbeat,
                   3,
                   "a few lost heartbeats must not stop tasks");
  aChecker.greater("times.tenure_majority_ms",
                   aTimes.mTenureMajority,
                   "times.heartbeat_ms",
                   aTimes.mHeartbeat,
                   2,
                   "acknowledgements arrive once a heartbeat");
  aChecker.greater("times.owner_lease_ms",
                   aTimes.mOwnerLease,
                   "times.heartbeat_ms",
                   aTimes.mHeartbeat,
                   2,
                   "the lease is renewed once a heartbeat");
  aChecker.greater("times.claim_majority_ms",
                   aTimes.mClaimMajority,
                   "times.heartbeat_ms",
                   aTimes.mHeartbeat,
                   1,
                   "acknowledgements arrive once a heartbeat");
  aChecker.greater("times.claim_takeover_wait_ms",
                   aTimes.mClaimTakeoverWait,
                   "times.claim_majority_ms",
                   aTimes.mClaimMajority,
                   1,
                   "an earlier owner may grant keys for that long");
  aChecker.greater("times.suspect_after_ms",
                   aTimes.mSuspectAfter,
                   "times.heartbeat_ms",
                   aTimes.mHeartbeat,
                   1,
                   "a member whose heartbeat comes in time must not be suspected");
  aChecker.greater("times.gone_after_ms",
                   aTimes.mGoneAfter,
                   "times.suspect_after_ms",
                   aTimes.mSuspectAfter,
                   1,
                   "a member is suspected before it is gone");
}

void
CheckLimits(const Settings& aSettings, Checker& aChecker)
{
  const LimitSettings& limits = aSettings.mLimits;
  if (limits.mMemoryMb == 0) {
    return;
  }
  if (limits.mMemoryMb < kLeastMemoryMb) {
    aChecker.error("limits.memory_mb",
                   "key \"limits.memory_mb\" must be 0 or at least " +
                     std::to_string(kLeastMemoryMb));
    return;
  }
  const std::int64_t needed = MemoryMbForConnections(limits);
  // An agent bounds its connections itself.
  if (aSettings.mRole == Role::Entry && limits.mMemoryMb < needed) {
    aChecker.error("limits.memory_mb",
                   "\"limits.max_connections\" of " + std::to_string(limits.mMaxConnections) +
                     " needs \"limits.memory_mb\" of at least " + std::to_string(needed));
  }
}

void
CheckPlace(const Settings& aSettings,
           const std::string& aKey,
           const std::string& aWhat,
           const Common::DataCentreId& aDataCentre,
           const Common::RegionId& aRegion,
           Checker& aChecker)
{
  if (aDataCentre.empty() || aRegion.empty()) {
    return;
  }
  const auto& list = aSettings.mDataCentres;
  const auto found = std::find_if(
    list.begin(), list.end(), [&](const DataCentre& aItem) { return aItem.mName == aDataCentre; });
  if (found != list.end() && found->mRegion != aRegion) {
    aChecker.error(aKey,
                   aWhat + ": data centre \"" + aDataCentre.str() + "\" is in region \"" +
                     found->mRegion.str() + "\", not \"" + aRegion.str() + '"');
  }
  if (found == list.end()) {
    std::vector<std::string> names(list.size());
    std::transform(list.begin(), list.end(), names.begin(), [](const DataCentre& aItem) {
      return aItem.mName.str();
    });
    const std::string nearest = Common::NearestName(aDataCentre.str(), names);
    aChecker.error(aKey,
                   aWhat + ": data centre \"" + aDataCentre.str() + "\" is not in the list" +
                     (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?"));
  }
}

} // namespace

std::int64_t
MemoryMbForConnections(const LimitSettings& aLimits)
{
  constexpr std::int64_t kMb = 1 << 20;
  return (aLimits.mMaxConnections * kClientConnectionBytes * 2 * 4 / 3 + kMb - 1) / kMb;
}

std::int64_t
MemoryMbOf(const LimitSettings& aLimits)
{
  constexpr std::int64_t kUsualMb = 512;
  return aLimits.mMemoryMb > 0 ? aLimits.mMemoryMb
                               : std::max(kUsualMb, MemoryMbForConnections(aLimits));
}

void
CheckSettings(const Settings& aSettings,
              const Origins& aOrigins,
              const std::string& aFile,
              Common::Findings& aFindings)
{
  Checker checker(aOrigins, aFile, aFindings);
  for (const char* key : { "role",
                           "instance.name",
                           "instance.data_centre",
                           "instance.region",
                           "store.addresses",
                           "data_centre" }) {
    checker.require(key);
  }
  if (aSettings.mRole == Role::Agent) {
    checker.require("instance.worker");
  }
  CheckLimits(aSettings, checker);
  const ListenSettings& listen = aSettings.mListen;
  if (listen.mHttpPort != 0 && listen.mHttpPort == listen.mRpcPort) {
    checker.error(aOrigins.count("listen.rpc_port") > 0 ? "listen.rpc_port" : "listen.http_port",
                  "\"listen.http_port\" and \"listen.rpc_port\" are both " +
                    std::to_string(listen.mRpcPort));
  }
  const std::string advertised =
    listen.mAdvertiseAddress.empty() ? listen.mAddress : listen.mAdvertiseAddress;
  if (advertised == "0.0.0.0" || advertised == "::") {
    checker.error(listen.mAdvertiseAddress.empty() ? "listen.address" : "listen.advertise_address",
                  "others cannot reach \"" + advertised + "\"; set \"listen.advertise_address\"");
  }
  if (aOrigins.count("data_centre") > 0) {
    CheckPlace(aSettings,
               "instance.data_centre",
               "instance",
               aSettings.mInstance.mDataCentre,
               aSettings.mInstance.mRegion,
               checker);
    for (const Peer& peer : aSettings.mPeers) {
      const std::string name = peer.mName.str();
      CheckPlace(
        aSettings, "peer." + name, "peer \"" + name + '"', peer.mDataCentre, peer.mRegion, checker);
    }
  }
  CheckTimes(aSettings.mTimes, checker);
}

} // namespace Config
