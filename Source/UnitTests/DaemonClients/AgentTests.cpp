#include <catch2/catch.hpp>

#include "UnitTests/DaemonClients/Survival.h"

using DaemonClients::Listener;
using DaemonClients::RequireSurvival;

// The agent's listener serves the endpoints beside it.

TEST_CASE("agent: whole bodies at once", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::WholeBodies(Listener::Agent));
}

TEST_CASE("agent: bodies in small pieces", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::BodiesInPieces(Listener::Agent));
}

TEST_CASE("agent: chunked bodies", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::ChunkedBodies(Listener::Agent));
}

TEST_CASE("agent: bodies that stop just short of their end", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::AlmostWholeBodies(Listener::Agent));
}

TEST_CASE("agent: chunked bodies without their last chunk", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::AlmostWholeChunks(Listener::Agent));
}

TEST_CASE("agent: bodies far over the limit", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::OversizedBodies(Listener::Agent));
}

TEST_CASE("agent: very many short header fields", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::ManyHeaderFields(Listener::Agent));
}

TEST_CASE("agent: long targets of very many parameters", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::LongTargets(Listener::Agent));
}

TEST_CASE("agent: pipelined requests with unread answers", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::PipelinedUnread(Listener::Agent));
}

TEST_CASE("agent: slow senders", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::SlowSenders(Listener::Agent));
}

TEST_CASE("agent: slow readers", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::SlowReaders(Listener::Agent));
}

TEST_CASE("agent: headers that stop half-way", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::StalledHeaders(Listener::Agent));
}

TEST_CASE("agent: bodies that stop half-way", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::StalledBodies(Listener::Agent));
}

TEST_CASE("agent: JSON of very many short values", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::ManyJsonFields(Listener::Agent));
}

TEST_CASE("agent: deeply nested JSON", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::DeepJson(Listener::Agent));
}

TEST_CASE("agent: long lists of ranges", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::LongRanges(Listener::Agent));
}

TEST_CASE("agent: compressed answers", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::CompressedAnswers(Listener::Agent));
}

TEST_CASE("agent: long paths", "[DaemonClients]")
{
  RequireSurvival(Listener::Agent, DaemonClients::LongPaths(Listener::Agent));
}
