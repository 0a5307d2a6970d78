#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <thread>
#include <vector>

#include "Net/ReceiveBudget.h"

using namespace std::chrono_literals;
using Net::ReceiveBudget;
using Phase = Net::ReceiveBudget::Phase;
using Share = Net::ReceiveBudget::Share;

namespace {

constexpr std::uint64_t kBytes = 1'000;

/// Connections that release everything when they are asked to.
struct Connections
{
  Share& add(std::uint64_t aBytes, Phase aPhase)
  {
    const std::size_t number = mShares.size();
    mShares.push_back(std::make_unique<Share>(mBudget, [this, number] {
      mGivenUp.push_back(number);
      mShares[number]->force(0);
    }));
    REQUIRE(mShares.back()->resize(aBytes));
    mShares.back()->enter(aPhase);
    return *mShares.back();
  }

  /// Until connections on which nothing happens count as stalled.
  static void waitForStall() { std::this_thread::sleep_for(ReceiveBudget::kStallTime + 20ms); }

  std::shared_ptr<ReceiveBudget> mBudget = std::make_shared<ReceiveBudget>(kBytes);
  std::vector<std::unique_ptr<Share>> mShares;
  std::vector<std::size_t> mGivenUp;
};

} // namespace

TEST_CASE("A connection that needs room takes it from stalled ones", "[Net]")
{
  Connections connections;
  connections.add(300, Phase::Idle);
  connections.add(300, Phase::Sending);
  connections.add(300, Phase::Receiving);
  Share& share = connections.add(50, Phase::Receiving);

  SECTION("but not from connections on which something happens")
  {
    REQUIRE(share.resize(100));
    REQUIRE_FALSE(share.resize(101));
    REQUIRE(share.bytes() == 100);
    REQUIRE(connections.mGivenUp.empty());
  }

  SECTION("first from incomplete requests, then from unread answers, last from idle ones")
  {
    Connections::waitForStall();
    REQUIRE(share.resize(200));
    REQUIRE(connections.mGivenUp == std::vector<std::size_t>{ 2 });
    REQUIRE(share.resize(600));
    REQUIRE(connections.mGivenUp == std::vector<std::size_t>{ 2, 1 });
    REQUIRE(share.resize(1'000));
    REQUIRE(connections.mGivenUp == std::vector<std::size_t>{ 2, 1, 0 });
    REQUIRE_FALSE(share.resize(1'001));
    REQUIRE(connections.mBudget->usedBytes() == 1'000);
  }

  SECTION("and not from a request that goes on arriving")
  {
    Connections::waitForStall();
    connections.mShares[2]->addProgress(ReceiveBudget::kProgressBytes);
    REQUIRE(share.resize(200));
    REQUIRE(connections.mGivenUp == std::vector<std::size_t>{ 1 });
  }

  SECTION("nor does a request that brings single bytes keep its room")
  {
    Connections::waitForStall();
    connections.mShares[2]->addProgress(1);
    REQUIRE(share.resize(200));
    REQUIRE(connections.mGivenUp == std::vector<std::size_t>{ 2 });
  }

  SECTION("and a complete request keeps its room")
  {
    REQUIRE(connections.mShares[2]->hold(300));
    Connections::waitForStall();
    REQUIRE_FALSE(share.resize(701));
    REQUIRE(connections.mGivenUp == std::vector<std::size_t>{ 1, 0 });
  }
}

TEST_CASE("Complete requests leave room to receive another one", "[Net]")
{
  Connections connections;
  Share& first = connections.add(100, Phase::Receiving);
  Share& second = connections.add(100, Phase::Receiving);

  SECTION("several take at most three quarters")
  {
    REQUIRE(first.hold(400));
    REQUIRE_FALSE(second.hold(351));
    REQUIRE(second.hold(350));
    REQUIRE(connections.mBudget->heldBytes() == 750);
    first.enter(Phase::Sending);
    REQUIRE(connections.mBudget->heldBytes() == 350);
  }

  SECTION("a single one may take more")
  {
    REQUIRE(first.hold(900));
    REQUIRE_FALSE(second.hold(100));
  }

  SECTION("all is released with the connections")
  {
    REQUIRE(first.hold(400));
    connections.mShares.clear();
    REQUIRE(connections.mBudget->usedBytes() == 0);
    REQUIRE(connections.mBudget->heldBytes() == 0);
  }
}
