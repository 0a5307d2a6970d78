#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "Store/Segments.h"
#include "UnitTests/Schedules.h"
#include "UnitTests/Store/AdversaryStore.h"

using Common::Epoch;
using Store::LogError;

namespace {

using Records = std::vector<std::string>;

// Owners that follow each other write one log through an adversary; earlier ones go on writing and
// compacting as if they had only been paused.
class LogRace
{
public:
  explicit LogRace(std::uint64_t aSeed)
    : mAdversary(mStore, aSeed)
  {
    mAdversary.mLose = 8;
    // With long delays whole operations end before one of their writes takes effect.
    mAdversary.mDelay = aSeed % 4 == 0 ? 45 : 8;
    mAdversary.mDie = 2;
    mAdversary.mRefuse = 2;
    mAdversary.mInterleave = 6;
    mAdversary.mOther = [this] { act(); };
  }

  void act()
  {
    const std::uint64_t choice = mAdversary.random().below(10);
    if (mOwners.empty() || choice == 0) {
      return open();
    }
    const std::size_t owner = mAdversary.random().below(mOwners.size());
    // An owner that is in the middle of a call cannot make another one.
    if (mOwners[owner]->mBusy) {
      return;
    }
    mOwners[owner]->mBusy = true;
    try {
      choice < 3 ? compact(*mOwners[owner]) : append(*mOwners[owner]);
      mOwners[owner]->mBusy = false;
    } catch (const WriterDied&) {
      // It stays busy, which is as good as dead.
    }
  }

  void check()
  {
    mAdversary.settle();
    const auto log = Store::OpenLog(mStore, "jobs/c", Epoch(++mEpoch), "reader");
    REQUIRE(log.has_value());
    std::set<std::string> found;
    for (const std::string& record : log->mRecords) {
      REQUIRE(found.insert(record).second);
    }
    for (const std::string& record : mWritten) {
      REQUIRE(found.count(record) == 1U);
    }
    for (const std::string& record : mRefused) {
      REQUIRE(found.count(record) == 0U);
    }
  }

private:
  struct Owner
  {
    Store::LogWriter mWriter;
    Records mKnown;
    Records mPending;
    bool mBusy = false;
  };

  void open()
  {
    const std::int64_t epoch = ++mEpoch;
    try {
      auto log = Store::OpenLog(mAdversary, "jobs/c", Epoch(epoch), "o" + std::to_string(epoch));
      if (log) {
        mOwners.push_back(std::make_unique<Owner>(Owner{ log->mWriter, log->mRecords, {}, false }));
      }
    } catch (const WriterDied&) {
      // The next owner opens the log again.
    }
  }

  void append(Owner& aOwner)
  {
    if (aOwner.mPending.empty()) {
      aOwner.mPending = { "r" + std::to_string(++mRecords), "r" + std::to_string(++mRecords) };
    }
    const auto written = Store::AppendSegment(mAdversary, aOwner.mWriter, aOwner.mPending);
    if (!written && written.error() == LogError::Unknown) {
      return;
    }
    Records& target = written ? mWritten : mRefused;
    target.insert(target.end(), aOwner.mPending.begin(), aOwner.mPending.end());
    if (written) {
      aOwner.mKnown.insert(aOwner.mKnown.end(), aOwner.mPending.begin(), aOwner.mPending.end());
    }
    aOwner.mPending.clear();
  }

  void compact(Owner& aOwner)
  {
    (void)Store::CompactLog(mAdversary, aOwner.mWriter, aOwner.mKnown);
  }

  Common::ManualClock mClock;
  Store::MemoryStore mStore{ mClock };
  AdversaryStore mAdversary;
  std::int64_t mEpoch = 0;
  int mRecords = 0;
  std::vector<std::unique_ptr<Owner>> mOwners;
  Records mWritten;
  Records mRefused;
};

} // namespace

