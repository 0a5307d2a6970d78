#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "Http/BodyShape.h"
#include "Http/ConnectionBook.h"

namespace {

using Http::BodyKind;
using Http::BodyShape;
using Http::Phase;
using namespace std::chrono_literals;

constexpr std::size_t kRate = 1'000;

std::size_t
CountValues(const nlohmann::json& aJson)
{
  std::size_t count = 1;
  if (aJson.is_structured()) {
    for (const auto& each : aJson) {
      count += CountValues(each);
    }
  }
  return count;
}

BodyShape
ShapeOf(BodyKind aKind, const std::string& aText)
{
  BodyShape shape(aKind);
  // Byte by byte, as from a slow client.
  for (const char byte : aText) {
    shape.take({ &byte, 1 });
  }
  return shape;
}

/// A connection of which the phase began so long ago, with so many bytes received.
Http::ConnectionState
Connection(int aSocket, Phase aPhase, std::chrono::milliseconds aAge, std::size_t aReceived = 0)
{
  Http::ConnectionState state;
  state.mSocket = aSocket;
  state.mPhase = aPhase;
  state.mSince = Http::SteadyTime(100s) - aAge;
  state.mReceived = aReceived;
  return state;
}

const Http::SteadyTime kNow{ 100s };

int
PlaceVictim(std::list<Http::ConnectionState> aConnections)
{
  const auto* victim = Http::VictimForPlace(aConnections, kNow, kRate);
  return victim == nullptr ? -1 : victim->mSocket;
}

// The last connection asks for bytes.
int
BytesVictim(std::list<Http::ConnectionState> aConnections)
{
  const auto* victim = Http::VictimForBytes(aConnections, aConnections.back(), kNow, kRate);
  return victim == nullptr ? -1 : victim->mSocket;
}

} // namespace

TEST_CASE("The values of a body are counted before it is parsed", "[Http]")
{
  // A count below the parser's would let a small text become a large tree.
  for (const std::string text : { "1",
                                  "[]",
                                  "[1]",
                                  "[[1]]",
                                  "[{},{},[]]",
                                  R"({"a":1,"b":[1,2,{"c":null}]})",
                                  R"(["\"[,",",,,:\\"])" }) {
    INFO(text);
    REQUIRE(ShapeOf(BodyKind::Json, text).values() >= CountValues(nlohmann::json::parse(text)));
  }

  SECTION("levels are counted, also of a text that never closes them")
  {
    REQUIRE(ShapeOf(BodyKind::Json, R"([{"a":[1]},[]])").depth() == 3);
    REQUIRE(ShapeOf(BodyKind::Json, std::string(1000, '[')).depth() == 1000);
  }

  SECTION("strings count only where tables are parsed from them")
  {
    const std::string text = R"({"routes":"a=[1,2,3]"})";
    REQUIRE(ShapeOf(BodyKind::Json, text).values() == 2);
    REQUIRE(ShapeOf(BodyKind::JsonWithTables, text).values() == 6);
    REQUIRE(ShapeOf(BodyKind::Opaque, text).values() == 1);
  }
}

TEST_CASE("A new connection takes the place of a slow or idle one", "[Http]")
{
  SECTION("a request slower than the minimum rate goes before an idle connection")
  {
    // Well-behaved clients keep idle connections; a crowd that stalls must not displace them.
    REQUIRE(PlaceVictim({ Connection(1, Phase::Idle, 20s), Connection(2, Phase::Receiving, 3s) }) ==
            2);
  }

  SECTION("a request at the minimum rate goes on, however long it takes")
  {
    REQUIRE(PlaceVictim({ Connection(1, Phase::Receiving, 20s, 20 * kRate) }) == -1);
  }

  SECTION("the connection that has been idle longest goes, but none that was just accepted")
  {
    REQUIRE(PlaceVictim({ Connection(1, Phase::Idle, 2s), Connection(2, Phase::Idle, 3s) }) == 2);
    REQUIRE(PlaceVictim({ Connection(1, Phase::Idle, 100ms) }) == -1);
  }

  SECTION("a complete request is never given up, an answer that nobody reads is")
  {
    REQUIRE(PlaceVictim({ Connection(1, Phase::Working, 60s) }) == -1);
    REQUIRE(
      PlaceVictim({ Connection(1, Phase::Working, 60s), Connection(2, Phase::Writing, 2s) }) == 2);
  }

  SECTION("a connection that ends already is not chosen again")
  {
    auto ending = Connection(1, Phase::Idle, 20s);
    ending.mRefusal = Http::Cause::Idle;
    REQUIRE(PlaceVictim({ ending, Connection(2, Phase::Idle, 3s) }) == 2);
  }
}

TEST_CASE("Bytes are taken from the slowest incomplete request", "[Http]")
{
  SECTION("a request that has just begun takes them from one that stalls")
  {
    // Otherwise the crowd that came first would keep the whole budget.
    REQUIRE(BytesVictim({ Connection(1, Phase::Receiving, 5s, 3 * kRate),
                          Connection(2, Phase::Receiving, 5s, kRate),
                          Connection(3, Phase::Receiving, 10ms) }) == 2);
  }

  SECTION("the slowest request gets none from faster or complete ones")
  {
    REQUIRE(BytesVictim({ Connection(1, Phase::Receiving, 5s, 9 * kRate),
                          Connection(2, Phase::Working, 60s),
                          Connection(3, Phase::Receiving, 5s) }) == -1);
  }

  SECTION("unread answers and idle connections follow")
  {
    REQUIRE(BytesVictim({ Connection(1, Phase::Idle, 9s),
                          Connection(2, Phase::Writing, 2s),
                          Connection(3, Phase::Receiving, 0s) }) == 2);
    REQUIRE(BytesVictim({ Connection(1, Phase::Idle, 9s), Connection(3, Phase::Receiving, 0s) }) ==
            1);
  }
}
