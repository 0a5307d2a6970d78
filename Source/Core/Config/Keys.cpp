#include "Config/Keys.h"

#include <iterator>

#include "Common/Names.h"
#include "Config/KeyTypes.h"

namespace Config {

namespace {

using Toml::IntegerRange;

constexpr std::int64_t kDayMs = 86'400'000;

bool
IsPath(const std::string& aText)
{
  return !aText.empty() && aText.find('\0') == std::string::npos;
}

const std::string kName = "1 to 64 letters, digits, '.', '_' and '-'";
const std::string kIp = "a numeric IP address";
const std::string kSocket = "a numeric IP address with a port";

std::vector<Key>
IdentityKeys()
{
  using Common::DataCentreId;
  using Common::InstanceId;
  using Common::RackId;
  using Common::RegionId;
  using Common::WorkerId;
  const std::string instance = "instance";
  return {
    Choice<Role>(
      "", "role", { "entry", "agent" }, "required", [](Settings & aIn) -> auto& {
        return aIn.mRole;
      }),
    TextKey<InstanceId>(
      instance, "name", kName, "required", &Common::IsName, [](Settings & aIn) -> auto& {
        return aIn.mInstance.mName;
      }),
    TextKey<DataCentreId>(
      instance, "data_centre", kName, "required", &Common::IsName, [](Settings & aIn) -> auto& {
        return aIn.mInstance.mDataCentre;
      }),
    TextKey<RegionId>(
      instance, "region", kName, "required", &Common::IsName, [](Settings & aIn) -> auto& {
        return aIn.mInstance.mRegion;
      }),
    TextKey<RackId>(
      instance, "rack", kName, "none", &Common::IsName, [](Settings & aIn) -> auto& {
        return aIn.mInstance.mRack;
      }),
    TextKey<WorkerId>(
      instance,
      "worker",
      kName,
      "required for agents",
      &Common::IsName,
      [](Settings & aIn) -> auto& { return aIn.mInstance.mWorker; }),
    TextList(
      instance, "labels", kName, "[]", 0, &Common::IsName, [](Settings & aIn) -> auto& {
        return aIn.mInstance.mLabels;
      }),
  };
}

std::vector<Key>
AddressKeys()
{
  const IntegerRange ports{ 0, 65535 };
  return {
    TextKey<std::string>(
      "listen", "address", kIp, "127.0.0.1", &IsIpAddress, [](Settings & aIn) -> auto& {
        return aIn.mListen.mAddress;
      }),
    TextKey<std::string>(
      "listen",
      "advertise_address",
      kIp,
      "listen.address",
      &IsIpAddress,
      [](Settings & aIn) -> auto& { return aIn.mListen.mAdvertiseAddress; }),
    Count<std::uint16_t>(
      "listen", "http_port", "", ports, [](Settings & aIn) -> auto& {
        return aIn.mListen.mHttpPort;
      }),
    Count<std::uint16_t>(
      "listen", "rpc_port", "", ports, [](Settings & aIn) -> auto& {
        return aIn.mListen.mRpcPort;
      }),
    TextList(
      "store", "addresses", kSocket, "required", 1, &IsSocketAddress, [](Settings & aIn) -> auto& {
        return aIn.mStoreAddresses;
      }),
    TextKey<std::string>(
      "platform", "worker_address", kSocket, "none", &IsSocketAddress, [](Settings & aIn) -> auto& {
        return aIn.mPlatformWorkerAddress;
      }),
    Choice<LogLevel>(
      "log",
      "level",
      { "trace", "debug", "info", "warning", "error", "fatal" },
      "info",
      [](Settings & aIn) -> auto& { return aIn.mLog.mLevel; }),
    Choice<LogFormat>(
      "log", "format", { "text", "json" }, "text", [](Settings & aIn) -> auto& {
        return aIn.mLog.mFormat;
      }),
    TextKey<std::string>(
      "log", "file", "a path", "standard error", &IsPath, [](Settings & aIn) -> auto& {
        return aIn.mLog.mFile;
      }),
    TextKey<std::string>(
      "trace", "file", "a path", "none", &IsPath, [](Settings & aIn) -> auto& {
        return aIn.mTraceFile;
      }),
  };
}

std::vector<Key>
LimitKeys()
{
  const std::string limits = "limits";
  const IntegerRange timeout{ 1, 600'000 };
  const auto in = [](auto aMember) {
    return [=](Settings & aSettings) -> auto&
    {
      return aSettings.mLimits.*aMember;
    };
  };
  using Limits = LimitSettings;
  return {
    Kib(limits, "max_body_kib", { 0, 15 * 1024LL }, in(&Limits::mMaxBody)),
    Kib(limits, "stored_response_kib", { 0, 1024 }, in(&Limits::mStoredResponse)),
    Kib(limits, "segment_kib", { 1, 1000 }, in(&Limits::mSegment)),
    Count<std::uint32_t>(
      limits, "max_connections", "", { 1, 100'000 }, in(&Limits::mMaxConnections)),
    Count<std::uint32_t>(limits, "memory_mb", "MB", { 0, 1'000'000 }, in(&Limits::mMemoryMb)),
    Count<std::uint32_t>(
      limits, "max_header_fields", "", { 16, 10'000 }, in(&Limits::mMaxHeaderFields)),
    Count<std::uint32_t>(
      limits, "max_body_values", "", { 100, 100'000'000 }, in(&Limits::mMaxBodyValues)),
    Count<std::uint32_t>(limits, "max_body_depth", "", { 4, 1000 }, in(&Limits::mMaxBodyDepth)),
    Count<std::uint32_t>(limits, "min_rate_kib_s", "KiB/s", { 1, 1024 }, in(&Limits::mMinRateKib)),
    Count<std::uint32_t>(
      limits, "store_calls_per_s", "calls/s", { 1, 10'000 }, in(&Limits::mStoreCallsPerSecond)),
    Count<std::uint32_t>(
      limits, "joins_per_s", "calls/s", { 1, 10'000 }, in(&Limits::mJoinsPerSecond)),
    Milliseconds(limits, "http_read_timeout_ms", timeout, in(&Limits::mHttpReadTimeout)),
    Milliseconds(limits, "keep_alive_ms", timeout, in(&Limits::mKeepAlive)),
    Milliseconds(limits, "connect_timeout_ms", timeout, in(&Limits::mConnectTimeout)),
    Milliseconds(limits, "store_timeout_ms", timeout, in(&Limits::mStoreTimeout)),
  };
}

std::vector<Key>
TimeKeys()
{
  const IntegerRange period{ 10, 60'000 };
  const IntegerRange wait{ 10, 3'600'000 };
  const IntegerRange any{ 0, kDayMs };
  const auto key = [](const char* aName, IntegerRange aRange, Duration TimeSettings::*aMember) {
    return Milliseconds(
      "times", aName, aRange, [=](Settings & aSettings) -> auto& {
        return aSettings.mTimes.*aMember;
      });
  };
  using Times = TimeSettings;
  return {
    key("heartbeat_ms", period, &Times::mHeartbeat),
    key("tenure_ms", wait, &Times::mTenure),
    key("tenure_majority_ms", wait, &Times::mTenureMajority),
    key("owner_lease_ms", wait, &Times::mOwnerLease),
    key("platform_lease_ms", wait, &Times::mPlatformLease),
    key("restart_margin_ms", any, &Times::mRestartMargin),
    key("claim_majority_ms", wait, &Times::mClaimMajority),
    key("claim_takeover_wait_ms", wait, &Times::mClaimTakeoverWait),
    key("key_retention_ms", { 1000, kDayMs }, &Times::mKeyRetention),
    key("outcome_retention_ms", { 1000, kDayMs }, &Times::mOutcomeRetention),
    key("suspect_after_ms", wait, &Times::mSuspectAfter),
    key("gone_after_ms", wait, &Times::mGoneAfter),
    key("gossip_ms", period, &Times::mGossip),
    key("segment_window_ms", { 0, 1000 }, &Times::mSegmentWindow),
    key("progress_write_ms", { 10, 60'000 }, &Times::mProgressWrite),
    key("shutdown_grace_ms", { 0, 3'600'000 }, &Times::mShutdownGrace),
  };
}

std::vector<Key>
BuildKeys()
{
  std::vector<Key> keys;
  for (std::vector<Key> group : { IdentityKeys(), AddressKeys(), LimitKeys(), TimeKeys() }) {
    std::move(group.begin(), group.end(), std::back_inserter(keys));
  }
  return keys;
}

} // namespace

const std::vector<Key>&
ScalarKeys()
{
  static const std::vector<Key> kKeys = BuildKeys();
  return kKeys;
}

const std::vector<SettingKey>&
ListKeys()
{
  static const std::vector<SettingKey> kKeys = {
    { "data_centre.name", "", "required", kName }, { "data_centre.region", "", "required", kName },
    { "peer.name", "", "required", kName },        { "peer.data_centre", "", "required", kName },
    { "peer.region", "", "required", kName },      { "peer.address", "", "required", kSocket },
  };
  return kKeys;
}

std::vector<SettingKey>
SettingKeys()
{
  std::vector<SettingKey> keys;
  for (const Key& key : ScalarKeys()) {
    const std::string name = key.mSection.empty() ? key.mName : key.mSection + '.' + key.mName;
    keys.push_back({ name, key.mUnit, key.mDefault, key.mRange });
  }
  keys.insert(keys.end(), ListKeys().begin(), ListKeys().end());
  return keys;
}

} // namespace Config
