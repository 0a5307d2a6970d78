#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "Membership/JoinGate.h"
#include "Membership/Members.h"

using namespace Membership;
using namespace std::chrono_literals;

namespace {

Announcement
Announce(const std::string& aName, std::int64_t aIncarnation, std::uint64_t aSequence)
{
  return { aName, Incarnation(aIncarnation), aSequence, false, false };
}

MemberStatus
StatusOf(const MemberTable& aTable, const std::string& aName)
{
  return FindMember(aTable, aName)->mStatus;
}

} // namespace

TEST_CASE("A member announces itself and is followed until it goes", "[Membership]")
{
  MemberTable table;
  const Timeouts timeouts;
  Timestamp now{ 1h };
  REQUIRE(ApplyAnnounce(table, Announce("e1", 1, 1), now) == AnnounceResult::Joined);
  REQUIRE(MayGetWork(table, "e1"));

  SECTION("it falls silent")
  {
    now += 2100ms;
    REQUIRE(Sweep(table, timeouts, now).empty());
    REQUIRE(StatusOf(table, "e1") == MemberStatus::Suspect);
    REQUIRE_FALSE(MayGetWork(table, "e1"));

    SECTION("and is heard again in time")
    {
      REQUIRE(ApplyAnnounce(table, Announce("e1", 1, 2), now) == AnnounceResult::Changed);
      REQUIRE(MayGetWork(table, "e1"));
    }
    SECTION("and stays silent, so that it is gone after three seconds")
    {
      now += 1s;
      REQUIRE(Sweep(table, timeouts, now) == std::vector<std::string>{ "e1" });

      SECTION("a delayed message of its past does not bring it back")
      {
        REQUIRE(ApplyAnnounce(table, Announce("e1", 1, 1), now) == AnnounceResult::Stale);
        REQUIRE_FALSE(MayGetWork(table, "e1"));
      }
      SECTION("a newer message of the same process does, as after a network cut")
      {
        ApplyAnnounce(table, Announce("e1", 1, 2), now);
        REQUIRE(MayGetWork(table, "e1"));
      }
    }
  }

  SECTION("it restarts: the new incarnation replaces the old one at once")
  {
    REQUIRE(ApplyAnnounce(table, Announce("e1", 2, 1), now) == AnnounceResult::Joined);
    REQUIRE(ApplyAnnounce(table, Announce("e1", 1, 99), now) == AnnounceResult::Stale);
    REQUIRE(FindMember(table, "e1")->mIncarnation == Incarnation(2));
  }

  SECTION("it says that it is leaving")
  {
    Announcement leaving = Announce("e1", 1, 2);
    leaving.mLeaving = true;
    REQUIRE(ApplyAnnounce(table, leaving, now) == AnnounceResult::Changed);
    REQUIRE_FALSE(MayGetWork(table, "e1"));

    SECTION("a later renewal without the mark does not undo it")
    {
      ApplyAnnounce(table, Announce("e1", 1, 3), now);
      REQUIRE(StatusOf(table, "e1") == MemberStatus::Leaving);
    }
    SECTION("its next incarnation gets work again")
    {
      ApplyAnnounce(table, Announce("e1", 2, 1), now);
      REQUIRE(MayGetWork(table, "e1"));
    }
  }

  SECTION("this process was paused, so the silence is its own")
  {
    now += 60s;
    REQUIRE(Sweep(table, timeouts, now, 60s).empty());
    REQUIRE(MayGetWork(table, "e1"));
  }
}

TEST_CASE("A reader that follows the changes knows what the table knows", "[Membership]")
{
  rc::prop("over random announcements, silences and reads", [] {
    MemberTable table;
    std::map<std::string, MemberStatus> mirror;
    std::uint64_t version = 0;
    const auto read = [&](std::size_t aLimit) {
      const Changes changes = ChangesSince(table, version, aLimit);
      if (changes.mFromStart) {
        mirror.clear();
      }
      for (const Member& member : changes.mMembers) {
        mirror[member.mName] = member.mStatus;
      }
      version = changes.mVersion;
      return changes.mMore;
    };

    Timestamp now{ 1h };
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    std::uint64_t sequence = 0;
    for (const int step : steps) {
      const std::string name = "m" + std::to_string(step % 7);
      if (step % 3 == 0) {
        now += std::chrono::milliseconds(step);
        Sweep(table, { 2s, 3s, 5s }, now);
      } else {
        Announcement announcement = Announce(name, 1 + step / 400, ++sequence);
        announcement.mLeaving = step % 11 == 0;
        ApplyAnnounce(table, announcement, now);
      }
      read(1 + static_cast<std::size_t>(step % 3));
    }
    while (read(2)) {
    }
    // A reader may keep a member that it saw as gone after the table has forgotten it.
    std::erase_if(mirror, [](const auto& aItem) { return aItem.second == MemberStatus::Gone; });
    std::size_t present = 0;
    for (const auto& [name, member] : table.mMembers) {
      if (member.mStatus != MemberStatus::Gone) {
        ++present;
        RC_ASSERT(mirror.count(name) == 1U);
        RC_ASSERT(mirror.at(name) == member.mStatus);
      }
    }
    RC_ASSERT(mirror.size() == present);
  });
}

TEST_CASE("A whole rack that restarts at once does not flood the owner", "[Membership]")
{
  JoinGate gate;
  Timestamp now{ 1h };
  gate.mRefilledAt = now;

  SECTION("five hundred processes join in the same instant and follow the retry times")
  {
    std::multimap<Timestamp, int> arrivals;
    for (int i = 0; i < 500; ++i) {
      arrivals.emplace(now, i);
    }
    std::map<std::int64_t, int> callsPerSecond;
    int admitted = 0;
    while (!arrivals.empty()) {
      const auto [time, id] = *arrivals.begin();
      arrivals.erase(arrivals.begin());
      const JoinDecision decision = AdmitJoin(gate, time);
      const auto second = std::chrono::duration_cast<std::chrono::seconds>(time - now).count();
      if (decision.mAdmitted) {
        ++admitted;
      } else {
        arrivals.emplace(time + decision.mRetryAfter, id);
      }
      if (time > now) {
        ++callsPerSecond[second];
      }
    }
    REQUIRE(admitted == 500);
    // The retries come at the admitted rate, so no later second sees more than twice that rate.
    for (const auto& [second, calls] : callsPerSecond) {
      REQUIRE(calls <= 2 * static_cast<int>(gate.mRatePerSecond));
    }
    REQUIRE(callsPerSecond.size() <= 10);
  }

  SECTION("first contacts and back-offs stay within their bounds")
  {
    Common::Random random(7);
    for (std::uint32_t i = 0; i < 1000; ++i) {
      REQUIRE(FirstContactDelay(random) <= 5s);
      const Duration delay = BackOff(i % 40, random);
      REQUIRE(delay > Duration(0));
      REQUIRE(delay <= 10s);
    }
  }
}