TEST_CASE("An owner keeps records in segments", "[Store]")
{
  Common::ManualClock clock;
  Store::MemoryStore store(clock);
  auto log = Store::OpenLog(store, "jobs/c", Epoch(1), "one");
  REQUIRE(log);
  REQUIRE(Store::AppendSegment(store, log->mWriter, { "a", "b" }));
  REQUIRE(Store::AppendSegment(store, log->mWriter, { "c" }));

  SECTION("the next owner reads them in order, and stops the earlier one")
  {
    const auto next = Store::OpenLog(store, "jobs/c", Epoch(2), "two");
    REQUIRE(next->mRecords == Records{ "a", "b", "c" });
    REQUIRE(Store::AppendSegment(store, log->mWriter, { "d" }).error() == LogError::Deposed);
    REQUIRE(Store::CompactLog(store, log->mWriter, {}).error() == LogError::Deposed);
    REQUIRE(Store::OpenLog(store, "jobs/c", Epoch(1), "one").error() == LogError::Deposed);
  }

  SECTION("a compaction leaves the snapshot, the markers and the later segments")
  {
    REQUIRE(Store::CompactLog(store, log->mWriter, { "a", "c" }));
    REQUIRE(Store::AppendSegment(store, log->mWriter, { "d" }));
    REQUIRE(store.readPrefix("jobs/c/seg/", 100)->size() == 2);
    REQUIRE(store.readPrefix("jobs/c/snap/", 100)->size() == 1);
    REQUIRE_FALSE(store.read("jobs/c/plan").value());
    const auto next = Store::OpenLog(store, "jobs/c", Epoch(2), "two");
    REQUIRE(next->mRecords == Records{ "a", "c", "d" });
  }

  SECTION("a deposed owner also meets the marker after its successor compacted the log")
  {
    auto next = Store::OpenLog(store, "jobs/c", Epoch(2), "two");
    REQUIRE(Store::CompactLog(store, next->mWriter, next->mRecords));
    REQUIRE(Store::AppendSegment(store, log->mWriter, { "d" }).error() == LogError::Deposed);
  }

  SECTION("a large snapshot takes several values, a record beyond one value is refused")
  {
    const Records large(5, std::string(500000, 'x'));
    REQUIRE(Store::CompactLog(store, log->mWriter, large));
    REQUIRE(store.readPrefix("jobs/c/snap/", 100)->size() == 3);
    REQUIRE(Store::OpenLog(store, "jobs/c", Epoch(2), "two")->mRecords == large);
    const Records huge{ std::string(1 << 20, 'x') };
    REQUIRE(Store::AppendSegment(store, log->mWriter, huge).error() == LogError::TooLarge);
  }

  // Found by the random schedules: the slow owner took the gap for the end of the log, and what it
  // wrote there was acknowledged and lost.
  SECTION("an owner that is overtaken by a compaction while it reads the log is told so")
  {
    AdversaryStore adversary(store, 1);
    adversary.mBeforeRead = [&](const std::string& aKey) {
      if (aKey == "jobs/c/seg/000000000003") {
        adversary.mBeforeRead = {};
        auto fast = Store::OpenLog(store, "jobs/c", Epoch(3), "three");
        REQUIRE(Store::CompactLog(store, fast->mWriter, fast->mRecords));
      }
    };
    const auto slow = Store::OpenLog(adversary, "jobs/c", Epoch(2), "two");
    REQUIRE_FALSE(adversary.mBeforeRead);
    REQUIRE(slow.error() == LogError::Deposed);
  }

  SECTION("compactions do not grow the store")
  {
    for (int i = 0; i < 50; ++i) {
      REQUIRE(Store::AppendSegment(store, log->mWriter, { "x" }));
      REQUIRE(Store::CompactLog(store, log->mWriter, { "x" }));
    }
    REQUIRE(store.readPrefix("jobs/c/", 1000)->size() == 3);
  }
}

TEST_CASE("No record is lost or doubled whatever happens to its writers", "[Store]")
{
  const auto run = [](std::uint64_t aSeed) {
    INFO("seed " << aSeed);
    LogRace race(aSeed);
    for (int i = 0; i < 40; ++i) {
      race.act();
    }
    race.check();
  };

  SECTION("written records are in the log once, refused ones never")
  {
    const std::uint64_t first = FirstSeed();
    for (std::uint64_t seed = first; seed < first + ScheduleCount(2000); ++seed) {
      run(seed);
    }
  }

  // A slow owner took the gap of a compaction for the end of the log. The last seed fails if the
  // parts of an unfinished snapshot are erased while its head record may still take effect.
  SECTION("schedules that once failed")
  {
    for (const std::uint64_t seed : { 1510UL, 31772UL }) {
      run(seed);
    }
  }
}

TEST_CASE("Records wait a short time to be packed", "[Store]")
{
  using namespace std::chrono_literals;
  Store::SegmentBuffer buffer;
  const Common::Timestamp now(1h);
  REQUIRE_FALSE(Store::FlushDue(buffer, now));
  Store::AddRecord(buffer, "job", now);
  REQUIRE_FALSE(Store::FlushDue(buffer, now + 19ms));
  REQUIRE(Store::FlushDue(buffer, now + 20ms));
  Store::AddRecord(buffer, std::string(Store::kPackBytes, 'x'), now);
  REQUIRE(Store::FlushDue(buffer, now));
}
