#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "UnitTests/Support/SpreadNetwork.h"

using namespace std::chrono_literals;
using Spread::Digest;
using Spread::Revision;
using Support::NetworkConfig;
using Support::SpreadNetwork;

namespace {

Spread::TableTexts
Texts(int aNumber)
{
  return { "routes " + std::to_string(aNumber), "pools" };
}

} // namespace

TEST_CASE("An accepted edit is in force everywhere and stays", "[Spread]")
{
  NetworkConfig config;
  config.mInstances = 60;
  config.mLoss = 0.05;
  SpreadNetwork network(config);
  network.publish(Texts(1));
  network.run(2s);
  REQUIRE(network.countInForce(network.stored()) == 60);

  SECTION("one region is cut off while the edit is made")
  {
    network.setRegionCut(1, true);
    network.publish(Texts(2));
    network.run(3s);
    // Data centres 0 and 1 are in region 0, so 40 of the 60 processes have it.
    REQUIRE(network.countInForce(network.stored()) == 40);

    SECTION("and gets it within two seconds when it returns")
    {
      network.setRegionCut(1, false);
      network.run(2s);
      REQUIRE(network.countInForce(network.stored()) == 60);
    }
    SECTION("and gets it by way of the other region's relays while the store is away")
    {
      network.setStoreUp(false);
      network.setRegionCut(1, false);
      network.run(2s);
      REQUIRE(network.countInForce(network.stored()) == 60);
    }
  }

  SECTION("a process restarts while the store is away")
  {
    network.setStoreUp(false);
    network.restart(7);
    network.run(1s);
    REQUIRE(network.state(7).mInForce == Digest());
    network.run(2s);
    REQUIRE(network.state(7).mInForce == network.stored());
  }

  SECTION("a stale peer offers an earlier revision")
  {
    const Spread::FetchReply old = Spread::AnswerFetch(network.state(5), Digest());
    network.publish(Texts(2));
    network.run(2s);
    network.injectReply(9, old);
    network.run(1s);
    REQUIRE(network.regressions() == 0);
    REQUIRE(network.countInForce(network.stored()) == 60);
  }

  SECTION("a damaged reply changes nothing")
  {
    Spread::FetchReply damaged = Spread::AnswerFetch(network.state(5), Digest());
    damaged.mDigest.mRevision = Revision(100);
    damaged.mDigest.mHash += 1;
    network.injectReply(9, damaged);
    REQUIRE(network.state(9).mInForce == network.stored());
  }
}

TEST_CASE("A fresh process does not start from a minority of its peers", "[Spread]")
{
  const Digest newest{ Revision(5), 50 };
  const Digest older{ Revision(4), 40 };
  using Answers = std::vector<Spread::StartupAnswer>;

  SECTION("two of five answers are not enough")
  {
    const Answers answers{ { "a", newest }, { "b", newest } };
    REQUIRE(Spread::JudgeStartup(answers, 5, true).mVerdict == Spread::StartupVerdict::Wait);
  }
  SECTION("three are, and the highest answer counts")
  {
    const Answers answers{ { "a", older }, { "b", newest }, { "c", older } };
    const auto decision = Spread::JudgeStartup(answers, 5, true);
    REQUIRE(decision.mVerdict == Spread::StartupVerdict::Ready);
    REQUIRE(decision.mTarget == newest);

    SECTION("but not before a revision that is spreading has reached the peers")
    {
      REQUIRE(Spread::JudgeStartup(answers, 5, false).mVerdict == Spread::StartupVerdict::Wait);
    }
  }
  SECTION("peers that are starting themselves do not count as answers")
  {
    const Answers answers{ { "a", {} }, { "b", {} }, { "c", newest } };
    REQUIRE(Spread::JudgeStartup(answers, 3, true).mVerdict == Spread::StartupVerdict::Wait);
  }
}

TEST_CASE("A revision is used only when it survives this process' restart", "[Spread]")
{
  Spread::State state;
  Common::Random random(1);
  state.mSelf = Common::InstanceId("self");
  for (const char* name : { "a", "b", "c", "d" }) {
    state.mLocalPeers.emplace_back(name);
  }
  Spread::Timestamp now{ 1h };
  const Spread::TableTexts texts = Texts(1);
  const Digest digest{ Revision(1), Spread::HashTexts(texts) };
  Spread::Step(state, Spread::StoreRevision{ digest, texts }, now, random);
  REQUIRE(state.mHeld == digest);
  REQUIRE(state.mInForce == Digest());

  SECTION("three peers say that they hold it")
  {
    for (const char* name : { "a", "b", "b" }) {
      Spread::Step(state, Spread::DigestReceived{ Common::InstanceId(name), digest }, now, random);
      REQUIRE(state.mInForce == Digest());
    }
    Spread::Step(state, Spread::DigestReceived{ Common::InstanceId("c"), digest }, now, random);
    REQUIRE(state.mInForce == digest);
  }
  SECTION("no peer answers for a second")
  {
    Spread::Step(state, Spread::Tick{}, now + 1s, random);
    REQUIRE(state.mInForce == digest);
  }
}

namespace {

/// Plays random cuts, restarts, edits and store outages, ends the faults, and returns the network.
SpreadNetwork
PlayFaults(const NetworkConfig& aConfig, const std::vector<int>& aSteps)
{
  SpreadNetwork network(aConfig);
  int number = 0;
  for (const int step : aSteps) {
    switch (step % 6) {
      case 0:
        network.publish(Texts(++number));
        break;
      case 1:
        network.setRegionCut(static_cast<std::size_t>(step) / 6 % 2, step % 4 == 1);
        break;
      case 2:
        network.setStoreUp(step % 4 == 0);
        break;
      case 3:
        network.restart(static_cast<std::size_t>(step) % network.size());
        break;
      default:
        network.run(std::chrono::milliseconds(step));
    }
  }
  network.setRegionCut(0, false);
  network.setRegionCut(1, false);
  network.setStoreUp(true);
  network.publish(Texts(++number));
  network.run(20s);
  return network;
}

NetworkConfig
LossyConfig(std::uint64_t aSeed)
{
  NetworkConfig config;
  config.mInstances = 24;
  config.mLoss = 0.2;
  config.mSeed = aSeed;
  return config;
}

} // namespace

TEST_CASE("Under random cuts, restarts and store outages no revision goes back", "[Spread]")
{
  rc::prop("and all processes agree once the faults end", [] {
    const NetworkConfig config = LossyConfig(*rc::gen::arbitrary<std::uint64_t>());
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 600));
    const SpreadNetwork network = PlayFaults(config, steps);
    RC_ASSERT(network.regressions() == 0U);
    RC_ASSERT(network.conflicts() == 0U);
    RC_ASSERT(network.countInForce(network.stored()) == 24U);
  });

  SECTION(
    "the check reports a process that starts from its first answers and uses a revision at once")
  {
    // Found by the property above: the process had just put revision 2 in force, restarted while
    // the store was away, and began with revision 1 from peers that revision 2 had not reached yet.
    std::uint64_t regressions = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      NetworkConfig config = LossyConfig(seed);
      config.mTiming.mHoldersBeforeUse = 0;
      config.mTiming.mSettle = {};
      // Publish, restart the relay of data centre 0 with the store down at once, and run.
      regressions += PlayFaults(config, { 0, 592, 0, 100, 2, 3, 592 }).regressions();
      regressions += PlayFaults(config, { 0, 592, 0, 4, 2, 51, 592 }).regressions();
    }
    REQUIRE(regressions > 0);
  }
}
