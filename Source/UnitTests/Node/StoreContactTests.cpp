#include <catch2/catch.hpp>

#include "Node/StoreContact.h"

using namespace Node;
using namespace std::chrono_literals;

TEST_CASE("An entry knows from its calls whether the store answers", "[Node]")
{
  const Timestamp start{ 100s };
  StoreContact contact;
  REQUIRE(StateOf(contact, start) == ContactState::Answers);
  NoteCall(contact, start);

  SECTION("a call is overdue once it takes longer than a loaded store does")
  {
    REQUIRE(StateOf(contact, start + 290ms) == ContactState::Answers);
    REQUIRE(StateOf(contact, start + 310ms) == ContactState::Suspected);
    NoteAnswer(contact, start, start + 500ms);
    REQUIRE(StateOf(contact, start + 500ms) == ContactState::Answers);
  }

  SECTION("a lost answer does not count once a later call is answered")
  {
    NoteCall(contact, start + 100ms);
    NoteAnswer(contact, start + 100ms, start + 102ms);
    REQUIRE(StateOf(contact, start + 800ms) == ContactState::Answers);
    NoteTimeout(contact, start);
    REQUIRE(StateOf(contact, start + 900ms) == ContactState::Answers);
  }

  SECTION("after one timeout the next call tells, after 300 ms")
  {
    NoteTimeout(contact, start);
    NoteCall(contact, start + 900ms);
    REQUIRE(StateOf(contact, start + 1000ms) == ContactState::Suspected);
    REQUIRE(StateOf(contact, start + 1200ms) == ContactState::Silent);
    NoteAnswer(contact, start + 900ms, start + 1300ms);
    REQUIRE(StateOf(contact, start + 1300ms) == ContactState::Answers);
  }

  SECTION("two timeouts in a row mean that it is silent")
  {
    NoteCall(contact, start + 10ms);
    NoteTimeout(contact, start);
    NoteTimeout(contact, start + 10ms);
    REQUIRE(contact.mOpenCalls.empty());
    REQUIRE(StateOf(contact, start + 910ms) == ContactState::Silent);
  }
}
