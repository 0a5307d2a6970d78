#include <catch2/catch.hpp>

#include "Fixture.h"

using namespace SchedulingTests;

namespace {

/// The service grants the worker with this name alone.
Advice
Granting(const std::string& aWorker)
{
  return { { { WorkerId(aWorker), "ticket-" + aWorker } }, milliseconds(3000) };
}

} // namespace

TEST_CASE("A queue whose starts need tickets", "[Scheduling]")
{
  Fixture fixture;
  fixture.addWorker("w1");
  fixture.addWorker("w2");
  fixture.mState.mQueues[Common::RouteId("quote")].mAdvice =
    AdviceTimes{ milliseconds(300), milliseconds(2), milliseconds(3000) };
  fixture.addJob("a", { MakeStep().tasks(2).build() });
  SchedulerState& state = fixture.mState;

  SECTION("nothing starts before the service was asked")
  {
    REQUIRE(fixture.place().empty());
    REQUIRE(state.mAdviceRequests.size() == 1);
    const AdviceRequest request = state.mAdviceRequests[0];
    REQUIRE(request.mWorkers.size() == 2);

    SECTION("a step is asked about once at a time")
    {
      fixture.place();
      REQUIRE(state.mAdviceRequests.size() == 1);
    }

    SECTION("the tasks start where the service allows it, with the ticket")
    {
      ApplyAdvice(state, request.mNumber, Granting("w2"), fixture.now());
      const auto orders = fixture.place();
      REQUIRE(orders.size() == 2);
      for (const Order& order : orders) {
        REQUIRE(order.mLifetime.mWorker == WorkerId("w2"));
        REQUIRE(order.mTicket == "ticket-w2");
      }
    }

    SECTION("a denied worker is not asked about again, and a ticket ends")
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

    SECTION("a start that the worker rejects for its ticket is asked about anew")
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

    SECTION("an agent that got no answer is left out for a while")
    {
      ApplyAdvice(state, request.mNumber, std::nullopt, fixture.now());
      state.mAdviceRequests.clear();
      fixture.place();
      REQUIRE(state.mAdviceRequests.size() == 1);
      REQUIRE(state.mAdviceRequests[0].mAgent != request.mAgent);
    }

    SECTION("a question whose answer was lost is given up")
    {
      state.mAdviceRequests.clear();
      fixture.advance(milliseconds(2500));
      fixture.report(fixture.view("w1"));
      fixture.report(fixture.view("w2"));
      fixture.place();
      REQUIRE(state.mAdviceRequests.size() == 1);
      // The late answer of the first request changes nothing.
      ApplyAdvice(state, request.mNumber, Granting("w1"), fixture.now());
      REQUIRE(fixture.place().empty());
    }
  }

  SECTION("the service takes one call of an agent at a time")
  {
    for (const char* job : { "b", "c", "d" }) {
      fixture.addJob(job, { MakeStep().build() });
    }
    fixture.place();
    REQUIRE(state.mAdviceRequests.size() == 2);
    REQUIRE(state.mAdviceRequests[0].mAgent != state.mAdviceRequests[1].mAgent);
  }
}

TEST_CASE("Tickets are there before the room is", "[Scheduling]")
{
  // Load pattern: a queue that waits for room. An answer takes longer than room stays free.
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
