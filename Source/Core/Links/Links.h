#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "Common/Clock.h"
#include "Common/Units.h"

/// Budget of the link between regions.
namespace Links {

/// What a message is sent for, most urgent first.
enum class Purpose
{
  Urgent,
  Control,
  Batch,
};

constexpr std::size_t kPurposes = 3;

struct LinkRules
{
  /// 30 Mbit/s in one direction.
  Common::Bytes mBytesPerSecond{ 30'000'000 / 8 };
  /// Bytes that may be sent at once after a quiet time.
  Common::Bytes mBurst{ 30'000'000 / 8 / 4 };
  /// Part of the burst that a purpose leaves to the more urgent ones.
  std::array<double, kPurposes> mKeep{ 0.0, 0.25, 0.5 };
  /// Part of the rate that a purpose gets even while more urgent ones fill the link.
  std::array<double, kPurposes> mMinShare{ 0.0, 0.05, 0.05 };
};

/// Use of the link in one direction.
struct LinkBudget
{
  LinkRules mRules;
  /// Bytes that may be sent now; negative while the link works off a message larger than the burst.
  double mTokens = 0;
  /// Bytes that each purpose may send out of its minimum share.
  std::array<double, kPurposes> mOwnTokens{};
  Common::Timestamp mRefilled;
  std::array<std::uint64_t, kPurposes> mSentBytes{};
  std::array<std::uint64_t, kPurposes> mRefusedBytes{};
};

struct LinkGrant
{
  bool mGranted = false;
  /// If refused, when the purpose may expect room for the message.
  Common::Duration mRetryAfter{ 0 };
};

LinkBudget
MakeLinkBudget(const LinkRules& aRules, Common::Timestamp aNow);

/// Takes the bytes of one message from the budget, all or nothing. A message larger than the burst
/// is granted when the bucket is as full as the purpose can see it, and later ones wait for it.
/// Over any time t, at most burst + one message + rate * t bytes are granted.
LinkGrant
SpendLink(LinkBudget& aLink, Purpose aPurpose, Common::Bytes aSize, Common::Timestamp aNow);

/// True if a message of this size would be granted now.
bool
LinkHasRoom(const LinkBudget& aLink, Purpose aPurpose, Common::Bytes aSize, Common::Timestamp aNow);

} // namespace Links
