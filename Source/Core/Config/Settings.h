#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Common/Findings.h"
#include "Common/Ids.h"
#include "Common/Units.h"

/// Settings of the daemon. docs/settings.md describes each key.
namespace Config {

using Common::Duration;

enum class Role
{
  Entry,
  Agent,
};

enum class LogLevel
{
  Trace,
  Debug,
  Info,
  Warning,
  Error,
  Fatal,
};

enum class LogFormat
{
  Text,
  Json,
};

/// Who this process is and where it stands.
struct InstanceSettings
{
  Common::InstanceId mName;
  Common::DataCentreId mDataCentre;
  Common::RegionId mRegion;
  Common::RackId mRack;
  /// The worker beside an agent; empty for an entry.
  Common::WorkerId mWorker;
  std::vector<std::string> mLabels;
};

/// Addresses are numeric; a port of 0 takes a free one.
struct ListenSettings
{
  std::string mAddress = "127.0.0.1";
  /// The address under which other processes reach this one.
  std::string mAdvertiseAddress;
  std::uint16_t mHttpPort = 7480;
  std::uint16_t mRpcPort = 7481;
};

/// Another process that is asked for tables on start-up and gossiped with; the address is that of
/// its RPC port.
struct Peer
{
  Common::InstanceId mName;
  Common::DataCentreId mDataCentre;
  Common::RegionId mRegion;
  std::string mAddress;
};

struct DataCentre
{
  Common::DataCentreId mName;
  Common::RegionId mRegion;
};

struct LogSettings
{
  LogLevel mLevel = LogLevel::Info;
  LogFormat mFormat = LogFormat::Text;
  /// Standard error if empty.
  std::string mFile;
};

/// What each connection of a client may take of the budget for clients, which is half of the
/// memory; all together take three quarters of the budget at most.
inline constexpr std::int64_t kClientConnectionBytes = 96 << 10;
/// The program itself takes up to half of this.
inline constexpr std::int64_t kLeastMemoryMb = 64;

struct LimitSettings
{
  Common::Bytes mMaxBody{ 15LL << 20 };
  Common::Bytes mStoredResponse{ 64LL << 10 };
  Common::Bytes mSegment{ 512LL << 10 };
  std::uint32_t mMaxConnections = 1024;
  /// Of the machine, in units of 2^20; 0 if it is not stated.
  std::uint32_t mMemoryMb = 0;
  std::uint32_t mMaxHeaderFields = 256;
  std::uint32_t mMaxBodyValues = 300'000;
  std::uint32_t mMaxBodyDepth = 64;
  std::uint32_t mMinRateKib = 16;
  std::uint32_t mStoreCallsPerSecond = 50;
  std::uint32_t mJoinsPerSecond = 50;
  Duration mHttpReadTimeout{ std::chrono::seconds(10) };
  Duration mKeepAlive{ std::chrono::seconds(30) };
  Duration mConnectTimeout{ std::chrono::milliseconds(500) };
  Duration mStoreTimeout{ std::chrono::seconds(2) };
};

/// Memory in units of 2^20 bytes that the connections need.
std::int64_t
MemoryMbForConnections(const LimitSettings& aLimits);

/// Memory of the machine in units of 2^20 bytes. If it is not stated, it is taken to be 512, or
/// what the connections need.
std::int64_t
MemoryMbOf(const LimitSettings& aLimits);

/// Time constants of the design page. All processes of a fleet must have the same ones, since each
/// relies on how long the others wait.
struct TimeSettings
{
  Duration mHeartbeat{ std::chrono::seconds(1) };
  Duration mTenure{ std::chrono::seconds(30) };
  /// Time within which a majority must have acknowledged the epoch for tenure to be granted.
  Duration mTenureMajority{ std::chrono::seconds(10) };
  Duration mOwnerLease{ std::chrono::seconds(6) };
  Duration mPlatformLease{ std::chrono::seconds(10) };
  /// Added to tenure and platform lease before a silent worker's task may start again.
  Duration mRestartMargin{ std::chrono::seconds(5) };
  /// Time within which a majority must have acknowledged the epoch for keys to be claimed.
  Duration mClaimMajority{ std::chrono::seconds(3) };
  /// A new owner refuses claims for this long after a majority accepted its epoch.
  Duration mClaimTakeoverWait{ std::chrono::seconds(4) };
  Duration mKeyRetention{ std::chrono::minutes(10) };
  /// Time for which an agent keeps request ids and their outcomes.
  Duration mOutcomeRetention{ std::chrono::minutes(2) };
  Duration mSuspectAfter{ std::chrono::seconds(2) };
  Duration mGoneAfter{ std::chrono::seconds(3) };
  Duration mGossip{ std::chrono::milliseconds(600) };
  /// Submissions of this long are packed into one segment.
  Duration mSegmentWindow{ std::chrono::milliseconds(20) };
  Duration mProgressWrite{ std::chrono::seconds(1) };
  Duration mShutdownGrace{ std::chrono::seconds(30) };
};

struct Settings
{
  Role mRole = Role::Entry;
  InstanceSettings mInstance;
  ListenSettings mListen;
  std::vector<std::string> mStoreAddresses;
  /// Address of the platform worker; an agent without one runs beside endpoints only.
  std::string mPlatformWorkerAddress;
  std::vector<Peer> mPeers;
  /// All data centres of the fleet.
  std::vector<DataCentre> mDataCentres;
  LogSettings mLog;
  /// Finished spans are appended to this file; empty means that they are only kept in memory.
  std::string mTraceFile;
  LimitSettings mLimits;
  TimeSettings mTimes;
};

/// Reads aText over the defaults, then each of aOverrides ("section.key=value") over that. The
/// value of an override is TOML; what is not valid TOML counts as a string. Findings of the n-th
/// override have the file "--set" and the line n.
tl::expected<Settings, Common::Findings>
LoadSettings(std::string_view aText,
             const std::string& aFile,
             const std::vector<std::string>& aOverrides = {});

/// What docs/settings.md says of one key.
struct SettingKey
{
  /// With its section, for example "times.heartbeat_ms".
  std::string mName;
  std::string mUnit;
  /// As it stands in the file; "required" and "none" say that there is no default.
  std::string mDefault;
  std::string mRange;
};

/// All keys in the order of the page.
std::vector<SettingKey>
SettingKeys();

} // namespace Config
