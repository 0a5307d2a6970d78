#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "Observability/Counters.h"
#include "Observability/Log.h"
#include "Observability/Tracer.h"

TEST_CASE("A traceparent header survives a hop", "[Observability]")
{
  const std::string header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  const auto context = Observability::ParseTraceParent(header);
  REQUIRE(context);
  REQUIRE(Observability::FormatTraceParent(*context) == header);

  SECTION("malformed headers start a new trace instead of joining a wrong one")
  {
    REQUIRE_FALSE(Observability::ParseTraceParent(""));
    REQUIRE_FALSE(Observability::ParseTraceParent(header + "-more"));
    REQUIRE_FALSE(Observability::ParseTraceParent("ff" + header.substr(2)));
    REQUIRE_FALSE(
      Observability::ParseTraceParent("00-00000000000000000000000000000000-00f067aa0ba902b7-01"));
    REQUIRE_FALSE(
      Observability::ParseTraceParent("00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"));
  }

  SECTION("a later version may carry more fields")
  {
    REQUIRE(Observability::ParseTraceParent("01" + header.substr(2) + "-more"));
  }
}

TEST_CASE("Parsing a traceparent never reads past arbitrary text", "[Observability]")
{
  rc::prop("a context that parses formats to a header that parses to the same", [] {
    const auto text = *rc::gen::arbitrary<std::string>();
    const auto context = Observability::ParseTraceParent(text);
    if (context) {
      RC_ASSERT(Observability::ParseTraceParent(Observability::FormatTraceParent(*context)) ==
                context);
    }
  });
}

TEST_CASE("Spans of a request are found by trace", "[Observability]")
{
  Common::ManualClock clock;
  Observability::TracerSettings settings;
  settings.mInstance = "entry-1";
  settings.mCapacity = 3;
  const Observability::Tracer tracer(settings, clock);

  auto root = tracer.start("request", std::nullopt);
  const auto context = Observability::ContextOf(*root);
  auto child = tracer.start("execute", context);
  child->SetTag("agent", "a \"quoted\" name");
  clock.advance(std::chrono::milliseconds(2));
  child->Finish();
  root->Finish();

  SECTION("children name their parent and carry the time that they took")
  {
    const auto spans = tracer.trace(Observability::TraceIdText(context));
    REQUIRE(spans.size() == 2);
    REQUIRE(spans[0].mName == "execute");
    REQUIRE(spans[0].mParent == context.mSpan);
    REQUIRE(spans[0].mTaken == std::chrono::milliseconds(2));
    REQUIRE(Observability::SpanJson(spans[0]).find(R"("agent":"a \"quoted\" name")") !=
            std::string::npos);
  }

  SECTION("the ring drops the oldest span, so that memory stays bounded")
  {
    for (int i = 0; i < 10; ++i) {
      tracer.start("later", std::nullopt)->Finish();
    }
    REQUIRE(tracer.spans().size() == 3);
    REQUIRE(tracer.trace(Observability::TraceIdText(context)).empty());
  }
}

TEST_CASE("The counters page lists counters and distributions", "[Observability]")
{
  Observability::Counters counters;
  counters.counter("requests", "route=\"quote\"").add(2);
  counters.distribution("latency_us").record(100);
  REQUIRE(&counters.counter("requests", "route=\"quote\"") ==
          &counters.counter("requests", "route=\"quote\""));
  const std::string text = counters.text();
  REQUIRE(text.find("requests{route=\"quote\"} 2\n") != std::string::npos);
  REQUIRE(text.find("latency_us_count{} 1\n") != std::string::npos);
}

TEST_CASE("Control characters in logged text cannot break a JSON line", "[Observability]")
{
  REQUIRE(Observability::JsonEscaped("a\nb\"c\\\x01") == "a\\nb\\\"c\\\\\\u0001");
}
