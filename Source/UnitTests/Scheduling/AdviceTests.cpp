#include <catch2/catch.hpp>

#include "Fixture.h"

using namespace SchedulingTests;

namespace {

/// Answer that grants only this worker.
Advice
Granting(const std::string& aWorker)
{
  return { { { WorkerId(aWorker), "ticket-" + aWorker } }, milliseconds(3000) };
}

} // namespace

TEST_CASE("Tasks of a queue with tickets start only with a ticket", "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addWorker("w2");
  fixture.mState.mQueues[Common::RouteId("quote")].mAdvice =
    AdviceTimes{ milliseconds(300), milliseconds(2), milliseconds(3000) };
  fixture.addJob("a", { MakeStep().tasks(2).build() });
  SchedulerState& state = fixture.mState;

  SECTION("nothing starts before the service has answered")
  {
    REQUIRE(fixture.place().empty());
    REQUIRE(state.mAdviceRequests.size() == 1);
    const AdviceRequest request = state.mAdviceRequests[0];
    REQUIRE(request.mWorkers.size() == 2);

    SECTION("a step has at most one open request")
    {
      fixture.place();
      REQUIRE(state.mAdviceRequests.size() == 1);
    }

    SECTION("tasks start on granted workers and carry the ticket")
    {
      ApplyAdvice(state, request.mNumber, Granting("w2"), fixture.now());
      const auto orders = fixture.place();
      REQUIRE(orders.size() == 2);
      for (const Order& order : orders) {
        REQUIRE(order.mLifetime.mWorker == WorkerId("w2"));
        REQUIRE(order.mTicket == "ticket-w2");
      }
    }

    SECTION("an expired ticket is requested again, a denied worker is not")
    {
      ApplyAdvice(state, request.mNumber, Granting("w2"), fixture.now());
      state.mAdviceRequests.clear();
      fixture.advance(milliseconds(3000));
      fixture.report(fixture.view("w1"));
      fixture.report(fixture.view("w2"));
      REQUIRE(fixture.place().empty());
      REQUIRE(state.mAdviceRequests.size() == 1);
      REQUIRE(state.mAdviceRequests[0].mWorkers.size() == 1);
      REQUIRE(state.mAdviceRequests[0].mWorkers[0].mWorker == WorkerId("w2"));
    }

    SECTION("a rejected ticket is requested again")
    {
      ApplyAdvice(state, request.mNumber, Granting("w2"), fixture.now());
      state.mAdviceRequests.clear();
      const auto orders = fixture.place();
      for (const Order& order : orders) {
        ApplyOrderResult(state, order.mNumber, OrderResult::TicketRejected, fixture.now());
      }
      REQUIRE(fixture.place().empty());
      REQUIRE(state.mAdviceRequests.size() == 1);
    }

    SECTION("an agent that got no answer is skipped for a while")
    {
      ApplyAdvice(state, request.mNumber, std::nullopt, fixture.now());
      state.mAdviceRequests.clear();
      fixture.place();
      REQUIRE(state.mAdviceRequests.size() == 1);
      REQUIRE(state.mAdviceRequests[0].mAgent != request.mAgent);
    }

    SECTION("a request whose answer was lost is abandoned")
    {
      state.mAdviceRequests.clear();
      fixture.advance(milliseconds(2500));
      fixture.report(fixture.view("w1"));
      fixture.report(fixture.view("w2"));
      fixture.place();
      REQUIRE(state.mAdviceRequests.size() == 1);
      // The late answer to the first request has no effect.
      ApplyAdvice(state, request.mNumber, Granting("w1"), fixture.now());
      REQUIRE(fixture.place().empty());
    }
  }

  SECTION("each agent has at most one open request")
  {
    for (const char* job : { "b", "c", "d" }) {
      fixture.addJob(job, { MakeStep().build() });
    }
    fixture.place();
    REQUIRE(state.mAdviceRequests.size() == 2);
    REQUIRE(state.mAdviceRequests[0].mAgent != state.mAdviceRequests[1].mAgent);
  }
}

TEST_CASE("Tickets are requested before there is capacity", "[Scheduling]")
{
  // Load pattern: a queue that waits for capacity. Freed capacity is taken before an answer of the
  // service arrives.
  Fixture fixture;
  fixture.addWorker("w1", 1000);
  fixture.mState.mQueues[Common::RouteId("quote")].mAdvice =
    AdviceTimes{ milliseconds(300), milliseconds(2), milliseconds(3000) };
  fixture.addJob("a", { MakeStep().build() });
  fixture.place();
  ApplyAdvice(fixture.mState, 1, Granting("w1"), fixture.now());
  const auto first = fixture.place();
  REQUIRE(first.size() == 1);
  fixture.confirm(first);
  fixture.mState.mAdviceRequests.clear();
  fixture.addJob("b", { MakeStep().build() });
  fixture.place();
  REQUIRE(fixture.mState.mAdviceRequests.size() == 1);
  ApplyAdvice(fixture.mState, 2, Granting("w1"), fixture.now());
  auto view = fixture.view("w1", 1000);
  view.mEnded = { Fixture::ended(first[0], 1, EndKind::Done) };
  fixture.report(view);
  REQUIRE(fixture.place().size() == 1);
}
