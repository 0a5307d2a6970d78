#include <catch2/catch.hpp>

#include "Store/CallBudget.h"
#include "Store/MemoryStore.h"

using namespace std::chrono_literals;
using Store::Purpose;
using Store::StoreError;

TEST_CASE("Store calls stay within their budget", "[Store]")
{
  const Common::Timestamp start(1h);
  Store::CallBudget budget =
    Store::MakeCallBudget({ { { 1, 2 }, { 1, 1 }, { 10, 10 }, { 1, 1 } } }, { 1, 1 }, start);

  SECTION("a flood of one purpose leaves the tokens of the others")
  {
    int taken = 0;
    for (int i = 0; i < 100; ++i) {
      taken += Store::TakeCall(budget, Purpose::Jobs, start) ? 1 : 0;
    }
    REQUIRE(taken == 11);
    REQUIRE(Store::TakeCall(budget, Purpose::Ownership, start));
    REQUIRE(Store::TakeCall(budget, Purpose::Ownership, start));
    REQUIRE_FALSE(Store::TakeCall(budget, Purpose::Ownership, start));
  }

  SECTION("over a minute the rate holds, whatever the steps of time are")
  {
    int taken = 0;
    for (int i = 0; i < 6000; ++i) {
      taken += Store::TakeCall(budget, Purpose::Tables, start + i * 10ms) ? 1 : 0;
    }
    REQUIRE(taken >= 119);
    REQUIRE(taken <= 122);
  }
}

TEST_CASE("Processes return spread when the store is back", "[Store]")
{
  const Common::Timestamp down(1h);
  Common::Random random(1);
  const Store::BackOffSettings settings;
  std::vector<Common::Timestamp> returns;
  for (int process = 0; process < 200; ++process) {
    Store::BackOff backOff;
    Common::Timestamp now = down;
    while (now < down + 60s) {
      Store::NoteFailure(backOff, settings, now, random);
      now = std::max(now, backOff.mNextCall);
      REQUIRE(Store::MayCall(backOff, now));
    }
    returns.push_back(now);
  }

  SECTION("no second sees more than a fifth of them")
  {
    for (const Common::Timestamp second : returns) {
      const auto close = std::count_if(returns.begin(), returns.end(), [&](auto aOther) {
        return aOther >= second && aOther < second + 1s;
      });
      REQUIRE(close < 40);
    }
  }
}

TEST_CASE("A budgeted store refuses without calling", "[Store]")
{
  Common::ManualClock clock;
  Store::MemoryStore store(clock);
  Store::BudgetedStore::Shared shared;
  shared.mBudget =
    Store::MakeCallBudget({ { { 5, 5 }, { 5, 5 }, { 5, 5 }, { 5, 5 } } }, { 0, 0 }, clock.now());
  Store::BudgetedStore budgeted(store, clock, shared, Purpose::Jobs);

  SECTION("beyond the budget")
  {
    for (int i = 0; i < 20; ++i) {
      (void)budgeted.read("key");
    }
    REQUIRE(store.counts().mReads == 5);
    REQUIRE(budgeted.read("key").error() == StoreError::Unavailable);
  }

  SECTION("while the store is down, but a single lost answer can be settled at once")
  {
    store.setFaults({ .mLoseAnswers = 1 });
    REQUIRE(budgeted.compareAndSwap("key", {}, "x").error() == StoreError::Unknown);
    REQUIRE(budgeted.read("key").value());
    store.setFaults({ .mDown = true });
    for (int i = 0; i < 4; ++i) {
      REQUIRE_FALSE(budgeted.read("key"));
    }
    REQUIRE(store.counts().mRefused == 2);
    store.setFaults({});
    clock.advance(10s);
    REQUIRE(budgeted.read("key").value());
  }
}
