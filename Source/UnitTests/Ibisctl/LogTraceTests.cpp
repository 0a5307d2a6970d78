#include <catch2/catch.hpp>

#include "Ibisctl/LogTrace.h"

using Ibisctl::RenderLogTrace;

TEST_CASE("The lines that name an id are told as one story", "[Ibisctl]")
{
  const std::string entry =
    R"({"time":"2026-01-01T00:00:01Z","level":"info","instance":"edge-1","category":"entry",)"
    R"("message":"submission answered","job":"a1","answer":"accepted"})"
    "\n"
    R"({"time":"2026-01-01T00:00:01Z","instance":"edge-1","message":"ready"})"
    "\n";
  const std::string agent =
    "  3.1 side-1 "
    R"({"time":"2026-01-01T00:00:03Z","instance":"side-1","category":"agent","message":"order",)"
    R"("detail":"task a1.0.0.1"})"
    "\n"
    R"({"time":"2026-01-01T00:00:00Z","instance":"side-1","category":"agent","message":"seen",)"
    R"("detail":"a1"})"
    "\nno JSON a1\n{\"broken\":\"a1\"\n[\"a1\"]\n";

  SECTION("in the order of their times, whichever file they stand in")
  {
    const std::string text = RenderLogTrace({ { "e.log", entry }, { "s.log", agent } }, "a1");
    REQUIRE(text == "2026-01-01T00:00:00Z  side-1  agent: seen  detail=a1\n"
                    "2026-01-01T00:00:01Z  edge-1  entry: submission answered  answer=accepted  "
                    "job=a1\n"
                    "2026-01-01T00:00:03Z  side-1  agent: order  detail=task a1.0.0.1\n");
  }
  SECTION("an id that no line names gives nothing")
  {
    REQUIRE(RenderLogTrace({ { "e.log", entry } }, "b2").empty());
  }
}
