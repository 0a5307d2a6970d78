#include <catch2/catch.hpp>

#include "Daemon/Term.h"

namespace {

using namespace std::chrono_literals;

Daemon::CellRecord
RecordOf(int aAgents, std::int64_t aEpoch)
{
  Daemon::CellRecord record;
  record.mEpoch = aEpoch;
  for (int i = 0; i < aAgents; ++i) {
    const std::string name = "a" + std::to_string(i);
    record.mRoster.push_back({ name, 7, "127.0.0.1:" + std::to_string(1000 + i), "w-" + name });
  }
  return record;
}

} // namespace

TEST_CASE("The cell record survives the store", "[Daemon]")
{
  const Daemon::CellRecord record = RecordOf(3, 4);
  const auto read = Daemon::DecodeCellRecord(Daemon::EncodeCellRecord(record));
  REQUIRE(read);
  REQUIRE(read->mEpoch == 4);
  REQUIRE(read->mRoster == record.mRoster);
  REQUIRE_FALSE(Daemon::DecodeCellRecord("{}"));
  REQUIRE_FALSE(Daemon::DecodeCellRecord("not json"));
}

TEST_CASE("Only an owner that a majority acknowledges may act", "[Daemon]")
{
  // A paused owner that wakes up must not grant tenure or keys beside its successor.
  Common::ManualClock clock;
  const Config::TimeSettings times;
  const Common::Timestamp begin = clock.now();
  Daemon::Term term = Daemon::MakeTerm(RecordOf(3, 1), 1, begin);
  REQUIRE_FALSE(Daemon::MayGrantTenure(term, times, begin));
  REQUIRE_FALSE(Daemon::MayAnswerClaims(term, times, begin, clock.unixNow()));

  SECTION("one of three is not enough, nor is another incarnation of the second")
  {
    Daemon::NoteAcknowledged(term, "a0", 7, begin, begin);
    Daemon::NoteAcknowledged(term, "a1", 8, begin, begin);
    REQUIRE_FALSE(Daemon::MayGrantTenure(term, times, begin));
  }

  SECTION("two of three are, for as long as their acknowledgements are fresh")
  {
    Daemon::NoteAcknowledged(term, "a0", 7, begin, begin);
    Daemon::NoteAcknowledged(term, "a1", 7, begin, begin);
    REQUIRE(Daemon::MayGrantTenure(term, times, begin));
    REQUIRE(Daemon::MayAnswerClaims(term, times, begin, clock.unixNow()));
    REQUIRE_FALSE(Daemon::MayAnswerClaims(term, times, begin + 4s, clock.unixNow()));
    REQUIRE(Daemon::MayGrantTenure(term, times, begin + 9s));
    REQUIRE_FALSE(Daemon::MayGrantTenure(term, times, begin + 11s));
  }
}

TEST_CASE("While the roster changes, a majority of both rosters is needed", "[Daemon]")
{
  // With the old roster alone, an owner that is paused in the write of the new one and its
  // successor could each have a majority without a common agent.
  Common::ManualClock clock;
  const Config::TimeSettings times;
  const Common::Timestamp begin = clock.now();
  Daemon::Term term = Daemon::MakeTerm(RecordOf(3, 1), 1, begin);
  Daemon::NoteAcknowledged(term, "a0", 7, begin, begin);
  Daemon::NoteAcknowledged(term, "a1", 7, begin, begin);
  REQUIRE(Daemon::MayGrantTenure(term, times, begin));
  term.mProposed = RecordOf(5, 1).mRoster;
  REQUIRE_FALSE(Daemon::MayGrantTenure(term, times, begin));
  Daemon::NoteAcknowledged(term, "a4", 7, begin, begin);
  REQUIRE(Daemon::MayGrantTenure(term, times, begin));
}

TEST_CASE("A new owner waits for what its predecessor may have granted", "[Daemon]")
{
  Common::ManualClock clock;
  const Config::TimeSettings times;
  const Common::Duration fence = times.mTenure + times.mPlatformLease + times.mRestartMargin;
  const Common::Timestamp begin = clock.now();
  Daemon::Term term = Daemon::MakeTerm(RecordOf(3, 4), 5, begin);
  REQUIRE_FALSE(Daemon::FencePassed(term, times, std::nullopt, begin + fence + 1h));

  const Common::Timestamp accepted = begin + 20s;
  Daemon::NoteAcknowledged(term, "a0", 7, accepted, accepted);
  Daemon::NoteAcknowledged(term, "a2", 7, accepted, accepted);

  SECTION("a silent worker is released only a whole fence after the majority accepted")
  {
    REQUIRE_FALSE(Daemon::FencePassed(term, times, std::nullopt, accepted + fence - 1ms));
    REQUIRE(Daemon::FencePassed(term, times, std::nullopt, accepted + fence));
  }

  SECTION("and a whole fence after the last heartbeat that may have reached it")
  {
    REQUIRE_FALSE(Daemon::FencePassed(term, times, accepted + 10s, accepted + fence + 9s));
    REQUIRE(Daemon::FencePassed(term, times, accepted + 10s, accepted + fence + 10s));
  }

  SECTION("claims wait, and the takeover time is set once")
  {
    REQUIRE_FALSE(Daemon::MayAnswerClaims(term, times, accepted + 1s, clock.unixNow()));
    const Common::Timestamp later = accepted + times.mClaimTakeoverWait;
    Daemon::NoteAcknowledged(term, "a0", 7, later, later);
    Daemon::NoteAcknowledged(term, "a2", 7, later, later);
    const Common::UnixMillis first = clock.unixNow();
    REQUIRE(Daemon::MayAnswerClaims(term, times, later, first));
    REQUIRE(Daemon::MayAnswerClaims(term, times, later, first + 1000ms));
    REQUIRE(term.mTakeoverUnix == first);
  }
}

TEST_CASE("An owner that lost its majority cannot outlast its successor's fence", "[Daemon]")
{
  // With the full tenure up to 10 s after the last acknowledgement, an agent that heard only the
  // old owner renewed its tasks until 40 s after the majority left, and its platform leases ended
  // 50 s after it; the successor started the tasks again after 45 s.
  const Config::TimeSettings times;
  const Common::Timestamp left = Common::ManualClock().now();
  Daemon::Term old = Daemon::MakeTerm(RecordOf(3, 1), 1, left);
  Daemon::NoteAcknowledged(old, "a0", 7, left, left);
  Daemon::NoteAcknowledged(old, "a1", 7, left - 1s, left);
  Daemon::NoteAcknowledged(old, "a2", 7, left + 8s, left + 8s);

  SECTION("whatever it grants ends in time")
  {
    for (auto now = left; now < left + 20s; now += 500ms) {
      const Common::Duration tenure = Daemon::TenureToGrant(old, times, now);
      const bool granted = tenure > Common::Duration();
      REQUIRE((!granted || now + tenure + times.mPlatformLease <
                             left + times.mTenure + times.mPlatformLease + times.mRestartMargin));
    }
    REQUIRE(Daemon::TenureToGrant(old, times, left) >= times.mTenure - 1s);
  }

  SECTION("and it restarts nothing itself once its majority is older than two seconds")
  {
    REQUIRE(Daemon::MayRestart(old, left + 1s));
    REQUIRE_FALSE(Daemon::MayRestart(old, left + 3s));
  }
}
