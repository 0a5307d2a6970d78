#include <catch2/catch.hpp>

#include "UnitTests/DaemonClients/Survival.h"

using DaemonClients::Listener;
using DaemonClients::RequireSurvival;

// Paths without a route take no body, but it is still sent.

TEST_CASE("unknown path: whole bodies at once", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::WholeBodies(Listener::UnknownPath));
}

TEST_CASE("unknown path: bodies in small pieces", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::BodiesInPieces(Listener::UnknownPath));
}

TEST_CASE("unknown path: chunked bodies", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::ChunkedBodies(Listener::UnknownPath));
}

TEST_CASE("unknown path: bodies that stop just short of their end", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::AlmostWholeBodies(Listener::UnknownPath));
}

TEST_CASE("unknown path: chunked bodies without their last chunk", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::AlmostWholeChunks(Listener::UnknownPath));
}

TEST_CASE("unknown path: bodies far over the limit", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::OversizedBodies(Listener::UnknownPath));
}

TEST_CASE("unknown path: very many short header fields", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::ManyHeaderFields(Listener::UnknownPath));
}

TEST_CASE("unknown path: long targets of very many parameters", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::LongTargets(Listener::UnknownPath));
}

TEST_CASE("unknown path: pipelined requests with unread answers", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::PipelinedUnread(Listener::UnknownPath));
}

TEST_CASE("unknown path: slow senders", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::SlowSenders(Listener::UnknownPath));
}

TEST_CASE("unknown path: slow readers", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::SlowReaders(Listener::UnknownPath));
}

TEST_CASE("unknown path: headers that stop half-way", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::StalledHeaders(Listener::UnknownPath));
}

TEST_CASE("unknown path: bodies that stop half-way", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::StalledBodies(Listener::UnknownPath));
}

TEST_CASE("unknown path: long lists of ranges", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::LongRanges(Listener::UnknownPath));
}

TEST_CASE("unknown path: long paths", "[DaemonClients]")
{
  RequireSurvival(Listener::UnknownPath, DaemonClients::LongPaths(Listener::UnknownPath));
}
