#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "Admission/DeduplicationWindow.h"
#include "Common/RequestName.h"

using namespace std::chrono_literals;
using namespace Admission;
using Common::Outcome;

namespace {

const Common::Timestamp kStart{ 1h };

Common::RequestId
Id(std::uint64_t aSequence)
{
  return Common::FormatRequestId(
    { Common::InstanceId("region/entry"), Common::Incarnation(7), aSequence, 1 });
}

StoredOutcome
Ran(std::string aReply)
{
  return { Outcome::Ran,
           Common::Refusal::None,
           std::make_shared<const std::string>(std::move(aReply)) };
}

} // namespace

TEST_CASE("A request runs once per id and its outcome is kept", "[Admission]")
{
  DeduplicationWindow window;
  REQUIRE(BeginRequest(window, Id(1), kStart).mState == DeduplicationState::New);
  REQUIRE(BeginRequest(window, Id(1), kStart).mState == DeduplicationState::InProgress);
  REQUIRE(QueryOutcome(window, Id(1), kStart).mState == DeduplicationState::InProgress);
  FinishRequest(window, Id(1), Ran("answer"), kStart);
  const DeduplicationResult answer = QueryOutcome(window, Id(1), kStart + 1min);
  REQUIRE(answer.mState == DeduplicationState::Finished);
  REQUIRE(*answer.mOutcome.mReply == "answer");

  SECTION("after the retention period it counts as evicted, not as new")
  {
    REQUIRE(BeginRequest(window, Id(1), kStart + 3min).mState == DeduplicationState::Evicted);
    REQUIRE(QueryOutcome(window, Id(1), kStart + 3min).mState == DeduplicationState::Evicted);
    REQUIRE(BeginRequest(window, Id(2), kStart + 3min).mState == DeduplicationState::New);
  }

  SECTION("a query that arrives before its request stores not-run, and the request is refused")
  {
    REQUIRE(QueryOutcome(window, Id(5), kStart).mOutcome.mOutcome == Outcome::NotRun);
    const DeduplicationResult late = BeginRequest(window, Id(5), kStart);
    REQUIRE(late.mState == DeduplicationState::Finished);
    REQUIRE(late.mOutcome.mOutcome == Outcome::NotRun);
  }

  SECTION("text that is not a request id is refused")
  {
    REQUIRE(BeginRequest(window, Common::RequestId("x/1/2"), kStart).mState ==
            DeduplicationState::Malformed);
  }
}

TEST_CASE("No request id runs twice, whatever the memory limits", "[Admission]")
{
  rc::prop("with random ids, finishes and limits", [] {
    DeduplicationWindow window;
    window.mLimits.mMaxIds = *rc::gen::inRange<std::size_t>(1, 8);
    window.mLimits.mMaxReplies = Common::Bytes(*rc::gen::inRange(0, 64));
    window.mLimits.mMaxReply = Common::Bytes(32);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint64_t>>>(
      rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange<std::uint64_t>(1, 24)));
    std::map<std::uint64_t, int> started;
    Common::Timestamp now = kStart;
    for (const auto& [kind, sequence] : steps) {
      now += 10s;
      if (kind == 0) {
        FinishRequest(window, Id(sequence), Ran(std::string(sequence, 'x')), now);
      } else if (kind == 1) {
        const DeduplicationResult answer = QueryOutcome(window, Id(sequence), now);
        if (answer.mState == DeduplicationState::Finished &&
            answer.mOutcome.mOutcome == Outcome::NotRun) {
          RC_ASSERT(started[sequence] == 0);
        }
        if (answer.mState == DeduplicationState::Finished && answer.mOutcome.mReply) {
          RC_ASSERT(answer.mOutcome.mReply->size() == sequence);
        }
      } else if (BeginRequest(window, Id(sequence), now).mState == DeduplicationState::New) {
        RC_ASSERT(++started[sequence] == 1);
      }
      RC_ASSERT(window.mEntries.size() <= window.mLimits.mMaxIds);
      RC_ASSERT(window.mReplyBytes <= window.mLimits.mMaxReplies);
      RC_ASSERT(window.mReplyBytes >= Common::Bytes(0));
    }
  });
}
