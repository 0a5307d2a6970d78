#include <catch2/catch.hpp>

#include "Dispatch/IdempotencyKeys.h"

using namespace std::chrono_literals;
using namespace Dispatch;
using Common::Outcome;
using Common::Refusal;

namespace {

const Timestamp kStart{ 1h };
constexpr UnixMillis kUnixStart{ 1'800'000'000'000 };

KeyClaim
MakeClaim(const std::string& aRequest, std::optional<UnixMillis> aTime = kUnixStart)
{
  return { Common::ClientId("client"),
           Common::IdempotencyKey("key"),
           aTime,
           Common::RequestId(aRequest),
           "fingerprint",
           10s };
}

const IdempotencyKeyRegistry::ClientKey kClientKey(Common::ClientId("client"),
                                                   Common::IdempotencyKey("key"));
const OwnerAuthority kAuthority{ true, 1s };

} // namespace

TEST_CASE("A key is granted to one submission at a time", "[Dispatch]")
{
  IdempotencyKeyRegistry registry;
  REQUIRE(ClaimKey(registry, MakeClaim("a"), kAuthority, kStart, kUnixStart).mState ==
          KeyState::Granted);
  REQUIRE(ClaimKey(registry, MakeClaim("b"), kAuthority, kStart, kUnixStart).mState ==
          KeyState::InProgress);

  SECTION("a repeated claim of the holder is granted again, as its first answer may be lost")
  {
    REQUIRE(ClaimKey(registry, MakeClaim("a"), kAuthority, kStart, kUnixStart).mState ==
            KeyState::Granted);
  }

  SECTION("after ran, other submissions get the stored reply until the retention is over")
  {
    const auto reply = std::make_shared<const std::string>("reply");
    REQUIRE(SettleKey(registry, kClientKey, Common::RequestId("a"), Outcome::Ran, reply, kStart));
    const KeyClaimResult answer =
      ClaimKey(registry, MakeClaim("b"), kAuthority, kStart + 9min, kUnixStart + 9min);
    REQUIRE(answer.mState == KeyState::Finished);
    REQUIRE(*answer.mReply == "reply");

    SECTION("nothing replaces the outcome `ran`")
    {
      SettleKey(registry, kClientKey, Common::RequestId("a"), Outcome::NotRun, nullptr, kStart);
      REQUIRE(ClaimKey(registry, MakeClaim("b"), kAuthority, kStart, kUnixStart).mState ==
              KeyState::Finished);
    }

    SECTION("when the key is removed, its time is refused as too old")
    {
      const KeyClaimResult late =
        ClaimKey(registry, MakeClaim("b"), kAuthority, kStart + 11min, kUnixStart + 11min);
      REQUIRE(late.mState == KeyState::Refused);
      REQUIRE(late.mReason == Refusal::Invalid);
      SweepKeys(registry, kStart + 11min);
      REQUIRE(registry.mEntries.empty());
      REQUIRE(registry.mReplyOrder.empty());
      REQUIRE(registry.mReplyBytes == Common::Bytes(0));
    }
  }

  SECTION("after not-run, another submission gets the key and the first one never again")
  {
    SettleKey(registry, kClientKey, Common::RequestId("a"), Outcome::NotRun, nullptr, kStart);
    REQUIRE(ClaimKey(registry, MakeClaim("a"), kAuthority, kStart, kUnixStart).mState ==
            KeyState::Refused);
    REQUIRE(ClaimKey(registry, MakeClaim("b"), kAuthority, kStart, kUnixStart).mState ==
            KeyState::Granted);
    REQUIRE_FALSE(
      SettleKey(registry, kClientKey, Common::RequestId("a"), Outcome::Ran, {}, kStart));
  }

  SECTION("without a settlement the key becomes unknown, and the holder may still settle it late")
  {
    const Timestamp late = kStart + 41s;
    REQUIRE(ClaimKey(registry, MakeClaim("b"), kAuthority, late, kUnixStart).mState ==
            KeyState::Unknown);
    SettleKey(registry, kClientKey, Common::RequestId("a"), Outcome::Ran, nullptr, late);
    REQUIRE(ClaimKey(registry, MakeClaim("b"), kAuthority, late, kUnixStart).mState ==
            KeyState::Finished);
  }

  SECTION("the same key on another request is refused")
  {
    KeyClaim other = MakeClaim("b");
    other.mFingerprint = "other";
    const KeyClaimResult answer = ClaimKey(registry, other, kAuthority, kStart, kUnixStart);
    REQUIRE(answer.mState == KeyState::Refused);
    REQUIRE(answer.mReason == Refusal::Invalid);
  }

  SECTION("a full registry refuses new keys and keeps the old ones")
  {
    registry.mLimits.mMaxKeys = 1;
    KeyClaim other = MakeClaim("b");
    other.mKey = Common::IdempotencyKey("other");
    REQUIRE(ClaimKey(registry, other, kAuthority, kStart, kUnixStart).mReason ==
            Refusal::Throttled);
    REQUIRE(ClaimKey(registry, MakeClaim("b"), kAuthority, kStart, kUnixStart).mState ==
            KeyState::InProgress);
  }

  SECTION("an owner that may not answer refuses")
  {
    const KeyClaimResult answer =
      ClaimKey(registry, MakeClaim("b"), { false, 1s }, kStart, kUnixStart);
    REQUIRE(answer.mReason == Refusal::NotOwner);
  }
}

TEST_CASE("A new owner grants only keys that no earlier owner can have granted", "[Dispatch]")
{
  IdempotencyKeyRegistry registry;
  registry.mTakeoverUnixTime = kUnixStart;
  const auto stateAt = [&](std::optional<UnixMillis> aTime, UnixMillis aNow) {
    return ClaimKey(registry, MakeClaim("a", aTime), kAuthority, kStart, aNow).mState;
  };
  REQUIRE(stateAt(kUnixStart - 1s, kUnixStart + 10s) == KeyState::Unknown);
  REQUIRE(stateAt(kUnixStart + 6s, kUnixStart + 10s) == KeyState::Unknown);
  REQUIRE(stateAt(std::nullopt, kUnixStart + 9min) == KeyState::Unknown);
  SECTION("with a key time after the takeover")
  {
    REQUIRE(stateAt(kUnixStart + 6001ms, kUnixStart + 10s) == KeyState::Granted);
  }
  SECTION("without a key time, after the retention")
  {
    REQUIRE(stateAt(std::nullopt, kUnixStart + 10min) == KeyState::Granted);
  }
  SECTION("key times outside the range are refused")
  {
    REQUIRE(stateAt(kUnixStart + 16s, kUnixStart + 10s) == KeyState::Refused);
    REQUIRE(stateAt(kUnixStart, kUnixStart + 10min + 1ms) == KeyState::Refused);
  }
}

TEST_CASE("The time of a key comes from the header or a UUIDv7", "[Dispatch]")
{
  // The example of RFC 9562, appendix A.6.
  REQUIRE(ParseUuidV7Time("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") == UnixMillis(1645557742000));
  REQUIRE_FALSE(ParseUuidV7Time("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
  REQUIRE_FALSE(ParseUuidV7Time("017F22E2-79B0-7CC3-18C4-DC0C0C07398F"));
  REQUIRE_FALSE(ParseUuidV7Time("017F22E2x79B0-7CC3-98C4-DC0C0C07398F"));
  REQUIRE_FALSE(ParseUuidV7Time("key"));
  REQUIRE(KeyTime(UnixMillis(5), Common::IdempotencyKey("key")) == UnixMillis(5));
}
