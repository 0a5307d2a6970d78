#include <catch2/catch.hpp>

#include "UnitTests/DaemonClients/Survival.h"

using DaemonClients::Listener;
using DaemonClients::RequireSurvival;

// The operators' interface takes the largest bodies, and builds trees of them.

TEST_CASE("operators: whole bodies at once", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::WholeBodies(Listener::Operators));
}

TEST_CASE("operators: bodies in small pieces", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::BodiesInPieces(Listener::Operators));
}

TEST_CASE("operators: chunked bodies", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::ChunkedBodies(Listener::Operators));
}

TEST_CASE("operators: bodies that stop just short of their end", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::AlmostWholeBodies(Listener::Operators));
}

TEST_CASE("operators: chunked bodies without their last chunk", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::AlmostWholeChunks(Listener::Operators));
}

TEST_CASE("operators: bodies far over the limit", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::OversizedBodies(Listener::Operators));
}

TEST_CASE("operators: very many short header fields", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::ManyHeaderFields(Listener::Operators));
}

TEST_CASE("operators: long targets of very many parameters", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::LongTargets(Listener::Operators));
}

TEST_CASE("operators: pipelined requests with unread answers", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::PipelinedUnread(Listener::Operators));
}

TEST_CASE("operators: slow senders", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::SlowSenders(Listener::Operators));
}

TEST_CASE("operators: slow readers", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::SlowReaders(Listener::Operators));
}

TEST_CASE("operators: headers that stop half-way", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::StalledHeaders(Listener::Operators));
}

TEST_CASE("operators: bodies that stop half-way", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::StalledBodies(Listener::Operators));
}

TEST_CASE("operators: JSON of very many short values", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::ManyJsonFields(Listener::Operators));
}

TEST_CASE("operators: deeply nested JSON", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::DeepJson(Listener::Operators));
}

TEST_CASE("operators: long lists of ranges", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::LongRanges(Listener::Operators));
}

TEST_CASE("operators: compressed answers", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::CompressedAnswers(Listener::Operators));
}

TEST_CASE("operators: tables of very many short values", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::ManyTableFields());
}

TEST_CASE("operators: long paths", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::LongPaths(Listener::Operators));
}

TEST_CASE("operators: deeply nested tables", "[DaemonClients]")
{
  RequireSurvival(Listener::Operators, DaemonClients::DeepTables());
}
