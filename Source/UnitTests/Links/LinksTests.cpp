#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "Links/Links.h"

using namespace std::chrono_literals;
using namespace Links;

namespace {

const Common::Timestamp kStart{ 1h };

constexpr std::array kAll{ Purpose::Urgent, Purpose::Control, Purpose::Batch };

} // namespace

TEST_CASE("A flood of batch bytes leaves room for urgent ones", "[Links]")
{
  LinkBudget link = MakeLinkBudget({}, kStart);
  Common::Timestamp now = kStart;
  for (int i = 0; i < 10000; ++i) {
    now += 1ms;
    while (SpendLink(link, Purpose::Batch, Common::Bytes(1500), now).mGranted) {
    }
    REQUIRE(LinkHasRoom(link, Purpose::Urgent, Common::Bytes(100000), now));
  }
  SECTION("and an urgent flood leaves control and batch their minimum shares")
  {
    const auto batchBefore = link.mSentBytes[2];
    for (int i = 0; i < 100000; ++i) {
      now += 100us;
      while (SpendLink(link, Purpose::Urgent, Common::Bytes(1500), now).mGranted) {
      }
      SpendLink(link, Purpose::Batch, Common::Bytes(1500), now);
    }
    const double share = static_cast<double>(link.mSentBytes[2] - batchBefore) / (10 * 3'750'000.0);
    REQUIRE(share == Approx(0.05).epsilon(0.05));
  }
  SECTION("a refusal says when to come again")
  {
    const LinkGrant refused = SpendLink(link, Purpose::Batch, Common::Bytes(1500), now);
    REQUIRE_FALSE(refused.mGranted);
    REQUIRE(
      SpendLink(link, Purpose::Batch, Common::Bytes(1500), now + refused.mRetryAfter).mGranted);
  }
}

TEST_CASE("The link never carries more than its rate", "[Links]")
{
  rc::prop("over random messages of all purposes", [] {
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
      rc::gen::inRange(0, 3), rc::gen::inRange(0, 2000000), rc::gen::inRange(0, 90)));
    LinkBudget link = MakeLinkBudget({}, kStart);
    Common::Timestamp now = kStart;
    double granted = 0;
    for (const auto& [purpose, size, wait] : steps) {
      now += std::chrono::milliseconds(wait);
      if (SpendLink(link, kAll[purpose], Common::Bytes(size), now).mGranted) {
        granted += size;
      }
      const std::chrono::duration<double> elapsed = now - kStart;
      // One message of at most 2 MB may exceed the burst for each purpose's own share.
      RC_ASSERT(granted <= 937500.0 + 3 * 2e6 + elapsed.count() * 3.75e6);
    }
  });
}
