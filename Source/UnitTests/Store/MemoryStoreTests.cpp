#include <thread>

#include <catch2/catch.hpp>

#include "Store/MemoryStore.h"

using namespace std::chrono_literals;
using Store::StoreError;
using Store::Version;

TEST_CASE("The in-memory store swaps values by version", "[Store]")
{
  Common::ManualClock clock;
  Store::MemoryStore store(clock);
  const Version first = store.compareAndSwap("a/1", Version(), "one").value();

  SECTION("a create-only write of an existing key conflicts and changes nothing")
  {
    REQUIRE(store.compareAndSwap("a/1", Version(), "two").error() == StoreError::Conflict);
    REQUIRE((*store.read("a/1"))->mValue == "one");
  }

  SECTION("a swap with the current version takes effect, and the old version then conflicts")
  {
    const Version second = store.compareAndSwap("a/1", first, "two").value();
    REQUIRE(second > first);
    REQUIRE(store.erase("a/1", first).error() == StoreError::Conflict);
    REQUIRE(store.erase("a/1", second));
    REQUIRE_FALSE(store.read("a/1").value());
  }

  SECTION("a prefix read returns the keys in order and at most the limit")
  {
    REQUIRE(store.compareAndSwap("a/0", Version(), "zero"));
    REQUIRE(store.compareAndSwap("b", Version(), "other"));
    REQUIRE(store.readPrefix("a/", 10)->size() == 2);
    REQUIRE(store.readPrefix("a/", 1)->front().mKey == "a/0");
  }

  SECTION("a value over the limit is refused")
  {
    const std::string large(Store::kMaxValue.value() + 1, 'x');
    REQUIRE(store.compareAndSwap("large", Version(), large).error() == StoreError::TooLarge);
  }

  SECTION("a lost answer hides a write that took effect")
  {
    store.setFaults({ .mLoseAnswers = 1 });
    REQUIRE(store.compareAndSwap("a/1", first, "two").error() == StoreError::Unknown);
    REQUIRE((*store.read("a/1"))->mValue == "two");
  }

  SECTION("a store that is down refuses and counts the calls")
  {
    store.setFaults({ .mDown = true });
    REQUIRE(store.read("a/1").error() == StoreError::Unavailable);
    REQUIRE(store.counts().mReads == 1);
    REQUIRE(store.counts().mRefused == 1);
  }
}

TEST_CASE("Leases in the in-memory store end by themselves", "[Store]")
{
  Common::ManualClock clock;
  Store::MemoryStore store(clock);
  const Store::LeaseId lease = store.grantLease(6s).value();
  const Version version = store.compareAndSwap("owner", Version(), "x", lease).value();

  SECTION("a renewed lease keeps its key")
  {
    clock.advance(5s);
    REQUIRE(store.renewLease(lease));
    clock.advance(5s);
    REQUIRE(store.read("owner").value());
  }

  SECTION("a lease that is not renewed erases its key, and a watch reports that")
  {
    clock.advance(6s);
    REQUIRE(store.renewLease(lease).error() == StoreError::LeaseLapsed);
    REQUIRE(store.watch("owner", version, 0s)->mErased == std::vector<std::string>{ "owner" });
    REQUIRE(store.compareAndSwap("owner", Version(), "y", lease).error() ==
            StoreError::LeaseLapsed);
  }

  SECTION("a key that is written again without the lease outlives it")
  {
    REQUIRE(store.compareAndSwap("owner", version, "y"));
    store.lapseLeases();
    REQUIRE(store.read("owner").value());
  }
}

TEST_CASE("A watch reports each change once", "[Store]")
{
  Common::SystemClock clock;
  Store::MemoryStore store(clock);
  REQUIRE(store.compareAndSwap("t/1", Version(), "one"));
  const Version seen = store.watch("t/", Version(), 0s)->mUpTo;

  SECTION("a waiting watch wakes at the change")
  {
    std::thread writer([&store] { REQUIRE(store.compareAndSwap("t/2", Version(), "two")); });
    const auto result = store.watch("t/", seen, 60s);
    writer.join();
    REQUIRE(result->mChanged.size() == 1);
    REQUIRE(result->mChanged.front().mKey == "t/2");
    REQUIRE(store.watch("t/", result->mUpTo, 0s)->mChanged.empty());
  }

  SECTION("a watch gap hides a change that a read still shows")
  {
    store.setFaults({ .mWatchGaps = 1 });
    REQUIRE(store.compareAndSwap("t/2", Version(), "two"));
    const auto gap = store.watch("t/", seen, 60s);
    REQUIRE(gap->mChanged.empty());
    REQUIRE(store.watch("t/", gap->mUpTo, 0s)->mChanged.empty());
    REQUIRE(store.read("t/2").value());
  }
}
