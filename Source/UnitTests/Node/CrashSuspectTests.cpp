#include <catch2/catch.hpp>

#include "DriverFixture.h"

using namespace NodeTests;
using Scheduling::OrderResult;

TEST_CASE("A run is a suspect if its worker crashes right after the start", "[Node]")
{
  DriverFixture fixture;
  fixture.orderStart();

  SECTION("and no more once the worker has answered later")
  {
    fixture.answerStart(OrderResult::Done);
    fixture.advance(10ms);
    REQUIRE(fixture.suspects() == 1);
    fixture.advance(200ms);
    fixture.answerPoll();
    REQUIRE(fixture.suspects() == 0);
  }
  SECTION("however long the start call took")
  {
    fixture.advance(200ms);
    fixture.answerPoll();
    fixture.advance(100ms);
    fixture.answerStart(OrderResult::Done);
    fixture.advance(10ms);
    fixture.closePoll();
    REQUIRE(fixture.suspects() == 1);
  }
  SECTION("also if the crash came before the answer")
  {
    fixture.advance(5ms);
    fixture.closePoll();
    for (int attempts = 0; attempts < 3; ++attempts) {
      fixture.answerStart(OrderResult::Unknown);
      fixture.advance(700ms);
    }
    REQUIRE(fixture.mResult == OrderResult::Unknown);
    REQUIRE(fixture.suspects() == 1);
  }
  SECTION("but not if the run has ended before")
  {
    fixture.answerStart(OrderResult::Done);
    fixture.advance(30ms);
    fixture.answerPoll({ { Scheduling::EndNumber{ 1 },
                           fixture.mTask,
                           fixture.mRun,
                           Scheduling::EndKind::Done,
                           "" } });
    fixture.advance(30ms);
    fixture.answerPoll();
    REQUIRE(fixture.suspects() == 0);
  }
}

TEST_CASE("A start without an answer may crash the worker late", "[Node]")
{
  DriverFixture fixture;
  fixture.orderStart();

  SECTION("if no attempt was answered")
  {
    for (int attempts = 0; attempts < 3; ++attempts) {
      fixture.advance(600ms);
      fixture.answerPoll();
      fixture.answerStart(OrderResult::Unknown);
    }
    REQUIRE(fixture.mResult == OrderResult::Unknown);
    REQUIRE(fixture.mayBeLateStart());
  }
  SECTION("if a further attempt was refused")
  {
    fixture.advance(100ms);
    fixture.answerStart(OrderResult::Unknown);
    fixture.answerStart(OrderResult::NoCapacity);
    fixture.advance(200ms);
    fixture.answerPoll();
    REQUIRE(fixture.mResult == OrderResult::Unknown);
    REQUIRE(fixture.mayBeLateStart());
  }
}
